/** Placement of the tasks of arrays and services, one by one. */
import { fits, fitCount } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { isSuspect } from '../failure-attribution.js';
import { takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob } from '../shard-state/types.js';
import { candidateMachines, rankedMachines, mayUseGpuReserve, usableRoom } from './feasibility.js';
import { agedMachines, recordAgedPlacement } from './starvation.js';
import type { ShardCycle } from './shard-cycle.js';

export function placeTasks(job: ScheduledJob, cycle: ShardCycle, withImage = false): void {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  let limit = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  // A job that only ever failed is tried one task at a time.
  limit = Math.min(limit, cycle.belowMinimumShare.get(job) ?? Infinity);
  if (isSuspect(job)) limit = Math.min(limit, job.placements.size === 0 ? 1 : 0);
  if (limit <= 0) return placeOnAgedRoom(job, cycle);
  const assignments: { index: number; host: string }[] = [];
  const tasksByZone = new Map(job.tasksByZone);
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const machines = withImage ? rankedMachines(job, cycle, true) : candidateMachines(job, cycle);
  for (const machine of machines) {
    let count = Math.min(
      limit - assignments.length,
      fitCount(spec, usableRoom(cycle, job, freeCapacity(shardState, machine), mayUseReserve)),
    );
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
  if (withImage) return;
  if (assignments.length === 0) placeOnAgedRoom(job, cycle);
  // What others ask for is not less because this job's machines are few.
  if (
    assignments.length < limit &&
    job.failedHosts.size === 0 &&
    job.match === null &&
    !cycle.reservedMachines.has(job.id)
  )
    capacityIndex.noteUnplaceable(spec);
}

/** One task of a job that has waited for long, on a machine whose room nobody has taken for long. */
function placeOnAgedRoom(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (fitCount(spec, shardState.availableQuota(spec, true)) < 1) return;
  for (const machine of agedMachines(job, cycle)) {
    if (!fits(spec, freeCapacity(shardState, machine)) || !zoneAllows(spec, machine.zone, job.tasksByZone))
      continue;
    const index = takeNextWaiting(job);
    if (index < 0) return;
    shardState.log('info', 'room left over', { job: job.id, host: machine.host });
    shardState.placeTasks(job, [{ index, host: machine.host }]);
    recordAgedPlacement(cycle, machine);
    return capacityIndex.reposition(new Set([machine.host]));
  }
}
