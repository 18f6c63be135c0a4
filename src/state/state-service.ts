/** The interface of the state service, embedded or remote, that a controller depends on. */
import type { CommitOutcome } from '../core/effects.js';
import type { Change, Transaction } from '../wire/store.js';

/** A page of keys and values, in order of keys. */
export interface Page {
  items: Change[];
  /** Whether there are more keys after the page. */
  more: boolean;
  /** The revision at which the page was read. */
  revision: number;
}

/** The changes after a requested revision, up to `revision`. */
export interface Changes {
  changes: Change[];
  revision: number;
}

/** The reads that the follower needs. */
export interface FollowerSource {
  /** A page of the controllers' keys after `from`; 'busy': the rate limit was exceeded; null: no answer. */
  page(from: string): Promise<Page | 'busy' | null>;
  /**
   * The changes after revision `from`; if there are none yet, waits up to `blockMs` for some. 'old': the service no longer
   * remembers them; 'busy': the rate limit was exceeded; null: no answer.
   */
  changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null>;
}

/** The state service, embedded or remote. */
export interface StateService extends FollowerSource {
  /** At most `keys` keys after `from`; null: no answer. */
  limitedPage(from: string, keys: number): Promise<Page | null>;
  /** Commits a transaction. */
  commit(txn: Transaction): Promise<CommitOutcome>;
  /** Grants a lease and returns its ID; null: no answer. */
  grantLease(ttlMs: number): Promise<number | null>;
  /** Renews a lease. 'gone': it has expired or was revoked; 'failed': whether it was renewed is unknown. */
  renewLease(leaseId: number): Promise<'ok' | 'gone' | 'failed'>;
  /** Ends a lease, which deletes the keys attached to it. */
  revokeLease(leaseId: number): Promise<void>;
}
