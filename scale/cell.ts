/** A cell of a scale run: a simulated platform, three controllers, hollow workers and simulated users, with rule checks and measurements. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePort } from '../src/net/port.js';
import { totalCounts, type CellFigures } from './figures.js';
import { CellMeasurements, type CountsReading } from './measurements.js';
import {
  zeroWorkerCounts,
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
  controllersPerCell,
  cpusPerWorker,
  ScaleError,
  tasksPerWorker,
  workerProcessCount,
  workersPerProcess,
  type ScaleOptions,
} from './options.js';
import {
  ControllerProcess,
  deployedNodeFlags,
  GeneratorProcess,
  readProcessUsage,
  type ProcessUsage,
} from './processes.js';
import { EventReorderBuffer, RuleChecker } from './rules.js';
import {
  cloudLimits,
  settingsText,
  stateSizes,
  teamsOf,
  workerLimits,
  zones,
  type Member,
} from './settings.js';

const statusIntervalMs = 500;
/** Maximum delay with which events arrive; those of a busy process arrive later than those of others. */
const maxEventDelayMs = 3000;
const startTimeoutMs = 20_000;
/** Second byte of the loopback addresses of the workers of the first cell; each further cell has the next number. */
const firstLoopbackNetwork = 16;
/** Time that controllers and the first machines need to start. */
const startupMs = 10_000;
const machinesRentedPerMs = 0.4;
const urgentRunMs = 10_000;
const cancelShare = 0.01;
const urgentShareOfStarts = 1 / 200;
const minUrgentPerS = 0.5;

const zeroPlatformCounts: PlatformCounts = {
  requests: 0,
  transactions: 0,
  writes: 0,
  refusedRequests: 0,
  refusedWrites: 0,
  bytesWritten: 0,
  keys: 0,
  writesByKind: {},
};

type OrderedEvent = TaskEvent | UserEvent;

const isTaskEvent = (event: OrderedEvent): event is TaskEvent => 'host' in event;

