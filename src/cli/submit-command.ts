/** The command `dapplepick submit`: submits a job, described by a file or by a command and options. */
import { readFileSync } from 'node:fs';
import { jobPath, defaultSubmission } from '../wire/user.js';
import { ApiClient, type JobSummary } from './api-client.js';
import type { AddCommand, CommonOptions } from './client-command.js';
import { exitCodes, type Fail } from './exit.js';
import { followJob } from './follow-job.js';
import { newJobId } from './job-id.js';
import { printJson, printLine } from './output.js';

interface SubmitOptions extends CommonOptions {
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

/** Builds the submission of a command given on the command line with its options. */
function submissionFromOptions(command: string[], options: SubmitOptions, fail: Fail): object {
  const number = (name: string, text: string): number => {
    const value = Number(text);
    if (!Number.isFinite(value) || value < 0) fail(`--${name}: must be a number, got ${text}`);
    return value;
  };
  const env: Record<string, string> = {};
  for (const entry of options.env ?? []) {
    const separator = entry.indexOf('=');
    if (separator <= 0) fail(`--env: expected NAME=VALUE, got ${entry}`);
    env[entry.slice(0, separator)] = entry.slice(separator + 1);
  }
  return {
    ...defaultSubmission,
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

/** Reads a submission as JSON from a file, `-` for standard input, and adds an ID if it has none. */
function readJobFile(file: string, fail: Fail): Record<string, unknown> {
  let job: unknown;
  try {
    job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (error) {
    fail(`${file}: ${String((error as Error).message)}`);
  }
  if (typeof job !== 'object' || job === null || Array.isArray(job)) fail(`${file}: expected a JSON object`);
  return { nameId: newJobId(), ...job };
}

async function submit(file: string | undefined, options: SubmitOptions, fail: Fail): Promise<void> {
  // Commander takes the first word after `--` for the file argument, so the command is read from `process.argv` directly.
  const separator = process.argv.indexOf('--');
  const command = separator >= 0 ? process.argv.slice(separator + 1) : [];
  if (command.length === 0 && file === undefined) fail('submit: expected a file, or -- and a command');
  const client = new ApiClient(options.node, fail);
  const job = command.length > 0 ? submissionFromOptions(command, options, fail) : readJobFile(file!, fail);
  const { nameId } = job as { nameId: string };
  let answer = (await client.requestOk('POST', jobPath, job)) as JobSummary;
  if (options.wait)
    answer = await followJob(client, nameId, options.timeout === undefined ? null : Number(options.timeout));
  const failed = answer.failed ?? 0;
  if (options.json) printJson(answer);
  else if (options.wait) printLine(`${nameId} ${answer.status}${failed > 0 ? `, ${failed} failed` : ''}`);
  else printLine(nameId);
  process.exit(options.wait && (answer.status !== 'done' || failed > 0) ? exitCodes.failed : 0);
}

/** Registers the command. */
export function addSubmitCommand(command: AddCommand, fail: Fail): void {
  command(
    'submit',
    'submit a job from a file, or a command to run',
    'dapplepick submit --tasks 4 --wait -- sh -c "echo $DAPPLEPICK_INDEX"',
  )
    .argument('[file]', 'the job as JSON; - for standard input')
    .argument('[command...]', 'after --: the command that each task runs')
    .option('--wait', 'wait until the job has ended; exit code 3 if it failed or was cancelled')
    .option('--timeout <s>', 'with --wait: give up after this time, with exit code 4')
    .option('--tasks <n>', 'number of tasks', '1')
    .option('--gang', 'run all tasks at the same time')
    .option('--cpus <n>', 'CPUs per task', '1')
    .option('--mem <GB>', 'memory per task; a task that uses more is ended', '0.5')
    .option('--wall <s>', 'run time limit per task')
    .option('--retries <n>', 'how often a failed task is retried', '0')
    .option('--team <name>', 'team whose limits apply', 'default')
    .option('--class <name>', 'class of the job', 'command')
    .option('--urgency <u>', 'production, urgent, normal or low', 'normal')
    .option('--env <NAME=VALUE...>', 'environment variables of the tasks')
    .option('--dir <path>', 'working directory of the tasks')
    .action((file: string | undefined, _command: string[], options: SubmitOptions) =>
      submit(file, options, fail),
    );
}
