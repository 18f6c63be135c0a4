/**
 * Follows the task log: applies its entries to the states of tasks, each once and in order, in whatever order records arrive.
 * An entry whose predecessor has not been seen waits for it, or for a checkpoint that includes it.
 */
import type { ChunkRecord } from '../records.js';
import { applyEntry, emptyChunk, readLog, type LogEntry } from './entry.js';

/** Where the states of tasks are kept. */
export interface TaskStates {
  get(job: string, chunk: number): ChunkRecord | undefined;
  set(job: string, chunk: number, state: ChunkRecord): void;
  /** Nothing is placed of these tasks, and nothing will be: their job is over. */
  end(job: string, chunk: number): void;
  /** Whether a job's tasks are followed: not known yet, followed, or over (or kept in the job's own record). */
  standing(job: string): 'unknown' | 'followed' | 'over';
}

/** Which revision of which chunk a record of the log leads to. */
export interface LogItem {
  job: string;
  chunk: number;
  to: number;
}

export interface LogRecord {
  key: string;
  shard: number;
  stamp: number;
  items: LogItem[];
}

export class LogReader {
  private readonly byKey = new Map<string, LogRecord>();
  /** Entries that cannot be applied yet, by job. */
  private readonly waiting = new Map<string, LogEntry[]>();

  constructor(private readonly states: TaskStates) {}

  /** How many records there are. */
  get size(): number {
    return this.byKey.size;
  }

  /** How many entries wait for others. */
  get unconnected(): number {
    let count = 0;
    for (const entries of this.waiting.values()) count += entries.length;
    return count;
  }

  /** All records, oldest first. */
  get records(): LogRecord[] {
    return [...this.byKey.values()].sort((a, b) => a.stamp - b.stamp);
  }

  /** A record was written. */
  put(key: string, shard: number, data: unknown, stamp: number): void {
    const entries = readLog(data);
    const items = entries.map(({ job, chunk, to }): LogItem => ({ job, chunk, to }));
    this.byKey.set(key, { key, shard, stamp, items });
    for (const entry of entries) this.take(entry);
  }

  /** A record was dropped: checkpoints include it, or its jobs are over. */
  drop(key: string): void {
    const record = this.byKey.get(key);
    if (!record) return;
    this.byKey.delete(key);
    for (const item of record.items) this.discard(item);
    for (const item of record.items) this.endUnlessCheckpointed(item);
  }

  /** The newest state is dropped without a checkpoint only if its job is over. */
  private endUnlessCheckpointed({ job, chunk, to }: LogItem): void {
    const state = this.states.get(job, chunk);
    if (state?.revision === to && state.checkpoint < to) this.states.end(job, chunk);
  }

  /** A job became known, or the state of some of its tasks was stored: entries that waited for that may follow. */
  connect(job: string): void {
    const entries = this.waiting.get(job);
    if (!entries) return;
    this.waiting.delete(job);
    entries.sort((a, b) => a.to - b.to);
    for (const entry of entries) this.take(entry);
  }

  private take(entry: LogEntry): void {
    const { job, chunk } = entry;
    const standing = this.states.standing(job);
    if (standing === 'over') return;
    const state = this.states.get(job, chunk) ?? emptyChunk;
    if (standing === 'followed' && entry.to <= state.revision) return;
    if (standing === 'unknown' || entry.from !== state.revision) {
      this.waiting.set(job, [...(this.waiting.get(job) ?? []), entry]);
      return;
    }
    this.states.set(job, chunk, applyEntry(state, entry));
    this.connect(job);
  }

  private discard({ job, chunk, to }: LogItem): void {
    const left = this.waiting.get(job)?.filter((e) => e.chunk !== chunk || e.to !== to);
    if (!left) return;
    if (left.length > 0) this.waiting.set(job, left);
    else this.waiting.delete(job);
  }
}
