/** The core of a controller: takes commands, returns effects, and defines the order in which components act in a step. */
import type { ShutdownPhase } from '../feature-levels/index.js';
import {
  createComponents,
  type ControllerComponents,
  type ControllerOptions,
} from './controller/components.js';
import { handleCommand, type CommandContext } from './controller/command-handlers.js';
import { isHealthy } from './controller/health.js';
import { reportRecovery } from './controller/recovery-report.js';
import type { Clock, Command, Effect } from './effects.js';
import type { OwnStatus } from './peers.js';

export type { ControllerOptions } from './controller/components.js';

/** How many times per state lease recovery, overload and rejected requests are monitored. */
const monitorRunsPerLease = 16;
/** How many times the revision is read within the maximum replica age for answering workers, and per leader lease. */
const revisionReadsPerMaxAge = 8;
const revisionReadsPerLeaderLease = 4;

/**
 * Owns all state of a controller process. It is deterministic: the same commands, clock readings and random numbers yield
 * the same effects, so that tests can run it on simulated time.
 */
export class Controller {
  private readonly components: ControllerComponents;
  private readonly clock: Clock = { now: 0, wall: 0 };
  private readonly commandContext: CommandContext;
  private revisionRequestedAt = -Infinity;
  private wasLeader = false;
  private wasOffloading = false;
  private shardsChanged = true;
  private monitoredAt = -Infinity;
  private loggedLevel = '';
  /** Set when data loss was detected: a new controller replaces this one and takes over its records, so this one stops acting. */
  private superseded = false;

  constructor(private readonly options: ControllerOptions) {
    const onShardsChanged = (): void => void (this.shardsChanged = true);
    this.components = createComponents(options, this.clock, {
      onShardsChanged,
      onLevelChanged: () => this.onLevelChanged(),
    });
    this.commandContext = {
      components: this.components,
      clock: this.clock,
      log: options.log,
      matcher: options.matcher ?? null,
      onShardsChanged,
      announceRevision: (revision, effects) => this.sendPeerStatus(effects, revision),
    };
  }

  /** This controller's replica of the stored state. */
  get replica(): ControllerComponents['replica'] {
    return this.components.replica;
  }

  /** Manages presence, leadership and shard assignment. */
  get membership(): ControllerComponents['membership'] {
    return this.components.membership;
  }

  /** Manages the shards that this controller owns. */
  get shardManager(): ControllerComponents['shardManager'] {
    return this.components.shardManager;
  }

  /** Requests and deletes machines while this controller is the leader. */
  get autoscaler(): ControllerComponents['autoscaler'] {
    return this.components.autoscaler;
  }

  /** Tracks the phases of the recovery after a start. */
  get recovery(): ControllerComponents['recovery'] {
    return this.components.recovery;
  }

  /** Tracks how fresh the replica is. */
  get freshness(): ControllerComponents['freshness'] {
    return this.components.freshness;
  }

  /** Tracks the feature level in force. */
  get levels(): ControllerComponents['levels'] {
    return this.components.levels;
  }

  /** Whether health checks pass, so that user requests are routed to this controller. */
  get healthy(): boolean {
    return isHealthy(this.components, this.options.settings.peers.length > 0, this.clock.now);
  }

  /** Whether users may be told that an unknown job was never accepted. False while records may be missing after data loss. */
  get sureOfAbsence(): boolean {
    return this.components.dataLossRecovery.canConfirmAbsence;
  }

  /** The phase of the graceful shutdown. */
  get shutdownPhase(): ShutdownPhase {
    const { autoscaler, batcher, membership, shardManager, shutdown } = this.components;
    return shutdown.phase(this.clock.now, {
      ownedShards: shardManager.ownedShards.size,
      leading: membership.isLeader,
      present: membership.isPresent,
      busy: batcher.pendingCount > 0 || autoscaler.hasPendingChanges,
    });
  }

  /** Handles commands, lets every component act, and returns the effects to be carried out outside of the core. */
  step(commands: Command[], clock: Clock): Effect[] {
    const effects: Effect[] = [];
    const { dataLossRecovery, freshness, userRequests } = this.components;
    this.clock.now = clock.now;
    this.clock.wall = clock.wall;
    userRequests.stepEffects = effects;
    freshness.detectStall();
    if (this.superseded) return effects;
    for (const command of commands) handleCommand(command, this.commandContext, effects);
    if (dataLossRecovery.detect(effects)) {
      this.superseded = true;
      userRequests.respondRetryLaterToAll(effects);
      return effects;
    }
    // Read once per step: a recovery from data loss that completes within this step takes effect in the next one.
    const { mayAct } = dataLossRecovery;
    this.updateRoles(mayAct, effects);
    this.runLeaderTasks(mayAct, effects);
    this.runMemberTasks(effects);
    this.requestRevision(effects);
    this.monitor();
    this.components.admission.countStateRequests(effects);
    return effects;
  }

