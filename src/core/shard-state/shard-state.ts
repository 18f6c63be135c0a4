/** The jobs and machines of this process's shards in memory, and what is placed where. */
import { Floors } from '../../admission/index.js';
import type { Operators } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { taskKey, urgencyRank, type JobSpec } from '../../model/job.js';
import { fits, type Resources } from '../../model/machine.js';
import type { Matcher } from '../../policy/matching.js';
import { teamQuota } from '../../policy/admission.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { SpotHazardEstimate } from '../../policy/hazard.js';
import { imageFetchS } from '../../policy/pricing.js';
import { type Committer, type JobRecord, type Placed, TaskWriter } from '../storage/index.js';
import type { Clock, Log } from '../effects.js';
import type { VersionedMachine, Replica } from '../replica.js';
import { Claims } from './reservations.js';
import { chunkOf, isDone, newJob, remains, waitingCount } from './jobs.js';
import { mendable } from './gang-repair.js';
import { newMachine } from './machines.js';
import type { Chunk, JobRun, MachineRun, Placement } from './types.js';

/** What the books tell: weighed by whoever judges machines. */
export interface BooksListener {
  /** A job has completed its first task. */
  succeeded(job: JobRun): void;
}

/** A part of a team's limit that is kept for its more urgent work. */
export interface Owed {
  urgency: number;
  cpus: number;
  gpus: number;
  /** Tasks that machines could take beyond that. */
  slots: number;
}

/** Of the tasks that one record may hold: jobs of so many keep them in their own, beside the description. */
const wholeShare = 1 / 8;

const nothing: Resources = { cpus: 0, gpus: 0, memGb: 0 };

/** The jobs and machines of the shards of this process: what is placed where, what is durable, what waits. */
export class Books {
  readonly jobs = new Map<string, JobRun>();
  readonly machines = new Map<string, MachineRun>();
  readonly owned = new Set<number>();
  readonly teamUse = new Map<string, Resources>();
  /** How many placements there are of each urgency's rank. */
  readonly activeBy = new Map<number, number>();
  /** Placements to be stopped whose workers have not been told straight away yet. */
  readonly unsentStops = new Set<Placement>();
  /** Jobs of which nobody can read what runs. */
  private readonly unread = new Map<string, JobSpec>();
  /** Starts that wait for the next report of their machines; kept in a pool only. */
  readonly unsentStarts = new Set<Placement>();
  /**
   * Machines that run empty for gangs that found no room in the last round, with the gangs' urgency: work of less urgency
   * takes none of them anew.
   */
  withheld: ReadonlyMap<string, number> = new Map();
  /** What teams' gangs that found no room in the last round will take of their teams' limits, by team. */
  owed: ReadonlyMap<string, Owed> = new Map();
  readonly claims: Claims;
  readonly hazard: SpotHazardEstimate;
  readonly writer: TaskWriter;
  /** Placements on machines that are not there (yet), by host. */
  private readonly homeless = new Map<string, Placement[]>();
  /** Placements on machines that have no record, and when the leases of their workers have surely ended, ms. */
  private readonly unaccounted = new Map<Placement, number>();
  /** Told of a task that nobody placed: its attempt, and the last that is known. */
  attempted: (piece: string, attempt: number, last: number) => void = () => undefined;
  /** Nothing is started while what may be running is not known. */
  mayStart: () => boolean = () => true;
  /** The state service takes what is decided: work can be placed. */
  canPlace: () => boolean = () => true;
  /** Placements decided so far. */
  placed = 0;
  /** Jobs that were brought to their end here, by team. */
  readonly doneOf = new Map<string, number>();
  private readonly chunkTasks: number;

  /** The machine whose unused room single tasks that have waited for long go to, and since when, ms. */
  opened = { host: '', at: -Infinity };

  /** What teams and classes have had of the room of late. */
  readonly floors: Floors;

