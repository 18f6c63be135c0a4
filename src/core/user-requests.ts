/** Users' requests: submissions, polls and cancellations, and when each may be answered. */
import {
  AdmissionQueue,
  TokenBucket,
  workloadKey,
  RateMeter,
  teamWeights,
  DemandEstimates,
  type RejectedEntry,
  type QueueEntry,
  type WorkloadDemand,
  type Rejection,
} from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import { rejectionReason } from '../policy/admission.js';
import { urgencyRank, type JobSpec } from '../model/job.js';
import type { Random } from '../retry/index.js';
import { isJobId, jobStatus } from '../wire/user.js';
import {
  chunkData,
  chunkKey,
  type Committer,
  cancelledJobDataOf,
  openJobData,
  jobKey,
  type JobRecord,
  Rank,
  inlineCancelledJobData,
} from './storage/index.js';
import type { Clock, Effect } from './effects.js';
import type { LocalWriteShare } from './write-budget.js';
import type { Replica } from './replica.js';
import type { Transaction } from '../wire/store.js';

/** What to do with a request once the view is known to be as new as the request. */
interface Waiter {
  rid: number;
  id: string;
  since: number;
  /** Revision that the view must have reached; null: still being read. */
  epoch: number | null;
  then: 'status' | 'withdraw' | { status: number; body: object };
}

/** A submission that waits to be taken in. */
interface Newcomer extends QueueEntry {
  spec: JobSpec;
  rids: number[];
  since: number;
}

/** Whoever would wait longer than this, of the 5 s that users wait for an answer, is told so at once. */
const patienceMs = 3000;
/** How long users try, and the longest `Retry-After` that they heed. */
const tryMs = 60_000;
const longestRetryMs = 30_000;

/** Of an equal share of the state service's requests: what readings for users may take. */
const readingShare = 0.5;
/** For so long after somebody had to wait it is told which teams and classes bring how much, ms. */
const crowdMs = 10_000;
const byUrgency = (spec: JobSpec): number => 2 ** urgencyRank[spec.urgency];

/** Answers that the users' time limits (2 s for a poll, 5 s for the others) leave no room to wait longer for. */
const giveUpMs = 1500;
const giveUpWriteMs = 4000;

/**
 * The users' requests. Final states are answered from memory. Any other answer is given only after the
 * state's revision was read later than the request came and the watch has reached it: no user may be told
 * something older than another node has told them already.
 */
export class UserRequests {
  private waiters: Waiter[] = [];
  private reading = false;
  private readAt = -Infinity;
  /** Guards against a storm of polls that uses up the state service's requests: readings take half of an equal share at most. */
  private readonly readEveryMs: number;
  /** Submissions that wait to be taken in, and those whose write is under way. */
  private readonly newcomers = new Map<string, Newcomer>();
  private readonly submits = new Map<string, { rids: number[]; since: number }>();
  private readonly admission: AdmissionQueue<Newcomer>;
  private readonly arrivals = new RateMeter();
  /** Guards against waits of users who come in a bunch, as they do, beside a part that is right on the average. */
  private readonly bucket = new TokenBucket(patienceMs / 1000);
  private turned: Rejection[] = [];
  /** Who was turned away, by team, class and reason. */
  readonly away = new Map<string, number>();
  private readonly demandEstimates: DemandEstimates;
  private crowdedAt = -Infinity;
  /** In which proportion team and class take turns, as the plan has it; empty: by guarantee and urgency. */
  private kinds: ReadonlyMap<string, number> = new Map();
  private bestRate = 1;
  private readonly withdrawals = new Map<string, { rids: number[]; since: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    private readonly clock: Clock,
    /** How many requests may wait. */
    private readonly mostWaiting: number,
    /** Jobs are taken in fairly by team and class. */
    private readonly fair: boolean,
    random: Random,
  ) {
    const { rps } = settings.state;
    this.readEveryMs = (1000 * (1 + settings.peers.length)) / (rps * readingShare);
    const weightOf = teamWeights(settings.teams);
    this.demandEstimates = new DemandEstimates(mostWaiting / 8, tryMs);
    this.admission = new AdmissionQueue(
      { most: mostWaiting, patienceMs, tryMs, longestMs: longestRetryMs, tickets: mostWaiting },
      (team) => (this.kinds.size > 0 ? this.rateOf(workloadKey(team, '')) : weightOf(team)),
      (e) => (this.kinds.size > 0 ? this.rateOf(workloadKey(e.team, e.class)) : byUrgency(e.spec)),
      random,
    );
  }

