/**
 * The phases of a controller's recovery after its start, until it serves its shard. The names are logged.
 *
 *     reading   reads the state page by page; nothing can be answered from the replica yet
 *     joining   has a complete replica; its presence record is being written
 *     standby   present, without a shard: answers users, redirects workers to the owner of their machine
 *     proving   owns a shard; machines with tasks must first report under its fencing token
 *     serving   every machine that held tasks when the shard was acquired has reported or is proven to be gone
 *
 * A controller returns from any phase to an earlier one when a precondition of the phase is lost.
 */
export type RecoveryPhase = 'reading' | 'joining' | 'standby' | 'proving' | 'serving';

/** The facts that determine the phase. */
export interface RecoveryFacts {
  /** Whether the first read of the state is complete. */
  readonly isStateLoaded: boolean;
  /** Whether the state service holds the presence record of this process. */
  readonly isPresent: boolean;
  /** Shards that this process owns. */
  readonly ownedShards: number;
  /** Machines that held tasks when their shard was acquired, and have neither reported since nor been proven to be gone. */
  readonly unprovenMachines: number;
  /** Placements that this process has made so far. */
  readonly placementCount: number;
}

/** A change of the phase, logged under these field names. */
export interface PhaseTransition {
  readonly from: RecoveryPhase;
  readonly to: RecoveryPhase;
  /** Time since the process started, ms. */
  readonly atMs: number;
  /** Duration of the phase that ends, ms. */
  readonly lastedMs: number;
}

/** The durations of a recovery, logged under these field names. */
export interface RecoverySummary {
  /** From acquiring a shard until all of its machines were proven, ms. */
  readonly provenMs: number;
  /** From acquiring a shard until all but a few of its machines were proven, ms: dead machines take longest. */
  readonly mostProvenMs: number;
  /** From the start of the process to its first placement, ms; null if nothing has been placed yet. */
  readonly firstPlacementMs: number | null;
  /** Whether `mostProvenMs` exceeds the target. */
  readonly late: boolean;
}

/** Returns the phase of a controller. */
export function phaseOf(facts: RecoveryFacts): RecoveryPhase {
  if (!facts.isStateLoaded) return 'reading';
  if (!facts.isPresent) return 'joining';
  if (facts.ownedShards === 0) return 'standby';
  return facts.unprovenMachines > 0 ? 'proving' : 'serving';
}

/** The share of a shard's machines that may be dead or cut off without the recovery counting as late. */
const maxUnprovenShare = 0.05;

/** Progress of proving the machines since this process acquired a shard. */
interface ProvingProgress {
  readonly startedAt: number;
  /** Machines to be proven when the shard was acquired. */
  readonly machineCount: number;
  /** Set once all but a few machines are proven. */
  mostProvenMs: number | null;
  overdueTaken: boolean;
  summaryTaken: boolean;
}

/** Tracks the phases of a process and their durations. Times are in ms since the process started. */
export class RecoveryTracker {
  phase: RecoveryPhase = 'reading';
  private phaseStartedAt = 0;
  private firstPlacementMs: number | null = null;
  /** Null while this process owns no shard. */
  private proving: ProvingProgress | null = null;

  /** `provingTargetMs`: the time after acquiring a shard within which the machines should be proven. */
  constructor(private readonly provingTargetMs: number) {}

  /** Updates the phase from the current facts. Returns the change of the phase; null if there is none. */
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
    return this.enterPhase(phaseOf(facts), now);
  }

  private enterPhase(phase: RecoveryPhase, now: number): PhaseTransition | null {
    if (phase === this.phase) return null;
    const transition = { from: this.phase, to: phase, atMs: now, lastedMs: now - this.phaseStartedAt };
    this.phase = phase;
    this.phaseStartedAt = now;
    return transition;
  }

  /** Returns true once per acquisition of a shard whose machines were not all proven within the target. */
  takeOverdue(now: number): boolean {
    const { proving } = this;
    if (this.phase !== 'proving' || proving === null || proving.overdueTaken) return false;
    proving.overdueTaken = now - proving.startedAt > this.provingTargetMs;
    return proving.overdueTaken;
  }

  /** Returns the durations once per acquisition of a shard, when all of its machines are proven; null otherwise. */
  takeSummary(now: number): RecoverySummary | null {
    const { proving, firstPlacementMs } = this;
    if (this.phase !== 'serving' || proving === null || proving.summaryTaken) return null;
    proving.summaryTaken = true;
    const provenMs = now - proving.startedAt;
    const mostProvenMs = proving.mostProvenMs ?? provenMs;
    return { provenMs, mostProvenMs, firstPlacementMs, late: mostProvenMs > this.provingTargetMs };
  }
}
