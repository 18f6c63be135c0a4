import type { Operators } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import { pieceName, urgencyRank, type JobSpec } from '../model/job.js';
import type { Fits } from '../model/machine.js';
import { teamCap } from '../policy/admission.js';
import { HazardEstimate } from '../policy/hazard.js';
import { mostFailedKept } from './blame.js';
import { Checkins } from './checkins.js';
import { Rank, type Committer } from './committer.js';
import type { Clock, Effect, Log } from './effects.js';
import { chunkKey, jobKey, shardKey } from './keys.js';
import { fetchS, placeRound } from './placement.js';
import { Bits, chunkData, jobDoneData, type JobRecord, type JobUse, type Placed } from './records.js';
import type { Machine, Replica } from './replica.js';
import type { Chunk, JobRun, MachineRun, Placement } from './runs.js';
import { Upkeep } from './upkeep.js';

/** A placement round goes on for so many machines looked at, then lets others have their turn for this long. */
const mostLookedAt = 6000;
const sliceMs = 20;
/** How many worker leases a machine is kept for a job that waits. */
const claimLeases = 4;
/** Ends of tasks gather for this share of a report interval before they are written. */
const endPatience = 0.5;

/** The jobs of the shards of this process: what is placed, what is durable, what waits. */
export class Dispatcher {
  readonly jobs = new Map<string, JobRun>();
  readonly machines = new Map<string, MachineRun>();
  readonly owned = new Set<number>();
  readonly teamUse = new Map<string, Fits>();
  /** How many placements there are of each urgency's rank. */
  readonly activeBy = new Map<number, number>();
  /** Placements to be stopped whose workers have not been told straight away yet. */
  readonly unsentStops = new Set<Placement>();
  /** Jobs within their team's guarantee, as of the placement round under way. */
  entitled: ReadonlySet<JobRun> = new Set();
  /** Machines kept for a job that found no room, by host. */
  readonly claims = new Map<string, { job: string; until: number }>();
  /** The placement round under way. */
  private round: Generator<number, void> | null = null;
  private slicedAt = -Infinity;
  /** Machines that placement has looked at so far: what its work is measured by. */
  looked = 0;
  readonly hazard: HazardEstimate;
  private readonly chunkTasks: number;
  private lastRound = -Infinity;
  /** When a move was last ordered, ms. */
  movedAt = -Infinity;
  private lastSweep = -1;
  readonly checkins: Checkins;
  private readonly upkeep: Upkeep;

  constructor(
    readonly settings: Settings,
    readonly operators: Operators,
    private readonly run: string,
    readonly replica: Replica,
    private readonly committer: Committer,
    readonly clock: Clock,
    readonly log: Log,
  ) {
    // A placed task takes up to some 40 bytes of its chunk's value.
    this.chunkTasks = Math.max(16, Math.min(512, Math.floor((settings.state.value_kb * 1024) / 64)));
    this.checkins = new Checkins(this);
    this.upkeep = new Upkeep(this, committer);
    this.hazard = new HazardEstimate(operators['hazard-prior']);
  }

  /** How old the view may be for answering workers: later, a cancellation could be missed for too long. */
  get freshLimitMs(): number {
    const w = this.settings.workers;
    return Math.min(this.operators['grant-s'], (w.cancel_s - w.lease_s) * 0.85) * 1000;
  }

  // ---- ownership ----

  /** Takes up shards that were granted to this process and lets go of those that were not. */
  syncShards(): void {
    for (const shard of [...this.owned])
      if (!this.isMine(shard)) {
        this.owned.delete(shard);
        for (const [id, job] of this.jobs) if (job.shard === shard) this.dropJob(id);
        for (const [host, m] of this.machines) if (m.record.shard === shard) this.machines.delete(host);
        this.log('info', 'shard lost', { shard, to: this.replica.shards.get(shard)?.owner });
      }
    for (const [shard, grant] of this.replica.shards)
      // The view must include all that earlier owners wrote, so it has to have reached the grant.
      if (!this.owned.has(shard) && this.isMine(shard) && this.replica.epoch >= grant.stamp) {
        this.owned.add(shard);
        for (const m of this.replica.machines.values()) if (m.shard === shard) this.takeMachine(m);
        for (const job of this.replica.jobs.values()) this.takeJob(job);
        this.log('info', 'shard taken up', {
          shard,
          grant: grant.stamp,
          jobs: this.jobs.size,
          machines: this.machines.size,
        });
      }
  }

