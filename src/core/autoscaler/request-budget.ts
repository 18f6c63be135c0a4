/** The rate limit of requests to the cloud, with back-off while it does not answer. */
import type { RetryBackoff } from '../../retry/index.js';
import type { Clock } from '../effects.js';

/** Share of the cloud's request limit that is used; the rest is slack for the difference of its clock and ours. */
const usableLimitFraction = 0.8;

/** A token bucket of cloud requests. It holds one second's worth of requests at most. */
export class CloudRequestBudget {
  private tokens = 0;
  private refilledAt = -1;

  constructor(
    private readonly requestsPerS: number,
    private readonly backoff: RetryBackoff,
    private readonly clock: Clock,
  ) {}

  /** Adds the tokens of the time since the last refill. */
  refill(): void {
    const { now } = this.clock;
    if (this.refilledAt < 0) this.tokens = this.requestsPerS;
    else {
      const newTokens = ((now - this.refilledAt) / 1000) * this.requestsPerS * usableLimitFraction;
      this.tokens = Math.min(this.requestsPerS, this.tokens + newTokens);
    }
    this.refilledAt = now;
  }

  /** Takes a token if a request may be sent now: within the limit, and one at a time while the cloud does not answer. */
  tryAcquire(): boolean {
    if (this.tokens < 1 || !this.backoff.tryAcquire(this.clock.now)) return false;
    this.tokens--;
    return true;
  }

  /** Charges requests that follow from one that was sent already; the tokens may become negative. */
  charge(requests: number): void {
    this.tokens -= requests;
  }

  /** Notes whether the cloud answered a request; failures start the back-off. */
  recordOutcome(answered: boolean): void {
    if (answered) this.backoff.onSuccess();
    else this.backoff.onFailure(this.clock.now);
  }
}
