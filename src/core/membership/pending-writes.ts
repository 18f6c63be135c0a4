/** Writes of membership records, with at most one pending write per name. */
import type { Transaction } from '../../wire/store.js';
import { type TransactionBatcher, WritePriority } from '../storage/index.js';

/**
 * Enqueues writes of membership records. While a write is pending, others of the same name are dropped: the caller
 * decides again on every step, so that a dropped write is enqueued anew if it is still needed.
 */
export class PendingWrites {
  private readonly pending = new Set<string>();

  constructor(private readonly batcher: TransactionBatcher) {}

  /** Whether a write of this name has been enqueued and has no outcome yet. */
  has(name: string): boolean {
    return this.pending.has(name);
  }

  /** Enqueues a write. `build` runs when the transaction is put together; null: the write is no longer wanted. */
  enqueue(name: string, build: () => Transaction | null): void {
    if (this.pending.has(name)) return;
    this.pending.add(name);
    const settle = (): void => void this.pending.delete(name);
    this.batcher.enqueue({
      priority: WritePriority.membership,
      build: () => {
        const transaction = build();
        if (transaction === null) settle();
        return transaction;
      },
      onCommitted: settle,
      onConflict: settle,
    });
  }
}
