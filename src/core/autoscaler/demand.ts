/** Unmet demand: the waiting tasks that do not fit on the existing and expected machines of their shard. */
import type { JobSpec } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { teamQuota } from '../../policy/admission.js';
import { criticalSlackS, inPlacementOrder } from '../../policy/order.js';
import type { VersionedMachine } from '../replica.js';
import type { JobRecord } from '../storage/index.js';
import type { AutoscalerContext } from './context.js';
import { DemandReport } from './demand-report.js';
import { decideAfterFailures, type FailedMachines } from './failure-decision.js';
import { allocateFutureHeadroom, isOverdue, maxStallS, maxWaitS } from './future-headroom.js';
import {
  emptyHeadroom,
  poolOf,
  addTask,
  drainedFitCount,
  allocateHeadroom,
  type Headroom,
  type MachineFilter,
  type MachinePool,
  type MachinePools,
} from './headroom.js';
import { isEligible, type MachineOffer, type OfferAvailability } from './offers.js';
import type { PlacementAges } from './placement-ages.js';
import type { StallDetector } from './stall-detector.js';
import { splitByZone, type ZoneGroup } from './zone-split.js';

/** Tasks of a job that do not fit on existing or expected machines. */
export interface UnmetDemand {
  readonly spec: JobSpec;
  readonly shard: number;
  /** The zones in which the tasks may run; null: any. */
  readonly zones: string[] | null;
  /** Number of tasks; reduced when free machines are assigned to the demand. */
  count: number;
}

/** A job with waiting tasks. `progress`: the number of its tasks that are placed or have completed. */
type WaitingJob = JobRecord & {
  readonly spec: JobSpec;
  readonly waiting: number;
  readonly progress: number;
};

/** The numbers of a job's tasks for which capacity of existing and expected machines is counted. */
interface CountedCapacity {
  readonly free: number;
  /** Capacity that running tasks will free. */
  readonly busy: number;
  /** The number of tasks that need a machine although capacity is counted for them, because the job does not get to use it. */
  readonly doubtful: number;
}

/** What the leader has observed over several planning cycles. */
export interface DemandHistory {
  readonly ages: PlacementAges;
  readonly stalls: StallDetector;
}

/**
 * Calculates the unmet demand from the replica in two passes: over all placements, then over the waiting jobs in placement
 * order.
 */
export class DemandCalculator {
  /** What each waiting task is expected to run on. */
  readonly report = new DemandReport();
  private readonly pools = new Map<number, MachinePools>();
  private readonly byHost = new Map<string, Headroom>();
  private readonly teamUsage = new Map<string, { cpus: number; gpus: number }>();
  /** Occupied machines by shard, the one with the most free CPUs first; created for the first gang that needs it. */
  private readonly emptiest = new Map<number, { machine: Headroom; pool: MachinePool }[]>();

  constructor(
    private readonly context: AutoscalerContext,
    private readonly availability: OfferAvailability,
    private readonly history: DemandHistory,
  ) {}

  /** Adds a machine that is assigned to a shard. */
  addMachine({ host, shard, zone, spot, since }: VersionedMachine, type: MachineType): void {
    const machine = emptyHeadroom(type, this.context.operators.headroom, since);
    this.byHost.set(host, machine);
    poolOf(this.poolsOf(shard), { type, zone, spot }).machines.push(machine);
  }

  /** Adds machines that have been requested and are not recorded yet. */
  addExpectedMachines(shard: number, offer: MachineOffer, count: number): void {
    const { machines } = poolOf(this.poolsOf(shard), offer);
    for (let i = 0; i < count; i++) machines.push(emptyHeadroom(offer.type, this.context.operators.headroom));
  }

  /** Subtracts placed tasks from the headroom of their machines, and counts them against their teams' quotas. */
  subtractPlacements(): void {
    const { replica, clock } = this.context;
    const { ages } = this.history;
    ages.observe(replica.chunks, clock.now);
    for (const [id, chunks] of replica.chunks) {
      const job = replica.jobs.get(id);
      const need = job?.spec ?? job?.usage;
      if (!job || !need) continue;
      const usage = this.usageOf(need.team);
      for (const [index, { placements }] of chunks) {
        usage.cpus += placements.length * need.cpus;
        usage.gpus += placements.length * need.gpus;
        const firstSeenAt = ages.firstSeenAt(id, index);
        placements.forEach(({ host }, i) => {
          const machine = this.byHost.get(host);
          if (machine) addTask(machine, need, this.expectedRunS(job.spec, machine.type, firstSeenAt[i]));
        });
      }
    }
  }

