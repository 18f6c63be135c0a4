/** What a shard offers in a placement round. */
import type { JobSpec } from '../../model/job.js';
import { fits, type Resources, type MachineType } from '../../model/machine.js';
import type { GpuReserve } from '../../policy/gpu-sharing.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { QuotaReservation } from '../shard-state/team-quotas.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import { CapacityIndex } from '../capacity-index.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { maxReservationAgeMs } from './reservation-ageing.js';

/** What holds for a whole round. */
export interface CycleContext {
  shardState: ShardState;
  /** Jobs within their team's guarantee. */
  withinGuarantee: ReadonlySet<ScheduledJob>;
  /** Jobs whose team and class had less than their floor: what is kept for others is open to them. */
  belowMinimumShare: ReadonlyMap<ScheduledJob, number>;
  /** What waiting GPU work needs beside each GPU. */
  gpuReserve: GpuReserve | null;
  /** The least that any waiting task takes. */
  minRequest: Resources;
}

/** What a round keeps for each shard. */
export interface ShardCycle extends CycleContext {
  capacityIndex: CapacityIndex<ScheduledMachine>;
  /** All machines that may be used and are not kept for anybody, also full ones, those that run empty soonest first. */
  unreserved: ScheduledMachine[];
  /** Machines that may be used and have had room that nobody has taken for long, also those that are kept for somebody. */
  agedCapacity: ScheduledMachine[];
  /** Machines kept for a job that waits. */
  reservedMachines: Map<string, ScheduledMachine[]>;
  /** Types of the machines that may be used. */
  machineTypes: Set<MachineType>;
  /** Machines that gangs of this round wait for, with the gangs' urgency. */
  minUrgencyByHost: Map<string, number>;
  /** What of their teams' limits is kept for them, by team. */
  quotaReservations: Map<string, QuotaReservation>;
  /** Room being made that a job of this round is counting on, by host. */
  earmarked: Map<string, Resources>;
}

export function beginShardCycle(context: CycleContext, shard: number): ShardCycle {
  const { shardState, minRequest } = context;
  const unreserved: ScheduledMachine[] = [];
  const reservedMachines = new Map<string, ScheduledMachine[]>();
  const machineTypes = new Set<MachineType>();
  const agedCapacity: ScheduledMachine[] = [];
  const { now } = shardState.clock;
  for (const machine of shardState.machines.values()) {
    if (machine.record.shard !== shard) continue;
    if (!acceptsTasks(shardState, machine)) {
      machine.freeCapacitySince = 0;
      continue;
    }
    if (!fits(minRequest, freeCapacity(shardState, machine))) machine.freeCapacitySince = 0;
    else if (machine.freeCapacitySince === 0) machine.freeCapacitySince = now;
    else if (now - machine.freeCapacitySince > maxReservationAgeMs(shardState.settings))
      agedCapacity.push(machine);
    machineTypes.add(machine.type);
    const reservation = shardState.reservations.byHost.get(machine.host);
    if (!reservation) unreserved.push(machine);
    else {
      const mine = reservedMachines.get(reservation.job);
      if (mine) mine.push(machine);
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
    minUrgencyByHost: new Map(),
    quotaReservations: new Map(),
    earmarked: new Map(),
  };
}

/** In how long a machine will have run empty, by its tasks' estimates, s. */
function drainTimeS(shardState: ShardState, machine: ScheduledMachine): number {
  let longestS = 0;
  for (const placement of machine.placements.values()) {
    const ranS = placement.runningSince > 0 ? (shardState.clock.now - placement.runningSince) / 1000 : 0;
    const remainingS =
      placement.job.spec.shape === 'service' ? Infinity : placement.job.spec.estimateS - ranS;
    longestS = Math.max(longestS, remainingS, 1);
  }
  return longestS;
}

export function reserveMachines(job: ScheduledJob, cycle: ShardCycle, machines: ScheduledMachine[]): void {
  const hosts = new Set<string>();
  for (const machine of machines) {
    hosts.add(machine.host);
    cycle.shardState.reservations.reserve(machine.host, job.id);
  }
  cycle.capacityIndex.remove(hosts);
  cycle.unreserved = cycle.unreserved.filter((machine) => !hosts.has(machine.host));
  cycle.reservedMachines.set(job.id, [...(cycle.reservedMachines.get(job.id) ?? []), ...machines]);
}

export function addResources(target: Resources, amount: Resources, times: number): void {
  target.cpus += times * amount.cpus;
  target.gpus += times * amount.gpus;
  target.memGb += times * amount.memGb;
}

export function earmark(cycle: ShardCycle, machine: ScheduledMachine, spec: JobSpec, tasks: number): void {
  const room = cycle.earmarked.get(machine.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  addResources(room, spec, tasks);
  cycle.earmarked.set(machine.host, room);
}
