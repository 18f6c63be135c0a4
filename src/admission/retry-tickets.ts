/** Retry tickets: since when the users of rejected jobs have tried. */
import { workloadKey } from './workloads.js';

/** A rejected job, as controllers report it to each other. */
export interface Rejection {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  /** Time since its user's first attempt, ms. */
  readonly ageMs: number;
}

interface RetryTicket {
  readonly workload: string;
  firstAttemptAt: number;
}

/**
 * The jobs that were rejected, here or by another controller, and that may be submitted again. Bounded: the oldest tickets are
 * dropped first; their users have stopped trying by then.
 */
export class RetryTickets {
  /** By job, in the order of the first rejection. */
  private readonly tickets = new Map<string, RetryTicket>();
  private readonly countByWorkload = new Map<string, number>();

  constructor(
    private readonly maxTickets: number,
    /** For how long a user tries, ms. */
    private readonly retryWindowMs: number,
  ) {}

  /** How many jobs of a class were rejected and have not been accepted since. */
  outstandingCount(team: string, jobClass: string): number {
    return this.countByWorkload.get(workloadKey(team, jobClass)) ?? 0;
  }

  /** When a job's user first tried, if that is known. */
  firstAttemptAt(id: string): number | undefined {
    return this.tickets.get(id)?.firstAttemptAt;
  }

  /** Records a rejection, here or by another controller. */
  record({ id, team, class: jobClass, ageMs }: Rejection, now: number): void {
    const firstAttemptAt = now - ageMs;
    const known = this.tickets.get(id);
    if (known) {
      known.firstAttemptAt = Math.min(known.firstAttemptAt, firstAttemptAt);
      return;
    }
    const workload = workloadKey(team, jobClass);
    this.tickets.set(id, { workload, firstAttemptAt });
    this.countByWorkload.set(workload, (this.countByWorkload.get(workload) ?? 0) + 1);
    this.prune(now);
  }

  /** The job was accepted, or will not be submitted again. */
  remove(id: string): void {
    const ticket = this.tickets.get(id);
    if (!ticket) return;
    this.tickets.delete(id);
    const left = this.countByWorkload.get(ticket.workload)! - 1;
    if (left > 0) this.countByWorkload.set(ticket.workload, left);
    else this.countByWorkload.delete(ticket.workload);
  }

  /** Drops the oldest tickets: those beyond the limit, and those whose users have stopped trying. */
  prune(now: number): void {
    for (const [id, { firstAttemptAt }] of this.tickets) {
      if (this.tickets.size <= this.maxTickets && now - firstAttemptAt <= this.retryWindowMs) break;
      this.remove(id);
    }
  }
}
