/** A rate over about a second, and what may be done at a pace. Times in ms. */
export class RateMeter {
  private value = 0;
  private at = -1;

  constructor(private readonly overMs = 1000) {}

  add(n: number, now: number): void {
    this.settle(now);
    this.value += (n * 1000) / this.overMs;
  }

  /** A second. */
  rate(now: number): number {
    this.settle(now);
    return this.value;
  }

  private settle(now: number): void {
    if (this.at >= 0) this.value *= Math.exp(-(now - this.at) / this.overMs);
    this.at = now;
  }
}

/** Lets so much through a second; what was not used for a while may be used at once. */
export class TokenBucket {
  private tokens = 0;
  private at = -1;

  /** `overS`: what was not used is kept for so long, s. */
  constructor(private readonly overS = 1) {}

  /** Whole tokens that are there now. */
  refill(rate: number, now: number): number {
    this.tokens =
      this.at < 0
        ? rate
        : Math.min(Math.max(1, rate * this.overS), this.tokens + ((now - this.at) / 1000) * rate);
    this.at = now;
    return Math.floor(this.tokens);
  }

  take(n: number): void {
    this.tokens -= n;
  }
}
