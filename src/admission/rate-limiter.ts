/** Measurement and limiting of rates. Times are in ms. */

/** Measures a rate as an exponential moving average over a window. */
export class RateMeter {
  private average = 0;
  private updatedAt = -1;

  constructor(private readonly windowMs = 1000) {}

  /** Counts `count` events at `now`. */
  add(count: number, now: number): void {
    this.decay(now);
    this.average += (count * 1000) / this.windowMs;
  }

  /** The rate at `now`, events per second. */
  rate(now: number): number {
    this.decay(now);
    return this.average;
  }

  private decay(now: number): void {
    if (this.updatedAt >= 0) this.average *= Math.exp(-(now - this.updatedAt) / this.windowMs);
    this.updatedAt = now;
  }
}

/** A token bucket whose rate may change with each refill. */
export class TokenBucket {
  private tokens = 0;
  private refilledAt = -1;

  /** `burstS`: the bucket holds at most the tokens of this many seconds, but always at least one. */
  constructor(private readonly burstS = 1) {}

  /** Adds the tokens earned since the last refill, `rate` per second. Returns the number of whole tokens in the bucket. */
  refill(rate: number, now: number): number {
    if (this.refilledAt < 0) this.tokens = rate;
    else {
      const earned = ((now - this.refilledAt) / 1000) * rate;
      this.tokens = Math.min(Math.max(1, rate * this.burstS), this.tokens + earned);
    }
    this.refilledAt = now;
    return Math.floor(this.tokens);
  }

  /** Removes tokens from the bucket. */
  take(count: number): void {
    this.tokens -= count;
  }
}