  constructor(
    readonly settings: Settings,
    readonly operators: Operators,
    readonly replica: Replica,
    committer: Committer,
    readonly clock: Clock,
    readonly log: Log,
    private readonly listener: BooksListener,
    private readonly matcher: Matcher | null,
  ) {
    // A placed task takes up to some 40 bytes of its chunk's value.
    this.chunkTasks = Math.max(16, Math.min(512, Math.floor((settings.state.value_kb * 1024) / 64)));
    this.floors = new Floors(
      settings.workers.lease_s * 1000 * operators['floor-leases'],
      operators['floor-share'],
    );
    this.claims = new Claims(clock, settings.workers.lease_s);
    this.hazard = new SpotHazardEstimate(operators['hazard-prior']);
    const wholeTasks = Math.max(1, Math.floor(this.chunkTasks * wholeShare));
    const mostAgeMs = settings.workers.lease_s * 1000 * operators['task-log-leases'];
    const taskLog = { wanted: operators['task-log'] > 0, mostAgeMs };
    this.writer = new TaskWriter(settings, replica, committer, clock, log, this, wholeTasks, taskLog);
  }

  /** How old a view may be, ms, for workers to be answered from it. */
  get freshLimitMs(): number {
    const { cancel_s, lease_s } = this.settings.workers;
    return 1000 * Math.min(this.operators['grant-s'], (cancel_s - lease_s) * 0.85);
  }

  /**
   * How long after a shard was taken up a worker's lease may last that nobody has answered since, ms. Guards against the stale
   * owner: it may have answered until its own view ran out of date.
   */
  private get leaseLeftMs(): number {
    return this.freshLimitMs + this.settings.workers.lease_s * 1000;
  }

  /** Placements on machines without a record are gone once the leases of their workers have surely ended. */
  settleUnaccounted(): void {
    for (const [p, until] of this.unaccounted) {
      const there = p.job.active.get(p.index) === p && this.jobs.get(p.job.id) === p.job;
      if (there && !this.machines.has(p.host) && this.clock.now <= until) continue;
      if (there && !this.replica.machines.has(p.host)) this.gone(p, 'machine returned');
      this.unaccounted.delete(p);
    }
  }

  // ---- shards ----

  open(shard: number): void {
    this.owned.add(shard);
    for (const m of this.replica.machines.values()) if (m.shard === shard) this.takeMachine(m);
    for (const job of this.replica.jobs.values()) this.takeJob(job);
  }

  close(shard: number): void {
    this.owned.delete(shard);
    this.writer.close(shard);
    for (const [id, job] of this.jobs) if (job.shard === shard) this.dropJob(id);
    for (const [id, spec] of this.unread)
      if (this.replica.shardOfTeam(spec.team) === shard) this.forgetUnread(id);
    for (const [host, m] of this.machines) if (m.record.shard === shard) this.machines.delete(host);
  }

  private takeMachine(record: VersionedMachine): void {
    const type = this.replica.machineTypes.find((t) => t.name === record.type);
    if (!type || this.machines.has(record.host)) return;
    const { now } = this.clock;
    const leaseUntil = now + this.leaseLeftMs;
    // Guards against machines that are brought back after what runs on them: what they hold would be taken for free.
    const jobs = new Set(this.takeHomeless(record.host).map((p) => p.job.id));
    for (const id of jobs) this.dropJob(id);
    this.machines.set(record.host, newMachine(record, type, now, leaseUntil));
    for (const id of jobs) {
      const job = this.replica.jobs.get(id);
      if (job) this.takeJob(job);
    }
  }

  /** What runs on a machine that is not there (yet). */
  private takeHomeless(host: string): Placement[] {
    const all = this.homeless.get(host) ?? [];
    this.homeless.delete(host);
    return all.filter((p) => p.job.active.get(p.index) === p && this.jobs.get(p.job.id) === p.job);
  }

