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
import { groups, marked, markName, signal } from './processes.js';
import type { Records, TaskRecord } from './records.js';
import { shim } from './shim.js';

/** What the runner tells of a task. */
export interface RunnerEvents {
  ended(task: HeldTask, result: TaskResult, saved: boolean): void;
}

export interface RunnerSettings {
  /** Each output file holds so much at most. */
  outputBytes: number;
  /** How often limits are looked at, ms. */
  lookMs: number;
  /** Between the signal to end and the one that ends, for commands that are over a limit, s. */
  graceS: number;
  /** In the mark of everything it starts. */
  agentId: string;
}

interface Running {
  record: TaskRecord;
  job: AgentJob;
  child: ChildProcess | null;
  /** The group's leader; null: not known yet. */
  pid: number | null;
  /** Why it is being ended. */
  ending: { reason: ResultReason; killAt: number; killed: boolean } | null;
  /** Its command is over; what it left behind is being looked for. */
  over: boolean;
}

/** Commands that end within so many ms are cleared up together: looking through all processes costs. */
const togetherMs = 20;

/** Runs commands, in a process group for each, and sees to it that they keep their limits and end. */
export class Runner {
  private readonly running = new Map<HeldTask, Running>();
  private readonly leaving = new Map<Running, Pick<TaskResult, 'exit' | 'signal' | 'reason'>>();
  private readonly timer: NodeJS.Timeout;
  private clearing: NodeJS.Timeout | null = null;

  constructor(
    private readonly records: Records,
    private readonly settings: RunnerSettings,
    private readonly events: RunnerEvents,
    private readonly log: Log,
  ) {
    this.timer = setInterval(() => this.look(), settings.lookMs);
  }

  /** Ends what the runner does; what it started goes on. */
  close(): void {
    clearInterval(this.timer);
    if (this.clearing) clearTimeout(this.clearing);
    for (const r of this.running.values()) r.child?.unref();
  }

  get idle(): boolean {
    return this.running.size === 0;
  }

  private mark(t: HeldTask): string {
    return `${this.settings.agentId}/${t.job}/${t.index}/${t.attempt}`;
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
    this.records.save(record);
    const command = job.command && commandForTask(job.command, task.index);
    const dir = this.records.dirOf(task);
    const r: Running = { record, job, child: null, pid: null, ending: null, over: false };
    this.running.set(task, r);
    if (!command) return this.fail(r, 'cannot run');
    let out = -1;
    let err = -1;
    try {
      const cwd = command.dir ?? join(dir, 'work');
      if (command.dir === null) mkdirSync(cwd, { recursive: true });
      const file = (name: string | null, own: string): string =>
        name === null ? join(dir, own) : isAbsolute(name) ? name : join(cwd, name);
      out = openSync(file(command.stdout, 'stdout'), 'a', 0o600);
      err = openSync(file(command.stderr, 'stderr'), 'a', 0o600);
      const child = spawn('/bin/sh', ['-c', shim, 'dapplepick', dir, ...command.argv], {
        cwd,
        detached: true,
        stdio: ['ignore', out, err],
        env: {
          ...process.env,
          ...command.env,
          [markName]: this.mark(task),
          DAPPLEPICK_JOB: task.job,
          DAPPLEPICK_INDEX: String(task.index),
          DAPPLEPICK_ATTEMPT: String(task.attempt),
          DAPPLEPICK_HOST: host,
        },
      });
      r.child = child;
      r.pid = child.pid ?? null;
      child.on('error', (e) => {
        this.log('warn', 'cannot run', { piece: taskKey(task.job, task.index), error: e.message });
        this.fail(r, 'cannot run');
      });
      child.on('exit', (code, sig) => this.over(r, code, sig));
    } catch (e) {
      this.log('warn', 'cannot run', {
        piece: taskKey(task.job, task.index),
        error: String((e as Error).message),
      });
      if (err >= 0) writeSync(err, `${String((e as Error).message)}\n`);
      this.fail(r, 'cannot run');
    } finally {
      for (const fd of [out, err]) if (fd >= 0) closeSync(fd);
    }
  }

  /** A task from before this process began: it runs on, has ended, or never began. */
  adopt(record: TaskRecord, job: AgentJob, boot: string): void {
    const { task } = record;
    const dir = this.records.dirOf(task);
    const r: Running = { record, job, child: null, pid: null, ending: null, over: false };
    this.running.set(task, r);
    let unclaimed = false;
    try {
      mkdirSync(join(dir, 'claim'));
      unclaimed = true;
    } catch {
      // Its shim was there first: it has run.
    }
    // Guards against running it twice: nobody can begin it any more, and it is not begun here.
    if (unclaimed || record.boot !== boot) return this.fail(r, 'lost');
    r.pid = this.leader(r);
    this.log('info', 'task found again', { piece: taskKey(task.job, task.index), pid: r.pid });
    if (this.exitCode(r) !== null || r.pid === null || !this.lives(r)) this.over(r, null, null);
  }

  stop(task: HeldTask, graceS: number): void {
    const r = this.running.get(task);
    if (r) this.end(r, 'stopped', graceS);
  }

