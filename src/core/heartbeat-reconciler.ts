/** Workers' reports: what they prove of placements, and the orders that they are answered with. */
import { taskKey } from '../model/job.js';
import type { TaskOrder, Heartbeat, TaskStatus } from '../model/heartbeat.js';
import { quarantineEvidence, evidenceAgainst, isSuspect, suspectHostCount } from './failure-attribution.js';
import type { ShardState } from './shard-state/shard-state.js';
import { chunkOf } from './shard-state/jobs.js';
import type { Effect } from './effects.js';
import { imageFetchS } from '../policy/pricing.js';
import type { TaskChunk, ScheduledJob, ScheduledMachine, Placement } from './shard-state/types.js';

const maxOrdersPerResponse = 400;
/** A job that fails wherever it goes is tried again after so many worker leases at the latest. */
const maxRetryDelayLeases = 2.5;

/** What workers report and are told: takes reports in as proof, and turns what is durable into orders. */
export class HeartbeatReconciler {
  /** Exited tasks that are to be forgotten once their end is durable. */
  private readonly pendingForget = new Map<
    string,
    { chunk: TaskChunk; version: number; job: ScheduledJob }
  >();

  constructor(private readonly shardState: ShardState) {}

  /** Takes in a report of a machine of ours; returns the orders to answer with. */
  reconcile(machine: ScheduledMachine, report: Heartbeat, token: number): TaskOrder[] {
    const now = this.shardState.clock.now;
    machine.endpoint = report.endpoint;
    machine.lastHeartbeatAt = now;
    if (machine.fencingToken !== token) {
      machine.fencingToken = token;
      machine.confirmedAt = 0;
    }
    // Under our token no earlier owner can renew the lease any more.
    const proof = report.fencingToken === token;
    const leaseEnd = now + this.shardState.settings.workers.lease_s * 1000;
    machine.earliestLeaseExpiry = proof ? leaseEnd : Math.max(machine.earliestLeaseExpiry, leaseEnd);
    // Guards against the late report: its list is as old as itself, and its answer will be dropped.
    if (!isNewerHeartbeat(report, [machine.agentEpoch, machine.heartbeatSeq])) return [];
    machine.agentEpoch = report.agentEpoch;
    machine.heartbeatSeq = report.sequence;
    if (proof) {
      // Guards against returning a machine for having been idle while it booted.
      if (machine.confirmedAt === 0 && machine.placements.size === 0) machine.idleSince = now;
      machine.confirmedAt = now;
    }
    if (report.noticeS !== null && machine.reclaimAt === 0) this.handleReclaimNotice(machine, report.noticeS);
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) listed.set(taskKey(t.job, t.index), t);
    for (const [piece, placement] of [...machine.placements]) {
      if (placement.job.unreadable) continue;
      const t = listed.get(piece);
      // Guards against the old copy that a new owner hears first: a gang that was mended has the same attempt there again.
      // That a task was completed stays true; that it ended otherwise counts only under our token.
      const ended = t?.phase === 'exited' && t.exitReason !== 'done';
      if (t?.attempt === placement.attempt) {
        if (proof || !ended) this.applyTaskStatus(machine, placement, t);
      } else if (
        proof &&
        (placement.startSentWith === null || isNewerHeartbeat(report, placement.startSentWith))
      )
        this.handleMissingTask(machine, placement);
    }
    for (const [piece, t] of listed) {
      const placement = machine.placements.get(piece);
      // Guards against stopping, or forgetting the result of, what a newer program has placed here.
      if (placement?.job.unreadable || this.shardState.replica.isJobUnreadable(t.job)) continue;
      if (placement?.attempt === t.attempt) {
        if (placement.stopRequest && t.phase !== 'exited')
          orders.push(stopOrder(placement, placement.stopRequest.graceS));
      } else if (t.phase === 'exited') {
        const held = this.pendingForget.get(forgetKey(machine.host, piece, t.attempt));
        // Guards against losing a result: a task is forgotten only after its end is durable.
        if (
          !held ||
          held.chunk.durableVersion >= held.version ||
          this.shardState.jobs.get(held.job.id) !== held.job
        ) {
          if (
            !held ||
            this.shardState.replica.jobs.get(t.job)?.state !== 'open' ||
            held.chunk.durableVersion >= held.version
          )
            orders.push({ op: 'forget', job: t.job, index: t.index, attempt: t.attempt });
          this.pendingForget.delete(forgetKey(machine.host, piece, t.attempt));
        }
      } else if (proof) {
        this.shardState.log('warn', 'stray task', { piece, attempt: t.attempt, host: machine.host });
        const job = this.shardState.jobs.get(t.job);
        if (job && t.index < job.spec.tasks)
          this.shardState.onUnknownAttempt(piece, t.attempt, chunkOf(job, t.index).lastAttempt);
        orders.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
      }
    }
    if (proof) this.addStarts(machine, report, listed, orders);
    return orders.slice(0, maxOrdersPerResponse);
  }

  private addStarts(
    machine: ScheduledMachine,
    report: Heartbeat,
    listed: ReadonlyMap<string, TaskStatus>,
    orders: TaskOrder[],
  ): void {
    if (machine.reclaimAt > 0) return;
    for (const [piece, placement] of machine.placements) {
      if (orders.length >= maxOrdersPerResponse) break;
      // Guards against a machine that has changed since it was chosen. What may have been sent stays where it is.
      if (
        placement.placedByThisProcess &&
        placement.startSentWith === null &&
        placement.job.match?.allows(machine.host) === false
      ) {
        this.shardState.removePlacement(placement, 'the machine matches no longer');
        continue;
      }
      if (
        listed.get(piece)?.attempt === placement.attempt ||
        placement.stopRequest ||
        !this.mayStart(placement)
      )
        continue;
      placement.startSentWith = [report.agentEpoch, report.sequence];
      orders.push({ op: 'start', job: placement.job.id, index: placement.index, attempt: placement.attempt });
    }
  }

  /** Placements of a machine that are on their way to being durable. */
  awaitsDurableStart(machine: ScheduledMachine): boolean {
    for (const placement of machine.placements.values())
      if (
        placement.placedByThisProcess &&
        placement.startSentWith === null &&
        placement.stopRequest === null &&
        !this.mayStart(placement)
      )
        return true;
    return false;
  }

  /** What a machine is to be told now, in answer to the newest report of it that was taken in before. */
  currentOrders(machine: ScheduledMachine, report: Heartbeat): TaskOrder[] {
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) {
      const piece = taskKey(t.job, t.index);
      listed.set(piece, t);
      const placement = machine.placements.get(piece);
      if (placement?.attempt === t.attempt && placement.stopRequest && t.phase !== 'exited')
        orders.push(stopOrder(placement, placement.stopRequest.graceS));
    }
    this.addStarts(machine, report, listed, orders);
    return orders;
  }

  /** Guards against starting what a crash could forget: durable first, and a gang's attempt as a whole. */
  private mayStart(placement: Placement): boolean {
    if (
      placement.job.cancelled ||
      placement.job.finalizing ||
      placement.job.unreadable ||
      !this.shardState.mayStartTasks()
    )
      return false;
    if (placement.job.spec.shape !== 'gang') return placement.chunk.durableVersion >= placement.chunkVersion;
    for (const q of placement.job.placements.values())
      if (q.chunk.durableVersion < q.chunkVersion) return false;
    return true;
  }

  private applyTaskStatus(machine: ScheduledMachine, placement: Placement, t: TaskStatus): void {
    const now = this.shardState.clock.now;
    if (t.phase !== 'exited') {
      placement.phase = t.phase;
      machine.images.set(placement.job.spec.image, imageFetchS(placement.job.spec, machine.type));
      if (t.phase === 'running' && placement.runningSince === 0) placement.runningSince = now;
      if (t.phase === 'waiting' && placement.waitingSince === 0) placement.waitingSince = now;
      return;
    }
    const { job } = placement;
    if (t.exitReason === 'done') {
      machine.failuresByJob.clear();
      this.shardState.removePlacement(placement, 'done', 'done');
    } else {
      this.shardState.log('debug', 'task ended', {
        piece: taskKey(job.id, placement.index),
        host: machine.host,
        why: t.exitReason,
      });
      if (t.exitReason === 'error') this.handleTaskError(machine, job);
      if (t.exitReason === 'full' || t.exitReason === 'busy')
        machine.cooldownUntil = now + this.shardState.settings.workers.report_s * 2000;
      if (t.exitReason === 'unknown')
        job.retryNotBefore = now + this.shardState.settings.workers.report_s * 1000;
      this.shardState.removePlacement(placement, t.exitReason ?? 'exited');
    }
    this.pendingForget.set(forgetKey(machine.host, taskKey(job.id, placement.index), placement.attempt), {
      chunk: placement.chunk,
      version: placement.chunk.version,
      job,
    });
  }

  /** A newer report under our token does not list the attempt: it is not on the machine. */
  private handleMissingTask(machine: ScheduledMachine, placement: Placement): void {
    if (placement.stopRequest || placement.job.cancelled)
      return this.shardState.removePlacement(placement, 'absent');
    if (placement.phase === 'placed') {
      // Never seen there; its start is sent (again) with this answer. A machine under notice gets none.
      if (machine.reclaimAt > 0 || machine.quarantined)
        this.shardState.removePlacement(placement, 'machine not to be used');
      else if (
        !placement.placedByThisProcess &&
        placement.startSentWith === null &&
        !this.shardState.mayStillStart(placement)
      )
        this.shardState.removePlacement(placement, 'given up by the owner before');
      return;
    }
    this.shardState.removePlacement(placement, 'vanished', 'lost');
  }

  private handleReclaimNotice(machine: ScheduledMachine, noticeS: number): void {
    machine.reclaimAt = this.shardState.clock.now + noticeS * 1000;
    this.shardState.hazard.recordInterruption();
    this.shardState.log('info', 'notice', { host: machine.host, noticeS });
    for (const placement of machine.placements.values()) {
      const { spec } = placement.job;
      // What can save, saves; what cannot may still finish in time.
      if (spec.checkpointS > 0 && spec.shape !== 'gang' && spec.saveS <= noticeS)
        this.shardState.requestStop(placement, spec.saveS);
      if (spec.shape === 'gang') this.shardState.stopGang(placement.job);
    }
  }

  private handleTaskError(machine: ScheduledMachine, job: ScheduledJob): void {
    machine.failuresByJob.set(job.id, (machine.failuresByJob.get(job.id) ?? 0) + 1);
    const before = job.failedHosts.size;
    job.failedHosts.add(machine.host);
    if (!isSuspect(job)) return this.reassessMachine(machine);
    // Guards against a crowd of first tries that all fail at about the same time: together they are one.
    if (job.placements.size <= 1) job.failedProbes++;
    const w = this.shardState.settings.workers;
    const waitS = Math.min(maxRetryDelayLeases * w.lease_s, w.report_s * 2 ** job.failedProbes);
    job.retryNotBefore = this.shardState.clock.now + waitS * 1000;
    // The machines that it failed on first are cleared.
    if (before < job.failedHosts.size && job.failedHosts.size === suspectHostCount) {
      this.shardState.log('info', 'job fails on several machines', {
        job: job.id,
        hosts: [...job.failedHosts],
      });
      this.reassessFailedHosts(job);
      job.chunks[0].version++;
      this.shardState.taskWriter.noteTermination(job, job.chunks[0]);
    }
  }

  reassessFailedHosts(job: ScheduledJob): void {
    for (const host of job.failedHosts) {
      const machine = this.shardState.machines.get(host);
      if (machine) this.reassessMachine(machine);
    }
  }

  /** Weighs what failed on a machine: it is given up, rests for a while, or is cleared. */
  private reassessMachine(machine: ScheduledMachine): void {
    const against = evidenceAgainst(machine.failuresByJob, (id) => this.shardState.jobs.get(id));
    if (against < quarantineEvidence) {
      machine.cooldownUntil =
        against > 0 ? this.shardState.clock.now + this.shardState.settings.workers.report_s * 4000 : 0;
      return;
    }
    if (machine.quarantined) return;
    this.shardState.log('warn', 'machine fails its tasks', {
      host: machine.host,
      failures: Object.fromEntries(machine.failuresByJob),
    });
    machine.quarantined = true;
    for (const placement of machine.placements.values())
      if (placement.job.spec.shape !== 'gang')
        this.shardState.requestStop(placement, placement.job.spec.saveS);
  }

  /**
   * In a pool, machines are asked for a report when there is something to start on them. The starts themselves go with its
   * answer: sent straight, one could be carried out after a report that was on its way then, and that lists nothing, had
   * been taken for proof that it is not there.
   */
  requestHeartbeats(out: Effect[]): void {
    const { unsentStarts } = this.shardState;
    if (unsentStarts.size === 0) return;
    const wanted = new Set<ScheduledMachine>();
    for (const placement of unsentStarts) {
      const gone = placement.job.placements.get(placement.index) !== placement;
      if (!gone && placement.startSentWith === null && !this.mayStart(placement)) continue;
      unsentStarts.delete(placement);
      const machine = this.shardState.machines.get(placement.host);
      if (
        !gone &&
        placement.startSentWith === null &&
        machine &&
        machine.endpoint !== '' &&
        machine.confirmedAt > 0
      )
        wanted.add(machine);
    }
    for (const machine of wanted) out.push(directOrder(machine, []));
  }

  /**
   * Stops that a worker has not been told yet, to be sent straight to it: a cancelled task is of no use to
   * anybody, and a gang's tasks must hear of an orderly stop at about the same time.
   */
  sendStopOrders(out: Effect[]): void {
    if (this.shardState.unsentStops.size === 0) return;
    const byMachine = new Map<ScheduledMachine, TaskOrder[]>();
    for (const placement of this.shardState.unsentStops) {
      const machine = this.shardState.machines.get(placement.host);
      if (placement.job.placements.get(placement.index) !== placement || placement.stopRequest === null) {
        this.shardState.unsentStops.delete(placement);
        continue;
      }
      if (placement.job.unreadable) continue;
      if (
        !machine ||
        machine.endpoint === '' ||
        machine.confirmedAt === 0 ||
        (placement.startSentWith === null && placement.phase === 'placed')
      )
        continue;
      const orders = byMachine.get(machine) ?? [];
      if (orders.length >= maxOrdersPerResponse) continue;
      this.shardState.unsentStops.delete(placement);
      byMachine.set(machine, orders);
      orders.push(stopOrder(placement, placement.stopRequest.graceS));
    }
    for (const [machine, orders] of byMachine) out.push(directOrder(machine, orders));
  }
}

const stopOrder = ({ job, index, attempt }: Placement, graceS: number): TaskOrder => ({
  op: 'stop',
  job: job.id,
  index,
  attempt,
  graceS,
});

const directOrder = (
  { host, endpoint, fencingToken: token, agentEpoch: session }: ScheduledMachine,
  orders: TaskOrder[],
): Effect => ({
  type: 'send-task-commands',
  host,
  endpoint,
  token,
  session,
  orders,
});

/** Whether a report is newer than what was seen up to this session and number. */
export const isNewerHeartbeat = (r: Heartbeat, [session, seq]: [number, number]): boolean =>
  r.agentEpoch > session || (r.agentEpoch === session && r.sequence > seq);

const forgetKey = (host: string, piece: string, attempt: number): string => `${host} ${piece} ${attempt}`;
