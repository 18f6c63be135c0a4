/** The agent: a process on a machine that joins a control service, sends heartbeats and runs the tasks assigned to it. */
import { randomBytes } from 'node:crypto';
import type { Log } from '../core/effects.js';
import { backoffDelayMs, type Random, type RetryPolicy } from '../retry/index.js';
import {
  encodeAgentReport,
  parseHeartbeatResponse,
  parseRedirect,
  parseJoinResponse,
  succeeded,
  type AgentJob,
  type AgentReport,
  type AgentTask,
  type DirectOrders,
  type JoinResponse,
  type TaskResult,
} from '../wire/agent.js';
import { AgentDirectory, type AgentRecord, type TaskRecord } from './agent-directory.js';
import { AgentLease } from './agent-lease.js';
import { AgentServer } from './agent-server.js';
import { ControlClient, responseTimeoutMs } from './control-client.js';
import { JobDescriptions } from './job-descriptions.js';
import { architectureName, readBootId } from './machine-identity.js';
import { Pauses } from './pauses.js';
import type { AgentSettings } from './settings.js';
import { TaskExecutor } from './task-executor.js';
import { TaskPreparations } from './task-preparations.js';
import { Worker, type WorkerEffect, type WorkerState } from './worker.js';

/** The minimum time between two heartbeats, as a share of the heartbeat interval. */
const minHeartbeatGapShare = 1 / 8;
/** The interval before each heartbeat is multiplied by a random factor from `min` to `min + range`. */
const heartbeatJitter = { min: 0.75, range: 0.5 };
/** The heartbeat interval on which retry delays are based until the control service sets one, s. */
const defaultReportS = 2;
/** Sequence numbers are reserved on disk in blocks, so that not every heartbeat causes a write. */
const sequenceBlockSize = 10_000;
const leaseCheckIntervalMs = 100;

/** An agent. It can be started once; `released` resolves when the control service has ended its membership. */
export class Agent {
  private readonly directory: AgentDirectory;
  private readonly record: AgentRecord;
  private readonly bootId = readBootId();
  private readonly lease: AgentLease;
  private readonly controlClient: ControlClient;
  private readonly preparations: TaskPreparations;
  private readonly executor: TaskExecutor;
  private readonly server: AgentServer;
  /** The worker state machine; null until the agent has joined. */
  private worker: Worker | null = null;
  private joinTerms: JoinResponse | null = null;
  private workerState: WorkerState = { agentEpoch: 1, seq: 0, fencingToken: 0 };
  private failedAttempts = 0;
  private readonly pauses = new Pauses();
  private stopped = false;
  /** Resolves with the reason when the control service has ended the membership: the machine was drained or forgotten. */
  readonly released: Promise<string>;
  private resolveReleased: (reason: string) => void = () => undefined;

  constructor(
    private readonly settings: AgentSettings,
    private readonly random: Random,
    private readonly log: Log,
    /** A monotonic clock, ms. */
    private readonly now: () => number = () => performance.now(),
  ) {
    this.released = new Promise((resolve) => (this.resolveReleased = resolve));
    this.directory = new AgentDirectory(settings.directory);
    const savedRecord = this.directory.loadAgent();
    this.record = savedRecord ?? newAgentRecord();
    if (!savedRecord) this.directory.saveAgent(this.record);
    this.lease = new AgentLease(settings.directory, this.bootId, this.record.id);
    this.controlClient = new ControlClient(
      settings.controls.map((address, i) => ({ address, name: settings.controlNames[i] })),
    );
    const jobDescriptions = new JobDescriptions(this.controlClient);
    this.preparations = new TaskPreparations({
      fetchJob: (id) => jobDescriptions.fetch(id),
      retryDelayMs: (failures) => backoffDelayMs(this.retryPolicy, failures, this.random),
      onFetched: (task, job) => this.onJobFetched(task, job),
    });
    this.executor = new TaskExecutor({
      settings,
      agentId: this.record.id,
      bootId: this.bootId,
      directory: this.directory,
      lease: this.lease,
      random,
      log,
      events: { ended: (task, result, saved) => this.onTaskEnded(task, result, saved) },
    });
    this.server = new AgentServer({
      listen: settings.listen,
      directory: this.directory,
      hasJoined: () => this.worker !== null,
      buildReport: () => this.buildReport(),
      executeOrders: (orders) => this.executeDirectOrders(orders),
    });
  }

  /** Starts the HTTP server, and then, in the background, joins and sends heartbeats until the agent is stopped. */
  async start(): Promise<void> {
    await this.server.open();
    void this.run();
  }

  /** Stops the agent. Its commands keep running, and the next process of this agent adopts them. */
  stop(): void {
    this.stopped = true;
    this.pauses.close();
    this.preparations.close();
    if (this.executor.idle) this.lease.stopWatchdog();
    this.executor.close();
    this.server.close();
  }

