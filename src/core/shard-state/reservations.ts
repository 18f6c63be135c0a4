/** Reservations of machines for jobs that found no capacity. */
import type { Clock } from '../effects.js';

/** How long a reservation lasts, in worker leases. */
const reservationDurationLeases = 4;

/** Keeps a machine free of the tasks of other jobs. */
export interface Reservation {
  /** The id of the job that the machine is reserved for. */
  readonly job: string;
  /** When the reservation expires, on the monotonic clock, ms. */
  readonly expiresAt: number;
}

/** The reserved machines. Each is reserved for at most one job. */
export class Reservations {
  /** Reservations by host. */
  readonly byHost = new Map<string, Reservation>();
  private readonly durationMs: number;

  constructor(
    private readonly clock: Clock,
    leaseS: number,
  ) {
    this.durationMs = leaseS * reservationDurationLeases * 1000;
  }

  /** Reserves a machine for a job, or extends its reservation. */
  reserve(host: string, job: string): void {
    this.byHost.set(host, { job, expiresAt: this.clock.now + this.durationMs });
  }

  /** Releases all machines that are reserved for a job. */
  release(job: string): void {
    for (const [host, reservation] of this.byHost) if (reservation.job === job) this.byHost.delete(host);
  }

  /** Removes reservations that have expired or whose job or machine no longer exists. */
  prune(jobs: ReadonlyMap<string, unknown>, machines: ReadonlyMap<string, unknown>): void {
    for (const [host, { job, expiresAt }] of this.byHost)
      if (expiresAt < this.clock.now || !jobs.has(job) || !machines.has(host)) this.byHost.delete(host);
  }
}
