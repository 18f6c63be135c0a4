/** The pace at which stored records are rewritten for another feature level. */

/** Progress of a migration, as it is logged. */
export interface MigrationProgress {
  /** Records still to be rewritten. */
  readonly remaining: number;
  readonly writes: number;
  readonly durationS: number;
}

/**
 * Limits the rewriting of records that no other write reaches to a share of the state service's writes. It keeps nothing that
 * must survive: what is still to be rewritten shows in the records themselves, so another owner continues where this one ended.
 */
export class RecordMigration {
  private allowance = 0;
  private refilledAt = -1;
  private reportedAt = -Infinity;
  private remaining = -1;
  private writesDone = 0;
  private startedAt = 0;

  constructor(
    /** Writes per second that the state service takes. */
    private readonly writesPerS: number,
    /** The share of them that the migration may take. */
    private readonly share: number,
    /** How often progress is reported, ms. */
    private readonly reportIntervalMs: number,
  ) {}

  /** How many writes may be made now. Those that are made are to be passed to `recordWrites`. */
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

  /** The progress to be reported now, with this many records still to be rewritten; null: nothing is to be reported. */
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
