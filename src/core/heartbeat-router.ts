/** Routes the heartbeats of workers: answers them, redirects the worker to the owner of its machine, or forwards them to the owner. */
import type { Settings } from '../config/settings.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { encodeHeartbeatResponse, encodeRedirect } from '../wire/worker.js';
import type { Autoscaler } from './autoscaler/autoscaler.js';
import type { Clock, Effect } from './effects.js';
import { isNewerHeartbeat } from './heartbeat-reconciler.js';
import { HeldResponses, type ReleasedResponse } from './held-responses.js';
import type { LoadSharing } from './load-sharing.js';
import type { Peers } from './peers.js';
import type { Replica } from './replica.js';
import type { ShardManager } from './shard-manager.js';
import type { ScheduledMachine } from './shard-state/types.js';

/** The timeout of a forwarded heartbeat, ms; workers wait 4 s for a response. */
const forwardTimeoutMs = 2000;

/** The controller that is responsible for a machine, and the fencing token of its responses. */
type MachineOwner = NonNullable<ReturnType<Replica['responsibleController']>>;

/** The dependencies of a heartbeat router. */
export interface HeartbeatRouterOptions {
  readonly settings: Settings;
  /** Identifies this process. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly shardManager: ShardManager;
  readonly autoscaler: Autoscaler;
  readonly peers: Peers;
  readonly loadSharing: LoadSharing;
  readonly clock: Clock;
  /** The maximum number of forwarded heartbeats that wait for a peer's response. */
  readonly maxForwarded: number;
  /** Called with the highest fencing token that a worker has seen. */
  readonly onTokenReported: (token: number) => void;
  /** Whether the replica is recent enough to answer workers from it. */
  readonly mayAnswerWorkers: () => boolean;
  /** Whether the state service rejects writes, or user requests wait for their writes. */
  readonly areWritesScarce: () => boolean;
  readonly isLeader: () => boolean;
}

/** Handles heartbeats from workers and peers, and produces the responses. */
export class HeartbeatRouter {
  /** When a worker was last redirected to its machine's owner, by host, ms. */
  private readonly redirectedAt = new Map<string, number>();
  /** When each pending forwarded heartbeat was forwarded, by request id, ms; oldest first. */
  private readonly forwardedAt = new Map<number, number>();
  private readonly heldResponses: HeldResponses;

  constructor(private readonly options: HeartbeatRouterOptions) {
    const { settings, shardManager, clock } = options;
    this.heldResponses = new HeldResponses(settings, shardManager.heartbeatReconciler, clock);
  }

  /** Routes a heartbeat. `forwardedBy` is the peer that forwarded it; null if it came directly from the worker. */
  route(requestId: number, heartbeat: Heartbeat, forwardedBy: string | null, out: Effect[]): void {
    const { replica, autoscaler, loadSharing, onTokenReported } = this.options;
    onTokenReported(heartbeat.fencingToken);
    // No response is sent from an outdated replica: it may lack a cancellation that users have seen, and the response would keep the
    // task alive.
    if (!this.mayRespond) return respond(out, requestId, 503, {}, 1);
    const machine = replica.machines.get(heartbeat.host);
    if (!machine) return this.routeUnknownMachine(requestId, heartbeat, out);
    const owner = replica.responsibleController(machine);
    if (!owner || !this.isThisProcess(owner))
      return this.routeToOwner(requestId, heartbeat, owner, forwardedBy, out);
    this.redirectedAt.delete(heartbeat.host);
    // The newer token belongs to another process: this one no longer owns the shard, but its replica does not show it yet.
    if (heartbeat.fencingToken > owner.token) return respond(out, requestId, 421, encodeRedirect(null));
    loadSharing.recordHeartbeat(forwardedBy);
    if (machine.shard < 0) {
      autoscaler.recordHeartbeat(machine.host);
      return respond(out, requestId, 200, encodeHeartbeatResponse(owner.token, []));
    }
    this.respondAsOwner(requestId, heartbeat, owner.token, forwardedBy, out);
  }

  private get mayRespond(): boolean {
    return this.options.mayAnswerWorkers() && !this.options.replica.levels.mustStandBy;
  }

  private isThisProcess({ member, instanceId }: MachineOwner): boolean {
    return member === this.options.settings.member && instanceId === this.options.instanceId;
  }

  private routeUnknownMachine(requestId: number, heartbeat: Heartbeat, out: Effect[]): void {
    const { replica, autoscaler, isLeader } = this.options;
    if (!isLeader()) return respond(out, requestId, 421, encodeRedirect(replica.leader?.member ?? null));
    autoscaler.adoptReportingMachine(heartbeat);
    respond(out, requestId, 503, {}, 1);
  }

