/** Truncates the task logs of this process's shards: drops what nobody needs, and checkpoints what keeps old records. */
import type { TaskChunk, ScheduledJob } from '../../shard-state/types.js';
import type { Clock } from '../../effects.js';
import type { Replica } from '../../replica.js';
import { Rank, type Committer } from '../transaction-batcher.js';
import { shardKey } from '../keys.js';
import type { LogItem, LogRecord } from './reader.js';
import { Truncation, type Checkpoints } from './truncation.js';

const truncateEveryMs = 1000;
/** Of the operations of a transaction, so many drop records at a time. */
const dropShare = 0.5;
/** So many records are looked at for checkpoints at a time. */
const checkpointedAtOnce = 4;

export interface OwnedJobs {
  jobs: ReadonlyMap<string, ScheduledJob>;
  ownedShards: ReadonlySet<number>;
}

export class LogTruncator {
  private readonly truncation: Truncation;
  private lookedAt = -Infinity;
  private dropping = false;
  private readonly known: Checkpoints;

  constructor(
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly owner: OwnedJobs,
    private readonly limits: { mostAgeMs: number; operations: number },
    private readonly checkpoint: (job: ScheduledJob, chunk: TaskChunk) => void,
  ) {
    this.truncation = new Truncation(limits.mostAgeMs, checkpointedAtOnce);
    this.known = {
      standing: (job) => this.standing(job),
      checkpointOf: (job, chunk) => replica.checkpointRevision(job, chunk),
    };
  }

  /** To be called every step. */
  tick(): void {
    const { now } = this.clock;
    const { taskLog } = this.replica;
    if (this.dropping || taskLog.size === 0 || now - this.lookedAt < truncateEveryMs) return;
    this.lookedAt = now;
    for (const shard of this.owner.ownedShards) {
      const records = taskLog.records.filter((record) => record.shard === shard);
      const plan = this.truncation.plan(records, this.known, now);
      for (const item of plan.checkpoint) this.checkpointItem(item);
      if (plan.drop.length > 0) this.drop(shard, plan.drop.slice(0, this.droppedAtOnce));
    }
  }

  private get droppedAtOnce(): number {
    return Math.max(1, Math.floor(this.limits.operations * dropShare));
  }

  /** A cancelled job of which nothing is on any machine any more is over. */
  private standing(id: string): 'unknown' | 'followed' | 'over' {
    const isCancelled = this.replica.jobs.get(id)?.state === 'cancelled';
    return isCancelled && !this.owner.jobs.has(id) ? 'over' : this.replica.taskLogStatus(id);
  }

  private checkpointItem({ job: id, chunk }: LogItem): void {
    const job = this.owner.jobs.get(id);
    if (job) this.checkpoint(job, job.chunks[chunk]);
  }

  private drop(shard: number, records: readonly LogRecord[]): void {
    this.dropping = true;
    const end = (): void => void (this.dropping = false);
    this.committer.add({
      rank: Rank.cleanup,
      build: () => {
        const grant = this.replica.shards.get(shard);
        if (!grant || !this.owner.ownedShards.has(shard)) {
          end();
          return null;
        }
        const when = [{ key: shardKey(shard), stamp: grant.stamp }];
        for (const { key, stamp } of records) when.push({ key, stamp });
        return { when, apply: records.map(({ key }) => ({ key, data: undefined })) };
      },
      ok: end,
      conflict: end,
    });
  }
}
