/** An in-memory state service on the simulated clock that follows the protocol, with faults that tests can switch on. */
import type { CommitOutcome } from '../../src/core/effects.js';
import { keyPrefix } from '../../src/core/storage/index.js';
import type { Change, Transaction } from '../../src/wire/store.js';
import type { World } from './world.js';

/** A consistent key-value store with revisions, leases and a write rate limit. */
export class StateService {
  /** The current revision. */
  revision = 1;
  unavailable = false;
  /** Overloaded: commits are answered with 429. */
  rateLimited = false;
  /** Commits are executed, but their responses are lost. */
  dropsResponses = false;
  /** Selects single transactions whose responses are lost. */
  dropsResponseTo: (txn: Transaction) => boolean = () => false;
  /** The share of transactions that get no response and are executed 2 to 12 s later, after newer ones. */
  delayedCommitShare = 0;
  /** The stored records by key; `hold` is the lease that a record is attached to. */
  readonly entries = new Map<string, Change & { hold?: number }>();
  /** All changes since the last data loss, in the order of their revisions. */
  readonly log: Change[] = [];
  private leaseExpiresAt = new Map<number, number>();
  private nextLeaseId = 1;

  constructor(private readonly world: World) {}

  /** Called with each transaction just before it is executed. */
  beforeCommit: (txn: Transaction) => void = () => undefined;

  /** Executes a transaction, or returns why it was not executed. */
  commit(txn: Transaction): CommitOutcome {
    this.beforeCommit(txn);
    if (this.unavailable) return { type: 'rejected' };
    if (this.rateLimited || !this.takeWriteBudget(txn.writes.length)) return { type: 'rate-limited' };
    this.expireLeases();
    if (txn.writes.some((w) => w.hold !== undefined && !this.leaseExpiresAt.has(w.hold)))
      return { type: 'lease-expired' };
    const failed = txn.conditions
      .filter((c) => (this.entries.get(c.key)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.key);
    if (failed.length > 0) return { type: 'conflict', failed, revision: this.revision };
    if (txn.writes.length > 0) this.revision++;
    for (const w of txn.writes) {
      const change = {
        key: w.key,
        data: w.data && (JSON.parse(JSON.stringify(w.data)) as unknown),
        stamp: this.revision,
      };
      if (w.data === undefined) this.entries.delete(w.key);
      else this.entries.set(w.key, { ...change, hold: w.hold });
      this.log.push(change);
    }
    return { type: 'ok', revision: this.revision };
  }

  /** The rate limit for puts and deletes. Bursts of up to one second's worth are allowed. */
  writesPerS = Infinity;
  private writeBudget = 0;
  private writeBudgetUpdatedAt = 0;
  /** How many transactions exceeded the write rate limit. */
  rateLimitedCount = 0;
  private takeWriteBudget(writes: number): boolean {
    if (!Number.isFinite(this.writesPerS)) return true;
    const { now } = this.world;
    this.writeBudget = Math.min(
      this.writesPerS,
      this.writeBudget + ((now - this.writeBudgetUpdatedAt) / 1000) * this.writesPerS,
    );
    this.writeBudgetUpdatedAt = now;
    if (this.writeBudget < writes) {
      this.rateLimitedCount++;
      return false;
    }
    this.writeBudget -= writes;
    return true;
  }

  /** Grants a lease and returns its id; null while the service is unavailable. */
  grantLease(ttlMs: number): number | null {
    if (this.unavailable) return null;
    const leaseId = this.nextLeaseId++;
    this.leaseExpiresAt.set(leaseId, this.world.now + ttlMs);
    this.leaseTtlMs.set(leaseId, ttlMs);
    return leaseId;
  }
  private leaseTtlMs = new Map<number, number>();

  /** Renews a lease for its full duration. */
  renewLease(leaseId: number): 'ok' | 'gone' | 'failed' {
    if (this.unavailable) return 'failed';
    this.expireLeases();
    if (!this.leaseExpiresAt.has(leaseId)) return 'gone';
    this.leaseExpiresAt.set(leaseId, this.world.now + this.leaseTtlMs.get(leaseId)!);
    return 'ok';
  }

  /** Revokes a lease and deletes the keys attached to it. */
  revokeLease(leaseId: number): void {
    this.leaseExpiresAt.delete(leaseId);
    const attachedEntries = [...this.entries.values()].filter((k) => k.hold === leaseId);
    if (attachedEntries.length > 0) this.revision++;
    for (const k of attachedEntries) {
      this.entries.delete(k.key);
      this.log.push({ key: k.key, data: undefined, stamp: this.revision });
    }
  }

  /** Revokes expired leases. During an outage every lease is extended to its full duration. */
  expireLeases(): void {
    if (this.unavailable)
      for (const leaseId of this.leaseExpiresAt.keys())
        this.leaseExpiresAt.set(leaseId, this.world.now + this.leaseTtlMs.get(leaseId)!);
    for (const [leaseId, expiresAt] of [...this.leaseExpiresAt])
      if (expiresAt < this.world.now) this.revokeLease(leaseId);
  }

  /** A copy of the current contents, to restore later. */
  snapshot(): { epoch: number; keys: [string, Change & { hold?: number }][] } {
    return { epoch: this.revision, keys: [...this.entries] };
  }

  /**
   * Simulates data loss: only the given records remain, at the given revision. The change log and all leases are lost, too, and
   * clients are not notified.
   */
  loseData(remaining: [string, Change & { hold?: number }][], revision: number): void {
    this.entries.clear();
    for (const [key, entry] of remaining) this.entries.set(key, entry);
    this.revision = revision;
    this.log.length = 0;
    this.leaseExpiresAt.clear();
  }

  /** All records under the key prefix of the controllers. */
  items(): Change[] {
    return [...this.entries.values()]
      .filter((k) => k.key.startsWith(keyPrefix))
      .map(({ key, data, stamp }) => ({ key, data, stamp }));
  }
}
