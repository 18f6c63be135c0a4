/** The ages of placements, as far as one leader has seen them. */
import type { ChunkRecord } from '../storage/index.js';

/** A chunk as last observed, and when each of its placements was first observed, ms, in the order of its placements. */
interface ObservedChunk {
  readonly chunk: ChunkRecord;
  readonly firstSeenAt: readonly number[];
}

/**
 * Records when each placement was first observed. Stored placements have no time, so the ages of placements that are older than
 * the leadership count from its beginning: a new leader notices later that a task is overdue, but it does notice.
 */
export class PlacementAges {
  private observed = new Map<string, ObservedChunk>();

  /** Observes all chunks at `now`, ms. Placements that have ended are dropped. */
  observe(chunks: ReadonlyMap<string, ReadonlyMap<number, ChunkRecord>>, now: number): void {
    const observed = new Map<string, ObservedChunk>();
    for (const [job, chunksOfJob] of chunks)
      for (const [index, chunk] of chunksOfJob) {
        if (chunk.placements.length === 0) continue;
        const key = chunkName(job, index);
        const previous = this.observed.get(key);
        observed.set(key, previous?.chunk === chunk ? previous : observeChunk(chunk, previous, now));
      }
    this.observed = observed;
  }

  /** When each placement of an observed chunk was first observed, ms, in the order of the chunk's placements. */
  firstSeenAt(job: string, index: number): readonly number[] {
    return this.observed.get(chunkName(job, index))?.firstSeenAt ?? [];
  }

  /** Drops what was observed during an earlier leadership. */
  clear(): void {
    this.observed.clear();
  }
}

const chunkName = (job: string, index: number): string => `${job} ${index}`;

/** Keeps the times of placements that the chunk had before; the others count as first observed now. */
function observeChunk(chunk: ChunkRecord, previous: ObservedChunk | undefined, now: number): ObservedChunk {
  const known = new Map(
    previous?.chunk.placements.map(({ index, attempt }, i) => [
      index,
      { attempt, firstSeenAt: previous.firstSeenAt[i] },
    ]),
  );
  const firstSeenAt = chunk.placements.map(({ index, attempt }) => {
    const earlier = known.get(index);
    return earlier?.attempt === attempt ? earlier.firstSeenAt : now;
  });
  return { chunk, firstSeenAt };
}
