/** How much of what is scarce is used here, each as a share of what there is. */
export interface ResourceLoad {
  /** Writes that are wanted, of this controller's part. */
  writes: number;
  /** Requests to the state service, of an equal share. */
  requests: number;
  /** Of the process's time. */
  time: number;
  sockets: number;
  memory: number;
  /** Requests that wait to be worked off, of as many as may. */
  waiting: number;
}

export interface OverloadSnapshot {
  load: ResourceLoad;
  /** What is nearest to its end. */
  bottleneck: keyof ResourceLoad;
  /** Of the jobs that the writes allow, so many may be taken in. */
  admissionFactor: number;
}

/** From this share on less is taken in; at the whole, this share of what the writes allow. */
const tightAt = 0.85;
const leastFactor = 0.25;
/** Of a difference that is taken up with each look: one full moment is not yet a shortage. */
const follow = 0.2;

/**
 * One picture of what is scarce, in place of limits that know nothing of each other. What the writes allow is decided by the
 * plan; whatever else runs short slows the taking in of new jobs, so that polls, cancellations, reports and what was accepted
 * keep what they need.
 */
export class OverloadMonitor {
  private smooth: ResourceLoad = { writes: 0, requests: 0, time: 0, sockets: 0, memory: 0, waiting: 0 };

  observe(now: ResourceLoad): OverloadSnapshot {
    for (const name of Object.keys(now) as (keyof ResourceLoad)[])
      this.smooth[name] += (now[name] - this.smooth[name]) * follow;
    return this.snapshot;
  }

  get snapshot(): OverloadSnapshot {
    const load = { ...this.smooth };
    const names = Object.keys(load) as (keyof ResourceLoad)[];
    const tightest = names.reduce((a, b) => (load[b] > load[a] ? b : a));
    // Writes are shared by the plan already.
    const other = Math.max(...names.filter((n) => n !== 'writes').map((n) => load[n]));
    const over = Math.min(1, Math.max(0, (other - tightAt) / (1 - tightAt)));
    return { load, bottleneck: tightest, admissionFactor: 1 - (1 - leastFactor) * over };
  }
}
