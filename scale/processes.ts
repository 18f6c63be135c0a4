/** The processes that a run starts, and their resource usage as read from `/proc`. */
import { fork, spawn, type ChildProcess } from 'node:child_process';
import { openSync, readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

/** The kernel's unit of CPU time in `/proc/PID/stat` (USER_HZ). */
const ticksPerS = 100;
const pageBytes = 4096;
const mb = 1024 * 1024;

/** A child process that generates load, with typed messages in both directions. */
export class GeneratorProcess<In extends object> {
  private constructor(private readonly child: ChildProcess) {}

  /** Forks a module of this directory as a child process. */
  static start<In extends object, Out>(
    module: string,
    receive: (message: Out) => void,
  ): GeneratorProcess<In> {
    const path = fileURLToPath(new URL(`./${module}.js`, import.meta.url));
    const child = fork(path, [], {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      serialization: 'advanced',
    });
    child.on('message', (message) => receive(message as Out));
    return new GeneratorProcess<In>(child);
  }

  get pid(): number {
    return this.child.pid!;
  }

  /** Sends a message, unless the process has ended. */
  send(message: In): void {
    if (this.child.connected) this.child.send(message);
  }

  /** Kills the process. */
  kill(): void {
    this.child.kill('SIGKILL');
  }
}

/** The Node.js flags with which the deploy file runs a controller. */
export function deployedNodeFlags(deployFile: string): string[] {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  const words = run.split(' ');
  return words.slice(1, words.indexOf('target/main.js'));
}

/** A controller process: the deployed program, with the settings file of the run. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  /** Usage of this controller's earlier processes. */
  private earlierUsage: ProcessUsage | null = null;
  /** How often the process has exited without being killed or shut down by the run. */
  unexpectedEnds = 0;

  constructor(
    readonly name: string,
    private readonly args: string[],
    private readonly logFile: string,
  ) {}

  /** Starts the process; also used to restart it after it was killed or shut down. */
  start(): void {
    const log = openSync(this.logFile, 'a');
    const env = { ...process.env, LOG_LEVEL: 'info' };
    const child = spawn(process.execPath, this.args, { stdio: ['ignore', log, log], env });
    this.child = child;
    child.once('exit', () => {
      if (this.child === child) this.unexpectedEnds++;
    });
  }

  /** Combined usage of all processes of this controller; null: none could be read. */
  get usage(): ProcessUsage | null {
    return combinedUsage(this.earlierUsage, readProcessUsage(this.child?.pid ?? null));
  }

  /** Kills the process. */
  kill(): void {
    const { child } = this;
    this.earlierUsage = this.usage;
    this.child = null;
    child?.kill('SIGKILL');
  }

  /** Requests a graceful shutdown (SIGTERM), and kills the process after the timeout. Resolves when it has exited. */
  async shutDown(timeoutMs: number): Promise<void> {
    const { child } = this;
    this.earlierUsage = this.usage;
    this.child = null;
    if (!child) return;
    const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
    await exited;
    clearTimeout(timer);
  }
}

/** Resource usage of a process since its start. */
export interface ProcessUsage {
  cpuS: number;
  residentMb: number;
  bytesIn: number;
  bytesOut: number;
  openFiles: number;
}

/** Adds up the usage of successive processes; memory and open files are those of the last. */
function combinedUsage(before: ProcessUsage | null, last: ProcessUsage | null): ProcessUsage | null {
  if (!before || !last) return last ?? before;
  return {
    ...last,
    cpuS: before.cpuS + last.cpuS,
    bytesIn: before.bytesIn + last.bytesIn,
    bytesOut: before.bytesOut + last.bytesOut,
  };
}

/** Reads the resource usage of a process; null: it does not exist. */
export function readProcessUsage(pid: number | null): ProcessUsage | null {
  if (pid === null) return null;
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // Split after the process name, which may contain spaces. User and system time are fields 14 and 15 of the line.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const io = readFileSync(`/proc/${pid}/io`, 'utf8');
    const ioCounter = (name: string): number => Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(io)![1]);
    return {
      cpuS: (Number(fields[11]) + Number(fields[12])) / ticksPerS,
      residentMb: (Number(fields[21]) * pageBytes) / mb,
      bytesIn: ioCounter('rchar'),
      bytesOut: ioCounter('wchar'),
      openFiles: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return null;
  }
}
