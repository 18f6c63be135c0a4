/** Measurements of a cell: latencies from the events of users and workers, differences of counters, and effects of faults. */
import { LatencyHistogram, processFigures, type CellFigures, type FaultFigures } from './figures.js';
import { isUrgentJob } from './jobs.js';
import {
  now,
  type GeneratorLag,
  type PlatformCounts,
  type TaskEvent,
  type UserEvent,
  type WorkerCounts,
} from './messages.js';
import type { ProcessUsage } from './processes.js';

/** The counters at one point in time. */
export interface CountsReading {
  at: number;
  usages: Map<string, ProcessUsage>;
  workers: WorkerCounts;
  platform: PlatformCounts;
}

interface StartsReading extends CountsReading {
  starts: number;
}

/** Data of the cell that goes into its results. */
export interface CellDescription {
  number: number;
  startsAskedPerS: number;
  /** Name of the controller that owns the shard. */
  owner: string | null;
  requestsUnavailable: number;
  unexpectedEnds: number;
  violations: string[];
}

interface MeasuredFault {
  figures: FaultFigures;
  at: number;
  workers: number;
}

/** The increase of each counter. */
const countIncreases = (
  after: Record<string, number>,
  before: Record<string, number>,
): Record<string, number> =>
  Object.fromEntries(Object.entries(after).map(([key, count]) => [key, count - (before[key] ?? 0)]));

/** Latencies, counters and faults of one cell. Latencies are recorded only between `begin` and `end`. */
export class CellMeasurements {
  private readonly submit = new LatencyHistogram();
  private readonly urgentStart = new LatencyHistogram();
  private readonly cancel = new LatencyHistogram();
  private readonly urgentSteps = {
    accepted: new LatencyHistogram(),
    placed: new LatencyHistogram(),
    started: new LatencyHistogram(),
  };
  /** For urgent jobs that have not started: when they were submitted, and when their first placement was stored. */
  private readonly urgentSubmittedAt = new Map<string, number>();
  private readonly urgentPlacedAt = new Map<string, number>();
  private measuring = false;
  private starts = 0;
  private acceptedJobs = 0;
  private abandonedSubmissions = 0;
  private readonly lag: GeneratorLag = { p99Ms: 0, maxMs: 0 };
  private before: StartsReading | null = null;
  private after: StartsReading | null = null;
  private readonly faults: MeasuredFault[] = [];

  /** Starts the measured interval. */
  begin(counts: CountsReading): void {
    this.before = { ...counts, starts: this.starts };
    this.measuring = true;
  }

  /** Ends the measured interval. */
  end(counts: CountsReading): void {
    this.after = { ...counts, starts: this.starts };
    this.measuring = false;
  }

  /** Records the event-loop delay of a load generator, which shows whether the generator was the bottleneck. */
  recordLag(lag: GeneratorLag): void {
    if (!this.measuring) return;
    this.lag.p99Ms = Math.max(this.lag.p99Ms, lag.p99Ms);
    this.lag.maxMs = Math.max(this.lag.maxMs, lag.maxMs);
  }

  /** Processes a task event of a worker. */
  recordTaskEvent(event: TaskEvent): void {
    if (event.what !== 'on') return;
    this.starts++;
    for (const { figures, at } of this.faults)
      if (figures.firstStartMs === null && event.at > at) figures.firstStartMs = event.at - at;
    const submittedAt = this.urgentSubmittedAt.get(event.job);
    if (submittedAt === undefined) return;
    this.urgentSubmittedAt.delete(event.job);
    const placedAt = this.urgentPlacedAt.get(event.job);
    this.urgentPlacedAt.delete(event.job);
    if (!this.measuring) return;
    this.urgentStart.record(event.at - submittedAt);
    if (placedAt === undefined) return;
    this.urgentSteps.placed.record(placedAt - submittedAt);
    this.urgentSteps.started.record(event.at - placedAt);
  }

  /** Records when placements of urgent jobs were stored. Only the first placement of a job counts. */
  recordPlacements(jobs: [id: string, at: number][]): void {
    for (const [id, at] of jobs) if (!this.urgentPlacedAt.has(id)) this.urgentPlacedAt.set(id, at);
  }

