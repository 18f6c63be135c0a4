/** A control service, its store and agents as real processes on loopback, each in fresh directories. */
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { processesWithMark, sendSignal } from '../../src/agent/processes.js';
import { Agent, parseAgentSettings } from '../../src/agent/index.js';
import { openControl, parseControlSettings, type OpenControl } from '../../src/control/index.js';
import { JsonClient } from '../../src/net/client.js';
import { findFreePort } from '../../src/net/port.js';
import { seededRandom } from '../../src/retry/index.js';
import { defaultSubmission } from '../../src/wire/user.js';

const main = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const quiet = (): undefined => undefined;
export const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

interface Task {
  index: number;
  state: string;
  last?: { attempt: number; host: string; exit: number | null; signal: string | null; reason: string };
}
interface Shown {
  status: string;
  done: number;
  failed: number;
  tasks: Task[];
}

/** Between agents and a control service: holds back what passes, in both directions, and delivers it late. */
export class Door {
  private readonly pairs = new Set<[Socket, Socket]>();
  private readonly server: Server;
  private shut = false;

  private constructor(private readonly to: number) {
    this.server = createServer((from) => {
      const other = connect(this.to, '127.0.0.1');
      const pair: [Socket, Socket] = [from, other];
      this.pairs.add(pair);
      for (const [a, b] of [pair, [other, from] as const]) {
        a.on('data', (d) => b.write(d));
        a.on('error', () => undefined);
        a.on('close', () => {
          b.destroy();
          this.pairs.delete(pair);
        });
        if (this.shut) a.pause();
      }
    });
  }
  static async before(port: number): Promise<Door> {
    const d = new Door(port);
    await new Promise<void>((r) => d.server.listen(0, '127.0.0.1', () => r()));
    return d;
  }
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }
  cut(): void {
    this.shut = true;
    for (const s of [...this.pairs].flat()) s.pause();
  }
  mend(): void {
    this.shut = false;
    for (const s of [...this.pairs].flat()) s.resume();
  }
  close(): void {
    this.server.close();
    for (const s of [...this.pairs].flat()) s.destroy();
  }
}

/** A control service and agents, in this process or in their own, in a directory of their own. */
export class Site {
  readonly dir = mkdtempSync(join(tmpdir(), 'dapplepick-site-'));
  readonly ran = join(this.dir, 'ran');
  readonly agents = new Map<string, Agent>();
  readonly children = new Map<string, ChildProcess>();
  private open: OpenControl | null = null;
  port = 0;
  storePort = 0;
  /** Where each control service listens; asked in turn. */
  readonly controls = new Map<string, number>();
  private readonly https: JsonClient[] = [];
  private door: Door | null = null;

  /** `names`: with more than one control service, the store is a program of its own. */
  constructor(
    private readonly more = '(report-s 0.3) (lease-s 6)',
    private readonly names = ['control'],
  ) {}

