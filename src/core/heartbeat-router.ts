import type { Settings } from '../config/settings.js';
import type { Heartbeat } from '../model/heartbeat.js';
import {
  offloadAbove,
  leastBusyHelper,
  shouldRedirect,
  handoverTarget,
  needsOffload,
  type ControllerLoad,
} from '../policy/load-sharing.js';
import { answerOut, redirectOut } from '../wire/worker.js';
import type { ScheduledMachine } from './shard-state/types.js';
import { isNewerHeartbeat } from './heartbeat-reconciler.js';
import type { ShardManager } from './shard-manager.js';
import type { Clock, Effect, Log } from './effects.js';
import type { Autoscaler } from './autoscaler/autoscaler.js';
import { HeldResponses, type ReleasedResponse } from './held-responses.js';
import type { Peers } from './peers.js';
import type { VersionedMachine, Replica } from './replica.js';

/** Of the 4 s that workers wait for an answer. */
const relayMs = 2000;
/** A shard that was handed over stays for so many worker leases. */
const settleLeases = 4;
/** Of the workers that report in a second, so many are sent away at most: the others' load must show first. */
const sentAwayShare = 0.1;

/** What it needs of the controller. */
export interface HeartbeatRouterHost {
  member: string;
  run: string;
  /** A worker has seen this token. */
  noteToken(token: number): void;
  /** Whether the view is new enough for workers to be answered from it. */
  mayAnswerWorkers(): boolean;
  /** Writes are short: the state service refuses some, or users wait for theirs. */
  writesAreScarce(): boolean;
  isLeader(): boolean;
  handOver(shard: number, to: string, run: string): void;
}

