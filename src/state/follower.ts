/** Follows the state service: the first snapshot, then changes by polls or a watch. */
import type { RetryBackoff } from '../retry/index.js';
import type { Change } from '../wire/store.js';
import type { FollowerSource } from './service.js';

const watchDurationMs = 2000;

/** What the follower hands on. A reading tells that the view was complete at `sentAt` once it has reached `epoch`. */
export interface FollowerEvents {
  /** A page of the first reading has come. */
  reading(keys: number): void;
  loaded(items: Change[], revision: number): void;
  changed(changes: Change[], revision: number): void;
  read(sentAt: number, revision: number | null): void;
}

/** How often the follower may make requests. */
export interface FollowerLimits {
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
  private followedRevision = -1;
  private requestedRevision = -1;
  private pollRequested = false;
  private polling = false;
  private lastPollAt = -Infinity;
  private pollTimer: NodeJS.Timeout | null = null;
  private interruptPause: (() => void) | null = null;
  private stopped = false;
  private restarts = 0;

  constructor(
    private readonly source: FollowerSource,
    private readonly limits: FollowerLimits,
    private readonly backoff: RetryBackoff,
    private readonly now: () => number,
    private readonly events: FollowerEvents,
  ) {}

  /** Somebody waits for this revision. */
  requestRevision(revision: number): void {
    if (revision <= this.followedRevision) return;
    this.requestedRevision = Math.max(this.requestedRevision, revision);
    this.requestPoll();
  }

  /** Somebody waits for a view that is as new as now. */
  requestPoll(): void {
    // Guards against a request of every user in an outage: those who ask between two tries are told so at once.
    if (this.backoff.failureCount > 0 && this.now() < this.backoff.notBefore)
      return this.events.read(this.now(), null);
    this.pollRequested = true;
    this.interruptPause?.();
    if (this.followedRevision >= 0) this.schedulePoll();
  }

  /** Forgets what it has followed: the state is another one. What was asked for before counts no more. */
  restart(): void {
    this.restarts++;
    this.followedRevision = this.requestedRevision = -1;
    this.pollRequested = false;
    this.interruptPause?.();
  }

  /** Ends the following. */
  stop(): void {
    this.stopped = true;
    if (this.pollTimer) clearTimeout(this.pollTimer);
    this.interruptPause?.();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.followedRevision < 0) await this.loadSnapshot();
      // Polls bring the changes as long as they follow each other; a watch beside them would bring them twice.
      if (this.polling || this.pollTimer !== null) {
        await this.pause(this.limits.everyMs);
        continue;
      }
      await this.readChanges(watchDurationMs);
      await this.pause(Math.max(this.limits.everyMs * 2, this.backoff.notBefore - this.now()));
    }
  }

  /** Reads everything, page by page. A page that does not come is asked for again: what was read stays good. */
  private async loadSnapshot(): Promise<void> {
    const { restarts } = this;
    const items: Change[] = [];
    let revision = -1;
    let burstPagesLeft = this.limits.burst;
    for (let from = ''; !this.stopped;) {
      const page = await this.source.page(from);
      if (restarts !== this.restarts) return;
      if (page === null || page === 'busy') {
        this.backoff.onFailure(this.now());
        if (page === null) this.events.read(this.now(), null);
        this.pollRequested = false;
        await this.pause(Math.max(this.limits.everyMs, this.backoff.notBefore - this.now()));
        continue;
      }
      this.backoff.onSuccess();
      // Changes made since the first page are read behind it.
      if (revision < 0) revision = page.revision;
      for (const i of page.items) items.push(i);
      if (!page.more || page.items.length === 0) break;
      this.events.reading(items.length);
      from = page.items[page.items.length - 1].key;
      if (--burstPagesLeft <= 0) await this.sleep(this.limits.pageMs);
    }
    if (this.stopped || restarts !== this.restarts) return;
    this.followedRevision = revision;
    this.events.loaded(items, revision);
  }

  private schedulePoll(): void {
    if (this.stopped || this.polling || this.pollTimer !== null) return;
    const dueAt = Math.max(this.lastPollAt + this.limits.everyMs, this.backoff.notBefore);
    this.pollTimer = setTimeout(
      () => {
        this.pollTimer = null;
        void this.poll();
      },
      Math.max(0, dueAt - this.now()),
    );
  }

  private async poll(): Promise<void> {
    this.polling = true;
    this.pollRequested = false;
    this.lastPollAt = this.now();
    await this.readChanges(0);
    this.polling = false;
    if (this.followedRevision >= 0 && (this.pollRequested || this.requestedRevision > this.followedRevision))
      this.schedulePoll();
  }

  private async readChanges(blockMs: number): Promise<void> {
    const sentAt = this.now();
    const { restarts } = this;
    const result = await this.source.changes(this.followedRevision, blockMs);
    if (restarts !== this.restarts) return;
    if (result === 'old') this.followedRevision = -1;
    else if (result === 'busy') this.pollRequested = true;
    else if (result === null) {
      this.backoff.onFailure(this.now());
      if (blockMs === 0) this.events.read(sentAt, null);
    } else {
      this.backoff.onSuccess();
      if (this.followedRevision >= 0)
        this.followedRevision = Math.max(this.followedRevision, result.revision);
      this.events.changed(result.changes, result.revision);
      this.events.read(sentAt, result.revision);
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
        this.interruptPause = null;
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.interruptPause = done;
    });
  }
}
