// What the cases share: settings files, controllers as separate processes, users, the record and the end of all that was started.
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { StateService } from './state.mjs';
import { call, Cloud, now, sleep, World } from './platform.mjs';

export { call, now, sleep };
export const root = fileURLToPath(new URL('../../', import.meta.url));
export const trouble = process.env.TROUBLE !== '0';

const taken = new Set();
/** A free port below those that systems give to outgoing connections, so that none of these takes it before its process listens. */
export async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (taken.has(port)) continue;
    taken.add(port);
    const s = createServer();
    const free = await new Promise((r) => s.once('error', () => r(false)).listen(port, '127.0.0.1', () => r(true)));
    if (!free) continue;
    await new Promise((r) => s.close(r));
    return port;
  }
}

/** The program and arguments of `run` in the deploy file. */
function deployCommand() {
  const text = readFileSync(join(root, 'deploy/service.toml'), 'utf8');
  return /^run\s*=\s*"(.*)"$/m.exec(text)[1].split(/\s+/);
}

const toml = (value) => (typeof value === 'string' ? JSON.stringify(value) : Array.isArray(value) ? `[${value.map(toml)}]` : String(value));
const table = (name, o) => `${name}\n${Object.entries(o).map(([k, v]) => `${k} = ${toml(v)}`).join('\n')}\n`;