  private get retryPolicy(): RetryPolicy {
    const reportMs = (this.joinTerms?.reportS ?? defaultReportS) * 1000;
    return {
      initialDelayMs: reportMs / 4,
      maxDelayMs: reportMs * 8,
      multiplier: 2,
      jitter: 0.5,
      timeoutMs: responseTimeoutMs,
    };
  }

  /** Counts a failed attempt and returns the delay before the next one, ms. */
  private nextBackoffMs(): number {
    return backoffDelayMs(this.retryPolicy, ++this.failedAttempts, this.random);
  }

  // ---- membership ----

  private async run(): Promise<void> {
    while (!this.stopped && !(await this.join()))
      if (!this.stopped) await this.pauses.wait(this.nextBackoffMs());
    if (this.stopped) return;
    this.failedAttempts = 0;
    this.pauses.repeat(leaseCheckIntervalMs, () => this.checkLease());
    while (!this.stopped) {
      const sentAt = this.now();
      await this.pauses.waitInterruptibly(await this.sendHeartbeat());
      if (this.stopped) return;
      const minGapMs = this.joinTerms!.reportS * 1000 * minHeartbeatGapShare;
      await this.pauses.wait(Math.max(0, minGapMs - (this.now() - sentAt)));
      this.pauses.clearInterrupt();
    }
  }

  private async join(): Promise<boolean> {
    const { name, type, zone, cpus, gpus, memGb, attrs } = this.settings;
    const response = await this.controlClient.call('POST', '/agents', {
      id: this.record.id,
      name,
      type,
      zone,
      cpus,
      gpus,
      memGb,
      attrs: { OpSys: 'LINUX', Arch: architectureName(process.arch), ...attrs },
    });
    // An agent that was stopped while it waited for the response must not adopt commands.
    if (this.stopped) return false;
    const terms = response?.status === 200 ? parseJoinResponse(response.body) : null;
    if (!terms) {
      if (response) this.log('warn', 'membership refused', { status: response.status, body: response.body });
      this.controlClient.switchToNext();
      return false;
    }
    this.joinTerms = terms;
    this.resume(terms);
    return true;
  }

  /** Restores the state on disk, or discards it if the control service has assigned a new host name to this machine. */
  private resume(terms: JoinResponse): void {
    const sameHost = this.record.host === terms.host;
    const leaseMs = terms.leaseS * 1000;
    const records = this.directory.loadTasks();
    const { session, seqFrom, token } = this.record;
    this.workerState = sameHost
      ? { agentEpoch: session, seq: seqFrom, fencingToken: token }
      : { agentEpoch: session + 1, seq: seqFrom, fencingToken: 0 };
    if (sameHost) for (const record of records) this.executor.restore(record);
    else for (const record of records) this.directory.removeTaskRecord(record);
    const tasks = sameHost ? records.map((record) => record.task) : [];
    this.record.host = terms.host;
    const { type, zone } = this.settings;
    const machine = { host: terms.host, endpoint: this.server.endpoint, type, zone };
    // The lease on disk kept running while no process of this agent was running.
    const leaseStart = sameHost ? this.lease.readLeaseStart(leaseMs, this.now()) : this.now();
    this.worker = new Worker(machine, this.workerState, leaseMs, leaseStart, tasks);
    this.persistState();
    this.applyEffects(this.worker.tick(this.now()));
    if (sameHost) for (const record of records) this.resumeTask(record);
    this.executor.sweepOrphans();
    this.renewLease();
    this.log('info', 'joined control service', {
      host: terms.host,
      session: this.workerState.agentEpoch,
      tasks: tasks.length,
    });
  }

  /** Adopts a recorded task that was started, or prepares it again. Does nothing if the lease has expired meanwhile. */
  private resumeTask(record: TaskRecord): void {
    const { task, job } = record;
    if (!this.worker!.holds(task)) return this.executor.forget(task);
    if (task.phase === 'exited') return;
    this.lease.startWatchdog();
    if (job && task.phase !== 'fetching' && task.phase !== 'waiting') this.executor.adopt(record, job);
    else {
      task.phase = 'fetching';
      this.applyEffects([{ type: 'prepare', task }]);
    }
  }

  /** Stops the agent and all of its tasks after the control service has drained or forgotten this machine. */
  private endMembership(reason: string): void {
    this.log('warn', 'membership ended', { why: reason });
    this.applyEffects(this.worker!.startEpoch(this.now()));
    this.executor.sweepOrphans();
    this.record.host = null;
    this.directory.saveAgent(this.record);
    this.resolveReleased(reason);
    this.stop();
  }

  // ---- heartbeats ----

