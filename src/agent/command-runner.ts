/** Runs task commands: starts, adopts, stops and forgets them, enforces their limits and determines how they ended. */
import type { ChildProcess } from 'node:child_process';
import { uptime } from 'node:os';
import type { Log } from '../core/effects.js';
import { taskKey } from '../model/job.js';
import { commandForTask } from '../model/task-command.js';
import type { AgentJob, AgentTask, ResultReason, TaskResult } from '../wire/agent.js';
import type { AgentDirectory, TaskRecord, TaskStart } from './agent-directory.js';
import { commandEnd, type CommandEnd } from './command-end.js';
import { findProcessesByMark, killProcessesByMark, listProcessesByGroup, sendSignal } from './processes.js';
import { spawnCommand } from './spawn-command.js';
import { claimTask, readExitCode, readGroupLeader, truncateOutput } from './task-files.js';

/** Callbacks for task events. */
export interface TaskEvents {
  /** Called when a task has ended. `saved`: whether it wrote a checkpoint before it was stopped. */
  ended(task: AgentTask, result: TaskResult, saved: boolean): void;
}

/** The limits that a runner enforces, and the ID of its agent. */
export interface RunnerSettings {
  /** The maximum size of each output file. */
  readonly outputBytes: number;
  /** The interval at which limits are checked, ms. */
  readonly checkIntervalMs: number;
  /** For commands that exceed their wall time: the time between SIGTERM and SIGKILL, s. */
  readonly graceS: number;
  /** The agent's ID: part of the mark of every started process. */
  readonly agentId: string;
}

/** A task whose command is running, or whose processes are being cleaned up. */
interface RunningTask {
  readonly record: TaskRecord;
  readonly job: AgentJob;
  /** The child process; null if an earlier agent process started it, so that this process receives no exit event. */
  child: ChildProcess | null;
  /** The PID of the leader of its process group; null if not known yet. */
  pid: number | null;
  /** Whether its process group was killed because it is being stopped. */
  killed: boolean;
  /** Whether the command has exited and its leftover processes are being cleaned up. */
  exited: boolean;
}

/** Commands that exit within this time are cleaned up together, because each clean-up lists all processes. */
const cleanupDelayMs = 20;

