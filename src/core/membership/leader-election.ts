/** Leader election: the leader is the process that holds the leader record, attached to its state lease. */
import type { Condition } from '../../wire/store.js';
import type { Replica } from '../replica.js';
import type { PendingWrites } from './pending-writes.js';
import type { Presence } from './presence.js';

/** Takes part in the election by compare-and-swap on the leader record. */
export class LeaderElection {
  constructor(
    private readonly member: string,
    private readonly instanceId: string,
    private readonly replica: Replica,
    private readonly writes: PendingWrites,
    private readonly presence: Presence,
  ) {}

  /** Whether this process leads, as far as the replica has followed the state. */
  get isLeader(): boolean {
    const { leader } = this.replica;
    return leader?.member === this.member && leader.instanceId === this.instanceId;
  }

  /** Writes the leader record if there is none. */
  campaign(): void {
    const { leaseId } = this.presence;
    if (leaseId === null || this.replica.leader !== null) return;
    const key = this.replica.activeLeaderKey;
    const data = { member: this.member, run: this.instanceId };
    this.writes.enqueue(key, () => {
      // Guards against a leadership that another has acquired, or that has moved with the level, while this was queued.
      const isOutdated = key !== this.replica.activeLeaderKey || this.replica.leader !== null;
      if (leaseId !== this.presence.leaseId || isOutdated || this.presence.isReleased) return null;
      return {
        conditions: [{ key, stamp: this.replica.modRevisionOf(key) }],
        writes: [{ key, data, hold: leaseId }],
      };
    });
  }

  /**
   * The condition that this process still holds the leadership that it has now; null: it does not lead. The key is
   * looked up when the condition is evaluated: a change of the level moves the leader record.
   */
  leadershipCondition(): (() => Condition) | null {
    const { leader } = this.replica;
    if (!this.isLeader || leader === null) return null;
    const stamp = leader.modRevision;
    return () => ({ key: this.replica.activeLeaderKey, stamp });
  }
}
