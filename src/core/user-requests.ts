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
  type TransactionBatcher,
  cancelledJobDataOf,
  openJobData,
  jobKey,
  type JobRecord,
  WritePriority,
  inlineCancelledJobData,
} from './storage/index.js';
import type { Clock, Effect } from './effects.js';
import type { LocalWriteShare } from './write-budget.js';
import type { Replica } from './replica.js';
import type { Transaction } from '../wire/store.js';

/** What to do with a request once the view is known to be as new as the request. */
interface PendingRead {
  requestId: number;
  id: string;
  since: number;
  /** Revision that the view must have reached; null: still being read. */
  revision: number | null;
  action: 'status' | 'withdraw' | { status: number; body: object };
}

/** A submission that waits to be taken in. */
interface PendingSubmission extends QueueEntry {
  spec: JobSpec;
  rids: number[];
  since: number;
}

/** Whoever would wait longer than this, of the 5 s that users wait for an answer, is told so at once. */
const maxAdmissionDelayMs = 3000;
/** How long users try, and the longest `Retry-After` that they heed. */
const clientRetryPeriodMs = 60_000;
const maxRetryAfterMs = 30_000;

/** Of an equal share of the state service's requests: what readings for users may take. */
const revisionReadShare = 0.5;
/** For so long after somebody had to wait it is told which teams and classes bring how much, ms. */
const backlogMemoryMs = 10_000;
const urgencyWeight = (spec: JobSpec): number => 2 ** urgencyRank[spec.urgency];

/** Answers that the users' time limits (2 s for a poll, 5 s for the others) leave no room to wait longer for. */
const readTimeoutMs = 1500;
const writeTimeoutMs = 4000;

/** What user requests are handled with. */
export interface UserRequestsOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Readonly<Clock>;
  /** Requests that may wait at a time. */
  readonly maxPending: number;
  /** Jobs are admitted by the fair shares of teams and classes. */
  readonly fairAdmission: boolean;
  readonly random: Random;
  /** Whether it is certain of every job whether it was ever accepted. */
  readonly canConfirmAbsence: () => boolean;
}

/**
 * The users' requests. Final states are answered from memory. Any other answer is given only after the
 * state's revision was read later than the request came and the watch has reached it: no user may be told
 * something older than another node has told them already.
 */
export class UserRequests {
  private readonly settings: Settings;
  private readonly replica: Replica;
  private readonly batcher: TransactionBatcher;
  private readonly clock: Readonly<Clock>;
  private readonly maxPending: number;
  private readonly fairAdmission: boolean;
  private readonly canConfirmAbsence: () => boolean;
  private pendingReads: PendingRead[] = [];
  private revisionRequested = false;
  private nextRevisionReadAt = -Infinity;
  /** Guards against a storm of polls that uses up the state service's requests: readings take half of an equal share at most. */
  private readonly revisionReadIntervalMs: number;
  /** Submissions that wait to be taken in, and those whose write is under way. */
  private readonly pendingSubmissions = new Map<string, PendingSubmission>();
  private readonly submissionWrites = new Map<string, { rids: number[]; since: number }>();
  private readonly admission: AdmissionQueue<PendingSubmission>;
  private readonly arrivals = new RateMeter();
  /** Guards against waits of users who come in a bunch, as they do, beside a part that is right on the average. */
  private readonly burstLimiter = new TokenBucket(maxAdmissionDelayMs / 1000);
  private newlyRejected: Rejection[] = [];
  /** Who was turned away, by team, class and reason. */
  readonly rejections = new Map<string, number>();
  private readonly demandEstimates: DemandEstimates;
  private backloggedAt = -Infinity;
  /** In which proportion team and class take turns, as the plan has it; empty: by guarantee and urgency. */
  private groupRates: ReadonlyMap<string, number> = new Map();
  private defaultGroupRate = 1;
  private readonly cancellationWrites = new Map<string, { rids: number[]; since: number }>();

  constructor(options: UserRequestsOptions) {
    const { settings, maxPending, random } = options;
    this.settings = settings;
    this.replica = options.replica;
    this.batcher = options.batcher;
    this.clock = options.clock;
    this.maxPending = maxPending;
    this.fairAdmission = options.fairAdmission;
    this.canConfirmAbsence = options.canConfirmAbsence;
    const { rps } = settings.state;
    this.revisionReadIntervalMs = (1000 * (1 + settings.peers.length)) / (rps * revisionReadShare);
    const weightOf = teamWeights(settings.teams);
    this.demandEstimates = new DemandEstimates(maxPending / 8, clientRetryPeriodMs);
    this.admission = new AdmissionQueue(
      {
        maxQueued: maxPending,
        maxQueueWaitMs: maxAdmissionDelayMs,
        retryWindowMs: clientRetryPeriodMs,
        maxRetryAfterMs,
        maxTickets: maxPending,
      },
      (team) => (this.groupRates.size > 0 ? this.groupRate(workloadKey(team, '')) : weightOf(team)),
      (e) =>
        this.groupRates.size > 0 ? this.groupRate(workloadKey(e.team, e.class)) : urgencyWeight(e.spec),
      random,
    );
  }

