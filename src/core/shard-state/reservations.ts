import type { Clock } from '../effects.js';

/** How many worker leases a machine is kept for a job that waits. */
const reservationLeases = 4;

/** Machines kept for a job that found no room, by host. */
export class Reservations {
  readonly byHost = new Map<string, { job: string; until: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
  ) {}

  reserve(host: string, job: string): void {
    this.byHost.set(host, { job, until: this.clock.now + this.leaseS * reservationLeases * 1000 });
  }

  /** The job needs its machines no more. */
  release(job: string): void {
    for (const [host, c] of this.byHost) if (c.job === job) this.byHost.delete(host);
  }

  /** Ends claims of jobs that are over, of machines that are gone, and those that brought nothing for long. */
  prune(jobs: ReadonlyMap<string, unknown>, machines: ReadonlyMap<string, unknown>): void {
    for (const [host, c] of this.byHost)
      if (c.until < this.clock.now || !jobs.has(c.job) || !machines.has(host)) this.byHost.delete(host);
  }
}