  private takeJob(record: JobRecord): void {
    if (this.jobs.has(record.id)) return;
    if (this.replica.isJobUnreadable(record.id)) return this.countUnread(record);
    const stored = this.replica.chunks.get(record.id);
    const spec = record.spec ?? (record.use && stored ? remains(record, record.use) : null);
    if (spec === null) return;
    const shard = this.replica.shardOfTeam(spec.team);
    if (!this.owned.has(shard)) return;
    const job = newJob(record, spec, shard, stored, this.chunkTasks, this.replica.attemptBase);
    job.match = this.matcher?.matchFor(spec) ?? null;
    this.jobs.set(job.id, job);
    for (const [n, c] of stored ?? [])
      for (const p of c.placed) {
        const placement = this.enter(job, job.chunks[n], p, false);
        if (job.cancelled) this.stop(placement, 0);
        // Guards against a machine whose record was lost: one that has none was given back, as a rule, but that proves nothing.
        if (!this.replica.machines.has(p.host) && !this.replica.mayHaveMachine(p.host))
          this.unaccounted.set(placement, this.clock.now + this.leaseLeftMs);
      }
    if (spec.shape === 'gang' && job.active.size > 0) this.checkGang(job);
    if (job.done >= spec.tasks && !job.cancelled && spec.shape !== 'service') this.writer.finish(job);
    this.checkCancelled(job);
  }

  /** Nobody knows which tasks of this job run: its team's limit counts all of them. */
  private countUnread({ id, spec }: JobRecord): void {
    if (spec === null || this.unread.has(id) || !this.owned.has(this.replica.shardOfTeam(spec.team))) return;
    this.unread.set(id, spec);
    this.addUse(spec, spec.tasks);
  }

  private forgetUnread(id: string): void {
    const spec = this.unread.get(id);
    if (spec && this.unread.delete(id)) this.addUse(spec, -spec.tasks);
  }

  private addUse(spec: JobSpec, tasks: number): void {
    let use = this.teamUse.get(spec.team);
    if (!use) this.teamUse.set(spec.team, (use = { cpus: 0, gpus: 0, memGb: 0 }));
    use.cpus += tasks * spec.cpus;
    use.gpus += tasks * spec.gpus;
    use.memGb += tasks * spec.memGb;
  }

  private dropJob(id: string): void {
    this.forgetUnread(id);
    const job = this.jobs.get(id);
    if (!job) return;
    for (const p of job.active.values()) {
      this.machines.get(p.host)?.placements.delete(taskKey(job.id, p.index));
      this.use(p, -1);
    }
    this.jobs.delete(id);
  }

  reread(id: string): void {
    this.dropJob(id);
    const record = this.replica.jobs.get(id);
    if (record) this.takeJob(record);
  }

  // ---- changes seen by the replica ----

