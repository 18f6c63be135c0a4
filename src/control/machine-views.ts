/** Builds the API's view of machines, which the command line displays. */
import type { Service } from '../service.js';
import type { AgentPool, PoolMember } from './agent-pool.js';
import type { ControlSettings } from './settings.js';

/** The sources from which the list of machines is built. */
export interface MachineViewSources {
  readonly settings: ControlSettings;
  readonly service: Service;
  readonly pool: AgentPool;
  /** Whether this process owns the shard, so that agents send their heartbeats to it. */
  readonly ownsShard: boolean;
}

/** Time after a lease's expiry by which the worker has certainly noticed it: a multiple of the lease plus a constant. */
const leaseExpiryMarginRatio = 1.5;
const leaseExpiryMarginMs = 1000;

/** Lists all machines of the pool. Field names are part of the API. */
export function listMachines({ settings, service, pool, ownsShard }: MachineViewSources): object[] {
  const now = performance.now();
  const scheduledMachines = service.controller.shardManager.machines;
  return [...pool.all()].map((member) => {
    const scheduled = scheduledMachines.get(member.host);
    const silentS = member.lastHeartbeatAt === null ? null : (now - member.lastHeartbeatAt) / 1000;
    const missing = silentS === null || silentS > settings.missingS;
    const tasks = scheduled?.placements.size ?? 0;
    return {
      host: member.host,
      name: member.name,
      state: machineState(member, ownsShard, missing),
      type: member.type,
      zone: member.zone,
      cpus: member.cpus,
      gpus: member.gpus,
      memGb: member.memGb,
      attrs: member.attrs,
      tasks,
      usedCpus: scheduled?.used.cpus ?? 0,
      silentS: silentS === null ? null : Math.round(silentS * 10) / 10,
      ...(missing && tasks > 0 && scheduled
        ? { held: heldReason(scheduled.earliestLeaseExpiry, now, settings.leaseS) }
        : {}),
    };
  });
}

function machineState(member: PoolMember, ownsShard: boolean, missing: boolean): string {
  if (member.forgotten) return 'forgotten';
  if (member.drainedAt !== null) return 'draining';
  if (!ownsShard) return 'reports elsewhere';
  return missing ? 'missing' : 'up';
}

/** Explains why the tasks of a missing machine are not placed elsewhere yet. */
function heldReason(leaseExpiry: number, now: number, leaseS: number): string {
  const remainingS =
    (leaseExpiry + leaseS * 1000 * leaseExpiryMarginRatio + leaseExpiryMarginMs - now) / 1000;
  return remainingS > 0
    ? `its tasks may be running: its lease has surely ended in ${Math.ceil(remainingS)} s; if you know that it is gone: machine forget`
    : 'its lease has ended';
}
