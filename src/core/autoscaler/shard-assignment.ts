/** Assignment of free machines, which belong to no shard yet, to shards with unmet demand. */
import { fitCount, type MachineType } from '../../model/machine.js';
import { mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import type { VersionedMachine } from '../replica.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';
import type { FleetRecords } from './fleet-records.js';
import { isEligible } from './offers.js';

/** A machine that is not assigned to a shard, and its type. */
export interface FreeMachine {
  readonly machine: VersionedMachine;
  readonly type: MachineType;
}

/**
 * Assigns each free machine to the shard of the first unmet demand that it can serve, and subtracts the tasks that fit on it
 * from that demand. Returns the hosts that no demand can use.
 */
export function assignFreeMachines(
  { replica, log }: AutoscalerContext,
  records: FleetRecords,
  free: readonly FreeMachine[],
  unmet: readonly UnmetDemand[],
): Set<string> {
  const surplus = new Set<string>();
  for (const { machine, type } of free) {
    const { host, zone, spot } = machine;
    const demand = unmet.find(
      ({ spec, count, zones }) =>
        count > 0 &&
        (zones === null || zones.includes(zone)) &&
        isEligible(spec, { type, zone, spot }) &&
        // The scheduling cycle applies the same rule: without this check the machine would stay idle in the shard.
        mayShareGpuMachine(spec, type, 0, replica.machineTypes),
    );
    if (!demand) {
      surplus.add(host);
      continue;
    }
    demand.count -= fitCount(demand.spec, type);
    log('info', 'assigning machine', { host, shard: demand.shard });
    records.assignToShard(host, demand.shard);
  }
  return surplus;
}

/**
 * Assigns every free machine to the only shard of a pool. The machines of a pool join by themselves and cost nothing, so none
 * is surplus.
 */
export function assignPoolMachines({ replica }: AutoscalerContext, records: FleetRecords): void {
  for (const { host, state } of replica.machines.values())
    if (state === 'free' && !records.isMachinePending(host)) records.assignToShard(host, 0);
}
