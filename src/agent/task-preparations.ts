/** Prepares tasks: fetches the descriptions of their jobs, with retries, until they are known or no longer needed. */
import { setTimeout as delay } from 'node:timers/promises';
import type { AgentJob, AgentTask } from '../wire/agent.js';
import type { FetchedJob } from './job-descriptions.js';

/** What preparations need from the agent. */
export interface TaskPreparationsOptions {
  /** Fetches the description of a job. */
  readonly fetchJob: (id: string) => Promise<FetchedJob>;
  /** Returns the delay after a number of failed requests, ms. */
  readonly retryDelayMs: (failures: number) => number;
  /** Called when the job of a task is known, unless the preparation was cancelled. */
  readonly onFetched: (task: AgentTask, job: AgentJob | 'unknown') => void;
}

/**
 * The preparations in progress, one for each task. A preparation belongs to the task object and not to the attempt: if the
 * worker forgets the task, it must be cancelled, and a repeated start of the same attempt is prepared anew.
 */
export class TaskPreparations {
  private readonly cancellations = new Map<AgentTask, AbortController>();

  constructor(private readonly options: TaskPreparationsOptions) {}

  /** Starts to prepare a task. */
  start(task: AgentTask): void {
    const cancellation = new AbortController();
    this.cancellations.set(task, cancellation);
    void this.prepare(task, cancellation.signal);
  }

  /** Cancels the preparation of a task, if it is in progress. A response that arrives later is not used. */
  cancel(task: AgentTask): void {
    this.cancellations.get(task)?.abort();
    this.cancellations.delete(task);
  }

  /** Cancels all preparations. */
  close(): void {
    for (const task of [...this.cancellations.keys()]) this.cancel(task);
  }

  private async prepare(task: AgentTask, signal: AbortSignal): Promise<void> {
    const { fetchJob, retryDelayMs, onFetched } = this.options;
    for (let failures = 1; !signal.aborted; failures++) {
      const job = await fetchJob(task.job);
      if (signal.aborted) return;
      if (job !== null) {
        this.cancellations.delete(task);
        return onFetched(task, job);
      }
      await delay(retryDelayMs(failures), undefined, { signal }).catch(() => undefined);
    }
  }
}
