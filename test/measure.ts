/**
 * Benchmarks, not part of the test suite: `npm run measure -- NAME`. `store`, `restart`, `batch` and `kills` measure the control
 * service, its store and its agents on this machine, on loopback and in a temporary directory; `match` measures matching; `flood`,
 * `loss`, `writes` and `levels` run in the simulated cluster.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, fdatasyncSync, mkdtempSync, openSync, rmSync, writeFileSync, writeSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Agent, parseAgentSettings } from '../src/agent/index.js';
import { openControl, parseControlSettings } from '../src/control/index.js';
import { JsonClient } from '../src/net/client.js';
import { findFreePort } from '../src/net/port.js';
import { seededRandom } from '../src/retry/index.js';
import { defaultSubmission } from '../src/wire/user.js';
import { Engine, LevelDisk } from '../src/store/index.js';

const ignore = (): undefined => undefined;
const fatal = (e: Error): never => {
  throw e;
};
const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const directory = mkdtempSync(join(tmpdir(), 'dapplepick-measure-'));
const printLine = (text: string): void => void process.stdout.write(`${text}\n`);
const quantile = (list: number[], q: number): number =>
  list.sort((a, b) => a - b)[Math.min(list.length - 1, Math.floor(list.length * q))];

/** Latency and throughput of disk syncs, and of commits to the store with several concurrent writers. */
async function measureStore(): Promise<void> {
  const file = openSync(join(directory, 'probe'), 'w');
  const syncMs: number[] = [];
  for (let i = 0; i < 300; i++) {
    const startedAt = performance.now();
    writeSync(file, 'x'.repeat(200));
    fdatasyncSync(file);
    syncMs.push(performance.now() - startedAt);
  }
  closeSync(file);
  printLine(
    `disk without the store: ${(1000 / (syncMs.reduce((a, b) => a + b) / 300)).toFixed(0)} syncs per second, p50 ${quantile(syncMs, 0.5).toFixed(2)} ms`,
  );
  for (const writers of [1, 16, 128]) {
    const engine = await Engine.open(await LevelDisk.open(join(directory, `w${writers}`)), ignore, fatal);
    const latenciesMs: number[] = [];
    const until = performance.now() + 3000;
    await Promise.all(
      Array.from({ length: writers }, async (_, w) => {
        for (let i = 0; performance.now() < until; i++) {
          const startedAt = performance.now();
          await engine.commit({
            conditions: [],
            writes: [{ key: `k/${w}/${i % 100}`, data: { i, text: 'x'.repeat(100) } }],
          });
          latenciesMs.push(performance.now() - startedAt);
        }
      }),
    );
    printLine(
      `${writers} writers: ${(latenciesMs.length / 3).toFixed(0)} commits per second, p50 ${quantile(latenciesMs, 0.5).toFixed(2)} ms, p99 ${quantile(latenciesMs, 0.99).toFixed(2)} ms`,
    );
    await engine.close();
  }
}

const controlText = (port: number): string =>
  `(control (listen "127.0.0.1:${port}") (directory "${join(directory, 'store')}") (report-s 2) (lease-s 120) (class one (sleep-s 1)))`;

async function startAgents(n: number, port: number): Promise<Agent[]> {
  const all: Agent[] = [];
  for (let i = 0; i < n; i++) {
    const text = `(agent (name w${i}) (control "127.0.0.1:${port}") (directory "${join(directory, `w${i}`)}") (type t) (cpus 4) (mem-gb 4))`;
    const a = new Agent(parseAgentSettings(text), seededRandom(i), ignore);
    await a.start();
    all.push(a);
  }
  return all;
}

const job = (id: number, pieces: number): object => ({
  nameId: `req-${id}`,
  ...defaultSubmission,
  jobclass: 'one',
  owner: 'default',
  shape: 'sweep',
  pieces,
  expectS: 1,
});

const heapMb = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed / 1024 / 1024;
};

/** Stores finished jobs. A separate function, so that its memory can be collected before memory is measured. */
async function storeFinishedJobs(jobs: number): Promise<void> {
  const engine = await Engine.open(await LevelDisk.open(join(directory, 'store')), ignore, fatal);
  for (let i = 0; i < jobs; i += 500)
    await engine.commit({
      conditions: [],
      writes: Array.from({ length: 500 }, (_, j) => ({
        key: `dp/j/req-${1e6 + i + j}`,
        data: { s: 'done', at: 1, n: 1 },
      })),
    });
  await engine.close();
}

