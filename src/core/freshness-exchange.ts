/** Freshness queries between controllers: sends queries to the peers and answers theirs. */
import type { OperatorSettings } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import { canParticipate } from '../feature-levels/index.js';
import { FreshnessQuorum, RecentChanges, type FreshnessQuery } from '../freshness/index.js';
import type { Change } from '../wire/store.js';
import type { Clock, Effect } from './effects.js';
import type { Replica } from './replica.js';

/** Maximum number of changes kept for answering peers' queries. */
const maxRecentChanges = 512;

/** Options of the freshness exchange. */
export interface FreshnessExchangeOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Unique identifier of this process. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly clock: Clock;
  /** Duration of this process's state lease. */
  readonly leaseTtlMs: number;
}

/**
 * Lets controllers confirm each other's replicas: each hands over the changes that another's replica lacks. Workers can then
 * be answered while the state service is unavailable.
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
    // Short enough for several queries within the time for which one answer is valid.
    const intervalMs = Math.min(leaseTtlMs / 4, operators['grant-s'] * 50);
    this.quorum = new FreshnessQuorum(instanceId, members, intervalMs);
  }

  /** Records a change that no peer may miss. */
  recordCriticalChange(change: Change): void {
    this.recentChanges.record(change);
  }

  /** Handles a completed read of the whole state as of this revision. */
  onStateLoaded(revision: number): void {
    this.recentChanges.markCompleteUpTo(revision);
  }

  /** Records which process currently runs as a peer. */
  recordPeerProcess(member: string, instanceId: string): void {
    this.quorum.recordPeerProcess(member, instanceId, this.clock.now);
  }

  private get incarnation(): number {
    return this.replica.incarnation?.number ?? 0;
  }

  /** Sends a freshness query to the peers, if one is due. */
  queryPeers(out: Effect[]): void {
    const query = this.quorum.nextQuery(this.clock.now, this.replica.watchRevision, this.incarnation);
    if (query) out.push({ type: 'query-freshness', query });
  }

  /** Answers a peer's query with all changes that its replica lacks, if all of them are known. */
  onQuery(from: string, query: FreshnessQuery, out: Effect[]): void {
    // A replica from before a data loss must be neither confirmed nor updated with changes made since.
    if (query.incarnation !== this.incarnation) return;
    const known = this.replica.watchRevision < 0 ? null : this.recentChanges.since(query.revision);
    if (known) out.push({ type: 'confirm-freshness', to: from, query, known });
  }

  /**
   * Applies the changes in a peer's answer. Returns the time up to which the replica is now known to be complete, ms, or null
   * if that is not confirmed yet. `completeUpTo` is the time up to which it was known to be complete before.
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
    // A program that does not support the level in force cannot hand over changes that it does not understand.
    const presence = presences.get(from);
    const isIncapable =
      presence?.instanceId === instanceId && !canParticipate(levels.state, presence.capabilities);
    if (levels.mustStandBy || isIncapable) return null;
    return this.quorum.onConfirmation(from, instanceId, query, completeUpTo);
  }
}