  /** Whether it is known of every job whether it was accepted. */
  sureOfAbsence: () => boolean = () => true;

  submit(rid: number, spec: JobSpec, out: Effect[]): void {
    if (this.replica.watchRevision < 0 || this.replica.machineTypes.length === 0) return this.later(rid, out);
    if (this.replica.levels.mustStandBy || this.replica.isJobUnreadable(spec.id)) return this.later(rid, out);
    if (this.replica.jobs.has(spec.id)) return this.query(rid, spec.id, out);
    if (this.unsure(spec.id)) return this.later(rid, out);
    const bad = rejectionReason(spec, this.replica.machineTypes, this.settings);
    // A job that was accepted must never get 422, so look once more whether it is known.
    if (bad !== null) return this.wait(rid, spec.id, { status: 422, body: { error: bad } }, out);
    const pending = this.submits.get(spec.id);
    if (pending) {
      pending.rids.push(rid);
      return;
    }
    const waits = this.newcomers.get(spec.id);
    if (waits) {
      waits.rids.push(rid);
      return;
    }
    const { now } = this.clock;
    const e = {
      id: spec.id,
      team: spec.team,
      class: spec.class,
      firstAt: now,
      spec,
      rids: [rid],
      since: now,
    };
    if (!this.fair) {
      if (this.submits.size >= this.mostWaiting) return this.later(rid, out);
      return this.commitNew(e);
    }
    this.arrivals.add(1, now);
    this.demandEstimates.recordArrival(e.team, e.class, byUrgency(spec), now);
    this.newcomers.set(e.id, e);
    const away = this.admission.offer(e, now);
    if (away) this.turnAway(away, out);
  }

  /** What users want of the writes, a second. */
  usersWanted(): number {
    return this.arrivals.rate(this.clock.now) + this.admission.size;
  }

  /** Somebody has had to wait of late until his job could be written. */
  get crowded(): boolean {
    return this.clock.now - this.crowdedAt < crowdMs;
  }

  /** By team and class, while somebody has to wait. */
  kindsWanted(): WorkloadDemand[] {
    const { now } = this.clock;
    if (this.admission.size > 0) this.crowdedAt = now;
    return this.crowded ? this.demandEstimates.largest(now) : [];
  }

  /** Jobs that other controllers have turned away: here they are not the last either. */
  told(list: readonly Rejection[]): void {
    this.admission.recordPeerRejections(
      list.filter((t) => !this.replica.jobs.has(t.id)),
      this.clock.now,
    );
  }

  /** A job is accepted, by whomever. */
  taken(id: string): void {
    this.admission.tickets.remove(id);
  }

  private turnAway({ entry, retryAfterS }: RejectedEntry<Newcomer>, out: Effect[]): void {
    this.newcomers.delete(entry.id);
    this.crowdedAt = this.clock.now;
    const kind = `${workloadKey(entry.team, entry.class)}: ${this.short}`;
    this.away.set(kind, (this.away.get(kind) ?? 0) + 1);
    const { id, team, class: cls, firstAt } = entry;
    this.turned.push({ id, team, class: cls, ageMs: Math.round(this.clock.now - firstAt) });
    for (const rid of entry.rids)
      out.push({
        type: 'respond',
        rid,
        status: 429,
        body: { error: 'more is asked than can be taken' },
        retryAfterS,
      });
  }

  /** What runs short, and is why jobs are turned away. */
  short = 'writes';

  /** Takes in as many as may be written now. `factor`: of them, so many where something else runs short. */
  admit(share: LocalWriteShare, factor: number, out: Effect[]): void {
    const { now } = this.clock;
    this.admission.rate = share.users * factor;
    this.admission.totalRate = share.totalUsers * factor;
    if (share.kinds !== this.kinds) {
      this.kinds = share.kinds;
      this.bestRate = Math.max(0.01, ...share.kinds.values());
    }
    let room = Math.min(this.bucket.refill(this.admission.rate, now), this.batcher.userCapacity);
    for (; room > 0; room--) {
      const e = this.admission.dequeue();
      if (!e) break;
      this.bucket.take(1);
      this.newcomers.delete(e.id);
      this.commitNew(e);
    }
    // They are in the order in which they came.
    for (const e of this.newcomers.values()) {
      if (now - e.since <= giveUpWriteMs) break;
      this.turnAway(this.admission.expire(e, now), out);
    }
    if (this.turned.length === 0) return;
    out.push({ type: 'rejected-jobs', list: this.turned });
    this.turned = [];
  }

