/**
 * Follows the task log: applies each entry exactly once and in version order, in whatever order the records arrive. An entry
 * whose predecessor has not arrived yet waits for it, or for a checkpoint that includes it.
 */
import type { ChunkRecord } from '../records.js';
import { applyEntry, emptyChunk, decodeLogRecord, type LogEntry } from './entry.js';

/** The store of chunk states that the reader updates. */
export interface ChunkStates {
  get(job: string, chunk: number): ChunkRecord | undefined;
  set(job: string, chunk: number, state: ChunkRecord): void;
  /** Called when a job is over: no task of the chunk is placed, and none will be. */
  remove(job: string, chunk: number): void;
  /**
   * Whether the task log is followed for a job. `unknown`: the job is not known yet; `over`: the job is over, or the state of its
   * tasks is stored in its own record.
   */
  jobStatus(job: string): 'unknown' | 'followed' | 'over';
}

/** Identifies an entry of a log record: a chunk, and the version of its state after the entry. */
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

  /** How many records the log has. */
  get size(): number {
    return this.byKey.size;
  }

  /** How many entries wait for their predecessors or for their job. */
  get waitingCount(): number {
    let count = 0;
    for (const entries of this.waiting.values()) count += entries.length;
    return count;
  }

  /** All records, oldest first. */
  get records(): LogRecord[] {
    return [...this.byKey.values()].sort((a, b) => a.modRevision - b.modRevision);
  }

  /** Adds a record that was written, and applies its entries. */
  put(key: string, shard: number, data: unknown, modRevision: number): void {
    const entries = decodeLogRecord(data);
    const refs = entries.map(({ job, chunk, toVersion: to }): EntryRef => ({ job, chunk, toVersion: to }));
    this.byKey.set(key, { key, shard, modRevision, entries: refs });
    for (const entry of entries) this.applyOrWait(entry);
  }

  /** Removes a record that was deleted because checkpoints include its entries, or because their jobs are over. */
  delete(key: string): void {
    const record = this.byKey.get(key);
    if (!record) return;
    this.byKey.delete(key);
    for (const item of record.entries) this.discardWaiting(item);
    for (const item of record.entries) this.removeUnlessCheckpointed(item);
  }

  /**
   * The entry of a chunk's newest state is deleted without a checkpoint only if the job is over: then the state is removed,
   * too.
   */
  private removeUnlessCheckpointed({ job, chunk, toVersion: to }: EntryRef): void {
    const state = this.states.get(job, chunk);
    if (state?.version === to && state.checkpointVersion < to) this.states.remove(job, chunk);
  }

  /** Applies waiting entries of a job, after the job has become known or a state of one of its chunks has been stored. */
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
