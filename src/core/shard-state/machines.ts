/** Scheduled machines: built from their stored records, whether they accept tasks, and their free capacity. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { Clock } from '../effects.js';
import type { VersionedMachine } from '../replica.js';
import type { ScheduledMachine } from './types.js';

/**
 * Builds the state of a machine that this process has just acquired. Its worker's lease cannot have expired before
 * `earliestLeaseExpiry` (on the monotonic clock, ms).
 */
export const createScheduledMachine = (
  record: VersionedMachine,
  type: MachineType,
  now: number,
  earliestLeaseExpiry: number,
): ScheduledMachine => ({
  host: record.host,
  record,
  type,
  zone: record.zone,
  spot: record.spot,
  used: { cpus: 0, gpus: 0, memGb: 0 },
  placements: new Map(),
  endpoint: '',
  agentEpoch: 0,
  heartbeatSeq: 0,
  confirmedAt: 0,
  lastHeartbeatAt: 0,
  earliestLeaseExpiry,
  fencingToken: 0,
  reclaimAt: 0,
  cooldownUntil: 0,
  idleSince: now,
  freeCapacitySince: 0,
  failuresByJob: new Map(),
  images: new Map(),
  acquiredAt: now,
  quarantined: record.state === 'dead',
  releasing: false,
});

/** What scheduling decisions about a machine depend on, in addition to the machine's own state. */
interface SchedulingContext {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly clock: Clock;
}

/** A machine gets no more tasks if its last heartbeat is older than this many report intervals. */
const maxSilentReportIntervals = 2.5;

/** Whether tasks may currently be placed on a machine, whatever its free capacity. */
export function acceptsTasks(
  { settings, clock: { now } }: SchedulingContext,
  machine: ScheduledMachine,
): boolean {
  return (
    machine.record.state === 'use' &&
    !machine.quarantined &&
    !machine.releasing &&
    machine.confirmedAt !== 0 &&
    now - machine.lastHeartbeatAt <= settings.workers.report_s * (1000 * maxSilentReportIntervals) &&
    machine.reclaimAt === 0 &&
    machine.cooldownUntil <= now
  );
}

/** The free resources of a machine, less the share of its CPUs that the `headroom` setting keeps unused. */
export const freeCapacity = ({ operators }: SchedulingContext, machine: ScheduledMachine): Resources => ({
  cpus: machine.type.cpus * (1 - operators.headroom) - machine.used.cpus,
  gpus: machine.type.gpus - machine.used.gpus,
  memGb: machine.type.memGb - machine.used.memGb,
});
