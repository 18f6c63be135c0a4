/** The processes that a run starts: each is ended with it; what they use of the machine. */
import { fork, spawn, type ChildProcess } from 'node:child_process';
import { openSync, readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

/** What the kernel counts a second of processor time in. */
const ticksPerS = 100;
const pageBytes = 4096;
const mb = 1024 * 1024;

/** A process that generates load, with typed messages both ways. */
export class Generator<In extends object> {
  private constructor(private readonly child: ChildProcess) {}

  /** Starts a module of this folder as a process of its own. */
  static start<In extends object, Out>(module: string, receive: (message: Out) => void): Generator<In> {
    const path = fileURLToPath(new URL(`./${module}.js`, import.meta.url));
    const child = fork(path, [], {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      serialization: 'advanced',
    });
    child.on('message', (message) => receive(message as Out));
    return new Generator<In>(child);
  }

  get pid(): number {
    return this.child.pid!;
  }

  /** Sends a message, unless the process has ended. */
  send(message: In): void {
    if (this.child.connected) this.child.send(message);
  }

  /** Ends the process at once. */
  kill(): void {
    this.child.kill('SIGKILL');
  }
}

/** How the deploy file runs a controller: the arguments of Node.js before the program's own. */
export function deployedNodeFlags(deployFile: string): string[] {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  const words = run.split(' ');
  return words.slice(1, words.indexOf('target/main.js'));
}

/** A controller: the program as it is deployed, on the settings file of the run. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  /** What its earlier processes have used. */
  private earlierUsage: ProcessUsage | null = null;
  /** It ended although nobody asked it to. */
  unexpectedEnds = 0;

  constructor(
    readonly name: string,
    private readonly args: string[],
    private readonly logFile: string,
  ) {}

  /** Starts the controller's process, also again after it was killed. */
  start(): void {
    const log = openSync(this.logFile, 'a');
    const env = { ...process.env, LOG_LEVEL: 'info' };
    const child = spawn(process.execPath, this.args, { stdio: ['ignore', log, log], env });
    this.child = child;
    child.once('exit', () => {
      if (this.child === child) this.unexpectedEnds++;
    });
  }

  /** What all its processes have used together. */
  get usage(): ProcessUsage | null {
    return combinedUsage(this.earlierUsage, readProcessUsage(this.child?.pid ?? null));
  }

  kill(): void {
    const { child } = this;
    this.earlierUsage = this.usage;
    this.child = null;
    child?.kill('SIGKILL');
  }

  /** Asks it to leave in order; resolves when it is gone. */
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

/** What a process has used of the machine since it began. */
export interface ProcessUsage {
  cpuS: number;
  residentMb: number;
  bytesIn: number;
  bytesOut: number;
  openFiles: number;
}

/** What one process after another has used; what the last holds. */
function combinedUsage(before: ProcessUsage | null, last: ProcessUsage | null): ProcessUsage | null {
  if (!before || !last) return last ?? before;
  return {
    ...last,
    cpuS: before.cpuS + last.cpuS,
    bytesIn: before.bytesIn + last.bytesIn,
    bytesOut: before.bytesOut + last.bytesOut,
  };
}

/** What a process has used so far; null: it is gone. */
export function readProcessUsage(pid: number | null): ProcessUsage | null {
  if (pid === null) return null;
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // Behind the name, which may hold spaces: user and system time are the fields 14 and 15 of the line.
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
