import { taskKey } from '../model/job.js';
import type { TaskResult } from '../wire/agent-side.js';
import { NotWritten, put, type Guard, type Kv } from './control-store.js';

/** How an attempt ended, as it is kept. */
export interface KeptResult extends TaskResult {
  attempt: number;
  host: string;
  /** Nothing follows it: the task is over. */
  final: boolean;
  /** How many attempts have failed, this one included. */
  failures: number;
}

/** What becomes of a task whose attempt has ended. */
export type Verdict = 'done' | 'again';

const prefix = 'res/';
const keyOf = (job: string, index: number): string => `${prefix}${job}/${String(index).padStart(6, '0')}`;

/** An attempt that failed by its command counts; one that was stopped or lost does not. */
const counts = (r: TaskResult): boolean =>
  r.reason !== 'stopped' && r.reason !== 'lost' && r.reason !== 'gang';
const succeeded = (r: TaskResult): boolean => r.reason === 'exited' && r.exit === 0;

/** The results of all tasks: one for each, the newest; kept for ever, like final states. */
export class Results {
  private kept = new Map<string, KeptResult>();
  /** Being written: the same report may come again meanwhile. */
  private readonly writing = new Map<string, Promise<void>>();
  /** Of each job: tasks that failed for good. */
  private failed = new Map<string, number>();

  constructor(private readonly kv: Kv) {}

  /** Reads them anew: all, or those of one job. */
  async load(job: string | null = null): Promise<void> {
    const all = await this.kv.list(job === null ? prefix : `${prefix}${job}/`);
    if (!all) throw new NotWritten('the store does not answer');
    if (job === null) {
      this.kept = new Map();
      this.failed = new Map();
    }
    for (const { key, data } of all) {
      const [, job, index] = key.split('/');
      this.keep(job, Number(index), data as KeptResult);
    }
  }

  private keep(job: string, index: number, r: KeptResult): void {
    const name = taskKey(job, index);
    const before = this.kept.get(name);
    const was = before?.final && !succeeded(before) ? 1 : 0;
    const is = r.final && !succeeded(r) ? 1 : 0;
    if (was !== is) this.failed.set(job, (this.failed.get(job) ?? 0) + is - was);
    this.kept.set(name, r);
  }

  get(job: string, index: number): KeptResult | undefined {
    return this.kept.get(taskKey(job, index));
  }

  failures(job: string): number {
    return this.failed.get(job) ?? 0;
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
    guards: Guard[],
  ): Promise<Verdict> {
    const name = taskKey(job.id, index);
    await this.writing.get(name);
    const before = this.kept.get(name);
    // The same end, told again; or one of an attempt before the one that is known.
    if (before && before.attempt >= attempt) return before.final ? 'done' : 'again';
    const lostGang = job.gang && this.failures(job.id) > 0;
    const failures = (before?.failures ?? 0) + (counts(result) && !succeeded(result) ? 1 : 0);
    const final = succeeded(result) || lostGang || (counts(result) && failures > job.retries);
    const kept: KeptResult = {
      ...result,
      reason: lostGang && !counts(result) ? 'gang' : result.reason,
      attempt,
      host,
      final,
      failures,
    };
    const write = put(this.kv, [[keyOf(job.id, index), { ...kept }]], guards);
    this.writing.set(name, write);
    try {
      await write;
    } finally {
      this.writing.delete(name);
    }
    this.keep(job.id, index, kept);
    return final ? 'done' : 'again';
  }
}
