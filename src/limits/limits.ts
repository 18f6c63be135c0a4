/** Limits on what a controller uses: each is a share of what the platform's settings give it. */

/** The settings that the limits are derived from. */
export interface LimitSettings {
  readonly quota: { readonly mem_mb: number; readonly fd_limit: number };
  readonly peers: readonly unknown[];
}

/** Limits on connections. */
export interface SocketLimits {
  /** The most connections of users, workers and probes; more are refused. */
  readonly max: number;
  /** Above so many connections the idle ones are closed. */
  readonly closeIdleAbove: number;
  /** Above so many connections workers are asked to report through another controller. */
  readonly preferred: number;
  /** The most connections to workers for orders. */
  readonly outgoingOrders: number;
  /** The most connections of other controllers. */
  readonly peers: number;
}

/** Limits on memory, MB. */
export interface MemoryLimits {
  /** Above so much in use, garbage is collected at once. */
  readonly collectGarbageAboveMb: number;
  /** Above so much still in use after that, only the most important requests are accepted. */
  readonly shedLoadAboveMb: number;
}

/** The limits that a controller keeps to. */
export interface Limits {
  readonly sockets: SocketLimits;
  /** The most requests of users that wait for a reading of the state. */
  readonly maxWaitingRequests: number;
  /** The most heartbeats that wait for the response of their machine's owner. */
  readonly maxForwardedHeartbeats: number;
  readonly memory: MemoryLimits;
}

/** Shares of the descriptors. */
const maxSocketShare = 0.8;
const closeIdleShare = 2 / 3;
const preferredShare = 0.5;
const outgoingOrderShare = 1 / 16;
/** Connections that each peer may have: a new one is opened before the end of an old one is noticed. */
const connectionsPerPeer = 8;
/** Shares of the memory. */
const collectGarbageShare = 0.75;
const shedLoadShare = 0.85;
/** A waiting request takes some 10 kB: so many for each MB use at most a tenth of the memory. */
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
