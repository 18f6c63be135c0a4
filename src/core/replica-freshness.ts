/** Freshness of the controller's replica: the time up to which it is known to be complete. */
import type { Clock, Log } from './effects.js';
import type { Replica } from './replica.js';

/** A gap between two steps of more than this fraction of the state lease counts as a stall of the process. */
const stallLeaseFraction = 1 / 3;
/** Replica age, as a fraction of the maximum age, above which the peers are queried. */
const queryPeersAgeFraction = 0.2;
/** Replica age, as a fraction of the maximum age, above which the state service is logged as unreachable. */
const unreachableAgeFraction = 0.5;
/** Maximum number of revision readings that wait for the replica to catch up. */
const maxPendingReadings = 50;

/** The revision that the state service had at some time after `requestedAt`, ms. */
interface RevisionReading {
  readonly requestedAt: number;
  readonly revision: number;
}

/**
 * Tracks the time up to which the replica is known to hold every change that any controller had acted on. Times are in ms.
 *
 * There are two kinds of proof: a reading of the state service's revision that the replica has reached, and an answer from
 * every peer to a freshness query. Each proves completeness as of the time when it was requested.
 */
export class ReplicaFreshness {
  /** The time up to which readings of the state service's revision prove the replica complete. */
  confirmedByServiceAt = -Infinity;
  /** The time up to which the peers' answers prove the replica complete. */
  confirmedByPeersAt = -Infinity;
  /** The latest time ever proven either way. It is not reset by a stall, because the proof stays valid for that time. */
  completeUpTo = -Infinity;
  /** Whether the last reading of the revision failed. */
  isStateServiceUnreachable = false;
  private pendingReadings: RevisionReading[] = [];
  private lastStepAt = -Infinity;
  /** When the process last resumed after a stall. Proofs requested before do not make the replica count as fresh. */
  private resumedAt = -Infinity;
  private loggedUnreachable = false;
  private loggedPeerConfirmation = false;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
    /** Duration of this process's state lease. */
    private readonly leaseTtlMs: number,
    /** Maximum age of the replica for answering workers. */
    readonly maxAgeMs: number,
    private readonly log: Log,
  ) {}

  /** Whether the replica is too old for scaling out or in, or for revoking a peer's lease. Peers' answers do not count here. */
  get isStale(): boolean {
    return this.ageMs > this.leaseTtlMs;
  }

  /** Whether the replica is fresh enough to start tasks: a partitioned controller may have missed a cancellation. */
  get isCurrent(): boolean {
    return !this.isStale || this.isConfirmedByPeers;
  }

  /** Age of the replica according to readings of the state service's revision. */
  get ageMs(): number {
    return this.clock.now - this.confirmedByServiceAt;
  }

  /** Whether the replica is fresh enough to answer workers. */
  get mayAnswerWorkers(): boolean {
    return this.clock.now - Math.max(this.confirmedByServiceAt, this.confirmedByPeersAt) <= this.maxAgeMs;
  }

  /** Whether the peers' answers prove the replica younger than a state lease. */
  get isConfirmedByPeers(): boolean {
    return this.clock.now - this.confirmedByPeersAt < this.leaseTtlMs;
  }

  /** Whether the peers should be queried. */
  get needsPeerConfirmation(): boolean {
    return Number.isFinite(this.completeUpTo) && this.ageMs > this.maxAgeMs * queryPeersAgeFraction;
  }

  /**
   * Called at the start of every step. After a stall, pending answers and the leadership may be outdated. The replica counts
   * as stale until a proof requested after the stall confirms it: until then no worker is answered, and no machine is
   * requested or deleted. Writes need no such check, since the conditions of outdated ones fail.
   */
  detectStall(): void {
    const { now } = this.clock;
    const gapMs = now - this.lastStepAt;
    this.lastStepAt = now;
    if (gapMs <= this.leaseTtlMs * stallLeaseFraction || !Number.isFinite(gapMs)) return;
    this.log('warn', 'process stalled', { ms: Math.round(gapMs) });
    this.resumedAt = now;
    this.confirmedByServiceAt = -Infinity;
    this.confirmedByPeersAt = -Infinity;
  }

  /** Handles a reading of the revision that was requested at `requestedAt`; `revision` is null if there was no answer. */
  onRevisionRead(requestedAt: number, revision: number | null): void {
    this.isStateServiceUnreachable = revision === null;
    if (revision !== null) this.pendingReadings.push({ requestedAt, revision });
  }

  /** Handles the peers' confirmation of the replica as of `queriedAt`; null if not all peers have confirmed it yet. */
  onConfirmedByPeers(queriedAt: number | null): void {
    if (queriedAt === null) return;
    this.completeUpTo = Math.max(this.completeUpTo, queriedAt);
    if (queriedAt < this.resumedAt) return;
    this.confirmedByPeersAt = Math.max(this.confirmedByPeersAt, queriedAt);
  }

  /** Evaluates the readings whose revision the replica has reached, and logs changes of reachability. */
  update(): void {
    this.pendingReadings = this.pendingReadings.filter((r) => !this.evaluate(r));
    if (this.pendingReadings.length > maxPendingReadings)
      this.pendingReadings.splice(0, maxPendingReadings / 2);
    this.logChanges();
  }

  /** Whether the replica has reached a reading's revision; if so, it is marked complete up to the time of the request. */
  private evaluate({ requestedAt, revision }: RevisionReading): boolean {
    if (revision > this.replica.watchRevision) return false;
    this.completeUpTo = Math.max(this.completeUpTo, requestedAt);
    if (requestedAt >= this.resumedAt)
      this.confirmedByServiceAt = Math.max(this.confirmedByServiceAt, requestedAt);
    return true;
  }

  private logChanges(): void {
    const isUnreachable = Number.isFinite(this.ageMs) && this.ageMs > this.maxAgeMs * unreachableAgeFraction;
    if (isUnreachable !== this.loggedUnreachable) {
      this.loggedUnreachable = isUnreachable;
      if (isUnreachable)
        this.log('warn', 'state service unreachable', { replicaAgeMs: Math.round(this.ageMs) });
      else this.log('info', 'state service reachable again');
    }
    const isPeerConfirmation =
      isUnreachable && this.confirmedByPeersAt > this.confirmedByServiceAt && this.mayAnswerWorkers;
    if (isPeerConfirmation === this.loggedPeerConfirmation) return;
    this.loggedPeerConfirmation = isPeerConfirmation;
    this.log('info', isPeerConfirmation ? 'replica confirmed by peers' : 'replica not confirmed by peers');
  }
}
