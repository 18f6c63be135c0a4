/**
 * The scheduling cycle: decides which waiting jobs are placed and in which order, and makes reservations and preempts other
 * tasks for jobs that cannot be placed.
 */
import { urgencyRank } from '../../model/job.js';
import type { Resources } from '../../model/machine.js';
import { jobsWithinGuarantee } from '../../policy/admission.js';
import { hasGuaranteeStartObjective } from '../../policy/deadlines.js';
import { gpuReserveFor } from '../../policy/gpu-sharing.js';
import { inPlacementOrder, criticalSlackS } from '../../policy/order.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob } from '../shard-state/types.js';
import { placeTasks, placeTasksOnCachedImages } from './arrays.js';
import { reserveForGang, reserveQuota } from './gang-reservations.js';
import { lacksOnlyMachineCapacity, placeGang } from './gangs.js';
import { jobsBelowMinimumShare } from './minimum-shares.js';
import { hasStoppingTasks, preemptFor } from './preemption.js';
import { beginShardCycle, takeExaminedCount, type CycleContext, type ShardCycle } from './shard-cycle.js';
import { isStarving } from './starvation.js';
import { preemptsImmediately } from './victims.js';
import { preemptVoluntarily } from './voluntary-preemption.js';

/** The maximum number of jobs per cycle for which machines are scanned for tasks to preempt: a scan is expensive. */
const maxPreemptionScans = 16;
/** The maximum number of scans for voluntary preemption per cycle. */
const maxVoluntaryPreemptionScans = 4;

/**
 * Added to the priority level of jobs that preempt immediately. It exceeds every urgency rank, so that these jobs come before
 * all others, whatever their urgency.
 */
const immediateBonus = 10;

/**
 * Runs one scheduling cycle over all shards of this process, in steps, so that heartbeats and requests need not wait for the
 * whole cycle. Each step yields the number of machines examined since the previous one. Jobs and machines may change between
 * two steps; each job is checked again before it is placed.
 */
export function* schedulingCycle(shardState: ShardState): Generator<number, void> {
  yield* new SchedulingCycle(shardState).run();
}

class SchedulingCycle {
  /** The waiting jobs in placement order. */
  private readonly waiting: readonly ScheduledJob[];
  /**
   * See `CycleContext.belowMinimumShare`. Cleared once these jobs have been served; after that, placement order alone
   * decides.
   */
  private readonly belowMinimumShare: Map<ScheduledJob, number>;
  private readonly context: CycleContext;
  private readonly shards = new Map<number, ShardCycle>();
  private preemptionScans = 0;
  private voluntaryPreemptionScans = 0;

  constructor(private readonly shardState: ShardState) {
    const { settings, clock } = shardState;
    const withinGuarantee = jobsWithinGuarantee(shardState.jobs.values(), settings);
    this.waiting = inPlacementOrder(
      [...shardState.jobs.values()].filter((job) => isSchedulable(shardState, job)),
      settings.objectives,
      clock.wall,
      criticalSlackS(settings),
      hasGuaranteeStartObjective(settings.objectives) ? withinGuarantee : new Set(),
    );
    // Suspect jobs are left out: capacity would stay reserved for a faulty job for as long as it is retried.
    const gpuReserve = gpuReserveFor(this.waiting.filter((job) => !isSuspect(job)));
    const minRequest = smallestRequest(this.waiting);
    this.belowMinimumShare = jobsBelowMinimumShare(shardState, this.waiting);
    this.context = {
      shardState,
      withinGuarantee,
      belowMinimumShare: this.belowMinimumShare,
      gpuReserve,
      minRequest,
    };
  }

  *run(): Generator<number, void> {
    this.shardState.reservations.prune(this.shardState.jobs, this.shardState.machines);
    yield* this.serveMinimumShares();
    yield* this.serveInOrder();
    this.publishReservations();
  }

  /** Places jobs of teams and classes that had less than their minimum share, before all other jobs. */
  private *serveMinimumShares(): Generator<number, void> {
    for (const job of this.belowMinimumShare.keys()) {
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      const placedBefore = job.placements.size;
      if (job.spec.shape === 'gang') {
        if (
          placeGang(job, cycle) === 'insufficient-capacity' &&
          lacksOnlyMachineCapacity(this.shardState, job)
        )
          reserveForGang(job, cycle);
      } else placeTasks(job, cycle);
      const tasks = job.placements.size - placedBefore;
      if (tasks > 0)
        this.shardState.log('info', 'minimum share applied', { job: job.id, class: job.spec.class, tasks });
      yield takeExaminedCount(cycle);
    }
    this.belowMinimumShare.clear();
  }

  /** Places all waiting jobs in placement order, one priority level after the other. */
  private *serveInOrder(): Generator<number, void> {
    let priorityLevel = Infinity;
    for (const job of this.waiting) {
      if (this.priorityLevelOf(job) < priorityLevel) {
        priorityLevel = this.priorityLevelOf(job);
        yield* this.serveCachedImages(priorityLevel);
      }
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      if (job.repairAttempt !== null) {
        placeTasks(job, cycle);
        continue;
      }
      if (job.spec.shape === 'gang') this.serveGang(job, cycle);
      else this.serveTasks(job, cycle);
      yield takeExaminedCount(cycle);
    }
  }

