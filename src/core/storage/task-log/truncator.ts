/** Truncates the task logs of this process's shards: drops what nobody needs, and checkpoints what keeps old records. */
import type { TaskChunk, ScheduledJob } from '../../shard-state/types.js';
import type { Clock } from '../../effects.js';
import type { Replica } from '../../replica.js';
import { WritePriority } from '../pending-write.js';
import type { TransactionBatcher } from '../transaction-batcher.js';
import { shardKey } from '../keys.js';
import type { EntryRef, LogRecord } from './reader.js';
import { TruncationPlanner, type Checkpoints } from './truncation.js';

const truncateIntervalMs = 1000;
/** Of the operations of a transaction, so many drop records at a time. */
const deletionShare = 0.5;
/** So many records are looked at for checkpoints at a time. */
const maxCheckpointedRecords = 4;

/** The jobs of the shards that this process owns. */
export interface OwnedJobs {
  jobs: ReadonlyMap<string, ScheduledJob>;
  ownedShards: ReadonlySet<number>;
}

/** Checkpoints chunks and deletes the log records that nothing needs any more. */
export class LogTruncator {
  private readonly planner: TruncationPlanner;
  private lastPlannedAt = -Infinity;
  private isDeleting = false;
  private readonly known: Checkpoints;

  constructor(
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly clock: Clock,
    private readonly owner: OwnedJobs,
    private readonly limits: { maxAgeMs: number; maxOperations: number },
    private readonly checkpoint: (job: ScheduledJob, chunk: TaskChunk) => void,
  ) {
    this.planner = new TruncationPlanner(limits.maxAgeMs, maxCheckpointedRecords);
    this.known = {
      jobStatus: (job) => this.standing(job),
      checkpointVersionOf: (job, chunk) => replica.checkpointVersionOf(job, chunk),
    };
  }

  /** To be called every step. */
  tick(): void {
    const { now } = this.clock;
    const { taskLog } = this.replica;
    if (this.isDeleting || taskLog.size === 0 || now - this.lastPlannedAt < truncateIntervalMs) return;
    this.lastPlannedAt = now;
    for (const shard of this.owner.ownedShards) {
      const records = taskLog.records.filter((record) => record.shard === shard);
      const plan = this.planner.plan(records, this.known, now);
      for (const item of plan.toCheckpoint) this.checkpointEntry(item);
      if (plan.deletable.length > 0)
        this.deleteRecords(shard, plan.deletable.slice(0, this.maxDeletedRecords));
    }
  }

  private get maxDeletedRecords(): number {
    return Math.max(1, Math.floor(this.limits.maxOperations * deletionShare));
  }

  /** A cancelled job of which nothing is on any machine any more is over. */
  private standing(id: string): 'unknown' | 'followed' | 'over' {
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
        const when = [{ key: shardKey(shard), stamp: grant.modRevision }];
        for (const { key, modRevision: stamp } of records) when.push({ key, stamp });
        return { conditions: when, writes: records.map(({ key }) => ({ key, data: undefined })) };
      },
      onCommitted: onSettled,
      onConflict: onSettled,
    });
  }
}
