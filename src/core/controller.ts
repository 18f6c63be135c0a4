/** The core of a controller: commands in, effects out, and the turn of each of its parts in a step. */
import { RateMeter, OverloadMonitor, type MemberDemand } from '../admission/index.js';
import type { OperatorSettings } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import {
  capabilitiesOf,
  GracefulShutdown,
  FeatureLevels,
  type ShutdownPhase,
} from '../feature-levels/index.js';
import { limitsOf } from '../limits/index.js';
import type { Matcher } from '../policy/matching.js';
import { RecoveryTracker } from '../recovery/index.js';
import { retryPolicies, type Random } from '../retry/index.js';
import { Committer, conditionsPerOperation } from './storage/index.js';
import { UserRequests } from './user-requests.js';
import { ShardManager } from './shard-manager.js';
import type { Clock, Command, Effect, Log } from './effects.js';
import { Autoscaler } from './autoscaler/autoscaler.js';
import { Membership } from './membership/index.js';
import { FreshnessExchange } from './freshness-exchange.js';
import { LoadSharing } from './load-sharing.js';
import { Peers, type OwnStatus } from './peers.js';
import { WriteBudget } from './write-budget.js';
import type { RecoveryRecords } from './recovery-records.js';
import { DataLossRecovery } from './data-loss-recovery.js';
import { Replica } from './replica.js';
import { HeartbeatRouter } from './heartbeat-router.js';
import { FeatureLevelManager } from './feature-level-manager.js';
import { ReplicaFreshness } from './replica-freshness.js';

/** Of the workers' lease: how long a controller that leaves gives answers and hands on. */
const drainLeaseRatio = 0.3;
const handoverLeaseRatio = 0.6;

/** Effects that are requests to the state service. */
const stateServiceEffects: ReadonlySet<string> = new Set([
  'commit',
  'read-revision',
  'catch-up',
  'grant-lease',
  'renew-lease',
  'revoke-lease',
]);

/** So many machines are named in a log line at most. */
const maxLoggedItems = 8;

/**
 * The one owner of all state of a process. Commands go in by batches, effects come out; given the same
 * commands, clock readings and random numbers, the effects are the same.
 */
export class Controller {
  readonly replica: Replica;
  readonly membership: Membership;
  readonly shardManager: ShardManager;
  readonly autoscaler: Autoscaler;
  readonly recovery: RecoveryTracker;
  readonly freshness: ReplicaFreshness;
  readonly levels: FeatureLevels;
  private readonly featureLevelManager: FeatureLevelManager;
  private readonly shutdown: GracefulShutdown;
  private readonly batcher: Committer;
  private readonly userRequests: UserRequests;
  private readonly peers: Peers;
  private readonly freshnessExchange: FreshnessExchange;
  private readonly loadSharing: LoadSharing;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly clock: Clock = { now: 0, wall: 0 };
  private revisionRequestedAt = -Infinity;
  private wasLeading = false;
  private wasOffloading = false;
  private shardsChanged = true;
  private monitoredAt = -Infinity;
  private loggedLevel = '';
  private rejectionsLoggedAt = -Infinity;
  private readonly fairAdmission: boolean;
  private readonly writeBudget: WriteBudget;
  private readonly dataLossRecovery: DataLossRecovery;
  private superseded = false;
  private readonly overloadMonitor = new OverloadMonitor();
  private readonly stateRequests = new RateMeter(3000);
  /** Shares that the process tells of: sockets, memory, room for what waits. */
  private processLoad = { sockets: 0, memory: 0, waiting: 0 };
  private readonly maxConnections: number;

