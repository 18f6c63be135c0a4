/** Membership of this process in the group of controllers: presence, leader election, shard assignment, shutdown. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import type { Random, RetryPolicy } from '../../retry/index.js';
import type { Effect, Log } from '../effects.js';
import type { Replica } from '../replica.js';
import { type TransactionBatcher, presenceKey } from '../storage/index.js';
import { LeaderElection } from './leader-election.js';
import { PendingWrites } from './pending-writes.js';
import { Presence } from './presence.js';
import { ShardAssignment } from './shard-assignment.js';
import { ShardHandover } from './shard-handover.js';

/** The name of the write that deletes the presence and leader records. */
const shutdownWriteName = 'shutdown';

/** What membership is created with. */
export interface MembershipOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Identifies this process among all that have run under its member's name. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  /** How long this process's state lease lasts without being renewed. */
  readonly leaseTtlMs: number;
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly log: Log;
}

/** What may be done in this step, by the state of data-loss recovery. */
export interface MembershipPhase {
  /** Whether a leader may be elected and may act. Not so while lost data is restored. */
  readonly mayAct: boolean;
  /** Whether this process has written the records that membership rests on. */
  readonly essentialsRestored: boolean;
}

/**
 * Presence and leadership are records attached to this process's state lease. The leader writes the table of teams and
 * assigns shards to live processes. Every grant is fenced by the revision of its record, so that no clock here matters
 * for safety.
 */
export class Membership {
  /** Identifies this process. */
  readonly instanceId: string;
  /** How long this process's state lease lasts without being renewed. */
  readonly leaseTtlMs: number;
  private readonly member: string;
  private readonly replica: Replica;
  private readonly writes: PendingWrites;
  private readonly presence: Presence;
  private readonly election: LeaderElection;
  private readonly assignment: ShardAssignment;
  private readonly handover: ShardHandover;
  private isShuttingDown = false;

  constructor(options: MembershipOptions) {
    const { settings, operators, instanceId, replica, batcher, leaseTtlMs, retry, random, log } = options;
    const { member } = settings;
    this.instanceId = instanceId;
    this.leaseTtlMs = leaseTtlMs;
    this.member = member;
    this.replica = replica;
    const writes = (this.writes = new PendingWrites(batcher));
    const presence = new Presence({ member, instanceId, leaseTtlMs, replica, writes, retry, random, log });
    const election = new LeaderElection(member, instanceId, replica, writes, presence);
    this.presence = presence;
    this.election = election;
    this.assignment = new ShardAssignment({
      settings,
      operators,
      leaseTtlMs,
      replica,
      writes,
      presence,
      election,
      log,
    });
    this.handover = new ShardHandover(member, instanceId, replica, writes);
  }

  /** The state lease; null: there is none. */
  get leaseId(): number | null {
    return this.presence.leaseId;
  }

  /** Whether the state service holds the presence record of this process. */
  get isPresent(): boolean {
    return this.presence.isPresent;
  }

  /** Whether this process leads, as far as the replica has followed the state. */
  get isLeader(): boolean {
    return this.election.isLeader;
  }

  /** Whether the state lease cannot have expired yet. */
  holdsValidLease(now: number): boolean {
    return this.presence.holdsValidLease(now);
  }

  /** One step: maintains the lease, announces presence, campaigns for leadership and, as the leader, assigns shards. */
  tick(now: number, out: Effect[], { mayAct, essentialsRestored }: MembershipPhase): void {
    if (this.replica.watchRevision < 0 || !essentialsRestored) return;
    this.presence.maintainLease(now, out, !this.isShuttingDown);
    if (this.presence.leaseId === null || this.isShuttingDown) return;
    if (!this.presence.isPresent) this.presence.announce();
    else if (this.replica.levels.mustStandBy || !mayAct) return;
    else this.election.campaign();
    if (this.election.isLeader && mayAct) this.assignment.update(now);
  }

  /** The answer to a request for a lease; null: none was granted. */
  onLeaseGranted(leaseId: number | null, now: number): void {
    this.presence.onLeaseGranted(leaseId, now);
  }

  /** The answer to a renewal of the lease. */
  onLeaseRenewed(leaseId: number, outcome: 'ok' | 'gone' | 'failed', now: number): void {
    this.presence.onLeaseRenewed(leaseId, outcome, now);
  }

  /** As the owner of a shard, grants it to another process. */
  handOver(shard: number, member: string, instanceId: string): void {
    this.handover.handOver(shard, member, instanceId);
  }

  /** One step of a graceful shutdown: shards go to others first, then leadership and presence are released. */
  shutDown(out: Effect[]): void {
    this.isShuttingDown = true;
    if (this.presence.isReleased || this.replica.watchRevision < 0) return;
    if (this.handover.handOverAll() || this.writes.has(shutdownWriteName)) return;
    if (!this.isPresent && !this.isLeader) return this.presence.release(out);
    this.writes.enqueue(shutdownWriteName, () => {
      const keys = [
        ...(this.isPresent ? [presenceKey(this.member)] : []),
        ...(this.isLeader ? [this.replica.activeLeaderKey] : []),
      ];
      if (keys.length === 0) return null;
      return {
        conditions: keys.map((key) => ({ key, stamp: this.replica.modRevisionOf(key) })),
        writes: keys.map((key) => ({ key, data: undefined })),
      };
    });
  }
}
