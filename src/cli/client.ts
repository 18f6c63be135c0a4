import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { request } from 'node:http';
import type { Command } from 'commander';
import { splitAddr } from '../config/settings.js';
import { JsonClient, type JsonResponse } from '../net/client.js';
import { jobPath, plainSubmission, withdrawEnd } from '../wire/user.js';

const requestTimeoutMs = 5000;
/** Exit codes that scripts can use. */
export const exitCodes = { refused: 2, failed: 3, timedOut: 4 };

type Fail = (message: string) => never;

interface JobSummary {
  nameId: string;
  status: string;
  pieces?: number;
  done?: number;
  running?: number;
  failed?: number;
}

interface TaskSummary {
  index: number;
  state: string;
  host?: string;
  last?: {
    attempt: number;
    host: string;
    exit: number | null;
    signal: string | null;
    reason: string;
    startedAt: number;
    endedAt: number;
  };
}

export class ApiClient {
  private readonly http: JsonClient;

  constructor(
    private readonly node: string,
    private readonly fail: Fail,
  ) {
    if (!/^[^:]+:\d+$/.test(node)) fail(`--node: expected HOST:PORT, got ${node}`);
    this.http = new JsonClient(node, 1);
  }

  async request(method: string, path: string, body: object | null): Promise<JsonResponse> {
    const response = await this.http.call(method, path, body, requestTimeoutMs);
    if (response === null) this.fail(`no answer from ${this.node}`);
    return response;
  }

  /** As `ask`, but what is not 2xx ends the program, with the reason. */
  async requestOk(method: string, path: string, body: object | null): Promise<unknown> {
    const response = await this.request(method, path, body);
    if (response.status < 300) return response.body;
    const reason = (response.body as { error?: string } | null)?.error ?? JSON.stringify(response.body);
    process.stderr.write(`dapplepick: ${response.status}: ${reason}\n`);
    process.exit(exitCodes.refused);
  }

  /** Copies what comes to standard output. */
  streamToStdout(path: string): Promise<void> {
    const { host, port } = splitAddr(this.node);
    return new Promise((resolve) => {
      const req = request({ host, port, path, agent: false }, (res) => {
        const ok = res.statusCode === 200;
        res.pipe(ok ? process.stdout : process.stderr, { end: false });
        res.on('end', () => (ok ? resolve() : process.exit(exitCodes.refused)));
      });
      req.on('error', (e) => this.fail(`no answer from ${this.node}: ${e.message}`));
      req.end();
    });
  }
}

export const printLine = (text: string): void => void process.stdout.write(`${text}\n`);
const printJson = (value: unknown): void => printLine(JSON.stringify(value));

/** Columns as wide as what is in them. */
function printTable(head: string[], rows: string[][]): void {
  const widths = head.map((h, i) => Math.max(h.length, ...rows.map((r) => r[i].length)));
  for (const r of [head, ...rows])
    printLine(
      r
        .map((x, i) => x.padEnd(widths[i]))
        .join('  ')
        .trimEnd(),
    );
}

const seconds = (ms: number): string => `${(ms / 1000).toFixed(1)} s`;

function describeResult(task: TaskSummary): string {
  const result = task.last;
  if (!result) return '';
  const end = result.signal ?? (result.exit === null ? '' : `exit ${result.exit}`);
  return result.reason === 'exited' ? end : [result.reason, end].filter((x) => x !== '').join(', ');
}

