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
  endedLeases: number[];
}

export interface Loaded {
  epoch: number;
  nextHold: number;
  entries: Iterable<[string, Entry]>;
  /** Leases and how long they last, ms. */
  leases: Iterable<[number, number]>;
}

export type KeyspaceCommitResult =
  | { type: 'ok'; revision: number; delta: Delta | null }
  | { type: 'conflict'; failed: string[]; revision: number }
  | { type: 'lease-expired' };

/** What readers see: one moment of the keyspace. Taking it costs nothing, the tree is shared until it changes. */
export interface View {
  revision: number;
  keys: Tree;
}

/** So many changes are remembered; whoever is further behind reads anew. */
const minRememberedChanges = 10_000;

interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}

/** The keys, leases and newest changes, by the rules of the protocol. On a clock that it is given; knows no disk. */
export class Keyspace {
  revision: number;
  private nextLeaseId: number;
  private readonly keys: Tree = new BTree<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private rememberedChanges: Change[] = [];
  /** Changes up to this revision are not remembered. */
  private forgottenRevision: number;

  constructor(from: Loaded, now: number) {
    this.revision = this.forgottenRevision = from.epoch;
    this.nextLeaseId = from.nextHold;
    // After a stop every lease has its full time again.
    for (const [leaseId, ttlMs] of from.leases)
      this.leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    for (const [key, entry] of from.entries) {
      this.keys.set(key, entry);
      if (entry.hold !== undefined) this.leases.get(entry.hold)?.keys.add(key);
    }
  }

  view(): View {
    return { revision: this.revision, keys: this.keys.clone() };
  }

  commit(txn: Transaction, now: number): KeyspaceCommitResult {
    for (const w of txn.writes)
      if (w.hold !== undefined && !this.isLeaseAlive(w.hold, now)) return { type: 'lease-expired' };
    const failed = txn.conditions
      .filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return { type: 'conflict', failed, revision: this.revision };
    if (txn.writes.length === 0) return { type: 'ok', revision: this.revision, delta: null };
    const delta = this.beginRevision();
    for (const w of txn.writes)
      if (w.data === undefined) this.deleteKey(w.key, delta);
      else
        this.putKey(
          w.key,
          { data: w.data, stamp: this.revision, ...(w.hold === undefined ? {} : { hold: w.hold }) },
          delta,
        );
    return { type: 'ok', revision: this.revision, delta };
  }

  grantLease(ttlMs: number, now: number): { leaseId: number; delta: Delta } {
    const leaseId = this.nextLeaseId++;
    this.leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    return { leaseId: leaseId, delta: { ...this.emptyDelta(), leases: [[leaseId, ttlMs]] } };
  }

  renewLease(leaseId: number, now: number): boolean {
    if (!this.isLeaseAlive(leaseId, now)) return false;
    const lease = this.leases.get(leaseId)!;
    lease.expiresAt = now + lease.ttlMs;
    return true;
  }

  renewAllLeases(now: number): void {
    for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttlMs;
  }

  /** Ends a lease and drops its keys; null: there is none. */
  endLease(leaseId: number): Delta | null {
    const lease = this.leases.get(leaseId);
    if (!lease) return null;
    this.leases.delete(leaseId);
    const delta = lease.keys.size > 0 ? this.beginRevision() : this.emptyDelta();
    for (const key of lease.keys) this.deleteKey(key, delta);
    delta.endedLeases.push(leaseId);
    return delta;
  }

  /** Leases that have run out. */
  expiredLeases(now: number): number[] {
    return [...this.leases].filter(([, l]) => l.expiresAt <= now).map(([leaseId]) => leaseId);
  }

  /** Changes after `from` and up to `to` under a prefix; null: too long ago. */
  changes(prefix: string, from: number, to: number): Change[] | null {
    if (from < this.forgottenRevision) return null;
    // Few readers are far behind: from the end.
    let start = this.rememberedChanges.length;
    while (start > 0 && this.rememberedChanges[start - 1].stamp > from) start--;
    return this.rememberedChanges.slice(start).filter((c) => c.stamp <= to && c.key.startsWith(prefix));
  }

  private isLeaseAlive(leaseId: number, now: number): boolean {
    return (this.leases.get(leaseId)?.expiresAt ?? -Infinity) > now;
  }

  private emptyDelta(): Delta {
    return {
      epoch: this.revision,
      nextHold: this.nextLeaseId,
      puts: [],
      drops: [],
      leases: [],
      endedLeases: [],
    };
  }

  private beginRevision(): Delta {
    this.revision++;
    return this.emptyDelta();
  }

  private putKey(key: string, entry: Entry, delta: Delta): void {
    this.detachFromLease(key);
    if (entry.hold !== undefined) this.leases.get(entry.hold)!.keys.add(key);
    this.keys.set(key, entry);
    delta.puts.push([key, entry]);
    this.remember({ key, data: entry.data, stamp: entry.stamp });
  }

  private deleteKey(key: string, delta: Delta): void {
    this.detachFromLease(key);
    if (!this.keys.delete(key)) return;
    delta.drops.push(key);
    this.remember({ key, data: undefined, stamp: this.revision });
  }

  private detachFromLease(key: string): void {
    const leaseId = this.keys.get(key)?.hold;
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.delete(key);
  }

  private remember(change: Change): void {
    this.rememberedChanges.push(change);
    if (this.rememberedChanges.length < minRememberedChanges * 2) return;
    const gone = this.rememberedChanges.splice(0, minRememberedChanges);
    this.forgottenRevision = gone[gone.length - 1].stamp;
    // A revision is remembered whole or not at all.
    this.rememberedChanges = this.rememberedChanges.filter((c) => c.stamp > this.forgottenRevision);
  }
}

/** Keys under a prefix in order, beginning after `from`. */
export function scan(
  view: View,
  prefix: string,
  from: string,
  maxItems: number,
  maxBytes: number,
): { items: Change[]; more: boolean } {
  const items: Change[] = [];
  let bytes = 0;
  let pair: [string, Entry] | undefined;
  if (from >= prefix && from !== '') pair = view.keys.nextHigherPair(from);
  else if (view.keys.has(prefix)) pair = [prefix, view.keys.get(prefix)!];
  // Every other key with the prefix comes behind the prefix itself.
  else pair = view.keys.nextHigherPair(prefix === '' ? undefined : prefix);
  for (; pair !== undefined && pair[0].startsWith(prefix); pair = view.keys.nextHigherPair(pair[0])) {
    const [key, { data, stamp }] = pair;
    const size = JSON.stringify(data).length + key.length;
    if (items.length >= maxItems || (items.length > 0 && bytes + size > maxBytes))
      return { items, more: true };
    bytes += size;
    items.push({ key, data, stamp });
  }
  return { items, more: false };
}
