/** How far a controller is that was asked to leave. */
export type ShutdownPhase = 'here' | 'handing on' | 'draining' | 'gone';

/** What it looks at. */
export interface ShutdownDuties {
  /** Shards that it owns. */
  ownedShards: number;
  leading: boolean;
  /** Its presence is in the state service. */
  present: boolean;
  /** Calls to the cloud and writes under way. */
  busy: boolean;
}

/**
 * GracefulShutdown in order: users are sent elsewhere first, then shards and leadership are handed on, then what is under way is
 * answered, then the process may end. Each step has its time: what cannot be handed on in it is left to the lease's end, as
 * after a kill.
 */
export class GracefulShutdown {
  private requestedAt = -1;
  private handedOverAt = -1;

  constructor(
    /** How long handing on may take, and how long answers are given after the load balancer was told, ms. */
    private readonly handOverTimeoutMs: number,
    private readonly drainTimeMs: number,
  ) {}

  get requested(): boolean {
    return this.requestedAt >= 0;
  }

  begin(now: number): void {
    if (this.requestedAt < 0) this.requestedAt = now;
  }

  phase(now: number, duties: ShutdownDuties): ShutdownPhase {
    if (this.requestedAt < 0) return 'here';
    const isIdle = duties.ownedShards === 0 && !duties.leading && !duties.present;
    const isOverdue = now - this.requestedAt > this.handOverTimeoutMs;
    if (this.handedOverAt < 0 && (isIdle || isOverdue)) this.handedOverAt = now;
    if (this.handedOverAt < 0) return 'handing on';
    // Users come here until the load balancer has noticed.
    return now - this.requestedAt < this.drainTimeMs || (duties.busy && !isOverdue) ? 'draining' : 'gone';
  }
}