  jobChanged(id: string, record: JobRecord | undefined): void {
    const frozen = this.replica.isJobUnreadable(id);
    const job = this.jobs.get(id);
    if (frozen) {
      if (job) job.frozen = true;
      else if (record) this.countUnread(record);
      return;
    }
    // Guards against going on from what was known before: somebody has written it since.
    if (job?.frozen || this.unread.has(id)) return this.reread(id);
    if (!record) return;
    if (!job) {
      if (record.state === 'open') this.takeJob(record);
      return;
    }
    job.stamp = record.stamp;
    // Whoever wrote it left what it says of its tasks as it was, or it was us.
    if (record.whole) job.chunks[0].stamp = record.stamp;
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

  machineChanged(host: string, now: VersionedMachine | undefined): void {
    const m = this.machines.get(host);
    if (now && this.owned.has(now.shard)) {
      if (m) {
        m.record = now;
        m.releasing = false;
        if (now.state === 'dead') m.condemned = true;
      } else this.takeMachine(now);
      return;
    }
    // Its record is dropped only after the cloud has confirmed the deletion: all that was on it is gone.
    if (m && !now) for (const p of [...m.placements.values()]) this.gone(p, 'machine returned', 'lost');
    if (!now) for (const p of this.takeHomeless(host)) this.gone(p, 'machine returned', 'lost');
    this.machines.delete(host);
  }

  // ---- placements ----

  private enter(job: JobRun, chunk: Chunk, p: Placed, own: boolean): Placement {
    const placement: Placement = {
      job,
      index: p.index,
      attempt: p.attempt,
      host: p.host,
      zone: (this.machines.get(p.host)?.record ?? this.replica.machines.get(p.host))?.zone ?? null,
      chunk,
      version: own ? chunk.version : 0,
      own,
      sent: null,
      phase: 'placed',
      ranAt: 0,
      waitingAt: 0,
      placedAt: this.clock.now,
      stop: null,
    };
    job.active.set(p.index, placement);
    const m = this.machines.get(p.host);
    if (m) m.placements.set(taskKey(job.id, p.index), placement);
    else this.homeless.set(p.host, [...(this.homeless.get(p.host) ?? []), placement]);
    this.use(placement, 1);
    return placement;
  }

  /** Counts a placement in or out: in its machine, its team and its zone. */
  private use(p: Placement, sign: 1 | -1): void {
    const { spec } = p.job;
    const m = this.machines.get(p.host);
    this.addUse(spec, sign);
    if (m) {
      m.used.cpus += sign * spec.cpus;
      m.used.gpus += sign * spec.gpus;
      m.used.memGb += sign * spec.memGb;
    }
    const rank = urgencyRank[spec.urgency];
    this.activeBy.set(rank, (this.activeBy.get(rank) ?? 0) + sign);
    if (p.zone !== null) p.job.zones.set(p.zone, (p.job.zones.get(p.zone) ?? 0) + sign);
    else p.job.astray += sign;
    if (m && m.placements.size === 0) m.idleSince = this.clock.now;
  }

  /** What work of a team may still take: its limit goes to its most urgent work first, unless the whole of it is asked for. */
  teamRoom({ team, urgency }: Pick<JobSpec, 'team' | 'urgency'>, whole = false): Resources {
    const cap = teamQuota(this.settings, team);
    const use = this.teamUse.get(team);
    const owed = this.owed.get(team);
    const first = !whole && owed && owed.urgency > urgencyRank[urgency] ? owed : { cpus: 0, gpus: 0 };
    return {
      cpus: cap.cpus - (use?.cpus ?? 0) - first.cpus,
      gpus: cap.gpus - (use?.gpus ?? 0) - first.gpus,
      memGb: Infinity,
    };
  }

  /**
   * Whether a task that an earlier owner placed, and that never came to be, may still start. Guards against an owner that gave it
   * up, placed others in the room of the team's limit, or elsewhere, and ended before it had written that the first was gone.
   */
  stillFits({ job: { spec, zones }, zone }: Placement): boolean {
    if (zone === null || !fits(nothing, this.teamRoom(spec, true))) return false;
    return zoneAllows(spec, zone, new Map(zones).set(zone, (zones.get(zone) ?? 1) - 1));
  }

  /** Places tasks of one job together; they start once all of it is durable. */
  place(job: JobRun, at: { index: number; host: string }[], attempt?: number): void {
    this.placed += at.length;
    const chunks = new Set(at.map((a) => chunkOf(job, a.index)));
    for (const c of chunks) c.placed = ++c.version;
    for (const a of at) {
      if (job.active.has(a.index)) {
        this.log('error', 'placed already', { piece: taskKey(job.id, a.index) });
        continue;
      }
      const chunk = chunkOf(job, a.index);
      if (attempt !== undefined) chunk.last = Math.max(chunk.last, attempt);
      const own = { index: a.index, attempt: attempt ?? ++chunk.last, host: a.host };
      const placement = this.enter(job, chunk, own, true);
      if (this.settings.pool) this.unsentStarts.add(placement);
      // On its way: tasks that come later share the fetch.
      const m = this.machines.get(a.host);
      if (m) m.images.set(job.spec.image, imageFetchS(job.spec, m.type));
    }
    for (const c of chunks) this.writer.queue(job, c);
    if (waitingCount(job) === 0) job.mending = null;
  }

  /**
   * The attempt is proven gone (or over): it counts no more, and its record is to be removed. `lost`: it did not end, it
   * went with its machine.
   */
  gone(p: Placement, why: string, outcome: 'done' | 'again' | 'lost' = 'again'): void {
    const { job, chunk } = p;
    if (job.active.get(p.index) !== p) return;
    job.active.delete(p.index);
    if (job.active.size === 0) job.waitsFrom = this.clock.wall;
    this.machines.get(p.host)?.placements.delete(taskKey(job.id, p.index));
    this.use(p, -1);
    chunk.version++;
    this.writer.noteEnd(job, chunk);
    this.log('debug', 'task gone', {
      piece: taskKey(job.id, p.index),
      attempt: p.attempt,
      host: p.host,
      why,
    });
    if (outcome === 'done') {
      if (!isDone(job, p.index)) {
        chunk.done.add(p.index - chunk.base);
        job.done++;
        if (job.successes++ === 0) this.listener.succeeded(job);
      }
      if (job.done >= job.spec.tasks && job.spec.shape !== 'service' && !job.cancelled)
        this.writer.finish(job);
      // Guards against a gang that was being taken down when its last task completed: the rest of it would never be placed again.
      if (job.active.size === 0) this.endBreaking(job);
    } else if (!job.cancelled) {
      // Guards against handing a task out twice in one round: ahead of `fresh` it is found there, and after a
      // takeover `fresh` starts anew.
      if (p.index < job.fresh) job.retry.add(p.index);
      if (job.spec.shape === 'gang') this.checkGang(job, p, outcome === 'lost');
    }
    this.checkCancelled(job);
  }

  /**
   * A gang that lost a task while all of it still waited gets another with the same attempt. Any other cannot go on with
   * this attempt: it is taken down, then placed again whole.
   */
  private checkGang(job: JobRun, lost?: Placement, withMachine = false): void {
    const missing = job.spec.tasks - job.done - job.active.size;
    if (missing > 0 && job.active.size > 0) {
      if (lost && withMachine && mendable(job, lost, this.clock.now, this.settings.workers)) {
        if (job.mending === null) this.log('info', 'gang mended', { job: job.id, lost: lost.index });
        job.mending = lost.attempt;
        return;
      }
      job.mending = null;
      if (!job.breaking) this.log('info', 'gang broken', { job: job.id, lost: lost?.index });
      job.breaking = true;
      for (const p of job.active.values()) this.stop(p, 0);
      for (const p of [...job.active.values()]) if (p.own && p.sent === null) this.gone(p, 'gang broken');
    }
    if (job.active.size === 0) this.endBreaking(job);
  }

  /** Nothing of a gang's attempt is left: it may be placed again. */
  private endBreaking(job: JobRun): void {
    job.breaking = false;
    job.mending = null;
  }

  private checkCancelled(job: JobRun): void {
    if (!job.cancelled || job.active.size > 0 || this.jobs.get(job.id) !== job) return;
    this.jobs.delete(job.id);
    this.writer.dropChunks(job);
  }

  // ---- stops ----

  /** Stops a whole gang in order: every task gets time to save, all at about the same time. */
  stopGang(job: JobRun): void {
    job.breaking = true;
    job.mending = null;
    for (const p of job.active.values()) this.stop(p, job.spec.saveS);
  }

  /** Wants a task off its machine, with time to save; one that is being stopped already stays as it is. */
  stop(p: Placement, graceS: number): void {
    if (p.stop !== null || p.job.frozen) return;
    p.stop = { graceS, since: this.clock.now };
    this.unsentStops.add(p);
  }
}
