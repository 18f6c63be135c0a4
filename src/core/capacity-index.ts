/** Index of the free capacity of a shard's machines, sorted by the preference of the placement policy. */
import type { JobSpec } from '../model/job.js';
import { isPremium, urgencyRank } from '../model/job.js';
import type { Resources, MachineType } from '../model/machine.js';
import { typeAllowed } from '../policy/admission.js';
import { spotAllowed } from '../policy/guardrails.js';

/** The attributes of a machine that the index uses. */
export interface IndexedMachine {
  readonly host: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly images: { has(image: string): boolean };
}

/** The machines of one type and billing model; within a group, the policy's score differs by image and fullness only. */
export interface MachineGroup<M extends IndexedMachine> {
  readonly type: MachineType;
  readonly spot: boolean;
  /** Sorted with the fullest first. Machines without free capacity for any waiting task are left out. */
  entries: IndexEntry<M>[];
}

/** The sort key of an entry. */
interface EntryOrder {
  /** The used share of the scarcest resource; see the function `fullness`. */
  fullness: number;
  /** The position of the machine in the input; the final tie-break. */
  position: number;
}

interface IndexEntry<M> extends EntryOrder {
  readonly machine: M;
}

/** The position within a group's entries during the merge; each group has one cursor for machines with the image and one for those without. */
interface MergeCursor<M> {
  readonly entries: readonly IndexEntry<M>[];
  readonly hasImage: boolean;
  /** The policy's score of the group. */
  readonly groupScore: number;
  next: number;
  /** Of the next entry: the group's score plus the tie-break, and the position. */
  score: number;
  position: number;
}

/** Weight of the fullness as a tie-break between equal scores; far below any price difference that matters. */
export const packingTieBreak = 1e-4;

/** Tolerance for rounding errors in sums of decimal amounts. */
const tolerance = 1e-6;

/** The used share of a machine's scarcest resource, from 0 to 1. */
export const fullness = (type: MachineType, free: Resources): number =>
  type.gpus > 0 ? 1 - free.gpus / type.gpus : 1 - free.cpus / type.cpus;

/** A request for which no capacity was found: a request for as much or more would not succeed either. */
interface UnplaceableRequest {
  readonly spec: JobSpec;
  /** For a gang: how many of its tasks would have fit in the best zone, and in all zones together. */
  readonly maxPerZone: number;
  readonly total: number;
}

/**
 * The machines of a shard in the policy's order of preference, for one scheduling cycle. Scoring every machine for every job would be
 * expensive. Since the score within a group depends on image and fullness only, the index keeps the groups sorted and merges them
 * lazily, only as far as a job needs machines.
 */
export class CapacityIndex<M extends IndexedMachine> {
  /** The groups by type and billing model, in the order of their first machine. */
  readonly groups: MachineGroup<M>[] = [];
  /** The number of machines examined; the scheduling cycle resets it after each step. */
  examined = 0;
  private readonly unplaceable: UnplaceableRequest[] = [];

  constructor(
    machines: Iterable<M>,
    /** Returns the current free capacity of a machine. */
    private readonly freeCapacity: (machine: M) => Resources,
    /** The smallest request of any waiting task: machines with less free capacity are left out. */
    private readonly minRequest: Resources,
  ) {
    const groupByKey = new Map<string, MachineGroup<M>>();
    let position = 0;
    for (const machine of machines) {
      this.examined++;
      position++;
      const free = freeCapacity(machine);
      if (!this.hasUsableCapacity(free)) continue;
      const key = `${machine.type.name} ${machine.spot ? 1 : 0}`;
      let group = groupByKey.get(key);
      if (!group) {
        groupByKey.set(key, (group = { type: machine.type, spot: machine.spot, entries: [] }));
        this.groups.push(group);
      }
      group.entries.push({ machine, fullness: fullness(machine.type, free), position });
    }
    for (const group of this.groups) group.entries.sort(byFullness);
  }

  private hasUsableCapacity(free: Resources): boolean {
    return free.cpus + tolerance >= this.minRequest.cpus && free.memGb + tolerance >= this.minRequest.memGb;
  }

