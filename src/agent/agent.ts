import { randomBytes } from 'node:crypto';
import { createReadStream, existsSync, readFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import type { Log } from '../core/effects.js';
import { JsonClient } from '../net/client.js';
import { readJson, sendJson as reply } from '../net/json.js';
import { backoffDelayMs, type Random, type RetryPolicy } from '../retry/index.js';
import {
  agentReportOut,
  parseAgentJob,
  parseAnswer,
  parseBoss,
  parseJoined,
  parseOrders,
  type AgentJob,
  type HeldTask,
  type Joined,
  type TaskResult,
} from '../wire/agent-side.js';
import { AgentDirectory, type AgentRecord } from './agent-directory.js';
import { CommandRunner } from './command-runner.js';
import type { AgentSettings } from './settings.js';
import { SimulatedTasks } from './simulated-tasks.js';
import { AgentLease } from './agent-lease.js';
import { Worker, type WorkerEffect, type WorkerState } from './worker.js';

/** Answers that come later are given up (the protocol's limit). */
const responseTimeoutMs = 4000;
/** Reports follow each other at least so far apart: a share of their interval. */
const minHeartbeatGapShare = 1 / 8;
const sequenceBlockSize = 10_000;
const tickIntervalMs = 100;
const maxBodyBytes = 1024 * 1024;
/** Outputs of tasks that are over are kept for the last so many. */
const maxKeptOutputs = 2000;
const pruneIntervalTasks = 100;

/** A process that stands for a machine: joins a control service, runs its tasks, reports. */
export class Agent {
  private readonly directory: AgentDirectory;
  private readonly identity: AgentRecord;
  private readonly runner: CommandRunner;
  private readonly simulatedTasks: SimulatedTasks;
  private readonly server: Server;
  private readonly clients: JsonClient[];
  private readonly bootId: string;
  private readonly lease: AgentLease;
  /** Descriptions of jobs that tasks here are of. */
  private readonly jobRequests = new Map<string, Promise<AgentJob | null | 'unknown'>>();
  private readonly jobByTask = new Map<HeldTask, AgentJob>();
  private worker: Worker | null = null;
  private joinTerms: Joined | null = null;
  private workerState: WorkerState = { agentEpoch: 1, seq: 0, fencingToken: 0 };
  private controlIndex = 0;
  private failedAttempts = 0;
  private heartbeatRequested = false;
  /** Ends the wait for the next report's turn. */
  private wakeHeartbeatLoop: () => void = () => undefined;
  private forgottenTasks = 0;
  private readonly timers = new Set<NodeJS.Timeout>();
  private stopped = false;
  /** Resolves when the control service has let the agent go: it left in order, or was forgotten. */
  readonly released: Promise<string>;
  private resolveReleased: (why: string) => void = () => undefined;

  constructor(
    private readonly settings: AgentSettings,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.released = new Promise((resolve) => (this.resolveReleased = resolve));
    this.directory = new AgentDirectory(settings.directory);
    const known = this.directory.loadAgent();
    this.identity = known ?? {
      id: randomBytes(8).toString('hex'),
      host: null,
      session: 1,
      token: 0,
      seqFrom: 0,
    };
    if (!known) this.directory.saveAgent(this.identity);
    this.bootId = readBootId();
    this.lease = new AgentLease(settings.directory, this.bootId, this.identity.id);
    this.clients = settings.controls.map((addr) => new JsonClient(addr, 2));
    const events = {
      ended: (task: HeldTask, result: TaskResult, saved: boolean) => this.onTaskEnded(task, result, saved),
    };
    const { outputBytes, graceS, checkIntervalMs: lookMs } = settings;
    this.runner = new CommandRunner(
      this.directory,
      { outputBytes, graceS, checkIntervalMs: lookMs, agentId: this.identity.id },
      events,
      log,
    );
    this.simulatedTasks = new SimulatedTasks(random, events);
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((e: unknown) => reply(res, 500, { error: String((e as Error).message) }));
    });
  }

  async start(): Promise<void> {
    const listen = this.settings.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(listen.port, listen.host, () => resolve());
    });
    void this.joinAndHeartbeat();
  }

  /** Ends the agent; what it runs goes on, for the next start to find. */
  stop(): void {
    this.stopped = true;
    for (const t of this.timers) clearTimeout(t);
    if (this.runner.idle) this.lease.stopWatchdog();
    this.runner.close();
    this.simulatedTasks.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  private get endpoint(): string {
    const { port } = this.server.address() as AddressInfo;
    return `${this.settings.listen.host}:${port}`;
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.timers.delete(timer);
        resolve();
      }, ms);
      this.timers.add(timer);
    });
  }

  private get retryPolicy(): RetryPolicy {
    const reportMs = (this.joinTerms?.reportS ?? 2) * 1000;
    return {
      initialDelayMs: reportMs / 4,
      maxDelayMs: reportMs * 8,
      multiplier: 2,
      jitter: 0.5,
      timeoutMs: responseTimeoutMs,
    };
  }

  // ---- joining ----

  private async joinAndHeartbeat(): Promise<void> {
    while (!this.stopped && !(await this.join()))
      if (!this.stopped)
        await this.pause(backoffDelayMs(this.retryPolicy, ++this.failedAttempts, this.random));
    if (this.stopped) return;
    this.failedAttempts = 0;
    const ticker = setInterval(() => {
      const effects = this.worker!.tick(performance.now());
      if (effects.length === 0) return;
      // Guards against tasks of the next session that nobody watches over.
      this.lease.markExpired();
      this.applyEffects(effects);
    }, tickIntervalMs);
    this.timers.add(ticker);
    while (!this.stopped) {
      const sentAt = performance.now();
      await this.waitForNextHeartbeat(await this.sendHeartbeat());
      if (this.stopped) return;
      const minGapMs = this.joinTerms!.reportS * 1000 * minHeartbeatGapShare;
      await this.pause(Math.max(0, minGapMs - (performance.now() - sentAt)));
      this.heartbeatRequested = false;
    }
  }

  /** Waits for the next turn, or for something to tell. */
  private waitForNextHeartbeat(ms: number): Promise<void> {
    if (this.heartbeatRequested || ms <= 0) return Promise.resolve();
    return new Promise<void>((resolve) => {
      const timer = setTimeout(() => this.wakeHeartbeatLoop(), ms);
      this.timers.add(timer);
      this.wakeHeartbeatLoop = () => {
        this.wakeHeartbeatLoop = () => undefined;
        clearTimeout(timer);
        this.timers.delete(timer);
        resolve();
      };
    });
  }

  private requestHeartbeat(): void {
    this.heartbeatRequested = true;
    this.wakeHeartbeatLoop();
  }

  private async join(): Promise<boolean> {
    const { name, type, zone, cpus, gpus, memGb, attrs } = this.settings;
    const body = {
      id: this.identity.id,
      name,
      type,
      zone,
      cpus,
      gpus,
      memGb,
      attrs: { OpSys: 'LINUX', Arch: architectureName(process.arch), ...attrs },
    };
    const response = await this.clients[this.controlIndex].call('POST', '/agents', body, responseTimeoutMs);
    // Guards against an agent that was ended while it asked, and would take up commands all the same.
    if (this.stopped) return false;
    const terms = response?.status === 200 ? parseJoined(response.body) : null;
    if (!terms) {
      if (response) this.log('warn', 'membership refused', { status: response.status, body: response.body });
      this.controlIndex = (this.controlIndex + 1) % this.clients.length;
      return false;
    }
    this.joinTerms = terms;
    this.resume(terms);
    return true;
  }

  /** Goes on with what the records tell, if the control service still knows this machine by that name. */
  private resume(terms: Joined): void {
    const sameHost = this.identity.host === terms.host;
    const leaseMs = terms.leaseS * 1000;
    const tasks: HeldTask[] = [];
    const records = this.directory.loadTasks();
    if (sameHost)
      this.workerState = {
        agentEpoch: this.identity.session,
        seq: this.identity.seqFrom,
        fencingToken: this.identity.token,
      };
    else
      this.workerState = {
        agentEpoch: this.identity.session + 1,
        seq: this.identity.seqFrom,
        fencingToken: 0,
      };
    for (const record of records) {
      if (!sameHost) this.directory.forgetTask(record.task);
      else tasks.push(record.task);
    }
    this.identity.host = terms.host;
    const machine = {
      host: terms.host,
      endpoint: this.endpoint,
      type: this.settings.type,
      zone: this.settings.zone,
    };
    // The lease went on while this process was not there.
    const leasedFrom = sameHost ? this.lease.startOnDisk(leaseMs) : performance.now();
    this.worker = new Worker(machine, this.workerState, leaseMs, leasedFrom, tasks);
    this.persistState();
    this.applyEffects(this.worker.tick(performance.now()));
    this.lease.renew(this.worker.leaseStart, leaseMs);
    const held = new Set(this.worker.tasks);
    if (sameHost)
      for (const r of records) {
        if (r.job) this.jobByTask.set(r.task, r.job);
        if (r.task.phase === 'exited' || !held.has(r.task)) continue;
        this.lease.startWatchdog();
        if (r.job && r.task.phase !== 'fetching' && r.task.phase !== 'waiting')
          this.runner.adopt(r, r.job, this.bootId);
        else
          this.applyEffects([
            { type: 'prepare', task: Object.assign(r.task, { phase: 'fetching' as const }) },
          ]);
      }
    this.runner.sweepOrphans();
    this.log('info', 'joined', {
      host: terms.host,
      session: this.workerState.agentEpoch,
      tasks: tasks.length,
    });
  }

  // ---- reporting ----

  /** One report; how long to wait until the next, ms. */
  private async sendHeartbeat(): Promise<number> {
    const worker = this.worker!;
    const { agentEpoch: session } = worker;
    const sentAt = performance.now();
    const report = worker.buildHeartbeat();
    if (report.seq >= this.identity.seqFrom) this.persistState();
    const response = await this.clients[this.controlIndex].call(
      'POST',
      '/checkin',
      agentReportOut(report),
      responseTimeoutMs,
    );
    if (this.stopped) return 0;
    const reportMs = this.joinTerms!.reportS * 1000;
    if (response?.status === 200) {
      this.failedAttempts = 0;
      const answer = parseAnswer(response.body);
      if (answer) this.applyEffects(worker.onHeartbeatResponse(answer, sentAt, session));
      this.lease.renew(worker.leaseStart, this.joinTerms!.leaseS * 1000);
      return reportMs * (0.75 + 0.5 * this.random());
    }
    if (response?.status === 410) {
      this.endMembership(String((response.body as { error?: unknown } | null)?.error ?? 'forgotten'));
      return reportMs;
    }
    const boss = response?.status === 421 ? parseBoss(response.body) : null;
    const bossIndex = boss === null ? -1 : this.settings.controlNames.indexOf(boss);
    if (bossIndex >= 0 && bossIndex !== this.controlIndex) {
      this.controlIndex = bossIndex;
      return 0;
    }
    this.controlIndex = (this.controlIndex + 1) % this.clients.length;
    return backoffDelayMs(this.retryPolicy, ++this.failedAttempts, this.random);
  }

  private endMembership(why: string): void {
    this.log('warn', 'membership ended', { why });
    this.applyEffects(this.worker!.startEpoch(performance.now()));
    this.identity.host = null;
    this.directory.saveAgent(this.identity);
    this.resolveReleased(why);
    this.stop();
  }

  private persistState(): void {
    const { agentEpoch: session, fencingToken: token, seq } = this.workerState;
    Object.assign(this.identity, { session, token, seqFrom: seq + sequenceBlockSize });
    this.directory.saveAgent(this.identity);
  }

  private onTaskEnded(task: HeldTask, result: TaskResult, saved: boolean): void {
    const why = result.reason === 'stopped' ? 'stopped' : result.exit === 0 ? 'done' : 'error';
    this.applyEffects(this.worker!.onExited(task, why, result, saved));
    const job = this.jobByTask.get(task);
    // Guards against a record that nobody clears: of a task that was forgotten meanwhile, nothing is kept. What a stand-in
    // did has left nothing behind: if its end is lost with the agent, it is played again.
    if (job?.command && this.worker!.holds(task))
      this.directory.saveTask({ task, job, startedAt: 0, startedUptimeS: 0, boot: this.bootId });
  }

  // ---- what the worker wants ----

  private applyEffects(effects: readonly WorkerEffect[]): void {
    for (const e of effects)
      switch (e.type) {
        case 'soon':
          this.requestHeartbeat();
          break;
        case 'remember':
          this.persistState();
          break;
        case 'prepare':
          void this.prepare(e.task);
          break;
        case 'run': {
          const job = this.jobByTask.get(e.task);
          if (!job) break;
          if (job.command) {
            this.lease.startWatchdog();
            this.runner.start(e.task, job, this.identity.host!, this.bootId);
          } else this.simulatedTasks.start(e.task, job);
          break;
        }
        case 'stop':
          if (this.simulatedTasks.has(e.task)) this.simulatedTasks.stop(e.task, e.graceS);
          else this.runner.stop(e.task, e.graceS);
          break;
        case 'forget': {
          const plays = this.jobByTask.get(e.task)?.command === null;
          this.jobByTask.delete(e.task);
          if (plays) break;
          this.directory.forgetTask(e.task);
          // Looking through all of them costs: not for each task that is over.
          if (++this.forgottenTasks % pruneIntervalTasks === 0) this.directory.pruneOutputs(maxKeptOutputs);
          break;
        }
      }
  }

  /** Gets the description of a task's job and looks whether there is room for it. */
  private async prepare(task: HeldTask): Promise<void> {
    const worker = this.worker!;
    for (let attempt = 1; task.phase === 'fetching' && !this.stopped; attempt++) {
      const job = await this.fetchJob(task.job);
      if (this.stopped) return;
      if (job === 'unknown') return this.applyEffects(worker.onExited(task, 'unknown', null, false));
      if (job) {
        if (!this.hasCapacity(task, job))
          return this.applyEffects(worker.onExited(task, 'full', null, false));
        this.jobByTask.set(task, job);
        return this.applyEffects(worker.onPrepared(task, job.gang));
      }
      await this.pause(backoffDelayMs(this.retryPolicy, attempt, this.random));
    }
  }

  private async fetchJob(id: string): Promise<AgentJob | null | 'unknown'> {
    let pending = this.jobRequests.get(id);
    if (!pending) {
      pending = this.clients[this.controlIndex]
        .call('GET', `/work/${id}/job`, null, responseTimeoutMs)
        .then((r) => {
          if (r?.status === 404) return 'unknown';
          return r?.status === 200 ? parseAgentJob(r.body) : null;
        });
      this.jobRequests.set(id, pending);
      // Kept while tasks of it are likely to come; an answer that was none is not kept.
      const job = await pending;
      if (job === null || job === 'unknown' || this.jobRequests.size > 1000) this.jobRequests.delete(id);
      return job;
    }
    return pending;
  }

  private hasCapacity(task: HeldTask, job: AgentJob): boolean {
    const free = { cpus: this.settings.cpus, gpus: this.settings.gpus, memGb: this.settings.memGb };
    for (const held of this.worker!.tasks) {
      const heldJob = held === task ? job : held.phase === 'exited' ? null : this.jobByTask.get(held);
      if (!heldJob) continue;
      free.cpus -= heldJob.cpus;
      free.gpus -= heldJob.gpus;
      free.memGb -= heldJob.memGb;
    }
    return Math.min(free.cpus, free.gpus, free.memGb) >= -1e-6;
  }

  // ---- requests ----

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://agent');
    if (!this.worker) return reply(res, 503, { error: 'not joined yet' });
    if (req.method === 'GET' && url.pathname === '/show')
      return reply(res, 200, agentReportOut(this.worker.buildHeartbeat()));
    if (req.method === 'POST' && url.pathname === '/orders') {
      const orders = parseOrders(await readJson(req, maxBodyBytes));
      if (!orders || orders.token === null || orders.session === null)
        return reply(res, 400, { error: 'baton and tenure are needed' });
      const effects = this.worker.onDirectOrders(orders.token, orders.session, orders.orders);
      if (effects) this.applyEffects(effects);
      // Nothing to do, but something that only an answer to a report may tell.
      if (effects && orders.orders.length === 0) this.requestHeartbeat();
      return reply(res, effects ? 200 : 409, agentReportOut(this.worker.buildHeartbeat()));
    }
    if (req.method === 'GET' && url.pathname === '/output') return this.serveOutput(url.searchParams, res);
    reply(res, 404, { error: 'not found' });
  }

  private serveOutput(query: URLSearchParams, res: ServerResponse): void {
    const job = query.get('job') ?? '';
    const index = Number(query.get('index'));
    const attempt = Number(query.get('attempt'));
    const stream = query.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    if (!/^[\w-]+$/.test(job) || !Number.isInteger(index) || !Number.isInteger(attempt))
      return reply(res, 400, { error: 'job, index and attempt are needed' });
    const path = join(this.directory.taskDirectory({ job, index, attempt }), stream);
    if (!existsSync(path)) return reply(res, 404, { error: 'no output of that attempt here' });
    res.writeHead(200, { 'Content-Type': 'text/plain; charset=utf-8' });
    createReadStream(path).pipe(res);
  }
}

/** By the names that match expressions use. */
const architectureName = (arch: string): string =>
  arch === 'x64' ? 'X86_64' : arch === 'arm64' ? 'AARCH64' : arch.toUpperCase();

function readBootId(): string {
  try {
    return readFileSync('/proc/sys/kernel/random/boot_id', 'latin1').trim();
  } catch {
    return 'unknown';
  }
}
