/** Makes the states of tasks durable. */
import type { Settings } from '../../config/settings.js';
import { urgencyRank } from '../../model/job.js';
import type { Transaction, Write } from '../../wire/store.js';
import { conditionsPerOperation, WritePriority } from './pending-write.js';
import type { TransactionBatcher } from './transaction-batcher.js';
import type { Clock, Log } from '../effects.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import {
  chunkData,
  cancelledJobDataOf,
  openJobData,
  inlineCancelledJobData,
  inlineJobData,
} from './records.js';
import type { Replica } from '../replica.js';
import { chunkStateOf } from './chunk-state.js';
import { JobFinalizer } from './job-finalizer.js';
import { LogTruncator, LogWriter } from './task-log/index.js';
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';

/** Ends of tasks gather for this share of a report interval before they are written. */
const terminationDelayShare = 0.5;

/** Urgent work does not queue behind the placements of all others. */
const placementPriority = ({ spec }: ScheduledJob): WritePriority =>
  urgencyRank[spec.urgency] > urgencyRank.normal ? WritePriority.urgent : WritePriority.task;

/** The process's jobs and shards, as the write path needs them. */
export interface TaskOwner {
  jobs: Map<string, ScheduledJob>;
  /** Jobs that were brought to their end, by team. */
  finishedJobsByTeam: Map<string, number>;
  /** Shards of this process. */
  ownedShards: ReadonlySet<number>;
  /** Another writer was there: the job is to be built anew from what is durable. */
  reloadJob(id: string): void;
}

/**
 * Makes the states of tasks durable: what is placed and what has ended, by chunks of a job's tasks, in records of their own, in
 * their job's, or in the task log, as the level in force has it.
 */
