/** The worker's side of the protocol as a pure state machine: epochs, the lease, fencing tokens and held tasks. */
import type { DirectOrder, TaskOrder } from '../model/heartbeat.js';
import { taskKey } from '../model/job.js';
import type { AgentReport, HeartbeatResponse, AgentTask, TaskResult } from '../wire/agent.js';

/** An action that the worker state machine requests from its agent. */
export type WorkerEffect =
  /** Fetch the job description, after which the task runs or waits for its gang. */
  | { readonly type: 'prepare'; readonly task: AgentTask }
  | { readonly type: 'run'; readonly task: AgentTask }
  | { readonly type: 'stop'; readonly task: AgentTask; readonly graceS: number }
  /** End everything that belongs to the task, without reporting its end, and remove its record. */
  | { readonly type: 'forget'; readonly task: AgentTask }
  /** Write the worker's state to disk: its epoch or fencing token has changed. */
  | { readonly type: 'persist-state' }
  /** Send a heartbeat before the next one is due. */
  | { readonly type: 'heartbeat-soon' };

/** How the worker identifies itself in heartbeats. */
export interface WorkerIdentity {
  readonly host: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
}

/** The part of the worker's state that is persisted across restarts. */
export interface WorkerState {
  /** Incremented whenever the worker loses its tasks: when its lease expires, or when it gets a new host name. */
  agentEpoch: number;
  /** The sequence number of the last heartbeat. */
  seq: number;
  /** The highest fencing token seen. Responses and orders with a lower one come from a controller that has lost the shard. */
  fencingToken: number;
}

/**
 * The worker state machine. It performs no actions itself, but returns them as effects. Times are in ms on a monotonic clock
 * of the caller's choice.
 */
export class Worker {
  private readonly tasksByKey = new Map<string, AgentTask>();
  /** The attempt of each task that has not ended, by task key. There is at most one. */
  private readonly unfinishedAttempts = new Map<string, AgentTask>();
  /** When the most recent answered heartbeat was sent. */
  private leaseStartMs: number;

  constructor(
    readonly identity: WorkerIdentity,
    private readonly state: WorkerState,
    private readonly leaseMs: number,
    leaseStart: number,
    tasks: readonly AgentTask[] = [],
  ) {
    this.leaseStartMs = leaseStart;
    for (const task of tasks) this.add(task);
  }

  private add(task: AgentTask): void {
    this.tasksByKey.set(attemptKey(task), task);
    if (task.phase !== 'exited') this.unfinishedAttempts.set(taskKey(task.job, task.index), task);
  }

  /** All tasks that the worker holds, including ended ones that the control service has not told it to forget. */
  get tasks(): Iterable<AgentTask> {
    return this.tasksByKey.values();
  }

  /** Whether the worker holds this very object, and not another one for the same attempt. */
  holds(task: AgentTask): boolean {
    return this.tasksByKey.get(attemptKey(task)) === task;
  }

  /** The current epoch. */
  get agentEpoch(): number {
    return this.state.agentEpoch;
  }

  /** The highest fencing token seen. */
  get fencingToken(): number {
    return this.state.fencingToken;
  }

  /** When the lease started: the time at which the most recent answered heartbeat was sent. */
  get leaseStart(): number {
    return this.leaseStartMs;
  }

  /** Builds the next heartbeat, with a new sequence number. */
  buildHeartbeat(): AgentReport {
    const { agentEpoch, fencingToken } = this.state;
    const tasks = [...this.tasksByKey.values()];
    return { ...this.identity, agentEpoch, seq: ++this.state.seq, fencingToken, tasks };
  }

  /** Processes the response to a heartbeat that was sent at `sentAt` in `agentEpoch`. */
  onHeartbeatResponse(response: HeartbeatResponse, sentAt: number, agentEpoch: number): WorkerEffect[] {
    const { state } = this;
    // A response to an earlier epoch, or from a controller that has lost the shard, neither renews the lease nor gives orders.
    if (agentEpoch !== state.agentEpoch || response.token === null || response.token < state.fencingToken)
      return [];
    const effects: WorkerEffect[] = [];
    if (response.token > state.fencingToken) {
      state.fencingToken = response.token;
      effects.push({ type: 'persist-state' }, { type: 'heartbeat-soon' });
    }
    this.leaseStartMs = Math.max(this.leaseStartMs, sentAt);
    return [...effects, ...this.executeOrders(response.orders), ...this.startGangs(new Set(response.gangs))];
  }

  /** Processes orders sent outside heartbeat responses; null if they are for another epoch or their token is outdated. */
  onDirectOrders(
    fencingToken: number,
    agentEpoch: number,
    orders: readonly DirectOrder[],
  ): WorkerEffect[] | null {
    if (fencingToken < this.state.fencingToken || agentEpoch !== this.state.agentEpoch) return null;
    const effects: WorkerEffect[] = [];
    if (fencingToken > this.state.fencingToken) {
      this.state.fencingToken = fencingToken;
      effects.push({ type: 'persist-state' });
    }
    return [...effects, ...this.executeOrders(orders)];
  }