  private isMine(shard: number): boolean {
    const g = this.replica.shards.get(shard);
    return g?.owner === this.settings.member && g.run === this.run;
  }

  private takeMachine(record: Machine): void {
    const type = this.replica.types.find((t) => t.name === record.type);
    if (!type || this.machines.has(record.host)) return;
    const now = this.clock.now;
    this.machines.set(record.host, {
      host: record.host,
      record,
      type,
      zone: record.zone,
      spot: record.spot,
      used: { cpus: 0, gpus: 0, memGb: 0 },
      placements: new Map(),
      endpoint: '',
      session: 0,
      seq: 0,
      provenAt: 0,
      heardAt: 0,
      // Guards against the stale owner: it may have answered this worker until its own view ran out of date.
      leaseUntil: now + this.freshLimitMs + this.settings.workers.lease_s * 1000,
      token: 0,
      noticeAt: 0,
      avoidUntil: 0,
      idleSince: now,
      failures: new Map(),
      images: new Map(),
      takenAt: now,
      condemned: record.standing === 'dead',
      releasing: false,
    });
  }

  private takeJob(record: JobRecord): void {
    if (this.jobs.has(record.id)) return;
    const spec =
      record.spec ?? (record.use && this.replica.chunks.has(record.id) ? remains(record, record.use) : null);
    if (spec === null) return;
    const shard = this.replica.shardOf(spec.team);
    if (this.owned.has(shard)) this.buildJob(record, spec, shard);
  }

  private buildJob(record: JobRecord, spec: JobSpec, shard: number): void {
    const stored = this.replica.chunks.get(record.id);
    const job: JobRun = {
      id: record.id,
      spec,
      shard,
      at: record.at,
      stamp: record.stamp,
      cancelled: record.state !== 'open',
      chunks: [],
      active: new Map(),
      fresh: 0,
      retry: new Set(),
      done: 0,
      zones: new Map(),
      finishing: false,
      breaking: false,
      errors: new Set(stored?.get(0)?.failed),
      probes: 0,
      anywhere: false,
      successes: 0,
      notBefore: 0,
    };
    for (let base = 0, n = 0; base < record.tasks; base += this.chunkTasks, n++) {
      const c = stored?.get(n);
      job.chunks.push({
        number: n,
        base,
        size: Math.min(this.chunkTasks, record.tasks - base),
        stamp: c?.stamp ?? 0,
        last: c?.last ?? 0,
        done: c?.done.copy() ?? new Bits(),
        version: 0,
        placed: 0,
        durable: 0,
        queued: null,
        blockedUntil: 0,
      });
      job.done += c?.done.count() ?? 0;
    }
    job.successes = job.done;
    this.jobs.set(job.id, job);
    for (const [n, c] of stored ?? [])
      for (const p of c.placed) {
        const placement = this.enter(job, job.chunks[n], p, false);
        if (job.cancelled) this.stop(placement, 0);
        // The machine has been given back: its task is gone with it.
        if (!this.replica.machines.has(p.host)) this.gone(placement, 'machine returned');
      }
    if (spec.shape === 'gang' && job.active.size > 0) this.checkGang(job);
    if (job.done >= spec.tasks && !job.cancelled && spec.shape !== 'service') this.finish(job);
    this.checkCancelled(job);
  }

  private dropJob(id: string): void {
    const job = this.jobs.get(id);
    if (!job) return;
    for (const p of job.active.values()) {
      this.machines.get(p.host)?.placements.delete(pieceName(job.id, p.index));
      this.use(p, -1);
    }
    this.jobs.delete(id);
  }

  // ---- changes seen by the replica ----

  jobChanged(id: string, record: JobRecord | undefined): void {
    if (!record) return;
    const job = this.jobs.get(id);
    if (!job) {
      if (record.state === 'open') this.takeJob(record);
      return;
    }
    job.stamp = record.stamp;
    if (record.state === 'cancelled' && !job.cancelled) {
      job.cancelled = true;
      for (const p of [...job.active.values()]) {
        if (p.own && p.sent === null) this.gone(p, 'cancelled before its start');
        else {
          // No saving for a cancelled task, also if it is being stopped in order already.
          p.stop = null;
          this.stop(p, 0);
        }
      }
      this.checkCancelled(job);
    }
  }

