/** Builds the state of a chunk of tasks that is to be stored. */
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';
import { maxStoredFailedHosts } from '../failure-attribution.js';
import type { ChunkState } from './records.js';

/** Machines on which the job failed, for the leader and the shard's next owner; stored with the job's first chunk. */
const failedHostsOf = (job: ScheduledJob, chunk: TaskChunk): string[] =>
  chunk.index === 0 && job.completedCount === 0 ? [...job.failedHosts].slice(0, maxStoredFailedHosts) : [];

/** The current state of a chunk's tasks. */
export function chunkStateOf(job: ScheduledJob, chunk: TaskChunk): ChunkState {
  const placements = [...job.placements.values()].filter((placement) => placement.chunk === chunk);
  return {
    lastAttempt: chunk.lastAttempt,
    done: chunk.completed,
    placements,
    failedHosts: failedHostsOf(job, chunk),
  };
}
