/** A cell of a run: the platform's stand-ins, three controllers, hollow workers and users, and what is measured of them. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePort } from '../src/net/port.js';
import { Latency, processFigures, sumOf, type CellFigures, type FaultFigures } from './figures.js';
import {
  noWorkers,
  now,
  type FromPlatform,
  type FromUsers,
  type FromWorkers,
  type GeneratorLag,
  type MachineSpec,
  type PlatformCounts,
  type TaskEvent,
  type ToPlatform,
  type ToUsers,
  type ToWorkers,
  type UserCounts,
  type UserEvent,
  type WorkerCounts,
} from './messages.js';
import {
  controllersInCell,
  cpusOfWorker,
  ScaleError,
  tasksOfWorker,
  workerProcesses,
  workersInProcess,
  type ScaleOptions,
} from './options.js';
import { ControllerProcess, deployedFlags, Generator, useOf, type ProcessUse } from './processes.js';
import { isUrgentJob } from './jobs.js';
import { EventOrder, RuleChecker } from './rules.js';
import {
  cloudLimits,
  settingsText,
  stateSizes,
  teamsOf,
  workerLimits,
  zones,
  type Member,
} from './settings.js';

const statusEveryMs = 500;
/** Events of a process that is busy come later than those of the others. */
const eventDelayMs = 3000;
const startTimeoutMs = 20_000;
const firstNetwork = 16;
/** Controllers take some seconds to begin, machines to boot; so many machines are rented in a millisecond. */
const bootMs = 10_000;
const rentedPerMs = 0.4;
const urgentRunMs = 10_000;
const cancelShare = 0.01;
const urgentShareOfStarts = 1 / 200;
const minUrgentPerS = 0.5;

const zeroCounts: PlatformCounts = {
  requests: 0,
  transactions: 0,
  writes: 0,
  refusedRequests: 0,
  refusedWrites: 0,
  bytesWritten: 0,
  keys: 0,
  writesByKind: {},
};

interface Reading {
  at: number;
  uses: Map<string, ProcessUse>;
  workers: WorkerCounts;
  platform: PlatformCounts;
  starts: number;
}

interface OpenFault {
  figures: FaultFigures;
  at: number;
  workers: number;
}

type Ordered = TaskEvent | UserEvent;

const isTaskEvent = (event: Ordered): event is TaskEvent => 'host' in event;

/** How much each count has grown. */
const difference = (after: Record<string, number>, before: Record<string, number>): Record<string, number> =>
  Object.fromEntries(Object.entries(after).map(([key, count]) => [key, count - (before[key] ?? 0)]));

export class Cell {
  owner: string | null = null;
  leader: string | null = null;
  readonly controllers: ControllerProcess[] = [];
  readonly checker: RuleChecker;
  /** Machines and their zones, by what the cloud has rented out. */
  readonly machines = new Map<string, string>();
  private platform!: Generator<ToPlatform>;
  private readonly workers: Generator<ToWorkers>[] = [];
  private users: Generator<ToUsers> | null = null;
  private readonly workerProcessOfHost = new Map<string, number>();
  private nextWorkerProcess = 0;
  private readonly removals = new Map<number, number>();
  private readonly order = new EventOrder<Ordered>(eventDelayMs);
  private readonly submit = new Latency();
  private readonly urgentStart = new Latency();
  private readonly cancel = new Latency();
  private readonly urgentSteps = { accepted: new Latency(), placed: new Latency(), started: new Latency() };
  /** When urgent jobs that have not begun were submitted, and their first placement was stored. */
  private readonly urgentSubmittedAt = new Map<string, number>();
  private readonly urgentPlacedAt = new Map<string, number>();
  private measuring = false;
  private starts = 0;
  private acceptedJobs = 0;
  private abandonedSubmissions = 0;
  private platformCounts = zeroCounts;
  private readonly workerCounts: WorkerCounts[] = [];
  private userCounts: UserCounts = { requests: 0, unavailable: 0, openJobs: 0 };
  private lag: GeneratorLag = { p99Ms: 0, maxMs: 0 };
  private before: Reading | null = null;
  private after: Reading | null = null;
  private readonly faults: OpenFault[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly number: number,
    private readonly options: ScaleOptions,
    private readonly directory: string,
  ) {
    const cpusOfTeam = new Map(teamsOf(options).map((team) => [team.name, team.cpus_max]));
    this.checker = new RuleChecker({ cancelS: workerLimits.cancelS, cpusOfTeam });
  }