  constructor(
    private readonly settings: Settings,
    operators: OperatorSettings,
    private readonly run: string,
    /** The core's only source of chance. */
    random: Random,
    private readonly log: Log,
    /** Where jobs may look at machines' attributes. */
    private readonly matcher: Matcher | null = null,
    /** Which program this is, for those who look after a roll. */
    program = '?',
    /** What this process knew before the state service lost data. */
    recoveryRecords: RecoveryRecords | null = null,
  ) {
    this.fairAdmission = operators['fair-admission'] > 0;
    this.levels = new FeatureLevels(capabilitiesOf(program, operators['level-most']));
    const leaseMs = settings.workers.lease_s * 1000;
    this.shutdown = new GracefulShutdown(leaseMs * handoverLeaseRatio, leaseMs * drainLeaseRatio);
    const ttlMs = Math.round(settings.workers.lease_s * 1000 * operators['node-lease-ratio']);
    const retry = retryPolicies({ ...settings, stateLeaseMs: ttlMs });
    const limits = limitsOf(settings);
    const { clock } = this;
    this.replica = new Replica(
      {
        jobChanged: (id, now) => {
          if (now?.state === 'open') this.userRequests.jobAccepted(id);
          this.shardManager.shardState.jobChanged(id, now);
        },
        machineChanged: (host, now) => this.shardManager.shardState.machineChanged(host, now),
        shardChanged: () => (this.shardsChanged = true),
        criticalChange: (change) => this.freshnessExchange.recordDecisiveChange(change),
        readabilityChanged: (key, why) =>
          why === null
            ? this.log('info', 'record can be read again', { key })
            : this.log('error', 'record not acted on', { key, why }),
        levelChanged: () => this.levelChanged(),
        incarnationChanged: () => (this.shardsChanged = true),
      },
      this.levels,
    );
    const { replica } = this;
    const s = settings.state;
    this.batcher = new Committer(
      run,
      {
        maxOperations: s.txn_ops,
        maxConditions: s.txn_ops * conditionsPerOperation,
        // Room for the frame around the values, and for the reading of non-ASCII text.
        maxBytes: 48 * 1024,
        writesPerS: s.write_rps,
        controllers: 1 + settings.peers.length,
      },
      replica,
      retry.state,
      random,
      log,
    );
    const { batcher } = this;
    this.membership = new Membership({
      settings,
      operators,
      instanceId: run,
      replica,
      batcher,
      leaseTtlMs: ttlMs,
      retry: retry.state,
      random,
      log,
    });
    const peerOptions = { settings, operators, instanceId: run, replica, clock, leaseTtlMs: ttlMs };
    this.peers = new Peers(peerOptions);
    this.freshnessExchange = new FreshnessExchange(peerOptions);
    this.userRequests = new UserRequests(
      settings,
      replica,
      batcher,
      clock,
      limits.maxWaitingRequests,
      this.fairAdmission,
      random,
    );
    this.shardManager = new ShardManager(settings, operators, run, replica, batcher, clock, log, matcher);
    this.featureLevelManager = new FeatureLevelManager({
      settings,
      replica,
      batcher,
      membership: this.membership,
      clock,
      stateLeaseMs: ttlMs,
      log,
    });
    this.autoscaler = new Autoscaler({
      settings,
      operators,
      replica,
      batcher,
      clock,
      retry: retry.cloud,
      random,
      log,
    });
    this.autoscaler.hazardPerStep = () =>
      this.shardManager.shardState.hazard.perStep(operators['hazard-step-s']);
    this.freshness = new ReplicaFreshness(
      replica,
      clock,
      ttlMs,
      this.shardManager.shardState.maxReplicaAgeMs,
      log,
    );
    this.writeBudget = new WriteBudget({
      settings,
      replica,
      batcher,
      freshness: this.freshness,
      peers: this.peers,
      membership: this.membership,
      clock,
      log,
    });
    this.dataLossRecovery = new DataLossRecovery({
      settings,
      instanceId: run,
      replica,
      batcher,
      peers: this.peers,
      clock,
      stateLeaseMs: ttlMs,
      staleAnswerWindowMs: this.shardManager.shardState.maxReplicaAgeMs + leaseMs,
      recoveryRecords,
      log,
    });
    this.shardManager.shardState.onUnknownAttempt = (...what) =>
      this.dataLossRecovery.monitor.attemptReported(...what);
    this.autoscaler.mayScaleIn = () => this.dataLossRecovery.canConfirmAbsence;
    this.peers.ownJobCount = () => this.dataLossRecovery.jobCount;
    this.shardManager.shardState.canPlaceTasks = () => !this.freshness.isStale;
    this.shardManager.shardState.mayStartTasks = () =>
      this.dataLossRecovery.canConfirmAbsence && this.freshness.isCurrent;
    this.userRequests.sureOfAbsence = () => this.dataLossRecovery.canConfirmAbsence;
    batcher.onConditionsFailed = (failed, epoch) =>
      this.dataLossRecovery.monitor.conditionsFailed(failed, epoch);
    this.maxConnections = limits.sockets.max;
    if (this.fairAdmission) this.shardManager.extraSummary = () => ({ admission: this.admissionSummary() });
    this.recovery = new RecoveryTracker(settings.workers.lease_s * 1000 * operators['recovery-leases']);
    const mayAnswerWorkers = (): boolean => this.freshness.mayAnswerWorkers && this.dataLossRecovery.mayAct;
    this.loadSharing = new LoadSharing({
      settings,
      shardManager: this.shardManager,
      peers: this.peers,
      clock,
      preferredConnections: limits.sockets.preferred,
      mayAnswerWorkers,
      handOver: (shard, member, instanceId) => this.membership.handOver(shard, member, instanceId),
      log,
    });
    this.heartbeatRouter = new HeartbeatRouter({
      settings,
      instanceId: run,
      replica,
      shardManager: this.shardManager,
      autoscaler: this.autoscaler,
      peers: this.peers,
      loadSharing: this.loadSharing,
      clock,
      maxForwarded: limits.maxForwardedHeartbeats,
      onTokenReported: (token) => this.dataLossRecovery.monitor.tokenReported(token),
      mayAnswerWorkers,
      areWritesScarce: () => this.batcher.health < 1 || this.userRequests.backlogged,
      isLeader: () => this.membership.isLeader,
    });
  }

