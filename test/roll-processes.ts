/**
 * A roll with real processes on loopback: a store, three controllers (first all of the earlier program), a scripted cloud
 * with its workers in this process, users, kills. Bounded in time; ends what it started. `npm run roll -- --real`.
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

const reportMs = 400;
const leaseS = 6;
const runMs = 1500;
const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const say = (text: string): void => void process.stdout.write(`${text}\n`);

type Handler = (method: string, path: string, body: unknown) => { status: number; body: object };

async function serve(handle: Handler): Promise<{ server: Server; addr: string }> {
  const server = createServer((req: IncomingMessage, res: ServerResponse) => {
    void readJson(req, 1 << 16).then((body) => {
      const a = handle(req.method ?? '', (req.url ?? '').split('?')[0], body);
      sendJson(res, a.status, a.body);
    });
  });
  await new Promise<void>((r) => server.listen(0, '127.0.0.1', () => r()));
  return { server, addr: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

interface Held {
  try: number;
  since: number;
  status: string;
  cause: string | null;
}

/** A worker as the protocol has it: tasks run for a while; starts of what runs elsewhere are noted. */
class LoopbackWorker {
  readonly held = new Map<string, Held>();
  tenure = 1;
  private tick = 0;
  private baton = 0;
  private leaseFrom = performance.now();
  private target = 0;
  over = false;

  constructor(
    readonly host: string,
    private readonly cloud: LoopbackCloud,
    private readonly nodes: Map<string, JsonClient>,
  ) {
    void this.run();
  }

  private report(): object {
    const pieces = [...this.held].map(([piece, t]) => ({
      piece,
      try: t.try,
      status: t.status,
      cause: t.cause,
    }));
    const { host, tenure, baton } = this;
    const self = { host, endpoint: this.cloud.addr, flavour: 'box', yard: 'north', loaners: false };
    return { ...self, tenure, tick: ++this.tick, baton, recallS: null, pieces };
  }

  private live(): void {
    const now = performance.now();
    if (now - this.leaseFrom > leaseS * 1000) {
      this.held.clear();
      this.tenure++;
      this.leaseFrom = now;
    }
    for (const [piece, t] of this.held)
      if (t.status === 'running' && now - t.since > runMs) {
        Object.assign(t, { status: 'exited', cause: 'done' });
        this.cloud.finished.add(piece);
      }
  }

  private async run(): Promise<void> {
    while (!this.over) {
      this.live();
      const names = [...this.nodes.keys()];
      const sentAt = performance.now();
      const { tenure } = this;
      const name = names[this.target % names.length];
      const r = await this.nodes.get(name)!.call('POST', '/checkin', this.report(), 4000);
      this.live();
      const body = r?.body as { boss?: string; baton: number; orders: Order[] } | undefined;
      if (r?.status === 200 && body && tenure === this.tenure && body.baton >= this.baton) {
        this.baton = body.baton;
        this.leaseFrom = sentAt;
        for (const o of body.orders) this.carryOut(o);
        await pause(reportMs);
      } else {
        const boss = names.indexOf(body?.boss ?? '');
        this.target =
          r?.status === 421 && boss >= 0 && boss !== this.target % names.length ? boss : this.target + 1;
        await pause(boss >= 0 ? 50 : 300);
      }
    }
  }

  private carryOut(o: Order): void {
    const t = this.held.get(o.piece);
    if (o.verb === 'run' && !t) {
      this.cloud.started(o.piece, this);
      this.held.set(o.piece, { try: o.try, since: performance.now(), status: 'running', cause: null });
    } else if (t?.try === o.try) {
      if (o.verb === 'clear' && t.status === 'exited') this.held.delete(o.piece);
      if (o.verb === 'kill' && t.status !== 'exited')
        Object.assign(t, { status: 'exited', cause: 'stopped' });
    }
  }
}

interface Order {
  verb: string;
  piece: string;
  try: number;
}