  private get runMs(): number {
    return (this.options.workers * tasksOfWorker * 1000) / this.options.startsPerS;
  }

  /** So long after its start the initial load is over and the usual one has taken its place. */
  get settlingMs(): number {
    return this.runMs + bootMs + this.options.workers / rentedPerMs;
  }

  get running(): number {
    return sumOf(this.workerCounts).running;
  }

  get workerCount(): number {
    return sumOf(this.workerCounts).workers;
  }

  async start(): Promise<void> {
    const endpoints = await this.startPlatform();
    const members = await this.startControllers(endpoints);
    const controllers = members.map((m): [string, string] => [m.name, m.publicAddress]);
    await this.startWorkers(controllers);
    this.timer = setInterval(() => this.tick(), statusEveryMs);
    await this.startUsers(controllers);
  }

  private async startPlatform(): Promise<{ state: string; cloud: string }> {
    const { options } = this;
    return this.whenStarted('the stand-ins', (resolve) => {
      this.platform = Generator.start<ToPlatform, FromPlatform>('platform', (message) => {
        if (message.kind === 'ready') resolve({ state: message.state, cloud: message.cloud });
        else this.fromPlatform(message);
      });
      this.platform.send({
        kind: 'start',
        requestsPerS: options.requestsPerS,
        writesPerS: options.writesPerS,
        valueKb: stateSizes.value_kb,
        txnOps: stateSizes.txn_ops,
        cloudRequestsPerS: cloudLimits.rps,
        listLagS: cloudLimits.list_lag_s,
        machines: options.workers,
        cpusOfMachine: cpusOfWorker,
        zones,
        seed: options.seed + this.number * 1000,
      });
    });
  }

  private async startControllers(endpoints: { state: string; cloud: string }): Promise<Member[]> {
    const { options, directory } = this;
    mkdirSync(directory, { recursive: true });
    const members: Member[] = [];
    for (let i = 0; i < controllersInCell; i++)
      members.push({
        name: `picker-${i}`,
        publicAddress: `127.0.0.1:${await findFreePort()}`,
        peerAddress: `127.0.0.1:${await findFreePort()}`,
      });
    const root = fileURLToPath(new URL('../../../', import.meta.url));
    const program = fileURLToPath(new URL('../src/main.js', import.meta.url));
    const flags = deployedFlags(join(root, 'deploy/service.toml')).map((flag) =>
      flag.startsWith('--max-old-space-size=') ? `--max-old-space-size=${options.memoryMb}` : flag,
    );
    for (const member of members) {
      const file = join(directory, `${member.name}.toml`);
      writeFileSync(file, settingsText(member, members, endpoints, options));
      const operators = options.operators === null ? [] : ['--operators', options.operators];
      const args = [...flags, program, '--config', file, ...operators];
      const controller = new ControllerProcess(member.name, args, join(directory, `${member.name}.log`));
      controller.start();
      this.controllers.push(controller);
    }
    return members;
  }

  private async startWorkers(controllers: [string, string][]): Promise<void> {
    const { options } = this;
    for (let i = 0; i < workerProcesses(options); i++) {
      this.workerCounts.push({ ...noWorkers });
      await this.whenStarted<null>('the workers', (resolve) => {
        const generator = Generator.start<ToWorkers, FromWorkers>('workers', (message) => {
          if (message.kind === 'ready') resolve(null);
          else this.fromWorkers(i, message);
        });
        this.workers.push(generator);
        generator.send({
          kind: 'start',
          controllers,
          limits: workerLimits,
          cpusOfMachine: cpusOfWorker,
          runMs: this.runMs,
          urgentRunMs,
          network: firstNetwork + this.number,
          // Machines come and go: each process has room for more of them than there are at a time.
          firstAddress: i * workersInProcess * 4,
          seed: options.seed + this.number * 1000 + i + 10,
        });
      });
    }
  }

