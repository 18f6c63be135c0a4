/** Freshness queries between controllers: what this one asks its peers, and what it answers them. */
import type { OperatorSettings } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import { canParticipate } from '../feature-levels/index.js';
import { FreshnessQuorum, RecentChanges, type FreshnessQuery } from '../freshness/index.js';
import type { Change } from '../wire/store.js';
import type { Clock, Effect } from './effects.js';
import type { Replica } from './replica.js';

/** How many changes are kept for peers' queries. */
const maxRecentChanges = 512;

/** What the exchange is created with. */
export interface FreshnessExchangeOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Identifies this process. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly clock: Clock;
  /** How long this process's state lease lasts. */
  readonly leaseTtlMs: number;
}

/**
 * Lets every controller confirm that the others' replicas lack nothing that it knows, so that workers can be answered
 * while the state service is away.
 */
export class FreshnessExchange {
  private readonly recentChanges = new RecentChanges(maxRecentChanges);
  private readonly quorum: FreshnessQuorum;
  private readonly replica: Replica;
  private readonly clock: Clock;

  constructor({ settings, operators, instanceId, replica, clock, leaseTtlMs }: FreshnessExchangeOptions) {
    this.replica = replica;
    this.clock = clock;
    const members = settings.peers.map((p) => p.member);
    // Several queries fit into the time for which one answer is good.
    const intervalMs = Math.min(leaseTtlMs / 4, operators['grant-s'] * 50);
    this.quorum = new FreshnessQuorum(instanceId, members, intervalMs);
  }

  /** Keeps a change that peers must not miss. */
  recordCriticalChange(change: Change): void {
    this.recentChanges.record(change);
  }

  /** All of the state up to this revision was read at once. */
  onStateLoaded(revision: number): void {
    this.recentChanges.markCompleteUpTo(revision);
  }

  /** A process was heard under a peer's name. */
  recordPeerProcess(member: string, instanceId: string): void {
    this.quorum.recordPeerProcess(member, instanceId, this.clock.now);
  }

  private get incarnation(): number {
    return this.replica.incarnation?.number ?? 0;
  }

  /** Queries the peers, if a query is due. */
  queryPeers(out: Effect[]): void {
    const query = this.quorum.nextQuery(this.clock.now, this.replica.watchRevision, this.incarnation);
    if (query) out.push({ type: 'query-freshness', query });
  }

  /** Answers a peer's query with the changes that it lacks, if they are all known. */
  onQuery(from: string, query: FreshnessQuery, out: Effect[]): void {
    // Guards against confirming a replica from before a data loss, or changing it by what is known since.
    if (query.incarnation !== this.incarnation) return;
    const known = this.replica.watchRevision < 0 ? null : this.recentChanges.since(query.revision);
    if (known) out.push({ type: 'confirm-freshness', to: from, query, known });
  }

  /**
   * Applies the changes in a peer's answer. Returns the moment up to which the replica is known to be complete now, ms, or
   * null. `completeUpTo`: the moment up to which it was known to be complete before.
   */
  onConfirmation(
    from: string,
    instanceId: string,
    query: FreshnessQuery,
    changes: readonly Change[],
    completeUpTo: number,
  ): number | null {
    if (query.incarnation !== this.incarnation) return null;
    for (const change of changes) this.replica.apply(change);
    const { levels, presences } = this.replica;
    // Guards against a program that knows less than the level in force: it cannot hand over what it does not understand.
    const presence = presences.get(from);
    const isIncapable =
      presence?.instanceId === instanceId && !canParticipate(levels.state, presence.capabilities);
    if (levels.mustStandBy || isIncapable) return null;
    return this.quorum.onConfirmation(from, instanceId, query, completeUpTo);
  }
}
