/** Exponential backoff with jitter for failed calls. */
import type { Random } from './random.js';

/** How failed calls of one kind are retried. Times in ms. */
export interface RetryPolicy {
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
  /** Each delay is so many times the one before. */
  readonly multiplier: number;
  /** The random share of a delay, so that callers that failed together do not retry together. */
  readonly jitter: number;
  /** A call without an answer counts as failed after this long. */
  readonly timeoutMs: number;
}

/** The delay after so many consecutive failures (one or more). */
export function backoffDelayMs(policy: RetryPolicy, failures: number, random: Random): number {
  // Bounded before the power is taken: after an outage of hours it would be infinite.
  const { initialDelayMs, maxDelayMs, multiplier, jitter } = policy;
  const stepsToMax = Math.ceil(Math.log(maxDelayMs / initialDelayMs) / Math.log(multiplier));
  const steps = Math.min(failures - 1, stepsToMax);
  const delayMs = Math.min(maxDelayMs, initialDelayMs * multiplier ** Math.max(0, steps));
  return delayMs * (1 - jitter * random());
}

/**
 * When calls of one kind may go out. While they succeed: always. After a failure: one probe at a time, after growing
 * delays, so that an outage is met with few calls, and its end is noticed by one. A success ends the backoff.
 */
export class RetryBackoff {
  private consecutiveFailures = 0;
  private blockedUntil = -Infinity;
  private probing = false;

  constructor(
    private readonly policy: RetryPolicy,
    private readonly random: Random,
  ) {}

  /** Failures since the last success. */
  get failureCount(): number {
    return this.consecutiveFailures;
  }

  /** When the next call may go out, ms. */
  get notBefore(): number {
    return this.blockedUntil;
  }

  /** Whether a call may go out now. If so, the caller is to make it. */
  tryAcquire(now: number): boolean {
    if (this.consecutiveFailures === 0) return true;
    if (now < this.blockedUntil) return false;
    this.probing = true;
    // Guards against the probe whose answer never comes: another may follow after the timeout.
    this.blockedUntil = now + this.policy.timeoutMs;
    return true;
  }

  /** A call succeeded. */
  onSuccess(): void {
    this.consecutiveFailures = 0;
    this.blockedUntil = -Infinity;
    this.probing = false;
  }

  /** A call failed. Of calls that went out together only the first failure lengthens the delay. */
  onFailure(now: number): void {
    if (this.consecutiveFailures > 0 && !this.probing && now < this.blockedUntil) return;
    this.consecutiveFailures++;
    this.probing = false;
    this.blockedUntil = now + backoffDelayMs(this.policy, this.consecutiveFailures, this.random);
  }
}
