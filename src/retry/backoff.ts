/** Exponential backoff with jitter for failed calls. */
import type { Random } from './random.js';

/** How failed calls of one kind are retried. */
export interface RetryPolicy {
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
  /** The factor by which each delay exceeds the previous one. */
  readonly multiplier: number;
  /** The share of a delay that is random, so that callers that failed together do not retry together. */
  readonly jitter: number;
  /** A call without a response counts as failed after this time. */
  readonly timeoutMs: number;
}

/** Returns the delay after `failures` consecutive failures (one or more). */
export function backoffDelayMs(policy: RetryPolicy, failures: number, random: Random): number {
  // The exponent is bounded first: after an outage of hours the power would be infinite.
  const { initialDelayMs, maxDelayMs, multiplier, jitter } = policy;
  const stepsToMax = Math.ceil(Math.log(maxDelayMs / initialDelayMs) / Math.log(multiplier));
  const steps = Math.min(failures - 1, stepsToMax);
  const delayMs = Math.min(maxDelayMs, initialDelayMs * multiplier ** Math.max(0, steps));
  return delayMs * (1 - jitter * random());
}

/**
 * Decides when calls of one kind may be sent. While calls succeed, they may always be sent. After a failure, one probe at a time
 * is allowed after growing delays, so that few calls are sent during an outage and one of them notices its end. A success ends
 * the backoff.
 */
export class RetryBackoff {
  private consecutiveFailures = 0;
  private blockedUntil = -Infinity;
  private probing = false;

  constructor(
    private readonly policy: RetryPolicy,
    private readonly random: Random,
  ) {}

  /** Number of failures since the last success. */
  get failureCount(): number {
    return this.consecutiveFailures;
  }

  /** The time before which no call may be sent, ms. */
  get notBefore(): number {
    return this.blockedUntil;
  }

  /** Returns whether a call may be sent now. If so, the caller must send it. */
  tryAcquire(now: number): boolean {
    if (this.consecutiveFailures === 0) return true;
    if (now < this.blockedUntil) return false;
    this.probing = true;
    // If the probe never gets a response, another may be sent after the timeout.
    this.blockedUntil = now + this.policy.timeoutMs;
    return true;
  }

  /** Records that a call succeeded. */
  onSuccess(): void {
    this.consecutiveFailures = 0;
    this.blockedUntil = -Infinity;
    this.probing = false;
  }

  /** Records that a call failed. Of calls that were sent together, only the first failure lengthens the delay. */
  onFailure(now: number): void {
    if (this.consecutiveFailures > 0 && !this.probing && now < this.blockedUntil) return;
    this.consecutiveFailures++;
    this.probing = false;
    this.blockedUntil = now + backoffDelayMs(this.policy, this.consecutiveFailures, this.random);
  }
}
