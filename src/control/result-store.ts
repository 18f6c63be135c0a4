/** Stores task results: how the last attempt of each task ended, and whether another attempt follows. */
import { taskKey } from '../model/job.js';
import { succeeded, type TaskResult } from '../wire/agent.js';
import type { Condition } from '../wire/store.js';
import { listAll, commitWithRetries, type ControlStore } from './control-store.js';

/** How an attempt ended. It is stored, so its field names are part of the storage format. */
export interface StoredResult extends TaskResult {
  attempt: number;
  host: string;
  /** Whether the task has ended, that is, no further attempt follows. */
  final: boolean;
  /** How many attempts of the task have failed, including this one. */
  failures: number;
}

/** Whether a task is done or is retried after the end of an attempt. */
export type TaskDisposition = 'done' | 'retry';

/** The properties of a job that determine whether its tasks are retried. */
export interface ResultJob {
  readonly id: string;
  readonly retries: number;
  readonly gang: boolean;
}

/** The end of an attempt, as a heartbeat reports it. */
export interface AttemptEnd {
  readonly index: number;
  readonly attempt: number;
  readonly host: string;
  readonly result: TaskResult;
}

const keyPrefix = 'res/';
const resultKey = (job: string, index: number): string =>
  `${keyPrefix}${job}/${String(index).padStart(6, '0')}`;

/** Whether the command itself ended the attempt. Attempts that were stopped or lost do not use up a retry. */
const endedByCommand = (result: TaskResult): boolean =>
  result.reason !== 'stopped' && result.reason !== 'lost' && result.reason !== 'gang';

/** The newest result of every task, in memory and in the store. Results are never deleted, like the final states of jobs. */
export class ResultStore {
  private results = new Map<string, StoredResult>();
  /** Writes in progress, by task: the same heartbeat may arrive again before a write completes. */
  private readonly pendingWrites = new Map<string, Promise<void>>();
  /** By job: how many tasks have failed permanently. */
  private failedTaskCounts = new Map<string, number>();

  constructor(private readonly store: ControlStore) {}

  /** Reloads results from the store: all of them, or those of one job. */
  async load(job: string | null = null): Promise<void> {
    const records = await listAll(this.store, job === null ? keyPrefix : `${keyPrefix}${job}/`);
    if (job === null) {
      this.results = new Map();
      this.failedTaskCounts = new Map();
    }
    for (const { key, data } of records) {
      const [, recordJob, index] = key.split('/');
      this.updateCache(recordJob, Number(index), data as StoredResult);
    }
  }

  /** Returns the newest known result of a task. */
  get(job: string, index: number): StoredResult | undefined {
    return this.results.get(taskKey(job, index));
  }

  /** Returns how many tasks of a job have failed permanently. */
  failedTaskCount(job: string): number {
    return this.failedTaskCounts.get(job) ?? 0;
  }

  /**
   * Records the end of an attempt, and decides whether the task is retried. Repeated reports of the same end are recorded
   * only once. This must complete before any component may discard the result. If one task of a gang has failed
   * permanently, no task of the gang is retried.
   */
  async record(
    job: ResultJob,
    { index, attempt, host, result }: AttemptEnd,
    preconditions: readonly Condition[],
  ): Promise<TaskDisposition> {
    const key = taskKey(job.id, index);
    await this.pendingWrites.get(key);
    const previous = this.results.get(key);
    // This end is already recorded, or belongs to an older attempt than the recorded one.
    if (previous && previous.attempt >= attempt) return dispositionOf(previous);
    const gangFailed = job.gang && this.failedTaskCount(job.id) > 0;
    const failed = endedByCommand(result) && !succeeded(result);
    const failures = (previous?.failures ?? 0) + (failed ? 1 : 0);
    const stored: StoredResult = {
      ...result,
      reason: gangFailed && !endedByCommand(result) ? 'gang' : result.reason,
      attempt,
      host,
      final: succeeded(result) || gangFailed || (endedByCommand(result) && failures > job.retries),
      failures,
    };
    const write = commitWithRetries(this.store, [[resultKey(job.id, index), { ...stored }]], preconditions);
    this.pendingWrites.set(key, write);
    try {
      await write;
    } finally {
      this.pendingWrites.delete(key);
    }
    this.updateCache(job.id, index, stored);
    return dispositionOf(stored);
  }

  private updateCache(job: string, index: number, result: StoredResult): void {
    const key = taskKey(job, index);
    const previous = this.results.get(key);
    const failedBefore = previous?.final && !succeeded(previous) ? 1 : 0;
    const failedNow = result.final && !succeeded(result) ? 1 : 0;
    if (failedBefore !== failedNow)
      this.failedTaskCounts.set(job, (this.failedTaskCounts.get(job) ?? 0) + failedNow - failedBefore);
    this.results.set(key, result);
  }
}

const dispositionOf = (result: StoredResult): TaskDisposition => (result.final ? 'done' : 'retry');
