/** How the work of answering workers is shared between a shard's owner and the other controllers. */

/** What a controller has to do. */
export interface ControllerLoad {
  /** The share of its time that it works; 1: all of it. */
  utilization: number;
  /** Open connections. */
  connections: number;
  /** Machines whose workers report to it, directly or through others. */
  machines: number;
  /** The share of its workers' reports that come through others. */
  forwardedShare: number;
}

/** Above this share of its time a controller wants help, below that share none any more. */
export const offloadAbove = 0.7;
const offloadUntil = 0.4;
/** A controller that is busier than this takes no more of others' work. */
const maxHelperUtilization = 0.6;
/** So much less than what makes it ask for help must be there for it to do without: otherwise it would come and go. */
const offloadEndShare = 0.8;

/** A controller that has so many times as much to do as a helper sends workers there. */
const redirectRatio = 1.2;

/** Whether others should keep the workers that reach them. `own`: so many connections it likes to have itself. */
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

/** A report that comes through another costs its owner this share of one that comes straight. */
const forwardingCost = 0.35;

/** How busy a controller would be if all of its workers came straight to it. */
const utilizationWithoutForwarding = ({
  utilization: busy,
  forwardedShare: shared,
}: ControllerLoad): number => busy / (1 - shared * (1 - forwardingCost));

/** Whether one more worker should be sent to a helper that is so busy: until they have as much to do. */
export const shouldRedirect = (
  load: ControllerLoad,
  preferredConnections: number,
  helperUtilization: number,
): boolean =>
  load.utilization > Math.max(offloadUntil, helperUtilization * redirectRatio) ||
  load.connections > preferredConnections * offloadEndShare;

/** The least busy of the others that could help, or null. */
export function leastBusyHelper(
  others: Iterable<{ member: string; busy: number }>,
): { member: string; busy: number } | null {
  let best: { member: string; busy: number } | null = null;
  for (const o of others)
    if (o.busy < maxHelperUtilization && (best === null || o.busy < best.busy)) best = o;
  return best;
}

/** What decides about handing a shard over. */
export interface ShardTraffic {
  /** Reports that came straight from workers, and through each other controller, since the last look. */
  direct: number;
  through: ReadonlyMap<string, number>;
  /** Others help with its workers because it asked them to. */
  helped: boolean;
  busy: number;
}

/** An owner that hears less than this share of its workers itself, though it asked nobody for help, is cut off from them. */
const minDirectShare = 0.35;
/** With fewer reports than this nothing can be told. */
const minHeartbeats = 10;
const overloadedAbove = 0.97;

/** Whom a shard should be handed to, or null: the owner serves it as well as anybody could. */
export function handoverTarget(
  traffic: ShardTraffic,
  others: readonly { member: string; busy: number }[],
): string | null {
  const forwarded = [...traffic.through.values()].reduce((a, b) => a + b, 0);
  const total = traffic.direct + forwarded;
  if (!traffic.helped && total >= minHeartbeats && traffic.direct < total * minDirectShare) {
    const [member] = [...traffic.through].sort((a, b) => b[1] - a[1])[0];
    return others.some((o) => o.member === member && o.busy < maxHelperUtilization) ? member : null;
  }
  // Helped already and still short of time: a machine that computes slowly.
  if (traffic.helped && traffic.busy > overloadedAbove) return leastBusyHelper(others)?.member ?? null;
  return null;
}
