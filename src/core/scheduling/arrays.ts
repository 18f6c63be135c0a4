/** Placement of array and service tasks. Unlike the tasks of a gang, they are placed independently of each other. */
import { fits, fitCount } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { isSuspect } from '../failure-attribution.js';
import { takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { candidateMachines, rankedMachines, mayUseGpuReserve, usableCapacity } from './feasibility.js';
import { agedMachines, recordAgedPlacement } from './starvation.js';
import type { Assignment, ShardCycle } from './shard-cycle.js';

/**
 * Places as many waiting tasks of a job as the machines have capacity for. If that is none and the job is starving, one of its
 * tasks is placed on aged capacity.
 */
export function placeTasks(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const limit = placementLimit(job, cycle);
  if (limit <= 0) return placeOnAgedCapacity(job, cycle);
  const placed = placeUpTo(limit, job, cycle, candidateMachines(job, cycle));
  if (placed === 0) placeOnAgedCapacity(job, cycle);
  // A job that is restricted to some machines, or has machines reserved, tells nothing about the capacity for other jobs.
  const usedAllMachines =
    job.failedHosts.size === 0 && job.match === null && !cycle.reservedMachines.has(job.id);
  if (placed < limit && usedAllMachines) cycle.capacityIndex.recordUnplaceable(spec);
}

/** Places waiting tasks of a job, but only on machines that already have its image. */
export function placeTasksOnCachedImages(job: ScheduledJob, cycle: ShardCycle): void {
  const limit = placementLimit(job, cycle);
  if (limit <= 0) return placeOnAgedCapacity(job, cycle);
  placeUpTo(limit, job, cycle, rankedMachines(job, cycle, true));
}

/** How many tasks of a job may be placed now, by its waiting tasks, its team's quota and its minimum share. */
function placementLimit(job: ScheduledJob, { shardState, belowMinimumShare }: ShardCycle): number {
  const { spec } = job;
  const limit = Math.min(
    waitingTaskCount(job),
    fitCount(spec, shardState.availableQuota(spec)),
    belowMinimumShare.get(job) ?? Infinity,
  );
  // Of a suspect job, whose tasks have failed on several machines and never completed, only one task runs at a time.
  return isSuspect(job) ? Math.min(limit, job.placements.size === 0 ? 1 : 0) : limit;
}

/** Places up to `limit` tasks on the first machines with enough capacity. Returns the number of tasks placed. */
function placeUpTo(
  limit: number,
  job: ScheduledJob,
  cycle: ShardCycle,
  machines: Iterable<ScheduledMachine>,
): number {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  const assignments: Assignment[] = [];
  const tasksByZone = new Map(job.tasksByZone);
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  for (const machine of machines) {
    const capacity = usableCapacity(cycle, job, freeCapacity(shardState, machine), mayUseReserve);
    let count = Math.min(limit - assignments.length, fitCount(spec, capacity));
    for (; count > 0 && zoneAllows(spec, machine.zone, tasksByZone); count--) {
      const index = takeNextWaiting(job);
      if (index < 0) break;
      assignments.push({ index, host: machine.host });
      tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + 1);
    }
    if (assignments.length >= limit) break;
  }
  if (assignments.length > 0) shardState.placeTasks(job, assignments, job.repairAttempt ?? undefined);
  capacityIndex.reposition(new Set(assignments.map((a) => a.host)));
  if (waitingTaskCount(job) === 0) shardState.reservations.release(job.id);
  return assignments.length;
}

/** Places one task of a starving job on a machine with aged capacity, if there is one. */
function placeOnAgedCapacity(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (fitCount(spec, shardState.availableQuota(spec, true)) < 1) return;
  for (const machine of agedMachines(job, cycle)) {
    if (!fits(spec, freeCapacity(shardState, machine)) || !zoneAllows(spec, machine.zone, job.tasksByZone))
      continue;
    const index = takeNextWaiting(job);
    if (index < 0) return;
    shardState.log('info', 'reservation aged out', { job: job.id, host: machine.host });
    shardState.placeTasks(job, [{ index, host: machine.host }]);
    recordAgedPlacement(cycle, machine);
    return capacityIndex.reposition(new Set([machine.host]));
  }
}
