import { taskKey } from '../model/job.js';
import type { TaskResult } from '../wire/agent-side.js';
import { StoreUnavailableError, putIf, type Precondition, type ControlStore } from './control-store.js';

/** How an attempt ended, as it is kept. */
export interface StoredResult extends TaskResult {
  attempt: number;
  host: string;
  /** Nothing follows it: the task is over. */
  final: boolean;
  /** How many attempts have failed, this one included. */
  failures: number;
}

/** What becomes of a task whose attempt has ended. */
export type TaskDisposition = 'done' | 'again';

const keyPrefix = 'res/';
const resultKey = (job: string, index: number): string =>
  `${keyPrefix}${job}/${String(index).padStart(6, '0')}`;

/** An attempt that failed by its command counts; one that was stopped or lost does not. */
const countsAsAttempt = (result: TaskResult): boolean =>
  result.reason !== 'stopped' && result.reason !== 'lost' && result.reason !== 'gang';
const succeeded = (result: TaskResult): boolean => result.reason === 'exited' && result.exit === 0;

/** The results of all tasks: one for each, the newest; kept for ever, like final states. */
export class ResultStore {
  private results = new Map<string, StoredResult>();
  /** Being written: the same report may come again meanwhile. */
  private readonly pendingWrites = new Map<string, Promise<void>>();
  /** Of each job: tasks that failed for good. */
  private failedTasks = new Map<string, number>();

  constructor(private readonly store: ControlStore) {}

  /** Reads them anew: all, or those of one job. */
  async load(job: string | null = null): Promise<void> {
    const records = await this.store.list(job === null ? keyPrefix : `${keyPrefix}${job}/`);
    if (!records) throw new StoreUnavailableError('the store does not answer');
    if (job === null) {
      this.results = new Map();
      this.failedTasks = new Map();
    }
    for (const { key, data } of records) {
      const [, job, index] = key.split('/');
      this.remember(job, Number(index), data as StoredResult);
    }
  }

  private remember(job: string, index: number, result: StoredResult): void {
    const name = taskKey(job, index);
    const previous = this.results.get(name);
    const failedBefore = previous?.final && !succeeded(previous) ? 1 : 0;
    const failedNow = result.final && !succeeded(result) ? 1 : 0;
    if (failedBefore !== failedNow)
      this.failedTasks.set(job, (this.failedTasks.get(job) ?? 0) + failedNow - failedBefore);
    this.results.set(name, result);
  }

  get(job: string, index: number): StoredResult | undefined {
    return this.results.get(taskKey(job, index));
  }

  failures(job: string): number {
    return this.failedTasks.get(job) ?? 0;
  }

  /**
   * Records how an attempt ended, once, before anybody may forget it; tells what becomes of its task. A gang in which a
   * task has failed for good fails whole.
   */
  async record(
    job: { id: string; retries: number; gang: boolean },
    index: number,
    attempt: number,
    host: string,
    result: TaskResult,
    preconditions: Precondition[],
  ): Promise<TaskDisposition> {
    const name = taskKey(job.id, index);
    await this.pendingWrites.get(name);
    const previous = this.results.get(name);
    // The same end, told again; or one of an attempt before the one that is known.
    if (previous && previous.attempt >= attempt) return previous.final ? 'done' : 'again';
    const gangFailed = job.gang && this.failures(job.id) > 0;
    const failures = (previous?.failures ?? 0) + (countsAsAttempt(result) && !succeeded(result) ? 1 : 0);
    const final = succeeded(result) || gangFailed || (countsAsAttempt(result) && failures > job.retries);
    const stored: StoredResult = {
      ...result,
      reason: gangFailed && !countsAsAttempt(result) ? 'gang' : result.reason,
      attempt,
      host,
      final,
      failures,
    };
    const write = putIf(this.store, [[resultKey(job.id, index), { ...stored }]], preconditions);
    this.pendingWrites.set(name, write);
    try {
      await write;
    } finally {
      this.pendingWrites.delete(name);
    }
    this.remember(job.id, index, stored);
    return final ? 'done' : 'again';
  }
}
