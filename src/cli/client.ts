import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { request } from 'node:http';
import type { Command } from 'commander';
import { splitAddr } from '../config/settings.js';
import { HttpClient, type Reply } from '../net/client.js';
import { jobPath, plainSubmission, withdrawEnd } from '../wire/user.js';

const timeoutMs = 5000;
/** Exit codes that scripts can use. */
export const exits = { refused: 2, failed: 3, notInTime: 4 };

type Fail = (message: string) => never;

interface Shown {
  nameId: string;
  status: string;
  pieces?: number;
  done?: number;
  running?: number;
  failed?: number;
}

interface ShownTask {
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

export class Client {
  private readonly http: HttpClient;

  constructor(
    private readonly node: string,
    private readonly fail: Fail,
  ) {
    if (!/^[^:]+:\d+$/.test(node)) fail(`--node: expected HOST:PORT, got ${node}`);
    this.http = new HttpClient(node, 1);
  }

  async ask(method: string, path: string, body: object | null): Promise<Reply> {
    const r = await this.http.call(method, path, body, timeoutMs);
    if (r === null) this.fail(`no answer from ${this.node}`);
    return r;
  }

  /** As `ask`, but what is not 2xx ends the program, with the reason. */
  async need(method: string, path: string, body: object | null): Promise<unknown> {
    const r = await this.ask(method, path, body);
    if (r.status < 300) return r.body;
    const why = (r.body as { error?: string } | null)?.error ?? JSON.stringify(r.body);
    process.stderr.write(`dapplepick: ${r.status}: ${why}\n`);
    process.exit(exits.refused);
  }

