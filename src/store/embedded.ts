/** The store in this process, as the core's state service. */
import type { CommitOutcome } from '../core/effects.js';
import { keyPrefix } from '../core/storage/index.js';
import type { Changes, Page, StateService } from '../state/service.js';
import type { Change, Transaction } from '../wire/store.js';
import type { Engine } from './engine.js';

const keysPerPage = 1000;

/** An engine in this process, as the core's state service. */
export class EmbeddedStore implements StateService {
  constructor(private readonly engine: Engine) {}

  async commit(txn: Transaction): Promise<CommitOutcome> {
    return this.engine.commit(txn);
  }

  grantLease(ttlMs: number): Promise<number | null> {
    return this.engine.grantLease(ttlMs);
  }

  async renewLease(leaseId: number): Promise<'ok' | 'gone' | 'failed'> {
    if (this.engine.failure) return 'failed';
    return this.engine.renewLease(leaseId) ? 'ok' : 'gone';
  }

  async revokeLease(leaseId: number): Promise<void> {
    await this.engine.endLease(leaseId);
  }

  async page(from: string): Promise<Page | 'busy' | null> {
    return this.engine.failure ? null : this.engine.scan(keyPrefix, from, keysPerPage);
  }

  async limitedPage(from: string, keys: number): Promise<Page | null> {
    return this.engine.failure ? null : this.engine.scan(keyPrefix, from, keys);
  }

  /** All keys under a prefix of somebody else's. */
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

  async changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null> {
    return this.engine.failure ? null : this.engine.changes(keyPrefix, from, blockMs);
  }
}
