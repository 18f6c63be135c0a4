/**
 * Writes the task log of one shard, as the shard's owner. While the write budget is short, changes are collected for a moment, so
 * that one record holds the changes of many jobs. The key of each record is unique and includes the revision of the shard grant.
 * The write is conditional on the grant being unchanged, and on the records of all jobs for which it contains placements being
 * unchanged, so that none of them has been cancelled.
 */
import { urgencyRank } from '../../../model/job.js';
import type { Condition, Transaction } from '../../../wire/store.js';
import type { TaskChunk, ScheduledJob } from '../../shard-state/types.js';
import { WritePriority } from '../pending-write.js';
import type { TransactionBatcher } from '../transaction-batcher.js';
import { jobKey, taskLogKey, shardKey } from '../keys.js';
import type { Replica } from '../../replica.js';
import { chunkStateOf } from '../chunk-state.js';
import { deltaBetween, emptyChunk, encodeLogRecord, encodedSize, type LogEntry } from './entry.js';

/** A record may take this share of the maximum size of a value, or of `maxRecordBytes` if that is less. */
const maxValueShare = 0.9;
const maxRecordBytes = 40 * 1024;
/** The share of a transaction's conditions that may be used for jobs with placements. */
const conditionShare = 0.7;
/** How long changes of urgent jobs are collected while the budget is short. */
const urgentDelayMs = 100;
/** How long other placements are collected while the budget is short. */
const placementDelayMs = 250;
/** Terminations are collected for this share of a report interval, unless they are written with placements earlier. */
const terminationDelayShare = 0.25;

/** What the log writer needs from its owner. */
export interface LogWriterOwner {
  /** Whether this process owns a shard. */
  isOwned(shard: number): boolean;
  /** Whether a job may be written: this process owns it, it is readable, and it is not being finalized. */
  isWritable(job: ScheduledJob): boolean;
  /** Called when a chunk's state up to this version is durable. */
  onDurable(job: ScheduledJob, chunk: TaskChunk, version: number): void;
  /**
   * Called when a chunk's write conflicted over its job or the grant: it is retried once the replica has reached `revision`.
   */
  onBlocked(job: ScheduledJob, chunk: TaskChunk, revision: number): void;
}

/** Limits of the log writer. */
interface LogLimits {
  /** The maximum size of a value in the state service, KB. */
  valueKb: number;
  /** The maximum number of conditions of a transaction. */
  maxConditions: number;
  /** The report interval of workers, s. */
  heartbeatS: number;
}

/** A chunk with changes to be written, and the time of the first of them, ms. */
interface ChangedChunk {
  job: ScheduledJob;
  chunk: TaskChunk;
  queuedWrite: { priority: WritePriority };
  since: number;
}

/** A changed chunk, and its entry in the write that was built last. */
interface BuiltChange extends ChangedChunk {
  entry: LogEntry;
}

/** Collects the changes of many chunks into records of the task log (group commit). */
export class LogWriter {
  /** Chunks with changes to be written, in order of arrival. */
  private readonly changedChunks = new Map<TaskChunk, ChangedChunk>();
  /** Cancelled jobs with no task left on any machine, and since when, ms: their remaining placements are to be removed. */
  private readonly clearedJobs = new Map<string, number>();
  /** The changes in the write that was built last. */
  private builtChanges: BuiltChange[] = [];
  /** The cleared jobs in the write that was built last. */
  private builtClears: string[] = [];
  private isQueued = false;
  private nextSequence = 0;
  private shardRevision = 0;
  private readonly maxBytes: number;
  private readonly maxJobs: number;

  constructor(
    private readonly shard: number,
    private readonly limits: LogLimits,
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly owner: LogWriterOwner,
  ) {
    this.maxBytes = Math.min(limits.valueKb * 1024, maxRecordBytes) * maxValueShare;
    this.maxJobs = Math.max(1, Math.floor(limits.maxConditions * conditionShare));
  }

