/** What the fleet lacks for the work that waits, read off the replica. */
import type { Operators } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { maxTasksPerZone, type JobSpec } from '../../model/job.js';
import { fitCount, type Resources, type MachineType } from '../../model/machine.js';
import { teamQuota, typeAllowed } from '../../policy/admission.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { maxStoredFailedHosts, suspectHostCount } from '../failure-attribution.js';
import { mayShareGpuMachine, fitsCpuOnlyType } from '../../policy/gpu-sharing.js';
import { inPlacementOrder, criticalSlackS } from '../../policy/order.js';
import { anchorPrice, imageFetchS } from '../../policy/pricing.js';
import type { JobRecord } from '../storage/index.js';
import type { VersionedMachine, Replica } from '../replica.js';

/** Tasks that wait and find no room on the machines of their shard. */
export interface UnmetDemand {
  spec: JobSpec;
  shard: number;
  count: number;
  /** The zones it may be met in; null: any. */
  zones: string[] | null;
  /** Time left for it to start, s. */
  slack: number;
}

/** A machine that is up or coming, and what is left on it. */
export interface Headroom extends Resources {
  /** Free only later, as running tasks end. */
  busy: Resources;
  /** How long the tasks on it run, on average, by their estimates. */
  runS: number;
  tasks: number;
  type: MachineType;
}

/** Rooms of one type, zone and way of renting: a job may use all of them or none. */
interface MachinePool {
  type: MachineType;
  zone: string;
  spot: boolean;
  rooms: Headroom[];
  /** The least that found no room here, of what may and may not take empty machines with GPUs: who takes as much or more need not look. */
  full: Map<boolean, Resources>;
}

export type MachinePools = Map<string, MachinePool>;

type WaitingJob = JobRecord & { spec: JobSpec; waiting: number };

/** Share of the slack in which running tasks may be waited for instead of renting. */
const slackShare = 0.6;

/** The kinds of one shard, made when first asked for. */
export function poolOf(kinds: MachinePools, type: MachineType, zone: string, spot: boolean): MachinePool {
  const key = offerKey(type.name, zone, spot);
  let kind = kinds.get(key);
  if (!kind) kinds.set(key, (kind = { type, zone, spot, rooms: [], full: new Map() }));
  return kind;
}

