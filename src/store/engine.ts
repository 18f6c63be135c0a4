/** The store: commits made durable in groups, leases, watches. */
import type { Log } from '../core/effects.js';
import type { Change, Transaction } from '../wire/store.js';
import type { Disk } from './disk.js';
import type { StoreError } from './errors.js';
import { Keyspace, scan, type Delta, type Entry, type View } from './keyspace.js';

export type Outcome =
  | { type: 'ok'; revision: number }
  | { type: 'conflict'; failed: string[]; revision: number }
  | { type: 'lease-expired' }
  /** The disk failed: it may be durable or not. */
  | { type: 'unknown' };

interface PendingWrite {
  /** null: only waits for what came before. */
  delta: Delta | null;
  done(ok: boolean): void;
}

interface Watcher {
  wake(): void;
}

const maxPageItems = 1000;
const maxPageBytes = 512 * 1024;
/** Leases may end up to 100 ms late. */
const leaseExpiryIntervalMs = 50;

/**
 * The state service: a keyspace in memory, made durable by groups. Whatever waits is written together with one sync, and
 * answered then. Readers see only what is durable.
 */
export class Engine {
  private readonly keyspace: Keyspace;
  private durableView: View;
  private pendingWrites: PendingWrite[] = [];
  private flushing: Promise<void> | null = null;
  private readonly watchers = new Set<Watcher>();
  private readonly expiryTimer: NodeJS.Timeout;
  private closed = false;
  /** Why nothing can be written any more. */
  failure: StoreError | null = null;

  private constructor(
    private readonly disk: Disk,
    space: Keyspace,
    private readonly log: Log,
    private readonly now: () => number,
    /** Called once when the disk has failed: what is in memory is ahead of it, so the process has to start anew. */
    private readonly onFailure: (e: StoreError) => void,
  ) {
    this.keyspace = space;
    this.durableView = space.view();
    this.expiryTimer = setInterval(() => this.endExpiredLeases(), leaseExpiryIntervalMs);
    this.expiryTimer.unref();
  }

  static async open(
    disk: Disk,
    log: Log,
    onBroken: (e: StoreError) => void,
    now = (): number => performance.now(),
  ): Promise<Engine> {
    const startedAt = now();
    const loaded = await disk.load();
    const engine = new Engine(disk, new Keyspace(loaded, now()), log, now, onBroken);
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

  commit(txn: Transaction): Promise<Outcome> {
    if (this.stopped) return Promise.resolve({ type: 'unknown' });
    const result = this.keyspace.commit(txn, this.now());
    if (result.type === 'lease-expired') return Promise.resolve(result);
    // A refusal, too, tells of changes that may not be durable yet.
    if (result.type === 'conflict' || result.delta === null)
      return this.waitForPending().then((ok) => (ok ? withoutDelta(result) : { type: 'unknown' }));
    return this.makeDurable(result.delta).then((ok) =>
      ok ? { type: 'ok', revision: result.revision } : { type: 'unknown' },
    );
  }

  async grantLease(ttlMs: number): Promise<number | null> {
    if (this.stopped) return null;
    const { leaseId, delta } = this.keyspace.grantLease(ttlMs, this.now());
    return (await this.makeDurable(delta)) ? leaseId : null;
  }

  renewLease(leaseId: number): boolean {
    return this.keyspace.renewLease(leaseId, this.now());
  }

  /** Gives every lease its full time again, as after an outage. */
  renewAll(): void {
    this.keyspace.renewAllLeases(this.now());
  }

  async endLease(leaseId: number): Promise<boolean> {
    if (this.stopped) return false;
    const delta = this.keyspace.endLease(leaseId);
    return delta !== null && this.makeDurable(delta);
  }

  get(key: string): { entry: Entry | undefined; revision: number } {
    return { entry: this.durableView.keys.get(key), revision: this.durableView.revision };
  }

  scan(prefix: string, from: string, limit: number): { items: Change[]; more: boolean; revision: number } {
    const page = scan(this.durableView, prefix, from, Math.min(limit, maxPageItems), maxPageBytes);
    return { ...page, revision: this.durableView.revision };
  }

  /** Changes after a revision, at once or when there are any; 'old': not remembered any more. */
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

  /** One moment of the whole store, for a snapshot; it stays as it is. */
  view(): View {
    return this.durableView;
  }

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

  /** Resolves once everything that is in memory now is durable. */
  private waitForPending(): Promise<boolean> {
    if (this.pendingWrites.length === 0 && !this.flushing) return Promise.resolve(true);
    return this.makeDurable(null);
  }

  private makeDurable(delta: Delta | null): Promise<boolean> {
    return new Promise((resolve) => {
      this.pendingWrites.push({ delta, done: resolve });
      this.flushing ??= this.flush().finally(() => (this.flushing = null));
    });
  }

  private async flush(): Promise<void> {
    // What comes in the same turn goes along.
    await Promise.resolve();
    while (this.pendingWrites.length > 0 && this.failure === null) {
      const group = this.pendingWrites;
      this.pendingWrites = [];
      // Taken now: what is committed during the write is not durable with it.
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
