/** The other controllers of the deployment: what they tell of themselves, and what they vouch for. */
import type { MemberDemand } from '../admission/index.js';
import type { Settings } from '../config/settings.js';
import type { Operators } from '../config/operators.js';
import { canParticipate } from '../feature-levels/index.js';
import { RecentChanges, FreshnessQuorum, type FreshnessQuery } from '../freshness/index.js';
import type { Change } from '../wire/store.js';
import type { Clock, Effect, PeerStatus } from './effects.js';
import type { Replica } from './replica.js';

/** A pulse older than so many state leases says nothing any more. */
const freshLeases = 2;
/** Pulses, at least so many in a state lease. */
const pulsesPerLease = 4;
const mostRecent = 512;
/** Who does not reach the state service for this share of its state lease, or has asked it, knows that its presence is gone. */
const knowsGone = 0.5;

interface Other {
  pulse: PeerStatus;
  at: number;
}

/** What this controller knows of the others, and what it tells them. */
export class Peers {
  private readonly others = new Map<string, Other>();
  private readonly recent = new RecentChanges(mostRecent);
  /** When each was last seen to be present, ms. */
  private readonly hereAt = new Map<string, number>();
  private readonly vouching: FreshnessQuorum;
  private readonly members: readonly string[];
  private pulsedAt = -Infinity;
  /** The newest revision that a peer told of, and when, ms. */
  newestKnown = { revision: -1, at: -Infinity };

  constructor(
    settings: Settings,
    operators: Operators,
    private readonly run: string,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly ttlMs: number,
  ) {
    const members = (this.members = settings.peers.map((p) => p.member));
    // Several questions fit into the time for which one answer is good.
    this.vouching = new FreshnessQuorum(run, members, Math.min(ttlMs / 4, operators['grant-s'] * 50));
  }

  recordDecisiveChange(change: Change): void {
    this.recent.record(change);
  }

  onStateLoaded(epoch: number): void {
    this.recent.markCompleteUpTo(epoch);
  }

  onStatus(from: string, pulse: PeerStatus): void {
    const { now } = this.clock;
    this.vouching.notePeerProcess(from, pulse.run, now);
    // Whoever has just come waits to hear from everybody.
    if (this.others.get(from)?.pulse.run !== pulse.run) this.pulsedAt = -Infinity;
    this.others.set(from, { pulse, at: now });
    this.newestKnown = { revision: Math.max(this.newestKnown.revision, pulse.revision), at: now };
  }

  /** Those that live, as far as is known, and how busy they are. */
  *livePeers(): Generator<{ member: string; busy: number }> {
    for (const [member, o] of this.others)
      if (this.isFresh(o) && this.replica.isAlive(member, o.pulse.run))
        yield { member, busy: o.pulse.utilizationPermille / 1000 };
  }

  /** How many of the others have followed the state further than this. */
  countAhead(epoch: number): number {
    return [...this.others.values()].filter((o) => this.isFresh(o) && o.pulse.revision > epoch).length;
  }

  /** Jobs that this process knows. */
  ownJobCount: () => number = () => this.replica.jobCount;

  /** The most jobs that any other knows. */
  get maxJobCount(): number {
    return Math.max(
      0,
      ...[...this.others.values()].filter((o) => this.isFresh(o)).map((o) => o.pulse.jobCount),
    );
  }

  /** Whether all of the others have been heard since this process began. */
  get heardFromAll(): boolean {
    return this.members.every((m) => this.others.has(m));
  }

  runOf(member: string): string | undefined {
    return this.others.get(member)?.pulse.run;
  }

  /** Whether a member has asked the others to keep its workers. */
  wantsForwarding(member: string): boolean {
    const o = this.others.get(member);
    return o !== undefined && o.pulse.wantsForwarding && this.isFresh(o);
  }

  private isFresh(o: Other): boolean {
    return this.clock.now - o.at < freshLeases * this.ttlMs;
  }

  /** Tells the others of us, at once when there is news and from time to time without. */
  broadcastStatus(
    out: Effect[],
    busy: number,
    front: boolean,
    wants: () => MemberDemand,
    news: number | null,
  ): void {
    const { now } = this.clock;
    if (news === null && now - this.pulsedAt < this.ttlMs / pulsesPerLease) return;
    this.pulsedAt = now;
    const epoch = Math.max(this.replica.watchRevision, news ?? -1);
    out.push({
      type: 'peer-status',
      status: {
        revision: epoch,
        run: this.run,
        utilizationPermille: Math.round(busy * 1000),
        wantsForwarding: front,
        demand: wants(),
        incarnation: this.inc,
        jobCount: this.ownJobCount(),
      },
    });
  }

  /** What the other controllers want of the writes; null: not heard. One whose presence is gone writes nothing. */
  demands(): Map<string, { here: boolean; fallen: boolean; demand: MemberDemand | null }> {
    const { now } = this.clock;
    return new Map(
      this.members.map((m) => {
        const o = this.others.get(m);
        const here = this.replica.watchRevision < 0 || this.replica.presences.has(m);
        if (here) this.hereAt.set(m, now);
        const fallen = now - (this.hereAt.get(m) ?? -Infinity) > this.ttlMs * knowsGone;
        return [m, { here, fallen, demand: here && o && this.isFresh(o) ? o.pulse.demand : null }];
      }),
    );
  }

  // ---- vouching ----

  private get inc(): number {
    return this.replica.incarnation?.number ?? 0;
  }

  queryFreshness(out: Effect[]): void {
    const q = this.vouching.nextQuery(this.clock.now, this.replica.watchRevision, this.inc);
    if (q) out.push({ type: 'query-freshness', query: q });
  }

  onFreshnessQuery(from: string, question: FreshnessQuery, out: Effect[]): void {
    // Guards against a view of what was before a loss being confirmed, or changed, by what is known since.
    if (question.incarnation !== this.inc) return;
    const known = this.replica.watchRevision < 0 ? null : this.recent.since(question.revision);
    if (known) out.push({ type: 'confirm-freshness', to: from, query: question, known });
  }

  /** The moment up to which the view is known to be complete by a peer's answer, ms, or null. */
  onFreshnessAnswer(
    from: string,
    run: string,
    to: FreshnessQuery,
    known: Change[],
    completeAt: number,
  ): number | null {
    if (to.incarnation !== this.inc) return null;
    for (const change of known) this.replica.apply(change);
    // Guards against a program that knows less than the level in force: it cannot hand over what it does not understand.
    const node = this.replica.presences.get(from);
    if (
      this.replica.levels.mustStandBy ||
      (node?.instanceId === run && !canParticipate(this.replica.levels.state, node.capabilities))
    )
      return null;
    return this.vouching.onAnswer(from, run, to, completeAt);
  }
}
