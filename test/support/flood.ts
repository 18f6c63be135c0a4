/** A flood of submissions for the tests and measurements of admission. */
import type { OperatorSettings } from '../../src/config/operators.js';
import type { JobSpec } from '../../src/model/job.js';
import { thisProgram, type Node, type Program } from './controller-node.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

interface Stream {
  name: string;
  perS: number;
  fromMs: number;
  forMs: number;
  job: Partial<JobSpec>;
  /** The only controllers that it reaches; all without. */
  through?: number[];
  /** It comes back after a second whatever it is told. */
  deaf?: boolean;
}

interface Job {
  stream: Stream;
  spec: JobSpec;
  firstAt: number;
  acceptedAt: number;
  tries: number;
}

interface Asked {
  job: Job;
  node: Node;
  requestId: number;
  at: number;
}

/** Users that behave as the protocol says: they try for 60 s, each time after a second or `Retry-After`, whichever is longer. */
export class Flood {
  readonly jobs: Job[] = [];
  /** Answers by status; 0: none within 5 s. */
  readonly answers = new Map<number, number>();
  private open: Asked[] = [];
  private turn = 0;
  private requestId = 7_000_000;
  private readonly sent: number[];
  private n = 0;
  private readonly from: number;

  constructor(
    private readonly w: World,
    private readonly streams: Stream[],
  ) {
    this.from = w.now;
    this.sent = streams.map(() => 0);
    this.beat();
  }

  private beat(): void {
    const { w } = this;
    w.schedule(10, () => {
      const t = w.now - this.from;
      this.streams.forEach((s, i) => {
        const due = Math.floor((Math.min(s.forMs, t - s.fromMs) / 1000) * s.perS);
        for (; this.sent[i] < due; this.sent[i]++) this.begin(s);
      });
      this.look();
      this.beat();
    });
  }

  private begin(stream: Stream): void {
    const id = `req-${100_000 + ++this.n}`;
    const job = {
      stream,
      spec: spec(id, { tasks: 1, cpus: 0.1, ...stream.job }),
      firstAt: this.w.now,
      acceptedAt: 0,
      tries: 0,
    };
    this.jobs.push(job);
    this.send(job);
  }

  private send(job: Job): void {
    const { w } = this;
    const reach = job.stream.through ?? w.nodes.map((_, i) => i);
    const alive = reach.map((i) => w.nodes[i]).filter((n) => n.alive && !n.paused && n.controller.healthy);
    job.tries++;
    if (alive.length === 0) return this.again(job, 1000);
    const node = alive[this.turn++ % alive.length];
    const requestId = ++this.requestId;
    node.push({ type: 'submit', requestId, spec: job.spec });
    this.open.push({ job, node, requestId, at: w.now });
  }

  private again(job: Job, ms: number): void {
    const { w } = this;
    const pause = job.stream.deaf ? 1000 : Math.max(1000, ms);
    if (w.now + pause - job.firstAt <= 60_000) w.schedule(pause, () => this.send(job));
  }

  private look(): void {
    const { w } = this;
    const left: Asked[] = [];
    for (const a of this.open) {
      const answer = a.node.responses.get(a.requestId);
      if (!answer && w.now - a.at < 5000 && a.node.alive) {
        left.push(a);
        continue;
      }
      a.node.responses.delete(a.requestId);
      const status = answer?.status ?? 0;
      this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
      if (status === 200 || status === 201) a.job.acceptedAt = w.now;
      else this.again(a.job, (answer?.retryAfterS ?? 1) * 1000);
    }
    this.open = left;
  }

  /** Of a stream: how many, the shares accepted within 1 s and at all, how many have run, and the p95 of the wait, ms. */
  of(name: string): { jobs: number; quick: number; accepted: number; run: number; p95: number } {
    const mine = this.jobs.filter((j) => j.stream.name === name);
    const took = mine.filter((j) => j.acceptedAt > 0).map((j) => j.acceptedAt - j.firstAt);
    took.sort((a, b) => a - b);
    const run = new Set(this.w.finished.map((p) => p.split('/')[0]));
    return {
      jobs: mine.length,
      quick: took.filter((t) => t <= 1000).length / mine.length,
      accepted: took.length / mine.length,
      run: mine.filter((j) => run.has(j.spec.id)).length / mine.length,
      p95: took[Math.floor(took.length * 0.95)] ?? NaN,
    };
  }
}

/** The flood that was measured first: one team sends 40 jobs a second, a second class of it and another team one each. */
export const flooding: Stream[] = [
  { name: 'flood', perS: 40, fromMs: 0, forMs: 60_000, job: { team: 'blue', class: 'flood' } },
  { name: 'class', perS: 1, fromMs: 0, forMs: 60_000, job: { team: 'blue', class: 'small' } },
  { name: 'team', perS: 1, fromMs: 0, forMs: 60_000, job: { team: 'red', class: 'other' } },
];

/** Three controllers, and a state service that takes 30 writes a second; nothing is asked of them yet. */
export function floodable(
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
  for (const x of w.workers.values()) x.taskDurationS = 5;
  return w;
}
