/** Admission control of a controller: its share of the write budget, its overload, and the log of rejected requests. */
import { OverloadMonitor, RateMeter, type MemberDemand } from '../../admission/index.js';
import type { Settings } from '../../config/settings.js';
import type { Clock, Command, Effect, Log } from '../effects.js';
import type { LoadSharing } from '../load-sharing.js';
import type { TransactionBatcher } from '../storage/index.js';
import type { UserRequests } from '../user-requests.js';
import type { WriteBudget } from '../write-budget.js';

/** Effects that are requests to the state service. */
const stateServiceEffects: ReadonlySet<Effect['type']> = new Set<Effect['type']>([
  'commit',
  'read-revision',
  'catch-up',
  'grant-lease',
  'renew-lease',
  'revoke-lease',
]);

/** The rate of requests to the state service is averaged over this time. */
const requestRateWindowMs = 3000;
/** At most so many groups of rejected requests are named in a log line, and this many times as many in the totals. */
const maxLoggedGroups = 8;
const totalsPerLoggedGroup = 4;

const roundTo = (x: number, perUnit: number): number => Math.round(perUnit * x) / perUnit;

/** What an admission controller works with. */
export interface AdmissionControllerOptions {
  readonly settings: Settings;
  readonly batcher: TransactionBatcher;
  readonly userRequests: UserRequests;
  readonly writeBudget: WriteBudget;
  readonly loadSharing: LoadSharing;
  readonly clock: Clock;
  /** Jobs are admitted by the fair shares of teams and classes. */
  readonly fairAdmission: boolean;
  /** Connections that the process accepts. */
  readonly maxConnections: number;
  readonly log: Log;
}

/** Divides what this controller may write between accepted work and new jobs, and admits fewer when it is overloaded. */
export class AdmissionController {
  private readonly overloadMonitor = new OverloadMonitor();
  private readonly stateRequests = new RateMeter(requestRateWindowMs);
  /** Utilization of what the process reports on, as shares of its limits. */
  private processLoad = { sockets: 0, memory: 0, waiting: 0 };
  private rejectionsLoggedAt = -Infinity;
  /** Rejected requests since the start, by team, class and bottleneck. Bounded: rare groups are left out. */
  private readonly rejectionTotals: Record<string, number> = {};

  constructor(private readonly options: AdmissionControllerOptions) {}

  /** Whether jobs are admitted by fair shares. */
  get usesFairShares(): boolean {
    return this.options.fairAdmission;
  }

  /** The writes that this controller asks for, as it reports them to its peers. */
  get demand(): MemberDemand {
    const { batcher, clock, userRequests, writeBudget } = this.options;
    return {
      acceptedWork: Math.round(batcher.taskWriteDemand(clock.now)),
      newJobs: Math.round(userRequests.writeDemand()),
      backlogS: batcher.backlogS,
      workloads: this.usesFairShares ? userRequests.groupDemand() : [],
      allocationVersion: writeBudget.followedVersion,
    };
  }

  /** Takes the load that the process has measured. */
  onLoadMeasured(load: Extract<Command, { type: 'load' }>): void {
    this.processLoad = {
      sockets: load.connections / this.options.maxConnections,
      memory: load.memory ?? 0,
      waiting: load.waiting ?? 0,
    };
  }

  /** Proposes the next division of the write budget; for the leader only. */
  proposeWriteBudget(): void {
    if (this.usesFairShares) this.options.writeBudget.proposeNext(this.demand);
  }

  /** Applies this controller's share of the write budget, and admits as many jobs as it allows. */
  applyWriteBudget(effects: Effect[]): void {
    if (!this.usesFairShares) return;
    const { batcher, userRequests, writeBudget } = this.options;
    writeBudget.observe();
    const share = writeBudget.localShare(this.demand);
    batcher.setAllocation(share.total);
    // The state service may accept fewer writes than its settings say.
    const { health } = batcher;
    userRequests.admit(share, this.overloadMonitor.snapshot.admissionFactor * health, effects);
  }

  /** Counts the requests to the state service among the effects of a step. */
  countStateRequests(effects: readonly Effect[]): void {
    if (!this.usesFairShares) return;
    const count = effects.filter((e) => stateServiceEffects.has(e.type)).length;
    this.stateRequests.add(count, this.options.clock.now);
  }

  /** Measures overload and logs rejected requests; called a few times per state lease. */
  monitor(): void {
    if (this.usesFairShares) this.measureOverload();
    this.logRejections();
  }

  /** Admission since the start, for the summary in the log. */
  summary(): object {
    const { load, bottleneck, admissionFactor } = this.overloadMonitor.snapshot;
    return {
      plan: this.options.writeBudget.followedVersion,
      pressure: Object.fromEntries(Object.entries(load).map(([k, x]) => [k, roundTo(x, 100)])),
      tightest: bottleneck,
      factor: roundTo(admissionFactor, 100),
      away: this.rejectionTotals,
    };
  }

  private measureOverload(): void {
    const { batcher, clock, loadSharing, settings, userRequests } = this.options;
    const { acceptedWork, newJobs } = this.demand;
    const equalShare = settings.state.rps / (1 + settings.peers.length);
    const { admissionFactor, bottleneck } = this.overloadMonitor.observe({
      writes: (acceptedWork + newJobs) / Math.max(1, batcher.writesPerS),
      requests: this.stateRequests.rate(clock.now) / equalShare,
      time: loadSharing.utilization,
      ...this.processLoad,
    });
    userRequests.bottleneck = admissionFactor < 1 ? bottleneck : 'writes';
  }

  /** Logs the requests rejected since the last line, most frequent groups first; at most every half worker lease. */
  private logRejections(): void {
    const { clock, log, settings, userRequests, writeBudget } = this.options;
    const { rejections } = userRequests;
    if (rejections.size === 0 || clock.now - this.rejectionsLoggedAt < settings.workers.lease_s * 500) return;
    this.rejectionsLoggedAt = clock.now;
    const byFrequency = [...rejections].sort((a, b) => b[1] - a[1]);
    const total = byFrequency.reduce((sum, [, n]) => sum + n, 0);
    const logged = byFrequency.slice(0, maxLoggedGroups);
    for (const [group, n] of logged) this.addToTotals(group, n);
    const { acceptedWork, newJobs, backlogS } = this.demand;
    log('info', 'request rejected', {
      total,
      by: Object.fromEntries(logged),
      tasks: acceptedWork,
      users: newJobs,
      behindS: roundTo(backlogS, 10),
      plan: writeBudget.followedVersion,
    });
    rejections.clear();
  }

  private addToTotals(group: string, count: number): void {
    const totals = this.rejectionTotals;
    if (group in totals || Object.keys(totals).length < maxLoggedGroups * totalsPerLoggedGroup)
      totals[group] = (totals[group] ?? 0) + count;
  }
}
