/** Preemption: frees capacity for jobs that can be served in time neither by free capacity nor by a machine rented now. */
import type { JobSpec } from '../../model/job.js';
import { addResources, fits, fitCount } from '../../model/machine.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { soonestStartS } from '../../policy/pricing.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import { mayDrain } from './feasibility.js';
import { reserveMachines, type ShardCycle } from './shard-cycle.js';
import {
  byLoss,
  lowerUrgencyPlaced,
  mayPreempt,
  preemptionLoss,
  preemptsImmediately,
  type PreemptionPlan,
} from './victims.js';

/** Whether any task on a machine is being stopped. */
export const hasStoppingTasks = (machine: ScheduledMachine): boolean =>
  [...machine.placements.values()].some((placement) => placement.stopRequest !== null);

/**
 * Preempts the tasks that lose the least work to free capacity for a job that cannot wait, and reserves their machines for it.
 * Returns whether machines were scanned, which is expensive.
 */
export function preemptFor(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  if (!cycle.withinGuarantee.has(job) && !lowerUrgencyPlaced(shardState, spec)) return false;
  const needed = spec.shape === 'gang' ? waitingTaskCount(job) : Math.min(waitingTaskCount(job), 1);
  if (fitCount(spec, shardState.availableQuota(spec)) < needed) return false;
  if (!preemptsImmediately(cycle, job) && rentalIsInTime(job, shardState)) return false;
  const reserved = cycle.reservedMachines.get(job.id) ?? [];
  const plans: PreemptionPlan[] = [];
  for (const machine of [...reserved, ...cycle.unreserved]) {
    cycle.capacityIndex.examined++;
    const plan = mayDrain(cycle, job, machine) ? planPreemption(job, cycle, machine) : null;
    if (plan !== null) plans.push(plan);
  }
  const chosen = cheapestPlans(plans.sort(byLoss), needed, spec);
  if (chosen !== null) carryOut(chosen, job, cycle, reserved);
  return true;
}

/** Whether a machine rented now could start the job's tasks before the job's next time limit. */
function rentalIsInTime(job: ScheduledJob, { settings, clock, replica }: ShardState): boolean {
  const { spec } = job;
  const ageS = (clock.wall - job.acceptedAt) / 1000;
  const slack = slackS(timeLimitsOf(spec, settings.objectives), ageS, spec.estimateS);
  const rentalS = soonestStartS(spec, replica.machineTypes);
  // A job without a limit that it can still keep waits for twice the time of a rental before it preempts.
  const timeLeftS = Number.isFinite(slack) ? slack : 2 * rentalS - ageS;
  return timeLeftS > rentalS + 2 * settings.workers.report_s;
}

/** The tasks to preempt on a machine for one task of a job; null if preemption cannot free enough capacity there. */
function planPreemption(
  job: ScheduledJob,
  cycle: ShardCycle,
  machine: ScheduledMachine,
): PreemptionPlan | null {
  const { spec } = job;
  // Many tasks may be stopped at once. Even those that save a checkpoint have to wait for placement and fetch their images
  // again, so their whole run time counts as lost.
  const lossOf = (placement: Placement): number => preemptionLoss(cycle.shardState, placement, Infinity);
  const free = freeCapacity(cycle.shardState, machine);
  const preemptible = [...machine.placements.values()].filter(
    (placement) => placement.stopRequest !== null || mayPreempt(cycle, job, placement),
  );
  preemptible.sort((a, b) => lossOf(a) - lossOf(b));
  const victims: Placement[] = [];
  let lostCpuS = 0;
  for (const placement of preemptible) {
    if (fits(spec, free)) break;
    // Preempting one task of a gang stops the whole gang, which loses more than the freed capacity is worth.
    if (placement.stopRequest === null && placement.job.spec.shape === 'gang') continue;
    addResources(free, placement.job.spec, 1);
    victims.push(placement);
    lostCpuS += lossOf(placement);
  }
  return fits(spec, free) ? { machine, victims, lostCpuS } : null;
}

/**
 * The first `count` of the plans, which are sorted by loss, all in one zone if the job requires it; null if there are too few.
 * Other zone rules are left to placement; only the loss counts here.
 */
function cheapestPlans(
  plans: readonly PreemptionPlan[],
  count: number,
  spec: JobSpec,
): readonly PreemptionPlan[] | null {
  if (plans.length < count) return null;
  return spec.oneZone ? cheapestZone(plans, count) : plans.slice(0, count);
}

/**
 * The first `count` plans, which are sorted by loss, of the zone where they lose the least in total; null if no zone has that
 * many.
 */
function cheapestZone(plans: readonly PreemptionPlan[], count: number): readonly PreemptionPlan[] | null {
  let best: readonly PreemptionPlan[] | null = null;
  let minLoss = Infinity;
  for (const zone of new Set(plans.map((plan) => plan.machine.zone))) {
    const inZone = plans.filter((plan) => plan.machine.zone === zone).slice(0, count);
    const loss = inZone.reduce((sum, plan) => sum + plan.lostCpuS, 0);
    if (inZone.length === count && loss < minLoss) {
      minLoss = loss;
      best = inZone;
    }
  }
  return best;
}

/** Reserves the machines of the plans for the job, and stops their victims. */
function carryOut(
  plans: readonly PreemptionPlan[],
  job: ScheduledJob,
  cycle: ShardCycle,
  reserved: readonly ScheduledMachine[],
): void {
  const { shardState } = cycle;
  const machines = plans.map((plan) => plan.machine).filter((machine) => !reserved.includes(machine));
  reserveMachines(job, cycle, machines);
  for (const placement of plans.flatMap((plan) => plan.victims)) {
    if (placement.stopRequest !== null) continue;
    const { index, host } = placement;
    shardState.log('info', 'preempting', { job: placement.job.id, index, host, for: job.id });
    shardState.requestStop(placement, placement.job.spec.saveS);
  }
}
