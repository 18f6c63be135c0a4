/** Machines that are given up or back. */
import type { MachineType } from '../model/machine.js';
import {
  type TransactionBatcher,
  machineData,
  machineKey,
  WritePriority,
  shardKey,
} from './storage/index.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { ScheduledMachine } from './shard-state/types.js';

/** The care for the machines of the shards of this process. */
export class MachineLifecycle {
  constructor(
    private readonly shardState: ShardState,
    private readonly batcher: TransactionBatcher,
  ) {}

  /** Machines that fell silent, never came up, stand idle or are given up. */
  sweep(elapsedS: number): void {
    const now = this.shardState.clock.now;
    const w = this.shardState.settings.workers;
    let spot = 0;
    this.shardState.dropExpiredPlacements();
    for (const machine of this.shardState.machines.values()) {
      if (machine.record.spot && machine.lastHeartbeatAt > 0) spot++;
      const silentS = (now - machine.lastHeartbeatAt) / 1000;
      // Steady clocks differ by up to 0.05%; the margin also covers a lease check that comes late.
      if (machine.placements.size > 0 && now > machine.earliestLeaseExpiry + w.lease_s * 1.5 + 1000) {
        this.shardState.log('info', 'lease of a silent machine ended', { host: machine.host, silentS });
        for (const placement of [...machine.placements.values()])
          this.shardState.removePlacement(placement, 'lease ended', 'lost');
      }
      // Guards against giving the fleet back for having stood idle through an outage: work waits for it.
      // And against giving back, and being given again at once, what is kept for a gang that waits.
      if (
        machine.placements.size === 0 &&
        (!this.shardState.canPlaceTasks() || this.shardState.reservations.byHost.has(machine.host))
      )
        machine.idleSince = now;
      if (machine.record.state !== 'use' || machine.releasing) continue;
      const { pool } = this.shardState.settings;
      // Guards against a hasty new owner: before it was heard, a machine may be up under the earlier one.
      const quietS = (now - machine.acquiredAt) / 1000;
      if (
        !pool &&
        (machine.lastHeartbeatAt > 0
          ? silentS > w.lease_s + 2 * w.report_s
          : quietS > machine.type.bootS * 4 + w.lease_s)
      ) {
        if (machine.record.spot && machine.lastHeartbeatAt > 0 && machine.reclaimAt === 0)
          this.shardState.hazard.recordInterruption();
        this.release(machine, 'dead', machine.lastHeartbeatAt > 0 ? 'silent' : 'never came up');
      } else if (machine.quarantined && machine.placements.size === 0)
        this.release(machine, 'dead', 'failing');
      else if (machine.reclaimAt > 0 && machine.placements.size === 0)
        this.release(machine, 'dead', 'notice');
      else if (
        !pool &&
        machine.placements.size === 0 &&
        machine.confirmedAt > 0 &&
        now - machine.idleSince > this.maxIdleMs(machine)
      )
        this.release(machine, 'free', 'idle');
    }
    this.shardState.hazard.observe(spot, elapsedS);
  }

  /**
   * How long an idle machine is worth keeping: in proportion to what its replacement would take to be of use,
   * boot and largest image, and down to half of that for the dearest.
   */
  private maxIdleMs(machine: ScheduledMachine): number {
    const perCpu = (t: MachineType): number => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.shardState.replica.machineTypes.map(perCpu));
    const replacementS = machine.type.bootS + Math.max(0, ...machine.images.values());
    return (
      this.shardState.operators['idle-boots'] *
      Math.max(0.5, cheapest / perCpu(machine.type)) *
      replacementS *
      1000
    );
  }

  /** Gives a machine back to the leader: idle ones to be used elsewhere, dead ones to be returned. */
  private release(machine: ScheduledMachine, standing: 'free' | 'dead', why: string): void {
    machine.releasing = true;
    this.shardState.log('info', 'releasing machine', { host: machine.host, standing, why });
    const key = machineKey(machine.host);
    this.batcher.enqueue({
      priority: WritePriority.provisioning,
      build: () => {
        const grant = this.shardState.replica.shards.get(machine.record.shard);
        const usable =
          this.shardState.machines.get(machine.host) === machine &&
          grant &&
          this.shardState.ownedShards.has(machine.record.shard);
        if (!usable || (standing === 'free' && machine.placements.size > 0)) {
          machine.releasing = false;
          return null;
        }
        const shard = standing === 'free' ? -1 : machine.record.shard;
        return {
          conditions: [
            { key, stamp: this.shardState.replica.modRevisionOf(key) },
            { key: shardKey(machine.record.shard), stamp: grant.modRevision },
          ],
          writes: [{ key, data: machineData({ ...machine.record, shard, state: standing }) }],
        };
      },
      onCommitted: () => undefined,
      onConflict: () => {
        machine.releasing = false;
      },
    });
  }
}
