/** What a team and class of accepted work has, and whether some of it waits for room. */
export interface WorkloadUsage {
  kind: string;
  team: string;
  /** Of the room there is, by what it takes most of: CPUs or GPUs. */
  share: number;
  waiting: boolean;
}

/** A kind that is to get the next free room, up to this share of all. */
export interface ShareDeficit {
  kind: string;
  share: number;
}

interface Seen {
  average: number;
  /** Since when some of it has waited without a break, ms. */
  since: number;
}

/** So many kinds at most are lifted at a time, those that have waited longest first. */
const maxDeficits = 16;

/**
 * No starving after acceptance. A kind that has waited for a whole window, and has had less than its floor over it, is owed the
 * next free room up to that floor: a share of an equal part, first by team, then by class. Beyond it the order decides alone.
 */
export class MinimumShares {
  private readonly kinds = new Map<string, Seen>();
  private at = -1;

  constructor(
    readonly windowMs: number,
    /** Of an equal part; 0: no floors. */
    private readonly floorShare: number,
  ) {}

  findDeficits(now: number, uses: readonly WorkloadUsage[]): ShareDeficit[] {
    if (this.floorShare <= 0) return [];
    const rise = this.at < 0 ? 1 : 1 - Math.exp((this.at - now) / this.windowMs);
    this.at = now;
    const classes = new Map<string, number>();
    for (const u of uses) if (u.waiting || u.share > 0) classes.set(u.team, (classes.get(u.team) ?? 0) + 1);
    const owed: (ShareDeficit & { since: number })[] = [];
    const there = new Set<string>();
    for (const u of uses) {
      there.add(u.kind);
      let s = this.kinds.get(u.kind);
      if (!s) this.kinds.set(u.kind, (s = { average: u.share, since: now }));
      s.average += (u.share - s.average) * rise;
      if (!u.waiting) s.since = now;
      const floor = this.floorShare / classes.size / (classes.get(u.team) ?? 1);
      if (now - s.since < this.windowMs || s.average >= floor || u.share >= floor) continue;
      owed.push({ kind: u.kind, share: floor - u.share, since: s.since });
    }
    for (const kind of this.kinds.keys()) if (!there.has(kind)) this.kinds.delete(kind);
    owed.sort((a, b) => a.since - b.since);
    return owed.slice(0, maxDeficits).map(({ kind, share }) => ({ kind, share }));
  }
}

/**
 * The longest that a task which fits an empty machine waits while its kind has had less than its floor, s: the window, then
 * until the next machine of its kind runs empty or is there anew, then a round and the way to the worker.
 */
export const maxStarvationS = (w: {
  windowS: number;
  /** What runs there now at the most, and what a machine takes to come up with the image. */
  runS: number;
  machineS: number;
  roundS: number;
  reportS: number;
}): number => w.windowS + Math.min(w.runS, w.machineS) + 2 * w.roundS + 2 * w.reportS;
