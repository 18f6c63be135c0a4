import type { MachineType } from '../model/machine.js';
import { timesFits } from '../model/machine.js';
import { suspect } from './blame.js';
import { Rank, type Committer } from './committer.js';
import type { Dispatcher } from './dispatcher.js';
import { machineKey, shardKey } from './keys.js';
import { machineData } from './records.js';
import type { JobRun, MachineRun } from './runs.js';

/** Of a class, in the log: its tasks by state, and what the waiting ones wait for. */
interface ClassSummary {
  jobs: number;
  waiting: number;
  placed: number;
  fetching: number;
  running: number;
  because: Record<string, number>;
}

/** The care for the machines of the shards of this process, and what operators are told of them. */
export class Upkeep {
  constructor(
    private readonly d: Dispatcher,
    private readonly committer: Committer,
  ) {}

  /** Machines that fell silent, never came up, stand idle or are given up. */
  sweep(elapsedS: number): void {
    const now = this.d.clock.now;
    const w = this.d.settings.workers;
    let spot = 0;
    for (const m of this.d.machines.values()) {
      if (m.record.spot && m.heardAt > 0) spot++;
      const silentS = (now - m.heardAt) / 1000;
      // Steady clocks differ by up to 0.05%; the margin also covers a lease check that comes late.
      if (m.placements.size > 0 && now > m.leaseUntil + w.lease_s * 1.5 + 1000) {
        this.d.log('info', 'lease of a silent machine ended', { host: m.host, silentS });
        for (const p of [...m.placements.values()]) this.d.gone(p, 'lease ended');
      }
      if (m.record.standing !== 'use' || m.releasing) continue;
      // Guards against a hasty new owner: before it was heard, a machine may be up under the earlier one.
      const quietS = (now - m.takenAt) / 1000;
      if (m.heardAt > 0 ? silentS > w.lease_s + 2 * w.report_s : quietS > m.type.bootS * 4 + w.lease_s) {
        if (m.record.spot && m.heardAt > 0 && m.noticeAt === 0) this.d.hazard.taken();
        this.release(m, 'dead', m.heardAt > 0 ? 'silent' : 'never came up');
      } else if (m.condemned && m.placements.size === 0) this.release(m, 'dead', 'failing');
      else if (m.noticeAt > 0 && m.placements.size === 0) this.release(m, 'dead', 'notice');
      else if (m.placements.size === 0 && m.provenAt > 0 && now - m.idleSince > this.idleMs(m))
        this.release(m, 'free', 'idle');
    }
    this.d.hazard.observe(spot, elapsedS);
    if (now - this.summedAt >= w.lease_s * 500) {
      this.summedAt = now;
      this.summarize();
    }
  }

  private summedAt = 0;

  /** For operators: how the fleet is used and what waits. */
  private summarize(): void {
    const fleet: Record<string, { up: number; coming: number; idle: number; cpus: number; gpus: number }> =
      {};
    for (const m of this.d.machines.values()) {
      const f = (fleet[`${m.type.name}${m.spot ? ' spot' : ''}`] ??= {
        up: 0,
        coming: 0,
        idle: 0,
        cpus: 0,
        gpus: 0,
      });
      if (m.provenAt === 0) f.coming++;
      else f.up++;
      if (m.provenAt > 0 && m.placements.size === 0) f.idle++;
      f.cpus += m.used.cpus / m.type.cpus;
      if (m.type.gpus > 0) f.gpus += m.used.gpus / m.type.gpus;
    }
    for (const f of Object.values(fleet)) {
      f.cpus = Math.round((100 * f.cpus) / (f.up + f.coming)) / 100;
      f.gpus = Math.round((100 * f.gpus) / (f.up + f.coming)) / 100;
    }
    const jobs: Record<string, ClassSummary> = {};
    for (const j of this.d.jobs.values()) {
      const c = (jobs[j.spec.class] ??= {
        jobs: 0,
        waiting: 0,
        placed: 0,
        fetching: 0,
        running: 0,
        because: {},
      });
      c.jobs++;
      const waiting = this.d.waitingCount(j);
      c.waiting += waiting;
      if (waiting > 0) {
        const why = this.waitsFor(j);
        c.because[why] = (c.because[why] ?? 0) + waiting;
      }
      for (const p of j.active.values()) {
        if (p.phase === 'running') c.running++;
        else if (p.phase === 'placed') c.placed++;
        else c.fetching++;
      }
    }
    this.d.log('info', 'summary', { fleet, jobs, looked: this.d.looked });
  }

  /** What a job's waiting tasks wait for, in an operator's words. */
  private waitsFor(job: JobRun): string {
    if (job.cancelled) return 'cancelled';
    if (job.finishing) return 'its end being recorded';
    if (job.breaking) return 'its attempt being taken down';
    if (job.notBefore > this.d.clock.now) return suspect(job) ? 'fails everywhere' : 'pause';
    const all = job.spec.shape === 'gang' ? this.d.waitingCount(job) : 1;
    if (timesFits(job.spec, this.d.teamRoom(job.spec.team)) < all) return 'team limit';
    return 'machine';
  }

  /**
   * How long an idle machine is worth keeping: in proportion to what its replacement would take to be of use,
   * boot and largest image, and down to half of that for the dearest.
   */
  private idleMs(m: MachineRun): number {
    const perCpu = (t: MachineType): number => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.d.replica.types.map(perCpu));
    const replaceS = m.type.bootS + Math.max(0, ...m.images.values());
    return this.d.operators['idle-boots'] * Math.max(0.5, cheapest / perCpu(m.type)) * replaceS * 1000;
  }

  /** Gives a machine back to the leader: idle ones to be used elsewhere, dead ones to be returned. */
  private release(m: MachineRun, standing: 'free' | 'dead', why: string): void {
    m.releasing = true;
    this.d.log('info', 'releasing machine', { host: m.host, standing, why });
    const key = machineKey(m.host);
    this.committer.add({
      rank: Rank.fleet,
      build: () => {
        const grant = this.d.replica.shards.get(m.record.shard);
        const usable = this.d.machines.get(m.host) === m && grant && this.d.owned.has(m.record.shard);
        if (!usable || (standing === 'free' && m.placements.size > 0)) {
          m.releasing = false;
          return null;
        }
        const shard = standing === 'free' ? -1 : m.record.shard;
        return {
          when: [
            { key, stamp: this.d.replica.stamp(key) },
            { key: shardKey(m.record.shard), stamp: grant.stamp },
          ],
          apply: [{ key, data: machineData({ ...m.record, shard, standing }) }],
        };
      },
      ok: () => undefined,
      conflict: () => {
        m.releasing = false;
      },
    });
  }
}
