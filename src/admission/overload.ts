/** Overload control: one measure of everything that is scarce, in place of limits that are independent of each other. */

/** How much of each scarce resource is in use or wanted here, as a share of what there is. */
export interface ResourceLoad {
  /** Writes that are wanted, of this controller's share. */
  writes: number;
  /** Requests to the state service, of an equal share. */
  requests: number;
  /** Of the process's time. */
  time: number;
  sockets: number;
  memory: number;
  /** Queued requests, of as many as may be queued. */
  waiting: number;
}

/** The smoothed load, and what follows from it for admission. */
export interface OverloadSnapshot {
  readonly load: Readonly<ResourceLoad>;
  /** The resource with the highest load. */
  readonly bottleneck: keyof ResourceLoad;
  /** Share of the jobs within the write budget that may be admitted. */
  readonly admissionFactor: number;
}

/** Above this load fewer jobs are admitted; at full load, the smallest factor. */
const overloadThreshold = 0.85;
const minAdmissionFactor = 0.25;
/** Weight of a new observation: one moment of full load is not overload yet. */
const smoothing = 0.2;

/**
 * Watches the load. The writes are limited by their allocation; when any other resource runs short, fewer jobs are admitted, so
 * that polls, cancellations, heartbeats and accepted work keep what they need.
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

  /** Adds an observation. */
  observe(load: Readonly<ResourceLoad>): OverloadSnapshot {
    for (const name of Object.keys(load) as (keyof ResourceLoad)[])
      this.smoothed[name] += (load[name] - this.smoothed[name]) * smoothing;
    return this.snapshot;
  }

  /** The present state. */
  get snapshot(): OverloadSnapshot {
    const load = { ...this.smoothed };
    const names = Object.keys(load) as (keyof ResourceLoad)[];
    const bottleneck = names.reduce((a, b) => (load[b] > load[a] ? b : a));
    // Writes are divided by the allocation already.
    const highest = Math.max(...names.filter((name) => name !== 'writes').map((name) => load[name]));
    const excess = Math.min(1, Math.max(0, (highest - overloadThreshold) / (1 - overloadThreshold)));
    return { load, bottleneck, admissionFactor: 1 - (1 - minAdmissionFactor) * excess };
  }
}
