/** The control service: runs the core's controller on its own store, with a pool of agents instead of a cloud provider. */
import { operatorDefaults } from '../config/operators.js';
import type { Log } from '../core/effects.js';
import { shardKey } from '../core/storage/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, Matcher } from '../policy/matching.js';
import { Service } from '../service.js';
import type { StateService } from '../state/state-service.js';
import type { ServerHooks } from '../users/server.js';
import { version } from '../version.js';
import type { AgentJob } from '../wire/agent.js';
import type { Condition } from '../wire/store.js';
import { describeForAgent } from './agent-job.js';
import { AgentPool, type PoolRecord } from './agent-pool.js';
import { ControlApi } from './api.js';
import { StoreUnavailableError, type ControlStore } from './control-store.js';
import { HeartbeatInterceptor } from './heartbeat-interceptor.js';
import { ResultStore } from './result-store.js';
import { deriveCoreSettings, type ControlSettings } from './settings.js';

/** While the store does not answer at startup, only one in this many attempts is logged. */
const logEveryAttempts = 20;
/** Delay between attempts to reach the store at startup, as a share of the heartbeat interval. */
const startupRetryShare = 0.25;
/** With a remote store, which may be shared, the pool is reloaded at this interval, in heartbeat intervals. */
const poolReloadIntervalHeartbeats = 2;
/** How long an agent counts as alive after its last heartbeat, in heartbeat intervals. */
const aliveTimeoutHeartbeats = 4;

/** Support for match expressions in jobs. Its modules are loaded only if matching is enabled. */
export interface MatchingSupport {
  readonly matcher: Matcher & { analyze(spec: MatchSpec): object };
  /** Returns what is wrong with a job's match expressions; null if they are valid. */
  validate(spec: MatchSpec): string | null;
  /** Returns the attributes of a machine that match expressions can refer to. */
  machineAttributes(record: PoolRecord): MachineAttributes;
}

/** The settings and dependencies of a control service. */
export interface ControlServiceOptions {
  readonly settings: ControlSettings;
  readonly store: StateService & ControlStore;
  readonly log: Log;
  /** Writes a snapshot of the embedded store; null if the store is remote. */
  readonly snapshot?: (() => Promise<object>) | null;
  /** Support for match expressions; null if jobs cannot use them. */
  readonly matching?: MatchingSupport | null;
}

/**
 * A self-contained controller: the core with agents instead of rented machines, and an embedded or remote store instead of
 * the platform's state service.
 */
export class ControlService {
  readonly service: Service;
  readonly pool: AgentPool;
  readonly results: ResultStore;
  readonly settings: ControlSettings;
  readonly matching: MatchingSupport | null;
  private readonly log: Log;
  private readonly api: ControlApi;
  /** The revision of the shard grant under which all results were last loaded; -1 if they were not loaded yet. */
  private loadedGrantRevision = -1;
  private resultsLoading: Promise<void> | null = null;
  private poolReloadTimer: NodeJS.Timeout | null = null;
  private stopped = false;

  constructor({ settings, store, log, snapshot = null, matching = null }: ControlServiceOptions) {
    this.settings = settings;
    this.log = log;
    this.matching = matching;
    const { settings: coreSettings, nodeLeaseRatio } = deriveCoreSettings(settings);
    const aliveTimeoutMs = settings.reportS * 1000 * aliveTimeoutHeartbeats;
    this.pool = new AgentPool(store, settings.zones, aliveTimeoutMs, () => performance.now(), log);
    this.results = new ResultStore(store);
    const operators = {
      ...operatorDefaults,
      'node-lease-ratio': nodeLeaseRatio,
      'round-s': Math.min(1, settings.reportS / 8),
    };
    const adapters = {
      state: store,
      cloud: this.pool,
      hooks: this.hooks(),
      ...(matching ? { matcher: matching.matcher } : {}),
    };
    this.service = new Service(coreSettings, operators, log, adapters, version());
    this.api = new ControlApi(this, snapshot);
    this.forwardPoolChanges();
  }

