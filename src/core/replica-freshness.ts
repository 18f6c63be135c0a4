/** Freshness of the controller's replica: up to which moment it is known to be complete. */
import type { Clock, Log } from './effects.js';
import type { Replica } from './replica.js';

/** With more than this share of the state lease between two steps the process is taken to have stalled. */
const stallLeaseFraction = 1 / 3;
/** From this share of the maximum age on, the peers are queried. */
const queryPeersAgeFraction = 0.2;
/** From this share of the maximum age on, the state service is logged as unreachable. */
const unreachableAgeFraction = 0.5;
const maxPendingReadings = 50;

/** The revision that the state service had at some moment after `requestedAt`. */
interface RevisionReading {
  readonly requestedAt: number;
  readonly revision: number;
}

/**
 * Up to which moment the replica is known to hold everything that any controller had acted on. Times in ms.
 *
 * Two things prove it: a reading of the state's revision that the replica has reached, and an answer of every peer to a
 * freshness query. Both count from when they were requested.
 */
export class ReplicaFreshness {
  /** The latest moment that a reading of the state's revision proves. */
  confirmedByStoreAt = -Infinity;
  /** The latest moment that the peers' answers prove. */
  confirmedByPeersAt = -Infinity;
  /** The latest of both ever. It stays true when the process stalls: only the age changes. */
  completeUpTo = -Infinity;
  /** Whether the last reading that was requested got no answer. */
  isStoreUnreachable = false;
  private pendingReadings: RevisionReading[] = [];
  private lastStepAt = -Infinity;
  /** What was requested before this moment proves nothing for now. */
  private resumedAt = -Infinity;
  private loggedUnreachable = false;
  private loggedPeerConfirmation = false;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
    /** How long this process's state lease lasts. */
    private readonly leaseTtlMs: number,
    /** How old the replica may be for workers to be answered from it. */
    readonly maxAgeMs: number,
    private readonly log: Log,
  ) {}

  /** Too old for the leader to act: to scale out or in, to revoke a peer's lease. Peers' answers do not help here. */
  get isStale(): boolean {
    return this.ageMs > this.leaseTtlMs;
  }

  /** Fresh enough to start tasks. Guards against a controller that is cut off and has missed a cancellation. */
  get isCurrent(): boolean {
    return !this.isStale || this.isConfirmedByPeers;
  }

  /** The age by readings of the state's revision. */
  get ageMs(): number {
    return this.clock.now - this.confirmedByStoreAt;
  }

  /** Fresh enough to answer workers. */
  get mayAnswerWorkers(): boolean {
    return this.clock.now - Math.max(this.confirmedByStoreAt, this.confirmedByPeersAt) <= this.maxAgeMs;
  }

  /** Whether the peers have confirmed the replica within a state lease. */
  get isConfirmedByPeers(): boolean {
    return this.clock.now - this.confirmedByPeersAt < this.leaseTtlMs;
  }

  /** Whether the peers should be queried. */
  get needsPeerConfirmation(): boolean {
    return Number.isFinite(this.completeUpTo) && this.ageMs > this.maxAgeMs * queryPeersAgeFraction;
  }

  /**
   * Called at the start of every step. A process that has stalled holds answers and a leadership from before. Its replica
   * counts as old until something that was requested since confirms it: until then no worker is answered, and no machine is
   * rented or returned. Writes need no such guard, their conditions fail.
   */
  detectStall(): void {
    const { now } = this.clock;
    const gapMs = now - this.lastStepAt;
    this.lastStepAt = now;
    if (gapMs <= this.leaseTtlMs * stallLeaseFraction || !Number.isFinite(gapMs)) return;
    this.log('warn', 'process stalled', { ms: Math.round(gapMs) });
    this.resumedAt = now;
    this.confirmedByStoreAt = -Infinity;
    this.confirmedByPeersAt = -Infinity;
  }

  /** A reading of the state's revision that was requested at `requestedAt`; null: it got no answer. */
  onRevisionRead(requestedAt: number, revision: number | null): void {
    this.isStoreUnreachable = revision === null;
    if (revision !== null) this.pendingReadings.push({ requestedAt, revision });
  }

  /** Every peer has handed over what it knew of that moment or before; null: not yet. */
  onConfirmedByPeers(queriedAt: number | null): void {
    if (queriedAt === null) return;
    this.completeUpTo = Math.max(this.completeUpTo, queriedAt);
    if (queriedAt < this.resumedAt) return;
    this.confirmedByPeersAt = Math.max(this.confirmedByPeersAt, queriedAt);
  }

  /** Evaluates the readings whose revision the replica has reached, and logs changes for operators. */
  update(): void {
    this.pendingReadings = this.pendingReadings.filter((r) => !this.evaluate(r));
    if (this.pendingReadings.length > maxPendingReadings)
      this.pendingReadings.splice(0, maxPendingReadings / 2);
    this.logChanges();
  }

  /** Whether the replica has reached a reading's revision, and so is complete up to its request. */
  private evaluate({ requestedAt, revision }: RevisionReading): boolean {
    if (revision > this.replica.watchRevision) return false;
    this.completeUpTo = Math.max(this.completeUpTo, requestedAt);
    if (requestedAt >= this.resumedAt)
      this.confirmedByStoreAt = Math.max(this.confirmedByStoreAt, requestedAt);
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
      isUnreachable && this.confirmedByPeersAt > this.confirmedByStoreAt && this.mayAnswerWorkers;
    if (isPeerConfirmation === this.loggedPeerConfirmation) return;
    this.loggedPeerConfirmation = isPeerConfirmation;
    this.log('info', isPeerConfirmation ? 'replica confirmed by peers' : 'replica not confirmed by peers');
  }
}