  /**
   * Whether users should be sent here. In an outage that all nodes share, staying is best: final states are
   * answered still, and whoever has to read the state first is there when it can be read. A node that alone is cut
   * off from the state service must go: its users' polls would fail for as long as their connections last, while the
   * others could answer them. So must one that reaches neither the state service nor any other controller: nobody can tell it
   * that the others are served.
   */
  get healthy(): boolean {
    if (this.levels.mustStandBy || this.shutdown.requested || !this.dataLossRecovery.mayAct) return false;
    const { newestKnown: told } = this.peers;
    // Read by somebody else: they can be asked meanwhile.
    if (this.replica.watchRevision < 0) return this.freshness.isStoreUnreachable && told.revision < 0;
    if (!this.freshness.isStale) return true;
    const alone = this.settings.peers.length > 0 && this.clock.now - told.at > this.membership.leaseTtlMs;
    return (
      !alone && !(told.revision > this.replica.watchRevision && told.at > this.freshness.confirmedByStoreAt)
    );
  }

  step(commands: Command[], clock: Clock): Effect[] {
    const out: Effect[] = [];
    const now = (this.clock.now = clock.now);
    this.clock.wall = clock.wall;
    this.userRequests.stepEffects = out;
    this.freshness.detectStall();
    // It was told to begin anew: nothing that it does counts any more.
    if (this.superseded) return out;
    for (const c of commands) this.handle(c, out);
    if (this.dataLossRecovery.detect(out)) {
      this.superseded = true;
      this.userRequests.rejectAll(out);
      return out;
    }
    const { mayAct: acting } = this.dataLossRecovery;
    this.batcher.suspended = !acting;
    this.syncShards();
    this.membership.tick(now, out, {
      mayAct: acting,
      essentialsRestored: this.dataLossRecovery.essentialsRestored,
    });
    this.dataLossRecovery.tick(this.membership.isLeader);
    const leading = this.membership.isLeader;
    if (leading !== this.wasLeading) {
      this.wasLeading = leading;
      this.log('info', leading ? 'leading' : 'no longer leading');
      this.autoscaler.reset();
    }
    // Guards against a leader that was cut off or stood still: what it would rent or return may be another's by now.
    if (
      leading &&
      acting &&
      !this.freshness.isStale &&
      this.membership.holdsValidLease(now) &&
      !this.shutdown.requested
    ) {
      this.dataLossRecovery.monitor.requestAudit(out);
      this.autoscaler.tick(out);
      this.featureLevelManager.tick();
      if (this.fairAdmission) this.writeBudget.proposeNext(this.demand);
    }
    if (this.shutdown.requested) this.membership.shutDown(out);
    this.shardManager.tick(out);
    this.heartbeatRouter.tick(out);
    this.loadSharing.tick();
    if (this.fairAdmission) this.applyWriteBudget(out);
    this.userRequests.flush(out, this.freshness.confirmedByPeersAt);
    this.batcher.tick(now, out);
    if (this.freshness.needsPeerConfirmation) this.freshnessExchange.queryPeers(out);
    this.sendPeerStatus(out, null);
    if (this.dataLossRecovery.monitor.wantsRevisionRead) out.push({ type: 'read-revision' });
    this.requestRevision(leading, out);
    this.monitor();
    if (this.fairAdmission)
      this.stateRequests.add(out.filter((e) => stateServiceEffects.has(e.type)).length, now);
    return out;
  }