/** Shows how a job goes until it is over: a bar on a terminal, a line for each change elsewhere. */
async function followJob(client: ApiClient, id: string, timeoutS: number | null): Promise<JobSummary> {
  const { SingleBar, Presets } = (await import('cli-progress')).default;
  const bar = process.stderr.isTTY
    ? new SingleBar(
        { format: '{bar} {value}/{total} done, {running} running, {failed} failed' },
        Presets.shades_classic,
      )
    : null;
  const deadline = timeoutS === null ? Infinity : Date.now() + timeoutS * 1000;
  let lastLine = '';
  let started = false;
  for (;;) {
    const response = await client.request('GET', `${jobPath}/${id}/tasks`, null);
    if (response.status === 200) {
      const job = response.body as JobSummary;
      const { pieces = 0, done = 0, running = 0, failed = 0 } = job;
      if (bar && !started) bar.start(pieces, 0, { running, failed });
      started = true;
      bar?.update(done, { running, failed });
      const line = `${id}: ${job.status}, ${done} of ${pieces} done, ${running} running, ${failed} failed`;
      if (!bar && line !== lastLine) process.stderr.write(`${line}\n`);
      lastLine = line;
      if (job.status === 'done' || job.status === 'aborted') {
        bar?.stop();
        return job;
      }
    }
    if (Date.now() > deadline) {
      bar?.stop();
      process.stderr.write(`dapplepick: ${id}: not over after ${timeoutS} s\n`);
      process.exit(exitCodes.timedOut);
    }
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
}

interface SubmitOptions {
  node: string;
  json?: boolean;
  wait?: boolean;
  timeout?: string;
  tasks: string;
  cpus: string;
  mem: string;
  gang?: boolean;
  wall?: string;
  retries: string;
  team: string;
  class: string;
  urgency: string;
  env?: string[];
  dir?: string;
}

/** A job from a command line. */
function submissionFromOptions(command: string[], options: SubmitOptions, fail: Fail): object {
  const number = (name: string, text: string): number => {
    const value = Number(text);
    if (!Number.isFinite(value) || value < 0) fail(`--${name}: must be a number, got ${text}`);
    return value;
  };
  const env: Record<string, string> = {};
  for (const e of options.env ?? []) {
    const separator = e.indexOf('=');
    if (separator <= 0) fail(`--env: expected NAME=VALUE, got ${e}`);
    env[e.slice(0, separator)] = e.slice(separator + 1);
  }
  return {
    ...plainSubmission,
    nameId: newJobId(),
    jobclass: options.class,
    owner: options.team,
    shape: options.gang ? 'ensemble' : 'sweep',
    urgency: options.urgency,
    pieces: number('tasks', options.tasks),
    cpus: number('cpus', options.cpus),
    memGb: number('mem', options.mem),
    command,
    env,
    dir: options.dir ?? null,
    wallS: options.wall === undefined ? null : number('wall', options.wall),
    retries: number('retries', options.retries),
  };
}

export const newJobId = (): string => `req-${randomInt(1e14, 2.8e14)}`;

function readJobFile(file: string, fail: Fail): Record<string, unknown> {
  let job: unknown;
  try {
    job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (e) {
    fail(`${file}: ${String((e as Error).message)}`);
  }
  if (typeof job !== 'object' || job === null || Array.isArray(job)) fail(`${file}: a job is a JSON object`);
  return { nameId: newJobId(), ...job };
}

/** The commands of users and operators. */
export function addClientCommands(program: Command, fail: Fail): void {
  const command = (name: string, what: string, example: string): Command =>
    program
      .command(name)
      .description(what)
      .option('--node <address>', 'a controller or control service, HOST:PORT', '127.0.0.1:8080')
      .option('--json', 'answer as JSON')
      .addHelpText('after', `\nExample:\n  ${example}\n`);

  command(
    'submit',
    'submit a job: a file, or a command to run',
    'dapplepick submit --tasks 4 --wait -- sh -c "echo $DAPPLEPICK_INDEX"',
  )
    .argument('[file]', 'the job as JSON; - for standard input')
    .argument('[command...]', 'behind --: what each task runs')
    .option('--wait', 'until it is over; exit code 3 if it failed or was withdrawn')
    .option('--timeout <s>', 'with --wait: exit code 4 after so long')
    .option('--tasks <n>', 'tasks', '1')
    .option('--gang', 'all tasks at the same time')
    .option('--cpus <n>', 'CPUs of a task', '1')
    .option('--mem <GB>', 'memory of a task; it is ended above', '0.5')
    .option('--wall <s>', 'a task is ended after so long')
    .option('--retries <n>', 'a task that fails is tried again so often', '0')
    .option('--team <name>', 'whose limits count', 'default')
    .option('--class <name>', 'class of the job', 'command')
    .option('--urgency <u>', 'production, urgent, normal or low', 'normal')
    .option('--env <NAME=VALUE...>', 'environment of its tasks')
    .option('--dir <path>', 'where its tasks run')
    .action(async (file: string | undefined, argv: string[], o: SubmitOptions) => {
      // Without a file, what is behind -- begins with it.
      const dashes = process.argv.indexOf('--');
      const words = dashes >= 0 ? process.argv.slice(dashes + 1) : [];
      void argv;
      if (words.length === 0 && file === undefined) fail('submit: a file, or -- and a command');
      const client = new ApiClient(o.node, fail);
      const job = words.length > 0 ? submissionFromOptions(words, o, fail) : readJobFile(file!, fail);
      const { nameId } = job as { nameId: string };
      let answer = (await client.requestOk('POST', jobPath, job)) as JobSummary;
      if (o.wait)
        answer = await followJob(client, nameId, o.timeout === undefined ? null : Number(o.timeout));
      if (o.json) printJson(answer);
      else
        printLine(
          o.wait ? `${nameId} ${answer.status}${answer.failed ? `, ${answer.failed} failed` : ''}` : nameId,
        );
      process.exit(o.wait && (answer.status !== 'done' || (answer.failed ?? 0) > 0) ? exitCodes.failed : 0);
    });

  command('status', 'show a job', 'dapplepick status req-000412 --tasks')
    .argument('<id>')
    .option('--tasks', 'each task: state, machine, how it ended')
    .action(async (id: string, o: { node: string; json?: boolean; tasks?: boolean }) => {
      const client = new ApiClient(o.node, fail);
      const path = o.tasks ? `${jobPath}/${id}/tasks` : `${jobPath}/${id}`;
      const job = (await client.requestOk('GET', path, null)) as JobSummary & { tasks?: TaskSummary[] };
      if (o.json || !o.tasks) printJson(job);
      else {
        printLine(
          `${job.nameId} ${job.status}: ${job.done ?? 0} of ${job.pieces ?? 0} done, ${job.failed ?? 0} failed`,
        );
        const rows = (job.tasks ?? []).map((t) => [
          String(t.index),
          t.state,
          t.last?.host ?? t.host ?? '',
          t.last ? String(t.last.attempt) : '',
          describeResult(t),
          t.last ? seconds(t.last.endedAt - t.last.startedAt) : '',
        ]);
        printTable(['task', 'state', 'machine', 'attempt', 'ended', 'ran'], rows);
      }
      process.exit(0);
    });

  command('list', 'list jobs, newest first', 'dapplepick list --status running')
    .option('--status <s>', 'pending, running, done or aborted')
    .option('--limit <n>', 'so many at most', '20')
    .action(async (o: { node: string; json?: boolean; status?: string; limit: string }) => {
      const q = `limit=${o.limit}${o.status === undefined ? '' : `&status=${o.status}`}`;
      const client = new ApiClient(o.node, fail);
      const { jobs, more } = (await client.requestOk('GET', `${jobPath}?${q}`, null)) as {
        jobs: (JobSummary & { jobclass: string | null; acceptedAt: string })[];
        more: boolean;
      };
      if (o.json) printJson({ jobs, more });
      else {
        const rows = jobs.map((j) => [
          j.nameId,
          j.status,
          `${j.done ?? 0}/${j.pieces ?? 0}`,
          String(j.running ?? 0),
          String(j.failed ?? 0),
          j.jobclass ?? '',
          j.acceptedAt,
        ]);
        printTable(['job', 'status', 'done', 'running', 'failed', 'class', 'accepted'], rows);
        if (more) printLine('(there are more: --limit)');
      }
      process.exit(0);
    });

  command('logs', "show a task's output", 'dapplepick logs req-000412/3 --stderr')
    .argument('<task>', 'JOB/N')
    .option('--stderr', 'standard error instead of standard output')
    .action(async (task: string, o: { node: string; stderr?: boolean }) => {
      const m = /^(.+)\/(\d+)$/.exec(task);
      if (!m) fail(`expected JOB/N, got ${task}`);
      const stream = o.stderr ? 'stderr' : 'stdout';
      await new ApiClient(o.node, fail).streamToStdout(`${jobPath}/${m[1]}/output/${m[2]}?stream=${stream}`);
      process.exit(0);
    });

  command('withdraw', 'cancel a job', 'dapplepick withdraw req-000412')
    .argument('<id>')
    .action(async (id: string, o: { node: string }) => {
      printJson(await new ApiClient(o.node, fail).requestOk('POST', `${jobPath}/${id}/${withdrawEnd}`, {}));
      process.exit(0);
    });

  command('machines', 'list machines', 'dapplepick machines --json').action(
    async (o: { node: string; json?: boolean }) => {
      const { machines } = (await new ApiClient(o.node, fail).requestOk('GET', '/machines', null)) as {
        machines: Record<string, string | number | null | undefined>[];
      };
      if (o.json) printJson({ machines });
      else {
        const text = (x: unknown): string => (x === null || x === undefined ? '' : String(x));
        const columns = [
          'name',
          'host',
          'state',
          'type',
          'zone',
          'cpus',
          'usedCpus',
          'tasks',
          'silentS',
          'held',
        ];
        printTable(
          columns,
          machines.map((m) => columns.map((c) => text(m[c]))),
        );
      }
      process.exit(0);
    },
  );

  const person = (name: string, what: string, description: string): void => {
    command(name, description, `dapplepick ${name} desk-1`)
      .argument('<machine>', 'name of an agent, or of its machine')
      .action(async (machine: string, o: { node: string }) => {
        const path = `/machines/${encodeURIComponent(machine)}/${what}`;
        printJson(await new ApiClient(o.node, fail).requestOk('POST', path, {}));
        process.exit(0);
      });
  };
  person('drain', 'drain', 'have an agent leave once what runs there is over');
  person(
    'forget',
    'forget',
    'say that a machine is gone, with all that ran on it: its tasks are started elsewhere',
  );

  command(
    'snapshot',
    'write a snapshot of the store, while it goes on',
    'dapplepick snapshot --node 127.0.0.1:2379',
  ).action(async (o: { node: string }) => {
    printJson(await new ApiClient(o.node, fail).requestOk('POST', '/snapshot', {}));
    process.exit(0);
  });
}
