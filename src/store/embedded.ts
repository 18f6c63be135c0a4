/** The store in this process, as the core's state service. */
import type { CommitOutcome } from '../core/effects.js';
import { keyPrefix } from '../core/storage/index.js';
import type { Changes, Page, StateService } from '../state/service.js';
import type { Change, Transaction } from '../wire/store.js';
import type { Engine } from './engine.js';

const pageItems = 1000;

/** An engine in this process, as the core's state service. */
export class EmbeddedStore implements StateService {
  constructor(private readonly engine: Engine) {}

  async commit(txn: Transaction): Promise<CommitOutcome> {
    return this.engine.commit(txn);
  }

  lease(ttlMs: number): Promise<number | null> {
    return this.engine.lease(ttlMs);
  }

  async renew(hold: number): Promise<'ok' | 'gone' | 'failed'> {
    if (this.engine.broken) return 'failed';
    return this.engine.renew(hold) ? 'ok' : 'gone';
  }

  async unlease(hold: number): Promise<void> {
    await this.engine.end(hold);
  }

  async page(from: string): Promise<Page | 'busy' | null> {
    return this.engine.broken ? null : this.engine.scan(keyPrefix, from, pageItems);
  }

  async part(from: string, keys: number): Promise<Page | null> {
    return this.engine.broken ? null : this.engine.scan(keyPrefix, from, keys);
  }

  /** All keys under a prefix of somebody else's. */
  async list(starts: string): Promise<Change[] | null> {
    const all: Change[] = [];
    for (let from = ''; ;) {
      if (this.engine.broken) return null;
      const page = this.engine.scan(starts, from, pageItems);
      for (const i of page.items) all.push(i);
      if (!page.more || page.items.length === 0) return all;
      from = page.items[page.items.length - 1].key;
    }
  }

  async changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null> {
    return this.engine.broken ? null : this.engine.changes(keyPrefix, from, blockMs);
  }
}