  /** Marks a chunk as changed, to be written with the next record that is due. */
  markChanged(
    job: ScheduledJob,
    chunk: TaskChunk,
    queuedWrite: { priority: WritePriority },
    now: number,
  ): void {
    const before = this.changedChunks.get(chunk);
    this.changedChunks.set(chunk, { job, chunk, queuedWrite, since: before?.since ?? now });
  }

  /** Removes the placements of a cancelled job that has no task left on any machine. */
  clearJob(id: string, now: number): void {
    this.clearedJobs.set(id, now);
  }

  /** To be called on every tick: queues a write if a change is due. */
  tick(now: number): void {
    if (this.isQueued || !this.isDue(now)) return;
    this.isQueued = true;
    this.batcher.enqueue({
      priority: WritePriority.urgent,
      build: () => this.build(),
      onCommitted: () => this.onCommitted(),
      onConflict: (failed, revision) => this.onConflict(new Set(failed), revision),
    });
  }

  private isDue(now: number): boolean {
    for (const waiting of this.changedChunks.values())
      if (now - waiting.since >= this.delayOf(waiting)) return true;
    for (const since of this.clearedJobs.values()) if (now - since >= this.terminationDelayMs) return true;
    return false;
  }

  private get terminationDelayMs(): number {
    return this.limits.heartbeatS * 1000 * terminationDelayShare;
  }

  /**
   * How long a change is collected: terminations always, because nobody waits for them; others only while the budget is short.
   */
  private delayOf({ job, queuedWrite }: ChangedChunk): number {
    if (queuedWrite.priority === WritePriority.cleanup) return this.terminationDelayMs;
    if (!this.batcher.isBudgetLow) return 0;
    return isUrgent(job) ? urgentDelayMs : placementDelayMs;
  }

  private build(): Transaction | null {
    this.builtChanges = [];
    this.builtClears = [];
    const grant = this.replica.shards.get(this.shard);
    // The replica may already hold the grant of the shard's next owner: never write under that.
    if (!grant || !this.owner.isOwned(this.shard)) return this.abandon();
    const conditions: Condition[] = [{ key: shardKey(this.shard), stamp: grant.modRevision }];
    const { entries, bytes } = this.buildChanges(conditions);
    entries.push(...this.buildClears(this.maxBytes - bytes));
    if (entries.length === 0) return this.abandon();
    if (grant.modRevision !== this.shardRevision)
      [this.shardRevision, this.nextSequence] = [grant.modRevision, 0];
    const key = taskLogKey(this.shard, grant.modRevision, this.nextSequence);
    conditions.push({ key, stamp: 0 });
    return { conditions, writes: [{ key, data: encodeLogRecord(entries) }] };
  }

  private abandon(): null {
    this.isQueued = false;
    return null;
  }

  /** Builds as many changes as fit into one record, those of urgent jobs first. */
  private buildChanges(conditions: Condition[]): { entries: LogEntry[]; bytes: number } {
    const changed = [...this.changedChunks.values()].sort((a, b) => urgencyOf(b) - urgencyOf(a));
    const conditionedJobs = new Set<string>();
    let bytes = 0;
    for (const change of changed) {
      const entry = this.entryOf(change);
      if (entry === null) continue;
      const size = encodedSize(entry);
      const needsCondition = entry.placements.length > 0 && !conditionedJobs.has(change.job.id);
      const isFull = bytes + size > this.maxBytes || (needsCondition && conditionedJobs.size >= this.maxJobs);
      if (isFull && this.builtChanges.length > 0) break;
      bytes += size;
      if (needsCondition) {
        conditionedJobs.add(change.job.id);
        conditions.push({ key: jobKey(change.job.id), stamp: change.job.modRevision });
      }
      this.builtChanges.push({ ...change, entry });
    }
    return { entries: this.builtChanges.map((b) => b.entry), bytes };
  }

