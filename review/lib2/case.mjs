// What the cases share: the record, free ports, controllers as processes, users, and the end of everything that was started.
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call } from './platform.mjs';

const here = dirname(fileURLToPath(import.meta.url));
export const repository = dirname(dirname(here));
export const trouble = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The command of the deploy file: a program and its arguments. */
export function deployCommand() {
  const text = readFileSync(join(repository, 'deploy', 'service.toml'), 'utf8');
  const run = /^run\s*=\s*"([^"]*)"/m.exec(text);
  if (!run) throw new Error('deploy/service.toml names no command');
  return run[1].split(/\s+/);
}

/** Ports of the loopback address on which nothing listens now. */
export async function freePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map((s) => s.address().port);
  for (const s of servers) await new Promise((resolve) => s.close(resolve));
  return ports;
}

/** A run of one case: its record, its temporary folder and its processes. */
export class Run {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    writeFileSync(this.path, '');
    this.startedAt = performance.now();
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.processes = new Set();
    this.cleanups = [];
    this.limit = setTimeout(() => void this.end(2, 'the case took too long'), 115_000);
    for (const name of ['SIGINT', 'SIGTERM']) process.once(name, () => void this.end(2, `ended by ${name}`));
    process.once('uncaughtException', (e) => void this.end(2, `the case failed: ${e.stack}`));
    process.once('unhandledRejection', (e) => void this.end(2, `the case failed: ${e?.stack ?? e}`));
    this.record(`TROUBLE=${trouble ? 1 : 0}`);
  }

  record = (text) => {
    const line = `${((performance.now() - this.startedAt) / 1000).toFixed(2).padStart(7)} s  ${text}\n`;
    appendFileSync(this.path, line);
  };

  /** Starts a program of the project from the root of the repository; its log goes to the temporary folder. */
  spawn(name, command, env = {}, own = false) {
    const log = join(this.dir, `${name}.log`);
    const fd = openSync(log, 'a');
    const child = spawn(command[0], command.slice(1), {
      cwd: repository,
      stdio: ['ignore', fd, fd],
      env: { ...process.env, LOG_LEVEL: 'info', ...env },
      detached: own,
    });
    const entry = { name, child, log, exit: null, expected: false };
    child.on('exit', (code, signal) => {
      entry.exit = { code, signal };
      this.record(`process ${name} ended: ${signal ?? `exit code ${code}`}${entry.expected ? ' (by the case)' : ''}`);
    });
    this.processes.add(entry);
    return entry;
  }

  /** Kills a process that this case has started. */
  kill(entry, signal = 'SIGKILL') {
    if (signal === 'SIGKILL') entry.expected = true;
    if (entry.exit === null) entry.child.kill(signal);
  }

  /** What a process has logged about its end: the error, and the places that it came from. */
  tail(entry) {
    const text = readFileSync(entry.log, 'utf8').split('\n');
    const from = text.findIndex((l) => /^\S*Error/.test(l));
    const lines = from < 0 ? text.slice(-4) : text.slice(from, from + 9);
    return lines.map((l) => l.slice(0, 200).replaceAll(`file://${repository}/`, '').replaceAll(`${repository}/`, '')).filter((l) => l !== '');
  }

  /** Ends everything that was started, and the case itself. 0: the rule held, 1: it was broken, 2: the case could not run. */
  async end(code, why) {
    if (this.ending) return;
    this.ending = true;
    clearTimeout(this.limit);
    this.record(`${code === 0 ? 'held' : code === 1 ? 'BROKEN' : 'could not run'}: ${why}`);
    for (const entry of this.processes) if (entry.exit === null) this.kill(entry);
    for (const f of this.cleanups) await f();
    await sleep(300);
    if (!process.env.KEEP) rmSync(this.dir, { recursive: true, force: true });
    process.stdout.write(`${code}: ${why}\n`);
    process.exit(code);
  }
}

