/** The store's engine: group commit, leases and watches. */
import type { Log } from '../core/effects.js';
import type { Change, Transaction } from '../wire/store.js';
import type { Disk } from './disk.js';
import type { StoreError } from './errors.js';
import { Keyspace, scan, type Delta, type Entry, type View } from './keyspace.js';

/** The result of a transaction. */
export type Outcome =
  | { type: 'ok'; revision: number }
  | { type: 'conflict'; failed: string[]; revision: number }
  | { type: 'lease-expired' }
  /** The disk failed: whether the transaction is durable is unknown. */
  | { type: 'unknown' };

/** A write that waits for its group to become durable. */
interface PendingWrite {
  /** null: nothing to write; it only waits for the writes before it. */
  delta: Delta | null;
  done(ok: boolean): void;
}

/** A watch that waits for changes. */
interface Watcher {
  wake(): void;
}

/** Limits on a page of keys. */
const maxPageItems = 1000;
const maxPageBytes = 512 * 1024;
/** How often expired leases are ended. Leases may end up to 100 ms late. */
const leaseExpiryIntervalMs = 50;

/**
 * The state service: a keyspace in memory that is made durable by group commit. All pending writes are written to disk as one
 * batch with one sync, and only then acknowledged. Readers see only durable data.
 */
export class Engine {
  private readonly keyspace: Keyspace;
  /** The newest durable state, which readers see. */
  private durableView: View;
  private pendingWrites: PendingWrite[] = [];
  private flushing: Promise<void> | null = null;
  private readonly watchers = new Set<Watcher>();
  private readonly expiryTimer: NodeJS.Timeout;
  private closed = false;
  /** The disk error after which nothing can be written any more; null: none. */
  failure: StoreError | null = null;

  private constructor(
    private readonly disk: Disk,
    keyspace: Keyspace,
    private readonly log: Log,
    private readonly now: () => number,
    /**
     * Called once, when a write to the disk has failed. The keyspace in memory is then ahead of the disk, so the process must
     * restart.
     */
    private readonly onFailure: (e: StoreError) => void,
  ) {
    this.keyspace = keyspace;
    this.durableView = keyspace.view();
    this.expiryTimer = setInterval(() => this.endExpiredLeases(), leaseExpiryIntervalMs);
    this.expiryTimer.unref();
  }

  /** Loads what is on the disk and opens the store. */
  static async open(
    disk: Disk,
    log: Log,
    onFailure: (e: StoreError) => void,
    now = (): number => performance.now(),
  ): Promise<Engine> {
    const startedAt = now();
    const loaded = await disk.load();
    const engine = new Engine(disk, new Keyspace(loaded, now()), log, now, onFailure);
    log('info', 'store open', {
      epoch: engine.revision,
      keys: engine.durableView.keys.size,
      tookMs: Math.round(now() - startedAt),
    });
    return engine;
  }

  /** The newest durable revision. */
  get revision(): number {
    return this.durableView.revision;
  }

  /** Commits a transaction; resolves once it is durable. */
  commit(txn: Transaction): Promise<Outcome> {
    if (this.stopped) return Promise.resolve({ type: 'unknown' });
    const result = this.keyspace.commit(txn, this.now());
    if (result.type === 'lease-expired') return Promise.resolve(result);
    // A conflict, too, reveals changes that may not be durable yet: it is reported only once they are.
    if (result.type === 'conflict' || result.delta === null)
      return this.waitForPending().then((ok) => (ok ? withoutDelta(result) : { type: 'unknown' }));
    return this.makeDurable(result.delta).then((ok) =>
      ok ? { type: 'ok', revision: result.revision } : { type: 'unknown' },
    );
  }

  /** Grants a lease and returns its ID; null: it could not be made durable. */
  async grantLease(ttlMs: number): Promise<number | null> {
    if (this.stopped) return null;
    const { leaseId, delta } = this.keyspace.grantLease(ttlMs, this.now());
    return (await this.makeDurable(delta)) ? leaseId : null;
  }

  /** Renews a lease; false: it has expired or does not exist. */
  renewLease(leaseId: number): boolean {
    return this.keyspace.renewLease(leaseId, this.now());
  }

  /** Renews all leases, for example after an outage. */
  renewAllLeases(): void {
    this.keyspace.renewAllLeases(this.now());
  }

