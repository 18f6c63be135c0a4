/** Groups waiting writes into one transaction, within the limits of the state service. */
import { encodeTransaction, type Condition, type Transaction, type Write } from '../../wire/store.js';
import type { Replica } from '../replica.js';
import { incarnationKey, levelKey } from './keys.js';
import type { BatchLimits, BuiltWrite, PendingWrite } from './pending-write.js';

/** Limits of one transaction beside those that all have. */
export interface BuildOptions {
  readonly maxWrites: number;
  /** One pending write only. */
  readonly singly: boolean;
}

/**
 * A transaction that is being built. Each is on condition that the level in force is the one it was built at: nobody writes an
 * old format after a switch or a new one before it, however late a transaction is carried out.
 */
export class TransactionBuilder {
  readonly built: BuiltWrite[] = [];
  readonly maxWrites: number;
  private readonly conditions = new Map<string, Condition>();
  private readonly writes: Write[] = [];
  private readonly writtenKeys = new Set<string>();
  private bytes = 0;
  /** Writes that were built and did not fit; a few are enough, or every transaction would build the whole queue. */
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

  /** Nothing more is to be taken. */
  get isFull(): boolean {
    return (
      this.writes.length >= this.maxWrites ||
      this.skippedCount >= this.limits.maxOperations ||
      (this.options.singly && this.built.length > 0)
    );
  }

  /**
   * Takes writes from the head of a queue, which stays as it is.
   * Returns how many operations were taken, how many entries were examined, and those among them that stay in the queue.
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

  /** The transaction. Each value that it puts is marked, and keeps the fields that this program does not know. */
  finish(mark: string): Transaction {
    for (const write of this.writes)
      if (write.data !== undefined)
        write.data = { ...this.replica.unknownFieldsOf(write.key), ...write.data, w: mark };
    return { conditions: [...this.conditions.values()], writes: this.writes };
  }

  /** Guards against writing over what a newer program wrote, or what is damaged: somebody may need it. */
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
    // Guards against a write that is never sent: alone it may exceed the limits.
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
