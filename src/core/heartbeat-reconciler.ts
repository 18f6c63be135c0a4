/** Reconciles the placements with the tasks that workers report in heartbeats, and computes the orders of the responses. */
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

/** A machine that had no free capacity for a task receives no tasks for this many report intervals. */
const fullMachineCooldownReports = 2;

/** The exit of a task; its worker may forget the task once the exit is durable. */
interface UnpersistedExit {
  readonly job: ScheduledJob;
  readonly chunk: TaskChunk;
  /** The version of the chunk that contains the exit. */
  readonly version: number;
}

/** The tasks that a heartbeat lists, by task key. */
type ReportedTasks = ReadonlyMap<string, TaskStatus>;

/**
 * Updates the placements according to the tasks that heartbeats list, and creates start orders for durable placements. A heartbeat
 * that carries the current owner's fencing token also proves which tasks do not run: after it, no earlier owner can have a task
 * started.
 */
export class HeartbeatReconciler {
  /** Exits of tasks that their workers still list, by machine, task and attempt. */
  private readonly unpersistedExits = new Map<string, UnpersistedExit>();

  constructor(
    private readonly shardState: ShardState,
    private readonly machineHealth: MachineHealth,
  ) {}

  /** Processes the heartbeat of a machine in an owned shard; returns the orders for the response. */
  reconcile(machine: ScheduledMachine, heartbeat: Heartbeat, token: number): TaskOrder[] {
    const hasCurrentToken = heartbeat.fencingToken === token;
    this.recordContact(machine, heartbeat, token);
    // A late heartbeat is not acted on: its task list is out of date, and the worker drops the response.
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

  /** The current orders for a machine, in response to its newest heartbeat, which has been reconciled already. */
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

  /** Whether a machine has placements whose start order must wait until they are durable. */
  hasStartsAwaitingDurability(machine: ScheduledMachine): boolean {
    for (const placement of machine.placements.values()) {
      const { placedByThisProcess, startSentWith, stopRequest } = placement;
      if (!placedByThisProcess || startSentWith !== null || stopRequest !== null) continue;
      if (!this.shardState.mayStart(placement)) return true;
    }
    return false;
  }

  /** Records the contact and the extended worker lease: any heartbeat extends the lease, even a late one. */
  private recordContact(machine: ScheduledMachine, heartbeat: Heartbeat, token: number): void {
    const { clock, settings } = this.shardState;
    machine.endpoint = heartbeat.endpoint;
    machine.lastHeartbeatAt = clock.now;
    if (machine.fencingToken !== token) {
      machine.fencingToken = token;
      machine.confirmedAt = 0;
    }
    const leaseExpiry = clock.now + settings.workers.lease_s * 1000;
    // Once the worker has seen the current token, no earlier owner can extend the lease.
    machine.earliestLeaseExpiry =
      heartbeat.fencingToken === token ? leaseExpiry : Math.max(machine.earliestLeaseExpiry, leaseExpiry);
  }

  private recordPosition(machine: ScheduledMachine, heartbeat: Heartbeat, hasCurrentToken: boolean): void {
    const { now } = this.shardState.clock;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.heartbeatSeq = heartbeat.sequence;
    if (!hasCurrentToken) return;
    // The idle time starts at the first confirmation, so that a machine is not released for being idle while it booted.
    if (machine.confirmedAt === 0 && machine.placements.size === 0) machine.idleSince = now;
    machine.confirmedAt = now;
  }

  /** Updates the placements of a machine by the tasks that its heartbeat lists, and by those that it does not list. */
  private reconcilePlacements(
    machine: ScheduledMachine,
    heartbeat: Heartbeat,
    reported: ReportedTasks,
    hasCurrentToken: boolean,
  ): void {
    const lost: Placement[] = [];
    for (const [key, placement] of [...machine.placements]) {
      if (placement.job.unreadable) continue;
      const status = reported.get(key);
      if (status?.attempt === placement.attempt) {
        // The first heartbeat that a new owner receives may be an old copy from before a restart of the agent, and a repaired gang may
        // have the same attempt on the machine again. So any exit other than completion counts only under the current token; a
        // completion stays valid.
        const exitedIncomplete = status.phase === 'exited' && status.exitReason !== 'done';
        if (hasCurrentToken || !exitedIncomplete) this.applyTaskStatus(machine, placement, status);
      } else if (hasCurrentToken) {
        const { startSentWith } = placement;
        if (startSentWith !== null && !isNewerHeartbeat(heartbeat, startSentWith)) continue;
        if (isLostWithMachine(placement)) lost.push(placement);
        else this.handleMissingTask(machine, placement);
      }
    }
    this.shardState.removeLostPlacements(lost, 'started task no longer reported');
  }

  /** Adds the order that a reported task requires, if any: to stop it, or to forget it. */
  private addOrderForTask(
    machine: ScheduledMachine,
    key: string,
    status: TaskStatus,
    hasCurrentToken: boolean,
    orders: TaskOrder[],
  ): void {
    const placement = machine.placements.get(key);
    // A task that a newer program version has placed must not be stopped, nor its result be forgotten.
    if (placement?.job.unreadable || this.shardState.replica.isJobUnreadable(status.job)) return;
    if (placement?.attempt === status.attempt) addStopOrder(placement, status, orders);
    else if (status.phase === 'exited') this.addForgetOrder(machine, key, status, orders);
    else if (hasCurrentToken) this.addUnknownTaskStop(machine, key, status, orders);
  }

  /** Lets a worker forget an exited task, but only once the exit is durable: otherwise the result could be lost. */
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
    this.shardState.log('warn', 'worker reports a task that is not placed on it', {
      piece: key,
      attempt,
      host: machine.host,
    });
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
      // The attributes of the machine may have changed since it was chosen. A start that may have been sent is left in place.
      if (isUnsent && job.match?.allows(machine.host) === false) {
        this.shardState.removePlacement(placement, 'machine no longer matches the job');
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

  /**
   * Handles an attempt that is proven not to be on the machine: a heartbeat under the current token, and newer than the start order,
   * does not list it. The worker has not lost it.
   */
  private handleMissingTask(machine: ScheduledMachine, placement: Placement): void {
    const { shardState } = this;
    if (placement.stopRequest || placement.job.cancelled)
      return shardState.removePlacement(placement, 'not on the machine');
    // The worker has never listed the attempt: its start is sent (again) with this response, unless the machine takes no more tasks.
    const isUnsentFromEarlierOwner = !placement.placedByThisProcess && placement.startSentWith === null;
    if (machine.reclaimAt > 0 || machine.quarantined)
      shardState.removePlacement(placement, 'machine takes no more tasks');
    else if (isUnsentFromEarlierOwner && !shardState.mayStillStart(placement))
      shardState.removePlacement(placement, 'possibly removed by the earlier owner');
  }

  /**
   * Handles the notice that the cloud will reclaim a spot machine: gangs, and tasks that can save their state in time, are stopped;
   * other tasks may still finish.
   */
  private handleReclaimNotice(machine: ScheduledMachine, noticeS: number): void {
    const { shardState } = this;
    machine.reclaimAt = shardState.clock.now + noticeS * 1000;
    shardState.hazard.recordInterruption();
    shardState.log('info', 'reclaim notice for spot machine', { host: machine.host, noticeS });
    for (const placement of machine.placements.values()) {
      const { spec } = placement.job;
      if (spec.shape === 'gang') shardState.stopGang(placement.job);
      else if (spec.checkpointS > 0 && spec.saveS <= noticeS) shardState.requestStop(placement, spec.saveS);
    }
  }
}

/** Whether an attempt that is proven not to be on its machine was listed before, and was lost without having been stopped. */
const isLostWithMachine = ({ job, phase, stopRequest }: Placement): boolean =>
  phase !== 'placed' && stopRequest === null && !job.cancelled;

function reportedTasks(heartbeat: Heartbeat): Map<string, TaskStatus> {
  const reported = new Map<string, TaskStatus>();
  for (const status of heartbeat.tasks) reported.set(taskKey(status.job, status.index), status);
  return reported;
}

/** Adds the stop order for a task that has not exited, if a stop was requested. */
function addStopOrder(placement: Placement, status: TaskStatus, orders: TaskOrder[]): void {
  if (placement.stopRequest && status.phase !== 'exited')
    orders.push(stopOrder(placement, placement.stopRequest));
}

/** Whether a heartbeat is newer than the one at the given position. */
export const isNewerHeartbeat = (
  heartbeat: Heartbeat,
  { agentEpoch, heartbeatSeq }: HeartbeatPosition,
): boolean =>
  heartbeat.agentEpoch > agentEpoch ||
  (heartbeat.agentEpoch === agentEpoch && heartbeat.sequence > heartbeatSeq);

const unpersistedExitKey = (host: string, key: string, attempt: number): string =>
  `${host} ${key} ${attempt}`;
