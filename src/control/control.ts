/** The control service: a controller with a pool of agents in place of a cloud. */
import { defaults } from '../config/operators.js';
import type { Log } from '../core/effects.js';
import { shardKey } from '../core/storage/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, Matcher } from '../policy/matching.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { Service } from '../service.js';
import { version } from '../version.js';
import type { StateService } from '../state/service.js';
import type { FrontHooks } from '../users/server.js';
import { parseResults, type AgentJob, type TaskResult } from '../wire/agent-side.js';
import { ControlApi } from './api.js';
import { StoreUnavailableError, type Precondition, type ControlStore } from './control-store.js';
import { GangRendezvous } from './gang-rendezvous.js';
import { AgentPool, type PoolRecord } from './agent-pool.js';
import { ResultStore } from './result-store.js';
import { platformSettings, type ControlSettings } from './settings.js';

/** Of tries to reach a store that does not answer, one in so many is told. */
const logEveryAttempts = 20;
/** Where the store is shared, the pool is read again after so many reports. */
const poolReloadIntervalReports = 2;
/** How long a stand-in sleeps when its class says nothing, and its owner neither, s. */
const defaultSimulatedSleepS = 1;

/** The match language, if it is switched on: loaded only then. */
export interface MatchingSupport {
  matcher: Matcher & { analyze(m: MatchSpec): object };
  validate(m: MatchSpec): string | null;
  machineAttributes(m: PoolRecord): MachineAttributes;
}

/**
 * A controller of its own: the same core, with agents in the place of rented machines and a store in the place of the
 * platform's state service. What agents report passes through here first: how tasks ended is on disk before the core hears
 * of it, and so before anybody forgets it.
 */
export class ControlService {
  readonly service: Service;
  readonly pool: AgentPool;
  readonly results: ResultStore;
  private readonly gangRendezvous: GangRendezvous;
  private readonly api: ControlApi;
  /** GangRendezvous that a machine's next answer tells to go. */
  private readonly completeGangs = new Map<string, string[]>();
  /** The grant under which the results were read last, by its stamp: after another owner they are others. */
  private resultsGrantStamp = -1;
  private resultsLoading: Promise<void> | null = null;
  private poolReloadTimer: NodeJS.Timeout | null = null;
  private stopped = false;

  constructor(
    readonly settings: ControlSettings,
    state: StateService & ControlStore,
    private readonly log: Log,
    snapshot: (() => Promise<object>) | null = null,
    readonly matching: MatchingSupport | null = null,
  ) {
    const { settings: platform, nodeLeaseRatio } = platformSettings(settings);
    const aliveMs = settings.reportS * 4000;
    this.pool = new AgentPool(state, settings.zones, aliveMs, () => performance.now(), log);
    this.results = new ResultStore(state);
    this.gangRendezvous = new GangRendezvous((id) => this.pendingGangTasks(id));
    const operators = {
      ...defaults,
      'node-lease-ratio': nodeLeaseRatio,
      'round-s': Math.min(1, settings.reportS / 8),
    };
    const hooks: FrontHooks = {
      admit: (spec) => {
        if (!spec.match) return null;
        return matching ? matching.validate(spec.match) : 'requirements, rank: matching is not switched on';
      },
      serve: (req, res, path) => this.api.serve(req, res, path),
      checkin: (raw, report, pass, refuse) => void this.onHeartbeat(raw, report, pass, refuse),
      answered: (host, status, body) => this.addCompleteGangs(host, status, body),
    };
    this.service = new Service(
      platform,
      operators,
      log,
      {
        state,
        cloud: this.pool,
        hooks,
        ...(matching ? { matcher: matching.matcher } : {}),
      },
      version(),
    );
    if (matching)
      this.pool.onMemberChanged = (host, m) =>
        this.service.push({
          type: 'machine-attributes',
          host,
          attributes: m && matching.machineAttributes(m),
        });
    this.api = new ControlApi(this, snapshot);
    this.pool.onForgotten = (host) => this.service.push({ type: 'forget-machine', host });
    this.pool.onNewMachineType = () =>
      void this.pool.listMachineTypes().then((types) => this.service.push({ type: 'machine-types', types }));
  }

  async start(): Promise<void> {
    await this.loadInitialState();
    await this.service.start();
    if (this.settings.store === null) return;
    // Others may share the store: drained and forgotten by them is drained and forgotten.
    const everyMs = this.settings.reportS * poolReloadIntervalReports * 1000;
    this.poolReloadTimer = setInterval(() => void this.pool.load().catch(() => undefined), everyMs);
  }

  stop(): void {
    this.stopped = true;
    if (this.poolReloadTimer) clearInterval(this.poolReloadTimer);
    this.service.stop();
  }

  /** Guards against a service that ends because its store is started a moment later, or again: it waits for it. */
  private async loadInitialState(): Promise<void> {
    const retryIntervalMs = this.settings.reportS * 250;
    for (let tries = 0; ; tries++)
      try {
        await this.pool.load();
        await this.results.load();
        return;
      } catch (error) {
        if (!(error instanceof StoreUnavailableError) || this.stopped) throw error;
        if (tries % logEveryAttempts === 0)
          this.log('warn', 'waiting for the store', { store: this.settings.store });
        await new Promise((resolve) => setTimeout(resolve, retryIntervalMs));
      }
  }

