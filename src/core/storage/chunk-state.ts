/** The state of a chunk's tasks as it is to be stored. */
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';
import { maxStoredFailedHosts } from '../failure-attribution.js';
import type { ChunkState } from './records.js';

/** What the leader and the next owner must know of a job's failures; kept with its first tasks. */
const failedHostsOf = (job: ScheduledJob, chunk: TaskChunk): string[] =>
  chunk.index === 0 && job.completedCount === 0 ? [...job.failedHosts].slice(0, maxStoredFailedHosts) : [];

export function chunkStateOf(job: ScheduledJob, chunk: TaskChunk): ChunkState {
  const placements = [...job.placements.values()].filter((placement) => placement.chunk === chunk);
  return {
    lastAttempt: chunk.lastAttempt,
    done: chunk.completed,
    placements,
    failedHosts: failedHostsOf(job, chunk),
  };
}
