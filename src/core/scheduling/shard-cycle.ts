/** The state of a scheduling cycle: what is common to all shards, and the machines of each shard. */
import type { JobSpec } from '../../model/job.js';
import { addResources, fitCount, fits, type Resources, type MachineType } from '../../model/machine.js';
import type { GpuReserve } from '../../policy/gpu-sharing.js';
import { compareNumbers } from '../../policy/order.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { QuotaReservation } from '../shard-state/team-quotas.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import { CapacityIndex } from '../capacity-index.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { maxReservationAgeMs } from './reservation-ageing.js';

/** The part of a scheduling cycle's state that all shards share. */
export interface CycleContext {
  readonly shardState: ShardState;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<ScheduledJob>;
  /**
   * Jobs whose team and class had less than their minimum share, and how many of their tasks are placed first. They may use
   * withheld machines and the GPU reserve. Empty once they have been served.
   */
  readonly belowMinimumShare: ReadonlyMap<ScheduledJob, number>;
  /** The CPUs and memory that are reserved with each free GPU for waiting GPU jobs; null if none wait. */
  readonly gpuReserve: GpuReserve | null;
  /** The smallest request for each resource among all waiting tasks. */
  readonly minRequest: Readonly<Resources>;
}

/** The state of a scheduling cycle for one shard. */
export interface ShardCycle extends CycleContext {
  readonly capacityIndex: CapacityIndex<ScheduledMachine>;
  /** All machines that accept tasks and are not reserved, including full ones, sorted by drain time. */
  unreserved: readonly ScheduledMachine[];
  /**
   * Machines, including reserved ones, that accept tasks and have had unused capacity for longer than `maxReservationAgeMs`.
   */
  readonly agedCapacity: readonly ScheduledMachine[];
  /** The machines reserved for each waiting job, by job id. */
  readonly reservedMachines: Map<string, readonly ScheduledMachine[]>;
  /** What services that are not being stopped use on machines that run some, by host. */
  readonly endlessUsage: ReadonlyMap<string, Resources>;
  /** The types of the machines that accept tasks. */
  readonly machineTypes: ReadonlySet<MachineType>;
  /**
   * Machines that are withheld from less urgent jobs because gangs could not be placed in this cycle, with the urgency rank of
   * these gangs, by host.
   */
  readonly withheldHosts: Map<string, number>;
  /** The parts of teams' quotas that are reserved for such gangs, by team. */
  readonly quotaReservations: Map<string, QuotaReservation>;
  /** Capacity that is free or being freed by preemption and that a job of this cycle expects to use, by host. */
  readonly claimedCapacity: Map<string, Resources>;
}

/** The index of a waiting task in its job, and the machine chosen for it. */
export interface Assignment {
  readonly index: number;
  readonly host: string;
}

/** Collects the machines of a shard, and records since when each has had capacity for some waiting task. */
export function beginShardCycle(context: CycleContext, shard: number): ShardCycle {
  const { shardState, minRequest } = context;
  const unreserved: ScheduledMachine[] = [];
  const reservedMachines = new Map<string, ScheduledMachine[]>();
  const machineTypes = new Set<MachineType>();
  const agedCapacity: ScheduledMachine[] = [];
  for (const machine of shardState.machines.values()) {
    if (machine.record.shard !== shard) continue;
    if (!acceptsTasks(shardState, machine)) {
      machine.freeCapacitySince = 0;
      continue;
    }
    if (noteFreeCapacity(context, machine)) agedCapacity.push(machine);
    machineTypes.add(machine.type);
    const reservation = shardState.reservations.byHost.get(machine.host);
    if (!reservation) unreserved.push(machine);
    else {
      const machinesOfJob = reservedMachines.get(reservation.job);
      if (machinesOfJob) machinesOfJob.push(machine);
      else reservedMachines.set(reservation.job, [machine]);
    }
  }
  const capacityIndex = new CapacityIndex(
    unreserved,
    (machine) => freeCapacity(shardState, machine),
    minRequest,
  );
  const drainTimes = new Map(unreserved.map((machine) => [machine, drainTimeS(shardState, machine)]));
  unreserved.sort((a, b) => compareNumbers(drainTimes.get(a)!, drainTimes.get(b)!));
  return {
    ...context,
    capacityIndex,
    unreserved,
    agedCapacity,
    reservedMachines,
    endlessUsage: endlessUsageByHost(shardState, shard),
    machineTypes,
    withheldHosts: new Map(),
    quotaReservations: new Map(),
    claimedCapacity: new Map(),
  };
}

