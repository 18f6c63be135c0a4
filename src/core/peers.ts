/** The other controllers of the deployment: the status that they broadcast, and this controller's own broadcasts. */
import type { MemberDemand, MemberStatus } from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import type { Clock, Effect, PeerStatus } from './effects.js';
import type { Replica } from './replica.js';

/** A status older than so many state leases is ignored. */
const maxStatusAgeLeases = 2;
/** A status is broadcast at least so many times in a state lease. */
const broadcastsPerLease = 4;
/**
 * A controller that does not reach the state service for this share of its state lease, or has asked it, knows that its
 * presence is gone.
 */
const presenceLossKnownLeases = 0.5;

interface ReceivedStatus {
  readonly status: PeerStatus;
  readonly receivedAt: number;
}

/** What a status says apart from what the replica knows. */
export type OwnStatus = Pick<PeerStatus, 'utilizationPermille' | 'wantsForwarding' | 'demand'>;

/** What the register of peers is created with. */
export interface PeersOptions {
  readonly settings: Settings;
  /** Identifies this process. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly clock: Clock;
  /** How long this process's state lease lasts. */
  readonly leaseTtlMs: number;
}

/** Keeps the newest status of every peer, and broadcasts the status of this controller. */
export class Peers {
  private readonly members: readonly string[];
  private readonly statuses = new Map<string, ReceivedStatus>();
  /** When each peer's presence record was last seen, ms. */
  private readonly presentAt = new Map<string, number>();
  private broadcastAt = -Infinity;
  /** The newest revision that a peer has reported, and when a peer was last heard, ms. */
  newestKnown = { revision: -1, at: -Infinity };
  /** How many jobs this process knows. */
  ownJobCount: () => number;

  constructor(private readonly options: PeersOptions) {
    this.members = options.settings.peers.map((p) => p.member);
    this.ownJobCount = () => options.replica.jobCount;
  }

  /** Takes in a peer's status. */
  onStatus(from: string, status: PeerStatus): void {
    const { now } = this.options.clock;
    // A process that has just started waits to hear from everybody.
    if (this.statuses.get(from)?.status.instanceId !== status.instanceId) this.broadcastAt = -Infinity;
    this.statuses.set(from, { status, receivedAt: now });
    this.newestKnown = { revision: Math.max(this.newestKnown.revision, status.revision), at: now };
  }

  /** Peers that are present and were heard recently, and how busy they are. */
  *livePeers(): Generator<{ member: string; busy: number }> {
    for (const [member, received] of this.statuses) {
      const { instanceId, utilizationPermille } = received.status;
      if (this.isRecent(received) && this.options.replica.isAlive(member, instanceId))
        yield { member, busy: utilizationPermille / 1000 };
    }
  }

  /** How many peers have followed the state further than this revision. */
  countAhead(revision: number): number {
    return this.recentStatuses().filter((s) => s.revision > revision).length;
  }

  /** The largest number of jobs that a peer knows. */
  get maxJobCount(): number {
    return Math.max(0, ...this.recentStatuses().map((s) => s.jobCount));
  }

  /** Whether every peer has been heard since this process started. */
  get heardFromAll(): boolean {
    return this.members.every((m) => this.statuses.has(m));
  }

  /** The process that was last heard under a peer's name. */
  instanceIdOf(member: string): string | undefined {
    return this.statuses.get(member)?.status.instanceId;
  }

  /** Whether a peer asks the others to keep its workers and to forward their heartbeats. */
  wantsForwarding(member: string): boolean {
    const received = this.statuses.get(member);
    return received !== undefined && received.status.wantsForwarding && this.isRecent(received);
  }

  private isRecent({ receivedAt }: ReceivedStatus): boolean {
    return this.options.clock.now - receivedAt < maxStatusAgeLeases * this.options.leaseTtlMs;
  }

  private recentStatuses(): PeerStatus[] {
    return [...this.statuses.values()].filter((r) => this.isRecent(r)).map((r) => r.status);
  }

  /**
   * Broadcasts the status of this controller if it is due. `newRevision`: a revision that the peers should learn of at
   * once; null: there is no news. `ownStatus` is asked for only if a status is sent.
   */
  broadcastStatus(out: Effect[], ownStatus: () => OwnStatus, newRevision: number | null): void {
    const { instanceId, replica, clock, leaseTtlMs } = this.options;
    const isDue = clock.now - this.broadcastAt >= leaseTtlMs / broadcastsPerLease;
    if (newRevision === null && !isDue) return;
    this.broadcastAt = clock.now;
    const status: PeerStatus = {
      revision: Math.max(replica.watchRevision, newRevision ?? -1),
      instanceId: instanceId,
      ...ownStatus(),
      incarnation: replica.incarnation?.number ?? 0,
      jobCount: this.ownJobCount(),
    };
    out.push({ type: 'peer-status', status });
  }

  /**
   * The share of the state service's writes that each peer wants; null: it was not heard. A peer whose presence is gone
   * writes nothing.
   */
  demands(): Map<string, Omit<MemberStatus, 'name'>> {
    const { replica, clock, leaseTtlMs } = this.options;
    return new Map(
      this.members.map((member) => {
        const isPresent = replica.watchRevision < 0 || replica.presences.has(member);
        if (isPresent) this.presentAt.set(member, clock.now);
        const absentMs = clock.now - (this.presentAt.get(member) ?? -Infinity);
        const hasFallenBack = absentMs > leaseTtlMs * presenceLossKnownLeases;
        return [member, { isPresent, hasFallenBack, demand: isPresent ? this.recentDemand(member) : null }];
      }),
    );
  }

  private recentDemand(member: string): MemberDemand | null {
    const received = this.statuses.get(member);
    return received && this.isRecent(received) ? received.status.demand : null;
  }
}