  /**
   * The run time of a task after which its capacity counts as free, s; Infinity if it is not expected to end. `spec` is null if the
   * job is over: its remaining tasks are being stopped.
   */
  private expectedRunS(spec: JobSpec | null, type: MachineType, firstSeenAt: number): number {
    if (spec === null) return 0;
    const { clock, settings } = this.context;
    const ageS = (clock.now - firstSeenAt) / 1000;
    const isEndless = spec.shape === 'service' || isOverdue(spec, type, ageS, settings.workers.lease_s);
    return isEndless ? Infinity : spec.estimateS;
  }

  /** Returns the unmet demand in placement order, jobs that need GPUs first. */
  unmet(): UnmetDemand[] {
    const { settings, clock } = this.context;
    this.history.stalls.beginCycle();
    const ordered = inPlacementOrder(
      this.waitingJobs(),
      settings.objectives,
      clock.wall,
      criticalSlackS(settings),
    );
    // Jobs that need GPUs come first, so that other jobs get only what these leave on GPU machines.
    const jobs = [
      ...ordered.filter(({ spec }) => spec.gpus > 0),
      ...ordered.filter(({ spec }) => spec.gpus <= 0),
    ];
    return jobs.flatMap((job) => this.unmetOf(job));
  }

  private waitingJobs(): WaitingJob[] {
    const { replica } = this.context;
    const jobs: WaitingJob[] = [];
    for (const id of replica.openJobs) {
      const job = replica.jobs.get(id)!;
      const { done, running } = replica.taskCounts(id);
      const waiting = job.taskCount - done - running;
      if (waiting > 0 && job.spec) jobs.push({ ...job, spec: job.spec, waiting, progress: done + running });
    }
    return jobs;
  }

  private unmetOf(job: WaitingJob): UnmetDemand[] {
    const { spec } = job;
    const count = this.allocateQuota(job);
    this.report.count(spec, 'quota', job.waiting - count);
    if (spec.shape === 'gang' && count < job.waiting) return [];
    if (count === 0) return [];
    const { clock, replica } = this.context;
    const shard = replica.shardOfTeam(spec.team);
    if (shard < 0) {
      // Nobody would own the machines: the leader has not assigned the team to a shard.
      this.report.count(spec, 'unassigned', count);
      return [];
    }
    const stallS = this.history.stalls.observe(job.id, job.progress, clock.wall) / 1000;
    const unmet: UnmetDemand[] = [];
    for (const group of splitByZone(this.context, this.availability, job, count, this.poolsOf(shard))) {
      const demand = this.unmetOfGroup(job, group, shard, stallS);
      if (demand) unmet.push(demand);
    }
    return unmet;
  }

  /** Counts the waiting tasks that fit into the team's quota against it, and returns their number. A gang gets all or none. */
  private allocateQuota({ spec, waiting }: WaitingJob): number {
    const quota = teamQuota(this.context.settings, spec.team);
    const usage = this.usageOf(spec.team);
    const free = { cpus: quota.cpus - usage.cpus, gpus: quota.gpus - usage.gpus, memGb: Infinity };
    const count = Math.min(waiting, fitCount(spec, free));
    if (spec.shape === 'gang' && count < waiting) return 0;
    usage.cpus += count * spec.cpus;
    usage.gpus += count * spec.gpus;
    return count;
  }

  private unmetOfGroup(
    job: WaitingJob,
    { count, zones }: ZoneGroup,
    shard: number,
    stallS: number,
  ): UnmetDemand | null {
    const { spec } = job;
    const eligible = [...this.poolsOf(shard).values()].filter(
      (pool) => isEligible(spec, pool) && (zones === null || zones.includes(pool.zone)),
    );
    const failedMachines = this.failedMachinesOf(job);
    switch (decideAfterFailures(job, count, failedMachines, eligible)) {
      case 'wait':
        this.report.count(spec, 'failing', count);
        return null;
      case 'needs-other-host':
        return { spec, shard, count: spec.shape === 'gang' ? count : 1, zones };
      case 'regular':
        break;
    }
    const capacity = this.allocateExisting(job, count, stallS, { eligible, failedMachines });
    this.report.count(spec, 'free', capacity.free);
    this.report.count(spec, 'busy', capacity.busy);
    const left = Math.max(count - capacity.free - capacity.busy, capacity.doubtful);
    if (left <= 0) return null;
    this.report.count(spec, 'unmet', left);
    if (spec.shape === 'gang') this.reserveEmptiest(spec, shard, eligible, left);
    return { spec, shard, count: left, zones };
  }

