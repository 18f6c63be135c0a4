/** Reconciliation of workers' heartbeats with the placements, and the orders that heartbeats are answered with. */
import { taskKey } from '../model/job.js';
import type { Heartbeat, TaskOrder, TaskStatus } from '../model/heartbeat.js';
import { imageFetchS } from '../policy/pricing.js';
import type { MachineHealth } from './machine-health.js';
import { chunkOf } from './shard-state/jobs.js';
import type { ShardState } from './shard-state/shard-state.js';
import type {
  HeartbeatPosition,
  Placement,
  ScheduledJob,
  ScheduledMachine,
  TaskChunk,
} from './shard-state/types.js';
import { maxOrdersPerMessage, stopOrder } from './task-orders.js';

/** For how many report intervals nothing is placed on a machine that had no room for a task. */
const fullMachineCooldownReports = 2;

/** The end of a task, which its worker may forget once it is durable. */
interface UnpersistedExit {
  readonly job: ScheduledJob;
  readonly chunk: TaskChunk;
  /** The chunk's version that holds the end. */
  readonly version: number;
}

/** The tasks that a heartbeat lists, by their keys. */
type ReportedTasks = ReadonlyMap<string, TaskStatus>;

/**
 * Takes heartbeats as evidence of what runs, and turns durable placements into orders. A heartbeat that carries the fencing token of
 * the current owner is proof also of what does not run: no earlier owner can have anything started after it.
 */
export class HeartbeatReconciler {
  /** Ends of tasks that their workers still list, by machine and attempt. */
  private readonly unpersistedExits = new Map<string, UnpersistedExit>();

  constructor(
    private readonly shardState: ShardState,
    private readonly machineHealth: MachineHealth,
  ) {}

  /** Takes in the heartbeat of a machine of this process's shards; returns the orders to answer with. */
  reconcile(machine: ScheduledMachine, heartbeat: Heartbeat, token: number): TaskOrder[] {
    const hasCurrentToken = heartbeat.fencingToken === token;
    this.recordContact(machine, heartbeat, token);
    // Guards against the late heartbeat: its list is as old as itself, and its response will be dropped.
    if (!isNewerHeartbeat(heartbeat, machine)) return [];
    this.recordPosition(machine, heartbeat, hasCurrentToken);
    if (heartbeat.noticeS !== null && machine.reclaimAt === 0)
      this.handleReclaimNotice(machine, heartbeat.noticeS);
    const reported = reportedTasks(heartbeat);
    this.reconcilePlacements(machine, heartbeat, reported, hasCurrentToken);
    const orders: TaskOrder[] = [];
    for (const [key, status] of reported) this.addOrderForTask(machine, key, status, hasCurrentToken, orders);
    if (hasCurrentToken) this.addStartOrders(machine, heartbeat, reported, orders);
    return orders.slice(0, maxOrdersPerMessage);
  }

  /** The orders for a machine as of now, in response to its newest heartbeat, which was reconciled before. */
  currentOrders(machine: ScheduledMachine, heartbeat: Heartbeat): TaskOrder[] {
    const orders: TaskOrder[] = [];
    const reported = reportedTasks(heartbeat);
    for (const status of heartbeat.tasks) {
      const placement = machine.placements.get(taskKey(status.job, status.index));
      if (placement?.attempt === status.attempt) addStopOrder(placement, status, orders);
    }
    this.addStartOrders(machine, heartbeat, reported, orders);
    return orders;
  }

  /** Whether a machine has placements whose start waits until they are durable. */
  hasStartsAwaitingDurability(machine: ScheduledMachine): boolean {
    for (const placement of machine.placements.values()) {
      const { placedByThisProcess, startSentWith, stopRequest } = placement;
      if (!placedByThisProcess || startSentWith !== null || stopRequest !== null) continue;
      if (!this.shardState.mayStart(placement)) return true;
    }
    return false;
  }

  /** Any heartbeat renews the worker's lease, also a late one. */
  private recordContact(machine: ScheduledMachine, heartbeat: Heartbeat, token: number): void {
    const { clock, settings } = this.shardState;
    machine.endpoint = heartbeat.endpoint;
    machine.lastHeartbeatAt = clock.now;
    if (machine.fencingToken !== token) {
      machine.fencingToken = token;
      machine.confirmedAt = 0;
    }
    const leaseExpiry = clock.now + settings.workers.lease_s * 1000;
    // Under the current token no earlier owner can renew the lease any more.
    machine.earliestLeaseExpiry =
      heartbeat.fencingToken === token ? leaseExpiry : Math.max(machine.earliestLeaseExpiry, leaseExpiry);
  }

