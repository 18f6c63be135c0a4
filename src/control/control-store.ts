/** Access to the control service's own records in the store: reads, conditional writes with retries, and their error. */
import type { CommitOutcome } from '../core/effects.js';
import type { Change, Condition, Transaction } from '../wire/store.js';

/** The store operations that the control service's own records need; the store may be embedded or remote. */
export interface ControlStore {
  /** Applies a transaction if all of its conditions hold. */
  commit(transaction: Transaction): Promise<CommitOutcome>;
  /** Lists all entries under a key prefix; null if the store does not answer. */
  list(prefix: string): Promise<Change[] | null>;
}

/** Thrown if the store does not answer a read or does not accept a write. Clients receive a 503 response and retry. */
export class StoreUnavailableError extends Error {
  constructor(readonly operation: 'read' | 'write') {
    super(operation === 'read' ? 'the store does not answer' : 'the store did not take it');
    this.name = 'StoreUnavailableError';
  }
}

/** How often a write is attempted while its outcome is unknown. */
const maxAttempts = 3;

/** Lists all entries under a key prefix; throws `StoreUnavailableError` if the store does not answer. */
export async function listAll(store: ControlStore, prefix: string): Promise<Change[]> {
  const records = await store.list(prefix);
  if (!records) throw new StoreUnavailableError('read');
  return records;
}

/**
 * Writes the entries atomically if all preconditions hold; `undefined` deletes a key. Throws `StoreUnavailableError` if
 * the write is rejected or its outcome stays unknown. A write whose response was lost is repeated, which is safe because it
 * writes the same values. If the write changes a key that is also a precondition, the repetition fails even though the
 * first write was applied, so callers must read again before they retry.
 */
export async function commitWithRetries(
  store: ControlStore,
  entries: [string, Record<string, unknown> | undefined][],
  preconditions: readonly Condition[] = [],
): Promise<void> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const outcome = await store.commit({
      conditions: [...preconditions],
      writes: entries.map(([key, data]) => ({ key, data })),
    });
    if (outcome.type === 'ok') return;
    if (outcome.type === 'malformed' || outcome.type === 'conflict') break;
  }
  throw new StoreUnavailableError('write');
}