/** One cell: starts its processes, relays messages between them, and checks the rules against their events. */
export class Cell {
  /** Name of the controller that owns the shard, as last reported by the platform process. */
  owner: string | null = null;
  /** Name of the controller that is the leader, as last reported by the platform process. */
  leader: string | null = null;
  readonly controllers: ControllerProcess[] = [];
  readonly checker: RuleChecker;
  /** Zones of the machines that have booted and have not been returned to the cloud, by host. */
  readonly machines = new Map<string, string>();
  private platform!: GeneratorProcess<ToPlatform>;
  private readonly workers: GeneratorProcess<ToWorkers>[] = [];
  private users: GeneratorProcess<ToUsers> | null = null;
  private readonly workerProcessOfHost = new Map<string, number>();
  private nextWorkerProcess = 0;
  private readonly pendingRemovals = new Map<number, number>();
  private readonly eventBuffer = new EventReorderBuffer<OrderedEvent>(maxEventDelayMs);
  private readonly measurements = new CellMeasurements();
  private platformCounts = zeroPlatformCounts;
  private readonly workerCounts: WorkerCounts[] = [];
  private userCounts: UserCounts = { requests: 0, unavailable: 0, openJobs: 0 };
  private statusTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly number: number,
    private readonly options: ScaleOptions,
    private readonly directory: string,
  ) {
    const cpusOfTeam = new Map(teamsOf(options).map((team) => [team.name, team.cpus_max]));
    this.checker = new RuleChecker({ cancelS: workerLimits.cancelS, cpusOfTeam });
  }

  private get runMs(): number {
    return (this.options.workers * tasksPerWorker * 1000) / this.options.startsPerS;
  }

  /** Length of the warm-up: afterwards the tasks of the initial load have been replaced by those of the steady load. */
  get warmUpMs(): number {
    return this.runMs + startupMs + this.options.workers / machinesRentedPerMs;
  }

  /** Number of running tasks, as last reported. */
  get running(): number {
    return totalCounts(this.workerCounts).running;
  }

  /** Number of live workers, as last reported. */
  get workerCount(): number {
    return totalCounts(this.workerCounts).workers;
  }

  /** Starts the platform, the controllers, the workers and the users, in this order. */
  async start(): Promise<void> {
    const endpoints = await this.startPlatform();
    const members = await this.startControllers(endpoints);
    const controllers = members.map((m): [string, string] => [m.name, m.publicAddress]);
    await this.startWorkers(controllers);
    this.statusTimer = setInterval(() => this.tick(), statusIntervalMs);
    await this.startUsers(controllers);
  }

  private async startPlatform(): Promise<{ state: string; cloud: string }> {
    const { options } = this;
    return this.waitForStart('the platform process', (resolve) => {
      this.platform = GeneratorProcess.start<ToPlatform, FromPlatform>('platform', (message) => {
        if (message.kind === 'ready') resolve({ state: message.state, cloud: message.cloud });
        else this.onPlatformMessage(message);
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
        cpusOfMachine: cpusPerWorker,
        zones,
        seed: options.seed + this.number * 1000,
      });
    });
  }

  private async startControllers(endpoints: { state: string; cloud: string }): Promise<Member[]> {
    const { options, directory } = this;
    mkdirSync(directory, { recursive: true });
    const members: Member[] = [];
    for (let i = 0; i < controllersPerCell; i++)
      members.push({
        name: `picker-${i}`,
        publicAddress: `127.0.0.1:${await findFreePort()}`,
        peerAddress: `127.0.0.1:${await findFreePort()}`,
      });
    const root = fileURLToPath(new URL('../../../', import.meta.url));
    const program = fileURLToPath(new URL('../src/main.js', import.meta.url));
    const flags = deployedNodeFlags(join(root, 'deploy/service.toml')).map((flag) =>
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
    for (let i = 0; i < workerProcessCount(options); i++) {
      this.workerCounts.push({ ...zeroWorkerCounts });
      await this.waitForStart<null>('a hollow-worker process', (resolve) => {
        const generator = GeneratorProcess.start<ToWorkers, FromWorkers>('workers', (message) => {
          if (message.kind === 'ready') resolve(null);
          else this.onWorkersMessage(i, message);
        });
        this.workers.push(generator);
        generator.send({
          kind: 'start',
          controllers,
          limits: workerLimits,
          cpusOfMachine: cpusPerWorker,
          runMs: this.runMs,
          urgentRunMs,
          network: firstLoopbackNetwork + this.number,
          // Replaced machines get new addresses, so each process has four times as many as machines at a time.
          firstAddress: i * workersPerProcess * 4,
          seed: options.seed + this.number * 1000 + i + 10,
        });
      });
    }
  }

  private async startUsers(controllers: [string, string][]): Promise<void> {
    const { options, runMs } = this;
    await this.waitForStart<null>('the users process', (resolve) => {
      this.users = GeneratorProcess.start<ToUsers, FromUsers>('users', (message) => {
        if (message.kind === 'ready') resolve(null);
        else if (message.kind === 'events') this.eventBuffer.add(message.events);
        else this.onUsersStatus(message.counts, message.lag);
      });
      this.users.send({
        kind: 'start',
        controllers,
        teams: teamsOf(options).map((team) => team.name),
        startsPerS: options.startsPerS,
        tasksPerJob: options.tasksPerJob,
        initialTasks: options.workers * tasksPerWorker,
        urgentPerS: Math.max(minUrgentPerS, options.startsPerS * urgentShareOfStarts),
        cancelShare,
        estimateS: runMs / 1000,
        urgentEstimateS: urgentRunMs / 1000,
        seed: options.seed + this.number * 1000 + 5,
      });
    });
  }

  private waitForStart<T>(
    processName: string,
    startProcess: (resolve: (value: T) => void) => void,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const failWithTimeout = (): void =>
        reject(new ScaleError(`${processName} did not start within ${startTimeoutMs} ms`));
      const timer = setTimeout(failWithTimeout, startTimeoutMs);
      startProcess((value) => {
        clearTimeout(timer);
        resolve(value);
      });
    });
  }

  // ---- messages ----

  private onPlatformMessage(message: FromPlatform): void {
    if (message.kind === 'booted') for (const machine of message.machines) this.assignMachine(machine);
    else if (message.kind === 'remove') this.removeMachines(message.request, message.hosts);
    else if (message.kind === 'placed') this.measurements.recordPlacements(message.jobs);
    else if (message.kind === 'status') {
      this.platformCounts = message.counts;
      this.owner = message.owner;
      this.leader = message.leader;
      this.measurements.recordLag(message.lag);
    }
  }

  private onWorkersMessage(process: number, message: FromWorkers): void {
    if (message.kind === 'events') this.eventBuffer.add(message.events);
    else if (message.kind === 'listening') this.platform.send(message);
    else if (message.kind === 'removed') this.onMachinesRemoved(message.request);
    else if (message.kind === 'status') {
      this.workerCounts[process] = message.counts;
      this.measurements.recordLag(message.lag);
    }
  }

  private onUsersStatus(counts: UserCounts, lag: GeneratorLag): void {
    this.userCounts = counts;
    this.measurements.recordLag(lag);
  }

  /** Assigns a machine to the hollow-worker processes in round-robin order. */
  private assignMachine(machine: MachineSpec): void {
    const processIndex = this.nextWorkerProcess++ % this.workers.length;
    this.workerProcessOfHost.set(machine.host, processIndex);
    this.machines.set(machine.host, machine.zone);
    this.workers[processIndex].send({ kind: 'add', machines: [machine] });
  }

  private removeMachines(request: number, hosts: string[]): void {
    const hostsByProcess = this.hostsByWorkerProcess(hosts);
    this.pendingRemovals.set(request, hostsByProcess.size);
    if (hostsByProcess.size === 0) this.platform.send({ kind: 'removed', request });
    for (const [processIndex, processHosts] of hostsByProcess)
      this.workers[processIndex].send({ kind: 'remove', request, hosts: processHosts });
    for (const host of hosts) this.machines.delete(host);
  }

  private onMachinesRemoved(request: number): void {
    const left = (this.pendingRemovals.get(request) ?? 1) - 1;
    this.pendingRemovals.set(request, left);
    if (left > 0) return;
    this.pendingRemovals.delete(request);
    this.platform.send({ kind: 'removed', request });
  }

  private hostsByWorkerProcess(hosts: string[]): Map<number, string[]> {
    const hostsByProcess = new Map<number, string[]>();
    for (const host of hosts) {
      const processIndex = this.workerProcessOfHost.get(host);
      if (processIndex !== undefined)
        hostsByProcess.set(processIndex, [...(hostsByProcess.get(processIndex) ?? []), host]);
    }
    return hostsByProcess;
  }

  // ---- events and rules ----

  private tick(): void {
    this.platform.send({ kind: 'report' });
    for (const workers of this.workers) workers.send({ kind: 'report' });
    this.users?.send({ kind: 'report' });
    this.processEvents(now());
  }

  private processEvents(until: number): void {
    for (const event of this.eventBuffer.take(until))
      if (isTaskEvent(event)) {
        this.checker.onTaskEvent(event);
        this.measurements.recordTaskEvent(event);
      } else {
        this.checker.onUserEvent(event);
        this.measurements.recordUserEvent(event);
      }
    this.checker.sweep(until - maxEventDelayMs);
  }

  // ---- measuring ----

  private processUsages(): [name: string, usage: ProcessUsage | null][] {
    return [
      ...this.controllers.map((c): [string, ProcessUsage | null] => [c.name, c.usage]),
      ['platform', readProcessUsage(this.platform.pid)],
      ...this.workers.map((w, i): [string, ProcessUsage | null] => [`workers-${i}`, readProcessUsage(w.pid)]),
      ['users', readProcessUsage(this.users?.pid ?? null)],
    ];
  }

  private readCounts(): CountsReading {
    const usages = new Map<string, ProcessUsage>();
    for (const [name, usage] of this.processUsages()) if (usage) usages.set(name, usage);
    return {
      at: now(),
      usages,
      workers: totalCounts(this.workerCounts),
      platform: this.platformCounts,
    };
  }

  /** Starts the measured interval. */
  beginMeasuring(): void {
    this.measurements.begin(this.readCounts());
  }

  /** Ends the measured interval. */
  endMeasuring(): void {
    this.measurements.end(this.readCounts());
  }

  /** Stops submissions, then waits for the outstanding events of users and workers and processes them. */
  async settle(): Promise<void> {
    this.users?.send({ kind: 'stop-submitting' });
    await new Promise((resolve) => setTimeout(resolve, maxEventDelayMs + statusIntervalMs * 2));
    this.processEvents(now());
  }

  /** The results of the measured interval. */
  figures(): CellFigures {
    return this.measurements.figures({
      number: this.number,
      startsAskedPerS: this.options.startsPerS,
      owner: this.owner,
      requestsUnavailable: this.userCounts.unavailable,
      unexpectedEnds: this.controllers.reduce((sum, c) => sum + c.unexpectedEnds, 0),
      violations: this.checker.violations.map((v) => `${v.rule}: ${v.text}`),
    });
  }

  // ---- faults ----

  /** Records the time of a fault, from which the next task start and the renewal of each worker's lease are measured. */
  beginFault(fault: string): void {
    this.measurements.beginFault(fault, this.workerCount);
    for (const workers of this.workers) workers.send({ kind: 'mark' });
  }

  /** Ends the observation of the last fault. */
  endFault(): void {
    this.measurements.endFault(totalCounts(this.workerCounts));
  }

  /** Makes the state service answer 503 for the given time. */
  refuseStateRequests(durationMs: number): void {
    this.platform.send({ kind: 'outage', durationMs });
  }

  /** Stops machines abruptly, with their workers and tasks. */
  killMachines(hosts: string[]): void {
    for (const [processIndex, processHosts] of this.hostsByWorkerProcess(hosts))
      this.workers[processIndex].send({ kind: 'kill', hosts: processHosts });
    this.platform.send({ kind: 'died', hosts });
  }

  /** Restarts the workers on these machines; their tasks are lost. */
  restartWorkers(hosts: string[]): void {
    for (const [processIndex, processHosts] of this.hostsByWorkerProcess(hosts))
      this.workers[processIndex].send({ kind: 'restart', hosts: processHosts });
  }

  /** Kills all processes of the cell. */
  stop(): void {
    if (this.statusTimer) clearInterval(this.statusTimer);
    for (const controller of this.controllers) controller.kill();
    for (const workers of this.workers) workers.kill();
    this.users?.kill();
    this.platform?.kill();
  }
}
