/** Placement of gangs: all tasks at once or none. */
import { fitCount, type Resources } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { nextGangAttempt, takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { candidateMachines, mayUseGpuReserve, usableCapacity } from './feasibility.js';
import { agedMachines } from './starvation.js';
import type { Assignment, ShardCycle } from './shard-cycle.js';

/**
 * The result of an attempt to place a gang. `not-ready`: it waits for something other than machine capacity (its team's
 * quota, or the end of an earlier attempt); `insufficient-capacity`: the machines cannot take all of its tasks.
 */
export type GangPlacement = 'placed' | 'not-ready' | 'insufficient-capacity';

/** The result of a search for machines that can take a whole gang. */
interface HostSearch {
  /** A host for each waiting task; null if the machines cannot take all of them. */
  readonly hosts: readonly string[] | null;
  /** The largest number of tasks that any single zone could have taken. */
  readonly maxPerZone: number;
  /** The number of tasks that all zones together could have taken. */
  readonly total: number;
}

/** The hosts chosen so far in one zone, or in all zones if the gang may span zones. */
interface HostGroup {
  /** One entry for each task. */
  readonly hosts: string[];
  readonly tasksByZone: Map<string, number>;
}

/** Whether a gang lacks nothing but machine capacity: none of its tasks is placed, and its team's quota allows all of them. */
export const lacksOnlyMachineCapacity = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  fitCount(job.spec, shardState.availableQuota(job.spec)) >= waitingTaskCount(job);

/** Places all waiting tasks of a gang, or none. */
export function placeGang(job: ScheduledJob, cycle: ShardCycle): GangPlacement {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (!lacksOnlyMachineCapacity(shardState, job)) {
    // Tasks of an earlier attempt occupy their machines and zones until they are known to have ended.
    const placed = job.placements.size === 0 && placeOnAgedCapacity(job, cycle);
    return placed ? 'placed' : 'not-ready';
  }
  const mayUseReserve = mayUseGpuReserve(cycle, job);
  const { hosts, maxPerZone, total } = findHosts(job, candidateMachines(job, cycle), (machine) =>
    usableCapacity(cycle, job, freeCapacity(shardState, machine), mayUseReserve),
  );
  if (hosts !== null) {
    placeOnHosts(job, cycle, hosts);
    return 'placed';
  }
  if (placeOnAgedCapacity(job, cycle)) return 'placed';
  // A gang that is restricted to some machines, or has machines reserved, tells nothing about the capacity for other jobs.
  if (job.failedHosts.size === 0 && job.match === null && !cycle.reservedMachines.has(job.id))
    capacityIndex.recordUnplaceable(spec, maxPerZone, total);
  return 'insufficient-capacity';
}

/** Places a starving gang on machines with aged capacity. Returns false if that is not enough. */
function placeOnAgedCapacity(job: ScheduledJob, cycle: ShardCycle): boolean {
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

/** Finds the first of the given machines that together can take all waiting tasks of a gang. */
function findHosts(
  job: ScheduledJob,
  machines: Iterable<ScheduledMachine>,
  capacityOf: (machine: ScheduledMachine) => Resources,
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
    const fitting = fitCount(spec, capacityOf(machine));
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
