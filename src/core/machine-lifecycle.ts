/** Machines that are given up or back. */
import type { MachineType } from '../model/machine.js';
import { type Committer, machineData, machineKey, Rank, shardKey } from './storage/index.js';
import type { Books } from './shard-state/shard-state.js';
import type { MachineRun } from './shard-state/types.js';

/** The care for the machines of the shards of this process. */
export class Upkeep {
  constructor(
    private readonly books: Books,
    private readonly committer: Committer,
  ) {}

  /** Machines that fell silent, never came up, stand idle or are given up. */
  sweep(elapsedS: number): void {
    const now = this.books.clock.now;
    const w = this.books.settings.workers;
    let spot = 0;
    this.books.settleUnaccounted();
    for (const m of this.books.machines.values()) {
      if (m.record.spot && m.heardAt > 0) spot++;
      const silentS = (now - m.heardAt) / 1000;
      // Steady clocks differ by up to 0.05%; the margin also covers a lease check that comes late.
      if (m.placements.size > 0 && now > m.leaseUntil + w.lease_s * 1.5 + 1000) {
        this.books.log('info', 'lease of a silent machine ended', { host: m.host, silentS });
        for (const p of [...m.placements.values()]) this.books.gone(p, 'lease ended', 'lost');
      }
      // Guards against giving the fleet back for having stood idle through an outage: work waits for it.
      // And against giving back, and being given again at once, what is kept for a gang that waits.
      if (m.placements.size === 0 && (!this.books.canPlace() || this.books.claims.held.has(m.host)))
        m.idleSince = now;
      if (m.record.state !== 'use' || m.releasing) continue;
      const { pool } = this.books.settings;
      // Guards against a hasty new owner: before it was heard, a machine may be up under the earlier one.
      const quietS = (now - m.takenAt) / 1000;
      if (
        !pool &&
        (m.heardAt > 0 ? silentS > w.lease_s + 2 * w.report_s : quietS > m.type.bootS * 4 + w.lease_s)
      ) {
        if (m.record.spot && m.heardAt > 0 && m.noticeAt === 0) this.books.hazard.recordInterruption();
        this.release(m, 'dead', m.heardAt > 0 ? 'silent' : 'never came up');
      } else if (m.condemned && m.placements.size === 0) this.release(m, 'dead', 'failing');
      else if (m.noticeAt > 0 && m.placements.size === 0) this.release(m, 'dead', 'notice');
      else if (!pool && m.placements.size === 0 && m.provenAt > 0 && now - m.idleSince > this.idleMs(m))
        this.release(m, 'free', 'idle');
    }
    this.books.hazard.observe(spot, elapsedS);
  }

  /**
   * How long an idle machine is worth keeping: in proportion to what its replacement would take to be of use,
   * boot and largest image, and down to half of that for the dearest.
   */
  private idleMs(m: MachineRun): number {
    const perCpu = (t: MachineType): number => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.books.replica.machineTypes.map(perCpu));
    const replaceS = m.type.bootS + Math.max(0, ...m.images.values());
    return this.books.operators['idle-boots'] * Math.max(0.5, cheapest / perCpu(m.type)) * replaceS * 1000;
  }

  /** Gives a machine back to the leader: idle ones to be used elsewhere, dead ones to be returned. */
  private release(m: MachineRun, standing: 'free' | 'dead', why: string): void {
    m.releasing = true;
    this.books.log('info', 'releasing machine', { host: m.host, standing, why });
    const key = machineKey(m.host);
    this.committer.add({
      rank: Rank.fleet,
      build: () => {
        const grant = this.books.replica.shards.get(m.record.shard);
        const usable = this.books.machines.get(m.host) === m && grant && this.books.owned.has(m.record.shard);
        if (!usable || (standing === 'free' && m.placements.size > 0)) {
          m.releasing = false;
          return null;
        }
        const shard = standing === 'free' ? -1 : m.record.shard;
        return {
          when: [
            { key, stamp: this.books.replica.stampOf(key) },
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