/** Runs commands, each in a process group of its own. */
export class CommandRunner {
  /** The records of all starts whose tasks are not forgotten, ended ones included. */
  private readonly records = new Map<AgentTask, TaskRecord>();
  private readonly running = new Map<AgentTask, RunningTask>();
  /** Commands that have exited and whose leftover processes are yet to be killed. */
  private readonly pendingCleanups = new Map<RunningTask, CommandEnd>();
  private readonly checkTimer: NodeJS.Timeout;
  private cleanupTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly directory: AgentDirectory,
    private readonly settings: RunnerSettings,
    private readonly events: TaskEvents,
    private readonly log: Log,
  ) {
    this.checkTimer = setInterval(() => this.enforceLimits(), settings.checkIntervalMs);
  }

  /** Stops the runner's timers. The commands keep running. */
  close(): void {
    clearInterval(this.checkTimer);
    if (this.cleanupTimer) clearTimeout(this.cleanupTimer);
    for (const running of this.running.values()) running.child?.unref();
  }

  /** Whether no command is running. */
  get idle(): boolean {
    return this.running.size === 0;
  }

  /** Starts the command of a task, in a directory that no earlier start of the same attempt has used. */
  start(task: AgentTask, job: AgentJob, host: string, boot: string): void {
    const record: TaskRecord = {
      task,
      start: this.directory.createStart(task),
      job,
      startedAt: Date.now(),
      startedUptimeS: uptime(),
      boot,
    };
    // The record is written before the start, so that a restarted agent knows that the command may have run.
    this.directory.saveTask(record);
    this.restore(record);
    const command = job.command && commandForTask(job.command, task.index);
    const running = this.track(record, job);
    if (!command) return this.fail(running, 'cannot run');
    const onFailure = (error: Error): void => {
      this.log('warn', 'cannot run', { piece: taskKey(task.job, task.index), error: String(error.message) });
      this.fail(running, 'cannot run');
    };
    try {
      const directory = this.directory.startDirectory(record);
      const child = spawnCommand({ task, command, directory, mark: this.mark(record), host });
      running.child = child;
      running.pid = child.pid ?? null;
      child.on('error', onFailure);
      child.on('exit', (code, signal) => this.onExit(running, code, signal));
    } catch (error) {
      onFailure(error as Error);
    }
  }

  /** Takes over the record of a start from an earlier process of this agent. */
  restore(record: TaskRecord): void {
    this.records.set(record.task, record);
  }

  /** Takes over a task from an earlier process of this agent: its command may be running, have exited, or never have run. */
  adopt(record: TaskRecord, job: AgentJob, boot: string): void {
    const { task } = record;
    this.restore(record);
    const running = this.track(record, job);
    const directory = this.directory.startDirectory(record);
    // If this claim succeeds, the shim has not run the command, and now never will. The task is not started a second time.
    if (claimTask(directory) || record.boot !== boot) return this.fail(running, 'lost');
    running.pid = readGroupLeader(directory);
    this.log('info', 'task adopted', { piece: taskKey(task.job, task.index), pid: running.pid });
    if (readExitCode(directory) !== null || running.pid === null || !this.isAlive(running))
      this.onExit(running, null, null);
  }

  /** Stops a task with SIGTERM, followed by SIGKILL after `graceS`. */
  stop(task: AgentTask, graceS: number): void {
    const running = this.running.get(task);
    if (running) this.terminate(running, 'stopped', graceS);
  }

  /** Records the end of a task on disk, where it stays until the task is forgotten. */
  recordEnd(task: AgentTask): void {
    const record = this.records.get(task);
    if (record) this.directory.saveTask(record);
  }

  /**
   * Forgets a task and removes its record. If its command is still running, it is killed, and its end is not reported. The
   * output of the command is kept.
   */
  forget(task: AgentTask): void {
    const record = this.records.get(task);
    if (!record) return;
    this.records.delete(task);
    const running = this.running.get(task);
    if (running) {
      this.running.delete(task);
      this.pendingCleanups.delete(running);
      if (running.pid !== null) sendSignal(-running.pid, 'SIGKILL');
    }
    this.directory.removeTaskRecord(record);
  }

  /** Kills leftover processes of this agent that belong to no running task, such as those of an earlier epoch. */
  sweepOrphans(): void {
    const runningMarks = new Set([...this.running.values()].map(({ record }) => this.mark(record)));
    const killed = killProcessesByMark(this.markPrefix, (mark) => !runningMarks.has(mark));
    for (const { pid, mark } of killed) this.log('warn', 'orphan process killed', { pid, mark });
  }

  private get markPrefix(): string {
    return `${this.settings.agentId}/`;
  }

  /** Returns the mark of a start's processes. The mark of a first start has no number, as in earlier versions. */
  private mark({ task, start = 1 }: TaskStart): string {
    const attemptMark = `${this.markPrefix}${task.job}/${task.index}/${task.attempt}`;
    return start === 1 ? attemptMark : `${attemptMark}/${start}`;
  }

  private track(record: TaskRecord, job: AgentJob): RunningTask {
    const running = { record, job, child: null, pid: null, killed: false, exited: false };
    this.running.set(record.task, running);
    return running;
  }

  private terminate(running: RunningTask, reason: ResultReason, graceS: number): void {
    const { record } = running;
    if (record.termination) {
      // The task is already being stopped: a second stop without a grace period kills it.
      if (graceS <= 0) this.kill(running);
      return;
    }
    record.termination = { reason, killAtUptimeS: uptime() + graceS };
    if (graceS <= 0 || running.pid === null) return this.kill(running);
    this.recordTermination(record);
    sendSignal(-running.pid, 'SIGTERM');
  }

  /**
   * Records, before the command is told to stop, that it is being stopped: it may exit with code 0 while no agent is running, and
   * is not complete then. A disk that is full does not keep it from being stopped.
   */
  private recordTermination(record: TaskRecord): void {
    try {
      this.directory.saveTask(record);
    } catch (error) {
      const piece = taskKey(record.task.job, record.task.index);
      this.log('warn', 'termination not recorded', { piece, error: String((error as Error).message) });
    }
  }

  private kill(running: RunningTask): void {
    running.killed = true;
    if (running.pid !== null) sendSignal(-running.pid, 'SIGKILL');
    // An adopted task has no exit event.
    if (!running.child) this.onExit(running, null, 'SIGKILL');
  }

  private enforceLimits(): void {
    if (this.running.size === 0) return;
    const groups = listProcessesByGroup();
    for (const running of [...this.running.values()]) {
      if (running.exited) continue;
      const members = running.pid === null ? [] : (groups.get(running.pid) ?? []);
      if (!running.child && members.length === 0) {
        this.onExit(running, null, null);
        continue;
      }
      truncateOutput(this.directory.startDirectory(running.record), this.settings.outputBytes);
      const { termination } = running.record;
      if (termination) {
        if (uptime() >= termination.killAtUptimeS && !running.killed) this.kill(running);
        continue;
      }
      const { wallS } = running.job.command ?? { wallS: null };
      const residentMb = members.reduce((sum, member) => sum + member.residentMb, 0);
      if (wallS !== null && uptime() - running.record.startedUptimeS > wallS)
        this.terminate(running, 'wall time', this.settings.graceS);
      else if (running.job.memGb > 0 && residentMb > running.job.memGb * 1024)
        this.terminate(running, 'memory', 0);
    }
  }

  /** Whether the group leader still is the task's process, and not another process with a reused PID. */
  private isAlive(running: RunningTask): boolean {
    return findProcessesByMark(this.mark(running.record)).some(({ pid }) => pid === running.pid);
  }

  private fail(running: RunningTask, reason: ResultReason): void {
    this.finish(running, { exit: null, signal: null, reason });
  }

  /** Handles the exit of the shim: kills the rest of the command's process group and schedules the clean-up. */
  private onExit(running: RunningTask, code: number | null, signal: NodeJS.Signals | null): void {
    const { record } = running;
    if (running.exited || this.running.get(record.task) !== running) return;
    running.exited = true;
    if (running.pid !== null) sendSignal(-running.pid, 'SIGKILL');
    const end = commandEnd(this.provenExitCode(record, code), record.termination?.reason ?? null, signal);
    this.pendingCleanups.set(running, end);
    this.cleanupTimer ??= setTimeout(() => this.cleanUp(), cleanupDelayMs);
  }

  /**
   * Returns the exit code of a start's command if it is proven: the shim has recorded it, or has at least recorded its PID,
   * which it does right before it runs the command, and has exited with the command's code. `shimCode` is the exit code of the
   * shim if it was a child of this process.
   */
  private provenExitCode(record: TaskRecord, shimCode: number | null): number | null {
    const directory = this.directory.startDirectory(record);
    const commandWasRun = readGroupLeader(directory) !== null;
    return readExitCode(directory) ?? (commandWasRun ? shimCode : null);
  }

  /** Kills processes of exited commands that had left their process groups, and only then reports that the tasks ended. */
  private cleanUp(): void {
    this.cleanupTimer = null;
    const exitedMarks = new Set([...this.pendingCleanups.keys()].map(({ record }) => this.mark(record)));
    killProcessesByMark(this.markPrefix, (mark) => exitedMarks.has(mark));
    const ends = [...this.pendingCleanups];
    this.pendingCleanups.clear();
    for (const [running, end] of ends) this.finish(running, end);
  }

  private finish(running: RunningTask, end: CommandEnd): void {
    const { task, startedAt, startedUptimeS } = running.record;
    if (this.running.get(task) !== running) return;
    this.running.delete(task);
    // Based on the machine's uptime, because the wall clock may have been adjusted meanwhile.
    const endedAt = startedAt + Math.max(0, Math.round((uptime() - startedUptimeS) * 1000));
    const saved = end.reason === 'stopped' && end.exit === 0 && running.job.checkpointS > 0;
    this.events.ended(task, { ...end, startedAt, endedAt }, saved);
  }
}
