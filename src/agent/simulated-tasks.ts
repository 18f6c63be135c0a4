import { uptime } from 'node:os';
import type { AgentJob, HeldTask, ResultReason } from '../wire/agent-side.js';
import type { RunnerEvents } from './runner.js';
import type { Random } from '../retry/index.js';

interface Acting {
  startedAt: number;
  startedUptimeS: number;
  job: AgentJob;
  timer: NodeJS.Timeout | null;
  memory: Buffer | null;
}

/** Plays tasks of jobs that have no command: they sleep, fail, hang or take memory, as their class is set to. */
export class StandIns {
  private readonly acting = new Map<HeldTask, Acting>();

  constructor(
    private readonly random: Random,
    private readonly events: RunnerEvents,
  ) {}

  start(task: HeldTask, job: AgentJob): void {
    const { sleepS, fail, hang, memMb } = job.standIn;
    const a: Acting = { startedAt: Date.now(), startedUptimeS: uptime(), job, timer: null, memory: null };
    this.acting.set(task, a);
    if (memMb > 0) {
      if (memMb > job.memGb * 1024) return this.end(task, 'memory', null, 'SIGKILL');
      a.memory = Buffer.alloc(memMb * 1024 * 1024, 1);
    }
    if (hang) return;
    const exit = this.random() < fail ? 1 : 0;
    a.timer = setTimeout(() => this.end(task, 'exited', exit, null), sleepS * 1000);
  }

  has(task: HeldTask): boolean {
    return this.acting.has(task);
  }

  stop(task: HeldTask, graceS: number): void {
    const a = this.acting.get(task);
    const saves = a !== undefined && a.job.checkpointS > 0 && graceS >= a.job.saveS;
    if (!saves) return this.end(task, 'stopped', null, 'SIGKILL');
    if (a.timer) clearTimeout(a.timer);
    a.timer = setTimeout(() => this.end(task, 'stopped', 0, null), a.job.saveS * 1000);
  }

  close(): void {
    for (const a of this.acting.values()) if (a.timer) clearTimeout(a.timer);
    this.acting.clear();
  }

  private end(task: HeldTask, reason: ResultReason, exit: number | null, signal: string | null): void {
    const a = this.acting.get(task);
    if (!a) return;
    this.acting.delete(task);
    if (a.timer) clearTimeout(a.timer);
    const { startedAt } = a;
    const endedAt = startedAt + Math.round((uptime() - a.startedUptimeS) * 1000);
    this.events.ended(task, { exit, signal, reason, startedAt, endedAt }, reason === 'stopped' && exit === 0);
  }
}