  private recordPosition(machine: ScheduledMachine, heartbeat: Heartbeat, hasCurrentToken: boolean): void {
    const { now } = this.shardState.clock;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.heartbeatSeq = heartbeat.sequence;
    if (!hasCurrentToken) return;
    // Guards against releasing a machine for having been idle while it booted.
    if (machine.confirmedAt === 0 && machine.placements.size === 0) machine.idleSince = now;
    machine.confirmedAt = now;
  }

  /** Updates a machine's placements by what its heartbeat lists and does not list. */
  private reconcilePlacements(
    machine: ScheduledMachine,
    heartbeat: Heartbeat,
    reported: ReportedTasks,
    hasCurrentToken: boolean,
  ): void {
    for (const [key, placement] of [...machine.placements]) {
      if (placement.job.unreadable) continue;
      const status = reported.get(key);
      if (status?.attempt === placement.attempt) {
        // Guards against the old copy that a new owner hears of first: a repaired gang has the same attempt there again.
        // That a task completed stays true; that it ended otherwise counts only under the current token.
        const exitedIncomplete = status.phase === 'exited' && status.exitReason !== 'done';
        if (hasCurrentToken || !exitedIncomplete) this.applyTaskStatus(machine, placement, status);
      } else if (hasCurrentToken) {
        const { startSentWith } = placement;
        if (startSentWith === null || isNewerHeartbeat(heartbeat, startSentWith))
          this.handleMissingTask(machine, placement);
      }
    }
  }

  /** Adds the order that a task which a worker lists asks for, if any: that it stops, or that the worker forgets it. */
  private addOrderForTask(
    machine: ScheduledMachine,
    key: string,
    status: TaskStatus,
    hasCurrentToken: boolean,
    orders: TaskOrder[],
  ): void {
    const placement = machine.placements.get(key);
    // Guards against stopping, or forgetting the result of, what a newer program has placed here.
    if (placement?.job.unreadable || this.shardState.replica.isJobUnreadable(status.job)) return;
    if (placement?.attempt === status.attempt) addStopOrder(placement, status, orders);
    else if (status.phase === 'exited') this.addForgetOrder(machine, key, status, orders);
    else if (hasCurrentToken) this.addUnknownTaskStop(machine, key, status, orders);
  }

  /** Guards against losing a result: a task is forgotten only after its end is durable. */
  private addForgetOrder(
    machine: ScheduledMachine,
    key: string,
    status: TaskStatus,
    orders: TaskOrder[],
  ): void {
    const { jobs, replica } = this.shardState;
    const { job, index, attempt } = status;
    const exitKey = unpersistedExitKey(machine.host, key, attempt);
    const exit = this.unpersistedExits.get(exitKey);
    const isDurable = !exit || exit.chunk.durableVersion >= exit.version;
    if (!isDurable && jobs.get(exit.job.id) === exit.job) return;
    if (isDurable || replica.jobs.get(job)?.state !== 'open')
      orders.push({ op: 'forget', job, index, attempt });
    this.unpersistedExits.delete(exitKey);
  }

  private addUnknownTaskStop(
    machine: ScheduledMachine,
    key: string,
    { job: id, index, attempt }: TaskStatus,
    orders: TaskOrder[],
  ): void {
    this.shardState.log('warn', 'unknown task reported', { piece: key, attempt, host: machine.host });
    const job = this.shardState.jobs.get(id);
    if (job && index < job.spec.tasks)
      this.shardState.onUnknownAttempt(key, attempt, chunkOf(job, index).lastAttempt);
    orders.push({ op: 'stop', job: id, index, attempt, graceS: 0 });
  }

  private addStartOrders(
    machine: ScheduledMachine,
    heartbeat: Heartbeat,
    reported: ReportedTasks,
    orders: TaskOrder[],
  ): void {
    if (machine.reclaimAt > 0) return;
    for (const [key, placement] of machine.placements) {
      if (orders.length >= maxOrdersPerMessage) break;
      const { job, index, attempt, placedByThisProcess, startSentWith } = placement;
      const isUnsent = placedByThisProcess && startSentWith === null;
      // Guards against a machine that has changed since it was chosen. What may have been sent stays where it is.
      if (isUnsent && job.match?.allows(machine.host) === false) {
        this.shardState.removePlacement(placement, 'the machine matches no longer');
        continue;
      }
      const isReported = reported.get(key)?.attempt === attempt;
      if (isReported || placement.stopRequest || !this.shardState.mayStart(placement)) continue;
      const { agentEpoch, sequence: heartbeatSeq } = heartbeat;
      placement.startSentWith = { agentEpoch, heartbeatSeq };
      orders.push({ op: 'start', job: job.id, index, attempt });
    }
  }

