/** The state of a chunk's tasks as it is to be stored. */
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';
import { maxStoredFailedHosts } from '../failure-attribution.js';
import type { ChunkState } from './records.js';

/** What the leader and the next owner must know of a job's failures; kept with its first tasks. */
const failedOn = (job: ScheduledJob, chunk: TaskChunk): string[] =>
  chunk.index === 0 && job.completedCount === 0 ? [...job.failedHosts].slice(0, maxStoredFailedHosts) : [];

export function stateOf(job: ScheduledJob, chunk: TaskChunk): ChunkState {
  const placed = [...job.placements.values()].filter((placement) => placement.chunk === chunk);
  return { last: chunk.lastAttempt, done: chunk.completed, placed, failed: failedOn(job, chunk) };
}
