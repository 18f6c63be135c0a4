/**
 * Writes the task log of one shard, as its owner. What has changed gathers for a moment while the write budget is short; then one
 * record holds the changes of many jobs. Each record has a key of its own under the grant's stamp, and the conditions that the
 * grant stands and that no job that gets a placement by it was cancelled.
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

/** A record's value takes at most this share of what a value may hold, and this many bytes. */
const maxValueShare = 0.9;
const maxRecordBytes = 40 * 1024;
/** Of the conditions that a transaction may have, so many are for jobs that get placements. */
const conditionShare = 0.7;
/** How long changes gather while the budget is short, ms: of urgent work, of other placements. */
const urgentDelayMs = 100;
const placementDelayMs = 250;
/** Ends gather for this share of a report interval, unless placements take them along. */
const terminationDelayShare = 0.25;

/** What the log's writer needs of its owner. */
export interface LoggedTasks {
  /** Whether the log's shard is this process's. */
  isOwned(shard: number): boolean;
  /** Whether a job may be written: it is this process's, and nothing else is being done about it. */
  isWritable(job: ScheduledJob): boolean;
  /** A chunk's state up to this version is durable. */
  onDurable(job: ScheduledJob, chunk: TaskChunk, version: number): void;
  /** A chunk's write was refused, because of its job or of the grant: to be looked at when the view has reached `epoch`. */
  onBlocked(job: ScheduledJob, chunk: TaskChunk, revision: number): void;
}

interface LogLimits {
  valueKb: number;
  maxConditions: number;
  heartbeatS: number;
}

interface ChangedChunk {
  job: ScheduledJob;
  chunk: TaskChunk;
  ticket: { rank: WritePriority };
  since: number;
}

interface BuiltChange extends ChangedChunk {
  entry: LogEntry;
}

