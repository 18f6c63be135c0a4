/**
 * A small scripted world on a fake clock: state service, cloud and workers as the protocol describes them,
 * written for these tests. Everything happens at set moments, so a test can put a failure just where it hurts.
 */
import { defaults, type Operators } from '../../src/config/operators.js';
import { parseSettings, type Settings } from '../../src/config/settings.js';
import { Controller } from '../../src/core/controller.js';
import type { Command, CommitOutcome, Effect } from '../../src/core/effects.js';
import { keyPrefix } from '../../src/core/storage/index.js';
import type { RecoveryRecords } from '../../src/core/recovery-records.js';
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType } from '../../src/model/machine.js';
import type { TaskOrder, Heartbeat, TaskStatus } from '../../src/model/heartbeat.js';
import { seededRandom } from '../../src/retry/index.js';
import type { RentRequest } from '../../src/wire/cloud.js';
import type { Change, Transaction } from '../../src/wire/store.js';

export const settingsText = (member: string, nodes: number): string => `
member = "${member}"
location = "north"
public_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
${Array.from({ length: nodes }, (_, i) => `n${i}`)
  .filter((n) => n !== member)
  .map((n) => `[[others]]\nmember = "${n}"\nlocation = "south"\npeer_addr = "127.0.0.1:9001"`)
  .join('\n')}
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
zones = ["north", "south"]
[[deployment.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[[deployment.teams]]
name = "blue"
[[deployment.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.9
[deployment.workers]
report_s = 2.0
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 36.0
[deployment.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
`;

export const box: MachineType = {
  name: 'box',
  cpus: 8,
  gpus: 0,
  memGb: 32,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.3,
  bootS: 10,
  zones: ['north', 'south'],
};

export const spec = (id: string, over: Partial<JobSpec> = {}): JobSpec => ({
  id,
  class: 'c',
  team: 'red',
  shape: 'array',
  urgency: 'normal',
  tasks: 2,
  cpus: 1,
  gpus: 0,
  memGb: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  apart: false,
  spot: false,
  estimateS: 20,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...over,
});

export class StateService {
  epoch = 1;
  unavailable = false;
  /** More is asked of it than it takes: commits get 429. */
  rateLimited = false;
  /** Executed, but the answer to a commit gets lost. */
  dropsResponses = false;
  /** The same, for some. */
  dropsResponseTo: (txn: Transaction) => boolean = () => false;
  /** This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
  delayedCommitShare = 0;
  readonly entries = new Map<string, Change & { hold?: number }>();
  readonly log: Change[] = [];
  private leases = new Map<number, number>();
  private nextLeaseId = 1;

  constructor(private readonly world: World) {}

  /** Called with each transaction just before it is carried out. */
  beforeCommit: (txn: Transaction) => void = () => undefined;

