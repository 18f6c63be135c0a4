/** Simulates the tasks of jobs that have no command. */
import { uptime } from 'node:os';
import type { AgentJob, AgentTask, ResultReason } from '../wire/agent.js';
import type { TaskEvents } from './command-runner.js';
import type { Random } from '../retry/index.js';

/** The state of a running simulated task. */
interface Simulation {
  startedAt: number;
  startedUptimeS: number;
  job: AgentJob;
  /** Fires when the task ends; null if it hangs. */
  timer: NodeJS.Timeout | null;
  /** The memory that it allocates; null if none. */
  memory: Buffer | null;
}

/** Runs simulated tasks, which sleep, fail, hang or allocate memory according to the settings of their job class. */
export class SimulatedTasks {
  private readonly running = new Map<AgentTask, Simulation>();

  constructor(
    private readonly random: Random,
    private readonly events: TaskEvents,
  ) {}

  /** Starts a simulated task. */
  start(task: AgentTask, job: AgentJob): void {
    const { sleepS, fail, hang, memMb } = job.standIn;
    const simulation: Simulation = {
      startedAt: Date.now(),
      startedUptimeS: uptime(),
      job,
      timer: null,
      memory: null,
    };
    this.running.set(task, simulation);
    if (memMb > 0) {
      if (memMb > job.memGb * 1024) return this.end(task, 'memory', null, 'SIGKILL');
      simulation.memory = Buffer.alloc(memMb * 1024 * 1024, 1);
    }
    if (hang) return;
    const exit = this.random() < fail ? 1 : 0;
    simulation.timer = setTimeout(() => this.end(task, 'exited', exit, null), sleepS * 1000);
  }

  /** Whether a task is a running simulated task. */
  has(task: AgentTask): boolean {
    return this.running.has(task);
  }

  /** Stops a task. If `graceS` is long enough for a checkpoint, the task first takes the time to write one. */
  stop(task: AgentTask, graceS: number): void {
    const simulation = this.running.get(task);
    const savesCheckpoint =
      simulation !== undefined && simulation.job.checkpointS > 0 && graceS >= simulation.job.saveS;
    if (!savesCheckpoint) return this.end(task, 'stopped', null, 'SIGKILL');
    if (simulation.timer) clearTimeout(simulation.timer);
    simulation.timer = setTimeout(() => this.end(task, 'stopped', 0, null), simulation.job.saveS * 1000);
  }

  /** Drops a task without reporting that it ended. */
  forget(task: AgentTask): void {
    const timer = this.running.get(task)?.timer;
    if (timer) clearTimeout(timer);
    this.running.delete(task);
  }

  /** Drops all tasks without reporting that they ended. */
  close(): void {
    for (const task of [...this.running.keys()]) this.forget(task);
  }

  private end(task: AgentTask, reason: ResultReason, exit: number | null, signal: string | null): void {
    const simulation = this.running.get(task);
    if (!simulation) return;
    this.running.delete(task);
    if (simulation.timer) clearTimeout(simulation.timer);
    const { startedAt } = simulation;
    const endedAt = startedAt + Math.round((uptime() - simulation.startedUptimeS) * 1000);
    this.events.ended(task, { exit, signal, reason, startedAt, endedAt }, reason === 'stopped' && exit === 0);
  }
}
