/** Processes agents' heartbeats before the core does: checks membership, records attempt results, coordinates gangs. */
import type { Command } from '../core/effects.js';
import type { ExitReason, Heartbeat, TaskStatus } from '../model/heartbeat.js';
import { taskKey, type JobSpec } from '../model/job.js';
import { parseResults, type TaskResult } from '../wire/agent.js';
import type { Condition } from '../wire/store.js';
import type { AgentPool } from './agent-pool.js';
import { StoreUnavailableError } from './control-store.js';
import { GangRendezvous } from './gang-rendezvous.js';
import type { ResultStore } from './result-store.js';

/** What the interceptor needs from the control service. */
export interface HeartbeatBackend {
  readonly pool: AgentPool;
  readonly results: ResultStore;
  /** Whether this process believes that it owns the shard. */
  ownsShard(): boolean;
  /** The lease of the agents, ms. */
  readonly leaseMs: number;
  /** A monotonic clock, ms. */
  now(): number;
  /** How long tasks on a drained machine may keep running, s. */
  readonly drainS: number;
  /** Returns the specification of an unfinished job; null if there is no such job. */
  jobSpec(id: string): JobSpec | null;
  /** Returns how many tasks of a job are done. */
  doneTasks(id: string): number;
  /** Loads the results under the current shard grant; returns the precondition for writes under that grant. */
  loadResultsForGrant(): Promise<Condition[]>;
  /** Enqueues a command for the core. */
  enqueue(command: Command): void;
}

/** How the interceptor continues with a heartbeat. */
export interface HeartbeatContinuation {
  /** Forwards the heartbeat to the core. */
  readonly forward: (heartbeat: Heartbeat) => void;
  /** Responds with an error instead of the core. */
  readonly reject: (status: number, body: object) => void;
}

/**
 * Intercepts heartbeats on their way to the core, and the core's responses. The result of an attempt is stored before the
 * core learns that the attempt has ended, and therefore before any component may discard the result.
 */
export class HeartbeatInterceptor {
  private readonly gangs: GangRendezvous;
  /** By host: the complete gang attempts to name in the next response to its agent. */
  private readonly completeGangs = new Map<string, string[]>();

  constructor(private readonly backend: HeartbeatBackend) {
    this.gangs = new GangRendezvous({
      pendingTasks: (id) => this.pendingGangTasks(id),
      leaseMs: backend.leaseMs,
      now: () => backend.now(),
    });
  }

  /** Processes a heartbeat. `raw` is its body, with the attempt results, which are not part of the core's protocol. */
  async intercept(
    raw: unknown,
    heartbeat: Heartbeat,
    { forward, reject }: HeartbeatContinuation,
  ): Promise<void> {
    const { pool, results } = this.backend;
    const { host } = heartbeat;
    let member;
    try {
      member = await pool.findOrLoad(host);
      if (!member) return reject(410, { error: `${host}: not known here: it has left or was forgotten` });
      if (member.forgotten) return reject(410, { error: `${host}: forgotten by an operator` });
      // The core redirects the agent to the shard's owner.
      if (!this.backend.ownsShard()) return forward(heartbeat);
      pool.recordHeartbeat(host, heartbeat.endpoint);
      await this.recordResults(raw, heartbeat);
    } catch (error) {
      if (error instanceof StoreUnavailableError) return reject(503, { error: error.message });
      throw error;
    }
    // A gang fails as a whole: once one of its tasks has failed permanently, the others are stopped.
    const failedGangs = new Set<string>();
    for (const task of heartbeat.tasks)
      if (task.phase !== 'exited' && results.failedTaskCount(task.job) > 0 && this.isGang(task.job))
        failedGangs.add(task.job);
    for (const id of failedGangs) this.backend.enqueue({ type: 'stop-gang', id });
    // A drained machine is treated like one that its cloud provider reclaims after a long notice period.
    if (member.drainedAt !== null) heartbeat.noticeS = this.backend.drainS;
    this.completeGangs.set(host, this.gangs.observe(heartbeat));
    forward(heartbeat);
  }

  /** Adds the gangs that may start on a machine to the core's response to its heartbeat. */
  extendResponse(host: string, status: number, body: object): object {
    const gangs = this.completeGangs.get(host);
    this.completeGangs.delete(host);
    return status === 200 && gangs && gangs.length > 0 ? { ...body, gangs } : body;
  }

  /**
   * Stores attempt results, and sets each ended task's exit reason so that the core completes or retries it. Only a result
   * proves that a task is done: without one, the task is retried.
   */
  private async recordResults(raw: unknown, heartbeat: Heartbeat): Promise<void> {
    const reportedResults = new Map<string, TaskResult>();
    for (const { piece, attempt, result } of parseResults(raw))
      reportedResults.set(`${piece} ${attempt}`, result);
    const exitedTasks = heartbeat.tasks.filter((task) => task.phase === 'exited');
    const preconditions = reportedResults.size > 0 ? await this.backend.loadResultsForGrant() : [];
    await Promise.all(
      exitedTasks.map(async (task) => {
        const result = reportedResults.get(`${taskKey(task.job, task.index)} ${task.attempt}`);
        if (result) task.exitReason = await this.recordResult(task, heartbeat.host, result, preconditions);
        else if (task.exitReason === 'done') task.exitReason = 'stopped';
      }),
    );
  }

  /** Stores the result of an attempt; returns the exit reason by which the core completes or retries the task. */
  private async recordResult(
    { job: id, index, attempt }: TaskStatus,
    host: string,
    result: TaskResult,
    preconditions: readonly Condition[],
  ): Promise<ExitReason> {
    const spec = this.backend.jobSpec(id);
    const job = { id, retries: spec?.command?.retries ?? 0, gang: spec?.shape === 'gang' };
    const disposition = await this.backend.results.record(
      job,
      { index, attempt, host, result },
      preconditions,
    );
    return disposition === 'done' ? 'done' : 'stopped';
  }

  private isGang(job: string): boolean {
    return this.backend.jobSpec(job)?.shape === 'gang';
  }

  /** Returns how many tasks an unfinished gang still has to run; null for any other job. */
  private pendingGangTasks(job: string): number | null {
    const spec = this.backend.jobSpec(job);
    return spec?.shape === 'gang' ? spec.tasks - this.backend.doneTasks(job) : null;
  }
}
