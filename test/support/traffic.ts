/** Simulated users that submit, poll and cancel jobs through all controllers and check the responses. */
import type { JobSpec } from '../../src/model/job.js';
import { type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { type World } from './world.js';

/** A request without a response so far. */
interface PendingRequest {
  id: string;
  node: Node;
  requestId: number;
  sentAt: number;
  kind: 'submit' | 'query' | 'cancel';
}

/** The job statuses that users distinguish. */
type ReportedStatus = 'accepted' | 'done' | 'aborted';
/** A known status is replaced only by one of a higher rank. */
const statusRank: Record<ReportedStatus, number> = { accepted: 0, done: 1, aborted: 1 };

/**
 * Users of a simulated cluster: they submit jobs at a fixed interval, poll each job repeatedly and cancel some, through any
 * healthy controller. Responses that violate an invariant are recorded as violations.
 */
export class Traffic {
  /** All jobs, by id. */
  readonly jobs = new Map<string, JobSpec>();
  /** The latest status that users were told, by job. Jobs that are not accepted yet are missing. */
  readonly reportedStatus = new Map<string, ReportedStatus>();
  /** When users were first told that a job has ended, ms. */
  private readonly endReportedAt = new Map<string, number>();
  /** When a job's user last got a status, ms. */
  readonly lastAnsweredAt = new Map<string, number>();
  /** The number of requests without a usable response: 429, 503 or none. */
  failed = 0;
  /** The number of responses with a status. */
  answered = 0;
  /** The time from the first submission of each job to its acceptance, ms. */
  readonly acceptanceDelaysMs: number[] = [];
  private readonly firstSubmittedAt = new Map<string, number>();
  /** Jobs that users have cancelled or are about to cancel. */
  private readonly cancelRequested = new Set<string>();
  private pendingRequests: PendingRequest[] = [];
  private resubmissions: { at: number; id: string }[] = [];
  private nextJobNumber: number;
  /** The share of new statuses that are checked on all controllers. */
  private closeCheckShare = 0;
  /**
   * The share of checked acceptances that are followed by an immediate cancellation, and the share of jobs that are queried,
   * resubmitted and mostly cancelled around their end.
   */
  private cancelOnAcceptShare = 0;
  private checkAtEndShare = 0;
  /** The number of checks on all controllers, by the reported status, and of checks around the end of a job. */
  readonly closeChecks = { accepted: 0, done: 0, aborted: 0, atEnd: 0 };
  private readonly endedTaskCounts = new Map<string, number>();
  private seenFinishedTasks = 0;
  private nextNodeIndex = 0;
  private requestId = 5_000_000;
  private submitting = true;
  private lastPollAt = 0;
  private pollCount = 0;

  constructor(
    private readonly w: World,
    /** The interval between new jobs. */
    private readonly intervalMs: number,
    /** Fields of the job with the given number that differ from the default. */
    private readonly jobOverridesOf: (jobNumber: number) => Partial<JobSpec> = () => ({}),
    /** Jobs whose number is divisible by this are cancelled. */
    private readonly cancelEvery = 7,
    firstJobNumber = 100,
  ) {
    this.nextJobNumber = firstJobNumber;
    this.scheduleTick();
  }

  /**
   * Starts additional checks: for the given share of responses with a new status, users query all controllers within milliseconds
   * and repeat the submission on some. `cancelOnAccept` and `checkAtEnd` are the shares of jobs that users also cancel right
   * after acceptance, and check around their end.
   */
  checkClosely(share: number, cancelOnAccept = 0, checkAtEnd = 0): void {
    const firstCall = this.closeCheckShare === 0;
    [this.closeCheckShare, this.cancelOnAcceptShare, this.checkAtEndShare] = [
      share,
      cancelOnAccept,
      checkAtEnd,
    ];
    if (!firstCall) return;
    const tick = (): void => {
      this.processResponses();
      this.checkJobEnds();
      this.w.schedule(10, tick);
    };
    tick();
  }

  /** Queries a job on all controllers, with a probability of `closeCheckShare`, after its status has changed. */
  private checkOnAllNodes(id: string, status: ReportedStatus): void {
    const { w } = this;
    if (w.random() >= this.closeCheckShare) return;
    this.closeChecks[status]++;
    for (const n of w.nodes) {
      this.sendRequest('query', id, n);
      w.schedule(40 * w.random(), () => this.sendRequest('query', id, n));
      if (w.random() < 0.5) w.schedule(20 * w.random(), () => this.sendRequest('submit', id, n));
      if (w.random() < 0.1)
        w.schedule(20 * w.random(), () => this.sendRequest('query', `req-9${id.slice(4)}9`, n));
    }
    if (status === 'accepted' && w.random() < this.cancelOnAcceptShare)
      w.schedule(30 * w.random(), () => this.cancel(id, w.nodes[Math.floor(w.random() * w.nodes.length)]));
  }

  /** Cancels a job, first through the given controller. */
  cancel(id: string, node?: Node): void {
    this.cancelRequested.add(id);
    this.sendRequest('cancel', id, node);
  }

  /** Jobs that were accepted and are not known to have ended. */
  get unfinishedJobs(): string[] {
    return [...this.reportedStatus].flatMap(([id, status]) => (status === 'accepted' ? [id] : []));
  }

  /** Sends cancellations, queries and repeated submissions around the time at which the last task of a job ends. */
  private checkJobEnds(): void {
    const { w } = this;
    for (; this.seenFinishedTasks < w.finishedTasks.length; this.seenFinishedTasks++) {
      const [id] = w.finishedTasks[this.seenFinishedTasks].split('/');
      const job = this.jobs.get(id);
      const endedTasks = (this.endedTaskCounts.get(id) ?? 0) + 1;
      this.endedTaskCounts.set(id, endedTasks);
      if (!job || endedTasks !== job.tasks || w.random() >= this.checkAtEndShare) continue;
      w.schedule(w.random() < 0.3 ? 0 : 3000 * w.random(), () => {
        if (this.reportedStatus.get(id) !== 'accepted') return;
        this.closeChecks.atEnd++;
        const [a, b, c] = [...w.nodes].sort(() => w.random() - 0.5);
        if (w.random() < 0.7) this.cancel(id, a);
        this.sendRequest('submit', id, b);
        for (let i = 0; i < 6; i++)
          w.schedule(120 * i, () => this.sendRequest('query', id, i % 2 === 0 ? c : b));
      });
    }
  }

  /** Stops submitting new jobs. */
  stopSubmitting(): void {
    this.submitting = false;
  }

  /** Whether users were told that every job has ended. */
  get allEnded(): boolean {
    return [...this.jobs.keys()].every(
      (id) => this.reportedStatus.get(id) === 'done' || this.reportedStatus.get(id) === 'aborted',
    );
  }

  private nextHealthyNode(): Node | null {
    const { nodes } = this.w;
    for (let i = 0; i < nodes.length; i++) {
      const n = nodes[this.nextNodeIndex++ % nodes.length];
      if (n.alive && !n.paused && n.controller.healthy) return n;
    }
    return null;
  }

  private scheduleTick(): void {
    const { w } = this;
    w.schedule(this.intervalMs, () => {
      if (this.submitting) this.submitNew();
      this.processResponses();
      const dueResubmissions = this.resubmissions.filter((a) => a.at <= w.now);
      this.resubmissions = this.resubmissions.filter((a) => a.at > w.now);
      for (const { id } of dueResubmissions) this.submit(id);
      if (w.now - this.lastPollAt > 1000) this.poll();
      this.scheduleTick();
    });
  }

  private submitNew(): void {
    const jobNumber = this.nextJobNumber++;
    const id = `req-${jobNumber}`;
    this.firstSubmittedAt.set(id, this.w.now);
    this.jobs.set(id, spec(id, { tasks: 1, team: 'blue', ...this.jobOverridesOf(jobNumber) }));
    this.submit(id);
  }

  private sendRequest(kind: PendingRequest['kind'], id: string, target?: Node): void {
    const node = target ?? this.nextHealthyNode();
    if (node && (!node.alive || node.paused)) return;
    if (!node) {
      if (kind === 'submit') this.resubmissions.push({ at: this.w.now + 1000, id });
      return;
    }
    const requestId = ++this.requestId;
    const job = this.jobs.get(id);
    if (!job) {
      node.push({ type: 'query', requestId, id });
      this.pendingRequests.push({ id, node, requestId, sentAt: this.w.now, kind: 'query' });
      return;
    }
    if (job.shape === 'gang') this.w.gangs.set(id, job.tasks);
    if (job.shape === 'service') this.w.serviceJobs.add(id);
    this.w.jobSpecs.set(id, job);
    node.push(kind === 'submit' ? { type: 'submit', requestId, spec: job } : { type: kind, requestId, id });
    this.pendingRequests.push({ id, node, requestId, sentAt: this.w.now, kind });
  }

  private submit(id: string): void {
    this.sendRequest('submit', id);
  }

  private poll(): void {
    this.lastPollAt = this.w.now;
    this.pollCount++;
    for (const [id, status] of this.reportedStatus) {
      if (status !== 'accepted') {
        if (this.pollCount % 10 === Number(id.slice(-1))) this.sendRequest('query', id);
        continue;
      }
      const jobNumber = Number(id.slice(4));
      if (jobNumber % this.cancelEvery === 0) this.cancelRequested.add(id);
      this.sendRequest(this.cancelRequested.has(id) ? 'cancel' : 'query', id);
    }
  }

  private processResponses(): void {
    const { w } = this;
    const stillPending: PendingRequest[] = [];
    for (const request of this.pendingRequests) {
      const response = request.node.responses.get(request.requestId);
      if (response) request.node.responses.delete(request.requestId);
      else if (w.now - request.sentAt < 5000 && request.node.alive) {
        stillPending.push(request);
        continue;
      }
      const status = response?.status ?? 0;
      if (status === 200 || status === 201) this.processStatus(request, String(response!.body['status']));
      else if (!this.jobs.has(request.id)) continue;
      else if (status === 404 || status === 422 || status === 400) {
        if (this.reportedStatus.has(request.id))
          w.violations.push(
            `forgotten ${request.id}: ${status} to ${request.kind} by ${request.node.member}`,
          );
        else if (request.kind === 'submit')
          w.violations.push(`refused ${request.id}: ${status} by ${request.node.member}`);
      } else {
        this.failed++;
        if (request.kind === 'submit' && !this.reportedStatus.has(request.id))
          this.resubmissions.push({ at: w.now + 1000, id: request.id });
      }
    }
    this.pendingRequests = stillPending;
  }

  private processStatus(request: PendingRequest, status: string): void {
    if (!this.jobs.has(request.id)) {
      this.w.violations.push(`unknown_job ${request.id}: ${status} by ${request.node.member}`);
      return;
    }
    this.answered++;
    this.lastAnsweredAt.set(request.id, this.w.now);
    const current: ReportedStatus =
      status === 'done' ? 'done' : status === 'aborted' ? 'aborted' : 'accepted';
    const previous = this.reportedStatus.get(request.id);
    if (previous === undefined)
      this.acceptanceDelaysMs.push(this.w.now - this.firstSubmittedAt.get(request.id)!);
    if (previous === 'done' || previous === 'aborted') {
      // A request that was sent before the end was reported may still be answered with the older status.
      if (
        current !== previous &&
        (current !== 'accepted' || request.sentAt >= this.endReportedAt.get(request.id)!)
      )
        this.w.violations.push(
          `went_back ${request.id}: ${previous}, then ${current} by ${request.node.member}`,
        );
      return;
    }
    if (current === 'aborted' && !this.cancelRequested.has(request.id))
      this.w.violations.push(`went_back ${request.id}: aborted without a cancellation`);
    if (current === 'done') {
      const tasks = this.jobs.get(request.id)!.tasks;
      const endedTasks = new Set(this.w.finishedTasks.filter((p) => p.startsWith(`${request.id}/`))).size;
      if (endedTasks < tasks) this.w.violations.push(`not_done ${request.id}: ${endedTasks} of ${tasks}`);
    }
    if (current !== 'accepted') this.endReportedAt.set(request.id, this.w.now);
    if (current === 'aborted') this.w.cancelledAt.set(request.id, this.w.now);
    if (previous !== undefined && statusRank[current] <= statusRank[previous]) return;
    this.reportedStatus.set(request.id, current);
    this.checkOnAllNodes(request.id, current);
  }
}
