import type { Random } from './random.js';

/** How failed calls of one kind are tried again. Times in ms. */
export interface RetryPolicy {
  firstMs: number;
  longestMs: number;
  /** Each pause is so many times the one before. */
  factor: number;
  /** The share of a pause that is left to chance, so that those who failed together do not come back together. */
  jitter: number;
  /** A call without an answer counts as failed after this long. */
  deadlineMs: number;
}

/** The pause after so many failures in a row (one or more). */
export function pauseMs(p: RetryPolicy, failures: number, random: Random): number {
  // Bounded before the power is taken: after an outage of hours it would be infinite.
  const steps = Math.min(failures - 1, Math.ceil(Math.log(p.longestMs / p.firstMs) / Math.log(p.factor)));
  const pause = Math.min(p.longestMs, p.firstMs * p.factor ** Math.max(0, steps));
  return pause * (1 - p.jitter * random());
}

/**
 * When calls of one kind may go out. While they succeed: always. After a failure: one probe at a time, after pauses that
 * grow, so that an outage is met with few calls and its end with few more. A success ends it.
 */
export class Attempts {
  private failed = 0;
  private until = -Infinity;
  private probing = false;

  constructor(
    private readonly policy: RetryPolicy,
    private readonly random: Random,
  ) {}

  get failures(): number {
    return this.failed;
  }

  /** When the next call may go out, ms. */
  get notBefore(): number {
    return this.until;
  }

  /** Whether a call may go out now; if so it is taken to go out. */
  take(now: number): boolean {
    if (this.failed === 0) return true;
    if (now < this.until) return false;
    this.probing = true;
    // Guards against the probe whose answer never comes: another may follow when its time is over.
    this.until = now + this.policy.deadlineMs;
    return true;
  }

  ok(): void {
    this.failed = 0;
    this.until = -Infinity;
    this.probing = false;
  }

  /** A call failed. Of calls that went out together only the first failure lengthens the pause. */
  fail(now: number): void {
    if (this.failed > 0 && !this.probing && now < this.until) return;
    this.failed++;
    this.probing = false;
    this.until = now + pauseMs(this.policy, this.failed, this.random);
  }
}
