import { Turns, type Lane } from './stride-scheduler.js';

/** What waits to be taken in. */
export interface Entry {
  id: string;
  team: string;
  class: string;
  /** When its user first tried, ms. */
  firstAt: number;
}

interface ClassLane<T> extends Lane {
  items: T[];
}
interface TeamLane<T> extends Lane {
  classes: Turns<ClassLane<T>>;
}

/**
 * Waiting entries by team, then by class. Who has got least for its weight goes next, so whoever floods waits behind its own,
 * and whoever had nothing waiting goes next; within a class whoever tried first goes first. Memory is bounded by what waits.
 */
export class FairQueue<T extends Entry> {
  private readonly teams = new Turns<TeamLane<T>>();
  private count = 0;

  constructor(
    private readonly teamWeight: (team: string) => number,
    private readonly classWeight: (e: T) => number,
  ) {}

  get size(): number {
    return this.count;
  }

  /** How many of its class wait that tried before it; and all of its class. */
  ahead(e: Entry): { older: number; all: number } {
    const items = this.teams.get(e.team)?.classes.get(e.class)?.items ?? [];
    return { older: place(items, e.firstAt), all: items.length };
  }

  /** The share of what is taken that this class gets now, if all that wait want more. */
  share(e: T): number {
    const team = this.teams.get(e.team);
    const ofTeams = this.teams.shareOf(e.team, this.teamWeight(e.team));
    const weight = this.classWeight(e);
    return ofTeams * (team ? team.classes.shareOf(e.class, weight) : 1);
  }

  add(e: T): void {
    const team = this.teams.enter(e.team, this.teamWeight(e.team), (lane) => ({
      ...lane,
      classes: new Turns<ClassLane<T>>(),
    }));
    const lane = team.classes.enter(e.class, this.classWeight(e), (l) => ({ ...l, items: [] }));
    lane.items.splice(place(lane.items, e.firstAt), 0, e);
    this.count++;
  }

  /** The youngest of a class. */
  youngest(e: Entry): T | undefined {
    return this.teams.get(e.team)?.classes.get(e.class)?.items.at(-1);
  }

  remove(e: T): boolean {
    const team = this.teams.get(e.team);
    const lane = team?.classes.get(e.class);
    const at = lane?.items.indexOf(e) ?? -1;
    if (!team || !lane || at < 0) return false;
    lane.items.splice(at, 1);
    this.left(team, lane);
    return true;
  }

  /** Who goes next. */
  next(): T | null {
    const team = this.teams.next();
    const lane = team?.classes.next();
    const e = lane?.items.shift();
    if (!team || !lane || !e) return null;
    this.left(team, lane);
    return e;
  }

  private left(team: TeamLane<T>, lane: ClassLane<T>): void {
    team.classes.leave(lane);
    this.teams.leave(team);
    this.count--;
  }

  /** All entries, of no order. */
  *[Symbol.iterator](): Generator<T> {
    for (const t of this.teams) for (const c of t.classes) yield* c.items;
  }
}

/** Where one that tried at this time belongs: behind those that tried before or at the same time. */
function place(items: readonly Entry[], firstAt: number): number {
  let lo = 0;
  let hi = items.length;
  while (lo < hi) {
    const mid = (lo + hi) >> 1;
    if (items[mid].firstAt <= firstAt) lo = mid + 1;
    else hi = mid;
  }
  return lo;
}