  /** Sends one heartbeat and processes its response; returns the delay before the next heartbeat, ms. */
  private async sendHeartbeat(): Promise<number> {
    this.checkLease();
    const worker = this.worker!;
    const { agentEpoch } = worker;
    const sentAt = this.now();
    const heartbeat = worker.buildHeartbeat();
    if (heartbeat.seq >= this.record.seqFrom) this.persistState();
    const response = await this.controlClient.call('POST', '/checkin', encodeAgentReport(heartbeat));
    if (this.stopped) return 0;
    this.checkLease();
    const reportMs = this.joinTerms!.reportS * 1000;
    if (response?.status === 200) {
      this.failedAttempts = 0;
      const answer = parseHeartbeatResponse(response.body);
      if (answer) this.applyEffects(worker.onHeartbeatResponse(answer, sentAt, agentEpoch));
      this.renewLease();
      return reportMs * (heartbeatJitter.min + heartbeatJitter.range * this.random());
    }
    if (response?.status === 410) {
      this.endMembership((response.body as { error?: string } | null)?.error ?? 'forgotten');
      return reportMs;
    }
    const owner = response?.status === 421 ? parseRedirect(response.body) : null;
    if (owner !== null && this.controlClient.switchTo(owner)) return 0;
    this.controlClient.switchToNext();
    return this.nextBackoffMs();
  }

  /**
   * Starts a new epoch if the lease has expired. It is called at intervals, and also before every event that may start a task:
   * when a suspended process continues, such an event may be handled before the interval's timer.
   */
  private checkLease(): void {
    const effects = this.worker!.tick(this.now());
    if (effects.length === 0) return;
    // The watchdog exits when the lease expires, so tasks of the next epoch need a new one.
    this.lease.markExpired();
    this.applyEffects(effects);
    this.executor.sweepOrphans();
  }

  /** Writes the lease of the worker to disk. */
  private renewLease(): void {
    const leaseMs = this.joinTerms!.leaseS * 1000;
    this.lease.renew(this.worker!.leaseStart + leaseMs - this.now());
  }

  /** Builds a report outside of the heartbeats. */
  private buildReport(): AgentReport {
    this.checkLease();
    return this.worker!.buildHeartbeat();
  }

  /** Executes orders that were sent outside of heartbeat responses; returns whether they were valid. */
  private executeDirectOrders({ token, session, orders }: DirectOrders): boolean {
    if (this.stopped) return false;
    this.checkLease();
    const effects = this.worker!.onDirectOrders(token, session, orders);
    if (!effects) return false;
    this.applyEffects(effects);
    // A message without orders means that the response to the next heartbeat contains news, so the heartbeat is sent now.
    if (orders.length === 0) this.pauses.interrupt();
    return true;
  }

  private persistState(): void {
    const { agentEpoch: session, fencingToken: token, seq } = this.workerState;
    Object.assign(this.record, { session, token, seqFrom: seq + sequenceBlockSize });
    this.directory.saveAgent(this.record);
  }

  // ---- tasks ----

  private applyEffects(effects: readonly WorkerEffect[]): void {
    for (const effect of effects)
      switch (effect.type) {
        case 'heartbeat-soon':
          this.pauses.interrupt();
          break;
        case 'persist-state':
          this.persistState();
          break;
        case 'prepare':
          if (!this.stopped) this.preparations.start(effect.task);
          break;
        case 'run':
          this.executor.run(effect.task, this.record.host!);
          break;
        case 'stop':
          this.preparations.cancel(effect.task);
          this.executor.stop(effect.task, effect.graceS);
          break;
        case 'forget':
          this.preparations.cancel(effect.task);
          this.executor.forget(effect.task);
          break;
      }
  }

  /** Runs a task whose job is known if the machine has capacity for it, unless the lease has expired meanwhile. */
  private onJobFetched(task: AgentTask, job: AgentJob | 'unknown'): void {
    this.checkLease();
    const worker = this.worker!;
    if (!worker.holds(task)) return;
    if (job === 'unknown') return this.applyEffects(worker.onExited(task, 'unknown', null, false));
    if (!this.executor.hasCapacity(task, job, worker.tasks))
      return this.applyEffects(worker.onExited(task, 'full', null, false));
    this.executor.setJob(task, job);
    this.applyEffects(worker.onPrepared(task, job.gang));
  }

  private onTaskEnded(task: AgentTask, result: TaskResult, saved: boolean): void {
    const why = result.reason === 'stopped' ? 'stopped' : succeeded(result) ? 'done' : 'error';
    this.applyEffects(this.worker!.onExited(task, why, result, saved));
    // If the task was forgotten meanwhile, its end is not recorded, because nothing would ever remove the record.
    if (this.worker!.holds(task)) this.executor.recordEnd(task);
  }
}

const newAgentRecord = (): AgentRecord => ({
  id: randomBytes(8).toString('hex'),
  host: null,
  session: 1,
  token: 0,
  seqFrom: 0,
});
