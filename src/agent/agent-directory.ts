/** The agent's directory: the agent's own record, and a subdirectory for each task with the task's record and output. */
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
import type { AgentJob, AgentTask } from '../wire/agent.js';

/** The agent's own persistent state. It is stored, so its field names are part of the storage format. */
export interface AgentRecord {
  /** Generated when the directory is created; distinguishes the agent from others with the same name. */
  id: string;
  /** The host name of the agent's machine in the core; null if the agent has not joined. */
  host: string | null;
  /** The agent's current epoch. */
  session: number;
  /** The highest fencing token seen. */
  token: number;
  /** The first sequence number of the next block: numbers are reserved in blocks, so that not every one is written. */
  seqFrom: number;
}

/**
 * The persistent state of a task, from before it is started until the control service has recorded its end. It is stored, so
 * its field names are part of the storage format.
 */
export interface TaskRecord {
  task: AgentTask;
  job: AgentJob | null;
  /** When the task was started, as wall-clock time, ms, and as machine uptime, s, because the wall clock may be adjusted. */
  startedAt: number;
  startedUptimeS: number;
  /** The ID of the machine boot during which the task was started. */
  boot: string;
}

/** Writes a file atomically: after a crash it has either the new or the previous contents. */
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

  /** Reads the agent's record; null in a new directory. */
  loadAgent(): AgentRecord | null {
    const path = join(this.path, 'agent.json');
    return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as AgentRecord) : null;
  }

  /** Writes the agent's record. */
  saveAgent(record: AgentRecord): void {
    writeAtomically(join(this.path, 'agent.json'), JSON.stringify(record));
  }

  /** Returns the directory of a task attempt. */
  taskDirectory(task: { job: string; index: number; attempt: number }): string {
    return join(this.tasksPath, `${task.job}.${task.index}.${task.attempt}`);
  }

  /** Writes the record of a task. */
  saveTask(record: TaskRecord): void {
    const dir = this.taskDirectory(record.task);
    mkdirSync(dir, { recursive: true, mode: 0o700 });
    writeAtomically(join(dir, 'task.json'), JSON.stringify(record));
  }

  /** Removes the record of a task whose end the control service has recorded. The task's output is kept. */
  removeTaskRecord(task: { job: string; index: number; attempt: number }): void {
    const dir = this.taskDirectory(task);
    // The claim is kept, so that a shim process that is scheduled late does not run the command.
    for (const name of ['task.json', 'pid', 'exit'])
      rmSync(join(dir, name), { recursive: true, force: true });
  }

  /** Reads the records of all tasks. A task without a complete record was never started. */
  loadTasks(): TaskRecord[] {
    const records: TaskRecord[] = [];
    for (const name of readdirSync(this.tasksPath)) {
      const path = join(this.tasksPath, name, 'task.json');
      if (existsSync(path)) records.push(JSON.parse(readFileSync(path, 'utf8')) as TaskRecord);
    }
    return records;
  }

  /** Removes the output of ended tasks, those that ended first before others, until at most `maxKept` are left. */
  pruneOutputs(maxKept: number): void {
    const ended = readdirSync(this.tasksPath).filter(
      (name) => !existsSync(join(this.tasksPath, name, 'task.json')),
    );
    if (ended.length <= maxKept) return;
    // A task's directory is last modified when its record is removed.
    const endedAt = new Map(ended.map((name) => [name, statSync(join(this.tasksPath, name)).mtimeMs]));
    ended.sort((a, b) => endedAt.get(a)! - endedAt.get(b)!);
    for (const name of ended.slice(0, ended.length - maxKept))
      rmSync(join(this.tasksPath, name), { recursive: true, force: true });
  }
}
