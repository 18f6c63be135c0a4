import { urgencyRank } from '../../model/job.js';
import { fits, fitCount } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { imageFetchS } from '../../policy/pricing.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import { mayDrain, isFeasible } from './feasibility.js';
import { reserveMachines, type ShardCycle } from './shard-cycle.js';
import { preemptsImmediately, preemptionLoss, mayPreempt, type PreemptionPlan } from './victims.js';

/** True while tasks on a machine are being stopped. */
export const hasStoppingTasks = (machine: ScheduledMachine): boolean =>
  [...machine.placements.values()].some((placement) => placement.stopRequest !== null);

/** Of plans in order of loss: those of the zone where so many of them lose least together. */
function cheapestZone(plans: PreemptionPlan[], count: number): PreemptionPlan[] {
  let best: PreemptionPlan[] = [];
  let minLoss = Infinity;
  for (const zone of new Set(plans.map((p) => p.machine.zone))) {
    const inZone = plans.filter((p) => p.machine.zone === zone).slice(0, count);
    const loss = inZone.reduce((sum, p) => sum + p.lostCpuS, 0);
    if (inZone.length === count && loss < minLoss) {
      minLoss = loss;
      best = inZone;
    }
  }
  return best;
}

/**
 * Makes room for a job that neither a free place nor a machine rented now would serve in time, by stopping
 * the tasks that lose least. Machines where room is being made are kept for it. False: not looked for.
 */
export function preemptFor(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  const withinGuarantee = cycle.withinGuarantee.has(job);
  const lower = [...shardState.placementsByUrgency].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency]);
  if (!withinGuarantee && !lower) return false;
  const limits = timeLimitsOf(spec, shardState.settings.objectives);
  const ageS = (shardState.clock.wall - job.acceptedAt) / 1000;
  const slack = slackS(limits, ageS, spec.estimateS);
  let needed = waitingTaskCount(job);
  if (spec.shape !== 'gang') needed = Math.min(needed, 1);
  if (fitCount(spec, shardState.availableQuota(spec)) < needed) return false;
  const allowedTypes = shardState.replica.machineTypes.filter((t) => typeAllowed(spec, t));
  const bootS = Math.min(...allowedTypes.map((t) => t.bootS + imageFetchS(spec, t)));
  const timeLeftS = Number.isFinite(slack) ? slack : 2 * bootS - ageS;
  if (!preemptsImmediately(cycle, job) && timeLeftS > bootS + 2 * shardState.settings.workers.report_s)
    return false;
  let plans: PreemptionPlan[] = [];
  // For a whole machine much is stopped at once: what saves has to fetch and to queue again, so it counts like the rest.
  const lossOf = (placement: Placement): number => preemptionLoss(shardState, placement, Infinity);
  const reserved = cycle.reservedMachines.get(job.id) ?? [];
  for (const machine of [...reserved, ...cycle.unreserved]) {
    cycle.capacityIndex.examined++;
    if (
      !typeAllowed(spec, machine.type) ||
      (machine.spot && !spotAllowed(spec)) ||
      !isFeasible(shardState, job, machine)
    )
      continue;
    if (!mayDrain(cycle, job, machine.type)) continue;
    const room = freeCapacity(shardState, machine);
    const victims: Placement[] = [];
    let lost = 0;
    const all = [...machine.placements.values()].filter(
      (placement) => placement.stopRequest !== null || mayPreempt(cycle, job, placement, withinGuarantee),
    );
    all.sort((a, b) => lossOf(a) - lossOf(b));
    for (const placement of all) {
      if (fits(spec, room)) break;
      // A gang stops as a whole; that loses more than the room is worth.
      if (placement.stopRequest === null && placement.job.spec.shape === 'gang') continue;
      room.cpus += placement.job.spec.cpus;
      room.gpus += placement.job.spec.gpus;
      room.memGb += placement.job.spec.memGb;
      victims.push(placement);
      lost += lossOf(placement);
    }
    if (fits(spec, room)) plans.push({ machine: machine, victims, lostCpuS: lost });
  }
  plans.sort((a, b) => a.lostCpuS - b.lostCpuS);
  if (spec.oneZone && plans.length >= needed) plans = cheapestZone(plans, needed);
  if (plans.length < needed) return true;
  const chosen = plans.slice(0, needed);
  // What is in the way of the zone is found out by the placement; here only the loss counts.
  reserveMachines(
    job,
    cycle,
    chosen.map((p) => p.machine).filter((machine) => !reserved.includes(machine)),
  );
  for (const plan of chosen)
    for (const placement of plan.victims)
      if (placement.stopRequest === null) {
        shardState.log('info', 'preempting', {
          job: placement.job.id,
          index: placement.index,
          host: placement.host,
          for: job.id,
        });
        shardState.requestStop(placement, placement.job.spec.saveS);
      }
  return true;
}