  submit(requestId: number, spec: JobSpec, out: Effect[]): void {
    if (this.replica.watchRevision < 0 || this.replica.machineTypes.length === 0)
      return this.respondRetryLater(requestId, out);
    if (this.replica.levels.mustStandBy || this.replica.isJobUnreadable(spec.id))
      return this.respondRetryLater(requestId, out);
    if (this.replica.jobs.has(spec.id)) return this.query(requestId, spec.id, out);
    if (this.presenceUnknown(spec.id)) return this.respondRetryLater(requestId, out);
    const bad = rejectionReason(spec, this.replica.machineTypes, this.settings);
    // A job that was accepted must never get 422, so look once more whether it is known.
    if (bad !== null)
      return this.awaitRevision(requestId, spec.id, { status: 422, body: { error: bad } }, out);
    const pending = this.submissionWrites.get(spec.id);
    if (pending) {
      pending.rids.push(requestId);
      return;
    }
    const waits = this.pendingSubmissions.get(spec.id);
    if (waits) {
      waits.rids.push(requestId);
      return;
    }
    const { now } = this.clock;
    const e = {
      id: spec.id,
      team: spec.team,
      class: spec.class,
      firstAttemptAt: now,
      spec,
      rids: [requestId],
      since: now,
    };
    if (!this.fairAdmission) {
      if (this.submissionWrites.size >= this.maxPending) return this.respondRetryLater(requestId, out);
      return this.writeJob(e);
    }
    this.arrivals.add(1, now);
    this.demandEstimates.recordArrival(e.team, e.class, urgencyWeight(spec), now);
    this.pendingSubmissions.set(e.id, e);
    const away = this.admission.offer(e, now);
    if (away) this.reject(away, out);
  }

  /** What users want of the writes, a second. */
  writeDemand(): number {
    return this.arrivals.rate(this.clock.now) + this.admission.size;
  }

  /** Somebody has had to wait of late until his job could be written. */
  get backlogged(): boolean {
    return this.clock.now - this.backloggedAt < backlogMemoryMs;
  }

  /** By team and class, while somebody has to wait. */
  groupDemand(): WorkloadDemand[] {
    const { now } = this.clock;
    if (this.admission.size > 0) this.backloggedAt = now;
    return this.backlogged ? this.demandEstimates.largest(now) : [];
  }

  /** Jobs that other controllers have turned away: here they are not the last either. */
  rejectedElsewhere(list: readonly Rejection[]): void {
    this.admission.recordPeerRejections(
      list.filter((t) => !this.replica.jobs.has(t.id)),
      this.clock.now,
    );
  }

  /** A job is accepted, by whomever. */
  jobAccepted(id: string): void {
    this.admission.tickets.remove(id);
  }

  private reject({ entry, retryAfterS }: RejectedEntry<PendingSubmission>, out: Effect[]): void {
    this.pendingSubmissions.delete(entry.id);
    this.backloggedAt = this.clock.now;
    const kind = `${workloadKey(entry.team, entry.class)}: ${this.bottleneck}`;
    this.rejections.set(kind, (this.rejections.get(kind) ?? 0) + 1);
    const { id, team, class: cls, firstAttemptAt } = entry;
    this.newlyRejected.push({ id, team, class: cls, ageMs: Math.round(this.clock.now - firstAttemptAt) });
    for (const requestId of entry.rids)
      out.push({
        type: 'respond',
        requestId,
        status: 429,
        body: { error: 'more is asked than can be taken' },
        retryAfterS,
      });
  }

  /** What runs short, and is why jobs are turned away. */
  bottleneck = 'writes';

