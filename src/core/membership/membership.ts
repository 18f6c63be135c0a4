/** Membership of this process in the group of controllers: presence, leader election, shard assignment and shutdown. */
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

/** The name of the pending write that deletes the presence and leader records. */
const shutdownWriteName = 'shutdown';

/** What membership is created with. */
export interface MembershipOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Identifies this process among all processes that have run under the name of its member. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  /** The time to live of the state lease without renewal. */
  readonly leaseTtlMs: number;
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly log: Log;
}

/** What membership may do in a step, depending on the progress of data-loss recovery. */
export interface MembershipPhase {
  /** Whether a leader may be elected and may act: false while lost data is being restored. */
  readonly mayAct: boolean;
  /** Whether this process has written the records that membership depends on. */
  readonly essentialsRestored: boolean;
}

/**
 * Maintains the presence of this process, takes part in leader election and, as the leader, assigns shards. Presence and
 * leadership are records attached to the state lease of this process. The leader writes the table of teams by shard and
 * grants shards to live processes. Every grant is fenced by the revision of its record, so that safety does not depend on
 * the clock of this process.
 */
export class Membership {
  /** Identifies this process. */
  readonly instanceId: string;
  /** The time to live of the state lease without renewal. */
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

  /** The id of the state lease; null: there is none. */
  get leaseId(): number | null {
    return this.presence.leaseId;
  }

  /** Whether the state service holds the presence record of this process. */
  get isPresent(): boolean {
    return this.presence.isPresent;
  }

  /** Whether this process is the leader, as of the revision that the replica has reached. */
  get isLeader(): boolean {
    return this.election.isLeader;
  }

  /** Whether the state lease cannot have expired yet. */
  holdsValidLease(now: number): boolean {
    return this.presence.holdsValidLease(now);
  }

  /** Performs one step: maintains the lease, announces presence, campaigns for leadership and, as leader, assigns shards. */
  tick(now: number, out: Effect[], { mayAct, essentialsRestored }: MembershipPhase): void {
    if (this.replica.watchRevision < 0 || !essentialsRestored) return;
    this.presence.maintainLease(now, out, !this.isShuttingDown);
    if (this.presence.leaseId === null || this.isShuttingDown) return;
    if (!this.presence.isPresent) this.presence.announce();
    else if (this.replica.levels.mustStandBy || !mayAct) return;
    else this.election.campaign();
    if (this.election.isLeader && mayAct) this.assignment.update(now);
  }

  /** Handles the response to a lease request. `leaseId` is null if no lease was granted. */
  onLeaseGranted(leaseId: number | null, now: number): void {
    this.presence.onLeaseGranted(leaseId, now);
  }

  /** Handles the response to a lease renewal. `gone`: the lease has expired; `failed`: there was no usable response. */
  onLeaseRenewed(leaseId: number, outcome: 'ok' | 'gone' | 'failed', now: number): void {
    this.presence.onLeaseRenewed(leaseId, outcome, now);
  }

  /** Grants a shard to another process. Does nothing if this process does not own the shard. */
  handOver(shard: number, member: string, instanceId: string): void {
    this.handover.handOver(shard, member, instanceId);
  }

  /** Performs one step of a graceful shutdown: hands over all shards, then gives up leadership and presence. */
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
