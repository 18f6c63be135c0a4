/**
 * A rolling upgrade of real processes on loopback: a store and three controllers, which all run the earlier program at first.
 * The cloud, its workers and the users are simulated in this process; controllers are killed. The run is limited in time and
 * stops all processes that it started. Run by `npm run roll -- --real`.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { newestLevel } from '../src/feature-levels/index.js';
import { JsonClient } from '../src/net/client.js';
import { readJson, sendJson } from '../src/net/json.js';
import { findFreePort } from '../src/net/port.js';
import { defaultSubmission } from '../src/wire/user.js';

const heartbeatMs = 400;
const leaseS = 6;
const taskDurationMs = 1500;
const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const print = (text: string): void => void process.stdout.write(`${text}\n`);

/** Answers an HTTP request. */
type Handler = (method: string, path: string, body: unknown) => { status: number; body: object };

/** Starts an HTTP server on a free loopback port. */
async function serve(handle: Handler): Promise<{ server: Server; addr: string }> {
  const server = createServer((request: IncomingMessage, res: ServerResponse) => {
    void readJson(request, 1 << 16).then((body) => {
      const response = handle(request.method ?? '', (request.url ?? '').split('?')[0], body);
      sendJson(res, response.status, response.body);
    });
  });
  await new Promise<void>((r) => server.listen(0, '127.0.0.1', () => r()));
  return { server, addr: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** A task on a worker. */
interface HeldTask {
  attempt: number;
  /** When the task was started, in the time of `performance.now()`. */
  startedAt: number;
  status: string;
  /** Why the task exited; null while it runs. */
  cause: string | null;
}

/** A simulated worker that follows the protocol. Tasks run for a fixed time; starts of tasks that run elsewhere are recorded. */
class LoopbackWorker {
  readonly tasks = new Map<string, HeldTask>();
  agentEpoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  private leaseStartedAt = performance.now();
  private nextNode = 0;
  stopped = false;

  constructor(
    readonly host: string,
    private readonly cloud: LoopbackCloud,
    private readonly nodes: Map<string, JsonClient>,
  ) {
    void this.run();
  }

  /** The next heartbeat to send. */
  private report(): object {
    const pieces = [...this.tasks].map(([piece, task]) => ({
      piece,
      try: task.attempt,
      status: task.status,
      cause: task.cause,
    }));
    const { host, agentEpoch: tenure, fencingToken: baton } = this;
    const self = { host, endpoint: this.cloud.addr, flavour: 'box', yard: 'north', loaners: false };
    return { ...self, tenure, tick: ++this.sequence, baton, recallS: null, pieces };
  }

  /** Drops all tasks if the lease has expired, and ends tasks that have run for their time. */
  private updateTasks(): void {
    const now = performance.now();
    if (now - this.leaseStartedAt > leaseS * 1000) {
      this.tasks.clear();
      this.agentEpoch++;
      this.leaseStartedAt = now;
    }
    for (const [piece, task] of this.tasks)
      if (task.status === 'running' && now - task.startedAt > taskDurationMs) {
        Object.assign(task, { status: 'exited', cause: 'done' });
        this.cloud.finished.add(piece);
      }
  }

  /**
   * Sends heartbeats and executes the orders in the answers. If a controller does not accept a heartbeat, the next one goes to
   * the controller that a 421 answer names, or else to the next controller in turn.
   */
  private async run(): Promise<void> {
    while (!this.stopped) {
      this.updateTasks();
      const names = [...this.nodes.keys()];
      const sentAt = performance.now();
      const { agentEpoch } = this;
      const name = names[this.nextNode % names.length];
      const r = await this.nodes.get(name)!.call('POST', '/checkin', this.report(), 4000);
      this.updateTasks();
      const body = r?.body as { boss?: string; baton: number; orders: Order[] } | undefined;
      if (r?.status === 200 && body && agentEpoch === this.agentEpoch && body.baton >= this.fencingToken) {
        this.fencingToken = body.baton;
        this.leaseStartedAt = sentAt;
        for (const order of body.orders) this.execute(order);
        await pause(heartbeatMs);
      } else {
        const namedIndex = names.indexOf(body?.boss ?? '');
        this.nextNode =
          r?.status === 421 && namedIndex >= 0 && namedIndex !== this.nextNode % names.length
            ? namedIndex
            : this.nextNode + 1;
        await pause(namedIndex >= 0 ? 50 : 300);
      }
    }
  }

  private execute(order: Order): void {
    const task = this.tasks.get(order.piece);
    if (order.verb === 'run' && !task) {
      this.cloud.recordStart(order.piece, this);
      this.tasks.set(order.piece, {
        attempt: order.try,
        startedAt: performance.now(),
        status: 'running',
        cause: null,
      });
    } else if (task?.attempt === order.try) {
      if (order.verb === 'clear' && task.status === 'exited') this.tasks.delete(order.piece);
      if (order.verb === 'kill' && task.status !== 'exited')
        Object.assign(task, { status: 'exited', cause: 'stopped' });
    }
  }
}

/** An order to a worker, as in the answer to a heartbeat. */
interface Order {
  verb: string;
  piece: string;
  try: number;
}

/** A simulated cloud with one machine type and at most 8 machines. */
class LoopbackCloud {
  /** The address of the cloud's HTTP server, which is also the endpoint of all workers. */
  addr = '';
  readonly workers = new Map<string, LoopbackWorker>();
  /** The tasks that have run for their time. */
  readonly finished = new Set<string>();
  /** Violations of the scheduler's guarantees. */
  readonly violations: string[] = [];
  /** The machines of each rental, by the name of its request: a repeated request gets the same answer. */
  private readonly rentals = new Map<string, string[]>();
  constructor(readonly nodes: Map<string, JsonClient>) {}

  /** Records a violation if a task is started while it runs on another worker. */
  recordStart(piece: string, on: LoopbackWorker): void {
    for (const worker of this.workers.values())
      if (worker !== on && worker.tasks.has(piece) && worker.tasks.get(piece)!.status !== 'exited')
        this.violations.push(`ran_twice ${piece} on ${on.host} and ${worker.host}`);
  }

  /** Answers the requests of the controllers to the cloud. */
  handle: Handler = (method, path, raw) => {
    const body = raw as { hire: string; howMany: number; hosts: string[] };
    if (path === '/machine_types')
      return {
        status: 200,
        body: {
          flavours: [
            {
              name: 'box',
              cpus: 8,
              memGb: 32,
              localGb: 50,
              fetchGbPerS: 1,
              price: 1,
              bootS: 5,
              yards: ['north'],
            },
          ],
        },
      };
    if (path === '/rentals' && method === 'POST') {
      if (!this.rentals.has(body.hire)) {
        const hosts = Array.from({ length: Math.min(body.howMany, 8 - this.workers.size) }, (_, i) => {
          const host = `n-${String(this.rentals.size * 50 + i).padStart(6, '0')}`;
          this.workers.set(host, new LoopbackWorker(host, this, this.nodes));
          return host;
        });
        if (hosts.length === 0) return { status: 503, body: { error: 'no capacity' } };
        this.rentals.set(body.hire, hosts);
      }
      return { status: 200, body: { hosts: this.rentals.get(body.hire) } };
    }
    if (path === '/rentals/delete') {
      for (const host of body.hosts) {
        const worker = this.workers.get(host);
        if (worker) worker.stopped = true;
        this.workers.delete(host);
      }
      return { status: 200, body: {} };
    }
    if (path === '/rentals') {
      const hosts = [...this.workers.keys()].sort().map((nameId) => {
        const rest = { endpoint: this.addr, flavour: 'box', yard: 'north', loaners: false };
        return { nameId, ...rest, status: 'running', ageS: 60 };
      });
      return { status: 200, body: { hosts, hasNext: false } };
    }
    return { status: 404, body: {} };
  };
}

/** The settings file of a controller. `controllers`: the public address and the peer address of each controller. */
const settingsOf = (
  member: string,
  controllers: Map<string, [string, string]>,
  cloud: string,
  state: string,
): string => `
member = "${member}"
location = "north"
public_addr = "${controllers.get(member)![0]}"
back = "${controllers.get(member)![1]}"
${[...controllers]
  .filter(([m]) => m !== member)
  .map(([m, [, back]]) => `[[others]]\nmember = "${m}"\nlocation = "north"\npeer_addr = "${back}"\n`)
  .join('')}
[endpoints]
cloud = "${cloud}"
state = "${state}"
[deployment]
zones = ["north"]
[[deployment.teams]]
name = "blue"
[deployment.workers]
report_s = ${heartbeatMs / 1000}
lease_s = ${leaseS}.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 16.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 8.0
list_lag_s = 1.0
`;

/** Users that submit a job at a fixed interval, trying the controllers in turn, and query each job until it is done. */
class Users {
  /** The last status reported for each accepted job. */
  readonly reportedStatus = new Map<string, string>();
  /** The number of requests without a useful answer. */
  failedRequests = 0;
  private jobCount = 100;
  /** Whether new jobs are submitted. */
  active = true;
  constructor(
    private readonly nodes: JsonClient[],
    private readonly violations: string[],
  ) {}

  /** Submits jobs while `active` is true, then waits until all are done. */
  async run(everyMs: number): Promise<void> {
    const jobs: Promise<void>[] = [];
    while (this.active) {
      jobs.push(this.runJob(`req-${++this.jobCount}`));
      await pause(everyMs);
    }
    await Promise.all(jobs);
  }

  /** Submits a job, with retries, and queries it until it is done. */
  private async runJob(nameId: string): Promise<void> {
    const job = {
      ...defaultSubmission,
      nameId,
      jobclass: 'c',
      owner: 'blue',
      shape: 'sweep',
      pieces: 1,
      expectS: 2,
    };
    for (let i = this.jobCount; this.reportedStatus.get(nameId) !== 'done'; i++) {
      const client = this.nodes[i % this.nodes.length];
      const accepted = this.reportedStatus.has(nameId);
      const r = accepted
        ? await client.call('GET', `/work/${nameId}`, null, 2000)
        : await client.call('POST', '/work', job, 5000);
      if (r?.status === 200 || r?.status === 201)
        this.reportedStatus.set(nameId, (r.body as { status: string }).status);
      else if (accepted && r?.status === 404) this.violations.push(`forgotten ${nameId}`);
      else this.failedRequests++;
      await pause(accepted ? 400 : 150);
    }
  }
}

/** Upgrades three controllers from one build to another, stopping them by SIGTERM or SIGKILL. Returns 0 if all checks passed. */
export async function upgradeProcesses(oldMain: string, newMain: string): Promise<number> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-roll-'));
  const children = new Map<string, ChildProcess>();
  const start = (name: string, main: string, args: string[]): void => {
    const log = openSync(join(dir, `${name}.log`), 'a');
    children.set(name, spawn(process.execPath, [main, ...args], { stdio: ['ignore', log, log] }));
  };
  const stop = async (name: string, signal: NodeJS.Signals): Promise<number> => {
    const child = children.get(name)!;
    const signalledAt = performance.now();
    const exit = new Promise((r) => child.once('exit', r));
    child.kill(signal);
    await Promise.race([exit, pause(15_000).then(() => child.kill('SIGKILL'))]);
    return performance.now() - signalledAt;
  };
  let failed = 0;
  const check = (ok: boolean, description: string): void => {
    print(`${ok ? 'ok    ' : 'FAILED'} ${description}`);
    if (!ok) failed++;
  };
  const stateAddr = `127.0.0.1:${await findFreePort()}`;
  const members = new Map<string, [string, string]>();
  for (const m of ['n0', 'n1', 'n2'])
    members.set(m, [`127.0.0.1:${await findFreePort()}`, `127.0.0.1:${await findFreePort()}`]);
  const nodes = new Map([...members].map(([m, [addr]]) => [m, new JsonClient(addr, 64)]));
  const cloud = new LoopbackCloud(nodes);
  const { server, addr } = await serve(cloud.handle);
  cloud.addr = addr;
  const store = new JsonClient(stateAddr, 2);
  const readLevel = async (): Promise<number> => {
    const r = await store.call('GET', '/kv/dp/level', null, 2000);
    return r?.status === 200 ? (r.body as { data: { level: number } }).data.level : 1;
  };
  const startController = (m: string, main: string): void => {
    const file = join(dir, `${m}.toml`);
    writeFileSync(file, settingsOf(m, members, addr, stateAddr));
    start(m, main, ['--config', file]);
  };
  const users = new Users([...nodes.values()], cloud.violations);
  try {
    start('store', newMain, ['store', 'run', '--dir', join(dir, 'store'), '--listen', stateAddr]);
    await pause(800);
    for (const m of members.keys()) startController(m, oldMain);
    const running = users.run(250);
    await pause(8000);
    check(
      users.reportedStatus.size > 10,
      `the earlier program accepts jobs: ${users.reportedStatus.size} jobs`,
    );
    for (const [m, signal] of [
      ['n0', 'SIGKILL'],
      ['n1', 'SIGTERM'],
      ['n2', 'SIGKILL'],
    ] as const) {
      check((await readLevel()) === 1, `level 1 is in force before ${m} is upgraded`);
      await stop(m, signal);
      startController(m, newMain);
      await pause(4000);
    }
    const deadline = performance.now() + 15_000;
    while ((await readLevel()) < newestLevel && performance.now() < deadline) await pause(200);
    check(
      (await readLevel()) === newestLevel,
      'the newest level is in force once all controllers support it',
    );
    await pause(3000);
    for (const [m, signal] of [
      ['n1', 'SIGTERM'],
      ['n2', 'SIGKILL'],
      ['n0', 'SIGTERM'],
    ] as const) {
      const failedBefore = users.failedRequests;
      const tookMs = await stop(m, signal);
      startController(m, newMain);
      await pause(4000);
      print(
        `       ${m} stopped by ${signal} after ${tookMs.toFixed(0)} ms, ${users.failedRequests - failedBefore} requests failed (the users do not check /healthz)`,
      );
    }
    await stop('n1', 'SIGKILL');
    startController('n1', oldMain);
    await pause(6000);
    const lead = await store.call('GET', '/kv/dp/lead', null, 2000);
    check(
      (lead?.body as { data?: { member: string } }).data?.member === 'level-2',
      'a restarted controller of the earlier program does not become leader',
    );
    await stop('n1', 'SIGKILL');
    startController('n1', newMain);
    await pause(3000);
    users.active = false;
    const done = await Promise.race([running.then(() => true), pause(30_000).then(() => false)]);
    const unfinished = [...users.reportedStatus].filter(([, s]) => s !== 'done').map(([id]) => id);
    check(
      done,
      `all ${users.reportedStatus.size} jobs are done${done ? '' : `, but ${unfinished.join(' ')}`}`,
    );
    check(
      cloud.violations.length === 0,
      `violations of the guarantees: ${cloud.violations.join('; ') || 'none'}`,
    );
  } finally {
    users.active = false;
    for (const w of cloud.workers.values()) w.stopped = true;
    for (const c of children.values()) c.kill('SIGKILL');
    server.close();
    server.closeAllConnections();
  }
  if (failed === 0) rmSync(dir, { recursive: true, force: true, maxRetries: 5 });
  else print(`logs: ${dir}\n${readFileSync(join(dir, 'n0.log'), 'utf8').slice(-1500)}`);
  return failed === 0 ? 0 : 1;
}
