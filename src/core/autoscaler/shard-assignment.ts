/** Assignment of the leader's free machines to the shards whose demand they meet. */
import { fitCount, type MachineType } from '../../model/machine.js';
import { mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import type { VersionedMachine } from '../replica.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';
import type { FleetRecords } from './fleet-records.js';
import { isEligible } from './offers.js';

/** A machine without a shard. */
export interface FreeMachine {
  readonly machine: VersionedMachine;
  readonly type: MachineType;
}

/**
 * Assigns free machines to unmet demand, which is reduced by what they meet. Returns the hosts that nothing has a use for.
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
        // Otherwise the scheduling cycle would leave it idle.
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

/** Assigns every free machine of a pool to the only shard: machines that join by themselves cost nothing. */
export function assignPoolMachines({ replica }: AutoscalerContext, records: FleetRecords): void {
  for (const { host, state } of replica.machines.values())
    if (state === 'free' && !records.isMachinePending(host)) records.assignToShard(host, 0);
}
