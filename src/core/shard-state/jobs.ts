/** A job as it is scheduled: made from its records, and which of its tasks waits next. */
import type { JobSpec } from '../../model/job.js';
import { Bits, type ChunkRecord, type JobRecord, type JobUse } from '../storage/index.js';
import type { Chunk, JobRun } from './types.js';

/** A job as its records tell it; what is placed is entered by the books. */
export function newJob(
  record: JobRecord,
  spec: JobSpec,
  shard: number,
  stored: ReadonlyMap<number, ChunkRecord> | undefined,
  chunkTasks: number,
  /** Attempts go on above this. */
  attemptBase = 0,
): JobRun {
  const job: JobRun = {
    id: record.id,
    spec,
    shard,
    at: record.at,
    stamp: record.stamp,
    cancelled: record.state !== 'open',
    chunks: [],
    chunkTasks,
    active: new Map(),
    fresh: 0,
    retry: new Set(),
    done: 0,
    zones: new Map(),
    astray: 0,
    finishing: false,
    frozen: false,
    breaking: false,
    mending: null,
    errors: new Set(stored?.get(0)?.failed),
    probes: 0,
    anywhere: false,
    successes: 0,
    notBefore: 0,
    waitsFrom: record.at,
    match: null,
  };
  for (let base = 0, n = 0; base < record.tasks; base += chunkTasks, n++) {
    const c = stored?.get(n);
    const revision = c?.revision ?? 0;
    job.chunks.push({
      number: n,
      base,
      size: Math.min(chunkTasks, record.tasks - base),
      stamp: c?.stamp ?? 0,
      last: Math.max(c?.last ?? 0, attemptBase),
      done: c?.done.copy() ?? new Bits(),
      version: revision,
      placed: revision,
      durable: revision,
      queued: null,
      blockedUntil: 0,
    });
    job.done += c?.done.count() ?? 0;
  }
  job.successes = job.done;
  return job;
}

export const chunkOf = (job: JobRun, index: number): Chunk => job.chunks[Math.floor(index / job.chunkTasks)];

export function isDone(job: JobRun, index: number): boolean {
  const c = chunkOf(job, index);
  return c.done.has(index - c.base);
}

export const waitingCount = (job: JobRun): number => job.spec.tasks - job.done - job.active.size;

/** The next task that waits for a place, or -1. */
export function nextWaiting(job: JobRun): number {
  const waits = (i: number) => !job.active.has(i) && !isDone(job, i);
  for (const i of job.retry) {
    job.retry.delete(i);
    if (waits(i)) return i;
  }
  while (job.fresh < job.spec.tasks) {
    const i = job.fresh++;
    if (waits(i)) return i;
  }
  return -1;
}

export const nextGangAttempt = (job: JobRun): number => Math.max(...job.chunks.map((c) => c.last)) + 1;

/** Stands in for the description of a cancelled job: only what its last tasks take matters now. */
export const remains = (record: JobRecord, use: JobUse): JobSpec => ({
  id: record.id,
  class: '',
  shape: 'array',
  urgency: 'low',
  tasks: record.tasks,
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
