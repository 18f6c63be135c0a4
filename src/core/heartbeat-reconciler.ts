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
  reconcile(m: ScheduledMachine, report: Heartbeat, token: number): TaskOrder[] {
    const now = this.shardState.clock.now;
    m.endpoint = report.endpoint;
    m.lastHeartbeatAt = now;
    if (m.fencingToken !== token) {
      m.fencingToken = token;
      m.confirmedAt = 0;
    }
    // Under our token no earlier owner can renew the lease any more.
    const proof = report.token === token;
    const leaseEnd = now + this.shardState.settings.workers.lease_s * 1000;
    m.earliestLeaseExpiry = proof ? leaseEnd : Math.max(m.earliestLeaseExpiry, leaseEnd);
    // Guards against the late report: its list is as old as itself, and its answer will be dropped.
    if (!isNewerHeartbeat(report, [m.agentEpoch, m.heartbeatSeq])) return [];
    m.agentEpoch = report.session;
    m.heartbeatSeq = report.seq;
    if (proof) {
      // Guards against returning a machine for having been idle while it booted.
      if (m.confirmedAt === 0 && m.placements.size === 0) m.idleSince = now;
      m.confirmedAt = now;
    }
    if (report.noticeS !== null && m.reclaimAt === 0) this.handleReclaimNotice(m, report.noticeS);
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) listed.set(taskKey(t.job, t.index), t);
    for (const [piece, p] of [...m.placements]) {
      if (p.job.unreadable) continue;
      const t = listed.get(piece);
      // Guards against the old copy that a new owner hears first: a gang that was mended has the same attempt there again.
      // That a task was completed stays true; that it ended otherwise counts only under our token.
      const ended = t?.phase === 'exited' && t.why !== 'done';
      if (t?.attempt === p.attempt) {
        if (proof || !ended) this.applyTaskStatus(m, p, t);
      } else if (proof && (p.startSentWith === null || isNewerHeartbeat(report, p.startSentWith)))
        this.handleMissingTask(m, p);
    }
    for (const [piece, t] of listed) {
      const p = m.placements.get(piece);
      // Guards against stopping, or forgetting the result of, what a newer program has placed here.
      if (p?.job.unreadable || this.shardState.replica.isJobUnreadable(t.job)) continue;
      if (p?.attempt === t.attempt) {
        if (p.stopRequest && t.phase !== 'exited') orders.push(stopOrder(p, p.stopRequest.graceS));
      } else if (t.phase === 'exited') {
        const held = this.pendingForget.get(forgetKey(m.host, piece, t.attempt));
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
          this.pendingForget.delete(forgetKey(m.host, piece, t.attempt));
        }
      } else if (proof) {
        this.shardState.log('warn', 'stray task', { piece, attempt: t.attempt, host: m.host });
        const job = this.shardState.jobs.get(t.job);
        if (job && t.index < job.spec.tasks)
          this.shardState.onUnknownAttempt(piece, t.attempt, chunkOf(job, t.index).lastAttempt);
        orders.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
      }
    }
    if (proof) this.addStarts(m, report, listed, orders);
    return orders.slice(0, maxOrdersPerResponse);
  }

  private addStarts(
    m: ScheduledMachine,
    report: Heartbeat,
    listed: ReadonlyMap<string, TaskStatus>,
    orders: TaskOrder[],
  ): void {
    if (m.reclaimAt > 0) return;
    for (const [piece, p] of m.placements) {
      if (orders.length >= maxOrdersPerResponse) break;
      // Guards against a machine that has changed since it was chosen. What may have been sent stays where it is.
      if (p.placedByThisProcess && p.startSentWith === null && p.job.match?.allows(m.host) === false) {
        this.shardState.removePlacement(p, 'the machine matches no longer');
        continue;
      }
      if (listed.get(piece)?.attempt === p.attempt || p.stopRequest || !this.mayStart(p)) continue;
      p.startSentWith = [report.session, report.seq];
      orders.push({ op: 'start', job: p.job.id, index: p.index, attempt: p.attempt });
    }
  }

  /** Placements of a machine that are on their way to being durable. */
  awaitsDurableStart(m: ScheduledMachine): boolean {
    for (const p of m.placements.values())
      if (p.placedByThisProcess && p.startSentWith === null && p.stopRequest === null && !this.mayStart(p))
        return true;
    return false;
  }

  /** What a machine is to be told now, in answer to the newest report of it that was taken in before. */
  currentOrders(m: ScheduledMachine, report: Heartbeat): TaskOrder[] {
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) {
      const piece = taskKey(t.job, t.index);
      listed.set(piece, t);
      const p = m.placements.get(piece);
      if (p?.attempt === t.attempt && p.stopRequest && t.phase !== 'exited')
        orders.push(stopOrder(p, p.stopRequest.graceS));
    }
    this.addStarts(m, report, listed, orders);
    return orders;
  }

  /** Guards against starting what a crash could forget: durable first, and a gang's attempt as a whole. */
  private mayStart(p: Placement): boolean {
    if (p.job.cancelled || p.job.finalizing || p.job.unreadable || !this.shardState.mayStartTasks())
      return false;
    if (p.job.spec.shape !== 'gang') return p.chunk.durableVersion >= p.chunkVersion;
    for (const q of p.job.placements.values()) if (q.chunk.durableVersion < q.chunkVersion) return false;
    return true;
  }

  private applyTaskStatus(m: ScheduledMachine, p: Placement, t: TaskStatus): void {
    const now = this.shardState.clock.now;
    if (t.phase !== 'exited') {
      p.phase = t.phase;
      m.images.set(p.job.spec.image, imageFetchS(p.job.spec, m.type));
      if (t.phase === 'running' && p.runningSince === 0) p.runningSince = now;
      if (t.phase === 'waiting' && p.waitingSince === 0) p.waitingSince = now;
      return;
    }
    const { job } = p;
    if (t.why === 'done') {
      m.failuresByJob.clear();
      this.shardState.removePlacement(p, 'done', 'done');
    } else {
      this.shardState.log('debug', 'task ended', {
        piece: taskKey(job.id, p.index),
        host: m.host,
        why: t.why,
      });
      if (t.why === 'error') this.handleTaskError(m, job);
      if (t.why === 'full' || t.why === 'busy')
        m.cooldownUntil = now + this.shardState.settings.workers.report_s * 2000;
      if (t.why === 'unknown') job.retryNotBefore = now + this.shardState.settings.workers.report_s * 1000;
      this.shardState.removePlacement(p, t.why ?? 'exited');
    }
    this.pendingForget.set(forgetKey(m.host, taskKey(job.id, p.index), p.attempt), {
      chunk: p.chunk,
      version: p.chunk.version,
      job,
    });
  }

  /** A newer report under our token does not list the attempt: it is not on the machine. */
  private handleMissingTask(m: ScheduledMachine, p: Placement): void {
    if (p.stopRequest || p.job.cancelled) return this.shardState.removePlacement(p, 'absent');
    if (p.phase === 'placed') {
      // Never seen there; its start is sent (again) with this answer. A machine under notice gets none.
      if (m.reclaimAt > 0 || m.quarantined) this.shardState.removePlacement(p, 'machine not to be used');
      else if (!p.placedByThisProcess && p.startSentWith === null && !this.shardState.mayStillStart(p))
        this.shardState.removePlacement(p, 'given up by the owner before');
      return;
    }
    this.shardState.removePlacement(p, 'vanished', 'lost');
  }

  private handleReclaimNotice(m: ScheduledMachine, noticeS: number): void {
    m.reclaimAt = this.shardState.clock.now + noticeS * 1000;
    this.shardState.hazard.recordInterruption();
    this.shardState.log('info', 'notice', { host: m.host, noticeS });
    for (const p of m.placements.values()) {
      const { spec } = p.job;
      // What can save, saves; what cannot may still finish in time.
      if (spec.checkpointS > 0 && spec.shape !== 'gang' && spec.saveS <= noticeS)
        this.shardState.requestStop(p, spec.saveS);
      if (spec.shape === 'gang') this.shardState.stopGang(p.job);
    }
  }

  private handleTaskError(m: ScheduledMachine, job: ScheduledJob): void {
    m.failuresByJob.set(job.id, (m.failuresByJob.get(job.id) ?? 0) + 1);
    const before = job.failedHosts.size;
    job.failedHosts.add(m.host);
    if (!isSuspect(job)) return this.reassessMachine(m);
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
      this.shardState.taskWriter.noteEnd(job, job.chunks[0]);
    }
  }

  reassessFailedHosts(job: ScheduledJob): void {
    for (const host of job.failedHosts) {
      const m = this.shardState.machines.get(host);
      if (m) this.reassessMachine(m);
    }
  }

  /** Weighs what failed on a machine: it is given up, rests for a while, or is cleared. */
  private reassessMachine(m: ScheduledMachine): void {
    const against = evidenceAgainst(m.failuresByJob, (id) => this.shardState.jobs.get(id));
    if (against < quarantineEvidence) {
      m.cooldownUntil =
        against > 0 ? this.shardState.clock.now + this.shardState.settings.workers.report_s * 4000 : 0;
      return;
    }
    if (m.quarantined) return;
    this.shardState.log('warn', 'machine fails its tasks', {
      host: m.host,
      failures: Object.fromEntries(m.failuresByJob),
    });
    m.quarantined = true;
    for (const p of m.placements.values())
      if (p.job.spec.shape !== 'gang') this.shardState.requestStop(p, p.job.spec.saveS);
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
    for (const p of unsentStarts) {
      const gone = p.job.placements.get(p.index) !== p;
      if (!gone && p.startSentWith === null && !this.mayStart(p)) continue;
      unsentStarts.delete(p);
      const m = this.shardState.machines.get(p.host);
      if (!gone && p.startSentWith === null && m && m.endpoint !== '' && m.confirmedAt > 0) wanted.add(m);
    }
    for (const m of wanted) out.push(directOrder(m, []));
  }

  /**
   * Stops that a worker has not been told yet, to be sent straight to it: a cancelled task is of no use to
   * anybody, and a gang's tasks must hear of an orderly stop at about the same time.
   */
  sendStopOrders(out: Effect[]): void {
    if (this.shardState.unsentStops.size === 0) return;
    const byMachine = new Map<ScheduledMachine, TaskOrder[]>();
    for (const p of this.shardState.unsentStops) {
      const m = this.shardState.machines.get(p.host);
      if (p.job.placements.get(p.index) !== p || p.stopRequest === null) {
        this.shardState.unsentStops.delete(p);
        continue;
      }
      if (p.job.unreadable) continue;
      if (
        !m ||
        m.endpoint === '' ||
        m.confirmedAt === 0 ||
        (p.startSentWith === null && p.phase === 'placed')
      )
        continue;
      const orders = byMachine.get(m) ?? [];
      if (orders.length >= maxOrdersPerResponse) continue;
      this.shardState.unsentStops.delete(p);
      byMachine.set(m, orders);
      orders.push(stopOrder(p, p.stopRequest.graceS));
    }
    for (const [m, orders] of byMachine) out.push(directOrder(m, orders));
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
  r.session > session || (r.session === session && r.seq > seq);

const forgetKey = (host: string, piece: string, attempt: number): string => `${host} ${piece} ${attempt}`;
