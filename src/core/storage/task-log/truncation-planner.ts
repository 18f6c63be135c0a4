/** Decides which records of the task log may be deleted, and which chunks must be checkpointed to keep the log from growing. */
import type { EntryRef, LogRecord } from './reader.js';

/** What is known of the jobs and chunks that the entries of a log refer to. */
export interface Checkpoints {
  /** Whether the task log is followed for a job. */
  jobStatus(job: string): 'unknown' | 'followed' | 'over';
  /** The version of a chunk's state that its own record holds; null if the chunk has no state (any more). */
  checkpointVersionOf(job: string, chunk: number): number | null;
}

/** Whether an entry is no longer needed. */
export function isObsolete({ job, chunk, toVersion: to }: EntryRef, checkpoints: Checkpoints): boolean {
  if (checkpoints.jobStatus(job) !== 'followed') return true;
  const checkpoint = checkpoints.checkpointVersionOf(job, chunk);
  return checkpoint === null || checkpoint >= to;
}

/** Which chunks to checkpoint and which records to delete. */
export interface TruncationPlan {
  /** Records that may be deleted: the oldest of the log, without a gap. */
  deletable: LogRecord[];
  /** Chunks that keep the oldest remaining records in the log beyond the maximum age. */
  toCheckpoint: EntryRef[];
}

/**
 * Plans the truncation of a log from its oldest end, so that no entry outlives a newer one. Chunks that records older than
 * `maxAgeMs` are still needed for are checkpointed, which bounds the part of the log that a reader must replay.
 */
export class TruncationPlanner {
  private readonly firstSeenAt = new Map<string, number>();

  constructor(
    private readonly maxAgeMs: number,
    /** How many records are examined for checkpoints at a time. */
    private readonly maxCheckpointedRecords: number,
  ) {}

  /** Plans the truncation of a shard's log; `records` are ordered oldest first. */
  plan(records: readonly LogRecord[], checkpoints: Checkpoints, now: number): TruncationPlan {
    this.noteFirstSeen(records, now);
    const firstKept = records.findIndex(
      (record) => !record.entries.every((item) => isObsolete(item, checkpoints)),
    );
    if (firstKept < 0) return { deletable: [...records], toCheckpoint: [] };
    const chunksToCheckpoint = new Map<string, EntryRef>();
    for (const record of records.slice(firstKept, firstKept + this.maxCheckpointedRecords)) {
      if (now - this.firstSeenAt.get(record.key)! <= this.maxAgeMs) break;
      for (const item of record.entries)
        if (!isObsolete(item, checkpoints)) chunksToCheckpoint.set(`${item.job}/${item.chunk}`, item);
    }
    return { deletable: records.slice(0, firstKept), toCheckpoint: [...chunksToCheckpoint.values()] };
  }

  private noteFirstSeen(records: readonly LogRecord[], now: number): void {
    const present = new Set(records.map((record) => record.key));
    for (const key of this.firstSeenAt.keys()) if (!present.has(key)) this.firstSeenAt.delete(key);
    for (const key of present) if (!this.firstSeenAt.has(key)) this.firstSeenAt.set(key, now);
  }
}
