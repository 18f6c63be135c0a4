/** The commands for jobs and tasks: `status`, `list`, `logs` and `withdraw`. */
import { jobPath, cancelSuffix } from '../wire/user.js';
import { ApiClient, describeEnd, type JobSummary, type TaskSummary } from './api-client.js';
import type { AddCommand, CommonOptions } from './client-command.js';
import type { Fail } from './exit.js';
import { formatSeconds, printJson, printLine, printTable } from './output.js';

function describeResult(task: TaskSummary): string {
  if (!task.last) return '';
  const end = describeEnd(task.last);
  const { reason } = task.last;
  return reason === 'exited' ? end : [reason, end].filter((text) => text !== '').join(', ');
}

function printTasks(tasks: readonly TaskSummary[]): void {
  const rows = tasks.map((task) => [
    String(task.index),
    task.state,
    task.last?.host ?? task.host ?? '',
    task.last ? String(task.last.attempt) : '',
    describeResult(task),
    task.last ? formatSeconds(task.last.endedAt - task.last.startedAt) : '',
  ]);
  printTable(['task', 'state', 'machine', 'attempt', 'ended', 'ran'], rows);
}

interface StatusOptions extends CommonOptions {
  tasks?: boolean;
}

async function showStatus(id: string, options: StatusOptions, fail: Fail): Promise<void> {
  const client = new ApiClient(options.node, fail);
  const path = options.tasks ? `${jobPath}/${id}/tasks` : `${jobPath}/${id}`;
  const job = (await client.requestOk('GET', path, null)) as JobSummary & { tasks?: TaskSummary[] };
  if (options.json || !options.tasks) printJson(job);
  else {
    const { nameId, status, done = 0, pieces = 0, failed = 0 } = job;
    printLine(`${nameId} ${status}: ${done} of ${pieces} done, ${failed} failed`);
    printTasks(job.tasks ?? []);
  }
  process.exit(0);
}

interface ListOptions extends CommonOptions {
  status?: string;
  limit: string;
}

interface JobList {
  jobs: (JobSummary & { jobclass: string | null; acceptedAt: string })[];
  more: boolean;
}

async function listJobs(options: ListOptions, fail: Fail): Promise<void> {
  const query = `limit=${options.limit}${options.status === undefined ? '' : `&status=${options.status}`}`;
  const client = new ApiClient(options.node, fail);
  const { jobs, more } = (await client.requestOk('GET', `${jobPath}?${query}`, null)) as JobList;
  if (options.json) printJson({ jobs, more });
  else {
    const rows = jobs.map((job) => [
      job.nameId,
      job.status,
      `${job.done ?? 0}/${job.pieces ?? 0}`,
      String(job.running ?? 0),
      String(job.failed ?? 0),
      job.jobclass ?? '',
      job.acceptedAt,
    ]);
    printTable(['job', 'status', 'done', 'running', 'failed', 'class', 'accepted'], rows);
    if (more) printLine('(more jobs exist: raise --limit to list them)');
  }
  process.exit(0);
}

interface LogsOptions extends CommonOptions {
  stderr?: boolean;
}

async function showLogs(task: string, options: LogsOptions, fail: Fail): Promise<void> {
  const parts = /^(.+)\/(\d+)$/.exec(task);
  if (!parts) fail(`expected JOB/N, got ${task}`);
  const stream = options.stderr ? 'stderr' : 'stdout';
  const client = new ApiClient(options.node, fail);
  await client.streamToStdout(`${jobPath}/${parts[1]}/output/${parts[2]}?stream=${stream}`);
  process.exit(0);
}

async function cancelJob(id: string, options: CommonOptions, fail: Fail): Promise<void> {
  const client = new ApiClient(options.node, fail);
  printJson(await client.requestOk('POST', `${jobPath}/${id}/${cancelSuffix}`, {}));
  process.exit(0);
}

/** Registers the commands for jobs. */
export function addJobCommands(command: AddCommand, fail: Fail): void {
  command('status', 'show a job', 'dapplepick status req-000412 --tasks')
    .argument('<id>')
    .option('--tasks', 'show the state, machine and result of each task')
    .action((id: string, options: StatusOptions) => showStatus(id, options, fail));
  command('list', 'list jobs, newest first', 'dapplepick list --status running')
    .option('--status <s>', 'only jobs with this status: pending, running, done or aborted')
    .option('--limit <n>', 'maximum number of jobs', '20')
    .action((options: ListOptions) => listJobs(options, fail));
  command('logs', "show a task's output", 'dapplepick logs req-000412/3 --stderr')
    .argument('<task>', 'JOB/N')
    .option('--stderr', 'show standard error instead of standard output')
    .action((task: string, options: LogsOptions) => showLogs(task, options, fail));
  command('withdraw', 'cancel a job', 'dapplepick withdraw req-000412')
    .argument('<id>')
    .action((id: string, options: CommonOptions) => cancelJob(id, options, fail));
}
