/** Tracks rejected jobs and the time of their users' first attempt. */
import { workloadKey } from './workloads.js';

/** A rejected job, in the form in which controllers report it to each other. */
export interface Rejection {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  /** Time since the user's first attempt, ms. */
  readonly ageMs: number;
}

/** A rejected job that is remembered. */
interface TrackedRejection {
  readonly workload: string;
  firstAttemptAt: number;
}

/**
 * Remembers the jobs that were rejected, by this or another controller, and that may be submitted again. The number is bounded:
 * the oldest are dropped first, as their users have stopped trying by then.
 */
export class RejectionTracker {
  /** By job ID, in the order of the first rejection. */
  private readonly rejections = new Map<string, TrackedRejection>();
  private readonly countByWorkload = new Map<string, number>();

  constructor(
    private readonly maxRejections: number,
    /** The time after its first attempt during which a user retries, ms. */
    private readonly retryWindowMs: number,
  ) {}

  /** The number of jobs of a class that were rejected and have not been accepted since. */
  outstandingCount(team: string, jobClass: string): number {
    return this.countByWorkload.get(workloadKey(team, jobClass)) ?? 0;
  }

  /** The time of the first attempt to submit a job, if it is known. */
  firstAttemptAt(id: string): number | undefined {
    return this.rejections.get(id)?.firstAttemptAt;
  }

  /** Records a rejection by this or another controller. */
  record({ id, team, class: jobClass, ageMs }: Rejection, now: number): void {
    const firstAttemptAt = now - ageMs;
    const known = this.rejections.get(id);
    if (known) {
      known.firstAttemptAt = Math.min(known.firstAttemptAt, firstAttemptAt);
      return;
    }
    const workload = workloadKey(team, jobClass);
    this.rejections.set(id, { workload, firstAttemptAt });
    this.countByWorkload.set(workload, (this.countByWorkload.get(workload) ?? 0) + 1);
    this.prune(now);
  }

  /** Forgets a job that was accepted or will not be submitted again. */
  remove(id: string): void {
    const rejection = this.rejections.get(id);
    if (!rejection) return;
    this.rejections.delete(id);
    const left = this.countByWorkload.get(rejection.workload)! - 1;
    if (left > 0) this.countByWorkload.set(rejection.workload, left);
    else this.countByWorkload.delete(rejection.workload);
  }

  /** Drops the oldest rejections: those beyond the limit, and those whose users have stopped trying. */
  prune(now: number): void {
    for (const [id, { firstAttemptAt }] of this.rejections) {
      if (this.rejections.size <= this.maxRejections && now - firstAttemptAt <= this.retryWindowMs) break;
      this.remove(id);
    }
  }
}
