/** A job as it is scheduled: made from its records, and which of its tasks waits next. */
import type { JobSpec } from '../../model/job.js';
import { BitSet, type ChunkRecord, type JobRecord, type JobUsage } from '../storage/index.js';
import type { TaskChunk, ScheduledJob } from './types.js';

/** A job as its records tell it; what is placed is entered by the books. */
export function createScheduledJob(
  record: JobRecord,
  spec: JobSpec,
  shard: number,
  stored: ReadonlyMap<number, ChunkRecord> | undefined,
  tasksPerChunk: number,
  /** Attempts go on above this. */
  attemptBase = 0,
): ScheduledJob {
  const job: ScheduledJob = {
    id: record.id,
    spec,
    shard,
    acceptedAt: record.acceptedAt,
    modRevision: record.modRevision,
    cancelled: record.state !== 'open',
    chunks: [],
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
    failedProbes: 0,
    anyHostAllowed: false,
    completedCount: 0,
    retryNotBefore: 0,
    fullyWaitingSince: record.acceptedAt,
    match: null,
  };
  for (let base = 0, n = 0; base < record.taskCount; base += tasksPerChunk, n++) {
    const c = stored?.get(n);
    const revision = c?.version ?? 0;
    job.chunks.push({
      index: n,
      firstTask: base,
      size: Math.min(tasksPerChunk, record.taskCount - base),
      modRevision: c?.modRevision ?? 0,
      lastAttempt: Math.max(c?.lastAttempt ?? 0, attemptBase),
      completed: c?.done.copy() ?? new BitSet(),
      version: revision,
      placedVersion: revision,
      durableVersion: revision,
      queuedWrite: null,
      writeBlockedUntilRevision: 0,
    });
    job.completedCount += c?.done.count() ?? 0;
  }
  return job;
}

export const chunkOf = (job: ScheduledJob, index: number): TaskChunk =>
  job.chunks[Math.floor(index / job.tasksPerChunk)];

export function isCompleted(job: ScheduledJob, index: number): boolean {
  const chunk = chunkOf(job, index);
  return chunk.completed.has(index - chunk.firstTask);
}

export const waitingTaskCount = (job: ScheduledJob): number =>
  job.spec.tasks - job.completedCount - job.placements.size;

/** The next task that waits for a place, or -1. */
export function takeNextWaiting(job: ScheduledJob): number {
  const waits = (i: number) => !job.placements.has(i) && !isCompleted(job, i);
  for (const i of job.requeued) {
    job.requeued.delete(i);
    if (waits(i)) return i;
  }
  while (job.nextUnplaced < job.spec.tasks) {
    const i = job.nextUnplaced++;
    if (waits(i)) return i;
  }
  return -1;
}

export const nextGangAttempt = (job: ScheduledJob): number =>
  Math.max(...job.chunks.map((chunk) => chunk.lastAttempt)) + 1;

/** Stands in for the description of a cancelled job: only what its last tasks take matters now. */
export const cancelledJobSpec = (record: JobRecord, use: JobUsage): JobSpec => ({
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
  ...use,
});