  commit(txn: Transaction): CommitOutcome {
    this.beforeCommit(txn);
    if (this.unavailable) return { type: 'rejected' };
    if (this.rateLimited || !this.takeWriteBudget(txn.writes.length)) return { type: 'rate-limited' };
    this.expireLeases();
    if (txn.writes.some((w) => w.hold !== undefined && !this.leases.has(w.hold)))
      return { type: 'lease-expired' };
    const failed = txn.conditions
      .filter((c) => (this.entries.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return { type: 'conflict', failed, epoch: this.epoch };
    if (txn.writes.length > 0) this.epoch++;
    for (const w of txn.writes) {
      const change = { key: w.key, data: w.data && JSON.parse(JSON.stringify(w.data)), stamp: this.epoch };
      if (w.data === undefined) this.entries.delete(w.key);
      else this.entries.set(w.key, { ...change, hold: w.hold });
      this.log.push(change);
    }
    return { type: 'ok', epoch: this.epoch };
  }

  /** Puts and deletes that it takes in a second; bursts of a second's worth are allowed. */
  writesPerS = Infinity;
  private budget = 0;
  private budgetAt = 0;
  rateLimitedCount = 0;
  private takeWriteBudget(writes: number): boolean {
    if (!Number.isFinite(this.writesPerS)) return true;
    const { now } = this.world;
    this.budget = Math.min(this.writesPerS, this.budget + ((now - this.budgetAt) / 1000) * this.writesPerS);
    this.budgetAt = now;
    if (this.budget < writes) {
      this.rateLimitedCount++;
      return false;
    }
    this.budget -= writes;
    return true;
  }

  grantLease(ttlMs: number): number | null {
    if (this.unavailable) return null;
    const hold = this.nextLeaseId++;
    this.leases.set(hold, this.world.now + ttlMs);
    this.leaseTtlMs.set(hold, ttlMs);
    return hold;
  }
  private leaseTtlMs = new Map<number, number>();

  renewLease(hold: number): 'ok' | 'gone' | 'failed' {
    if (this.unavailable) return 'failed';
    this.expireLeases();
    if (!this.leases.has(hold)) return 'gone';
    this.leases.set(hold, this.world.now + this.leaseTtlMs.get(hold)!);
    return 'ok';
  }

  revokeLease(hold: number): void {
    this.leases.delete(hold);
    const gone = [...this.entries.values()].filter((k) => k.hold === hold);
    if (gone.length > 0) this.epoch++;
    for (const k of gone) {
      this.entries.delete(k.key);
      this.log.push({ key: k.key, data: undefined, stamp: this.epoch });
    }
  }

  expireLeases(): void {
    if (this.unavailable)
      for (const hold of this.leases.keys())
        this.leases.set(hold, this.world.now + this.leaseTtlMs.get(hold)!);
    for (const [hold, until] of [...this.leases]) if (until < this.world.now) this.revokeLease(hold);
  }

  /** A copy of what there is, to come back to. */
  snapshot(): { epoch: number; keys: [string, Change & { hold?: number }][] } {
    return { epoch: this.epoch, keys: [...this.entries] };
  }

  /** It has lost data: what is left, at which revision. Nothing tells of it; leases are gone, too. */
  loseData(left: [string, Change & { hold?: number }][], epoch: number): void {
    this.entries.clear();
    for (const [key, k] of left) this.entries.set(key, k);
    this.epoch = epoch;
    this.log.length = 0;
    this.leases.clear();
  }

  items(): Change[] {
    return [...this.entries.values()]
      .filter((k) => k.key.startsWith(keyPrefix))
      .map(({ key, data, stamp }) => ({ key, data, stamp }));
  }
}

/** A build of the controllers: this one, or an earlier one that plays beside it. */
export interface Program {
  name: string;
  Controller: typeof Controller;
}

export const thisProgram: Program = { name: 'new', Controller };

export class Node {
  controller!: Controller;
  private queue: Command[] = [];
  alive = true;
  /** Cut off from the state service: it gets no answers and sees no changes. */
  cutFromState = false;
  /** It gets 429 from the state service. */
  rateLimited = false;
  /** It and the other controllers do not reach each other. */
  isolatedFromPeers = false;
  /** Its commits are on their way for long, and it gets no answer to them. */
  holdsCommits = false;
  /** What it tells the others comes so much later. */
  peerDelayMs = 0;
  /** It stands still while its clock runs on: what arrives waits. */
  paused = false;
  /** How fast its steady clock runs. */
  clockRate = 1;
  /** Changes of the state reach it again only some time after it woke: first comes what had waited. */
  private watchResumesAt = 0;
  private watchedRevision = -1;
  private snapshotStartedAt = 0;
  responses = new Map<number, { status: number; body: Record<string, unknown>; retryAfterS?: number }>();
  private processStarts = 0;
  /** The program that it runs from its next start on. */
  program: Program = thisProgram;
  operators: Operators;
  /** What it has logged: level, message, fields. */
  readonly logLines: [string, string, Record<string, unknown>?][] = [];
  /** What its process died of, if it did. */
  crashError: Error | null = null;
  /** Called instead of handing on a commit's outcome, if set. */
  constructor(
    readonly world: World,
    readonly member: string,
    readonly settings: Settings,
    operators: Operators,
  ) {
    this.operators = operators;
    this.boot();
  }

  boot(): void {
    this.alive = true;
    this.queue = [];
    this.crashError = null;
    this.start(null);
  }

  /** How often it began anew with what it knew. */
  recoveryRestarts = 0;

  private start(recoveryRecords: RecoveryRecords | null): void {
    this.snapshotStartedAt = this.world.now;
    this.watchedRevision = -1;
    this.controller = new this.program.Controller(
      this.settings,
      this.operators,
      `${this.member}r${++this.processStarts}`,
      seededRandom(this.world.seed + this.processStarts),
      (...line) => void this.logLines.push(line),
      null,
      this.program.name,
      recoveryRecords,
    );
  }

  push(c: Command): void {
    if (this.alive) this.queue.push(c);
  }

  step(): void {
    if (!this.alive) return;
    const s = this.world.state;
    if (this.paused) {
      this.watchResumesAt = this.world.now + 300;
      return;
    }
    // Reading takes its time and begins anew when it is interrupted; what is watched goes on.
    const off = this.cutFromState || s.unavailable || (this.rateLimited && this.watchedRevision < 0);
    if (off && this.watchedRevision < 0) this.snapshotStartedAt = this.world.now;
    const read =
      this.watchedRevision >= 0 || this.world.now >= this.snapshotStartedAt + this.world.snapshotMs;
    if (!off && read && this.world.now >= this.watchResumesAt) {
      if (this.watchedRevision < 0) this.push({ type: 'snapshot-loaded', items: s.items(), epoch: s.epoch });
      else if (this.watchedRevision < s.epoch)
        this.push({
          type: 'changes',
          changes: s.log.filter((c) => c.stamp > this.watchedRevision),
          epoch: s.epoch,
        });
      this.watchedRevision = s.epoch;
    }
    const commands = this.queue;
    this.queue = [];
    const controller = this.controller;
    let effects: Effect[] = [];
    try {
      effects = controller.step(commands, {
        now: this.world.now * this.clockRate,
        wall: 1e12 + this.world.now,
      });
    } catch (e) {
      // As a process: it ends.
      if (!this.world.crashesAllowed) throw e;
      this.alive = false;
      this.crashError = e as Error;
    }
    for (const e of effects) {
      const reply = (c: Command | null) =>
        this.world.schedule(this.world.responseMs, () => {
          if (c && this.alive && this.controller === controller) this.queue.push(c);
        });
      this.carryOut(e, reply);
    }
  }

  private carryOut(e: Effect, reply: (c: Command | null) => void): void {
    const w = this.world;
    const off = this.cutFromState || w.state.unavailable || this.rateLimited;
    switch (e.type) {
      case 'respond':
        this.responses.set(e.rid, {
          status: e.status,
          body: e.body as Record<string, unknown>,
          retryAfterS: e.retryAfterS,
        });
        break;
      case 'commit': {
        if (this.cutFromState) return reply({ type: 'commit-result', outcome: { type: 'rejected' } });
        if (this.rateLimited) return reply({ type: 'commit-result', outcome: { type: 'rate-limited' } });
        if (this.holdsCommits) {
          w.heldCommits.push(e.txn);
          return reply({ type: 'commit-result', outcome: { type: 'unknown' } });
        }
        if (w.random() < w.state.delayedCommitShare && !w.state.unavailable) {
          const { txn } = e;
          w.schedule(2000 + 10_000 * w.random(), () => {
            w.commits.push({ member: this.member, txn, outcome: w.state.commit(txn), at: w.now });
          });
          return void w.schedule(w.lostResponseMs, () =>
            reply({ type: 'commit-result', outcome: { type: 'unknown' } }),
          );
        }
        const { txn } = e;
        w.scheduleOrRun(w.commitDelayMs(), () => {
          const outcome = w.state.commit(txn);
          w.commits.push({ member: this.member, txn, outcome, at: w.now });
          const lost = w.state.dropsResponses || w.state.dropsResponseTo(txn);
          if (lost)
            w.scheduleOrRun(w.lostResponseNoticedMs(), () =>
              reply({ type: 'commit-result', outcome: { type: 'unknown' } }),
            );
          else reply({ type: 'commit-result', outcome });
        });
        break;
      }
      case 'read-revision':
        reply({ type: 'revision-read', sentAt: w.now * this.clockRate, epoch: off ? null : w.state.epoch });
        break;
      case 'grant-lease':
        reply({ type: 'lease-granted', leaseId: off ? null : w.state.grantLease(e.ttlMs) });
        break;
      case 'renew-lease':
        reply({
          type: 'lease-renewal-result',
          leaseId: e.leaseId,
          outcome: off ? 'failed' : w.state.renewLease(e.leaseId),
        });
        break;
      case 'revoke-lease':
        if (!off) w.state.revokeLease(e.leaseId);
        break;
      case 'list-machine-types':
        reply({ type: 'machine-types', types: w.cloudDown ? null : w.types });
        break;
      case 'rent-machines': {
        this.checkLeadership('rent');
        w.rentals.push(e.request);
        if (w.cloudDown) return reply({ type: 'rental-result', request: e.request, outcome: 'refused' });
        const { request } = e;
        if (w.random() < w.delayedCloudCallShare) {
          w.schedule(2000 + 10_000 * w.random(), () => w.rent(request));
          return reply({ type: 'rental-result', request, outcome: 'unknown' });
        }
        const outcome = w.rent(request);
        w.scheduleOrRun(w.cloudDelayMs(), () => reply({ type: 'rental-result', request, outcome }));
        break;
      }
      case 'delete-machines':
        this.checkLeadership('return');
        if (w.cloudDown) return reply({ type: 'deletion-result', hosts: e.hosts, ok: false });
        if (w.random() < w.delayedCloudCallShare) {
          const { hosts } = e;
          w.schedule(2000 + 10_000 * w.random(), () => w.remove(hosts));
          return reply({ type: 'deletion-result', hosts, ok: false });
        }
        w.remove(e.hosts);
        reply({ type: 'deletion-result', hosts: e.hosts, ok: true });
        break;
      case 'list-machines':
        reply({
          type: 'machine-list',
          askedAt: w.now * this.clockRate,
          machines: w.cloudDown
            ? null
            : [...w.workers.values()].map((x) => ({
                host: x.host,
                endpoint: '127.0.0.1:5',
                type: x.type,
                zone: x.zone,
                spot: x.spot,
                status: 'running' as const,
                ageS: (w.now - x.createdAt) / 1000,
              })),
        });
        break;
      case 'send-task-commands':
        w.scheduleOrRun(w.directCommandDelayMs(), () => {
          const to = w.workers.get(e.host);
          if (!to?.unreachableNodes.has(this.member)) to?.receiveDirectCommands(e.orders, e.token, e.session);
        });
        break;
      case 'forward-heartbeat': {
        const to = w.nodes.find((n) => n.member === e.to);
        const id = ++w.nextRequestId;
        if (!to?.alive || this.isolatedFromPeers || to.isolatedFromPeers)
          return reply({ type: 'forwarded-response', rid: e.rid, status: 503, body: {} });
        to.push({ type: 'heartbeat', rid: id, report: e.report, from: this.member });
        w.schedule(30, () => {
          const a = to.responses.get(id);
          if (a) this.push({ type: 'forwarded-response', rid: e.rid, status: a.status, body: a.body });
        });
        break;
      }
      case 'peer-status':
        this.broadcast((to) => to.push({ type: 'peer-status', from: this.member, status: e.status }));
        break;
      case 'rejected-jobs':
        this.broadcast((to) => to.push({ type: 'rejected-jobs', list: e.list }));
        break;
      case 'query-freshness':
        this.broadcast((to) => to.push({ type: 'freshness-query', from: this.member, query: e.query }));
        break;
      case 'confirm-freshness': {
        const { query, known } = e;
        const vouched = {
          type: 'freshness-confirmed',
          from: this.member,
          run: this.run,
          query,
          known,
        } as const;
        this.broadcast((to) => to.member === e.to && to.push(vouched));
        break;
      }
      case 'catch-up':
        break;
      case 'audit': {
        const items = w.state
          .items()
          .sort((a, b) => (a.key < b.key ? -1 : 1))
          .filter((i) => i.key > e.from);
        const part = { items: items.slice(0, e.keys), more: items.length > e.keys };
        reply({ type: 'audit-result', from: e.from, ...part, epoch: off ? null : w.state.epoch });
        break;
      }
      case 'restart':
        this.recoveryRestarts++;
        // What was asked for before counts no more; requests wait on.
        this.queue = this.queue.filter((c) => ['submit', 'query', 'cancel', 'heartbeat'].includes(c.type));
        this.start(e.recoveryRecords);
        break;
    }
  }

  private get run(): string {
    return `${this.member}r${this.processStarts}`;
  }

  private broadcast(tell: (to: Node) => void): void {
    if (!this.world.peersConnected || this.isolatedFromPeers) return;
    for (const n of this.world.nodes)
      if (n !== this && !n.isolatedFromPeers)
        this.world.schedule(5 + this.peerDelayMs, () => n.alive && tell(n));
  }

  private checkLeadership(what: string): void {
    const { entries: keys } = this.world.state;
    const lead = (keys.get('dp/chief') ?? keys.get('dp/lead'))?.data as { member: string } | undefined;
    if (lead?.member !== this.member) this.world.violations.push(`stale ${what} by ${this.member}`);
  }

  private nextRequestId = 1000;
  /** Sends a request and plays until it is answered. */
  request(c: (rid: number) => Command, withinMs = 6000) {
    const rid = ++this.nextRequestId;
    this.push(c(rid));
    const until = this.world.now + withinMs;
    while (!this.responses.has(rid) && this.world.now < until) this.world.advance(0.01);
    return this.responses.get(rid);
  }
  submit = (job: JobSpec) => {
    if (job.shape === 'service') this.world.serviceJobs.add(job.id);
    if (job.shape === 'gang') this.world.gangs.set(job.id, job.tasks);
    this.world.specs.set(job.id, job);
    return this.request((rid) => ({ type: 'submit', rid, spec: job }));
  };
  status = (id: string) => this.request((rid) => ({ type: 'query', rid, id }));
  cancel = (id: string) => this.request((rid) => ({ type: 'cancel', rid, id }));
}

interface Running {
  report: TaskStatus;
  since: number;
  /** How long it saves, if it does. */
  saveS?: number;
}

/** A worker: sessions, leases, tokens and orders as the protocol has them. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  tasks = new Map<string, Running>();
  spotNoticeS: number | null = null;
  silent = false;
  /** The machine hangs: nothing goes on, and what is due is done when it does again. */
  hung = false;
  /** Its reports arrive; answers and direct commands to it are lost. */
  losesResponses = false;
  /** Direct commands that have come while it hung. */
  private readonly delayedCommands: { orders: TaskOrder[]; token: number; session: number }[] = [];
  /** Controllers that it cannot reach. */
  readonly unreachableNodes = new Set<string>();
  failsTasks = false;
  taskDurationS: number;
  private leaseStartedAt: number;
  private nextHeartbeatAt: number;
  private inFlight = false;
  private targetIndex = 0;
  readonly createdAt: number;
  /** When it last got an answer it could use, and the longest time without, ms. */
  leaseRenewedAt: number;
  longestGapMs = 0;
  constructor(
    readonly world: World,
    readonly host: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.createdAt = this.leaseStartedAt = this.leaseRenewedAt = world.now;
    this.nextHeartbeatAt = world.now + 1000;
    this.taskDurationS = world.taskDurationS;
  }

  report(): Heartbeat {
    this.seq++;
    return {
      host: this.host,
      endpoint: '127.0.0.1:5',
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session,
      sequence: this.seq,
      fencingToken: this.token,
      noticeS: this.spotNoticeS,
      tasks: [...this.tasks.values()].map((t) => ({ ...t.report })),
    };
  }

  /** A task gets its image; one of a gang then waits for the others of its attempt. */
  private advanceImageFetch(t: Running): void {
    const { report } = t;
    const w = this.world;
    const gang = w.gangs.get(report.job);
    if (report.phase === 'fetching' && w.now - t.since > w.fetchS * 1000)
      report.phase = gang === undefined ? 'running' : 'waiting';
    if (report.phase !== 'waiting') return;
    let there = 0;
    for (const x of w.workers.values())
      for (const o of x.tasks.values())
        if (o.report.job === report.job && o.report.attempt === report.attempt)
          if (o.report.phase === 'waiting' || o.report.phase === 'running') there++;
    if (there < gang!) return;
    report.phase = 'running';
    t.since = w.now;
  }

  /** Its lease has ended: all that it had is gone. */
  expireLease(): void {
    this.tasks.clear();
    this.session++;
    this.leaseStartedAt = this.world.now;
    this.nextHeartbeatAt = this.world.now;
  }

  /** Whom it reports to. */
  get currentNode(): Node {
    return this.world.nodes[this.targetIndex % this.world.nodes.length];
  }

  /** Things that go on without any controller. */
  advanceTasks(): void {
    const w = this.world;
    if (w.now - this.leaseStartedAt > w.leaseMs) {
      const { nextHeartbeatAt: at } = this;
      this.expireLease();
      this.nextHeartbeatAt = at;
    }
    for (const d of this.delayedCommands.splice(0)) this.receiveDirectCommands(d.orders, d.token, d.session);
    for (const t of this.tasks.values()) this.advanceImageFetch(t);
    for (const t of this.tasks.values())
      if (t.report.phase === 'saving' && w.now - t.since > (t.saveS ?? 0) * 1000)
        Object.assign(t.report, { phase: 'exited', exitReason: 'stopped', saved: true });
    for (const t of this.tasks.values())
      if (
        t.report.phase === 'running' &&
        !w.serviceJobs.has(t.report.job) &&
        w.now - t.since > (w.taskDurationOf(`${t.report.job}/${t.report.index}`) ?? this.taskDurationS) * 1000
      ) {
        t.report.phase = 'exited';
        t.report.exitReason = 'done';
        w.finished.push(`${t.report.job}/${t.report.index}`);
      }
  }

  step(): void {
    const w = this.world;
    if (this.hung) return;
    this.advanceTasks();
    if (this.silent || this.inFlight || w.now < this.nextHeartbeatAt) return;
    this.nextHeartbeatAt = w.now + w.heartbeatMs;
    const { currentNode: node } = this;
    if (!node.alive || this.unreachableNodes.has(node.member)) {
      this.targetIndex++;
      this.nextHeartbeatAt = w.now + 1000;
      return;
    }
    const sentAt = w.now;
    const session = this.session;
    const rid = ++w.nextRequestId;
    const report = this.report();
    if (!node.controller.replica.machines.has(this.host)) w.heartbeatsBeforeRecord++;
    node.push({ type: 'heartbeat', rid, report });
    if (w.random() < w.heldHeartbeatShare) w.heldHeartbeats.push(report);
    if (w.random() < w.duplicatedHeartbeatShare) {
      const to = w.nodes[Math.floor(w.random() * w.nodes.length)];
      w.schedule(2000 + 1.5 * w.leaseMs * w.random(), () =>
        to.push({ type: 'heartbeat', rid: ++w.nextRequestId, report }),
      );
    }
    if (this.losesResponses) {
      this.targetIndex++;
      this.nextHeartbeatAt = w.now + 5000;
      return;
    }
    this.inFlight = true;
    const heldMs = w.responseDelayMs();
    if (heldMs > 0) this.nextHeartbeatAt = Math.max(this.nextHeartbeatAt, w.now + heldMs + 200);
    w.schedule(100 + heldMs, () => this.receiveResponse(node, rid, sentAt, session));
  }

  private receiveResponse(node: Node, rid: number, sentAt: number, session: number): void {
    const w = this.world;
    // A machine that goes on takes what came meanwhile, unless that is too old.
    if (this.hung && w.now - sentAt < 4000)
      return w.schedule(50, () => this.receiveResponse(node, rid, sentAt, session));
    // One report at a time; an answer is waited for as long as its controller lives.
    const waits =
      !this.silent && !this.losesResponses && node.alive && !this.unreachableNodes.has(node.member);
    if (!node.responses.has(rid) && waits && w.now - sentAt < 4000)
      return w.schedule(10, () => this.receiveResponse(node, rid, sentAt, session));
    const a = node.responses.get(rid);
    node.responses.delete(rid);
    this.inFlight = false;
    if (this.silent || this.hung || this.losesResponses || session !== this.session) return;
    this.longestGapMs = Math.max(this.longestGapMs, w.now - this.leaseRenewedAt);
    if (a?.status !== 200) {
      const boss = w.nodes.findIndex((n) => n.member === a?.body['boss']);
      this.targetIndex = boss >= 0 && w.nodes[boss] !== node ? boss : this.targetIndex + 1;
      this.nextHeartbeatAt = w.now + (boss >= 0 ? 50 : 1000);
      return;
    }
    const body = a.body as {
      baton: number;
      orders: { verb: string; piece: string; try: number; windDownS?: number }[];
    };
    if (body.baton < this.token) return;
    if (body.baton > this.token) this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, w.now + 500);
    this.token = body.baton;
    this.leaseStartedAt = sentAt;
    this.leaseRenewedAt = w.now;
    this.checkKeptTasks(
      node,
      sentAt,
      new Set(body.orders.flatMap((o) => (o.verb === 'kill' ? [o.piece] : []))),
    );
    this.execute(
      body.orders.map((o) => {
        const [job, index] = o.piece.split('/');
        const base = { job, index: Number(index), attempt: o.try };
        if (o.verb === 'run') return { op: 'start' as const, ...base };
        if (o.verb === 'kill') return { op: 'stop' as const, ...base, graceS: o.windDownS ?? 0 };
        return { op: 'forget' as const, ...base };
      }),
      body.baton,
    );
  }

