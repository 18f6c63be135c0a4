import { readdirSync, readFileSync } from 'node:fs';

/** In the environment of everything that a task starts: also what leaves its group can be told to be its. */
export const markVariable = 'DAPPLEPICK_TASK';
const pageKb = 4;

interface GroupMember {
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
    // It has ended meanwhile.
    return null;
  }
}

/** All processes by group, with what they hold. Zombies are not counted: they are over. */
export function processesByGroup(): Map<number, GroupMember[]> {
  const byGroup = new Map<number, GroupMember[]>();
  for (const pid of pids()) {
    const stat = readProcFile(`/proc/${pid}/stat`);
    if (stat === null) continue;
    // The name is in brackets and may hold anything.
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

/** Processes that carry a mark beginning with this. */
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

export function sendSignal(pid: number, name: NodeJS.Signals): void {
  try {
    process.kill(pid, name);
  } catch {
    // Nobody is left.
  }
}
