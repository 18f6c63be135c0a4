/** Minimum shares, which prevent accepted workloads from starving. */

/** The resource usage of a workload (team and class) of accepted jobs. */
export interface WorkloadUsage {
  readonly workload: string;
  readonly team: string;
  /** The workload's share of the fleet's resources, by its dominant resource: CPUs or GPUs. */
  share: number;
  /** Whether any part of the workload waits for resources. */
  waiting: boolean;
}

/** A workload that should get the next free resources, up to the share of the fleet that it lacks. */
export interface ShareDeficit {
  readonly workload: string;
  readonly deficit: number;
}

/** The usage of a workload over time. */
interface UsageHistory {
  averageShare: number;
  /** The time since which part of the workload has waited without interruption, ms. */
  waitingSince: number;
}

/** The most workloads that have priority at the same time: those that have waited longest. */
const maxDeficits = 16;

/**
 * Finds workloads that have waited for a whole window and used less than their minimum share over it. The minimum is a part of an
 * equal share, by team and then by class. Above the minimum, only the placement order decides.
 */
export class MinimumShares {
  private readonly histories = new Map<string, UsageHistory>();
  private updatedAt = -1;

  constructor(
    readonly windowMs: number,
    /** The minimum, as a part of an equal share; 0: there is none. */
    private readonly minimumShare: number,
  ) {}

  /** Updates the averages with the current usage. Returns the workloads below their minimum, longest waiting first. */
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
      const { averageShare, waitingSince } = this.updateHistory(usage, weight, now);
      const minimum = this.minimumShare / classCounts.size / (classCounts.get(team) ?? 1);
      if (now - waitingSince < this.windowMs || averageShare >= minimum || share >= minimum) continue;
      deficits.push({ workload, deficit: minimum - share, waitingSince });
    }
    this.forgetAllBut(new Set(usages.map(({ workload }) => workload)));
    deficits.sort((a, b) => a.waitingSince - b.waitingSince);
    return deficits.slice(0, maxDeficits).map(({ workload, deficit }) => ({ workload, deficit }));
  }

  private updateHistory(
    { workload, share, waiting }: WorkloadUsage,
    weight: number,
    now: number,
  ): UsageHistory {
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
 * The longest time that a task which fits on an empty machine waits while its workload is below its minimum share, s: the window,
 * the time until a machine of a suitable type becomes empty or a new one is ready, scheduling, and delivery to the worker.
 */
export const maxStarvationS = (times: {
  readonly windowS: number;
  /** The longest run time of tasks on machines of that type. */
  readonly maxTaskRunS: number;
  /** The time until a new machine is up and has the image. */
  readonly machineStartS: number;
  readonly schedulingCycleS: number;
  readonly heartbeatIntervalS: number;
}): number =>
  times.windowS +
  Math.min(times.maxTaskRunS, times.machineStartS) +
  2 * times.schedulingCycleS +
  2 * times.heartbeatIntervalS;