  /** What the plan says of a team or class; of one that it does not name little was seen, so it is as good as any. */
  private rateOf(kind: string): number {
    return this.kinds.get(kind) ?? this.bestRate;
  }

  private commitNew({ spec, rids }: Newcomer): void {
    const mine = { rids, since: this.clock.now };
    this.submits.set(spec.id, mine);
    const answer = (f: (rid: number) => void) => {
      this.submits.delete(spec.id);
      mine.rids.forEach(f);
    };
    this.batcher.enqueue({
      priority: Rank.user,
      build: () => ({
        conditions: [{ key: jobKey(spec.id), stamp: 0 }],
        writes: [{ key: jobKey(spec.id), data: openJobData(spec, this.clock.wall) }],
      }),
      onCommitted: () => {
        this.admission.tickets.remove(spec.id);
        answer((r) =>
          this.out.push({
            type: 'respond',
            rid: r,
            status: 201,
            body: { nameId: spec.id, status: 'pending' },
          }),
        );
      },
      onConflict: () => answer((r) => this.query(r, spec.id, this.out)),
      onUnavailable: () => {
        answer((r) => this.later(r, this.out));
        return true;
      },
    });
  }

  query(rid: number, id: string, out: Effect[]): void {
    if (this.answerFinal(rid, id, out)) return;
    if (!isJobId(id))
      return void out.push({ type: 'respond', rid, status: 404, body: { error: 'no such job' } });
    if (this.replica.watchRevision < 0 || this.unsure(id)) return this.later(rid, out);
    this.wait(rid, id, 'status', out);
  }

  withdraw(rid: number, id: string, out: Effect[]): void {
    if (this.answerFinal(rid, id, out)) return;
    if (!isJobId(id))
      return void out.push({ type: 'respond', rid, status: 404, body: { error: 'no such job' } });
    // Guards against a cancellation that nobody can carry out, since what runs is not known.
    if (this.replica.watchRevision < 0 || this.replica.levels.mustStandBy || this.replica.isJobUnreadable(id))
      return this.later(rid, out);
    const job = this.replica.jobs.get(id);
    if (!job) return this.wait(rid, id, 'withdraw', out);
    const pending = this.withdrawals.get(id);
    if (pending) {
      pending.rids.push(rid);
      return;
    }
    const mine = { rids: [rid], since: this.clock.now };
    this.withdrawals.set(id, mine);
    const answer = (f: (rid: number) => void) => {
      this.withdrawals.delete(id);
      mine.rids.forEach(f);
    };
    this.batcher.enqueue({
      priority: Rank.user,
      build: () => {
        const now = this.replica.jobs.get(id);
        if (now?.state !== 'open') {
          answer((r) => this.withdraw(r, id, this.out));
          return null;
        }
        return this.cancelled(now);
      },
      onCommitted: () => answer((r) => this.withdraw(r, id, this.out)),
      // The job came to its end meanwhile: say which once the watch has shown it.
      onConflict: () => answer((r) => this.wait(r, id, 'withdraw', this.out)),
      onUnavailable: () => {
        answer((r) => this.later(r, this.out));
        return true;
      },
    });
  }

  /**
   * Whether nobody may be told that a job is not there: its record cannot be read, or this program is older than what is
   * stored and may not know where to look.
   */
  private unsure(id: string): boolean {
    return (
      this.replica.unreadableRecords.has(jobKey(id)) ||
      ((this.replica.levels.mustStandBy || !this.sureOfAbsence()) && !this.replica.jobs.has(id))
    );
  }

  /** A job's cancellation. Where its tasks may be stays with it until they are proven gone. */
  private cancelled({
    id,
    acceptedAt: at,
    spec,
    modRevision: stamp,
    tasksInline: whole,
  }: JobRecord): Transaction {
    const key = jobKey(id);
    const when = [{ key, stamp }];
    const tasks = whole ? this.replica.chunks.get(id)?.get(0) : undefined;
    if (!tasks || tasks.placements.length === 0)
      return { conditions: when, writes: [{ key, data: cancelledJobDataOf(at, spec!) }] };
    if (this.replica.levels.isEnabled('small-jobs'))
      return {
        conditions: when,
        writes: [{ key, data: inlineCancelledJobData(at, spec!, chunkData(tasks)) }],
      };
    const apart = chunkKey(id, 0);
    return {
      conditions: [...when, { key: apart, stamp: 0 }],
      writes: [
        { key, data: cancelledJobDataOf(at, spec!) },
        { key: apart, data: chunkData(tasks) },
      ],
    };
  }

