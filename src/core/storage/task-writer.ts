/** Persists the state of tasks. */
import type { Settings } from '../../config/settings.js';
import { urgencyRank } from '../../model/job.js';
import type { Transaction, Write } from '../../wire/store.js';
import { conditionsPerOperation, WritePriority } from './pending-write.js';
import type { TransactionBatcher } from './transaction-batcher.js';
import type { Clock, Log } from '../effects.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import {
  chunkData,
  cancelledJobDataFromSpec,
  openJobData,
  inlineCancelledJobData,
  inlineJobData,
} from './records.js';
import type { Replica } from '../replica.js';
import { chunkStateOf } from './chunk-state.js';
import { JobFinalizer } from './job-finalizer.js';
import { LogTruncator, LogWriter } from './task-log/index.js';
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';

/** Terminations of tasks are collected for this share of a report interval before they are written. */
const terminationDelayShare = 0.5;

/** Placements of urgent jobs do not queue behind those of all other jobs. */
const placementPriority = ({ spec }: ScheduledJob): WritePriority =>
  urgencyRank[spec.urgency] > urgencyRank.normal ? WritePriority.urgent : WritePriority.task;

/** The jobs and shards of this process, as far as the task writer needs them. */
export interface TaskOwner {
  jobs: Map<string, ScheduledJob>;
  /** The number of jobs that have been completed, by team. */
  finishedJobsByTeam: Map<string, number>;
  /** The shards that this process owns. */
  ownedShards: ReadonlySet<number>;
  /** Rebuilds a job from its durable state, after another process has written it. */
  reloadJob(id: string): void;
}

/**
 * Persists the placements and terminations of tasks, by chunks of a job's tasks. Depending on the feature level in force, the
 * state of a chunk is stored in a record of its own, in the record of its job (inline), or in the task log.
 */