  /** The entry for a change; null if it need not be written any more, or cannot be written now. */
  private entryOf({ job, chunk, queuedWrite }: ChangedChunk): LogEntry | null {
    if (chunk.queuedWrite !== queuedWrite || !this.owner.isWritable(job)) {
      this.changedChunks.delete(chunk);
      if (chunk.queuedWrite === queuedWrite) chunk.queuedWrite = null;
      return null;
    }
    if (this.replica.watchRevision < chunk.writeBlockedUntilRevision) {
      this.changedChunks.delete(chunk);
      chunk.queuedWrite = null;
      this.owner.onBlocked(job, chunk, chunk.writeBlockedUntilRevision);
      return null;
    }
    const before = this.replica.chunks.get(job.id)?.get(chunk.index) ?? emptyChunk;
    const after = { ...chunkStateOf(job, chunk), size: chunk.size };
    // The version is also set in the chunk, so that a later change gets a higher one.
    const to = (chunk.version = Math.max(chunk.version, before.version + 1));
    return {
      job: job.id,
      chunk: chunk.index,
      fromVersion: before.version,
      toVersion: to,
      ...deltaBetween(before, after),
    };
  }

  /** Builds entries for as many cleared jobs as fit into the rest of the record; the others are left for the next record. */
  private buildClears(maxBytes: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (const id of this.clearedJobs.keys()) {
      const ofJob = this.clearsOf(id);
      bytes += ofJob.reduce((sum, entry) => sum + encodedSize(entry), 0);
      if (bytes > maxBytes && (entries.length > 0 || this.builtChanges.length > 0)) break;
      if (ofJob.length === 0) this.clearedJobs.delete(id);
      else this.builtClears.push(id);
      entries.push(...ofJob);
    }
    return entries;
  }

  private clearsOf(id: string): LogEntry[] {
    return [...(this.replica.chunks.get(id) ?? [])].map(
      ([chunk, { version, lastAttempt, placements }]): LogEntry => ({
        job: id,
        chunk,
        fromVersion: version,
        toVersion: version + 1,
        lastAttempt,
        placements: [],
        done: [],
        removed: placements.map((p) => p.index),
        failedHosts: null,
      }),
    );
  }

  private onCommitted(): void {
    this.isQueued = false;
    this.nextSequence++;
    for (const id of this.builtClears) this.clearedJobs.delete(id);
    for (const { job, chunk, queuedWrite, entry } of this.builtChanges.splice(0)) {
      this.forget(chunk, queuedWrite);
      this.owner.onDurable(job, chunk, entry.toVersion);
    }
  }

  /**
   * Blocks the chunks of jobs whose conditions failed, for example because of a cancellation; those of others are retried at
   * once.
   */
  private onConflict(failedKeys: ReadonlySet<string>, revision: number): void {
    this.isQueued = false;
    // The key may be in use by an earlier write under the same grant.
    this.nextSequence++;
    const jobsFailed = this.builtChanges.some((b) => failedKeys.has(jobKey(b.job.id)));
    for (const { job, chunk, queuedWrite } of this.builtChanges.splice(0)) {
      if (jobsFailed && !failedKeys.has(jobKey(job.id))) continue;
      this.forget(chunk, queuedWrite);
      this.owner.onBlocked(job, chunk, revision);
    }
  }

  private forget(chunk: TaskChunk, queuedWrite: ChangedChunk['queuedWrite']): void {
    if (this.changedChunks.get(chunk)?.queuedWrite === queuedWrite) this.changedChunks.delete(chunk);
    if (chunk.queuedWrite === queuedWrite) chunk.queuedWrite = null;
  }
}

const isUrgent = (job: ScheduledJob): boolean => urgencyRank[job.spec.urgency] > urgencyRank.normal;

const urgencyOf = ({ job, queuedWrite }: ChangedChunk): number =>
  queuedWrite.priority === WritePriority.cleanup ? -1 : urgencyRank[job.spec.urgency];