class LoopbackCloud {
  addr = '';
  readonly workers = new Map<string, LoopbackWorker>();
  readonly finished = new Set<string>();
  readonly broken: string[] = [];
  private readonly hires = new Map<string, string[]>();
  constructor(readonly nodes: Map<string, JsonClient>) {}

  started(piece: string, on: LoopbackWorker): void {
    for (const w of this.workers.values())
      if (w !== on && w.held.has(piece) && w.held.get(piece)!.status !== 'exited')
        this.broken.push(`ran_twice ${piece} on ${on.host} and ${w.host}`);
  }

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
      if (!this.hires.has(body.hire)) {
        const hosts = Array.from({ length: Math.min(body.howMany, 8 - this.workers.size) }, (_, i) => {
          const host = `n-${String(this.hires.size * 50 + i).padStart(6, '0')}`;
          this.workers.set(host, new LoopbackWorker(host, this, this.nodes));
          return host;
        });
        if (hosts.length === 0) return { status: 503, body: { error: 'no capacity' } };
        this.hires.set(body.hire, hosts);
      }
      return { status: 200, body: { hosts: this.hires.get(body.hire) } };
    }
    if (path === '/rentals/delete') {
      for (const h of body.hosts) {
        const w = this.workers.get(h);
        if (w) w.over = true;
        this.workers.delete(h);
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

const settingsOf = (
  member: string,
  all: Map<string, [string, string]>,
  cloud: string,
  state: string,
): string => `
member = "${member}"
location = "north"
public_addr = "${all.get(member)![0]}"
back = "${all.get(member)![1]}"
${[...all]
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
report_s = ${reportMs / 1000}
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

/** Users: a job now and then, through whoever answers; every one is asked for until it is done. */
class Users {
  readonly told = new Map<string, string>();
  failed = 0;
  private n = 100;
  on = true;
  constructor(
    private readonly nodes: JsonClient[],
    private readonly broken: string[],
  ) {}

  async run(everyMs: number): Promise<void> {
    const jobs: Promise<void>[] = [];
    while (this.on) {
      jobs.push(this.one(`req-${++this.n}`));
      await pause(everyMs);
    }
    await Promise.all(jobs);
  }

  private async one(nameId: string): Promise<void> {
    const job = {
      ...defaultSubmission,
      nameId,
      jobclass: 'c',
      owner: 'blue',
      shape: 'sweep',
      pieces: 1,
      expectS: 2,
    };
    for (let i = this.n; this.told.get(nameId) !== 'done'; i++) {
      const http = this.nodes[i % this.nodes.length];
      const known = this.told.has(nameId);
      const r = known
        ? await http.call('GET', `/work/${nameId}`, null, 2000)
        : await http.call('POST', '/work', job, 5000);
      if (r?.status === 200 || r?.status === 201)
        this.told.set(nameId, (r.body as { status: string }).status);
      else if (known && r?.status === 404) this.broken.push(`forgotten ${nameId}`);
      else this.failed++;
      await pause(known ? 400 : 150);
    }
  }
}

/** Rolls three controllers from one build to another, by SIGTERM or SIGKILL; 0 if all went well. */
export async function rollReal(oldMain: string, newMain: string): Promise<number> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-roll-'));
  const children = new Map<string, ChildProcess>();
  const start = (name: string, main: string, args: string[]): void => {
    const log = openSync(join(dir, `${name}.log`), 'a');
    children.set(name, spawn(process.execPath, [main, ...args], { stdio: ['ignore', log, log] }));
  };
  const end = async (name: string, signal: NodeJS.Signals): Promise<number> => {
    const child = children.get(name)!;
    const from = performance.now();
    const exit = new Promise((r) => child.once('exit', r));
    child.kill(signal);
    await Promise.race([exit, pause(15_000).then(() => child.kill('SIGKILL'))]);
    return performance.now() - from;
  };
  let failed = 0;
  const expect = (ok: boolean, what: string): void => {
    say(`${ok ? 'ok    ' : 'FAILED'} ${what}`);
    if (!ok) failed++;
  };
  const state = `127.0.0.1:${await findFreePort()}`;
  const members = new Map<string, [string, string]>();
  for (const m of ['n0', 'n1', 'n2'])
    members.set(m, [`127.0.0.1:${await findFreePort()}`, `127.0.0.1:${await findFreePort()}`]);
  const nodes = new Map([...members].map(([m, [addr]]) => [m, new JsonClient(addr, 64)]));
  const cloud = new LoopbackCloud(nodes);
  const { server, addr } = await serve(cloud.handle);
  cloud.addr = addr;
  const store = new JsonClient(state, 2);
  const level = async (): Promise<number> => {
    const r = await store.call('GET', '/kv/dp/level', null, 2000);
    return r?.status === 200 ? (r.body as { data: { level: number } }).data.level : 1;
  };
  const controller = (m: string, main: string): void => {
    const file = join(dir, `${m}.toml`);
    writeFileSync(file, settingsOf(m, members, addr, state));
    start(m, main, ['--config', file]);
  };
  const users = new Users([...nodes.values()], cloud.broken);
  try {
    start('store', newMain, ['store', 'run', '--dir', join(dir, 'store'), '--listen', state]);
    await pause(800);
    for (const m of members.keys()) controller(m, oldMain);
    const running = users.run(250);
    await pause(8000);
    expect(users.told.size > 10, `the earlier program serves: ${users.told.size} jobs accepted`);
    for (const [m, signal] of [
      ['n0', 'SIGKILL'],
      ['n1', 'SIGTERM'],
      ['n2', 'SIGKILL'],
    ] as const) {
      expect((await level()) === 1, `level 1 before ${m} is replaced`);
      await end(m, signal);
      controller(m, newMain);
      await pause(4000);
    }
    const until = performance.now() + 15_000;
    while ((await level()) < newestLevel && performance.now() < until) await pause(200);
    expect((await level()) === newestLevel, 'the newest level once all have it');
    await pause(3000);
    for (const [m, signal] of [
      ['n1', 'SIGTERM'],
      ['n2', 'SIGKILL'],
      ['n0', 'SIGTERM'],
    ] as const) {
      const before = users.failed;
      const took = await end(m, signal);
      controller(m, newMain);
      await pause(4000);
      say(
        `       ${m} by ${signal}: gone after ${took.toFixed(0)} ms, ${users.failed - before} requests failed (users do not look at /healthz here)`,
      );
    }
    await end('n1', 'SIGKILL');
    controller('n1', oldMain);
    await pause(6000);
    const lead = await store.call('GET', '/kv/dp/lead', null, 2000);
    expect(
      (lead?.body as { data?: { member: string } }).data?.member === 'level-2',
      'the earlier program came back and could not lead',
    );
    await end('n1', 'SIGKILL');
    controller('n1', newMain);
    await pause(3000);
    users.on = false;
    const done = await Promise.race([running.then(() => true), pause(30_000).then(() => false)]);
    const open = [...users.told].filter(([, s]) => s !== 'done').map(([id]) => id);
    expect(done, `all ${users.told.size} jobs are done${done ? '' : `, but ${open.join(' ')}`}`);
    expect(cloud.broken.length === 0, `no rule broken: ${cloud.broken.join('; ') || 'none'}`);
  } finally {
    users.on = false;
    for (const w of cloud.workers.values()) w.over = true;
    for (const c of children.values()) c.kill('SIGKILL');
    server.close();
    server.closeAllConnections();
  }
  if (failed === 0) rmSync(dir, { recursive: true, force: true, maxRetries: 5 });
  else say(`logs: ${dir}\n${readFileSync(join(dir, 'n0.log'), 'utf8').slice(-1500)}`);
  return failed === 0 ? 0 : 1;
}
