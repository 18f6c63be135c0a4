/** Admission control of a controller: its share of the write budget, overload detection, and logging of rejected requests. */
import { OverloadMonitor, RateMeter, type MemberDemand } from '../../admission/index.js';
import type { Settings } from '../../config/settings.js';
import type { Clock, Command, Effect, Log } from '../effects.js';
import type { LoadSharing } from '../load-sharing.js';
import type { TransactionBatcher } from '../storage/index.js';
import type { UserRequests } from '../user-requests.js';
import type { WriteBudget } from '../write-budget.js';

/** Types of effects that are requests to the state service. */
const stateServiceEffects: ReadonlySet<Effect['type']> = new Set<Effect['type']>([
  'commit',
  'read-revision',
  'catch-up',
  'grant-lease',
  'renew-lease',
  'revoke-lease',
]);

/** Averaging window for the rate of requests to the state service. */
const requestRateWindowMs = 3000;
/** Maximum number of groups of rejected requests in a log line; the totals may hold `totalsPerLoggedGroup` times as many. */
const maxLoggedGroups = 8;
const totalsPerLoggedGroup = 4;

const roundTo = (x: number, perUnit: number): number => Math.round(perUnit * x) / perUnit;

/** Dependencies of an admission controller. */
export interface AdmissionControllerOptions {
  readonly settings: Settings;
  readonly batcher: TransactionBatcher;
  readonly userRequests: UserRequests;
  readonly writeBudget: WriteBudget;
  readonly loadSharing: LoadSharing;
  readonly clock: Clock;
  /** Whether jobs are admitted by the fair shares of teams and classes. */
  readonly fairAdmission: boolean;
  /** Maximum number of connections that the process accepts. */
  readonly maxConnections: number;
  readonly log: Log;
}

/** Divides this controller's write budget between accepted work and new jobs, and admits fewer jobs while it is overloaded. */
export class AdmissionController {
  private readonly overloadMonitor = new OverloadMonitor();
  private readonly stateRequests = new RateMeter(requestRateWindowMs);
  /** Load reported by the process, as fractions of its limits. */
  private processLoad = { sockets: 0, memory: 0, waiting: 0 };
  private rejectionsLoggedAt = -Infinity;
  /** Rejected requests since the start, by team, class and bottleneck. The number of groups is bounded; rare ones are omitted. */
  private readonly rejectionTotals: Record<string, number> = {};

  constructor(private readonly options: AdmissionControllerOptions) {}

  /** Whether jobs are admitted by the fair shares of teams and classes. */
  get usesFairShares(): boolean {
    return this.options.fairAdmission;
  }

  /** This controller's demand for writes, as reported to its peers. */
  get demand(): MemberDemand {
    const { batcher, clock, userRequests, writeBudget } = this.options;
    return {
      acceptedWork: Math.round(batcher.taskWriteDemand(clock.now)),
      newJobs: Math.round(userRequests.writeDemand()),
      backlogS: batcher.backlogS,
      workloads: this.usesFairShares ? userRequests.workloadDemand() : [],
      allocationVersion: writeBudget.followedVersion,
    };
  }

  /** Records the load measured by the process. */
  onLoadMeasured(load: Extract<Command, { type: 'load' }>): void {
    this.processLoad = {
      sockets: load.connections / this.options.maxConnections,
      memory: load.memory ?? 0,
      waiting: load.waiting ?? 0,
    };
  }

  /** Proposes the next allocation of the write budget; called on the leader only. */
  proposeWriteBudget(): void {
    if (this.usesFairShares) this.options.writeBudget.proposeNext(this.demand);
  }

  /** Applies this controller's share of the write budget, and admits as many waiting jobs as it allows. */
  applyWriteBudget(effects: Effect[]): void {
    if (!this.usesFairShares) return;
    const { batcher, userRequests, writeBudget } = this.options;
    writeBudget.observe();
    const share = writeBudget.localShare(this.demand);
    batcher.setAllocation(share.total);
    // The state service may accept fewer writes than configured.
    const { allocationFactor } = batcher;
    userRequests.admit(share, this.overloadMonitor.snapshot.admissionFactor * allocationFactor, effects);
  }

  /** Counts the requests to the state service among a step's effects. */
  countStateRequests(effects: readonly Effect[]): void {
    if (!this.usesFairShares) return;
    const count = effects.filter((e) => stateServiceEffects.has(e.type)).length;
    this.stateRequests.add(count, this.options.clock.now);
  }

  /** Measures overload and logs rejected requests; called several times per state lease. */
  monitor(): void {
    if (this.usesFairShares) this.measureOverload();
    this.logRejections();
  }

  /** Admission statistics for the summary in the log; rejections are counted since the start. */
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

  /** Logs the requests rejected since the last log line, most frequent groups first; at most once per half worker lease. */
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
