/** Detects jobs for which capacity is counted, and none of whose waiting tasks gets placed. */

/** The time since which a job has made no progress, and its progress at that time. */
interface Standstill {
  /** The number of its tasks that have been placed or have completed. */
  readonly progress: number;
  /** On the wall clock, ms. */
  readonly since: number;
}

/**
 * Observes, cycle by cycle, the jobs for which the demand calculation expects capacity. A job that is not observed in a cycle, for
 * example because its team's quota allows no more of its tasks, starts anew when it is observed again.
 */
export class StallDetector {
  private previous = new Map<string, Standstill>();
  private current = new Map<string, Standstill>();

  /** Begins a planning cycle. */
  beginCycle(): void {
    this.previous = this.current;
    this.current = new Map<string, Standstill>();
  }

  /** Observes a job whose waiting tasks its team's quota allows. Returns how long it has made no progress, ms. */
  observe(job: string, progress: number, wallMs: number): number {
    const known = this.previous.get(job);
    const standstill = known?.progress === progress ? known : { progress, since: wallMs };
    this.current.set(job, standstill);
    return Math.max(0, wallMs - standstill.since);
  }

  /** Drops what was observed during an earlier leadership. */
  clear(): void {
    this.previous.clear();
    this.current.clear();
  }
}
