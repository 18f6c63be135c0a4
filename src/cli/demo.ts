/** The command `dapplepick demo`: runs a control service, two agents and a batch of jobs in a temporary directory. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { JsonClient } from '../net/client.js';
import { findFreePort } from '../net/port.js';
import { jobPath, defaultSubmission } from '../wire/user.js';
import { describeEnd, type JobSummary, type TaskSummary } from './api-client.js';
import { formatSeconds, printLine } from './output.js';

const mainProgram = fileURLToPath(new URL('../main.js', import.meta.url));
/** Long enough for a busy machine, which needs several times as long as an idle one. */
const timeoutS = 120;
const pollIntervalMs = 300;
const requestTimeoutMs = 5000;
/** How long the child processes may take to exit after SIGTERM before they are killed. */
const terminationGraceMs = 5000;

/** A job of the demo. */
interface DemoJob {
  readonly title: string;
  /** Its submission, without an ID. */
  readonly job: object;
  /** How many of its tasks are expected to fail. */
  readonly failed: number;
}

const baseSubmission = { ...defaultSubmission, jobclass: 'demo', owner: 'default', expectS: 1 };

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

/** An HTCondor submit file. Only one of the two agents has the required attribute. */
const submitFile = `
executable   = /bin/sh
arguments    = "-c 'echo page $(Process) is read'"
requirements = TARGET.HasScanner && Memory >= 1024
queue 3
`;

async function submitFileJob(): Promise<DemoJob> {
  const { localSubmitEnvironment, nativeSubmission, Submission } = await import('../condor/index.js');
  const submission = new Submission(submitFile, 'demo.sub', localSubmitEnvironment());
  const [group] = [...submission.groups()];
  return {
    title: 'a submit file',
    job: nativeSubmission(group, 'default', submission.file.warnings),
    failed: 0,
  };
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Runs the demo and returns the exit code of the program. */
export async function demo(): Promise<number> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-demo-'));
  const children: ChildProcess[] = [];
  const run = (name: string, args: string[]): void => {
    const log = openSync(join(dir, `${name}.log`), 'a');
    children.push(spawn(process.execPath, [mainProgram, ...args], { stdio: ['ignore', log, log] }));
    closeSync(log);
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
    printLine(succeeded ? 'All jobs ended as expected.' : `Unexpected results: the logs are in ${dir}`);
    if (succeeded) rmSync(dir, { recursive: true, force: true });
    return succeeded ? 0 : 1;
  } finally {
    await terminateAll(children);
  }
}

/** Terminates the child processes and waits for them: running agents would still write to the directory that is removed next. */
async function terminateAll(children: ChildProcess[]): Promise<void> {
  const alive = children.splice(0).filter((child) => child.exitCode === null && child.signalCode === null);
  const ends = Promise.all(alive.map((child) => new Promise((resolve) => child.once('exit', resolve))));
  for (const child of alive) child.kill('SIGTERM');
  const killTimer = setTimeout(() => {
    for (const child of alive) child.kill('SIGKILL');
  }, terminationGraceMs);
  await ends;
  clearTimeout(killTimer);
}

/** A demo job with the ID under which it is submitted. */
interface SubmittedJob extends DemoJob {
  readonly id: string;
}

type FinishedJob = JobSummary & { tasks: TaskSummary[] };

/** Submits the demo jobs, waits until they have ended, and prints their results. Returns whether all ended as expected. */
async function runBatch(client: JsonClient): Promise<boolean> {
  const deadline = Date.now() + timeoutS * 1000;
  const firstId = 100000 + (Date.now() % 800000);
  const jobs = [...demoJobs, await submitFileJob()].map((job, i) => ({ ...job, id: `req-${firstId + i}` }));
  for (const job of jobs) if (!(await submitJob(client, job, deadline))) return false;
  printLine(`${jobs.length} jobs accepted`);
  const finished = await awaitJobs(client, jobs, deadline);
  return printResults(jobs, finished);
}

/** Retries a submission until it is accepted; returns false if the deadline passes before that. */
async function submitJob(client: JsonClient, { id, job }: SubmittedJob, deadline: number): Promise<boolean> {
  for (;;) {
    const response = await client.call('POST', jobPath, { nameId: id, ...job }, requestTimeoutMs);
    if (response !== null && response.status < 300) return true;
    if (Date.now() > deadline) return false;
    await pause(pollIntervalMs);
  }
}

/** Waits until all jobs have ended or the deadline has passed. Returns the jobs that have ended, by ID. */
async function awaitJobs(
  client: JsonClient,
  jobs: readonly SubmittedJob[],
  deadline: number,
): Promise<Map<string, FinishedJob>> {
  let lastLine = '';
  let finished = new Map<string, FinishedJob>();
  while (finished.size < jobs.length && Date.now() < deadline) {
    finished = new Map();
    const progress: string[] = [];
    for (const { id } of jobs) {
      const response = await client.call('GET', `${jobPath}/${id}/tasks`, null, requestTimeoutMs);
      if (response?.status !== 200) continue;
      const job = response.body as FinishedJob;
      progress.push(`${job.done}/${job.pieces}`);
      if (job.status === 'done') finished.set(id, job);
    }
    const line = `  done: ${progress.join('  ')}`;
    if (line !== lastLine) printLine(line);
    lastLine = line;
    await pause(pollIntervalMs);
  }
  return finished;
}

/** Prints each job with its tasks. Returns whether all jobs have ended with the expected number of failed tasks. */
function printResults(jobs: readonly SubmittedJob[], finished: ReadonlyMap<string, FinishedJob>): boolean {
  let succeeded = finished.size === jobs.length;
  for (const { id, title, failed } of jobs) {
    const job = finished.get(id);
    if (!job || job.failed !== failed) succeeded = false;
    printLine(`${id}  ${title.padEnd(22)} ${job ? `${job.status}, ${job.failed} failed` : 'not finished'}`);
    for (const { index, state, last } of job?.tasks ?? [])
      if (last) {
        const { host, attempt, reason, endedAt, startedAt } = last;
        const ran = formatSeconds(endedAt - startedAt);
        printLine(
          `    ${index}: ${state} on ${host}, attempt ${attempt}: ${reason} ${describeEnd(last)}, ${ran}`,
        );
      }
  }
  return succeeded;
}
