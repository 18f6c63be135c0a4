import { uptime } from 'node:os';
import type { AgentJob, HeldTask, ResultReason } from '../wire/agent-side.js';
import type { TaskEvents } from './command-runner.js';
import type { Random } from '../retry/index.js';

interface Simulation {
  startedAt: number;
  startedUptimeS: number;
  job: AgentJob;
  timer: NodeJS.Timeout | null;
  memory: Buffer | null;
}

/** Plays tasks of jobs that have no command: they sleep, fail, hang or take memory, as their class is set to. */
export class SimulatedTasks {
  private readonly running = new Map<HeldTask, Simulation>();

  constructor(
    private readonly random: Random,
    private readonly events: TaskEvents,
  ) {}

  start(task: HeldTask, job: AgentJob): void {
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

  has(task: HeldTask): boolean {
    return this.running.has(task);
  }

  stop(task: HeldTask, graceS: number): void {
    const simulation = this.running.get(task);
    const savesCheckpoint =
      simulation !== undefined && simulation.job.checkpointS > 0 && graceS >= simulation.job.saveS;
    if (!savesCheckpoint) return this.end(task, 'stopped', null, 'SIGKILL');
    if (simulation.timer) clearTimeout(simulation.timer);
    simulation.timer = setTimeout(() => this.end(task, 'stopped', 0, null), simulation.job.saveS * 1000);
  }

  close(): void {
    for (const simulation of this.running.values()) if (simulation.timer) clearTimeout(simulation.timer);
    this.running.clear();
  }

  private end(task: HeldTask, reason: ResultReason, exit: number | null, signal: string | null): void {
    const simulation = this.running.get(task);
    if (!simulation) return;
    this.running.delete(task);
    if (simulation.timer) clearTimeout(simulation.timer);
    const { startedAt } = simulation;
    const endedAt = startedAt + Math.round((uptime() - simulation.startedUptimeS) * 1000);
    this.events.ended(task, { exit, signal, reason, startedAt, endedAt }, reason === 'stopped' && exit === 0);
  }
}
