/**
 * Paces the rewriting of records that no other write reaches: it takes a share of the state service's writes, and only what
 * nobody else needs. It keeps nothing that must survive: what is left to do is seen in the records themselves, so another
 * owner goes on where this one ended.
 */
export class RecordMigration {
  private allowance = 0;
  private refilledAt = -1;
  private reportedAt = -Infinity;
  private remaining = -1;
  private writesDone = 0;
  private startedAt = 0;

  constructor(
    /** Writes per second that the state service takes, and the share of them that a sweep may take. */
    private readonly writesPerS: number,
    private readonly share: number,
    /** Progress is told this often, ms. */
    private readonly reportIntervalMs: number,
  ) {}

  /** How many writes may be made now. They are to be told by `wrote`. */
  availableWrites(now: number): number {
    if (this.refilledAt >= 0)
      this.allowance = Math.min(
        Math.max(1, this.writesPerS * this.share),
        this.allowance + ((now - this.refilledAt) / 1000) * this.writesPerS * this.share,
      );
    this.refilledAt = now;
    return Math.floor(this.allowance);
  }

  recordWrites(writes: number): void {
    this.allowance -= writes;
    this.writesDone += writes;
  }

  /** What is to be told of the progress now, or null. `left`: records still to be rewritten. */
  progress(now: number, remaining: number): { left: number; writes: number; forS: number } | null {
    const ends = remaining === 0 && this.remaining > 0;
    if (remaining > 0 && this.remaining <= 0) {
      this.startedAt = now;
      this.writesDone = 0;
      this.reportedAt = -Infinity;
    }
    this.remaining = remaining;
    if (!ends && (remaining === 0 || now - this.reportedAt < this.reportIntervalMs)) return null;
    this.reportedAt = now;
    return { left: remaining, writes: this.writesDone, forS: Math.round((now - this.startedAt) / 100) / 10 };
  }
}
