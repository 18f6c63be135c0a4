/** What a scale run is asked for, and whether this machine can hold it. */
import { readFileSync } from 'node:fs';
import { freemem, totalmem } from 'node:os';
import { Command, InvalidArgumentError, Option } from 'commander';

/** The faults that a run can play. */
export const faultNames = ['owner', 'leader', 'roll', 'state', 'tenth', 'zone'] as const;
/** One of the faults that a run can play. */
export type FaultName = (typeof faultNames)[number];

/** What was asked for on the command line. */
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
  /** A file with operators' settings for the controllers. */
  operators: string | null;
  /** Where figures go as JSON; null: nowhere. */
  json: string | null;
  seed: number;
  keepLogs: boolean;
}

/** Running tasks of a worker, as the operators plan them; the CPUs that are left are for what comes and goes. */
export const tasksPerWorker = 27;
/** CPUs of each hollow worker's machine. */
export const cpusPerWorker = 30;
/** How many hollow workers one process holds. */
export const workersPerProcess = 1500;
/** Controllers of each cell. */
export const controllersPerCell = 3;

const maxProcesses = 200;
const maxMemoryMb = 12 * 1024;
const usableMemoryShare = 0.5;
const socketsPerWorker = 2;
const reservedOpenFiles = 200;
/** Resident memory, MB: of a process with nothing to do, and of a hollow worker or a controller for each worker. */
const memoryMb = { process: 90, hollowWorker: 0.12, controllerPerWorker: 0.1 };

/** A run that this machine cannot hold, or arguments that make no sense. */
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
    if (!known) throw new InvalidArgumentError(`${name}: expected some of ${faultNames.join(',')}`);
    return known;
  });
}

/** Reads the command line; wrong arguments end in an error of the parser's. */
export function parseOptions(argv: string[]): ScaleOptions {
  const option = (
    flags: string,
    text: string,
    parse: (value: string) => unknown,
    fallback: unknown,
  ): Option => new Option(flags, text).argParser(parse).default(fallback);
  const program = new Command('scale')
    .description('Real controllers against stand-ins of a platform, hollow workers and users, on loopback.')
    .addOption(option('--workers <n>', 'hollow workers of each cell', wholeNumber(1, 50_000), 200))
    .addOption(option('--starts <n>', 'task starts a second of each cell', wholeNumber(1, 50_000), 90))
    .addOption(option('--tasks-per-job <n>', 'tasks of a job', wholeNumber(1, 100_000), 600))
    .addOption(option('--cells <n>', 'cells side by side', wholeNumber(1, 30), 1))
    .addOption(option('--seconds <n>', 'how long is measured, after the start', wholeNumber(1, 3600), 60))
    .addOption(
      option('--faults <list>', `some of ${faultNames.join(',')}, one after the other`, faultList, []),
    )
    .addOption(option('--write-rps <n>', 'writes a second of the state service', wholeNumber(1, 1e6), 50))
    .addOption(option('--rps <n>', 'requests a second of the state service', wholeNumber(1, 1e6), 150))
    .addOption(option('--memory <mb>', 'memory of a controller', wholeNumber(50, 8192), 900))
    .addOption(option('--seed <n>', 'of what is drawn by chance', wholeNumber(0, 1e9), 1))
    .option('--operators <file>', "operators' settings of the controllers")
    .option('--json <file>', 'where the figures go')
    .option('--keep-logs', "keep the controllers' logs and say where they are");
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

/** How many processes of hollow workers a run needs for each cell. */
export const workerProcessCount = (options: ScaleOptions): number =>
  Math.ceil(options.workers / workersPerProcess);

/** What a machine offers to a run. */
export interface MachineCapacity {
  openFiles: number;
  memoryMb: number;
}

/** What this machine can hold. */
export function machineCapacity(): MachineCapacity {
  const line = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'));
  const mb = 1024 * 1024;
  const free = Math.min(freemem() / mb, (totalmem() / mb) * usableMemoryShare, maxMemoryMb);
  return { openFiles: line ? Number(line[1]) : 1024, memoryMb: free };
}

/** Throws if a run does not fit into what there is. */
export function checkCapacity(options: ScaleOptions, capacity: MachineCapacity): void {
  const { workers, cells } = options;
  const processes = 1 + cells * (2 + controllersPerCell + workerProcessCount(options));
  if (processes > maxProcesses)
    throw new ScaleError(
      `${processes} processes are needed, ${maxProcesses} are allowed: ask for fewer cells`,
    );
  const files =
    Math.max(workers, Math.min(workers, workersPerProcess) * socketsPerWorker) + reservedOpenFiles;
  if (files > capacity.openFiles)
    throw new ScaleError(
      `a process needs ${files} open files, ${capacity.openFiles} are allowed: ask for fewer workers`,
    );
  const controllersMb = controllersPerCell * (memoryMb.process + workers * memoryMb.controllerPerWorker);
  const generatorsMb = (2 + workerProcessCount(options)) * memoryMb.process + workers * memoryMb.hollowWorker;
  const neededMb = Math.ceil(memoryMb.process + cells * (controllersMb + generatorsMb));
  if (neededMb > capacity.memoryMb)
    throw new ScaleError(
      `some ${neededMb} MB are needed, ${Math.floor(capacity.memoryMb)} MB may be used: ask for fewer workers or cells`,
    );
}
