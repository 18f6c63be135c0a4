import { randomBytes } from 'node:crypto';
import { createReadStream, existsSync, readFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import type { Log } from '../core/effects.js';
import { HttpClient } from '../net/client.js';
import { readJson, replyJson as reply } from '../net/json.js';
import { pauseMs, type Random, type RetryPolicy } from '../retry/index.js';
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
import { Records, type AgentRecord } from './records.js';
import { Runner } from './runner.js';
import type { AgentSettings } from './settings.js';
import { StandIns } from './simulated-tasks.js';
import { Lease } from './lease.js';
import { Worker, type WorkerEffect, type WorkerMemory } from './worker.js';

/** Answers that come later are given up (the protocol's limit). */
const answerMs = 4000;
/** Reports follow each other at least so far apart: a share of their interval. */
const leastShare = 1 / 8;
const seqBlock = 10_000;
const tickMs = 100;
const mostBody = 1024 * 1024;
/** Outputs of tasks that are over are kept for the last so many. */
const keptOutputs = 2000;
const pruneEvery = 100;

/** A process that stands for a machine: joins a control service, runs its tasks, reports. */
export class Agent {
  private readonly records: Records;
  private readonly self: AgentRecord;
  private readonly runner: Runner;
  private readonly standIns: StandIns;
  private readonly server: Server;
  private readonly clients: HttpClient[];
  private readonly boot: string;
  private readonly lease: Lease;
  /** Descriptions of jobs that tasks here are of. */
  private readonly jobs = new Map<string, Promise<AgentJob | null | 'unknown'>>();
  private readonly jobOf = new Map<HeldTask, AgentJob>();
  private worker: Worker | null = null;
  private joined: Joined | null = null;
  private memory: WorkerMemory = { session: 1, seq: 0, token: 0 };
  private target = 0;
  private failures = 0;
  private soon = false;
  /** Ends the wait for the next report's turn. */
  private wake: () => void = () => undefined;
  private forgotten = 0;
  private readonly timers = new Set<NodeJS.Timeout>();
  private stopped = false;
  /** Resolves when the control service has let the agent go: it left in order, or was forgotten. */
  readonly released: Promise<string>;
  private release: (why: string) => void = () => undefined;

  constructor(
    private readonly settings: AgentSettings,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.released = new Promise((resolve) => (this.release = resolve));
    this.records = new Records(settings.directory);
    const known = this.records.loadSelf();
    this.self = known ?? { id: randomBytes(8).toString('hex'), host: null, session: 1, token: 0, seqFrom: 0 };
    if (!known) this.records.saveSelf(this.self);
    this.boot = bootId();
    this.lease = new Lease(settings.directory, this.boot, this.self.id);
    this.clients = settings.controls.map((addr) => new HttpClient(addr, 2));
    const events = {
      ended: (task: HeldTask, result: TaskResult, saved: boolean) => this.ended(task, result, saved),
    };
    const { outputBytes, graceS, lookMs } = settings;
    this.runner = new Runner(
      this.records,
      { outputBytes, graceS, lookMs, agentId: this.self.id },
      events,
      log,
    );
    this.standIns = new StandIns(random, events);
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((e: unknown) => reply(res, 500, { error: String((e as Error).message) }));
    });
  }

  async start(): Promise<void> {
    const at = this.settings.listen;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(at.port, at.host, () => resolve());
    });
    void this.run();
  }

  /** Ends the agent; what it runs goes on, for the next start to find. */
  stop(): void {
    this.stopped = true;
    for (const t of this.timers) clearTimeout(t);
    if (this.runner.idle) this.lease.unwatch();
    this.runner.close();
    this.standIns.close();
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

  private get retry(): RetryPolicy {
    const report = (this.joined?.reportS ?? 2) * 1000;
    return { firstMs: report / 4, longestMs: report * 8, factor: 2, jitter: 0.5, deadlineMs: answerMs };
  }

  // ---- joining ----

  private async run(): Promise<void> {
    while (!this.stopped && !(await this.join()))
      if (!this.stopped) await this.pause(pauseMs(this.retry, ++this.failures, this.random));
    if (this.stopped) return;
    this.failures = 0;
    const ticker = setInterval(() => {
      const effects = this.worker!.tick(performance.now());
      if (effects.length === 0) return;
      // Guards against tasks of the next session that nobody watches over.
      this.lease.lapsed();
      this.carryOut(effects);
    }, tickMs);
    this.timers.add(ticker);
    while (!this.stopped) {
      const sentAt = performance.now();
      await this.untilNews(await this.checkin());
      if (this.stopped) return;
      const least = this.joined!.reportS * 1000 * leastShare;
      await this.pause(Math.max(0, least - (performance.now() - sentAt)));
      this.soon = false;
    }
  }

  /** Waits for the next turn, or for something to tell. */
  private untilNews(ms: number): Promise<void> {
    if (this.soon || ms <= 0) return Promise.resolve();
    return new Promise<void>((resolve) => {
      const timer = setTimeout(() => this.wake(), ms);
      this.timers.add(timer);
      this.wake = () => {
        this.wake = () => undefined;
        clearTimeout(timer);
        this.timers.delete(timer);
        resolve();
      };
    });
  }

  private tellSoon(): void {
    this.soon = true;
    this.wake();
  }

  private async join(): Promise<boolean> {
    const { name, type, zone, cpus, gpus, memGb, attrs } = this.settings;
    const body = {
      id: this.self.id,
      name,
      type,
      zone,
      cpus,
      gpus,
      memGb,
      attrs: { OpSys: 'LINUX', Arch: archOf(process.arch), ...attrs },
    };
    const r = await this.clients[this.target].call('POST', '/agents', body, answerMs);
    // Guards against an agent that was ended while it asked, and would take up commands all the same.
    if (this.stopped) return false;
    const joined = r?.status === 200 ? parseJoined(r.body) : null;
    if (!joined) {
      if (r) this.log('warn', 'not let in', { status: r.status, body: r.body });
      this.target = (this.target + 1) % this.clients.length;
      return false;
    }
    this.joined = joined;
    this.takeUp(joined);
    return true;
  }

  /** Goes on with what the records tell, if the control service still knows this machine by that name. */
  private takeUp(joined: Joined): void {
    const same = this.self.host === joined.host;
    const leaseMs = joined.leaseS * 1000;
    const tasks: HeldTask[] = [];
    const found = this.records.load();
    if (same) this.memory = { session: this.self.session, seq: this.self.seqFrom, token: this.self.token };
    else this.memory = { session: this.self.session + 1, seq: this.self.seqFrom, token: 0 };
    for (const r of found) {
      if (!same) this.records.forget(r.task);
      else tasks.push(r.task);
    }
    this.self.host = joined.host;
    const identity = {
      host: joined.host,
      endpoint: this.endpoint,
      type: this.settings.type,
      zone: this.settings.zone,
    };
    // The lease went on while this process was not there.
    const leasedFrom = same ? this.lease.leasedFrom(leaseMs) : performance.now();
    this.worker = new Worker(identity, this.memory, leaseMs, leasedFrom, tasks);
    this.remember();
    this.carryOut(this.worker.tick(performance.now()));
    this.lease.renewed(this.worker.leasedFrom, leaseMs);
    const kept = new Set(this.worker.tasks);
    if (same)
      for (const r of found) {
        if (r.job) this.jobOf.set(r.task, r.job);
        if (r.task.phase === 'exited' || !kept.has(r.task)) continue;
        this.lease.watch();
        if (r.job && r.task.phase !== 'fetching' && r.task.phase !== 'waiting')
          this.runner.adopt(r, r.job, this.boot);
        else
          this.carryOut([{ type: 'prepare', task: Object.assign(r.task, { phase: 'fetching' as const }) }]);
      }
    this.runner.sweepOrphans();
    this.log('info', 'joined', { host: joined.host, session: this.memory.session, tasks: tasks.length });
  }

  // ---- reporting ----

  /** One report; how long to wait until the next, ms. */
  private async checkin(): Promise<number> {
    const worker = this.worker!;
    const { session } = worker;
    const sentAt = performance.now();
    const report = worker.report();
    if (report.seq >= this.self.seqFrom) this.remember();
    const r = await this.clients[this.target].call('POST', '/checkin', agentReportOut(report), answerMs);
    if (this.stopped) return 0;
    const reportMs = this.joined!.reportS * 1000;
    if (r?.status === 200) {
      this.failures = 0;
      const answer = parseAnswer(r.body);
      if (answer) this.carryOut(worker.answered(answer, sentAt, session));
      this.lease.renewed(worker.leasedFrom, this.joined!.leaseS * 1000);
      return reportMs * (0.75 + 0.5 * this.random());
    }
    if (r?.status === 410) {
      this.leave(String((r.body as { error?: unknown } | null)?.error ?? 'forgotten'));
      return reportMs;
    }
    const boss = r?.status === 421 ? parseBoss(r.body) : null;
    const at = boss === null ? -1 : this.settings.controlNames.indexOf(boss);
    if (at >= 0 && at !== this.target) {
      this.target = at;
      return 0;
    }
    this.target = (this.target + 1) % this.clients.length;
    return pauseMs(this.retry, ++this.failures, this.random);
  }

  private leave(why: string): void {
    this.log('warn', 'let go', { why });
    this.carryOut(this.worker!.newSession(performance.now()));
    this.self.host = null;
    this.records.saveSelf(this.self);
    this.release(why);
    this.stop();
  }

  private remember(): void {
    const { session, token, seq } = this.memory;
    Object.assign(this.self, { session, token, seqFrom: seq + seqBlock });
    this.records.saveSelf(this.self);
  }

  private ended(task: HeldTask, result: TaskResult, saved: boolean): void {
    const why = result.reason === 'stopped' ? 'stopped' : result.exit === 0 ? 'done' : 'error';
    this.carryOut(this.worker!.exited(task, why, result, saved));
    const job = this.jobOf.get(task);
    // Guards against a record that nobody clears: of a task that was forgotten meanwhile, nothing is kept. What a stand-in
    // did has left nothing behind: if its end is lost with the agent, it is played again.
    if (job?.command && this.worker!.holds(task))
      this.records.save({ task, job, startedAt: 0, startedUptimeS: 0, boot: this.boot });
  }

  // ---- what the worker wants ----

  private carryOut(effects: readonly WorkerEffect[]): void {
    for (const e of effects)
      switch (e.type) {
        case 'soon':
          this.tellSoon();
          break;
        case 'remember':
          this.remember();
          break;
        case 'prepare':
          void this.prepare(e.task);
          break;
        case 'run': {
          const job = this.jobOf.get(e.task);
          if (!job) break;
          if (job.command) {
            this.lease.watch();
            this.runner.start(e.task, job, this.self.host!, this.boot);
          } else this.standIns.start(e.task, job);
          break;
        }
        case 'stop':
          if (this.standIns.has(e.task)) this.standIns.stop(e.task, e.graceS);
          else this.runner.stop(e.task, e.graceS);
          break;
        case 'forget': {
          const plays = this.jobOf.get(e.task)?.command === null;
          this.jobOf.delete(e.task);
          if (plays) break;
          this.records.forget(e.task);
          // Looking through all of them costs: not for each task that is over.
          if (++this.forgotten % pruneEvery === 0) this.records.prune(keptOutputs);
          break;
        }
      }
  }

  /** Gets the description of a task's job and looks whether there is room for it. */
  private async prepare(task: HeldTask): Promise<void> {
    const worker = this.worker!;
    for (let tries = 1; task.phase === 'fetching' && !this.stopped; tries++) {
      const job = await this.describe(task.job);
      if (this.stopped) return;
      if (job === 'unknown') return this.carryOut(worker.exited(task, 'unknown', null, false));
      if (job) {
        if (!this.hasRoom(task, job)) return this.carryOut(worker.exited(task, 'full', null, false));
        this.jobOf.set(task, job);
        return this.carryOut(worker.prepared(task, job.gang));
      }
      await this.pause(pauseMs(this.retry, tries, this.random));
    }
  }

  private async describe(id: string): Promise<AgentJob | null | 'unknown'> {
    let asked = this.jobs.get(id);
    if (!asked) {
      asked = this.clients[this.target].call('GET', `/work/${id}/job`, null, answerMs).then((r) => {
        if (r?.status === 404) return 'unknown';
        return r?.status === 200 ? parseAgentJob(r.body) : null;
      });
      this.jobs.set(id, asked);
      // Kept while tasks of it are likely to come; an answer that was none is not kept.
      const seen = await asked;
      if (seen === null || seen === 'unknown' || this.jobs.size > 1000) this.jobs.delete(id);
      return seen;
    }
    return asked;
  }

  private hasRoom(task: HeldTask, job: AgentJob): boolean {
    const left = { cpus: this.settings.cpus, gpus: this.settings.gpus, memGb: this.settings.memGb };
    for (const t of this.worker!.tasks) {
      const j = t === task ? job : t.phase === 'exited' ? null : this.jobOf.get(t);
      if (!j) continue;
      left.cpus -= j.cpus;
      left.gpus -= j.gpus;
      left.memGb -= j.memGb;
    }
    return Math.min(left.cpus, left.gpus, left.memGb) >= -1e-6;
  }

  // ---- requests ----

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://agent');
    if (!this.worker) return reply(res, 503, { error: 'not joined yet' });
    if (req.method === 'GET' && url.pathname === '/show')
      return reply(res, 200, agentReportOut(this.worker.report()));
    if (req.method === 'POST' && url.pathname === '/orders') {
      const o = parseOrders(await readJson(req, mostBody));
      if (!o || o.token === null || o.session === null)
        return reply(res, 400, { error: 'baton and tenure are needed' });
      const effects = this.worker.ordered(o.token, o.session, o.orders);
      if (effects) this.carryOut(effects);
      // Nothing to do, but something that only an answer to a report may tell.
      if (effects && o.orders.length === 0) this.tellSoon();
      return reply(res, effects ? 200 : 409, agentReportOut(this.worker.report()));
    }
    if (req.method === 'GET' && url.pathname === '/output') return this.output(url.searchParams, res);
    reply(res, 404, { error: 'not found' });
  }

  private output(q: URLSearchParams, res: ServerResponse): void {
    const job = q.get('job') ?? '';
    const index = Number(q.get('index'));
    const attempt = Number(q.get('attempt'));
    const stream = q.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    if (!/^[\w-]+$/.test(job) || !Number.isInteger(index) || !Number.isInteger(attempt))
      return reply(res, 400, { error: 'job, index and attempt are needed' });
    const path = join(this.records.dirOf({ job, index, attempt }), stream);
    if (!existsSync(path)) return reply(res, 404, { error: 'no output of that attempt here' });
    res.writeHead(200, { 'Content-Type': 'text/plain; charset=utf-8' });
    createReadStream(path).pipe(res);
  }
}

/** By the names that match expressions use. */
const archOf = (arch: string): string =>
  arch === 'x64' ? 'X86_64' : arch === 'arm64' ? 'AARCH64' : arch.toUpperCase();

function bootId(): string {
  try {
    return readFileSync('/proc/sys/kernel/random/boot_id', 'latin1').trim();
  } catch {
    return 'unknown';
  }
}
