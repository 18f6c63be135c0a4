/** Reconciliation of the recorded machines with the cloud's listings and with workers' heartbeats. */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { ListedMachine } from '../../wire/cloud.js';
import type { VersionedMachine } from '../replica.js';
import { machineKey } from '../storage/index.js';
import type { AutoscalerContext } from './context.js';
import type { FleetRecords } from './fleet-records.js';
import { offerKey } from './offers.js';
import type { Provisioner } from './provisioning.js';
import type { ScaleIn } from './scale-in.js';

/** A machine that is neither listed nor sends heartbeats for this many listing lags is marked dead. */
const maxAbsenceListLags = 4;
/** The record of such a machine must be older than this many times that limit, since a new machine may not be listed yet. */
const minRecordAgeAbsenceLimits = 2;

/** Finds recorded machines that no longer exist, and existing machines that have no record. */
export class MachineInventory {
  /** When a machine was first missing from the listings, by host, ms. */
  private readonly absentSince = new Map<string, number>();
  private readonly lastHeartbeatAt = new Map<string, number>();

  constructor(
    private readonly context: AutoscalerContext,
    private readonly records: FleetRecords,
    private readonly provisioner: Provisioner,
    private readonly scaleIn: ScaleIn,
  ) {}

  /** Drops what was learned from listings during an earlier leadership. */
  reset(): void {
    this.absentSince.clear();
  }

  /** Records a worker's heartbeat, which proves that its machine exists even if it is not listed. */
  recordHeartbeat(host: string): void {
    this.lastHeartbeatAt.set(host, this.context.clock.now);
  }

  /** Reconciles the records with a complete listing that was requested at `requestedAt`, ms. */
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

  /** Adopts a listed machine without a record, unless the record may be in progress or the machine was deleted recently. */
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
    // Absence does not prove that the machine is gone. It only triggers a deletion request, whose answer proves it.
    if (
      clock.now - absentSince > limitMs &&
      clock.now - lastHeartbeatAt > limitMs &&
      clock.wall - machine.since > limitMs * minRecordAgeAbsenceLimits
    )
      this.markDead(machine, 'absent');
  }

  /** Adopts a machine without a record whose worker sends heartbeats to the leader. */
  adoptReportingMachine({ host, type, zone, spot }: Heartbeat): void {
    const { replica } = this.context;
    // The machine has a record, which this program cannot read.
    if (replica.unreadableRecords.has(machineKey(host))) return;
    if (this.scaleIn.wasRecentlyDeleted(host)) return;
    if (!replica.machineTypes.some((t) => t.name === type)) return;
    // A machine may boot before the answer to its request has arrived or has been recorded.
    if (this.provisioner.isUnrecorded(host)) return;
    if (this.provisioner.mayBePending(offerKey(type, zone, spot))) return;
    this.adopt({ host, type, zone, spot });
  }

  private adopt({ host, type, zone, spot }: Pick<ListedMachine, 'host' | 'type' | 'zone' | 'spot'>): void {
    this.context.log('info', 'unexpected machine', { host });
    const since = this.context.clock.wall;
    this.records.addMachine({ host, type, zone, spot, shard: -1, state: 'free', since });
  }

  /** Marks a machine dead because an operator has declared it and all tasks on it gone. */
  forgetMachine(host: string): void {
    const machine = this.context.replica.machines.get(host);
    if (machine) this.markDead(machine, 'forgotten');
  }

  private markDead(machine: VersionedMachine, why: string): void {
    if (machine.state === 'dead') return;
    this.context.log('info', 'machine marked dead', { host: machine.host, why });
    this.records.updateMachine(machine.host, (current) => ({ ...current, state: 'dead' }));
  }
}