  private async startUsers(controllers: [string, string][]): Promise<void> {
    const { options, runMs } = this;
    await this.whenStarted<null>('the users', (resolve) => {
      this.users = Generator.start<ToUsers, FromUsers>('users', (message) => {
        if (message.kind === 'ready') resolve(null);
        else if (message.kind === 'events') this.order.add(message.events);
        else this.usersStatus(message.counts, message.lag);
      });
      this.users.send({
        kind: 'start',
        controllers,
        teams: teamsOf(options).map((team) => team.name),
        startsPerS: options.startsPerS,
        tasksPerJob: options.tasksPerJob,
        initialTasks: options.workers * tasksOfWorker,
        urgentPerS: Math.max(minUrgentPerS, options.startsPerS * urgentShareOfStarts),
        cancelShare,
        estimateS: runMs / 1000,
        urgentEstimateS: urgentRunMs / 1000,
        seed: options.seed + this.number * 1000 + 5,
      });
    });
  }

  private whenStarted<T>(who: string, begin: (resolve: (value: T) => void) => void): Promise<T> {
    return new Promise((resolve, reject) => {
      const late = (): void => reject(new ScaleError(`${who} did not start within ${startTimeoutMs} ms`));
      const timer = setTimeout(late, startTimeoutMs);
      begin((value) => {
        clearTimeout(timer);
        resolve(value);
      });
    });
  }

  // ---- messages ----

  private fromPlatform(message: FromPlatform): void {
    if (message.kind === 'booted') for (const machine of message.machines) this.assignMachine(machine);
    else if (message.kind === 'remove') this.remove(message.request, message.hosts);
    else if (message.kind === 'placed') this.recordPlacements(message.jobs);
    else if (message.kind === 'status') {
      this.platformCounts = message.counts;
      this.owner = message.owner;
      this.leader = message.leader;
      this.recordLag(message.lag);
    }
  }

  private fromWorkers(process: number, message: FromWorkers): void {
    if (message.kind === 'events') this.order.add(message.events);
    else if (message.kind === 'listening') this.platform.send(message);
    else if (message.kind === 'removed') this.machinesRemoved(message.request);
    else if (message.kind === 'status') {
      this.workerCounts[process] = message.counts;
      this.recordLag(message.lag);
    }
  }

  private usersStatus(counts: UserCounts, lag: GeneratorLag): void {
    this.userCounts = counts;
    this.recordLag(lag);
  }

  private recordLag(lag: GeneratorLag): void {
    if (!this.measuring) return;
    this.lag.p99Ms = Math.max(this.lag.p99Ms, lag.p99Ms);
    this.lag.maxMs = Math.max(this.lag.maxMs, lag.maxMs);
  }

  /** Each process of workers gets the next machine in turn. */
  private assignMachine(machine: MachineSpec): void {
    const home = this.nextWorkerProcess++ % this.workers.length;
    this.workerProcessOfHost.set(machine.host, home);
    this.machines.set(machine.host, machine.zone);
    this.workers[home].send({ kind: 'add', machines: [machine] });
  }

  private remove(request: number, hosts: string[]): void {
    const byHome = this.hostsByWorkerProcess(hosts);
    this.removals.set(request, byHome.size);
    if (byHome.size === 0) this.platform.send({ kind: 'removed', request });
    for (const [home, mine] of byHome) this.workers[home].send({ kind: 'remove', request, hosts: mine });
    for (const host of hosts) this.machines.delete(host);
  }

  private machinesRemoved(request: number): void {
    const left = (this.removals.get(request) ?? 1) - 1;
    this.removals.set(request, left);
    if (left > 0) return;
    this.removals.delete(request);
    this.platform.send({ kind: 'removed', request });
  }

