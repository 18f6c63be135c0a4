/** The working state of a scheduling cycle: what holds for all of it, and the machines of each shard. */
import type { JobSpec } from '../../model/job.js';
import { addResources, fits, type Resources, type MachineType } from '../../model/machine.js';
import type { GpuReserve } from '../../policy/gpu-sharing.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { QuotaReservation } from '../shard-state/team-quotas.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import { CapacityIndex } from '../capacity-index.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { maxReservationAgeMs } from './reservation-ageing.js';

/** What holds for a whole scheduling cycle. */
export interface CycleContext {
  readonly shardState: ShardState;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<ScheduledJob>;
  /**
   * Jobs whose team and class had less than their minimum share, and how many of their tasks may go first: what is reserved
   * for others is open to them. Empty once they have been served.
   */
  readonly belowMinimumShare: ReadonlyMap<ScheduledJob, number>;
  /** What is reserved beside each GPU for waiting GPU work. */
  readonly gpuReserve: GpuReserve | null;
  /** The least that any waiting task requests. */
  readonly minRequest: Readonly<Resources>;
}

/** The state of a scheduling cycle for one shard. */
export interface ShardCycle extends CycleContext {
  readonly capacityIndex: CapacityIndex<ScheduledMachine>;
  /** All machines that accept tasks and are not reserved, full ones too, in the order in which they will have drained. */
  unreserved: readonly ScheduledMachine[];
  /** Machines that accept tasks and have had room for long that no job has taken; reserved ones too. */
  readonly agedCapacity: readonly ScheduledMachine[];
  /** The machines reserved for each waiting job, by its id. */
  readonly reservedMachines: Map<string, readonly ScheduledMachine[]>;
  /** Types of the machines that accept tasks. */
  readonly machineTypes: ReadonlySet<MachineType>;
  /** Machines that drain for gangs which found no room in this cycle, with the urgency rank of these gangs. */
  readonly withheldHosts: Map<string, number>;
  /** What is reserved of teams' quotas for such gangs, by team. */
  readonly quotaReservations: Map<string, QuotaReservation>;
  /** Room that is being made and that a job of this cycle counts on, by host. */
  readonly earmarked: Map<string, Resources>;
}

/** A waiting task of a job, and the machine chosen for it. */
export interface Assignment {
  readonly index: number;
  readonly host: string;
}

/** Collects the machines of a shard, and notes since when each has had room for something that waits. */
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
  unreserved.sort((a, b) => drainTimes.get(a)! - drainTimes.get(b)!);
  return {
    ...context,
    capacityIndex,
    unreserved,
    agedCapacity,
    reservedMachines,
    machineTypes,
    withheldHosts: new Map(),
    quotaReservations: new Map(),
    earmarked: new Map(),
  };
}

/** Notes whether a machine has room for something that waits; true: it has had room for too long. */
function noteFreeCapacity({ shardState, minRequest }: CycleContext, machine: ScheduledMachine): boolean {
  const { now } = shardState.clock;
  if (!fits(minRequest, freeCapacity(shardState, machine))) machine.freeCapacitySince = 0;
  else if (machine.freeCapacitySince === 0) machine.freeCapacitySince = now;
  else return now - machine.freeCapacitySince > maxReservationAgeMs(shardState.settings);
  return false;
}

/** The time until all tasks of a machine will have ended, by their estimates, s. */
function drainTimeS(shardState: ShardState, machine: ScheduledMachine): number {
  let longestS = 0;
  for (const { job, runningSince } of machine.placements.values()) {
    const ranS = runningSince > 0 ? (shardState.clock.now - runningSince) / 1000 : 0;
    const remainingS = job.spec.shape === 'service' ? Infinity : job.spec.estimateS - ranS;
    longestS = Math.max(longestS, remainingS, 1);
  }
  return longestS;
}

/** How many machines have been examined since the last call. */
export function takeExamined({ capacityIndex }: ShardCycle): number {
  const { examined } = capacityIndex;
  capacityIndex.examined = 0;
  return examined;
}

/** Reserves machines for a job: from now on they are open to it alone. */
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

/** Notes that a job counts on room that is being made on a machine, so that no other job of the cycle does. */
export function earmark(cycle: ShardCycle, machine: ScheduledMachine, spec: JobSpec, tasks: number): void {
  const earmarked = cycle.earmarked.get(machine.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  addResources(earmarked, spec, tasks);
  cycle.earmarked.set(machine.host, earmarked);
}
