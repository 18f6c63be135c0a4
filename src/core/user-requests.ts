/** User requests: submissions, status queries and cancellations, and when each may be answered (read-your-writes). */
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

/** A request that is answered once the replica is known to be as new as the request. */
interface PendingRead {
  requestId: number;
  id: string;
  since: number;
  /** Revision that the replica must have reached; null: not read yet. */
  revision: number | null;
  action: 'status' | 'cancel' | { status: number; body: object };
}

/** A submission that waits for admission. */
interface PendingSubmission extends QueueEntry {
  spec: JobSpec;
  requestIds: number[];
  since: number;
}

/** A submission that would wait longer than this is rejected at once; users wait 5 s for a response. */
const maxAdmissionDelayMs = 3000;
/** How long users retry, and the longest `Retry-After` that they respect. */
const clientRetryPeriodMs = 60_000;
const maxRetryAfterMs = 30_000;

/** Of an equal share of the state service's requests: what revision reads for users may take. */
const revisionReadShare = 0.5;
/** For this long after a submission had to wait, the demand of each team and class is reported to the peers, ms. */
const backlogMemoryMs = 10_000;
const urgencyWeight = (spec: JobSpec): number => 2 ** urgencyRank[spec.urgency];

/** Timeouts within those of users: 2 s for a status query, 5 s for other requests. */
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
 * Handles user requests. Final states are answered from the replica. Any other response waits until the revision was read
 * after the request arrived and the watch has reached it: no user may see a state older than what another controller has
 * already shown.
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
  /** Limits revision reads to half of an equal share of the state service's requests, however many users poll. */
  private readonly revisionReadIntervalMs: number;
  /** Submissions that wait for admission, and those whose write is in flight, by job. */
  private readonly pendingSubmissions = new Map<string, PendingSubmission>();
  private readonly submissionWrites = new Map<string, { requestIds: number[]; since: number }>();
  private readonly admission: AdmissionQueue<PendingSubmission>;
  private readonly arrivals = new RateMeter();
  /** Admits bursts of submissions within the rate that is allowed on average. */
  private readonly burstLimiter = new TokenBucket(maxAdmissionDelayMs / 1000);
  private newlyRejected: Rejection[] = [];
  /** Rejected submissions since the last log line, by team, class and bottleneck. */
  readonly rejections = new Map<string, number>();
  private readonly demandEstimates: DemandEstimates;
  private backloggedAt = -Infinity;
  /** Rates of teams and classes in the allocation; empty: their weights are quota and urgency. */
  private groupRates: ReadonlyMap<string, number> = new Map();
  private defaultGroupRate = 1;
  private readonly cancellationWrites = new Map<string, { requestIds: number[]; since: number }>();

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

  /** Handles a submission; a repeated one is idempotent. */
  submit(requestId: number, spec: JobSpec, effects: Effect[]): void {
    if (this.replica.watchRevision < 0 || this.replica.machineTypes.length === 0)
      return this.respondRetryLater(requestId, effects);
    if (this.replica.levels.mustStandBy || this.replica.isJobUnreadable(spec.id))
      return this.respondRetryLater(requestId, effects);
    if (this.replica.jobs.has(spec.id)) return this.query(requestId, spec.id, effects);
    if (this.presenceUnknown(spec.id)) return this.respondRetryLater(requestId, effects);
    const bad = rejectionReason(spec, this.replica.machineTypes, this.settings);
    // A job that was accepted must never get 422, so look once more whether it is known.
    if (bad !== null)
      return this.awaitRevision(requestId, spec.id, { status: 422, body: { error: bad } }, effects);
    const pending = this.submissionWrites.get(spec.id);
    if (pending) {
      pending.requestIds.push(requestId);
      return;
    }
    const waits = this.pendingSubmissions.get(spec.id);
    if (waits) {
      waits.requestIds.push(requestId);
      return;
    }
    const { now } = this.clock;
    const e = {
      id: spec.id,
      team: spec.team,
      class: spec.class,
      firstAttemptAt: now,
      spec,
      requestIds: [requestId],
      since: now,
    };
    if (!this.fairAdmission) {
      if (this.submissionWrites.size >= this.maxPending) return this.respondRetryLater(requestId, effects);
      return this.writeJob(e);
    }
    this.arrivals.add(1, now);
    this.demandEstimates.recordArrival(e.team, e.class, urgencyWeight(spec), now);
    this.pendingSubmissions.set(e.id, e);
    const away = this.admission.offer(e, now);
    if (away) this.reject(away, effects);
  }

  /** Writes per second that new jobs need. */
  writeDemand(): number {
    return this.arrivals.rate(this.clock.now) + this.admission.size;
  }

  /** Whether a submission had to wait recently until it could be written. */
  get backlogged(): boolean {
    return this.clock.now - this.backloggedAt < backlogMemoryMs;
  }

  /** Demand by team and class while submissions wait, otherwise empty. */
  groupDemand(): WorkloadDemand[] {
    const { now } = this.clock;
    if (this.admission.size > 0) this.backloggedAt = now;
    return this.backlogged ? this.demandEstimates.largest(now) : [];
  }

  /** Jobs that other controllers have rejected: they keep their place here, too. */
  rejectedElsewhere(list: readonly Rejection[]): void {
    this.admission.recordPeerRejections(
      list.filter((t) => !this.replica.jobs.has(t.id)),
      this.clock.now,
    );
  }

  /** A job was accepted, by any controller. */
  jobAccepted(id: string): void {
    this.admission.tickets.remove(id);
  }

  private reject({ entry, retryAfterS }: RejectedEntry<PendingSubmission>, effects: Effect[]): void {
    this.pendingSubmissions.delete(entry.id);
    this.backloggedAt = this.clock.now;
    const kind = `${workloadKey(entry.team, entry.class)}: ${this.bottleneck}`;
    this.rejections.set(kind, (this.rejections.get(kind) ?? 0) + 1);
    const { id, team, class: cls, firstAttemptAt } = entry;
    this.newlyRejected.push({ id, team, class: cls, ageMs: Math.round(this.clock.now - firstAttemptAt) });
    for (const requestId of entry.requestIds)
      effects.push({
        type: 'respond',
        requestId,
        status: 429,
        body: { error: 'more is asked than can be taken' },
        retryAfterS,
      });
  }

  /** The resource whose shortage makes jobs wait, for the log. */
  bottleneck = 'writes';

  /** Admits as many jobs as may be written now. `factor`: the share of them that other scarce resources allow. */
  admit(share: LocalWriteShare, factor: number, effects: Effect[]): void {
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
    // In order of arrival.
    for (const e of this.pendingSubmissions.values()) {
      if (now - e.since <= writeTimeoutMs) break;
      this.reject(this.admission.expire(e, now), effects);
    }
    if (this.newlyRejected.length === 0) return;
    effects.push({ type: 'rejected-jobs', list: this.newlyRejected });
    this.newlyRejected = [];
  }

  /** The rate of a team or class in the allocation; one that it does not name has had little demand and gets the highest. */
  private groupRate(kind: string): number {
    return this.groupRates.get(kind) ?? this.defaultGroupRate;
  }

  private writeJob({ spec, requestIds }: PendingSubmission): void {
    const pendingWrite = { requestIds, since: this.clock.now };
    this.submissionWrites.set(spec.id, pendingWrite);
    const answer = (f: (requestId: number) => void) => {
      this.submissionWrites.delete(spec.id);
      pendingWrite.requestIds.forEach(f);
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

  /** Handles a status query. */
  query(requestId: number, id: string, effects: Effect[]): void {
    if (this.respondIfFinal(requestId, id, effects)) return;
    if (!isJobId(id))
      return void effects.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    if (this.replica.watchRevision < 0 || this.presenceUnknown(id))
      return this.respondRetryLater(requestId, effects);
    this.awaitRevision(requestId, id, 'status', effects);
  }

  /** Handles a cancellation. */
  cancel(requestId: number, id: string, effects: Effect[]): void {
    if (this.respondIfFinal(requestId, id, effects)) return;
    if (!isJobId(id))
      return void effects.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    // Guards against a cancellation that nobody can carry effects, since what runs is not known.
    if (this.replica.watchRevision < 0 || this.replica.levels.mustStandBy || this.replica.isJobUnreadable(id))
      return this.respondRetryLater(requestId, effects);
    const job = this.replica.jobs.get(id);
    if (!job) return this.awaitRevision(requestId, id, 'cancel', effects);
    const pending = this.cancellationWrites.get(id);
    if (pending) {
      pending.requestIds.push(requestId);
      return;
    }
    const pendingWrite = { requestIds: [requestId], since: this.clock.now };
    this.cancellationWrites.set(id, pendingWrite);
    const answer = (f: (requestId: number) => void) => {
      this.cancellationWrites.delete(id);
      pendingWrite.requestIds.forEach(f);
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
      // The job reached a final state meanwhile: answered once the watch has delivered it.
      onConflict: () => answer((r) => this.awaitRevision(r, id, 'cancel', this.stepEffects)),
      onUnavailable: () => {
        answer((r) => this.respondRetryLater(r, this.stepEffects));
        return true;
      },
    });
  }

  /**
   * Whether it is unknown if a job exists, so that no user may be told that it does not: its record cannot be read, or
   * this program is older than the stored records and may not know all of them.
   */
  private presenceUnknown(id: string): boolean {
    return (
      this.replica.unreadableRecords.has(jobKey(id)) ||
      ((this.replica.levels.mustStandBy || !this.canConfirmAbsence()) && !this.replica.jobs.has(id))
    );
  }

  /** The transaction that cancels a job. The record keeps its placements until their end is confirmed. */
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

  /** Answers all waiting requests with a retry: the core is restarted. */
  rejectAll(effects: Effect[]): void {
    for (const w of this.pendingReads) this.respondRetryLater(w.requestId, effects);
    for (const list of [this.submissionWrites, this.cancellationWrites, this.pendingSubmissions])
      for (const { requestIds } of list.values())
        for (const requestId of requestIds) this.respondRetryLater(requestId, effects);
  }

  /** Effects of the current step, for outcomes of writes; set by the controller. */
  stepEffects: Effect[] = [];

  private respondIfFinal(requestId: number, id: string, effects: Effect[]): boolean {
    const job = this.replica.jobs.get(id);
    if (!job || job.state === 'open') return false;
    this.respondWithStatus(requestId, id, effects);
    return true;
  }

  private respondWithStatus(requestId: number, id: string, effects: Effect[]): void {
    const job = this.replica.jobs.get(id)!;
    const c = job.state === 'done' ? { done: job.taskCount, running: 0 } : this.replica.taskCounts(id);
    const running = job.state === 'open' ? c.running : 0;
    effects.push({
      type: 'respond',
      requestId,
      status: 200,
      body: { nameId: id, status: jobStatus(job.state, running), done: c.done, running },
    });
  }

  private respondRetryLater(requestId: number, effects: Effect[]): void {
    effects.push({
      type: 'respond',
      requestId,
      status: 503,
      body: { error: 'try again later' },
      retryAfterS: 1,
    });
  }

  private awaitRevision(requestId: number, id: string, then: PendingRead['action'], effects: Effect[]): void {
    if (this.pendingReads.length >= this.maxPending) return this.respondRetryLater(requestId, effects);
    this.pendingReads.push({ requestId, id, since: this.clock.now, revision: null, action: then });
  }

  /**
   * The result of a revision read that was sent at `sentAt`; null: it failed. Then requests are answered with a retry,
   * except status queries about known jobs while peers confirm the replica's freshness: these wait for the confirmation.
   */
  revisionRead(sentAt: number, revision: number | null, effects: Effect[], confirmedByPeers: boolean): void {
    this.revisionRequested = false;
    for (const w of this.pendingReads)
      if (w.revision === null && w.since <= sentAt) w.revision = revision ?? -1;
    if (revision === null) {
      for (const w of this.pendingReads)
        if (w.revision === -1) {
          if (confirmedByPeers && w.action === 'status' && this.replica.jobs.has(w.id)) w.revision = Infinity;
          else this.respondRetryLater(w.requestId, effects);
        }
      this.pendingReads = this.pendingReads.filter((w) => w.revision !== -1);
    }
  }

  /** `confirmedByPeersAt`: the view holds all ends of jobs that anybody had been told of by then. */
  flush(effects: Effect[], confirmedAt: number): void {
    for (const request of this.takeReadyReads(effects, confirmedAt)) this.respondToRead(request, effects);
    this.requestRevisionRead(effects);
    this.expireWrites(effects);
  }

  /** Removes the reads that can be answered from those that wait; answers the ones that have timed out with a retry. */
  private takeReadyReads(effects: Effect[], confirmedAt: number): PendingRead[] {
    const ready: PendingRead[] = [];
    if (this.pendingReads.length === 0) return ready;
    const waiting: PendingRead[] = [];
    for (const request of this.pendingReads) {
      const { action, id, revision, since } = request;
      const confirmedByPeers = action === 'status' && since <= confirmedAt && this.replica.jobs.has(id);
      if (confirmedByPeers || (revision !== null && this.replica.watchRevision >= revision))
        ready.push(request);
      else if (this.clock.now - since > readTimeoutMs) this.respondRetryLater(request.requestId, effects);
      else waiting.push(request);
    }
    this.pendingReads = waiting;
    return ready;
  }

  private respondToRead({ requestId, id, action }: PendingRead, effects: Effect[]): void {
    if (this.replica.jobs.has(id)) {
      if (action === 'cancel') this.cancel(requestId, id, effects);
      else this.respondWithStatus(requestId, id, effects);
    } else if (this.presenceUnknown(id)) this.respondRetryLater(requestId, effects);
    else if (typeof action === 'object') effects.push({ type: 'respond', requestId, ...action });
    else effects.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
  }

  private requestRevisionRead(effects: Effect[]): void {
    const { now } = this.clock;
    if (this.revisionRequested || now < this.nextRevisionReadAt) return;
    if (!this.pendingReads.some((request) => request.revision === null)) return;
    this.revisionRequested = true;
    this.nextRevisionReadAt = now + this.revisionReadIntervalMs;
    effects.push({ type: 'read-revision' });
  }

  private expireWrites(effects: Effect[]): void {
    const { now } = this.clock;
    for (const writes of [this.submissionWrites, this.cancellationWrites])
      for (const write of writes.values()) {
        if (now - write.since <= writeTimeoutMs || write.requestIds.length === 0) continue;
        // Timed out: the write itself may still succeed, and an idempotent retry finds it.
        for (const requestId of write.requestIds.splice(0)) this.respondRetryLater(requestId, effects);
        write.since = now;
      }
  }
}
