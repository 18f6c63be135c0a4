/** Overload control: one measure of all scarce resources, instead of limits that are independent of each other. */

/** The use of or demand for each scarce resource on this controller, as a share of what is available. */
export interface ResourceLoad {
  /** Requested writes, as a share of this controller's allocation. */
  writes: number;
  /** Requests to the state service, relative to an equal share of them. */
  requests: number;
  /** Busy time of the process, as a share of elapsed time. */
  time: number;
  sockets: number;
  memory: number;
  /** Queued requests, as a share of the most that may be queued. */
  waiting: number;
}

/** The smoothed load, and the resulting admission factor. */
export interface OverloadSnapshot {
  readonly load: Readonly<ResourceLoad>;
  /** The resource with the highest load. */
  readonly bottleneck: keyof ResourceLoad;
  /** The share of the jobs within the write budget that may be admitted. */
  readonly admissionFactor: number;
}

/** Above this load, fewer jobs are admitted. */
const overloadThreshold = 0.85;
/** The admission factor at full load. */
const minAdmissionFactor = 0.25;
/** Weight of a new observation: a single moment of full load does not count as overload. */
const smoothing = 0.2;

/**
 * Monitors the load. Writes are limited by their allocation; when any other resource runs short, fewer jobs are admitted, so that
 * queries, cancellations, heartbeats and accepted work keep the resources that they need.
 */
export class OverloadMonitor {
  private readonly smoothed: ResourceLoad = {
    writes: 0,
    requests: 0,
    time: 0,
    sockets: 0,
    memory: 0,
    waiting: 0,
  };

  /** Adds an observation and returns the updated snapshot. */
  observe(load: Readonly<ResourceLoad>): OverloadSnapshot {
    for (const name of Object.keys(load) as (keyof ResourceLoad)[])
      this.smoothed[name] += (load[name] - this.smoothed[name]) * smoothing;
    return this.snapshot;
  }

  /** The current smoothed load and admission factor. */
  get snapshot(): OverloadSnapshot {
    const load = { ...this.smoothed };
    const names = Object.keys(load) as (keyof ResourceLoad)[];
    const bottleneck = names.reduce((a, b) => (load[b] > load[a] ? b : a));
    // Writes are already limited by the allocation.
    const highest = Math.max(...names.filter((name) => name !== 'writes').map((name) => load[name]));
    const excess = Math.min(1, Math.max(0, (highest - overloadThreshold) / (1 - overloadThreshold)));
    return { load, bottleneck, admissionFactor: 1 - (1 - minAdmissionFactor) * excess };
  }
}
