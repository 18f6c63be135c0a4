/** Unmet demand: the waiting tasks that do not fit on the existing and expected machines of their shard. */
import type { JobSpec } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { teamQuota, typeAllowed } from '../../policy/admission.js';
import { slackS, timeLimitsOf } from '../../policy/deadlines.js';
import { mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import { criticalSlackS, inPlacementOrder } from '../../policy/order.js';
import { anchorPrice, imageFetchS } from '../../policy/pricing.js';
import { maxStoredFailedHosts, suspectHostCount } from '../failure-attribution.js';
import type { VersionedMachine } from '../replica.js';
import type { JobRecord } from '../storage/index.js';
import type { AutoscalerContext } from './context.js';
import { DemandReport } from './demand-report.js';
import {
  emptyHeadroom,
  poolOf,
  subtract,
  allocateHeadroom,
  type Headroom,
  type MachinePool,
  type MachinePools,
} from './headroom.js';
import { isEligible, type MachineOffer, type OfferAvailability } from './offers.js';
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

type WaitingJob = JobRecord & { readonly spec: JobSpec; readonly waiting: number };

/** Maximum fraction of a job's slack that it may spend waiting for running tasks to complete, instead of for new machines. */
const maxWaitSlackFraction = 0.6;
/** The part of that fraction used by a job that runs on the cheapest machine type. */
const minWaitFactor = 0.75;

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
  ) {}

  /** Adds a machine that is assigned to a shard. */
  addMachine({ host, shard, zone, spot }: VersionedMachine, type: MachineType): void {
    const machine = emptyHeadroom(type, this.context.operators.headroom);
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
    const { replica } = this.context;
    for (const [id, chunks] of replica.chunks) {
      const job = replica.jobs.get(id);
      const need = job?.spec ?? job?.usage;
      if (!need) continue;
      const usage = this.usageOf(need.team);
      const runS = job?.spec ? (job.spec.shape === 'service' ? Infinity : job.spec.estimateS) : 0;
      for (const { placements } of chunks.values()) {
        usage.cpus += placements.length * need.cpus;
        usage.gpus += placements.length * need.gpus;
        for (const { host } of placements) {
          const machine = this.byHost.get(host);
          if (!machine) continue;
          subtract(machine, need, 1);
          subtract(machine.busy, need, -1);
          machine.meanRunS = (machine.meanRunS * machine.taskCount + runS) / (machine.taskCount + 1);
          machine.taskCount++;
        }
      }
    }
  }

  /** Returns the unmet demand in placement order, jobs that need GPUs first. */
  unmet(): UnmetDemand[] {
    const { settings, clock } = this.context;
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
      if (waiting > 0 && job.spec) jobs.push({ ...job, spec: job.spec, waiting });
    }
    return jobs;
  }

  private unmetOf(job: WaitingJob): UnmetDemand[] {
    const { spec } = job;
    const count = this.allocateQuota(job);
    this.report.count(spec, 'quota', job.waiting - count);
    if (spec.shape === 'gang' && count < job.waiting) return [];
    const shard = this.context.replica.shardOfTeam(spec.team);
    const unmet: UnmetDemand[] = [];
    for (const group of splitByZone(this.context, this.availability, job, count, this.poolsOf(shard))) {
      const demand = this.unmetOfGroup(job, group, shard);
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

  private unmetOfGroup(job: WaitingJob, { count, zones }: ZoneGroup, shard: number): UnmetDemand | null {
    const { spec } = job;
    const { machineTypes } = this.context.replica;
    const eligible = [...this.poolsOf(shard).values()].filter(
      (pool) => isEligible(spec, pool) && (zones === null || zones.includes(pool.zone)),
    );
    switch (this.failureDecision(job, count, eligible)) {
      case 'wait':
        this.report.count(spec, 'failing', count);
        return null;
      case 'needs-other-host':
        return { spec, shard, count: spec.shape === 'gang' ? count : 1, zones };
      case 'regular':
        break;
    }
    let left = count;
    for (const pool of eligible) left -= allocateHeadroom(pool, spec, left, machineTypes);
    this.report.count(spec, 'free', count - left);
    const busy = this.allocateFutureHeadroom(job, left, eligible);
    this.report.count(spec, 'busy', busy);
    left -= busy;
    // Not `left <= 0`: the count is NaN if both the slack and the run times are infinite (run times of services are). Such
    // demand counts as met.
    if (!(left > 0)) return null;
    this.report.count(spec, 'unmet', left);
    if (spec.shape === 'gang') this.reserveEmptiest(spec, shard, eligible, left);
    return { spec, shard, count: left, zones };
  }

  /**
   * Decides on a job that has failed and has not completed any task. It needs another host if it has failed on all existing
   * ones. A job that is suspected of being faulty itself gets no machines of its own: it waits for hosts that other jobs need.
   */
  private failureDecision(
    job: WaitingJob,
    count: number,
    eligible: readonly MachinePool[],
  ): 'wait' | 'needs-other-host' | 'regular' {
    const { replica } = this.context;
    const failedHosts = replica.chunks.get(job.id)?.get(0)?.failedHosts ?? [];
    if (failedHosts.length === 0 || replica.taskCounts(job.id).done > 0) return 'regular';
    const failed = new Set(failedHosts.map((host) => this.byHost.get(host)));
    let capacity = 0;
    for (const { machines } of eligible)
      for (const machine of machines)
        if (!failed.has(machine)) capacity += fitCount(job.spec, emptyHeadroom(machine.type, 0));
    // Prevents requests for machines, possibly expensive ones with GPUs, for a job that fails on every host.
    if (capacity >= (job.spec.shape === 'gang' ? count : 1))
      return failedHosts.length >= suspectHostCount ? 'wait' : 'regular';
    return failedHosts.length < maxStoredFailedHosts ? 'needs-other-host' : 'wait';
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
        if (left <= 0 || !eligiblePools.has(pool)) return true;
        left -= Math.max(1, fitCount(spec, machine.type));
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
    const freeShare = ({ machine }: { machine: Headroom }): number => machine.cpus / machine.type.cpus;
    return occupied.sort((a, b) => freeShare(b) - freeShare(a));
  }

  /**
   * How long the start of a job's last task may be delayed without missing the job's time limits, s; for jobs without time
   * limits, the run time. Infinity if a machine requested now would be ready too late, so that waiting for existing machines
   * is no worse.
   */
  private slackOf({ spec, acceptedAt }: WaitingJob): number {
    const { settings, clock, replica } = this.context;
    const limits = timeLimitsOf(spec, settings.objectives);
    const slack = slackS(limits, (clock.wall - acceptedAt) / 1000, spec.estimateS);
    if (limits.completionS.length + limits.startS.length === 0) return Math.max(spec.estimateS, 1);
    let minStartS = Infinity;
    for (const type of replica.machineTypes)
      if (typeAllowed(spec, type)) minStartS = Math.min(minStartS, type.bootS + imageFetchS(spec, type));
    return Number.isFinite(slack) && slack >= minStartS ? slack : Infinity;
  }

  /**
   * Allocates headroom that running tasks will free in time, for up to `maxTasks` tasks. Returns the number of tasks that
   * fit. Part of the slack is left for image fetches, for run time estimates that are too low, and for other jobs that compete
   * for the same headroom.
   */
  private allocateFutureHeadroom(
    job: WaitingJob,
    maxTasks: number,
    eligible: readonly MachinePool[],
  ): number {
    if (maxTasks <= 0) return 0;
    const { spec } = job;
    const types = this.context.replica.machineTypes;
    const usableSlackS = this.slackOf(job) * maxWaitSlackFraction * this.waitFactorOf(spec);
    let allocated = 0;
    for (const pool of eligible) {
      const waitS = Math.max(0, usableSlackS - imageFetchS(spec, pool.type));
      for (const machine of pool.machines) {
        if (allocated >= maxTasks) return allocated;
        if (
          machine.busy.cpus < spec.cpus ||
          !mayShareGpuMachine(spec, machine.type, machine.type.gpus - machine.gpus, types)
        )
          continue;
        const completedShare = Math.min(1, waitS / Math.max(machine.meanRunS, 1));
        // Whole tasks per machine only: large tasks of a gang cannot be assembled from fragments of several machines.
        const count = Math.min(
          maxTasks - allocated,
          Math.floor(fitCount(spec, machine.busy) * completedShare),
        );
        if (count <= 0) continue;
        subtract(machine.busy, spec, count);
        allocated += count;
      }
    }
    return allocated;
  }

  /** The part of the maximum wait that a job uses. It grows with the price of the machines that the job needs. */
  private waitFactorOf(spec: JobSpec): number {
    const types = this.context.replica.machineTypes;
    const cheapest = Math.min(...types.map(({ price, cpus }) => price / Math.max(cpus, 1)));
    const premium = 1 - cheapest / anchorPrice(spec, types);
    return minWaitFactor + premium * (1 - minWaitFactor);
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
