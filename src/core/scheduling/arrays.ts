/** Placement of the tasks of arrays and services, one by one. */
import { fits, fitCount } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { isSuspect } from '../failure-attribution.js';
import { takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob } from '../shard-state/types.js';
import { candidates, eligible, mayCrowd, openRoom } from './feasibility.js';
import { leftOver, open } from './starvation.js';
import type { ShardRound } from './shard.js';

export function placeEach(job: ScheduledJob, round: ShardRound, withImage = false): void {
  const { spec } = job;
  const { shardState, capacityIndex } = round;
  let left = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  // A job that only ever failed is tried one task at a time.
  left = Math.min(left, round.lifted.get(job) ?? Infinity);
  if (isSuspect(job)) left = Math.min(left, job.placements.size === 0 ? 1 : 0);
  if (left <= 0) return placeLeftOver(job, round);
  const at: { index: number; host: string }[] = [];
  const taken = new Map(job.tasksByZone);
  const crowd = mayCrowd(round, job);
  const machines = withImage ? eligible(job, round, true) : candidates(job, round);
  for (const m of machines) {
    let n = Math.min(
      left - at.length,
      fitCount(spec, openRoom(round, job, freeCapacity(shardState, m), crowd)),
    );
    for (; n > 0 && zoneAllows(spec, m.zone, taken); n--) {
      const index = takeNextWaiting(job);
      if (index < 0) break;
      at.push({ index, host: m.host });
      taken.set(m.zone, (taken.get(m.zone) ?? 0) + 1);
    }
    if (at.length >= left) break;
  }
  if (at.length > 0) shardState.placeTasks(job, at, job.repairAttempt ?? undefined);
  capacityIndex.reposition(new Set(at.map((a) => a.host)));
  if (waitingTaskCount(job) === 0) shardState.reservations.release(job.id);
  if (withImage) return;
  if (at.length === 0) placeLeftOver(job, round);
  // What others ask for is not less because this job's machines are few.
  if (at.length < left && job.failedHosts.size === 0 && job.match === null && !round.claimed.has(job.id))
    capacityIndex.noteUnplaceable(spec);
}

/** One task of a job that has waited for long, on a machine whose room nobody has taken for long. */
function placeLeftOver(job: ScheduledJob, round: ShardRound): void {
  const { spec } = job;
  const { shardState, capacityIndex } = round;
  if (fitCount(spec, shardState.availableQuota(spec, true)) < 1) return;
  for (const m of leftOver(job, round)) {
    if (!fits(spec, freeCapacity(shardState, m)) || !zoneAllows(spec, m.zone, job.tasksByZone)) continue;
    const index = takeNextWaiting(job);
    if (index < 0) return;
    shardState.log('info', 'room left over', { job: job.id, host: m.host });
    shardState.placeTasks(job, [{ index, host: m.host }]);
    open(round, m);
    return capacityIndex.reposition(new Set([m.host]));
  }
}
