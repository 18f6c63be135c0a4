/** Presence, leadership and the grants of shards. */
import type { Operators } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import { RetryBackoff, type Random, type RetryPolicy } from '../retry/index.js';
import {
  type Committer,
  presenceData,
  presenceKey,
  Rank,
  shardGrantData,
  shardKey,
  teamShardsData,
  teamShardsKey,
} from './storage/index.js';
import type { Effect, Log } from './effects.js';
import { canParticipate } from '../feature-levels/index.js';
import type { Replica } from './replica.js';

/** Without news of the state, the leader looks at the grants this often, as a share of its state lease. */
const ledShare = 1 / 64;

/**
 * Presence, leadership and grants. Presence and leadership are keys attached to this process's state lease.
 * The leader writes the table of teams and grants shards to live processes; a grant is fenced by its key's
 * stamp, so none of the clocks here matters for safety.
 */
export class Membership {
  leaseId: number | null = null;
  private asking = false;
  private readonly asks: RetryBackoff;
  private readonly renewals: RetryBackoff;
  private renewAt = 0;
  private renewing = false;
  /** When what gave the lease its present time was asked for, ms: it lasts at least `leaseTtlMs` from then. */
  private askedAt = -Infinity;
  private heldFrom = -Infinity;
  private cleared = false;
  private readonly busy = new Set<string>();
  private readonly seen = new Map<string, { run: string; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly operators: Operators,
    readonly run: string,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    /** How long this process's state lease lasts without being renewed. */
    readonly leaseTtlMs: number,
    retry: RetryPolicy,
    random: Random,
    private readonly log: Log,
  ) {
    this.asks = new RetryBackoff(retry, random);
    this.renewals = new RetryBackoff(retry, random);
  }

  /** The state service holds our presence. */
  get isPresent(): boolean {
    const mine = this.replica.presences.get(this.settings.member);
    return mine !== undefined && mine.instanceId === this.run && mine.leaseId === this.leaseId;
  }

  get isLeader(): boolean {
    return (
      this.replica.leader?.member === this.settings.member && this.replica.leader.instanceId === this.run
    );
  }

  /**
   * Whether the lease surely lasts. Guards against a leader that acts by a view that is new enough while its lease, which was
   * renewed before the view was last confirmed, has ended and another leads.
   */
  holdsValidLease(now: number): boolean {
    return now - this.heldFrom < this.leaseTtlMs;
  }

  /** Nobody is to give this process anything any more: it ends. */
  private leaving = false;
  private left = false;

