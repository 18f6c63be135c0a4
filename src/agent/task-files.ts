/** Reads and writes the files that a task's shim and command create in the task's directory. */
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
import { join } from 'node:path';

/** Returns the PID of the process group leader that the shim recorded; null if there is none yet. */
export function readGroupLeader(directory: string): number | null {
  const path = join(directory, 'pid');
  const pid = existsSync(path) ? Number(readFileSync(path, 'latin1')) : NaN;
  return Number.isInteger(pid) && pid > 1 ? pid : null;
}

/**
 * Returns the exit code that the shim recorded; null if there is no complete record. After a crash of the machine the file may
 * be empty, which does not prove any exit code.
 */
export function readExitCode(directory: string): number | null {
  const path = join(directory, 'exit');
  const text = existsSync(path) ? readFileSync(path, 'latin1').trim() : '';
  return /^\d+$/.test(text) ? Number(text) : null;
}

/** Claims the right to run a start, as its shim does before it runs the command; false if it cannot be claimed. */
export function claimTask(directory: string): boolean {
  try {
    mkdirSync(join(directory, 'claim'));
    return true;
  } catch {
    return false;
  }
}

/** Truncates output files that exceed the limit to half of it, and appends a notice; later output follows the notice. */
export function truncateOutput(directory: string, maxBytes: number): void {
  for (const name of ['stdout', 'stderr']) {
    const path = join(directory, name);
    if (!existsSync(path) || statSync(path).size <= maxBytes) continue;
    const fd = openSync(path, 'r+');
    try {
      ftruncateSync(fd, Math.floor(maxBytes / 2));
      writeSync(fd, `\n[output over ${maxBytes} bytes was cut here]\n`, fstatSync(fd).size);
    } finally {
      closeSync(fd);
    }
  }
}
