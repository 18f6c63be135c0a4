/** Placement of gangs, and what is kept or withheld for those that find no room. */
import { urgencyRank } from '../../model/job.js';
import { fitCount, type Resources } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { spotAllowed, zoneAllows } from '../../policy/guardrails.js';
import { criticalSlackS } from '../../policy/order.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { nextGangAttempt, takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { candidateMachines, mayUseGpuReserve, usableRoom, mayDrain, isFeasible } from './feasibility.js';
import { agedMachines } from './starvation.js';
import { reserveMachines, type ShardCycle } from './shard-cycle.js';

/** False: the gang waits for something else than room. */
export const awaitsRoom = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  fitCount(job.spec, shardState.availableQuota(job.spec)) >= waitingTaskCount(job);

/** A gang is placed whole in one round or not at all. False: it found no room. */
export function placeGang(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (!awaitsRoom(shardState, job)) {
    // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
    if (job.placements.size === 0) placeOnAgedRoom(job, cycle);
    return true;
  }
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const {
    hosts,
    zoneMost: maxInZone,
    total,
  } = findHosts(job, candidateMachines(job, cycle), (machine) =>
    usableRoom(cycle, job, freeCapacity(shardState, machine), mayUseReserve),
  );
  if (hosts !== null) {
    placeOnHosts(job, cycle, hosts);
    return true;
  }
  if (placeOnAgedRoom(job, cycle)) return true;
  if (job.failedHosts.size === 0 && job.match === null && !cycle.reservedMachines.has(job.id))
    capacityIndex.noteUnplaceable(spec, maxInZone, total);
  return false;
}

/** A gang that has waited for long, on machines whose room nobody has taken for long. */
function placeOnAgedRoom(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { shardState } = cycle;
  if (fitCount(job.spec, shardState.availableQuota(job.spec, true)) < waitingTaskCount(job)) return false;
  const { hosts } = findHosts(job, agedMachines(job, cycle), (machine) => freeCapacity(shardState, machine));
  if (hosts === null) return false;
  shardState.log('info', 'room left over', { job: job.id, hosts });
  placeOnHosts(job, cycle, hosts);
  return true;
}

function placeOnHosts(job: ScheduledJob, cycle: ShardCycle, hosts: string[]): void {
  const assignments: { index: number; host: string }[] = [];
  for (const host of hosts) {
    const index = takeNextWaiting(job);
    if (index >= 0) assignments.push({ index, host });
  }
  cycle.shardState.placeTasks(job, assignments, nextGangAttempt(job));
  cycle.capacityIndex.reposition(new Set(hosts));
  cycle.shardState.reservations.release(job.id);
}

/** The first of some machines on which all of a gang has room, a host for each task; null: there are none. */
function findHosts(
  job: ScheduledJob,
  machines: Iterable<ScheduledMachine>,
  room: (machine: ScheduledMachine) => Resources,
): { hosts: string[] | null; zoneMost: number; total: number } {
  const { spec } = job;
  const needed = waitingTaskCount(job);
  const hosts = new Map<string | null, string[]>();
  const tasksByZone = new Map<string | null, Map<string, number>>();
  const capacityByZone = new Map<string, number>();
  let total = 0;
  const result = (found: string[] | null) => ({
    hosts: found,
    zoneMost: Math.max(0, ...capacityByZone.values()),
    total,
  });
  for (const machine of machines) {
    const zone = spec.oneZone ? machine.zone : null;
    const fitting = fitCount(spec, room(machine));
    if (fitting === 0) continue;
    total += fitting;
    capacityByZone.set(machine.zone, (capacityByZone.get(machine.zone) ?? 0) + fitting);
    if (!hosts.has(zone)) {
      hosts.set(zone, []);
      tasksByZone.set(zone, new Map());
    }
    const mine = hosts.get(zone)!;
    const zones = tasksByZone.get(zone)!;
    for (let i = 0; i < fitting && mine.length < needed && zoneAllows(spec, machine.zone, zones); i++) {
      mine.push(machine.host);
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    }
    if (mine.length >= needed) return result(mine);
  }
  return result(null);
}

/** The share of the machines that gangs could use which may be kept for gangs that wait. */
const maxReservedShare = 0.1;

/**
 * Keeps for a gang the machines that run empty soonest, all in one zone if it must be, so that small tasks do not
 * starve it. They stay kept until it is placed: chosen anew each round, no machine would ever run empty. Only the
 * first gangs get some, since machines that wait for others to run empty do nothing. For the others machines are withheld
 * from work of less urgency alone: what is as urgent takes them as they come free.
 */
