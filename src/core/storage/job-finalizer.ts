/** Brings jobs to their end in the state service: that all tasks are done, and the removal of what is stored of them. */
import type { ScheduledJob } from '../shard-state/types.js';
import type { Log } from '../effects.js';
import type { Replica } from '../replica.js';
import { WritePriority } from './pending-write.js';
import type { TransactionBatcher } from './transaction-batcher.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import { cancelledJobData, doneJobData } from './records.js';
import type { TaskOwner } from './task-writer.js';

/** Writes the final state of jobs whose last task is recorded. */
export class JobFinalizer {
  /** Jobs whose end was refused: to be read again when the view has reached a revision. */
  private conflicted: { job: ScheduledJob; revision: number }[] = [];

  constructor(
    private readonly maxOperations: number,
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly log: Log,
    private readonly owner: TaskOwner,
  ) {}

  /** To be called every step. */
  tick(): void {
    if (this.conflicted.length === 0) return;
    const conflicted = this.conflicted;
    this.conflicted = [];
    for (const one of conflicted) {
      if (this.owner.jobs.get(one.job.id) !== one.job) continue;
      if (this.replica.watchRevision < one.revision) this.conflicted.push(one);
      else this.owner.reloadJob(one.job.id);
    }
  }

  /** Every task is done: the job's end and the removal of its tasks' records in one transaction. */
  finalize(job: ScheduledJob): void {
    if (job.finalizing) return;
    job.finalizing = true;
    this.batcher.enqueue({
      priority: WritePriority.task,
      build: () => {
        const grant = this.replica.shards.get(job.shard);
        const { jobs, ownedShards: owned } = this.owner;
        if (jobs.get(job.id) !== job || !grant || !owned.has(job.shard) || job.cancelled || job.unreadable) {
          job.finalizing = false;
          return null;
        }
        const storedChunks = this.replica.jobsWithInlineTasks.has(job.id)
          ? []
          : job.chunks.filter((chunk) => chunk.modRevision > 0);
        const deleted = storedChunks.slice(0, this.maxOperations - 1);
        return {
          conditions: [
            { key: shardKey(job.shard), stamp: grant.modRevision },
            { key: jobKey(job.id), stamp: job.modRevision },
            ...deleted.map((chunk) => ({ key: chunkKey(job.id, chunk.index), stamp: chunk.modRevision })),
          ],
          writes: [
            { key: jobKey(job.id), data: doneJobData(job.acceptedAt, job.spec.tasks) },
            ...deleted.map((chunk) => ({ key: chunkKey(job.id, chunk.index), data: undefined })),
          ],
        };
      },
      onCommitted: () => this.onFinalized(job),
      onConflict: (_, epoch) => {
        job.finalizing = false;
        this.conflicted.push({ job, revision: epoch });
      },
    });
  }

  private onFinalized(job: ScheduledJob): void {
    for (const chunk of job.chunks) chunk.durableVersion = chunk.version;
    this.owner.jobs.delete(job.id);
    const { finishedJobsByTeam: doneOf } = this.owner;
    doneOf.set(job.spec.team, (doneOf.get(job.spec.team) ?? 0) + 1);
    this.log('info', 'job done', { job: job.id });
    this.deleteTaskRecords(job);
  }

  /** The job is over and nothing of it is left: its tasks' records go. */
  deleteTaskRecords(job: ScheduledJob): void {
    if (this.replica.jobsWithInlineTasks.has(job.id)) this.deleteInlineTasks(job.id);
    for (const chunk of job.chunks)
      if (this.replica.modRevisionOf(chunkKey(job.id, chunk.index)) > 0)
        this.deleteChunkRecord(job.id, chunk.index);
  }

  /** A cancelled job of which nothing is left: the state of its tasks goes out of its record. */
  private deleteInlineTasks(id: string): void {
    const key = jobKey(id);
    this.batcher.enqueue({
      priority: WritePriority.cleanup,
      build: () => {
        const job = this.replica.jobs.get(id);
        if (!job?.usage || !job.tasksInline) return null;
        const data = cancelledJobData(job.acceptedAt, job.taskCount, job.usage);
        return { conditions: [{ key, stamp: job.modRevision }], writes: [{ key, data }] };
      },
      onCommitted: () => undefined,
      onConflict: () => this.deleteInlineTasks(id),
    });
  }

  private deleteChunkRecord(id: string, chunk: number): void {
    const key = chunkKey(id, chunk);
    this.batcher.enqueue({
      priority: WritePriority.cleanup,
      build: () => {
        const stamp = this.replica.modRevisionOf(key);
        return stamp === 0 || this.replica.jobs.get(id)?.state === 'open'
          ? null
          : { conditions: [{ key, stamp }], writes: [{ key, data: undefined }] };
      },
      onCommitted: () => undefined,
      onConflict: () => this.deleteChunkRecord(id, chunk),
    });
  }
}