  /** Ends a lease and deletes the keys attached to it; false: there is no such lease, or the disk failed. */
  async endLease(leaseId: number): Promise<boolean> {
    if (this.stopped) return false;
    const delta = this.keyspace.endLease(leaseId);
    return delta !== null && this.makeDurable(delta);
  }

  /** The durable entry of a key, and the revision at which it was read. */
  get(key: string): { entry: Entry | undefined; revision: number } {
    return { entry: this.durableView.keys.get(key), revision: this.durableView.revision };
  }

  /** A page of the keys under a prefix, in order, after `from`. */
  scan(prefix: string, from: string, limit: number): { items: Change[]; more: boolean; revision: number } {
    const page = scan(this.durableView, prefix, from, Math.min(limit, maxPageItems), maxPageBytes);
    return { ...page, revision: this.durableView.revision };
  }

  /**
   * The changes after revision `from` to keys under a prefix; if there are none yet, waits up to `blockMs` for some. 'old': the
   * changes are no longer remembered.
   */
  changes(
    prefix: string,
    from: number,
    blockMs: number,
  ): Promise<{ changes: Change[]; revision: number } | 'old'> {
    const read = (): { changes: Change[]; revision: number } | 'old' => {
      const changes = this.keyspace.changes(prefix, from, this.durableView.revision);
      return changes === null ? 'old' : { changes, revision: this.durableView.revision };
    };
    const first = read();
    if (first === 'old' || first.changes.length > 0 || blockMs <= 0 || this.closed)
      return Promise.resolve(first);
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.watchers.delete(watcher);
        resolve(read());
      };
      const timer = setTimeout(finish, blockMs);
      const watcher = {
        wake: () => {
          const result = read();
          if (result === 'old' || result.changes.length > 0) finish();
        },
      };
      this.watchers.add(watcher);
    });
  }

  /** An immutable view of all durable data, for a snapshot. */
  view(): View {
    return this.durableView;
  }

  /** Ends all watches, waits for pending writes and closes the disk. */
  async close(): Promise<void> {
    this.closed = true;
    clearInterval(this.expiryTimer);
    for (const w of [...this.watchers]) w.wake();
    while (this.flushing) await this.flushing;
    if (!this.failure) await this.disk.close();
  }

  private get stopped(): boolean {
    return this.closed || this.failure !== null;
  }

  private endExpiredLeases(): void {
    if (this.stopped) return;
    for (const leaseId of this.keyspace.expiredLeases(this.now())) {
      const delta = this.keyspace.endLease(leaseId);
      this.log('info', 'lease ended', { hold: leaseId });
      if (delta) void this.makeDurable(delta);
    }
  }

  /** Resolves once everything that is in memory now is durable; false: the disk failed. */
  private waitForPending(): Promise<boolean> {
    if (this.pendingWrites.length === 0 && !this.flushing) return Promise.resolve(true);
    return this.makeDurable(null);
  }

  /** Adds a write to the next group; resolves once it is durable; false: the disk failed. */
  private makeDurable(delta: Delta | null): Promise<boolean> {
    return new Promise((resolve) => {
      this.pendingWrites.push({ delta, done: resolve });
      this.flushing ??= this.flush().finally(() => (this.flushing = null));
    });
  }

  private async flush(): Promise<void> {
    // Writes that are added in the same turn of the event loop join this group.
    await Promise.resolve();
    while (this.pendingWrites.length > 0 && this.failure === null) {
      const group = this.pendingWrites;
      this.pendingWrites = [];
      // Taken before the write: transactions that are committed while it runs are not part of this batch.
      const view = this.keyspace.view();
      const deltas = group.flatMap((w) => (w.delta ? [w.delta] : []));
      try {
        if (deltas.length > 0) await this.disk.write(deltas);
      } catch (e) {
        this.fail(e as StoreError, group);
        return;
      }
      this.durableView = view;
      for (const w of group) w.done(true);
      for (const w of [...this.watchers]) w.wake();
    }
  }

  private fail(e: StoreError, group: PendingWrite[]): void {
    this.failure = e;
    this.log('error', 'store cannot write', { error: e.message });
    for (const w of [...group, ...this.pendingWrites.splice(0)]) w.done(false);
    this.onFailure(e);
  }
}

const withoutDelta = (
  result: { type: 'ok'; revision: number } | { type: 'conflict'; failed: string[]; revision: number },
): Outcome =>
  result.type === 'ok'
    ? { type: 'ok', revision: result.revision }
    : { type: 'conflict', failed: result.failed, revision: result.revision };
