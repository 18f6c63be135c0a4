import { RateMeter } from './rate-limiter.js';
import { workloadKey, maxNamedWorkloads, type WorkloadDemand } from './allocation.js';

interface WorkloadEstimate {
  team: string;
  class: string;
  weight: number;
  arrivals: RateMeter;
  seenAt: number;
}

/** What stands for the classes of a team that are too many to be told apart. */
const otherClasses = '*';

/** What users of each team and class bring, a second. Bounded: classes that are too many count together, by team. */
export class DemandEstimates {
  private readonly kinds = new Map<string, WorkloadEstimate>();

  constructor(
    private readonly most: number,
    /** One that nobody brought for so long is forgotten, ms. */
    private readonly keepMs: number,
  ) {}

  recordArrival(team: string, cls: string, weight: number, now: number): void {
    let kind = workloadKey(team, cls);
    if (!this.kinds.has(kind) && this.kinds.size >= this.most) {
      this.prune(now);
      if (this.kinds.size >= this.most) kind = workloadKey(team, (cls = otherClasses));
    }
    let w = this.kinds.get(kind);
    if (!w)
      this.kinds.set(kind, (w = { team, class: cls, weight, arrivals: new RateMeter(3000), seenAt: now }));
    w.weight = Math.max(w.weight, weight);
    w.seenAt = now;
    w.arrivals.add(1, now);
  }

  /** Those that bring most, a second; who brings least goes first among those that are left out. */
  largest(now: number): WorkloadDemand[] {
    const all = [...this.kinds.values()]
      .map((w) => ({ team: w.team, class: w.class, weight: w.weight, want: w.arrivals.rate(now) }))
      .filter((w) => w.want > 0.05);
    return all.sort((a, b) => b.want - a.want).slice(0, maxNamedWorkloads);
  }

  private prune(now: number): void {
    for (const [kind, w] of this.kinds) if (now - w.seenAt > this.keepMs) this.kinds.delete(kind);
  }
}