/** The settings files of controllers in the form of DEPLOY. `site`: zones, teams, workers, state, cloud and quota. */
export async function startControllers(run, site, endpoints, count = 3) {
  const ports = await freePorts(count * 2);
  const nodes = Array.from({ length: count }, (_, i) => ({
    member: `picker-${i}`,
    location: site.zones[i % site.zones.length],
    address: `127.0.0.1:${ports[i]}`,
    back: `127.0.0.1:${ports[count + i]}`,
  }));
  mkdirSync(join(run.dir, 'settings'));
  const table = (name, o) => `[deployment.${name}]\n${Object.entries(o).map(([k, v]) => `${k} = ${v}`).join('\n')}\n`;
  for (const node of nodes) {
    const others = nodes
      .filter((n) => n !== node)
      .map((n) => `[[others]]\nmember = "${n.member}"\nlocation = "${n.location}"\npeer_addr = "${n.back}"\n`);
    const teams = site.teams.map(
      (t) => `[[deployment.teams]]\nname = "${t.name}"\ncpus = ${t.cpus ?? 0}\ncpus_max = ${t.cpus_max ?? 0}\ngpus = ${t.gpus ?? 0}\ngpus_max = ${t.gpus_max ?? 0}\n`,
    );
    const text = [
      `member = "${node.member}"\nlocation = "${node.location}"\npublic_addr = "${node.address}"\nback = "${node.back}"\n`,
      ...others,
      `[endpoints]\ncloud = "${endpoints.cloud}"\nstate = "${endpoints.state}"\n`,
      `[deployment]\nnodes = ${count}\nzones = ${JSON.stringify(site.zones)}\ntime_bound_ms = ${site.time_bound_ms}\n`,
      ...teams,
      table('workers', site.workers),
      table('state', site.state),
      table('cloud', site.cloud),
      table('quota', site.quota),
    ].join('\n');
    node.file = join(run.dir, 'settings', `${node.member}.toml`);
    writeFileSync(node.file, text);
    node.start = () => {
      node.process = run.spawn(node.member, [...deployCommand(), node.file]);
      return node.process;
    };
    node.start();
  }
  run.record(`controllers: ${nodes.map((n) => `${n.member} ${n.address}`).join(', ')}`);
  return nodes;
}

/** Waits until a condition holds; false if it does not within the time. */
export async function until(condition, ms, everyMs = 100) {
  const end = performance.now() + ms;
  for (;;) {
    if (await condition()) return true;
    if (performance.now() > end) return false;
    await sleep(everyMs);
  }
}

/** Whether a controller answers its health check with 200. */
export const healthy = async (node) => (await call(node.address, 'GET', '/healthz', null, 1000))?.status === 200;

/** Submits a job as a user does: again after 1 s, at another node, for up to 60 s. Returns the last answer. */
export async function submit(run, nodes, job) {
  const started = performance.now();
  let reply = null;
  const { runMs, ...body } = job;
  for (let i = 0; performance.now() - started < 60_000; i++) {
    const node = nodes[i % nodes.length];
    reply = await call(node.address, 'POST', '/work', body, 5000);
    run.record(`user: POST /work ${job.nameId} (${job.pieces} tasks of ${job.cpus} CPUs, ${job.shape}) at ${node.member}: ${reply ? `${reply.status} ${JSON.stringify(reply.body)}` : 'no answer'}`);
    if (reply && [200, 201, 400, 422].includes(reply.status)) return reply;
    await sleep(1000);
  }
  return reply;
}

/** Asks for a job at the nodes in turn until one answers 200 or 404, at most once at each. */
export async function poll(run, nodes, id) {
  for (const node of nodes) {
    const reply = await call(node.address, 'GET', `/work/${id}`, null, 2000);
    if (reply && (reply.status === 200 || reply.status === 404)) {
      run.record(`user: GET /work/${id} at ${node.member}: ${reply.status} ${JSON.stringify(reply.body)}`);
      return reply;
    }
    run.record(`user: GET /work/${id} at ${node.member}: ${reply ? reply.status : 'no answer'}`);
  }
  return null;
}

/** The deployment of kit/sites/lineage-za.toml, as far as the controllers' settings have it. */
export const lineage = {
  zones: ['joburg', 'cape-town'],
  time_bound_ms: '25.0',
  teams: ['archives', 'transcribers', 'genealogy', 'customer-desk', 'platform'].map((name) => ({ name })),
  workers: { report_s: 3.0, lease_s: 24.0, gang_wait_s: 35.0, gang_peer_s: 8.0, cancel_s: 49.0 },
  state: { rps: 100.0, write_rps: 40.0, value_kb: 8.0, txn_ops: 24 },
  cloud: { rps: 8.0, list_lag_s: 8.0 },
  quota: { cores: 0.34, mem_mb: 306.0, fd_limit: 3000 },
};

/** Its machine type without GPUs, in the cloud's form. */
export const ledgerNode = {
  name: 'ledger-node', cpus: 16.0, cards: 0.0, memGb: 64.0, localGb: 60.0, fetchGbPerS: 0.3,
  price: 0.96, marketPrice: 0.33, bootS: 25.0, yards: ['joburg', 'cape-town'],
};

/** A job with the fields that the protocol asks for. */
export const job = (nameId, fields) => ({
  nameId, jobclass: 'register-index', owner: 'archives', shape: 'sweep', urgency: 'normal', pieces: 1,
  cpus: 1.0, cards: 0.0, memGb: 2.4, bundle: 'img-01', pullGb: 0.5, flavours: ['ledger-node'], yard: null,
  oneZone: false, apart: false, loaners: false, expectS: 30.0, snapshotS: 0.0, flushS: 0.0, dueS: null, ...fields,
});
