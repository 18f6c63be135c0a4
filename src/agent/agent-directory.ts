/** The agent's directory: the record of the agent, and a directory with record and output for each task. */
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
import type { AgentJob, AgentTask } from '../wire/agent-side.js';

/** What an agent keeps of itself. A stored record: field names are part of the format. */
export interface AgentRecord {
  /** Generated with the directory; distinguishes the agent from others of the same name. */
  id: string;
  /** Its machine's host name in the core; null: not joined. */
  host: string | null;
  session: number;
  token: number;
  /** Where the next block of sequence numbers begins: they are reserved in blocks, so that not each one is written. */
  seqFrom: number;
}

/**
 * What an agent keeps of a task, from before it is started until the control service has recorded its end. A stored record:
 * field names are part of the format.
 */
export interface TaskRecord {
  task: AgentTask;
  job: AgentJob | null;
  /** The time of day when it was started, ms, and the machine's uptime then, s: the time of day may be set. */
  startedAt: number;
  startedUptimeS: number;
  /** The boot of the machine in which it was started. */
  boot: string;
}

/** Writes a file so that it is either complete or, after a crash, as it was before. */
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

/** Reads and writes the files of an agent's directory. */
export class AgentDirectory {
  private readonly tasksPath: string;

  constructor(private readonly path: string) {
    this.tasksPath = join(path, 'tasks');
    mkdirSync(this.tasksPath, { recursive: true, mode: 0o700 });
  }

  /** The agent's record; null in a new directory. */
  loadAgent(): AgentRecord | null {
    const path = join(this.path, 'agent.json');
    return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as AgentRecord) : null;
  }

  /** Writes the agent's record. */
  saveAgent(record: AgentRecord): void {
    writeAtomically(join(this.path, 'agent.json'), JSON.stringify(record));
  }

  /** The directory of a task. */
  taskDirectory(task: { job: string; index: number; attempt: number }): string {
    return join(this.tasksPath, `${task.job}.${task.index}.${task.attempt}`);
  }

  /** Writes the record of a task. */
  saveTask(record: TaskRecord): void {
    const dir = this.taskDirectory(record.task);
    mkdirSync(dir, { recursive: true, mode: 0o700 });
    writeAtomically(join(dir, 'task.json'), JSON.stringify(record));
  }

  /** Removes the record of a task whose end the control service has recorded; its output stays. */
  forgetTask(task: { job: string; index: number; attempt: number }): void {
    const dir = this.taskDirectory(task);
    // The claim stays, so that a shim that is scheduled late does not run the command.
    for (const name of ['task.json', 'pid', 'exit'])
      rmSync(join(dir, name), { recursive: true, force: true });
  }

  /** The records of all tasks. A task without a complete record was never started. */
  loadTasks(): TaskRecord[] {
    const records: TaskRecord[] = [];
    for (const name of readdirSync(this.tasksPath)) {
      const path = join(this.tasksPath, name, 'task.json');
      if (existsSync(path)) records.push(JSON.parse(readFileSync(path, 'utf8')) as TaskRecord);
    }
    return records;
  }

  /** Removes the output of ended tasks, the oldest first, until `maxKept` are left. */
  pruneOutputs(maxKept: number): void {
    const ended = readdirSync(this.tasksPath).filter(
      (n) => !existsSync(join(this.tasksPath, n, 'task.json')),
    );
    if (ended.length <= maxKept) return;
    // A directory was last changed when its record was removed.
    const endedAt = new Map(ended.map((n) => [n, statSync(join(this.tasksPath, n)).mtimeMs]));
    ended.sort((a, b) => endedAt.get(a)! - endedAt.get(b)!);
    for (const name of ended.slice(0, ended.length - maxKept))
      rmSync(join(this.tasksPath, name), { recursive: true, force: true });
  }
}
