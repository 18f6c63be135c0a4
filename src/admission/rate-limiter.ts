/** Measuring and limiting rates. Times in ms. */

/** A rate, averaged exponentially over a window. */
export class RateMeter {
  private average = 0;
  private updatedAt = -1;

  constructor(private readonly windowMs = 1000) {}

  /** Counts `count` events at `now`. */
  add(count: number, now: number): void {
    this.decay(now);
    this.average += (count * 1000) / this.windowMs;
  }

  /** Events per second. */
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

  /** `burstS`: it holds the tokens of so many seconds, and one at least. */
  constructor(private readonly burstS = 1) {}

  /** Adds the tokens since the last refill, `rate` a second. Returns how many whole ones there are. */
  refill(rate: number, now: number): number {
    if (this.refilledAt < 0) this.tokens = rate;
    else {
      const earned = ((now - this.refilledAt) / 1000) * rate;
      this.tokens = Math.min(Math.max(1, rate * this.burstS), this.tokens + earned);
    }
    this.refilledAt = now;
    return Math.floor(this.tokens);
  }

  /** Takes tokens. */
  take(count: number): void {
    this.tokens -= count;
  }
}
