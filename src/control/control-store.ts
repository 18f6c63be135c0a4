/** The control service's own records in the store: conditional writes with retries, and the error for a store that fails. */
import type { CommitOutcome } from '../core/effects.js';
import type { Change, Condition, Transaction } from '../wire/store.js';

/** The part of a store that the control service's own records need, embedded or remote. */
export interface ControlStore {
  commit(transaction: Transaction): Promise<CommitOutcome>;
  /** All keys under a prefix; null if the store does not answer. */
  list(prefix: string): Promise<Change[] | null>;
}

/** The store did not answer a read or did not accept a write. Clients are answered 503 and retry. */
export class StoreUnavailableError extends Error {
  constructor(readonly operation: 'read' | 'write') {
    super(operation === 'read' ? 'the store does not answer' : 'the store did not take it');
    this.name = 'StoreUnavailableError';
  }
}

/** A write is attempted so often if its outcome is unknown. */
const maxAttempts = 3;

/** Lists all keys under a prefix; throws if the store does not answer. */
export async function listAll(store: ControlStore, prefix: string): Promise<Change[]> {
  const records = await store.list(prefix);
  if (!records) throw new StoreUnavailableError('read');
  return records;
}

/**
 * Compare-and-swap: writes the entries (`undefined` deletes a key) if all preconditions hold, else throws. A write whose
 * response was lost is repeated, which is safe because it writes the same values. If a precondition is itself among the
 * written keys, the repetition fails although the first write was applied: callers read again before they retry.
 */
export async function putIf(
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