/** Where a worker's report goes: answered here, sent to its owner, or handed on to it. */
export class HeartbeatRouter {
  /** Workers that were sent on to their owner, and when, ms. */
  private readonly redirected = new Map<string, number>();
  /** HeartbeatRouter handed on to their owner, by request, and when, ms. */
  private readonly relays = new Map<number, number>();
  private load: ControllerLoad = { utilization: 0, connections: 0, machines: 0, forwardedShare: 0 };
  /** HeartbeatRouter since the load was last measured, and how many of them came through others. */
  private count = 0;
  private relayedCount = 0;
  private helped = false;
  private sentAway = 0;
  /** Since the last look at how the shards are served. */
  private direct = 0;
  private through = new Map<string, number>();
  private lookedAt = 0;
  private readonly heldResponses: HeldResponses;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly shardManager: ShardManager,
    private readonly autoscaler: Autoscaler,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly host: HeartbeatRouterHost,
    private readonly limits: { preferredConnections: number; maxForwarded: number },
    private readonly log: Log,
  ) {
    this.heldResponses = new HeldResponses(settings, shardManager.heartbeatReconciler, clock);
  }

  get utilization(): number {
    return this.load.utilization;
  }

  /** Others are asked to keep the workers that reach them. */
  get wantsForwarding(): boolean {
    return this.helped;
  }

  route(rid: number, report: Heartbeat, from: string | null, out: Effect[]): void {
    const answer = (status: number, body: object, retryAfterS?: number) =>
      void out.push({ type: 'respond', rid, status, body, retryAfterS });
    // Guards against acting on an old view: a cancellation seen by users could be missed here, and the
    // answer would keep the task alive.
    this.host.noteToken(report.fencingToken);
    if (!this.host.mayAnswerWorkers() || this.replica.levels.mustStandBy) return answer(503, {}, 1);
    const m = this.replica.machines.get(report.host);
    if (!m) {
      if (this.host.isLeader()) {
        this.autoscaler.adoptReportingMachine(report);
        return answer(503, {}, 1);
      }
      return answer(421, redirectOut(this.replica.leader?.member ?? null));
    }
    const custodian = this.replica.responsibleController(m);
    if (!custodian || !this.isMine(custodian)) return this.elsewhere(rid, report, m, from, out);
    this.redirected.delete(report.host);
    // Somebody came under a newer token: we are the stale owner and do not know it yet.
    if (report.fencingToken > custodian.token) return answer(421, redirectOut(null));
    this.count++;
    if (from !== null) this.relayedCount++;
    if (from === null) this.direct++;
    else this.through.set(from, (this.through.get(from) ?? 0) + 1);
    if (m.shard < 0) {
      this.autoscaler.recordHeartbeat(m.host);
      return answer(200, answerOut(custodian.token, []));
    }
    const run = this.shardManager.machines.get(m.host);
    if (!run) return answer(503, {}, 1);
    const to = from === null && report.fencingToken === custodian.token ? this.elseTo() : null;
    if (to !== null) return answer(421, redirectOut(to));
    this.autoscaler.recordHeartbeat(m.host);
    // A late copy is no newer report: the machine may still wait for the answer to the one that is held.
    const newer = isNewerHeartbeat(report, [run.agentEpoch, run.heartbeatSeq]);
    const before = newer ? this.heldResponses.releaseSuperseded(m.host) : null;
    if (before) this.release(before, out);
    const orders = this.shardManager.heartbeatReconciler.reconcile(run, report, custodian.token);
    // Where time or writes are short, starts come late as it is.
    const calm = this.load.utilization < offloadAbove && !this.host.writesAreScarce();
    const waits = newer && from === null && orders.length === 0 && calm;
    if (waits && this.heldResponses.tryHold(run, report, custodian.token, rid)) return;
    answer(200, answerOut(custodian.token, orders));
  }

  private release({ rid, token, orders }: ReleasedResponse, out: Effect[]): void {
    if (orders === null) out.push({ type: 'respond', rid, status: 503, body: {}, retryAfterS: 1 });
    else out.push({ type: 'respond', rid, status: 200, body: answerOut(token, orders) });
  }

  /** Whether a report that was taken in before may still be answered under this token. */
  private stands(run: ScheduledMachine, token: number): boolean {
    const m = this.replica.machines.get(run.host);
    const custodian = m && this.replica.responsibleController(m);
    if (!this.host.mayAnswerWorkers() || this.replica.levels.mustStandBy || !custodian) return false;
    if (!this.isMine(custodian) || custodian.token !== token) return false;
    return this.shardManager.machines.get(run.host) === run;
  }

  private isMine({ member, run }: { member: string; run: string }): boolean {
    return member === this.host.member && run === this.host.run;
  }

  /** Through whom a worker is to report from now on, or null. Only one that has been proven may go. */
  private elseTo(): string | null {
    const most = Math.max(1, this.shardManager.machines.size * sentAwayShare);
    if (!this.helped || this.sentAway >= most) return null;
    const to = leastBusyHelper(this.peers.livePeers());
    if (to === null || !shouldRedirect(this.load, this.limits.preferredConnections, to.busy)) return null;
    this.sentAway++;
    return to.member;
  }

  private elsewhere(
    rid: number,
    report: Heartbeat,
    m: VersionedMachine,
    from: string | null,
    out: Effect[],
  ): void {
    const { now } = this.clock;
    const custodian = this.replica.responsibleController(m);
    const there =
      custodian !== null &&
      custodian.member !== this.host.member &&
      this.replica.isAlive(custodian.member, custodian.run);
    // A worker that was sent there and is here again cannot reach the owner: its report goes through us, so that a cut
    // between two zones does not cost its lease. So does that of a worker whose owner has asked for help.
    const sentAt = this.redirected.get(report.host) ?? -Infinity;
    const back = now - sentAt < this.settings.workers.lease_s * 1000;
    const relay = there && from === null && (back || this.peers.wantsForwarding(custodian.member));
    if (relay && this.relays.size < this.limits.maxForwarded) {
      if (back) this.redirected.set(report.host, now);
      this.relays.set(rid, now);
      out.push({ type: 'forward-heartbeat', to: custodian.member, rid, report });
      return;
    }
    if (there) this.redirected.set(report.host, now);
    out.push({ type: 'respond', rid, status: 421, body: redirectOut(there ? custodian.member : null) });
  }

  onForwardedResponse(rid: number, status: number, body: object | string, out: Effect[]): void {
    if (this.relays.delete(rid)) out.push({ type: 'respond', rid, status, body });
  }

  /** What the process has been doing lately. */
  onLoadMeasured(busy: number, connections: number): void {
    const shared = this.count > 0 ? this.relayedCount / this.count : 0;
    this.load = {
      utilization: busy,
      connections,
      machines: this.shardManager.machines.size,
      forwardedShare: shared,
    };
    this.count = this.relayedCount = 0;
    this.sentAway = 0;
    const helped =
      this.shardManager.ownedShards.size > 0 &&
      needsOffload(this.helped, this.load, this.limits.preferredConnections);
    if (helped === this.helped) return;
    this.helped = helped;
    this.log('info', helped ? 'others keep our workers' : 'our workers come back', { ...this.load });
  }

  tick(out: Effect[]): void {
    const { now } = this.clock;
    for (const [rid, at] of this.relays) {
      // In order of age.
      if (now - at <= relayMs) break;
      this.relays.delete(rid);
      out.push({ type: 'respond', rid, status: 503, body: {} });
    }
    for (const r of this.heldResponses.releaseDue((machine, token) => this.stands(machine, token)))
      this.release(r, out);
    if (now - this.lookedAt >= this.settings.workers.lease_s * 500) this.look();
  }

  /** Whether a shard would be served better by another controller. */
  private look(): void {
    const { now } = this.clock;
    this.lookedAt = now;
    const standing = {
      direct: this.direct,
      forwardedBy: this.through,
      offloading: this.helped,
      utilization: this.utilization,
    };
    this.direct = 0;
    this.through = new Map();
    const settled =
      now - this.shardManager.lastAcquiredAt > this.settings.workers.lease_s * 1000 * settleLeases;
    if (this.shardManager.ownedShards.size === 0 || !settled || !this.host.mayAnswerWorkers()) return;
    const to = handoverTarget(standing, [...this.peers.livePeers()]);
    const run = to === null ? undefined : this.peers.runOf(to);
    if (to === null || run === undefined) return;
    const { direct, utilization: busy } = standing;
    const through = Object.fromEntries(standing.forwardedBy);
    for (const shard of this.shardManager.ownedShards) {
      this.log('info', 'handing over shard', { shard, to, direct, through, busy });
      this.host.handOver(shard, to, run);
    }
  }
}