  /** An answer has kept its tasks alive. Of a cancelled job it may only for so long that the lease still ends in time. */
  private checkKeptTasks(node: Node, sentAt: number, killed: ReadonlySet<string>): void {
    const w = this.world;
    w.leaseRenewals.answers.set(node.member, (w.leaseRenewals.answers.get(node.member) ?? 0) + 1);
    for (const [piece, t] of this.tasks) {
      const since = w.cancelledAt.get(t.report.job);
      if (since === undefined || t.report.phase === 'exited' || killed.has(piece)) continue;
      w.leaseRenewals.mostMs = Math.max(w.leaseRenewals.mostMs, sentAt - since);
      if (sentAt - since > w.maxKeepMs)
        w.violations.push(`kept ${piece} ${sentAt - since} ms by ${node.member}`);
    }
  }

  /** Commands sent straight to it: carried out late, too, as long as token and session are right. */
  receiveDirectCommands(orders: TaskOrder[], token: number, session: number): void {
    if (this.losesResponses) return;
    if (this.hung) this.delayedCommands.push({ orders, token, session });
    else if (session === this.session) this.execute(orders, token);
  }

  execute(orders: TaskOrder[], token: number): void {
    if (token < this.token || this.hung) return;
    this.token = token;
    for (const o of orders) {
      const piece = `${o.job}/${o.index}`;
      const t = this.tasks.get(piece);
      if (o.op === 'start') {
        this.world.recordStart(this, o.job, o.index, t !== undefined);
        if (t) continue;
        const report: TaskStatus = {
          job: o.job,
          index: o.index,
          attempt: o.attempt,
          phase: this.world.fetchS > 0 ? 'fetching' : 'running',
          exitReason: null,
          saved: false,
        };
        if (this.failsTasks || this.world.failingJobs.has(o.job))
          Object.assign(report, { phase: 'exited', exitReason: 'error' });
        this.tasks.set(piece, { report, since: this.world.now });
      } else if (t?.report.attempt === o.attempt) {
        if (o.op === 'forget' && t.report.phase === 'exited') this.tasks.delete(piece);
        if (o.op === 'stop' && t.report.phase !== 'exited') this.stopTask(t, o.graceS);
      }
      this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.world.now + 500);
    }
  }

  /** One that saves goes on doing so unless it is told to end at once. */
  private stopTask(t: Running, graceS: number): void {
    const saveS = this.world.specs.get(t.report.job)?.saveS ?? 0;
    const saves = t.report.phase === 'running' && saveS > 0 && graceS >= saveS;
    if (saves) Object.assign(t, { since: this.world.now, saveS });
    if (saves) t.report.phase = 'saving';
    else if (t.report.phase !== 'saving' || graceS === 0)
      Object.assign(t.report, { phase: 'exited', exitReason: 'stopped', saved: graceS > 0 });
  }

  /** A machine that hangs may go on within its lease; after that nothing of what it had is there. */
  hasTask(piece: string): boolean {
    if (this.hung && this.world.now - this.leaseStartedAt > this.world.leaseMs) return false;
    const t = this.tasks.get(piece);
    return t !== undefined && t.report.phase !== 'exited';
  }
}

