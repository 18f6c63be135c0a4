/**
 * What a controller goes through from its first instruction until it serves again:
 *
 *     reading   the state, page by page; nobody can be answered from memory yet
 *     joining   has a view; its presence is being written
 *     standby   present, without a shard: answers users, sends workers to their owner
 *     proving   owns a shard; machines with tasks on them have to report under its token first
 *     serving   every machine that held tasks when the shard was taken up has reported or is proven gone
 *
 * It goes back from any phase to an earlier one when what that rests on is lost.
 */
export type RecoveryPhase = 'reading' | 'joining' | 'standby' | 'proving' | 'serving';

/** What is the case now. */
export interface RecoveryFacts {
  /** The view has been read whole. */
  isStateLoaded: boolean;
  /** The state service holds our presence. */
  isPresent: boolean;
  /** Shards of ours. */
  ownedShards: number;
  /** Machines that held tasks when their shard was taken up and have neither reported nor gone since. */
  unprovenMachines: number;
  /** Placements that this process has decided so far. */
  placementCount: number;
}

export interface PhaseTransition {
  from: RecoveryPhase;
  to: RecoveryPhase;
  /** Since the process began, ms. */
  atMs: number;
  /** How long the phase that ends has lasted, ms. */
  lastedMs: number;
}

export interface RecoverySummary {
  /** From owning a shard to all of its machines proven, ms, and to all but a few of them: the dead take longest. */
  provenMs: number;
  mostProvenMs: number;
  /** From the start of the process to its first placement, ms; null: nothing was placed yet. */
  firstPlacementMs: number | null;
  late: boolean;
}

export const phaseOf = (f: RecoveryFacts): RecoveryPhase => {
  if (!f.isStateLoaded) return 'reading';
  if (!f.isPresent) return 'joining';
  if (f.ownedShards === 0) return 'standby';
  return f.unprovenMachines > 0 ? 'proving' : 'serving';
};

/** Of the machines of a shard, so many may be gone or cut off without the start counting as late. */
const fewShare = 0.05;

/** Follows a process through the phases and keeps the times. Times are since the process began, ms. */
export class RecoveryTracker {
  phase: RecoveryPhase = 'reading';
  private since = 0;
  private ownedAt: number | null = null;
  private firstPlacementMs: number | null = null;
  private reported = false;
  private overdueTold = false;
  private toProve = 0;
  private mostProvenMs: number | null = null;

  /** `boundMs`: so long after it began to own a shard, all machines should be proven. */
  constructor(private readonly boundMs: number) {}

  update(now: number, facts: RecoveryFacts): PhaseTransition | null {
    if (facts.ownedShards === 0) {
      this.ownedAt = null;
      this.reported = false;
      this.overdueTold = false;
      this.mostProvenMs = null;
    } else if (this.ownedAt === null) {
      this.ownedAt = now;
      this.toProve = facts.unprovenMachines;
    }
    if (this.ownedAt !== null && facts.unprovenMachines <= this.toProve * fewShare)
      this.mostProvenMs ??= now - this.ownedAt;
    if (this.firstPlacementMs === null && facts.placementCount > 0) this.firstPlacementMs = now;
    const to = phaseOf(facts);
    if (to === this.phase) return null;
    const t: PhaseTransition = { from: this.phase, to, atMs: now, lastedMs: now - this.since };
    this.phase = to;
    this.since = now;
    return t;
  }

  /** Once for each time that a shard was taken up and not all of it was proven within the bound. */
  takeOverdue(now: number): boolean {
    if (this.phase !== 'proving' || this.overdueTold || this.ownedAt === null) return false;
    this.overdueTold = now - this.ownedAt > this.boundMs;
    return this.overdueTold;
  }

  /** Once for each time that a shard was taken up and all of it is proven. */
  takeSummary(now: number): RecoverySummary | null {
    if (this.phase !== 'serving' || this.reported || this.ownedAt === null) return null;
    this.reported = true;
    const provenMs = now - this.ownedAt;
    const mostProvenMs = this.mostProvenMs ?? provenMs;
    const { firstPlacementMs } = this;
    return { provenMs, mostProvenMs, firstPlacementMs, late: mostProvenMs > this.boundMs };
  }
}
