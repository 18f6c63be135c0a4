import { urgencyRank } from '../../model/job.js';
import { fits, fitCount } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { hasNoTimeLimits, timeLimitsOf } from '../../policy/deadlines.js';
import { roomOutsideGpuReserve } from '../../policy/gpu-sharing.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, Placement } from '../shard-state/types.js';
import { mayUseGpuReserve, mayDrain, isFeasible } from './feasibility.js';
import { addResources, earmark, type ShardCycle } from './shard-cycle.js';
import { preemptsImmediately, preemptionLoss, mayPreempt, type PreemptionPlan } from './victims.js';

/** Whether an array may have a task give way at once, not only when it is pressed for time. */
function mayPreemptVoluntarily(cycle: ShardCycle, job: ScheduledJob, victim: Placement): boolean {
  const { shardState } = cycle;
  const { spec } = victim.job;
  if (victim.stopRequest !== null || victim.job.unreadable || spec.shape !== 'array') return false;
  if (preemptsImmediately(cycle, job)) return mayPreempt(cycle, job, victim, true);
  // Work that nobody waits for by a certain time, and that loses next to nothing.
  return (
    urgencyRank[spec.urgency] < urgencyRank[job.spec.urgency] &&
    spec.checkpointS > 0 &&
    hasNoTimeLimits(timeLimitsOf(spec, shardState.settings.objectives))
  );
}

/**
 * Has other arrays' tasks give way to a waiting array: those of other teams beyond their guarantees if it is within its
 * own, otherwise work of lower urgency that has no limits and can save. Guards against long arrays of a guest that filled
 * the fleet while it was idle: others would wait until their tasks end. Room that is being made already is counted, for one
 * job of the round only. False: not looked for.
 */
export function preemptVoluntarily(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  const immediate = preemptsImmediately(cycle, job);
  if (
    !immediate &&
    ![...shardState.placementsByUrgency].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency])
  )
    return false;
  let needed = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const plans: PreemptionPlan[] = [];
  for (const machine of cycle.unreserved) {
    if (needed <= 0) return true;
    cycle.capacityIndex.examined++;
    if (
      !typeAllowed(spec, machine.type) ||
      (machine.spot && !spotAllowed(spec)) ||
      !isFeasible(shardState, job, machine)
    )
      continue;
    if (!mayDrain(cycle, job, machine.type)) continue;
    const earmarked = cycle.earmarked.get(machine.host);
    const free = freeCapacity(shardState, machine);
    if (earmarked) addResources(free, earmarked, -1);
    for (const placement of machine.placements.values())
      if (placement.stopRequest !== null) addResources(free, placement.job.spec, 1);
    const n = Math.min(
      needed,
      fitCount(spec, roomOutsideGpuReserve(spec, free, cycle.gpuReserve, mayUseReserve)),
    );
    if (n > 0) {
      earmark(cycle, machine, spec, n);
      addResources(free, spec, -n);
      needed -= n;
    }
    const victims = [...machine.placements.values()].filter((placement) =>
      mayPreemptVoluntarily(cycle, job, placement),
    );
    victims.sort((a, b) => preemptionLoss(shardState, a, 0) - preemptionLoss(shardState, b, 0));
    let plan: PreemptionPlan = { machine, victims: [], lostCpuS: 0 };
    for (const placement of victims) {
      addResources(free, placement.job.spec, 1);
      plan.victims.push(placement);
      plan.lostCpuS += preemptionLoss(shardState, placement, 0);
      if (!fits(spec, roomOutsideGpuReserve(spec, free, cycle.gpuReserve, mayUseReserve))) continue;
      addResources(free, spec, -1);
      plans.push(plan);
      plan = { machine, victims: [], lostCpuS: 0 };
    }
  }
  plans.sort((a, b) => a.lostCpuS - b.lostCpuS);
  for (const plan of plans.slice(0, needed)) {
    earmark(cycle, plan.machine, spec, 1);
    for (const placement of plan.victims) {
      shardState.log('debug', 'giving way', {
        job: placement.job.id,
        index: placement.index,
        host: placement.host,
        for: job.id,
      });
      shardState.requestStop(placement, placement.job.spec.saveS);
    }
  }
  if (plans.length > 0 && needed > 0)
    shardState.log('info', 'others give way', {
      for: job.id,
      entitled: immediate,
      tasks: Math.min(needed, plans.length),
    });
  return true;
}
