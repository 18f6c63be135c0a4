/**
 * One controller of the simulated cluster: runs its core, executes the effects it returns, and injects the failures that tests
 * configure.
 */
import type { OperatorSettings } from '../../src/config/operators.js';
import type { Settings } from '../../src/config/settings.js';
import { Controller } from '../../src/core/controller.js';
import type { Command, CommitOutcome, Effect } from '../../src/core/effects.js';
import type { RecoveryRecords } from '../../src/core/recovery-records.js';
import type { JobSpec } from '../../src/model/job.js';
import { ForwardedHeartbeats } from '../../src/peers/forwarded-heartbeats.js';
import { decodeFrame, encodeFrame, lengthPrefixBytes } from '../../src/peers/frames.js';
import { seededRandom } from '../../src/retry/index.js';
import type { ListedMachine, RentRequest } from '../../src/wire/cloud.js';
import type { Change, Transaction } from '../../src/wire/store.js';
import type { World } from './world.js';

/** A build of the controller: the current one, or an earlier one that runs alongside it in upgrade tests. */
export interface Program {
  name: string;
  Controller: typeof Controller;
}

/** The build under test. */
export const thisProgram: Program = { name: 'new', Controller };

/** The time from a controller's response to a forwarded heartbeat until the peer has it, ms. */
const forwardingMs = 10;

/** Queues a response for the core after the response time, unless the controller has restarted in the meantime. */
type Reply = (command: Command) => void;

/** A controller process: its core, its input queue and its network conditions. */
export class Node {
  controller!: Controller;
  private queue: Command[] = [];
  /** Those of its current process. */
  private forwardedHeartbeats!: ForwardedHeartbeats;
  alive = true;
  /** Disconnected from the state service: no requests succeed and no changes are seen. */
  cutFromState = false;
  /** The state service answers its requests with 429. */
  rateLimited = false;
  /** It and the other controllers cannot reach each other. */
  isolatedFromPeers = false;
  /** Its commits are kept in `heldCommits` and get no response. */
  holdsCommits = false;
  /** Additional delay of its messages to other controllers, ms. */
  peerDelayMs = 0;
  /** The process is paused while its clock runs on; incoming messages are queued. */
  paused = false;
  /** The rate of its monotonic clock relative to simulated time. */
  clockRate = 1;
  /** When the watch delivers changes again after a pause. Messages that were queued during the pause are processed first. */
  private watchResumesAt = 0;
  private watchedRevision = -1;
  private snapshotStartedAt = 0;
  /** Responses to requests, by request id. */
  responses = new Map<number, { status: number; body: Record<string, unknown>; retryAfterS?: number }>();
  private processStarts = 0;
  /** The build that it runs from its next start on. */
  program: Program = thisProgram;
  operators: OperatorSettings;
  /** Its log entries: level, message, fields. */
  readonly logLines: [string, string, Record<string, unknown>?][] = [];
  /** The exception that ended its process, if any. */
  crashError: Error | null = null;
  constructor(
    readonly world: World,
    readonly member: string,
    readonly settings: Settings,
    operators: OperatorSettings,
  ) {
    this.operators = operators;
    this.boot();
  }

  /** Starts the process with empty memory. */
  boot(): void {
    this.alive = true;
    this.queue = [];
    this.crashError = null;
    this.start(null);
    this.forwardedHeartbeats = new ForwardedHeartbeats(this.instanceId, 0);
  }

  /** How often the core restarted with recovery records, without a process restart. */
  recoveryRestarts = 0;

  private start(recoveryRecords: RecoveryRecords | null): void {
    this.snapshotStartedAt = this.world.now;
    this.watchedRevision = -1;
    this.controller = new this.program.Controller({
      settings: this.settings,
      operators: this.operators,
      instanceId: `${this.member}r${++this.processStarts}`,
      random: seededRandom(this.world.seed + this.processStarts),
      log: (...line) => void this.logLines.push(line),
      program: this.program.name,
      recoveryRecords,
    });
  }

  /** Queues a command for the next step, if the process is alive. */
  push(c: Command): void {
    if (this.alive) this.queue.push(c);
  }

  /** Delivers state changes to the core, runs one step of it and executes the effects that it returns. */
  step(): void {
    if (!this.alive) return;
    const state = this.world.state;
    if (this.paused) {
      this.watchResumesAt = this.world.now + 300;
      return;
    }
    // Loading the snapshot takes time and starts over when it is interrupted. A running watch continues after an interruption.
    const stateUnreachable =
      this.cutFromState || state.unavailable || (this.rateLimited && this.watchedRevision < 0);
    if (stateUnreachable && this.watchedRevision < 0) this.snapshotStartedAt = this.world.now;
    const snapshotRead =
      this.watchedRevision >= 0 || this.world.now >= this.snapshotStartedAt + this.world.snapshotMs;
    if (!stateUnreachable && snapshotRead && this.world.now >= this.watchResumesAt) {
      if (this.watchedRevision < 0)
        this.push({ type: 'snapshot-loaded', items: state.items(), revision: state.revision });
      else if (this.watchedRevision < state.revision)
        this.push({
          type: 'changes',
          changes: state.log.filter((c) => c.stamp > this.watchedRevision),
          revision: state.revision,
        });
      this.watchedRevision = state.revision;
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
      // An uncaught exception ends the process.
      if (!this.world.crashesAllowed) throw e;
      this.alive = false;
      this.crashError = e as Error;
    }
    for (const e of effects) {
      const reply = (c: Command) =>
        this.world.schedule(this.world.responseMs, () => {
          if (this.alive && this.controller === controller) this.queue.push(c);
        });
      this.carryOut(e, reply);
    }
  }

