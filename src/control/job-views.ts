/** Builds the API's views of jobs and tasks, which the command line displays. */
import type { Replica } from '../core/replica.js';
import type { JobRecord } from '../core/storage/index.js';
import { succeeded } from '../wire/agent.js';
import { jobStatus } from '../wire/user.js';
import type { ResultStore, StoredResult } from './result-store.js';

/** Larger than the number of machines in a fleet, so that all jobs running on it fit into one list. */
const maxListedJobs = 10_000;
const defaultListedJobs = 100;

/** The machine on which an attempt of a task was placed. */
interface TaskLocation {
  readonly attempt: number;
  readonly host: string;
}

type JobSummary = { status: string } & Record<string, unknown>;

/** Lists jobs, newest first, filtered by the query's `status` and up to its `limit`. Field names are part of the API. */
export function listJobs(replica: Replica, results: ResultStore, query: URLSearchParams): object {
  const wantedStatus = query.get('status');
  const requested = Number(query.get('limit') ?? defaultListedJobs) || defaultListedJobs;
  const limit = Math.min(maxListedJobs, Math.max(1, requested));
  const jobs: object[] = [];
  let more = false;
  for (const job of [...replica.jobs.values()].sort((a, b) => b.acceptedAt - a.acceptedAt)) {
    const summary = summarize(replica, results, job);
    if (wantedStatus !== null && summary.status !== wantedStatus) continue;
    if (jobs.length >= limit) {
      more = true;
      break;
    }
    jobs.push(summary);
  }
  return { jobs, more };
}

/** Returns a job with all of its tasks; null if there is no such job. Field names are part of the API. */
export function jobWithTasks(replica: Replica, results: ResultStore, id: string): object | null {
  const job = replica.jobs.get(id);
  if (!job) return null;
  const locations = new Map<number, TaskLocation>();
  for (const { index, attempt, host } of placementsOf(replica, id)) locations.set(index, { attempt, host });
  const tasks: object[] = [];
  for (let index = 0; index < job.taskCount; index++) {
    const result = results.get(id, index);
    const location = locations.get(index);
    tasks.push({
      index,
      state: taskState(job, result, location !== undefined),
      ...(location && !result?.final ? location : {}),
      ...(result ? { last: { ...result } } : {}),
    });
  }
  return { ...summarize(replica, results, job), tasks };
}

/** Returns where the newest known attempt of a task runs or ran; undefined if there is none. */
export function locateTask(
  replica: Replica,
  results: ResultStore,
  id: string,
  index: number,
): TaskLocation | undefined {
  const result = results.get(id, index);
  if (result?.final) return result;
  let location: TaskLocation | undefined = result;
  for (const placement of placementsOf(replica, id)) if (placement.index === index) location = placement;
  return location;
}

function* placementsOf(replica: Replica, id: string): Generator<TaskLocation & { readonly index: number }> {
  for (const chunk of replica.chunks.get(id)?.values() ?? []) yield* chunk.placements;
}

function taskState(job: JobRecord, result: StoredResult | undefined, placed: boolean): string {
  if (result?.final) return succeeded(result) ? 'done' : 'failed';
  if (job.state === 'cancelled') return 'aborted';
  return placed ? 'placed' : 'pending';
}

function summarize(replica: Replica, results: ResultStore, job: JobRecord): JobSummary {
  const counts = replica.taskCounts(job.id);
  return {
    nameId: job.id,
    status: jobStatus(job.state, counts.running),
    pieces: job.taskCount,
    done: job.state === 'done' ? job.taskCount : counts.done,
    running: job.state === 'open' ? counts.running : 0,
    failed: results.failedTaskCount(job.id),
    jobclass: job.spec?.class ?? null,
    owner: job.spec?.team ?? null,
    acceptedAt: new Date(job.acceptedAt).toISOString(),
  };
}
