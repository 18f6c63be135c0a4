import type { CommitOutcome } from '../core/effects.js';
import type { Txn } from '../wire/store.js';
import type { Source } from './follower.js';

/** The state service as the core needs it, wherever it is. */
export interface StateService extends Source {
  commit(txn: Txn): Promise<CommitOutcome>;
  /** null: no answer. */
  lease(ttlMs: number): Promise<number | null>;
  renew(hold: number): Promise<'ok' | 'gone' | 'failed'>;
  unlease(hold: number): Promise<void>;
}