  /** Takes in as many as may be written now. `factor`: of them, so many where something else runs short. */
  admit(share: LocalWriteShare, factor: number, out: Effect[]): void {
    const { now } = this.clock;
    this.admission.rate = share.newJobs * factor;
    this.admission.totalRate = share.totalNewJobs * factor;
    if (share.workloadRates !== this.groupRates) {
      this.groupRates = share.workloadRates;
      this.defaultGroupRate = Math.max(0.01, ...share.workloadRates.values());
    }
    let room = Math.min(this.burstLimiter.refill(this.admission.rate, now), this.batcher.userCapacity);
    for (; room > 0; room--) {
      const e = this.admission.dequeue();
      if (!e) break;
      this.burstLimiter.take(1);
      this.pendingSubmissions.delete(e.id);
      this.writeJob(e);
    }
    // They are in the order in which they came.
    for (const e of this.pendingSubmissions.values()) {
      if (now - e.since <= writeTimeoutMs) break;
      this.reject(this.admission.expire(e, now), out);
    }
    if (this.newlyRejected.length === 0) return;
    out.push({ type: 'rejected-jobs', list: this.newlyRejected });
    this.newlyRejected = [];
  }

  /** What the plan says of a team or class; of one that it does not name little was seen, so it is as good as any. */
  private groupRate(kind: string): number {
    return this.groupRates.get(kind) ?? this.defaultGroupRate;
  }

  private writeJob({ spec, rids }: PendingSubmission): void {
    const mine = { rids, since: this.clock.now };
    this.submissionWrites.set(spec.id, mine);
    const answer = (f: (requestId: number) => void) => {
      this.submissionWrites.delete(spec.id);
      mine.rids.forEach(f);
    };
    this.batcher.enqueue({
      priority: WritePriority.user,
      build: () => ({
        conditions: [{ key: jobKey(spec.id), stamp: 0 }],
        writes: [{ key: jobKey(spec.id), data: openJobData(spec, this.clock.wall) }],
      }),
      onCommitted: () => {
        this.admission.tickets.remove(spec.id);
        answer((r) =>
          this.stepEffects.push({
            type: 'respond',
            requestId: r,
            status: 201,
            body: { nameId: spec.id, status: 'pending' },
          }),
        );
      },
      onConflict: () => answer((r) => this.query(r, spec.id, this.stepEffects)),
      onUnavailable: () => {
        answer((r) => this.respondRetryLater(r, this.stepEffects));
        return true;
      },
    });
  }

  query(requestId: number, id: string, out: Effect[]): void {
    if (this.respondIfFinal(requestId, id, out)) return;
    if (!isJobId(id))
      return void out.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    if (this.replica.watchRevision < 0 || this.presenceUnknown(id))
      return this.respondRetryLater(requestId, out);
    this.awaitRevision(requestId, id, 'status', out);
  }

  cancel(requestId: number, id: string, out: Effect[]): void {
    if (this.respondIfFinal(requestId, id, out)) return;
    if (!isJobId(id))
      return void out.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    // Guards against a cancellation that nobody can carry out, since what runs is not known.
    if (this.replica.watchRevision < 0 || this.replica.levels.mustStandBy || this.replica.isJobUnreadable(id))
      return this.respondRetryLater(requestId, out);
    const job = this.replica.jobs.get(id);
    if (!job) return this.awaitRevision(requestId, id, 'withdraw', out);
    const pending = this.cancellationWrites.get(id);
    if (pending) {
      pending.rids.push(requestId);
      return;
    }
    const mine = { rids: [requestId], since: this.clock.now };
    this.cancellationWrites.set(id, mine);
    const answer = (f: (requestId: number) => void) => {
      this.cancellationWrites.delete(id);
      mine.rids.forEach(f);
    };
    this.batcher.enqueue({
      priority: WritePriority.user,
      build: () => {
        const now = this.replica.jobs.get(id);
        if (now?.state !== 'open') {
          answer((r) => this.cancel(r, id, this.stepEffects));
          return null;
        }
        return this.cancellation(now);
      },
      onCommitted: () => answer((r) => this.cancel(r, id, this.stepEffects)),
      // The job came to its end meanwhile: say which once the watch has shown it.
      onConflict: () => answer((r) => this.awaitRevision(r, id, 'withdraw', this.stepEffects)),
      onUnavailable: () => {
        answer((r) => this.respondRetryLater(r, this.stepEffects));
        return true;
      },
    });
  }

  /**
   * Whether nobody may be told that a job is not there: its record cannot be read, or this program is older than what is
   * stored and may not know where to look.
   */
  private presenceUnknown(id: string): boolean {
    return (
      this.replica.unreadableRecords.has(jobKey(id)) ||
      ((this.replica.levels.mustStandBy || !this.canConfirmAbsence()) && !this.replica.jobs.has(id))
    );
  }

