/** A two-level fair queue: teams are served in turn, and within each team its classes. */
import { StrideScheduler, type Flow } from './stride-scheduler.js';

/** An entry that waits in the queue. */
export interface QueueEntry {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  /** Time of its user's first attempt, ms. */
  firstAttemptAt: number;
}

/** The entries of one class of a team. */
interface ClassFlow<T> extends Flow {
  /** Ordered by first attempt, oldest first. */
  readonly entries: T[];
}
/** The entries of one team, by class. */
interface TeamFlow<T> extends Flow {
  readonly classes: StrideScheduler<ClassFlow<T>>;
}

/**
 * Queues entries by team, then by class. The flow that was served least relative to its weight is next, so a flood of entries
 * only delays its own flow, and a flow that had none waiting is served at once. Within a class, the entry with the oldest first
 * attempt is first. Memory use is bounded by the number of waiting entries.
 */
export class FairQueue<T extends QueueEntry> {
  private readonly teams = new StrideScheduler<TeamFlow<T>>();
  private entryCount = 0;

  constructor(
    private readonly teamWeight: (team: string) => number,
    private readonly classWeight: (entry: T) => number,
  ) {}

  /** The number of waiting entries. */
  get size(): number {
    return this.entryCount;
  }

  /** The number of entries of its class that an entry would wait behind, and the number of entries that its class has. */
  position(entry: QueueEntry): { ahead: number; total: number } {
    const entries = this.classOf(entry)?.entries ?? [];
    return { ahead: insertionIndex(entries, entry.firstAttemptAt), total: entries.length };
  }

  /** The share of turns that an entry's class has now, as long as all waiting flows stay backlogged. */
  shareOf(entry: T): number {
    const team = this.teams.get(entry.team);
    const teamShare = this.teams.shareOf(entry.team, this.teamWeight(entry.team));
    const weight = this.classWeight(entry);
    return teamShare * (team ? team.classes.shareOf(entry.class, weight) : 1);
  }

  /** Adds an entry. */
  enqueue(entry: T): void {
    const team = this.teams.addEntry(entry.team, this.teamWeight(entry.team), (flow) => ({
      ...flow,
      classes: new StrideScheduler<ClassFlow<T>>(),
    }));
    const { entries } = team.classes.addEntry(entry.class, this.classWeight(entry), (flow) => ({
      ...flow,
      entries: [],
    }));
    entries.splice(insertionIndex(entries, entry.firstAttemptAt), 0, entry);
    this.entryCount++;
  }

  /** The entry of the same class with the latest first attempt. */
  newest(entry: QueueEntry): T | undefined {
    return this.classOf(entry)?.entries.at(-1);
  }

  /** Removes an entry. Returns whether it was in the queue. */
  remove(entry: T): boolean {
    const team = this.teams.get(entry.team);
    const flow = team?.classes.get(entry.class);
    const index = flow?.entries.indexOf(entry) ?? -1;
    if (!team || !flow || index < 0) return false;
    flow.entries.splice(index, 1);
    this.entryRemoved(team, flow);
    return true;
  }

  /** Removes and returns the next entry; null if none waits. */
  dequeue(): T | null {
    const team = this.teams.selectNext();
    const flow = team?.classes.selectNext();
    const entry = flow?.entries.shift();
    if (!team || !flow || !entry) return null;
    this.entryRemoved(team, flow);
    return entry;
  }

  private classOf(entry: QueueEntry): ClassFlow<T> | undefined {
    return this.teams.get(entry.team)?.classes.get(entry.class);
  }

  private entryRemoved(team: TeamFlow<T>, flow: ClassFlow<T>): void {
    team.classes.removeEntry(flow);
    this.teams.removeEntry(team);
    this.entryCount--;
  }

  /** All entries, in no particular order. */
  *[Symbol.iterator](): Generator<T> {
    for (const team of this.teams) for (const flow of team.classes) yield* flow.entries;
  }
}

/** The index at which an entry with this first attempt is inserted: after earlier and equal ones. */
function insertionIndex(entries: readonly QueueEntry[], firstAttemptAt: number): number {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (entries[middle].firstAttemptAt <= firstAttemptAt) low = middle + 1;
    else high = middle;
  }
  return low;
}
