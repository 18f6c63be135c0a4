/** The order in which a controller gives up its duties before its process ends. */

/** How far a graceful shutdown is; `running`: none was requested. */
export type ShutdownPhase = 'running' | 'handing-over' | 'draining' | 'stopped';

/** What a controller still has to do. */
export interface ShutdownDuties {
  /** Shards that it owns. */
  readonly ownedShards: number;
  readonly leading: boolean;
  /** Its presence is recorded in the state service. */
  readonly present: boolean;
  /** Calls to the cloud or writes are under way. */
  readonly busy: boolean;
}

/**
 * First users are sent elsewhere, then shards and leadership are handed over, then requests under way are answered, then the
 * process may end. Each step has its time: what cannot be handed over in it is left to lease expiry, as after a kill.
 */
export class GracefulShutdown {
  private requestedAt = -1;
  private handedOverAt = -1;

  constructor(
    /** How long handing over may take, ms. */
    private readonly handOverTimeoutMs: number,
    /** How long users are still answered, so that the load balancer notices, ms. */
    private readonly drainTimeMs: number,
  ) {}

  get requested(): boolean {
    return this.requestedAt >= 0;
  }

  /** Starts the shutdown, unless it was started before. */
  begin(now: number): void {
    if (this.requestedAt < 0) this.requestedAt = now;
  }

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