  private carryOut(e: Effect, reply: Reply): void {
    const w = this.world;
    const stateUnreachable = this.cutFromState || w.state.unavailable || this.rateLimited;
    switch (e.type) {
      case 'respond':
        if (this.respondToPeer(e)) break;
        this.responses.set(e.requestId, {
          status: e.status,
          body: e.body as Record<string, unknown>,
          retryAfterS: e.retryAfterS,
        });
        break;
      case 'commit':
        this.commit(e.txn, reply);
        break;
      case 'read-revision':
        reply({
          type: 'revision-read',
          sentAt: w.now * this.clockRate,
          revision: stateUnreachable ? null : w.state.revision,
        });
        break;
      case 'grant-lease':
        reply({ type: 'lease-granted', leaseId: stateUnreachable ? null : w.state.grantLease(e.ttlMs) });
        break;
      case 'renew-lease':
        reply({
          type: 'lease-renewal-result',
          leaseId: e.leaseId,
          outcome: stateUnreachable ? 'failed' : w.state.renewLease(e.leaseId),
        });
        break;
      case 'revoke-lease':
        if (!stateUnreachable) w.state.revokeLease(e.leaseId);
        break;
      case 'list-machine-types':
        reply({ type: 'machine-types', types: w.cloudDown ? null : w.types });
        break;
      case 'rent-machines':
        this.rentMachines(e.request, reply);
        break;
      case 'delete-machines':
        this.deleteMachines(e.hosts, reply);
        break;
      case 'list-machines':
        reply({ type: 'machine-list', askedAt: w.now * this.clockRate, machines: this.listedMachines() });
        break;
      case 'send-task-commands':
        w.scheduleOrRun(w.directCommandDelayMs(), () => {
          const to = w.workers.get(e.host);
          if (!to?.unreachableNodes.has(this.member)) to?.receiveDirectCommands(e.orders, e.token, e.session);
        });
        break;
      case 'forward-heartbeat':
        this.forwardHeartbeat(e, reply);
        break;
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
        const confirmation = {
          type: 'freshness-confirmed',
          from: this.member,
          instanceId: this.instanceId,
          query,
          known,
        } as const;
        this.broadcast((to) => to.member === e.to && to.push(confirmation));
        break;
      }
      case 'catch-up':
        break;
      case 'audit':
        reply({
          type: 'audit-result',
          from: e.from,
          ...this.auditPage(e.from, e.keys),
          revision: stateUnreachable ? null : w.state.revision,
        });
        break;
      case 'restart':
        this.recoveryRestarts++;
        // Responses to earlier requests of the core are dropped; requests of users and workers stay queued.
        this.queue = this.queue.filter((c) => ['submit', 'query', 'cancel', 'heartbeat'].includes(c.type));
        this.start(e.recoveryRecords);
        break;
    }
  }

  private commit(txn: Transaction, reply: Reply): void {
    const w = this.world;
    const respond = (outcome: CommitOutcome): void => reply({ type: 'commit-result', outcome });
    if (this.cutFromState) return respond({ type: 'rejected' });
    if (this.rateLimited) return respond({ type: 'rate-limited' });
    if (this.holdsCommits) {
      w.heldCommits.push(txn);
      return respond({ type: 'unknown' });
    }
    const execute = (): CommitOutcome => {
      const outcome = w.state.commit(txn);
      w.commits.push({ member: this.member, txn, outcome, at: w.now });
      return outcome;
    };
    if (w.random() < w.state.delayedCommitShare && !w.state.unavailable) {
      w.schedule(2000 + 10_000 * w.random(), execute);
      w.schedule(w.lostResponseMs, () => respond({ type: 'unknown' }));
      return;
    }
    w.scheduleOrRun(w.commitDelayMs(), () => {
      const outcome = execute();
      const responseLost = w.state.dropsResponses || w.state.dropsResponseTo(txn);
      if (responseLost) w.scheduleOrRun(w.lostResponseNoticedMs(), () => respond({ type: 'unknown' }));
      else respond(outcome);
    });
  }

  private rentMachines(request: RentRequest, reply: Reply): void {
    const w = this.world;
    this.checkLeadership('rent');
    w.rentals.push(request);
    if (w.cloudDown) return reply({ type: 'rental-result', request, outcome: { type: 'rejected' } });
    if (w.random() < w.delayedCloudCallShare) {
      w.schedule(2000 + 10_000 * w.random(), () => w.rent(request));
      return reply({ type: 'rental-result', request, outcome: { type: 'unknown' } });
    }
    const outcome = w.rent(request);
    w.scheduleOrRun(w.cloudDelayMs(), () => reply({ type: 'rental-result', request, outcome }));
  }

  private deleteMachines(hosts: string[], reply: Reply): void {
    const w = this.world;
    this.checkLeadership('return');
    if (w.cloudDown) return reply({ type: 'deletion-result', hosts, ok: false });
    if (w.random() < w.delayedCloudCallShare) {
      w.schedule(2000 + 10_000 * w.random(), () => w.deleteMachines(hosts));
      return reply({ type: 'deletion-result', hosts, ok: false });
    }
    w.deleteMachines(hosts);
    reply({ type: 'deletion-result', hosts, ok: true });
  }

  private listedMachines(): ListedMachine[] | null {
    const w = this.world;
    if (w.cloudDown) return null;
    return [...w.workers.values()].map((x) => ({
      host: x.host,
      endpoint: '127.0.0.1:5',
      type: x.type,
      zone: x.zone,
      spot: x.spot,
      status: 'running',
      ageS: (w.now - x.createdAt) / 1000,
    }));
  }

  private forwardHeartbeat(
    { to, requestId, report }: Extract<Effect, { type: 'forward-heartbeat' }>,
    reply: Reply,
  ): void {
    const owner = this.world.nodes.find((n) => n.member === to);
    if (!owner?.alive || this.isolatedFromPeers || owner.isolatedFromPeers)
      return reply({ type: 'forwarded-response', requestId, status: 503, body: {} });
    const frame = this.forwardedHeartbeats.forward(requestId, report);
    owner.receiveFrame(this.member, encodeFrame(frame));
  }

  /** Responds to a heartbeat that a peer has forwarded; false: the request did not come from a peer. */
  private respondToPeer({ requestId, status, body }: Extract<Effect, { type: 'respond' }>): boolean {
    const w = this.world;
    const response = this.forwardedHeartbeats.respond(requestId, status, body);
    if (!response) return false;
    const peer = w.nodes.find((n) => n.member === response.to)!;
    const deliver = (): void => peer.receiveFrame(this.member, encodeFrame(response.frame));
    if (w.heldPeerResponses) w.heldPeerResponses.push(deliver);
    else w.schedule(forwardingMs, deliver);
    return true;
  }

  /** Receives a frame that carries a heartbeat or the response to one from another controller. */
  private receiveFrame(from: string, bytes: Buffer): void {
    const frame = decodeFrame(bytes.subarray(lengthPrefixBytes));
    if (!this.alive || !frame) return;
    if (frame.type === 'forwarded-heartbeat') {
      const requestId = this.forwardedHeartbeats.receive(from, frame);
      this.push({ type: 'heartbeat', requestId, report: frame.heartbeat, from });
    } else if (frame.type === 'forwarded-response') {
      const requestId = this.forwardedHeartbeats.requestAnsweredBy(frame);
      const body = JSON.parse(frame.body) as object;
      if (requestId !== null)
        this.push({ type: 'forwarded-response', requestId, status: frame.status, body });
    }
  }

  private auditPage(from: string, keys: number): { items: Change[]; more: boolean } {
    const items = this.world.state
      .items()
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter((i) => i.key > from);
    return { items: items.slice(0, keys), more: items.length > keys };
  }

  private get instanceId(): string {
    return `${this.member}r${this.processStarts}`;
  }

  private broadcast(deliver: (to: Node) => void): void {
    if (!this.world.peersConnected || this.isolatedFromPeers) return;
    for (const n of this.world.nodes)
      if (n !== this && !n.isolatedFromPeers)
        this.world.schedule(5 + this.peerDelayMs, () => n.alive && deliver(n));
  }

  private checkLeadership(operation: string): void {
    const { entries: stateEntries } = this.world.state;
    const leader = (stateEntries.get('dp/chief') ?? stateEntries.get('dp/lead'))?.data as
      { member: string } | undefined;
    if (leader?.member !== this.member) this.world.violations.push(`stale ${operation} by ${this.member}`);
  }

  private nextRequestId = 1000;
  /** Sends a request and advances the simulation until it is answered. Returns undefined after `withinMs` without a response. */
  request(c: (requestId: number) => Command, withinMs = 6000) {
    const requestId = ++this.nextRequestId;
    this.push(c(requestId));
    const until = this.world.now + withinMs;
    while (!this.responses.has(requestId) && this.world.now < until) this.world.advance(0.01);
    return this.responses.get(requestId);
  }
  /** Submits a job and returns the response. */
  submit = (job: JobSpec) => {
    if (job.shape === 'service') this.world.serviceJobs.add(job.id);
    if (job.shape === 'gang') this.world.gangs.set(job.id, job.tasks);
    this.world.jobSpecs.set(job.id, job);
    return this.request((requestId) => ({ type: 'submit', requestId, spec: job }));
  };
  /** Queries a job and returns the response. */
  status = (id: string) => this.request((requestId) => ({ type: 'query', requestId, id }));
  /** Cancels a job and returns the response. */
  cancel = (id: string) => this.request((requestId) => ({ type: 'cancel', requestId, id }));
}