  /** Whether it may say of a job that it was never accepted. */
  get sureOfAbsence(): boolean {
    return this.dataLossRecovery.canConfirmAbsence;
  }

  /** How far this process is, if it was asked to leave. */
  get shutdownPhase(): ShutdownPhase {
    return this.shutdown.phase(this.clock.now, {
      ownedShards: this.shardManager.ownedShards.size,
      leading: this.membership.isLeader,
      present: this.membership.isPresent,
      busy: this.batcher.pendingCount > 0 || this.autoscaler.hasPendingChanges,
    });
  }

  /** Another level is in force: said once, with what it means here. */
  private levelChanged(): void {
    const { levels } = this;
    const { level, writeLevel: write } = levels.state;
    this.shardsChanged = true;
    this.shardManager.levelChanged();
    const key = `${levels.unreadable} ${level} ${write}`;
    if (key === this.loggedLevel) return;
    this.loggedLevel = key;
    const fields = {
      level,
      write,
      most: levels.ownCapabilities.maxLevel,
      program: levels.ownCapabilities.program,
    };
    if (levels.mustStandBy)
      this.log('warn', 'standing by: the level in force is not one that this program knows', fields);
    else this.log('info', 'level in force', fields);
  }

  /**
   * Also without requests the view's age must be known: workers are answered only from a fresh one. The leader needs
   * one that is younger than its state lease.
   */
  private requestRevision(leading: boolean, out: Effect[]): void {
    const { now } = this.clock;
    const { leaseTtlMs: ttlMs } = this.membership;
    const everyMs = Math.min(this.freshness.maxAgeMs / 8, leading ? ttlMs / 4 : Infinity);
    if (now - this.revisionRequestedAt > everyMs && this.replica.watchRevision >= 0)
      out.push({ type: 'read-revision' });
    if (out.some((o) => o.type === 'read-revision')) this.revisionRequestedAt = now;
  }

  /** News goes out at once; a change of what we ask of the others is news. */
  private sendPeerStatus(out: Effect[], revision: number | null): void {
    const { isOffloading } = this.loadSharing;
    const newRevision = isOffloading !== this.wasOffloading ? this.replica.watchRevision : revision;
    this.wasOffloading = isOffloading;
    const ownStatus = (): OwnStatus => ({
      utilizationPermille: Math.round(this.loadSharing.utilization * 1000),
      wantsForwarding: isOffloading,
      demand: this.demand,
    });
    this.peers.broadcastStatus(out, ownStatus, newRevision);
  }

  /** What this controller wants, as it tells the others. */
  private get demand(): MemberDemand {
    const { now } = this.clock;
    return {
      acceptedWork: Math.round(this.batcher.taskWriteDemand(now)),
      newJobs: Math.round(this.userRequests.writeDemand()),
      backlogS: this.batcher.backlogS,
      workloads: this.fairAdmission ? this.userRequests.groupDemand() : [],
      allocationVersion: this.writeBudget.followedVersion,
    };
  }

  /** This controller's part of the writes, and those that it takes in with it. */
  private applyWriteBudget(out: Effect[]): void {
    this.writeBudget.observe();
    const share = this.writeBudget.localShare(this.demand);
    this.batcher.setAllocation(share.total);
    // The state service may take less than it is said to.
    const { health } = this.batcher;
    const { admissionFactor: factor } = this.overloadMonitor.snapshot;
    this.userRequests.admit(share, factor * health, out);
  }

