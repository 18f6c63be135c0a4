/** The agent's directory: the agent's own record, and a subdirectory for each start of a task with its record and output. */
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
import type { AgentJob, AgentTask, ResultReason } from '../wire/agent.js';
import { claimTask } from './task-files.js';

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

/** The names of an attempt of a task. */
export type Attempt = Pick<AgentTask, 'job' | 'index' | 'attempt'>;

/**
 * One start of an attempt. The control service may repeat the start of an attempt that the worker has forgotten, so the
 * attempt alone does not identify a command's files and processes.
 */
export interface TaskStart {
  readonly task: Attempt;
  /** The number of the start, from 1; undefined in records of earlier versions, which had one start per attempt. */
  readonly start?: number;
}

/** Why a command is being stopped, and when it is killed, as machine uptime, s. It is stored as part of a task's record. */
export interface Termination {
  readonly reason: ResultReason;
  readonly killAtUptimeS: number;
}

/**
 * The persistent state of a start, from before its command runs until the worker forgets the task: the control service has
 * recorded its end, or the lease has expired. It is stored, so its field names are part of the storage format.
 */
export interface TaskRecord extends TaskStart {
  readonly task: AgentTask;
  job: AgentJob | null;
  /** Missing while the command is not being stopped. */
  termination?: Termination;
  /** When the task was started, as wall-clock time, ms, and as machine uptime, s, because the wall clock may be adjusted. */
  startedAt: number;
  startedUptimeS: number;
  /** The ID of the machine boot during which the task was started. */
  boot: string;
}

const firstStart = 1;
const attemptDirectoryName = ({ job, index, attempt }: Attempt): string => `${job}.${index}.${attempt}`;

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

  /** Returns the directory of a start. */
  startDirectory({ task, start = firstStart }: TaskStart): string {
    const attemptName = attemptDirectoryName(task);
    return join(this.tasksPath, start === firstStart ? attemptName : `${attemptName}.${start}`);
  }

  /** Returns the directory of the newest start of an attempt, or that of its first start if it was never started. */
  taskDirectory(task: Attempt): string {
    return this.startDirectory({ task, start: this.newestStart(task) ?? firstStart });
  }

  /** Creates the directory of a new start of an attempt, which no other start has used; returns the number of the start. */
  createStart(task: Attempt): number {
    const start = (this.newestStart(task) ?? 0) + 1;
    mkdirSync(this.startDirectory({ task, start }), { mode: 0o700 });
    return start;
  }

  /** Returns the number of the newest start of an attempt whose directory exists; null if there is none. */
  private newestStart(task: Attempt): number | null {
    const attemptName = attemptDirectoryName(task);
    const starts = readdirSync(this.tasksPath).flatMap((name) => {
      if (name === attemptName) return [firstStart];
      return name.startsWith(`${attemptName}.`) ? [Number(name.slice(attemptName.length + 1))] : [];
    });
    return starts.length > 0 ? Math.max(...starts) : null;
  }

  /** Writes the record of a task. */
  saveTask(record: TaskRecord): void {
    const dir = this.startDirectory(record);
    mkdirSync(dir, { recursive: true, mode: 0o700 });
    writeAtomically(join(dir, 'task.json'), JSON.stringify(record));
  }

  /** Removes the record of a start whose task the worker has forgotten. The output of its command is kept. */
  removeTaskRecord(start: TaskStart): void {
    const dir = this.startDirectory(start);
    if (!existsSync(dir)) return;
    // The start is claimed, so that a shim process that is scheduled late does not run the command.
    claimTask(dir);
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
