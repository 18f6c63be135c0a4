/** Overload by job submissions, for the tests and measurements of admission control. */
import type { OperatorSettings } from '../../src/config/operators.js';
import type { JobSpec } from '../../src/model/job.js';
import { thisProgram, type Node, type Program } from './controller-node.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

/** Jobs of one kind, submitted at a constant rate. */
interface Stream {
  name: string;
  /** Submissions per second. */
  jobsPerS: number;
  /** The start of the stream, after the start of the flood. */
  startMs: number;
  /** The duration of the stream. */
  lengthMs: number;
  /** Fields of the jobs that differ from the default. */
  job: Partial<JobSpec>;
  /** Indexes of the controllers that the stream is sent to; by default all. */
  through?: number[];
  /** Whether the users ignore `Retry-After` and always retry after a second. */
  ignoresRetryAfter?: boolean;
}

interface Job {
  stream: Stream;
  spec: JobSpec;
  /** When the first attempt was made. */
  firstAttemptAt: number;
  /** When the job was accepted; 0: not yet. */
  acceptedAt: number;
  attempts: number;
}

/** A submission that has not been answered yet. */
interface PendingRequest {
  job: Job;
  node: Node;
  requestId: number;
  at: number;
}

/** Users that follow the protocol: they retry for 60 s, each time after one second or `Retry-After`, whichever is longer. */
export class Flood {
  /** All jobs that were submitted so far. */
  readonly jobs: Job[] = [];
  /** The number of answers by HTTP status; status 0: no answer within 5 s, or the controller died. */
  readonly answers = new Map<number, number>();
  private pendingRequests: PendingRequest[] = [];
  private nextNode = 0;
  private requestId = 7_000_000;
  private readonly sentByStream: number[];
  private jobCount = 0;
  private readonly startedAt: number;

  constructor(
    private readonly w: World,
    private readonly streams: Stream[],
  ) {
    this.startedAt = w.now;
    this.sentByStream = streams.map(() => 0);
    this.scheduleStep();
  }

  /** Every 10 ms, submits the jobs that are due and collects answers. */
  private scheduleStep(): void {
    const { w } = this;
    w.schedule(10, () => {
      const t = w.now - this.startedAt;
      this.streams.forEach((s, i) => {
        const due = Math.floor((Math.min(s.lengthMs, t - s.startMs) / 1000) * s.jobsPerS);
        for (; this.sentByStream[i] < due; this.sentByStream[i]++) this.submitNewJob(s);
      });
      this.collectAnswers();
      this.scheduleStep();
    });
  }

  private submitNewJob(stream: Stream): void {
    const id = `req-${100_000 + ++this.jobCount}`;
    const job = {
      stream,
      spec: spec(id, { tasks: 1, cpus: 0.1, ...stream.job }),
      firstAttemptAt: this.w.now,
      acceptedAt: 0,
      attempts: 0,
    };
    this.jobs.push(job);
    this.send(job);
  }

  /** Submits a job to the next healthy controller that its stream may use. */
  private send(job: Job): void {
    const { w } = this;
    const nodeIndexes = job.stream.through ?? w.nodes.map((_, i) => i);
    const candidates = nodeIndexes
      .map((i) => w.nodes[i])
      .filter((n) => n.alive && !n.paused && n.controller.healthy);
    job.attempts++;
    if (candidates.length === 0) return this.retryLater(job, 1000);
    const node = candidates[this.nextNode++ % candidates.length];
    const requestId = ++this.requestId;
    node.push({ type: 'submit', requestId, spec: job.spec });
    this.pendingRequests.push({ job, node, requestId, at: w.now });
  }

  /** Schedules another attempt, unless it would be made later than 60 s after the first one. */
  private retryLater(job: Job, retryAfterMs: number): void {
    const { w } = this;
    const delayMs = job.stream.ignoresRetryAfter ? 1000 : Math.max(1000, retryAfterMs);
    if (w.now + delayMs - job.firstAttemptAt <= 60_000) w.schedule(delayMs, () => this.send(job));
  }

  /** Handles the answers that have arrived and the requests that got none in time. */
  private collectAnswers(): void {
    const { w } = this;
    const stillPending: PendingRequest[] = [];
    for (const request of this.pendingRequests) {
      const answer = request.node.responses.get(request.requestId);
      if (!answer && w.now - request.at < 5000 && request.node.alive) {
        stillPending.push(request);
        continue;
      }
      request.node.responses.delete(request.requestId);
      const status = answer?.status ?? 0;
      this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
      if (status === 200 || status === 201) request.job.acceptedAt = w.now;
      else this.retryLater(request.job, (answer?.retryAfterS ?? 1) * 1000);
    }
    this.pendingRequests = stillPending;
  }

  /**
   * The results of a stream: the number of its jobs, the shares of them that were accepted within 1 s, accepted at all
   * and run, and the 95th percentile of the time from the first attempt to acceptance, ms.
   */
  resultsOf(name: string): {
    jobs: number;
    acceptedWithin1s: number;
    accepted: number;
    run: number;
    p95WaitMs: number;
  } {
    const streamJobs = this.jobs.filter((j) => j.stream.name === name);
    const waitsMs = streamJobs.filter((j) => j.acceptedAt > 0).map((j) => j.acceptedAt - j.firstAttemptAt);
    waitsMs.sort((a, b) => a - b);
    const finishedJobs = new Set(this.w.finishedTasks.map((p) => p.split('/')[0]));
    return {
      jobs: streamJobs.length,
      acceptedWithin1s: waitsMs.filter((t) => t <= 1000).length / streamJobs.length,
      accepted: waitsMs.length / streamJobs.length,
      run: streamJobs.filter((j) => finishedJobs.has(j.spec.id)).length / streamJobs.length,
      p95WaitMs: waitsMs[Math.floor(waitsMs.length * 0.95)] ?? NaN,
    };
  }
}

/** The default flood: one class of a team submits 40 jobs per second; another class of that team and another team, one each. */
export const floodStreams: Stream[] = [
  { name: 'flood', jobsPerS: 40, startMs: 0, lengthMs: 60_000, job: { team: 'blue', class: 'flood' } },
  { name: 'class', jobsPerS: 1, startMs: 0, lengthMs: 60_000, job: { team: 'blue', class: 'small' } },
  { name: 'team', jobsPerS: 1, startMs: 0, lengthMs: 60_000, job: { team: 'red', class: 'other' } },
];

/** Starts three controllers and a state service that accepts 30 writes per second; no jobs are submitted yet. */
export function startFloodWorld(
  operators: Partial<OperatorSettings> = { 'fair-admission': 1 },
  program: Program = thisProgram,
): World {
  const w = new World(3, { 'idle-boots': 1000, ...operators });
  for (const n of w.nodes) {
    n.program = program;
    n.settings.state.write_rps = 30;
    n.boot();
  }
  w.state.writesPerS = 30;
  w.capacity = 10;
  w.advance(8);
  for (const worker of w.workers.values()) worker.taskDurationS = 5;
  return w;
}
