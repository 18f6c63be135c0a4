/** Reservations of machines for jobs that found no capacity. */
import type { Clock } from '../effects.js';

/** How many worker leases a reservation lasts. */
const reservationDurationLeases = 4;

/** A machine that is kept free of other jobs' tasks. */
export interface Reservation {
  /** The id of the job that the machine is reserved for. */
  readonly job: string;
  /** When the reservation expires, on the steady clock, ms. */
  readonly expiresAt: number;
}

/** The machines that are reserved, at most one job for each. */
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

  /** Reserves a machine, or extends its reservation. */
  reserve(host: string, job: string): void {
    this.byHost.set(host, { job, expiresAt: this.clock.now + this.durationMs });
  }

  /** Releases the machines of a job that needs them no more. */
  release(job: string): void {
    for (const [host, reservation] of this.byHost) if (reservation.job === job) this.byHost.delete(host);
  }

  /** Ends reservations that expired, and those whose job or machine is gone. */
  prune(jobs: ReadonlyMap<string, unknown>, machines: ReadonlyMap<string, unknown>): void {
    for (const [host, { job, expiresAt }] of this.byHost)
      if (expiresAt < this.clock.now || !jobs.has(job) || !machines.has(host)) this.byHost.delete(host);
  }
}
