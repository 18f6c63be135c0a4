/** The write budget of the state service: its allocation to controllers, teams and classes, and this controller's share of it. */
import {
  divideWrites,
  equalShare,
  fallbackWrites,
  isWorthWriting,
  nextAllocation,
  teamWeights,
  type MemberDemand,
  type MemberStatus,
  type WriteAllocation,
  type WriteShare,
} from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import type { Clock, Log } from './effects.js';
import type { Membership } from './membership/index.js';
import type { Peers } from './peers.js';
import type { ReplicaFreshness } from './replica-freshness.js';
import type { Replica } from './replica.js';
import { allocationData, allocationKey, WritePriority, type TransactionBatcher } from './storage/index.js';

/** How often per state lease the leader evaluates a new allocation, and the maximum number of times that it writes one. */
const evaluationsPerLease = 4;
const writesPerLease = 2;
/** After this many state leases, a controller that does not follow the last allocation has fallen back to its minimum. */
const settledLeases = 1.25;

/** The writes per second that this controller may use, and the new jobs per second that all controllers together may admit. */
export interface LocalWriteShare extends WriteShare {
  readonly totalNewJobs: number;
  /** The rates by which this controller alternates between teams and classes; if empty, guarantee and urgency decide. */
  readonly workloadRates: ReadonlyMap<string, number>;
}

/** The dependencies of the write budget. */
export interface WriteBudgetOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly freshness: ReplicaFreshness;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly log: Log;
}

const noRates: ReadonlyMap<string, number> = new Map();

/**
 * The leader computes the allocation from the demands that all controllers report, and stores it. Every controller applies its share of
 * the newest allocation that it knows. A controller whose replica is older than its state lease falls back to its minimum. So no
 * controller follows an allocation that was replaced longer ago than that, and each controller needs only its own clock.
 */
export class WriteBudget {
  private evaluatedAt = -Infinity;
  private writtenAt = -Infinity;
  private isWriting = false;
  /** The version of the allocation in force, and since when this controller knows it, ms. */
  private knownAllocation = { version: -1, since: -Infinity };
  private readonly teamWeight: (team: string) => number;

  constructor(private readonly options: WriteBudgetOptions) {
    this.teamWeight = teamWeights(options.settings.teams);
  }

  private get isEnabled(): boolean {
    return this.options.replica.levels.isEnabled('admission-plan');
  }

  /** The version of the allocation that this controller follows if its replica is recent enough; 0 if none. */
  get followedVersion(): number {
    return this.isEnabled ? (this.options.replica.writeAllocation?.version ?? 0) : 0;
  }

  private get memberNames(): string[] {
    const { member, peers } = this.options.settings;
    return [member, ...peers.map((peer) => peer.member)];
  }

  /** Tracks the allocation in force and the peers' presence; called in each step, so that a new leader knows how old they are. */
  observe(): void {
    const { replica, clock, peers } = this.options;
    const version = replica.writeAllocation?.version ?? 0;
    if (version !== this.knownAllocation.version) this.knownAllocation = { version, since: clock.now };
    peers.demands();
  }

  /** Computes this controller's share of the budget. */
  localShare(local: MemberDemand): LocalWriteShare {
    const { settings, replica, freshness, membership } = this.options;
    if (!this.isEnabled) return this.shareByReports(local);
    const { writeAllocation } = replica;
    const allocated = writeAllocation?.members.get(settings.member);
    const isUpToDate = !freshness.isStale && membership.isPresent;
    if (writeAllocation && allocated && isUpToDate) {
      const totalNewJobs = [...writeAllocation.members.values()].reduce(
        (sum, share) => sum + share.newJobs,
        0,
      );
      return { ...allocated, totalNewJobs };
    }
    // An allocation is not followed if it may have been replaced while this controller was disconnected, if it counts this controller as
    // absent, or if it cannot be read. In these cases the controller uses only its minimum.
    const mayBeInForce =
      !isUpToDate || writeAllocation !== null || replica.unreadableRecords.has(allocationKey);
    const memberCount = this.memberNames.length;
    const share = fallbackWrites(settings.state.write_rps, memberCount, mayBeInForce);
    return { ...share, totalNewJobs: share.newJobs * memberCount, workloadRates: noRates };
  }

  /**
   * Without allocations, all controllers divide the budget by the same reported demands. A present controller that has not reported
   * counts with an equal share.
   */
  private shareByReports(local: MemberDemand): LocalWriteShare {
    const { settings, peers } = this.options;
    const writesPerS = settings.state.write_rps;
    const equal = equalShare(writesPerS, this.memberNames.length);
    const reported = [...peers.demands().values()].map(
      ({ demand, isPresent }) =>
        demand ?? { acceptedWork: isPresent ? equal.total : 0, newJobs: 0, backlogS: 0 },
    );
    const shares = divideWrites(writesPerS, [local, ...reported]);
    const totalNewJobs = shares.reduce((sum, share) => sum + share.newJobs, 0);
    return { ...shares[0], totalNewJobs, workloadRates: noRates };
  }

  /** As the leader: writes the next allocation if it differs enough from the current one. */
  proposeNext(local: MemberDemand): void {
    const { settings, replica, membership, clock } = this.options;
    const { leaseTtlMs } = membership;
    const { now } = clock;
    if (!this.isEnabled || this.isWriting) return;
    if (now - this.evaluatedAt < leaseTtlMs / evaluationsPerLease) return;
    this.evaluatedAt = now;
    if (now - this.writtenAt < leaseTtlMs / writesPerLease) return;
    if (replica.unreadableRecords.has(allocationKey)) return;
    if (!isWorthWriting(replica.writeAllocation, this.computeNextAllocation(local), settings.state.write_rps))
      return;
    this.writtenAt = now;
    this.write(local);
  }

  private write(local: MemberDemand): void {
    const { settings, replica, batcher, membership, log } = this.options;
    const valueKb = settings.state.value_kb;
    this.isWriting = true;
    const endWrite = (): void => void (this.isWriting = false);
    batcher.enqueue({
      priority: WritePriority.membership,
      build: () => {
        const { leader } = replica;
        // A former leader must not write: it knows neither what the others follow nor the newest allocation.
        if (!leader || !membership.isLeader || !this.isEnabled) {
          endWrite();
          return null;
        }
        return {
          conditions: [
            { key: allocationKey, stamp: replica.modRevisionOf(allocationKey) },
            { key: replica.activeLeaderKey, stamp: leader.modRevision },
          ],
          writes: [{ key: allocationKey, data: allocationData(this.computeNextAllocation(local), valueKb) }],
        };
      },
      onCommitted: () => {
        endWrite();
        const { writeAllocation } = replica;
        if (writeAllocation)
          log('debug', 'write allocation', {
            number: writeAllocation.version,
            ...allocationData(writeAllocation, valueKb),
          });
      },
      onConflict: endWrite,
    });
  }

  private computeNextAllocation(local: MemberDemand): WriteAllocation {
    const { settings, replica, peers, membership, clock } = this.options;
    const reported = peers.demands();
    const members = this.memberNames.map((name): MemberStatus => {
      if (name !== settings.member) return { name, ...reported.get(name)! };
      const demand = { ...local, allocationVersion: this.followedVersion };
      return { name, isPresent: true, hasFallenBack: false, demand };
    });
    const isSettled = clock.now - this.knownAllocation.since > settledLeases * membership.leaseTtlMs;
    return nextAllocation(
      replica.writeAllocation,
      settings.state.write_rps,
      members,
      isSettled,
      this.teamWeight,
    );
  }
}
