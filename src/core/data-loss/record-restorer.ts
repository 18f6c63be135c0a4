/** After a loss of data, writes back the records that this controller knows and the state lacks. */
import { mergeRecords, sameRecord } from '../../data-loss/index.js';
import type { Data } from '../../formats/index.js';
import type { Clock, Log } from '../effects.js';
import { isFinishedJob, storedRecordOf, type RecoveryRecords } from '../recovery-records.js';
import type { Replica } from '../replica.js';
import { jobKey, parseKey, WritePriority, recordKindOf, type TransactionBatcher } from '../storage/index.js';

/** The most record writes in flight at the same time. */
const maxWritesInFlight = 48;

const jobPrefix = jobKey('');

/** Dependencies and settings of the restorer. */
export interface RecordRestorerOptions {
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Clock;
  /** Interval at which progress is logged, ms. */
  readonly progressIntervalMs: number;
  /** The records that the process knew when it detected the loss; null if there is nothing to restore. */
  readonly recoveryRecords: RecoveryRecords | null;
  readonly log: Log;
}

/** Restores records in order: first open jobs and what controllers need in order to act, finished jobs last. */
export class RecordRestorer {
  private recoveryRecords: RecoveryRecords | null;
  private readonly pending: [string, Data][];
  private readonly recoveredJobCount: number;
  private restoredCount = 0;
  private writesInFlight = 0;
  private essentialsWritten = false;
  private progressLoggedAt = -Infinity;

  constructor(private readonly options: RecordRestorerOptions) {
    this.recoveryRecords = options.recoveryRecords;
    this.pending = [...(this.recoveryRecords?.records ?? [])];
    this.recoveredJobCount = this.pending.filter(([key]) => key.startsWith(jobPrefix)).length;
  }

  /** The records to restore; null once all of them have been restored. */
  get records(): RecoveryRecords | null {
    return this.recoveryRecords;
  }

  /** Whether all records have been restored. */
  get isDone(): boolean {
    return this.recoveryRecords === null;
  }

  /** Whether all records that controllers need in order to act have been restored; finished jobs may still follow. */
  get essentialsRestored(): boolean {
    return this.isDone || this.essentialsWritten;
  }

  /** How many jobs this process knows, including those still to be restored. */
  get jobCount(): number {
    return Math.max(this.options.replica.jobCount, this.recoveredJobCount);
  }

  /** Writes the next records that the state lacks. */
  tick(): void {
    if (this.recoveryRecords === null) return;
    const { replica, log } = this.options;
    // Finished jobs do not count here: workers' leases must not expire while finished jobs are being restored.
    this.essentialsWritten ||=
      this.writesInFlight === 0 && (this.pending.length === 0 || this.isNextFinishedJob);
    const defersFinishedJobs = !this.essentialsWritten || replica.incarnation?.stage === 'open';
    while (this.writesInFlight < maxWritesInFlight && this.pending.length > 0) {
      if (defersFinishedJobs && this.isNextFinishedJob) break;
      const [key, data] = this.pending.shift()!;
      if (this.recordToWrite(key, data)) this.write(key, data);
    }
    this.logProgress();
    if (this.pending.length > 0 || this.writesInFlight > 0) return;
    log('info', 'recovery records restored', {
      records: this.recoveryRecords.records.size,
      restored: this.restoredCount,
    });
    this.recoveryRecords = null;
  }

  private get isNextFinishedJob(): boolean {
    return isFinishedJob(...this.pending[0]);
  }

  private logProgress(): void {
    const { clock, progressIntervalMs, replica, log } = this.options;
    if (clock.now - this.progressLoggedAt <= progressIntervalMs) return;
    this.progressLoggedAt = clock.now;
    log('info', 'restoring records', {
      left: this.pending.length,
      restored: this.restoredCount,
      stage: replica.incarnation?.stage,
    });
  }

  /** Merges the stored record with the known one. Returns null if the stored record lacks nothing. */
  private recordToWrite(key: string, known: Data): Data | null {
    const stored = storedRecordOf(this.options.replica, key);
    const merged = mergeRecords(recordKindOf(parseKey(key)!), stored, known);
    return stored !== undefined && sameRecord(stored, merged) ? null : merged;
  }

  private write(key: string, known: Data): void {
    const { replica, batcher } = this.options;
    this.writesInFlight++;
    batcher.enqueue({
      priority: isFinishedJob(key, known) ? WritePriority.cleanup : WritePriority.membership,
      build: () => {
        // Merged again, because other controllers restore the same records in the meantime.
        const data = this.isDone ? null : this.recordToWrite(key, known);
        if (data === null) {
          this.writesInFlight--;
          return null;
        }
        return { conditions: [{ key, stamp: replica.modRevisionOf(key) }], writes: [{ key, data }] };
      },
      onCommitted: () => {
        this.writesInFlight--;
        this.restoredCount++;
      },
      onConflict: () => {
        this.writesInFlight--;
        this.pending.unshift([key, known]);
      },
    });
  }
}
