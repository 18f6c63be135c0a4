/** Holds responses to heartbeats for a short time (long polling), so that start orders can go out with them. */
import type { Settings } from '../config/settings.js';
import type { Heartbeat, TaskOrder } from '../model/heartbeat.js';
import type { Clock } from './effects.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { ScheduledMachine } from './shard-state/types.js';

/** How long a response is held: workers wait 4 s, and half of that is left for the network and for a delayed process. */
const holdTimeoutMs = 4000 * 0.5;

interface HeldResponse {
  readonly requestId: number;
  readonly machine: ScheduledMachine;
  readonly heartbeat: Heartbeat;
  readonly token: number;
  readonly heldAt: number;
}

/** A held response that is to be sent now. */
export interface ReleasedResponse {
  readonly requestId: number;
  readonly token: number;
  /** The orders to respond with; null if this process no longer owns the machine and the worker should retry. */
  readonly orders: TaskOrder[] | null;
}

/**
 * The held responses, by host. Start orders are only sent in responses to heartbeats. So the response to a machine that is idle, or
 * whose next tasks are about to become durable, is held for a short time; otherwise these tasks would wait for the machine's next
 * heartbeat. Holding a response does not affect leases: the worker's lease counts from the time at which it sent the heartbeat, and the
 * worker drops a response that arrives after more than 4 s.
 */
export class HeldResponses {
  private readonly held = new Map<string, HeldResponse>();

  constructor(
    private readonly settings: Settings,
    private readonly heartbeatReconciler: HeartbeatReconciler,
    private readonly clock: Clock,
  ) {}

  /** Holds the response to a heartbeat for which there are no orders, if this may be useful; returns whether it is held. */
  tryHold(machine: ScheduledMachine, heartbeat: Heartbeat, token: number, requestId: number): boolean {
    // In a pool, workers are asked for a heartbeat when there are tasks to start.
    if (this.settings.pool) return false;
    // A machine that is about to be reclaimed or released must not be delayed in sending its next heartbeat.
    if (heartbeat.fencingToken !== token || heartbeat.noticeS !== null || machine.quarantined) return false;
    if (machine.record.state !== 'use' || machine.releasing) return false;
    const hasTasks = [...machine.placements.values()].some(
      (placement) => placement.startSentWith !== null || !placement.placedByThisProcess,
    );
    const shouldHold = hasTasks
      ? this.heartbeatReconciler.hasStartsAwaitingDurability(machine)
      : heartbeat.tasks.length === 0;
    if (!shouldHold) return false;
    this.held.set(machine.host, { requestId, machine, heartbeat, token, heldAt: this.clock.now });
    return true;
  }

  /**
   * Releases the response that is held for a machine, if any, because the worker has sent a newer heartbeat and dropped the earlier
   * request: the response must not start anything.
   */
  releaseSuperseded(host: string): ReleasedResponse | null {
    const held = this.held.get(host);
    if (!held) return null;
    this.held.delete(host);
    return { requestId: held.requestId, token: held.token, orders: [] };
  }

  /**
   * Releases the responses that have been held for long enough, or whose tasks may start. `stillOwns` tells whether this process still
   * owns a machine under the given token.
   */
  *releaseDue(stillOwns: (machine: ScheduledMachine, token: number) => boolean): Generator<ReleasedResponse> {
    for (const [host, { requestId, machine, heartbeat, token, heldAt }] of this.held) {
      const hasTimedOut = this.clock.now - heldAt >= holdTimeoutMs;
      const isWaiting =
        machine.placements.size === 0 || this.heartbeatReconciler.hasStartsAwaitingDurability(machine);
      if (!hasTimedOut && isWaiting) continue;
      this.held.delete(host);
      const orders = stillOwns(machine, token)
        ? this.heartbeatReconciler.currentOrders(machine, heartbeat)
        : null;
      yield { requestId, token, orders };
    }
  }
}