/** Memory of the control service per job and per agent, and the times until it serves again after a restart. */
async function measureRestart(): Promise<void> {
  const port = await findFreePort();
  const settings = parseControlSettings(controlText(port));
  const empty = await openControl({ ...settings, directory: join(directory, 'empty') }, ignore, fatal);
  await empty.control.start();
  await pause(2000);
  const before = heapMb();
  await empty.close();
  const jobs = 100_000;
  await storeFinishedJobs(jobs);
  let open = await openControl(settings, ignore, fatal);
  await open.control.start();
  while (open.control.service.controller.replica.jobs.size < jobs) await pause(100);
  await pause(2000);
  const withJobs = heapMb();
  printLine(`memory of the service: ${(((withJobs - before) / jobs) * 1024).toFixed(2)} KB per finished job`);
  const all = await startAgents(1000, port);
  const http = new JsonClient(`127.0.0.1:${port}`, 2);
  const machines = (): number =>
    [...open.control.service.controller.shardManager.machines.values()].filter(
      (machine) => machine.confirmedAt > 0,
    ).length;
  while (machines() < 1000) await pause(100);
  printLine(
    `memory of the service and 1,000 agents in one process: ${(((heapMb() - withJobs) * 1024) / 1000).toFixed(1)} KB per agent`,
  );
  await open.close();
  await pause(1000);
  const startedAt = performance.now();
  open = await openControl(settings, ignore, fatal);
  await open.control.start();
  await http.call('POST', '/work', job(1, 50), 5000);
  for (;;) {
    const r = await http.call('POST', '/work', job(1, 50), 5000);
    if (r && r.status < 300) break;
    await pause(20);
  }
  printLine(
    `restart: first submission accepted ${((performance.now() - startedAt) / 1000).toFixed(2)} s after its start`,
  );
  const { shardState } = open.control.service.controller.shardManager;
  while (shardState.placementCount === 0) await pause(10);
  printLine(
    `restart: first placement ${((performance.now() - startedAt) / 1000).toFixed(2)} s after its start`,
  );
  while (machines() < 1000) await pause(20);
  printLine(
    `restart: all 1,000 agents reported ${((performance.now() - startedAt) / 1000).toFixed(2)} s after its start`,
  );
  for (const a of all) a.stop();
  await open.close();
}

/** Throughput of a batch of 10,000 short tasks, with the control service killed at a fixed interval if one is given. */
async function measureBatch(killEveryS: number | null): Promise<void> {
  const port = await findFreePort();
  const path = join(directory, 'control.scm');
  writeFileSync(path, controlText(port));
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
  const log = openSync(join(directory, 'control.log'), 'a');
  const start = (): ChildProcess =>
    spawn(process.execPath, [main, 'control', path], { stdio: ['ignore', log, log] });
  let control = start();
  const all = await startAgents(200, port);
  const http = new JsonClient(`127.0.0.1:${port}`, 2);
  const firstJob = async (): Promise<{ done: number; status: string; failed: number } | null> => {
    const r = await http.call('GET', '/work?limit=1', null, 2000);
    return r?.status === 200
      ? (r.body as { jobs: { done: number; status: string; failed: number }[] }).jobs[0]
      : null;
  };
  await pause(6000);
  const startedAt = performance.now();
  for (;;) {
    const r = await http.call('POST', '/work', job(7, 10_000), 5000);
    if (r && r.status < 300) break;
    await pause(200);
  }
  let kills = 0;
  for (;;) {
    await pause(250);
    if (killEveryS !== null && performance.now() - startedAt > (kills + 1) * killEveryS * 1000) {
      kills++;
      control.kill('SIGKILL');
      control = start();
    }
    const s = await firstJob();
    if (s?.status === 'done' || performance.now() - startedAt > 150_000) {
      const tookS = (performance.now() - startedAt) / 1000;
      printLine(
        `10,000 tasks of 1 s on 200 agents of 4 CPUs${killEveryS === null ? '' : `, service killed every ${killEveryS} s (${kills} times)`}: ${s?.status ?? '?'} after ${tookS.toFixed(1)} s, ${(10_000 / tookS).toFixed(0)} tasks per second (800 is the capacity), ${s?.failed ?? '?'} failed`,
      );
      break;
    }
  }
  for (const a of all) a.stop();
  control.kill('SIGKILL');
}