  /** Responds to the heartbeat of a machine that this process owns. */
  private respondAsOwner(
    requestId: number,
    heartbeat: Heartbeat,
    token: number,
    forwardedBy: string | null,
    out: Effect[],
  ): void {
    const { shardManager, autoscaler, loadSharing, areWritesScarce } = this.options;
    const { host } = heartbeat;
    const machine = shardManager.machines.get(host);
    if (!machine) return respond(out, requestId, 503, {}, 1);
    // Only a worker that has seen the current token may be redirected: its heartbeat has already confirmed what runs on the machine.
    const mayRedirect = forwardedBy === null && heartbeat.fencingToken === token;
    const helper = mayRedirect ? loadSharing.takeRedirectTarget() : null;
    if (helper !== null) return respond(out, requestId, 421, encodeRedirect(helper));
    autoscaler.recordHeartbeat(host);
    // A late copy does not supersede the held response: the worker may still be waiting for it.
    const isNewer = isNewerHeartbeat(heartbeat, machine);
    const superseded = isNewer ? this.heldResponses.releaseSuperseded(host) : null;
    if (superseded) respondReleased(out, superseded);
    const orders = shardManager.heartbeatReconciler.reconcile(machine, heartbeat, token);
    // If CPU time or writes are scarce, starts are delayed anyway and holding the response gains nothing.
    const hasSlack = !loadSharing.isBusy && !areWritesScarce();
    const mayHold = isNewer && forwardedBy === null && orders.length === 0 && hasSlack;
    if (mayHold && this.heldResponses.tryHold(machine, heartbeat, token, requestId)) return;
    respond(out, requestId, 200, encodeHeartbeatResponse(token, orders));
  }

  /** Redirects a worker to the owner of its machine, or forwards its heartbeat to the owner. */
  private routeToOwner(
    requestId: number,
    heartbeat: Heartbeat,
    owner: MachineOwner | null,
    forwardedBy: string | null,
    out: Effect[],
  ): void {
    const { settings, replica, peers, clock, maxForwarded } = this.options;
    const { host } = heartbeat;
    if (
      owner === null ||
      owner.member === settings.member ||
      !replica.isAlive(owner.member, owner.instanceId)
    )
      return respond(out, requestId, 421, encodeRedirect(null));
    // A worker that comes back after a redirect cannot reach the owner: its heartbeat is forwarded, so that a network partition between
    // two zones does not cost the worker its lease. Heartbeats are also forwarded to an owner that is offloading.
    const redirectedAt = this.redirectedAt.get(host) ?? -Infinity;
    const cannotReachOwner = clock.now - redirectedAt < settings.workers.lease_s * 1000;
    const shouldForward = forwardedBy === null && (cannotReachOwner || peers.wantsForwarding(owner.member));
    if (shouldForward && this.forwardedAt.size < maxForwarded) {
      if (cannotReachOwner) this.redirectedAt.set(host, clock.now);
      this.forwardedAt.set(requestId, clock.now);
      out.push({ type: 'forward-heartbeat', to: owner.member, requestId, report: heartbeat });
      return;
    }
    this.redirectedAt.set(host, clock.now);
    respond(out, requestId, 421, encodeRedirect(owner.member));
  }

  /** Passes the owner's response to a forwarded heartbeat on to the worker. */
  onForwardedResponse(requestId: number, status: number, body: object | string, out: Effect[]): void {
    if (this.forwardedAt.delete(requestId)) respond(out, requestId, status, body);
  }

  /** Runs one step: times out forwarded heartbeats, and sends the held responses that are due. */
  tick(out: Effect[]): void {
    const { now } = this.options.clock;
    for (const [requestId, at] of this.forwardedAt) {
      if (now - at <= forwardTimeoutMs) break;
      this.forwardedAt.delete(requestId);
      respond(out, requestId, 503, {});
    }
    const due = this.heldResponses.releaseDue((machine, token) => this.stillOwns(machine, token));
    for (const released of due) respondReleased(out, released);
  }

  /** Whether this process still owns a machine under the given token, so that an earlier heartbeat may still be answered. */
  private stillOwns(machine: ScheduledMachine, token: number): boolean {
    const { replica, shardManager } = this.options;
    const record = replica.machines.get(machine.host);
    const owner = record && replica.responsibleController(record);
    if (!this.mayRespond || !owner) return false;
    if (!this.isThisProcess(owner) || owner.token !== token) return false;
    return shardManager.machines.get(machine.host) === machine;
  }
}

function respond(
  out: Effect[],
  requestId: number,
  status: number,
  body: object | string,
  retryAfterS?: number,
): void {
  out.push({ type: 'respond', requestId, status, body, retryAfterS });
}

function respondReleased(out: Effect[], { requestId, token, orders }: ReleasedResponse): void {
  if (orders === null) respond(out, requestId, 503, {}, 1);
  else respond(out, requestId, 200, encodeHeartbeatResponse(token, orders));
}
