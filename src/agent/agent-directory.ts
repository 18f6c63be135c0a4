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
function writeAtomically(path: string, text: string): void {
  const temporaryPath = `${path}.part`;
  const file = openSync(temporaryPath, 'w', 0o600);
  try {
    writeSync(file, text);
    fsyncSync(file);
  } finally {
    closeSync(file);
  }
  renameSync(temporaryPath, path);
}

/** The agent's directory: one file of its own, one directory for each task. */
export class AgentDirectory {
  private readonly tasksPath: string;

  constructor(private readonly path: string) {
    this.tasksPath = join(path, 'tasks');
    mkdirSync(this.tasksPath, { recursive: true, mode: 0o700 });
  }

  loadAgent(): AgentRecord | null {
    const path = join(this.path, 'agent.json');
    return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as AgentRecord) : null;
  }

  saveAgent(record: AgentRecord): void {
    writeAtomically(join(this.path, 'agent.json'), JSON.stringify(record));
  }

  /** Where a task's files are. */
  taskDirectory(task: { job: string; index: number; attempt: number }): string {
    return join(this.tasksPath, `${task.job}.${task.index}.${task.attempt}`);
  }

  saveTask(record: TaskRecord): void {
    const dir = this.taskDirectory(record.task);
    mkdirSync(dir, { recursive: true, mode: 0o700 });
    writeAtomically(join(dir, 'task.json'), JSON.stringify(record));
  }

  /** Its end is recorded elsewhere: only its output stays. */
  forgetTask(task: { job: string; index: number; attempt: number }): void {
    const dir = this.taskDirectory(task);
    // The claim stays: a shim that comes late must still find it.
    for (const name of ['task.json', 'pid', 'exit'])
      rmSync(join(dir, name), { recursive: true, force: true });
  }

  /** All tasks that were not forgotten. One whose record is not whole was never started. */
  loadTasks(): TaskRecord[] {
    const records: TaskRecord[] = [];
    for (const name of readdirSync(this.tasksPath)) {
      const path = join(this.tasksPath, name, 'task.json');
      if (existsSync(path)) records.push(JSON.parse(readFileSync(path, 'utf8')) as TaskRecord);
    }
    return records;
  }

  /** Output directories of tasks that are over, oldest first, beyond so many, go. */
  pruneOutputs(maxKept: number): void {
    const ended = readdirSync(this.tasksPath).filter(
      (n) => !existsSync(join(this.tasksPath, n, 'task.json')),
    );
    if (ended.length <= maxKept) return;
    // Last changed when its record went: that is how long it has been over.
    const endedAt = new Map(ended.map((n) => [n, statSync(join(this.tasksPath, n)).mtimeMs]));
    ended.sort((a, b) => endedAt.get(a)! - endedAt.get(b)!);
    for (const name of ended.slice(0, ended.length - maxKept))
      rmSync(join(this.tasksPath, name), { recursive: true, force: true });
  }
}
