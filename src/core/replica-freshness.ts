/** How new the controller's copy of the state is known to be. */
import type { Clock, Log } from './effects.js';
import type { Replica } from './replica.js';

/** Longer than this share of its state lease between two steps, and a process is taken to have stood still. */
const standstillShare = 1 / 3;
/** From this share of the time that a view is good for on, the others are asked to vouch for it. */
const vouchShare = 0.2;
const mostReadings = 50;

/** Up to which moment the view is known to hold whatever any controller had told anybody. Times in ms. */
export class ReplicaFreshness {
  /** By a reading of the state's revision. */
  confirmedByStoreAt = -Infinity;
  /** By the others: they had handed over all that they knew then. */
  confirmedByPeersAt = -Infinity;
  /** The latest of both ever. It stays true when the process stands still: only how new it is changes. */
  completeUpTo = -Infinity;
  private readings: { sentAt: number; epoch: number }[] = [];
  private steppedAt = -Infinity;
  /** What was asked before this moment proves nothing for now. */
  private wokeAt = -Infinity;
  private lost = false;
  private vouching = false;
  /** The last reading that was asked for got no answer. */
  isStoreUnreachable = false;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
    /** How long this process's state lease lasts. */
    private readonly ttlMs: number,
    /** How old the view may be for workers to be answered from it. */
    readonly maxAgeMs: number,
    private readonly log: Log,
  ) {}

  /** Too old to act for everybody: to rent, to return, to end a peer's lease. Vouching does not help here. */
  get isStale(): boolean {
    return this.ageMs > this.ttlMs;
  }

  /** New enough for work to be started: whoever was cut off may not know of a cancellation. */
  get isCurrent(): boolean {
    return !this.isStale || this.isConfirmedByPeers;
  }

  get ageMs(): number {
    return this.clock.now - this.confirmedByStoreAt;
  }

  get mayAnswerWorkers(): boolean {
    return this.clock.now - Math.max(this.confirmedByStoreAt, this.confirmedByPeersAt) <= this.maxAgeMs;
  }

  /** The others have confirmed the view lately. */
  get isConfirmedByPeers(): boolean {
    return this.clock.now - this.confirmedByPeersAt < this.ttlMs;
  }

  get needsPeerConfirmation(): boolean {
    return Number.isFinite(this.completeUpTo) && this.ageMs > this.maxAgeMs * vouchShare;
  }

  /**
   * A process that stood still holds answers and an authority from before. Its view counts as old until it is confirmed
   * by what was asked for since: no worker is answered, nothing is rented or returned until then. Its writes need no such
   * guard, their conditions tell.
   */
  detectStall(): void {
    const { now } = this.clock;
    const gapMs = now - this.steppedAt;
    this.steppedAt = now;
    if (gapMs <= this.ttlMs * standstillShare || !Number.isFinite(gapMs)) return;
    this.log('warn', 'stood still', { ms: Math.round(gapMs) });
    this.wokeAt = now;
    this.confirmedByStoreAt = -Infinity;
    this.confirmedByPeersAt = -Infinity;
  }

  /** A reading of the state's revision that was asked for at `sentAt`; null: it got no answer. */
  onRevisionRead(sentAt: number, revision: number | null): void {
    this.isStoreUnreachable = revision === null;
    if (revision !== null) this.readings.push({ sentAt, epoch: revision });
  }

  /** The others know nothing of that moment or before that the view lacks. */
  onConfirmedByPeers(askedAt: number | null): void {
    if (askedAt === null) return;
    this.completeUpTo = Math.max(this.completeUpTo, askedAt);
    if (askedAt < this.wokeAt) return;
    this.confirmedByPeersAt = Math.max(this.confirmedByPeersAt, askedAt);
  }

  update(): void {
    this.readings = this.readings.filter((r) => {
      if (r.epoch > this.replica.watchRevision) return true;
      this.completeUpTo = Math.max(this.completeUpTo, r.sentAt);
      if (r.sentAt >= this.wokeAt) this.confirmedByStoreAt = Math.max(this.confirmedByStoreAt, r.sentAt);
      return false;
    });
    if (this.readings.length > mostReadings) this.readings.splice(0, mostReadings / 2);
    const lost = Number.isFinite(this.ageMs) && this.ageMs > this.maxAgeMs / 2;
    if (lost !== this.lost) {
      this.lost = lost;
      if (lost) this.log('warn', 'state service not reached', { forMs: Math.round(this.ageMs) });
      else this.log('info', 'state service reached again');
    }
    const vouching = this.lost && this.confirmedByPeersAt > this.confirmedByStoreAt && this.mayAnswerWorkers;
    if (vouching !== this.vouching) {
      this.vouching = vouching;
      this.log('info', vouching ? 'others vouch for our view' : 'nobody vouches for our view');
    }
  }
}
