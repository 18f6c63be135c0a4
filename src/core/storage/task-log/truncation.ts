/** Which records of the task log may go, and which tasks have to be checkpointed so that the log does not grow. */
import type { LogItem, LogRecord } from './reader.js';

/** What is known of the tasks that a log speaks of. */
export interface Checkpoints {
  standing(job: string): 'unknown' | 'followed' | 'over';
  /** The revision of a chunk's state that its own record holds; null: the chunk has no state (any more). */
  checkpointOf(job: string, chunk: number): number | null;
}

/** Whether nobody needs an entry any more. */
export function isObsolete({ job, chunk, to }: LogItem, known: Checkpoints): boolean {
  if (known.standing(job) !== 'followed') return true;
  const checkpoint = known.checkpointOf(job, chunk);
  return checkpoint === null || checkpoint >= to;
}

export interface TruncationPlan {
  /** Records that may be dropped: none that is older stays. */
  drop: LogRecord[];
  /** Chunks that keep the oldest record that stays, which is too old. */
  checkpoint: LogItem[];
}

/**
 * Truncates a log from its oldest end, so that no older entry outlives a newer one. Records that have been there for longer than
 * `mostAgeMs` have their remaining chunks checkpointed, so a reader has that much to replay at most.
 */
export class Truncation {
  private readonly seenAt = new Map<string, number>();

  constructor(
    private readonly mostAgeMs: number,
    /** So many records are looked at for checkpoints at a time. */
    private readonly recordsAtOnce: number,
  ) {}

  plan(records: readonly LogRecord[], known: Checkpoints, now: number): TruncationPlan {
    this.note(records, now);
    const firstKept = records.findIndex((record) => !record.items.every((item) => isObsolete(item, known)));
    if (firstKept < 0) return { drop: [...records], checkpoint: [] };
    const checkpoint = new Map<string, LogItem>();
    for (const record of records.slice(firstKept, firstKept + this.recordsAtOnce)) {
      if (now - this.seenAt.get(record.key)! <= this.mostAgeMs) break;
      for (const item of record.items)
        if (!isObsolete(item, known)) checkpoint.set(`${item.job}/${item.chunk}`, item);
    }
    return { drop: records.slice(0, firstKept), checkpoint: [...checkpoint.values()] };
  }

  private note(records: readonly LogRecord[], now: number): void {
    const present = new Set(records.map((record) => record.key));
    for (const key of this.seenAt.keys()) if (!present.has(key)) this.seenAt.delete(key);
    for (const key of present) if (!this.seenAt.has(key)) this.seenAt.set(key, now);
  }
}
