import { StrideScheduler, type Flow } from './stride-scheduler.js';

/** What waits to be taken in. */
export interface QueueEntry {
  id: string;
  team: string;
  class: string;
  /** When its user first tried, ms. */
  firstAt: number;
}

interface ClassFlow<T> extends Flow {
  items: T[];
}
interface TeamFlow<T> extends Flow {
  classes: StrideScheduler<ClassFlow<T>>;
}

/**
 * Waiting entries by team, then by class. Who has got least for its weight goes next, so whoever floods waits behind its own,
 * and whoever had nothing waiting goes next; within a class whoever tried first goes first. Memory is bounded by what waits.
 */
export class FairQueue<T extends QueueEntry> {
  private readonly teams = new StrideScheduler<TeamFlow<T>>();
  private count = 0;

  constructor(
    private readonly teamWeight: (team: string) => number,
    private readonly classWeight: (e: T) => number,
  ) {}

  get size(): number {
    return this.count;
  }

  /** How many of its class wait that tried before it; and all of its class. */
  position(e: QueueEntry): { older: number; all: number } {
    const items = this.teams.get(e.team)?.classes.get(e.class)?.items ?? [];
    return { older: insertionIndex(items, e.firstAt), all: items.length };
  }

  /** The share of what is taken that this class gets now, if all that wait want more. */
  shareOf(e: T): number {
    const team = this.teams.get(e.team);
    const ofTeams = this.teams.shareOf(e.team, this.teamWeight(e.team));
    const weight = this.classWeight(e);
    return ofTeams * (team ? team.classes.shareOf(e.class, weight) : 1);
  }

  enqueue(e: T): void {
    const team = this.teams.addEntry(e.team, this.teamWeight(e.team), (lane) => ({
      ...lane,
      classes: new StrideScheduler<ClassFlow<T>>(),
    }));
    const lane = team.classes.addEntry(e.class, this.classWeight(e), (l) => ({ ...l, items: [] }));
    lane.items.splice(insertionIndex(lane.items, e.firstAt), 0, e);
    this.count++;
  }

  /** The youngest of a class. */
  newest(e: QueueEntry): T | undefined {
    return this.teams.get(e.team)?.classes.get(e.class)?.items.at(-1);
  }

  remove(e: T): boolean {
    const team = this.teams.get(e.team);
    const lane = team?.classes.get(e.class);
    const at = lane?.items.indexOf(e) ?? -1;
    if (!team || !lane || at < 0) return false;
    lane.items.splice(at, 1);
    this.entryRemoved(team, lane);
    return true;
  }

  /** Who goes next. */
  dequeue(): T | null {
    const team = this.teams.selectNext();
    const lane = team?.classes.selectNext();
    const e = lane?.items.shift();
    if (!team || !lane || !e) return null;
    this.entryRemoved(team, lane);
    return e;
  }

  private entryRemoved(team: TeamFlow<T>, lane: ClassFlow<T>): void {
    team.classes.removeEntry(lane);
    this.teams.removeEntry(team);
    this.count--;
  }

  /** All entries, of no order. */
  *[Symbol.iterator](): Generator<T> {
    for (const t of this.teams) for (const c of t.classes) yield* c.items;
  }
}

/** Where one that tried at this time belongs: behind those that tried before or at the same time. */
function insertionIndex(items: readonly QueueEntry[], firstAt: number): number {
  let lo = 0;
  let hi = items.length;
  while (lo < hi) {
    const mid = (lo + hi) >> 1;
    if (items[mid].firstAt <= firstAt) lo = mid + 1;
    else hi = mid;
  }
  return lo;
}
