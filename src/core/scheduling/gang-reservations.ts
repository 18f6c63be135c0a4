/** What is reserved for gangs that found no room: machines, and parts of teams' quotas. */
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
import { reserveMachines, type ShardCycle } from './shard-cycle.js';

/** The share of the machines that gangs could use which may be reserved for waiting gangs. */
const maxReservedShare = 0.1;

/** Machines drain, and quotas are freed, while tasks of less urgency end: reservations begin at this multiple of critical slack. */
const pressedFactor = 2;

/**
 * Reserves for a gang the machines that will have drained soonest, all in one zone if it must be, so that small tasks do not
 * starve it. They stay reserved until it is placed: chosen anew in each cycle, no machine would ever drain. Only the
 * first gangs get some, since machines that wait for others to drain do nothing. For the others machines are withheld
 * from work of less urgency alone: what is as urgent takes them as they come free.
 */
export function reserveForGang(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const reserved = cycle.reservedMachines.get(job.id) ?? [];
  const reservedSlots = reserved.reduce((slots, machine) => slots + fitCount(spec, machine.type), 0);
  const needed = waitingTaskCount(job) - reservedSlots;
  if (needed <= 0) return;
  const usable = cycle.unreserved.filter((machine) => {
    cycle.capacityIndex.examined++;
    return mayDrain(cycle, job, machine);
  });
  const chosen = soonestDrained(job, needed, reserved.at(0)?.zone ?? null, usable);
  if (chosen !== null && mayReserve(chosen.length, cycle.shardState.reservations.byHost.size, usable.length))
    reserveMachines(job, cycle, chosen);
  else withholdHosts(job, cycle, needed, usable);
}

/** The first gang always gets its machines; the others only while not too many are reserved. */
const mayReserve = (count: number, reservedCount: number, usableCount: number): boolean =>
  reservedCount === 0 || reservedCount + count <= maxReservedShare * (usableCount + reservedCount);

/** Of machines in the order in which they will have drained, the first that hold the gang, in one zone if it must be. */
function soonestDrained(
  { spec }: ScheduledJob,
  needed: number,
  reservedZone: string | null,
  usable: readonly ScheduledMachine[],
): readonly ScheduledMachine[] | null {
  const byZone = new Map<string | null, { machines: ScheduledMachine[]; slots: number }>();
  for (const machine of usable) {
    if (spec.oneZone && reservedZone !== null && machine.zone !== reservedZone) continue;
    const zone = spec.oneZone ? machine.zone : null;
    let group = byZone.get(zone);
    if (!group) byZone.set(zone, (group = { machines: [], slots: 0 }));
    group.machines.push(machine);
    group.slots += fitCount(spec, machine.type);
    // Soonest first: the zone that is complete first will have drained first.
    if (group.slots >= needed) return group.machines;
  }
  return null;
}

/** Whether a gang is short of time, or late. */
function isPressed({ spec, acceptedAt }: ScheduledJob, { settings, clock }: ShardState): boolean {
  const ageS = (clock.wall - acceptedAt) / 1000;
  const slack = slackS(timeLimitsOf(spec, settings.objectives), ageS, spec.estimateS);
  return !Number.isFinite(slack) || slack <= pressedFactor * criticalSlackS(settings);
}

/**
 * Withholds machines from work of less urgency. Guards against such work taking each place that comes free on machines that
 * only whole gangs could use: small tasks always find one, a gang that needs most of a machine never does. Half of the GPU
 * machines stay with GPU work.
 */
function withholdHosts(
  job: ScheduledJob,
  cycle: ShardCycle,
  needed: number,
  usable: readonly ScheduledMachine[],
): void {
  const { spec } = job;
  if (!isPressed(job, cycle.shardState)) return;
  let missing = needed;
  // GPU machines that are open to GPU work, less those withheld: each one withheld moves from one side to the other.
  let gpuMachineBalance = 0;
  for (const { type, host } of cycle.unreserved)
    if (type.gpus > 0) gpuMachineBalance += cycle.withheldHosts.has(host) ? -1 : 1;
  for (const { type, host } of usable) {
    if (missing <= 0) return;
    if (cycle.withheldHosts.has(host)) continue;
    if (type.gpus > 0 && spec.gpus <= 0) {
      gpuMachineBalance -= 2;
      if (gpuMachineBalance < 0) continue;
    }
    cycle.withheldHosts.set(host, urgencyRank[spec.urgency]);
    missing -= fitCount(spec, type);
  }
}

/**
 * Reserves a part of a team's quota for an urgent gang. Guards against a quota that is used up by the team's less urgent work
 * while its gangs wait: as much of it as they could use is given to nothing else. What no machine could take is not reserved.
 */
export function reserveQuota(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  if (job.placements.size > 0 || isSuspect(job) || !isPressed(job, cycle.shardState)) return;
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

/** A reservation of nothing yet, for as many tasks like the job's as fit all machines beside what runs with its urgency. */
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
