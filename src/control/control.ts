/** The control service: the core's controller on a store of its own, with a pool of agents in place of a cloud. */
import { operatorDefaults } from '../config/operators.js';
import type { Log } from '../core/effects.js';
import { shardKey } from '../core/storage/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, Matcher } from '../policy/matching.js';
import { Service } from '../service.js';
import type { StateService } from '../state/service.js';
import type { ServerHooks } from '../users/server.js';
import { version } from '../version.js';
import type { AgentJob } from '../wire/agent-side.js';
import type { Condition } from '../wire/store.js';
import { describeForAgent } from './agent-job.js';
import { AgentPool, type PoolRecord } from './agent-pool.js';
import { ControlApi } from './api.js';
import { StoreUnavailableError, type ControlStore } from './control-store.js';
import { HeartbeatInterceptor } from './heartbeat-interceptor.js';
import { ResultStore } from './result-store.js';
import { platformSettings, type ControlSettings } from './settings.js';

/** While the store does not answer at startup, one in so many attempts is logged. */
const logEveryAttempts = 20;
/** At startup the store is retried after this share of the heartbeat interval. */
const startupRetryShare = 0.25;
/** With a shared store, the pool is read again once in so many heartbeat intervals. */
const poolReloadIntervalReports = 2;
/** An agent counts as alive for so many heartbeat intervals after its last heartbeat. */
const aliveTimeoutReports = 4;

/** The match language; its modules are loaded only if it is enabled. */
export interface MatchingSupport {
  readonly matcher: Matcher & { analyze(spec: MatchSpec): object };
  /** What is wrong with a job's expressions; null if nothing is. */
  validate(spec: MatchSpec): string | null;
  /** A machine's attributes, as expressions see them. */
  machineAttributes(record: PoolRecord): MachineAttributes;
}

/** What a control service is built from. */
export interface ControlServiceOptions {
  readonly settings: ControlSettings;
  readonly store: StateService & ControlStore;
  readonly log: Log;
  /** Writes a snapshot of the embedded store; null if the store is remote. */
  readonly snapshot?: (() => Promise<object>) | null;
  /** null: jobs cannot use match expressions. */
  readonly matching?: MatchingSupport | null;
}

/**
 * A self-contained controller: the core with agents in place of rented machines and a store in place of the platform's
 * state service.
 */
export class ControlService {
  readonly service: Service;
  readonly pool: AgentPool;
  readonly results: ResultStore;
  readonly settings: ControlSettings;
  readonly matching: MatchingSupport | null;
  private readonly log: Log;
  private readonly api: ControlApi;
  /** The revision of the shard grant under which all results were read last. */
  private resultsGrantStamp = -1;
  private resultsLoading: Promise<void> | null = null;
  private poolReloadTimer: NodeJS.Timeout | null = null;
  private stopped = false;

  constructor({ settings, store, log, snapshot = null, matching = null }: ControlServiceOptions) {
    this.settings = settings;
    this.log = log;
    this.matching = matching;
    const { settings: platform, nodeLeaseRatio } = platformSettings(settings);
    const aliveTimeoutMs = settings.reportS * 1000 * aliveTimeoutReports;
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
    this.service = new Service(platform, operators, log, adapters, version());
    this.api = new ControlApi(this, snapshot);
    this.forwardPoolChanges();
  }

  /** What this program adds to the core's HTTP server. */
  private hooks(): ServerHooks {
    const interceptor = new HeartbeatInterceptor({
      pool: this.pool,
      results: this.results,
      owns: () => this.owns,
      drainS: this.settings.drainS,
      jobSpec: (id) => this.jobSpec(id),
      doneTasks: (id) => this.service.controller.replica.taskCounts(id).done,
      ensureResultsOfGrant: () => this.ensureResultsOfGrant(),
      push: (command) => this.service.enqueue(command),
    });
    return {
      rejectionReason: (spec) => {
        if (!spec.match) return null;
        return this.matching
          ? this.matching.validate(spec.match)
          : 'requirements, rank: matching is not switched on';
      },
      handle: (req, res, path) => this.api.serve(req, res, path),
      heartbeat: (raw, heartbeat, pass, refuse) =>
        void interceptor.intercept(raw, heartbeat, { pass, refuse }),
      transformResponse: (host, status, body) => interceptor.extendResponse(host, status, body),
    };
  }

  /** Tells the core of members that join, change or leave. */
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

  /** Reads the stored state, waiting for the store if necessary, and starts the core. */
  async start(): Promise<void> {
    await this.loadInitialState();
    await this.service.start();
    if (this.settings.store === null) return;
    // Operators may drain and forget machines through other control services on the same store.
    const reloadIntervalMs = this.settings.reportS * poolReloadIntervalReports * 1000;
    this.poolReloadTimer = setInterval(() => void this.pool.load().catch(() => undefined), reloadIntervalMs);
  }

  /** Stops the core at once. The store stays open. */
  stop(): void {
    this.stopped = true;
    if (this.poolReloadTimer) clearInterval(this.poolReloadTimer);
    this.service.stop();
  }

  /** Waits for a store that is started later than this service, or is being restarted. */
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

  /** The control service that owns the shard, and with it all jobs; null: none at the moment. */
  get owner(): string | null {
    return this.service.controller.replica.shards.get(0)?.owner ?? null;
  }

  /** Whether this process owns the shard, as far as it knows. Its writes have the shard grant as precondition. */
  get owns(): boolean {
    return this.service.controller.shardManager.ownedShards.size > 0;
  }

  /** Brings a job's results up to date: the owner has them in memory, other control services read them. */
  async refreshResults(job: string): Promise<void> {
    if (this.owns) await this.ensureResultsOfGrant();
    else await this.results.load(job);
  }

  /**
   * Reads all results once under each shard grant, for those that an earlier owner has recorded. What an earlier owner
   * tries to record after that fails, because its grant is a precondition of its writes.
   */
  private async ensureResultsOfGrant(): Promise<Condition[]> {
    const stamp = this.service.controller.replica.shards.get(0)?.modRevision ?? 0;
    if (this.resultsGrantStamp !== stamp) {
      this.resultsLoading ??= this.results
        .load()
        .then(() => void (this.resultsGrantStamp = stamp))
        .finally(() => (this.resultsLoading = null));
      await this.resultsLoading;
    }
    return [{ key: shardKey(0), stamp }];
  }

  /** Which machines match an unfinished job, and which conditions exclude others; null if there is none. */
  analyze(id: string): object | null {
    const spec = this.jobSpec(id);
    if (!spec) return null;
    const matchAll = { requirements: null, rank: null, attributes: {} };
    return this.matching?.matcher.analyze(spec.match ?? matchAll) ?? {};
  }

  private jobSpec(id: string): JobSpec | null {
    return this.service.controller.replica.jobs.get(id)?.spec ?? null;
  }

  /** The description of an unfinished job for agents; null if there is none. */
  agentJob(id: string): AgentJob | null {
    const spec = this.jobSpec(id);
    return spec && describeForAgent(spec, this.settings.classes);
  }
}
