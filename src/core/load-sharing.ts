/**
 * Load sharing between controllers: an overloaded owner has its peers keep the agents that reach them and forward their
 * heartbeats, redirects agents to a peer, and as a last resort hands its shards over.
 */
import type { Settings } from '../config/settings.js';
import {
  handoverTarget,
  leastBusyHelper,
  needsOffload,
  offloadAbove,
  shouldRedirect,
  type ControllerLoad,
  type ShardTraffic,
} from '../policy/load-sharing.js';
import type { Clock, Log } from './effects.js';
import type { Peers } from './peers.js';
import type { ShardManager } from './shard-manager.js';

/** A shard that was handed over stays for so many worker leases. */
const minOwnershipLeases = 4;
/** Share of a worker lease between two looks at whether a shard should be handed over. */
const handoverCheckLeases = 0.5;
/** At most this share of the machines is redirected between two measurements: the helper's load must show first. */
const maxRedirectedShare = 0.1;

/** What load sharing is created with. */
export interface LoadSharingOptions {
  readonly settings: Settings;
  readonly shardManager: ShardManager;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Above so many connections an owner wants its peers to keep agents. */
  readonly preferredConnections: number;
  /** Whether the replica is fresh enough for workers to be answered from it. */
  readonly mayAnswerWorkers: () => boolean;
  /** Grants a shard to another process. */
  readonly handOver: (shard: number, member: string, instanceId: string) => void;
  readonly log: Log;
}

/** Measures the load of this controller, and decides what of it peers take. */
export class LoadSharing {
  private load: ControllerLoad = { utilization: 0, connections: 0, machines: 0, forwardedShare: 0 };
  private offloading = false;
  /** Heartbeats since the load was last measured, and how many of them peers forwarded. */
  private heartbeats = 0;
  private forwardedHeartbeats = 0;
  private redirects = 0;
  /** Heartbeats since the last look at handover: received directly, and forwarded by each peer. */
  private direct = 0;
  private forwardedBy = new Map<string, number>();
  private checkedAt = 0;

  constructor(private readonly options: LoadSharingOptions) {}

  /** The share of its time that this controller is busy. */
  get utilization(): number {
    return this.load.utilization;
  }

  /** Whether this controller is so busy that responses should not be held. */
  get isBusy(): boolean {
    return this.load.utilization >= offloadAbove;
  }

  /** Whether peers are asked to keep the agents that reach them, and to forward their heartbeats. */
  get isOffloading(): boolean {
    return this.offloading;
  }

  /** Counts a heartbeat of a machine of ours. `forwardedBy`: the peer that forwarded it; null: it came directly. */
  recordHeartbeat(forwardedBy: string | null): void {
    this.heartbeats++;
    if (forwardedBy === null) {
      this.direct++;
      return;
    }
    this.forwardedHeartbeats++;
    this.forwardedBy.set(forwardedBy, (this.forwardedBy.get(forwardedBy) ?? 0) + 1);
  }

  /** The peer that one more agent should be redirected to, or null. A redirect is counted. */
  takeRedirectTarget(): string | null {
    const { shardManager, peers, preferredConnections } = this.options;
    const maxRedirects = Math.max(1, shardManager.machines.size * maxRedirectedShare);
    if (!this.offloading || this.redirects >= maxRedirects) return null;
    const helper = leastBusyHelper(peers.livePeers());
    if (helper === null || !shouldRedirect(this.load, preferredConnections, helper.busy)) return null;
    this.redirects++;
    return helper.member;
  }

  /** A measurement of this process since the last one. */
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

  /** One step: looks from time to time whether a shard would be served better by a peer. */
  tick(): void {
    const { settings, clock } = this.options;
    const intervalMs = settings.workers.lease_s * 1000 * handoverCheckLeases;
    if (clock.now - this.checkedAt < intervalMs) return;
    this.checkedAt = clock.now;
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