  /**
   * Places GPU arrays of one priority level on machines that already have their image, before the other jobs of that level.
   * Fetching another image can take longer than a task runs, and the GPU is idle meanwhile.
   */
  private *serveCachedImages(priorityLevel: number): Generator<number, void> {
    for (const job of this.waiting) {
      const { spec } = job;
      if (this.priorityLevelOf(job) !== priorityLevel || spec.gpus <= 0 || spec.shape !== 'array') continue;
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      placeTasksOnCachedImages(job, cycle);
      yield takeExaminedCount(cycle);
    }
  }

  private serveGang(job: ScheduledJob, cycle: ShardCycle): void {
    const placed = !this.isKnownUnplaceable(job, cycle) && placeGang(job, cycle) !== 'insufficient-capacity';
    reserveQuota(job, cycle);
    if (placed) return;
    if (lacksOnlyMachineCapacity(this.shardState, job) && !isSuspect(job)) reserveForGang(job, cycle);
    this.preemptForWaitingTasks(job, cycle);
  }

  private serveTasks(job: ScheduledJob, cycle: ShardCycle): void {
    if (!this.isKnownUnplaceable(job, cycle)) placeTasks(job, cycle);
    this.preemptForWaitingTasks(job, cycle);
  }

  /**
   * Whether a job need not be tried because one that requested no more could not be placed in this cycle. False if the job may
   * use aged capacity or has machines reserved.
   */
  private isKnownUnplaceable(job: ScheduledJob, cycle: ShardCycle): boolean {
    if (cycle.agedCapacity.length > 0 && isStarving(this.shardState, job)) return false;
    return (
      !cycle.reservedMachines.has(job.id) &&
      cycle.capacityIndex.isUnplaceable(job.spec, waitingTaskCount(job))
    );
  }

  /** Preempts other tasks for the tasks of a job that still wait. */
  private preemptForWaitingTasks(job: ScheduledJob, cycle: ShardCycle): void {
    // Without this, a suspect job that has failed on all machines would never be tried again.
    job.anyHostAllowed = isSuspect(job) && job.placements.size === 0;
    if (isSuspect(job) || waitingTaskCount(job) <= 0) return;
    if (job.placements.size === 0 && this.preemptionScans < maxPreemptionScans) {
      const hasPendingPreemption = cycle.reservedMachines.get(job.id)?.some(hasStoppingTasks) ?? false;
      if (!hasPendingPreemption && preemptFor(job, cycle)) this.preemptionScans++;
    }
    if (job.spec.shape === 'array' && this.voluntaryPreemptionScans < maxVoluntaryPreemptionScans)
      if (preemptVoluntarily(job, cycle)) this.voluntaryPreemptionScans++;
  }

  /** Publishes the reservations for gangs that could not be placed. They apply to placements until the next cycle has ended. */
  private publishReservations(): void {
    const cycles = [...this.shards.values()];
    this.shardState.reserveQuotas(new Map(cycles.flatMap((cycle) => [...cycle.quotaReservations])));
    this.shardState.withheldHosts = new Map(cycles.flatMap((cycle) => [...cycle.withheldHosts]));
  }

  private shardCycleOf(job: ScheduledJob): ShardCycle {
    let cycle = this.shards.get(job.shard);
    if (!cycle) this.shards.set(job.shard, (cycle = beginShardCycle(this.context, job.shard)));
    return cycle;
  }

  /**
   * The priority level of a job. Jobs of one level have the same urgency, and either all of them preempt immediately or none.
   */
  private priorityLevelOf(job: ScheduledJob): number {
    return urgencyRank[job.spec.urgency] + (preemptsImmediately(this.context, job) ? immediateBonus : 0);
  }

  private isStillWaiting(job: ScheduledJob): boolean {
    return isSchedulable(this.shardState, job) && this.shardState.jobs.get(job.id) === job;
  }
}

/**
 * The smallest number of CPUs and the smallest amount of memory that any task requests. GPUs count as 0: most jobs need none.
 */
function smallestRequest(jobs: readonly ScheduledJob[]): Resources {
  const min = { cpus: Infinity, gpus: 0, memGb: Infinity };
  for (const { spec } of jobs) {
    min.cpus = Math.min(min.cpus, spec.cpus);
    min.memGb = Math.min(min.memGb, spec.memGb);
  }
  return min;
}

const isSchedulable = (shardState: ShardState, job: ScheduledJob): boolean =>
  !job.cancelled &&
  !job.finalizing &&
  !job.unreadable &&
  !job.tearingDown &&
  // While a task's zone is unknown, a zone-constrained job cannot be placed: a new task might violate its zone rule.
  !(job.unknownZoneTasks > 0 && (job.spec.oneZone || job.spec.apart)) &&
  job.retryNotBefore <= shardState.clock.now &&
  waitingTaskCount(job) > 0;
