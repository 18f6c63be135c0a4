/** Users of the scripted world: they submit, poll and cancel through every controller and check what they are answered. */
import type { JobSpec } from '../../src/model/job.js';
import { type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { type World } from './world.js';

interface PendingRequest {
  id: string;
  node: Node;
  requestId: number;
  sentAt: number;
  kind: 'submit' | 'query' | 'cancel';
}

type ReportedStatus = 'accepted' | 'done' | 'aborted';
const statusRank: Record<ReportedStatus, number> = { accepted: 0, done: 1, aborted: 1 };

/**
 * Users of a world: jobs come one after the other, each is asked for again and again, some are withdrawn, through whichever
 * controller is healthy. What they are told is held against the rules.
 */
export class Traffic {
  readonly jobs = new Map<string, JobSpec>();
  readonly told = new Map<string, ReportedStatus>();
  private readonly endReportedAt = new Map<string, number>();
  /** When a job's user last had an answer of use. */
  readonly lastAnsweredAt = new Map<string, number>();
  /** Answers that were no use: 429, 503, none. */
  failed = 0;
  answered = 0;
  /** How long jobs took to be accepted, from their first try, ms. */
  readonly acceptedAfter: number[] = [];
  private readonly firstSubmittedAt = new Map<string, number>();
  private readonly cancelRequested = new Set<string>();
  private pendingRequests: PendingRequest[] = [];
  private resubmissions: { at: number; id: string }[] = [];
  private nextJobNumber: number;
  /** Of what is told anew this share is looked at closely. */
  private closeCheckShare = 0;
  /** This share of the jobs is cancelled right after it was accepted, or at its end. */
  private cancelOnAcceptShare = 0;
  private checkAtEndShare = 0;
  /** How often all controllers were asked closely, by what had been told; and cancellations that met the end. */
  readonly looks = { accepted: 0, done: 0, aborted: 0, atEnd: 0 };
  private readonly endedTaskCounts = new Map<string, number>();
  private seenFinishedTasks = 0;
  private nextNodeIndex = 0;
  private requestId = 5_000_000;
  private submitting = true;
  private lastPollAt = 0;
  private pollCount = 0;

  constructor(
    private readonly w: World,
    /** A new job this often. */
    private readonly intervalMs: number,
    private readonly jobOverridesOf: (jobNumber: number) => Partial<JobSpec> = () => ({}),
    private readonly cancelEvery = 7,
    firstJobNumber = 100,
  ) {
    this.nextJobNumber = firstJobNumber;
    this.scheduleTick();
  }

  /**
   * From now on users look closely: after an answer that says something new, all controllers are asked within milliseconds,
   * also by repeating the submission.
   */
  closely(share: number, cancelOnAccept = 0, checkAtEnd = 0): void {
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

  private checkOnAllNodes(id: string, status: ReportedStatus): void {
    const { w } = this;
    if (w.random() >= this.closeCheckShare) return;
    this.looks[status]++;
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

  /** Its user calls a job off, through this controller first. */
  cancel(id: string, node?: Node): void {
    this.cancelRequested.add(id);
    this.sendRequest('cancel', id, node);
  }

  /** Jobs that were accepted and are not known to be over. */
  get going(): string[] {
    return [...this.told].flatMap(([id, told]) => (told === 'accepted' ? [id] : []));
  }

  /** Cancellations, questions and repeated submissions that meet the end of a job's last task. */
  private checkJobEnds(): void {
    const { w } = this;
    for (; this.seenFinishedTasks < w.finished.length; this.seenFinishedTasks++) {
      const [id] = w.finished[this.seenFinishedTasks].split('/');
      const job = this.jobs.get(id);
      const endedTasks = (this.endedTaskCounts.get(id) ?? 0) + 1;
      this.endedTaskCounts.set(id, endedTasks);
      if (!job || endedTasks !== job.tasks || w.random() >= this.checkAtEndShare) continue;
      w.schedule(w.random() < 0.3 ? 0 : 3000 * w.random(), () => {
        if (this.told.get(id) !== 'accepted') return;
        this.looks.atEnd++;
        const [a, b, c] = [...w.nodes].sort(() => w.random() - 0.5);
        if (w.random() < 0.7) this.cancel(id, a);
        this.sendRequest('submit', id, b);
        for (let i = 0; i < 6; i++)
          w.schedule(120 * i, () => this.sendRequest('query', id, i % 2 === 0 ? c : b));
      });
    }
  }

  /** No new jobs. */
  stop(): void {
    this.submitting = false;
  }

  get over(): boolean {
    return [...this.jobs.keys()].every(
      (id) => this.told.get(id) === 'done' || this.told.get(id) === 'aborted',
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
    this.w.specs.set(id, job);
    node.push(kind === 'submit' ? { type: 'submit', requestId, spec: job } : { type: kind, requestId, id });
    this.pendingRequests.push({ id, node, requestId, sentAt: this.w.now, kind });
  }

  private submit(id: string): void {
    this.sendRequest('submit', id);
  }

  private poll(): void {
    this.lastPollAt = this.w.now;
    this.pollCount++;
    for (const [id, told] of this.told) {
      if (told !== 'accepted') {
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
        if (this.told.has(request.id))
          w.violations.push(
            `forgotten ${request.id}: ${status} to ${request.kind} by ${request.node.member}`,
          );
        else if (request.kind === 'submit')
          w.violations.push(`refused ${request.id}: ${status} by ${request.node.member}`);
      } else {
        this.failed++;
        if (request.kind === 'submit' && !this.told.has(request.id))
          this.resubmissions.push({ at: w.now + 1000, id: request.id });
      }
    }
    this.pendingRequests = stillPending;
  }

  private processStatus(request: PendingRequest, status: string): void {
    if (!this.jobs.has(request.id)) {
      this.w.violations.push(`invented ${request.id}: ${status} by ${request.node.member}`);
      return;
    }
    this.answered++;
    this.lastAnsweredAt.set(request.id, this.w.now);
    const current: ReportedStatus =
      status === 'done' ? 'done' : status === 'aborted' ? 'aborted' : 'accepted';
    const previous = this.told.get(request.id);
    if (previous === undefined) this.acceptedAfter.push(this.w.now - this.firstSubmittedAt.get(request.id)!);
    if (previous === 'done' || previous === 'aborted') {
      // Asked for before it was told, an answer may be older.
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
      this.w.violations.push(`went_back ${request.id}: nobody cancelled it`);
    if (current === 'done') {
      const tasks = this.jobs.get(request.id)!.tasks;
      const endedTasks = new Set(this.w.finished.filter((p) => p.startsWith(`${request.id}/`))).size;
      if (endedTasks < tasks) this.w.violations.push(`not_done ${request.id}: ${endedTasks} of ${tasks}`);
    }
    if (current !== 'accepted') this.endReportedAt.set(request.id, this.w.now);
    if (current === 'aborted') this.w.cancelledAt.set(request.id, this.w.now);
    if (previous !== undefined && statusRank[current] <= statusRank[previous]) return;
    this.told.set(request.id, current);
    this.checkOnAllNodes(request.id, current);
  }
}
