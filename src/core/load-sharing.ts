/**
 * Load sharing between controllers: an overloaded owner asks its peers to accept the connections of its workers and forward their
 * heartbeats, redirects workers to a peer, and as a last resort hands over its shards.
 */
import type { Settings } from '../config/settings.js';
import {
  handoverTarget,
  leastBusyHelper,
  needsOffload,
  offloadStartUtilization,
  shouldRedirect,
  type ControllerLoad,
  type ShardTraffic,
} from '../policy/load-sharing.js';
import type { Clock, Log } from './effects.js';
import type { Peers } from './peers.js';
import type { ShardManager } from './shard-manager.js';

/** A controller keeps its shards for at least this many worker leases after it last acquired one. */
const minOwnershipLeases = 4;
/** The interval between checks whether a shard should be handed over, in worker leases. */
const handoverCheckLeases = 0.5;
/** The maximum share of the machines that is redirected between two load measurements, so that the helper's added load is seen first. */
const maxRedirectedShare = 0.1;

/** The dependencies of load sharing. */
export interface LoadSharingOptions {
  readonly settings: Settings;
  readonly shardManager: ShardManager;
  readonly peers: Peers;
  readonly clock: Clock;
  /** With more connections than this, an owner asks its peers to accept workers' connections. */
  readonly preferredConnections: number;
  /** Whether the replica is recent enough to answer workers from it. */
  readonly mayAnswerWorkers: () => boolean;
  /** Assigns a shard to another process. */
  readonly handOver: (shard: number, member: string, instanceId: string) => void;
  readonly log: Log;
}

/** Tracks the load of this controller, and decides which part of it is moved to peers. */
export class LoadSharing {
  private load: ControllerLoad = { utilization: 0, connections: 0, machines: 0, forwardedShare: 0 };
  private offloading = false;
  /** The number of heartbeats since the load was last measured, and how many of them were forwarded by peers. */
  private heartbeats = 0;
  private forwardedHeartbeats = 0;
  private redirects = 0;
  /** Heartbeats since the last handover check: received directly, and forwarded by each peer. */
  private direct = 0;
  private forwardedBy = new Map<string, number>();
  private handoverCheckedAt = 0;

  constructor(private readonly options: LoadSharingOptions) {}

  /** The share of time that this controller is busy. */
  get utilization(): number {
    return this.load.utilization;
  }

  /** Whether this controller is so busy that responses should not be held. */
  get isBusy(): boolean {
    return this.load.utilization >= offloadStartUtilization;
  }

  /** Whether peers are asked to accept workers' connections and forward their heartbeats. */
  get isOffloading(): boolean {
    return this.offloading;
  }

  /** Counts a heartbeat of an owned machine. `forwardedBy` is the peer that forwarded it; null if it came directly. */
  recordHeartbeat(forwardedBy: string | null): void {
    this.heartbeats++;
    if (forwardedBy === null) {
      this.direct++;
      return;
    }
    this.forwardedHeartbeats++;
    this.forwardedBy.set(forwardedBy, (this.forwardedBy.get(forwardedBy) ?? 0) + 1);
  }

  /** Returns the peer to which one more worker should be redirected, and counts the redirect; null if there is none. */
  takeRedirectTarget(): string | null {
    const { shardManager, peers, preferredConnections } = this.options;
    const maxRedirects = Math.max(1, shardManager.machines.size * maxRedirectedShare);
    if (!this.offloading || this.redirects >= maxRedirects) return null;
    const helper = leastBusyHelper(peers.livePeers());
    if (helper === null || !shouldRedirect(this.load, preferredConnections, helper.busy)) return null;
    this.redirects++;
    return helper.member;
  }

  /** Takes the load of this process since the previous measurement, and updates whether this controller is offloading. */
  onLoadMeasured(utilization: number, connections: number): void {
    const { shardManager, preferredConnections, log } = this.options;
    const forwardedShare = this.heartbeats > 0 ? this.forwardedHeartbeats / this.heartbeats : 0;
    this.load = { utilization, connections, machines: shardManager.machines.size, forwardedShare };
    this.heartbeats = this.forwardedHeartbeats = 0;
    this.redirects = 0;
    const offloading =
      shardManager.ownedShards.size > 0 && needsOffload(this.offloading, this.load, preferredConnections);
    if (offloading === this.offloading) return;
    this.offloading = offloading;
    const message = offloading ? 'heartbeat forwarding requested' : 'heartbeat forwarding ended';
    log('info', message, { ...this.load });
  }

  /** Runs one step: checks periodically whether a peer should take over the shards. */
  tick(): void {
    const { settings, clock } = this.options;
    const intervalMs = settings.workers.lease_s * 1000 * handoverCheckLeases;
    if (clock.now - this.handoverCheckedAt < intervalMs) return;
    this.handoverCheckedAt = clock.now;
    this.considerHandover(this.takeTraffic());
  }

  private takeTraffic(): ShardTraffic {
    const { direct, forwardedBy, offloading, utilization } = this;
    this.direct = 0;
    this.forwardedBy = new Map();
    return { direct, forwardedBy, offloading, utilization };
  }

  private considerHandover(traffic: ShardTraffic): void {
    const { settings, shardManager, peers, clock, mayAnswerWorkers, handOver, log } = this.options;
    const minOwnershipMs = settings.workers.lease_s * 1000 * minOwnershipLeases;
    const isSettled = clock.now - shardManager.lastAcquiredAt > minOwnershipMs;
    if (shardManager.ownedShards.size === 0 || !isSettled || !mayAnswerWorkers()) return;
    const to = handoverTarget(traffic, [...peers.livePeers()]);
    const instanceId = to === null ? undefined : peers.instanceIdOf(to);
    if (to === null || instanceId === undefined) return;
    const { direct, utilization } = traffic;
    const forwardedBy = Object.fromEntries(traffic.forwardedBy);
    for (const shard of shardManager.ownedShards) {
      log('info', 'handing over shard', { shard, to, direct, forwardedBy, utilization });
      handOver(shard, to, instanceId);
    }
  }
}
