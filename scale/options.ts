/** Command-line options of a scale run, and the check that this machine has the capacity for it. */
import { readFileSync } from 'node:fs';
import { freemem, totalmem } from 'node:os';
import { Command, InvalidArgumentError, Option } from 'commander';

/** The faults that a run can inject. */
export const faultNames = ['owner', 'leader', 'roll', 'state', 'tenth', 'zone'] as const;
/** A fault that a run can inject. */
export type FaultName = (typeof faultNames)[number];

/** The options of a scale run, as given on the command line. */
export interface ScaleOptions {
  workers: number;
  startsPerS: number;
  tasksPerJob: number;
  cells: number;
  seconds: number;
  faults: FaultName[];
  writesPerS: number;
  requestsPerS: number;
  memoryMb: number;
  /** Path of a file with operator settings for the controllers; null: the defaults. */
  operators: string | null;
  /** Path to which the results are written as JSON; null: not written. */
  json: string | null;
  seed: number;
  keepLogs: boolean;
}

/** Planned number of running tasks per worker. The remaining CPUs are headroom for changing load. */
export const tasksPerWorker = 27;
/** CPUs of a hollow worker's machine. A hollow worker speaks the real protocol but runs no tasks. */
export const cpusPerWorker = 30;
/** The most hollow workers that one process simulates. */
export const workersPerProcess = 1500;
/** Number of controllers in each cell. */
export const controllersPerCell = 3;

const maxProcesses = 200;
const maxMemoryMb = 12 * 1024;
const usableMemoryShare = 0.5;
const socketsPerWorker = 2;
const reservedOpenFiles = 200;
/** Resident memory, MB: of an idle process, of each hollow worker, and of a controller per worker that it manages. */
const memoryMb = { process: 90, hollowWorker: 0.12, controllerPerWorker: 0.1 };

/** Thrown if this machine lacks the capacity for a run, or if a process of the run fails to start. */
export class ScaleError extends Error {}

const wholeNumber =
  (min: number, max: number) =>
  (text: string): number => {
    const n = Number(text);
    if (!Number.isInteger(n) || n < min || n > max)
      throw new InvalidArgumentError(`expected a whole number from ${min} to ${max}`);
    return n;
  };

function faultList(text: string): FaultName[] {
  return text.split(',').map((name) => {
    const known = faultNames.find((fault) => fault === name);
    if (!known)
      throw new InvalidArgumentError(`${name}: unknown fault, expected one of ${faultNames.join(',')}`);
    return known;
  });
}

/** Parses the command line; invalid arguments are reported by the parser, which ends the process. */
export function parseOptions(argv: string[]): ScaleOptions {
  const option = (
    flags: string,
    text: string,
    parse: (value: string) => unknown,
    fallback: unknown,
  ): Option => new Option(flags, text).argParser(parse).default(fallback);
  const program = new Command('scale')
    .description(
      'Runs real controllers against a simulated platform, hollow workers and simulated users on loopback.',
    )
    .addOption(option('--workers <n>', 'hollow workers per cell', wholeNumber(1, 50_000), 200))
    .addOption(option('--starts <n>', 'task starts per second in each cell', wholeNumber(1, 50_000), 90))
    .addOption(option('--tasks-per-job <n>', 'tasks per job', wholeNumber(1, 100_000), 600))
    .addOption(option('--cells <n>', 'cells that run in parallel', wholeNumber(1, 30), 1))
    .addOption(
      option('--seconds <n>', 'duration of the measurement, after the warm-up', wholeNumber(1, 3600), 60),
    )
    .addOption(
      option(
        '--faults <list>',
        `faults to inject in the given order, from ${faultNames.join(',')}`,
        faultList,
        [],
      ),
    )
    .addOption(
      option('--write-rps <n>', 'limit on writes per second of the state service', wholeNumber(1, 1e6), 50),
    )
    .addOption(
      option('--rps <n>', 'limit on requests per second of the state service', wholeNumber(1, 1e6), 150),
    )
    .addOption(option('--memory <mb>', 'memory limit of a controller, MB', wholeNumber(50, 8192), 900))
    .addOption(option('--seed <n>', 'seed of the random number generators', wholeNumber(0, 1e9), 1))
    .option('--operators <file>', 'file with operator settings for the controllers')
    .option('--json <file>', 'file to which the results are written')
    .option('--keep-logs', "keep the controllers' logs and print their directory");
  program.parse(argv, { from: 'user' });
  const given = program.opts<Record<string, unknown>>();
  return {
    workers: given.workers as number,
    startsPerS: given.starts as number,
    tasksPerJob: given.tasksPerJob as number,
    cells: given.cells as number,
    seconds: given.seconds as number,
    faults: given.faults as FaultName[],
    writesPerS: given.writeRps as number,
    requestsPerS: given.rps as number,
    memoryMb: given.memory as number,
    operators: (given.operators as string | undefined) ?? null,
    json: (given.json as string | undefined) ?? null,
    seed: given.seed as number,
    keepLogs: given.keepLogs === true,
  };
}

/** Number of hollow-worker processes per cell. */
export const workerProcessCount = (options: ScaleOptions): number =>
  Math.ceil(options.workers / workersPerProcess);

/** The resources of a machine that a run may use. */
export interface MachineCapacity {
  openFiles: number;
  memoryMb: number;
}

/** Reads the capacity of this machine. */
export function machineCapacity(): MachineCapacity {
  const line = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'));
  const mb = 1024 * 1024;
  const free = Math.min(freemem() / mb, (totalmem() / mb) * usableMemoryShare, maxMemoryMb);
  return { openFiles: line ? Number(line[1]) : 1024, memoryMb: free };
}

/** Throws a `ScaleError` if a run needs more processes, open files or memory than there are. */
export function checkCapacity(options: ScaleOptions, capacity: MachineCapacity): void {
  const { workers, cells } = options;
  const processes = 1 + cells * (2 + controllersPerCell + workerProcessCount(options));
  if (processes > maxProcesses)
    throw new ScaleError(`${processes} processes are needed, ${maxProcesses} are allowed: use fewer cells`);
  const files =
    Math.max(workers, Math.min(workers, workersPerProcess) * socketsPerWorker) + reservedOpenFiles;
  if (files > capacity.openFiles)
    throw new ScaleError(
      `a process needs ${files} open files, ${capacity.openFiles} are allowed: use fewer workers`,
    );
  const controllersMb = controllersPerCell * (memoryMb.process + workers * memoryMb.controllerPerWorker);
  const generatorsMb = (2 + workerProcessCount(options)) * memoryMb.process + workers * memoryMb.hollowWorker;
  const neededMb = Math.ceil(memoryMb.process + cells * (controllersMb + generatorsMb));
  if (neededMb > capacity.memoryMb)
    throw new ScaleError(
      `about ${neededMb} MB are needed, ${Math.floor(capacity.memoryMb)} MB may be used: use fewer workers or cells`,
    );
}
