/** Rate limit and progress of rewriting stored records for another feature level. */

/** Progress of a migration, logged under these field names. */
export interface MigrationProgress {
  /** Records still to be rewritten. */
  readonly remaining: number;
  readonly writes: number;
  readonly durationS: number;
}

/**
 * Limits the rewriting of records that no regular update rewrites to a share of the state service's writes. It holds no durable
 * state: the records themselves show which of them are still to be rewritten, so another owner continues where this one stopped.
 */
export class MigrationPacer {
  private allowance = 0;
  private refilledAt = -1;
  private reportedAt = -Infinity;
  private remaining = -1;
  private writesDone = 0;
  private startedAt = 0;

  constructor(
    /** Writes per second that the state service accepts. */
    private readonly writesPerS: number,
    /** The share of these writes that the migration may use. */
    private readonly share: number,
    /** Interval at which progress is reported, ms. */
    private readonly reportIntervalMs: number,
  ) {}

  /** Returns how many writes may be made now. The caller reports those that it makes to `recordWrites`. */
  availableWrites(now: number): number {
    if (this.refilledAt >= 0)
      this.allowance = Math.min(
        Math.max(1, this.writesPerS * this.share),
        this.allowance + ((now - this.refilledAt) / 1000) * this.writesPerS * this.share,
      );
    this.refilledAt = now;
    return Math.floor(this.allowance);
  }

  /** Deducts writes that were made from the allowance. */
  recordWrites(writes: number): void {
    this.allowance -= writes;
    this.writesDone += writes;
  }

  /** Returns the progress to report now, with `remaining` records still to be rewritten; null if no report is due. */
  progress(now: number, remaining: number): MigrationProgress | null {
    const isFinished = remaining === 0 && this.remaining > 0;
    const isStarting = remaining > 0 && this.remaining <= 0;
    if (isStarting) {
      this.startedAt = now;
      this.writesDone = 0;
      this.reportedAt = -Infinity;
    }
    this.remaining = remaining;
    const isDue = remaining > 0 && now - this.reportedAt >= this.reportIntervalMs;
    if (!isFinished && !isDue) return null;
    this.reportedAt = now;
    const durationS = Math.round((now - this.startedAt) / 100) / 10;
    return { remaining, writes: this.writesDone, durationS };
  }
}