export class World {
  now = 0;
  readonly state = new StateService(this);
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly commits: { member: string; txn: Transaction; outcome: CommitOutcome; at: number }[] = [];
  readonly rentals: RentRequest[] = [];
  readonly deleted: string[] = [];
  readonly finished: string[] = [];
  /** Jobs that were submitted here, where the referee is to hold their starts against them. */
  readonly specs = new Map<string, JobSpec>();
  /** Gangs, and how many tasks each has. */
  readonly gangs = new Map<string, number>();
  /** How long a task waits for its image. */
  fetchS = 0;
  /** Services: their tasks never complete. */
  readonly serviceJobs = new Set<string>();
  /** Jobs submitted with a mistake: their tasks fail on every machine. */
  readonly failingJobs = new Set<string>();
  readonly starts: { piece: string; host: string; at: number }[] = [];
  /** Broken rules, as a referee who sees everything finds them. */
  readonly violations: string[] = [];
  readonly cancelledAt = new Map<string, number>();
  /**
   * Answers that have renewed a lease, by controller, and the longest time after its cancellation for which a task was kept
   * by one. It may be `cancel_s` - `lease_s`, less what clocks differ by.
   */
  readonly leaseRenewals = { answers: new Map<string, number>(), mostMs: 0 };
  maxKeepMs = 20_000 * (1 - 0.001);
  types: MachineType[] = [box];
  capacity = 10;
  cloudDown = false;
  /** Commits that are still on their way. */
  readonly heldCommits: Transaction[] = [];
  /** Controllers reach each other. */
  peersConnected = true;
  /** An error in a controller ends its process, not the test. */
  crashesAllowed = false;
  /** What the controllers' random numbers come from. */
  readonly seed: number;
  nextRequestId = 1_000_000;
  /** How long an answer of the state service or the cloud takes, and the first reading of the state. */
  responseMs = 5;
  snapshotMs = 0;
  /** After so long a controller gives up waiting for the answer to a commit. */
  lostResponseMs = 1000;
  /** Of this share of the workers' reports a copy arrives again, up to one and a half leases later, at whichever controller. */
  duplicatedHeartbeatShare = 0;
  /** How long tasks run on machines that come from now on; for some tasks, wherever they run. */
  taskDurationS = 20;
  taskDurationOf: (piece: string) => number | undefined = () => undefined;
  /** This share of rentals and returns gets no answer and is carried out 2 to 12 s later. */
  delayedCloudCallShare = 0;
  /** How long transactions are on their way, and answers to rentals; after how long a lost answer is noticed, ms. */
  commitDelayMs: () => number = () => 0;
  cloudDelayMs: () => number = () => 0;
  lostResponseNoticedMs: () => number = () => 0;
  /** Reports of machines that the controller they came to had no record of. */
  heartbeatsBeforeRecord = 0;
  /** Of this share of the reports a copy is kept until somebody else leads or owns, and then reaches every controller. */
  heldHeartbeatShare = 0;
  readonly heldHeartbeats: Heartbeat[] = [];
  /** How many such copies came just as somebody else had begun. */
  deliveredHeldHeartbeats = 0;
  private readonly ownershipStamps = new Map<string, number>();
  /** Starts after a confirmed cancellation: of which tasks, and how long after. */
  readonly startsAfterCancellation: { piece: string; afterMs: number }[] = [];
  /** How long direct commands, and answers to reports, are held up, ms. */
  directCommandDelayMs: () => number = () => 0;
  responseDelayMs: () => number = () => 0;
  leaseMs = 16_000;
  heartbeatMs = 2000;
  private timers: { at: number; fn: () => void }[] = [];
  private machineCount = 0;

