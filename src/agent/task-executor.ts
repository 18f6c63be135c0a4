/** Executes the tasks of an agent: as processes, or simulated if their job has no command. */
import type { Log } from '../core/effects.js';
import type { Random } from '../retry/index.js';
import type { AgentJob, AgentTask } from '../wire/agent-side.js';
import type { AgentDirectory, TaskRecord } from './agent-directory.js';
import type { AgentLease } from './agent-lease.js';
import { CommandRunner, type TaskEvents } from './command-runner.js';
import type { AgentSettings } from './settings.js';
import { SimulatedTasks } from './simulated-tasks.js';

/** The output of so many ended tasks is kept, the newest. */
const maxKeptOutputs = 2000;
/** Old output is removed once for so many ended tasks, because all task directories are listed for it. */
const pruneIntervalTasks = 100;

/** Tolerance for sums of fractional resources. */
const resourceTolerance = 1e-6;

/** What the executor is built from. */
export interface TaskExecutorOptions {
  readonly settings: AgentSettings;
  readonly agentId: string;
  readonly bootId: string;
  readonly directory: AgentDirectory;
  readonly lease: AgentLease;
  readonly random: Random;
  readonly log: Log;
  readonly events: TaskEvents;
}

/** Starts and stops tasks whose jobs are known, and keeps their records. */
export class TaskExecutor {
  private readonly runner: CommandRunner;
  private readonly simulated: SimulatedTasks;
  private readonly jobs = new Map<AgentTask, AgentJob>();
  private forgottenTasks = 0;

  constructor(private readonly options: TaskExecutorOptions) {
    const { settings, agentId, directory, random, events, log } = options;
    const { outputBytes, graceS, checkIntervalMs } = settings;
    this.runner = new CommandRunner(
      directory,
      { outputBytes, graceS, checkIntervalMs, agentId },
      events,
      log,
    );
    this.simulated = new SimulatedTasks(random, events);
  }

  /** Whether no command runs. */
  get idle(): boolean {
    return this.runner.idle;
  }

  /** Sets the job of a task, which is needed for all else. */
  setJob(task: AgentTask, job: AgentJob): void {
    this.jobs.set(task, job);
  }

  /** Whether a task of that job fits beside the tasks that are held. */
  hasCapacity(task: AgentTask, job: AgentJob, heldTasks: Iterable<AgentTask>): boolean {
    const { cpus, gpus, memGb } = this.options.settings;
    const free = { cpus, gpus, memGb };
    for (const held of heldTasks) {
      const heldJob = held === task ? job : held.phase === 'exited' ? null : this.jobs.get(held);
      if (!heldJob) continue;
      free.cpus -= heldJob.cpus;
      free.gpus -= heldJob.gpus;
      free.memGb -= heldJob.memGb;
    }
    return Math.min(free.cpus, free.gpus, free.memGb) >= -resourceTolerance;
  }

  /** Starts a task; a command's processes end with the lease, which a watchdog enforces. */
  run(task: AgentTask, host: string): void {
    const job = this.jobs.get(task);
    if (!job) return;
    if (!job.command) return this.simulated.start(task, job);
    this.options.lease.startWatchdog();
    this.runner.start(task, job, host, this.options.bootId);
  }

  /** Takes over a command that an earlier process of this agent started. */
  adopt(record: TaskRecord, job: AgentJob): void {
    this.runner.adopt(record, job, this.options.bootId);
  }

  /** Stops a task; it may take `graceS` for a checkpoint. */
  stop(task: AgentTask, graceS: number): void {
    if (this.simulated.has(task)) this.simulated.stop(task, graceS);
    else this.runner.stop(task, graceS);
  }

  /**
   * Records the end of a task until the control service has recorded it. Nothing is recorded of a simulated task: if its end
   * is lost with the agent, it is simulated again.
   */
  recordEnd(task: AgentTask): void {
    const job = this.jobs.get(task);
    if (!job?.command) return;
    const { directory, bootId } = this.options;
    directory.saveTask({ task, job, startedAt: 0, startedUptimeS: 0, boot: bootId });
  }

  /** Removes the record of a task; the output of commands stays for a while. */
  forget(task: AgentTask): void {
    const simulated = this.jobs.get(task)?.command === null;
    this.jobs.delete(task);
    if (simulated) return;
    const { directory } = this.options;
    directory.forgetTask(task);
    if (++this.forgottenTasks % pruneIntervalTasks === 0) directory.pruneOutputs(maxKeptOutputs);
  }

  /** Kills processes of this agent whose task does not run. */
  sweepOrphans(): void {
    this.runner.sweepOrphans();
  }

  /** Stops the executor's own work; commands run on. */
  close(): void {
    this.runner.close();
    this.simulated.close();
  }
}