  /** Copies what comes to standard output. */
  copy(path: string): Promise<void> {
    const { host, port } = splitAddr(this.node);
    return new Promise((resolve) => {
      const req = request({ host, port, path, agent: false }, (res) => {
        const ok = res.statusCode === 200;
        res.pipe(ok ? process.stdout : process.stderr, { end: false });
        res.on('end', () => (ok ? resolve() : process.exit(exits.refused)));
      });
      req.on('error', (e) => this.fail(`no answer from ${this.node}: ${e.message}`));
      req.end();
    });
  }
}

export const say = (text: string): void => void process.stdout.write(`${text}\n`);
const json = (value: unknown): void => say(JSON.stringify(value));

/** Columns as wide as what is in them. */
function table(head: string[], rows: string[][]): void {
  const wide = head.map((h, i) => Math.max(h.length, ...rows.map((r) => r[i].length)));
  for (const r of [head, ...rows])
    say(
      r
        .map((x, i) => x.padEnd(wide[i]))
        .join('  ')
        .trimEnd(),
    );
}

const seconds = (ms: number): string => `${(ms / 1000).toFixed(1)} s`;

function how(t: ShownTask): string {
  const r = t.last;
  if (!r) return '';
  const end = r.signal ?? (r.exit === null ? '' : `exit ${r.exit}`);
  return r.reason === 'exited' ? end : [r.reason, end].filter((x) => x !== '').join(', ');
}

/** Shows how a job goes until it is over: a bar on a terminal, a line for each change elsewhere. */
async function follow(client: Client, id: string, limitS: number | null): Promise<Shown> {
  const { SingleBar, Presets } = (await import('cli-progress')).default;
  const bar = process.stderr.isTTY
    ? new SingleBar(
        { format: '{bar} {value}/{total} done, {running} running, {failed} failed' },
        Presets.shades_classic,
      )
    : null;
  const until = limitS === null ? Infinity : Date.now() + limitS * 1000;
  let said = '';
  let started = false;
  for (;;) {
    const r = await client.ask('GET', `${jobPath}/${id}/tasks`, null);
    if (r.status === 200) {
      const job = r.body as Shown;
      const { pieces = 0, done = 0, running = 0, failed = 0 } = job;
      if (bar && !started) bar.start(pieces, 0, { running, failed });
      started = true;
      bar?.update(done, { running, failed });
      const line = `${id}: ${job.status}, ${done} of ${pieces} done, ${running} running, ${failed} failed`;
      if (!bar && line !== said) process.stderr.write(`${line}\n`);
      said = line;
      if (job.status === 'done' || job.status === 'aborted') {
        bar?.stop();
        return job;
      }
    }
    if (Date.now() > until) {
      bar?.stop();
      process.stderr.write(`dapplepick: ${id}: not over after ${limitS} s\n`);
      process.exit(exits.notInTime);
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
function jobOf(command: string[], o: SubmitOptions, fail: Fail): object {
  const number = (name: string, text: string): number => {
    const n = Number(text);
    if (!Number.isFinite(n) || n < 0) fail(`--${name}: must be a number, got ${text}`);
    return n;
  };
  const env: Record<string, string> = {};
  for (const e of o.env ?? []) {
    const at = e.indexOf('=');
    if (at <= 0) fail(`--env: expected NAME=VALUE, got ${e}`);
    env[e.slice(0, at)] = e.slice(at + 1);
  }
  return {
    ...plainSubmission,
    nameId: newId(),
    jobclass: o.class,
    owner: o.team,
    shape: o.gang ? 'ensemble' : 'sweep',
    urgency: o.urgency,
    pieces: number('tasks', o.tasks),
    cpus: number('cpus', o.cpus),
    memGb: number('mem', o.mem),
    command,
    env,
    dir: o.dir ?? null,
    wallS: o.wall === undefined ? null : number('wall', o.wall),
    retries: number('retries', o.retries),
  };
}

export const newId = (): string => `req-${randomInt(1e14, 2.8e14)}`;

function jobFrom(file: string, fail: Fail): Record<string, unknown> {
  let job: unknown;
  try {
    job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (e) {
    fail(`${file}: ${String((e as Error).message)}`);
  }
  if (typeof job !== 'object' || job === null || Array.isArray(job)) fail(`${file}: a job is a JSON object`);
  return { nameId: newId(), ...job };
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
      const client = new Client(o.node, fail);
      const job = words.length > 0 ? jobOf(words, o, fail) : jobFrom(file!, fail);
      const { nameId } = job as { nameId: string };
      let answer = (await client.need('POST', jobPath, job)) as Shown;
      if (o.wait) answer = await follow(client, nameId, o.timeout === undefined ? null : Number(o.timeout));
      if (o.json) json(answer);
      else
        say(
          o.wait ? `${nameId} ${answer.status}${answer.failed ? `, ${answer.failed} failed` : ''}` : nameId,
        );
      process.exit(o.wait && (answer.status !== 'done' || (answer.failed ?? 0) > 0) ? exits.failed : 0);
    });

  command('status', 'show a job', 'dapplepick status req-000412 --tasks')
    .argument('<id>')
    .option('--tasks', 'each task: state, machine, how it ended')
    .action(async (id: string, o: { node: string; json?: boolean; tasks?: boolean }) => {
      const client = new Client(o.node, fail);
      const path = o.tasks ? `${jobPath}/${id}/tasks` : `${jobPath}/${id}`;
      const job = (await client.need('GET', path, null)) as Shown & { tasks?: ShownTask[] };
      if (o.json || !o.tasks) json(job);
      else {
        say(
          `${job.nameId} ${job.status}: ${job.done ?? 0} of ${job.pieces ?? 0} done, ${job.failed ?? 0} failed`,
        );
        const rows = (job.tasks ?? []).map((t) => [
          String(t.index),
          t.state,
          t.last?.host ?? t.host ?? '',
          t.last ? String(t.last.attempt) : '',
          how(t),
          t.last ? seconds(t.last.endedAt - t.last.startedAt) : '',
        ]);
        table(['task', 'state', 'machine', 'attempt', 'ended', 'ran'], rows);
      }
      process.exit(0);
    });

  command('list', 'list jobs, newest first', 'dapplepick list --status running')
    .option('--status <s>', 'pending, running, done or aborted')
    .option('--limit <n>', 'so many at most', '20')
    .action(async (o: { node: string; json?: boolean; status?: string; limit: string }) => {
      const q = `limit=${o.limit}${o.status === undefined ? '' : `&status=${o.status}`}`;
      const client = new Client(o.node, fail);
      const { jobs, more } = (await client.need('GET', `${jobPath}?${q}`, null)) as {
        jobs: (Shown & { jobclass: string | null; acceptedAt: string })[];
        more: boolean;
      };
      if (o.json) json({ jobs, more });
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
        table(['job', 'status', 'done', 'running', 'failed', 'class', 'accepted'], rows);
        if (more) say('(there are more: --limit)');
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
      await new Client(o.node, fail).copy(`${jobPath}/${m[1]}/output/${m[2]}?stream=${stream}`);
      process.exit(0);
    });

  command('withdraw', 'cancel a job', 'dapplepick withdraw req-000412')
    .argument('<id>')
    .action(async (id: string, o: { node: string }) => {
      json(await new Client(o.node, fail).need('POST', `${jobPath}/${id}/${withdrawEnd}`, {}));
      process.exit(0);
    });

  command('machines', 'list machines', 'dapplepick machines --json').action(
    async (o: { node: string; json?: boolean }) => {
      const { machines } = (await new Client(o.node, fail).need('GET', '/machines', null)) as {
        machines: Record<string, string | number | null | undefined>[];
      };
      if (o.json) json({ machines });
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
        table(
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
        json(await new Client(o.node, fail).need('POST', path, {}));
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
    json(await new Client(o.node, fail).need('POST', '/snapshot', {}));
    process.exit(0);
  });
}
