/** Pending writes, which are grouped into transactions, and the limits of a transaction. */
import type { Transaction } from '../../wire/store.js';

/** Priorities of writes when the write budget of the state service is short, highest first. */
export const enum WritePriority {
  membership,
  user,
  /** Placements of tasks of urgent jobs. */
  urgent,
  task,
  provisioning,
  cleanup,
}

/** An atomic change of one or more keys. Several pending writes may share a transaction; each gets an outcome of its own. */
export interface PendingWrite {
  priority: WritePriority;
  /** Builds the change, as late as possible before it is sent; null if it is no longer needed. */
  build(): Transaction | null;
  /** Called when the write has been committed, with the revision of the commit. */
  onCommitted(revision: number): void;
  /** Called when some of its conditions did not hold; they were checked at `revision` or later. */
  onConflict(failedKeys: string[], revision: number): void;
  /** Called when the write was certainly not executed. Returns true to discard it; otherwise it is retried. */
  onUnavailable?(): boolean;
}

/** How many conditions the state service accepts in a transaction per operation (see PROTOCOL). */
export const conditionsPerOperation = 4;

/** A pending write, and its conditions and changes as they are part of a transaction. */
export interface BuiltWrite {
  pending: PendingWrite;
  transaction: Transaction;
}

/** The limits of a transaction, and the write budget that all controllers share. */
export interface BatchLimits {
  maxOperations: number;
  maxConditions: number;
  maxBytes: number;
  /** Puts and deletes per second that the state service accepts from all controllers together. */
  writesPerS: number;
  /** How many controllers share the write budget. */
  controllers: number;
}
