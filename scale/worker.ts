/** A hollow worker: speaks the worker protocol over real sockets as the worker of one machine does, but runs no processes. */
import { Agent } from 'node:http';
import { taskKey } from '../src/model/job.js';
import type { TaskOrder } from '../src/model/heartbeat.js';
import { requestJson } from '../src/net/client.js';
import type { Random } from '../src/retry/index.js';
import {
  encodeAgentReport,
  parseHeartbeatResponse,
  parseRedirect,
  type AgentReport,
  type AgentTask,
} from '../src/wire/agent.js';
import { machineType } from './cloud.js';
import { now, type MachineSpec, type TaskEvent, type WorkerCounts, type WorkersStart } from './messages.js';
import { isInitialJob, isUrgentJob } from './jobs.js';

const reportTimeoutMs = 4000;
const minReportIntervalMs = 500;
const nextControllerPauseMs = 1000;
const redirectPauseMs = 100;
const reportIntervalSpread = 0.25;
/** Run times vary uniformly by this fraction around the mean. */
const runTimeSpread = 0.25;

/** Data and callbacks that all hollow workers of a process share. */
export interface WorkerContext {
  options: WorkersStart;
  random: Random;
  counts: WorkerCounts;
  emit(event: TaskEvent): void;
  /** Called at a worker's first lease renewal since the last mark. */
  leaseRenewed(): void;
}

interface RunningTask extends AgentTask {
  /** Sequence number of the start on this worker; it lets the timer of a task that has left be ignored. */
  startNumber: number;
}

/** A worker that reports, keeps its lease, and simulates running tasks by timers. */
export class HollowWorker {
  private readonly tasks = new Map<string, RunningTask>();
  private runningCount = 0;
  private session = 1;
  private sequence = 0;
  private token = 0;
  private leaseRenewedAt = now();
  private controller: number;
  private connection: Agent;
  private reporting = false;
  private hasUnreportedChange = false;
  private lastReportAt = -Infinity;
  private reportTimer: NodeJS.Timeout | null = null;
  private leaseTimer: NodeJS.Timeout | null = null;
  private startCount = 0;
  private tokenRaisedAt = -Infinity;
  private ended = false;
  /** The lease has not been renewed since the last mark. */
  renewalPending = false;

  constructor(
    readonly machine: MachineSpec,
    readonly address: string,
    private readonly endpoint: string,
    private readonly context: WorkerContext,
  ) {
    this.controller = Math.floor(context.random() * context.options.controllers.length);
    this.connection = this.connect();
    context.counts.workers++;
    this.watchLease();
    this.schedule(0);
  }

  /** Stops the worker; all its tasks are lost. */
  end(): void {
    this.ended = true;
    this.loseTasks(now());
    if (this.reportTimer) clearTimeout(this.reportTimer);
    if (this.leaseTimer) clearTimeout(this.leaseTimer);
    this.connection.destroy();
    this.context.counts.workers--;
  }

  /** Simulates a restart of the worker process: its tasks are lost, and a new session begins. */
  restart(): void {
    this.newSession(now());
    this.scheduleChangeReport();
  }

  /** Executes commands that a controller sent directly; returns the HTTP status of the answer. */
  executeCommands(token: number | null, session: number | null, orders: TaskOrder[]): 200 | 400 | 409 {
    if (token === null || session === null) return 400;
    if (token < this.token || session !== this.session) return 409;
    this.token = token;
    for (const order of orders) this.execute(order);
    return 200;
  }

  /** The body of the next heartbeat. */
  report(): object {
    const { host, zone } = this.machine;
    const report: AgentReport = {
      host,
      endpoint: this.endpoint,
      type: machineType,
      zone,
      agentEpoch: this.session,
      seq: ++this.sequence,
      fencingToken: this.token,
      tasks: [...this.tasks.values()],
    };
    return encodeAgentReport(report);
  }

  // ---- reports ----

  private connect(): Agent {
    return new Agent({ keepAlive: true, maxSockets: 1, localAddress: this.address });
  }

  private schedule(afterMs: number): void {
    if (this.reportTimer) clearTimeout(this.reportTimer);
    if (this.ended) return;
    this.reportTimer = setTimeout(() => void this.sendReport(), afterMs);
  }

  /** Schedules a report of a change as soon as the minimum interval of the protocol allows. */
  private scheduleChangeReport(): void {
    this.hasUnreportedChange = true;
    if (!this.reporting) this.schedule(Math.max(0, this.lastReportAt + minReportIntervalMs - now()));
  }

  private async sendReport(): Promise<void> {
    if (this.ended || this.reporting) return;
    const { options, counts, random } = this.context;
    this.reporting = true;
    this.hasUnreportedChange = false;
    const sentAt = now();
    this.lastReportAt = sentAt;
    const { session } = this;
    const body = this.report();
    counts.reports++;
    const [, address] = options.controllers[this.controller];
    const reply = await requestJson(this.connection, address, 'POST', '/checkin', body, reportTimeoutMs);
    this.reporting = false;
    if (this.ended) return;
    const accepted = reply?.status === 200 && this.applyResponse(reply.body, session, sentAt);
    if (!accepted) counts.failedReports++;
    if (reply?.status === 200) {
      const intervalMs = options.limits.reportS * 1000 * (1 + reportIntervalSpread * (2 * random() - 1));
      const afterMs = this.hasUnreportedChange ? minReportIntervalMs : intervalMs;
      this.schedule(Math.max(0, sentAt + afterMs - now()));
    } else this.switchController(reply?.status === 421 ? parseRedirect(reply.body) : null);
  }

