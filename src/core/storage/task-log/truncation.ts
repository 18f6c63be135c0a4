/** Which records of the task log may go, and which tasks have to be checkpointed so that the log does not grow. */
import type { EntryRef, LogRecord } from './reader.js';

/** What is known of the tasks that a log speaks of. */
export interface Checkpoints {
  jobStatus(job: string): 'unknown' | 'followed' | 'over';
  /** The revision of a chunk's state that its own record holds; null: the chunk has no state (any more). */
  checkpointVersionOf(job: string, chunk: number): number | null;
}

/** Whether nobody needs an entry any more. */
export function isObsolete({ job, chunk, toVersion: to }: EntryRef, known: Checkpoints): boolean {
  if (known.jobStatus(job) !== 'followed') return true;
  const checkpoint = known.checkpointVersionOf(job, chunk);
  return checkpoint === null || checkpoint >= to;
}

/** What to checkpoint and what to delete. */
export interface TruncationPlan {
  /** Records that may be dropped: none that is older stays. */
  deletable: LogRecord[];
  /** Chunks that keep the oldest record that stays, which is too old. */
  toCheckpoint: EntryRef[];
}

/**
 * Truncates a log from its oldest end, so that no older entry outlives a newer one. Records that have been there for longer than
 * `maxAgeMs` have their remaining chunks checkpointed, so a reader has that much to replay at most.
 */
export class TruncationPlanner {
  private readonly firstSeenAt = new Map<string, number>();

  constructor(
    private readonly maxAgeMs: number,
    /** So many records are looked at for checkpoints at a time. */
    private readonly maxCheckpointedRecords: number,
  ) {}

  plan(records: readonly LogRecord[], known: Checkpoints, now: number): TruncationPlan {
    this.noteFirstSeen(records, now);
    const firstKept = records.findIndex((record) => !record.entries.every((item) => isObsolete(item, known)));
    if (firstKept < 0) return { deletable: [...records], toCheckpoint: [] };
    const checkpoint = new Map<string, EntryRef>();
    for (const record of records.slice(firstKept, firstKept + this.maxCheckpointedRecords)) {
      if (now - this.firstSeenAt.get(record.key)! <= this.maxAgeMs) break;
      for (const item of record.entries)
        if (!isObsolete(item, known)) checkpoint.set(`${item.job}/${item.chunk}`, item);
    }
    return { deletable: records.slice(0, firstKept), toCheckpoint: [...checkpoint.values()] };
  }

  private noteFirstSeen(records: readonly LogRecord[], now: number): void {
    const present = new Set(records.map((record) => record.key));
    for (const key of this.firstSeenAt.keys()) if (!present.has(key)) this.firstSeenAt.delete(key);
    for (const key of present) if (!this.firstSeenAt.has(key)) this.firstSeenAt.set(key, now);
  }
}
