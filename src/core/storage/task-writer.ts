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
import type { Chunk, JobRun } from '../shard-state/types.js';

/** Ends of tasks gather for this share of a report interval before they are written. */
const endPatience = 0.5;

/** Urgent work does not queue behind the placements of all others. */
const placementRank = ({ spec }: JobRun): Rank =>
  urgencyRank[spec.urgency] > urgencyRank.normal ? Rank.urgent : Rank.task;

/** The process's jobs and shards, as the write path needs them. */
export interface TaskOwner {
  jobs: Map<string, JobRun>;
  /** Jobs that were brought to their end, by team. */
  doneOf: Map<string, number>;
  /** Shards of this process. */
  owned: ReadonlySet<number>;
  /** Another writer was there: the job is to be built anew from what is durable. */
  reread(id: string): void;
}

/**
 * Makes the states of tasks durable: what is placed and what has ended, by chunks of a job's tasks, in records of their own, in
 * their job's, or in the task log, as the level in force has it.
 */
export class TaskWriter {
  private readonly ended = new Map<Chunk, { job: JobRun; since: number }>();
  private blocked: { job: JobRun; chunk: Chunk }[] = [];
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
  finish(job: JobRun): void {
    this.finisher.finish(job);
  }

  /** A cancelled job is over and nothing of it is left: its tasks' records go. */
  dropChunks(job: JobRun): void {
    if (this.isLogged(job) && this.revised(job).length > 0)
      this.logOf(job.shard).clear(job.id, this.clock.now);
    this.finisher.dropChunks(job);
  }

  /** A shard is not this process's any more. */
  close(shard: number): void {
    this.logs.delete(shard);
  }

  /** Has a chunk's changes written, with those of other jobs where the task log is used. */
  queue(job: JobRun, chunk: Chunk, rank = placementRank(job)): void {
    if (chunk.queued !== null && chunk.queued.rank <= rank) return;
    // Placements overtake ends: the intent queued for those finds nothing left to do.
    const ticket = { rank };
    chunk.queued = ticket;
    this.ended.delete(chunk);
    if (this.isLogged(job)) this.logOf(job.shard).mark(job, chunk, ticket, this.clock.now);
    else this.writeChunk(job, chunk, ticket);
  }