  /** The world's own chance, apart from the controllers'. */
  readonly random: () => number;

  constructor(
    nodes = 1,
    operators: Partial<Operators> = {},
    seed = 1,
    settingsOf: (text: string) => string = (text) => text,
  ) {
    this.seed = seed;
    this.random = seededRandom(seed * 7919 + 13);
    for (let i = 0; i < nodes; i++) {
      const settings = parseSettings(settingsOf(settingsText(`n${i}`, nodes)));
      this.nodes.push(new Node(this, `n${i}`, settings, { ...defaults, ...operators }));
    }
  }

  schedule(ms: number, fn: () => void): void {
    this.timers.push({ at: this.now + ms, fn });
  }

  scheduleOrRun(ms: number, fn: () => void): void {
    if (ms > 0) this.schedule(ms, fn);
    else fn();
  }

  private readonly rentalResponses = new Map<string, string[]>();
  /** A request name that was carried out once gets the same answer for ever. */
  rent(request: RentRequest): { hosts: string[] } | 'none' {
    const before = this.rentalResponses.get(request.name);
    if (before) return { hosts: before };
    if (this.capacity <= 0) return 'none';
    const hosts: string[] = [];
    for (let i = 0; i < request.count && this.capacity > 0; i++) {
      this.capacity--;
      hosts.push(this.addWorker(request.type, request.zone, request.spot).host);
    }
    this.rentalResponses.set(request.name, hosts);
    return { hosts };
  }