  machineChanged(host: string, now: Machine | undefined): void {
    const m = this.machines.get(host);
    if (now && this.owned.has(now.shard)) {
      if (m) {
        m.record = now;
        m.releasing = false;
        if (now.standing === 'dead') m.condemned = true;
      } else this.takeMachine(now);
      return;
    }
    // Its record is dropped only after the cloud has confirmed the deletion: all that was on it is gone.
    if (m && !now) for (const p of [...m.placements.values()]) this.gone(p, 'machine returned');
    this.machines.delete(host);
  }

  // ---- placements ----

  get chunkSize(): number {
    return this.chunkTasks;
  }

  chunkOf(job: JobRun, index: number): Chunk {
    return job.chunks[Math.floor(index / this.chunkTasks)];
  }

  private enter(job: JobRun, chunk: Chunk, p: Placed, own: boolean): Placement {
    const placement: Placement = {
      job,
      index: p.index,
      attempt: p.attempt,
      host: p.host,
      chunk,
      version: own ? chunk.version : 0,
      own,
      sent: null,
      phase: 'placed',
      ranAt: 0,
      placedAt: this.clock.now,
      stop: null,
    };
    job.active.set(p.index, placement);
    this.machines.get(p.host)?.placements.set(pieceName(job.id, p.index), placement);
    this.use(placement, 1);
    return placement;
  }

  /** Counts a placement in or out: in its machine, its team and its zone. */
  private use(p: Placement, sign: 1 | -1): void {
    const { spec } = p.job;
    const m = this.machines.get(p.host);
    let team = this.teamUse.get(spec.team);
    if (!team) this.teamUse.set(spec.team, (team = { cpus: 0, gpus: 0, memGb: 0 }));
    for (const use of m ? [team, m.used] : [team]) {
      use.cpus += sign * spec.cpus;
      use.gpus += sign * spec.gpus;
      use.memGb += sign * spec.memGb;
    }
    const rank = urgencyRank[spec.urgency];
    this.activeBy.set(rank, (this.activeBy.get(rank) ?? 0) + sign);
    const zone = m?.record.zone ?? this.replica.machines.get(p.host)?.zone;
    if (zone !== undefined) p.job.zones.set(zone, (p.job.zones.get(zone) ?? 0) + sign);
    if (m && m.placements.size === 0) m.idleSince = this.clock.now;
  }

  teamRoom(team: string): { cpus: number; gpus: number; memGb: number } {
    const cap = teamCap(this.settings, team);
    const use = this.teamUse.get(team);
    return { cpus: cap.cpus - (use?.cpus ?? 0), gpus: cap.gpus - (use?.gpus ?? 0), memGb: Infinity };
  }

  /** Places tasks of one job together; they start once all of it is durable. */
  place(job: JobRun, at: { index: number; host: string }[], attempt?: number): void {
    const chunks = new Set(at.map((a) => this.chunkOf(job, a.index)));
    for (const c of chunks) c.placed = ++c.version;
    for (const a of at) {
      if (job.active.has(a.index)) {
        this.log('error', 'placed already', { piece: pieceName(job.id, a.index) });
        continue;
      }
      const chunk = this.chunkOf(job, a.index);
      if (attempt !== undefined) chunk.last = Math.max(chunk.last, attempt);
      this.enter(job, chunk, { index: a.index, attempt: attempt ?? ++chunk.last, host: a.host }, true);
      // On its way: tasks that come later share the fetch.
      const m = this.machines.get(a.host);
      if (m) m.images.set(job.spec.image, fetchS(job.spec, m.type));
    }
    for (const c of chunks) this.queueChunk(job, c);
  }

  claim(host: string, job: string): void {
    this.claims.set(host, {
      job,
      until: this.clock.now + this.settings.workers.lease_s * claimLeases * 1000,
    });
  }

  unclaim(job: string): void {
    for (const [host, c] of this.claims) if (c.job === job) this.claims.delete(host);
  }

  /** Ends claims of jobs that are over, and those that brought nothing for long. */
  endClaims(): void {
    for (const [host, c] of this.claims)
      if (c.until < this.clock.now || !this.jobs.has(c.job) || !this.machines.has(host))
        this.claims.delete(host);
  }

  nextGangAttempt(job: JobRun): number {
    return Math.max(...job.chunks.map((c) => c.last)) + 1;
  }