/** Gathers changes of many chunks into records of the task log (group commit). */
export class LogWriter {
  /** Chunks with changes to be written, in order of arrival. */
  private readonly changed = new Map<TaskChunk, ChangedChunk>();
  /** Cancelled jobs of which nothing is left, and since when, ms: their last placements go from the log. */
  private readonly clearedJobs = new Map<string, number>();
  private builtChanges: BuiltChange[] = [];
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
    private readonly owner: LoggedTasks,
  ) {
    this.maxBytes = Math.min(limits.valueKb * 1024, maxRecordBytes) * maxValueShare;
    this.maxJobs = Math.max(1, Math.floor(limits.maxConditions * conditionShare));
  }

  /** A chunk has changed. */
  markChanged(job: ScheduledJob, chunk: TaskChunk, ticket: { rank: WritePriority }, now: number): void {
    const before = this.changed.get(chunk);
    this.changed.set(chunk, { job, chunk, ticket, since: before?.since ?? now });
  }

  /** Nothing of a cancelled job is on any machine: what the log says of it is to end. */
  clearJob(id: string, now: number): void {
    this.clearedJobs.set(id, now);
  }

  /** To be called every step. */
  tick(now: number): void {
    if (this.isQueued || !this.isDue(now)) return;
    this.isQueued = true;
    this.batcher.enqueue({
      priority: WritePriority.urgent,
      build: () => this.build(),
      onCommitted: () => this.onCommitted(),
      onConflict: (failed, epoch) => this.onConflict(new Set(failed), epoch),
    });
  }

  private isDue(now: number): boolean {
    for (const waiting of this.changed.values())
      if (now - waiting.since >= this.delayOf(waiting)) return true;
    for (const since of this.clearedJobs.values()) if (now - since >= this.terminationDelayMs) return true;
    return false;
  }

  private get terminationDelayMs(): number {
    return this.limits.heartbeatS * 1000 * terminationDelayShare;
  }

  /** Nothing waits while the budget is free but ends, which nobody waits for. */
  private delayOf({ job, ticket }: ChangedChunk): number {
    if (ticket.rank === WritePriority.cleanup) return this.terminationDelayMs;
    if (!this.batcher.isBudgetLow) return 0;
    return isUrgent(job) ? urgentDelayMs : placementDelayMs;
  }

  private build(): Transaction | null {
    this.builtChanges = [];
    this.builtClears = [];
    const grant = this.replica.shards.get(this.shard);
    // Guards against writing under the grant of whoever has the shard now.
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

  /** As much as one record holds, urgent work first. */
  private buildChanges(conditions: Condition[]): { entries: LogEntry[]; bytes: number } {
    const changed = [...this.changed.values()].sort((a, b) => urgencyOf(b) - urgencyOf(a));
    const conditionedJobs = new Set<string>();
    let bytes = 0;
    for (const one of changed) {
      const entry = this.entryOf(one);
      if (entry === null) continue;
      const size = encodedSize(entry);
      const needsCondition = entry.placements.length > 0 && !conditionedJobs.has(one.job.id);
      const isFull = bytes + size > this.maxBytes || (needsCondition && conditionedJobs.size >= this.maxJobs);
      if (isFull && this.builtChanges.length > 0) break;
      bytes += size;
      if (needsCondition) {
        conditionedJobs.add(one.job.id);
        conditions.push({ key: jobKey(one.job.id), stamp: one.job.modRevision });
      }
      this.builtChanges.push({ ...one, entry });
    }
    return { entries: this.builtChanges.map((b) => b.entry), bytes };
  }

  /** null: there is nothing to be written of it (any more), or not now. */
  private entryOf({ job, chunk, ticket }: ChangedChunk): LogEntry | null {
    if (chunk.queuedWrite !== ticket || !this.owner.isWritable(job)) {
      this.changed.delete(chunk);
      if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
      return null;
    }
    if (this.replica.watchRevision < chunk.writeBlockedUntilRevision) {
      this.changed.delete(chunk);
      chunk.queuedWrite = null;
      this.owner.onBlocked(job, chunk, chunk.writeBlockedUntilRevision);
      return null;
    }
    const before = this.replica.chunks.get(job.id)?.get(chunk.index) ?? emptyChunk;
    const after = { ...chunkStateOf(job, chunk), size: chunk.size };
    // A later change must get a number above this one.
    const to = (chunk.version = Math.max(chunk.version, before.version + 1));
    return {
      job: job.id,
      chunk: chunk.index,
      fromVersion: before.version,
      toVersion: to,
      ...deltaBetween(before, after),
    };
  }

  /** As many as the rest of a record holds; what does not fit is cleared by the next. */
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
      ([chunk, { version: revision, lastAttempt: last, placements: placed }]): LogEntry => ({
        job: id,
        chunk,
        fromVersion: revision,
        toVersion: revision + 1,
        lastAttempt: last,
        placements: [],
        done: [],
        removed: placed.map((p) => p.index),
        failedHosts: null,
      }),
    );
  }

  private onCommitted(): void {
    this.isQueued = false;
    this.nextSequence++;
    for (const id of this.builtClears) this.clearedJobs.delete(id);
    for (const { job, chunk, ticket, entry } of this.builtChanges.splice(0)) {
      this.forget(chunk, ticket);
      this.owner.onDurable(job, chunk, entry.toVersion);
    }
  }

  /** Jobs that were cancelled meanwhile are left out; the others go again at once. */
  private onConflict(failedKeys: ReadonlySet<string>, revision: number): void {
    this.isQueued = false;
    // Guards against a key that an earlier write of this grant has taken.
    this.nextSequence++;
    const jobsFailed = this.builtChanges.some((b) => failedKeys.has(jobKey(b.job.id)));
    for (const { job, chunk, ticket } of this.builtChanges.splice(0)) {
      if (jobsFailed && !failedKeys.has(jobKey(job.id))) continue;
      this.forget(chunk, ticket);
      this.owner.onBlocked(job, chunk, revision);
    }
  }

  private forget(chunk: TaskChunk, ticket: ChangedChunk['ticket']): void {
    if (this.changed.get(chunk)?.ticket === ticket) this.changed.delete(chunk);
    if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
  }
}

const isUrgent = (job: ScheduledJob): boolean => urgencyRank[job.spec.urgency] > urgencyRank.normal;

const urgencyOf = ({ job, ticket }: ChangedChunk): number =>
  ticket.rank === WritePriority.cleanup ? -1 : urgencyRank[job.spec.urgency];
