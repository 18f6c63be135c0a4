/** End-to-end test environment: a store, control services and agents on loopback, in a temporary directory. */
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findProcessesByMark, sendSignal } from '../../src/agent/processes.js';
import { Agent, parseAgentSettings } from '../../src/agent/index.js';
import { openControl, parseControlSettings, type OpenControl } from '../../src/control/index.js';
import { JsonClient } from '../../src/net/client.js';
import { findFreePort } from '../../src/net/port.js';
import { seededRandom } from '../../src/retry/index.js';
import { defaultSubmission } from '../../src/wire/user.js';

const mainPath = fileURLToPath(new URL('../../src/main.js', import.meta.url));
/** A log function that discards all messages. */
const discardLog = (): undefined => undefined;
/** Waits for the given number of milliseconds of real time. */
export const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** A task as the control service shows it to users. */
interface TaskView {
  index: number;
  state: string;
  last?: { attempt: number; host: string; exit: number | null; signal: string | null; reason: string };
}
/** A job and its tasks as the control service shows them to users. */
interface JobView {
  status: string;
  done: number;
  failed: number;
  tasks: TaskView[];
}

/** A TCP proxy between agents and a control service. It can hold back the traffic in both directions and deliver it later. */
export class InterruptibleProxy {
  private readonly connections = new Set<[Socket, Socket]>();
  private readonly server: Server;
  private interrupted = false;

  private constructor(private readonly targetPort: number) {
    this.server = createServer((client) => {
      const upstream = connect(this.targetPort, '127.0.0.1');
      const pair: [Socket, Socket] = [client, upstream];
      this.connections.add(pair);
      for (const [a, b] of [pair, [upstream, client] as const]) {
        a.on('data', (d) => b.write(d));
        a.on('error', () => undefined);
        a.on('close', () => {
          b.destroy();
          this.connections.delete(pair);
        });
        if (this.interrupted) a.pause();
      }
    });
  }
  /** Starts a proxy in front of a port on loopback. */
  static async start(port: number): Promise<InterruptibleProxy> {
    const proxy = new InterruptibleProxy(port);
    await new Promise<void>((r) => proxy.server.listen(0, '127.0.0.1', () => r()));
    return proxy;
  }
  /** The port that the proxy listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }
  /** Holds back all traffic from now on, also that of new connections. */
  interrupt(): void {
    this.interrupted = true;
    for (const s of [...this.connections].flat()) s.pause();
  }
  /** Delivers what was held back and forwards all traffic again. */
  restore(): void {
    this.interrupted = false;
    for (const s of [...this.connections].flat()) s.resume();
  }
  /** Closes the proxy and its connections. */
  close(): void {
    this.server.close();
    for (const s of [...this.connections].flat()) s.destroy();
  }
}

/** Control services and agents, in this process or in processes of their own, which share a temporary directory. */
export class TestCluster {
  readonly dir = mkdtempSync(join(tmpdir(), 'dapplepick-site-'));
  /** The file to which the commands of test jobs append a line for each attempt. */
  readonly attemptsFile = join(this.dir, 'ran');
  /** The agents in this process, by name. */
  readonly agents = new Map<string, Agent>();
  /** The child processes by name: the store, control services and agents. */
  readonly children = new Map<string, ChildProcess>();
  private openControlService: OpenControl | null = null;
  /** The port of the first control service. */
  port = 0;
  /** The port of the store, if it is a process of its own. */
  storePort = 0;
  /** The ports of the control services by name; requests try them in this order. */
  readonly controls = new Map<string, number>();
  private readonly clients: JsonClient[] = [];
  private agentProxy: InterruptibleProxy | null = null;

  constructor(
    /** Additional settings of the control services. */
    private readonly extraSettings = '(report-s 0.3) (lease-s 6)',
    /** The names of the control services. If there are several, the store is a process of its own. */
    private readonly controlNames = ['control'],
  ) {}

