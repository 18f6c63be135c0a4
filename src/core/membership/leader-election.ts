/** Leader election: the leader is the process named in the leader record, which is attached to its state lease. */
import type { Condition } from '../../wire/store.js';
import type { Replica } from '../replica.js';
import type { PendingWrites } from './pending-writes.js';
import type { Presence } from './presence.js';

/** Campaigns for leadership by compare-and-swap on the leader record. */
export class LeaderElection {
  constructor(
    private readonly member: string,
    private readonly instanceId: string,
    private readonly replica: Replica,
    private readonly writes: PendingWrites,
    private readonly presence: Presence,
  ) {}

  /** Whether this process is the leader, as of the revision that the replica has reached. */
  get isLeader(): boolean {
    const { leader } = this.replica;
    return leader?.member === this.member && leader.instanceId === this.instanceId;
  }

  /**
   * Enqueues a write of the leader record if there is none. The record is attached to the state lease (`hold`); its stored field
   * `run` is the id of this process.
   */
  campaign(): void {
    const { leaseId } = this.presence;
    if (leaseId === null || this.replica.leader !== null) return;
    const key = this.replica.activeLeaderKey;
    const data = { member: this.member, run: this.instanceId };
    this.writes.enqueue(key, () => {
      // While this write was queued, another process may have become the leader, or a change of the feature level may have
      // moved the leader record to another key.
      const isOutdated = key !== this.replica.activeLeaderKey || this.replica.leader !== null;
      if (leaseId !== this.presence.leaseId || isOutdated || this.presence.isReleased) return null;
      return {
        conditions: [{ key, stamp: this.replica.modRevisionOf(key) }],
        writes: [{ key, data, hold: leaseId }],
      };
    });
  }

  /**
   * A condition for transactions that holds only while this process keeps its current leadership; null: it is not the
   * leader. The key is looked up when the condition is built, because a change of the feature level moves the leader record.
   */
  leadershipCondition(): (() => Condition) | null {
    const { leader } = this.replica;
    if (!this.isLeader || leader === null) return null;
    const stamp = leader.modRevision;
    return () => ({ key: this.replica.activeLeaderKey, stamp });
  }
}
