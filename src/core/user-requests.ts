/** Handles user requests (submissions, status queries and cancellations), with read-your-writes consistency. */
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
  cancelledJobDataFromSpec,
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

/** A request that is answered once the replica is known to be as recent as the request. */
interface PendingRead {
  requestId: number;
  id: string;
  since: number;
  /** The revision that the replica must reach; null if it has not been read yet. */
  revision: number | null;
  action: 'status' | 'cancel' | { status: number; body: object };
}

/** A submission that is queued for admission. */
interface PendingSubmission extends QueueEntry {
  spec: JobSpec;
  requestIds: number[];
  since: number;
}

/** A submission that would be queued for longer than this is rejected immediately; users wait 5 s for a response. */
const maxAdmissionDelayMs = 3000;
/** How long clients retry, and the longest `Retry-After` that they respect. */
const clientRetryPeriodMs = 60_000;
const maxRetryAfterMs = 30_000;

/** The part of an equal share of the state service's request rate that revision reads for users may use. */
const revisionReadShare = 0.5;
/** After a submission had to wait, the demand of each team and class is reported to the peers for this long. */
const backlogReportMs = 10_000;
const urgencyWeight = (spec: JobSpec): number => 2 ** urgencyRank[spec.urgency];

/** Timeouts of this controller, shorter than those of clients: 2 s for a status query, 5 s for other requests. */
const readTimeoutMs = 1500;
const writeTimeoutMs = 4000;

/** The dependencies and limits of the user request handling. */
export interface UserRequestsOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Readonly<Clock>;
  /** The maximum number of requests that may wait at the same time. */
  readonly maxPending: number;
  /** Whether jobs are admitted by the fair shares of teams and classes. */
  readonly fairAdmission: boolean;
  readonly random: Random;
  /** Whether the replica is known to contain every accepted job, so that users may be told that a job does not exist. */
  readonly canConfirmAbsence: () => boolean;
}

