import { urgencyRank } from '../../model/job.js';
import { fits, fitCount } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { hasNoTimeLimits, timeLimitsOf } from '../../policy/deadlines.js';
import { roomOutsideGpuReserve } from '../../policy/gpu-sharing.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, Placement } from '../shard-state/types.js';
import { mayCrowd, mayEmpty, openTo } from './feasibility.js';
import { add, promise, type ShardRound } from './shard.js';
import { demandsNow, loss, mayStop, type Plan } from './victims.js';

/** Whether an array may have a task give way at once, not only when it is pressed for time. */
function givesWay(round: ShardRound, job: ScheduledJob, victim: Placement): boolean {
  const { shardState } = round;
  const { spec } = victim.job;
  if (victim.stopRequest !== null || victim.job.unreadable || spec.shape !== 'array') return false;
  if (demandsNow(round, job)) return mayStop(round, job, victim, true);
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
export function makeYield(job: ScheduledJob, round: ShardRound): boolean {
  const { spec } = job;
  const { shardState } = round;
  const entitled = demandsNow(round, job);
  if (
    !entitled &&
    ![...shardState.placementsByUrgency].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency])
  )
    return false;
  let need = Math.min(waitingTaskCount(job), fitCount(spec, shardState.availableQuota(spec)));
  const crowd = mayCrowd(round, job);
  const plans: Plan[] = [];
  for (const m of round.all) {
    if (need <= 0) return true;
    round.capacityIndex.examined++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(shardState, job, m)) continue;
    if (!mayEmpty(round, job, m.type)) continue;
    const promised = round.promised.get(m.host);
    const room = freeCapacity(shardState, m);
    if (promised) add(room, promised, -1);
    for (const p of m.placements.values()) if (p.stopRequest !== null) add(room, p.job.spec, 1);
    const n = Math.min(need, fitCount(spec, roomOutsideGpuReserve(spec, room, round.keep, crowd)));
    if (n > 0) {
      promise(round, m, spec, n);
      add(room, spec, -n);
      need -= n;
    }
    const victims = [...m.placements.values()].filter((p) => givesWay(round, job, p));
    victims.sort((a, b) => loss(shardState, a, 0) - loss(shardState, b, 0));
    let plan: Plan = { m, victims: [], lost: 0 };
    for (const p of victims) {
      add(room, p.job.spec, 1);
      plan.victims.push(p);
      plan.lost += loss(shardState, p, 0);
      if (!fits(spec, roomOutsideGpuReserve(spec, room, round.keep, crowd))) continue;
      add(room, spec, -1);
      plans.push(plan);
      plan = { m, victims: [], lost: 0 };
    }
  }
  plans.sort((a, b) => a.lost - b.lost);
  for (const plan of plans.slice(0, need)) {
    promise(round, plan.m, spec, 1);
    for (const p of plan.victims) {
      shardState.log('debug', 'giving way', { job: p.job.id, index: p.index, host: p.host, for: job.id });
      shardState.requestStop(p, p.job.spec.saveS);
    }
  }
  if (plans.length > 0 && need > 0)
    shardState.log('info', 'others give way', { for: job.id, entitled, tasks: Math.min(need, plans.length) });
  return true;
}
