/** Reconciliation of the recorded machines with those that the cloud lists, and with workers' heartbeats. */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { ListedMachine } from '../../wire/cloud.js';
import type { VersionedMachine } from '../replica.js';
import { machineKey } from '../storage/index.js';
import type { AutoscalerContext } from './context.js';
import type { FleetRecords } from './fleet-records.js';
import { offerKey } from './offers.js';
import type { Provisioner } from './provisioning.js';
import type { ScaleIn } from './scale-in.js';

/** A machine that neither is listed nor reports for so many listing lags is condemned. */
const maxAbsenceListLags = 4;
/** Not before its record is so many absence times old: a new machine may not be listed yet. */
const minRecordAgeAbsenceLimits = 2;

/** Finds machines that are recorded and gone, or there and not recorded. */
export class MachineInventory {
  /** Since when machines are missing in the listings, ms. */
  private readonly absentSince = new Map<string, number>();
  private readonly lastHeartbeatAt = new Map<string, number>();

  constructor(
    private readonly context: AutoscalerContext,
    private readonly records: FleetRecords,
    private readonly provisioner: Provisioner,
    private readonly scaleIn: ScaleIn,
  ) {}

  /** Forgets the listings of an earlier leadership. */
  reset(): void {
    this.absentSince.clear();
  }

  /** A worker's heartbeat has reached this controller: its machine exists, listed or not. */
  recordHeartbeat(host: string): void {
    this.lastHeartbeatAt.set(host, this.context.clock.now);
  }

  /** Compares a complete listing, requested at `requestedAt`, with the records. */
  reconcile(listed: readonly ListedMachine[], requestedAt: number): void {
    const { machines } = this.context.replica;
    const listedHosts = new Set<string>();
    for (const entry of listed) {
      listedHosts.add(entry.host);
      this.absentSince.delete(entry.host);
      const known = machines.get(entry.host);
      if (known && entry.status === 'failed') this.markDead(known, 'failed');
      else if (!known) this.adoptIfUnknown(entry);
    }
    for (const machine of machines.values())
      if (!listedHosts.has(machine.host)) this.checkAbsence(machine, requestedAt);
  }

  /** Adopts a listed machine that has no record, once it cannot belong to a request whose record is being written. */
  private adoptIfUnknown(entry: ListedMachine): void {
    const { replica, settings } = this.context;
    if (replica.unreadableRecords.has(machineKey(entry.host))) return;
    if (entry.ageS <= settings.cloud.list_lag_s || this.scaleIn.wasRecentlyDeleted(entry.host)) return;
    if (!this.provisioner.isUnrecorded(entry.host)) this.adopt(entry);
  }

  private checkAbsence(machine: VersionedMachine, requestedAt: number): void {
    const { clock, settings } = this.context;
    const { host } = machine;
    const limitMs = settings.cloud.list_lag_s * 1000 * maxAbsenceListLags;
    const absentSince = this.absentSince.get(host) ?? requestedAt;
    this.absentSince.set(host, absentSince);
    const lastHeartbeatAt = this.lastHeartbeatAt.get(host) ?? -Infinity;
    // Absence is no proof: it only makes us request the deletion, and its answer is one.
    if (
      clock.now - absentSince > limitMs &&
      clock.now - lastHeartbeatAt > limitMs &&
      clock.wall - machine.since > limitMs * minRecordAgeAbsenceLimits
    )
      this.markDead(machine, 'absent');
  }

  /** Adopts the machine of a worker that reports to the leader and has no record. */
  adoptReportingMachine({ host, type, zone, spot }: Heartbeat): void {
    const { replica } = this.context;
    // Guards against adopting a machine whose record exists and cannot be read.
    if (replica.unreadableRecords.has(machineKey(host))) return;
    if (this.scaleIn.wasRecentlyDeleted(host)) return;
    if (!replica.machineTypes.some((t) => t.name === type)) return;
    // Guards against a machine that boots before the answer to its request is here or recorded.
    if (this.provisioner.isUnrecorded(host)) return;
    if (this.provisioner.mayBePending(offerKey(type, zone, spot))) return;
    this.adopt({ host, type, zone, spot });
  }

  private adopt({ host, type, zone, spot }: Pick<ListedMachine, 'host' | 'type' | 'zone' | 'spot'>): void {
    this.context.log('info', 'unexpected machine', { host });
    const since = this.context.clock.wall;
    this.records.addMachine({ host, type, zone, spot, shard: -1, state: 'free', since });
  }

  /** An operator states that a machine is gone, with all tasks on it. */
  forgetMachine(host: string): void {
    const machine = this.context.replica.machines.get(host);
    if (machine) this.markDead(machine, 'forgotten');
  }

  private markDead(machine: VersionedMachine, why: string): void {
    if (machine.state === 'dead') return;
    this.context.log('info', 'machine abandoned', { host: machine.host, why });
    this.records.updateMachine(machine.host, (current) => ({ ...current, state: 'dead' }));
  }
}
