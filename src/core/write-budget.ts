/** The plan that divides the write budget among controllers, teams and classes, and who follows it. */
import {
  equalShare,
  isWorthWriting,
  nextAllocation,
  divideWrites,
  teamWeights,
  fallbackWrites,
  type MemberDemand,
  type WriteShare,
  type WriteAllocation,
} from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import { type Committer, allocationData, allocationKey, Rank } from './storage/index.js';
import type { Clock, Log } from './effects.js';
import type { Membership } from './membership/index.js';
import type { Peers } from './peers.js';
import type { Replica } from './replica.js';
import type { ReplicaFreshness } from './replica-freshness.js';

/** Looks, and plans at most, in a state lease. */
const looksPerLease = 4;
const plansPerLease = 2;
/** Whoever does not follow the last plan after so many state leases has fallen back to its floor. */
const settledLeases = 1.25;

/** What this controller may write, and what all may take in together, a second. */
export interface LocalWriteShare extends WriteShare {
  totalUsers: number;
  /** In which proportion team and class take turns; none: by guarantee and urgency. */
  kinds: ReadonlyMap<string, number>;
}

const noKinds: ReadonlyMap<string, number> = new Map();

/**
 * The plan of who may write how much. The leader works it out from what all report and stores it; every controller applies its
 * part of the newest that it knows. One whose view is older than its state lease falls back to its floor: so a plan that is
 * older than that is followed by nobody, and no clock but its own says so to each.
 */
export class WriteBudget {
  private lookedAt = -Infinity;
  private busy = false;
  private wroteAt = -Infinity;
  /** Since when the plan in force is known here, ms. */
  private known = { number: -1, at: -Infinity };
  private readonly weightOf: (team: string) => number;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    private readonly freshness: ReplicaFreshness,
    private readonly peers: Peers,
    private readonly membership: Membership,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.weightOf = teamWeights(settings.teams);
  }

  private get inForce(): boolean {
    return this.replica.levels.isEnabled('admission-plan');
  }

  /** The plan that this controller follows, or would if its view were new. */
  get followedVersion(): number {
    return this.inForce ? (this.replica.writeAllocation?.version ?? 0) : 0;
  }

  private get members(): string[] {
    return [this.settings.member, ...this.settings.peers.map((p) => p.member)];
  }

  /** Looks at what is there; in each step, so that whoever comes to lead knows how old the plan is. */
  observe(): void {
    const number = this.replica.writeAllocation?.version ?? 0;
    if (number !== this.known.number) this.known = { number, at: this.clock.now };
    this.peers.demands();
  }

  /** This controller's share. Without a plan that is in force all work it out from the same pulses; knowing nothing, it is equal. */
  localShare(mine: MemberDemand): LocalWriteShare {
    const writes = this.settings.state.write_rps;
    const { members } = this;
    const n = members.length;
    if (!this.inForce) {
      const alone = equalShare(writes, n);
      const heard = [...this.peers.demands().values()].map(
        (m) => m.demand ?? { tasks: m.here ? alone.total : 0, users: 0, behindS: 0 },
      );
      const parts = divideWrites(writes, [mine, ...heard]);
      return { ...parts[0], totalUsers: parts.reduce((sum, p) => sum + p.users, 0), kinds: noKinds };
    }
    const { writeAllocation: plan } = this.replica;
    const part = plan?.members.get(this.settings.member);
    const fresh = !this.freshness.isStale && this.membership.isPresent;
    if (plan && part && fresh)
      return { ...part, totalUsers: [...plan.members.values()].reduce((sum, p) => sum + p.users, 0) };
    // Guards against following a plan that was replaced while nothing was heard of it, or one that counts this controller as
    // gone, or that cannot be read.
    const fallen = !fresh || plan !== null || this.replica.unreadableRecords.has(allocationKey);
    const parts = fallbackWrites(writes, n, fallen);
    return { ...parts, totalUsers: parts.users * n, kinds: noKinds };
  }

  /** As the leader: the next plan, if it is worth a write. */
  proposeNext(mine: MemberDemand): void {
    const { now } = this.clock;
    const { writeAllocation: plan } = this.replica;
    const { leaseTtlMs: ttlMs } = this.membership;
    if (!this.inForce || this.busy || now - this.lookedAt < ttlMs / looksPerLease) return;
    this.lookedAt = now;
    if (now - this.wroteAt < ttlMs / plansPerLease || this.replica.unreadableRecords.has(allocationKey))
      return;
    const next = (): WriteAllocation => this.next(mine);
    if (!isWorthWriting(plan, next(), this.settings.state.write_rps)) return;
    this.busy = true;
    this.wroteAt = now;
    const done = (): void => void (this.busy = false);
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        const { leader: lead } = this.replica;
        // Guards against a leader of before, which knows neither who follows what nor the newest plan.
        if (!lead || !this.membership.isLeader || !this.inForce) {
          done();
          return null;
        }
        return {
          conditions: [
            { key: allocationKey, stamp: this.replica.modRevisionOf(allocationKey) },
            { key: this.replica.activeLeaderKey, stamp: lead.modRevision },
          ],
          writes: [{ key: allocationKey, data: allocationData(next(), this.settings.state.value_kb) }],
        };
      },
      onCommitted: () => {
        done();
        const p = this.replica.writeAllocation;
        if (p)
          this.log('debug', 'plan', {
            number: p.version,
            ...allocationData(p, this.settings.state.value_kb),
          });
      },
      onConflict: done,
    });
  }

  private next(mine: MemberDemand): WriteAllocation {
    const { writeAllocation: plan } = this.replica;
    const others = this.peers.demands();
    const members = this.members.map((name) =>
      name === this.settings.member
        ? { name, here: true, fallen: false, demand: { ...mine, follows: this.followedVersion } }
        : { name, ...others.get(name)! },
    );
    const settled = this.clock.now - this.known.at > settledLeases * this.membership.leaseTtlMs;
    return nextAllocation(plan, this.settings.state.write_rps, members, settled, this.weightOf);
  }
}
