/** Makes the states of tasks durable. */
import type { Settings } from '../../config/settings.js';
import { urgencyRank } from '../../model/job.js';
import type { Txn, Write } from '../../wire/store.js';
import { conditionsPerOperation, Rank, type Committer } from './transaction-batcher.js';
import type { Clock, Log } from '../effects.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import { chunkData, jobCancelledData, jobData, wholeCancelledData, wholeJobData } from './records.js';
import type { Replica } from '../replica.js';
import { stateOf } from './chunk-state.js';
import { JobFinisher } from './job-finalizer.js';
import { LogTruncator, LogWriter } from './task-log/index.js';
import type { TaskChunk, ScheduledJob } from '../shard-state/types.js';

/** Ends of tasks gather for this share of a report interval before they are written. */
const endPatience = 0.5;

/** Urgent work does not queue behind the placements of all others. */
const placementRank = ({ spec }: ScheduledJob): Rank =>
  urgencyRank[spec.urgency] > urgencyRank.normal ? Rank.urgent : Rank.task;

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
  private readonly ended = new Map<TaskChunk, { job: ScheduledJob; since: number }>();
  private blocked: { job: ScheduledJob; chunk: TaskChunk }[] = [];
  private readonly finisher: JobFinisher;
  /** The task logs of this process's shards. */
  private readonly logs = new Map<number, LogWriter>();
  private readonly truncator: LogTruncator;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly owner: TaskOwner,
    /** Jobs of so many tasks may have their state in their own record. */
    private readonly wholeTasks: number,
    /** Whether the task log is used where the level in force allows it, and how long a record stays in it, ms. */
    private readonly taskLog: { wanted: boolean; mostAgeMs: number },
  ) {
    const limits = { mostAgeMs: taskLog.mostAgeMs, operations: settings.state.txn_ops };
    this.truncator = new LogTruncator(replica, committer, clock, owner, limits, (job, chunk) =>
      this.checkpoint(job, chunk),
    );
    this.finisher = new JobFinisher(settings.state.txn_ops, replica, committer, log, owner);
  }

  /** To be called every step: ends that have gathered long enough, and writes that conflicted. */
  tick(): void {
    this.unblock();
    this.finisher.tick();
    for (const log of this.logs.values()) log.tick(this.clock.now);
    this.truncator.tick();
  }

  /** Every task of a job is done. */
  finish(job: ScheduledJob): void {
    this.finisher.finish(job);
  }

  /** A cancelled job is over and nothing of it is left: its tasks' records go. */
  dropChunks(job: ScheduledJob): void {
    if (this.isLogged(job) && this.revised(job).length > 0)
      this.logOf(job.shard).clear(job.id, this.clock.now);
    this.finisher.dropChunks(job);
  }

  /** A shard is not this process's any more. */
  close(shard: number): void {
    this.logs.delete(shard);
  }

  /** Has a chunk's changes written, with those of other jobs where the task log is used. */
  queue(job: ScheduledJob, chunk: TaskChunk, rank = placementRank(job)): void {
    if (chunk.queuedWrite !== null && chunk.queuedWrite.rank <= rank) return;
    // Placements overtake ends: the intent queued for those finds nothing left to do.
    const ticket = { rank };
    chunk.queuedWrite = ticket;
    this.ended.delete(chunk);
    if (this.isLogged(job)) this.logOf(job.shard).mark(job, chunk, ticket, this.clock.now);
    else this.writeChunk(job, chunk, ticket);
  }

  private isLogged(job: ScheduledJob): boolean {
    const { replica } = this;
    return this.taskLog.wanted && replica.levels.has('task-log') && !replica.jobsWithInlineTasks.has(job.id);
  }

  private logOf(shard: number): LogWriter {
    let log = this.logs.get(shard);
    if (!log) this.logs.set(shard, (log = this.openLog(shard)));
    return log;
  }

  private openLog(shard: number): LogWriter {
    const { state, workers } = this.settings;
    const limits = {
      valueKb: state.value_kb,
      conditions: state.txn_ops * conditionsPerOperation,
      reportS: workers.report_s,
    };
    return new LogWriter(shard, limits, this.replica, this.committer, {
      owned: (shard) => this.owner.ownedShards.has(shard),
      writable: (job) => this.isWritable(job),
      durable: (job, chunk, version) => this.noteDurable(job, chunk, version),
      blocked: (job, chunk, epoch) => this.block(job, chunk, epoch),
    });
  }

  private isWritable(job: ScheduledJob): boolean {
    const { jobs, ownedShards: owned } = this.owner;
    return jobs.get(job.id) === job && owned.has(job.shard) && !job.finalizing && !job.unreadable;
  }

  private noteDurable(job: ScheduledJob, chunk: TaskChunk, version: number): void {
    chunk.durableVersion = version;
    if (chunk.placedVersion > version) this.queue(job, chunk);
    else if (chunk.version > version) this.noteEnd(job, chunk);
  }

  private block(job: ScheduledJob, chunk: TaskChunk, epoch: number): void {
    chunk.writeBlockedUntilRevision = epoch;
    this.blocked.push({ job, chunk });
  }

  /** Has a chunk's whole state written in a record of its own: where no task log is used, and as a checkpoint of it. */
  private writeChunk(job: ScheduledJob, chunk: TaskChunk, ticket: { rank: Rank }): void {
    let building = 0;
    this.committer.add({
      rank: ticket.rank,
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
          this.blocked.push({ job, chunk });
          return null;
        }
        building = chunk.version;
        return this.tasksTxn(job, chunk, grant.stamp);
      },
      ok: (epoch) => {
        if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
        chunk.modRevision = epoch;
        this.noteDurable(job, chunk, building);
      },
      conflict: (failed, epoch) => {
        if (chunk.queuedWrite === ticket) chunk.queuedWrite = null;
        this.log('info', 'task commit refused', { job: job.id, failed });
        this.block(job, chunk, epoch);
      },
    });
  }

  /** Where the state of a job's tasks goes: into the job's own record if it is small and the level in force lets it. */
  private tasksTxn(job: ScheduledJob, chunk: TaskChunk, grant: number): Txn {
    const { replica } = this;
    const was = replica.jobsWithInlineTasks.has(job.id);
    const tasks = chunkData(stateOf(job, chunk), was || !this.keepsRevisions ? 0 : chunk.version);
    const key = chunkKey(job.id, chunk.index);
    const jobAt = { key: jobKey(job.id), stamp: job.modRevision };
    const when = [{ key: shardKey(job.shard), stamp: grant }, jobAt];
    const whole = replica.levels.has('small-jobs') && (was || (!this.isLogged(job) && this.fitsWhole(job)));
    if (!whole && !was)
      return { when: [...when, { key, stamp: chunk.modRevision }], apply: [{ key, data: tasks }] };
    const apply: Write[] = [];
    const { spec, at } = job;
    if (whole) {
      const data = job.cancelled ? wholeCancelledData(at, spec, tasks) : wholeJobData(spec, at, tasks);
      apply.push({ key: jobAt.key, data });
      if (!was && chunk.modRevision > 0) apply.push({ key, data: undefined });
    } else {
      const data = job.cancelled ? jobCancelledData(at, spec) : jobData(spec, at);
      apply.push({ key: jobAt.key, data }, { key, data: tasks });
    }
    return { when: [...when, { key, stamp: was ? 0 : chunk.modRevision }], apply };
  }

  /** Whether records of tasks say which revision of their state they hold: while any task log may speak of them. */
  private get keepsRevisions(): boolean {
    const { levels, taskLog } = this.replica;
    return (this.taskLog.wanted && levels.has('task-log')) || taskLog.size > 0;
  }

  /** Whether a job's tasks may be kept in its own record. One that is over, but for its last tasks, stays as it is. */
  fitsWhole(job: ScheduledJob): boolean {
    return !job.cancelled && job.chunks.length === 1 && job.spec.tasks <= this.wholeTasks;
  }

  /** Whether a job's tasks are kept in another way than the level in force has it. */
  astray(job: ScheduledJob): boolean {
    const { replica } = this;
    const whole = replica.jobsWithInlineTasks.has(job.id);
    if (!replica.levels.has('task-log') && this.revised(job).length > 0) return true;
    if (replica.levels.has('small-jobs'))
      return !whole && !this.isLogged(job) && job.chunks[0].modRevision > 0 && this.fitsWhole(job);
    return whole;
  }

  /** Chunks of which the task log, or a checkpoint of it, tells the state. */
  private revised(job: ScheduledJob): TaskChunk[] {
    const states = this.replica.chunks.get(job.id);
    return job.chunks.filter((chunk) => (states?.get(chunk.index)?.revision ?? 0) > 0);
  }

  /** Writes a job's tasks once more as the level in force has it, unless that is about to happen; how many writes it takes. */
  rewrite(job: ScheduledJob): number {
    if (job.finalizing || job.unreadable) return 0;
    const revised = this.replica.levels.has('task-log') ? [] : this.revised(job);
    const chunks =
      revised.length > 0 ? revised.filter((chunk) => !this.isCheckpointed(job, chunk)) : [job.chunks[0]];
    let writes = 0;
    for (const chunk of chunks) if (this.checkpoint(job, chunk)) writes += 2;
    return writes;
  }

  /** Nothing more can be done about a checkpoint while the log that it follows is there. */
  private isCheckpointed(job: ScheduledJob, chunk: TaskChunk): boolean {
    const state = this.replica.chunks.get(job.id)?.get(chunk.index);
    return state !== undefined && state.checkpoint === state.revision && this.replica.taskLog.size > 0;
  }

  /** Has a chunk's state written in its own record, unless it is about to be written. */
  private checkpoint(job: ScheduledJob, chunk: TaskChunk): boolean {
    if (chunk.queuedWrite !== null) return false;
    const ticket = { rank: Rank.cleanup };
    chunk.queuedWrite = ticket;
    this.ended.delete(chunk);
    this.writeChunk(job, chunk, ticket);
    return true;
  }

  /** An end is written with the chunk's next placement, or after a while with the others of its chunk. */
  noteEnd(job: ScheduledJob, chunk: TaskChunk): void {
    if (!chunk.queuedWrite && !this.ended.has(chunk)) this.ended.set(chunk, { job, since: this.clock.now });
  }

  flushEnds(): void {
    const patience = this.settings.workers.report_s * 1000 * endPatience;
    for (const [chunk, e] of this.ended) {
      // In order of age.
      if (this.clock.now - e.since < patience) break;
      this.ended.delete(chunk);
      if (this.owner.jobs.get(e.job.id) === e.job && chunk.durableVersion < chunk.version)
        this.queue(e.job, chunk, Rank.cleanup);
    }
  }

  /** Chunks whose write conflicted: once the view has caught up, go on from what is durable. */
  private unblock(): void {
    if (this.blocked.length === 0) return;
    const blocked = this.blocked;
    this.blocked = [];
    for (const b of blocked) {
      if (this.owner.jobs.get(b.job.id) !== b.job) continue;
      if (this.replica.watchRevision < b.chunk.writeBlockedUntilRevision) {
        this.blocked.push(b);
        continue;
      }
      if (this.changedElsewhere(b.job, b.chunk)) {
        this.log('warn', 'chunk changed by another writer, reading it again', { job: b.job.id });
        this.owner.reloadJob(b.job.id);
      } else this.queue(b.job, b.chunk);
    }
  }

  /** Whether another than this process has written a chunk's state since. */
  private changedElsewhere(job: ScheduledJob, chunk: TaskChunk): boolean {
    const { replica } = this;
    if (replica.taskStateStamp(job.id, chunk.index) !== chunk.modRevision) return true;
    const revision = replica.chunks.get(job.id)?.get(chunk.index)?.revision ?? 0;
    return revision > chunk.durableVersion;
  }
}
