/** The presence of this process: its state lease and the presence record that is attached to the lease. */
import { RetryBackoff, type Random, type RetryPolicy } from '../../retry/index.js';
import type { Effect, Log } from '../effects.js';
import type { Replica } from '../replica.js';
import { presenceData, presenceKey } from '../storage/index.js';
import type { PendingWrites } from './pending-writes.js';

/** The state lease is renewed after this share of its time to live. */
const renewalLeaseShare = 1 / 3;

/** What presence is created with. */
export interface PresenceOptions {
  readonly member: string;
  readonly instanceId: string;
  /** The time to live of the state lease without renewal. */
  readonly leaseTtlMs: number;
  readonly replica: Replica;
  readonly writes: PendingWrites;
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly log: Log;
}

/**
 * Acquires and renews the state lease of this process, and writes its presence record. The state service deletes the
 * record when the lease expires, which is how other controllers detect a crash.
 */
export class Presence {
  /** The id of the state lease; null: there is none. */
  leaseId: number | null = null;
  /** Whether the lease was given up permanently, at the end of a graceful shutdown. */
  isReleased = false;
  private readonly grantBackoff: RetryBackoff;
  private readonly renewalBackoff: RetryBackoff;
  private grantPending = false;
  private renewalPending = false;
  private renewAt = 0;
  /** When the latest grant or renewal, pending or finished, was requested, ms. */
  private requestedAt = -Infinity;
  /** When the last successful grant or renewal was requested, ms. The lease is valid for at least `leaseTtlMs` from then. */
  private validFrom = -Infinity;
  private hasRevokedPredecessor = false;

  constructor(private readonly options: PresenceOptions) {
    this.grantBackoff = new RetryBackoff(options.retry, options.random);
    this.renewalBackoff = new RetryBackoff(options.retry, options.random);
  }

  /** Whether the state service holds the presence record of this process, under its current lease. */
  get isPresent(): boolean {
    const { member, instanceId, replica } = this.options;
    const record = replica.presences.get(member);
    return record !== undefined && record.instanceId === instanceId && record.leaseId === this.leaseId;
  }

  /**
   * Whether the lease cannot have expired yet. A fresh replica is not enough for a leader to act: its lease was renewed
   * before the replica was last confirmed, and may have expired since, so that another controller is the leader.
   */
  holdsValidLease(now: number): boolean {
    return now - this.validFrom < this.options.leaseTtlMs;
  }

  /** Requests a lease if there is none and `mayAcquire` is set, and renews an existing lease in time. */
  maintainLease(now: number, out: Effect[], mayAcquire: boolean): void {
    this.revokePredecessor(out);
    if (this.leaseId === null) {
      if (!mayAcquire || this.grantPending || !this.grantBackoff.tryAcquire(now)) return;
      this.grantPending = true;
      this.requestedAt = now;
      out.push({ type: 'grant-lease', ttlMs: this.options.leaseTtlMs });
    } else if (!this.renewalPending && now >= this.renewAt) {
      this.renewalPending = true;
      this.requestedAt = now;
      out.push({ type: 'renew-lease', leaseId: this.leaseId });
    }
  }

  /**
   * Revokes the lease of the process that ran under this member's name before. That process is gone, so there is no need to wait
   * for its lease to expire.
   */
  private revokePredecessor(out: Effect[]): void {
    if (this.hasRevokedPredecessor) return;
    this.hasRevokedPredecessor = true;
    const { member, instanceId, replica } = this.options;
    const previousRecord = replica.presences.get(member);
    if (previousRecord && previousRecord.instanceId !== instanceId)
      out.push({ type: 'revoke-lease', leaseId: previousRecord.leaseId });
  }

  /** Enqueues a write of the presence record, attached to the current lease. */
  announce(): void {
    const { leaseId } = this;
    if (leaseId === null) return;
    const { member, instanceId, replica, writes } = this.options;
    const key = presenceKey(member);
    const data = presenceData(instanceId, leaseId, replica.levels.ownCapabilities);
    writes.enqueue(key, () => {
      if (leaseId !== this.leaseId || this.isReleased) return null;
      return {
        conditions: [{ key, stamp: replica.modRevisionOf(key) }],
        writes: [{ key, data, hold: leaseId }],
      };
    });
  }

  /** Handles the response to a lease request. `leaseId` is null if no lease was granted. */
  onLeaseGranted(leaseId: number | null, now: number): void {
    this.grantPending = false;
    if (this.isReleased) return;
    this.leaseId = leaseId;
    this.renewAt = now + this.options.leaseTtlMs * renewalLeaseShare;
    if (leaseId === null) this.grantBackoff.onFailure(now);
    else {
      this.grantBackoff.onSuccess();
      this.validFrom = this.requestedAt;
    }
  }

  /** Handles the response to a lease renewal. `gone`: the lease has expired; `failed`: there was no usable response. */
  onLeaseRenewed(leaseId: number, outcome: 'ok' | 'gone' | 'failed', now: number): void {
    this.renewalPending = false;
    if (leaseId !== this.leaseId) return;
    if (outcome === 'gone') {
      this.options.log('warn', 'state lease expired', { leaseId });
      this.leaseId = null;
    }
    if (outcome === 'failed') this.renewalBackoff.onFailure(now);
    else this.renewalBackoff.onSuccess();
    if (outcome === 'ok') this.validFrom = this.requestedAt;
    this.renewAt =
      outcome === 'ok'
        ? now + this.options.leaseTtlMs * renewalLeaseShare
        : Math.max(now, this.renewalBackoff.notBefore);
  }

  /** Gives up the lease permanently. */
  release(out: Effect[]): void {
    this.isReleased = true;
    if (this.leaseId !== null) out.push({ type: 'revoke-lease', leaseId: this.leaseId });
    this.leaseId = null;
  }
}
