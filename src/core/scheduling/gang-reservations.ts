/** Reservations for gangs that could not be placed: machines, and parts of teams' quotas. */
import { urgencyRank } from '../../model/job.js';
import { fitCount } from '../../model/machine.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { criticalSlackS } from '../../policy/order.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { QuotaReservation } from '../shard-state/team-quotas.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { allowsMachine, mayDrain } from './feasibility.js';
import { drainedFitCount, reserveMachines, type ShardCycle } from './shard-cycle.js';

/** The largest share of the machines usable by a gang that may be reserved. The first gang's reservation is exempt. */
const maxReservedShare = 0.1;

/**
 * Machines are withheld and quota is reserved for a gang once its slack is at most this multiple of the critical slack: it
 * takes time until enough tasks of lower urgency have ended.
 */
const shortOfTimeSlackFactor = 2;

/**
 * Reserves for a gang the machines that will drain soonest, in a single zone if the gang requires it, so that small tasks do
 * not starve the gang. They stay reserved until it is placed: if they were chosen anew in each cycle, no machine would ever
 * drain. What services use does not drain, so only the rest of their machines counts. Machines are reserved only for the first
 * gangs, since reserved machines are idle while others still drain. For the other gangs, machines are only withheld from jobs of
 * lower urgency; other jobs may use them as they become free.
 */
export function reserveForGang(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const reserved = cycle.reservedMachines.get(job.id) ?? [];
  const reservedSlots = reserved.reduce((slots, m) => slots + drainedFitCount(spec, m, cycle), 0);
  const needed = waitingTaskCount(job) - reservedSlots;
  if (needed <= 0) return;
  const usable = cycle.unreserved.filter((machine) => {
    cycle.capacityIndex.examined++;
    return mayDrain(cycle, job, machine) && drainedFitCount(spec, machine, cycle) > 0;
  });
  const chosen = soonestDrained(job, needed, reserved.at(0)?.zone ?? null, usable, cycle);
  if (chosen !== null && mayReserve(chosen.length, cycle.shardState.reservations.byHost.size, usable.length))
    reserveMachines(job, cycle, chosen);
  else withholdHosts(job, cycle, needed, usable);
}

/** Machines are always reserved for the first gang, for further ones only within `maxReservedShare`. */
const mayReserve = (count: number, reservedCount: number, usableCount: number): boolean =>
  reservedCount === 0 || reservedCount + count <= maxReservedShare * (usableCount + reservedCount);

/**
 * The first of the usable machines, which are sorted by drain time, that can take the gang, in a single zone if the gang
 * requires it. Returns null if there are not enough.
 */
function soonestDrained(
  { spec }: ScheduledJob,
  needed: number,
  reservedZone: string | null,
  usable: readonly ScheduledMachine[],
  cycle: ShardCycle,
): readonly ScheduledMachine[] | null {
  const byZone = new Map<string | null, { machines: ScheduledMachine[]; slots: number }>();
  for (const machine of usable) {
    if (spec.oneZone && reservedZone !== null && machine.zone !== reservedZone) continue;
    const zone = spec.oneZone ? machine.zone : null;
    let group = byZone.get(zone);
    if (!group) byZone.set(zone, (group = { machines: [], slots: 0 }));
    group.machines.push(machine);
    group.slots += drainedFitCount(spec, machine, cycle);
    // Machines come in the order of their drain times, so the first complete zone is the one that drains first.
    if (group.slots >= needed) return group.machines;
  }
  return null;
}

/** Whether a gang's next time limit is close, or it has no limit that it can still keep. */
function isShortOfTime({ spec, acceptedAt }: ScheduledJob, { settings, clock }: ShardState): boolean {
  const ageS = (clock.wall - acceptedAt) / 1000;
  const slack = slackS(timeLimitsOf(spec, settings.objectives), ageS, spec.estimateS);
  return !Number.isFinite(slack) || slack <= shortOfTimeSlackFactor * criticalSlackS(settings);
}

/**
 * Withholds machines from jobs of lower urgency while a gang is short of time. Otherwise small tasks would take all capacity
 * as it becomes free, and a gang whose tasks need most of a machine would never find enough. At least half of the GPU
 * machines stay available to GPU jobs.
 */
function withholdHosts(
  job: ScheduledJob,
  cycle: ShardCycle,
  needed: number,
  usable: readonly ScheduledMachine[],
): void {
  const { spec } = job;
  if (!isShortOfTime(job, cycle.shardState)) return;
  let missing = needed;
  // The number of GPU machines that are not withheld minus the number of those that are; withholding one lowers it by 2.
  let gpuMachineBalance = 0;
  for (const { type, host } of cycle.unreserved)
    if (type.gpus > 0) gpuMachineBalance += cycle.withheldHosts.has(host) ? -1 : 1;
  for (const machine of usable) {
    const { type, host } = machine;
    if (missing <= 0) return;
    if (cycle.withheldHosts.has(host)) continue;
    if (type.gpus > 0 && spec.gpus <= 0) {
      gpuMachineBalance -= 2;
      if (gpuMachineBalance < 0) continue;
    }
    cycle.withheldHosts.set(host, urgencyRank[spec.urgency]);
    missing -= drainedFitCount(spec, machine, cycle);
  }
}

/**
 * Reserves a part of a team's quota for a gang that is short of time. Otherwise the team's less urgent jobs could use up the
 * quota while its gangs wait. The reservation is limited to what the machines could run.
 */
export function reserveQuota(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  if (job.placements.size > 0 || isSuspect(job) || !isShortOfTime(job, cycle.shardState)) return;
  const urgency = urgencyRank[spec.urgency];
  let reservation = cycle.quotaReservations.get(spec.team);
  if (reservation && reservation.urgency > urgency) return;
  if (reservation?.urgency !== urgency) {
    reservation = emptyQuotaReservation(job, cycle.shardState, urgency);
    cycle.quotaReservations.set(spec.team, reservation);
  }
  const tasks = Math.max(0, Math.min(waitingTaskCount(job), reservation.tasks));
  reservation.tasks -= tasks;
  reservation.cpus += tasks * spec.cpus;
  reservation.gpus += tasks * spec.gpus;
}

/**
 * An empty quota reservation. It may grow by as many tasks like the job's as the machines could take, less the tasks of its
 * urgency that are placed already.
 */
function emptyQuotaReservation(
  { spec }: ScheduledJob,
  { machines, placementsByUrgency }: ShardState,
  urgency: number,
): QuotaReservation {
  let tasks = -(placementsByUrgency.get(urgency) ?? 0);
  for (const machine of machines.values())
    if (allowsMachine(spec, machine)) tasks += fitCount(spec, machine.type);
  return { urgency, cpus: 0, gpus: 0, tasks };
}
