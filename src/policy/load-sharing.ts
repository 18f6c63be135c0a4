/** How the work of answering heartbeats is shared between a shard's owner and the other controllers. */

/** The load of a controller. */
export interface ControllerLoad {
  /** The share of its time that it is busy; 1: all of it. */
  readonly utilization: number;
  /** Open connections. */
  readonly connections: number;
  /** Machines whose heartbeats reach it, directly or forwarded. */
  readonly machines: number;
  /** The share of its machines' heartbeats that peers forward. */
  readonly forwardedShare: number;
}

/** A peer that may take over work. */
export interface HelperCandidate {
  readonly member: string;
  /** The share of its time that it is busy. */
  readonly busy: number;
}

/** Above this utilization a controller asks its peers to keep the agents that reach them. */
export const offloadAbove = 0.7;
/** Below this utilization it would have without their help, it no longer asks for it. */
const offloadUntil = 0.4;
/** A controller that is busier than this takes none of its peers' work. */
const maxHelperUtilization = 0.6;
/** Offloading ends only below this share of what starts it: otherwise agents would move to and fro. */
const offloadEndShare = 0.8;
/** A controller that is this many times as busy as a helper redirects agents to it. */
const redirectRatio = 1.2;
/** A forwarded heartbeat costs its owner this share of a direct one. */
const forwardingCost = 0.35;

/** How busy a controller would be if all of its agents connected to it directly. */
const utilizationWithoutForwarding = ({ utilization, forwardedShare }: ControllerLoad): number =>
  utilization / (1 - forwardedShare * (1 - forwardingCost));

/**
 * Whether peers should keep the agents that reach them. `offloading`: they do so already; `preferredConnections`: how many
 * connections the controller is meant to have itself.
 */
export function needsOffload(
  offloading: boolean,
  load: ControllerLoad,
  preferredConnections: number,
): boolean {
  if (load.utilization > offloadAbove || load.connections > preferredConnections) return true;
  return (
    offloading &&
    (utilizationWithoutForwarding(load) > offloadUntil ||
      load.machines > preferredConnections * offloadEndShare)
  );
}

/** Whether one more agent should be redirected to a helper: until both are about equally busy. */
export const shouldRedirect = (
  load: ControllerLoad,
  preferredConnections: number,
  helperUtilization: number,
): boolean =>
  load.utilization > Math.max(offloadUntil, helperUtilization * redirectRatio) ||
  load.connections > preferredConnections * offloadEndShare;

/** The least busy of the peers that can help, or null. */
export function leastBusyHelper(peers: Iterable<HelperCandidate>): HelperCandidate | null {
  let best: HelperCandidate | null = null;
  for (const peer of peers)
    if (peer.busy < maxHelperUtilization && (best === null || peer.busy < best.busy)) best = peer;
  return best;
}

/** The heartbeats of a shard's machines since the last check, and the load of its owner. */
export interface ShardTraffic {
  /** Heartbeats that came directly from agents. */
  readonly direct: number;
  /** Heartbeats that each peer has forwarded. */
  readonly forwardedBy: ReadonlyMap<string, number>;
  /** Whether peers forward heartbeats because the owner asked them to. */
  readonly offloading: boolean;
  readonly utilization: number;
}

/** An owner that gets less than this share of heartbeats directly, without offloading, is cut off from its agents. */
const minDirectShare = 0.35;
/** With fewer heartbeats than this nothing can be concluded. */
const minHeartbeats = 10;
/** Above this utilization an owner that offloads already is overloaded. */
const overloadedAbove = 0.97;

/** The peer that a shard should be handed over to, or null: its owner serves it as well as any other could. */
export function handoverTarget(traffic: ShardTraffic, peers: readonly HelperCandidate[]): string | null {
  const { direct, forwardedBy, offloading, utilization } = traffic;
  const total = [...forwardedBy.values()].reduce((a, b) => a + b, direct);
  if (!offloading && total >= minHeartbeats && direct < total * minDirectShare) {
    const [member] = [...forwardedBy].sort((a, b) => b[1] - a[1])[0];
    return peers.some((p) => p.member === member && p.busy < maxHelperUtilization) ? member : null;
  }
  // Helped already and still short of time: a machine that computes slowly.
  if (offloading && utilization > overloadedAbove) return leastBusyHelper(peers)?.member ?? null;
  return null;
}