  private applyTaskStatus(machine: ScheduledMachine, placement: Placement, status: TaskStatus): void {
    if (status.phase === 'exited') return this.handleTaskExit(machine, placement, status);
    const { now } = this.shardState.clock;
    const { spec } = placement.job;
    placement.phase = status.phase;
    machine.images.set(spec.image, imageFetchS(spec, machine.type));
    if (status.phase === 'running' && placement.runningSince === 0) placement.runningSince = now;
    if (status.phase === 'waiting' && placement.waitingSince === 0) placement.waitingSince = now;
  }

  private handleTaskExit(
    machine: ScheduledMachine,
    placement: Placement,
    { exitReason: reason }: TaskStatus,
  ): void {
    const { now } = this.shardState.clock;
    const reportMs = this.shardState.settings.workers.report_s * 1000;
    const { host } = machine;
    const { job, chunk, index, attempt } = placement;
    const key = taskKey(job.id, index);
    if (reason === 'done') {
      machine.failuresByJob.clear();
      this.shardState.removePlacement(placement, 'done', 'completed');
    } else {
      this.shardState.log('debug', 'task ended', { piece: key, host, why: reason });
      if (reason === 'error') this.machineHealth.recordTaskFailure(machine, job);
      if (reason === 'full' || reason === 'busy')
        machine.cooldownUntil = now + reportMs * fullMachineCooldownReports;
      if (reason === 'unknown') job.retryNotBefore = now + reportMs;
      this.shardState.removePlacement(placement, reason ?? 'exited');
    }
    this.unpersistedExits.set(unpersistedExitKey(host, key, attempt), { job, chunk, version: chunk.version });
  }

  /** A heartbeat that is proof, and newer than the start, does not list the attempt: it is not on the machine. */
  private handleMissingTask(machine: ScheduledMachine, placement: Placement): void {
    const { shardState } = this;
    if (placement.stopRequest || placement.job.cancelled)
      return shardState.removePlacement(placement, 'absent');
    if (placement.phase !== 'placed') return shardState.removePlacement(placement, 'vanished', 'lost');
    // The worker never listed it: its start is sent (again) with this response, unless the machine is to take none.
    const isUnsentFromEarlierOwner = !placement.placedByThisProcess && placement.startSentWith === null;
    if (machine.reclaimAt > 0 || machine.quarantined)
      shardState.removePlacement(placement, 'machine not to be used');
    else if (isUnsentFromEarlierOwner && !shardState.mayStillStart(placement))
      shardState.removePlacement(placement, 'dropped by the earlier owner');
  }

  /** The cloud will reclaim a spot machine: gangs, and tasks that can save in time, are stopped; others may still finish. */
  private handleReclaimNotice(machine: ScheduledMachine, noticeS: number): void {
    const { shardState } = this;
    machine.reclaimAt = shardState.clock.now + noticeS * 1000;
    shardState.hazard.recordInterruption();
    shardState.log('info', 'notice', { host: machine.host, noticeS });
    for (const placement of machine.placements.values()) {
      const { spec } = placement.job;
      if (spec.shape === 'gang') shardState.stopGang(placement.job);
      else if (spec.checkpointS > 0 && spec.saveS <= noticeS) shardState.requestStop(placement, spec.saveS);
    }
  }
}

function reportedTasks(heartbeat: Heartbeat): Map<string, TaskStatus> {
  const reported = new Map<string, TaskStatus>();
  for (const status of heartbeat.tasks) reported.set(taskKey(status.job, status.index), status);
  return reported;
}

/** Adds the stop of a task that a worker lists as active, if it was requested. */
function addStopOrder(placement: Placement, status: TaskStatus, orders: TaskOrder[]): void {
  if (placement.stopRequest && status.phase !== 'exited')
    orders.push(stopOrder(placement, placement.stopRequest));
}

/** Whether a heartbeat is newer than the one at a position. */
export const isNewerHeartbeat = (
  heartbeat: Heartbeat,
  { agentEpoch, heartbeatSeq }: HeartbeatPosition,
): boolean =>
  heartbeat.agentEpoch > agentEpoch ||
  (heartbeat.agentEpoch === agentEpoch && heartbeat.sequence > heartbeatSeq);

const unpersistedExitKey = (host: string, key: string, attempt: number): string =>
  `${host} ${key} ${attempt}`;
