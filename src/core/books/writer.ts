import type { Settings } from '../../config/settings.js';
import { urgencyRank } from '../../model/job.js';
import type { Txn, Write } from '../../wire/store.js';
import { Rank, type Committer } from '../committer.js';
import type { Clock, Log } from '../effects.js';
import { chunkKey, jobKey, shardKey } from '../keys.js';
import {
  cancelledData,
  chunkData,
  jobCancelledData,
  jobData,
  jobDoneData,
  wholeCancelledData,
  wholeJobData,
  type Placed,
} from '../records.js';
import type { Replica } from '../replica.js';
import { failedOn } from './jobs.js';
import type { Chunk, JobRun } from './runs.js';

/** Ends of tasks gather for this share of a report interval before they are written. */
const endPatience = 0.5;

/** Urgent work does not queue behind the placements of all others. */
const placementRank = ({ spec }: JobRun): Rank =>
  urgencyRank[spec.urgency] > urgencyRank.normal ? Rank.urgent : Rank.task;

/** What the writer needs of the books. */
export interface Written {
  jobs: Map<string, JobRun>;
  /** Jobs that were brought to their end, by team. */
  doneOf: Map<string, number>;
  /** Shards of this process. */
  owned: ReadonlySet<number>;
  /** Another writer was there: the job is to be built anew from what is durable. */
  reread(id: string): void;
}