  private hostsByWorkerProcess(hosts: string[]): Map<number, string[]> {
    const found = new Map<number, string[]>();
    for (const host of hosts) {
      const home = this.workerProcessOfHost.get(host);
      if (home !== undefined) found.set(home, [...(found.get(home) ?? []), host]);
    }
    return found;
  }

  // ---- events and rules ----

  private tick(): void {
    this.platform.send({ kind: 'report' });
    for (const workers of this.workers) workers.send({ kind: 'report' });
    this.users?.send({ kind: 'report' });
    this.processEvents(now());
  }

  private processEvents(until: number): void {
    for (const event of this.order.take(until))
      if (isTaskEvent(event)) this.processTaskEvent(event);
      else this.processUserEvent(event);
    this.checker.sweep(until - eventDelayMs);
  }

  private processTaskEvent(event: TaskEvent): void {
    this.checker.onTaskEvent(event);
    if (event.what !== 'on') return;
    this.starts++;
    for (const { figures, at } of this.faults)
      if (figures.firstStartMs === null && event.at > at) figures.firstStartMs = event.at - at;
    const submittedAt = this.urgentSubmittedAt.get(event.job);
    if (submittedAt === undefined) return;
    this.urgentSubmittedAt.delete(event.job);
    const placedAt = this.urgentPlacedAt.get(event.job);
    this.urgentPlacedAt.delete(event.job);
    if (!this.measuring) return;
    this.urgentStart.record(event.at - submittedAt);
    if (placedAt === undefined) return;
    this.urgentSteps.placed.record(placedAt - submittedAt);
    this.urgentSteps.started.record(event.at - placedAt);
  }

  /** The first time counts. */
  private recordPlacements(jobs: [id: string, at: number][]): void {
    for (const [id, at] of jobs) if (!this.urgentPlacedAt.has(id)) this.urgentPlacedAt.set(id, at);
  }

  private processUserEvent(event: UserEvent): void {
    this.checker.onUserEvent(event);
    if (event.what === 'submitted' && event.urgent) this.urgentSubmittedAt.set(event.job, event.at);
    if (!this.measuring) return;
    if (event.what === 'accepted') {
      this.acceptedJobs++;
      this.submit.record(event.afterMs);
      if (isUrgentJob(event.job)) this.urgentSteps.accepted.record(event.afterMs);
    } else if (event.what === 'given-up') this.abandonedSubmissions++;
    else if (event.what === 'cancelled') this.cancel.record(event.afterMs);
  }

  // ---- measuring ----

  private processUses(): [name: string, use: ProcessUse | null][] {
    return [
      ...this.controllers.map((c): [string, ProcessUse | null] => [c.name, c.use]),
      ['platform', useOf(this.platform.pid)],
      ...this.workers.map((w, i): [string, ProcessUse | null] => [`workers-${i}`, useOf(w.pid)]),
      ['users', useOf(this.users?.pid ?? null)],
    ];
  }

  private readCounts(): Reading {
    const uses = new Map<string, ProcessUse>();
    for (const [name, use] of this.processUses()) if (use) uses.set(name, use);
    const { platformCounts: platform, starts } = this;
    return { at: now(), uses, workers: sumOf(this.workerCounts), platform, starts };
  }

  beginMeasuring(): void {
    this.before = this.readCounts();
    this.measuring = true;
  }

  endMeasuring(): void {
    this.after = this.readCounts();
    this.measuring = false;
  }

  /** Nothing more is submitted; what users and workers have yet to say is heard. */
  async settle(): Promise<void> {
    this.users?.send({ kind: 'stop-submitting' });
    await new Promise((resolve) => setTimeout(resolve, eventDelayMs + statusEveryMs * 2));
    this.processEvents(now());
  }

