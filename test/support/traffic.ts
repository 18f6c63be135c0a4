/** Users of the scripted world: they submit, poll and cancel through every controller and check what they are answered. */
import type { JobSpec } from '../../src/model/job.js';
import { type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { type World } from './world.js';

interface Asked {
  id: string;
  node: Node;
  requestId: number;
  at: number;
  what: 'submit' | 'query' | 'cancel';
}

type Told = 'accepted' | 'done' | 'aborted';
const rank: Record<Told, number> = { accepted: 0, done: 1, aborted: 1 };

/**
 * Users of a world: jobs come one after the other, each is asked for again and again, some are withdrawn, through whichever
 * controller is healthy. What they are told is held against the rules.
 */
export class Traffic {
  readonly jobs = new Map<string, JobSpec>();
  readonly told = new Map<string, Told>();
  private readonly overAt = new Map<string, number>();
  /** When a job's user last had an answer of use. */
  readonly heardAt = new Map<string, number>();
  /** Answers that were no use: 429, 503, none. */
  failed = 0;
  answered = 0;
  /** How long jobs took to be accepted, from their first try, ms. */
  readonly acceptedAfter: number[] = [];
  private readonly triedAt = new Map<string, number>();
  private readonly wantsEnd = new Set<string>();
  private open: Asked[] = [];
  private again: { at: number; id: string }[] = [];
  private next: number;
  /** Of what is told anew this share is looked at closely. */
  private closeShare = 0;
  /** This share of the jobs is cancelled right after it was accepted, or at its end. */
  private atOnceShare = 0;
  private atEndShare = 0;
  /** How often all controllers were asked closely, by what had been told; and cancellations that met the end. */
  readonly looks = { accepted: 0, done: 0, aborted: 0, atEnd: 0 };
  private readonly endOf = new Map<string, number>();
  private seenEnds = 0;
  private turn = 0;
  private requestId = 5_000_000;
  private on = true;
  private polledAt = 0;
  private polls = 0;

  constructor(
    private readonly w: World,
    /** A new job this often. */
    private readonly everyMs: number,
    private readonly shapeOf: (n: number) => Partial<JobSpec> = () => ({}),
    private readonly withdrawEvery = 7,
    first = 100,
  ) {
    this.next = first;
    this.beat();
  }

  /**
   * From now on users look closely: after an answer that says something new, all controllers are asked within milliseconds,
   * also by repeating the submission.
   */
  closely(share: number, atOnce = 0, atEnd = 0): void {
    const first = this.closeShare === 0;
    [this.closeShare, this.atOnceShare, this.atEndShare] = [share, atOnce, atEnd];
    if (!first) return;
    const beat = (): void => {
      this.look();
      this.watchEnds();
      this.w.schedule(10, beat);
    };
    beat();
  }

  private lookClosely(id: string, told: Told): void {
    const { w } = this;
    if (w.random() >= this.closeShare) return;
    this.looks[told]++;
    for (const n of w.nodes) {
      this.ask('query', id, n);
      w.schedule(40 * w.random(), () => this.ask('query', id, n));
      if (w.random() < 0.5) w.schedule(20 * w.random(), () => this.ask('submit', id, n));
      if (w.random() < 0.1) w.schedule(20 * w.random(), () => this.ask('query', `req-9${id.slice(4)}9`, n));
    }
    if (told === 'accepted' && w.random() < this.atOnceShare)
      w.schedule(30 * w.random(), () => this.cancel(id, w.nodes[Math.floor(w.random() * w.nodes.length)]));
  }

  /** Its user calls a job off, through this controller first. */
  cancel(id: string, through?: Node): void {
    this.wantsEnd.add(id);
    this.ask('cancel', id, through);
  }

  /** Jobs that were accepted and are not known to be over. */
  get going(): string[] {
    return [...this.told].flatMap(([id, told]) => (told === 'accepted' ? [id] : []));
  }

  /** Cancellations, questions and repeated submissions that meet the end of a job's last task. */
  private watchEnds(): void {
    const { w } = this;
    for (; this.seenEnds < w.finished.length; this.seenEnds++) {
      const [id] = w.finished[this.seenEnds].split('/');
      const job = this.jobs.get(id);
      const ended = (this.endOf.get(id) ?? 0) + 1;
      this.endOf.set(id, ended);
      if (!job || ended !== job.tasks || w.random() >= this.atEndShare) continue;
      w.schedule(w.random() < 0.3 ? 0 : 3000 * w.random(), () => {
        if (this.told.get(id) !== 'accepted') return;
        this.looks.atEnd++;
        const [a, b, c] = [...w.nodes].sort(() => w.random() - 0.5);
        if (w.random() < 0.7) this.cancel(id, a);
        this.ask('submit', id, b);
        for (let i = 0; i < 6; i++) w.schedule(120 * i, () => this.ask('query', id, i % 2 === 0 ? c : b));
      });
    }
  }

  /** No new jobs. */
  stop(): void {
    this.on = false;
  }

  get over(): boolean {
    return [...this.jobs.keys()].every(
      (id) => this.told.get(id) === 'done' || this.told.get(id) === 'aborted',
    );
  }

  private node(): Node | null {
    const { nodes } = this.w;
    for (let i = 0; i < nodes.length; i++) {
      const n = nodes[this.turn++ % nodes.length];
      if (n.alive && !n.paused && n.controller.healthy) return n;
    }
    return null;
  }

  private beat(): void {
    const { w } = this;
    w.schedule(this.everyMs, () => {
      if (this.on) this.submitNew();
      this.look();
      const due = this.again.filter((a) => a.at <= w.now);
      this.again = this.again.filter((a) => a.at > w.now);
      for (const { id } of due) this.submit(id);
      if (w.now - this.polledAt > 1000) this.poll();
      this.beat();
    });
  }

  private submitNew(): void {
    const n = this.next++;
    const id = `req-${n}`;
    this.triedAt.set(id, this.w.now);
    this.jobs.set(id, spec(id, { tasks: 1, team: 'blue', ...this.shapeOf(n) }));
    this.submit(id);
  }

  private ask(what: Asked['what'], id: string, through?: Node): void {
    const node = through ?? this.node();
    if (node && (!node.alive || node.paused)) return;
    if (!node) {
      if (what === 'submit') this.again.push({ at: this.w.now + 1000, id });
      return;
    }
    const requestId = ++this.requestId;
    const job = this.jobs.get(id);
    if (!job) {
      node.push({ type: 'query', requestId, id });
      this.open.push({ id, node, requestId, at: this.w.now, what: 'query' });
      return;
    }
    if (job.shape === 'gang') this.w.gangs.set(id, job.tasks);
    if (job.shape === 'service') this.w.serviceJobs.add(id);
    this.w.specs.set(id, job);
    node.push(what === 'submit' ? { type: 'submit', requestId, spec: job } : { type: what, requestId, id });
    this.open.push({ id, node, requestId, at: this.w.now, what });
  }

  private submit(id: string): void {
    this.ask('submit', id);
  }

  private poll(): void {
    this.polledAt = this.w.now;
    this.polls++;
    for (const [id, told] of this.told) {
      if (told !== 'accepted') {
        if (this.polls % 10 === Number(id.slice(-1))) this.ask('query', id);
        continue;
      }
      const n = Number(id.slice(4));
      if (n % this.withdrawEvery === 0) this.wantsEnd.add(id);
      this.ask(this.wantsEnd.has(id) ? 'cancel' : 'query', id);
    }
  }

  private look(): void {
    const { w } = this;
    const left: Asked[] = [];
    for (const a of this.open) {
      const answer = a.node.responses.get(a.requestId);
      if (answer) a.node.responses.delete(a.requestId);
      else if (w.now - a.at < 5000 && a.node.alive) {
        left.push(a);
        continue;
      }
      const status = answer?.status ?? 0;
      if (status === 200 || status === 201) this.hear(a, String(answer!.body['status']));
      else if (!this.jobs.has(a.id)) continue;
      else if (status === 404 || status === 422 || status === 400) {
        if (this.told.has(a.id))
          w.violations.push(`forgotten ${a.id}: ${status} to ${a.what} by ${a.node.member}`);
        else if (a.what === 'submit') w.violations.push(`refused ${a.id}: ${status} by ${a.node.member}`);
      } else {
        this.failed++;
        if (a.what === 'submit' && !this.told.has(a.id)) this.again.push({ at: w.now + 1000, id: a.id });
      }
    }
    this.open = left;
  }

  private hear(a: Asked, status: string): void {
    if (!this.jobs.has(a.id)) {
      this.w.violations.push(`invented ${a.id}: ${status} by ${a.node.member}`);
      return;
    }
    this.answered++;
    this.heardAt.set(a.id, this.w.now);
    const now: Told = status === 'done' ? 'done' : status === 'aborted' ? 'aborted' : 'accepted';
    const before = this.told.get(a.id);
    if (before === undefined) this.acceptedAfter.push(this.w.now - this.triedAt.get(a.id)!);
    if (before === 'done' || before === 'aborted') {
      // Asked for before it was told, an answer may be older.
      if (now !== before && (now !== 'accepted' || a.at >= this.overAt.get(a.id)!))
        this.w.violations.push(`went_back ${a.id}: ${before}, then ${now} by ${a.node.member}`);
      return;
    }
    if (now === 'aborted' && !this.wantsEnd.has(a.id))
      this.w.violations.push(`went_back ${a.id}: nobody cancelled it`);
    if (now === 'done') {
      const tasks = this.jobs.get(a.id)!.tasks;
      const ended = new Set(this.w.finished.filter((p) => p.startsWith(`${a.id}/`))).size;
      if (ended < tasks) this.w.violations.push(`not_done ${a.id}: ${ended} of ${tasks}`);
    }
    if (now !== 'accepted') this.overAt.set(a.id, this.w.now);
    if (now === 'aborted') this.w.cancelledAt.set(a.id, this.w.now);
    if (before !== undefined && rank[now] <= rank[before]) return;
    this.told.set(a.id, now);
    this.lookClosely(a.id, now);
  }
}
