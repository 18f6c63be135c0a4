/**
 * Writes the task log of one shard, as its owner. What has changed gathers for a moment while the write budget is short; then one
 * record holds the changes of many jobs. Each record has a key of its own under the grant's stamp, and the conditions that the
 * grant stands and that no job that gets a placement by it was cancelled.
 */
import { urgencyRank } from '../../../model/job.js';
import type { Condition, Txn } from '../../../wire/store.js';
import type { TaskChunk, ScheduledJob } from '../../shard-state/types.js';
import { Rank, type Committer } from '../transaction-batcher.js';
import { jobKey, logKey, shardKey } from '../keys.js';
import type { Replica } from '../../replica.js';
import { stateOf } from '../chunk-state.js';
import { difference, emptyChunk, logData, sizeOf, type LogEntry } from './entry.js';

/** A record's value takes at most this share of what a value may hold, and this many bytes. */
const valueShare = 0.9;
const mostRecordBytes = 40 * 1024;
/** Of the conditions that a transaction may have, so many are for jobs that get placements. */
const conditionShare = 0.7;
/** How long changes gather while the budget is short, ms: of urgent work, of other placements. */
const urgentDelayMs = 100;
const placementDelayMs = 250;
/** Ends gather for this share of a report interval, unless placements take them along. */
const endDelayShare = 0.25;

/** What the log's writer needs of its owner. */
export interface LoggedTasks {
  /** Whether the log's shard is this process's. */
  owned(shard: number): boolean;
  /** Whether a job may be written: it is this process's, and nothing else is being done about it. */
  writable(job: ScheduledJob): boolean;
  /** A chunk's state up to this version is durable. */
  durable(job: ScheduledJob, chunk: TaskChunk, version: number): void;
  /** A chunk's write was refused, because of its job or of the grant: to be looked at when the view has reached `epoch`. */
  blocked(job: ScheduledJob, chunk: TaskChunk, epoch: number): void;
}

interface LogLimits {
  valueKb: number;
  conditions: number;
  reportS: number;
}

interface Waiting {
  job: ScheduledJob;
  chunk: TaskChunk;
  ticket: { rank: Rank };
  since: number;
}

interface Built extends Waiting {
  entry: LogEntry;
}

export class LogWriter {
  /** Chunks with changes to be written, in order of arrival. */
  private readonly changed = new Map<TaskChunk, Waiting>();
  /** Cancelled jobs of which nothing is left, and since when, ms: their last placements go from the log. */
  private readonly cleared = new Map<string, number>();
  private built: Built[] = [];
  private builtClears: string[] = [];
  private asked = false;
  private count = 0;
  private grant = 0;
  private readonly mostBytes: number;
  private readonly mostJobs: number;

  constructor(
    private readonly shard: number,
    private readonly limits: LogLimits,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly tasks: LoggedTasks,
  ) {
    this.mostBytes = Math.min(limits.valueKb * 1024, mostRecordBytes) * valueShare;
    this.mostJobs = Math.max(1, Math.floor(limits.conditions * conditionShare));
  }

  /** A chunk has changed. */
  mark(job: ScheduledJob, chunk: TaskChunk, ticket: { rank: Rank }, now: number): void {
    const before = this.changed.get(chunk);
    this.changed.set(chunk, { job, chunk, ticket, since: before?.since ?? now });
  }

  /** Nothing of a cancelled job is on any machine: what the log says of it is to end. */
  clear(id: string, now: number): void {
    this.cleared.set(id, now);
  }

  /** To be called every step. */
  tick(now: number): void {
    if (this.asked || !this.isDue(now)) return;
    this.asked = true;
    this.committer.add({
      rank: Rank.urgent,
      build: () => this.build(),
      ok: () => this.written(),
      conflict: (failed, epoch) => this.refused(new Set(failed), epoch),
    });
  }

  private isDue(now: number): boolean {
    for (const waiting of this.changed.values())
      if (now - waiting.since >= this.delayOf(waiting)) return true;
    for (const since of this.cleared.values()) if (now - since >= this.endDelayMs) return true;
    return false;
  }

  private get endDelayMs(): number {
    return this.limits.reportS * 1000 * endDelayShare;
  }

  /** Nothing waits while the budget is free but ends, which nobody waits for. */
  private delayOf({ job, ticket }: Waiting): number {
    if (ticket.rank === Rank.cleanup) return this.endDelayMs;
    if (!this.committer.isShort) return 0;
    return isUrgent(job) ? urgentDelayMs : placementDelayMs;
  }

