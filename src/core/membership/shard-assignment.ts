/** Shard assignment by the leader: which teams belong to each shard, and which process owns it. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { canParticipate } from '../../feature-levels/index.js';
import type { Log } from '../effects.js';
import type { Replica } from '../replica.js';
import {
  type PresenceRecord,
  shardGrantData,
  shardKey,
  teamShardsData,
  teamShardsKey,
} from '../storage/index.js';
import type { LeaderElection } from './leader-election.js';
import type { PendingWrites } from './pending-writes.js';
import type { Presence } from './presence.js';

/** How often the leader checks the assignment if the state has not changed, as a share of its state lease. */
const checkIntervalLeaseShare = 1 / 64;
/** A controller without shards gets one from another controller once it has been present for this many state leases. */
const rebalanceAfterLeases = 2;

/** What shard assignment is created with. */
export interface ShardAssignmentOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly leaseTtlMs: number;
  readonly replica: Replica;
  readonly writes: PendingWrites;
  readonly presence: Presence;
  readonly election: LeaderElection;
  readonly log: Log;
}

/** The number of shards that live processes own, by member, and the shards that no live process owns. */
interface Ownership {
  readonly shardCounts: Map<string, number>;
  readonly unowned: readonly number[];
}

/** Assigns teams to shards and shards to controllers. Every write is conditional on this process still being the leader. */
export class ShardAssignment {
  private checkedAt = -Infinity;
  private checkedRevision = -1;
  /** The process last seen under each member's name, and since when it has been present, ms. */
  private readonly presentSince = new Map<string, { instanceId: string; at: number }>();

  constructor(private readonly options: ShardAssignmentOptions) {}

  /** Assigns teams and shards that are not assigned, and rebalances shards. Called in every step; most steps find no change. */
  update(now: number): void {
    const { replica, leaseTtlMs } = this.options;
    const wasCheckedRecently = now - this.checkedAt < leaseTtlMs * checkIntervalLeaseShare;
    if (replica.watchRevision === this.checkedRevision && wasCheckedRecently) return;
    this.checkedAt = now;
    this.checkedRevision = replica.watchRevision;
    if (this.assignTeams()) return;
    const present = this.presentControllers();
    this.recordPresentSince(present, now);
    if (present.length === 0) return;
    const { shardCounts, unowned } = this.ownership(present);
    if (unowned.length === 0) this.rebalance(present, shardCounts, now);
    for (const shard of unowned) this.assignUnowned(shard, present, shardCounts);
  }

  /** Writes the table of teams by shard if it lacks a team. Returns whether it did. */
  private assignTeams(): boolean {
    const { settings, operators, replica } = this.options;
    const shards = operators.shards > 0 ? operators.shards : 1 + settings.peers.length;
    const teams = settings.teams.map((t) => t.name);
    const assigned = new Set(replica.teamsByShard.flat());
    if (replica.teamsModRevision > 0 && teams.every((t) => assigned.has(t))) return false;
    // A team must stay in its shard, because its quota usage is counted there.
    const table = replica.teamsByShard.map((list) => [...list]);
    while (table.length < Math.min(shards, teams.length)) table.push([]);
    for (const team of teams)
      if (!assigned.has(team)) table.reduce((a, b) => (b.length < a.length ? b : a)).push(team);
    this.write(teamShardsKey, teamShardsData(table));
    return true;
  }

  /** The controllers that are present and support the feature level in force, sorted by name. */
  private presentControllers(): PresenceRecord[] {
    const { replica } = this.options;
    return [...replica.presences.values()]
      .filter((p) => canParticipate(replica.levels.state, p.capabilities))
      .sort((a, b) => (a.member < b.member ? -1 : 1));
  }

  private recordPresentSince(present: readonly PresenceRecord[], now: number): void {
    for (const { member, instanceId } of present)
      if (this.presentSince.get(member)?.instanceId !== instanceId)
        this.presentSince.set(member, { instanceId, at: now });
  }

  private ownership(present: readonly PresenceRecord[]): Ownership {
    const { replica } = this.options;
    const shardCounts = new Map(present.map((p) => [p.member, 0]));
    const unowned: number[] = [];
    replica.teamsByShard.forEach((_, shard) => {
      const grant = replica.shards.get(shard);
      if (grant && replica.isAlive(grant.owner, grant.instanceId))
        shardCounts.set(grant.owner, (shardCounts.get(grant.owner) ?? 0) + 1);
      else unowned.push(shard);
    });
    return { shardCounts, unowned };
  }

  /** Moves one shard from a controller that owns several to one that owns none and has been present for long enough. */
  private rebalance(
    present: readonly PresenceRecord[],
    shardCounts: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const minPresentMs = rebalanceAfterLeases * this.options.leaseTtlMs;
    const presentMs = (member: string): number => now - (this.presentSince.get(member)?.at ?? now);
    const idle = present.find((p) => shardCounts.get(p.member) === 0 && presentMs(p.member) > minPresentMs);
    const loaded = present.find((p) => (shardCounts.get(p.member) ?? 0) > 1);
    if (!idle || !loaded) return;
    const shard = [...this.options.replica.shards].find(([, grant]) => grant.owner === loaded.member)?.[0];
    if (shard !== undefined) this.write(shardKey(shard), shardGrantData(idle.member, idle.instanceId));
  }

  /** Assigns a shard to the controller with the fewest shards. Ties are broken by the number of the shard. */
  private assignUnowned(
    shard: number,
    present: readonly PresenceRecord[],
    shardCounts: Map<string, number>,
  ): void {
    const preferred = present[shard % present.length];
    const owner = present.reduce(
      (a, b) => (shardCounts.get(b.member)! < shardCounts.get(a.member)! ? b : a),
      preferred,
    );
    shardCounts.set(owner.member, shardCounts.get(owner.member)! + 1);
    this.options.log('info', 'assigning shard', { shard, to: owner.member });
    this.write(shardKey(shard), shardGrantData(owner.member, owner.instanceId));
  }

  private write(key: string, data: Record<string, unknown>): void {
    const { replica, writes, presence, election } = this.options;
    const leadership = election.leadershipCondition();
    if (leadership === null) return;
    writes.enqueue(key, () => {
      if (presence.isReleased) return null;
      return {
        conditions: [{ key, stamp: replica.modRevisionOf(key) }, leadership()],
        writes: [{ key, data }],
      };
    });
  }
}
