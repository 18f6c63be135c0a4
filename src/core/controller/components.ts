/** Composition root of a controller: creates its components in dependency order and connects them. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { capabilitiesOf, FeatureLevels, GracefulShutdown } from '../../feature-levels/index.js';
import { limitsOf } from '../../limits/index.js';
import type { Matcher } from '../../policy/matching.js';
import { RecoveryTracker } from '../../recovery/index.js';
import { retryPolicies, type Random } from '../../retry/index.js';
import { Autoscaler } from '../autoscaler/autoscaler.js';
import { DataLossRecovery } from '../data-loss-recovery.js';
import type { Clock, Log } from '../effects.js';
import { FeatureLevelManager } from '../feature-level-manager.js';
import { FreshnessExchange } from '../freshness-exchange.js';
import { HeartbeatRouter } from '../heartbeat-router.js';
import { LoadSharing } from '../load-sharing.js';
import { Membership } from '../membership/index.js';
import { Peers } from '../peers.js';
import type { RecoveryRecords } from '../recovery-records.js';
import { ReplicaFreshness } from '../replica-freshness.js';
import { Replica } from '../replica.js';
import { ShardManager } from '../shard-manager.js';
import { TransactionBatcher, conditionsPerOperation } from '../storage/index.js';
import { UserRequests } from '../user-requests.js';
import { WriteBudget } from '../write-budget.js';
import { AdmissionController } from './admission-controller.js';

/** Time limits for handing over shards and then draining requests in a graceful shutdown, as ratios of the worker lease. */
const handoverLeaseRatio = 0.6;
const drainLeaseRatio = 0.3;

/** Maximum size of a transaction. Leaves room for the message around the values and for escaped non-ASCII text. */
const maxTransactionBytes = 48 * 1024;

/** Options of a controller. */
export interface ControllerOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Unique identifier of this process among all processes that have ever run as this member. */
  readonly instanceId: string;
  /** The core's only source of randomness. */
  readonly random: Random;
  readonly log: Log;
  /** Evaluates job requirements against machine attributes; null if jobs have no requirements. */
  readonly matcher?: Matcher | null;
  /** Version of this program, as shown to operators during an upgrade. */
  readonly program?: string;
  /** What this process knew before the state service lost data; null on the first start. */
  readonly recoveryRecords?: RecoveryRecords | null;
}

/** Callbacks for changes of the replicated state that affect the whole controller. */
export interface ReplicaEvents {
  /** Called when shard grants, or the records they depend on, have changed. */
  readonly onShardsChanged: () => void;
  /** Called when the feature level in force has changed. */
  readonly onLevelChanged: () => void;
}

/** The components of a controller. Each owns its state; they share the replica, the transaction batcher and the clock. */
export interface ControllerComponents {
  readonly levels: FeatureLevels;
  readonly shutdown: GracefulShutdown;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly freshnessExchange: FreshnessExchange;
  readonly userRequests: UserRequests;
  readonly shardManager: ShardManager;
  readonly featureLevelManager: FeatureLevelManager;
  readonly autoscaler: Autoscaler;
  readonly freshness: ReplicaFreshness;
  readonly writeBudget: WriteBudget;
  readonly dataLossRecovery: DataLossRecovery;
  readonly recovery: RecoveryTracker;
  readonly loadSharing: LoadSharing;
  readonly heartbeatRouter: HeartbeatRouter;
  readonly admission: AdmissionController;
}