  /** Chooses free ports for the control services and the store; starts nothing. */
  async allocatePorts(): Promise<this> {
    for (const name of this.controlNames) this.controls.set(name, await findFreePort());
    for (const port of this.controls.values()) this.clients.push(new JsonClient(`127.0.0.1:${port}`, 4));
    this.port = this.controls.get(this.controlNames[0])!;
    this.storePort = await findFreePort();
    writeFileSync(this.attemptsFile, '');
    return this;
  }
  /** Starts a proxy through which agents started from now on reach the first control service. */
  async startAgentProxy(): Promise<InterruptibleProxy> {
    return (this.agentProxy = await InterruptibleProxy.start(this.port));
  }
  /** The settings file of a control service. */
  controlSettings(name: string): string {
    const storeSetting =
      this.controlNames.length > 1
        ? `(store "127.0.0.1:${this.storePort}")`
        : `(directory "${join(this.dir, 'store')}")`;
    return `(control (name ${name}) (listen "127.0.0.1:${this.controls.get(name)}") ${storeSetting} ${this.extraSettings}
      (team default) (team small (cpus-max 1)) (class quick (sleep-s 0.05)) (class stuck (hang true)) (class bad (fail 1) (sleep-s 0.05)))`;
  }
  /** The settings file of an agent. */
  agentSettings(name: string, moreSettings = '(cpus 4) (mem-gb 2)'): string {
    const controls = [...this.controls].map(
      ([n, port], i) =>
        `(control "127.0.0.1:${i === 0 && this.agentProxy ? this.agentProxy.port : port}" ${n})`,
    );
    return `(agent (name ${name}) ${controls.join(' ')} (directory "${join(this.dir, name)}") (type t) (grace-s 0.3) ${moreSettings})`;
  }
  /** Starts a control service in this process. */
  async startControl(): Promise<void> {
    this.openControlService = await openControl(
      parseControlSettings(this.controlSettings('control')),
      discardLog,
      (e) => assert.fail(e.message),
    );
    await this.openControlService.control.start();
  }
  /** Stops the control service in this process. */
  async stopControl(): Promise<void> {
    await this.openControlService?.close();
    this.openControlService = null;
  }
  /** The control service in this process, which must have been started. */
  get service() {
    return this.openControlService!.control;
  }
  /** Starts an agent in this process. */
  async startAgent(name: string, moreSettings?: string): Promise<Agent> {
    const agent = new Agent(
      parseAgentSettings(this.agentSettings(name, moreSettings)),
      seededRandom(this.agents.size),
      discardLog,
    );
    this.agents.set(name, agent);
    await agent.start();
    return agent;
  }
  /** Starts the store, a control service or an agent, by its name, as a child process, so that it can be killed. */
  startProcess(name: string): ChildProcess {
    const path = join(this.dir, `${name}.scm`);
    const isControl = this.controls.has(name);
    writeFileSync(path, isControl ? this.controlSettings(name) : this.agentSettings(name));
    const log = openSync(join(this.dir, `${name}.log`), 'a');
    const storeArgs = [
      'store',
      'run',
      '--dir',
      join(this.dir, 'store'),
      '--listen',
      `127.0.0.1:${this.storePort}`,
    ];
    const args = name === 'store' ? storeArgs : isControl ? ['control', path] : ['agent', 'run', path];
    const child = spawn(process.execPath, [mainPath, ...args], { stdio: ['ignore', log, log] });
    this.children.set(name, child);
    return child;
  }
  /** Kills a child process and waits for its exit. */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name)!;
    const exited = new Promise((r) => child.once('exit', r));
    child.kill('SIGKILL');
    await exited;
  }
  /** The body of a submission. By default the job has one task, whose command records the attempt and takes 0.1 s. */
  job(id: number, overrides: object = {}): object {
    const recordAttempt = `echo "$DAPPLEPICK_JOB/$DAPPLEPICK_INDEX $DAPPLEPICK_ATTEMPT" >> ${this.attemptsFile}`;
    return {
      nameId: `req-${id}`,
      ...defaultSubmission,
      jobclass: 'c',
      owner: 'default',
      shape: 'sweep',
      pieces: 1,
      command: ['/bin/sh', '-c', `${recordAttempt}; sleep 0.1`],
      ...overrides,
    };
  }
  /** The `command` field of a submission: a shell script that first records the attempt. */
  script(text: string): { command: string[] } {
    const recordAttempt = `echo "$DAPPLEPICK_JOB/$DAPPLEPICK_INDEX $DAPPLEPICK_ATTEMPT" >> ${this.attemptsFile}`;
    return { command: ['/bin/sh', '-c', `${recordAttempt}; ${text}`] };
  }
  /** Sends a request to the control services in turn until one answers with a status other than 503; null: none did. */
  async request(
    method: string,
    path: string,
    body: object | null = null,
  ): Promise<{ status: number; body: unknown } | null> {
    for (const client of this.clients) {
      const r = await client.call(method, path, body, 3000);
      if (r && r.status !== 503) return r;
    }
    return null;
  }
  /** The running processes of an agent's tasks. */
  taskProcessesOf(name: string): { pid: number; mark: string }[] {
    const identityFile = join(this.dir, name, 'agent.json');
    if (!existsSync(identityFile)) return [];
    return findProcessesByMark(`${(JSON.parse(readFileSync(identityFile, 'utf8')) as { id: string }).id}/`);
  }
  /** The running watchdog processes of an agent. */
  watchdogsOf(name: string): { pid: number; mark: string }[] {
    return findProcessesByMark(`watchdog:${join(this.dir, name)}`);
  }
  /** Submits a job. No answer, 429 and 5xx answers are retried. */
  async submit(job: object): Promise<void> {
    for (let i = 0; i < 100; i++) {
      const r = await this.request('POST', '/work', job);
      if (r && r.status < 300) return;
      assert.ok(!r || r.status >= 500 || r.status === 429, JSON.stringify(r));
      await pause(100);
    }
    assert.fail('the job was not accepted within 100 attempts');
  }
  /** Reads a job and its tasks; null if no control service returns it. */
  async fetchJob(id: number): Promise<JobView | null> {
    const r = await this.request('GET', `/work/req-${id}/tasks`);
    return r?.status === 200 ? (r.body as JobView) : null;
  }
  /** Waits until a job is neither pending nor running, and returns it. */
  async waitForJobEnd(id: number, withinS = 30): Promise<JobView> {
    for (let i = 0; i < withinS * 10; i++) {
      const s = await this.fetchJob(id);
      if (s && s.status !== 'pending' && s.status !== 'running') return s;
      await pause(100);
    }
    return assert.fail(`req-${id} did not end in time: ${JSON.stringify(await this.fetchJob(id))}`);
  }
  /** Waits until a condition is true; fails if that takes too long. */
  async waitUntil(condition: () => Promise<boolean>, withinS = 20): Promise<void> {
    for (let i = 0; i < withinS * 10; i++) {
      if (await condition()) return;
      await pause(100);
    }
    assert.fail('the condition did not become true in time');
  }
  /** Waits until the control service in this process has exactly the given number of machines that tasks may be placed on. */
  waitForMachines(machines: number): Promise<void> {
    const all = () => [...this.service.service.controller.shardManager.machines.values()];
    return this.waitUntil(
      async () =>
        all().filter((machine) => machine.confirmedAt > 0 && machine.record.state === 'use').length ===
        machines,
    );
  }
  /** Every attempt that was started, as its command recorded it; fails if an attempt was started twice. */
  attempts(): string[] {
    const lines = readFileSync(this.attemptsFile, 'utf8')
      .trim()
      .split('\n')
      .filter((l) => l !== '');
    assert.equal(new Set(lines).size, lines.length, 'an attempt was started twice');
    return lines;
  }
  /** Stops everything that was started and deletes the directory. */
  async tearDown(): Promise<void> {
    for (const c of this.children.values()) c.kill('SIGKILL');
    for (const a of this.agents.values()) a.stop();
    await this.stopControl();
    this.agentProxy?.close();
    // Processes of tasks and watchdogs outlive their agents by design, so they are killed separately.
    for (const name of readdirSync(this.dir)) {
      for (const p of [...this.taskProcessesOf(name), ...this.watchdogsOf(name)])
        sendSignal(p.pid, 'SIGKILL');
    }
    rmSync(this.dir, { recursive: true, force: true, maxRetries: 20, retryDelay: 100 });
  }
}

/** Runs a test with control services and agents, and stops and deletes everything afterwards. */
export const withTestCluster = async (
  use: (cluster: TestCluster) => Promise<void>,
  extraSettings?: string,
  controlNames?: string[],
): Promise<void> => {
  const cluster = await new TestCluster(extraSettings, controlNames).allocatePorts();
  try {
    await use(cluster);
  } finally {
    await cluster.tearDown();
  }
};
