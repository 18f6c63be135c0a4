/** Truncates the task logs of this process's shards: deletes obsolete records, and checkpoints chunks that keep old records. */
import type { TaskChunk, ScheduledJob } from '../../shard-state/types.js';
import type { Clock } from '../../effects.js';
import type { Replica } from '../../replica.js';
import { WritePriority } from '../pending-write.js';
import type { TransactionBatcher } from '../transaction-batcher.js';
import { shardKey } from '../keys.js';
import type { EntryRef, LogRecord } from './reader.js';
import { TruncationPlanner, type Checkpoints } from './truncation-planner.js';

/** How often truncation is planned, ms. */
const truncateIntervalMs = 1000;
/** The share of a transaction's operations that deletions of records may take. */
const deletionShare = 0.5;
/** How many records are examined for checkpoints at a time. */
const maxCheckpointedRecords = 4;

/** The shards that this process owns, and their jobs. */
export interface OwnedJobs {
  jobs: ReadonlyMap<string, ScheduledJob>;
  ownedShards: ReadonlySet<number>;
}

/** Checkpoints chunks, and deletes log records that are no longer needed. */
export class LogTruncator {
  private readonly planner: TruncationPlanner;
  private lastPlannedAt = -Infinity;
  private isDeleting = false;
  private readonly checkpoints: Checkpoints;

  constructor(
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly clock: Clock,
    private readonly owner: OwnedJobs,
    private readonly limits: { maxAgeMs: number; maxOperations: number },
    private readonly checkpoint: (job: ScheduledJob, chunk: TaskChunk) => void,
  ) {
    this.planner = new TruncationPlanner(limits.maxAgeMs, maxCheckpointedRecords);
    this.checkpoints = {
      jobStatus: (job) => this.jobStatusOf(job),
      checkpointVersionOf: (job, chunk) => replica.checkpointVersionOf(job, chunk),
    };
  }

  /** To be called on every tick. */
  tick(): void {
    const { now } = this.clock;
    const { taskLog } = this.replica;
    if (this.isDeleting || taskLog.size === 0 || now - this.lastPlannedAt < truncateIntervalMs) return;
    this.lastPlannedAt = now;
    for (const shard of this.owner.ownedShards) {
      const records = taskLog.records.filter((record) => record.shard === shard);
      const plan = this.planner.plan(records, this.checkpoints, now);
      for (const item of plan.toCheckpoint) this.checkpointEntry(item);
      if (plan.deletable.length > 0)
        this.deleteRecords(shard, plan.deletable.slice(0, this.maxDeletedRecords));
    }
  }

  private get maxDeletedRecords(): number {
    return Math.max(1, Math.floor(this.limits.maxOperations * deletionShare));
  }

  /** The status of a job: a cancelled job that has no task left on any machine is over. */
  private jobStatusOf(id: string): 'unknown' | 'followed' | 'over' {
    const isCancelled = this.replica.jobs.get(id)?.state === 'cancelled';
    return isCancelled && !this.owner.jobs.has(id) ? 'over' : this.replica.taskLogStatus(id);
  }

  private checkpointEntry({ job: id, chunk }: EntryRef): void {
    const job = this.owner.jobs.get(id);
    if (job) this.checkpoint(job, job.chunks[chunk]);
  }

  private deleteRecords(shard: number, records: readonly LogRecord[]): void {
    this.isDeleting = true;
    const onSettled = (): void => void (this.isDeleting = false);
    this.batcher.enqueue({
      priority: WritePriority.cleanup,
      build: () => {
        const grant = this.replica.shards.get(shard);
        if (!grant || !this.owner.ownedShards.has(shard)) {
          onSettled();
          return null;
        }
        const conditions = [{ key: shardKey(shard), stamp: grant.modRevision }];
        for (const { key, modRevision: stamp } of records) conditions.push({ key, stamp });
        return { conditions, writes: records.map(({ key }) => ({ key, data: undefined })) };
      },
      onCommitted: onSettled,
      onConflict: onSettled,
    });
  }
}
