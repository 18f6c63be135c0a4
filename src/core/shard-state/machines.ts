/** A machine as it is scheduled, and what is free on it. */
import type { Operators } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { Clock } from '../effects.js';
import type { VersionedMachine } from '../replica.js';
import type { MachineRun } from './types.js';

/** A machine that this process has just taken up. `leaseUntil`: not before can its worker's lease have ended. */
export const newMachine = (
  record: VersionedMachine,
  type: MachineType,
  now: number,
  leaseUntil: number,
): MachineRun => ({
  host: record.host,
  record,
  type,
  zone: record.zone,
  spot: record.spot,
  used: { cpus: 0, gpus: 0, memGb: 0 },
  placements: new Map(),
  endpoint: '',
  session: 0,
  seq: 0,
  provenAt: 0,
  heardAt: 0,
  leaseUntil,
  token: 0,
  noticeAt: 0,
  avoidUntil: 0,
  idleSince: now,
  roomSince: 0,
  failures: new Map(),
  images: new Map(),
  takenAt: now,
  condemned: record.state === 'dead',
  releasing: false,
});

interface Setting {
  settings: Settings;
  operators: Operators;
  clock: Clock;
}

/** Whether a machine may take tasks at all now. */
export function usable({ settings, clock: { now } }: Setting, m: MachineRun): boolean {
  return (
    m.record.state === 'use' &&
    !m.condemned &&
    !m.releasing &&
    m.provenAt !== 0 &&
    now - m.heardAt <= settings.workers.report_s * 2500 &&
    m.noticeAt === 0 &&
    m.avoidUntil <= now
  );
}

export const roomOf = ({ operators }: Setting, m: MachineRun): Resources => ({
  cpus: m.type.cpus * (1 - operators.headroom) - m.used.cpus,
  gpus: m.type.gpus - m.used.gpus,
  memGb: m.type.memGb - m.used.memGb,
});
