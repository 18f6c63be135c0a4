import { spawn, type ChildProcess } from 'node:child_process';
import {
  closeSync,
  existsSync,
  ftruncateSync,
  fstatSync,
  mkdirSync,
  openSync,
  readFileSync,
  statSync,
  writeSync,
} from 'node:fs';
import { uptime } from 'node:os';
import { isAbsolute, join } from 'node:path';
import type { Log } from '../core/effects.js';
import { taskKey } from '../model/job.js';
import { commandForTask } from '../model/task-command.js';
import type { AgentJob, HeldTask, ResultReason, TaskResult } from '../wire/agent-side.js';
import { processesByGroup, processesWithMark, markVariable, sendSignal } from './processes.js';
import type { AgentDirectory, TaskRecord } from './agent-directory.js';
import { shim } from './shim.js';

/** What the runner tells of a task. */
export interface TaskEvents {
  ended(task: HeldTask, result: TaskResult, saved: boolean): void;
}

export interface RunnerSettings {
  /** Each output file holds so much at most. */
  outputBytes: number;
  /** How often limits are looked at, ms. */
  checkIntervalMs: number;
  /** Between the signal to end and the one that ends, for commands that are over a limit, s. */
  graceS: number;
  /** In the mark of everything it starts. */
  agentId: string;
}

interface RunningTask {
  record: TaskRecord;
  job: AgentJob;
  child: ChildProcess | null;
  /** The group's leader; null: not known yet. */
  pid: number | null;
  /** Why it is being ended. */
  termination: { reason: ResultReason; killAt: number; killed: boolean } | null;
  /** Its command is over; what it left behind is being looked for. */
  exited: boolean;
}

/** Commands that end within so many ms are cleared up together: looking through all processes costs. */
const cleanupDelayMs = 20;

/** Runs commands, in a process group for each, and sees to it that they keep their limits and end. */
export class CommandRunner {
  private readonly running = new Map<HeldTask, RunningTask>();
  private readonly exits = new Map<RunningTask, Pick<TaskResult, 'exit' | 'signal' | 'reason'>>();
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

  /** Ends what the runner does; what it started goes on. */
  close(): void {
    clearInterval(this.checkTimer);
    if (this.cleanupTimer) clearTimeout(this.cleanupTimer);
    for (const r of this.running.values()) r.child?.unref();
  }

  get idle(): boolean {
    return this.running.size === 0;
  }

  private mark(task: HeldTask): string {
    return `${this.settings.agentId}/${task.job}/${task.index}/${task.attempt}`;
  }

  start(task: HeldTask, job: AgentJob, host: string, boot: string): void {
    const record: TaskRecord = {
      task,
      job,
      startedAt: Date.now(),
      startedUptimeS: uptime(),
      boot,
    };
    // On disk before it runs: whoever comes back knows that it may have.
    this.directory.saveTask(record);
    const command = job.command && commandForTask(job.command, task.index);
    const dir = this.directory.taskDirectory(task);
    const running: RunningTask = { record, job, child: null, pid: null, termination: null, exited: false };
    this.running.set(task, running);
    if (!command) return this.fail(running, 'cannot run');
    let stdoutFd = -1;
    let stderrFd = -1;
    try {
      const cwd = command.dir ?? join(dir, 'work');
      if (command.dir === null) mkdirSync(cwd, { recursive: true });
      const outputPath = (name: string | null, own: string): string =>
        name === null ? join(dir, own) : isAbsolute(name) ? name : join(cwd, name);
      stdoutFd = openSync(outputPath(command.stdout, 'stdout'), 'a', 0o600);
      stderrFd = openSync(outputPath(command.stderr, 'stderr'), 'a', 0o600);
      const child = spawn('/bin/sh', ['-c', shim, 'dapplepick', dir, ...command.argv], {
        cwd,
        detached: true,
        stdio: ['ignore', stdoutFd, stderrFd],
        env: {
          ...process.env,
          ...command.env,
          [markVariable]: this.mark(task),
          DAPPLEPICK_JOB: task.job,
          DAPPLEPICK_INDEX: String(task.index),
          DAPPLEPICK_ATTEMPT: String(task.attempt),
          DAPPLEPICK_HOST: host,
        },
      });
      running.child = child;
      running.pid = child.pid ?? null;
      child.on('error', (error) => {
        this.log('warn', 'cannot run', { piece: taskKey(task.job, task.index), error: error.message });
        this.fail(running, 'cannot run');
      });
      child.on('exit', (code, signal) => this.onExit(running, code, signal));
    } catch (e) {
      this.log('warn', 'cannot run', {
        piece: taskKey(task.job, task.index),
        error: String((e as Error).message),
      });
      if (stderrFd >= 0) writeSync(stderrFd, `${String((e as Error).message)}\n`);
      this.fail(running, 'cannot run');
    } finally {
      for (const fd of [stdoutFd, stderrFd]) if (fd >= 0) closeSync(fd);
    }
  }

