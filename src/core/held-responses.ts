/** Held (long-poll) responses to heartbeats. */
import type { Settings } from '../config/settings.js';
import type { Heartbeat, TaskOrder } from '../model/heartbeat.js';
import type { Clock } from './effects.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { ScheduledMachine } from './shard-state/types.js';

/** Workers wait 4 s for a response: the other half is left for the network and for a process that is late. */
const holdTimeoutMs = 4000 * 0.5;

interface HeldResponse {
  readonly requestId: number;
  readonly machine: ScheduledMachine;
  readonly heartbeat: Heartbeat;
  readonly token: number;
  readonly heldAt: number;
}

/** A response that is held no longer. */
export interface ReleasedResponse {
  readonly requestId: number;
  readonly token: number;
  /** null: this process no longer answers for the machine, the worker is to retry. */
  readonly orders: TaskOrder[] | null;
}

/**
 * Start orders go out in responses to heartbeats only. So the response to a machine that has nothing to do, or whose next
 * tasks are about to become durable, is held for a short time: otherwise these tasks would wait for the machine's next
 * heartbeat. Holding proves and prolongs nothing: the worker's lease counts from when the heartbeat was sent, and the
 * worker drops a response that comes after 4 s.
 */
export class HeldResponses {
  private readonly held = new Map<string, HeldResponse>();

  constructor(
    private readonly settings: Settings,
    private readonly heartbeatReconciler: HeartbeatReconciler,
    private readonly clock: Clock,
  ) {}

  /** Holds the response to a heartbeat that no order answers, if that may be of use; whether it is held. */
  tryHold(machine: ScheduledMachine, heartbeat: Heartbeat, token: number, requestId: number): boolean {
    // In a pool, agents are asked for a heartbeat when there is something to start.
    if (this.settings.pool) return false;
    // A machine that is about to go must not wait for its next heartbeat.
    if (heartbeat.fencingToken !== token || heartbeat.noticeS !== null || machine.quarantined) return false;
    if (machine.record.state !== 'use' || machine.releasing) return false;
    const hasTasks = [...machine.placements.values()].some(
      (placement) => placement.startSentWith !== null || !placement.placedByThisProcess,
    );
    const isWorthHolding = hasTasks
      ? this.heartbeatReconciler.hasStartsAwaitingDurability(machine)
      : heartbeat.tasks.length === 0;
    if (!isWorthHolding) return false;
    this.held.set(machine.host, { requestId, machine, heartbeat, token, heldAt: this.clock.now });
    return true;
  }

  /** The worker has sent a newer heartbeat and dropped the request before: its response may start nothing any more. */
  releaseSuperseded(host: string): ReleasedResponse | null {
    const held = this.held.get(host);
    if (!held) return null;
    this.held.delete(host);
    return { requestId: held.requestId, token: held.token, orders: [] };
  }

  /**
   * Responses that have been held for long enough, or whose tasks may start. `stillOwns`: whether this process still
   * answers for the machine under this token.
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
