/** Minimum shares: no workload starves after acceptance. */

/** What a workload (team and class) of accepted jobs uses, and whether some of it waits for room. */
export interface WorkloadUsage {
  readonly workload: string;
  readonly team: string;
  /** Of the fleet's resources, by its dominant one: CPUs or GPUs. */
  share: number;
  waiting: boolean;
}

/** A workload that is to get the next free room, up to this share of the fleet. */
export interface ShareDeficit {
  readonly workload: string;
  readonly deficit: number;
}

interface UsageHistory {
  averageShare: number;
  /** Since when some of it has waited without interruption, ms. */
  waitingSince: number;
}

/** Workloads that have priority at the same time at most: those that have waited longest. */
const maxDeficits = 16;

/**
 * Finds workloads that have waited for a whole window and used less than their minimum share over it. The minimum is a share
 * of an equal part, by team and then by class. Beyond it the placement order decides alone.
 */
export class MinimumShares {
  private readonly histories = new Map<string, UsageHistory>();
  private updatedAt = -1;

  constructor(
    readonly windowMs: number,
    /** The minimum, as a share of an equal part; 0: there is none. */
    private readonly minimumShare: number,
  ) {}

  /** Updates the averages with the present usage. Returns the workloads below their minimum, longest waiting first. */
  findDeficits(now: number, usages: readonly WorkloadUsage[]): ShareDeficit[] {
    if (this.minimumShare <= 0) return [];
    const weight = this.updatedAt < 0 ? 1 : 1 - Math.exp((this.updatedAt - now) / this.windowMs);
    this.updatedAt = now;
    const classCounts = new Map<string, number>();
    for (const { team, waiting, share } of usages)
      if (waiting || share > 0) classCounts.set(team, (classCounts.get(team) ?? 0) + 1);
    const deficits: (ShareDeficit & { waitingSince: number })[] = [];
    for (const usage of usages) {
      const { workload, team, share } = usage;
      const { averageShare, waitingSince } = this.update(usage, weight, now);
      const minimum = this.minimumShare / classCounts.size / (classCounts.get(team) ?? 1);
      if (now - waitingSince < this.windowMs || averageShare >= minimum || share >= minimum) continue;
      deficits.push({ workload, deficit: minimum - share, waitingSince });
    }
    this.forgetAllBut(new Set(usages.map(({ workload }) => workload)));
    deficits.sort((a, b) => a.waitingSince - b.waitingSince);
    return deficits.slice(0, maxDeficits).map(({ workload, deficit }) => ({ workload, deficit }));
  }

  private update({ workload, share, waiting }: WorkloadUsage, weight: number, now: number): UsageHistory {
    let history = this.histories.get(workload);
    if (!history) this.histories.set(workload, (history = { averageShare: share, waitingSince: now }));
    history.averageShare += (share - history.averageShare) * weight;
    if (!waiting) history.waitingSince = now;
    return history;
  }

  private forgetAllBut(workloads: ReadonlySet<string>): void {
    for (const workload of this.histories.keys())
      if (!workloads.has(workload)) this.histories.delete(workload);
  }
}

/**
 * The longest that a task which fits an empty machine waits while its workload is below its minimum share, s: the window, then
 * until the next machine of a suitable type becomes empty or is new, then a scheduling cycle and the way to the worker.
 */
export const maxStarvationS = (w: {
  readonly windowS: number;
  /** The longest that tasks run there, and what a new machine takes to be up with the image. */
  readonly runS: number;
  readonly machineS: number;
  readonly roundS: number;
  readonly reportS: number;
}): number => w.windowS + Math.min(w.runS, w.machineS) + 2 * w.roundS + 2 * w.reportS;
