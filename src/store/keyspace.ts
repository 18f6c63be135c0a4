/** The store's keys, leases and recent changes, in memory. */
import BTreeModule from 'sorted-btree';
import type { Change, Transaction } from '../wire/store.js';

// The package is CommonJS: its class is the `default` member of the imported default.
const BTree = BTreeModule.default;
type Tree = InstanceType<typeof BTreeModule.default<string, Entry>>;

/** The value of a key. The names of its fields are part of the stored format. */
export interface Entry {
  data: unknown;
  /** The revision of its last change. */
  stamp: number;
  /** The ID of the lease that it is attached to. */
  hold?: number;
}

/** What has to be written to disk to make a change durable. `epoch`: its revision; `nextHold`: the next lease's ID. */
export interface Delta {
  epoch: number;
  nextHold: number;
  puts: [string, Entry][];
  drops: string[];
  leases: [number, number][];
  endedLeases: number[];
}

/** What was read from disk. `epoch`: the newest revision; `nextHold`: the next lease's ID. */
export interface Loaded {
  epoch: number;
  nextHold: number;
  entries: Iterable<[string, Entry]>;
  /** The IDs of leases with their time to live, ms. */
  leases: Iterable<[number, number]>;
}

/** The result of a transaction. `delta`: what has to be made durable; null: nothing. */
export type KeyspaceCommitResult =
  | { type: 'ok'; revision: number; delta: Delta | null }
  | { type: 'conflict'; failed: string[]; revision: number }
  | { type: 'lease-expired' };

/** An immutable view of the keyspace. It is cheap to take: the tree is copied on write. */
export interface View {
  revision: number;
  keys: Tree;
}

/**
 * When twice as many changes are remembered, the oldest are dropped until about this many are left. A reader that needs older ones has
 * to read all keys again.
 */
const rememberedChangeCount = 10_000;

interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}

/** The keys, leases and recent changes, by the rules of the protocol. It gets the time from its caller, and does no I/O. */
export class Keyspace {
  /** The newest revision. */
  revision: number;
  private nextLeaseId: number;
  private readonly keys: Tree = new BTree<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private rememberedChanges: Change[] = [];
  /** Changes up to this revision are no longer remembered. */
  private forgottenRevision: number;

  constructor(from: Loaded, now: number) {
    this.revision = this.forgottenRevision = from.epoch;
    this.nextLeaseId = from.nextHold;
    // After a restart every lease starts with its full time to live.
    for (const [leaseId, ttlMs] of from.leases)
      this.leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    for (const [key, entry] of from.entries) {
      this.keys.set(key, entry);
      if (entry.hold !== undefined) this.leases.get(entry.hold)?.keys.add(key);
    }
  }

  /** An immutable view of the current state. */
  view(): View {
    return { revision: this.revision, keys: this.keys.clone() };
  }

  /** Applies a transaction if its conditions hold and the leases that it uses are alive. */
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

  /** Grants a lease. */
  grantLease(ttlMs: number, now: number): { leaseId: number; delta: Delta } {
    const leaseId = this.nextLeaseId++;
    this.leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    return { leaseId, delta: { ...this.emptyDelta(), leases: [[leaseId, ttlMs]] } };
  }

  /** Renews a lease; false: it has expired or does not exist. */
  renewLease(leaseId: number, now: number): boolean {
    if (!this.isLeaseAlive(leaseId, now)) return false;
    const lease = this.leases.get(leaseId)!;
    lease.expiresAt = now + lease.ttlMs;
    return true;
  }

  /** Renews all leases, expired ones that have not been ended yet included. */
  renewAllLeases(now: number): void {
    for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttlMs;
  }

  /** Ends a lease and deletes the keys attached to it; null: there is no such lease. */
  endLease(leaseId: number): Delta | null {
    const lease = this.leases.get(leaseId);
    if (!lease) return null;
    this.leases.delete(leaseId);
    const delta = lease.keys.size > 0 ? this.beginRevision() : this.emptyDelta();
    for (const key of lease.keys) this.deleteKey(key, delta);
    delta.endedLeases.push(leaseId);
    return delta;
  }

  /** The IDs of expired leases that have not been ended yet. */
  expiredLeases(now: number): number[] {
    return [...this.leases].filter(([, l]) => l.expiresAt <= now).map(([leaseId]) => leaseId);
  }

  /** Changes after revision `from` and up to `to` to keys under a prefix; null: they are no longer remembered. */
  changes(prefix: string, from: number, to: number): Change[] | null {
    if (from < this.forgottenRevision) return null;
    // Searched from the end, since few readers are far behind.
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

  /** Starts a new revision and returns the delta for its changes. */
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
    if (this.rememberedChanges.length < rememberedChangeCount * 2) return;
    const gone = this.rememberedChanges.splice(0, rememberedChangeCount);
    this.forgottenRevision = gone[gone.length - 1].stamp;
    // The changes of one revision are remembered either all or not at all.
    this.rememberedChanges = this.rememberedChanges.filter((c) => c.stamp > this.forgottenRevision);
  }
}

/** A page of the keys under a prefix, in order, after `from`. The first entry is returned whatever its size. */
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
  // All other keys with this prefix sort after the prefix itself.
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