/** Parsing, expansion and matching of jobs, compared with the evaluation of every pair of job and machine. */
async function measureMatching(): Promise<void> {
  const { Submission } = await import('../src/condor/index.js');
  const { ClassAdMatcher } = await import('../src/matching/index.js');
  const { evaluate, parseAd, parseExpr } = await import('../src/classad/index.js');
  const timeMs = (f: () => void): number => {
    const startedAt = performance.now();
    f();
    return performance.now() - startedAt;
  };
  const text =
    'TARGET.Memory >= MY.RequestMemory && OpSys == "LINUX" && (Site == "a" || HasScanner) && Cpus > 1';
  const parse = timeMs(() => {
    for (let i = 0; i < 10_000; i++) parseExpr(text);
  });
  printLine(
    `parse: ${(10_000 / (parse / 1000)).toFixed(0)} expressions of ${text.length} characters per second`,
  );
  const context = {
    cwd: '/',
    env: {},
    user: 'u',
    nowS: 0,
    random: () => 0,
    read: () => null,
    glob: () => [],
  };
  let jobs = 0;
  const file = `executable = /bin/x\narguments = $(Process)\nrequirements = ${text}\nqueue 100000`;
  const expand = timeMs(() => {
    for (const ad of new Submission(file, 'x.sub', context).jobs()) if (ad.size > 0) jobs++;
  });
  printLine(`expand: ${jobs} jobs of one queue statement in ${(expand / 1000).toFixed(2)} s`);
  const machines = Array.from({ length: 1000 }, (_, i) => ({
    Name: `m${i}`,
    OpSys: 'LINUX',
    Cpus: 4,
    Memory: 1024 * (1 + (i % 10)),
    Site: i % 2 === 0 ? 'a' : 'b',
    HasScanner: i % 5 === 0,
  }));
  const specs = Array.from({ length: 10_000 }, (_, i) => ({
    requirements: text,
    rank: 'Memory',
    attributes: { RequestMemory: String(100 + i) },
  }));
  const matcher = new ClassAdMatcher();
  machines.forEach((m) => matcher.setAttributes(m.Name, m));
  let found = 0;
  const clustered = timeMs(() => {
    for (const s of specs) {
      const compiled = matcher.matchFor({ match: s } as never)!;
      for (const m of machines) if (compiled.allows(m.Name)) found++;
    }
  });
  const share = 100;
  const ads = machines.map((m) =>
    parseAd(
      Object.entries(m)
        .map(([k, x]) => `${k} = ${JSON.stringify(x)}`)
        .join('\n'),
    ),
  );
  let naiveFound = 0;
  const naive = timeMs(() => {
    for (let i = 0; i < specs.length; i += share) {
      const my = parseAd(`RequestMemory = ${specs[i].attributes.RequestMemory}`);
      const e = parseExpr(text);
      for (const ad of ads) if (evaluate(e, my, ad) === true) naiveFound++;
    }
  });
  let sampled = 0;
  for (let i = 0; i < specs.length; i += share) {
    const one = matcher.matchFor({ match: specs[i] } as never)!;
    for (const m of machines) if (one.allows(m.Name)) sampled++;
  }
  printLine(
    `match: 10,000 clusters against 1,000 machines of 10 kinds: ${(clustered / 1000).toFixed(2)} s, ${matcher.evaluations} evaluations, ${found} matches`,
  );
  printLine(
    `every pair evaluated: one cluster in ${share}, ${(naive / 1000).toFixed(2)} s, so ${((naive * share) / 1000).toFixed(0)} s estimated for all; same matches: ${sampled === naiveFound}`,
  );
}

const measurements: Record<string, () => Promise<void>> = {
  store: measureStore,
  match: measureMatching,
  flood: async () => (await import('./measure-flood.js')).measureFlood(printLine),
  loss: async () => (await import('./measure-loss.js')).measureLoss(printLine),
  writes: async () => (await import('./measure-writes.js')).measureWrites(printLine),
  levels: async () => (await import('./measure-levels.js')).measureLevels(printLine),
  restart: measureRestart,
  batch: () => measureBatch(null),
  kills: () => measureBatch(5),
};
const requested = process.argv[2] ?? '';
if (!Object.hasOwn(measurements, requested)) {
  printLine(`measure: unknown or missing name, expected one of ${Object.keys(measurements).join(', ')}`);
  process.exit(1);
}
await measurements[requested]();
rmSync(directory, { recursive: true, force: true, maxRetries: 5 });
process.exit(0);
