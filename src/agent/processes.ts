/** Reads the machine's processes from /proc: process groups, memory, and the marks that identify the processes of tasks. */
import { readdirSync, readFileSync } from 'node:fs';

/**
 * The environment variable that holds a process's mark. Processes inherit it, so it identifies all processes of a task, even
 * those that have left the task's process group.
 */
export const markVariable = 'DAPPLEPICK_TASK';
const pageKb = 4;

/** A process of a process group. */
export interface GroupMember {
  pid: number;
  group: number;
  residentMb: number;
}

const pids = (): number[] =>
  readdirSync('/proc')
    .filter((name) => /^\d+$/.test(name))
    .map(Number);

function readProcFile(path: string): string | null {
  try {
    return readFileSync(path, 'latin1');
  } catch {
    // The process has exited meanwhile.
    return null;
  }
}

/** Returns all processes by process group, except zombies. */
export function listProcessesByGroup(): Map<number, GroupMember[]> {
  const byGroup = new Map<number, GroupMember[]>();
  for (const pid of pids()) {
    const stat = readProcFile(`/proc/${pid}/stat`);
    if (stat === null) continue;
    // The process name is in parentheses and may contain any characters.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    if (fields[0] === 'Z' || fields[0] === 'X') continue;
    const group = Number(fields[2]);
    const residentMb = (Number(fields[21]) * pageKb) / 1024;
    const list = byGroup.get(group);
    const member = { pid, group, residentMb };
    if (list) list.push(member);
    else byGroup.set(group, [member]);
  }
  return byGroup;
}

/** Returns the processes whose mark starts with a prefix. */
export function findProcessesByMark(prefix: string): { pid: number; mark: string }[] {
  const found: { pid: number; mark: string }[] = [];
  for (const pid of pids()) {
    const environ = readProcFile(`/proc/${pid}/environ`);
    if (environ === null || environ === '') continue;
    const entry = environ.split('\0').find((variable) => variable.startsWith(`${markVariable}=`));
    const mark = entry?.slice(markVariable.length + 1);
    if (mark?.startsWith(prefix)) found.push({ pid, mark });
  }
  return found;
}

/** Sends a signal to a process, or to a process group if `pid` is negative. Does nothing if it does not exist. */
export function sendSignal(pid: number, name: NodeJS.Signals): void {
  try {
    process.kill(pid, name);
  } catch {
    // The process or group no longer exists.
  }
}

/** Processes that are being started while others are listed can be missed, so they are listed again after a kill, at most this often. */
const maxKillRounds = 5;

/** Kills all processes whose mark starts with a prefix and is selected; returns them. */
export function killProcessesByMark(
  prefix: string,
  isSelected: (mark: string) => boolean,
): { pid: number; mark: string }[] {
  const killed = new Map<number, string>();
  for (let round = 0; round < maxKillRounds; round++) {
    const selected = findProcessesByMark(prefix).filter(({ mark }) => isSelected(mark));
    if (selected.length === 0) break;
    for (const { pid, mark } of selected) {
      killed.set(pid, mark);
      sendSignal(pid, 'SIGKILL');
    }
  }
  return [...killed].map(([pid, mark]) => ({ pid, mark }));
}
