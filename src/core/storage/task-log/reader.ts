/**
 * Follows the task log: applies its entries to the states of tasks, each once and in order, in whatever order records arrive.
 * An entry whose predecessor has not been seen waits for it, or for a checkpoint that includes it.
 */
import type { ChunkRecord } from '../records.js';
import { applyEntry, emptyChunk, decodeLogRecord, type LogEntry } from './entry.js';

/** Where the states of tasks are kept. */
export interface ChunkStates {
  get(job: string, chunk: number): ChunkRecord | undefined;
  set(job: string, chunk: number, state: ChunkRecord): void;
  /** Nothing is placed of these tasks, and nothing will be: their job is over. */
  remove(job: string, chunk: number): void;
  /** Whether a job's tasks are followed: not known yet, followed, or over (or kept in the job's own record). */
  jobStatus(job: string): 'unknown' | 'followed' | 'over';
}

/** Which revision of which chunk a record of the log leads to. */
export interface EntryRef {
  job: string;
  chunk: number;
  toVersion: number;
}

/** A record of the task log. */
export interface LogRecord {
  key: string;
  shard: number;
  modRevision: number;
  entries: EntryRef[];
}

/** Applies records of the task log to the chunks that the replica holds. */
export class LogReader {
  private readonly byKey = new Map<string, LogRecord>();
  /** Entries that cannot be applied yet, by job. */
  private readonly waiting = new Map<string, LogEntry[]>();

  constructor(private readonly states: ChunkStates) {}

  /** How many records there are. */
  get size(): number {
    return this.byKey.size;
  }

  /** How many entries wait for others. */
  get waitingCount(): number {
    let count = 0;
    for (const entries of this.waiting.values()) count += entries.length;
    return count;
  }

  /** All records, oldest first. */
  get records(): LogRecord[] {
    return [...this.byKey.values()].sort((a, b) => a.modRevision - b.modRevision);
  }

  /** A record was written. */
  put(key: string, shard: number, data: unknown, modRevision: number): void {
    const entries = decodeLogRecord(data);
    const refs = entries.map(({ job, chunk, toVersion: to }): EntryRef => ({ job, chunk, toVersion: to }));
    this.byKey.set(key, { key, shard, modRevision, entries: refs });
    for (const entry of entries) this.applyOrWait(entry);
  }

  /** A record was dropped: checkpoints include it, or its jobs are over. */
  delete(key: string): void {
    const record = this.byKey.get(key);
    if (!record) return;
    this.byKey.delete(key);
    for (const item of record.entries) this.discardWaiting(item);
    for (const item of record.entries) this.removeUnlessCheckpointed(item);
  }

  /** The newest state is dropped without a checkpoint only if its job is over. */
  private removeUnlessCheckpointed({ job, chunk, toVersion: to }: EntryRef): void {
    const state = this.states.get(job, chunk);
    if (state?.version === to && state.checkpointVersion < to) this.states.remove(job, chunk);
  }

  /** A job became known, or the state of some of its tasks was stored: entries that waited for that may follow. */
  applyWaiting(job: string): void {
    const entries = this.waiting.get(job);
    if (!entries) return;
    this.waiting.delete(job);
    entries.sort((a, b) => a.toVersion - b.toVersion);
    for (const entry of entries) this.applyOrWait(entry);
  }

  private applyOrWait(entry: LogEntry): void {
    const { job, chunk } = entry;
    const status = this.states.jobStatus(job);
    if (status === 'over') return;
    const state = this.states.get(job, chunk) ?? emptyChunk;
    if (status === 'followed' && entry.toVersion <= state.version) return;
    if (status === 'unknown' || entry.fromVersion !== state.version) {
      this.waiting.set(job, [...(this.waiting.get(job) ?? []), entry]);
      return;
    }
    this.states.set(job, chunk, applyEntry(state, entry));
    this.applyWaiting(job);
  }

  private discardWaiting({ job, chunk, toVersion: to }: EntryRef): void {
    const remaining = this.waiting.get(job)?.filter((e) => e.chunk !== chunk || e.toVersion !== to);
    if (!remaining) return;
    if (remaining.length > 0) this.waiting.set(job, remaining);
    else this.waiting.delete(job);
  }
}
