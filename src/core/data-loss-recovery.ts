/** Notices that the state service has lost data, and restores what controllers still know. */
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

/** What data-loss recovery is created with. */
export interface DataLossRecoveryOptions {
  readonly settings: Settings;
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** How long a controller may answer workers without having confirmed its replica, and then a worker's lease, ms. */
  readonly staleAnswerWindowMs: number;
  /** What this process knew when it noticed a loss; null: it has noticed none. */
  readonly recoveryRecords: RecoveryRecords | null;
  readonly log: Log;
}

/**
 * A controller that notices a loss of data restarts with the records that it knew. One controller opens the next incarnation of
 * the state by a conditional write, all of them write what the state lacks, and work resumes. Every write is on condition of the
 * incarnation: a controller that has not joined it can change nothing.
 */
export class DataLossRecovery {
  /** What is heard of the state goes here. */
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

  /** Whether any controller may act: write, grant, start, rent, return, answer workers. */
  get mayAct(): boolean {
    return this.essentialsRestored && this.options.replica.incarnation?.stage !== 'open';
  }

  /** Whether what other controllers need to act has been restored of what this process knew; finished jobs may follow. */
  get essentialsRestored(): boolean {
    return this.restorer.essentialsRestored;
  }

  /** How many jobs this process knows, including those still to be restored. */
  get jobCount(): number {
    return this.restorer.jobCount;
  }

  /**
   * Whether a job that the state lacks was never accepted. What may be running somewhere is known then, too: it has been
   * reported, or its lease has expired.
   */
  get canConfirmAbsence(): boolean {
    const stage = this.options.replica.incarnation?.stage ?? 'whole';
    return this.mayAct && stage === 'whole' && this.monitor.isConfirmed;
  }

  /** Evaluates the evidence; true: data was lost, and this controller is to restart with what it knew. */
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

  /** Below the level that brought incarnations there are programs beside this one that could not join one. */
  private mayRecover(): boolean {
    const { levels } = this.options.replica;
    if (levels.isEnabled('incarnations') || !this.restorer.isDone) return true;
    // Until the state names its level, nothing can be concluded from the one in force.
    return levels.state.modRevision === 0 && levels.ownCapabilities.maxLevel >= features.incarnations.level;
  }

  private restart({ reason, joinsExisting }: LossSuspicion, out: Effect[]): void {
    const { replica, log } = this.options;
    const known = this.restorer.records;
    const newest = Math.max(
      this.incarnations.newestSeenNumber,
      known?.incarnation ?? 0,
      this.monitor.minIncarnation,
    );
    const incarnation = joinsExisting ? newest - 1 : newest;
    log('error', 'state service has lost data', { why: reason, incarnation });
    const recoveryRecords = collectRecoveryRecords(replica, known, incarnation, reason);
    out.push({ type: 'restart', recoveryRecords });
  }

  /** Restores records and leads incarnations through their stages. */
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
    // The first one is named once all controllers know what it is.
    else if (isLeader && replica.levels.isEnabled('incarnations')) this.incarnations.nameFirst();
  }
}
