/** Voluntary preemption: array tasks that lose next to nothing make way for waiting arrays before these are short of time. */
import { urgencyRank } from '../../model/job.js';
import { addResources, fits, fitCount, type Resources } from '../../model/machine.js';
import { hasNoTimeLimits, timeLimitsOf } from '../../policy/deadlines.js';
import { roomOutsideGpuReserve } from '../../policy/gpu-sharing.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import { mayDrain, mayUseGpuReserve } from './feasibility.js';
import { earmark, type ShardCycle } from './shard-cycle.js';
import {
  byLoss,
  lowerUrgencyPlaced,
  mayPreempt,
  preemptionLoss,
  preemptsImmediately,
  type PreemptionPlan,
} from './victims.js';

/**
 * Preempts other arrays' tasks for a waiting array: those of other teams beyond their guarantees if it is within its
 * own, otherwise work of lower urgency that has no limits and saves checkpoints. Guards against long arrays of another team
 * that filled the fleet while it was idle: others would wait until their tasks end. Room that is being made already counts
 * for one job of the cycle only. Returns whether machines were scanned, which is expensive.
 */
export function preemptVoluntarily(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  const immediate = preemptsImmediately(cycle, job);
  if (!immediate && !lowerUrgencyPlaced(shardState, spec)) return false;
  let needed = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const usable = (free: Resources): Resources =>
    roomOutsideGpuReserve(spec, free, cycle.gpuReserve, mayUseReserve);
  const plans: PreemptionPlan[] = [];
  for (const machine of cycle.unreserved) {
    if (needed <= 0) return true;
    cycle.capacityIndex.examined++;
    if (!mayDrain(cycle, job, machine)) continue;
    const free = expectedRoom(cycle, machine);
    const tasks = Math.min(needed, fitCount(spec, usable(free)));
    if (tasks > 0) {
      earmark(cycle, machine, spec, tasks);
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

/** The room on a machine once all stop requests there are carried out, without what other jobs of the cycle count on. */
function expectedRoom(cycle: ShardCycle, machine: ScheduledMachine): Resources {
  const free = freeCapacity(cycle.shardState, machine);
  const earmarked = cycle.earmarked.get(machine.host);
  if (earmarked) addResources(free, earmarked, -1);
  for (const placement of machine.placements.values())
    if (placement.stopRequest !== null) addResources(free, placement.job.spec, 1);
  return free;
}

/** One plan for each task of a job that preemption would make room for on a machine; `free` is used up by it. */
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

/** Whether a task may be preempted for an array before that is short of time. */
function mayPreemptVoluntarily(cycle: ShardCycle, job: ScheduledJob, victim: Placement): boolean {
  const { spec } = victim.job;
  if (victim.stopRequest !== null || victim.job.unreadable || spec.shape !== 'array') return false;
  if (preemptsImmediately(cycle, job)) return mayPreempt(cycle, job, victim);
  // Work without any time limit, which loses next to nothing.
  return (
    urgencyRank[spec.urgency] < urgencyRank[job.spec.urgency] &&
    spec.checkpointS > 0 &&
    hasNoTimeLimits(timeLimitsOf(spec, cycle.shardState.settings.objectives))
  );
}

function carryOut(plans: readonly PreemptionPlan[], job: ScheduledJob, cycle: ShardCycle): void {
  const { shardState } = cycle;
  for (const { machine, victims } of plans) {
    earmark(cycle, machine, job.spec, 1);
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