  /** A task from before this process began: it runs on, has ended, or never began. */
  adopt(record: TaskRecord, job: AgentJob, boot: string): void {
    const { task } = record;
    const dir = this.directory.taskDirectory(task);
    const running: RunningTask = { record, job, child: null, pid: null, termination: null, exited: false };
    this.running.set(task, running);
    let unclaimed = false;
    try {
      mkdirSync(join(dir, 'claim'));
      unclaimed = true;
    } catch {
      // Its shim was there first: it has run.
    }
    // Guards against running it twice: nobody can begin it any more, and it is not begun here.
    if (unclaimed || record.boot !== boot) return this.fail(running, 'lost');
    running.pid = this.readGroupLeader(running);
    this.log('info', 'task found again', { piece: taskKey(task.job, task.index), pid: running.pid });
    if (this.readExitCode(running) !== null || running.pid === null || !this.isAlive(running))
      this.onExit(running, null, null);
  }

  stop(task: HeldTask, graceS: number): void {
    const running = this.running.get(task);
    if (running) this.terminate(running, 'stopped', graceS);
  }

  /** Processes of ours whose task is not running here: left over from a session that has ended. */
  sweepOrphans(): void {
    const known = new Set([...this.running.keys()].map((t) => this.mark(t)));
    for (const { pid, mark } of processesWithMark(`${this.settings.agentId}/`))
      if (!known.has(mark)) {
        this.log('warn', 'orphan ended', { pid, mark });
        sendSignal(pid, 'SIGKILL');
      }
  }

  private terminate(running: RunningTask, reason: ResultReason, graceS: number): void {
    const now = performance.now();
    if (running.termination) {
      // Told again, and less patiently.
      if (graceS <= 0) this.kill(running);
      return;
    }
    running.termination = { reason, killAt: now + graceS * 1000, killed: false };
    if (graceS <= 0 || running.pid === null) return this.kill(running);
    sendSignal(-running.pid, 'SIGTERM');
  }

  private kill(running: RunningTask): void {
    if (running.termination) running.termination.killed = true;
    if (running.pid !== null) sendSignal(-running.pid, 'SIGKILL');
    // Of a task that was found again no end is told to us.
    if (!running.child) this.onExit(running, null, 'SIGKILL');
  }

  private enforceLimits(): void {
    if (this.running.size === 0) return;
    const groups = processesByGroup();
    const now = performance.now();
    for (const running of [...this.running.values()]) {
      if (running.exited) continue;
      const members = running.pid === null ? [] : (groups.get(running.pid) ?? []);
      if (!running.child && members.length === 0) {
        this.onExit(running, null, null);
        continue;
      }
      this.truncateOutput(running);
      if (running.termination) {
        if (now >= running.termination.killAt && !running.termination.killed) this.kill(running);
        continue;
      }
      const { wallS } = running.job.command ?? { wallS: null };
      const residentMb = members.reduce((sum, p) => sum + p.residentMb, 0);
      if (wallS !== null && uptime() - running.record.startedUptimeS > wallS)
        this.terminate(running, 'wall time', this.settings.graceS);
      else if (running.job.memGb > 0 && residentMb > running.job.memGb * 1024)
        this.terminate(running, 'memory', 0);
    }
  }