  /**
   * Allocates capacity of existing and expected machines for up to `count` tasks of a job. A job that has made no progress for too
   * long shows that the capacity counted for it cannot be used, for whatever reason: it no longer counts on running tasks, and
   * the capacity of machines that were there before counts as doubtful.
   */
  private allocateExisting(
    job: WaitingJob,
    count: number,
    stallS: number,
    { eligible, failedMachines }: { eligible: readonly MachinePool[]; failedMachines: FailedMachines },
  ): CountedCapacity {
    const { spec } = job;
    const { replica, clock } = this.context;
    const types = replica.machineTypes;
    let free = 0;
    const allocate = (filter: MachineFilter | null): void => {
      for (const pool of eligible) free += allocateHeadroom(pool, spec, count - free, types, filter);
    };
    const isUsable = failedMachines.size > 0 ? (m: Headroom): boolean => !failedMachines.has(m) : null;
    const stallLimitS = maxStallS(this.context, spec);
    const isStalled = stallS > stallLimitS;
    // Begins anew after each further limit, so that a machine that did not help either is not counted on for ever.
    const stalledAt = clock.wall - (stallS % stallLimitS) * 1000;
    if (isStalled) allocate((m) => m.rentedAt >= stalledAt && !failedMachines.has(m));
    const needed = spec.shape === 'gang' ? count : Math.min(count, 1);
    const doubtful = isStalled ? Math.max(0, needed - free) : 0;
    allocate(isUsable);
    let busy = 0;
    const waitS = maxWaitS(this.context, job, isStalled);
    for (const pool of eligible)
      busy += allocateFutureHeadroom(pool, spec, count - free - busy, waitS, types, isUsable);
    return { free, busy, doubtful };
  }

  /** The machines on which a job that has not completed any task has failed, which the scheduling cycle does not use for it. */
  private failedMachinesOf({ id }: WaitingJob): FailedMachines {
    const { replica } = this.context;
    const failedHosts = replica.chunks.get(id)?.get(0)?.failedHosts ?? [];
    if (failedHosts.length === 0 || replica.taskCounts(id).done > 0) return new Set();
    return new Set(failedHosts.map((host) => this.byHost.get(host) ?? host));
  }

  /** Removes the headroom of the emptiest machines, which the scheduling cycle reserves for a waiting gang. */
  private reserveEmptiest(
    spec: JobSpec,
    shard: number,
    eligible: readonly MachinePool[],
    count: number,
  ): void {
    const eligiblePools = new Set(eligible);
    let left = count;
    this.emptiest.set(
      shard,
      this.emptiestOf(shard).filter(({ machine, pool }) => {
        const slots = drainedFitCount(spec, machine);
        if (left <= 0 || slots === 0 || !eligiblePools.has(pool)) return true;
        left -= slots;
        machine.cpus = 0;
        machine.busy.cpus = 0;
        return false;
      }),
    );
  }

  private emptiestOf(shard: number): { machine: Headroom; pool: MachinePool }[] {
    const known = this.emptiest.get(shard);
    if (known) return known;
    const occupied: { machine: Headroom; pool: MachinePool }[] = [];
    for (const pool of this.poolsOf(shard).values())
      for (const machine of pool.machines) if (machine.taskCount > 0) occupied.push({ machine, pool });
    const freeShare = ({ machine }: { machine: Headroom }): number =>
      machine.cpus / Math.max(machine.type.cpus, 1);
    return occupied.sort((a, b) => freeShare(b) - freeShare(a));
  }

  private poolsOf(shard: number): MachinePools {
    let pools = this.pools.get(shard);
    if (!pools) this.pools.set(shard, (pools = new Map<string, MachinePool>()));
    return pools;
  }

  private usageOf(team: string): { cpus: number; gpus: number } {
    let usage = this.teamUsage.get(team);
    if (!usage) this.teamUsage.set(team, (usage = { cpus: 0, gpus: 0 }));
    return usage;
  }
}
