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
    own: number;
    /** Orders under way to workers. */
    orders: number;
    /** Connections from other controllers. */
    peers: number;
  };
  /** Requests of users that wait for a reading of the state. */
  waiting: number;
  /** Reports under way to the owner of their machine. */
  relays: number;
  memory: {
    /** Above so much held, MB, garbage is collected at once. */
    collectMb: number;
    /** Above so much still held after that, MB, only what is needed most is taken in. */
    tightMb: number;
  };
}

const mostShare = 0.8;
const comfortableShare = 2 / 3;
const ownShare = 0.5;
const ordersShare = 1 / 16;
const collectShare = 0.75;
const tightShare = 0.85;
/** A request that waits holds some 10 kB: so many for each MB let them use a tenth of it. */
const waitingPerMb = 10;

export function limitsOf({ quota, peers }: LimitSettings): Limits {
  const at = (share: number): number => Math.max(1, Math.floor(quota.fd_limit * share));
  return {
    sockets: {
      most: at(mostShare),
      comfortable: at(comfortableShare),
      own: at(ownShare),
      orders: at(ordersShare),
      peers: 8 * Math.max(1, peers.length),
    },
    waiting: Math.ceil(quota.mem_mb * waitingPerMb),
    relays: at(ownShare),
    memory: { collectMb: quota.mem_mb * collectShare, tightMb: quota.mem_mb * tightShare },
  };
}