  /** Updates shard ownership, presence and leadership from the replica. */
  private updateRoles(mayAct: boolean, effects: Effect[]): void {
    const { autoscaler, batcher, dataLossRecovery, membership } = this.components;
    batcher.suspended = !mayAct;
    this.reconcileShards();
    membership.tick(this.clock.now, effects, {
      mayAct,
      essentialsRestored: dataLossRecovery.essentialsRestored,
    });
    dataLossRecovery.tick(membership.isLeader);
    if (membership.isLeader === this.wasLeader) return;
    this.wasLeader = membership.isLeader;
    this.options.log('info', this.wasLeader ? 'leading' : 'no longer leading');
    autoscaler.reset();
  }

  /** Runs the leader's tasks: scaling, feature levels and the write budget. */
  private runLeaderTasks(mayAct: boolean, effects: Effect[]): void {
    const { admission, autoscaler, dataLossRecovery, featureLevelManager, freshness, membership, shutdown } =
      this.components;
    // After a stall or a network partition, another leader may already be managing the machines.
    const mayLead =
      this.wasLeader &&
      mayAct &&
      !freshness.isStale &&
      membership.holdsValidLease(this.clock.now) &&
      !shutdown.requested;
    if (!mayLead) return;
    dataLossRecovery.monitor.requestAudit(effects);
    autoscaler.tick(effects);
    featureLevelManager.tick();
    admission.proposeWriteBudget();
  }

  /** Runs the tasks of every controller: shards, workers, user requests, writes and peer messages. */
  private runMemberTasks(effects: Effect[]): void {
    const { admission, batcher, dataLossRecovery, freshness, freshnessExchange } = this.components;
    const { heartbeatRouter, loadSharing, membership, shardManager, shutdown, userRequests } =
      this.components;
    if (shutdown.requested) membership.shutDown(effects);
    shardManager.tick(effects);
    heartbeatRouter.tick(effects);
    loadSharing.tick();
    admission.applyWriteBudget(effects);
    userRequests.tick(effects, freshness.confirmedByPeersAt);
    batcher.tick(this.clock.now, effects);
    if (freshness.needsPeerConfirmation) freshnessExchange.queryPeers(effects);
    this.sendPeerStatus(effects, null);
    if (dataLossRecovery.monitor.wantsRevisionRead) effects.push({ type: 'read-revision' });
  }

  /** Applies a change of the feature level and logs it once, with a warning if this program does not support the level. */
  private onLevelChanged(): void {
    const { levels, shardManager } = this.components;
    const { level, writeLevel: write } = levels.state;
    this.shardsChanged = true;
    shardManager.onLevelChanged();
    const key = `${levels.unreadable} ${level} ${write}`;
    if (key === this.loggedLevel) return;
    this.loggedLevel = key;
    const { maxLevel: most, program } = levels.ownCapabilities;
    const fields = { level, write, most, program };
    if (levels.mustStandBy)
      this.options.log('warn', 'standing by: the level in force is not one that this program knows', fields);
    else this.options.log('info', 'level in force', fields);
  }

  /**
   * Reads the revision periodically even without user requests: workers are answered only from a replica known to be fresh,
   * and the leader needs a replica younger than its state lease.
   */
  private requestRevision(effects: Effect[]): void {
    const { freshness, membership, replica } = this.components;
    const { now } = this.clock;
    const leaderIntervalMs = this.wasLeader ? membership.leaseTtlMs / revisionReadsPerLeaderLease : Infinity;
    const intervalMs = Math.min(freshness.maxAgeMs / revisionReadsPerMaxAge, leaderIntervalMs);
    if (now - this.revisionRequestedAt > intervalMs && replica.watchRevision >= 0)
      effects.push({ type: 'read-revision' });
    if (effects.some((e) => e.type === 'read-revision')) this.revisionRequestedAt = now;
  }

  /** Sends this controller's status to the peers when due, and immediately on a new revision or a change in offloading. */
  private sendPeerStatus(effects: Effect[], revision: number | null): void {
    const { admission, loadSharing, peers, replica } = this.components;
    const { isOffloading } = loadSharing;
    const newRevision = isOffloading !== this.wasOffloading ? replica.watchRevision : revision;
    this.wasOffloading = isOffloading;
    const ownStatus = (): OwnStatus => ({
      utilizationPermille: Math.round(loadSharing.utilization * 1000),
      wantsForwarding: isOffloading,
      demand: admission.demand,
    });
    peers.broadcastStatus(effects, ownStatus, newRevision);
  }

  private reconcileShards(): void {
    const { freshness, replica, shardManager } = this.components;
    const { instanceId, settings } = this.options;
    freshness.update();
    if (!this.shardsChanged) return;
    shardManager.reconcileShards();
    // A grant may be visible before the replica has reached its revision: reconcile again until the shard is acquired.
    this.shardsChanged = [...replica.shards].some(
      ([shard, grant]) =>
        grant.owner === settings.member &&
        grant.instanceId === instanceId &&
        !shardManager.ownedShards.has(shard),
    );
  }

  private monitor(): void {
    const { admission, membership } = this.components;
    const { now } = this.clock;
    if (now - this.monitoredAt < membership.leaseTtlMs / monitorRunsPerLease) return;
    this.monitoredAt = now;
    admission.monitor();
    reportRecovery(this.components, now, this.options.log);
  }
}
