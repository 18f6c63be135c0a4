import type { CommitOutcome } from '../core/effects.js';
import { leadKey, prefix } from '../core/keys.js';
import { HttpClient } from '../net/client.js';
import {
  leaseOut,
  parseEpoch,
  parseFailed,
  parseHold,
  parseItems,
  parseLog,
  scanPath,
  txnOut,
  watchPath,
  type Change,
  type Txn,
} from '../wire/store.js';

const timeoutMs = 2000;
const pageItems = 1000;
const watchMs = 10_000;

/** The state service as the core sees it. */
export class Store {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;

  constructor(addr: string) {
    this.calls = new HttpClient(addr, 6);
    this.watches = new HttpClient(addr, 2);
  }

  async commit(txn: Txn): Promise<CommitOutcome> {
    const r = await this.calls.call('POST', '/commit', txnOut(txn), timeoutMs);
    if (r === null) return { r: 'unknown' };
    if (r.status === 200) {
      const epoch = parseEpoch(r.body);
      return epoch === null ? { r: 'unknown' } : { r: 'ok', epoch };
    }
    if (r.status === 409) {
      const f = parseFailed(r.body);
      return f === null ? { r: 'unknown' } : { r: 'conflict', ...f };
    }
    if (r.status === 400) {
      const why = (r.body as { error?: unknown } | null)?.error;
      return { r: why === 'no such lease' ? 'unleased' : 'malformed' };
    }
    return r.status === 429 || r.status === 503 ? { r: 'refused' } : { r: 'unknown' };
  }

  /** The state's present revision. */
  async epoch(): Promise<number | null> {
    const r = await this.calls.call('GET', `/kv/${leadKey}/epoch`, null, timeoutMs / 2);
    return r?.status === 404 ? parseEpoch(r.body) : null;
  }

  async lease(ttlMs: number): Promise<number | null> {
    const r = await this.calls.call('POST', '/leases', leaseOut(ttlMs), timeoutMs);
    return r?.status === 200 ? parseHold(r.body) : null;
  }

  async renew(hold: number): Promise<'ok' | 'gone' | 'failed'> {
    const r = await this.calls.call('POST', `/leases/${hold}/renew`, {}, timeoutMs);
    return r?.status === 200 ? 'ok' : r?.status === 404 ? 'gone' : 'failed';
  }

  async unlease(hold: number): Promise<void> {
    await this.calls.call('DELETE', `/leases/${hold}`, null, timeoutMs);
  }

  /** Everything under our prefix, or null. The revision is that of the first page. */
  async load(): Promise<{ items: Change[]; epoch: number } | null> {
    const items: Change[] = [];
    let epoch = -1;
    for (let from = ''; ;) {
      const r = await this.calls.call('GET', scanPath(prefix, from, pageItems), null, timeoutMs * 2);
      const page = r?.status === 200 ? parseItems(r.body) : null;
      if (!page) return null;
      if (epoch < 0) epoch = page.epoch;
      for (const i of page.items) items.push(i);
      if (!page.more || page.items.length === 0) return { items, epoch };
      from = page.items[page.items.length - 1].key;
    }
  }

  /** Changes after a revision; 'old' if the service has forgotten them; null if it gave none. */
  async watch(from: number): Promise<{ changes: Change[]; epoch: number } | 'old' | null> {
    const r = await this.watches.call('GET', watchPath(prefix, from, watchMs), null, watchMs + timeoutMs * 2);
    if (r?.status === 410) return 'old';
    return r?.status === 200 ? parseLog(r.body) : null;
  }
}

/** Follows the state: reads it whole, then watches it, pausing between watches to save requests. */
export class Follower {
  private wake: (() => void) | null = null;
  private wanted = -1;
  private from = -1;

  constructor(
    private readonly store: Store,
    private readonly pauseMs: number,
    private readonly loaded: (items: Change[], epoch: number) => void,
    private readonly changed: (changes: Change[], epoch: number) => void,
  ) {}

  /** Somebody waits for this revision: no pause before the next watch. */
  hurry(epoch: number): void {
    if (epoch <= this.from) return;
    this.wanted = Math.max(this.wanted, epoch);
    this.wake?.();
  }

  async run(): Promise<never> {
    for (;;) {
      if (this.from < 0) {
        const all = await this.store.load();
        if (all === null) {
          await this.pause(this.pauseMs * 3);
          continue;
        }
        this.from = all.epoch;
        this.loaded(all.items, all.epoch);
      }
      const r = await this.store.watch(this.from);
      if (r === 'old') {
        this.from = -1;
        continue;
      }
      if (r === null) {
        await this.pause(this.pauseMs * 2);
        continue;
      }
      this.from = Math.max(this.from, r.epoch);
      this.changed(r.changes, r.epoch);
      if (this.wanted <= this.from) await this.pause(this.pauseMs);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(done, ms);
      const self = this as Follower;
      function done() {
        clearTimeout(timer);
        self.wake = null;
        resolve();
      }
      this.wake = done;
    });
  }
}