/** A controller: its process, and the settings file that it is started with. */
class Controller {
  constructor(cell, member, zone) { Object.assign(this, { cell, member, zone, starts: 0 }); }
  get address() { return `127.0.0.1:${this.port}`; }
  writeSettings(teams) {
    const { cell } = this;
    const others = cell.controllers.filter((c) => c !== this).map((c) =>
      table('[[others]]', { member: c.member, location: c.zone, peer_addr: cell.peerAddress(this, c) }));
    const d = cell.deployment;
    writeFileSync(this.file, [
      table('', { member: this.member, location: this.zone, public_addr: this.address, back: `127.0.0.1:${this.backPort}` }),
      ...others,
      table('[endpoints]', { cloud: cell.cloud.address, state: `127.0.0.1:${this.statePort}` }),
      table('[deployment]', { nodes: cell.controllers.length, zones: d.zones, time_bound_ms: 100.0 }),
      ...teams.map((t) => table('[[deployment.teams]]', t)),
      ...(d.objectives ?? []).map((o) => table('[[deployment.objectives]]', o)),
      table('[deployment.workers]', d.workers), table('[deployment.state]', d.state),
      table('[deployment.cloud]', d.cloud), table('[deployment.quota]', d.quota),
    ].join('\n'));
  }
  start() {
    const [program, ...args] = deployCommand();
    const log = openSync(this.logFile, 'a');
    const child = spawn(program === 'node' ? process.execPath : program, [...args, this.file],
      { cwd: root, stdio: ['ignore', 'ignore', log], env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' } });
    this.child = child;
    this.starts++;
    child.once('exit', (code, signal) => {
      if (this.child !== child) return;
      this.child = null;
      this.cell.record(`${this.member}: ended by itself, code ${code}, signal ${signal}`);
      this.cell.endedByItself.push(this.member);
    });
    this.cell.record(`${this.member}: process started`);
  }
  kill() {
    const { child } = this;
    this.child = null;
    child?.kill('SIGKILL');
    this.cell.record(`${this.member}: process killed`);
  }
  signal(name) { this.child?.kill(name); this.cell.record(`${this.member}: ${name}`); }
  async healthy() { return (await call(this.address, 'GET', '/healthz', null, 1000))?.status === 200; }
}

/** Three controllers with stand-ins for the state service, the cloud, workers and users. */
export class Cell {
  constructor(folder, deployment, { firstEpoch = 0, cloud = {}, types }) {
    this.deployment = deployment;
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = now();
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.endedByItself = [];
    this.state = new StateService(deployment.state, firstEpoch);
    this.world = new World(deployment.workers, (t) => this.record(t));
    this.cloud = new Cloud(this.world, types, { lagS: deployment.cloud.list_lag_s, ...cloud });
    this.peerAddress = (_from, to) => `127.0.0.1:${to.backPort}`;
    this.controllers = [];
  }
  record(text) {
    appendFileSync(this.recordFile, `${((now() - this.startedAt) / 1000).toFixed(3).padStart(8)}  ${text}\n`);
  }
  async prepare(members) {
    await this.cloud.listen();
    for (const [member, zone] of members) {
      const c = new Controller(this, member, zone);
      c.port = await freePort();
      c.backPort = await freePort();
      c.statePort = await this.state.listen(member);
      c.file = join(this.dir, `${member}.toml`);
      c.logFile = join(this.dir, `${member}.log`);
      this.controllers.push(c);
    }
    this.cloud.controllers = this.controllers.map((c) => ({ member: c.member, address: c.address }));
    for (const c of this.controllers) c.writeSettings(this.deployment.teams);
  }
  controller(member) { return this.controllers.find((c) => c.member === member); }
  /** What the controllers stored under a key; undefined if nothing. Used to tell who leads and who owns, and for the record. */
  stored(key) { return this.state.keys.get(key)?.data; }

  async until(what, test, limitS) {
    const end = now() + limitS * 1000;
    while (now() < end) {
      if (await test()) return true;
      await sleep(100);
    }
    this.record(`not reached within ${limitS} s: ${what}`);
    return false;
  }
  async allHealthy(limitS = 20) {
    return this.until('all controllers healthy', async () =>
      (await Promise.all(this.controllers.map((c) => c.healthy()))).every(Boolean), limitS);
  }

  // ---- users ----
  /** One request of a user to one controller. */
  async ask(c, method, path, body, timeoutMs) {
    const r = await call(c.address, method, path, body, timeoutMs);
    this.record(`user -> ${c.member}: ${method} ${path}${body && method === 'POST' && path === '/work' ? ` ${JSON.stringify(body)}` : ''}: ${r ? `${r.status} ${JSON.stringify(r.body)}` : 'no answer'}`);
    return r;
  }
  /** Submits as PROTOCOL tells users to: retries for up to 60 s, 1 s or Retry-After apart. */
  async submit(spec, nodes = this.controllers) {
    this.world.jobs.set(spec.nameId, spec);
    const end = now() + 60_000;
    for (let i = 0; now() < end; i++) {
      const r = await this.ask(nodes[i % nodes.length], 'POST', '/work', spec, 5000);
      if (r && [200, 201, 400, 422].includes(r.status)) return r;
      await sleep(1000 * Math.max(1, Math.min(30, Number(r?.headers['retry-after'] ?? 1))));
    }
    return null;
  }
  async status(id, nodes = this.controllers) {
    for (const c of nodes) {
      const r = await this.ask(c, 'GET', `/work/${id}`, null, 2000);
      if (r && (r.status === 200 || r.status === 404)) return r;
    }
    return null;
  }
  /** Polls every `everyS` until the job is done or cancelled; returns its last answer. */
  async follow(id, limitS, everyS = 5) {
    const end = now() + limitS * 1000;
    for (let i = 0; ; i++) {
      const c = this.controllers[i % this.controllers.length];
      const r = await this.ask(c, 'GET', `/work/${id}`, null, 2000);
      if (r?.status === 200 && (r.body.status === 'done' || r.body.status === 'aborted')) return r.body;
      if (now() >= end) return r?.body ?? null;
      await sleep(Math.min(everyS * 1000, Math.max(0, end - now())));
    }
  }
  async withdraw(id) {
    const end = now() + 60_000;
    for (let i = 0; now() < end; i++) {
      const r = await this.ask(this.controllers[i % this.controllers.length], 'POST', `/work/${id}/withdraw`, null, 5000);
      if (r?.status === 200) return r;
      await sleep(1000);
    }
    return null;
  }

  /** Ends everything that was started. */
  end() {
    for (const c of this.controllers) {
      const { child } = c;
      c.child = null;
      child?.kill('SIGKILL');
    }
    this.cloud.close();
    this.state.close();
    if (process.env.KEEP) this.record(`logs kept in ${this.dir}`);
    else rmSync(this.dir, { recursive: true, force: true });
  }
}

export const job = (nameId, more = {}) => ({
  nameId, jobclass: 'split-calc', owner: 'results-desk', shape: 'sweep', urgency: 'normal', pieces: 1, cpus: 1.0, cards: 0.0,
  memGb: 3.0, bundle: 'img-01', pullGb: 0.2, flavours: null, yard: null, oneZone: false, apart: false, loaners: false,
  expectS: 5.0, snapshotS: 0.0, flushS: 0.0, dueS: null, ...more,
});

/** The small deployment of BRIEF (striders-results-tt). */
export const striders = () => ({
  zones: ['arima', 'chaguanas', 'port-of-spain', 'san-fernando'],
  teams: [
    { name: 'results-desk', cpus: 64.0, cpus_max: 136.0, gpus: 4.0, gpus_max: 12.0 },
    { name: 'timing-crew', cpus: 104.0, cpus_max: 320.0, gpus: 8.0, gpus_max: 12.0 },
    { name: 'club-liaison', cpus: 48.0, cpus_max: 136.0, gpus: 4.0, gpus_max: 12.0 },
    { name: 'photo-unit', cpus: 104.0, cpus_max: 320.0, gpus: 8.0, gpus_max: 24.0 },
  ],
  workers: { report_s: 2.5, lease_s: 18.0, gang_wait_s: 30.0, gang_peer_s: 5.0, cancel_s: 38.0 },
  state: { rps: 120.0, write_rps: 40.0, value_kb: 32.0, txn_ops: 24 },
  cloud: { rps: 8.0, list_lag_s: 5.0 },
  quota: { cores: 0.255, mem_mb: 146.0, fd_limit: 1500 },
});
export const stridersMembers = [['picker-0', 'port-of-spain'], ['picker-1', 'san-fernando'], ['picker-2', 'arima']];
export const stridersTypes = () => {
  const yards = ['arima', 'chaguanas', 'port-of-spain', 'san-fernando'];
  const t = (name, cpus, cards, memGb, price, marketPrice, localGb, fetchGbPerS, bootS) =>
    ({ name, cpus, cards, memGb, localGb, fetchGbPerS, price, marketPrice, bootS, yards });
  return [
    t('mat-box', 4.0, 0.0, 16.0, 0.24, 0.07, 25.0, 0.25, 30.0),
    t('results-server', 32.0, 0.0, 128.0, 2.01, 0.54, 80.0, 0.2, 35.0),
    t('photo-cruncher', 48.0, 8.0, 192.0, 26.95, 7.16, 80.0, 0.2, 40.0),
  ];
};

/** The deployment of kit/added (striders-multisport). */
export const multisport = () => ({
  zones: ['scarborough', 'point-fortin', 'sangre-grande'],
  teams: [
    { name: 'transition-crew', cpus: 1200.0, cpus_max: 3500.0 },
    { name: 'velodrome-desk', cpus: 800.0, cpus_max: 2000.0 },
    { name: 'tobago-office', cpus: 600.0, cpus_max: 2500.0 },
    { name: 'sponsor-relations', cpus: 1200.0, cpus_max: 1800.0 },
    { name: 'course-marshals', cpus: 900.0, cpus_max: 1800.0 },
  ],
  objectives: [
    { kind: 'wait', class: 'transition-mat-match', within_s: 3.0, share: 0.82 },
    { kind: 'wait', class: 'transition-mat-match', within_s: 15.0, share: 0.97 },
    { kind: 'finished', class: 'transition-mat-match', within_s: 60.0, share: 0.9 },
    { kind: 'finished', class: 'lap-count', within_s: 120.0, share: 0.65 },
    { kind: 'finished', class: 'lap-count', within_s: 250.0, share: 0.9 },
    { kind: 'deadline', class: 'series-points-rebuild', share: 0.96, times: 1.0 },
    { kind: 'guarantee', within_s: 15.0, share: 0.93 },
  ],
  workers: { report_s: 5.0, lease_s: 27.0, gang_wait_s: 50.0, gang_peer_s: 6.0, cancel_s: 52.0 },
  state: { rps: 150.0, write_rps: 60.0, value_kb: 32.0, txn_ops: 32 },
  cloud: { rps: 6.0, list_lag_s: 6.0 },
  quota: { cores: 0.085, mem_mb: 178.0, fd_limit: 1200 },
});
export const multisportMembers = [['picker-0', 'scarborough'], ['picker-1', 'point-fortin'], ['picker-2', 'sangre-grande']];
export const multisportTypes = () => [{
  name: 'lap-cruncher', cpus: 16.0, cards: 0.0, memGb: 32.0, localGb: 35.0, fetchGbPerS: 0.8, price: 0.62, marketPrice: 0.2, bootS: 50.0,
  yards: ['scarborough', 'point-fortin', 'sangre-grande'],
}];

/** Runs a case. `body` returns null if the rule held, or says how it was broken; it throws if the case could not run. */
export async function runCase(cell, body) {
  const limit = setTimeout(() => { cell.record('time is over'); finish(2); }, 118_000);
  const finish = (code) => { clearTimeout(limit); cell.end(); process.exit(code); };
  for (const s of ['SIGINT', 'SIGTERM']) process.once(s, () => finish(2));
  try {
    const broken = await body();
    const all = [...cell.world.violations.map((v) => `${v.rule}: ${v.text}`), ...(broken ? [broken] : [])];
    cell.record(all.length > 0 ? `VERDICT broken: ${all[0]}` : 'VERDICT held');
    process.stdout.write(`${all.length > 0 ? `broken: ${all[0]}` : 'held'}\n`);
    finish(all.length > 0 ? 1 : 0);
  } catch (e) {
    cell.record(`could not run: ${e.stack}`);
    process.stdout.write(`could not run: ${e.message}\n`);
    finish(2);
  }
}