  /** Returns the control service's extensions to the core's HTTP server. */
  private hooks(): ServerHooks {
    const interceptor = new HeartbeatInterceptor({
      pool: this.pool,
      results: this.results,
      ownsShard: () => this.ownsShard,
      leaseMs: this.settings.leaseS * 1000,
      now: () => performance.now(),
      drainS: this.settings.drainS,
      jobSpec: (id) => this.jobSpec(id),
      doneTasks: (id) => this.service.controller.replica.taskCounts(id).done,
      loadResultsForGrant: () => this.loadResultsForGrant(),
      enqueue: (command) => this.service.enqueue(command),
    });
    return {
      rejectionReason: (spec) => {
        if (!spec.match) return null;
        return this.matching
          ? this.matching.validate(spec.match)
          : 'requirements, rank: matching is not switched on';
      },
      handleRequest: (req, res, path) => this.api.serve(req, res, path),
      interceptHeartbeat: (raw, heartbeat, forward, reject) =>
        void interceptor.intercept(raw, heartbeat, { forward, reject }),
      transformResponse: (host, status, body) => interceptor.extendResponse(host, status, body),
    };
  }

  /** Notifies the core of members that join, change or leave. */
  private forwardPoolChanges(): void {
    const { pool, service, matching } = this;
    if (matching)
      pool.onMemberChanged = (host, member) =>
        service.enqueue({
          type: 'machine-attributes',
          host,
          attributes: member && matching.machineAttributes(member),
        });
    pool.onForgotten = (host) => service.enqueue({ type: 'forget-machine', host });
    pool.onNewMachineType = () =>
      void pool.listMachineTypes().then((types) => service.enqueue({ type: 'machine-types', types }));
  }

  /** Loads the stored state, waiting for the store if necessary, and starts the core. */
  async start(): Promise<void> {
    await this.loadInitialState();
    await this.service.start();
    if (this.settings.store === null) return;
    // Operators may drain and forget machines through other control services on the same store.
    const reloadIntervalMs = this.settings.reportS * poolReloadIntervalHeartbeats * 1000;
    this.poolReloadTimer = setInterval(() => void this.pool.load().catch(() => undefined), reloadIntervalMs);
  }

  /** Stops the core immediately. The store stays open. */
  stop(): void {
    this.stopped = true;
    if (this.poolReloadTimer) clearInterval(this.poolReloadTimer);
    this.service.stop();
  }

  /** Loads the pool and the results; retries while the store is not started yet or is being restarted. */
  private async loadInitialState(): Promise<void> {
    const retryIntervalMs = this.settings.reportS * 1000 * startupRetryShare;
    for (let attempt = 0; ; attempt++)
      try {
        await this.pool.load();
        await this.results.load();
        return;
      } catch (error) {
        if (!(error instanceof StoreUnavailableError) || this.stopped) throw error;
        if (attempt % logEveryAttempts === 0)
          this.log('warn', 'waiting for the store', { store: this.settings.store });
        await new Promise((resolve) => setTimeout(resolve, retryIntervalMs));
      }
  }

  /** The name of the control service that owns the only shard, and so all jobs; null if there is none at the moment. */
  get owner(): string | null {
    return this.service.controller.replica.shards.get(0)?.owner ?? null;
  }

  /** Whether this process believes that it owns the shard. Its writes are safe either way: the grant is their precondition. */
  get ownsShard(): boolean {
    return this.service.controller.shardManager.ownedShards.size > 0;
  }

  /** Brings a job's results up to date: the shard's owner has them in memory, other control services read the store. */
  async refreshResults(job: string): Promise<void> {
    if (this.ownsShard) await this.loadResultsForGrant();
    else await this.results.load(job);
  }

  /**
   * Loads all results once per shard grant, to include those that a previous owner recorded. A previous owner cannot record
   * more after that, because its grant is a precondition of its writes. Returns the precondition for writes under the
   * current grant.
   */
  private async loadResultsForGrant(): Promise<Condition[]> {
    const stamp = this.service.controller.replica.shards.get(0)?.modRevision ?? 0;
    if (this.loadedGrantRevision !== stamp) {
      this.resultsLoading ??= this.results
        .load()
        .then(() => void (this.loadedGrantRevision = stamp))
        .finally(() => (this.resultsLoading = null));
      await this.resultsLoading;
    }
    return [{ key: shardKey(0), stamp }];
  }

  /** Analyzes which machines match an unfinished job, and which conditions exclude others; null if there is no such job. */
  analyze(id: string): object | null {
    const spec = this.jobSpec(id);
    if (!spec) return null;
    const matchAll = { requirements: null, rank: null, attributes: {} };
    return this.matching?.matcher.analyze(spec.match ?? matchAll) ?? {};
  }

  private jobSpec(id: string): JobSpec | null {
    return this.service.controller.replica.jobs.get(id)?.spec ?? null;
  }

  /** Returns the description of an unfinished job for agents; null if there is no such job. */
  agentJob(id: string): AgentJob | null {
    const spec = this.jobSpec(id);
    return spec && describeForAgent(spec, this.settings.classes);
  }
}
