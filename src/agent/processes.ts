/** The machine's processes, as /proc shows them: groups, memory, and the marks by which tasks' processes are found. */
import { readdirSync, readFileSync } from 'node:fs';

/** The environment variable that marks all processes of a task, also those that have left its process group. */
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
    .filter((n) => /^\d+$/.test(n))
    .map(Number);

function readProcFile(path: string): string | null {
  try {
    return readFileSync(path, 'latin1');
  } catch {
    // The process has ended meanwhile.
    return null;
  }
}

/** All processes by process group, without zombies. */
export function processesByGroup(): Map<number, GroupMember[]> {
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

/** The processes whose mark begins with this prefix. */
export function processesWithMark(prefix: string): { pid: number; mark: string }[] {
  const found: { pid: number; mark: string }[] = [];
  for (const pid of pids()) {
    const environ = readProcFile(`/proc/${pid}/environ`);
    if (environ === null || environ === '') continue;
    const entry = environ.split('\0').find((e) => e.startsWith(`${markVariable}=`));
    const mark = entry?.slice(markVariable.length + 1);
    if (mark?.startsWith(prefix)) found.push({ pid, mark });
  }
  return found;
}

/** Sends a signal to a process, or to a group by its negative ID; without effect if there is none. */
export function sendSignal(pid: number, name: NodeJS.Signals): void {
  try {
    process.kill(pid, name);
  } catch {
    // There is no such process any more.
  }
}
