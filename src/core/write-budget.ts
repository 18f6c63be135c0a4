/** The write budget: its allocation to controllers, teams and classes, and this controller's share of it. */
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

/** How often the leader works out a new allocation, and writes one at most, in a state lease. */
const evaluationsPerLease = 4;
const writesPerLease = 2;
/** A controller that does not follow the last allocation after so many state leases has fallen back to its minimum. */
const settledLeases = 1.25;

/** What this controller may write, and what all controllers together may admit, a second. */
export interface LocalWriteShare extends WriteShare {
  readonly totalNewJobs: number;
  /** The rates by which teams and classes take turns here; none: by guarantee and urgency. */
  readonly workloadRates: ReadonlyMap<string, number>;
}

/** What the write budget works with. */
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
 * The leader works out the allocation from what all controllers report, and stores it; every controller applies its share of the
 * newest that it knows. A controller whose replica is older than its state lease falls back to its minimum: so an allocation
 * that is older than that is followed by none, and each controller needs its own clock only.
 */
export class WriteBudget {
  private evaluatedAt = -Infinity;
  private writtenAt = -Infinity;
  private isWriting = false;
  /** Since when the allocation in force is known here, ms. */
  private knownAllocation = { version: -1, since: -Infinity };
  private readonly teamWeight: (team: string) => number;

  constructor(private readonly options: WriteBudgetOptions) {
    this.teamWeight = teamWeights(options.settings.teams);
  }

  private get isEnabled(): boolean {
    return this.options.replica.levels.isEnabled('admission-plan');
  }

  /** The version of the allocation that this controller follows if its replica is fresh; 0: none. */
  get followedVersion(): number {
    return this.isEnabled ? (this.options.replica.writeAllocation?.version ?? 0) : 0;
  }

  private get memberNames(): string[] {
    const { member, peers } = this.options.settings;
    return [member, ...peers.map((peer) => peer.member)];
  }

  /** Notes the allocation in force and the peers' presence; in each step, so that a new leader knows how old they are. */
  observe(): void {
    const { replica, clock, peers } = this.options;
    const version = replica.writeAllocation?.version ?? 0;
    if (version !== this.knownAllocation.version) this.knownAllocation = { version, since: clock.now };
    peers.demands();
  }

  /** This controller's share. */
  localShare(local: MemberDemand): LocalWriteShare {
    const { settings, replica, freshness, membership } = this.options;
    if (!this.isEnabled) return this.shareByReports(local);
    const { writeAllocation } = replica;
    const allocated = writeAllocation?.members.get(settings.member);
    const isUpToDate = !freshness.isStale && membership.isPresent;
    if (writeAllocation && allocated && isUpToDate) {
      const totalNewJobs = [...writeAllocation.members.values()].reduce((sum, m) => sum + m.newJobs, 0);
      return { ...allocated, totalNewJobs };
    }
    // Guards against following an allocation that was replaced while this controller was cut off, that counts it as gone, or that
    // cannot be read.
    const mayBeInForce =
      !isUpToDate || writeAllocation !== null || replica.unreadableRecords.has(allocationKey);
    const memberCount = this.memberNames.length;
    const share = fallbackWrites(settings.state.write_rps, memberCount, mayBeInForce);
    return { ...share, totalNewJobs: share.newJobs * memberCount, workloadRates: noRates };
  }

  /** Without allocations all controllers divide the budget by the same reports. One that has not reported counts as equal. */
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

  /** As the leader: writes the next allocation, if it is worth it. */
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
        // Guards against a former leader, which knows neither what the others follow nor the newest allocation.
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
