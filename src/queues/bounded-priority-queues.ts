/** Bounded queues that are served in proportion to weights and shed load by priority. */

/** The limits of one queue. */
export interface QueueLimits {
  /** The queue's weight: its share of the service relative to those of other queues that have items. */
  readonly share: number;
  /** The most items that may wait in the queue. */
  readonly maxWaiting: number;
  /** The time after which the sender of an item no longer waits for the response, ms. */
  readonly maxWaitMs: number;
}

interface WaitingItem<T> {
  readonly item: T;
  readonly since: number;
}

interface Queue<K, T> {
  readonly name: K;
  readonly limits: QueueLimits;
  items: WaitingItem<T>[];
  /** Service that the queue has accrued and not used yet, in items. */
  credit: number;
}

/**
 * Queues of decreasing priority. Each is served according to its share, so that none starves; what one does not use is available
 * to the others. If they hold too many items in total, the newest item of the lowest priority is rejected.
 */
export class BoundedPriorityQueues<K extends string, T> {
  /** Highest priority first. */
  private readonly queues: Queue<K, T>[];
  private waitingCount = 0;

  /** `limits`: the limits of each queue by name, in order of decreasing priority. */
  constructor(
    limits: Record<K, QueueLimits>,
    /** The most items that may wait in all queues together. */
    private readonly maxWaitingTotal: number,
  ) {
    this.queues = (Object.entries(limits) as [K, QueueLimits][]).map(([name, queueLimits]) => ({
      name,
      limits: queueLimits,
      items: [],
      credit: 0,
    }));
  }

  /** The number of items that wait in all queues together. */
  get size(): number {
    return this.waitingCount;
  }

  /** Returns how full a queue is, as a share of its limit. */
  fillRatio(name: K): number {
    const { items, limits } = this.queueOf(name);
    return items.length / limits.maxWaiting;
  }

  /** Adds an item. Returns the items that are rejected in exchange: the item itself, one of lower priority, or none. */
  offer(name: K, item: T, now: number): T[] {
    const queue = this.queueOf(name);
    if (queue.items.length >= queue.limits.maxWaiting) return [item];
    queue.items.push({ item, since: now });
    this.waitingCount++;
    if (this.waitingCount <= this.maxWaitingTotal) return [];
    for (let i = this.queues.length - 1; i >= 0; i--) {
      const newest = this.queues[i].items.pop();
      if (newest === undefined) continue;
      this.waitingCount--;
      return [newest.item];
    }
    return [];
  }

  /** Removes and returns the next items, at most `count`, and the expired ones, whose senders no longer wait. */
  take(count: number, now: number): { items: T[]; expired: T[] } {
    const expired = this.removeExpired(now);
    if (this.waitingCount <= count) return { items: this.removeAll(), expired };
    const items: T[] = [];
    while (items.length < count) this.serveRound(items, count);
    return { items, expired };
  }

  private queueOf(name: K): Queue<K, T> {
    return this.queues.find((queue) => queue.name === name)!;
  }

  private removeExpired(now: number): T[] {
    const expired: T[] = [];
    for (const { items, limits } of this.queues) {
      let count = 0;
      while (count < items.length && now - items[count].since > limits.maxWaitMs) count++;
      for (const { item } of items.splice(0, count)) expired.push(item);
      this.waitingCount -= count;
    }
    return expired;
  }

  private removeAll(): T[] {
    const items: T[] = [];
    for (const queue of this.queues) {
      for (const { item } of queue.items) items.push(item);
      queue.items = [];
      queue.credit = 0;
    }
    this.waitingCount = 0;
    return items;
  }

  /** Gives each queue that has items its share of the remaining service; a fraction of an item is kept as credit. */
  private serveRound(items: T[], count: number): void {
    const backlogged = this.queues.filter((queue) => queue.items.length > 0);
    const shareSum = backlogged.reduce((sum, { limits }) => sum + limits.share, 0);
    const remaining = count - items.length;
    for (const queue of backlogged) {
      queue.credit += (remaining * queue.limits.share) / shareSum;
      const served = Math.min(Math.floor(queue.credit), queue.items.length, count - items.length);
      queue.credit = queue.items.length > served ? queue.credit - served : 0;
      for (const { item } of queue.items.splice(0, served)) items.push(item);
      this.waitingCount -= served;
    }
  }
}
