/** Spawns a task's command by way of the shim that records its exit code. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, writeSync } from 'node:fs';
import { isAbsolute, join } from 'node:path';
import type { commandForTask } from '../model/task-command.js';
import type { AgentTask } from '../wire/agent.js';
import { markVariable } from './processes.js';
import { shim } from './shim.js';

/** The parameters for spawning a command. */
export interface SpawnRequest {
  readonly task: AgentTask;
  readonly command: ReturnType<typeof commandForTask>;
  /** The directory of the start. */
  readonly directory: string;
  /** The mark of the command's processes. */
  readonly mark: string;
  /** The host name of this machine. */
  readonly host: string;
}

/** Spawns a command in its own process group. If that fails, the error is also written to the command's standard error. */
export function spawnCommand({ task, command, directory, mark, host }: SpawnRequest): ChildProcess {
  let stdoutFd = -1;
  let stderrFd = -1;
  try {
    const cwd = command.dir ?? join(directory, 'work');
    if (command.dir === null) mkdirSync(cwd, { recursive: true });
    const outputPath = (name: string | null, fallback: string): string =>
      name === null ? join(directory, fallback) : isAbsolute(name) ? name : join(cwd, name);
    stdoutFd = openSync(outputPath(command.stdout, 'stdout'), 'a', 0o600);
    stderrFd = openSync(outputPath(command.stderr, 'stderr'), 'a', 0o600);
    return spawn('/bin/sh', ['-c', shim, 'dapplepick', directory, ...command.argv], {
      cwd,
      detached: true,
      stdio: ['ignore', stdoutFd, stderrFd],
      env: {
        ...process.env,
        ...command.env,
        [markVariable]: mark,
        DAPPLEPICK_JOB: task.job,
        DAPPLEPICK_INDEX: String(task.index),
        DAPPLEPICK_ATTEMPT: String(task.attempt),
        DAPPLEPICK_HOST: host,
      },
    });
  } catch (error) {
    if (stderrFd >= 0) writeSync(stderrFd, `${String((error as Error).message)}\n`);
    throw error;
  } finally {
    for (const fd of [stdoutFd, stderrFd]) if (fd >= 0) closeSync(fd);
  }
}
