/** Admission control: which submissions are accepted next, and which are rejected with a time to retry. */
import { FairQueue, type QueueEntry } from './fair-queue.js';
import { RetryTickets, type Rejection } from './retry-tickets.js';

/** An entry that was rejected, and when its user may retry. */
export interface RejectedEntry<T> {
  readonly entry: T;
  readonly retryAfterS: number;
}

/** The limits of an admission queue. */
export interface AdmissionLimits {
  /** Entries that may wait at the same time. */
  readonly maxQueued: number;
  /** An entry that would wait longer than this is rejected at once, ms. */
  readonly maxQueueWaitMs: number;
  /** For how long users retry, ms. */
  readonly retryWindowMs: number;
  /** The longest pause that a user heeds, ms. */
  readonly maxRetryAfterMs: number;
  /** Rejected jobs that are remembered. */
  readonly maxTickets: number;
}

/** Random share of a pause, so that users who are rejected together do not retry together. */
const retryJitter = 0.25;
/** Entries of a class that may wait whatever its rate. */
const minClassCapacity = 2;
/** The last retry is to come so long before the user stops trying, ms. */
const finalRetryMarginMs = 3000;
/** A shorter time until the last retry does not shorten the pause, ms. */
const minRetryLeftMs = 1000;
const minRate = 1e-3;
const minRetryAfterS = 1;

/**
 * Admits jobs at the rate at which they can be written, fairly by team and class. What cannot be admitted within the longest
 * wait is rejected at once, with a time to retry. Within a class the oldest first attempt is admitted first, and displaces the
 * newest.
 */
export class AdmissionQueue<T extends QueueEntry> {
  private readonly queue: FairQueue<T>;
  readonly tickets: RetryTickets;
  /** Jobs a second that this controller may admit, and that all controllers together may. */
  rate = 1;
  totalRate = 1;

  constructor(
    private readonly limits: AdmissionLimits,
    teamWeight: (team: string) => number,
    classWeight: (entry: T) => number,
    private readonly random: () => number,
  ) {
    this.queue = new FairQueue(teamWeight, classWeight);
    this.tickets = new RetryTickets(limits.maxTickets, limits.retryWindowMs);
  }

  /** How many entries wait. */
  get size(): number {
    return this.queue.size;
  }

  /** Offers an entry. Returns the one that is rejected for it: itself, a newer one of its class, or none. */
  offer(entry: T, now: number): RejectedEntry<T> | null {
    entry.firstAttemptAt = Math.min(entry.firstAttemptAt, this.tickets.firstAttemptAt(entry.id) ?? Infinity);
    const capacity = this.rate * (this.limits.maxQueueWaitMs / 1000);
    const isFull = this.queue.size >= this.limits.maxQueued;
    // While all that wait can be admitted in time, shares do not matter.
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

  /** Rejects an entry that has waited for too long: the rate has fallen since it was offered. */
  expire(entry: T, now: number): RejectedEntry<T> {
    this.queue.remove(entry);
    return this.reject(entry, now);
  }

  /** Its user is to retry when the jobs of its class that were rejected before it have been admitted. */
  private reject(entry: T, now: number): RejectedEntry<T> {
    const { retryWindowMs, maxRetryAfterMs } = this.limits;
    const ageMs = Math.max(0, now - entry.firstAttemptAt);
    this.tickets.record({ ...entry, ageMs }, now);
    const classRate = Math.max(minRate, this.totalRate * this.queue.shareOf(entry));
    const outstanding = this.tickets.outstandingCount(entry.team, entry.class);
    const turnMs = (1000 * outstanding * Math.max(0, 1 - ageMs / retryWindowMs)) / classRate;
    const jitteredMs = turnMs * (1 + retryJitter * (2 * this.random() - 1));
    const leftMs = retryWindowMs - ageMs - finalRetryMarginMs;
    const pauseMs = Math.min(maxRetryAfterMs, jitteredMs, leftMs > minRetryLeftMs ? leftMs : maxRetryAfterMs);
    return { entry, retryAfterS: Math.max(minRetryAfterS, Math.round(pauseMs / 100) / 10) };
  }

  /** Records what another controller has rejected. */
  recordPeerRejections(rejections: readonly Rejection[], now: number): void {
    for (const rejection of rejections) this.tickets.record(rejection, now);
  }
}
