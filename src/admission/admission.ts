/** Admission control: which submissions are accepted next, and which are rejected with a Retry-After time. */
import { FairQueue, type QueueEntry } from './fair-queue.js';
import { RejectionTracker, type Rejection } from './rejection-tracker.js';

/** An entry that was rejected, and the delay after which its user should retry. */
export interface RejectedEntry<T> {
  readonly entry: T;
  readonly retryAfterS: number;
}

/** The limits of an admission queue. */
export interface AdmissionLimits {
  /** The most entries that may wait at the same time. */
  readonly maxQueued: number;
  /** An entry that is expected to wait longer than this is rejected at once, ms. */
  readonly maxQueueWaitMs: number;
  /** The time after its first attempt during which a user retries, ms. */
  readonly retryWindowMs: number;
  /** The longest Retry-After time that users honor, ms. */
  readonly maxRetryAfterMs: number;
  /** The most rejected jobs that are remembered. */
  readonly maxTrackedRejections: number;
}

/** Random variation of the delay, as a share of it, so that users who are rejected together do not retry together. */
const retryJitter = 0.25;
/** Entries of a class that may wait regardless of its rate. */
const minClassCapacity = 2;
/** The last retry should arrive this long before the user stops trying, ms. */
const finalRetryMarginMs = 3000;
/** If less time than this remains until the last retry, it no longer limits the delay, ms. */
const minRemainingMs = 1000;
/** Lower bound of a class's admission rate when a delay is calculated, jobs per second. */
const minClassRate = 1e-3;
const minRetryAfterS = 1;

/**
 * Admits jobs at the rate at which they can be written, fairly by team and class. A job that cannot be admitted within the
 * longest allowed wait is rejected at once, with a Retry-After time. Within a class, the job with the oldest first attempt is
 * admitted first, and displaces the one with the newest.
 */
export class AdmissionQueue<T extends QueueEntry> {
  private readonly queue: FairQueue<T>;
  /** The jobs that were rejected and may be submitted again. */
  readonly rejectionTracker: RejectionTracker;
  /** Jobs per second that this controller may admit. */
  jobsPerS = 1;
  /** Jobs per second that all controllers together may admit. */
  totalJobsPerS = 1;

  constructor(
    private readonly limits: AdmissionLimits,
    teamWeight: (team: string) => number,
    classWeight: (entry: T) => number,
    private readonly random: () => number,
  ) {
    this.queue = new FairQueue(teamWeight, classWeight);
    this.rejectionTracker = new RejectionTracker(limits.maxTrackedRejections, limits.retryWindowMs);
  }

  /** The number of waiting entries. */
  get size(): number {
    return this.queue.size;
  }

  /** Offers an entry. Returns the entry that is rejected in exchange: the offered one, a newer one of its class, or none. */
  offer(entry: T, now: number): RejectedEntry<T> | null {
    entry.firstAttemptAt = Math.min(
      entry.firstAttemptAt,
      this.rejectionTracker.firstAttemptAt(entry.id) ?? Infinity,
    );
    const capacity = this.jobsPerS * (this.limits.maxQueueWaitMs / 1000);
    const isFull = this.queue.size >= this.limits.maxQueued;
    // As long as all waiting entries can be admitted in time, shares do not matter.
    const isCrowded = isFull || this.queue.size >= capacity;
    const classCapacity = isCrowded
      ? Math.max(minClassCapacity, capacity * this.queue.shareOf(entry))
      : Infinity;
    const { ahead, total } = this.queue.position(entry);
    if (ahead >= classCapacity || (isFull && total === 0)) return this.reject(entry, now);
    const displaced = total + 1 > classCapacity || isFull ? this.queue.newest(entry) : undefined;
    this.queue.enqueue(entry);
    if (!displaced) return null;
    this.queue.remove(displaced);
    return this.reject(displaced, now);
  }

  /** Removes and returns the entry that is admitted next. */
  dequeue(): T | null {
    return this.queue.dequeue();
  }

  /** Rejects an entry that has waited too long because the rate has fallen since it was offered. */
  expire(entry: T, now: number): RejectedEntry<T> {
    this.queue.remove(entry);
    return this.reject(entry, now);
  }

  /** Rejects an entry. Its user should retry when the jobs of its class that were rejected before it have been admitted. */
  private reject(entry: T, now: number): RejectedEntry<T> {
    const { retryWindowMs, maxRetryAfterMs } = this.limits;
    const ageMs = Math.max(0, now - entry.firstAttemptAt);
    this.rejectionTracker.record({ ...entry, ageMs }, now);
    const classRate = Math.max(minClassRate, this.totalJobsPerS * this.queue.shareOf(entry));
    const outstanding = this.rejectionTracker.outstandingCount(entry.team, entry.class);
    const expectedTurnMs = (1000 * outstanding * Math.max(0, 1 - ageMs / retryWindowMs)) / classRate;
    const jitteredMs = expectedTurnMs * (1 + retryJitter * (2 * this.random() - 1));
    const remainingMs = retryWindowMs - ageMs - finalRetryMarginMs;
    const delayMs = Math.min(
      maxRetryAfterMs,
      jitteredMs,
      remainingMs > minRemainingMs ? remainingMs : maxRetryAfterMs,
    );
    return { entry, retryAfterS: Math.max(minRetryAfterS, Math.round(delayMs / 100) / 10) };
  }

  /** Records jobs that another controller has rejected. */
  recordPeerRejections(rejections: readonly Rejection[], now: number): void {
    for (const rejection of rejections) this.rejectionTracker.record(rejection, now);
  }
}
