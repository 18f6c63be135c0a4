/** What the limits are derived from: the platform's settings. */
export interface LimitSettings {
  quota: { mem_mb: number; fd_limit: number };
  peers: readonly unknown[];
}

/** What a controller lets itself use. Everything is a share of what the platform gives it. */
export interface Limits {
  sockets: {
    /** Users', workers' and probes' connections; more are refused. */
    most: number;
    /** Above so many, those that are needed least are closed. */
    comfortable: number;
    /** Above so many, workers are asked to report through another controller. */
    preferred: number;
    /** Orders under way to workers. */
    outgoingOrders: number;
    /** Connections from other controllers. */
    peers: number;
  };
  /** Requests of users that wait for a reading of the state. */
  maxWaitingRequests: number;
  /** Reports under way to the owner of their machine. */
  maxForwardedHeartbeats: number;
  memory: {
    /** Above so much held, MB, garbage is collected at once. */
    collectGarbageAboveMb: number;
    /** Above so much still held after that, MB, only what is needed most is taken in. */
    shedLoadAboveMb: number;
  };
}

const maxShare = 0.8;
const closeIdleShare = 2 / 3;
const preferredShare = 0.5;
const ordersShare = 1 / 16;
const collectShare = 0.75;
const shedLoadShare = 0.85;
/** A request that waits holds some 10 kB: so many for each MB let them use a tenth of it. */
const waitingRequestsPerMb = 10;

export function limitsOf({ quota, peers }: LimitSettings): Limits {
  const at = (share: number): number => Math.max(1, Math.floor(quota.fd_limit * share));
  return {
    sockets: {
      most: at(maxShare),
      comfortable: at(closeIdleShare),
      preferred: at(preferredShare),
      outgoingOrders: at(ordersShare),
      peers: 8 * Math.max(1, peers.length),
    },
    maxWaitingRequests: Math.ceil(quota.mem_mb * waitingRequestsPerMb),
    maxForwardedHeartbeats: at(preferredShare),
    memory: {
      collectGarbageAboveMb: quota.mem_mb * collectShare,
      shedLoadAboveMb: quota.mem_mb * shedLoadShare,
    },
  };
}