  remove(hosts: string[]): void {
    for (const h of hosts) {
      this.deleted.push(h);
      if (this.workers.delete(h)) this.capacity++;
    }
  }

  addWorker(type: string, zone: string, spot: boolean): Worker {
    const host = `n-${String(++this.machineCount).padStart(6, '0')}`;
    const w = new Worker(this, host, type, zone, spot);
    this.workers.set(host, w);
    return w;
  }

  recordStart(w: Worker, job: string, index: number, held: boolean): void {
    const piece = `${job}/${index}`;
    this.starts.push({ piece, host: w.host, at: this.now });
    if (held) return;
    for (const other of this.workers.values())
      if (other !== w && other.hasTask(piece))
        this.violations.push(`ran_twice ${piece} on ${w.host} and ${other.host}`);
    const since = this.cancelledAt.get(job);
    if (since !== undefined && this.now > since + 36_000) this.violations.push(`ran_cancelled ${piece}`);
    if (since !== undefined && this.now > since)
      this.startsAfterCancellation.push({ piece, afterMs: this.now - since });
    this.checkPlacement(w, job, piece);
  }

  /** Type, zone, kind of machine and the team's limit, with all that is on machines now. */
  private checkPlacement(w: Worker, job: string, piece: string): void {
    const spec = this.specs.get(job);
    if (!spec) return;
    const zones = new Map<string, number>([[w.zone, 1]]);
    let cpus = spec.cpus;
    for (const x of this.workers.values())
      for (const [held, t] of x.tasks) {
        if (!x.hasTask(held) || held === piece) continue;
        const s = this.specs.get(t.report.job);
        if (s?.team === spec.team) cpus += s.cpus;
        if (t.report.job === job) zones.set(x.zone, (zones.get(x.zone) ?? 0) + 1);
      }
    const wrong =
      (spec.types && !spec.types.includes(w.type)) ||
      (spec.zone !== null && spec.zone !== w.zone) ||
      (w.spot && (!spec.spot || spec.shape !== 'array')) ||
      (spec.oneZone && zones.size > 1) ||
      (spec.apart && Math.max(...zones.values()) > Math.ceil(spec.tasks / 2));
    if (wrong) this.violations.push(`wrong_place ${piece} on ${w.host}`);
    const cap = this.nodes[0].settings.teams.find((t) => t.name === spec.team)?.cpus_max ?? 0;
    if (cap > 0 && cpus > cap + 1e-9) this.violations.push(`quota ${spec.team}: ${cpus} with ${piece}`);
  }

