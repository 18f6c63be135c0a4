/** What the service needs of a state service, wherever it is. */
import type { CommitOutcome } from '../core/effects.js';
import type { Change, Transaction } from '../wire/store.js';

/** A page of keys and values. */
export interface Page {
  items: Change[];
  more: boolean;
  revision: number;
}

/** Changes after a revision, up to another. */
export interface Changes {
  changes: Change[];
  revision: number;
}

/** What the follower reads from. */
export interface FollowerSource {
  page(from: string): Promise<Page | 'busy' | null>;
  changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null>;
}

/** The state service as the core needs it, wherever it is. */
export interface StateService extends FollowerSource {
  /** So many keys behind this one; null: no answer. */
  limitedPage(from: string, keys: number): Promise<Page | null>;
  commit(txn: Transaction): Promise<CommitOutcome>;
  /** null: no answer. */
  grantLease(ttlMs: number): Promise<number | null>;
  renewLease(leaseId: number): Promise<'ok' | 'gone' | 'failed'>;
  revokeLease(leaseId: number): Promise<void>;
}
