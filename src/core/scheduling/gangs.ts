/** Placement of gangs: all tasks at once, or none. */
import { fitCount, type Resources } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { nextGangAttempt, takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { candidateMachines, mayUseGpuReserve, usableRoom } from './feasibility.js';
import { agedMachines } from './starvation.js';
import type { Assignment, ShardCycle } from './shard-cycle.js';

/** What came of trying to place a gang; `not-ready`: it waits for something else than room on machines. */
export type GangPlacement = 'placed' | 'not-ready' | 'no-room';

/** Where a gang has room. */
interface HostSearch {
  /** A host for each waiting task; null: there is no room for all of them. */
  readonly hosts: readonly string[] | null;
  /** The most tasks that any zone, and all zones together, could have taken. */
  readonly maxPerZone: number;
  readonly total: number;
}

/** Machines of one zone, or of all zones if a gang may use several, chosen so far. */
interface HostGroup {
  readonly hosts: string[];
  readonly tasksByZone: Map<string, number>;
}

/** Whether only room on machines is missing: nothing of the gang is placed, and its team's quota has room for it. */
export const awaitsRoom = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  fitCount(job.spec, shardState.availableQuota(job.spec)) >= waitingTaskCount(job);

/** Places a gang whole, or not at all. */
export function placeGang(job: ScheduledJob, cycle: ShardCycle): GangPlacement {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (!awaitsRoom(shardState, job)) {
    // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
    const placed = job.placements.size === 0 && placeOnAgedRoom(job, cycle);
    return placed ? 'placed' : 'not-ready';
  }
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const { hosts, maxPerZone, total } = findHosts(job, candidateMachines(job, cycle), (machine) =>
    usableRoom(cycle, job, freeCapacity(shardState, machine), mayUseReserve),
  );
  if (hosts !== null) {
    placeOnHosts(job, cycle, hosts);
    return 'placed';
  }
  if (placeOnAgedRoom(job, cycle)) return 'placed';
  // A gang that may not use all machines says nothing about the room that others find.
  if (job.failedHosts.size === 0 && job.match === null && !cycle.reservedMachines.has(job.id))
    capacityIndex.noteUnplaceable(spec, maxPerZone, total);
  return 'no-room';
}

/** Places a starving gang on machines with aged room; false: there is not enough. */
function placeOnAgedRoom(job: ScheduledJob, cycle: ShardCycle): boolean {
  const { shardState } = cycle;
  if (fitCount(job.spec, shardState.availableQuota(job.spec, true)) < waitingTaskCount(job)) return false;
  const { hosts } = findHosts(job, agedMachines(job, cycle), (machine) => freeCapacity(shardState, machine));
  if (hosts === null) return false;
  shardState.log('info', 'reservation aged out', { job: job.id, hosts });
  placeOnHosts(job, cycle, hosts);
  return true;
}

function placeOnHosts(job: ScheduledJob, cycle: ShardCycle, hosts: readonly string[]): void {
  const assignments: Assignment[] = [];
  for (const host of hosts) {
    const index = takeNextWaiting(job);
    if (index >= 0) assignments.push({ index, host });
  }
  cycle.shardState.placeTasks(job, assignments, nextGangAttempt(job));
  cycle.capacityIndex.reposition(new Set(hosts));
  cycle.shardState.reservations.release(job.id);
}

/** Finds the first machines on which all waiting tasks of a gang have room. */
function findHosts(
  job: ScheduledJob,
  machines: Iterable<ScheduledMachine>,
  roomOn: (machine: ScheduledMachine) => Resources,
): HostSearch {
  const { spec } = job;
  const needed = waitingTaskCount(job);
  const groups = new Map<string | null, HostGroup>();
  const capacityByZone = new Map<string, number>();
  let total = 0;
  const result = (hosts: readonly string[] | null): HostSearch => ({
    hosts,
    maxPerZone: Math.max(0, ...capacityByZone.values()),
    total,
  });
  for (const machine of machines) {
    const { host, zone } = machine;
    const fitting = fitCount(spec, roomOn(machine));
    if (fitting === 0) continue;
    total += fitting;
    capacityByZone.set(zone, (capacityByZone.get(zone) ?? 0) + fitting);
    const groupKey = spec.oneZone ? zone : null;
    let group = groups.get(groupKey);
    if (!group) groups.set(groupKey, (group = { hosts: [], tasksByZone: new Map() }));
    const { hosts, tasksByZone } = group;
    for (let i = 0; i < fitting && hosts.length < needed && zoneAllows(spec, zone, tasksByZone); i++) {
      hosts.push(host);
      tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    }
    if (hosts.length >= needed) return result(hosts);
  }
  return result(null);
}
