import type { CommitOutcome } from '../core/effects.js';
import type { Change, Transaction } from '../wire/store.js';

/** What the control service keeps beside the core's records, wherever the store is. */
export interface ControlStore {
  commit(txn: Transaction): Promise<CommitOutcome>;
  /** All keys under a prefix; null: no answer. */
  list(prefix: string): Promise<Change[] | null>;
}

/** A commit that did not go through; whoever asked for it is told to come again. */
export class StoreUnavailableError extends Error {}

/** A key that must be as it was. */
export interface Precondition {
  key: string;
  stamp: number;
}

/**
 * Puts keys, if the guards hold. An answer that is lost is asked for again: the same values twice are the same. (Then a guard
 * that is among the keys fails, and it is told as not written: whoever asked reads it before anything else.)
 */
export async function putIf(
  store: ControlStore,
  entries: [string, Record<string, unknown> | undefined][],
  preconditions: Precondition[] = [],
): Promise<void> {
  for (let i = 0; i < maxAttempts; i++) {
    const outcome = await store.commit({
      conditions: preconditions,
      writes: entries.map(([key, data]) => ({ key, data })),
    });
    if (outcome.type === 'ok') return;
    if (outcome.type === 'malformed' || outcome.type === 'conflict') break;
  }
  throw new StoreUnavailableError('the store did not take it');
}
const maxAttempts = 3;