  /** Looks at all that is scarce here; as often as the process tells of itself. */
  private measureOverload(): void {
    const { now } = this.clock;
    const { acceptedWork: tasks, newJobs: users } = this.demand;
    const { rps } = this.settings.state;
    const equal = rps / (1 + this.settings.peers.length);
    const picture = this.overloadMonitor.observe({
      writes: (tasks + users) / Math.max(1, this.batcher.writesPerS),
      requests: this.stateRequests.rate(now) / equal,
      time: this.loadSharing.utilization,
      ...this.processLoad,
    });
    this.userRequests.bottleneck = picture.admissionFactor < 1 ? picture.bottleneck : 'writes';
  }

  private admissionSummary(): object {
    const round = (x: number): number => Math.round(100 * x) / 100;
    const { load, bottleneck: tightest, admissionFactor: factor } = this.overloadMonitor.snapshot;
    return {
      plan: this.writeBudget.followedVersion,
      pressure: Object.fromEntries(Object.entries(load).map(([k, x]) => [k, round(x as number)])),
      tightest,
      factor: round(factor),
      away: this.rejectionTotals,
    };
  }

  private syncShards(): void {
    this.freshness.update();
    if (!this.shardsChanged) return;
    this.shardManager.reconcileShards();
    // A grant may be visible before the view has reached it: looked at again until it is taken up.
    this.shardsChanged = [...this.replica.shards].some(
      ([k, g]) =>
        g.owner === this.settings.member &&
        g.instanceId === this.run &&
        !this.shardManager.ownedShards.has(k),
    );
  }

  /** Keeps the times of the recovery, for operators. */
  private monitor(): void {
    const { now } = this.clock;
    if (now - this.monitoredAt < this.membership.leaseTtlMs / 16) return;
    this.monitoredAt = now;
    if (this.fairAdmission) this.measureOverload();
    this.logRejections();
    const { shardManager, recovery } = this;
    const { unconfirmedMachines: unproven } = shardManager;
    const t = recovery.update(now, {
      isStateLoaded: this.replica.watchRevision >= 0,
      isPresent: this.membership.isPresent,
      ownedShards: shardManager.ownedShards.size,
      unprovenMachines: unproven.length,
      placementCount: shardManager.shardState.placementCount,
    });
    if (t) this.log('info', 'recovery', { ...t, keys: this.replica.keyCount });
    if (recovery.takeOverdue(now))
      this.log('warn', 'machines still to be proven', {
        machines: unproven.length,
        some: unproven.slice(0, maxLoggedItems).map((machine) => ({
          host: machine.host,
          heardMs: machine.lastHeartbeatAt && now - machine.lastHeartbeatAt,
        })),
      });
    const r = recovery.takeSummary(now);
    if (r) this.log(r.late ? 'warn' : 'info', r.late ? 'recovered late' : 'recovered', { ...r });
  }

  /** Since the start, by team, class and reason. Bounded: who is turned away least is left out. */
  private readonly rejectionTotals: Record<string, number> = {};

  /** For operators: who was turned away since this was last told, most first. */
  private logRejections(): void {
    const { now } = this.clock;
    const { rejections: away } = this.userRequests;
    if (away.size === 0 || now - this.rejectionsLoggedAt < this.settings.workers.lease_s * 500) return;
    this.rejectionsLoggedAt = now;
    const most = [...away].sort((a, b) => b[1] - a[1]);
    const total = most.reduce((sum, [, n]) => sum + n, 0);
    const by = most.slice(0, maxLoggedItems);
    for (const [kind, n] of by)
      if (kind in this.rejectionTotals || Object.keys(this.rejectionTotals).length < maxLoggedItems * 4)
        this.rejectionTotals[kind] = (this.rejectionTotals[kind] ?? 0) + n;
    const { acceptedWork: tasks, newJobs: users, backlogS: behindS } = this.demand;
    this.log('info', 'turned away', {
      total,
      by: Object.fromEntries(by),
      tasks,
      users,
      behindS: Math.round(behindS * 10) / 10,
      plan: this.writeBudget.followedVersion,
    });
    away.clear();
  }