  /** A job's cancellation. Where its tasks may be stays with it until they are proven gone. */
  private cancellation({
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
  rejectAll(out: Effect[]): void {
    for (const w of this.pendingReads) this.respondRetryLater(w.requestId, out);
    for (const list of [this.submissionWrites, this.cancellationWrites, this.pendingSubmissions])
      for (const { rids } of list.values())
        for (const requestId of rids) this.respondRetryLater(requestId, out);
  }

  /** Effects of the running step; set by the controller. */
  stepEffects: Effect[] = [];

  private respondIfFinal(requestId: number, id: string, out: Effect[]): boolean {
    const job = this.replica.jobs.get(id);
    if (!job || job.state === 'open') return false;
    this.respondWithStatus(requestId, id, out);
    return true;
  }

  private respondWithStatus(requestId: number, id: string, out: Effect[]): void {
    const job = this.replica.jobs.get(id)!;
    const c = job.state === 'done' ? { done: job.taskCount, running: 0 } : this.replica.taskCounts(id);
    const running = job.state === 'open' ? c.running : 0;
    out.push({
      type: 'respond',
      requestId,
      status: 200,
      body: { nameId: id, status: jobStatus(job.state, running), done: c.done, running },
    });
  }

  private respondRetryLater(requestId: number, out: Effect[]): void {
    out.push({ type: 'respond', requestId, status: 503, body: { error: 'try again later' }, retryAfterS: 1 });
  }

  private awaitRevision(requestId: number, id: string, then: PendingRead['action'], out: Effect[]): void {
    if (this.pendingReads.length >= this.maxPending) return this.respondRetryLater(requestId, out);
    this.pendingReads.push({ requestId, id, since: this.clock.now, revision: null, action: then });
  }

  /**
   * A reading of the state's revision that was asked for at `sentAt`. Without an answer, users are told to come later; while
   * the other controllers vouch for the view, those who ask about a known job wait for that.
   */
  revisionRead(sentAt: number, revision: number | null, out: Effect[], vouched: boolean): void {
    this.revisionRequested = false;
    for (const w of this.pendingReads)
      if (w.revision === null && w.since <= sentAt) w.revision = revision ?? -1;
    if (revision === null) {
      for (const w of this.pendingReads)
        if (w.revision === -1) {
          if (vouched && w.action === 'status' && this.replica.jobs.has(w.id)) w.revision = Infinity;
          else this.respondRetryLater(w.requestId, out);
        }
      this.pendingReads = this.pendingReads.filter((w) => w.revision !== -1);
    }
  }

  /** `confirmedByPeersAt`: the view holds all ends of jobs that anybody had been told of by then. */
  flush(out: Effect[], vouchedAt: number): void {
    const now = this.clock.now;
    if (this.pendingReads.length > 0) {
      const left: PendingRead[] = [];
      const ready: PendingRead[] = [];
      for (const w of this.pendingReads) {
        const vouched = w.action === 'status' && w.since <= vouchedAt && this.replica.jobs.has(w.id);
        if (vouched || (w.revision !== null && this.replica.watchRevision >= w.revision)) ready.push(w);
        else if (now - w.since > readTimeoutMs) this.respondRetryLater(w.requestId, out);
        else left.push(w);
      }
      this.pendingReads = left;
      for (const w of ready) {
        const known = this.replica.jobs.has(w.id);
        if (typeof w.action === 'object' && !known && !this.presenceUnknown(w.id))
          out.push({ type: 'respond', requestId: w.requestId, status: w.action.status, body: w.action.body });
        else if (!known && this.presenceUnknown(w.id)) this.respondRetryLater(w.requestId, out);
        else if (!known)
          out.push({ type: 'respond', requestId: w.requestId, status: 404, body: { error: 'no such job' } });
        else if (w.action === 'withdraw') this.cancel(w.requestId, w.id, out);
        else this.respondWithStatus(w.requestId, w.id, out);
      }
      if (
        !this.revisionRequested &&
        now >= this.nextRevisionReadAt &&
        this.pendingReads.some((w) => w.revision === null)
      ) {
        this.revisionRequested = true;
        this.nextRevisionReadAt = now + this.revisionReadIntervalMs;
        out.push({ type: 'read-revision' });
      }
    }
    // Given up: answered at once. The write itself may still go through, and a repeated request finds it.
    for (const pending of [this.submissionWrites, this.cancellationWrites])
      for (const p of pending.values())
        if (now - p.since > writeTimeoutMs && p.rids.length > 0) {
          for (const requestId of p.rids.splice(0)) this.respondRetryLater(requestId, out);
          p.since = now;
        }
  }
}