  /** Starts a new epoch if the lease has expired. */
  tick(now: number): WorkerEffect[] {
    if (now - this.leaseStartMs <= this.leaseMs) return [];
    return this.startEpoch(now);
  }

  /**
   * Starts a new epoch, in which all tasks are killed and forgotten. The epoch is persisted only after that: an agent that
   * exits in between finds an expired lease on disk, and forgets the remaining tasks when it is restarted.
   */
  startEpoch(now: number): WorkerEffect[] {
    this.state.agentEpoch++;
    this.leaseStartMs = now;
    const effects: WorkerEffect[] = [];
    for (const task of this.tasksByKey.values())
      effects.push({ type: 'stop', task, graceS: 0 }, { type: 'forget', task });
    this.tasksByKey.clear();
    this.unfinishedAttempts.clear();
    effects.push({ type: 'persist-state' });
    return effects;
  }

  private executeOrders(orders: readonly TaskOrder[]): WorkerEffect[] {
    const effects: WorkerEffect[] = [];
    for (const order of orders) {
      const task = this.tasksByKey.get(attemptKey(order));
      if (order.op === 'start') {
        // A repeated order for an attempt that the worker already holds has no effect.
        if (!task) effects.push(this.start(order));
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

  private stop(task: AgentTask, graceS: number): WorkerEffect[] {
    if (task.phase === 'running' || task.phase === 'saving') {
      const alreadyStopping = task.phase === 'saving' && graceS > 0;
      task.phase = 'saving';
      return alreadyStopping ? [] : [{ type: 'stop', task, graceS }];
    }
    // The task was not started yet, so it ends immediately.
    this.onExited(task, 'stopped', null, false);
    return [{ type: 'stop', task, graceS: 0 }, { type: 'heartbeat-soon' }];
  }

  /** Takes on a new attempt of a task; it ends immediately if another attempt has not ended yet. */
  private start({ job, index, attempt }: Attempt): WorkerEffect {
    const task: AgentTask = { job, index, attempt, ...newTaskState };
    if (!this.unfinishedAttempts.has(taskKey(job, index))) {
      this.add(task);
      return { type: 'prepare', task };
    }
    Object.assign(task, { phase: 'exited', why: 'busy' });
    this.add(task);
    return { type: 'heartbeat-soon' };
  }

  /** Runs the waiting tasks of the gang attempts that are complete. */
  private startGangs(complete: ReadonlySet<string>): WorkerEffect[] {
    const effects: WorkerEffect[] = [];
    if (complete.size === 0) return effects;
    for (const task of this.tasksByKey.values())
      if (task.phase === 'waiting' && complete.has(gangKey(task))) {
        task.phase = 'running';
        effects.push({ type: 'run', task }, { type: 'heartbeat-soon' });
      }
    return effects;
  }

  // ---- events from the agent ----

  /**
   * Called when a task's job is known and the machine has capacity: the task runs now, or waits for its gang. Has no effect on
   * a task that the worker has forgotten meanwhile.
   */
  onPrepared(task: AgentTask, gang: boolean): WorkerEffect[] {
    if (!this.holds(task) || task.phase !== 'fetching') return [];
    task.phase = gang ? 'waiting' : 'running';
    return gang ? [{ type: 'heartbeat-soon' }] : [{ type: 'run', task }, { type: 'heartbeat-soon' }];
  }

  /** Called when a task has ended or cannot be run. Has no effect on a task that the worker has forgotten meanwhile. */
  onExited(
    task: AgentTask,
    why: AgentTask['why'],
    result: TaskResult | null,
    saved: boolean,
  ): WorkerEffect[] {
    if (!this.holds(task) || task.phase === 'exited') return [];
    Object.assign(task, { phase: 'exited', why, result, saved });
    const key = taskKey(task.job, task.index);
    if (this.unfinishedAttempts.get(key) === task) this.unfinishedAttempts.delete(key);
    return [{ type: 'heartbeat-soon' }];
  }
}

/** What identifies an attempt of a task. */
type Attempt = Pick<AgentTask, 'job' | 'index' | 'attempt'>;

const attemptKey = (task: Attempt): string => `${taskKey(task.job, task.index)} ${task.attempt}`;

const newTaskState: Pick<AgentTask, 'phase' | 'why' | 'saved' | 'result'> = {
  phase: 'fetching',
  why: null,
  saved: false,
  result: null,
};

/** Returns the identifier of a gang attempt in heartbeat responses, "JOB ATTEMPT". */
export const gangKey = (task: { job: string; attempt: number }): string => `${task.job} ${task.attempt}`;
