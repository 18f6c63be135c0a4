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

const responseTimeoutMs = 4000;
const minHeartbeatIntervalMs = 500;
const nextControllerPauseMs = 1000;
const redirectPauseMs = 100;
const heartbeatIntervalSpread = 0.25;
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
  /** Sequence number of the start on this worker; used to ignore the timer of a task that has left. */
  startNumber: number;
}

/** A worker that sends heartbeats, keeps its lease, and simulates running tasks by timers. */
export class HollowWorker {
  private readonly tasks = new Map<string, RunningTask>();
  private runningCount = 0;
  private agentEpoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  private leaseRenewedAt = now();
  private controller: number;
  private connection: Agent;
  private awaitingResponse = false;
  private hasUnreportedChange = false;
  private lastHeartbeatAt = -Infinity;
  private heartbeatTimer: NodeJS.Timeout | null = null;
  private leaseTimer: NodeJS.Timeout | null = null;
  private startCount = 0;
  private fencingTokenRaisedAt = -Infinity;
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
    if (this.heartbeatTimer) clearTimeout(this.heartbeatTimer);
    if (this.leaseTimer) clearTimeout(this.leaseTimer);
    this.connection.destroy();
    this.context.counts.workers--;
  }

  /** Simulates a restart of the worker process: its tasks are lost, and a new epoch begins. */
  restart(): void {
    this.startEpoch(now());
    this.requestHeartbeat();
  }

  /** Executes orders that a controller sent directly; returns the HTTP status of the response. */
  executeOrders(
    fencingToken: number | null,
    agentEpoch: number | null,
    orders: TaskOrder[],
  ): 200 | 400 | 409 {
    if (fencingToken === null || agentEpoch === null) return 400;
    if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch) return 409;
    this.fencingToken = fencingToken;
    for (const order of orders) this.execute(order);
    return 200;
  }

  /** Builds the body of the next heartbeat, with a new sequence number. */
  buildHeartbeat(): object {
    const { host, zone } = this.machine;
    const heartbeat: AgentReport = {
      host,
      endpoint: this.endpoint,
      type: machineType,
      zone,
      agentEpoch: this.agentEpoch,
      seq: ++this.sequence,
      fencingToken: this.fencingToken,
      tasks: [...this.tasks.values()],
    };
    return encodeAgentReport(heartbeat);
  }

  // ---- heartbeats ----

  private connect(): Agent {
    return new Agent({ keepAlive: true, maxSockets: 1, localAddress: this.address });
  }

  private schedule(afterMs: number): void {
    if (this.heartbeatTimer) clearTimeout(this.heartbeatTimer);
    if (this.ended) return;
    this.heartbeatTimer = setTimeout(() => void this.sendHeartbeat(), afterMs);
  }

  /** Schedules a heartbeat that reports a change, as soon as the minimum interval of the protocol allows. */
  private requestHeartbeat(): void {
    this.hasUnreportedChange = true;
    if (!this.awaitingResponse)
      this.schedule(Math.max(0, this.lastHeartbeatAt + minHeartbeatIntervalMs - now()));
  }

  private async sendHeartbeat(): Promise<void> {
    if (this.ended || this.awaitingResponse) return;
    const { options, counts, random } = this.context;
    this.awaitingResponse = true;
    this.hasUnreportedChange = false;
    const sentAt = now();
    this.lastHeartbeatAt = sentAt;
    const { agentEpoch } = this;
    const body = this.buildHeartbeat();
    counts.reports++;
    const [, address] = options.controllers[this.controller];
    const reply = await requestJson(this.connection, address, 'POST', '/checkin', body, responseTimeoutMs);
    this.awaitingResponse = false;
    if (this.ended) return;
    const accepted = reply?.status === 200 && this.applyResponse(reply.body, agentEpoch, sentAt);
    if (!accepted) counts.failedReports++;
    if (reply?.status === 200) {
      const intervalMs = options.limits.reportS * 1000 * (1 + heartbeatIntervalSpread * (2 * random() - 1));
      const afterMs = this.hasUnreportedChange ? minHeartbeatIntervalMs : intervalMs;
      this.schedule(Math.max(0, sentAt + afterMs - now()));
    } else this.switchController(reply?.status === 421 ? parseRedirect(reply.body) : null);
  }

  /** Applies a heartbeat response; returns false if it is invalid or outdated. */
  private applyResponse(body: unknown, agentEpoch: number, sentAt: number): boolean {
    const answer = parseHeartbeatResponse(body);
    if (
      !answer ||
      answer.token === null ||
      answer.token < this.fencingToken ||
      agentEpoch !== this.agentEpoch
    )
      return false;
    this.raiseFencingToken(answer.token);
    this.leaseRenewedAt = sentAt;
    if (this.renewalPending) {
      this.renewalPending = false;
      this.context.leaseRenewed();
    }
    for (const order of answer.orders) this.execute(order);
    return true;
  }

  private raiseFencingToken(fencingToken: number): void {
    if (fencingToken === this.fencingToken) return;
    this.fencingToken = fencingToken;
    if (now() - this.fencingTokenRaisedAt < (this.context.options.limits.leaseS * 1000) / 2) return;
    this.fencingTokenRaisedAt = now();
    this.requestHeartbeat();
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
      this.startEpoch(endsAt);
      this.requestHeartbeat();
    }
    const leftMs = this.leaseRenewedAt + leaseMs - now();
    this.leaseTimer = setTimeout(() => this.watchLease(), leftMs + 1);
  }

  private startEpoch(at: number): void {
    this.loseTasks(at);
    this.agentEpoch++;
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
      this.requestHeartbeat();
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
    this.requestHeartbeat();
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
    this.requestHeartbeat();
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