export class TaskWriter {
  private readonly terminated = new Map<TaskChunk, { job: ScheduledJob; since: number }>();
  private blockedChunks: { job: ScheduledJob; chunk: TaskChunk }[] = [];
  private readonly finalizer: JobFinalizer;
  /** The task logs of this process's shards. */
  private readonly logWriters = new Map<number, LogWriter>();
  private readonly truncator: LogTruncator;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: TaskOwner,
    /** Jobs of so many tasks may have their state in their own record. */
    private readonly maxInlineTasks: number,
    /** Whether the task log is used where the level in force allows it, and how long a record stays in it, ms. */
    private readonly taskLog: { enabled: boolean; maxAgeMs: number },
  ) {
    const limits = { maxAgeMs: taskLog.maxAgeMs, maxOperations: settings.state.txn_ops };
    this.truncator = new LogTruncator(replica, batcher, clock, owner, limits, (job, chunk) =>
      this.checkpoint(job, chunk),
    );
    this.finalizer = new JobFinalizer(settings.state.txn_ops, replica, batcher, log, owner);
  }

  /** To be called every step: ends that have gathered long enough, and writes that conflicted. */
  tick(): void {
    this.retryBlocked();
    this.finalizer.tick();
    for (const logWriter of this.logWriters.values()) logWriter.tick(this.clock.now);
    this.truncator.tick();
  }

  /** Every task of a job is done. */
  finalizeJob(job: ScheduledJob): void {
    this.finalizer.finalize(job);
  }

  /** A cancelled job is over and nothing of it is left: its tasks' records go. */
  deleteTaskRecords(job: ScheduledJob): void {
    if (this.usesTaskLog(job) && this.loggedChunks(job).length > 0)
      this.logWriterOf(job.shard).clearJob(job.id, this.clock.now);
    this.finalizer.deleteTaskRecords(job);
  }

  /** A shard is not this process's any more. */
  closeShard(shard: number): void {
    this.logWriters.delete(shard);
  }

  /** Has a chunk's changes written, with those of other jobs where the task log is used. */
  enqueue(job: ScheduledJob, chunk: TaskChunk, priority = placementPriority(job)): void {
    if (chunk.queuedWrite !== null && chunk.queuedWrite.rank <= priority) return;
    // Placements overtake ends: the intent queued for those finds nothing left to do.
    const ticket = { rank: priority };
    chunk.queuedWrite = ticket;
    this.terminated.delete(chunk);
    if (this.usesTaskLog(job)) this.logWriterOf(job.shard).markChanged(job, chunk, ticket, this.clock.now);
    else this.writeChunk(job, chunk, ticket);
  }

  private usesTaskLog(job: ScheduledJob): boolean {
    const { replica } = this;
    return (
      this.taskLog.enabled && replica.levels.isEnabled('task-log') && !replica.jobsWithInlineTasks.has(job.id)
    );
  }

  private logWriterOf(shard: number): LogWriter {
    let logWriter = this.logWriters.get(shard);
    if (!logWriter) this.logWriters.set(shard, (logWriter = this.openLogWriter(shard)));
    return logWriter;
  }

  private openLogWriter(shard: number): LogWriter {
    const { state, workers } = this.settings;
    const limits = {
      valueKb: state.value_kb,
      maxConditions: state.txn_ops * conditionsPerOperation,
      heartbeatS: workers.report_s,
    };
    return new LogWriter(shard, limits, this.replica, this.batcher, {
      isOwned: (shard) => this.owner.ownedShards.has(shard),
      isWritable: (job) => this.isWritable(job),
      onDurable: (job, chunk, version) => this.onDurable(job, chunk, version),
      onBlocked: (job, chunk, epoch) => this.blockUntil(job, chunk, epoch),
    });
  }

  private isWritable(job: ScheduledJob): boolean {
    const { jobs, ownedShards: owned } = this.owner;
    return jobs.get(job.id) === job && owned.has(job.shard) && !job.finalizing && !job.unreadable;
  }

  private onDurable(job: ScheduledJob, chunk: TaskChunk, version: number): void {
    chunk.durableVersion = version;
    if (chunk.placedVersion > version) this.enqueue(job, chunk);
    else if (chunk.version > version) this.noteTermination(job, chunk);
  }

  private blockUntil(job: ScheduledJob, chunk: TaskChunk, revision: number): void {
    chunk.writeBlockedUntilRevision = revision;
    this.blockedChunks.push({ job, chunk });
  }

  /** Has a chunk's whole state written in a record of its own: where no task log is used, and as a checkpoint of it. */
  private writeChunk(job: ScheduledJob, chunk: TaskChunk, ticket: { rank: WritePriority }): void {
    let builtVersion = 0;
    this.batcher.enqueue({
      priority: ticket.rank,
      build: () => {
        if (chunk.queuedWrite !== ticket) return null;
        const grant = this.replica.shards.get(job.shard);
        if (!grant || !this.isWritable(job)) {
          chunk.queuedWrite = null;
          return null;
        }
        if (this.replica.watchRevision < chunk.writeBlockedUntilRevision) {
          // Tried again when the view has caught up.
          chunk.queuedWrite = null;
          this.blockedChunks.push({ job, chunk });
          return null;
        }
        builtVersion = chunk.version;
        return this.buildTransaction(job, chunk, grant.modRevision);
      },
      onCommitted: (epoch) => {
        if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
        chunk.modRevision = epoch;
        this.onDurable(job, chunk, builtVersion);
      },
      onConflict: (failed, epoch) => {
        if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
        this.log('info', 'task commit refused', { job: job.id, failed });
        this.blockUntil(job, chunk, epoch);
      },
    });
  }

  /** Where the state of a job's tasks goes: into the job's own record if it is small and the level in force lets it. */
  private buildTransaction(job: ScheduledJob, chunk: TaskChunk, shardRevision: number): Transaction {
    const { replica } = this;
    const isInline = replica.jobsWithInlineTasks.has(job.id);
    const tasks = chunkData(chunkStateOf(job, chunk), isInline || !this.recordsVersions ? 0 : chunk.version);
    const key = chunkKey(job.id, chunk.index);
    const jobCondition = { key: jobKey(job.id), stamp: job.modRevision };
    const conditions = [{ key: shardKey(job.shard), stamp: shardRevision }, jobCondition];
    const becomesInline =
      replica.levels.isEnabled('small-jobs') &&
      (isInline || (!this.usesTaskLog(job) && this.fitsInline(job)));
    if (!becomesInline && !isInline)
      return {
        conditions: [...conditions, { key, stamp: chunk.modRevision }],
        writes: [{ key, data: tasks }],
      };
    const writes: Write[] = [];
    const { spec, acceptedAt: at } = job;
    if (becomesInline) {
      const data = job.cancelled ? inlineCancelledJobData(at, spec, tasks) : inlineJobData(spec, at, tasks);
      writes.push({ key: jobCondition.key, data });
      if (!isInline && chunk.modRevision > 0) writes.push({ key, data: undefined });
    } else {
      const data = job.cancelled ? cancelledJobDataOf(at, spec) : openJobData(spec, at);
      writes.push({ key: jobCondition.key, data }, { key, data: tasks });
    }
    return { conditions: [...conditions, { key, stamp: isInline ? 0 : chunk.modRevision }], writes };
  }

  /** Whether records of tasks say which revision of their state they hold: while any task log may speak of them. */
  private get recordsVersions(): boolean {
    const { levels, taskLog } = this.replica;
    return (this.taskLog.enabled && levels.isEnabled('task-log')) || taskLog.size > 0;
  }

  /** Whether a job's tasks may be kept in its own record. One that is over, but for its last tasks, stays as it is. */
  fitsInline(job: ScheduledJob): boolean {
    return !job.cancelled && job.chunks.length === 1 && job.spec.tasks <= this.maxInlineTasks;
  }

  /** Whether a job's tasks are kept in another way than the level in force has it. */
  needsMigration(job: ScheduledJob): boolean {
    const { replica } = this;
    const isInline = replica.jobsWithInlineTasks.has(job.id);
    if (!replica.levels.isEnabled('task-log') && this.loggedChunks(job).length > 0) return true;
    if (replica.levels.isEnabled('small-jobs'))
      return !isInline && !this.usesTaskLog(job) && job.chunks[0].modRevision > 0 && this.fitsInline(job);
    return isInline;
  }

  /** Chunks of which the task log, or a checkpoint of it, tells the state. */
  private loggedChunks(job: ScheduledJob): TaskChunk[] {
    const states = this.replica.chunks.get(job.id);
    return job.chunks.filter((chunk) => (states?.get(chunk.index)?.version ?? 0) > 0);
  }

  /** Writes a job's tasks once more as the level in force has it, unless that is about to happen; how many writes it takes. */
  migrate(job: ScheduledJob): number {
    if (job.finalizing || job.unreadable) return 0;
    const logged = this.replica.levels.isEnabled('task-log') ? [] : this.loggedChunks(job);
    const chunks =
      logged.length > 0 ? logged.filter((chunk) => !this.isCheckpointed(job, chunk)) : [job.chunks[0]];
    let writes = 0;
    for (const chunk of chunks) if (this.checkpoint(job, chunk)) writes += 2;
    return writes;
  }

  /** Nothing more can be done about a checkpoint while the log that it follows is there. */
  private isCheckpointed(job: ScheduledJob, chunk: TaskChunk): boolean {
    const state = this.replica.chunks.get(job.id)?.get(chunk.index);
    return state !== undefined && state.checkpointVersion === state.version && this.replica.taskLog.size > 0;
  }

  /** Has a chunk's state written in its own record, unless it is about to be written. */
  private checkpoint(job: ScheduledJob, chunk: TaskChunk): boolean {
    if (chunk.queuedWrite !== null) return false;
    const ticket = { rank: WritePriority.cleanup };
    chunk.queuedWrite = ticket;
    this.terminated.delete(chunk);
    this.writeChunk(job, chunk, ticket);
    return true;
  }

  /** An end is written with the chunk's next placement, or after a while with the others of its chunk. */
  noteTermination(job: ScheduledJob, chunk: TaskChunk): void {
    if (!chunk.queuedWrite && !this.terminated.has(chunk))
      this.terminated.set(chunk, { job, since: this.clock.now });
  }

  flushTerminations(): void {
    const delayMs = this.settings.workers.report_s * 1000 * terminationDelayShare;
    for (const [chunk, e] of this.terminated) {
      // In order of age.
      if (this.clock.now - e.since < delayMs) break;
      this.terminated.delete(chunk);
      if (this.owner.jobs.get(e.job.id) === e.job && chunk.durableVersion < chunk.version)
        this.enqueue(e.job, chunk, WritePriority.cleanup);
    }
  }

  /** Chunks whose write conflicted: once the view has caught up, go on from what is durable. */
  private retryBlocked(): void {
    if (this.blockedChunks.length === 0) return;
    const blocked = this.blockedChunks;
    this.blockedChunks = [];
    for (const b of blocked) {
      if (this.owner.jobs.get(b.job.id) !== b.job) continue;
      if (this.replica.watchRevision < b.chunk.writeBlockedUntilRevision) {
        this.blockedChunks.push(b);
        continue;
      }
      if (this.wasChangedElsewhere(b.job, b.chunk)) {
        this.log('warn', 'chunk changed by another writer, reading it again', { job: b.job.id });
        this.owner.reloadJob(b.job.id);
      } else this.enqueue(b.job, b.chunk);
    }
  }

  /** Whether another than this process has written a chunk's state since. */
  private wasChangedElsewhere(job: ScheduledJob, chunk: TaskChunk): boolean {
    const { replica } = this;
    if (replica.taskStateModRevision(job.id, chunk.index) !== chunk.modRevision) return true;
    const revision = replica.chunks.get(job.id)?.get(chunk.index)?.version ?? 0;
    return revision > chunk.durableVersion;
  }
}
