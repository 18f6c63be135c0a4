/** Builds the state of a chunk of tasks that is to be stored. */
import type { Placement, TaskChunk, ScheduledJob } from '../shard-state/types.js';
import { maxStoredFailedHosts } from '../failure-attribution.js';
import type { ChunkState } from './records.js';

/** Machines on which the job failed, for the leader and the shard's next owner; stored with the job's first chunk. */
const failedHostsOf = (job: ScheduledJob, chunk: TaskChunk): string[] =>
  chunk.index === 0 && job.completedCount === 0 ? [...job.failedHosts].slice(0, maxStoredFailedHosts) : [];

/** The placements of a chunk's tasks, by index. Visits only the tasks of the chunk. */
function placementsOf(job: ScheduledJob, { firstTask, size }: TaskChunk): Placement[] {
  const placements: Placement[] = [];
  for (let index = firstTask; index < firstTask + size; index++) {
    const placement = job.placements.get(index);
    if (placement) placements.push(placement);
  }
  return placements;
}

/** The current state of a chunk's tasks. */
export function chunkStateOf(job: ScheduledJob, chunk: TaskChunk): ChunkState {
  return {
    lastAttempt: chunk.lastAttempt,
    done: chunk.completed,
    placements: placementsOf(job, chunk),
    failedHosts: failedHostsOf(job, chunk),
  };
}
