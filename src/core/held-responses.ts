import type { Settings } from '../config/settings.js';
import type { TaskOrder, Heartbeat } from '../model/heartbeat.js';
import type { ScheduledMachine } from './shard-state/types.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { Clock } from './effects.js';

/** Workers wait for an answer for 4 s: of that, so much is left for the way and for a process that is late. */
const holdTimeoutMs = 4000 * 0.5;

interface Held {
  rid: number;
  machine: ScheduledMachine;
  report: Heartbeat;
  token: number;
  since: number;
}

/** The answer to a report that was held; null: whoever asks is to come again. */
export interface ReleasedResponse {
  rid: number;
  token: number;
  orders: TaskOrder[] | null;
}

/**
 * A start goes out in the answer to a report only. So the answer to a machine that has nothing to do, or whose next tasks are
 * just being made durable, waits a little for them: otherwise they would wait for the machine's next report. Nothing is given
 * to know or to keep by that: the worker's lease counts from when the report was sent, and it drops what comes after 4 s.
 */
export class HeldResponses {
  private readonly held = new Map<string, Held>();

  constructor(
    private readonly settings: Settings,
    private readonly heartbeatReconciler: HeartbeatReconciler,
    private readonly clock: Clock,
  ) {}

  /** Whether the answer to a report that asks for none at once may wait. */
  tryHold(machine: ScheduledMachine, report: Heartbeat, token: number, rid: number): boolean {
    // Agents are asked for a report when there is something to start. What is to end soon must not wait for its report.
    if (this.settings.pool || report.fencingToken !== token || report.noticeS !== null || machine.quarantined)
      return false;
    if (machine.record.state !== 'use' || machine.releasing) return false;
    const running = [...machine.placements.values()].some(
      (placement) => placement.startSentWith !== null || !placement.placedByThisProcess,
    );
    if (running ? !this.heartbeatReconciler.awaitsDurableStart(machine) : report.tasks.length > 0)
      return false;
    this.held.set(machine.host, { rid, machine, report, token, since: this.clock.now });
    return true;
  }

  /** A newer report of the machine: the one before has been given up, and its answer may start nothing any more. */
  releaseSuperseded(host: string): ReleasedResponse | null {
    const h = this.held.get(host);
    if (!h) return null;
    this.held.delete(host);
    return { rid: h.rid, token: h.token, orders: [] };
  }

  /** Those that have waited long enough, or whose tasks may start. `stands`: it is still this process that answers for it. */
  *releaseDue(stands: (machine: ScheduledMachine, token: number) => boolean): Generator<ReleasedResponse> {
    for (const [host, { rid, machine, report, token, since }] of this.held) {
      const over = this.clock.now - since >= holdTimeoutMs;
      if (!over && (machine.placements.size === 0 || this.heartbeatReconciler.awaitsDurableStart(machine)))
        continue;
      this.held.delete(host);
      yield {
        rid,
        token,
        orders: stands(machine, token) ? this.heartbeatReconciler.currentOrders(machine, report) : null,
      };
    }
  }
}