  /** Output beyond the limit is cut back: the beginning stays, what comes later follows the cut. */
  private truncateOutput(running: RunningTask): void {
    const dir = this.directory.taskDirectory(running.record.task);
    for (const name of ['stdout', 'stderr']) {
      const path = join(dir, name);
      if (!existsSync(path) || statSync(path).size <= this.settings.outputBytes) continue;
      const fd = openSync(path, 'r+');
      try {
        const half = Math.floor(this.settings.outputBytes / 2);
        ftruncateSync(fd, half);
        writeSync(
          fd,
          `\n[output over ${this.settings.outputBytes} bytes was cut here]\n`,
          fstatSync(fd).size,
        );
      } finally {
        closeSync(fd);
      }
    }
  }

  private readGroupLeader(running: RunningTask): number | null {
    const path = join(this.directory.taskDirectory(running.record.task), 'pid');
    const pid = existsSync(path) ? Number(readFileSync(path, 'latin1')) : NaN;
    return Number.isInteger(pid) && pid > 1 ? pid : null;
  }

  /** Guards against the number that has been given to another process since. */
  private isAlive(running: RunningTask): boolean {
    return processesWithMark(this.mark(running.record.task)).some((p) => p.pid === running.pid);
  }

  private readExitCode(running: RunningTask): number | null {
    const path = join(this.directory.taskDirectory(running.record.task), 'exit');
    return existsSync(path) ? Number(readFileSync(path, 'latin1')) : null;
  }

  private fail(running: RunningTask, reason: ResultReason): void {
    this.finish(running, { exit: null, signal: null, reason });
  }

  /** The shim has ended: what the command left behind is ended, too. */
  private onExit(running: RunningTask, code: number | null, signal: NodeJS.Signals | null): void {
    if (running.exited || !this.running.has(running.record.task)) return;
    running.exited = true;
    if (running.pid !== null) sendSignal(-running.pid, 'SIGKILL');
    const recorded = this.readExitCode(running);
    const exit = recorded ?? code;
    const reason = running.termination?.reason ?? (exit === null ? 'lost' : 'exited');
    // A shell tells a signal by 128 more than its number.
    if (exit !== null && exit > 128 && exit <= 192)
      this.exits.set(running, { exit: null, signal: signalName(exit - 128), reason });
    else
      this.exits.set(running, {
        exit,
        signal: exit === null ? (signal ?? (running.termination ? 'SIGKILL' : null)) : null,
        reason,
      });
    this.cleanupTimer ??= setTimeout(() => this.cleanUp(), cleanupDelayMs);
  }

  /** Ends what has left the groups of commands that are over, and only then tells of their ends. */
  private cleanUp(): void {
    this.cleanupTimer = null;
    const exitedMarks = new Set([...this.exits.keys()].map((r) => this.mark(r.record.task)));
    for (const { pid, mark } of processesWithMark(`${this.settings.agentId}/`))
      if (exitedMarks.has(mark)) sendSignal(pid, 'SIGKILL');
    const exits = [...this.exits];
    this.exits.clear();
    for (const [r, how] of exits) this.finish(r, how);
  }

  private finish(running: RunningTask, end: Pick<TaskResult, 'exit' | 'signal' | 'reason'>): void {
    const { task, startedAt, startedUptimeS } = running.record;
    if (!this.running.delete(task)) return;
    // By the steady clock: the time of day may have jumped.
    const endedAt = startedAt + Math.max(0, Math.round((uptime() - startedUptimeS) * 1000));
    const saved = end.reason === 'stopped' && end.exit === 0 && running.job.checkpointS > 0;
    this.events.ended(task, { ...end, startedAt, endedAt }, saved);
  }
}

const signalNames: Record<number, string> = {
  1: 'SIGHUP',
  2: 'SIGINT',
  3: 'SIGQUIT',
  4: 'SIGILL',
  6: 'SIGABRT',
  8: 'SIGFPE',
  9: 'SIGKILL',
  11: 'SIGSEGV',
  13: 'SIGPIPE',
  14: 'SIGALRM',
  15: 'SIGTERM',
};
const signalName = (number: number): string => signalNames[number] ?? `signal ${number}`;
