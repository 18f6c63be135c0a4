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

interface Waiting {
  /** null: only waits for what came before. */
  delta: Delta | null;
  done(ok: boolean): void;
}

interface Watcher {
  wake(): void;
}

const mostItems = 1000;
const mostBytes = 512 * 1024;
/** Leases may end up to 100 ms late. */
const sweepMs = 50;

/**
 * The state service: a keyspace in memory, made durable by groups. Whatever waits is written together with one sync, and
 * answered then. Readers see only what is durable.
 */
export class Engine {
  private readonly space: Keyspace;
  private seen: View;
  private waiting: Waiting[] = [];
  private flushing: Promise<void> | null = null;
  private readonly watchers = new Set<Watcher>();
  private readonly timer: NodeJS.Timeout;
  private closed = false;
  /** Why nothing can be written any more. */
  broken: StoreError | null = null;

  private constructor(
    private readonly disk: Disk,
    space: Keyspace,
    private readonly log: Log,
    private readonly now: () => number,
    /** Called once when the disk has failed: what is in memory is ahead of it, so the process has to start anew. */
    private readonly onBroken: (e: StoreError) => void,
  ) {
    this.space = space;
    this.seen = space.view();
    this.timer = setInterval(() => this.sweep(), sweepMs);
    this.timer.unref();
  }

  static async open(
    disk: Disk,
    log: Log,
    onBroken: (e: StoreError) => void,
    now = (): number => performance.now(),
  ): Promise<Engine> {
    const at = now();
    const loaded = await disk.load();
    const engine = new Engine(disk, new Keyspace(loaded, now()), log, now, onBroken);
    log('info', 'store open', {
      epoch: engine.epoch,
      keys: engine.seen.keys.size,
      tookMs: Math.round(now() - at),
    });
    return engine;
  }

  /** The newest durable revision. */
  get epoch(): number {
    return this.seen.epoch;
  }

  commit(txn: Transaction): Promise<Outcome> {
    if (this.stopped) return Promise.resolve({ type: 'unknown' });
    const v = this.space.commit(txn, this.now());
    if (v.type === 'lease-expired') return Promise.resolve(v);
    // A refusal, too, tells of changes that may not be durable yet.
    if (v.type === 'conflict' || v.delta === null)
      return this.behind().then((ok) => (ok ? strip(v) : { type: 'unknown' }));
    return this.durable(v.delta).then((ok) =>
      ok ? { type: 'ok', revision: v.revision } : { type: 'unknown' },
    );
  }

  async lease(ttlMs: number): Promise<number | null> {
    if (this.stopped) return null;
    const { hold, delta } = this.space.lease(ttlMs, this.now());
    return (await this.durable(delta)) ? hold : null;
  }

  renew(hold: number): boolean {
    return this.space.renew(hold, this.now());
  }

  /** Gives every lease its full time again, as after an outage. */
  renewAll(): void {
    this.space.renewAll(this.now());
  }

  async end(hold: number): Promise<boolean> {
    if (this.stopped) return false;
    const delta = this.space.end(hold);
    return delta !== null && this.durable(delta);
  }

  get(key: string): { entry: Entry | undefined; revision: number } {
    return { entry: this.seen.keys.get(key), revision: this.seen.epoch };
  }

  scan(starts: string, from: string, limit: number): { items: Change[]; more: boolean; revision: number } {
    const page = scan(this.seen, starts, from, Math.min(limit, mostItems), mostBytes);
    return { ...page, revision: this.seen.epoch };
  }

  /** Changes after a revision, at once or when there are any; 'old': not remembered any more. */
  changes(
    starts: string,
    from: number,
    blockMs: number,
  ): Promise<{ changes: Change[]; revision: number } | 'old'> {
    const now = (): { changes: Change[]; revision: number } | 'old' => {
      const changes = this.space.changes(starts, from, this.seen.epoch);
      return changes === null ? 'old' : { changes, revision: this.seen.epoch };
    };
    const first = now();
    if (first === 'old' || first.changes.length > 0 || blockMs <= 0 || this.closed)
      return Promise.resolve(first);
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.watchers.delete(watcher);
        resolve(now());
      };
      const timer = setTimeout(end, blockMs);
      const watcher = {
        wake: () => {
          const r = now();
          if (r === 'old' || r.changes.length > 0) end();
        },
      };
      this.watchers.add(watcher);
    });
  }

  /** One moment of the whole store, for a snapshot; it stays as it is. */
  view(): View {
    return this.seen;
  }

  async close(): Promise<void> {
    this.closed = true;
    clearInterval(this.timer);
    for (const w of [...this.watchers]) w.wake();
    while (this.flushing) await this.flushing;
    if (!this.broken) await this.disk.close();
  }

  private get stopped(): boolean {
    return this.closed || this.broken !== null;
  }

  private sweep(): void {
    if (this.stopped) return;
    for (const hold of this.space.due(this.now())) {
      const delta = this.space.end(hold);
      this.log('info', 'lease ended', { hold });
      if (delta) void this.durable(delta);
    }
  }

  /** Resolves once everything that is in memory now is durable. */
  private behind(): Promise<boolean> {
    if (this.waiting.length === 0 && !this.flushing) return Promise.resolve(true);
    return this.durable(null);
  }

  private durable(delta: Delta | null): Promise<boolean> {
    return new Promise((resolve) => {
      this.waiting.push({ delta, done: resolve });
      this.flushing ??= this.flush().finally(() => (this.flushing = null));
    });
  }

  private async flush(): Promise<void> {
    // What comes in the same turn goes along.
    await Promise.resolve();
    while (this.waiting.length > 0 && this.broken === null) {
      const group = this.waiting;
      this.waiting = [];
      // Taken now: what is committed during the write is not durable with it.
      const view = this.space.view();
      const deltas = group.flatMap((w) => (w.delta ? [w.delta] : []));
      try {
        if (deltas.length > 0) await this.disk.write(deltas);
      } catch (e) {
        this.fail(e as StoreError, group);
        return;
      }
      this.seen = view;
      for (const w of group) w.done(true);
      for (const w of [...this.watchers]) w.wake();
    }
  }

  private fail(e: StoreError, group: Waiting[]): void {
    this.broken = e;
    this.log('error', 'store cannot write', { error: e.message });
    for (const w of [...group, ...this.waiting.splice(0)]) w.done(false);
    this.onBroken(e);
  }
}

const strip = (
  v: { type: 'ok'; revision: number } | { type: 'conflict'; failed: string[]; revision: number },
): Outcome =>
  v.type === 'ok'
    ? { type: 'ok', revision: v.revision }
    : { type: 'conflict', failed: v.failed, revision: v.revision };