  private build(): Txn | null {
    this.built = [];
    this.builtClears = [];
    const grant = this.replica.shards.get(this.shard);
    // Guards against writing under the grant of whoever has the shard now.
    if (!grant || !this.tasks.owned(this.shard)) return this.withdraw();
    const when: Condition[] = [{ key: shardKey(this.shard), stamp: grant.stamp }];
    const { entries, bytes } = this.buildChanges(when);
    entries.push(...this.buildClears(this.mostBytes - bytes));
    if (entries.length === 0) return this.withdraw();
    if (grant.stamp !== this.grant) [this.grant, this.count] = [grant.stamp, 0];
    const key = logKey(this.shard, grant.stamp, this.count);
    when.push({ key, stamp: 0 });
    return { when, apply: [{ key, data: logData(entries) }] };
  }

  private withdraw(): null {
    this.asked = false;
    return null;
  }

  /** As much as one record holds, urgent work first. */
  private buildChanges(when: Condition[]): { entries: LogEntry[]; bytes: number } {
    const waiting = [...this.changed.values()].sort((a, b) => urgencyOf(b) - urgencyOf(a));
    const conditions = new Set<string>();
    let bytes = 0;
    for (const one of waiting) {
      const entry = this.entryOf(one);
      if (entry === null) continue;
      const size = sizeOf(entry);
      const needsCondition = entry.placed.length > 0 && !conditions.has(one.job.id);
      const isFull = bytes + size > this.mostBytes || (needsCondition && conditions.size >= this.mostJobs);
      if (isFull && this.built.length > 0) break;
      bytes += size;
      if (needsCondition) {
        conditions.add(one.job.id);
        when.push({ key: jobKey(one.job.id), stamp: one.job.modRevision });
      }
      this.built.push({ ...one, entry });
    }
    return { entries: this.built.map((b) => b.entry), bytes };
  }

  /** null: there is nothing to be written of it (any more), or not now. */
  private entryOf({ job, chunk, ticket }: Waiting): LogEntry | null {
    if (chunk.queuedWrite !== ticket || !this.tasks.writable(job)) {
      this.changed.delete(chunk);
      if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
      return null;
    }
    if (this.replica.watchRevision < chunk.writeBlockedUntilRevision) {
      this.changed.delete(chunk);
      chunk.queuedWrite = null;
      this.tasks.blocked(job, chunk, chunk.writeBlockedUntilRevision);
      return null;
    }
    const before = this.replica.chunks.get(job.id)?.get(chunk.index) ?? emptyChunk;
    const after = { ...stateOf(job, chunk), size: chunk.size };
    // A later change must get a number above this one.
    const to = (chunk.version = Math.max(chunk.version, before.revision + 1));
    return {
      job: job.id,
      chunk: chunk.index,
      from: before.revision,
      to,
      ...difference(before, after),
    };
  }

  /** As many as the rest of a record holds; what does not fit is cleared by the next. */
  private buildClears(mostBytes: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (const id of this.cleared.keys()) {
      const ofJob = this.clearsOf(id);
      bytes += ofJob.reduce((sum, entry) => sum + sizeOf(entry), 0);
      if (bytes > mostBytes && (entries.length > 0 || this.built.length > 0)) break;
      if (ofJob.length === 0) this.cleared.delete(id);
      else this.builtClears.push(id);
      entries.push(...ofJob);
    }
    return entries;
  }

  private clearsOf(id: string): LogEntry[] {
    return [...(this.replica.chunks.get(id) ?? [])].map(([chunk, { revision, last, placed }]) => ({
      job: id,
      chunk,
      from: revision,
      to: revision + 1,
      last,
      placed: [],
      done: [],
      freed: placed.map((p) => p.index),
      failed: null,
    }));
  }

  private written(): void {
    this.asked = false;
    this.count++;
    for (const id of this.builtClears) this.cleared.delete(id);
    for (const { job, chunk, ticket, entry } of this.built.splice(0)) {
      this.forget(chunk, ticket);
      this.tasks.durable(job, chunk, entry.to);
    }
  }

  /** Jobs that were cancelled meanwhile are left out; the others go again at once. */
  private refused(failed: ReadonlySet<string>, epoch: number): void {
    this.asked = false;
    // Guards against a key that an earlier write of this grant has taken.
    this.count++;
    const jobsFailed = this.built.some((b) => failed.has(jobKey(b.job.id)));
    for (const { job, chunk, ticket } of this.built.splice(0)) {
      if (jobsFailed && !failed.has(jobKey(job.id))) continue;
      this.forget(chunk, ticket);
      this.tasks.blocked(job, chunk, epoch);
    }
  }

  private forget(chunk: TaskChunk, ticket: Waiting['ticket']): void {
    if (this.changed.get(chunk)?.ticket === ticket) this.changed.delete(chunk);
    if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
  }
}

const isUrgent = (job: ScheduledJob): boolean => urgencyRank[job.spec.urgency] > urgencyRank.normal;

const urgencyOf = ({ job, ticket }: Waiting): number =>
  ticket.rank === Rank.cleanup ? -1 : urgencyRank[job.spec.urgency];