  /** Everybody who waits is told to come again: this process begins anew. */
  abandon(out: Effect[]): void {
    for (const w of this.waiters) this.later(w.rid, out);
    for (const list of [this.submits, this.withdrawals, this.newcomers])
      for (const { rids } of list.values()) for (const rid of rids) this.later(rid, out);
  }

  /** Effects of the running step; set by the controller. */
  out: Effect[] = [];

  private answerFinal(rid: number, id: string, out: Effect[]): boolean {
    const job = this.replica.jobs.get(id);
    if (!job || job.state === 'open') return false;
    this.answerJob(rid, id, out);
    return true;
  }

  private answerJob(rid: number, id: string, out: Effect[]): void {
    const job = this.replica.jobs.get(id)!;
    const c = job.state === 'done' ? { done: job.taskCount, running: 0 } : this.replica.taskCounts(id);
    const running = job.state === 'open' ? c.running : 0;
    out.push({
      type: 'respond',
      rid,
      status: 200,
      body: { nameId: id, status: jobStatus(job.state, running), done: c.done, running },
    });
  }

  private later(rid: number, out: Effect[]): void {
    out.push({ type: 'respond', rid, status: 503, body: { error: 'try again later' }, retryAfterS: 1 });
  }

  private wait(rid: number, id: string, then: Waiter['then'], out: Effect[]): void {
    if (this.waiters.length >= this.mostWaiting) return this.later(rid, out);
    this.waiters.push({ rid, id, since: this.clock.now, epoch: null, then });
  }

  /**
   * A reading of the state's revision that was asked for at `sentAt`. Without an answer, users are told to come later; while
   * the other controllers vouch for the view, those who ask about a known job wait for that.
   */
  epochRead(sentAt: number, epoch: number | null, out: Effect[], vouched: boolean): void {
    this.reading = false;
    for (const w of this.waiters) if (w.epoch === null && w.since <= sentAt) w.epoch = epoch ?? -1;
    if (epoch === null) {
      for (const w of this.waiters)
        if (w.epoch === -1) {
          if (vouched && w.then === 'status' && this.replica.jobs.has(w.id)) w.epoch = Infinity;
          else this.later(w.rid, out);
        }
      this.waiters = this.waiters.filter((w) => w.epoch !== -1);
    }
  }

  /** `confirmedByPeersAt`: the view holds all ends of jobs that anybody had been told of by then. */
  pump(out: Effect[], vouchedAt: number): void {
    const now = this.clock.now;
    if (this.waiters.length > 0) {
      const left: Waiter[] = [];
      const ready: Waiter[] = [];
      for (const w of this.waiters) {
        const vouched = w.then === 'status' && w.since <= vouchedAt && this.replica.jobs.has(w.id);
        if (vouched || (w.epoch !== null && this.replica.watchRevision >= w.epoch)) ready.push(w);
        else if (now - w.since > giveUpMs) this.later(w.rid, out);
        else left.push(w);
      }
      this.waiters = left;
      for (const w of ready) {
        const known = this.replica.jobs.has(w.id);
        if (typeof w.then === 'object' && !known && !this.unsure(w.id))
          out.push({ type: 'respond', rid: w.rid, status: w.then.status, body: w.then.body });
        else if (!known && this.unsure(w.id)) this.later(w.rid, out);
        else if (!known)
          out.push({ type: 'respond', rid: w.rid, status: 404, body: { error: 'no such job' } });
        else if (w.then === 'withdraw') this.withdraw(w.rid, w.id, out);
        else this.answerJob(w.rid, w.id, out);
      }
      if (!this.reading && now >= this.readAt && this.waiters.some((w) => w.epoch === null)) {
        this.reading = true;
        this.readAt = now + this.readEveryMs;
        out.push({ type: 'read-revision' });
      }
    }
    // Given up: answered at once. The write itself may still go through, and a repeated request finds it.
    for (const pending of [this.submits, this.withdrawals])
      for (const p of pending.values())
        if (now - p.since > giveUpWriteMs && p.rids.length > 0) {
          for (const rid of p.rids.splice(0)) this.later(rid, out);
          p.since = now;
        }
  }
}
