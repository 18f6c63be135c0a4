/** Scheduled jobs: built from their stored records, and the queue of their tasks that wait for placement. */
import type { JobSpec } from '../../model/job.js';
import { BitSet, type ChunkRecord, type JobRecord, type JobUsage } from '../storage/index.js';
import type { Placement, TaskChunk, ScheduledJob } from './types.js';

/** What a scheduled job is built from, in addition to its record. */
interface JobContext {
  readonly shard: number;
  /** The stored states of its task chunks, by chunk number; undefined: none is stored. */
  readonly stored: ReadonlyMap<number, ChunkRecord> | undefined;
  readonly tasksPerChunk: number;
  /** Attempt numbers of this incarnation of the state are greater than this. */
  readonly attemptBase: number;
}

/** Builds a scheduled job from its stored records. The shard state adds its placements. */
export function createScheduledJob(
  record: JobRecord,
  spec: JobSpec,
  { shard, stored, tasksPerChunk, attemptBase }: JobContext,
): ScheduledJob {
  const job: ScheduledJob = {
    id: record.id,
    spec,
    shard,
    acceptedAt: record.acceptedAt,
    modRevision: record.modRevision,
    cancelled: record.state !== 'open',
    chunks: [],
    chunksAwaitingDurability: new Set(),
    tasksPerChunk,
    placements: new Map(),
    nextUnplaced: 0,
    requeued: new Set(),
    tasksByZone: new Map(),
    unknownZoneTasks: 0,
    finalizing: false,
    unreadable: false,
    tearingDown: false,
    repairAttempt: null,
    failedHosts: new Set(stored?.get(0)?.failedHosts),
    failedRetries: 0,
    anyHostAllowed: false,
    completedCount: 0,
    retryNotBefore: 0,
    unplacedSince: record.acceptedAt,
    match: null,
  };
  for (let firstTask = 0, index = 0; firstTask < record.taskCount; firstTask += tasksPerChunk, index++) {
    const chunk = stored?.get(index);
    const version = chunk?.version ?? 0;
    job.chunks.push({
      index,
      firstTask,
      size: Math.min(tasksPerChunk, record.taskCount - firstTask),
      modRevision: chunk?.modRevision ?? 0,
      lastAttempt: Math.max(chunk?.lastAttempt ?? 0, attemptBase),
      completed: chunk?.done.copy() ?? new BitSet(),
      version,
      lastPlacementVersion: version,
      durableVersion: version,
      queuedWrite: null,
      writeBlockedUntilRevision: 0,
    });
    job.completedCount += chunk?.done.count() ?? 0;
  }
  return job;
}

/** The chunk that contains a task. */
export const chunkOf = (job: ScheduledJob, index: number): TaskChunk =>
  job.chunks[Math.floor(index / job.tasksPerChunk)];

/** Whether a task has completed. */
export function isCompleted(job: ScheduledJob, index: number): boolean {
  const chunk = chunkOf(job, index);
  return chunk.completed.has(index - chunk.firstTask);
}

/** Whether a placement is the current one of its task. */
export const isPlaced = (placement: Placement): boolean =>
  placement.job.placements.get(placement.index) === placement;

/** How many tasks of a job wait to be placed. */
export const waitingTaskCount = (job: ScheduledJob): number =>
  job.spec.tasks - job.completedCount - job.placements.size;

/** Whether all placements of a job are durable. Each chunk is checked until its newest placement is, and then no more. */
export function areAllPlacementsDurable({ chunksAwaitingDurability }: ScheduledJob): boolean {
  for (const chunk of chunksAwaitingDurability) {
    if (chunk.durableVersion < chunk.lastPlacementVersion) return false;
    chunksAwaitingDurability.delete(chunk);
  }
  return true;
}

/** Removes and returns the index of the next task that waits to be placed; -1: there is none. */
export function takeNextWaiting(job: ScheduledJob): number {
  const isWaiting = (index: number): boolean => !job.placements.has(index) && !isCompleted(job, index);
  for (const index of job.requeued) {
    job.requeued.delete(index);
    if (isWaiting(index)) return index;
  }
  while (job.nextUnplaced < job.spec.tasks) {
    const index = job.nextUnplaced++;
    if (isWaiting(index)) return index;
  }
  return -1;
}

/** The number of a gang's next attempt: one above the highest attempt number among its tasks. */
export const nextGangAttempt = (job: ScheduledJob): number =>
  Math.max(...job.chunks.map((chunk) => chunk.lastAttempt)) + 1;

/**
 * A substitute for the specification of a cancelled job, for which only the resource usage of its remaining tasks is stored.
 */
export const cancelledJobSpec = (record: JobRecord, usage: JobUsage): JobSpec => ({
  id: record.id,
  class: '',
  shape: 'array',
  urgency: 'low',
  tasks: record.taskCount,
  image: '',
  imageGb: 0,
  types: null,
  zone: null,
  oneZone: false,
  apart: false,
  spot: false,
  estimateS: 0,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...usage,
});
