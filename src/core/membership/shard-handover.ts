/** Handover of a shard by its owner to another process. */
import { canParticipate } from '../../feature-levels/index.js';
import type { Replica } from '../replica.js';
import { shardGrantData, shardKey } from '../storage/index.js';
import type { PendingWrites } from './pending-writes.js';

/**
 * Grants shards that this process owns to other processes. A grant is fenced by the revision of its record: once it is
 * written, writes of this process to the shard fail.
 */
export class ShardHandover {
  constructor(
    private readonly member: string,
    private readonly instanceId: string,
    private readonly replica: Replica,
    private readonly writes: PendingWrites,
  ) {}

  /** Grants a shard to another process. Does nothing if this process does not own the shard. */
  handOver(shard: number, member: string, instanceId: string): void {
    const grant = this.replica.shards.get(shard);
    if (grant?.owner !== this.member || grant.instanceId !== this.instanceId) return;
    const key = shardKey(shard);
    this.writes.enqueue(key, () => ({
      conditions: [{ key, stamp: grant.modRevision }],
      writes: [{ key, data: shardGrantData(member, instanceId) }],
    }));
  }

  /** Hands over all shards to the other controllers, round-robin. Returns whether handovers are in progress. */
  handOverAll(): boolean {
    const { presences, levels, shards } = this.replica;
    const others = [...presences.values()].filter(
      (p) => p.member !== this.member && canParticipate(levels.state, p.capabilities),
    );
    const owned = [...shards].filter(
      ([, grant]) => grant.owner === this.member && grant.instanceId === this.instanceId,
    );
    if (owned.length === 0 || others.length === 0) return false;
    owned.forEach(([shard], i) => {
      const { member, instanceId } = others[i % others.length];
      this.handOver(shard, member, instanceId);
    });
    return true;
  }
}
