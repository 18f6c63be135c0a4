/** The state service as the protocol describes it, in memory and on the fake clock, with faults that tests switch on. */
import type { CommitOutcome } from '../../src/core/effects.js';
import { keyPrefix } from '../../src/core/storage/index.js';
import type { Change, Transaction } from '../../src/wire/store.js';
import type { World } from './world.js';

/** Keys, revisions, leases and the write budget, as one consistent store. */
export class StateService {
  epoch = 1;
  unavailable = false;
  /** More is asked of it than it takes: commits get 429. */
  rateLimited = false;
  /** Executed, but the answer to a commit gets lost. */
  dropsResponses = false;
  /** The same, for some. */
  dropsResponseTo: (txn: Transaction) => boolean = () => false;
  /** This share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
  delayedCommitShare = 0;
  readonly entries = new Map<string, Change & { hold?: number }>();
  readonly log: Change[] = [];
  private leaseExpiresAt = new Map<number, number>();
  private nextLeaseId = 1;

  constructor(private readonly world: World) {}

  /** Called with each transaction just before it is carried out. */
  beforeCommit: (txn: Transaction) => void = () => undefined;

  /** Carries a transaction out, or says why not. */
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
    if (failed.length > 0) return { type: 'conflict', failed, revision: this.epoch };
    if (txn.writes.length > 0) this.epoch++;
    for (const w of txn.writes) {
      const change = {
        key: w.key,
        data: w.data && (JSON.parse(JSON.stringify(w.data)) as unknown),
        stamp: this.epoch,
      };
      if (w.data === undefined) this.entries.delete(w.key);
      else this.entries.set(w.key, { ...change, hold: w.hold });
      this.log.push(change);
    }
    return { type: 'ok', revision: this.epoch };
  }

  /** Puts and deletes that it takes in a second; bursts of a second's worth are allowed. */
  writesPerS = Infinity;
  private writeBudget = 0;
  private writeBudgetUpdatedAt = 0;
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

  /** Grants a lease; null while it is unavailable. */
  grantLease(ttlMs: number): number | null {
    if (this.unavailable) return null;
    const leaseId = this.nextLeaseId++;
    this.leaseExpiresAt.set(leaseId, this.world.now + ttlMs);
    this.leaseTtlMs.set(leaseId, ttlMs);
    return leaseId;
  }
  private leaseTtlMs = new Map<number, number>();

  /** Renews a lease for its full time. */
  renewLease(leaseId: number): 'ok' | 'gone' | 'failed' {
    if (this.unavailable) return 'failed';
    this.expireLeases();
    if (!this.leaseExpiresAt.has(leaseId)) return 'gone';
    this.leaseExpiresAt.set(leaseId, this.world.now + this.leaseTtlMs.get(leaseId)!);
    return 'ok';
  }

  /** Ends a lease and removes the keys attached to it. */
  revokeLease(leaseId: number): void {
    this.leaseExpiresAt.delete(leaseId);
    const attachedEntries = [...this.entries.values()].filter((k) => k.hold === leaseId);
    if (attachedEntries.length > 0) this.epoch++;
    for (const k of attachedEntries) {
      this.entries.delete(k.key);
      this.log.push({ key: k.key, data: undefined, stamp: this.epoch });
    }
  }

  /** Ends the leases that are over. In an outage every lease keeps its full time. */
  expireLeases(): void {
    if (this.unavailable)
      for (const leaseId of this.leaseExpiresAt.keys())
        this.leaseExpiresAt.set(leaseId, this.world.now + this.leaseTtlMs.get(leaseId)!);
    for (const [leaseId, expiresAt] of [...this.leaseExpiresAt])
      if (expiresAt < this.world.now) this.revokeLease(leaseId);
  }

  /** A copy of what there is, to come back to. */
  snapshot(): { epoch: number; keys: [string, Change & { hold?: number }][] } {
    return { epoch: this.epoch, keys: [...this.entries] };
  }

  /** It has lost data: what is left, at which revision. Nothing tells of it; leases are gone, too. */
  loseData(remaining: [string, Change & { hold?: number }][], epoch: number): void {
    this.entries.clear();
    for (const [key, entry] of remaining) this.entries.set(key, entry);
    this.epoch = epoch;
    this.log.length = 0;
    this.leaseExpiresAt.clear();
  }

  /** All records of the controllers. */
  items(): Change[] {
    return [...this.entries.values()]
      .filter((k) => k.key.startsWith(keyPrefix))
      .map(({ key, data, stamp }) => ({ key, data, stamp }));
  }
}
