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
import { seeded } from '../../src/retry/index.js';
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
  down = false;
  /** More is asked of it than it takes: commits get 429. */
  busy = false;
  /** Executed, but the answer to a commit gets lost. */
  loseAnswers = false;
  /** The same, for some. */
  loses: (txn: Transaction) => boolean = () => false;
  /** This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
  lateShare = 0;
  readonly keys = new Map<string, Change & { hold?: number }>();
  readonly log: Change[] = [];
  private holds = new Map<number, number>();
  private nextHold = 1;

  constructor(private readonly world: World) {}

  /** Called with each transaction just before it is carried out. */
  before: (txn: Transaction) => void = () => undefined;

  commit(txn: Transaction): CommitOutcome {
    this.before(txn);
    if (this.down) return { type: 'rejected' };
    if (this.busy || !this.spend(txn.writes.length)) return { type: 'rate-limited' };
    this.expire();
    if (txn.writes.some((w) => w.hold !== undefined && !this.holds.has(w.hold)))
      return { type: 'lease-expired' };
    const failed = txn.conditions
      .filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return { type: 'conflict', failed, epoch: this.epoch };
    if (txn.writes.length > 0) this.epoch++;
    for (const w of txn.writes) {
      const change = { key: w.key, data: w.data && JSON.parse(JSON.stringify(w.data)), stamp: this.epoch };
      if (w.data === undefined) this.keys.delete(w.key);
      else this.keys.set(w.key, { ...change, hold: w.hold });
      this.log.push(change);
    }
    return { type: 'ok', epoch: this.epoch };
  }

  /** Puts and deletes that it takes in a second; bursts of a second's worth are allowed. */
  writesPerS = Infinity;
  private budget = 0;
  private budgetAt = 0;
  refused = 0;
  private spend(writes: number): boolean {
    if (!Number.isFinite(this.writesPerS)) return true;
    const { now } = this.world;
    this.budget = Math.min(this.writesPerS, this.budget + ((now - this.budgetAt) / 1000) * this.writesPerS);
    this.budgetAt = now;
    if (this.budget < writes) {
      this.refused++;
      return false;
    }
    this.budget -= writes;
    return true;
  }

  lease(ttlMs: number): number | null {
    if (this.down) return null;
    const hold = this.nextHold++;
    this.holds.set(hold, this.world.now + ttlMs);
    this.ttl.set(hold, ttlMs);
    return hold;
  }
  private ttl = new Map<number, number>();

  renew(hold: number): 'ok' | 'gone' | 'failed' {
    if (this.down) return 'failed';
    this.expire();
    if (!this.holds.has(hold)) return 'gone';
    this.holds.set(hold, this.world.now + this.ttl.get(hold)!);
    return 'ok';
  }

  end(hold: number): void {
    this.holds.delete(hold);
    const gone = [...this.keys.values()].filter((k) => k.hold === hold);
    if (gone.length > 0) this.epoch++;
    for (const k of gone) {
      this.keys.delete(k.key);
      this.log.push({ key: k.key, data: undefined, stamp: this.epoch });
    }
  }

  expire(): void {
    if (this.down)
      for (const hold of this.holds.keys()) this.holds.set(hold, this.world.now + this.ttl.get(hold)!);
    for (const [hold, until] of [...this.holds]) if (until < this.world.now) this.end(hold);
  }

  /** A copy of what there is, to come back to. */
  copy(): { epoch: number; keys: [string, Change & { hold?: number }][] } {
    return { epoch: this.epoch, keys: [...this.keys] };
  }

  /** It has lost data: what is left, at which revision. Nothing tells of it; leases are gone, too. */
  lose(left: [string, Change & { hold?: number }][], epoch: number): void {
    this.keys.clear();
    for (const [key, k] of left) this.keys.set(key, k);
    this.epoch = epoch;
    this.log.length = 0;
    this.holds.clear();
  }

  items(): Change[] {
    return [...this.keys.values()]
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
  cut = false;
  /** It gets 429 from the state service. */
  throttled = false;
  /** It and the other controllers do not reach each other. */
  apart = false;
  /** Its commits are on their way for long, and it gets no answer to them. */
  holdBack = false;
  /** What it tells the others comes so much later. */
  heldMs = 0;
  /** It stands still while its clock runs on: what arrives waits. */
  frozen = false;
  /** How fast its steady clock runs. */
  clockRate = 1;
  /** Changes of the state reach it again only some time after it woke: first comes what had waited. */
  private newsAt = 0;
  private followed = -1;
  private readFrom = 0;
  answers = new Map<number, { status: number; body: Record<string, unknown>; retryAfterS?: number }>();
  private runs = 0;
  /** The program that it runs from its next start on. */
  program: Program = thisProgram;
  operators: Operators;
  /** What it has logged: level, message, fields. */
  readonly logged: [string, string, Record<string, unknown>?][] = [];
  /** What its process died of, if it did. */
  died: Error | null = null;
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
    this.died = null;
    this.start(null);
  }

  /** How often it began anew with what it knew. */
  reborn = 0;

  private start(recoveryRecords: RecoveryRecords | null): void {
    this.readFrom = this.world.now;
    this.followed = -1;
    this.controller = new this.program.Controller(
      this.settings,
      this.operators,
      `${this.member}r${++this.runs}`,
      seeded(this.world.seed + this.runs),
      (...line) => void this.logged.push(line),
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
    if (this.frozen) {
      this.newsAt = this.world.now + 300;
      return;
    }
    // Reading takes its time and begins anew when it is interrupted; what is watched goes on.
    const off = this.cut || s.down || (this.throttled && this.followed < 0);
    if (off && this.followed < 0) this.readFrom = this.world.now;
    const read = this.followed >= 0 || this.world.now >= this.readFrom + this.world.readMs;
    if (!off && read && this.world.now >= this.newsAt) {
      if (this.followed < 0) this.push({ type: 'snapshot-loaded', items: s.items(), epoch: s.epoch });
      else if (this.followed < s.epoch)
        this.push({ type: 'changes', changes: s.log.filter((c) => c.stamp > this.followed), epoch: s.epoch });
      this.followed = s.epoch;
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
      if (!this.world.mayDie) throw e;
      this.alive = false;
      this.died = e as Error;
    }
    for (const e of effects) {
      const reply = (c: Command | null) =>
        this.world.after(this.world.answerMs, () => {
          if (c && this.alive && this.controller === controller) this.queue.push(c);
        });
      this.carryOut(e, reply);
    }
  }

  private carryOut(e: Effect, reply: (c: Command | null) => void): void {
    const w = this.world;
    const off = this.cut || w.state.down || this.throttled;
    switch (e.type) {
      case 'respond':
        this.answers.set(e.rid, {
          status: e.status,
          body: e.body as Record<string, unknown>,
          retryAfterS: e.retryAfterS,
        });
        break;
      case 'commit': {
        if (this.cut) return reply({ type: 'commit-result', outcome: { type: 'rejected' } });
        if (this.throttled) return reply({ type: 'commit-result', outcome: { type: 'rate-limited' } });
        if (this.holdBack) {
          w.heldBack.push(e.txn);
          return reply({ type: 'commit-result', outcome: { type: 'unknown' } });
        }
        if (w.chance() < w.state.lateShare && !w.state.down) {
          const { txn } = e;
          w.after(2000 + 10_000 * w.chance(), () => {
            w.commits.push({ member: this.member, txn, outcome: w.state.commit(txn), at: w.now });
          });
          return void w.after(w.lostAnswerMs, () =>
            reply({ type: 'commit-result', outcome: { type: 'unknown' } }),
          );
        }
        const { txn } = e;
        w.sometime(w.commitMs(), () => {
          const outcome = w.state.commit(txn);
          w.commits.push({ member: this.member, txn, outcome, at: w.now });
          const lost = w.state.loseAnswers || w.state.loses(txn);
          if (lost)
            w.sometime(w.lostMs(), () => reply({ type: 'commit-result', outcome: { type: 'unknown' } }));
          else reply({ type: 'commit-result', outcome });
        });
        break;
      }
      case 'read-revision':
        reply({ type: 'revision-read', sentAt: w.now * this.clockRate, epoch: off ? null : w.state.epoch });
        break;
      case 'grant-lease':
        reply({ type: 'lease-granted', hold: off ? null : w.state.lease(e.ttlMs) });
        break;
      case 'renew-lease':
        reply({
          type: 'lease-renewal-result',
          hold: e.hold,
          outcome: off ? 'failed' : w.state.renew(e.hold),
        });
        break;
      case 'revoke-lease':
        if (!off) w.state.end(e.hold);
        break;
      case 'list-machine-types':
        reply({ type: 'machine-types', types: w.cloudDown ? null : w.types });
        break;
      case 'rent-machines': {
        this.actsAsLeader('rent');
        w.rentals.push(e.request);
        if (w.cloudDown) return reply({ type: 'rental-result', request: e.request, outcome: 'refused' });
        const { request } = e;
        if (w.chance() < w.cloudLate) {
          w.after(2000 + 10_000 * w.chance(), () => w.rent(request));
          return reply({ type: 'rental-result', request, outcome: 'unknown' });
        }
        const outcome = w.rent(request);
        w.sometime(w.cloudMs(), () => reply({ type: 'rental-result', request, outcome }));
        break;
      }
      case 'delete-machines':
        this.actsAsLeader('return');
        if (w.cloudDown) return reply({ type: 'deletion-result', hosts: e.hosts, ok: false });
        if (w.chance() < w.cloudLate) {
          const { hosts } = e;
          w.after(2000 + 10_000 * w.chance(), () => w.remove(hosts));
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
                ageS: (w.now - x.bornAt) / 1000,
              })),
        });
        break;
      case 'send-task-commands':
        w.sometime(w.orderMs(), () => {
          const to = w.workers.get(e.host);
          if (!to?.cutFrom.has(this.member)) to?.straight(e.orders, e.token, e.session);
        });
        break;
      case 'forward-heartbeat': {
        const to = w.nodes.find((n) => n.member === e.to);
        const id = ++w.rids;
        if (!to?.alive || this.apart || to.apart)
          return reply({ type: 'forwarded-response', rid: e.rid, status: 503, body: {} });
        to.push({ type: 'heartbeat', rid: id, report: e.report, from: this.member });
        w.after(30, () => {
          const a = to.answers.get(id);
          if (a) this.push({ type: 'forwarded-response', rid: e.rid, status: a.status, body: a.body });
        });
        break;
      }
      case 'peer-status':
        this.tellPeers((to) => to.push({ type: 'peer-status', from: this.member, pulse: e.pulse }));
        break;
      case 'rejected-jobs':
        this.tellPeers((to) => to.push({ type: 'rejected-jobs', list: e.list }));
        break;
      case 'query-freshness':
        this.tellPeers((to) => to.push({ type: 'freshness-query', from: this.member, question: e.question }));
        break;
      case 'confirm-freshness': {
        const { question, known } = e;
        const vouched = {
          type: 'freshness-confirmed',
          from: this.member,
          run: this.run,
          question,
          known,
        } as const;
        this.tellPeers((to) => to.member === e.to && to.push(vouched));
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
        this.reborn++;
        // What was asked for before counts no more; requests wait on.
        this.queue = this.queue.filter((c) => ['submit', 'query', 'cancel', 'heartbeat'].includes(c.type));
        this.start(e.recoveryRecords);
        break;
    }
  }

  private get run(): string {
    return `${this.member}r${this.runs}`;
  }

  private tellPeers(tell: (to: Node) => void): void {
    if (!this.world.talk || this.apart) return;
    for (const n of this.world.nodes)
      if (n !== this && !n.apart) this.world.after(5 + this.heldMs, () => n.alive && tell(n));
  }

  private actsAsLeader(what: string): void {
    const { keys } = this.world.state;
    const lead = (keys.get('dp/chief') ?? keys.get('dp/lead'))?.data as { member: string } | undefined;
    if (lead?.member !== this.member) this.world.broken.push(`stale ${what} by ${this.member}`);
  }

  private rid = 1000;
  /** Sends a request and plays until it is answered. */
  ask(c: (rid: number) => Command, withinMs = 6000) {
    const rid = ++this.rid;
    this.push(c(rid));
    const until = this.world.now + withinMs;
    while (!this.answers.has(rid) && this.world.now < until) this.world.play(0.01);
    return this.answers.get(rid);
  }
  submit = (job: JobSpec) => {
    if (job.shape === 'service') this.world.endless.add(job.id);
    if (job.shape === 'gang') this.world.gangs.set(job.id, job.tasks);
    this.world.specs.set(job.id, job);
    return this.ask((rid) => ({ type: 'submit', rid, spec: job }));
  };
  status = (id: string) => this.ask((rid) => ({ type: 'query', rid, id }));
  withdraw = (id: string) => this.ask((rid) => ({ type: 'cancel', rid, id }));
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
  noticeS: number | null = null;
  silent = false;
  /** The machine hangs: nothing goes on, and what is due is done when it does again. */
  hung = false;
  /** Its reports arrive; answers and direct commands to it are lost. */
  deaf = false;
  /** Direct commands that have come while it hung. */
  private readonly waiting: { orders: TaskOrder[]; token: number; session: number }[] = [];
  /** Controllers that it cannot reach. */
  readonly cutFrom = new Set<string>();
  sick = false;
  runS: number;
  private leaseFrom: number;
  private at: number;
  private inFlight = false;
  private target = 0;
  readonly bornAt: number;
  /** When it last got an answer it could use, and the longest time without, ms. */
  answeredAt: number;
  gapMs = 0;
  constructor(
    readonly world: World,
    readonly host: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.bornAt = this.leaseFrom = this.answeredAt = world.now;
    this.at = world.now + 1000;
    this.runS = world.runS;
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
      noticeS: this.noticeS,
      tasks: [...this.tasks.values()].map((t) => ({ ...t.report })),
    };
  }

  /** A task gets its image; one of a gang then waits for the others of its attempt. */
  private wait(t: Running): void {
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
  forget(): void {
    this.tasks.clear();
    this.session++;
    this.leaseFrom = this.world.now;
    this.at = this.world.now;
  }

  /** Whom it reports to. */
  get node(): Node {
    return this.world.nodes[this.target % this.world.nodes.length];
  }

  /** Things that go on without any controller. */
  live(): void {
    const w = this.world;
    if (w.now - this.leaseFrom > w.leaseMs) {
      const { at } = this;
      this.forget();
      this.at = at;
    }
    for (const d of this.waiting.splice(0)) this.straight(d.orders, d.token, d.session);
    for (const t of this.tasks.values()) this.wait(t);
    for (const t of this.tasks.values())
      if (t.report.phase === 'saving' && w.now - t.since > (t.saveS ?? 0) * 1000)
        Object.assign(t.report, { phase: 'exited', why: 'stopped', saved: true });
    for (const t of this.tasks.values())
      if (
        t.report.phase === 'running' &&
        !w.endless.has(t.report.job) &&
        w.now - t.since > (w.runOf(`${t.report.job}/${t.report.index}`) ?? this.runS) * 1000
      ) {
        t.report.phase = 'exited';
        t.report.exitReason = 'done';
        w.finished.push(`${t.report.job}/${t.report.index}`);
      }
  }

  step(): void {
    const w = this.world;
    if (this.hung) return;
    this.live();
    if (this.silent || this.inFlight || w.now < this.at) return;
    this.at = w.now + w.reportMs;
    const { node } = this;
    if (!node.alive || this.cutFrom.has(node.member)) {
      this.target++;
      this.at = w.now + 1000;
      return;
    }
    const sentAt = w.now;
    const session = this.session;
    const rid = ++w.rids;
    const report = this.report();
    if (!node.controller.replica.machines.has(this.host)) w.early++;
    node.push({ type: 'heartbeat', rid, report });
    if (w.chance() < w.keptForNext) w.old.push(report);
    if (w.chance() < w.lateReports) {
      const to = w.nodes[Math.floor(w.chance() * w.nodes.length)];
      w.after(2000 + 1.5 * w.leaseMs * w.chance(), () =>
        to.push({ type: 'heartbeat', rid: ++w.rids, report }),
      );
    }
    if (this.deaf) {
      this.target++;
      this.at = w.now + 5000;
      return;
    }
    this.inFlight = true;
    const heldMs = w.heldMs();
    if (heldMs > 0) this.at = Math.max(this.at, w.now + heldMs + 200);
    w.after(100 + heldMs, () => this.answered(node, rid, sentAt, session));
  }

  private answered(node: Node, rid: number, sentAt: number, session: number): void {
    const w = this.world;
    // A machine that goes on takes what came meanwhile, unless that is too old.
    if (this.hung && w.now - sentAt < 4000)
      return w.after(50, () => this.answered(node, rid, sentAt, session));
    // One report at a time; an answer is waited for as long as its controller lives.
    const waits = !this.silent && !this.deaf && node.alive && !this.cutFrom.has(node.member);
    if (!node.answers.has(rid) && waits && w.now - sentAt < 4000)
      return w.after(10, () => this.answered(node, rid, sentAt, session));
    const a = node.answers.get(rid);
    node.answers.delete(rid);
    this.inFlight = false;
    if (this.silent || this.hung || this.deaf || session !== this.session) return;
    this.gapMs = Math.max(this.gapMs, w.now - this.answeredAt);
    if (a?.status !== 200) {
      const boss = w.nodes.findIndex((n) => n.member === a?.body['boss']);
      this.target = boss >= 0 && w.nodes[boss] !== node ? boss : this.target + 1;
      this.at = w.now + (boss >= 0 ? 50 : 1000);
      return;
    }
    const body = a.body as {
      baton: number;
      orders: { verb: string; piece: string; try: number; windDownS?: number }[];
    };
    if (body.baton < this.token) return;
    if (body.baton > this.token) this.at = Math.min(this.at, w.now + 500);
    this.token = body.baton;
    this.leaseFrom = sentAt;
    this.answeredAt = w.now;
    this.noteKept(node, sentAt, new Set(body.orders.flatMap((o) => (o.verb === 'kill' ? [o.piece] : []))));
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
  private noteKept(node: Node, sentAt: number, killed: ReadonlySet<string>): void {
    const w = this.world;
    w.kept.answers.set(node.member, (w.kept.answers.get(node.member) ?? 0) + 1);
    for (const [piece, t] of this.tasks) {
      const since = w.cancelledAt.get(t.report.job);
      if (since === undefined || t.report.phase === 'exited' || killed.has(piece)) continue;
      w.kept.mostMs = Math.max(w.kept.mostMs, sentAt - since);
      if (sentAt - since > w.keepMs) w.broken.push(`kept ${piece} ${sentAt - since} ms by ${node.member}`);
    }
  }

  /** Commands sent straight to it: carried out late, too, as long as token and session are right. */
  straight(orders: TaskOrder[], token: number, session: number): void {
    if (this.deaf) return;
    if (this.hung) this.waiting.push({ orders, token, session });
    else if (session === this.session) this.execute(orders, token);
  }

  execute(orders: TaskOrder[], token: number): void {
    if (token < this.token || this.hung) return;
    this.token = token;
    for (const o of orders) {
      const piece = `${o.job}/${o.index}`;
      const t = this.tasks.get(piece);
      if (o.op === 'start') {
        this.world.noteStart(this, o.job, o.index, t !== undefined);
        if (t) continue;
        const report: TaskStatus = {
          job: o.job,
          index: o.index,
          attempt: o.attempt,
          phase: this.world.fetchS > 0 ? 'fetching' : 'running',
          exitReason: null,
          saved: false,
        };
        if (this.sick || this.world.mistaken.has(o.job))
          Object.assign(report, { phase: 'exited', why: 'error' });
        this.tasks.set(piece, { report, since: this.world.now });
      } else if (t?.report.attempt === o.attempt) {
        if (o.op === 'forget' && t.report.phase === 'exited') this.tasks.delete(piece);
        if (o.op === 'stop' && t.report.phase !== 'exited') this.stop(t, o.graceS);
      }
      this.at = Math.min(this.at, this.world.now + 500);
    }
  }

  /** One that saves goes on doing so unless it is told to end at once. */
  private stop(t: Running, graceS: number): void {
    const saveS = this.world.specs.get(t.report.job)?.saveS ?? 0;
    const saves = t.report.phase === 'running' && saveS > 0 && graceS >= saveS;
    if (saves) Object.assign(t, { since: this.world.now, saveS });
    if (saves) t.report.phase = 'saving';
    else if (t.report.phase !== 'saving' || graceS === 0)
      Object.assign(t.report, { phase: 'exited', why: 'stopped', saved: graceS > 0 });
  }

  /** A machine that hangs may go on within its lease; after that nothing of what it had is there. */
  holds(piece: string): boolean {
    if (this.hung && this.world.now - this.leaseFrom > this.world.leaseMs) return false;
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
  readonly endless = new Set<string>();
  /** Jobs submitted with a mistake: their tasks fail on every machine. */
  readonly mistaken = new Set<string>();
  readonly starts: { piece: string; host: string; at: number }[] = [];
  /** Broken rules, as a referee who sees everything finds them. */
  readonly broken: string[] = [];
  readonly cancelledAt = new Map<string, number>();
  /**
   * Answers that have renewed a lease, by controller, and the longest time after its cancellation for which a task was kept
   * by one. It may be `cancel_s` - `lease_s`, less what clocks differ by.
   */
  readonly kept = { answers: new Map<string, number>(), mostMs: 0 };
  keepMs = 20_000 * (1 - 0.001);
  types: MachineType[] = [box];
  capacity = 10;
  cloudDown = false;
  /** Commits that are still on their way. */
  readonly heldBack: Transaction[] = [];
  /** Controllers reach each other. */
  talk = true;
  /** An error in a controller ends its process, not the test. */
  mayDie = false;
  /** What the controllers' random numbers come from. */
  readonly seed: number;
  rids = 1_000_000;
  /** How long an answer of the state service or the cloud takes, and the first reading of the state. */
  answerMs = 5;
  readMs = 0;
  /** After so long a controller gives up waiting for the answer to a commit. */
  lostAnswerMs = 1000;
  /** Of this share of the workers' reports a copy arrives again, up to one and a half leases later, at whichever controller. */
  lateReports = 0;
  /** How long tasks run on machines that come from now on; for some tasks, wherever they run. */
  runS = 20;
  runOf: (piece: string) => number | undefined = () => undefined;
  /** This share of rentals and returns gets no answer and is carried out 2 to 12 s later. */
  cloudLate = 0;
  /** How long transactions are on their way, and answers to rentals; after how long a lost answer is noticed, ms. */
  commitMs: () => number = () => 0;
  cloudMs: () => number = () => 0;
  lostMs: () => number = () => 0;
  /** Reports of machines that the controller they came to had no record of. */
  early = 0;
  /** Of this share of the reports a copy is kept until somebody else leads or owns, and then reaches every controller. */
  keptForNext = 0;
  readonly old: Heartbeat[] = [];
  /** How many such copies came just as somebody else had begun. */
  oldCame = 0;
  private readonly begun = new Map<string, number>();
  /** Starts after a confirmed cancellation: of which tasks, and how long after. */
  readonly startsLate: { piece: string; afterMs: number }[] = [];
  /** How long direct commands, and answers to reports, are held up, ms. */
  orderMs: () => number = () => 0;
  heldMs: () => number = () => 0;
  leaseMs = 16_000;
  reportMs = 2000;
  private later: { at: number; fn: () => void }[] = [];
  private hosts = 0;

  /** The world's own chance, apart from the controllers'. */
  readonly chance: () => number;

  constructor(
    nodes = 1,
    operators: Partial<Operators> = {},
    seed = 1,
    settingsOf: (text: string) => string = (text) => text,
  ) {
    this.seed = seed;
    this.chance = seeded(seed * 7919 + 13);
    for (let i = 0; i < nodes; i++) {
      const settings = parseSettings(settingsOf(settingsText(`n${i}`, nodes)));
      this.nodes.push(new Node(this, `n${i}`, settings, { ...defaults, ...operators }));
    }
  }

  after(ms: number, fn: () => void): void {
    this.later.push({ at: this.now + ms, fn });
  }

  sometime(ms: number, fn: () => void): void {
    if (ms > 0) this.after(ms, fn);
    else fn();
  }

  private readonly hires = new Map<string, string[]>();
  /** A request name that was carried out once gets the same answer for ever. */
  rent(request: RentRequest): { hosts: string[] } | 'none' {
    const before = this.hires.get(request.name);
    if (before) return { hosts: before };
    if (this.capacity <= 0) return 'none';
    const hosts: string[] = [];
    for (let i = 0; i < request.count && this.capacity > 0; i++) {
      this.capacity--;
      hosts.push(this.addWorker(request.type, request.zone, request.spot).host);
    }
    this.hires.set(request.name, hosts);
    return { hosts };
  }

  remove(hosts: string[]): void {
    for (const h of hosts) {
      this.deleted.push(h);
      if (this.workers.delete(h)) this.capacity++;
    }
  }

  addWorker(type: string, zone: string, spot: boolean): Worker {
    const host = `n-${String(++this.hosts).padStart(6, '0')}`;
    const w = new Worker(this, host, type, zone, spot);
    this.workers.set(host, w);
    return w;
  }

  noteStart(w: Worker, job: string, index: number, held: boolean): void {
    const piece = `${job}/${index}`;
    this.starts.push({ piece, host: w.host, at: this.now });
    if (held) return;
    for (const other of this.workers.values())
      if (other !== w && other.holds(piece))
        this.broken.push(`ran_twice ${piece} on ${w.host} and ${other.host}`);
    const since = this.cancelledAt.get(job);
    if (since !== undefined && this.now > since + 36_000) this.broken.push(`ran_cancelled ${piece}`);
    if (since !== undefined && this.now > since) this.startsLate.push({ piece, afterMs: this.now - since });
    this.judgePlace(w, job, piece);
  }

  /** Type, zone, kind of machine and the team's limit, with all that is on machines now. */
  private judgePlace(w: Worker, job: string, piece: string): void {
    const spec = this.specs.get(job);
    if (!spec) return;
    const zones = new Map<string, number>([[w.zone, 1]]);
    let cpus = spec.cpus;
    for (const x of this.workers.values())
      for (const [held, t] of x.tasks) {
        if (!x.holds(held) || held === piece) continue;
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
    if (wrong) this.broken.push(`wrong_place ${piece} on ${w.host}`);
    const cap = this.nodes[0].settings.teams.find((t) => t.name === spec.team)?.cpus_max ?? 0;
    if (cap > 0 && cpus > cap + 1e-9) this.broken.push(`quota ${spec.team}: ${cpus} with ${piece}`);
  }

  /** Somebody else leads or owns: what was kept for that moment comes now, or a little later. */
  private bringOld(): void {
    let changed = false;
    for (const [key, { stamp }] of this.state.keys)
      if (/^dp\/(chief|lead|shard\/)/.test(key) && this.begun.get(key) !== stamp) {
        changed ||= this.begun.has(key);
        this.begun.set(key, stamp);
      }
    if (!changed) return;
    for (const report of this.old.splice(0)) {
      const ms = this.chance() < 0.5 ? 100 * this.chance() : 4000 * this.chance();
      this.after(ms, () => {
        for (const n of this.nodes) if (n.alive) n.push({ type: 'heartbeat', rid: ++this.rids, report });
        this.oldCame++;
      });
    }
  }

  /** A machine dies: the cloud has room for another. */
  die(m: Worker): void {
    if (this.workers.delete(m.host)) this.capacity++;
  }

  /** Plays so many seconds, in steps of 10 ms. */
  play(seconds: number): void {
    const until = this.now + seconds * 1000;
    while (this.now < until) {
      this.now += 10;
      const due = this.later.filter((l) => l.at <= this.now);
      this.later = this.later.filter((l) => l.at > this.now);
      for (const l of due) l.fn();
      if (!this.state.down) this.state.expire();
      else this.state.expire();
      if (this.keptForNext > 0 || this.old.length > 0) this.bringOld();
      for (const w of this.workers.values()) w.step();
      for (const n of this.nodes) n.step();
      for (const [job, at] of this.cancelledAt)
        if (this.now > at + 36_000)
          for (const w of this.workers.values())
            for (const piece of w.tasks.keys())
              if (piece.startsWith(`${job}/`) && w.holds(piece))
                this.broken.push(`ran_cancelled ${piece} stays`);
    }
  }

  playUntil(what: () => boolean, withinS: number): boolean {
    const until = this.now + withinS * 1000;
    while (!what() && this.now < until) this.play(0.1);
    return what();
  }

  running(job: string): { host: string; piece: string }[] {
    const list: { host: string; piece: string }[] = [];
    for (const w of this.workers.values())
      for (const piece of w.tasks.keys())
        if (piece.startsWith(`${job}/`) && w.holds(piece)) list.push({ host: w.host, piece });
    return list;
  }
}
