/** Rate limiting of requests to the cloud, with back-off while the cloud does not answer. */
import type { RetryBackoff } from '../../retry/index.js';
import type { Clock } from '../effects.js';

/** Fraction of the cloud's request limit that is used; the rest allows for clock differences between the cloud and this process. */
const usableLimitFraction = 0.8;

/** Token bucket for cloud requests. Its capacity is one second's worth of requests. */
export class CloudRequestBudget {
  private tokens = 0;
  private refilledAt = -1;

  constructor(
    private readonly requestsPerS: number,
    private readonly backoff: RetryBackoff,
    private readonly clock: Clock,
  ) {}

  /** Adds the tokens for the time elapsed since the last refill. */
  refill(): void {
    const { now } = this.clock;
    if (this.refilledAt < 0) this.tokens = this.requestsPerS;
    else {
      const newTokens = ((now - this.refilledAt) / 1000) * this.requestsPerS * usableLimitFraction;
      this.tokens = Math.min(this.requestsPerS, this.tokens + newTokens);
    }
    this.refilledAt = now;
  }

  /** Takes a token if a request may be sent now: within the rate limit, and one at a time while the cloud does not answer. */
  tryAcquire(): boolean {
    if (this.tokens < 1 || !this.backoff.tryAcquire(this.clock.now)) return false;
    this.tokens--;
    return true;
  }

  /** Charges follow-up requests of a request already sent; the token count may become negative. */
  charge(requests: number): void {
    this.tokens -= requests;
  }

  /** Records whether the cloud answered a request. A failure starts or extends the back-off. */
  recordOutcome(answered: boolean): void {
    if (answered) this.backoff.onSuccess();
    else this.backoff.onFailure(this.clock.now);
  }
}