  private handle(c: Command, out: Effect[]): void {
    switch (c.type) {
      case 'tick':
        break;
      case 'submit':
        this.userRequests.submit(c.requestId, c.spec, out);
        break;
      case 'query':
        this.userRequests.query(c.requestId, c.id, out);
        break;
      case 'cancel':
        this.userRequests.cancel(c.requestId, c.id, out);
        break;
      case 'heartbeat':
        this.heartbeatRouter.route(c.requestId, c.report, c.from ?? null, out);
        break;
      case 'forwarded-response':
        this.heartbeatRouter.onForwardedResponse(c.requestId, c.status, c.body, out);
        break;
      case 'load':
        this.loadSharing.onLoadMeasured(c.busy, c.connections);
        this.processLoad = {
          sockets: c.connections / this.maxConnections,
          memory: c.memory ?? 0,
          waiting: c.waiting ?? 0,
        };
        break;
      case 'peer-lost': {
        // Most likely its process ended. Its lease is ended now rather than waited for; if it lives after all,
        // it gets a new one, and the stamps keep both right meanwhile.
        const node = this.replica.presences.get(c.member);
        if (node && !this.freshness.isStale) {
          this.log('info', 'peer lost', { member: c.member });
          out.push({ type: 'revoke-lease', leaseId: node.leaseId });
        }
        break;
      }
      case 'rejected-jobs':
        this.userRequests.rejectedElsewhere(c.list);
        break;
      case 'peer-status':
        this.freshnessExchange.notePeerProcess(c.from, c.status.run);
        this.peers.onStatus(c.from, c.status);
        this.dataLossRecovery.monitor.peerHeard(c.status);
        if (c.status.revision > this.replica.watchRevision)
          out.push({ type: 'catch-up', revision: c.status.revision });
        break;
      case 'freshness-query':
        this.freshnessExchange.onQuery(c.from, c.query, out);
        break;
      case 'freshness-confirmed':
        this.freshness.onConfirmedByPeers(
          this.freshnessExchange.onAnswer(c.from, c.run, c.query, c.known, this.freshness.completeUpTo),
        );
        break;
      case 'snapshot-progress':
        this.log('info', 'reading state', { keys: c.keys });
        break;
      case 'snapshot-loaded':
        this.dataLossRecovery.monitor.snapshotLoaded(c.items, c.revision);
        this.replica.loadSnapshot(c.items, c.revision);
        this.freshnessExchange.onStateLoaded(c.revision);
        this.log('info', 'state loaded', { epoch: c.revision, keys: c.items.length });
        this.shardsChanged = true;
        break;
      case 'changes':
        this.replica.applyWatch(c.changes, c.revision);
        break;
      case 'commit-result':
        if (c.outcome.type === 'ok') this.dataLossRecovery.monitor.revisionReached(c.outcome.revision);
        this.batcher.handleOutcome(c.outcome, this.clock.now, out);
        // The others need not wait for their next watch.
        if (c.outcome.type === 'ok') this.sendPeerStatus(out, c.outcome.revision);
        break;
      case 'revision-read':
        this.dataLossRecovery.monitor.revisionRead(c.sentAt, c.revision);
        this.freshness.onRevisionRead(c.sentAt, c.revision);
        this.userRequests.revisionRead(c.sentAt, c.revision, out, this.freshness.isConfirmedByPeers);
        break;
      case 'audit-result':
        this.dataLossRecovery.monitor.auditPageRead(c.from, c.items, c.more, c.revision);
        break;
      case 'lease-granted':
        this.membership.onLeaseGranted(c.leaseId, this.clock.now);
        break;
      case 'lease-renewal-result':
        this.membership.onLeaseRenewed(c.leaseId, c.outcome, this.clock.now);
        break;
      case 'shut-down':
        if (this.shutdown.requested) break;
        this.shutdown.begin(this.clock.now);
        this.log('info', 'leaving', {
          shards: [...this.shardManager.ownedShards],
          leading: this.membership.isLeader,
        });
        break;
      case 'stop-gang': {
        const job = this.shardManager.shardState.jobs.get(c.id);
        if (job) this.shardManager.shardState.stopGang(job);
        break;
      }
      case 'machine-attributes':
        this.matcher?.setAttributes(c.host, c.attributes);
        break;
      case 'forget-machine':
        this.autoscaler.abandonMachine(c.host);
        break;
      case 'machine-types':
        this.autoscaler.handleMachineTypes(c.types);
        break;
      case 'rental-result':
        this.autoscaler.handleRental(c.request, c.outcome);
        break;
      case 'deletion-result':
        this.autoscaler.handleDeletion(c.hosts, c.ok);
        break;
      case 'machine-list':
        this.autoscaler.handleListing(c.machines, c.askedAt);
        break;
    }
  }
}