  /** The next task that waits for a place, or -1. */
  nextWaiting(job: JobRun): number {
    const waits = (i: number) => !job.active.has(i) && !this.isDone(job, i);
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

  isDone(job: JobRun, index: number): boolean {
    const c = this.chunkOf(job, index);
    return c.done.has(index - c.base);
  }

  waitingCount(job: JobRun): number {
    return job.spec.tasks - job.done - job.active.size;
  }

  /** The attempt is proven gone (or over): it counts no more, and its record is to be removed. */
  gone(p: Placement, why: string, outcome: 'done' | 'again' = 'again'): void {
    const { job, chunk } = p;
    if (job.active.get(p.index) !== p) return;
    job.active.delete(p.index);
    this.machines.get(p.host)?.placements.delete(pieceName(job.id, p.index));
    this.use(p, -1);
    chunk.version++;
    this.noteEnd(job, chunk);
    this.log('debug', 'task gone', {
      piece: pieceName(job.id, p.index),
      attempt: p.attempt,
      host: p.host,
      why,
    });
    if (outcome === 'done') {
      if (!this.isDone(job, p.index)) {
        chunk.done.add(p.index - chunk.base);
        job.done++;
        if (job.successes++ === 0) this.checkins.judgeAll(job);
      }
      if (job.done >= job.spec.tasks && job.spec.shape !== 'service' && !job.cancelled) this.finish(job);
    } else if (!job.cancelled) {
      // Guards against handing a task out twice in one round: ahead of `fresh` it is found there, and after a
      // takeover `fresh` starts anew.
      if (p.index < job.fresh) job.retry.add(p.index);
      if (job.spec.shape === 'gang') this.checkGang(job, p);
    }
    this.checkCancelled(job);
  }

  /** A gang that lost a task cannot go on with this attempt: it is taken down, then placed again whole. */
  private checkGang(job: JobRun, lost?: Placement): void {
    const missing = job.spec.tasks - job.done - job.active.size;
    if (missing > 0 && job.active.size > 0) {
      if (!job.breaking) this.log('info', 'gang broken', { job: job.id, lost: lost?.index });
      job.breaking = true;
      for (const p of job.active.values()) this.stop(p, 0);
      for (const p of [...job.active.values()]) if (p.own && p.sent === null) this.gone(p, 'gang broken');
    }
    if (job.active.size === 0) job.breaking = false;
  }

  private checkCancelled(job: JobRun): void {
    if (!job.cancelled || job.active.size > 0 || this.jobs.get(job.id) !== job) return;
    this.jobs.delete(job.id);
    for (const c of job.chunks)
      if (this.replica.stamp(chunkKey(job.id, c.number)) > 0) this.dropChunk(job.id, c.number);
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

  // ---- durable changes ----

  private queueChunk(job: JobRun, chunk: Chunk, rank = Rank.task): void {
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
        if (this.jobs.get(job.id) !== job || !grant || !this.owned.has(job.shard) || job.finishing) {
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
        const placed: Placed[] = [];
        for (const p of job.active.values()) if (p.chunk === chunk) placed.push(p);
        return {
          when: [
            { key: shardKey(job.shard), stamp: grant.stamp },
            { key: jobKey(job.id), stamp: job.stamp },
            { key: chunkKey(job.id, chunk.number), stamp: chunk.stamp },
          ],
          apply: [
            {
              key: chunkKey(job.id, chunk.number),
              data: chunkData({ last: chunk.last, done: chunk.done, placed, failed: failedOn(job, chunk) }),
            },
          ],
        };
      },
      ok: (epoch) => {
        if (chunk.queued === ticket) chunk.queued = null;
        chunk.stamp = epoch;
        chunk.durable = building;
        if (chunk.placed > building) this.queueChunk(job, chunk);
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

  private readonly ended = new Map<Chunk, { job: JobRun; since: number }>();

  /** An end is written with the chunk's next placement, or after a while with the others of its chunk. */
  noteEnd(job: JobRun, chunk: Chunk): void {
    if (!chunk.queued && !this.ended.has(chunk)) this.ended.set(chunk, { job, since: this.clock.now });
  }

  private flushEnds(): void {
    const patience = this.settings.workers.report_s * 1000 * endPatience;
    for (const [chunk, e] of this.ended) {
      // In order of age.
      if (this.clock.now - e.since < patience) break;
      this.ended.delete(chunk);
      if (this.jobs.get(e.job.id) === e.job && chunk.durable < chunk.version)
        this.queueChunk(e.job, chunk, Rank.cleanup);
    }
  }

  private blocked: { job: JobRun; chunk: Chunk }[] = [];

  /** Chunks whose write conflicted: once the view has caught up, go on from what is durable. */
  private unblock(): void {
    if (this.blocked.length === 0) return;
    const blocked = this.blocked;
    this.blocked = [];
    for (const b of blocked) {
      if (this.jobs.get(b.job.id) !== b.job) continue;
      if (this.replica.epoch < b.chunk.blockedUntil) {
        this.blocked.push(b);
        continue;
      }
      if (this.replica.stamp(chunkKey(b.job.id, b.chunk.number)) !== b.chunk.stamp) {
        this.log('warn', 'chunk changed by another writer, reading it again', { job: b.job.id });
        this.dropJob(b.job.id);
        const record = this.replica.jobs.get(b.job.id);
        if (record) this.takeJob(record);
      } else this.queueChunk(b.job, b.chunk);
    }
  }

  /** Every task is done: the job's end and the removal of its tasks' records in one transaction. */
  private finish(job: JobRun): void {
    if (job.finishing) return;
    job.finishing = true;
    this.committer.add({
      rank: Rank.task,
      build: () => {
        const grant = this.replica.shards.get(job.shard);
        if (this.jobs.get(job.id) !== job || !grant || !this.owned.has(job.shard) || job.cancelled) {
          job.finishing = false;
          return null;
        }
        const drops = job.chunks.filter((c) => c.stamp > 0).slice(0, this.settings.state.txn_ops - 1);
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
        this.jobs.delete(job.id);
        this.log('info', 'job done', { job: job.id });
        for (const c of job.chunks)
          if (this.replica.stamp(chunkKey(job.id, c.number)) > 0) this.dropChunk(job.id, c.number);
      },
      conflict: (_, epoch) => {
        job.finishing = false;
        this.refinish.push({ job, epoch });
      },
    });
  }

  private refinish: { job: JobRun; epoch: number }[] = [];

  private retryFinish(): void {
    if (this.refinish.length === 0) return;
    const list = this.refinish;
    this.refinish = [];
    for (const f of list) {
      if (this.jobs.get(f.job.id) !== f.job) continue;
      if (this.replica.epoch < f.epoch) {
        this.refinish.push(f);
        continue;
      }
      this.dropJob(f.job.id);
      const record = this.replica.jobs.get(f.job.id);
      if (record) this.takeJob(record);
    }
  }

  // ---- workers ----

  /** Stops a whole gang in order: every task gets time to save, all at about the same time. */
  stopGang(job: JobRun): void {
    job.breaking = true;
    for (const p of job.active.values()) this.stop(p, job.spec.saveS);
  }

  /** Wants a task off its machine, with time to save; one that is being stopped already stays as it is. */
  stop(p: Placement, graceS: number): void {
    if (p.stop !== null) return;
    p.stop = { graceS, since: this.clock.now };
    this.unsentStops.add(p);
  }

  // ---- time ----

  tick(out: Effect[]): void {
    const now = this.clock.now;
    this.unblock();
    this.retryFinish();
    if (this.lastSweep < 0 || now - this.lastSweep >= 1000) {
      if (this.lastSweep >= 0) this.upkeep.sweep((now - this.lastSweep) / 1000);
      this.lastSweep = now;
    }
    this.flushEnds();
    if (this.round === null && now - this.lastRound >= this.operators['round-s'] * 1000) {
      this.lastRound = now;
      this.round = placeRound(this);
    }
    if (this.round !== null && now - this.slicedAt >= sliceMs) {
      this.slicedAt = now;
      for (let looked = 0; this.round !== null && looked < mostLookedAt;) {
        const step = this.round.next();
        if (step.done) this.round = null;
        else {
          looked += step.value;
          this.looked += step.value;
        }
      }
    }
    this.checkins.sendStops(out);
  }
}

/** What the leader and the next owner must know of a job's failures; kept with its first tasks. */
const failedOn = (job: JobRun, chunk: Chunk): string[] =>
  chunk.number === 0 && job.successes === 0 ? [...job.errors].slice(0, mostFailedKept) : [];

/** Stands in for the description of a cancelled job: only what its last tasks take matters now. */
const remains = (record: JobRecord, use: JobUse): JobSpec => ({
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
