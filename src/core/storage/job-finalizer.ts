/** Records the completion of jobs in the state service, and deletes the stored state of their tasks. */
import type { ScheduledJob } from '../shard-state/types.js';
import type { Log } from '../effects.js';
import type { Replica } from '../replica.js';
import { WritePriority } from './pending-write.js';
import type { TransactionBatcher } from './transaction-batcher.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import { cancelledJobData, doneJobData } from './records.js';
import type { TaskOwner } from './task-writer.js';

/** Writes the final state of jobs whose tasks have all completed. */
export class JobFinalizer {
  /** Jobs whose final write conflicted: reloaded once the replica has reached the revision. */
  private conflicted: { job: ScheduledJob; revision: number }[] = [];

  constructor(
    private readonly maxOperations: number,
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly log: Log,
    private readonly owner: TaskOwner,
  ) {}

  /** To be called on every tick. */
  tick(): void {
    if (this.conflicted.length === 0) return;
    const conflicted = this.conflicted;
    this.conflicted = [];
    for (const conflict of conflicted) {
      if (this.owner.jobs.get(conflict.job.id) !== conflict.job) continue;
      if (this.replica.watchRevision < conflict.revision) this.conflicted.push(conflict);
      else this.owner.reloadJob(conflict.job.id);
    }
  }

  /**
   * Called when every task is done: in one transaction, records the completion of the job and deletes as many of its chunk
   * records as fit.
   */
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
      onConflict: (_, revision) => {
        job.finalizing = false;
        this.conflicted.push({ job, revision });
      },
    });
  }

  private onFinalized(job: ScheduledJob): void {
    for (const chunk of job.chunks) chunk.durableVersion = chunk.version;
    this.owner.jobs.delete(job.id);
    const { finishedJobsByTeam } = this.owner;
    finishedJobsByTeam.set(job.spec.team, (finishedJobsByTeam.get(job.spec.team) ?? 0) + 1);
    this.log('info', 'job done', { job: job.id });
    this.deleteTaskRecords(job);
  }

  /** Deletes the task records of a job that is over and has no task left on any machine. */
  deleteTaskRecords(job: ScheduledJob): void {
    if (this.replica.jobsWithInlineTasks.has(job.id)) this.deleteInlineTasks(job.id);
    for (const chunk of job.chunks)
      if (this.replica.modRevisionOf(chunkKey(job.id, chunk.index)) > 0)
        this.deleteChunkRecord(job.id, chunk.index);
  }

  /** Removes the inline task state from the record of a cancelled job that has no task left on any machine. */
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
