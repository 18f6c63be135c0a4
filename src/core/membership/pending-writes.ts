/** Writes of membership records, with at most one pending write per name. */
import type { Transaction } from '../../wire/store.js';
import { type TransactionBatcher, WritePriority } from '../storage/index.js';

/**
 * Enqueues writes of membership records. While a write is pending, others of the same name are dropped. Callers decide again
 * in every step, so a dropped write is enqueued later if it is still needed.
 */
export class PendingWrites {
  private readonly pending = new Set<string>();

  constructor(private readonly batcher: TransactionBatcher) {}

  /** Whether a write of this name has been enqueued and its outcome is not known yet. */
  has(name: string): boolean {
    return this.pending.has(name);
  }

  /** Enqueues a write. `build` is called when the transaction is assembled; it returns null if the write is obsolete. */
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