  /** Somebody else leads or owns: what was kept for that moment comes now, or a little later. */
  private deliverHeldHeartbeats(): void {
    let changed = false;
    for (const [key, { stamp }] of this.state.entries)
      if (/^dp\/(chief|lead|shard\/)/.test(key) && this.ownershipStamps.get(key) !== stamp) {
        changed ||= this.ownershipStamps.has(key);
        this.ownershipStamps.set(key, stamp);
      }
    if (!changed) return;
    for (const report of this.heldHeartbeats.splice(0)) {
      const ms = this.random() < 0.5 ? 100 * this.random() : 4000 * this.random();
      this.schedule(ms, () => {
        for (const n of this.nodes)
          if (n.alive) n.push({ type: 'heartbeat', rid: ++this.nextRequestId, report });
        this.deliveredHeldHeartbeats++;
      });
    }
  }

  /** A machine dies: the cloud has room for another. */
  loseMachine(m: Worker): void {
    if (this.workers.delete(m.host)) this.capacity++;
  }

  /** Plays so many seconds, in steps of 10 ms. */
  advance(seconds: number): void {
    const until = this.now + seconds * 1000;
    while (this.now < until) {
      this.now += 10;
      const due = this.timers.filter((l) => l.at <= this.now);
      this.timers = this.timers.filter((l) => l.at > this.now);
      for (const l of due) l.fn();
      if (!this.state.unavailable) this.state.expireLeases();
      else this.state.expireLeases();
      if (this.heldHeartbeatShare > 0 || this.heldHeartbeats.length > 0) this.deliverHeldHeartbeats();
      for (const w of this.workers.values()) w.step();
      for (const n of this.nodes) n.step();
      for (const [job, at] of this.cancelledAt)
        if (this.now > at + 36_000)
          for (const w of this.workers.values())
            for (const piece of w.tasks.keys())
              if (piece.startsWith(`${job}/`) && w.hasTask(piece))
                this.violations.push(`ran_cancelled ${piece} stays`);
    }
  }

  advanceUntil(what: () => boolean, withinS: number): boolean {
    const until = this.now + withinS * 1000;
    while (!what() && this.now < until) this.advance(0.1);
    return what();
  }

  running(job: string): { host: string; piece: string }[] {
    const list: { host: string; piece: string }[] = [];
    for (const w of this.workers.values())
      for (const piece of w.tasks.keys())
        if (piece.startsWith(`${job}/`) && w.hasTask(piece)) list.push({ host: w.host, piece });
    return list;
  }
}