export class TaskWriter {
  /** Chunks with terminations that are not queued for writing yet, oldest first. */
  private readonly pendingTerminations = new Map<TaskChunk, { job: ScheduledJob; since: number }>();
  /** Chunks whose write conflicted: retried once the replica has caught up. */
  private blockedChunks: { job: ScheduledJob; chunk: TaskChunk }[] = [];
  private readonly finalizer: JobFinalizer;
  /** The writers of the task logs of this process's shards. */
  private readonly logWriters = new Map<number, LogWriter>();
  private readonly truncator: LogTruncator;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly batcher: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: TaskOwner,
    /** The maximum number of tasks of a job whose task state is stored inline, in the job's record. */
    private readonly maxInlineTasks: number,
    /** Whether the task log is used if the level in force allows it, and the age at which its records are checkpointed, ms. */
    private readonly taskLog: { enabled: boolean; maxAgeMs: number },
  ) {
    const limits = { maxAgeMs: taskLog.maxAgeMs, maxOperations: settings.state.txn_ops };
    this.truncator = new LogTruncator(replica, batcher, clock, owner, limits, (job, chunk) =>
      this.checkpoint(job, chunk),
    );
    this.finalizer = new JobFinalizer(settings.state.txn_ops, replica, batcher, log, owner);
  }

  /** To be called on every tick: retries writes that conflicted, and runs the finalizer, the log writers and the truncator. */
  tick(): void {
    this.retryBlocked();
    this.finalizer.tick();
    for (const logWriter of this.logWriters.values()) logWriter.tick(this.clock.now);
    this.truncator.tick();
  }

  /** Records the completion of a job whose tasks are all done. */
  finalizeJob(job: ScheduledJob): void {
    this.finalizer.finalize(job);
  }

  /** Deletes the task records of a cancelled job that has no task left on any machine. */
  deleteTaskRecords(job: ScheduledJob): void {
    if (this.usesTaskLog(job) && this.loggedChunks(job).length > 0)
      this.logWriterOf(job.shard).clearJob(job.id, this.clock.now);
    this.finalizer.deleteTaskRecords(job);
  }

  /** Called when this process no longer owns a shard. */
  closeShard(shard: number): void {
    this.logWriters.delete(shard);
  }

  /** Queues a chunk's changes for writing; in the task log, they share a record with those of other jobs. */
  enqueue(job: ScheduledJob, chunk: TaskChunk, priority = placementPriority(job)): void {
    if (chunk.queuedWrite !== null && chunk.queuedWrite.priority <= priority) return;
    // Replaces a queued write of lower priority, which is then skipped when it is built.
    const queuedWrite = { priority };
    chunk.queuedWrite = queuedWrite;
    this.pendingTerminations.delete(chunk);
    if (this.usesTaskLog(job))
      this.logWriterOf(job.shard).markChanged(job, chunk, queuedWrite, this.clock.now);
    else this.writeChunk(job, chunk, queuedWrite);
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
      onBlocked: (job, chunk, revision) => this.blockUntil(job, chunk, revision),
    });
  }

  private isWritable(job: ScheduledJob): boolean {
    const { jobs, ownedShards: owned } = this.owner;
    return jobs.get(job.id) === job && owned.has(job.shard) && !job.finalizing && !job.unreadable;
  }

  private onDurable(job: ScheduledJob, chunk: TaskChunk, version: number): void {
    chunk.durableVersion = version;
    if (chunk.lastPlacementVersion > version) this.enqueue(job, chunk);
    else if (chunk.version > version) this.noteTermination(job, chunk);
  }

  private blockUntil(job: ScheduledJob, chunk: TaskChunk, revision: number): void {
    chunk.writeBlockedUntilRevision = revision;
    this.blockedChunks.push({ job, chunk });
  }

  /** Queues a write of a chunk's whole state: if the task log is not used, or as a checkpoint of the log. */
  private writeChunk(job: ScheduledJob, chunk: TaskChunk, queuedWrite: { priority: WritePriority }): void {
    let builtVersion = 0;
    this.batcher.enqueue({
      priority: queuedWrite.priority,
      build: () => {
        if (chunk.queuedWrite !== queuedWrite) return null;
        const grant = this.replica.shards.get(job.shard);
        if (!grant || !this.isWritable(job)) {
          chunk.queuedWrite = null;
          return null;
        }
        if (this.replica.watchRevision < chunk.writeBlockedUntilRevision) {
          // Retried when the replica has caught up.
          chunk.queuedWrite = null;
          this.blockedChunks.push({ job, chunk });
          return null;
        }
        builtVersion = chunk.version;
        return this.buildTransaction(job, chunk, grant.modRevision);
      },
      onCommitted: (revision) => {
        if (chunk.queuedWrite === queuedWrite) chunk.queuedWrite = null;
        chunk.modRevision = revision;
        this.onDurable(job, chunk, builtVersion);
      },
      onConflict: (failed, revision) => {
        if (chunk.queuedWrite === queuedWrite) chunk.queuedWrite = null;
        this.log('info', 'write of task state conflicted', { job: job.id, failed });
        this.blockUntil(job, chunk, revision);
      },
    });
  }

  /**
   * Writes the state into the job's own record if the job is small and the level in force allows it, else into a chunk record.
   */
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
      const data = job.cancelled ? cancelledJobDataFromSpec(at, spec) : openJobData(spec, at);
      writes.push({ key: jobCondition.key, data }, { key, data: tasks });
    }
    return { conditions: [...conditions, { key, stamp: isInline ? 0 : chunk.modRevision }], writes };
  }

  /** Whether chunk records include the version of their state: needed while a task log may refer to it. */
  private get recordsVersions(): boolean {
    const { levels, taskLog } = this.replica;
    return (this.taskLog.enabled && levels.isEnabled('task-log')) || taskLog.size > 0;
  }

  /** Whether a job's task state may be stored in its own record. Jobs that are already cancelled are not converted. */
  fitsInline(job: ScheduledJob): boolean {
    return !job.cancelled && job.chunks.length === 1 && job.spec.tasks <= this.maxInlineTasks;
  }

  /** Whether a job's task state is stored in another form than the one of the level in force. */
  needsMigration(job: ScheduledJob): boolean {
    const { replica } = this;
    const isInline = replica.jobsWithInlineTasks.has(job.id);
    if (!replica.levels.isEnabled('task-log') && this.loggedChunks(job).length > 0) return true;
    if (replica.levels.isEnabled('small-jobs'))
      return !isInline && !this.usesTaskLog(job) && job.chunks[0].modRevision > 0 && this.fitsInline(job);
    return isInline;
  }

  /** Chunks whose state is in the task log, or in a checkpoint of it. */
  private loggedChunks(job: ScheduledJob): TaskChunk[] {
    const states = this.replica.chunks.get(job.id);
    return job.chunks.filter((chunk) => (states?.get(chunk.index)?.version ?? 0) > 0);
  }

  /**
   * Rewrites a job's task state in the form of the level in force, unless a write is queued already. Returns how many writes that
   * takes.
   */
  migrate(job: ScheduledJob): number {
    if (job.finalizing || job.unreadable) return 0;
    const logged = this.replica.levels.isEnabled('task-log') ? [] : this.loggedChunks(job);
    const chunks =
      logged.length > 0 ? logged.filter((chunk) => !this.isCheckpointed(job, chunk)) : [job.chunks[0]];
    let writes = 0;
    for (const chunk of chunks) if (this.checkpoint(job, chunk)) writes += 2;
    return writes;
  }

  /** Whether a chunk's checkpoint is up to date: there is no point in writing it again while there are records in the log. */
  private isCheckpointed(job: ScheduledJob, chunk: TaskChunk): boolean {
    const state = this.replica.chunks.get(job.id)?.get(chunk.index);
    return state !== undefined && state.checkpointVersion === state.version && this.replica.taskLog.size > 0;
  }

  /** Queues a write of a chunk's state to its own record, unless one is queued already. Returns whether it did. */
  private checkpoint(job: ScheduledJob, chunk: TaskChunk): boolean {
    if (chunk.queuedWrite !== null) return false;
    const queuedWrite = { priority: WritePriority.cleanup };
    chunk.queuedWrite = queuedWrite;
    this.pendingTerminations.delete(chunk);
    this.writeChunk(job, chunk, queuedWrite);
    return true;
  }

  /** Notes a termination: it is written with the chunk's next placement, or after a delay with others of the chunk. */
  noteTermination(job: ScheduledJob, chunk: TaskChunk): void {
    if (!chunk.queuedWrite && !this.pendingTerminations.has(chunk))
      this.pendingTerminations.set(chunk, { job, since: this.clock.now });
  }

  /** Queues the chunks whose terminations have been collected for long enough. */
  flushTerminations(): void {
    const delayMs = this.settings.workers.report_s * 1000 * terminationDelayShare;
    for (const [chunk, e] of this.pendingTerminations) {
      // The map is in order of age: all further chunks are newer.
      if (this.clock.now - e.since < delayMs) break;
      this.pendingTerminations.delete(chunk);
      if (this.owner.jobs.get(e.job.id) === e.job && chunk.durableVersion < chunk.version)
        this.enqueue(e.job, chunk, WritePriority.cleanup);
    }
  }

  /**
   * Retries chunks whose write conflicted, once the replica has caught up: reloads the job if another process has changed it.
   */
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
        this.log('warn', 'task state changed by another writer, reloading the job', { job: b.job.id });
        this.owner.reloadJob(b.job.id);
      } else this.enqueue(b.job, b.chunk);
    }
  }

  /** Whether another process has written a chunk's state since this one last did. */
  private wasChangedElsewhere(job: ScheduledJob, chunk: TaskChunk): boolean {
    const { replica } = this;
    if (replica.taskStateModRevision(job.id, chunk.index) !== chunk.modRevision) return true;
    const version = replica.chunks.get(job.id)?.get(chunk.index)?.version ?? 0;
    return version > chunk.durableVersion;
  }
}
