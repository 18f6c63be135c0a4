/** Follows the state service: the first snapshot, then changes by polls or a watch. */
import type { RetryBackoff } from '../retry/index.js';
import type { Change } from '../wire/store.js';
import type { Source } from './service.js';

const watchMs = 2000;

/** What the follower hands on. A reading tells that the view was complete at `sentAt` once it has reached `epoch`. */
export interface FollowerEvents {
  /** A page of the first reading has come. */
  reading(keys: number): void;
  loaded(items: Change[], revision: number): void;
  changed(changes: Change[], revision: number): void;
  read(sentAt: number, revision: number | null): void;
}

/** How often the follower may make requests. */
export interface FollowerPace {
  /** Between two polls; the request budget is shared by all controllers. */
  everyMs: number;
  /** Between two pages of the first reading, and how many may go at once before that. */
  pageMs: number;
  burst: number;
}

/**
 * Follows the state: reads it whole, then its changes. While somebody waits for a fresh view it asks for them
 * over and over, which tells the present revision and brings the view there in one request; otherwise it leaves
 * a watch open. What fails is tried again as the retry policy says, and meanwhile whoever asks is told at once.
 */
export class Follower {
  private from = -1;
  private wanted = -1;
  private asked = false;
  private polling = false;
  private polledAt = -Infinity;
  private timer: NodeJS.Timeout | null = null;
  private wake: (() => void) | null = null;
  private stopped = false;
  private restarts = 0;

  constructor(
    private readonly source: Source,
    private readonly pace: FollowerPace,
    private readonly attempts: RetryBackoff,
    private readonly now: () => number,
    private readonly events: FollowerEvents,
  ) {}

  /** Somebody waits for this revision. */
  hurry(revision: number): void {
    if (revision <= this.from) return;
    this.wanted = Math.max(this.wanted, revision);
    this.ask();
  }

  /** Somebody waits for a view that is as new as now. */
  ask(): void {
    // Guards against a request of every user in an outage: those who ask between two tries are told so at once.
    if (this.attempts.failureCount > 0 && this.now() < this.attempts.notBefore)
      return this.events.read(this.now(), null);
    this.asked = true;
    this.wake?.();
    if (this.from >= 0) this.schedule();
  }

  /** Forgets what it has followed: the state is another one. What was asked for before counts no more. */
  restart(): void {
    this.restarts++;
    this.from = this.wanted = -1;
    this.asked = false;
    this.wake?.();
  }

  /** Ends the following. */
  stop(): void {
    this.stopped = true;
    if (this.timer) clearTimeout(this.timer);
    this.wake?.();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.from < 0) await this.load();
      // Polls bring the changes as long as they follow each other; a watch beside them would bring them twice.
      if (this.polling || this.timer !== null) {
        await this.pause(this.pace.everyMs);
        continue;
      }
      await this.take(watchMs);
      await this.pause(Math.max(this.pace.everyMs * 2, this.attempts.notBefore - this.now()));
    }
  }

  /** Reads everything, page by page. A page that does not come is asked for again: what was read stays good. */
  private async load(): Promise<void> {
    const { restarts } = this;
    const items: Change[] = [];
    let revision = -1;
    let left = this.pace.burst;
    for (let from = ''; !this.stopped;) {
      const page = await this.source.page(from);
      if (restarts !== this.restarts) return;
      if (page === null || page === 'busy') {
        this.attempts.onFailure(this.now());
        if (page === null) this.events.read(this.now(), null);
        this.asked = false;
        await this.pause(Math.max(this.pace.everyMs, this.attempts.notBefore - this.now()));
        continue;
      }
      this.attempts.onSuccess();
      // Changes made since the first page are read behind it.
      if (revision < 0) revision = page.revision;
      for (const i of page.items) items.push(i);
      if (!page.more || page.items.length === 0) break;
      this.events.reading(items.length);
      from = page.items[page.items.length - 1].key;
      if (--left <= 0) await this.sleep(this.pace.pageMs);
    }
    if (this.stopped || restarts !== this.restarts) return;
    this.from = revision;
    this.events.loaded(items, revision);
  }

  private schedule(): void {
    if (this.stopped || this.polling || this.timer !== null) return;
    const at = Math.max(this.polledAt + this.pace.everyMs, this.attempts.notBefore);
    this.timer = setTimeout(
      () => {
        this.timer = null;
        void this.poll();
      },
      Math.max(0, at - this.now()),
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
    const { restarts } = this;
    const r = await this.source.changes(this.from, blockMs);
    if (restarts !== this.restarts) return;
    if (r === 'old') this.from = -1;
    else if (r === 'busy') this.asked = true;
    else if (r === null) {
      this.attempts.onFailure(this.now());
      if (blockMs === 0) this.events.read(sentAt, null);
    } else {
      this.attempts.onSuccess();
      if (this.from >= 0) this.from = Math.max(this.from, r.revision);
      this.events.changed(r.changes, r.revision);
      this.events.read(sentAt, r.revision);
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Ends early when somebody asks. */
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
