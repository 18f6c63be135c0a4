/** Follows the state service: reads a snapshot first, then the changes since, by polling or by a watch. */
import type { RetryBackoff } from '../retry/index.js';
import type { Change } from '../wire/store.js';
import type { FollowerSource } from './state-service.js';

/** How long a watch waits for changes before it returns without any. */
const watchDurationMs = 2000;

/** What the follower reports. */
export interface FollowerEvents {
  /** A page of the snapshot was read, though not the last; `keys`: how many keys have been read so far. */
  snapshotProgress(keys: number): void;
  /** The snapshot is complete. Changes after `revision` follow. */
  snapshotLoaded(items: Change[], revision: number): void;
  /** Changes up to `revision`, in order. */
  changesRead(changes: Change[], revision: number): void;
  /**
   * A request for changes, sent at `sentAt`, was answered: a view that has reached `revision` contains everything that was
   * committed before `sentAt`. `revision` null: the request failed, or was not sent because of the backoff.
   */
  revisionRead(sentAt: number, revision: number | null): void;
}

/** Limits on the rate of the follower's requests. */
export interface FollowerLimits {
  /** The least time between two polls, ms. The request budget is shared by all controllers. */
  pollIntervalMs: number;
  /** The time between two pages of the snapshot, ms, after the first `pageBurst` pages. */
  pageIntervalMs: number;
  /** How many pages of the snapshot may be read without a delay. */
  pageBurst: number;
}

/**
 * Follows the state: reads all of it, then the changes since. While a caller waits for a fresh view it polls, since one
 * poll both tells the current revision and brings the view up to it; otherwise it keeps a watch open. Failed requests are
 * retried with backoff; callers that ask during the backoff are told of the failure at once.
 */
export class Follower {
  /** The view contains all changes up to this revision; -1: no snapshot has been loaded. */
  private followedRevision = -1;
  /** The newest revision that a caller waits for; -1: none. */
  private requestedRevision = -1;
  private pollRequested = false;
  private polling = false;
  private lastPollAt = -Infinity;
  private pollTimer: NodeJS.Timeout | null = null;
  /** Ends the current pause early; null: there is no pause. */
  private interruptPause: (() => void) | null = null;
  private stopped = false;
  /** Incremented by each restart, so that results of earlier requests are ignored. */
  private restarts = 0;

  constructor(
    private readonly source: FollowerSource,
    private readonly limits: FollowerLimits,
    private readonly backoff: RetryBackoff,
    private readonly now: () => number,
    private readonly events: FollowerEvents,
  ) {}

  /** Polls until this revision has been reached. */
  requestRevision(revision: number): void {
    if (revision <= this.followedRevision) return;
    this.requestedRevision = Math.max(this.requestedRevision, revision);
    this.requestPoll();
  }

  /** Polls once more, so that a caller gets a view that is at least as new as this call. */
  requestPoll(): void {
    // No request is sent during the backoff: otherwise each user's query would cause one in an outage. Callers are told at once.
    if (this.backoff.failureCount > 0 && this.now() < this.backoff.notBefore)
      return this.events.revisionRead(this.now(), null);
    this.pollRequested = true;
    this.interruptPause?.();
    if (this.followedRevision >= 0) this.schedulePoll();
  }

  /** Starts over with a new snapshot, because the state has been replaced. Earlier requests of callers are dropped. */
  restart(): void {
    this.restarts++;
    this.followedRevision = this.requestedRevision = -1;
    this.pollRequested = false;
    this.interruptPause?.();
  }

  /** Stops following. */
  stop(): void {
    this.stopped = true;
    if (this.pollTimer) clearTimeout(this.pollTimer);
    this.interruptPause?.();
  }

  /** Follows the state until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.followedRevision < 0) await this.loadSnapshot();
      // While polls are under way they return the changes; a concurrent watch would return the same changes twice.
      if (this.polling || this.pollTimer !== null) {
        await this.pause(this.limits.pollIntervalMs);
        continue;
      }
      await this.readChanges(watchDurationMs);
      await this.pause(Math.max(this.limits.pollIntervalMs * 2, this.backoff.notBefore - this.now()));
    }
  }

  /** Reads the whole state, page by page. A page that cannot be read is requested again; the pages before it stay valid. */
  private async loadSnapshot(): Promise<void> {
    const { restarts } = this;
    const items: Change[] = [];
    let revision = -1;
    let burstPagesLeft = this.limits.pageBurst;
    for (let from = ''; !this.stopped;) {
      const page = await this.source.page(from);
      if (restarts !== this.restarts) return;
      if (page === null || page === 'busy') {
        this.backoff.onFailure(this.now());
        if (page === null) this.events.revisionRead(this.now(), null);
        this.pollRequested = false;
        await this.pause(Math.max(this.limits.pollIntervalMs, this.backoff.notBefore - this.now()));
        continue;
      }
      this.backoff.onSuccess();
      // The revision of the first page: changes that are made while later pages are read follow from there.
      if (revision < 0) revision = page.revision;
      for (const i of page.items) items.push(i);
      if (!page.more || page.items.length === 0) break;
      this.events.snapshotProgress(items.length);
      from = page.items[page.items.length - 1].key;
      if (--burstPagesLeft <= 0) await this.sleep(this.limits.pageIntervalMs);
    }
    if (this.stopped || restarts !== this.restarts) return;
    this.followedRevision = revision;
    this.events.snapshotLoaded(items, revision);
  }

  private schedulePoll(): void {
    if (this.stopped || this.polling || this.pollTimer !== null) return;
    const dueAt = Math.max(this.lastPollAt + this.limits.pollIntervalMs, this.backoff.notBefore);
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
      if (blockMs === 0) this.events.revisionRead(sentAt, null);
    } else {
      this.backoff.onSuccess();
      if (this.followedRevision >= 0)
        this.followedRevision = Math.max(this.followedRevision, result.revision);
      this.events.changesRead(result.changes, result.revision);
      this.events.revisionRead(sentAt, result.revision);
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Ends early when a caller requests a poll, or when the follower is restarted or stopped. */
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
