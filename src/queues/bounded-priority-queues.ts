/** One kind of work and what it may take. */
export interface QueueLimits {
  /** Its share of what is worked off while others wait too; shares are relative. */
  share: number;
  /** How many may wait in it. */
  most: number;
  /** Whoever waits longer than this has given up; ms. */
  patienceMs: number;
}

interface Waiting<T> {
  item: T;
  since: number;
}

/**
 * Bounded queues side by side. Each is worked off by its share, so that none starves; what is not used by one is there
 * for the others. Names are in order of need: when all of them together hold too much, the newest of the least needed
 * is turned away.
 */
export class BoundedPriorityQueues<K extends string, T> {
  private readonly queues: { name: K; lane: QueueLimits; items: Waiting<T>[]; credit: number }[];
  private queued = 0;

  constructor(
    lanes: Record<K, QueueLimits>,
    /** How many may wait in all of them together. */
    private readonly most: number,
  ) {
    this.queues = (Object.entries(lanes) as [K, QueueLimits][]).map(([name, lane]) => ({
      name,
      lane,
      items: [],
      credit: 0,
    }));
  }

  get size(): number {
    return this.queued;
  }

  /** How much of what may wait in a lane does. */
  fillRatio(name: K): number {
    const q = this.queues.find((x) => x.name === name)!;
    return q.items.length / q.lane.most;
  }

  /** Takes an item in. Returns whom that turns away: itself, or another that is needed less. */
  offer(name: K, item: T, now: number): T[] {
    const q = this.queues.find((x) => x.name === name)!;
    if (q.items.length >= q.lane.most) return [item];
    q.items.push({ item, since: now });
    this.queued++;
    if (this.queued <= this.most) return [];
    for (let i = this.queues.length - 1; i >= 0; i--) {
      const last = this.queues[i].items.pop();
      if (last === undefined) continue;
      this.queued--;
      return [last.item];
    }
    return [];
  }

  /** The next items, so many at most, and those whose senders have given up meanwhile. */
  take(count: number, now: number): { items: T[]; expired: T[] } {
    const items: T[] = [];
    const expired: T[] = [];
    for (const q of this.queues) {
      let late = 0;
      while (late < q.items.length && now - q.items[late].since > q.lane.patienceMs) late++;
      for (const w of q.items.splice(0, late)) expired.push(w.item);
      this.queued -= late;
    }
    if (this.queued <= count) {
      for (const q of this.queues) {
        for (const w of q.items) items.push(w.item);
        q.items = [];
        q.credit = 0;
      }
      this.queued = 0;
      return { items, expired };
    }
    while (items.length < count) this.serveRound(items, count);
    return { items, expired };
  }

  /** Each lane that has work gets what its share of the rest is worth; what it cannot use is kept for its next turn. */
  private serveRound(items: T[], count: number): void {
    const busy = this.queues.filter((q) => q.items.length > 0);
    const shares = busy.reduce((sum, q) => sum + q.lane.share, 0);
    const rest = count - items.length;
    for (const q of busy) {
      q.credit += (rest * q.lane.share) / shares;
      const n = Math.min(Math.floor(q.credit), q.items.length, count - items.length);
      q.credit = q.items.length > n ? q.credit - n : 0;
      for (const w of q.items.splice(0, n)) items.push(w.item);
      this.queued -= n;
    }
  }
}
