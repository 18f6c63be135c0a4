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
export interface WorkerState {
  agentEpoch: number;
  seq: number;
  fencingToken: number;
}

/**
 * The worker's side of the protocol: sessions, leases, tokens, and the tasks it holds. On a clock that it is given, ms;
 * starts and ends nothing itself.
 */
export class Worker {
  private readonly tasksByKey = new Map<string, HeldTask>();
  /** When the last report that was answered was sent. */
  private leaseStartMs: number;

  constructor(
    readonly identity: WorkerIdentity,
    private readonly state: WorkerState,
    private readonly leaseMs: number,
    leaseFrom: number,
    tasks: readonly HeldTask[] = [],
  ) {
    this.leaseStartMs = leaseFrom;
    for (const t of tasks) this.tasksByKey.set(attemptKey(t), t);
  }

  get tasks(): Iterable<HeldTask> {
    return this.tasksByKey.values();
  }

  holds(task: HeldTask): boolean {
    return this.tasksByKey.get(attemptKey(task)) === task;
  }

  get agentEpoch(): number {
    return this.state.agentEpoch;
  }

  get fencingToken(): number {
    return this.state.fencingToken;
  }

  get leaseStart(): number {
    return this.leaseStartMs;
  }

  buildHeartbeat(): AgentReport {
    const { agentEpoch: session, fencingToken: token } = this.state;
    const tasks = [...this.tasksByKey.values()];
    return { ...this.identity, session, seq: ++this.state.seq, token, tasks };
  }

  /** A 200 to a report sent at `sentAt` in `session`. */
  onHeartbeatResponse(response: Answer, sentAt: number, agentEpoch: number): WorkerEffect[] {
    const { state: memory } = this;
    // Guards against the answer that comes late, and against one who is entitled no more: it renews nothing.
    if (agentEpoch !== memory.agentEpoch || response.token === null || response.token < memory.fencingToken)
      return [];
    const effects: WorkerEffect[] = [];
    if (response.token > memory.fencingToken) {
      memory.fencingToken = response.token;
      effects.push({ type: 'remember' }, { type: 'soon' });
    }
    this.leaseStartMs = Math.max(this.leaseStartMs, sentAt);
    effects.push(...this.executeOrders(response.orders));
    for (const name of response.gangs) effects.push(...this.startGang(name));
    return effects;
  }

  /** Orders that came straight; null: not ours to carry out. */
  onDirectOrders(
    fencingToken: number,
    agentEpoch: number,
    orders: readonly TaskOrder[],
  ): WorkerEffect[] | null {
    if (fencingToken < this.state.fencingToken || agentEpoch !== this.state.agentEpoch) return null;
    const effects: WorkerEffect[] = [];
    if (fencingToken > this.state.fencingToken) {
      this.state.fencingToken = fencingToken;
      effects.push({ type: 'remember' });
    }
    return [...effects, ...this.executeOrders(orders)];
  }

  /** Ends the session when its lease has run out: every task is killed and forgotten. */
  tick(now: number): WorkerEffect[] {
    if (now - this.leaseStartMs <= this.leaseMs) return [];
    return this.startEpoch(now);
  }

  startEpoch(now: number): WorkerEffect[] {
    this.state.agentEpoch++;
    this.leaseStartMs = now;
    const effects: WorkerEffect[] = [{ type: 'remember' }];
    for (const task of this.tasksByKey.values())
      effects.push({ type: 'stop', task, graceS: 0 }, { type: 'forget', task });
    this.tasksByKey.clear();
    return effects;
  }

  private executeOrders(orders: readonly TaskOrder[]): WorkerEffect[] {
    const effects: WorkerEffect[] = [];
    for (const order of orders) {
      const task = this.tasksByKey.get(attemptKey(order));
      if (order.op === 'start') {
        // The same attempt again, in whatever state, changes nothing.
        if (task) continue;
        const newTask: HeldTask = {
          job: order.job,
          index: order.index,
          attempt: order.attempt,
          ...newTaskState,
        };
        const alreadyRunning = [...this.tasksByKey.values()].some(
          (t) => t.job === order.job && t.index === order.index && t.phase !== 'exited',
        );
        this.tasksByKey.set(attemptKey(order), newTask);
        if (alreadyRunning) effects.push(...this.onExited(newTask, 'busy', null, false));
        else effects.push({ type: 'prepare', task: newTask });
      } else if (task) {
        if (order.op === 'forget' && task.phase === 'exited') {
          this.tasksByKey.delete(attemptKey(order));
          effects.push({ type: 'forget', task });
        } else if (order.op === 'stop' && task.phase !== 'exited')
          effects.push(...this.stop(task, order.graceS));
      }
    }
    return effects;
  }

  private stop(task: HeldTask, graceS: number): WorkerEffect[] {
    if (task.phase === 'running' || task.phase === 'saving') {
      const again = task.phase === 'saving' && graceS > 0;
      task.phase = 'saving';
      return again ? [] : [{ type: 'stop', task, graceS }];
    }
    // It has not begun: there is nothing to end.
    this.onExited(task, 'stopped', null, false);
    return [{ type: 'stop', task, graceS: 0 }, { type: 'soon' }];
  }

  private startGang(name: string): WorkerEffect[] {
    const effects: WorkerEffect[] = [];
    for (const task of this.tasksByKey.values())
      if (task.phase === 'waiting' && gangKey(task) === name) {
        task.phase = 'running';
        effects.push({ type: 'run', task }, { type: 'soon' });
      }
    return effects;
  }

  // ---- what the runner tells ----

  /** Its description is here and there is room: it runs now, or waits for its gang. */
  onPrepared(task: HeldTask, gang: boolean): WorkerEffect[] {
    if (task.phase !== 'fetching') return [];
    task.phase = gang ? 'waiting' : 'running';
    return gang ? [{ type: 'soon' }] : [{ type: 'run', task }, { type: 'soon' }];
  }

  onExited(task: HeldTask, why: HeldTask['why'], result: TaskResult | null, saved: boolean): WorkerEffect[] {
    if (task.phase === 'exited') return [];
    Object.assign(task, { phase: 'exited', why, result, saved });
    return [{ type: 'soon' }];
  }
}

const attemptKey = (task: { job: string; index: number; attempt: number }): string =>
  `${taskKey(task.job, task.index)} ${task.attempt}`;

const newTaskState: Pick<HeldTask, 'phase' | 'why' | 'saved' | 'result'> = {
  phase: 'fetching',
  why: null,
  saved: false,
  result: null,
};

export const gangKey = (task: { job: string; attempt: number }): string => `${task.job} ${task.attempt}`;