  /** Processes of ours whose task is not running here: left over from a session that has ended. */
  sweepOrphans(): void {
    const known = new Set([...this.running.keys()].map((t) => this.mark(t)));
    for (const { pid, mark } of marked(`${this.settings.agentId}/`))
      if (!known.has(mark)) {
        this.log('warn', 'orphan ended', { pid, mark });
        signal(pid, 'SIGKILL');
      }
  }

  private end(r: Running, reason: ResultReason, graceS: number): void {
    const now = performance.now();
    if (r.ending) {
      // Told again, and less patiently.
      if (graceS <= 0) this.kill(r);
      return;
    }
    r.ending = { reason, killAt: now + graceS * 1000, killed: false };
    if (graceS <= 0 || r.pid === null) return this.kill(r);
    signal(-r.pid, 'SIGTERM');
  }

  private kill(r: Running): void {
    if (r.ending) r.ending.killed = true;
    if (r.pid !== null) signal(-r.pid, 'SIGKILL');
    // Of a task that was found again no end is told to us.
    if (!r.child) this.over(r, null, 'SIGKILL');
  }

  private look(): void {
    if (this.running.size === 0) return;
    const by = groups();
    const now = performance.now();
    for (const r of [...this.running.values()]) {
      if (r.over) continue;
      const members = r.pid === null ? [] : (by.get(r.pid) ?? []);
      if (!r.child && members.length === 0) {
        this.over(r, null, null);
        continue;
      }
      this.keepOutput(r);
      if (r.ending) {
        if (now >= r.ending.killAt && !r.ending.killed) this.kill(r);
        continue;
      }
      const { wallS } = r.job.command ?? { wallS: null };
      const heldMb = members.reduce((sum, p) => sum + p.residentMb, 0);
      if (wallS !== null && uptime() - r.record.startedUptimeS > wallS)
        this.end(r, 'wall time', this.settings.graceS);
      else if (r.job.memGb > 0 && heldMb > r.job.memGb * 1024) this.end(r, 'memory', 0);
    }
  }

  /** Output beyond the limit is cut back: the beginning stays, what comes later follows the cut. */
  private keepOutput(r: Running): void {
    const dir = this.records.dirOf(r.record.task);
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

  private leader(r: Running): number | null {
    const path = join(this.records.dirOf(r.record.task), 'pid');
    const pid = existsSync(path) ? Number(readFileSync(path, 'latin1')) : NaN;
    return Number.isInteger(pid) && pid > 1 ? pid : null;
  }

  /** Guards against the number that has been given to another process since. */
  private lives(r: Running): boolean {
    return marked(this.mark(r.record.task)).some((p) => p.pid === r.pid);
  }

  private exitCode(r: Running): number | null {
    const path = join(this.records.dirOf(r.record.task), 'exit');
    return existsSync(path) ? Number(readFileSync(path, 'latin1')) : null;
  }

  private fail(r: Running, reason: ResultReason): void {
    this.finish(r, { exit: null, signal: null, reason });
  }

  /** The shim has ended: what the command left behind is ended, too. */
  private over(r: Running, code: number | null, sig: NodeJS.Signals | null): void {
    if (r.over || !this.running.has(r.record.task)) return;
    r.over = true;
    if (r.pid !== null) signal(-r.pid, 'SIGKILL');
    const written = this.exitCode(r);
    const exit = written ?? code;
    const reason = r.ending?.reason ?? (exit === null ? 'lost' : 'exited');
    // A shell tells a signal by 128 more than its number.
    if (exit !== null && exit > 128 && exit <= 192)
      this.leaving.set(r, { exit: null, signal: signalName(exit - 128), reason });
    else
      this.leaving.set(r, {
        exit,
        signal: exit === null ? (sig ?? (r.ending ? 'SIGKILL' : null)) : null,
        reason,
      });
    this.clearing ??= setTimeout(() => this.clearUp(), togetherMs);
  }

  /** Ends what has left the groups of commands that are over, and only then tells of their ends. */
  private clearUp(): void {
    this.clearing = null;
    const over = new Set([...this.leaving.keys()].map((r) => this.mark(r.record.task)));
    for (const { pid, mark } of marked(`${this.settings.agentId}/`))
      if (over.has(mark)) signal(pid, 'SIGKILL');
    const all = [...this.leaving];
    this.leaving.clear();
    for (const [r, how] of all) this.finish(r, how);
  }

  private finish(r: Running, how: Pick<TaskResult, 'exit' | 'signal' | 'reason'>): void {
    const { task, startedAt, startedUptimeS } = r.record;
    if (!this.running.delete(task)) return;
    // By the steady clock: the time of day may have jumped.
    const endedAt = startedAt + Math.max(0, Math.round((uptime() - startedUptimeS) * 1000));
    const saved = how.reason === 'stopped' && how.exit === 0 && r.job.checkpointS > 0;
    this.events.ended(task, { ...how, startedAt, endedAt }, saved);
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
const signalName = (n: number): string => signalNames[n] ?? `signal ${n}`;
