/** Load sharing: how the processing of heartbeats is shared between a shard's owner and the other controllers. */

/** The load of a controller. */
export interface ControllerLoad {
  /** The share of time that it is busy, from 0 to 1. */
  readonly utilization: number;
  /** The number of open connections. */
  readonly connections: number;
  /** The number of machines whose heartbeats reach it, directly or forwarded. */
  readonly machines: number;
  /** The share of its machines' heartbeats that are forwarded by peers. */
  readonly forwardedShare: number;
}

/** A peer that may take over load. */
export interface HelperCandidate {
  readonly member: string;
  /** The share of time that it is busy, from 0 to 1. */
  readonly busy: number;
}

/** Above this utilization, a controller offloads: it asks its peers to keep the agents that connect to them. */
export const offloadStartUtilization = 0.7;
/**
 * Offloading ends only when the utilization that the controller would have without it is no higher than this. Up to this
 * value, utilization is no reason to redirect agents either.
 */
const offloadEndUtilization = 0.4;
/** A controller whose utilization is not below this takes over no load from its peers. */
const maxHelperUtilization = 0.6;
/**
 * Hysteresis: offloading ends only below this multiple of the limit that starts it, so that agents do not move back and
 * forth.
 */
const offloadEndFactor = 0.8;
/** A controller redirects agents to a helper while its utilization is more than this multiple of the helper's. */
const redirectRatio = 1.2;
/** The cost of a forwarded heartbeat to the shard's owner, relative to that of a direct one. */
const forwardingCost = 0.35;

/** The utilization that a controller would have if all of its agents connected to it directly. */
const utilizationWithoutForwarding = ({ utilization, forwardedShare }: ControllerLoad): number =>
  utilization / (1 - forwardedShare * (1 - forwardingCost));

/**
 * Whether a controller needs its peers to keep the agents that connect to them. `offloading`: they do so already;
 * `preferredConnections`: the number of connections that the controller should have itself.
 */
export function needsOffload(
  offloading: boolean,
  load: ControllerLoad,
  preferredConnections: number,
): boolean {
  if (load.utilization > offloadStartUtilization || load.connections > preferredConnections) return true;
  return (
    offloading &&
    (utilizationWithoutForwarding(load) > offloadEndUtilization ||
      load.machines > preferredConnections * offloadEndFactor)
  );
}

/** Whether one more agent should be redirected to a helper: until both have about the same utilization. */
export const shouldRedirect = (
  load: ControllerLoad,
  preferredConnections: number,
  helperUtilization: number,
): boolean =>
  load.utilization > Math.max(offloadEndUtilization, helperUtilization * redirectRatio) ||
  load.connections > preferredConnections * offloadEndFactor;

/** The least busy peer that can take over load; null if none can. */
export function leastBusyHelper(peers: Iterable<HelperCandidate>): HelperCandidate | null {
  let best: HelperCandidate | null = null;
  for (const peer of peers)
    if (peer.busy < maxHelperUtilization && (best === null || peer.busy < best.busy)) best = peer;
  return best;
}

/** The number of heartbeats of a shard's machines since the last check, and the load of the shard's owner. */
export interface ShardTraffic {
  /** Heartbeats received directly from agents. */
  readonly direct: number;
  /** Heartbeats forwarded by each peer. */
  readonly forwardedBy: ReadonlyMap<string, number>;
  /** Whether peers forward heartbeats because the owner asked them to. */
  readonly offloading: boolean;
  readonly utilization: number;
}

/** An owner that receives less than this share of heartbeats directly, without offloading, is cut off from its agents. */
const minDirectShare = 0.35;
/** With fewer heartbeats than this, their direct share is not significant. */
const minHeartbeats = 10;
/** Above this utilization, an owner that is already offloading is overloaded. */
const overloadUtilization = 0.97;

/** The peer that a shard should be handed over to; null if its owner serves it as well as any other could. */
export function handoverTarget(traffic: ShardTraffic, peers: readonly HelperCandidate[]): string | null {
  const { direct, forwardedBy, offloading, utilization } = traffic;
  const total = [...forwardedBy.values()].reduce((a, b) => a + b, direct);
  if (!offloading && total >= minHeartbeats && direct < total * minDirectShare) {
    const [member] = [...forwardedBy].sort((a, b) => b[1] - a[1])[0];
    return peers.some((p) => p.member === member && p.busy < maxHelperUtilization) ? member : null;
  }
  // Overloaded despite offloading: the owner's machine is slow.
  if (offloading && utilization > overloadUtilization) return leastBusyHelper(peers)?.member ?? null;
  return null;
}