  async begin(): Promise<this> {
    for (const name of this.names) this.controls.set(name, await findFreePort());
    for (const port of this.controls.values()) this.https.push(new JsonClient(`127.0.0.1:${port}`, 4));
    this.port = this.controls.get(this.names[0])!;
    this.storePort = await findFreePort();
    writeFileSync(this.ran, '');
    return this;
  }
  /** Agents that are started from now on reach the first control service through a door. */
  async behindDoor(): Promise<Door> {
    return (this.door = await Door.before(this.port));
  }
  controlText(name: string): string {
    const where =
      this.names.length > 1
        ? `(store "127.0.0.1:${this.storePort}")`
        : `(directory "${join(this.dir, 'store')}")`;
    return `(control (name ${name}) (listen "127.0.0.1:${this.controls.get(name)}") ${where} ${this.more}
      (team default) (team small (cpus-max 1)) (class quick (sleep-s 0.05)) (class stuck (hang true)) (class bad (fail 1) (sleep-s 0.05)))`;
  }
  agentText(name: string, more = '(cpus 4) (mem-gb 2)'): string {
    const controls = [...this.controls].map(
      ([n, port], i) => `(control "127.0.0.1:${i === 0 && this.door ? this.door.port : port}" ${n})`,
    );
    return `(agent (name ${name}) ${controls.join(' ')} (directory "${join(this.dir, name)}") (type t) (grace-s 0.3) ${more})`;
  }
  async control(): Promise<void> {
    this.open = await openControl(parseControlSettings(this.controlText('control')), quiet, (e) =>
      assert.fail(e.message),
    );
    await this.open.control.start();
  }
  async closeControl(): Promise<void> {
    await this.open?.close();
    this.open = null;
  }
  get service() {
    return this.open!.control;
  }
  async agent(name: string, more?: string): Promise<Agent> {
    const a = new Agent(
      parseAgentSettings(this.agentText(name, more)),
      seededRandom(this.agents.size),
      quiet,
    );
    this.agents.set(name, a);
    await a.start();
    return a;
  }
  /** A process of its own, so that it can be killed. */
  process(name: string): ChildProcess {
    const path = join(this.dir, `${name}.scm`);
    const control = this.controls.has(name);
    writeFileSync(path, control ? this.controlText(name) : this.agentText(name));
    const log = openSync(join(this.dir, `${name}.log`), 'a');
    const store = [
      'store',
      'run',
      '--dir',
      join(this.dir, 'store'),
      '--listen',
      `127.0.0.1:${this.storePort}`,
    ];
    const args = name === 'store' ? store : control ? ['control', path] : ['agent', 'run', path];
    const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', log, log] });
    this.children.set(name, child);
    return child;
  }
  async kill(name: string): Promise<void> {
    const child = this.children.get(name)!;
    const over = new Promise((r) => child.once('exit', r));
    child.kill('SIGKILL');
    await over;
  }
  job(id: number, over: object = {}): object {
    const note = `echo "$DAPPLEPICK_JOB/$DAPPLEPICK_INDEX $DAPPLEPICK_ATTEMPT" >> ${this.ran}`;
    return {
      nameId: `req-${id}`,
      ...defaultSubmission,
      jobclass: 'c',
      owner: 'default',
      shape: 'sweep',
      pieces: 1,
      command: ['/bin/sh', '-c', `${note}; sleep 0.1`],
      ...over,
    };
  }
  script(text: string): { command: string[] } {
    const note = `echo "$DAPPLEPICK_JOB/$DAPPLEPICK_INDEX $DAPPLEPICK_ATTEMPT" >> ${this.ran}`;
    return { command: ['/bin/sh', '-c', `${note}; ${text}`] };
  }
  async ask(
    method: string,
    path: string,
    body: object | null = null,
  ): Promise<{ status: number; body: unknown } | null> {
    for (const http of this.https) {
      const r = await http.call(method, path, body, 3000);
      if (r && r.status !== 503) return r;
    }
    return null;
  }
  /** An agent's commands that run now. */
  commandsOf(name: string): { pid: number; mark: string }[] {
    const self = join(this.dir, name, 'agent.json');
    if (!existsSync(self)) return [];
    return processesWithMark(`${(JSON.parse(readFileSync(self, 'utf8')) as { id: string }).id}/`);
  }
  watchdogsOf(name: string): { pid: number; mark: string }[] {
    return processesWithMark(`watchdog:${join(this.dir, name)}`);
  }
  async submit(job: object): Promise<void> {
    for (let i = 0; i < 100; i++) {
      const r = await this.ask('POST', '/work', job);
      if (r && r.status < 300) return;
      assert.ok(!r || r.status >= 500 || r.status === 429, JSON.stringify(r));
      await pause(100);
    }
    assert.fail('not accepted');
  }
  async shown(id: number): Promise<Shown | null> {
    const r = await this.ask('GET', `/work/req-${id}/tasks`);
    return r?.status === 200 ? (r.body as Shown) : null;
  }
  async over(id: number, withinS = 30): Promise<Shown> {
    for (let i = 0; i < withinS * 10; i++) {
      const s = await this.shown(id);
      if (s && s.status !== 'pending' && s.status !== 'running') return s;
      await pause(100);
    }
    return assert.fail(`req-${id} is not over: ${JSON.stringify(await this.shown(id))}`);
  }
  async until(what: () => Promise<boolean>, withinS = 20): Promise<void> {
    for (let i = 0; i < withinS * 10; i++) {
      if (await what()) return;
      await pause(100);
    }
    assert.fail('it did not come to that');
  }
  /** So many machines of the service in this process may take tasks. */
  ready(machines: number): Promise<void> {
    const all = () => [...this.service.service.controller.shardManager.machines.values()];
    return this.until(
      async () =>
        all().filter((machine) => machine.confirmedAt > 0 && machine.record.state === 'use').length ===
        machines,
    );
  }
  /** Every attempt that began, as its command noted it: none may be there twice. */
  attempts(): string[] {
    const lines = readFileSync(this.ran, 'utf8')
      .trim()
      .split('\n')
      .filter((l) => l !== '');
    assert.equal(new Set(lines).size, lines.length, 'an attempt ran twice');
    return lines;
  }
  async end(): Promise<void> {
    for (const c of this.children.values()) c.kill('SIGKILL');
    for (const a of this.agents.values()) a.stop();
    await this.closeControl();
    this.door?.close();
    // Commands and watchdogs outlive their agents, as they should: these end with the test.
    for (const name of readdirSync(this.dir)) {
      for (const p of [...this.commandsOf(name), ...this.watchdogsOf(name)]) sendSignal(p.pid, 'SIGKILL');
    }
    rmSync(this.dir, { recursive: true, force: true, maxRetries: 20, retryDelay: 100 });
  }
}

export const withSite = async (
  use: (s: Site) => Promise<void>,
  more?: string,
  names?: string[],
): Promise<void> => {
  const s = await new Site(more, names).begin();
  try {
    await use(s);
  } finally {
    await s.end();
  }
};
