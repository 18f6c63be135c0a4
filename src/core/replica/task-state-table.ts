/** The states of tasks in the replica: from records of their own, from their jobs' records and from the task log. */
import { chunkKey, LogReader, readChunk, type ChunkRecord, type JobRecord } from '../storage/index.js';

/** What the table needs of the replica around it. */
export interface TaskStateContext {
  job(id: string): JobRecord | undefined;
  /** The revision of a key's present value; 0: it has none. */
  modRevisionOf(key: string): number;
}

/** Whether the task log is followed for a job: the job is not known yet, it is, or it is over or keeps its tasks' state itself. */
export type TaskLogStatus = 'unknown' | 'followed' | 'over';

/** The state of every chunk of tasks, by job and by the chunk's number. */
export class TaskStateTable {
  readonly chunks = new Map<string, Map<number, ChunkRecord>>();
  /** Jobs whose own record holds the state of their tasks. */
  readonly jobsWithInlineTasks = new Set<string>();
  /** Changes of tasks' states that are not in records of their own yet. */
  readonly taskLog = new LogReader({
    get: (job, chunk) => this.chunks.get(job)?.get(chunk),
    set: (job, chunk, state) => this.setLoggedChunk(job, chunk, state),
    remove: (job, chunk) => this.setChunk(job, chunk, null),
    jobStatus: (job) => this.taskLogStatus(job),
  });

  constructor(private readonly context: TaskStateContext) {}

  taskLogStatus(id: string): TaskLogStatus {
    const job = this.context.job(id);
    if (!job) return 'unknown';
    return job.state === 'done' || this.jobsWithInlineTasks.has(id) ? 'over' : 'followed';
  }

  /** The version of a chunk's state that its own record holds; null: nothing is known of its tasks. */
  checkpointVersionOf(id: string, chunk: number): number | null {
    return this.chunks.get(id)?.get(chunk)?.checkpointVersion ?? null;
  }

  /** How many chunks' own records are checkpoints of a task log. */
  get checkpointCount(): number {
    let count = 0;
    for (const chunks of this.chunks.values())
      for (const c of chunks.values()) if (c.checkpointVersion > 0) count++;
    return count;
  }

  /** How many tasks of a job have completed, and how many are placed. */
  taskCounts(id: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const c of this.chunks.get(id)?.values() ?? []) {
      done += c.doneCount;
      running += c.placements.length;
    }
    return { done, running };
  }

  /** A job's record changed. `inlineTasks`: the state of its tasks as that record holds it; null: it holds none. */
  applyJob(id: string, inlineTasks: unknown, modRevision: number): void {
    if (inlineTasks !== null) {
      this.jobsWithInlineTasks.add(id);
      this.setChunk(id, 0, readChunk(inlineTasks, modRevision));
    } else if (this.jobsWithInlineTasks.delete(id) && this.context.modRevisionOf(chunkKey(id, 0)) === 0)
      this.setChunk(id, 0, null);
    this.dropLoggedChunks(id);
    this.taskLog.applyWaiting(id);
  }

  /** A chunk's own record changed; null: it was deleted. */
  applyChunk(id: string, index: number, data: unknown, modRevision: number): void {
    // Guards against the order within a transaction: a job that took its tasks' state in has it in its own record.
    if (this.jobsWithInlineTasks.has(id) && index === 0) return;
    this.setChunk(
      id,
      index,
      data === null ? null : this.mergeCheckpoint(id, index, readChunk(data, modRevision)),
    );
    this.taskLog.applyWaiting(id);
  }

  /** A chunk's own record, unless the task log has led beyond it. */
  private mergeCheckpoint(id: string, index: number, record: ChunkRecord): ChunkRecord {
    const logged = this.chunks.get(id)?.get(index);
    const isBehind = logged !== undefined && record.version > 0 && record.version < logged.version;
    return isBehind
      ? { ...logged, modRevision: record.modRevision, checkpointVersion: record.version }
      : record;
  }

  /** A state that the task log led to. Of a cancelled job nothing is kept once nothing of it is placed. */
  private setLoggedChunk(id: string, index: number, state: ChunkRecord): void {
    const isOver = this.context.job(id)?.state === 'cancelled' && state.placements.length === 0;
    this.setChunk(id, index, isOver ? null : state);
  }

  /** Drops the states that the task log led to once their job is over and nothing of it is placed. */
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
