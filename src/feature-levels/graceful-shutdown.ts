/** Graceful shutdown: the order in which a controller hands over its duties before its process exits. */

/** The phase of a graceful shutdown; `running`: none was requested. */
export type ShutdownPhase = 'running' | 'handing-over' | 'draining' | 'stopped';

/** The duties that a controller still has. */
export interface ShutdownDuties {
  /** Shards that the controller owns. */
  readonly ownedShards: number;
  /** Whether the controller is the leader. */
  readonly leading: boolean;
  /** Whether its presence is recorded in the state service. */
  readonly present: boolean;
  /** Whether calls to the cloud or writes are in progress. */
  readonly busy: boolean;
}

/**
 * Users are redirected first, then shards and leadership are handed over, then requests in progress are answered, then the
 * process may exit. Each step has a time limit: what cannot be handed over within it is left to lease expiry, as after a kill.
 */
export class GracefulShutdown {
  private requestedAt = -1;
  private handedOverAt = -1;

  constructor(
    /** The time limit for handing over, ms. */
    private readonly handOverTimeoutMs: number,
    /** How long users are still answered, so that the load balancer has time to notice the shutdown, ms. */
    private readonly drainTimeMs: number,
  ) {}

  /** Whether a shutdown was requested. */
  get requested(): boolean {
    return this.requestedAt >= 0;
  }

  /** Starts the shutdown, unless it has already been started. */
  begin(now: number): void {
    if (this.requestedAt < 0) this.requestedAt = now;
  }

  /** Returns the phase at `now`, given the duties that the controller still has. */
  phase(now: number, duties: ShutdownDuties): ShutdownPhase {
    if (this.requestedAt < 0) return 'running';
    const hasHandedOver = duties.ownedShards === 0 && !duties.leading && !duties.present;
    const isOverdue = now - this.requestedAt > this.handOverTimeoutMs;
    if (this.handedOverAt < 0 && (hasHandedOver || isOverdue)) this.handedOverAt = now;
    if (this.handedOverAt < 0) return 'handing-over';
    const isDraining = now - this.requestedAt < this.drainTimeMs || (duties.busy && !isOverdue);
    return isDraining ? 'draining' : 'stopped';
  }
}
