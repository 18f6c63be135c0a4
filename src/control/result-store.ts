/** The stored results of tasks: how their last attempt ended, and whether another attempt follows. */
import { taskKey } from '../model/job.js';
import type { TaskResult } from '../wire/agent-side.js';
import type { Condition } from '../wire/store.js';
import { listAll, putIf, type ControlStore } from './control-store.js';

/** How an attempt ended. A stored record: field names are part of the format. */
export interface StoredResult extends TaskResult {
  attempt: number;
  host: string;
  /** No attempt follows: the task has ended. */
  final: boolean;
  /** How many attempts of the task have failed, this one included. */
  failures: number;
}

/** What follows the end of an attempt. */
export type TaskDisposition = 'done' | 'retry';

/** The job of a task whose result is recorded, as far as the decision about a retry needs it. */
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

/** Whether the command itself ended the attempt: attempts that were stopped or lost do not use up a retry. */
const endedByCommand = (result: TaskResult): boolean =>
  result.reason !== 'stopped' && result.reason !== 'lost' && result.reason !== 'gang';

/** Whether the command exited with 0. */
export const succeeded = (result: TaskResult): boolean => result.reason === 'exited' && result.exit === 0;

/** The newest result of every task. Results are kept for ever, like the final states of jobs. */
export class ResultStore {
  private results = new Map<string, StoredResult>();
  /** Writes under way, by task: the same heartbeat may be repeated meanwhile. */
  private readonly pendingWrites = new Map<string, Promise<void>>();
  /** By job: how many tasks have failed for good. */
  private failedTasks = new Map<string, number>();

  constructor(private readonly store: ControlStore) {}

  /** Reads the stored results again: all of them, or those of one job. */
  async load(job: string | null = null): Promise<void> {
    const records = await listAll(this.store, job === null ? keyPrefix : `${keyPrefix}${job}/`);
    if (job === null) {
      this.results = new Map();
      this.failedTasks = new Map();
    }
    for (const { key, data } of records) {
      const [, recordJob, index] = key.split('/');
      this.remember(recordJob, Number(index), data as StoredResult);
    }
  }

  /** The newest known result of a task. */
  get(job: string, index: number): StoredResult | undefined {
    return this.results.get(taskKey(job, index));
  }

  /** How many tasks of a job have failed for good. */
  failures(job: string): number {
    return this.failedTasks.get(job) ?? 0;
  }

  /**
   * Records the end of an attempt once, before any component may discard it, and decides whether the task is retried. If
   * one task of a gang has failed for good, all of its tasks end.
   */
  async record(
    job: ResultJob,
    { index, attempt, host, result }: AttemptEnd,
    preconditions: readonly Condition[],
  ): Promise<TaskDisposition> {
    const key = taskKey(job.id, index);
    await this.pendingWrites.get(key);
    const previous = this.results.get(key);
    // The same end reported again, or the end of an older attempt than the recorded one.
    if (previous && previous.attempt >= attempt) return dispositionOf(previous);
    const gangFailed = job.gang && this.failures(job.id) > 0;
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
    const write = putIf(this.store, [[resultKey(job.id, index), { ...stored }]], preconditions);
    this.pendingWrites.set(key, write);
    try {
      await write;
    } finally {
      this.pendingWrites.delete(key);
    }
    this.remember(job.id, index, stored);
    return dispositionOf(stored);
  }

  private remember(job: string, index: number, result: StoredResult): void {
    const key = taskKey(job, index);
    const previous = this.results.get(key);
    const failedBefore = previous?.final && !succeeded(previous) ? 1 : 0;
    const failedNow = result.final && !succeeded(result) ? 1 : 0;
    if (failedBefore !== failedNow)
      this.failedTasks.set(job, (this.failedTasks.get(job) ?? 0) + failedNow - failedBefore);
    this.results.set(key, result);
  }
}

const dispositionOf = (result: StoredResult): TaskDisposition => (result.final ? 'done' : 'retry');
