import { readdirSync, readFileSync } from 'node:fs';

/** In the environment of everything that a task starts: also what leaves its group can be told to be its. */
export const markName = 'DAPPLEPICK_TASK';
const pageKb = 4;

interface Process {
  pid: number;
  group: number;
  residentMb: number;
}

const pids = (): number[] =>
  readdirSync('/proc')
    .filter((n) => /^\d+$/.test(n))
    .map(Number);

function read(path: string): string | null {
  try {
    return readFileSync(path, 'latin1');
  } catch {
    // It has ended meanwhile.
    return null;
  }
}

/** All processes by group, with what they hold. Zombies are not counted: they are over. */
export function groups(): Map<number, Process[]> {
  const by = new Map<number, Process[]>();
  for (const pid of pids()) {
    const stat = read(`/proc/${pid}/stat`);
    if (stat === null) continue;
    // The name is in brackets and may hold anything.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    if (fields[0] === 'Z' || fields[0] === 'X') continue;
    const group = Number(fields[2]);
    const residentMb = (Number(fields[21]) * pageKb) / 1024;
    const list = by.get(group);
    const p = { pid, group, residentMb };
    if (list) list.push(p);
    else by.set(group, [p]);
  }
  return by;
}

/** Processes that carry a mark beginning with this. */
export function marked(prefix: string): { pid: number; mark: string }[] {
  const found: { pid: number; mark: string }[] = [];
  for (const pid of pids()) {
    const environ = read(`/proc/${pid}/environ`);
    if (environ === null || environ === '') continue;
    const entry = environ.split('\0').find((e) => e.startsWith(`${markName}=`));
    const mark = entry?.slice(markName.length + 1);
    if (mark?.startsWith(prefix)) found.push({ pid, mark });
  }
  return found;
}

export function signal(pid: number, name: NodeJS.Signals): void {
  try {
    process.kill(pid, name);
  } catch {
    // Nobody is left.
  }
}
