/** Limits on a controller's resource use. Each is a share of the quota in the platform's settings. */

/** The settings that the limits are derived from. */
export interface LimitSettings {
  readonly quota: { readonly mem_mb: number; readonly fd_limit: number };
  readonly peers: readonly unknown[];
}

/** Limits on connections. */
export interface SocketLimits {
  /** The most connections from users, workers and health probes; further ones are refused. */
  readonly max: number;
  /** Above this number of connections, idle ones are closed. */
  readonly closeIdleAbove: number;
  /** Above this number of connections, workers are asked to report through another controller. */
  readonly preferred: number;
  /** The most outgoing connections that deliver orders to workers. */
  readonly outgoingOrders: number;
  /** The most connections from other controllers. */
  readonly peers: number;
}

/** Limits on memory, MB. */
export interface MemoryLimits {
  /** Above this memory use, garbage is collected at once. */
  readonly collectGarbageAboveMb: number;
  /** If memory use is still above this after the collection, only the most important requests are accepted. */
  readonly shedLoadAboveMb: number;
}

/** All limits of a controller. */
export interface Limits {
  readonly sockets: SocketLimits;
  /** The most user requests that may wait for a read of the state. */
  readonly maxWaitingRequests: number;
  /** The most forwarded heartbeats that may wait for the response of their machine's owner. */
  readonly maxForwardedHeartbeats: number;
  readonly memory: MemoryLimits;
}

/** Shares of the file descriptors. */
const maxSocketShare = 0.8;
const closeIdleShare = 2 / 3;
const preferredShare = 0.5;
const outgoingOrderShare = 1 / 16;
/** Connections per peer: it may open a new one before the end of an old one is noticed. */
const connectionsPerPeer = 8;
/** Shares of the memory. */
const collectGarbageShare = 0.75;
const shedLoadShare = 0.85;
/** A waiting request takes about 10 kB, so this number per MB uses at most a tenth of the memory. */
const waitingRequestsPerMb = 10;

/** Derives the limits from the settings. */
export function limitsOf({ quota, peers }: LimitSettings): Limits {
  const descriptors = (share: number): number => Math.max(1, Math.floor(quota.fd_limit * share));
  return {
    sockets: {
      max: descriptors(maxSocketShare),
      closeIdleAbove: descriptors(closeIdleShare),
      preferred: descriptors(preferredShare),
      outgoingOrders: descriptors(outgoingOrderShare),
      peers: connectionsPerPeer * Math.max(1, peers.length),
    },
    maxWaitingRequests: Math.ceil(quota.mem_mb * waitingRequestsPerMb),
    maxForwardedHeartbeats: descriptors(preferredShare),
    memory: {
      collectGarbageAboveMb: quota.mem_mb * collectGarbageShare,
      shedLoadAboveMb: quota.mem_mb * shedLoadShare,
    },
  };
}
