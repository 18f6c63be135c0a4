import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HttpClient } from '../net/client.js';
import { freePort } from '../net/port.js';
import { jobPath, plainSubmission } from '../wire/user.js';

const main = fileURLToPath(new URL('../main.js', import.meta.url));
/** A busy machine takes several times as long as an idle one. */
const limitS = 120;
/** How long children get to end in order, ms. */
const leaveMs = 5000;

interface Wanted {
  what: string;
  job: object;
  /** Tasks that fail, as they are meant to. */
  failed: number;
}

const base = { ...plainSubmission, jobclass: 'demo', owner: 'default', expectS: 1 };

const sweep = (pieces: number, script: string, over: object = {}): object => ({
  ...base,
  shape: 'sweep',
  pieces,
  command: ['/bin/sh', '-c', script],
  ...over,
});

const wanted: Wanted[] = [
  {
    what: 'array of six',
    job: sweep(6, 'sleep 0.3; echo "task $DAPPLEPICK_INDEX on $DAPPLEPICK_HOST"'),
    failed: 0,
  },
  { what: 'array of eight', job: sweep(8, 'sleep 0.1; seq 1 $((DAPPLEPICK_INDEX * 10)) | wc -l'), failed: 0 },
  {
    what: 'gang of three',
    job: sweep(3, 'sleep 1; echo together', { shape: 'ensemble' }),
    failed: 0,
  },
  { what: 'one that fails', job: sweep(1, 'echo "cannot go on" >&2; exit 3', { retries: 1 }), failed: 1 },
  {
    what: 'one that hangs',
    job: sweep(1, 'trap "" TERM; while :; do sleep 1; done', { wallS: 2 }),
    failed: 1,
  },
  { what: 'two without a command', job: { ...base, shape: 'sweep', pieces: 2 }, failed: 0 },
];

/** As HTCondor's users have them: it needs what one of the two agents says that it has. */
const submitFile = `
executable   = /bin/sh
arguments    = "-c 'echo page $(Process) is read'"
requirements = TARGET.HasScanner && Memory >= 1024
queue 3
`;

async function fromSubmitFile(): Promise<Wanted> {
  const { here, nativeJob, Submission } = await import('../condor/index.js');
  const s = new Submission(submitFile, 'demo.sub', here());
  const [group] = [...s.groups()];
  return { what: 'a submit file', job: nativeJob(group, 'default', s.file.warnings), failed: 0 };
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const say = (text: string): void => void process.stdout.write(`${text}\n`);

/** Starts a control service and two agents in a fresh directory, has them run a batch, and shows what became of it. */
export async function demo(): Promise<number> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-demo-'));
  const children: ChildProcess[] = [];
  const run = (name: string, args: string[]): void => {
    const log = openSync(join(dir, `${name}.log`), 'a');
    children.push(spawn(process.execPath, [main, ...args], { stdio: ['ignore', log, log] }));
  };
  try {
    const node = `127.0.0.1:${await freePort()}`;
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
    say(`A control service at ${node} and two agents, all in ${dir}`);
    const ok = await batch(new HttpClient(node, 2));
    await endAll(children);
    say(ok ? 'All as it should be.' : `Not as it should be: the logs are in ${dir}`);
    if (ok) rmSync(dir, { recursive: true, force: true });
    return ok ? 0 : 1;
  } finally {
    await endAll(children);
  }
}

/**
 * Ends children and waits until they are gone. Guards against removing a directory while agents still write to it: the demo
 * then ended with ENOTEMPTY.
 */
async function endAll(children: ChildProcess[]): Promise<void> {
  const alive = children.splice(0).filter((c) => c.exitCode === null && c.signalCode === null);
  const ends = Promise.all(alive.map((c) => new Promise((r) => c.once('exit', r))));
  for (const c of alive) c.kill('SIGTERM');
  const late = setTimeout(() => {
    for (const c of alive) c.kill('SIGKILL');
  }, leaveMs);
  await ends;
  clearTimeout(late);
}

async function batch(http: HttpClient): Promise<boolean> {
  const until = Date.now() + limitS * 1000;
  const first = 100000 + (Date.now() % 800000);
  const jobs = [...wanted, await fromSubmitFile()].map((w, i) => ({ ...w, id: `req-${first + i}` }));
  for (const { id, job } of jobs)
    for (;;) {
      const r = await http.call('POST', jobPath, { nameId: id, ...job }, 5000);
      if (r !== null && r.status < 300) break;
      if (Date.now() > until) return false;
      await pause(300);
    }
  say(`${jobs.length} jobs are accepted`);
  let said = '';
  let over = new Map<
    string,
    { status: string; done: number; failed: number; pieces: number; tasks: Task[] }
  >();
  while (over.size < jobs.length && Date.now() < until) {
    over = new Map();
    const parts: string[] = [];
    for (const { id } of jobs) {
      const r = await http.call('GET', `${jobPath}/${id}/tasks`, null, 5000);
      if (r?.status !== 200) continue;
      const job = r.body as { status: string; done: number; failed: number; pieces: number; tasks: Task[] };
      parts.push(`${job.done}/${job.pieces}`);
      if (job.status === 'done') over.set(id, job);
    }
    const line = `  done: ${parts.join('  ')}`;
    if (line !== said) say(line);
    said = line;
    await pause(300);
  }
  let ok = over.size === jobs.length;
  for (const { id, what, failed } of jobs) {
    const job = over.get(id);
    if (!job || job.failed !== failed) ok = false;
    say(`${id}  ${what.padEnd(22)} ${job ? `${job.status}, ${job.failed} failed` : 'not over'}`);
    for (const t of job?.tasks ?? [])
      if (t.last) {
        const { host, attempt, reason, exit, signal, endedAt, startedAt } = t.last;
        const end = signal ?? (exit === null ? '' : `exit ${exit}`);
        say(
          `    ${t.index}: ${t.state} on ${host}, attempt ${attempt}: ${reason} ${end}, ${((endedAt - startedAt) / 1000).toFixed(1)} s`,
        );
      }
  }
  return ok;
}

interface Task {
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
