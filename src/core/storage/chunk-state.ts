/** The state of a chunk's tasks as it is to be stored. */
import type { Chunk, JobRun } from '../shard-state/types.js';
import { mostFailedKept } from '../failures.js';
import type { ChunkState } from './records.js';

/** What the leader and the next owner must know of a job's failures; kept with its first tasks. */
const failedOn = (job: JobRun, chunk: Chunk): string[] =>
  chunk.number === 0 && job.successes === 0 ? [...job.errors].slice(0, mostFailedKept) : [];

export function stateOf(job: JobRun, chunk: Chunk): ChunkState {
  const placed = [...job.active.values()].filter((p) => p.chunk === chunk);
  return { last: chunk.last, done: chunk.done, placed, failed: failedOn(job, chunk) };
}