export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? 'spot' : ''}`;

export const emptyHeadroom = (type: MachineType, headroom: number): Headroom => ({
  busy: { cpus: 0, gpus: 0, memGb: 0 },
  runS: 0,
  tasks: 0,
  type,
  cpus: type.cpus * (1 - headroom),
  gpus: type.gpus,
  memGb: type.memGb,
});

export const isEligible = (spec: JobSpec, type: MachineType, zone: string, spot: boolean): boolean =>
  typeAllowed(spec, type) && (spec.zone === null || spec.zone === zone) && (!spot || spotAllowed(spec));

/**
 * What the fleet lacks, read off the replica, which every node has: one pass over what is placed, then one over
 * what waits, in placement order.
 */
export class DemandCalculator {
  private readonly rooms = new Map<number, MachinePools>();
  private readonly byHost = new Map<string, Headroom>();
  private readonly teams = new Map<string, { cpus: number; gpus: number }>();
  /** Rooms with tasks on them, emptiest first, by shard: made when a gang first asks. */
  private readonly emptiest = new Map<number, { room: Headroom; kind: MachinePool }[]>();

  constructor(
    private readonly settings: Settings,
    private readonly operators: Operators,
    private readonly replica: Replica,
    private readonly wall: number,
    /** Whether a slot is thought to be obtainable. */
    private readonly isOpen: (type: MachineType, zone: string, spot: boolean) => boolean,
  ) {}

  kindsOf(shard: number): MachinePools {
    let kinds = this.rooms.get(shard);
    if (!kinds) this.rooms.set(shard, (kinds = new Map()));
    return kinds;
  }

  addMachine(m: VersionedMachine, type: MachineType): void {
    const room = emptyHeadroom(type, this.operators.headroom);
    this.byHost.set(m.host, room);
    poolOf(this.kindsOf(m.shard), type, m.zone, m.spot).rooms.push(room);
  }

  /** Takes what is placed off the rooms and the teams' limits. */
  takePlaced(): void {
    for (const [id, chunks] of this.replica.chunks) {
      const job = this.replica.jobs.get(id);
      const need = job?.spec ?? job?.usage;
      if (!need) continue;
      const team = this.teamUse(need.team);
      const runS = job?.spec ? (job.spec.shape === 'service' ? Infinity : job.spec.estimateS) : 0;
      for (const c of chunks.values()) {
        team.cpus += c.placements.length * need.cpus;
        team.gpus += c.placements.length * need.gpus;
        for (const p of c.placements) {
          const room = this.byHost.get(p.host);
          if (!room) continue;
          take(room, need, 1);
          take(room.busy, need, -1);
          room.runS = (room.runS * room.tasks + runS) / (room.tasks + 1);
          room.tasks++;
        }
      }
    }
  }

  private teamUse(team: string): { cpus: number; gpus: number } {
    let use = this.teams.get(team);
    if (!use) this.teams.set(team, (use = { cpus: 0, gpus: 0 }));
    return use;
  }

  /** What waits and finds no room, in placement order. */
  unmet(): UnmetDemand[] {
    const jobs: WaitingJob[] = [];
    for (const id of this.replica.openJobs) {
      const job = this.replica.jobs.get(id)!;
      const c = this.replica.taskCounts(id);
      const waiting = job.taskCount - c.done - c.running;
      if (waiting > 0 && job.spec) jobs.push({ ...job, spec: job.spec, waiting });
    }
    const unmet: UnmetDemand[] = [];
    // GPU work first: the GPU machines' room is counted as its own before other work may have the rest.
    const ordered = inPlacementOrder(
      jobs,
      this.settings.objectives,
      this.wall,
      criticalSlackS(this.settings),
    );
    for (const job of [
      ...ordered.filter((j) => j.spec.gpus > 0),
      ...ordered.filter((j) => j.spec.gpus <= 0),
    ]) {
      const { spec } = job;
      const shard = this.replica.shardOfTeam(spec.team);
      const kinds = this.kindsOf(shard);
      const cap = teamQuota(this.settings, spec.team);
      const used = this.teamUse(spec.team);
      const allowed = fitCount(spec, {
        cpus: cap.cpus - used.cpus,
        gpus: cap.gpus - used.gpus,
        memGb: Infinity,
      });
      const left = Math.min(job.waiting, allowed);
      if (spec.shape === 'gang' && left < job.waiting) continue;
      used.cpus += left * spec.cpus;
      used.gpus += left * spec.gpus;
      for (const part of this.zoneParts(job, left, kinds)) {
        let want = part.count;
        const here = [...kinds.values()].filter(
          (k) =>
            isEligible(spec, k.type, k.zone, k.spot) && (part.zones === null || part.zones.includes(k.zone)),
        );
        const verdict = this.afterFailures(job, want, here);
        if (verdict === 'wait') continue;
        if (verdict === 'another') {
          unmet.push({ spec, shard, count: spec.shape === 'gang' ? want : 1, zones: part.zones, slack: 0 });
          continue;
        }
        for (const kind of here) want -= takeFrom(kind, spec, want, this.replica.machineTypes);
        const slack = this.slack(job);
        want -= this.soon(spec, slack, want, here);
        if (want > 0 && spec.shape === 'gang') this.keepFor(spec, shard, here, want);
        if (want > 0) unmet.push({ spec, shard, count: want, zones: part.zones, slack });
      }
    }
    return unmet;
  }

  /**
   * Of a job that has failed and completed nothing: it needs another machine if it has failed on all that there are;
   * one that is suspected of a mistake waits for those that others need. null: it counts like any.
   */
  private afterFailures(job: WaitingJob, want: number, here: MachinePool[]): 'wait' | 'another' | null {
    const failed = this.replica.chunks.get(job.id)?.get(0)?.failedHosts ?? [];
    if (failed.length === 0 || this.replica.taskCounts(job.id).done > 0) return null;
    const bad = new Set(failed.map((host) => this.byHost.get(host)));
    let room = 0;
    for (const k of here)
      for (const r of k.rooms) if (!bad.has(r)) room += fitCount(job.spec, emptyHeadroom(r.type, 0));
    // Guards against renting for a job with a mistake, GPUs at that.
    if (room >= (job.spec.shape === 'gang' ? want : 1))
      return failed.length >= suspectHostCount ? 'wait' : null;
    return failed.length < maxStoredFailedHosts ? 'another' : 'wait';
  }

  /** The placement keeps the emptiest machines for a gang that finds no room; others must not count on them. */
  private keepFor(spec: JobSpec, shard: number, here: MachinePool[], want: number): void {
    let list = this.emptiest.get(shard);
    if (!list) {
      list = [];
      for (const kind of this.kindsOf(shard).values())
        for (const room of kind.rooms) if (room.tasks > 0) list.push({ room, kind });
      list.sort((a, b) => b.room.cpus / b.room.type.cpus - a.room.cpus / a.room.type.cpus);
      this.emptiest.set(shard, list);
    }
    const mine = new Set(here);
    let left = want;
    this.emptiest.set(
      shard,
      list.filter(({ room, kind }) => {
        if (left <= 0 || !mine.has(kind)) return true;
        left -= Math.max(1, fitCount(spec, room.type));
        room.cpus = 0;
        room.busy.cpus = 0;
        return false;
      }),
    );
  }

  /** Splits a job's waiting tasks by the zones they have to go to. */
  private zoneParts(
    job: WaitingJob,
    count: number,
    kinds: MachinePools,
  ): { count: number; zones: string[] | null }[] {
    const { spec } = job;
    if (spec.zone !== null || (!spec.oneZone && !spec.apart)) return [{ count, zones: null }];
    const { zones } = this.settings;
    const placed = new Map<string, number>();
    for (const c of this.replica.chunks.get(job.id)?.values() ?? [])
      for (const p of c.placements) {
        const zone = this.replica.machines.get(p.host)?.zone;
        if (zone !== undefined) placed.set(zone, (placed.get(zone) ?? 0) + 1);
      }
    const room = (zone: string): number => {
      let n = 0;
      for (const k of kinds.values())
        if (k.zone === zone && isEligible(spec, k.type, k.zone, k.spot))
          n += countIn(k, spec, count - n, this.replica.machineTypes);
      return n;
    };
    const obtainable = (zone: string): number =>
      this.replica.machineTypes.some(
        (t) => t.zones.includes(zone) && isEligible(spec, t, zone, false) && this.isOpen(t, zone, false),
      )
        ? 1
        : 0;
    if (spec.oneZone) {
      const there = [...placed.keys()][0];
      if (there !== undefined) return [{ count, zones: [there] }];
      // Where it finds room whole; else where more can be had.
      const known = zones.map((z) => ({ z, has: room(z), can: obtainable(z) }));
      known.sort((a, b) => Number(b.has >= count) - Number(a.has >= count) || b.can - a.can || b.has - a.has);
      return [{ count, zones: [known[0].z] }];
    }
    const parts: { count: number; zones: string[] | null }[] = [];
    const open = zones
      .map((z) => ({
        z,
        left: Math.max(0, maxTasksPerZone(spec.tasks) - (placed.get(z) ?? 0)),
        has: room(z),
        can: obtainable(z),
      }))
      .sort((a, b) => b.has - a.has || b.can - a.can);
    let left = count;
    for (const o of open) {
      // Half and half, as far as the zones' shares go.
      const n = Math.min(left, o.left, Math.max(Math.min(o.has, left), Math.ceil(count / 2)));
      if (n > 0) parts.push({ count: n, zones: [o.z] });
      left -= n;
    }
    return parts;
  }

  /**
   * Time left for a job's last task to start and still be in time; for limitless work, its run time. Infinity:
   * a machine rented now would come too late for it, so it may as well wait for those that are there.
   */
  private slack(job: WaitingJob): number {
    const { spec } = job;
    const limits = timeLimitsOf(spec, this.settings.objectives);
    const left = slackS(limits, (this.wall - job.acceptedAt) / 1000, spec.estimateS);
    if (limits.completionS.length + limits.startS.length === 0) return Math.max(spec.estimateS, 1);
    let reach = Infinity;
    for (const t of this.replica.machineTypes)
      if (typeAllowed(spec, t)) reach = Math.min(reach, t.bootS + imageFetchS(spec, t));
    return Number.isFinite(left) && left >= reach ? left : Infinity;
  }

  /**
   * How many of a job's tasks need no further machine because running tasks will make room in time. Part of
   * the slack is kept for the image, for estimates that are too low, and for others who want the same room.
   */
  private soon(spec: JobSpec, slackOf: number, want: number, kinds: MachinePool[]): number {
    if (want <= 0) return 0;
    // The dearer the machine it takes, the longer running tasks are waited for.
    const perCpu = (t: MachineType) => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.replica.machineTypes.map(perCpu));
    const dear = 1 - cheapest / anchorPrice(spec, this.replica.machineTypes);
    const slack = slackOf * slackShare * (0.75 + dear / 4);
    let served = 0;
    for (const kind of kinds) {
      const wait = Math.max(0, slack - imageFetchS(spec, kind.type));
      for (const r of kind.rooms) {
        if (served >= want) return served;
        if (
          r.busy.cpus < spec.cpus ||
          !mayShareGpuMachine(spec, r.type, r.type.gpus - r.gpus, this.replica.machineTypes)
        )
          continue;
        const share = Math.min(1, wait / Math.max(r.runS, 1));
        // Whole tasks only: a gang of large tasks must not count on crumbs.
        const n = Math.min(want - served, Math.floor(fitCount(spec, r.busy) * share));
        if (n <= 0) continue;
        take(r.busy, spec, n);
        served += n;
      }
    }
    return served;
  }
}

/** Whether empty machines with GPUs are open to it. */
const takesGpus = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  spec.gpus > 0 || !fitsCpuOnlyType(spec, types);

/** True if somebody who takes no more than this found the kind full already. */
function isFull(kind: MachinePool, spec: JobSpec, types: readonly MachineType[]): boolean {
  const f = kind.full.get(takesGpus(spec, types));
  return f !== undefined && f.cpus <= spec.cpus && f.gpus <= spec.gpus && f.memGb <= spec.memGb;
}

/** Takes room for up to `want` tasks; how many it was. */
function takeFrom(kind: MachinePool, spec: JobSpec, want: number, types: readonly MachineType[]): number {
  let got = 0;
  if (want <= 0 || isFull(kind, spec, types)) return 0;
  for (const room of kind.rooms) {
    if (got >= want) return got;
    if (!mayShareGpuMachine(spec, room.type, room.type.gpus - room.gpus, types)) continue;
    const n = Math.min(want - got, fitCount(spec, room));
    if (n <= 0) continue;
    take(room, spec, n);
    got += n;
  }
  if (got < want)
    kind.full.set(takesGpus(spec, types), { cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb });
  return got;
}

function countIn(kind: MachinePool, spec: JobSpec, most: number, types: readonly MachineType[]): number {
  let n = 0;
  if (most <= 0 || isFull(kind, spec, types)) return 0;
  for (const room of kind.rooms) {
    n += fitCount(spec, room);
    if (n >= most) return most;
  }
  return n;
}

function take(room: Resources, need: Resources, n: number): void {
  room.cpus -= n * need.cpus;
  room.gpus -= n * need.gpus;
  room.memGb -= n * need.memGb;
}
