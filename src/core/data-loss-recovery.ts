/** Detects that the state service has lost data, and restores the lost records from what controllers have replicated. */
import type { Settings } from '../config/settings.js';
import { features } from '../feature-levels/index.js';
import { DataLossMonitor, type LossSuspicion } from './data-loss/data-loss-monitor.js';
import { IncarnationManager } from './data-loss/incarnation-manager.js';
import { RecordRestorer } from './data-loss/record-restorer.js';
import type { Clock, Effect, Log } from './effects.js';
import type { Peers } from './peers.js';
import { collectRecoveryRecords, type RecoveryRecords } from './recovery-records.js';
import type { Replica } from './replica.js';
import type { TransactionBatcher } from './storage/index.js';

/** Dependencies and settings of data-loss recovery. */
export interface DataLossRecoveryOptions {
  readonly settings: Settings;
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** How long a controller may answer workers from an unconfirmed replica, plus one worker lease, ms. */
  readonly staleAnswerWindowMs: number;
  /** The records that this process knew when it detected a loss; null if it has detected none. */
  readonly recoveryRecords: RecoveryRecords | null;
  readonly log: Log;
}

/**
 * Coordinates recovery from a loss of data. A controller that detects a loss restarts with the records that it knew. One
 * controller opens the next incarnation of the state by a conditional write, all controllers write the records that the state
 * lacks, and work resumes. Every write is conditional on the incarnation, so a controller that has not joined it cannot change
 * anything.
 */
export class DataLossRecovery {
  /** Receives everything that is observed of the state. */
  readonly monitor: DataLossMonitor;
  private readonly restorer: RecordRestorer;
  private readonly incarnations: IncarnationManager;

  constructor(private readonly options: DataLossRecoveryOptions) {
    const { settings, stateLeaseMs } = options;
    this.monitor = new DataLossMonitor({
      ...options,
      hasPeers: settings.peers.length > 0,
      requestsPerS: settings.state.rps,
    });
    this.restorer = new RecordRestorer({ ...options, progressIntervalMs: stateLeaseMs });
    this.incarnations = new IncarnationManager(options);
  }

  /** Whether controllers may act: write, grant leases, start tasks, request and delete machines, answer workers. */
  get mayAct(): boolean {
    return this.essentialsRestored && this.options.replica.incarnation?.stage !== 'open';
  }

  /**
   * Whether this process has restored those of its records that controllers need in order to act; finished jobs may still
   * follow.
   */
  get essentialsRestored(): boolean {
    return this.restorer.essentialsRestored;
  }

  /** How many jobs this process knows, including those still to be restored. */
  get jobCount(): number {
    return this.restorer.jobCount;
  }

  /**
   * Whether a job that is missing from the state was certainly never accepted. By then everything that may still be running is
   * known, too: it has been reported, or its lease has expired.
   */
  get canConfirmAbsence(): boolean {
    const stage = this.options.replica.incarnation?.stage ?? 'whole';
    return this.mayAct && stage === 'whole' && this.monitor.isConfirmed;
  }

  /** Evaluates the evidence. Returns whether data was lost, so that this controller must restart with the records it knew. */
  detect(out: Effect[]): boolean {
    const { replica } = this.options;
    if (replica.watchRevision < 0) return false;
    const { monitor, incarnations, restorer } = this;
    monitor.evaluate();
    const { incarnation } = replica;
    if (incarnations.observe(incarnation) && incarnation && restorer.isDone)
      monitor.suspect(`incarnation ${incarnation.number} was opened by ${incarnation.openedBy}`, true);
    if (monitor.suspicion !== null && this.mayRecover()) {
      this.restart(monitor.suspicion, out);
      return true;
    }
    monitor.dismissSuspicion();
    return false;
  }

  /** Below the feature level that introduced incarnations, other controllers may run programs that cannot join one. */
  private mayRecover(): boolean {
    const { levels } = this.options.replica;
    if (levels.isEnabled('incarnations') || !this.restorer.isDone) return true;
    // While the state has no record of its level, nothing can be concluded from the level in force.
    return levels.state.modRevision === 0 && levels.ownCapabilities.maxLevel >= features.incarnations.level;
  }

  private restart({ reason, joinsExisting }: LossSuspicion, out: Effect[]): void {
    const { replica, log } = this.options;
    const known = this.restorer.records;
    const newest = Math.max(
      this.incarnations.newestSeenNumber,
      known?.incarnation ?? 0,
      this.monitor.minNextIncarnation,
    );
    const incarnation = joinsExisting ? newest - 1 : newest;
    log('error', 'state service has lost data', { why: reason, incarnation });
    const recoveryRecords = collectRecoveryRecords(replica, known, incarnation, reason);
    out.push({ type: 'restart', recoveryRecords });
  }

  /** Restores records and advances incarnations through their stages. */
  tick(isLeader: boolean): void {
    const { replica } = this.options;
    if (replica.watchRevision < 0) return;
    const { incarnation } = replica;
    const { records } = this.restorer;
    if (records !== null) {
      if (incarnation === null || incarnation.number <= records.incarnation)
        return this.incarnations.open(incarnation, records);
      this.restorer.tick();
    }
    if (incarnation !== null) this.incarnations.advance(incarnation, this.restorer);
    // The first incarnation is recorded once all controllers support incarnations.
    else if (isLeader && replica.levels.isEnabled('incarnations')) this.incarnations.recordFirst();
  }
}
