import type { Operators } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import { isPremium, urgencyRank, zoneShare, type JobSpec } from '../model/job.js';
import { fits, timesFits, type Fits, type MachineRecord, type MachineType } from '../model/machine.js';
import type { Report } from '../model/report.js';
import { teamCap, typeAllowed } from '../policy/admission.js';
import { limitsOf, slackS } from '../policy/deadlines.js';
import { spotAllowed } from '../policy/guardrails.js';
import { score } from '../policy/helios.js';
import type { ListedMachine, RentRequest } from '../wire/cloud.js';
import { Rank, type Committer } from './committer.js';
import type { Clock, Effect, Log } from './effects.js';
import { leadKey, machineKey, typesKey } from './keys.js';
import { machineData, typesData, type JobRecord } from './records.js';
import { anchorPrice, candidate, fetchS, gpuMachineOpen, inOrder, weights } from './placement.js';
import type { Machine, Replica } from './replica.js';

interface Unmet {
  spec: JobSpec;
  shard: number;
  count: number;
  /** The zones it may be met in; null: any. */
  zones: string[] | null;
  /** Time left for it to start, s. */
  slack: number;
}

interface Room extends Fits {
  /** Free only later, as running tasks end. */
  busy: Fits;
  /** How long the tasks on it run, on average, by their estimates. */
  runS: number;
  tasks: number;
  host: string;
  type: MachineType;
  zone: string;
  spot: boolean;
}

const mostPerRent = 50;
/** Share of the slack in which running tasks may be waited for instead of renting. */
const slackShare = 0.6;
const mostPerDelete = 100;

/**
 * The leader's care for the fleet: what to rent for which shard, whom to give free machines, what to return.
 * Demand is read off the replica, which every node has.
 */
export class Fleet {
  private typesAt = -Infinity;
  private askingTypes = false;
  private listAt = -Infinity;
  private listing = false;
  private planAt = -Infinity;
  private count = 0;
  private budget = 0;
  private budgetAt = -1;
  /** Slots that were refused: when last, and how often in a row. */
  private readonly refused = new Map<string, { at: number; times: number }>();
  private readonly renting = new Map<string, { request: RentRequest; shard: number }>();
  private readonly deleting = new Set<string>();
  private readonly writing = new Set<string>();
  private readonly absentSince = new Map<string, number>();
  private readonly heard = new Map<string, number>();
  hazardPerStep: () => number = () => 0;

