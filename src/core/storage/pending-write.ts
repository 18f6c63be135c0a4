/** Writes that wait to be grouped into a transaction, and the limits of one. */
import type { Transaction } from '../../wire/store.js';

/** The order in which writes go out when the state service's budget is short. */
export const enum WritePriority {
  membership,
  user,
  /** Placements of urgent work. */
  urgent,
  task,
  provisioning,
  cleanup,
}

/** A change of some keys together. Pending writes share transactions; each gets its own outcome. */
export interface PendingWrite {
  priority: WritePriority;
  /** Called as late as possible; null: no longer wanted. */
  build(): Transaction | null;
  /** Committed at this revision. */
  onCommitted(revision: number): void;
  /** Some of its conditions did not hold; they were checked at `revision` or later. */
  onConflict(failedKeys: string[], revision: number): void;
  /** Certainly not executed. True: discard it; otherwise it is tried again. */
  onUnavailable?(): boolean;
}

/** Conditions that a transaction may have for each operation (PROTOCOL). */
export const conditionsPerOperation = 4;

/** A write whose conditions and changes are part of a transaction. */
export interface BuiltWrite {
  pending: PendingWrite;
  transaction: Transaction;
}

/** Limits of a transaction, and the write budget that all controllers share. */
export interface BatchLimits {
  maxOperations: number;
  maxConditions: number;
  maxBytes: number;
  /** Puts and deletes per second that the state service takes from all controllers together. */
  writesPerS: number;
  /** Controllers that share them. */
  controllers: number;
}
