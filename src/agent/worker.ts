import type { TaskOrder } from '../model/heartbeat.js';
import { taskKey } from '../model/job.js';
import type { AgentReport, Answer, HeldTask, TaskResult } from '../wire/agent-side.js';

/** What the worker wants done. */
export type WorkerEffect =
  /** Get the job's description, and run the task unless it has to wait for its gang. */
  | { type: 'prepare'; task: HeldTask }
  | { type: 'run'; task: HeldTask }
  | { type: 'stop'; task: HeldTask; graceS: number }
  /** Its record may go. */
  | { type: 'forget'; task: HeldTask }
  /** Session or token changed: to be kept. */
  | { type: 'remember' }
  /** Something to report before the next turn. */
  | { type: 'soon' };

export interface WorkerIdentity {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
}

/** What outlives the process. */
export interface WorkerMemory {
  session: number;
  seq: number;
  token: number;
}

/**
 * The worker's side of the protocol: sessions, leases, tokens, and the tasks it holds. On a clock that it is given, ms;
 * starts and ends nothing itself.
 */
export class Worker {
  private readonly held = new Map<string, HeldTask>();
  /** When the last report that was answered was sent. */
  private leaseFrom: number;

  constructor(
    readonly self: WorkerIdentity,
    private readonly memory: WorkerMemory,
    private readonly leaseMs: number,
    leaseFrom: number,
    tasks: readonly HeldTask[] = [],
  ) {
    this.leaseFrom = leaseFrom;
    for (const t of tasks) this.held.set(keyOf(t), t);
  }

  get tasks(): Iterable<HeldTask> {
    return this.held.values();
  }

  holds(task: HeldTask): boolean {
    return this.held.get(keyOf(task)) === task;
  }

  get session(): number {
    return this.memory.session;
  }

  get token(): number {
    return this.memory.token;
  }

  get leasedFrom(): number {
    return this.leaseFrom;
  }

  report(): AgentReport {
    const { session, token } = this.memory;
    const tasks = [...this.held.values()];
    return { ...this.self, session, seq: ++this.memory.seq, token, tasks };
  }

  /** A 200 to a report sent at `sentAt` in `session`. */
  answered(a: Answer, sentAt: number, session: number): WorkerEffect[] {
    const { memory } = this;
    // Guards against the answer that comes late, and against one who is entitled no more: it renews nothing.
    if (session !== memory.session || a.token === null || a.token < memory.token) return [];
    const out: WorkerEffect[] = [];
    if (a.token > memory.token) {
      memory.token = a.token;
      out.push({ type: 'remember' }, { type: 'soon' });
    }
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    out.push(...this.execute(a.orders));
    for (const name of a.gangs) out.push(...this.gangComplete(name));
    return out;
  }

  /** Orders that came straight; null: not ours to carry out. */
  ordered(token: number, session: number, orders: readonly TaskOrder[]): WorkerEffect[] | null {
    if (token < this.memory.token || session !== this.memory.session) return null;
    const out: WorkerEffect[] = [];
    if (token > this.memory.token) {
      this.memory.token = token;
      out.push({ type: 'remember' });
    }
    return [...out, ...this.execute(orders)];
  }

  /** Ends the session when its lease has run out: every task is killed and forgotten. */
  tick(now: number): WorkerEffect[] {
    if (now - this.leaseFrom <= this.leaseMs) return [];
    return this.newSession(now);
  }

  newSession(now: number): WorkerEffect[] {
    this.memory.session++;
    this.leaseFrom = now;
    const out: WorkerEffect[] = [{ type: 'remember' }];
    for (const task of this.held.values())
      out.push({ type: 'stop', task, graceS: 0 }, { type: 'forget', task });
    this.held.clear();
    return out;
  }

  private execute(orders: readonly TaskOrder[]): WorkerEffect[] {
    const out: WorkerEffect[] = [];
    for (const o of orders) {
      const task = this.held.get(keyOf(o));
      if (o.op === 'start') {
        // The same attempt again, in whatever state, changes nothing.
        if (task) continue;
        const fresh: HeldTask = { job: o.job, index: o.index, attempt: o.attempt, ...asNew };
        const other = [...this.held.values()].some(
          (t) => t.job === o.job && t.index === o.index && t.phase !== 'exited',
        );
        this.held.set(keyOf(o), fresh);
        if (other) out.push(...this.exited(fresh, 'busy', null, false));
        else out.push({ type: 'prepare', task: fresh });
      } else if (task) {
        if (o.op === 'forget' && task.phase === 'exited') {
          this.held.delete(keyOf(o));
          out.push({ type: 'forget', task });
        } else if (o.op === 'stop' && task.phase !== 'exited') out.push(...this.stop(task, o.graceS));
      }
    }
    return out;
  }

  private stop(task: HeldTask, graceS: number): WorkerEffect[] {
    if (task.phase === 'running' || task.phase === 'saving') {
      const again = task.phase === 'saving' && graceS > 0;
      task.phase = 'saving';
      return again ? [] : [{ type: 'stop', task, graceS }];
    }
    // It has not begun: there is nothing to end.
    this.exited(task, 'stopped', null, false);
    return [{ type: 'stop', task, graceS: 0 }, { type: 'soon' }];
  }

  private gangComplete(name: string): WorkerEffect[] {
    const out: WorkerEffect[] = [];
    for (const task of this.held.values())
      if (task.phase === 'waiting' && gangName(task) === name) {
        task.phase = 'running';
        out.push({ type: 'run', task }, { type: 'soon' });
      }
    return out;
  }

  // ---- what the runner tells ----

  /** Its description is here and there is room: it runs now, or waits for its gang. */
  prepared(task: HeldTask, gang: boolean): WorkerEffect[] {
    if (task.phase !== 'fetching') return [];
    task.phase = gang ? 'waiting' : 'running';
    return gang ? [{ type: 'soon' }] : [{ type: 'run', task }, { type: 'soon' }];
  }

  exited(task: HeldTask, why: HeldTask['why'], result: TaskResult | null, saved: boolean): WorkerEffect[] {
    if (task.phase === 'exited') return [];
    Object.assign(task, { phase: 'exited', why, result, saved });
    return [{ type: 'soon' }];
  }
}

const keyOf = (t: { job: string; index: number; attempt: number }): string =>
  `${taskKey(t.job, t.index)} ${t.attempt}`;

const asNew: Pick<HeldTask, 'phase' | 'why' | 'saved' | 'result'> = {
  phase: 'fetching',
  why: null,
  saved: false,
  result: null,
};

export const gangName = (t: { job: string; attempt: number }): string => `${t.job} ${t.attempt}`;