  figures(): CellFigures {
    const [before, after] = [this.before!, this.after!];
    const seconds = (after.at - before.at) / 1000;
    const starts = after.starts - before.starts;
    const per = (count: (r: Reading) => number): number => (count(after) - count(before)) / seconds;
    const writes = after.platform.writes - before.platform.writes;
    const processes = [...after.uses].flatMap(([name, use]) => {
      const first = before.uses.get(name);
      return first ? [processFigures(name, first, use, seconds)] : [];
    });
    const owner = (name: string): string => (name === this.owner ? `${name} owner` : name);
    return {
      cell: this.number,
      startsAskedPerS: this.options.startsPerS,
      startsPerS: starts / seconds,
      running: after.workers.running,
      workers: after.workers.workers,
      acceptedJobs: this.acceptedJobs,
      submissionsGivenUp: this.abandonedSubmissions,
      requestsUnavailable: this.userCounts.unavailable,
      submit: this.submit.quantiles,
      urgentStart: this.urgentStart.quantiles,
      urgentSteps: {
        accepted: this.urgentSteps.accepted.quantiles,
        placed: this.urgentSteps.placed.quantiles,
        started: this.urgentSteps.started.quantiles,
      },
      cancel: this.cancel.quantiles,
      reportsPerS: per((r) => r.workers.reports),
      failedReports: after.workers.failedReports - before.workers.failedReports,
      expiredLeases: after.workers.expiredLeases - before.workers.expiredLeases,
      tasksLostWithLeases: after.workers.tasksLostWithLeases - before.workers.tasksLostWithLeases,
      state: {
        ...after.platform,
        writesByKind: difference(after.platform.writesByKind, before.platform.writesByKind),
        refusedRequests: after.platform.refusedRequests - before.platform.refusedRequests,
        refusedWrites: after.platform.refusedWrites - before.platform.refusedWrites,
        requestsPerS: per((r) => r.platform.requests),
        writesPerS: writes / seconds,
        writesPerStart: starts > 0 ? writes / starts : NaN,
      },
      processes: processes.map((p) => ({ ...p, name: owner(p.name) })),
      generatorLagP99Ms: this.lag.p99Ms,
      generatorLagMaxMs: this.lag.maxMs,
      unexpectedEnds: this.controllers.reduce((sum, c) => sum + c.unexpectedEnds, 0),
      faults: this.faults.map((f) => f.figures),
      violations: this.checker.violations.map((v) => `${v.rule}: ${v.text}`),
    };
  }

  // ---- faults ----

  /** Notes a fault, from which the next start and the renewal of each worker's lease are timed. */
  beginFault(fault: string): void {
    const at = now();
    const atS = this.before ? (at - this.before.at) / 1000 : 0;
    const figures = { fault, atS, firstStartMs: null, slowestRenewalMs: null, workersNotRenewed: 0 };
    this.faults.push({ figures, at, workers: this.workerCount });
    for (const workers of this.workers) workers.send({ kind: 'mark' });
  }

  endFault(): void {
    const fault = this.faults[this.faults.length - 1];
    const { renewedSinceMark, slowestRenewalMs } = sumOf(this.workerCounts);
    fault.figures.slowestRenewalMs = renewedSinceMark > 0 ? slowestRenewalMs : null;
    fault.figures.workersNotRenewed = Math.max(0, fault.workers - renewedSinceMark);
  }

  refuseStateRequests(forMs: number): void {
    this.platform.send({ kind: 'outage', forMs });
  }

  killMachines(hosts: string[]): void {
    for (const [home, mine] of this.hostsByWorkerProcess(hosts))
      this.workers[home].send({ kind: 'kill', hosts: mine });
    this.platform.send({ kind: 'died', hosts });
  }

  restartWorkers(hosts: string[]): void {
    for (const [home, mine] of this.hostsByWorkerProcess(hosts))
      this.workers[home].send({ kind: 'restart', hosts: mine });
  }

  /** Ends every process of the cell. */
  stop(): void {
    if (this.timer) clearInterval(this.timer);
    for (const controller of this.controllers) controller.kill();
    for (const workers of this.workers) workers.kill();
    this.users?.kill();
    this.platform?.kill();
  }
}
