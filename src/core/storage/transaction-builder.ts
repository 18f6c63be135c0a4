/** Groups pending writes into one transaction, within the limits of the state service. */
import { encodeTransaction, type Condition, type Transaction, type Write } from '../../wire/store.js';
import type { Replica } from '../replica.js';
import { incarnationKey, levelKey } from './keys.js';
import type { BatchLimits, BuiltWrite, PendingWrite } from './pending-write.js';

/** Limits of one transaction in addition to those that apply to all. */
export interface BuildOptions {
  readonly maxWrites: number;
  /** Include only one pending write. */
  readonly singleWrite: boolean;
}

/**
 * Builds one transaction. Every transaction is conditional on the feature level in force, and on the incarnation if there is one,
 * being unchanged since it was built. So no record is written in an old format after a level change, or in a new one before it,
 * however late the transaction is executed.
 */
export class TransactionBuilder {
  readonly built: BuiltWrite[] = [];
  readonly maxWrites: number;
  private readonly conditions = new Map<string, Condition>();
  private readonly writes: Write[] = [];
  private readonly writtenKeys = new Set<string>();
  private bytes = 0;
  /**
   * How many writes were built but did not fit. It is limited, because otherwise every transaction would build the whole queue.
   */
  private skippedCount = 0;

  constructor(
    private readonly replica: Replica,
    private readonly limits: BatchLimits,
    private readonly options: BuildOptions,
  ) {
    this.maxWrites = options.maxWrites;
    this.conditions.set(levelKey, { key: levelKey, stamp: replica.modRevisionOf(levelKey) });
    const { incarnation } = replica;
    if (incarnation) {
      const key = incarnationKey(incarnation.number);
      this.conditions.set(key, { key, stamp: incarnation.modRevision });
    }
  }

  /** Whether no further write is to be included. */
  get isFull(): boolean {
    return (
      this.writes.length >= this.maxWrites ||
      this.skippedCount >= this.limits.maxOperations ||
      (this.options.singleWrite && this.built.length > 0)
    );
  }

  /**
   * Takes writes from the head of a queue without modifying it.
   * Returns how many operations were taken, how many queue entries were examined, and which of these must stay in the queue.
   */
  takeFrom(
    queue: readonly PendingWrite[],
    maxTaken: number,
  ): { taken: number; examined: number; skipped: PendingWrite[] } {
    const skipped: PendingWrite[] = [];
    const before = this.writes.length;
    let examined = 0;
    for (; examined < queue.length && this.writes.length - before < maxTaken && !this.isFull; examined++) {
      const pending = queue[examined];
      const transaction = pending.build();
      if (transaction === null || this.refuseUnreadable(pending, transaction)) continue;
      const bytes = JSON.stringify(encodeTransaction(transaction)).length;
      if (this.fits(transaction, bytes)) this.include({ pending, transaction }, bytes);
      else {
        skipped.push(pending);
        this.skippedCount++;
      }
    }
    return { taken: this.writes.length - before, examined, skipped };
  }

  /**
   * Returns the transaction. Each value that it puts carries the transaction's ID, and keeps the fields unknown to this
   * program.
   */
  finish(transactionId: string): Transaction {
    for (const write of this.writes)
      if (write.data !== undefined)
        write.data = { ...this.replica.unknownFieldsOf(write.key), ...write.data, w: transactionId };
    return { conditions: [...this.conditions.values()], writes: this.writes };
  }

  /** Refuses to overwrite records that are damaged or were written by a newer program: their contents may still be needed. */
  private refuseUnreadable(pending: PendingWrite, { writes }: Transaction): boolean {
    const unreadable = writes.filter((w) => this.replica.unreadableRecords.has(w.key)).map((w) => w.key);
    if (unreadable.length === 0) return false;
    pending.onConflict(unreadable, this.replica.watchRevision);
    return true;
  }

  private fits({ conditions, writes }: Transaction, bytes: number): boolean {
    if (writes.some((w) => this.writtenKeys.has(w.key))) return false;
    const newConditions = conditions.filter((c) => !this.conditions.has(c.key)).length;
    const contradicts = conditions.some(
      (c) => this.conditions.has(c.key) && this.conditions.get(c.key)!.stamp !== c.stamp,
    );
    if (contradicts) return false;
    // The first write is always included, also above the limits: otherwise an oversized write would never be sent.
    if (this.built.length === 0) return true;
    return (
      this.writes.length + writes.length <= this.maxWrites &&
      this.conditions.size + newConditions <= this.limits.maxConditions &&
      this.bytes + bytes <= this.limits.maxBytes
    );
  }

  private include(built: BuiltWrite, bytes: number): void {
    const { conditions, writes } = built.transaction;
    this.bytes += bytes;
    this.built.push(built);
    for (const c of conditions) this.conditions.set(c.key, c);
    for (const w of writes) this.writtenKeys.add(w.key);
    this.writes.push(...writes);
  }
}
