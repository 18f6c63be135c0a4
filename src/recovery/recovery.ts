/**
 * The phases of a controller's start, from its first instruction until it serves, and their times.
 *
 *     reading   reads the state, page by page; nothing can be answered from the replica yet
 *     joining   has a complete replica; its presence record is being written
 *     standby   present, without a shard: answers users, redirects workers to the owner of their machine
 *     proving   owns a shard; machines with tasks on them have to report under its fencing token first
 *     serving   every machine that held tasks when the shard was acquired has reported or is proven gone
 *
 * A controller returns from any phase to an earlier one when what that phase rests on is lost.
 */
export type RecoveryPhase = 'reading' | 'joining' | 'standby' | 'proving' | 'serving';

/** What the phase depends on. */
export interface RecoveryFacts {
  /** The first reading of the state is complete. */
  readonly isStateLoaded: boolean;
  /** The state service holds the presence record of this process. */
  readonly isPresent: boolean;
  /** How many shards this process owns. */
  readonly ownedShards: number;
  /** Machines that held tasks when their shard was acquired, and have neither reported nor gone since. */
  readonly unprovenMachines: number;
  /** Placements that this process has decided so far. */
  readonly placementCount: number;
}

/** A change of the phase, as it is logged. */
export interface PhaseTransition {
  readonly from: RecoveryPhase;
  readonly to: RecoveryPhase;
  /** Since the process started, ms. */
  readonly atMs: number;
  /** How long the phase that ends has lasted, ms. */
  readonly lastedMs: number;
}

/** The times of a recovery, as they are logged. */
export interface RecoverySummary {
  /** From owning a shard to the proof of all of its machines, ms. */
  readonly provenMs: number;
  /** The same for all but a few machines, ms: those that have died take longest. */
  readonly mostProvenMs: number;
  /** From the start of the process to its first placement, ms; null: nothing has been placed yet. */
  readonly firstPlacementMs: number | null;
  /** Whether it took longer than the bound. */
  readonly late: boolean;
}

/** The phase that a controller is in. */
export function phaseOf(facts: RecoveryFacts): RecoveryPhase {
  if (!facts.isStateLoaded) return 'reading';
  if (!facts.isPresent) return 'joining';
  if (facts.ownedShards === 0) return 'standby';
  return facts.unprovenMachines > 0 ? 'proving' : 'serving';
}

/** This share of a shard's machines may have died or be cut off without the recovery counting as late. */
const maxUnprovenShare = 0.05;

/** The proof of the machines since this process came to own a shard. */
interface ProvingProgress {
  readonly startedAt: number;
  /** Machines to be proven at the start. */
  readonly machineCount: number;
  mostProvenMs: number | null;
  overdueTaken: boolean;
  summaryTaken: boolean;
}

/** Follows a process through the phases and keeps the times. Times are since the process started, ms. */
export class RecoveryTracker {
  phase: RecoveryPhase = 'reading';
  private phaseSince = 0;
  private firstPlacementMs: number | null = null;
  /** null: this process owns no shard. */
  private proving: ProvingProgress | null = null;

  /** `boundMs`: all machines should be proven this long after the process came to own a shard. */
  constructor(private readonly boundMs: number) {}

  /** Takes in the facts of a step; the change of the phase, if there is one. */
  update(now: number, facts: RecoveryFacts): PhaseTransition | null {
    if (facts.ownedShards === 0) this.proving = null;
    else
      this.proving ??= {
        startedAt: now,
        machineCount: facts.unprovenMachines,
        mostProvenMs: null,
        overdueTaken: false,
        summaryTaken: false,
      };
    const { proving } = this;
    if (proving && facts.unprovenMachines <= proving.machineCount * maxUnprovenShare)
      proving.mostProvenMs ??= now - proving.startedAt;
    if (this.firstPlacementMs === null && facts.placementCount > 0) this.firstPlacementMs = now;
    return this.enter(phaseOf(facts), now);
  }

  private enter(phase: RecoveryPhase, now: number): PhaseTransition | null {
    if (phase === this.phase) return null;
    const transition = { from: this.phase, to: phase, atMs: now, lastedMs: now - this.phaseSince };
    this.phase = phase;
    this.phaseSince = now;
    return transition;
  }

  /** True once for each time that this process came to own a shard and not all of it was proven within the bound. */
  takeOverdue(now: number): boolean {
    const { proving } = this;
    if (this.phase !== 'proving' || proving === null || proving.overdueTaken) return false;
    proving.overdueTaken = now - proving.startedAt > this.boundMs;
    return proving.overdueTaken;
  }

  /** The times, once for each time that this process came to own a shard and all of it is proven. */
  takeSummary(now: number): RecoverySummary | null {
    const { proving, firstPlacementMs } = this;
    if (this.phase !== 'serving' || proving === null || proving.summaryTaken) return null;
    proving.summaryTaken = true;
    const provenMs = now - proving.startedAt;
    const mostProvenMs = proving.mostProvenMs ?? provenMs;
    return { provenMs, mostProvenMs, firstPlacementMs, late: mostProvenMs > this.boundMs };
  }
}