  /** Processes an action of a user or an answer to it. */
  recordUserEvent(event: UserEvent): void {
    if (event.what === 'submitted' && event.urgent) this.urgentSubmittedAt.set(event.job, event.at);
    if (!this.measuring) return;
    if (event.what === 'accepted') {
      this.acceptedJobs++;
      this.submit.record(event.afterMs);
      if (isUrgentJob(event.job)) this.urgentSteps.accepted.record(event.afterMs);
    } else if (event.what === 'given-up') this.abandonedSubmissions++;
    else if (event.what === 'cancelled') this.cancel.record(event.afterMs);
  }

  /** Records the time of a fault, from which the next task start and the renewal of each worker's lease are measured. */
  beginFault(fault: string, workers: number): void {
    const at = now();
    const atS = this.before ? (at - this.before.at) / 1000 : 0;
    const figures = { fault, atS, firstStartMs: null, slowestRenewalMs: null, workersNotRenewed: 0 };
    this.faults.push({ figures, at, workers });
  }

  /** Ends the observation of the last fault. */
  endFault({ renewedSinceMark, slowestRenewalMs }: WorkerCounts): void {
    const fault = this.faults[this.faults.length - 1];
    fault.figures.slowestRenewalMs = renewedSinceMark > 0 ? slowestRenewalMs : null;
    fault.figures.workersNotRenewed = Math.max(0, fault.workers - renewedSinceMark);
  }

  /** The results of the interval between `begin` and `end`. */
  figures(cell: CellDescription): CellFigures {
    const [before, after] = [this.before!, this.after!];
    const seconds = (after.at - before.at) / 1000;
    const starts = after.starts - before.starts;
    return {
      cell: cell.number,
      startsAskedPerS: cell.startsAskedPerS,
      startsPerS: starts / seconds,
      running: after.workers.running,
      workers: after.workers.workers,
      acceptedJobs: this.acceptedJobs,
      submissionsGivenUp: this.abandonedSubmissions,
      requestsUnavailable: cell.requestsUnavailable,
      ...this.latencies(),
      reportsPerS: (after.workers.reports - before.workers.reports) / seconds,
      failedReports: after.workers.failedReports - before.workers.failedReports,
      expiredLeases: after.workers.expiredLeases - before.workers.expiredLeases,
      tasksLostWithLeases: after.workers.tasksLostWithLeases - before.workers.tasksLostWithLeases,
      state: this.stateFigures(before, after, seconds, starts),
      processes: this.processes(before, after, seconds, cell.owner),
      generatorLagP99Ms: this.lag.p99Ms,
      generatorLagMaxMs: this.lag.maxMs,
      unexpectedEnds: cell.unexpectedEnds,
      faults: this.faults.map((f) => f.figures),
      violations: cell.violations,
    };
  }

  private latencies(): Pick<CellFigures, 'submit' | 'urgentStart' | 'urgentSteps' | 'cancel'> {
    return {
      submit: this.submit.quantiles,
      urgentStart: this.urgentStart.quantiles,
      urgentSteps: {
        accepted: this.urgentSteps.accepted.quantiles,
        placed: this.urgentSteps.placed.quantiles,
        started: this.urgentSteps.started.quantiles,
      },
      cancel: this.cancel.quantiles,
    };
  }

  private stateFigures(
    before: CountsReading,
    after: CountsReading,
    seconds: number,
    starts: number,
  ): CellFigures['state'] {
    const writes = after.platform.writes - before.platform.writes;
    return {
      ...after.platform,
      writesByKind: countIncreases(after.platform.writesByKind, before.platform.writesByKind),
      refusedRequests: after.platform.refusedRequests - before.platform.refusedRequests,
      refusedWrites: after.platform.refusedWrites - before.platform.refusedWrites,
      requestsPerS: (after.platform.requests - before.platform.requests) / seconds,
      writesPerS: writes / seconds,
      writesPerStart: starts > 0 ? writes / starts : NaN,
    };
  }

  private processes(
    before: CountsReading,
    after: CountsReading,
    seconds: number,
    owner: string | null,
  ): CellFigures['processes'] {
    return [...after.usages].flatMap(([name, usage]) => {
      const first = before.usages.get(name);
      if (!first) return [];
      return [processFigures(name === owner ? `${name} owner` : name, first, usage, seconds)];
    });
  }
}