/**
 * Records since when a machine has had capacity for some waiting task. Returns whether that is longer than free capacity may
 * stay reserved.
 */
function noteFreeCapacity({ shardState, minRequest }: CycleContext, machine: ScheduledMachine): boolean {
  const { now } = shardState.clock;
  if (!fits(minRequest, freeCapacity(shardState, machine))) machine.freeCapacitySince = 0;
  else if (machine.freeCapacitySince === 0) machine.freeCapacitySince = now;
  else return now - machine.freeCapacitySince > maxReservationAgeMs(shardState.settings);
  return false;
}

/**
 * The time until all tasks of a machine will have ended, according to their estimates, s; Infinity if a service runs there. Overdue
 * tasks all count as ending next: an order that changed with their ages would withhold other machines in each cycle.
 */
function drainTimeS(shardState: ShardState, machine: ScheduledMachine): number {
  let longestS = 0;
  for (const { job, runningSince } of machine.placements.values()) {
    const ranS = runningSince > 0 ? (shardState.clock.now - runningSince) / 1000 : 0;
    const remainingS = job.spec.shape === 'service' ? Infinity : job.spec.estimateS - ranS;
    longestS = Math.max(longestS, remainingS, 1);
  }
  return longestS;
}

/** What services that are not being stopped use on each machine of a shard that runs some. */
function endlessUsageByHost({ jobs, machines }: ShardState, shard: number): Map<string, Resources> {
  const usage = new Map<string, Resources>();
  for (const { spec, placements } of jobs.values()) {
    if (spec.shape !== 'service') continue;
    for (const { host, stopRequest } of placements.values()) {
      if (stopRequest !== null || machines.get(host)?.record.shard !== shard) continue;
      const used = usage.get(host) ?? { cpus: 0, gpus: 0, memGb: 0 };
      addResources(used, spec, 1);
      usage.set(host, used);
    }
  }
  return usage;
}

/** How many tasks of a job a machine could take once all of its tasks have ended but those of services. */
export function drainedFitCount(
  spec: JobSpec,
  machine: ScheduledMachine,
  { endlessUsage }: ShardCycle,
): number {
  const used = endlessUsage.get(machine.host);
  if (!used) return fitCount(spec, machine.type);
  const { cpus, gpus, memGb } = machine.type;
  return fitCount(spec, { cpus: cpus - used.cpus, gpus: gpus - used.gpus, memGb: memGb - used.memGb });
}

/** Returns the number of machines examined since the last call, and resets it. */
export function takeExaminedCount({ capacityIndex }: ShardCycle): number {
  const { examined } = capacityIndex;
  capacityIndex.examined = 0;
  return examined;
}

/** Reserves machines for a job. No other job may use them from then on. */
export function reserveMachines(
  job: ScheduledJob,
  cycle: ShardCycle,
  machines: readonly ScheduledMachine[],
): void {
  const hosts = new Set<string>();
  for (const machine of machines) {
    hosts.add(machine.host);
    cycle.shardState.reservations.reserve(machine.host, job.id);
  }
  cycle.capacityIndex.remove(hosts);
  cycle.unreserved = cycle.unreserved.filter((machine) => !hosts.has(machine.host));
  cycle.reservedMachines.set(job.id, [...(cycle.reservedMachines.get(job.id) ?? []), ...machines]);
}

/** Records that a job expects to use capacity on a machine, so that no other job of the cycle counts on the same capacity. */
export function claimExpectedCapacity(
  cycle: ShardCycle,
  machine: ScheduledMachine,
  spec: JobSpec,
  tasks: number,
): void {
  const claimed = cycle.claimedCapacity.get(machine.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  addResources(claimed, spec, tasks);
  cycle.claimedCapacity.set(machine.host, claimed);
}
