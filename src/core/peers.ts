/** Tracks the status of the other controllers of the deployment, and broadcasts the status of this controller. */
import type { MemberDemand, MemberStatus } from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import type { Clock, Effect, PeerStatus } from './effects.js';
import type { Replica } from './replica.js';

/** A status that is older than this many state leases is ignored. */
const maxStatusAgeLeases = 2;
/** The minimum number of status broadcasts per state lease. */
const broadcastsPerLease = 4;
/**
 * After this share of a state lease, a controller whose presence record is gone knows about it: it has either asked the state service
 * or been unable to reach it.
 */
const presenceLossKnownLeases = 0.5;

interface ReceivedStatus {
  readonly status: PeerStatus;
  readonly receivedAt: number;
}

/** The part of a status that is not derived from the replica. */
export type OwnStatus = Pick<PeerStatus, 'utilizationPermille' | 'wantsForwarding' | 'demand'>;

/** The dependencies of the peer registry. */
export interface PeersOptions {
  readonly settings: Settings;
  /** Identifies this process. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly clock: Clock;
  /** The duration of this process's state lease, ms. */
  readonly leaseTtlMs: number;
}

/** Keeps the newest status of every peer, and broadcasts the status of this controller. */
export class Peers {
  private readonly members: readonly string[];
  private readonly statuses = new Map<string, ReceivedStatus>();
  /** When the presence record of each peer was last seen, ms. */
  private readonly presentAt = new Map<string, number>();
  private broadcastAt = -Infinity;
  /** The newest revision that any peer has reported, and when a status of any peer was last received, ms. */
  newestReported = { revision: -1, at: -Infinity };
  /** Returns the number of jobs that this process knows. */
  ownJobCount: () => number;

  constructor(private readonly options: PeersOptions) {
    this.members = options.settings.peers.map((peer) => peer.member);
    this.ownJobCount = () => options.replica.jobCount;
  }

  /** Records a status received from a peer. */
  onStatus(from: string, status: PeerStatus): void {
    const { now } = this.options.clock;
    // A peer that has just started waits for the status of every controller, so broadcast in the next step.
    if (this.statuses.get(from)?.status.instanceId !== status.instanceId) this.broadcastAt = -Infinity;
    this.statuses.set(from, { status, receivedAt: now });
    this.newestReported = { revision: Math.max(this.newestReported.revision, status.revision), at: now };
  }

  /** The peers that are present and have recently sent a status, with the share of time that they are busy. */
  *livePeers(): Generator<{ member: string; busy: number }> {
    for (const [member, received] of this.statuses) {
      const { instanceId, utilizationPermille } = received.status;
      if (this.isRecent(received) && this.options.replica.isAlive(member, instanceId))
        yield { member, busy: utilizationPermille / 1000 };
    }
  }

  /** The number of peers that have followed the state beyond a revision. */
  countAhead(revision: number): number {
    return this.recentStatuses().filter((status) => status.revision > revision).length;
  }

  /** The largest number of jobs that any peer knows. */
  get maxJobCount(): number {
    return Math.max(0, ...this.recentStatuses().map((status) => status.jobCount));
  }

  /** Whether a status of every peer has been received since this process started. */
  get heardFromAll(): boolean {
    return this.members.every((member) => this.statuses.has(member));
  }

  /** The instance id of the process that last sent a status under a peer's name. */
  instanceIdOf(member: string): string | undefined {
    return this.statuses.get(member)?.status.instanceId;
  }

  /** Whether a peer asks the others to accept heartbeats of its workers and forward them. */
  wantsForwarding(member: string): boolean {
    const received = this.statuses.get(member);
    return received !== undefined && received.status.wantsForwarding && this.isRecent(received);
  }

  private isRecent({ receivedAt }: ReceivedStatus): boolean {
    return this.options.clock.now - receivedAt < maxStatusAgeLeases * this.options.leaseTtlMs;
  }

  private recentStatuses(): PeerStatus[] {
    return [...this.statuses.values()]
      .filter((received) => this.isRecent(received))
      .map((received) => received.status);
  }

  /**
   * Broadcasts the status of this controller if it is due. `newRevision` is a revision that peers should learn of immediately; null if
   * there is none. `ownStatus` is called only if a status is sent.
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
   * The write demand and presence of each peer. The demand is null if no recent status was received, or if the peer's presence record is
   * gone: such a peer does not write.
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