  /** Hands on what this process has, then goes: its shards to others, leadership and presence to nobody. */
  shutDown(out: Effect[]): void {
    this.leaving = true;
    if (this.left || this.replica.watchRevision < 0) return;
    const { member } = this.settings;
    const { state } = this.replica.levels;
    const others = [...this.replica.presences.values()].filter(
      (n) => n.member !== member && canParticipate(state, n.capabilities),
    );
    const mine = [...this.replica.shards].filter(([, g]) => g.owner === member && g.instanceId === this.run);
    mine.forEach(([shard], i) => {
      const to = others[i % others.length];
      if (others.length > 0) this.handOver(shard, to.member, to.instanceId);
    });
    if ((mine.length > 0 && others.length > 0) || this.busy.has('leave')) return;
    if (!this.isPresent && !this.isLeader) return this.goneFor(out);
    this.busy.add('leave');
    const ended = () => void this.busy.delete('leave');
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        const keys = [
          ...(this.isPresent ? [presenceKey(member)] : []),
          ...(this.isLeader ? [this.replica.activeLeaderKey] : []),
        ];
        if (keys.length === 0) {
          ended();
          return null;
        }
        return {
          conditions: keys.map((key) => ({ key, stamp: this.replica.modRevisionOf(key) })),
          writes: keys.map((key) => ({ key, data: undefined })),
        };
      },
      onCommitted: ended,
      onConflict: ended,
    });
  }

  private goneFor(out: Effect[]): void {
    this.left = true;
    if (this.leaseId !== null) out.push({ type: 'revoke-lease', leaseId: this.leaseId });
    this.leaseId = null;
  }

  /** `acting`: while lost data is brought back nobody leads; `given`: this process has written what it knew of it. */
  tick(now: number, out: Effect[], acting: boolean, given: boolean): void {
    if (this.replica.watchRevision < 0 || !given) return;
    const { levels } = this.replica;
    const mine = this.replica.presences.get(this.settings.member);
    if (!this.cleared) {
      this.cleared = true;
      // A presence from an earlier run of this very member: that process is over, so its lease may end now.
      if (mine && mine.instanceId !== this.run) out.push({ type: 'revoke-lease', leaseId: mine.leaseId });
    }
    if (this.leaseId === null) {
      if (this.leaving) return;
      if (!this.asking && this.asks.tryAcquire(now)) {
        this.asking = true;
        this.askedAt = now;
        out.push({ type: 'grant-lease', ttlMs: this.leaseTtlMs });
      }
      return;
    }
    if (!this.renewing && now >= this.renewAt) {
      this.renewing = true;
      this.askedAt = now;
      out.push({ type: 'renew-lease', leaseId: this.leaseId });
    }
    if (this.leaving) return;
    if (!this.isPresent)
      this.put(
        presenceKey(this.settings.member),
        presenceData(this.run, this.leaseId, levels.ownCapabilities),
        this.leaseId,
      );
    else if (levels.mustStandBy || !acting) return;
    else if (this.replica.leader === null)
      this.put(this.replica.activeLeaderKey, { member: this.settings.member, run: this.run }, this.leaseId);
    if (this.isLeader && acting) this.lead(now);
  }

  onLeaseGranted(hold: number | null, now: number): void {
    this.asking = false;
    if (this.left) return;
    this.leaseId = hold;
    this.renewAt = now + this.leaseTtlMs / 3;
    if (hold === null) this.asks.onFailure(now);
    else {
      this.asks.onSuccess();
      this.heldFrom = this.askedAt;
    }
  }

  onLeaseRenewed(hold: number, outcome: 'ok' | 'gone' | 'failed', now: number): void {
    this.renewing = false;
    if (hold !== this.leaseId) return;
    if (outcome === 'gone') {
      this.log('warn', 'state lease ended', { hold });
      this.leaseId = null;
    }
    if (outcome === 'failed') this.renewals.onFailure(now);
    else this.renewals.onSuccess();
    if (outcome === 'ok') this.heldFrom = this.askedAt;
    this.renewAt = outcome === 'ok' ? now + this.leaseTtlMs / 3 : Math.max(now, this.renewals.notBefore);
  }

  private ledAt = -Infinity;
  private ledEpoch = -1;

  /** The leader's upkeep of the team table and the grants. */
  private lead(now: number): void {
    // Every step comes here, and hardly any brings news.
    if (this.replica.watchRevision === this.ledEpoch && now - this.ledAt < this.leaseTtlMs * ledShare) return;
    this.ledAt = now;
    this.ledEpoch = this.replica.watchRevision;
    const shards = this.operators.shards > 0 ? this.operators.shards : 1 + this.settings.peers.length;
    const teams = this.settings.teams.map((t) => t.name);
    const known = new Set(this.replica.teamsByShard.flat());
    if (this.replica.teamsModRevision === 0 || teams.some((t) => !known.has(t))) {
      // A team that has a home keeps it: its cap is counted there.
      const table = this.replica.teamsByShard.map((list) => [...list]);
      while (table.length < Math.min(shards, teams.length)) table.push([]);
      for (const team of teams)
        if (!known.has(team)) table.reduce((a, b) => (b.length < a.length ? b : a)).push(team);
      this.put(teamShardsKey, teamShardsData(table));
      return;
    }
    const alive = [...this.replica.presences.values()]
      .filter((n) => canParticipate(this.replica.levels.state, n.capabilities))
      .sort((a, b) => (a.member < b.member ? -1 : 1));
    for (const node of alive)
      if (this.seen.get(node.member)?.run !== node.instanceId)
        this.seen.set(node.member, { run: node.instanceId, at: now });
    if (alive.length === 0) return;
    const load = new Map(alive.map((n) => [n.member, 0]));
    const loose: number[] = [];
    this.replica.teamsByShard.forEach((_, shard) => {
      const grant = this.replica.shards.get(shard);
      if (grant && this.replica.isAlive(grant.owner, grant.instanceId))
        load.set(grant.owner, (load.get(grant.owner) ?? 0) + 1);
      else loose.push(shard);
    });
    // A settled node without a shard gets one from a node that has several.
    if (loose.length === 0) {
      const idle = alive.find(
        (n) => load.get(n.member) === 0 && now - (this.seen.get(n.member)?.at ?? now) > 2 * this.leaseTtlMs,
      );
      const laden = alive.find((n) => (load.get(n.member) ?? 0) > 1);
      if (idle && laden) {
        const shard = [...this.replica.shards].find(([, g]) => g.owner === laden.member)?.[0];
        if (shard !== undefined) this.put(shardKey(shard), shardGrantData(idle.member, idle.instanceId));
      }
    }
    for (const shard of loose) {
      const home = alive[shard % alive.length];
      const to = alive.reduce((a, b) => (load.get(b.member)! < load.get(a.member)! ? b : a), home);
      load.set(to.member, load.get(to.member)! + 1);
      this.log('info', 'granting shard', { shard, to: to.member });
      this.put(shardKey(shard), shardGrantData(to.member, to.instanceId));
    }
  }

  /** As its owner: another process is to have a shard from now on. What we still have to write for it will fail. */
  handOver(shard: number, to: string, run: string): void {
    const grant = this.replica.shards.get(shard);
    if (grant?.owner !== this.settings.member || grant.instanceId !== this.run) return;
    const key = shardKey(shard);
    if (this.busy.has(key)) return;
    this.busy.add(key);
    const done = () => void this.busy.delete(key);
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => ({
        conditions: [{ key, stamp: grant.modRevision }],
        writes: [{ key, data: shardGrantData(to, run) }],
      }),
      onCommitted: done,
      onConflict: done,
    });
  }

  private put(key: string, data: Record<string, unknown>, hold?: number): void {
    if (this.busy.has(key)) return;
    this.busy.add(key);
    const leads = hold !== undefined && data['member'] === this.settings.member;
    const leadStamp = this.isLeader && hold === undefined ? this.replica.leader!.modRevision : null;
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        // Guards against a leadership that another has taken, or that has moved with the level, while this waited.
        const late = leads && (key !== this.replica.activeLeaderKey || this.replica.leader !== null);
        if ((hold !== undefined && hold !== this.leaseId) || late || this.left) {
          this.busy.delete(key);
          return null;
        }
        const when = [{ key, stamp: this.replica.modRevisionOf(key) }];
        if (leadStamp !== null) when.push({ key: this.replica.activeLeaderKey, stamp: leadStamp });
        return { conditions: when, writes: [{ key, data, hold }] };
      },
      onCommitted: () => this.busy.delete(key),
      onConflict: () => this.busy.delete(key),
    });
  }
}