/** Makes jobs' books durable: what is placed, what has ended, and jobs that are over. */
export class Writer {
  private readonly ended = new Map<Chunk, { job: JobRun; since: number }>();
  private blocked: { job: JobRun; chunk: Chunk }[] = [];
  private refinish: { job: JobRun; epoch: number }[] = [];

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly books: Written,
    /** Jobs of so many tasks may have their state in their own record. */
    private readonly wholeTasks: number,
  ) {}

  /** To be called every step: ends that have gathered long enough, and writes that conflicted. */
  tick(): void {
    this.unblock();
    this.retryFinish();
  }

  queue(job: JobRun, chunk: Chunk, rank = placementRank(job)): void {
    if (chunk.queued !== null && chunk.queued.rank <= rank) return;
    // Placements overtake ends: the intent queued for those finds nothing left to do.
    const ticket = { rank };
    chunk.queued = ticket;
    this.ended.delete(chunk);
    let building = 0;
    this.committer.add({
      rank,
      build: () => {
        if (chunk.queued !== ticket) return null;
        const grant = this.replica.shards.get(job.shard);
        const { jobs, owned } = this.books;
        if (jobs.get(job.id) !== job || !grant || !owned.has(job.shard) || job.finishing || job.frozen) {
          chunk.queued = null;
          return null;
        }
        if (this.replica.epoch < chunk.blockedUntil) {
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
        chunk.durable = building;
        if (chunk.placed > building) this.queue(job, chunk);
        else if (chunk.version > building) this.noteEnd(job, chunk);
      },
      conflict: (failed, epoch) => {
        if (chunk.queued === ticket) chunk.queued = null;
        this.log('info', 'task commit refused', { job: job.id, failed });
        chunk.blockedUntil = epoch;
        this.blocked.push({ job, chunk });
      },
    });
  }

  /** Where the state of a job's tasks goes: into the job's own record if it is small and the level in force lets it. */
  private tasksTxn(job: JobRun, chunk: Chunk, grant: number): Txn {
    const { replica } = this;
    const placed: Placed[] = [];
    for (const p of job.active.values()) if (p.chunk === chunk) placed.push(p);
    const tasks = chunkData({ last: chunk.last, done: chunk.done, placed, failed: failedOn(job, chunk) });
    const was = replica.whole.has(job.id);
    const key = chunkKey(job.id, chunk.number);
    const jobAt = { key: jobKey(job.id), stamp: job.stamp };
    const when = [{ key: shardKey(job.shard), stamp: grant }, jobAt];
    const whole = replica.levels.has('small-jobs') && (was || this.fitsWhole(job));
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

  /** Whether a job's tasks may be kept in its own record. One that is over, but for its last tasks, stays as it is. */
  fitsWhole(job: JobRun): boolean {
    return !job.cancelled && job.chunks.length === 1 && job.spec.tasks <= this.wholeTasks;
  }

  /** Whether a job's tasks are kept in another way than the level in force has it. */
  astray(job: JobRun): boolean {
    const whole = this.replica.whole.has(job.id);
    if (this.replica.levels.has('small-jobs'))
      return !whole && job.chunks[0].stamp > 0 && this.fitsWhole(job);
    return whole;
  }

  /** Writes a job's tasks once more as the level in force has it, unless that is about to happen; how many writes it takes. */
  rewrite(job: JobRun): number {
    const [chunk] = job.chunks;
    if (chunk.queued !== null || job.finishing || job.frozen) return 0;
    this.queue(job, chunk, Rank.cleanup);
    return 2;
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
      if (this.books.jobs.get(e.job.id) === e.job && chunk.durable < chunk.version)
        this.queue(e.job, chunk, Rank.cleanup);
    }
  }

  /** Chunks whose write conflicted: once the view has caught up, go on from what is durable. */
  private unblock(): void {
    if (this.blocked.length === 0) return;
    const blocked = this.blocked;
    this.blocked = [];
    for (const b of blocked) {
      if (this.books.jobs.get(b.job.id) !== b.job) continue;
      if (this.replica.epoch < b.chunk.blockedUntil) {
        this.blocked.push(b);
        continue;
      }
      if (this.replica.tasksStamp(b.job.id, b.chunk.number) !== b.chunk.stamp) {
        this.log('warn', 'chunk changed by another writer, reading it again', { job: b.job.id });
        this.books.reread(b.job.id);
      } else this.queue(b.job, b.chunk);
    }
  }

  /** Every task is done: the job's end and the removal of its tasks' records in one transaction. */
  finish(job: JobRun): void {
    if (job.finishing) return;
    job.finishing = true;
    this.committer.add({
      rank: Rank.task,
      build: () => {
        const grant = this.replica.shards.get(job.shard);
        const { jobs, owned } = this.books;
        if (jobs.get(job.id) !== job || !grant || !owned.has(job.shard) || job.cancelled || job.frozen) {
          job.finishing = false;
          return null;
        }
        const stored = this.replica.whole.has(job.id) ? [] : job.chunks.filter((c) => c.stamp > 0);
        const drops = stored.slice(0, this.settings.state.txn_ops - 1);
        return {
          when: [
            { key: shardKey(job.shard), stamp: grant.stamp },
            { key: jobKey(job.id), stamp: job.stamp },
            ...drops.map((c) => ({ key: chunkKey(job.id, c.number), stamp: c.stamp })),
          ],
          apply: [
            { key: jobKey(job.id), data: jobDoneData(job.at, job.spec.tasks) },
            ...drops.map((c) => ({ key: chunkKey(job.id, c.number), data: undefined })),
          ],
        };
      },
      ok: () => {
        for (const c of job.chunks) c.durable = c.version;
        this.books.jobs.delete(job.id);
        const { doneOf } = this.books;
        doneOf.set(job.spec.team, (doneOf.get(job.spec.team) ?? 0) + 1);
        this.log('info', 'job done', { job: job.id });
        this.dropChunks(job);
      },
      conflict: (_, epoch) => {
        job.finishing = false;
        this.refinish.push({ job, epoch });
      },
    });
  }

  private retryFinish(): void {
    if (this.refinish.length === 0) return;
    const list = this.refinish;
    this.refinish = [];
    for (const f of list) {
      if (this.books.jobs.get(f.job.id) !== f.job) continue;
      if (this.replica.epoch < f.epoch) this.refinish.push(f);
      else this.books.reread(f.job.id);
    }
  }

  /** The job is over and nothing of it is left: its tasks' records go. */
  dropChunks(job: JobRun): void {
    if (this.replica.whole.has(job.id)) this.dropTasks(job.id);
    for (const c of job.chunks)
      if (this.replica.stamp(chunkKey(job.id, c.number)) > 0) this.dropChunk(job.id, c.number);
  }

  /** A cancelled job of which nothing is left: the state of its tasks goes out of its record. */
  private dropTasks(id: string): void {
    const key = jobKey(id);
    this.committer.add({
      rank: Rank.cleanup,
      build: () => {
        const job = this.replica.jobs.get(id);
        if (!job?.use || !job.whole) return null;
        const data = cancelledData(job.at, job.tasks, job.use);
        return { when: [{ key, stamp: job.stamp }], apply: [{ key, data }] };
      },
      ok: () => undefined,
      conflict: () => this.dropTasks(id),
    });
  }

  private dropChunk(id: string, chunk: number): void {
    const key = chunkKey(id, chunk);
    this.committer.add({
      rank: Rank.cleanup,
      build: () => {
        const stamp = this.replica.stamp(key);
        return stamp === 0 || this.replica.jobs.get(id)?.state === 'open'
          ? null
          : { when: [{ key, stamp }], apply: [{ key, data: undefined }] };
      },
      ok: () => undefined,
      conflict: () => this.dropChunk(id, chunk),
    });
  }
}
