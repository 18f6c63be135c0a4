/** Brings jobs to their end in the state service: that all tasks are done, and the removal of what is stored of them. */
import type { ScheduledJob } from '../shard-state/types.js';
import type { Log } from '../effects.js';
import type { Replica } from '../replica.js';
import { Rank, type Committer } from './transaction-batcher.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import { cancelledData, jobDoneData } from './records.js';
import type { TaskOwner } from './task-writer.js';

export class JobFinisher {
  /** Jobs whose end was refused: to be read again when the view has reached a revision. */
  private refused: { job: ScheduledJob; epoch: number }[] = [];

  constructor(
    private readonly operationsPerTransaction: number,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly log: Log,
    private readonly owner: TaskOwner,
  ) {}

  /** To be called every step. */
  tick(): void {
    if (this.refused.length === 0) return;
    const refused = this.refused;
    this.refused = [];
    for (const one of refused) {
      if (this.owner.jobs.get(one.job.id) !== one.job) continue;
      if (this.replica.watchRevision < one.epoch) this.refused.push(one);
      else this.owner.reloadJob(one.job.id);
    }
  }

  /** Every task is done: the job's end and the removal of its tasks' records in one transaction. */
  finish(job: ScheduledJob): void {
    if (job.finalizing) return;
    job.finalizing = true;
    this.committer.add({
      rank: Rank.task,
      build: () => {
        const grant = this.replica.shards.get(job.shard);
        const { jobs, ownedShards: owned } = this.owner;
        if (jobs.get(job.id) !== job || !grant || !owned.has(job.shard) || job.cancelled || job.unreadable) {
          job.finalizing = false;
          return null;
        }
        const stored = this.replica.jobsWithInlineTasks.has(job.id)
          ? []
          : job.chunks.filter((chunk) => chunk.modRevision > 0);
        const drops = stored.slice(0, this.operationsPerTransaction - 1);
        return {
          when: [
            { key: shardKey(job.shard), stamp: grant.stamp },
            { key: jobKey(job.id), stamp: job.modRevision },
            ...drops.map((chunk) => ({ key: chunkKey(job.id, chunk.index), stamp: chunk.modRevision })),
          ],
          apply: [
            { key: jobKey(job.id), data: jobDoneData(job.at, job.spec.tasks) },
            ...drops.map((chunk) => ({ key: chunkKey(job.id, chunk.index), data: undefined })),
          ],
        };
      },
      ok: () => this.finished(job),
      conflict: (_, epoch) => {
        job.finalizing = false;
        this.refused.push({ job, epoch });
      },
    });
  }

  private finished(job: ScheduledJob): void {
    for (const chunk of job.chunks) chunk.durableVersion = chunk.version;
    this.owner.jobs.delete(job.id);
    const { finishedJobsByTeam: doneOf } = this.owner;
    doneOf.set(job.spec.team, (doneOf.get(job.spec.team) ?? 0) + 1);
    this.log('info', 'job done', { job: job.id });
    this.dropChunks(job);
  }

  /** The job is over and nothing of it is left: its tasks' records go. */
  dropChunks(job: ScheduledJob): void {
    if (this.replica.jobsWithInlineTasks.has(job.id)) this.dropTasks(job.id);
    for (const chunk of job.chunks)
      if (this.replica.stampOf(chunkKey(job.id, chunk.index)) > 0) this.dropChunk(job.id, chunk.index);
  }

  /** A cancelled job of which nothing is left: the state of its tasks goes out of its record. */
  private dropTasks(id: string): void {
    const key = jobKey(id);
    this.committer.add({
      rank: Rank.cleanup,
      build: () => {
        const job = this.replica.jobs.get(id);
        if (!job?.use || !job.whole) return null;
        const data = cancelledData(job.at, job.tasks, job.use);
        return { when: [{ key, stamp: job.stamp }], apply: [{ key, data }] };
      },
      ok: () => undefined,
      conflict: () => this.dropTasks(id),
    });
  }

  private dropChunk(id: string, chunk: number): void {
    const key = chunkKey(id, chunk);
    this.committer.add({
      rank: Rank.cleanup,
      build: () => {
        const stamp = this.replica.stampOf(key);
        return stamp === 0 || this.replica.jobs.get(id)?.state === 'open'
          ? null
          : { when: [{ key, stamp }], apply: [{ key, data: undefined }] };
      },
      ok: () => undefined,
      conflict: () => this.dropChunk(id, chunk),
    });
  }
}
