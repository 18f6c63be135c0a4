/** Processes agents' heartbeats before the core does: membership, results of attempts, gangs. */
import type { Command } from '../core/effects.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { JobSpec } from '../model/job.js';
import { parseResults, type TaskResult } from '../wire/agent-side.js';
import type { Condition } from '../wire/store.js';
import type { AgentPool } from './agent-pool.js';
import { StoreUnavailableError } from './control-store.js';
import { GangRendezvous } from './gang-rendezvous.js';
import type { ResultStore } from './result-store.js';

/** What the interceptor needs of the control service. */
export interface HeartbeatBackend {
  readonly pool: AgentPool;
  readonly results: ResultStore;
  /** Whether this process owns the shard, as far as it knows. */
  owns(): boolean;
  /** How long tasks on a drained machine may go on, s. */
  readonly drainS: number;
  /** The specification of an unfinished job; null if there is none. */
  jobSpec(id: string): JobSpec | null;
  /** How many tasks of a job are done. */
  doneTasks(id: string): number;
  /** Brings the results up to date under the current shard grant; the precondition that guards writes under it. */
  ensureResultsOfGrant(): Promise<Condition[]>;
  /** Hands a command to the core. */
  push(command: Command): void;
}

/** What happens to a heartbeat after its interception. */
export interface HeartbeatContinuation {
  /** Hands it on to the core. */
  readonly pass: (heartbeat: Heartbeat) => void;
  /** Answers it in place of the core. */
  readonly refuse: (status: number, body: object) => void;
}

/**
 * Intercepts heartbeats on their way to the core, and the core's responses to them. How attempts ended is stored before the
 * core learns of it, and so before any component may discard it.
 */
export class HeartbeatInterceptor {
  private readonly gangs = new GangRendezvous((id) => this.pendingGangTasks(id));
  /** By host: complete gangs that the next response to its agent names. */
  private readonly completeGangs = new Map<string, string[]>();

  constructor(private readonly backend: HeartbeatBackend) {}

  /** Processes a heartbeat. `raw` is its body, whose results of attempts the core's protocol does not know. */
  async intercept(
    raw: unknown,
    heartbeat: Heartbeat,
    { pass, refuse }: HeartbeatContinuation,
  ): Promise<void> {
    const { pool, results } = this.backend;
    const { host } = heartbeat;
    let member;
    try {
      member = await pool.findOrLoad(host);
      if (!member) return refuse(410, { error: `${host}: not known here: it has left or was forgotten` });
      if (member.forgotten) return refuse(410, { error: `${host}: forgotten by an operator` });
      // The core redirects it to the owner.
      if (!this.backend.owns()) return pass(heartbeat);
      pool.recordHeartbeat(host, heartbeat.endpoint);
      await this.recordResults(raw, heartbeat);
    } catch (error) {
      if (error instanceof StoreUnavailableError) return refuse(503, { error: error.message });
      throw error;
    }
    // A gang fails as a whole: once one of its tasks has failed for good, the others are stopped.
    const failedGangs = new Set<string>();
    for (const task of heartbeat.tasks)
      if (task.phase !== 'exited' && results.failures(task.job) > 0 && this.isGang(task.job))
        failedGangs.add(task.job);
    for (const id of failedGangs) this.backend.push({ type: 'stop-gang', id });
    // A drained machine is treated like one that its cloud provider reclaims with long notice.
    if (member.drainedAt !== null) heartbeat.noticeS = this.backend.drainS;
    this.completeGangs.set(host, this.gangs.observe(heartbeat));
    pass(heartbeat);
  }

  /** Adds the gangs that may start on that machine to the core's response. */
  extendResponse(host: string, status: number, body: object): object {
    const gangs = this.completeGangs.get(host);
    this.completeGangs.delete(host);
    return status === 200 && gangs && gangs.length > 0 ? { ...body, gangs } : body;
  }

  /** Stores how attempts ended, and sets in the heartbeat what the core is to do with their tasks. */
  private async recordResults(raw: unknown, heartbeat: Heartbeat): Promise<void> {
    const reported = new Map<string, TaskResult>();
    for (const { piece, attempt, result } of parseResults(raw)) reported.set(`${piece} ${attempt}`, result);
    if (reported.size === 0) return;
    const preconditions = await this.backend.ensureResultsOfGrant();
    await Promise.all(
      heartbeat.tasks.map(async (task) => {
        const { index, attempt } = task;
        const result = reported.get(`${task.job}/${index} ${attempt}`);
        if (task.phase !== 'exited' || !result) return;
        const spec = this.backend.jobSpec(task.job);
        const job = { id: task.job, retries: spec?.command?.retries ?? 0, gang: spec?.shape === 'gang' };
        const end = { index, attempt, host: heartbeat.host, result };
        const disposition = await this.backend.results.record(job, end, preconditions);
        task.exitReason = disposition === 'done' ? 'done' : 'stopped';
      }),
    );
  }

  private isGang(job: string): boolean {
    return this.backend.jobSpec(job)?.shape === 'gang';
  }

  /** How many tasks an unfinished gang still has to run; null for any other job. */
  private pendingGangTasks(job: string): number | null {
    const spec = this.backend.jobSpec(job);
    return spec?.shape === 'gang' ? spec.tasks - this.backend.doneTasks(job) : null;
  }
}
