import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { JsonClient } from '../net/client.js';
import { findFreePort } from '../net/port.js';
import { jobPath, plainSubmission } from '../wire/user.js';

const mainProgram = fileURLToPath(new URL('../main.js', import.meta.url));
/** A busy machine takes several times as long as an idle one. */
const timeoutS = 120;
/** How long children get to end in order, ms. */
const terminationGraceMs = 5000;

interface DemoJob {
  title: string;
  job: object;
  /** Tasks that fail, as they are meant to. */
  failed: number;
}

const baseSubmission = { ...plainSubmission, jobclass: 'demo', owner: 'default', expectS: 1 };

const sweepJob = (pieces: number, script: string, overrides: object = {}): object => ({
  ...baseSubmission,
  shape: 'sweep',
  pieces,
  command: ['/bin/sh', '-c', script],
  ...overrides,
});

const demoJobs: DemoJob[] = [
  {
    title: 'array of six',
    job: sweepJob(6, 'sleep 0.3; echo "task $DAPPLEPICK_INDEX on $DAPPLEPICK_HOST"'),
    failed: 0,
  },
  {
    title: 'array of eight',
    job: sweepJob(8, 'sleep 0.1; seq 1 $((DAPPLEPICK_INDEX * 10)) | wc -l'),
    failed: 0,
  },
  {
    title: 'gang of three',
    job: sweepJob(3, 'sleep 1; echo together', { shape: 'ensemble' }),
    failed: 0,
  },
  { title: 'one that fails', job: sweepJob(1, 'echo "cannot go on" >&2; exit 3', { retries: 1 }), failed: 1 },
  {
    title: 'one that hangs',
    job: sweepJob(1, 'trap "" TERM; while :; do sleep 1; done', { wallS: 2 }),
    failed: 1,
  },
  { title: 'two without a command', job: { ...baseSubmission, shape: 'sweep', pieces: 2 }, failed: 0 },
];

/** As HTCondor's users have them: it needs what one of the two agents says that it has. */
const submitFile = `
executable   = /bin/sh
arguments    = "-c 'echo page $(Process) is read'"
requirements = TARGET.HasScanner && Memory >= 1024
queue 3
`;

async function submitFileJob(): Promise<DemoJob> {
  const { submitHost, nativeSubmission, Submission } = await import('../condor/index.js');
  const submission = new Submission(submitFile, 'demo.sub', submitHost());
  const [group] = [...submission.groups()];
  return {
    title: 'a submit file',
    job: nativeSubmission(group, 'default', submission.file.warnings),
    failed: 0,
  };
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

/** Starts a control service and two agents in a fresh directory, has them run a batch, and shows what became of it. */
export async function demo(): Promise<number> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-demo-'));
  const children: ChildProcess[] = [];
  const run = (name: string, args: string[]): void => {
    const log = openSync(join(dir, `${name}.log`), 'a');
    children.push(spawn(process.execPath, [mainProgram, ...args], { stdio: ['ignore', log, log] }));
  };
  try {
    const node = `127.0.0.1:${await findFreePort()}`;
    const settings = (name: string, text: string): string => {
      const path = join(dir, `${name}.scm`);
      writeFileSync(path, text);
      return path;
    };
    run('control', [
      'control',
      settings(
        'control',
        `(control (listen "${node}") (directory "${join(dir, 'store')}") (report-s 0.5) (lease-s 20) (matching true) (class demo (sleep-s 1)))`,
      ),
    ]);
    for (const name of ['desk-1', 'desk-2'])
      run(name, [
        'agent',
        'run',
        settings(
          name,
          `(agent (name ${name}) (control "${node}") (directory "${join(dir, name)}") (type desk) (cpus 4) (mem-gb 2) (grace-s 1) (attribute HasScanner ${name === 'desk-2'}))`,
        ),
      ]);
    printLine(`A control service at ${node} and two agents, all in ${dir}`);
    const succeeded = await runBatch(new JsonClient(node, 2));
    await terminateAll(children);
    printLine(succeeded ? 'All as it should be.' : `Not as it should be: the logs are in ${dir}`);
    if (succeeded) rmSync(dir, { recursive: true, force: true });
    return succeeded ? 0 : 1;
  } finally {
    await terminateAll(children);
  }
}

/**
 * Ends children and waits until they are gone. Guards against removing a directory while agents still write to it: the demo
 * then ended with ENOTEMPTY.
 */
async function terminateAll(children: ChildProcess[]): Promise<void> {
  const alive = children.splice(0).filter((c) => c.exitCode === null && c.signalCode === null);
  const ends = Promise.all(alive.map((c) => new Promise((r) => c.once('exit', r))));
  for (const c of alive) c.kill('SIGTERM');
  const killTimer = setTimeout(() => {
    for (const c of alive) c.kill('SIGKILL');
  }, terminationGraceMs);
  await ends;
  clearTimeout(killTimer);
}

async function runBatch(http: JsonClient): Promise<boolean> {
  const deadline = Date.now() + timeoutS * 1000;
  const firstId = 100000 + (Date.now() % 800000);
  const jobs = [...demoJobs, await submitFileJob()].map((w, i) => ({ ...w, id: `req-${firstId + i}` }));
  for (const { id, job } of jobs)
    for (;;) {
      const response = await http.call('POST', jobPath, { nameId: id, ...job }, 5000);
      if (response !== null && response.status < 300) break;
      if (Date.now() > deadline) return false;
      await pause(300);
    }
  printLine(`${jobs.length} jobs are accepted`);
  let lastLine = '';
  let finished = new Map<
    string,
    { status: string; done: number; failed: number; pieces: number; tasks: DemoTask[] }
  >();
  while (finished.size < jobs.length && Date.now() < deadline) {
    finished = new Map();
    const progress: string[] = [];
    for (const { id } of jobs) {
      const r = await http.call('GET', `${jobPath}/${id}/tasks`, null, 5000);
      if (r?.status !== 200) continue;
      const job = r.body as {
        status: string;
        done: number;
        failed: number;
        pieces: number;
        tasks: DemoTask[];
      };
      progress.push(`${job.done}/${job.pieces}`);
      if (job.status === 'done') finished.set(id, job);
    }
    const line = `  done: ${progress.join('  ')}`;
    if (line !== lastLine) printLine(line);
    lastLine = line;
    await pause(300);
  }
  let succeeded = finished.size === jobs.length;
  for (const { id, title: what, failed } of jobs) {
    const job = finished.get(id);
    if (!job || job.failed !== failed) succeeded = false;
    printLine(`${id}  ${what.padEnd(22)} ${job ? `${job.status}, ${job.failed} failed` : 'not over'}`);
    for (const t of job?.tasks ?? [])
      if (t.last) {
        const { host, attempt, reason, exit, signal, endedAt, startedAt } = t.last;
        const end = signal ?? (exit === null ? '' : `exit ${exit}`);
        printLine(
          `    ${t.index}: ${t.state} on ${host}, attempt ${attempt}: ${reason} ${end}, ${((endedAt - startedAt) / 1000).toFixed(1)} s`,
        );
      }
  }
  return succeeded;
}

interface DemoTask {
  index: number;
  state: string;
  last?: {
    host: string;
    attempt: number;
    reason: string;
    exit: number | null;
    signal: string | null;
    startedAt: number;
    endedAt: number;
  };
}
