import type { Random } from './random.js';

/** How failed calls of one kind are tried again. Times in ms. */
export interface RetryPolicy {
  initialDelayMs: number;
  maxDelayMs: number;
  /** Each pause is so many times the one before. */
  multiplier: number;
  /** The share of a pause that is left to chance, so that those who failed together do not come back together. */
  jitter: number;
  /** A call without an answer counts as failed after this long. */
  timeoutMs: number;
}

/** The pause after so many failures in a row (one or more). */
export function backoffDelayMs(p: RetryPolicy, failures: number, random: Random): number {
  // Bounded before the power is taken: after an outage of hours it would be infinite.
  const steps = Math.min(
    failures - 1,
    Math.ceil(Math.log(p.maxDelayMs / p.initialDelayMs) / Math.log(p.multiplier)),
  );
  const pause = Math.min(p.maxDelayMs, p.initialDelayMs * p.multiplier ** Math.max(0, steps));
  return pause * (1 - p.jitter * random());
}

/**
 * When calls of one kind may go out. While they succeed: always. After a failure: one probe at a time, after pauses that
 * grow, so that an outage is met with few calls and its end with few more. A success ends it.
 */
export class RetryBackoff {
  private consecutiveFailures = 0;
  private blockedUntil = -Infinity;
  private probing = false;

  constructor(
    private readonly policy: RetryPolicy,
    private readonly random: Random,
  ) {}

  get failureCount(): number {
    return this.consecutiveFailures;
  }

  /** When the next call may go out, ms. */
  get notBefore(): number {
    return this.blockedUntil;
  }

  /** Whether a call may go out now; if so it is taken to go out. */
  tryAcquire(now: number): boolean {
    if (this.consecutiveFailures === 0) return true;
    if (now < this.blockedUntil) return false;
    this.probing = true;
    // Guards against the probe whose answer never comes: another may follow when its time is over.
    this.blockedUntil = now + this.policy.timeoutMs;
    return true;
  }

  onSuccess(): void {
    this.consecutiveFailures = 0;
    this.blockedUntil = -Infinity;
    this.probing = false;
  }

  /** A call failed. Of calls that went out together only the first failure lengthens the pause. */
  onFailure(now: number): void {
    if (this.consecutiveFailures > 0 && !this.probing && now < this.blockedUntil) return;
    this.consecutiveFailures++;
    this.probing = false;
    this.blockedUntil = now + backoffDelayMs(this.policy, this.consecutiveFailures, this.random);
  }
}