/**
 * Handles user requests. Final states are answered from the replica. Any other response waits until the state service's revision has
 * been read after the request arrived, and the watch has reached that revision: no user may see an older state than another
 * controller has already shown.
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
  /** Limits revision reads to half of an equal share of the state service's request rate, however many users poll. */
  private readonly revisionReadIntervalMs: number;
  /** Submissions that wait for admission, and those whose write is in flight, by job id. */
  private readonly pendingSubmissions = new Map<string, PendingSubmission>();
  private readonly submissionWrites = new Map<string, { requestIds: number[]; since: number }>();
  private readonly admission: AdmissionQueue<PendingSubmission>;
  private readonly arrivals = new RateMeter();
  /** Allows bursts of submissions within the permitted average rate. */
  private readonly burstLimiter = new TokenBucket(maxAdmissionDelayMs / 1000);
  private newlyRejected: Rejection[] = [];
  /** The number of rejected submissions since the last log line, by team, class and bottleneck. */
  readonly rejections = new Map<string, number>();
  private readonly demandEstimates: DemandEstimates;
  private lastBacklogAt = -Infinity;
  /** The rates of teams and classes in the allocation; if empty, they are weighted by guarantee and urgency. */
  private workloadRates: ReadonlyMap<string, number> = new Map();
  private defaultWorkloadRate = 1;
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
        maxTrackedRejections: maxPending,
      },
      (team) => (this.workloadRates.size > 0 ? this.workloadRate(workloadKey(team, '')) : weightOf(team)),
      (submission) =>
        this.workloadRates.size > 0
          ? this.workloadRate(workloadKey(submission.team, submission.class))
          : urgencyWeight(submission.spec),
      random,
    );
  }

  /** Handles a submission. Submissions are idempotent. */
  submit(requestId: number, spec: JobSpec, effects: Effect[]): void {
    if (this.replica.watchRevision < 0 || this.replica.machineTypes.length === 0)
      return this.respondRetryLater(requestId, effects);
    if (this.replica.levels.mustStandBy || this.replica.isJobUnreadable(spec.id))
      return this.respondRetryLater(requestId, effects);
    if (this.replica.jobs.has(spec.id)) return this.query(requestId, spec.id, effects);
    if (this.isExistenceUnknown(spec.id)) return this.respondRetryLater(requestId, effects);
    const reason = rejectionReason(spec, this.replica.machineTypes, this.settings);
    // A job that was accepted must never get 422, so check the replica again once it is recent enough.
    if (reason !== null)
      return this.awaitRevision(requestId, spec.id, { status: 422, body: { error: reason } }, effects);
    const pendingWrite = this.submissionWrites.get(spec.id);
    if (pendingWrite) {
      pendingWrite.requestIds.push(requestId);
      return;
    }
    const queued = this.pendingSubmissions.get(spec.id);
    if (queued) {
      queued.requestIds.push(requestId);
      return;
    }
    const { now } = this.clock;
    const submission = {
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
      return this.writeJob(submission);
    }
    this.arrivals.add(1, now);
    this.demandEstimates.recordArrival(submission.team, submission.class, urgencyWeight(spec), now);
    this.pendingSubmissions.set(submission.id, submission);
    const rejected = this.admission.offer(submission, now);
    if (rejected) this.reject(rejected, effects);
  }

  /** The writes per second that new jobs need. */
  writeDemand(): number {
    return this.arrivals.rate(this.clock.now) + this.admission.size;
  }

  /** Whether a submission recently had to wait until it could be written. */
  get isBacklogged(): boolean {
    return this.clock.now - this.lastBacklogAt < backlogReportMs;
  }

  /** The demand by team and class while there is a backlog of submissions, otherwise empty. */
  workloadDemand(): WorkloadDemand[] {
    const { now } = this.clock;
    if (this.admission.size > 0) this.lastBacklogAt = now;
    return this.isBacklogged ? this.demandEstimates.largest(now) : [];
  }

  /** Records jobs that other controllers have rejected, so that a retry keeps its place in the queue at this controller, too. */
  recordPeerRejections(list: readonly Rejection[]): void {
    this.admission.recordPeerRejections(
      list.filter((rejection) => !this.replica.jobs.has(rejection.id)),
      this.clock.now,
    );
  }

  /** Handles the acceptance of a job by any controller: the entry for its rejection is dropped. */
  onJobAccepted(id: string): void {
    this.admission.rejectionTracker.remove(id);
  }

  private reject({ entry, retryAfterS }: RejectedEntry<PendingSubmission>, effects: Effect[]): void {
    this.pendingSubmissions.delete(entry.id);
    this.lastBacklogAt = this.clock.now;
    const group = `${workloadKey(entry.team, entry.class)}: ${this.bottleneck}`;
    this.rejections.set(group, (this.rejections.get(group) ?? 0) + 1);
    const { id, team, class: className, firstAttemptAt } = entry;
    this.newlyRejected.push({
      id,
      team,
      class: className,
      ageMs: Math.round(this.clock.now - firstAttemptAt),
    });
    for (const requestId of entry.requestIds)
      effects.push({
        type: 'respond',
        requestId,
        status: 429,
        body: { error: 'more is asked than can be taken' },
        retryAfterS,
      });
  }

  /** The scarce resource that makes jobs wait; it is logged with rejections. */
  bottleneck = 'writes';

  /** Admits as many jobs as may be written now. `factor` is the share of them that other scarce resources allow. */
  admit(share: LocalWriteShare, factor: number, effects: Effect[]): void {
    const { now } = this.clock;
    this.admission.jobsPerS = share.newJobs * factor;
    this.admission.totalJobsPerS = share.totalNewJobs * factor;
    if (share.workloadRates !== this.workloadRates) {
      this.workloadRates = share.workloadRates;
      this.defaultWorkloadRate = Math.max(0.01, ...share.workloadRates.values());
    }
    let capacity = Math.min(
      this.burstLimiter.refill(this.admission.jobsPerS, now),
      this.batcher.userCapacity,
    );
    for (; capacity > 0; capacity--) {
      const submission = this.admission.dequeue();
      if (!submission) break;
      this.burstLimiter.take(1);
      this.pendingSubmissions.delete(submission.id);
      this.writeJob(submission);
    }
    // The submissions are in order of arrival, so the first one that has not timed out ends the search.
    for (const submission of this.pendingSubmissions.values()) {
      if (now - submission.since <= writeTimeoutMs) break;
      this.reject(this.admission.expire(submission, now), effects);
    }
    if (this.newlyRejected.length === 0) return;
    effects.push({ type: 'rejected-jobs', list: this.newlyRejected });
    this.newlyRejected = [];
  }

  /** The rate of a team or class in the allocation. One that is not listed has had little demand and gets the highest rate. */
  private workloadRate(workload: string): number {
    return this.workloadRates.get(workload) ?? this.defaultWorkloadRate;
  }

  private writeJob({ spec, requestIds }: PendingSubmission): void {
    const pendingWrite = { requestIds, since: this.clock.now };
    this.submissionWrites.set(spec.id, pendingWrite);
    const respondToAll = (respond: (requestId: number) => void) => {
      this.submissionWrites.delete(spec.id);
      pendingWrite.requestIds.forEach(respond);
    };
    this.batcher.enqueue({
      priority: WritePriority.user,
      build: () => ({
        conditions: [{ key: jobKey(spec.id), stamp: 0 }],
        writes: [{ key: jobKey(spec.id), data: openJobData(spec, this.clock.wall) }],
      }),
      onCommitted: () => {
        this.admission.rejectionTracker.remove(spec.id);
        respondToAll((requestId) =>
          this.stepEffects.push({
            type: 'respond',
            requestId,
            status: 201,
            body: { nameId: spec.id, status: 'pending' },
          }),
        );
      },
      onConflict: () => respondToAll((requestId) => this.query(requestId, spec.id, this.stepEffects)),
      onUnavailable: () => {
        respondToAll((requestId) => this.respondRetryLater(requestId, this.stepEffects));
        return true;
      },
    });
  }

  /** Handles a status query. */
  query(requestId: number, id: string, effects: Effect[]): void {
    if (this.respondIfFinal(requestId, id, effects)) return;
    if (!isJobId(id))
      return void effects.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    if (this.replica.watchRevision < 0 || this.isExistenceUnknown(id))
      return this.respondRetryLater(requestId, effects);
    this.awaitRevision(requestId, id, 'status', effects);
  }

  /** Handles a cancellation. */
  cancel(requestId: number, id: string, effects: Effect[]): void {
    if (this.respondIfFinal(requestId, id, effects)) return;
    if (!isJobId(id))
      return void effects.push({ type: 'respond', requestId, status: 404, body: { error: 'no such job' } });
    // A cancellation is not accepted while it is unknown what runs: nobody could carry it out.
    if (this.replica.watchRevision < 0 || this.replica.levels.mustStandBy || this.replica.isJobUnreadable(id))
      return this.respondRetryLater(requestId, effects);
    const job = this.replica.jobs.get(id);
    if (!job) return this.awaitRevision(requestId, id, 'cancel', effects);
    const inFlight = this.cancellationWrites.get(id);
    if (inFlight) {
      inFlight.requestIds.push(requestId);
      return;
    }
    const pendingWrite = { requestIds: [requestId], since: this.clock.now };
    this.cancellationWrites.set(id, pendingWrite);
    const respondToAll = (respond: (requestId: number) => void) => {
      this.cancellationWrites.delete(id);
      pendingWrite.requestIds.forEach(respond);
    };
    this.batcher.enqueue({
      priority: WritePriority.user,
      build: () => {
        const record = this.replica.jobs.get(id);
        if (record?.state !== 'open') {
          respondToAll((waitingId) => this.cancel(waitingId, id, this.stepEffects));
          return null;
        }
        return this.cancellationTransaction(record);
      },
      onCommitted: () => respondToAll((waitingId) => this.cancel(waitingId, id, this.stepEffects)),
      // The job has reached a final state in the meantime: respond once the watch has delivered it.
      onConflict: () =>
        respondToAll((waitingId) => this.awaitRevision(waitingId, id, 'cancel', this.stepEffects)),
      onUnavailable: () => {
        respondToAll((waitingId) => this.respondRetryLater(waitingId, this.stepEffects));
        return true;
      },
    });
  }

  /**
   * Whether it is unknown if a job exists, so that no user may be told that it does not: its record cannot be read, this program
   * version is too old for the stored records and may not know all of them, or accepted jobs may be missing from the replica.
   */
  private isExistenceUnknown(id: string): boolean {
    return (
      this.replica.unreadableRecords.has(jobKey(id)) ||
      ((this.replica.levels.mustStandBy || !this.canConfirmAbsence()) && !this.replica.jobs.has(id))
    );
  }

  /** The transaction that cancels a job. The record keeps the placements until their tasks are confirmed to have ended. */
  private cancellationTransaction({
    id,
    acceptedAt,
    spec,
    modRevision,
    tasksInline,
  }: JobRecord): Transaction {
    const key = jobKey(id);
    const conditions = [{ key, stamp: modRevision }];
    const tasks = tasksInline ? this.replica.chunks.get(id)?.get(0) : undefined;
    if (!tasks || tasks.placements.length === 0)
      return { conditions, writes: [{ key, data: cancelledJobDataFromSpec(acceptedAt, spec!) }] };
    if (this.replica.levels.isEnabled('small-jobs'))
      return {
        conditions,
        writes: [{ key, data: inlineCancelledJobData(acceptedAt, spec!, chunkData(tasks)) }],
      };
    const tasksKey = chunkKey(id, 0);
    return {
      conditions: [...conditions, { key: tasksKey, stamp: 0 }],
      writes: [
        { key, data: cancelledJobDataFromSpec(acceptedAt, spec!) },
        { key: tasksKey, data: chunkData(tasks) },
      ],
    };
  }

  /** Asks the users of all waiting requests to retry, because the core is restarted. */
  respondRetryLaterToAll(effects: Effect[]): void {
    for (const read of this.pendingReads) this.respondRetryLater(read.requestId, effects);
    for (const list of [this.submissionWrites, this.cancellationWrites, this.pendingSubmissions])
      for (const { requestIds } of list.values())
        for (const requestId of requestIds) this.respondRetryLater(requestId, effects);
  }

  /** Receives the effects of write outcomes in the current step; set by the controller. */
  stepEffects: Effect[] = [];

  private respondIfFinal(requestId: number, id: string, effects: Effect[]): boolean {
    const job = this.replica.jobs.get(id);
    if (!job || job.state === 'open') return false;
    this.respondWithStatus(requestId, id, effects);
    return true;
  }

  private respondWithStatus(requestId: number, id: string, effects: Effect[]): void {
    const job = this.replica.jobs.get(id)!;
    const counts = job.state === 'done' ? { done: job.taskCount, running: 0 } : this.replica.taskCounts(id);
    const running = job.state === 'open' ? counts.running : 0;
    effects.push({
      type: 'respond',
      requestId,
      status: 200,
      body: { nameId: id, status: jobStatus(job.state, running), done: counts.done, running },
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

  private awaitRevision(
    requestId: number,
    id: string,
    action: PendingRead['action'],
    effects: Effect[],
  ): void {
    if (this.pendingReads.length >= this.maxPending) return this.respondRetryLater(requestId, effects);
    this.pendingReads.push({ requestId, id, since: this.clock.now, revision: null, action: action });
  }

  /**
   * Handles the result of a revision read that was sent at `sentAt`; `revision` is null if the read failed. Then users are asked to
   * retry, except for status queries about known jobs while the peers confirm the replica's freshness: these wait for the next
   * confirmation.
   */
  onRevisionRead(
    sentAt: number,
    revision: number | null,
    effects: Effect[],
    confirmedByPeers: boolean,
  ): void {
    this.revisionRequested = false;
    for (const read of this.pendingReads)
      if (read.revision === null && read.since <= sentAt) read.revision = revision ?? -1;
    if (revision === null) {
      for (const read of this.pendingReads)
        if (read.revision === -1) {
          if (confirmedByPeers && read.action === 'status' && this.replica.jobs.has(read.id))
            read.revision = Infinity;
          else this.respondRetryLater(read.requestId, effects);
        }
      this.pendingReads = this.pendingReads.filter((read) => read.revision !== -1);
    }
  }

  /**
   * Responds to the pending reads that are ready, requests a revision read if one is due, and times out writes. `confirmedAt` is the
   * time up to which peers have confirmed the replica: it contains every final job state that any user had been shown by then.
   */
  tick(effects: Effect[], confirmedAt: number): void {
    for (const request of this.takeReadyReads(effects, confirmedAt)) this.respondToRead(request, effects);
    this.requestRevisionRead(effects);
    this.expireWrites(effects);
  }

  /** Removes and returns the pending reads that can be answered; asks the users of those that have timed out to retry. */
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
    } else if (this.isExistenceUnknown(id)) this.respondRetryLater(requestId, effects);
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
        // Only the response times out: the write may still succeed, and an idempotent retry then finds its result.
        for (const requestId of write.requestIds.splice(0)) this.respondRetryLater(requestId, effects);
        write.since = now;
      }
  }
}