/** Creates and connects the components of a controller. */
export function createComponents(
  options: ControllerOptions,
  clock: Clock,
  events: ReplicaEvents,
): ControllerComponents {
  const { settings, operators, instanceId, random, log } = options;
  const fairAdmission = operators['fair-admission'] > 0;
  const leaseMs = settings.workers.lease_s * 1000;
  const leaseTtlMs = Math.round(leaseMs * operators['node-lease-ratio']);
  const retry = retryPolicies({ ...settings, stateLeaseMs: leaseTtlMs });
  const limits = limitsOf(settings);

  const levels = new FeatureLevels(capabilitiesOf(options.program ?? '?', operators['level-most']));
  const shutdown = new GracefulShutdown(leaseMs * handoverLeaseRatio, leaseMs * drainLeaseRatio);
  const replica = new Replica(
    {
      jobChanged: (id, job) => {
        if (job?.state === 'open') userRequests.onJobAccepted(id);
        shardManager.shardState.jobChanged(id, job);
      },
      machineChanged: (host, machine) => shardManager.shardState.machineChanged(host, machine),
      shardChanged: events.onShardsChanged,
      criticalChange: (change) => freshnessExchange.recordCriticalChange(change),
      readabilityChanged: (key, why) =>
        why === null
          ? log('info', 'record can be read again', { key })
          : log('error', 'record not acted on', { key, why }),
      levelChanged: events.onLevelChanged,
      incarnationChanged: events.onShardsChanged,
    },
    levels,
  );
  const batcher = new TransactionBatcher(
    instanceId,
    {
      maxOperations: settings.state.txn_ops,
      maxConditions: settings.state.txn_ops * conditionsPerOperation,
      maxBytes: maxTransactionBytes,
      writesPerS: settings.state.write_rps,
      controllers: 1 + settings.peers.length,
    },
    replica,
    retry.state,
    random,
    log,
  );
  const shared = { settings, operators, instanceId, replica, batcher, clock, leaseTtlMs, random, log };
  const membership = new Membership({ ...shared, retry: retry.state });
  const peers = new Peers(shared);
  const freshnessExchange = new FreshnessExchange(shared);
  const userRequests = new UserRequests({
    ...shared,
    maxPending: limits.maxWaitingRequests,
    fairAdmission,
    canConfirmAbsence: () => dataLossRecovery.canConfirmAbsence,
  });
  const shardManager = new ShardManager({ ...shared, matcher: options.matcher ?? null });
  const { shardState } = shardManager;
  const featureLevelManager = new FeatureLevelManager({ ...shared, membership, stateLeaseMs: leaseTtlMs });
  const autoscaler = new Autoscaler({ ...shared, retry: retry.cloud });
  const freshness = new ReplicaFreshness(replica, clock, leaseTtlMs, shardState.maxReplicaAgeMs, log);
  const writeBudget = new WriteBudget({ ...shared, freshness, peers, membership });
  const dataLossRecovery: DataLossRecovery = new DataLossRecovery({
    ...shared,
    peers,
    stateLeaseMs: leaseTtlMs,
    staleAnswerWindowMs: shardState.maxReplicaAgeMs + leaseMs,
    recoveryRecords: options.recoveryRecords ?? null,
  });
  const recovery = new RecoveryTracker(leaseMs * operators['recovery-leases']);
  const mayAnswerWorkers = (): boolean => freshness.mayAnswerWorkers && dataLossRecovery.mayAct;
  const loadSharing = new LoadSharing({
    ...shared,
    shardManager,
    peers,
    preferredConnections: limits.sockets.preferred,
    mayAnswerWorkers,
    handOver: (shard, member, toInstance) => membership.handOver(shard, member, toInstance),
  });
  const heartbeatRouter = new HeartbeatRouter({
    ...shared,
    shardManager,
    autoscaler,
    peers,
    loadSharing,
    maxForwarded: limits.maxForwardedHeartbeats,
    onTokenReported: (token) => dataLossRecovery.monitor.tokenReported(token),
    mayAnswerWorkers,
    areWritesScarce: () => batcher.allocationFactor < 1 || userRequests.isBacklogged,
    isLeader: () => membership.isLeader,
  });
  const admission = new AdmissionController({
    ...shared,
    userRequests,
    writeBudget,
    loadSharing,
    fairAdmission,
    maxConnections: limits.sockets.max,
  });
  const components = {
    levels,
    shutdown,
    replica,
    batcher,
    membership,
    peers,
    freshnessExchange,
    userRequests,
    shardManager,
    featureLevelManager,
    autoscaler,
    freshness,
    writeBudget,
    dataLossRecovery,
    recovery,
    loadSharing,
    heartbeatRouter,
    admission,
  };
  connect(components, operators);
  return components;
}

/** Sets the callbacks between components with circular dependencies, which constructors cannot express. */
function connect(components: ControllerComponents, operators: OperatorSettings): void {
  const { admission, autoscaler, batcher, dataLossRecovery, freshness, peers, shardManager } = components;
  const { shardState } = shardManager;
  shardState.onUnknownAttempt = (...attempt) => dataLossRecovery.monitor.attemptReported(...attempt);
  shardState.canPlaceTasks = () => !freshness.isStale;
  shardState.mayStartTasks = () => dataLossRecovery.canConfirmAbsence && freshness.isCurrent;
  autoscaler.hazardPerStep = () => shardState.hazard.perStep(operators['hazard-step-s']);
  autoscaler.mayScaleIn = () => dataLossRecovery.canConfirmAbsence;
  peers.ownJobCount = () => dataLossRecovery.jobCount;
  batcher.onConditionsFailed = (failed, revision) =>
    dataLossRecovery.monitor.conditionsFailed(failed, revision);
  if (admission.usesFairShares) shardManager.extraSummaryFields = () => ({ admission: admission.summary() });
}
