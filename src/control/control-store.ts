import type { CommitOutcome } from '../core/effects.js';
import type { Change, Txn } from '../wire/store.js';

/** What the control service keeps beside the core's records, wherever the store is. */
export interface Kv {
  commit(txn: Txn): Promise<CommitOutcome>;
  /** All keys under a prefix; null: no answer. */
  list(prefix: string): Promise<Change[] | null>;
}

/** A commit that did not go through; whoever asked for it is told to come again. */
export class NotWritten extends Error {}

/** A key that must be as it was. */
export interface Guard {
  key: string;
  stamp: number;
}

/**
 * Puts keys, if the guards hold. An answer that is lost is asked for again: the same values twice are the same. (Then a guard
 * that is among the keys fails, and it is told as not written: whoever asked reads it before anything else.)
 */
export async function put(
  kv: Kv,
  entries: [string, Record<string, unknown> | undefined][],
  guards: Guard[] = [],
): Promise<void> {
  for (let i = 0; i < tries; i++) {
    const o = await kv.commit({ when: guards, apply: entries.map(([key, data]) => ({ key, data })) });
    if (o.type === 'ok') return;
    if (o.type === 'malformed' || o.type === 'conflict') break;
  }
  throw new NotWritten('the store did not take it');
}
const tries = 3;