  /**
   * The machines that a job may use, best first. `score` is the policy's score of a group, with or without the image; `isEligible`
   * applies any further conditions to a machine; `imageRequired` leaves out machines that do not have the image.
   */
  *bestFirst(
    spec: JobSpec,
    score: (type: MachineType, spot: boolean, hasImage: boolean) => number,
    isEligible: (machine: M) => boolean,
    imageRequired = false,
  ): Generator<M> {
    const cursors: MergeCursor<M>[] = [];
    for (const { type, spot, entries } of this.groups) {
      if (!typeAllowed(spec, type) || (spot && !spotAllowed(spec))) continue;
      for (const hasImage of imageRequired ? [true] : [true, false]) {
        const groupScore = score(type, spot, hasImage);
        const cursor = { entries, hasImage, groupScore, next: 0, score: 0, position: 0 };
        if (this.advance(cursor, spec, isEligible)) cursors.push(cursor);
      }
    }
    while (cursors.length > 0) {
      let best = 0;
      for (let i = 1; i < cursors.length; i++) if (isBetter(cursors[i], cursors[best])) best = i;
      const cursor = cursors[best];
      yield cursor.entries[cursor.next].machine;
      cursor.next++;
      if (!this.advance(cursor, spec, isEligible)) cursors.splice(best, 1);
    }
  }

  /** Moves a cursor to the next machine that the job may use; returns false if there is none. */
  private advance(cursor: MergeCursor<M>, spec: JobSpec, isEligible: (machine: M) => boolean): boolean {
    for (; cursor.next < cursor.entries.length; cursor.next++) {
      const entry = cursor.entries[cursor.next];
      this.examined++;
      if (entry.machine.images.has(spec.image) !== cursor.hasImage || !isEligible(entry.machine)) continue;
      cursor.score = cursor.groupScore + packingTieBreak * entry.fullness;
      cursor.position = entry.position;
      return true;
    }
    return false;
  }

  /** Re-sorts machines on which tasks were placed, or removes them if their capacity is used up. */
  reposition(hosts: ReadonlySet<string>): void {
    if (hosts.size === 0) return;
    for (const group of this.groups) {
      const moved: IndexEntry<M>[] = [];
      group.entries = group.entries.filter((entry) => {
        if (!hosts.has(entry.machine.host)) return true;
        moved.push(entry);
        return false;
      });
      for (const entry of moved) {
        const free = this.freeCapacity(entry.machine);
        if (!this.hasUsableCapacity(free)) continue;
        entry.fullness = fullness(entry.machine.type, free);
        insertSorted(group.entries, entry);
      }
    }
  }

  /** Removes machines from the index, such as reserved ones. */
  remove(hosts: ReadonlySet<string>): void {
    if (hosts.size === 0) return;
    for (const group of this.groups)
      group.entries = group.entries.filter((entry) => !hosts.has(entry.machine.host));
  }

  /** Records that no (more) capacity was found for a job. Within a cycle, free capacity only shrinks. */
  recordUnplaceable(spec: JobSpec, maxPerZone = 0, total = 0): void {
    this.unplaceable.push({ spec, maxPerZone, total });
  }

  /** Whether an earlier job of this cycle that requested no more than this one found no capacity. */
  isUnplaceable(spec: JobSpec, taskCount: number): boolean {
    return this.unplaceable.some((request) => {
      const earlier = request.spec;
      if (!isNoMoreDemanding(earlier, spec)) return false;
      if (spec.shape !== 'gang') return earlier.shape !== 'gang' && !earlier.oneZone && !earlier.apart;
      return earlier.shape === 'gang' && taskCount > (spec.oneZone ? request.maxPerZone : request.total);
    });
  }
}

/** Whether a task of the earlier job fits wherever a task of the other job fits. */
const isNoMoreDemanding = (earlier: JobSpec, spec: JobSpec): boolean =>
  earlier.cpus <= spec.cpus &&
  earlier.gpus <= spec.gpus &&
  earlier.memGb <= spec.memGb &&
  earlier.gpus > 0 === spec.gpus > 0 &&
  isPremium(earlier) === isPremium(spec) &&
  urgencyRank[earlier.urgency] >= urgencyRank[spec.urgency] &&
  spotAllowed(earlier) >= spotAllowed(spec) &&
  (earlier.zone === null || earlier.zone === spec.zone) &&
  (earlier.types === null || earlier.types.join() === spec.types?.join());

const isBetter = <M>(a: MergeCursor<M>, b: MergeCursor<M>): boolean =>
  a.score > b.score || (a.score === b.score && a.position < b.position);

const byFullness = (a: EntryOrder, b: EntryOrder): number =>
  b.fullness - a.fullness || a.position - b.position;

function insertSorted<T extends EntryOrder>(entries: T[], entry: T): void {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (byFullness(entries[middle], entry) < 0) low = middle + 1;
    else high = middle;
  }
  entries.splice(low, 0, entry);
}
