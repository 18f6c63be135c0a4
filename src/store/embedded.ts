/** The state service embedded in the process that uses it. */
import type { CommitOutcome } from '../core/effects.js';
import { keyPrefix } from '../core/storage/index.js';
import type { Changes, Page, StateService } from '../state/state-service.js';
import type { Change, Transaction } from '../wire/store.js';
import type { Engine } from './engine.js';

const keysPerPage = 1000;

/** A state service whose engine runs in this process. */
export class EmbeddedStore implements StateService {
  constructor(private readonly engine: Engine) {}

  /** Commits a transaction. */
  async commit(txn: Transaction): Promise<CommitOutcome> {
    return this.engine.commit(txn);
  }

  /** Grants a lease and returns its ID; null: it could not be made durable. */
  grantLease(ttlMs: number): Promise<number | null> {
    return this.engine.grantLease(ttlMs);
  }

  /** Renews a lease. 'gone': it has expired or was revoked; 'failed': the engine has failed. */
  async renewLease(leaseId: number): Promise<'ok' | 'gone' | 'failed'> {
    if (this.engine.failure) return 'failed';
    return this.engine.renewLease(leaseId) ? 'ok' : 'gone';
  }

  /** Ends a lease, which deletes the keys attached to it. */
  async revokeLease(leaseId: number): Promise<void> {
    await this.engine.endLease(leaseId);
  }

  /** A page of the keys under the controllers' prefix, in order, after `from`; null: the engine has failed. */
  async page(from: string): Promise<Page | 'busy' | null> {
    return this.engine.failure ? null : this.engine.scan(keyPrefix, from, keysPerPage);
  }

  /** At most `keys` keys after `from`; null: the engine has failed. */
  async limitedPage(from: string, keys: number): Promise<Page | null> {
    return this.engine.failure ? null : this.engine.scan(keyPrefix, from, keys);
  }

  /** All keys under any prefix; null: the engine has failed. */
  async list(prefix: string): Promise<Change[] | null> {
    const all: Change[] = [];
    for (let from = ''; ;) {
      if (this.engine.failure) return null;
      const page = this.engine.scan(prefix, from, keysPerPage);
      for (const i of page.items) all.push(i);
      if (!page.more || page.items.length === 0) return all;
      from = page.items[page.items.length - 1].key;
    }
  }

  /**
   * The changes after revision `from`; if there are none yet, waits up to `blockMs` for some. 'old': they are no longer
   * remembered; null: the engine has failed.
   */
  async changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null> {
    return this.engine.failure ? null : this.engine.changes(keyPrefix, from, blockMs);
  }
}
