/** The results of a run: latency histograms, resource usage of each process, and their formatting as a table. */
import { build, type Histogram } from 'hdr-histogram-js';
import { zeroWorkerCounts, type PlatformCounts, type WorkerCounts } from './messages.js';
import type { ProcessUsage } from './processes.js';

const maxLatencyMs = 3_600_000;

/** Quantiles of a latency, ms. */
export interface Quantiles {
  count: number;
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
}

/** A histogram of latencies with three significant digits. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyMs,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds one latency, ms. */
  record(ms: number): void {
    this.histogram.recordValue(Math.min(maxLatencyMs, Math.max(0, Math.round(ms))));
  }

  get quantiles(): Quantiles {
    const { histogram } = this;
    return {
      count: histogram.totalCount,
      p50Ms: histogram.getValueAtPercentile(50),
      p99Ms: histogram.getValueAtPercentile(99),
      maxMs: histogram.totalCount > 0 ? histogram.maxValue : 0,
    };
  }
}

/** Resource usage of a process in the measured interval. */
export interface ProcessFigures {
  name: string;
  cores: number;
  residentMb: number;
  kbInPerS: number;
  kbOutPerS: number;
  openFiles: number;
}

/** Average rates of a process between two readings, and the larger of the two readings for memory and open files. */
export function processFigures(
  name: string,
  before: ProcessUsage,
  after: ProcessUsage,
  seconds: number,
): ProcessFigures {
  return {
    name,
    cores: (after.cpuS - before.cpuS) / seconds,
    residentMb: Math.max(before.residentMb, after.residentMb),
    kbInPerS: (after.bytesIn - before.bytesIn) / 1024 / seconds,
    kbOutPerS: (after.bytesOut - before.bytesOut) / 1024 / seconds,
    openFiles: Math.max(before.openFiles, after.openFiles),
  };
}

/** The effects of a fault on a cell. */
export interface FaultFigures {
  fault: string;
  atS: number;
  /** Time from the fault until the next task start, and until the slowest worker had its lease renewed; null: not seen. */
  firstStartMs: number | null;
  slowestRenewalMs: number | null;
  workersNotRenewed: number;
}

/** The results of a cell, also written as JSON. */
export interface CellFigures {
  cell: number;
  startsAskedPerS: number;
  startsPerS: number;
  running: number;
  workers: number;
  acceptedJobs: number;
  submissionsGivenUp: number;
  requestsUnavailable: number;
  submit: Quantiles;
  urgentStart: Quantiles;
  /** Steps of an urgent start: submission until accepted, submission until placed (stored), and placement until started. */
  urgentSteps: { accepted: Quantiles; placed: Quantiles; started: Quantiles };
  cancel: Quantiles;
  reportsPerS: number;
  failedReports: number;
  expiredLeases: number;
  tasksLostWithLeases: number;
  state: PlatformCounts & { requestsPerS: number; writesPerS: number; writesPerStart: number };
  processes: ProcessFigures[];
  generatorLagP99Ms: number;
  generatorLagMaxMs: number;
  unexpectedEnds: number;
  faults: FaultFigures[];
  violations: string[];
}

/** Adds up the counts of several hollow-worker processes. */
export function totalCounts(all: WorkerCounts[]): WorkerCounts {
  const sum = { ...zeroWorkerCounts };
  for (const counts of all)
    for (const key of Object.keys(sum) as (keyof WorkerCounts)[])
      sum[key] = key === 'slowestRenewalMs' ? Math.max(sum[key], counts[key]) : sum[key] + counts[key];
  return sum;
}

const quantilesText = ({ count, p50Ms, p99Ms, maxMs }: Quantiles): string =>
  `p50 ${p50Ms} ms, p99 ${p99Ms} ms, max ${maxMs} ms (${count})`;

function processLine(p: ProcessFigures): string {
  const numbers = [
    p.cores.toFixed(3),
    p.residentMb.toFixed(0),
    p.kbInPerS.toFixed(0),
    p.kbOutPerS.toFixed(0),
  ];
  const columns = [...numbers, String(p.openFiles)].map((text) => text.padStart(9));
  return `  ${p.name.padEnd(14)}${columns.join('')}`;
}

function faultLine(f: FaultFigures): string {
  const durationText = (x: number | null): string => (x === null ? 'not seen' : `${Math.round(x)} ms`);
  const renewed = `slowest lease renewed after ${durationText(f.slowestRenewalMs)}, ${f.workersNotRenewed} not renewed`;
  return `  fault ${f.fault} at ${f.atS.toFixed(0)} s: next task start after ${durationText(f.firstStartMs)}, ${renewed}`;
}

const writesByKindText = ({ writesByKind }: PlatformCounts): string =>
  Object.entries(writesByKind)
    .sort(([, a], [, b]) => b - a)
    .map(([kind, count]) => `${kind} ${count}`)
    .join(', ');

/** The results of a cell as lines of a human-readable table. */
export function figuresTable(f: CellFigures): string[] {
  const { state } = f;
  return [
    `cell ${f.cell}: ${f.workers} hollow workers, ${f.running} running tasks at the end of the measurement`,
    `  starts            ${f.startsPerS.toFixed(1)} per second, ${f.startsAskedPerS} requested`,
    `  submit            ${quantilesText(f.submit)}`,
    `  urgent start      ${quantilesText(f.urgentStart)}`,
    `    until accepted  ${quantilesText(f.urgentSteps.accepted)}`,
    `    until placed    ${quantilesText(f.urgentSteps.placed)}`,
    `    placed to start ${quantilesText(f.urgentSteps.started)}`,
    `  cancel            ${quantilesText(f.cancel)}`,
    `  users             ${f.acceptedJobs} jobs accepted, ${f.submissionsGivenUp} submissions abandoned, ${f.requestsUnavailable} requests failed (no answer, 429 or 5xx)`,
    `  reports           ${f.reportsPerS.toFixed(0)} per second, ${f.failedReports} without a valid response`,
    `  leases            ${f.expiredLeases} expired, ${f.tasksLostWithLeases} tasks lost as a result`,
    `  state service     ${state.requestsPerS.toFixed(1)} requests/s, ${state.writesPerS.toFixed(1)} writes/s, ${state.writesPerStart.toFixed(3)} writes per start; rejected ${state.refusedRequests} requests, ${state.refusedWrites} writes; ${state.keys} keys`,
    `  writes by kind    ${writesByKindText(state)}`,
    `  ${'process'.padEnd(14)}${['cores', 'MB', 'KB/s in', 'KB/s out', 'files'].map((h) => h.padStart(9)).join('')}`,
    ...f.processes.map(processLine),
    `  event-loop delay of the load generators: p99 ${f.generatorLagP99Ms.toFixed(0)} ms, max ${f.generatorLagMaxMs.toFixed(0)} ms`,
    ...(f.unexpectedEnds > 0 ? [`  unexpected controller exits: ${f.unexpectedEnds}`] : []),
    ...f.faults.map(faultLine),
    ...f.violations.map((text) => `  RULE VIOLATED ${text}`),
  ];
}
