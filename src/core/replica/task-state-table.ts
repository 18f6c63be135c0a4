/** The task states of the replica, combined from chunk records, job records and the task log. */
import { chunkKey, LogReader, readChunk, type ChunkRecord, type JobRecord } from '../storage/index.js';

/** What the table needs from the replica that contains it. */
export interface TaskStateContext {
  /** The record of a job; undefined: it is not known. */
  job(id: string): JobRecord | undefined;
  /** The revision at which the key was last written; 0: it has no value. */
  modRevisionOf(key: string): number;
}

/**
 * Whether the task log applies to a job. `unknown`: the job is not known yet. `followed`: it applies. `over`: it does not, because
 * the job is done or its own record holds the states of its tasks.
 */
export type TaskLogStatus = 'unknown' | 'followed' | 'over';

/** The state of every task chunk, by job and chunk number. */
export class TaskStateTable {
  /** The states of the chunks, by job id and chunk number. */
  readonly chunks = new Map<string, Map<number, ChunkRecord>>();
  /** Jobs whose own record holds the states of their tasks. */
  readonly jobsWithInlineTasks = new Set<string>();
  /** The task log: changes of task states that are not in chunk records yet. */
  readonly taskLog = new LogReader({
    get: (job, chunk) => this.chunks.get(job)?.get(chunk),
    set: (job, chunk, state) => this.setLoggedChunk(job, chunk, state),
    remove: (job, chunk) => this.setChunk(job, chunk, null),
    jobStatus: (job) => this.taskLogStatus(job),
  });

  constructor(private readonly context: TaskStateContext) {}

  /** Whether the task log applies to a job. */
  taskLogStatus(id: string): TaskLogStatus {
    const job = this.context.job(id);
    if (!job) return 'unknown';
    return job.state === 'done' || this.jobsWithInlineTasks.has(id) ? 'over' : 'followed';
  }

  /** The version of a chunk's state that its own record holds; null: no state of the chunk is known. */
  checkpointVersionOf(id: string, chunk: number): number | null {
    return this.chunks.get(id)?.get(chunk)?.checkpointVersion ?? null;
  }

  /** The number of chunk records that are checkpoints of a task log. */
  get checkpointCount(): number {
    let count = 0;
    for (const chunks of this.chunks.values())
      for (const c of chunks.values()) if (c.checkpointVersion > 0) count++;
    return count;
  }

  /** The number of tasks of a job that have completed, and of those that are placed (`running`). */
  taskCounts(id: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const c of this.chunks.get(id)?.values() ?? []) {
      done += c.doneCount;
      running += c.placements.length;
    }
    return { done, running };
  }

  /** Applies a change of a job record. `inlineTasks`: the task states that the record holds; null: it holds none. */
  applyJob(id: string, inlineTasks: unknown, modRevision: number): void {
    if (inlineTasks !== null) {
      this.jobsWithInlineTasks.add(id);
      this.setChunk(id, 0, readChunk(inlineTasks, modRevision));
    } else if (this.jobsWithInlineTasks.delete(id) && this.context.modRevisionOf(chunkKey(id, 0)) === 0)
      this.setChunk(id, 0, null);
    this.dropLoggedChunks(id);
    this.taskLog.applyWaiting(id);
  }

  /** Applies a change of a chunk record. `data` is null if the record was deleted. */
  applyChunk(id: string, index: number, data: unknown, modRevision: number): void {
    // Within a transaction, the change that moved the task states into the job record may be applied before the change of the
    // chunk record. The states in the job record are the valid ones.
    if (this.jobsWithInlineTasks.has(id) && index === 0) return;
    this.setChunk(
      id,
      index,
      data === null ? null : this.mergeCheckpoint(id, index, readChunk(data, modRevision)),
    );
    this.taskLog.applyWaiting(id);
  }

  /** A chunk record, or the state derived from the task log if that is newer than the record. */
  private mergeCheckpoint(id: string, index: number, record: ChunkRecord): ChunkRecord {
    const logged = this.chunks.get(id)?.get(index);
    const isBehind = logged !== undefined && record.version > 0 && record.version < logged.version;
    return isBehind
      ? { ...logged, modRevision: record.modRevision, checkpointVersion: record.version }
      : record;
  }

  /** Stores a chunk state derived from the task log. Of a cancelled job, a state without placements is dropped. */
  private setLoggedChunk(id: string, index: number, state: ChunkRecord): void {
    const isOver = this.context.job(id)?.state === 'cancelled' && state.placements.length === 0;
    this.setChunk(id, index, isOver ? null : state);
  }

  /** Drops chunk states derived from the task log if their job is done, or is cancelled and the chunk has no placements. */
  private dropLoggedChunks(id: string): void {
    const chunks = this.chunks.get(id);
    const job = this.context.job(id);
    if (!chunks || !job || job.state === 'open' || this.jobsWithInlineTasks.has(id)) return;
    for (const [index, { version, placements }] of [...chunks])
      if (version > 0 && (job.state === 'done' || placements.length === 0)) this.setChunk(id, index, null);
  }

  private setChunk(id: string, index: number, chunk: ChunkRecord | null): void {
    let chunks = this.chunks.get(id);
    if (chunk) {
      if (!chunks) this.chunks.set(id, (chunks = new Map<number, ChunkRecord>()));
      chunks.set(index, chunk);
    } else if (chunks) {
      chunks.delete(index);
      if (chunks.size === 0) this.chunks.delete(id);
    }
  }
}