export function reserveForGang(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const { shardState } = cycle;
  let reservedSlots = 0;
  for (const machine of cycle.reservedMachines.get(job.id) ?? [])
    reservedSlots += fitCount(spec, machine.type);
  const needed = waitingTaskCount(job) - reservedSlots;
  if (needed <= 0) return;
  const reservedZone = cycle.reservedMachines.get(job.id)?.[0]?.zone ?? null;
  const usable = cycle.unreserved.filter((machine) => {
    cycle.capacityIndex.examined++;
    return (
      typeAllowed(spec, machine.type) &&
      (!machine.spot || spotAllowed(spec)) &&
      isFeasible(shardState, job, machine) &&
      mayDrain(cycle, job, machine.type)
    );
  });
  const chosen = soonestDrained(job, needed, reservedZone, usable);
  // The first gang always gets its machines; the others only while not too many are kept.
  const reservedCount = shardState.reservations.byHost.size;
  if (
    chosen !== null &&
    (reservedCount === 0 ||
      reservedCount + chosen.length <= maxReservedShare * (usable.length + reservedCount))
  )
    return reserveMachines(job, cycle, chosen);
  raiseMinUrgency(job, cycle, needed, usable);
}

/** The machines that will have run empty first, as many as the gang needs, in one zone if it must be. */
function soonestDrained(
  job: ScheduledJob,
  needed: number,
  reservedZone: string | null,
  usable: ScheduledMachine[],
): ScheduledMachine[] | null {
  const { spec } = job;
  const byZone = new Map<string | null, { machines: ScheduledMachine[]; slots: number }>();
  for (const machine of usable) {
    if (spec.oneZone && reservedZone !== null && machine.zone !== reservedZone) continue;
    const zone = spec.oneZone ? machine.zone : null;
    let group = byZone.get(zone);
    if (!group) byZone.set(zone, (group = { machines: [], slots: 0 }));
    group.machines.push(machine);
    group.slots += fitCount(spec, machine.type);
    // Soonest first: the zone that is complete first will have run empty first.
    if (group.slots >= needed) return group.machines;
  }
  return null;
}

/** Machines run empty, and limits free, while tasks of less urgency end, so it begins before a gang is pressed. */
const pressedFactor = 2;

/** Whether a gang is short of time, or late. */
function isPressed({ spec, acceptedAt: at }: ScheduledJob, { settings, clock }: ShardState): boolean {
  const slack = slackS(timeLimitsOf(spec, settings.objectives), (clock.wall - at) / 1000, spec.estimateS);
  return !Number.isFinite(slack) || slack <= pressedFactor * criticalSlackS(settings);
}

/**
 * Guards against work of less urgency that takes each place that comes free on machines that only whole gangs could use:
 * small tasks always find one, a gang that needs most of a machine never does. Half of the GPU machines stay with GPU work.
 */
function raiseMinUrgency(
  job: ScheduledJob,
  cycle: ShardCycle,
  needed: number,
  usable: ScheduledMachine[],
): void {
  const { spec } = job;
  if (!isPressed(job, cycle.shardState)) return;
  let missing = needed;
  let gpuMachineBalance = 0;
  for (const machine of cycle.unreserved)
    if (machine.type.gpus > 0) gpuMachineBalance += cycle.minUrgencyByHost.has(machine.host) ? -1 : 1;
  for (const machine of usable) {
    if (missing <= 0) return;
    if (cycle.minUrgencyByHost.has(machine.host)) continue;
    if (machine.type.gpus > 0 && spec.gpus <= 0 && (gpuMachineBalance -= 2) < 0) continue;
    cycle.minUrgencyByHost.set(machine.host, urgencyRank[spec.urgency]);
    missing -= fitCount(spec, machine.type);
  }
}

/**
 * Guards against a team's limit that is used up by its less urgent work while its urgent gangs wait: as much of it as they
 * could use goes to nothing else. What no machine could take is not kept.
 */
export function reserveQuota(job: ScheduledJob, cycle: ShardCycle): void {
  const { spec } = job;
  const { shardState } = cycle;
  if (job.placements.size > 0 || isSuspect(job) || !isPressed(job, cycle.shardState)) return;
  const rank = urgencyRank[spec.urgency];
  const before = cycle.quotaReservations.get(spec.team);
  if (before && before.urgency > rank) return;
  let reservation = before;
  if (reservation?.urgency !== rank) {
    let slots = -(shardState.placementsByUrgency.get(rank) ?? 0);
    for (const machine of shardState.machines.values())
      if (typeAllowed(spec, machine.type) && (!machine.spot || spotAllowed(spec)))
        slots += fitCount(spec, machine.type);
    cycle.quotaReservations.set(spec.team, (reservation = { urgency: rank, cpus: 0, gpus: 0, tasks: slots }));
  }
  const tasks = Math.max(0, Math.min(waitingTaskCount(job), reservation.tasks));
  reservation.tasks -= tasks;
  reservation.cpus += tasks * spec.cpus;
  reservation.gpus += tasks * spec.gpus;
}