  /** Applies a heartbeat response; returns false if it is invalid or outdated. */
  private applyResponse(body: unknown, session: number, sentAt: number): boolean {
    const answer = parseHeartbeatResponse(body);
    if (!answer || answer.token === null || answer.token < this.token || session !== this.session)
      return false;
    this.raiseToken(answer.token);
    this.leaseRenewedAt = sentAt;
    if (this.renewalPending) {
      this.renewalPending = false;
      this.context.leaseRenewed();
    }
    for (const order of answer.orders) this.execute(order);
    return true;
  }

  private raiseToken(token: number): void {
    if (token === this.token) return;
    this.token = token;
    if (now() - this.tokenRaisedAt < (this.context.options.limits.leaseS * 1000) / 2) return;
    this.tokenRaisedAt = now();
    this.scheduleChangeReport();
  }

  private switchController(owner: string | null): void {
    const { controllers } = this.context.options;
    const redirectIndex = controllers.findIndex(([member]) => member === owner);
    const redirected = redirectIndex >= 0 && redirectIndex !== this.controller;
    this.controller = redirected ? redirectIndex : (this.controller + 1) % controllers.length;
    this.connection.destroy();
    this.connection = this.connect();
    this.schedule(redirected ? redirectPauseMs : nextControllerPauseMs);
  }

  // ---- the lease ----

  private watchLease(): void {
    const leaseMs = this.context.options.limits.leaseS * 1000;
    const endsAt = this.leaseRenewedAt + leaseMs;
    if (now() > endsAt) {
      this.context.counts.expiredLeases++;
      this.context.counts.tasksLostWithLeases += this.runningCount;
      this.newSession(endsAt);
      this.scheduleChangeReport();
    }
    const leftMs = this.leaseRenewedAt + leaseMs - now();
    this.leaseTimer = setTimeout(() => this.watchLease(), leftMs + 1);
  }

  private newSession(at: number): void {
    this.loseTasks(at);
    this.session++;
    this.leaseRenewedAt = now();
  }

  private loseTasks(at: number): void {
    for (const task of this.tasks.values()) if (task.phase === 'running') this.recordTaskLeft(task, at);
    this.tasks.clear();
  }

  // ---- tasks ----

  private execute(order: TaskOrder): void {
    const key = taskKey(order.job, order.index);
    const task = this.tasks.get(key);
    if (order.op === 'start') this.startTask(key, order, task);
    else if (!task || task.attempt !== order.attempt) return;
    else if (order.op === 'forget') {
      if (task.phase === 'exited') this.tasks.delete(key);
    } else if (task.phase === 'running') {
      this.recordTaskLeft(task, now());
      Object.assign(task, { phase: 'exited', why: 'stopped' });
      this.scheduleChangeReport();
    }
  }

  private startTask(key: string, order: TaskOrder, existing: RunningTask | undefined): void {
    if (existing?.attempt === order.attempt) return;
    this.context.counts.orders++;
    const task: RunningTask = {
      job: order.job,
      index: order.index,
      attempt: order.attempt,
      phase: 'running',
      why: null,
      saved: false,
      result: null,
      startNumber: ++this.startCount,
    };
    this.scheduleChangeReport();
    if (existing) {
      // Refused: another attempt of the task is on this worker and stays unchanged.
      return;
    }
    this.tasks.set(key, task);
    if (this.runningCount >= this.context.options.cpusOfMachine) {
      Object.assign(task, { phase: 'exited', why: 'full' });
      return;
    }
    this.runningCount++;
    this.context.counts.running++;
    this.emit('on', task, now());
    setTimeout(() => this.complete(key, task.startNumber), this.runTimeOf(order.job));
  }

  private complete(key: string, startNumber: number): void {
    const task = this.tasks.get(key);
    if (this.ended || task?.startNumber !== startNumber || task.phase !== 'running') return;
    const at = now();
    this.emit('done', task, at);
    this.recordTaskLeft(task, at);
    Object.assign(task, { phase: 'exited', why: 'done' });
    this.scheduleChangeReport();
  }

  private recordTaskLeft(task: RunningTask, at: number): void {
    this.runningCount--;
    this.context.counts.running--;
    this.emit('off', task, at);
  }

  private emit(what: TaskEvent['what'], { job, index }: RunningTask, at: number): void {
    this.context.emit({ at, what, host: this.machine.host, job, index });
  }

  /** Tasks of the initial load get a random part of the run time, as if already running, so that their ends are spread evenly. */
  private runTimeOf(job: string): number {
    const { random, options } = this.context;
    if (isInitialJob(job)) return Math.ceil(options.runMs * random());
    const mean = isUrgentJob(job) ? options.urgentRunMs : options.runMs;
    return Math.ceil(mean * (1 + runTimeSpread * (2 * random() - 1)));
  }
}
