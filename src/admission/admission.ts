import { FairQueue, type QueueEntry } from './fair-queue.js';
import { RetryTickets, type Rejection } from './retry-tickets.js';

/** Who is told to come later, and in how many seconds. */
export interface RejectedEntry<T> {
  entry: T;
  retryAfterS: number;
}

export interface AdmissionLimits {
  /** So many may wait at once. */
  most: number;
  /** Whoever would wait longer than this is told so at once, ms. */
  patienceMs: number;
  /** How long users try, and the longest that they can be told to wait, ms. */
  tryMs: number;
  longestMs: number;
  /** So many are remembered that were turned away. */
  tickets: number;
}

/** How much of a pause is left to chance, so that those who are turned away together do not come back together. */
const retryJitter = 0.25;
/** So many of a class may wait whatever its pace. */
const minClassCapacity = 2;
/** The last try is to come so long before its user gives up, ms. */
const finalRetryMarginMs = 3000;

/**
 * Takes jobs in at the pace at which they can be written, fairly by team and class. What cannot be taken within the patience
 * is turned away at once, with when to come again; who has tried longest goes first, and takes the place of the youngest of
 * its class.
 */
export class AdmissionQueue<T extends QueueEntry> {
  private readonly queue: FairQueue<T>;
  readonly tickets: RetryTickets;
  /** Jobs a second that this controller may take in; and that all may together. */
  rate = 1;
  totalRate = 1;

  constructor(
    private readonly limits: AdmissionLimits,
    teamWeight: (team: string) => number,
    classWeight: (e: T) => number,
    private readonly random: () => number,
  ) {
    this.queue = new FairQueue(teamWeight, classWeight);
    this.tickets = new RetryTickets(limits.tickets, limits.tryMs);
  }

  get size(): number {
    return this.queue.size;
  }

  /** Somebody wants in. Who is turned away for it: itself, or one of its class that has tried for less long. */
  offer(e: T, now: number): RejectedEntry<T> | null {
    e.firstAt = Math.min(e.firstAt, this.tickets.firstAttemptAt(e.id) ?? Infinity);
    const whole = this.rate * (this.limits.patienceMs / 1000);
    const full = this.queue.size >= this.limits.most;
    // While all that wait can be taken in within the patience, it does not matter whose they are.
    const crowded = full || this.queue.size >= whole;
    const room = crowded ? Math.max(minClassCapacity, whole * this.queue.shareOf(e)) : Infinity;
    const { older, all } = this.queue.position(e);
    if (older >= room || (full && all === 0)) return this.reject(e, now);
    const youngest = all + 1 > room || full ? this.queue.newest(e) : undefined;
    this.queue.enqueue(e);
    if (!youngest) return null;
    this.queue.remove(youngest);
    return this.reject(youngest, now);
  }

  /** Who is taken in next. */
  dequeue(): T | null {
    return this.queue.dequeue();
  }

  /** It has waited for too long: the pace has fallen since it came. */
  expire(e: T, now: number): RejectedEntry<T> {
    this.queue.remove(e);
    return this.reject(e, now);
  }

  /** When to come again: when those of its class that were turned away before it will have had their turn. */
  private reject(e: T, now: number): RejectedEntry<T> {
    const ageMs = Math.max(0, now - e.firstAt);
    this.tickets.record({ ...e, ageMs }, now);
    const { tryMs, longestMs } = this.limits;
    const pace = Math.max(1e-3, this.totalRate * this.queue.shareOf(e));
    const turnMs =
      (1000 * this.tickets.outstandingCount(e.team, e.class) * Math.max(0, 1 - ageMs / tryMs)) / pace;
    const some = turnMs * (1 + retryJitter * (2 * this.random() - 1));
    const left = tryMs - ageMs - finalRetryMarginMs;
    const pause = Math.min(longestMs, some, left > 1000 ? left : longestMs);
    return { entry: e, retryAfterS: Math.max(1, Math.round(pause / 100) / 10) };
  }

  /** What another controller has turned away. */
  recordPeerRejections(list: readonly Rejection[], now: number): void {
    for (const t of list) this.tickets.record(t, now);
  }
}