  /** The control service that has the work; null: nobody just now. */
  get owner(): string | null {
    return this.service.controller.replica.shards.get(0)?.owner ?? null;
  }

  /** Whether the work is with this process, as far as it knows. What it writes about it is guarded by the grant. */
  get owns(): boolean {
    return this.service.controller.shardManager.ownedShards.size > 0;
  }

  /** The results as they are: the owner has them, others read them. */
  async refreshResults(job: string): Promise<void> {
    if (this.owns) await this.ensureResultsOfGrant();
    else await this.results.load(job);
  }

  /**
   * Guards against results of an earlier owner that were not seen here: read once more under each grant. What an earlier
   * owner writes later than that fails at its grant.
   */
  private async ensureResultsOfGrant(): Promise<Precondition[]> {
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

  /** Why a job has the machines that it has; null: there is no such job, or it is over. */
  analyze(id: string): object | null {
    const spec = this.spec(id);
    if (!spec) return null;
    const matchAll = { requirements: null, rank: null, attributes: {} };
    return this.matching?.matcher.analyze(spec.match ?? matchAll) ?? {};
  }

  private spec(id: string): JobSpec | null {
    return this.service.controller.replica.jobs.get(id)?.spec ?? null;
  }

  private pendingGangTasks(id: string): number | null {
    const spec = this.spec(id);
    if (spec?.shape !== 'gang') return null;
    return spec.tasks - this.service.controller.replica.taskCounts(id).done;
  }

  private async onHeartbeat(
    raw: unknown,
    report: Heartbeat,
    pass: (report: Heartbeat) => void,
    refuse: (status: number, body: object) => void,
  ): Promise<void> {
    let member;
    try {
      member = await this.pool.findOrLoad(report.host);
      if (!member)
        return refuse(410, { error: `${report.host}: not known here: it has left or was forgotten` });
      if (member.forgotten) return refuse(410, { error: `${report.host}: forgotten by an operator` });
      // Not ours: the core sends it on to the owner.
      if (!this.owns) return pass(report);
      this.pool.recordHeartbeat(report.host, report.endpoint);
      await this.recordResults(raw, report);
    } catch (error) {
      if (error instanceof StoreUnavailableError) return refuse(503, { error: error.message });
      throw error;
    }
    for (const id of this.failedGangs(report)) this.service.push({ type: 'stop-gang', id });
    // Drained: like a machine that is to be taken back, with all the time that it needs.
    if (member.drainedAt !== null) report.noticeS = this.settings.drainS;
    this.completeGangs.set(report.host, this.gangRendezvous.observe(report));
    pass(report);
  }

  /** Ends of attempts are kept first; then the core is told what becomes of their tasks. */
  private async recordResults(raw: unknown, report: Heartbeat): Promise<void> {
    const results = new Map<string, TaskResult>();
    for (const reported of parseResults(raw))
      results.set(`${reported.piece} ${reported.attempt}`, reported.result);
    if (results.size === 0) return;
    const preconditions = await this.ensureResultsOfGrant();
    await Promise.all(
      report.tasks.map(async (task) => {
        const result = results.get(`${task.job}/${task.index} ${task.attempt}`);
        if (task.phase !== 'exited' || !result) return;
        const spec = this.spec(task.job);
        const job = { id: task.job, retries: spec?.command?.retries ?? 0, gang: spec?.shape === 'gang' };
        const disposition = await this.results.record(
          job,
          task.index,
          task.attempt,
          report.host,
          result,
          preconditions,
        );
        task.exitReason = disposition === 'done' ? 'done' : 'stopped';
      }),
    );
  }

  /** GangRendezvous of which a task has failed for good, and others run on here: they fail together. */
  private failedGangs(report: Heartbeat): Set<string> {
    const failed = new Set<string>();
    for (const t of report.tasks)
      if (t.phase !== 'exited' && this.results.failures(t.job) > 0 && this.pendingGangTasks(t.job) !== null)
        failed.add(t.job);
    return failed;
  }

  private addCompleteGangs(host: string, status: number, body: object): object {
    const gangs = this.completeGangs.get(host);
    this.completeGangs.delete(host);
    return status === 200 && gangs && gangs.length > 0 ? { ...body, gangs } : body;
  }

  /** What an agent has to know of a job; null: there is none that is not over. */
  agentJob(id: string): AgentJob | null {
    const spec = this.spec(id);
    if (!spec) return null;
    const defaultSimulation = { sleepS: null, fail: 0, hang: false, memMb: 0 };
    const standIn = this.settings.classes.get(spec.class) ?? defaultSimulation;
    return {
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
      gang: spec.shape === 'gang',
      saveS: spec.saveS,
      checkpointS: spec.checkpointS,
      command: spec.command ?? null,
      standIn: {
        ...standIn,
        hang: standIn.hang || spec.shape === 'service',
        sleepS: standIn.sleepS ?? (spec.estimateS > 0 ? spec.estimateS : defaultSimulatedSleepS),
      },
    };
  }
}
