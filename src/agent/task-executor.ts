/** Executes an agent's tasks: as processes, or simulated if their job has no command. */
import type { Log } from '../core/effects.js';
import type { Random } from '../retry/index.js';
import type { AgentJob, AgentTask } from '../wire/agent.js';
import type { AgentDirectory, TaskRecord } from './agent-directory.js';
import type { AgentLease } from './agent-lease.js';
import { CommandRunner, type TaskEvents } from './command-runner.js';
import type { AgentSettings } from './settings.js';
import { SimulatedTasks } from './simulated-tasks.js';

/** The number of most recently ended tasks whose output is kept; older output is removed. */
const maxKeptOutputs = 2000;
/** Old output is removed only once per this many forgotten tasks, because that lists all task directories. */
const pruneIntervalTasks = 100;

/** Tolerance for rounding errors in sums of fractional resources. */
const resourceTolerance = 1e-6;

/** The settings and dependencies of a task executor. */
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

/** Starts and stops tasks whose job descriptions are known, and maintains their records. */
export class TaskExecutor {
  private readonly runner: CommandRunner;
  private readonly simulatedTasks: SimulatedTasks;
  /** The job descriptions of all tasks that are prepared and not forgotten. */
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
    this.simulatedTasks = new SimulatedTasks(random, events);
  }

  /** Whether no command is running. */
  get idle(): boolean {
    return this.runner.idle;
  }

  /** Sets the job description of a task. Without it the task cannot be run or recorded. */
  setJob(task: AgentTask, job: AgentJob): void {
    this.jobs.set(task, job);
  }

  /** Whether the machine has capacity for a task of a job in addition to the tasks that it holds. */
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

  /** Starts a task. For a command it also starts the watchdog, which kills the command if the lease expires. */
  run(task: AgentTask, host: string): void {
    const job = this.jobs.get(task);
    if (!job) return;
    if (!job.command) return this.simulatedTasks.start(task, job);
    this.options.lease.startWatchdog();
    this.runner.start(task, job, host, this.options.bootId);
  }

  /** Takes over the record of a task from an earlier process of this agent. */
  restore(record: TaskRecord): void {
    if (record.job) this.jobs.set(record.task, record.job);
    this.runner.restore(record);
  }

  /** Takes over a task's command from an earlier process of this agent. */
  adopt(record: TaskRecord, job: AgentJob): void {
    this.runner.adopt(record, job, this.options.bootId);
  }

  /** Stops a task, which has `graceS` seconds to write a checkpoint. */
  stop(task: AgentTask, graceS: number): void {
    if (this.simulatedTasks.has(task)) this.simulatedTasks.stop(task, graceS);
    else this.runner.stop(task, graceS);
  }

  /**
   * Records the end of a task on disk, where it stays until the control service has recorded it. Simulated tasks are not
   * recorded: if the end of one is lost because the agent exits, the task is simulated again.
   */
  recordEnd(task: AgentTask): void {
    this.runner.recordEnd(task);
  }

  /**
   * Ends everything that belongs to a task, without reporting its end, and removes its record. The output of its command is
   * kept until it is pruned.
   */
  forget(task: AgentTask): void {
    const isCommand = this.jobs.get(task)?.command != null;
    this.jobs.delete(task);
    this.simulatedTasks.forget(task);
    this.runner.forget(task);
    if (isCommand && ++this.forgottenTasks % pruneIntervalTasks === 0)
      this.options.directory.pruneOutputs(maxKeptOutputs);
  }

  /** Kills leftover processes of this agent that belong to no running task. */
  sweepOrphans(): void {
    this.runner.sweepOrphans();
  }

  /** Stops the executor's timers and all simulated tasks. Commands keep running. */
  close(): void {
    this.runner.close();
    this.simulatedTasks.close();
  }
}
