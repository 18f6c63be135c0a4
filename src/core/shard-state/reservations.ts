import type { Clock } from '../effects.js';

/** How many worker leases a machine is kept for a job that waits. */
const claimLeases = 4;

/** Machines kept for a job that found no room, by host. */
export class Claims {
  readonly held = new Map<string, { job: string; until: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
  ) {}

  keep(host: string, job: string): void {
    this.held.set(host, { job, until: this.clock.now + this.leaseS * claimLeases * 1000 });
  }

  /** The job needs its machines no more. */
  end(job: string): void {
    for (const [host, c] of this.held) if (c.job === job) this.held.delete(host);
  }

  /** Ends claims of jobs that are over, of machines that are gone, and those that brought nothing for long. */
  prune(jobs: ReadonlyMap<string, unknown>, machines: ReadonlyMap<string, unknown>): void {
    for (const [host, c] of this.held)
      if (c.until < this.clock.now || !jobs.has(c.job) || !machines.has(host)) this.held.delete(host);
  }
}
