/**
 * Voluntary preemption: stops array tasks that lose almost no work for the benefit of waiting arrays, before these are short of
 * time.
 */
import { urgencyRank } from '../../model/job.js';
import { addResources, fits, fitCount, type Resources } from '../../model/machine.js';
import { hasNoTimeLimits, timeLimitsOf } from '../../policy/deadlines.js';
import { capacityWithoutGpuReserve } from '../../policy/gpu-sharing.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import { mayDrain, mayUseGpuReserve } from './feasibility.js';
import { claimExpectedCapacity, type ShardCycle } from './shard-cycle.js';
import {
  byLoss,
  lowerUrgencyPlaced,
  mayPreempt,
  preemptionLoss,
  preemptsImmediately,
  type PreemptionPlan,
} from './victims.js';

/**
 * Preempts tasks of other arrays for a waiting array. If the job preempts immediately, these are all tasks that it may
 * preempt (see `mayPreempt`), such as those of teams beyond their guarantees; otherwise tasks of lower urgency that have no
 * time limits and save checkpoints. Without this, long arrays of another team that filled the fleet while it was idle would
 * block other jobs until their tasks end. Capacity that is already being freed is counted for a single job of the cycle.
 * Returns whether machines were scanned, which is expensive.
 */
export function preemptVoluntarily(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  const immediate = preemptsImmediately(cycle, job);
  if (!immediate && !lowerUrgencyPlaced(shardState, spec)) return false;
  let needed = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const usable = (free: Resources): Resources =>
    capacityWithoutGpuReserve(spec, free, cycle.gpuReserve, mayUseReserve);
  const plans: PreemptionPlan[] = [];
  for (const machine of cycle.unreserved) {
    if (needed <= 0) return true;
    cycle.capacityIndex.examined++;
    if (!mayDrain(cycle, job, machine)) continue;
    const free = expectedCapacity(cycle, machine);
    const tasks = Math.min(needed, fitCount(spec, usable(free)));
    if (tasks > 0) {
      claimExpectedCapacity(cycle, machine, spec, tasks);
      addResources(free, spec, -tasks);
      needed -= tasks;
    }
    plans.push(...planPreemptions(job, cycle, machine, free, usable));
  }
  plans.sort(byLoss);
  carryOut(plans.slice(0, needed), job, cycle);
  if (plans.length > 0 && needed > 0)
    shardState.log('info', 'voluntary preemption', {
      for: job.id,
      immediate,
      tasks: Math.min(needed, plans.length),
    });
  return true;
}

/** The free capacity of a machine once its stopping tasks have ended, less what other jobs of the cycle expect to use. */
function expectedCapacity(cycle: ShardCycle, machine: ScheduledMachine): Resources {
  const free = freeCapacity(cycle.shardState, machine);
  const claimed = cycle.claimedCapacity.get(machine.host);
  if (claimed) addResources(free, claimed, -1);
  for (const placement of machine.placements.values())
    if (placement.stopRequest !== null) addResources(free, placement.job.spec, 1);
  return free;
}

/** One plan for each task of a job for which preemption would free enough capacity on a machine. Modifies `free`. */
function planPreemptions(
  job: ScheduledJob,
  cycle: ShardCycle,
  machine: ScheduledMachine,
  free: Resources,
  usable: (free: Resources) => Resources,
): PreemptionPlan[] {
  const lossOf = (placement: Placement): number => preemptionLoss(cycle.shardState, placement, 0);
  const preemptible = [...machine.placements.values()].filter((placement) =>
    mayPreemptVoluntarily(cycle, job, placement),
  );
  preemptible.sort((a, b) => lossOf(a) - lossOf(b));
  const plans: PreemptionPlan[] = [];
  let victims: Placement[] = [];
  let lostCpuS = 0;
  for (const placement of preemptible) {
    addResources(free, placement.job.spec, 1);
    victims.push(placement);
    lostCpuS += lossOf(placement);
    if (!fits(job.spec, usable(free))) continue;
    addResources(free, job.spec, -1);
    plans.push({ machine, victims, lostCpuS });
    victims = [];
    lostCpuS = 0;
  }
  return plans;
}

/** Whether a task may be preempted for a waiting array that is not yet short of time. */
function mayPreemptVoluntarily(cycle: ShardCycle, job: ScheduledJob, victim: Placement): boolean {
  const { spec } = victim.job;
  if (victim.stopRequest !== null || victim.job.unreadable || spec.shape !== 'array') return false;
  if (preemptsImmediately(cycle, job)) return mayPreempt(cycle, job, victim);
  // Only tasks without any time limit that save checkpoints and therefore lose almost no work.
  return (
    urgencyRank[spec.urgency] < urgencyRank[job.spec.urgency] &&
    spec.checkpointS > 0 &&
    hasNoTimeLimits(timeLimitsOf(spec, cycle.shardState.settings.objectives))
  );
}

/** Stops the victims of the plans, and claims the capacity that this frees for the job. */
function carryOut(plans: readonly PreemptionPlan[], job: ScheduledJob, cycle: ShardCycle): void {
  const { shardState } = cycle;
  for (const { machine, victims } of plans) {
    claimExpectedCapacity(cycle, machine, job.spec, 1);
    for (const placement of victims) {
      const { index, host } = placement;
      shardState.log('debug', 'preempting voluntarily', {
        job: placement.job.id,
        index,
        host,
        for: job.id,
      });
      shardState.requestStop(placement, placement.job.spec.saveS);
    }
  }
}
