import type { JobSpec } from '../model/job.js';
import { isPremium, urgencyRank } from '../model/job.js';
import type { Resources, MachineType } from '../model/machine.js';
import { typeAllowed } from '../policy/admission.js';
import { spotAllowed } from '../policy/guardrails.js';

/** What the index needs to know of a machine. */
export interface IndexedMachine {
  host: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  images: { has(image: string): boolean };
}

/** Machines of one type that are rented the same way: the policy tells them apart only by image and fullness. */
export interface MachineGroup<M extends IndexedMachine> {
  type: MachineType;
  spot: boolean;
  /** Fullest first; machines without any room for what waits are left out. */
  entries: IndexEntry<M>[];
}

interface IndexEntry<M> {
  machine: M;
  full: number;
  /** Place in the order in which the machines came: the last tie-break. */
  ord: number;
}

/** Tie-break among machines of like score; far below any price difference that matters. */
export const packingTieBreak = 1e-4;

/** How full a machine is, by what is scarcest on it. */
export const fullness = (type: MachineType, room: Resources): number =>
  type.gpus > 0 ? 1 - room.gpus / type.gpus : 1 - room.cpus / type.cpus;

/** What a job that found no room asked for: whoever asks for as much or more finds none either. */
interface UnplaceableRequest {
  spec: JobSpec;
  /** Of a gang: the most tasks that any zone, and all zones together, could have taken. */
  maxPerZone: number;
  total: number;
}

/**
 * The machines of a shard in the order in which the policy prefers them, for one placement round. The plain
 * definition scores every machine for every job; but within a kind the score depends on the image and on
 * fullness only, so sorted lists by kind are merged, and only as far as a job has tasks. `looked` counts the
 * machines looked at.
 */
export class CapacityIndex<M extends IndexedMachine> {
  readonly groups: MachineGroup<M>[] = [];
  examined = 0;
  private unplaceable: UnplaceableRequest[] = [];

  constructor(
    machines: Iterable<M>,
    /** What is free on a machine now. */
    private readonly freeCapacity: (m: M) => Resources,
    /** The least that any waiting task takes: a machine with less room is of no use to this round. */
    private readonly minRequest: Resources,
  ) {
    const byKind = new Map<string, MachineGroup<M>>();
    let ord = 0;
    for (const m of machines) {
      this.examined++;
      ord++;
      const room = freeCapacity(m);
      if (!this.isUseful(room)) continue;
      const key = `${m.type.name} ${m.spot ? 1 : 0}`;
      let kind = byKind.get(key);
      if (!kind) {
        byKind.set(key, (kind = { type: m.type, spot: m.spot, entries: [] }));
        this.groups.push(kind);
      }
      kind.entries.push({ machine: m, full: fullness(m.type, room), ord });
    }
    for (const k of this.groups) k.entries.sort(byFullness);
  }

  private isUseful(room: Resources): boolean {
    const tiny = 1e-6;
    return room.cpus + tiny >= this.minRequest.cpus && room.memGb + tiny >= this.minRequest.memGb;
  }

  /**
   * The machines that a job may use, best first. `score` is the policy's score of a kind, with or without the
   * image; `open` what else decides about a machine;
   * `withImage` leaves out those that lack the image.
   */
  *bestFirst(
    spec: JobSpec,
    score: (type: MachineType, spot: boolean, hasImage: boolean) => number,
    isEligible: (m: M) => boolean,
    withImage = false,
  ): Generator<M> {
    const heads: {
      list: IndexEntry<M>[];
      at: number;
      image: boolean;
      base: number;
      ord: number;
      s: number;
    }[] = [];
    const advance = (h: (typeof heads)[number]): boolean => {
      for (; h.at < h.list.length; h.at++) {
        const e = h.list[h.at];
        this.examined++;
        if (e.machine.images.has(spec.image) !== h.image || !isEligible(e.machine)) continue;
        h.s = h.base + packingTieBreak * e.full;
        h.ord = e.ord;
        return true;
      }
      return false;
    };
    for (const k of this.groups) {
      if (!typeAllowed(spec, k.type) || (k.spot && !spotAllowed(spec))) continue;
      for (const image of withImage ? [true] : [true, false]) {
        const h = { list: k.entries, at: 0, image, base: score(k.type, k.spot, image), ord: 0, s: 0 };
        if (advance(h)) heads.push(h);
      }
    }
    while (heads.length > 0) {
      let top = 0;
      for (let i = 1; i < heads.length; i++) {
        const a = heads[i];
        const b = heads[top];
        if (a.s > b.s || (a.s === b.s && a.ord < b.ord)) top = i;
      }
      const h = heads[top];
      yield h.list[h.at].machine;
      h.at++;
      if (!advance(h)) heads.splice(top, 1);
    }
  }

  /** Tasks were placed on these machines: they move to where they belong now, or out. */
  reposition(hosts: ReadonlySet<string>): void {
    if (hosts.size === 0) return;
    for (const k of this.groups) {
      const moved: IndexEntry<M>[] = [];
      k.entries = k.entries.filter((e) => {
        if (!hosts.has(e.machine.host)) return true;
        moved.push(e);
        return false;
      });
      for (const e of moved) {
        const room = this.freeCapacity(e.machine);
        if (!this.isUseful(room)) continue;
        e.full = fullness(e.machine.type, room);
        insert(k.entries, e);
      }
    }
  }

  /** Takes machines out: they are kept for somebody. */
  remove(hosts: ReadonlySet<string>): void {
    if (hosts.size > 0)
      for (const k of this.groups) k.entries = k.entries.filter((e) => !hosts.has(e.machine.host));
  }

  /** Remembers that a job found no room (more). Within a round room only shrinks. */
  noteUnplaceable(spec: JobSpec, maxPerZone = 0, total = 0): void {
    this.unplaceable.push({ spec, maxPerZone, total });
  }

  /** True if a job that asked for no more than this one has found no room already. */
  isUnplaceable(spec: JobSpec, count: number): boolean {
    return this.unplaceable.some((f) => {
      const a = f.spec;
      if (
        a.cpus > spec.cpus ||
        a.gpus > spec.gpus ||
        a.memGb > spec.memGb ||
        a.gpus > 0 !== spec.gpus > 0 ||
        isPremium(a) !== isPremium(spec) ||
        urgencyRank[a.urgency] < urgencyRank[spec.urgency] ||
        spotAllowed(a) < spotAllowed(spec) ||
        (a.zone !== null && a.zone !== spec.zone) ||
        (a.types !== null && a.types.join() !== spec.types?.join())
      )
        return false;
      if (spec.shape !== 'gang') return a.shape !== 'gang' && !a.oneZone && !a.apart;
      return a.shape === 'gang' && count > (spec.oneZone ? f.maxPerZone : f.total);
    });
  }
}

const byFullness = (a: { full: number; ord: number }, b: { full: number; ord: number }): number =>
  b.full - a.full || a.ord - b.ord;

function insert<T extends { full: number; ord: number }>(list: T[], e: T): void {
  let lo = 0;
  let hi = list.length;
  while (lo < hi) {
    const mid = (lo + hi) >> 1;
    if (byFullness(list[mid], e) < 0) lo = mid + 1;
    else hi = mid;
  }
  list.splice(lo, 0, e);
}