  constructor(
    private readonly settings: Settings,
    private readonly operators: Operators,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Forgets what only mattered while this node led. */
  reset(): void {
    this.renting.clear();
    this.askAgain = [];
    this.deleting.clear();
    this.absentSince.clear();
    this.refused.clear();
    this.listing = false;
    this.askingTypes = false;
    this.listAt = -Infinity;
    this.typesAt = -Infinity;
  }

  tick(out: Effect[]): void {
    const now = this.clock.now;
    const rps = this.settings.cloud.rps;
    if (this.budgetAt < 0) this.budget = rps;
    else this.budget = Math.min(rps, this.budget + (((now - this.budgetAt) / 1000) * rps) / 2);
    this.budgetAt = now;
    if (!this.askingTypes && now - this.typesAt > this.typesEveryMs && this.spend()) {
      this.askingTypes = true;
      this.typesAt = now;
      out.push({ e: 'types' });
    }
    if (this.replica.types.length === 0) return;
    if (!this.listing && now - this.listAt > this.settings.cloud.list_lag_s * 1000 && this.spend()) {
      this.listing = true;
      this.listAt = now;
      out.push({ e: 'list' });
    }
    this.returnMachines(out);
    while (this.askAgain.length > 0 && this.spend()) out.push({ e: 'rent', request: this.askAgain.shift()! });
    if (now - this.planAt >= 1000 && this.replica.shards.size > 0) {
      this.planAt = now;
      this.plan(out);
    }
  }

  private get typesEveryMs(): number {
    return this.replica.types.length === 0 ? 500 : this.settings.workers.lease_s * 2000;
  }

  private spend(): boolean {
    if (this.budget < 1) return false;
    this.budget--;
    return true;
  }

  // ---- answers of the cloud ----

  gotTypes(types: MachineType[] | null): void {
    this.askingTypes = false;
    if (!types || types.length === 0) return;
    const drift = (a: number, b: number) => Math.abs(a - b) > 0.01 * Math.max(a, b);
    const same =
      types.length === this.replica.types.length &&
      types.every((t, i) => {
        const k = this.replica.types[i];
        return (
          k.name === t.name &&
          k.cpus === t.cpus &&
          !drift(k.price, t.price) &&
          !drift(k.spotPrice, t.spotPrice)
        );
      });
    if (same) return;
    this.write(typesKey, () => typesData(types));
  }

  rented(request: RentRequest, outcome: { hosts: string[] } | 'none' | 'refused' | 'unknown'): void {
    const asked = this.renting.get(request.name);
    const slot = slotName(request.type, request.zone, request.spot);
    const now = this.clock.now;
    if (typeof outcome === 'object') {
      this.renting.delete(request.name);
      this.log('info', 'rented', { ...request, hosts: outcome.hosts });
      this.refused.delete(slot);
      if (outcome.hosts.length < request.count) this.refused.set(slot, { at: now, times: 1 });
      for (const host of outcome.hosts)
        this.record({
          host,
          type: request.type,
          zone: request.zone,
          spot: request.spot,
          shard: asked?.shard ?? -1,
          standing: asked ? 'use' : 'free',
          since: this.clock.wall,
        });
      return;
    }
    if (outcome === 'none') {
      this.log('info', 'no capacity', { ...request });
      this.refused.set(slot, { at: now, times: (this.refused.get(slot)?.times ?? 0) + 1 });
      // The next best slot is tried at once.
      this.planAt = -Infinity;
    }
    // No answer: it may have been carried out, or may still be. Asking again under the same name tells.
    if (outcome === 'unknown' && asked) this.askAgain.push(request);
    else this.renting.delete(request.name);
  }

  private askAgain: RentRequest[] = [];

  deleted(hosts: string[], ok: boolean): void {
    for (const host of hosts) {
      this.deleting.delete(host);
      if (ok && this.replica.machines.has(host)) this.write(machineKey(host), () => 'drop');
    }
  }

  listed(machines: ListedMachine[] | null, askedAt: number): void {
    this.listing = false;
    if (!machines) return;
    const now = this.clock.now;
    const present = new Set<string>();
    for (const l of machines) {
      present.add(l.host);
      const known = this.replica.machines.get(l.host);
      this.absentSince.delete(l.host);
      if (known && l.status === 'failed') this.condemn(known, 'failed');
      // Guards against the late rental: a machine that nobody recorded is taken in once it cannot be one
      // whose rental is being recorded just now.
      else if (!known && l.ageS > this.settings.cloud.list_lag_s && !this.deletedLately.has(l.host))
        this.adopt(l);
    }
    const patience = this.settings.cloud.list_lag_s * 4000;
    for (const m of this.replica.machines.values()) {
      if (present.has(m.host)) continue;
      const since = this.absentSince.get(m.host) ?? askedAt;
      this.absentSince.set(m.host, since);
      const heard = this.heard.get(m.host) ?? -Infinity;
      // Absence proves nothing: it only makes us ask for the deletion, whose answer does.
      if (now - since > patience && now - heard > patience && this.clock.wall - m.since > patience * 2)
        this.condemn(m, 'absent');
    }
  }

  private readonly deletedLately = new Set<string>();

  private adopt(l: { host: string; type: string; zone: string; spot: boolean }): void {
    this.log('info', 'unexpected machine', { host: l.host });
    this.record({
      host: l.host,
      type: l.type,
      zone: l.zone,
      spot: l.spot,
      shard: -1,
      standing: 'free',
      since: this.clock.wall,
    });
  }

  /** A worker that nobody knows reports to the leader. */
  unexpected(r: Report): void {
    if (this.deletedLately.has(r.host) || !this.replica.types.some((t) => t.name === r.type)) return;
    this.adopt(r);
  }

  heardFrom(host: string): void {
    this.heard.set(host, this.clock.now);
  }

  private condemn(m: Machine, why: string): void {
    if (m.standing === 'dead') return;
    this.log('info', 'machine given up', { host: m.host, why });
    this.write(machineKey(m.host), () => {
      const now = this.replica.machines.get(m.host);
      return now ? machineData({ ...now, standing: 'dead' }) : null;
    });
  }

  private record(m: MachineRecord): void {
    const key = machineKey(m.host);
    if (this.replica.machines.has(m.host)) return;
    this.write(key, () => machineData(m));
  }

  /** Writes a key as the leader; a conflict means that the view was old, and the next plan decides anew. */
  private write(key: string, data: () => Record<string, unknown> | 'drop' | null): void {
    if (this.writing.has(key)) return;
    this.writing.add(key);
    const done = () => void this.writing.delete(key);
    this.committer.add({
      rank: Rank.fleet,
      build: () => {
        const lead = this.replica.lead;
        const value = data();
        const stamp = this.replica.stamp(key);
        if (
          !lead ||
          lead.member !== this.settings.member ||
          value === null ||
          (value === 'drop' && stamp === 0)
        ) {
          done();
          return null;
        }
        return {
          when: [
            { key, stamp },
            { key: leadKey, stamp: lead.stamp },
          ],
          apply: [{ key, data: value === 'drop' ? undefined : value }],
        };
      },
      ok: done,
      conflict: done,
    });
  }

  // ---- returning ----

  private returnMachines(out: Effect[]): void {
    const hosts: string[] = [];
    for (const m of this.replica.machines.values()) {
      if (this.deleting.has(m.host) || this.writing.has(machineKey(m.host))) continue;
      if (m.standing === 'dead' || (m.standing === 'free' && this.surplus(m))) hosts.push(m.host);
      if (hosts.length >= mostPerDelete) break;
    }
    if (hosts.length === 0 || !this.spend()) return;
    for (const h of hosts) {
      this.deleting.add(h);
      this.deletedLately.add(h);
      if (this.deletedLately.size > 1000)
        this.deletedLately.delete(this.deletedLately.values().next().value!);
    }
    this.log('info', 'returning', { hosts });
    out.push({ e: 'delete', hosts });
  }

  /** A free machine that the last plan found no use for. */
  private surplus(m: Machine): boolean {
    return this.unwanted.has(m.host);
  }

  private unwanted = new Set<string>();

  // ---- renting ----

  private plan(out: Effect[]): void {
    const { rooms, free } = this.fleetRooms();
    const unmet = this.unmetDemand(rooms);
    this.unwanted.clear();
    for (const m of free) {
      const type = this.replica.types.find((t) => t.name === m.type)!;
      const user = unmet.find(
        (u) =>
          u.count > 0 &&
          (u.zones === null || u.zones.includes(m.zone)) &&
          this.mayUse(u.spec, type, m.zone, m.spot),
      );
      if (!user) {
        this.unwanted.add(m.host);
        continue;
      }
      user.count -= timesFits(user.spec, type);
      this.log('info', 'assigning machine', { host: m.host, shard: user.shard });
      this.write(machineKey(m.host), () => {
        const now = this.replica.machines.get(m.host);
        return now?.standing === 'free' ? machineData({ ...now, shard: user.shard, standing: 'use' }) : null;
      });
    }
    for (const u of unmet) {
      // Renting for one job may leave room that serves the next: counted again in the next plan.
      if (u.count <= 0) continue;
      if (!this.rentFor(u, out)) break;
    }
  }

  private mayUse(spec: JobSpec, type: MachineType, zone: string, spot: boolean): boolean {
    return (
      typeAllowed(spec, type) && (spec.zone === null || spec.zone === zone) && (!spot || spotAllowed(spec))
    );
  }

  /** Room on all machines that are up or coming, placements taken off. */
  private fleetRooms(): { rooms: Map<number, Room[]>; free: Machine[] } {
    const byHost = new Map<string, Room>();
    const rooms = new Map<number, Room[]>();
    const free: Machine[] = [];
    const types = new Map(this.replica.types.map((t) => [t.name, t]));
    const add = (shard: number, room: Room) => {
      if (!rooms.has(shard)) rooms.set(shard, []);
      rooms.get(shard)!.push(room);
    };
    const roomOf = (host: string, type: MachineType, zone: string, spot: boolean): Room => ({
      busy: { cpus: 0, gpus: 0, memGb: 0 },
      runS: 0,
      tasks: 0,
      host,
      type,
      zone,
      spot,
      cpus: type.cpus * (1 - this.operators.headroom),
      gpus: type.gpus,
      memGb: type.memGb,
    });
    for (const m of this.replica.machines.values()) {
      const type = types.get(m.type);
      if (!type || m.standing === 'dead' || this.deleting.has(m.host)) continue;
      if (m.standing === 'free') {
        if (!this.writing.has(machineKey(m.host))) free.push(m);
        continue;
      }
      const room = roomOf(m.host, type, m.zone, m.spot);
      byHost.set(m.host, room);
      add(m.shard, room);
    }
    for (const { request, shard } of this.renting.values())
      for (let i = 0; i < request.count; i++)
        add(shard, roomOf('', types.get(request.type)!, request.zone, request.spot));
    for (const [id, chunks] of this.replica.chunks) {
      const job = this.replica.jobs.get(id);
      const need = job?.spec ?? job?.use;
      if (!need) continue;
      const runS = job?.spec ? (job.spec.shape === 'service' ? Infinity : job.spec.estimateS) : 0;
      for (const c of chunks.values())
        for (const p of c.placed) {
          const room = byHost.get(p.host);
          if (!room) continue;
          take(room, need, 1);
          take(room.busy, need, -1);
          room.runS = (room.runS * room.tasks + runS) / (room.tasks + 1);
          room.tasks++;
        }
    }
    return { rooms, free };
  }

  /** What waits and finds no room on the machines of its shard, in placement order. */
  private unmetDemand(rooms: Map<number, Room[]>): Unmet[] {
    const jobs: (JobRecord & { spec: JobSpec; waiting: number })[] = [];
    const teams = new Map<string, { cpus: number; gpus: number }>();
    for (const [id, chunks] of this.replica.chunks) {
      const job = this.replica.jobs.get(id);
      const need = job?.spec ?? job?.use;
      if (!need) continue;
      const t = teams.get(need.team) ?? { cpus: 0, gpus: 0 };
      let n = 0;
      for (const c of chunks.values()) n += c.placed.length;
      t.cpus += n * need.cpus;
      t.gpus += n * need.gpus;
      teams.set(need.team, t);
    }
    for (const id of this.replica.open) {
      const job = this.replica.jobs.get(id)!;
      const c = this.replica.counts(id);
      const waiting = job.tasks - c.done - c.running;
      if (waiting > 0 && job.spec) jobs.push({ ...job, spec: job.spec, waiting });
    }
    const unmet: Unmet[] = [];
    // GPU work first: the GPU machines' room is counted as its own before other work may have the rest.
    const ordered = inOrder(jobs, this.settings.objectives, this.clock.wall);
    for (const job of [
      ...ordered.filter((j) => j.spec.gpus > 0),
      ...ordered.filter((j) => j.spec.gpus <= 0),
    ]) {
      const { spec } = job;
      const shard = this.replica.shardOf(spec.team);
      const cap = teamCap(this.settings, spec.team);
      const used = teams.get(spec.team) ?? { cpus: 0, gpus: 0 };
      teams.set(spec.team, used);
      const allowed = timesFits(spec, {
        cpus: cap.cpus - used.cpus,
        gpus: cap.gpus - used.gpus,
        memGb: Infinity,
      });
      const left = Math.min(job.waiting, allowed);
      if (spec.shape === 'gang' && left < job.waiting) continue;
      used.cpus += left * spec.cpus;
      used.gpus += left * spec.gpus;
      for (const part of this.zoneParts(job, left, rooms.get(shard) ?? [])) {
        let want = part.count;
        const here = (rooms.get(shard) ?? []).filter(
          (r) =>
            this.mayUse(spec, r.type, r.zone, r.spot) &&
            (part.zones === null || part.zones.includes(r.zone)) &&
            gpuMachineOpen(spec, r.type, r.type.gpus - r.gpus),
        );
        for (const room of here) {
          if (want <= 0) break;
          const n = Math.min(want, timesFits(spec, room));
          if (n <= 0) continue;
          take(room, spec, n);
          want -= n;
        }
        want -= this.soon(job, want, here);
        // The placement keeps the emptiest machines for a gang that finds no room; others must not count on them.
        if (want > 0 && spec.shape === 'gang') {
          const busiest = here
            .filter((r) => r.tasks > 0)
            .sort((a, b) => b.cpus / b.type.cpus - a.cpus / a.type.cpus);
          for (let i = 0, n = want; n > 0 && i < busiest.length; i++) {
            n -= Math.max(1, timesFits(spec, busiest[i].type));
            busiest[i].cpus = 0;
          }
        }
        if (want > 0) unmet.push({ spec, shard, count: want, zones: part.zones, slack: this.slack(job) });
      }
    }
    return unmet;
  }

  /** Splits a job's waiting tasks by the zones they have to go to. */
  private zoneParts(
    job: JobRecord & { spec: JobSpec },
    count: number,
    rooms: Room[],
  ): { count: number; zones: string[] | null }[] {
    const { spec } = job;
    if (spec.zone !== null || (!spec.oneZone && !spec.apart)) return [{ count, zones: null }];
    const zones = [...this.settings.zones];
    const placed = new Map<string, number>();
    for (const c of this.replica.chunks.get(job.id)?.values() ?? [])
      for (const p of c.placed) {
        const zone = this.replica.machines.get(p.host)?.zone;
        if (zone !== undefined) placed.set(zone, (placed.get(zone) ?? 0) + 1);
      }
    const room = (zone: string): number => {
      let n = 0;
      for (const r of rooms)
        if (r.zone === zone && this.mayUse(spec, r.type, r.zone, r.spot)) n += timesFits(spec, r);
      return n;
    };
    const obtainable = (zone: string): number =>
      this.replica.types.some(
        (t) => t.zones.includes(zone) && this.mayUse(spec, t, zone, false) && this.isOpen(t, zone, false),
      )
        ? 1
        : 0;
    if (spec.oneZone) {
      const there = [...placed.keys()][0];
      if (there !== undefined) return [{ count, zones: [there] }];
      const known = zones.map((z) => ({ z, has: Math.min(room(z), count), can: obtainable(z) }));
      known.sort((a, b) => Number(b.has >= count) - Number(a.has >= count) || b.can - a.can || b.has - a.has);
      return [{ count, zones: [known[0].z] }];
    }
    const parts: { count: number; zones: string[] | null }[] = [];
    const open = zones
      .map((z) => ({
        z,
        left: Math.max(0, zoneShare(spec.tasks) - (placed.get(z) ?? 0)),
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

  private isOpen(type: MachineType, zone: string, spot: boolean): boolean {
    const refusal = this.refused.get(slotName(type.name, zone, spot));
    if (!refusal) return true;
    // A slot that is refused time and again rests longer and longer.
    const rest = this.refusalMs(type.name) * 2 ** Math.min(refusal.times - 1, 3);
    return this.clock.now - refusal.at > rest;
  }

  /**
   * Time left for a job's last task to start and still be in time; for limitless work, its run time. Infinity:
   * a machine rented now would come too late for it, so it may as well wait for those that are there.
   */
  private slack(job: JobRecord & { spec: JobSpec }): number {
    const { spec } = job;
    const limits = limitsOf(spec, this.settings.objectives);
    const left = slackS(limits, (this.clock.wall - job.at) / 1000, spec.estimateS);
    if (limits.done.length + limits.started.length === 0) return Math.max(spec.estimateS, 1);
    const reach = this.replica.types
      .filter((t) => typeAllowed(spec, t))
      .map((t) => t.bootS + fetchS(spec, t));
    return Number.isFinite(left) && left >= Math.min(...reach) ? left : Infinity;
  }

  /**
   * How many of a job's tasks need no further machine because running tasks will make room in time. Part of
   * the slack is kept for the image, for estimates that are too low, and for others who want the same room.
   */
  private soon(job: JobRecord & { spec: JobSpec }, want: number, rooms: Room[]): number {
    const { spec } = job;
    // The dearer the machine it takes, the longer running tasks are waited for.
    const perCpu = (t: MachineType) => t.price / Math.max(t.cpus, 1);
    const cheapest = Math.min(...this.replica.types.map(perCpu));
    const dear = 1 - cheapest / anchorPrice(spec, this.replica.types, () => true);
    const slack = this.slack(job) * slackShare * (0.75 + dear / 4);
    let served = 0;
    for (const r of rooms) {
      if (served >= want) break;
      const fetch = fetchS(spec, r.type);
      const share = Math.min(1, Math.max(0, slack - fetch) / Math.max(r.runS, 1));
      // Whole tasks only: a gang of large tasks must not count on crumbs.
      const n = Math.min(want - served, Math.floor(timesFits(spec, r.busy) * share));
      if (n <= 0) continue;
      take(r.busy, spec, n);
      served += n;
    }
    return served;
  }

  private refusalMs(type: string): number {
    const boot = this.replica.types.find((t) => t.name === type)?.bootS ?? 30;
    return boot * 1000 * (this.operators['idle-boots'] || 1) * 0.5;
  }

  /** Rents what a job's unmet tasks take, by the policy's score. False: no budget left for now. */
  private rentFor(u: Unmet, out: Effect[]): boolean {
    const { spec } = u;
    const open = (type: MachineType, zone: string, spot: boolean) =>
      this.isOpen(type, zone, spot) && (u.zones === null || u.zones.includes(zone));
    // Premium stays anchored to a type that can be had; if none can, to the cheapest that fits.
    let anchor = anchorPrice(spec, this.replica.types, (t) => t.zones.some((z) => open(t, z, false)));
    if (!Number.isFinite(anchor)) anchor = anchorPrice(spec, this.replica.types, () => true);
    const options: { type: MachineType; zone: string; spot: boolean; s: number }[] = [];
    // The dearest machines are not rented for work that others can do, unless it is premium, in a hurry, and
    // nothing else is to be had.
    const plain = this.replica.types.filter((t) => t.gpus <= 0 && typeAllowed(spec, t));
    const obtainable = plain.some((t) => t.zones.some((z) => open(t, z, false) || open(t, z, true)));
    const gpuToo =
      spec.gpus > 0 ||
      plain.length === 0 ||
      (isPremium(spec) && !obtainable && u.slack < Math.min(...plain.map((t) => t.bootS + fetchS(spec, t))));
    const perZone = new Map<string, number>();
    for (const m of this.replica.machines.values()) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
    for (const type of this.replica.types)
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          if (!this.mayUse(spec, type, zone, spot) || !open(type, zone, spot)) continue;
          if (type.gpus > 0 && !gpuToo) continue;
          const per = timesFits(spec, type);
          if (per < 1 || !fits(spec, type)) continue;
          // Only the CPUs that the tasks will use bring something: the price is for those.
          const useful = Math.min(1, (Math.min(per, u.count) * Math.max(spec.cpus, 0.01)) / type.cpus);
          const c = candidate(
            type,
            spot,
            this.hazardPerStep(),
            true,
            type.cpus,
            type.bootS + fetchS(spec, type),
          );
          c.price /= useful;
          const s =
            score({ premium: isPremium(spec), cpus: spec.cpus }, c, anchor, weights(this.operators)) -
            1e-5 * (perZone.get(zone) ?? 0);
          options.push({ type, zone, spot, s });
        }
    options.sort((a, b) => b.s - a.s);
    const best = options[0];
    if (!best) return true;
    if (!this.spend()) return false;
    const per = timesFits(spec, best.type);
    const request: RentRequest = {
      name: `r-${this.replica.lead!.stamp}-${++this.count}`,
      type: best.type.name,
      zone: best.zone,
      spot: best.spot,
      count: Math.min(mostPerRent, Math.ceil(u.count / per)),
    };
    this.renting.set(request.name, { request, shard: u.shard });
    this.log('info', 'renting', {
      ...request,
      job: spec.id,
      unmet: u.count,
      urgency: urgencyRank[spec.urgency],
    });
    out.push({ e: 'rent', request });
    return true;
  }
}

const slotName = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? 'spot' : ''}`;

function take(room: Fits, need: Fits, n: number): void {
  room.cpus -= n * need.cpus;
  room.gpus -= n * need.gpus;
  room.memGb -= n * need.memGb;
}
