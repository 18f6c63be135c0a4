/**
 * Future headroom: the capacity that running tasks will free, which waiting jobs may count on instead of on machines to be
 * requested.
 *
 * What frees it: a task of an array or a gang frees its resources when it completes, a task of a job that is over when it is
 * stopped. A service has no end and frees nothing. By when: after the task's estimated run time. What if it does not: a task that
 * is overdue (see `isOverdue`) counts like a service.
 *
 * How long a job may wait for it (see `maxWaitS`): a job that a machine requested now could still start in time waits for a part
 * of its slack. Any other job, whether its limits are too close, missed or absent, waits no longer than such a machine would
 * take. A job that makes no progress all the same stops counting on it (see `maxStallS`).
 */
import type { JobSpec } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { hasNoTimeLimits, slackS, timeLimitsOf } from '../../policy/deadlines.js';
import { mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import { anchorPrice, imageFetchS, pricePerCpu, soonestStartS } from '../../policy/pricing.js';
import type { AutoscalerContext } from './context.js';
import { subtract, type MachineFilter, type MachinePool } from './headroom.js';

/** A waiting job: its specification, and the wall-clock time at which it was accepted, ms. */
interface AcceptedJob {
  readonly spec: JobSpec;
  readonly acceptedAt: number;
}

/** Maximum fraction of a job's slack that it may spend waiting for running tasks to complete, instead of for new machines. */
const maxWaitSlackFraction = 0.6;
/** The part of that fraction used by a job that runs on the cheapest machine type. */
const minWaitFactor = 0.75;
/** A task is overdue after this multiple of the time that it was estimated to take; estimates are often wrong by half. */
const overdueFactor = 2;
/** Additional time before a task is overdue, in worker leases: its start, or the loss of its machine, may take a lease to be known. */
const overdueGraceLeases = 1;
/** How long a job may make no progress beyond the time that a requested machine takes, in worker leases. */
const maxStallLeases = 4;

/** Whether a task that was placed `ageS` seconds ago has taken so long that its end can no longer be predicted. */
export const isOverdue = (spec: JobSpec, type: MachineType, ageS: number, leaseS: number): boolean =>
  ageS > overdueFactor * (spec.estimateS + imageFetchS(spec, type)) + overdueGraceLeases * leaseS;

/**
 * How long the start of a job's last task may be delayed by waiting for running tasks, s. Always finite. Part of the slack is left
 * for image fetches, for run time estimates that are too low, and for other jobs that compete for the same capacity. `isStalled`:
 * whether the job has made no progress for too long.
 */
export function maxWaitS(
  { settings, clock, replica }: AutoscalerContext,
  job: AcceptedJob,
  isStalled: boolean,
): number {
  const { spec, acceptedAt } = job;
  const types = replica.machineTypes;
  const rentalS = soonestStartS(spec, types);
  // Without any type to request, nothing is gained by counting on other capacity.
  if (!Number.isFinite(rentalS)) return 0;
  const limits = timeLimitsOf(spec, settings.objectives);
  const usableFraction = maxWaitSlackFraction * waitFactorOf(spec, types);
  const slack = slackS(limits, (clock.wall - acceptedAt) / 1000, spec.estimateS);
  if (isReachable(slack, rentalS)) return slack * usableFraction;
  if (isStalled) return 0;
  return hasNoTimeLimits(limits) ? Math.min(Math.max(spec.estimateS, 1) * usableFraction, rentalS) : rentalS;
}

/** Whether a machine requested now, which takes `rentalS`, could start a job within its slack. */
const isReachable = (slack: number, rentalS: number): boolean => Number.isFinite(slack) && slack >= rentalS;

/** How long a job may make no progress before the capacity that was counted for it is taken for not usable, s. */
export const maxStallS = ({ settings, replica }: AutoscalerContext, spec: JobSpec): number =>
  settings.workers.lease_s * maxStallLeases + soonestStartS(spec, replica.machineTypes);

/** The part of the maximum wait that a job uses. It grows with the price of the machines that the job needs. */
function waitFactorOf(spec: JobSpec, types: readonly MachineType[]): number {
  const cheapest = Math.min(...types.map(pricePerCpu));
  const anchor = anchorPrice(spec, types);
  const premium = anchor > 0 ? 1 - cheapest / anchor : 0;
  return minWaitFactor + premium * (1 - minWaitFactor);
}

/**
 * Allocates capacity of a pool that running tasks will free within `maxWait` seconds, image fetch included, for up to `maxTasks`
 * tasks. Returns the number of tasks that fit.
 */
export function allocateFutureHeadroom(
  pool: MachinePool,
  spec: JobSpec,
  maxTasks: number,
  maxWait: number,
  types: readonly MachineType[],
  filter: MachineFilter | null,
): number {
  let allocated = 0;
  const waitS = Math.max(0, maxWait - imageFetchS(spec, pool.type));
  for (const machine of pool.machines) {
    if (allocated >= maxTasks) return allocated;
    if (filter !== null && !filter(machine)) continue;
    if (
      machine.busy.cpus < spec.cpus ||
      !mayShareGpuMachine(spec, machine.type, machine.type.gpus - machine.gpus, types)
    )
      continue;
    const completedShare = Math.min(1, waitS / Math.max(machine.meanRunS, 1));
    if (completedShare <= 0) continue;
    // Whole tasks per machine only: large tasks of a gang cannot be assembled from fragments of several machines.
    const count = Math.min(maxTasks - allocated, Math.floor(fitCount(spec, machine.busy) * completedShare));
    if (count <= 0) continue;
    subtract(machine.busy, spec, count);
    allocated += count;
  }
  return allocated;
}
