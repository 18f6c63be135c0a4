/** Estimates of the rates at which users of each team and class submit jobs. */
import { maxNamedWorkloads, workloadKey, type WorkloadDemand } from './workloads.js';
import { RateMeter } from './rate-limiter.js';

/** The estimate of one workload. */
interface WorkloadEstimate {
  readonly team: string;
  readonly class: string;
  weight: number;
  readonly arrivals: RateMeter;
  lastArrivalAt: number;
}

/** Stands for all classes of a team that are counted together, because there are too many to be counted individually. */
const otherClasses = '*';
/** Averaging window of arrival rates. */
const arrivalWindowMs = 3000;
/** Smaller rates are not reported, jobs per second. */
const minJobsPerS = 0.05;

/** Arrival rates by workload (team and class). Memory is bounded: classes beyond the limit are counted together, by team. */
export class DemandEstimates {
  private readonly estimates = new Map<string, WorkloadEstimate>();

  constructor(
    private readonly maxWorkloads: number,
    /** A workload without arrivals for this long is forgotten, ms. */
    private readonly retentionMs: number,
  ) {}

  /** Records that a job of a team and class was submitted. */
  recordArrival(team: string, jobClass: string, weight: number, now: number): void {
    let countedClass = jobClass;
    if (!this.estimates.has(workloadKey(team, jobClass)) && this.estimates.size >= this.maxWorkloads) {
      this.prune(now);
      if (this.estimates.size >= this.maxWorkloads) countedClass = otherClasses;
    }
    const key = workloadKey(team, countedClass);
    let estimate = this.estimates.get(key);
    if (!estimate) {
      const arrivals = new RateMeter(arrivalWindowMs);
      estimate = { team, class: countedClass, weight, arrivals, lastArrivalAt: now };
      this.estimates.set(key, estimate);
    }
    estimate.weight = Math.max(estimate.weight, weight);
    estimate.lastArrivalAt = now;
    estimate.arrivals.add(1, now);
  }

  /** Returns the workloads with the highest rates, highest first; at most as many as an allocation names. */
  largest(now: number): WorkloadDemand[] {
    return [...this.estimates.values()]
      .map(({ team, class: jobClass, weight, arrivals }) => ({
        team,
        class: jobClass,
        weight,
        jobsPerS: arrivals.rate(now),
      }))
      .filter(({ jobsPerS }) => jobsPerS > minJobsPerS)
      .sort((a, b) => b.jobsPerS - a.jobsPerS)
      .slice(0, maxNamedWorkloads);
  }

  private prune(now: number): void {
    for (const [key, { lastArrivalAt }] of this.estimates)
      if (now - lastArrivalAt > this.retentionMs) this.estimates.delete(key);
  }
}
