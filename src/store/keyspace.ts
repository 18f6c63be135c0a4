/** Keys, leases and remembered changes of the store, by the rules of the protocol. */
import BTreeModule from 'sorted-btree';
import type { Change, Transaction } from '../wire/store.js';

// The package is CommonJS: its class is the default of what is imported.
const BTree = BTreeModule.default;
type Tree = InstanceType<typeof BTreeModule.default<string, Entry>>;

export interface Entry {
  data: unknown;
  stamp: number;
  /** The lease it is attached to. */
  hold?: number;
}

/** What has to reach the disk for a change to be durable. */
export interface Delta {
  epoch: number;
  nextHold: number;
  puts: [string, Entry][];
  drops: string[];
  leases: [number, number][];
  ended: number[];
}

export interface Loaded {
  epoch: number;
  nextHold: number;
  entries: Iterable<[string, Entry]>;
  /** Leases and how long they last, ms. */
  leases: Iterable<[number, number]>;
}

export type Verdict =
  | { type: 'ok'; revision: number; delta: Delta | null }
  | { type: 'conflict'; failed: string[]; revision: number }
  | { type: 'lease-expired' };

/** What readers see: one moment of the keyspace. Taking it costs nothing, the tree is shared until it changes. */
export interface View {
  epoch: number;
  keys: Tree;
}

/** So many changes are remembered; whoever is further behind reads anew. */
const mostRemembered = 10_000;

interface Lease {
  ttlMs: number;
  until: number;
  keys: Set<string>;
}

/** The keys, leases and newest changes, by the rules of the protocol. On a clock that it is given; knows no disk. */
export class Keyspace {
  epoch: number;
  private nextHold: number;
  private readonly keys: Tree = new BTree<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private remembered: Change[] = [];
  /** Changes up to this revision are not remembered. */
  private floor: number;

  constructor(from: Loaded, now: number) {
    this.epoch = this.floor = from.epoch;
    this.nextHold = from.nextHold;
    // After a stop every lease has its full time again.
    for (const [hold, ttlMs] of from.leases)
      this.leases.set(hold, { ttlMs, until: now + ttlMs, keys: new Set() });
    for (const [key, entry] of from.entries) {
      this.keys.set(key, entry);
      if (entry.hold !== undefined) this.leases.get(entry.hold)?.keys.add(key);
    }
  }

  view(): View {
    return { epoch: this.epoch, keys: this.keys.clone() };
  }

  commit(txn: Transaction, now: number): Verdict {
    for (const w of txn.writes)
      if (w.hold !== undefined && !this.lives(w.hold, now)) return { type: 'lease-expired' };
    const failed = txn.conditions
      .filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return { type: 'conflict', failed, revision: this.epoch };
    if (txn.writes.length === 0) return { type: 'ok', revision: this.epoch, delta: null };
    const delta = this.begin();
    for (const w of txn.writes)
      if (w.data === undefined) this.drop(w.key, delta);
      else
        this.put(
          w.key,
          { data: w.data, stamp: this.epoch, ...(w.hold === undefined ? {} : { hold: w.hold }) },
          delta,
        );
    return { type: 'ok', revision: this.epoch, delta };
  }

  lease(ttlMs: number, now: number): { hold: number; delta: Delta } {
    const hold = this.nextHold++;
    this.leases.set(hold, { ttlMs, until: now + ttlMs, keys: new Set() });
    return { hold, delta: { ...this.empty(), leases: [[hold, ttlMs]] } };
  }

  renew(hold: number, now: number): boolean {
    if (!this.lives(hold, now)) return false;
    const lease = this.leases.get(hold)!;
    lease.until = now + lease.ttlMs;
    return true;
  }

  renewAll(now: number): void {
    for (const lease of this.leases.values()) lease.until = now + lease.ttlMs;
  }

  /** Ends a lease and drops its keys; null: there is none. */
  end(hold: number): Delta | null {
    const lease = this.leases.get(hold);
    if (!lease) return null;
    this.leases.delete(hold);
    const delta = lease.keys.size > 0 ? this.begin() : this.empty();
    for (const key of lease.keys) this.drop(key, delta);
    delta.ended.push(hold);
    return delta;
  }

  /** Leases that have run out. */
  due(now: number): number[] {
    return [...this.leases].filter(([, l]) => l.until <= now).map(([hold]) => hold);
  }

  /** Changes after `from` and up to `to` under a prefix; null: too long ago. */
  changes(starts: string, from: number, to: number): Change[] | null {
    if (from < this.floor) return null;
    // Few readers are far behind: from the end.
    let at = this.remembered.length;
    while (at > 0 && this.remembered[at - 1].stamp > from) at--;
    return this.remembered.slice(at).filter((c) => c.stamp <= to && c.key.startsWith(starts));
  }

  private lives(hold: number, now: number): boolean {
    return (this.leases.get(hold)?.until ?? -Infinity) > now;
  }

  private empty(): Delta {
    return { epoch: this.epoch, nextHold: this.nextHold, puts: [], drops: [], leases: [], ended: [] };
  }

  private begin(): Delta {
    this.epoch++;
    return this.empty();
  }

  private put(key: string, entry: Entry, delta: Delta): void {
    this.detach(key);
    if (entry.hold !== undefined) this.leases.get(entry.hold)!.keys.add(key);
    this.keys.set(key, entry);
    delta.puts.push([key, entry]);
    this.remember({ key, data: entry.data, stamp: entry.stamp });
  }

  private drop(key: string, delta: Delta): void {
    this.detach(key);
    if (!this.keys.delete(key)) return;
    delta.drops.push(key);
    this.remember({ key, data: undefined, stamp: this.epoch });
  }

  private detach(key: string): void {
    const hold = this.keys.get(key)?.hold;
    if (hold !== undefined) this.leases.get(hold)?.keys.delete(key);
  }

  private remember(change: Change): void {
    this.remembered.push(change);
    if (this.remembered.length < mostRemembered * 2) return;
    const gone = this.remembered.splice(0, mostRemembered);
    this.floor = gone[gone.length - 1].stamp;
    // A revision is remembered whole or not at all.
    this.remembered = this.remembered.filter((c) => c.stamp > this.floor);
  }
}

/** Keys under a prefix in order, beginning after `from`. */
export function scan(
  view: View,
  starts: string,
  from: string,
  most: number,
  mostBytes: number,
): { items: Change[]; more: boolean } {
  const items: Change[] = [];
  let bytes = 0;
  let at: [string, Entry] | undefined;
  if (from >= starts && from !== '') at = view.keys.nextHigherPair(from);
  else if (view.keys.has(starts)) at = [starts, view.keys.get(starts)!];
  // Every other key with the prefix comes behind the prefix itself.
  else at = view.keys.nextHigherPair(starts === '' ? undefined : starts);
  for (; at !== undefined && at[0].startsWith(starts); at = view.keys.nextHigherPair(at[0])) {
    const [key, { data, stamp }] = at;
    const size = JSON.stringify(data).length + key.length;
    if (items.length >= most || (items.length > 0 && bytes + size > mostBytes)) return { items, more: true };
    bytes += size;
    items.push({ key, data, stamp });
  }
  return { items, more: false };
}
