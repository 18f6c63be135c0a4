/** Machines that are given up or back. */
import type { MachineType } from '../model/machine.js';
import { type Committer, machineData, machineKey, Rank, shardKey } from './storage/index.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { ScheduledMachine } from './shard-state/types.js';

/** The care for the machines of the shards of this process. */
export class MachineLifecycle {
  constructor(
    private readonly shardState: ShardState,
    private readonly committer: Committer,
  ) {}

  /** Machines that fell silent, never came up, stand idle or are given up. */
  sweep(elapsedS: number): void {
    const now = this.shardState.clock.now;
    const w = this.shardState.settings.workers;
    let spot = 0;
    this.shardState.dropExpiredPlacements();
    for (const m of this.shardState.machines.values()) {
      if (m.record.spot && m.lastHeartbeatAt > 0) spot++;
      const silentS = (now - m.lastHeartbeatAt) / 1000;
      // Steady clocks differ by up to 0.05%; the margin also covers a lease check that comes late.
      if (m.placements.size > 0 && now > m.earliestLeaseExpiry + w.lease_s * 1.5 + 1000) {
        this.shardState.log('info', 'lease of a silent machine ended', { host: m.host, silentS });
        for (const p of [...m.placements.values()]) this.shardState.removePlacement(p, 'lease ended', 'lost');
      }
      // Guards against giving the fleet back for having stood idle through an outage: work waits for it.
      // And against giving back, and being given again at once, what is kept for a gang that waits.
      if (
        m.placements.size === 0 &&
        (!this.shardState.canPlaceTasks() || this.shardState.reservations.byHost.has(m.host))
      )
        m.idleSince = now;
      if (m.record.state !== 'use' || m.releasing) continue;
      const { pool } = this.shardState.settings;
      // Guards against a hasty new owner: before it was heard, a machine may be up under the earlier one.
      const quietS = (now - m.acquiredAt) / 1000;
      if (
        !pool &&
        (m.lastHeartbeatAt > 0 ? silentS > w.lease_s + 2 * w.report_s : quietS > m.type.bootS * 4 + w.lease_s)
      ) {
        if (m.record.spot && m.lastHeartbeatAt > 0 && m.reclaimAt === 0)
          this.shardState.hazard.recordInterruption();
        this.release(m, 'dead', m.lastHeartbeatAt > 0 ? 'silent' : 'never came up');
      } else if (m.quarantined && m.placements.size === 0) this.release(m, 'dead', 'failing');
      else if (m.reclaimAt > 0 && m.placements.size === 0) this.release(m, 'dead', 'notice');
      else if (!pool && m.placements.size === 0 && m.confirmedAt > 0 && now - m.idleSince > this.maxIdleMs(m))
        this.release(m, 'free', 'idle');
    }
    this.shardState.hazard.observe(spot, elapsedS);
  }

  /**
   * How long an idle machine is worth keeping: in proportion to what its replacement would take to be of use,
   * boot and largest image, and down to half of that for the dearest.
   */
  private maxIdleMs(m: ScheduledMachine): number {
    const perCpu = (t: MachineType): number => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.shardState.replica.machineTypes.map(perCpu));
    const replacementS = m.type.bootS + Math.max(0, ...m.images.values());
    return (
      this.shardState.operators['idle-boots'] * Math.max(0.5, cheapest / perCpu(m.type)) * replacementS * 1000
    );
  }

  /** Gives a machine back to the leader: idle ones to be used elsewhere, dead ones to be returned. */
  private release(m: ScheduledMachine, standing: 'free' | 'dead', why: string): void {
    m.releasing = true;
    this.shardState.log('info', 'releasing machine', { host: m.host, standing, why });
    const key = machineKey(m.host);
    this.committer.add({
      rank: Rank.fleet,
      build: () => {
        const grant = this.shardState.replica.shards.get(m.record.shard);
        const usable =
          this.shardState.machines.get(m.host) === m &&
          grant &&
          this.shardState.ownedShards.has(m.record.shard);
        if (!usable || (standing === 'free' && m.placements.size > 0)) {
          m.releasing = false;
          return null;
        }
        const shard = standing === 'free' ? -1 : m.record.shard;
        return {
          when: [
            { key, stamp: this.shardState.replica.stampOf(key) },
            { key: shardKey(m.record.shard), stamp: grant.stamp },
          ],
          apply: [{ key, data: machineData({ ...m.record, shard, state: standing }) }],
        };
      },
      ok: () => undefined,
      conflict: () => {
        m.releasing = false;
      },
    });
  }
}
