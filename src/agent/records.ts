import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import type { AgentJob, HeldTask } from '../wire/agent-side.js';

/** What an agent knows of itself. */
export interface AgentRecord {
  id: string;
  host: string | null;
  session: number;
  token: number;
  /** Reports are numbered in blocks, so that not each number has to be written: the next block begins here. */
  seqFrom: number;
}

/** What an agent keeps of a task, from before it is started until the control service has recorded its end. */
export interface TaskRecord {
  task: HeldTask;
  job: AgentJob | null;
  /** Time of day of its start, ms, and the machine's uptime then, s: the first may jump. */
  startedAt: number;
  startedUptimeS: number;
  /** The machine's boot in which it was started. */
  boot: string;
}

/** A file has its name only once it is whole and on disk. */
function writeWhole(path: string, text: string): void {
  const part = `${path}.part`;
  const file = openSync(part, 'w', 0o600);
  try {
    writeSync(file, text);
    fsyncSync(file);
  } finally {
    closeSync(file);
  }
  renameSync(part, path);
}

/** The agent's directory: one file of its own, one directory for each task. */
export class Records {
  private readonly tasksDir: string;

  constructor(private readonly dir: string) {
    this.tasksDir = join(dir, 'tasks');
    mkdirSync(this.tasksDir, { recursive: true, mode: 0o700 });
  }

  loadSelf(): AgentRecord | null {
    const path = join(this.dir, 'agent.json');
    return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as AgentRecord) : null;
  }

  saveSelf(r: AgentRecord): void {
    writeWhole(join(this.dir, 'agent.json'), JSON.stringify(r));
  }

  /** Where a task's files are. */
  dirOf(t: { job: string; index: number; attempt: number }): string {
    return join(this.tasksDir, `${t.job}.${t.index}.${t.attempt}`);
  }

  save(r: TaskRecord): void {
    const dir = this.dirOf(r.task);
    mkdirSync(dir, { recursive: true, mode: 0o700 });
    writeWhole(join(dir, 'task.json'), JSON.stringify(r));
  }

  /** Its end is recorded elsewhere: only its output stays. */
  forget(t: { job: string; index: number; attempt: number }): void {
    const dir = this.dirOf(t);
    // The claim stays: a shim that comes late must still find it.
    for (const name of ['task.json', 'pid', 'exit'])
      rmSync(join(dir, name), { recursive: true, force: true });
  }

  /** All tasks that were not forgotten. One whose record is not whole was never started. */
  load(): TaskRecord[] {
    const all: TaskRecord[] = [];
    for (const name of readdirSync(this.tasksDir)) {
      const path = join(this.tasksDir, name, 'task.json');
      if (existsSync(path)) all.push(JSON.parse(readFileSync(path, 'utf8')) as TaskRecord);
    }
    return all;
  }

  /** Output directories of tasks that are over, oldest first, beyond so many, go. */
  prune(keep: number): void {
    const over = readdirSync(this.tasksDir).filter((n) => !existsSync(join(this.tasksDir, n, 'task.json')));
    if (over.length <= keep) return;
    // Last changed when its record went: that is how long it has been over.
    const since = new Map(over.map((n) => [n, statSync(join(this.tasksDir, n)).mtimeMs]));
    over.sort((a, b) => since.get(a)! - since.get(b)!);
    for (const name of over.slice(0, over.length - keep))
      rmSync(join(this.tasksDir, name), { recursive: true, force: true });
  }
}
