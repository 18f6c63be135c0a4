import type { CommitOutcome } from '../core/effects.js';
import { prefix } from '../core/keys.js';
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
const watchMs = 2000;

/** The state service as the core sees it. */
export class Store {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;

  constructor(addr: string) {
    this.calls = new HttpClient(addr, 6);
    this.watches = new HttpClient(addr, 3);
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
    if (r.status === 429) return { r: 'busy' };
    return r.status === 503 ? { r: 'refused' } : { r: 'unknown' };
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

  /**
   * Changes after a revision, at once or as soon as there are any; 'old' if the service has forgotten them; null
   * if it gave none.
   */
  async changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null> {
    const path = watchPath(prefix, from, blockMs);
    const r = await this.watches.call('GET', path, null, blockMs + timeoutMs);
    if (r?.status === 410) return 'old';
    if (r?.status === 429) return 'busy';
    return r?.status === 200 ? parseLog(r.body) : null;
  }
}

interface Changes {
  changes: Change[];
  epoch: number;
}

/** What the follower hands on. A reading tells that the view was complete at `sentAt` once it has reached `epoch`. */
export interface FollowerEvents {
  loaded(items: Change[], epoch: number): void;
  changed(changes: Change[], epoch: number): void;
  read(sentAt: number, epoch: number | null): void;
}

/**
 * Follows the state: reads it whole, then its changes. While somebody waits for a fresh view it asks for them
 * over and over, which tells the present revision and brings the view there in one request; otherwise it leaves
 * a watch open. `everyMs` apart at least: the request budget is shared by all controllers.
 */
export class Follower {
  private from = -1;
  private wanted = -1;
  private asked = false;
  private polling = false;
  private polledAt = -Infinity;
  private timer: NodeJS.Timeout | null = null;
  private wake: (() => void) | null = null;

  constructor(
    private readonly store: Store,
    private readonly everyMs: number,
    private readonly now: () => number,
    private readonly events: FollowerEvents,
  ) {}

  /** Somebody waits for this revision. */
  hurry(epoch: number): void {
    if (epoch <= this.from) return;
    this.wanted = Math.max(this.wanted, epoch);
    this.ask();
  }

  /** Somebody waits for a view that is as new as now. */
  ask(): void {
    this.asked = true;
    this.wake?.();
    if (this.from >= 0) this.schedule();
  }

  async run(): Promise<never> {
    for (;;) {
      if (this.from < 0) {
        const all = await this.store.load();
        if (all === null) {
          if (this.asked) this.events.read(this.now(), null);
          await this.pause(this.everyMs * 4);
          continue;
        }
        this.from = all.epoch;
        this.events.loaded(all.items, all.epoch);
      }
      // Polls bring the changes as long as they follow each other; a watch beside them would bring them twice.
      if (this.polling || this.timer !== null) {
        await this.pause(this.everyMs);
        continue;
      }
      await this.take(watchMs);
      await this.pause(this.everyMs * 2);
    }
  }

  private schedule(): void {
    if (this.polling || this.timer !== null) return;
    this.timer = setTimeout(
      () => {
        this.timer = null;
        void this.poll();
      },
      Math.max(0, this.polledAt + this.everyMs - this.now()),
    );
  }

  private async poll(): Promise<void> {
    this.polling = true;
    this.asked = false;
    this.polledAt = this.now();
    await this.take(0);
    this.polling = false;
    if (this.from >= 0 && (this.asked || this.wanted > this.from)) this.schedule();
  }

  private async take(blockMs: number): Promise<void> {
    const sentAt = this.now();
    const r = await this.store.changes(this.from, blockMs);
    if (r === 'old') this.from = -1;
    else if (r === 'busy') this.asked = true;
    else if (r === null) {
      if (blockMs === 0) this.events.read(sentAt, null);
    } else {
      if (this.from >= 0) this.from = Math.max(this.from, r.epoch);
      this.events.changed(r.changes, r.epoch);
      this.events.read(sentAt, r.epoch);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.wake = null;
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.wake = done;
    });
  }
}
