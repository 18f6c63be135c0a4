/**
 * Paces the rewriting of records that no other write reaches: it takes a share of the state service's writes, and only what
 * nobody else needs. It keeps nothing that must survive: what is left to do is seen in the records themselves, so another
 * owner goes on where this one ended.
 */
export class Sweep {
  private allowance = 0;
  private at = -1;
  private saidAt = -Infinity;
  private left = -1;
  private done = 0;
  private began = 0;

  constructor(
    /** Writes per second that the state service takes, and the share of them that a sweep may take. */
    private readonly writesPerS: number,
    private readonly share: number,
    /** Progress is told this often, ms. */
    private readonly tellMs: number,
  ) {}

  /** How many writes may be made now. They are to be told by `wrote`. */
  allowed(now: number): number {
    if (this.at >= 0)
      this.allowance = Math.min(
        Math.max(1, this.writesPerS * this.share),
        this.allowance + ((now - this.at) / 1000) * this.writesPerS * this.share,
      );
    this.at = now;
    return Math.floor(this.allowance);
  }

  wrote(writes: number): void {
    this.allowance -= writes;
    this.done += writes;
  }

  /** What is to be told of the progress now, or null. `left`: records still to be rewritten. */
  progress(now: number, left: number): { left: number; writes: number; forS: number } | null {
    const ends = left === 0 && this.left > 0;
    if (left > 0 && this.left <= 0) {
      this.began = now;
      this.done = 0;
      this.saidAt = -Infinity;
    }
    this.left = left;
    if (!ends && (left === 0 || now - this.saidAt < this.tellMs)) return null;
    this.saidAt = now;
    return { left, writes: this.done, forS: Math.round((now - this.began) / 100) / 10 };
  }
}