  private isLogged(job: JobRun): boolean {
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
      owned: (shard) => this.owner.owned.has(shard),
      writable: (job) => this.isWritable(job),
      durable: (job, chunk, version) => this.noteDurable(job, chunk, version),
      blocked: (job, chunk, epoch) => this.block(job, chunk, epoch),
    });
  }

  private isWritable(job: JobRun): boolean {
    const { jobs, owned } = this.owner;
    return jobs.get(job.id) === job && owned.has(job.shard) && !job.finishing && !job.frozen;
  }

  private noteDurable(job: JobRun, chunk: Chunk, version: number): void {
    chunk.durable = version;
    if (chunk.placed > version) this.queue(job, chunk);
    else if (chunk.version > version) this.noteEnd(job, chunk);
  }

  private block(job: JobRun, chunk: Chunk, epoch: number): void {
    chunk.blockedUntil = epoch;
    this.blocked.push({ job, chunk });
  }

  /** Has a chunk's whole state written in a record of its own: where no task log is used, and as a checkpoint of it. */
  private writeChunk(job: JobRun, chunk: Chunk, ticket: { rank: Rank }): void {
    let building = 0;
    this.committer.add({
      rank: ticket.rank,
      build: () => {
        if (chunk.queued !== ticket) return null;
        const grant = this.replica.shards.get(job.shard);
        if (!grant || !this.isWritable(job)) {
          chunk.queued = null;
          return null;
        }
        if (this.replica.watchRevision < chunk.blockedUntil) {
          // Tried again when the view has caught up.
          chunk.queued = null;
          this.blocked.push({ job, chunk });
          return null;
        }
        building = chunk.version;
        return this.tasksTxn(job, chunk, grant.stamp);
      },
      ok: (epoch) => {
        if (chunk.queued === ticket) chunk.queued = null;
        chunk.stamp = epoch;
        this.noteDurable(job, chunk, building);
      },
      conflict: (failed, epoch) => {
        if (chunk.queued === ticket) chunk.queued = null;
        this.log('info', 'task commit refused', { job: job.id, failed });
        this.block(job, chunk, epoch);
      },
    });
  }

  /** Where the state of a job's tasks goes: into the job's own record if it is small and the level in force lets it. */
  private tasksTxn(job: JobRun, chunk: Chunk, grant: number): Txn {
    const { replica } = this;
    const was = replica.jobsWithInlineTasks.has(job.id);
    const tasks = chunkData(stateOf(job, chunk), was || !this.keepsRevisions ? 0 : chunk.version);
    const key = chunkKey(job.id, chunk.number);
    const jobAt = { key: jobKey(job.id), stamp: job.stamp };
    const when = [{ key: shardKey(job.shard), stamp: grant }, jobAt];
    const whole = replica.levels.has('small-jobs') && (was || (!this.isLogged(job) && this.fitsWhole(job)));
    if (!whole && !was)
      return { when: [...when, { key, stamp: chunk.stamp }], apply: [{ key, data: tasks }] };
    const apply: Write[] = [];
    const { spec, at } = job;
    if (whole) {
      const data = job.cancelled ? wholeCancelledData(at, spec, tasks) : wholeJobData(spec, at, tasks);
      apply.push({ key: jobAt.key, data });
      if (!was && chunk.stamp > 0) apply.push({ key, data: undefined });
    } else {
      const data = job.cancelled ? jobCancelledData(at, spec) : jobData(spec, at);
      apply.push({ key: jobAt.key, data }, { key, data: tasks });
    }
    return { when: [...when, { key, stamp: was ? 0 : chunk.stamp }], apply };
  }

  /** Whether records of tasks say which revision of their state they hold: while any task log may speak of them. */
  private get keepsRevisions(): boolean {
    const { levels, taskLog } = this.replica;
    return (this.taskLog.wanted && levels.has('task-log')) || taskLog.size > 0;
  }

  /** Whether a job's tasks may be kept in its own record. One that is over, but for its last tasks, stays as it is. */
  fitsWhole(job: JobRun): boolean {
    return !job.cancelled && job.chunks.length === 1 && job.spec.tasks <= this.wholeTasks;
  }

  /** Whether a job's tasks are kept in another way than the level in force has it. */
  astray(job: JobRun): boolean {
    const { replica } = this;
    const whole = replica.jobsWithInlineTasks.has(job.id);
    if (!replica.levels.has('task-log') && this.revised(job).length > 0) return true;
    if (replica.levels.has('small-jobs'))
      return !whole && !this.isLogged(job) && job.chunks[0].stamp > 0 && this.fitsWhole(job);
    return whole;
  }

  /** Chunks of which the task log, or a checkpoint of it, tells the state. */
  private revised(job: JobRun): Chunk[] {
    const states = this.replica.chunks.get(job.id);
    return job.chunks.filter((c) => (states?.get(c.number)?.revision ?? 0) > 0);
  }

  /** Writes a job's tasks once more as the level in force has it, unless that is about to happen; how many writes it takes. */
  rewrite(job: JobRun): number {
    if (job.finishing || job.frozen) return 0;
    const revised = this.replica.levels.has('task-log') ? [] : this.revised(job);
    const chunks = revised.length > 0 ? revised.filter((c) => !this.isCheckpointed(job, c)) : [job.chunks[0]];
    let writes = 0;
    for (const chunk of chunks) if (this.checkpoint(job, chunk)) writes += 2;
    return writes;
  }

  /** Nothing more can be done about a checkpoint while the log that it follows is there. */
  private isCheckpointed(job: JobRun, chunk: Chunk): boolean {
    const state = this.replica.chunks.get(job.id)?.get(chunk.number);
    return state !== undefined && state.checkpoint === state.revision && this.replica.taskLog.size > 0;
  }

  /** Has a chunk's state written in its own record, unless it is about to be written. */
  private checkpoint(job: JobRun, chunk: Chunk): boolean {
    if (chunk.queued !== null) return false;
    const ticket = { rank: Rank.cleanup };
    chunk.queued = ticket;
    this.ended.delete(chunk);
    this.writeChunk(job, chunk, ticket);
    return true;
  }

  /** An end is written with the chunk's next placement, or after a while with the others of its chunk. */
  noteEnd(job: JobRun, chunk: Chunk): void {
    if (!chunk.queued && !this.ended.has(chunk)) this.ended.set(chunk, { job, since: this.clock.now });
  }

  flushEnds(): void {
    const patience = this.settings.workers.report_s * 1000 * endPatience;
    for (const [chunk, e] of this.ended) {
      // In order of age.
      if (this.clock.now - e.since < patience) break;
      this.ended.delete(chunk);
      if (this.owner.jobs.get(e.job.id) === e.job && chunk.durable < chunk.version)
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
      if (this.replica.watchRevision < b.chunk.blockedUntil) {
        this.blocked.push(b);
        continue;
      }
      if (this.changedElsewhere(b.job, b.chunk)) {
        this.log('warn', 'chunk changed by another writer, reading it again', { job: b.job.id });
        this.owner.reread(b.job.id);
      } else this.queue(b.job, b.chunk);
    }
  }

  /** Whether another than this process has written a chunk's state since. */
  private changedElsewhere(job: JobRun, chunk: Chunk): boolean {
    const { replica } = this;
    if (replica.taskStateStamp(job.id, chunk.number) !== chunk.stamp) return true;
    const revision = replica.chunks.get(job.id)?.get(chunk.number)?.revision ?? 0;
    return revision > chunk.durable;
  }
}
