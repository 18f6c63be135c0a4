/** How far a controller is that was asked to leave. */
export type Phase = 'here' | 'handing on' | 'draining' | 'gone';

/** What it looks at. */
export interface Duties {
  /** Shards that it owns. */
  owned: number;
  leading: boolean;
  /** Its presence is in the state service. */
  present: boolean;
  /** Calls to the cloud and writes under way. */
  busy: boolean;
}

/**
 * Leaving in order: users are sent elsewhere first, then shards and leadership are handed on, then what is under way is
 * answered, then the process may end. Each step has its time: what cannot be handed on in it is left to the lease's end, as
 * after a kill.
 */
export class Leaving {
  private since = -1;
  private handedAt = -1;

  constructor(
    /** How long handing on may take, and how long answers are given after the load balancer was told, ms. */
    private readonly handMs: number,
    private readonly drainMs: number,
  ) {}

  get asked(): boolean {
    return this.since >= 0;
  }

  begin(now: number): void {
    if (this.since < 0) this.since = now;
  }

  phase(now: number, d: Duties): Phase {
    if (this.since < 0) return 'here';
    const free = d.owned === 0 && !d.leading && !d.present;
    const late = now - this.since > this.handMs;
    if (this.handedAt < 0 && (free || late)) this.handedAt = now;
    if (this.handedAt < 0) return 'handing on';
    // Users come here until the load balancer has noticed.
    return now - this.since < this.drainMs || (d.busy && !late) ? 'draining' : 'gone';
  }
}
