/** The scheduling cycle: which jobs are served, in which order, and what is done for those that find no room. */
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
import { awaitsRoom, placeGang } from './gangs.js';
import { jobsBelowMinimumShare } from './minimum-shares.js';
import { hasStoppingTasks, preemptFor } from './preemption.js';
import { beginShardCycle, takeExamined, type CycleContext, type ShardCycle } from './shard-cycle.js';
import { isStarving } from './starvation.js';
import { preemptsImmediately } from './victims.js';
import { preemptVoluntarily } from './voluntary-preemption.js';

/** Scans for tasks to preempt are expensive: at most this many jobs get one in a cycle. */
const maxPreemptionScans = 16;
/** At most this many scans for array tasks to preempt voluntarily are made in a cycle. */
const maxVoluntaryPreemptionScans = 4;

/** Guaranteed work that may preempt at once is a level above all other work, whatever its urgency. */
const immediateLevel = 10;

/**
 * One scheduling cycle over all shards of this process, in steps: it yields how many machines it has examined since the last
 * step, so that heartbeats and requests need not wait for all of it. Between two steps jobs and machines may change; each job
 * is checked again when its turn comes.
 */
export function* schedulingCycle(shardState: ShardState): Generator<number, void> {
  yield* new SchedulingCycle(shardState).run();
}

class SchedulingCycle {
  /** The jobs that wait, in placement order. */
  private readonly waiting: readonly ScheduledJob[];
  /** Emptied once these jobs have been served: from then on the placement order alone decides. */
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
    // Guards against a faulty job for which room is reserved for as long as it is retried.
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

  /** Places work of teams and classes that had less than their minimum share, before all other work. */
  private *serveMinimumShares(): Generator<number, void> {
    for (const job of this.belowMinimumShare.keys()) {
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      const placedBefore = job.placements.size;
      if (job.spec.shape === 'gang') {
        if (placeGang(job, cycle) === 'no-room' && awaitsRoom(this.shardState, job))
          reserveForGang(job, cycle);
      } else placeTasks(job, cycle);
      const tasks = job.placements.size - placedBefore;
      if (tasks > 0)
        this.shardState.log('info', 'minimum share applied', { job: job.id, class: job.spec.class, tasks });
      yield takeExamined(cycle);
    }
    this.belowMinimumShare.clear();
  }

  private *serveInOrder(): Generator<number, void> {
    let level = Infinity;
    for (const job of this.waiting) {
      if (this.levelOf(job) < level) {
        level = this.levelOf(job);
        yield* this.serveCachedImages(level);
      }
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      if (job.repairAttempt !== null) {
        placeTasks(job, cycle);
        continue;
      }
      if (job.spec.shape === 'gang') this.serveGang(job, cycle);
      else this.serveTasks(job, cycle);
      yield takeExamined(cycle);
    }
  }

  /**
   * Among work of one level, a GPU machine that has an image takes first the arrays that need it: fetching another image can
   * take longer than a task, and the GPU is idle meanwhile.
   */
  private *serveCachedImages(level: number): Generator<number, void> {
    for (const job of this.waiting) {
      const { spec } = job;
      if (this.levelOf(job) !== level || spec.gpus <= 0 || spec.shape !== 'array') continue;
      if (!this.isStillWaiting(job)) continue;
      const cycle = this.shardCycleOf(job);
      placeTasksOnCachedImages(job, cycle);
      yield takeExamined(cycle);
    }
  }

  private serveGang(job: ScheduledJob, cycle: ShardCycle): void {
    const placed = !this.isHopeless(job, cycle) && placeGang(job, cycle) !== 'no-room';
    reserveQuota(job, cycle);
    if (placed) return;
    if (awaitsRoom(this.shardState, job) && !isSuspect(job)) reserveForGang(job, cycle);
    this.makeRoom(job, cycle);
  }

  private serveTasks(job: ScheduledJob, cycle: ShardCycle): void {
    if (!this.isHopeless(job, cycle)) placeTasks(job, cycle);
    this.makeRoom(job, cycle);
  }

  /** Whether a job that asked for no more has found no room in this cycle. Aged room and reservations may still serve it. */
  private isHopeless(job: ScheduledJob, cycle: ShardCycle): boolean {
    if (cycle.agedCapacity.length > 0 && isStarving(this.shardState, job)) return false;
    return (
      !cycle.reservedMachines.has(job.id) &&
      cycle.capacityIndex.isUnplaceable(job.spec, waitingTaskCount(job))
    );
  }

  /** Preempts other tasks for what still waits of a job. */
  private makeRoom(job: ScheduledJob, cycle: ShardCycle): void {
    // Guards against a job that has failed everywhere being tried nowhere any more.
    job.anyHostAllowed = isSuspect(job) && job.placements.size === 0;
    if (isSuspect(job) || waitingTaskCount(job) <= 0) return;
    if (job.placements.size === 0 && this.preemptionScans < maxPreemptionScans) {
      const roomIsBeingMade = cycle.reservedMachines.get(job.id)?.some(hasStoppingTasks) ?? false;
      if (!roomIsBeingMade && preemptFor(job, cycle)) this.preemptionScans++;
    }
    if (job.spec.shape === 'array' && this.voluntaryPreemptionScans < maxVoluntaryPreemptionScans)
      if (preemptVoluntarily(job, cycle)) this.voluntaryPreemptionScans++;
  }

  /** What is reserved for gangs that found no room holds for placements until the next cycle has ended. */
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

  /** Work of one level is of the same urgency, and either all within its teams' guarantees or none. */
  private levelOf(job: ScheduledJob): number {
    return urgencyRank[job.spec.urgency] + (preemptsImmediately(this.context, job) ? immediateLevel : 0);
  }

  private isStillWaiting(job: ScheduledJob): boolean {
    return isSchedulable(this.shardState, job) && this.shardState.jobs.get(job.id) === job;
  }
}

/** The least CPUs and memory that any job's task requests. GPUs are left out: most work needs none. */
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
  // Guards against a second zone for a job whose tasks may be in one that is not known.
  !(job.unknownZoneTasks > 0 && (job.spec.oneZone || job.spec.apart)) &&
  job.retryNotBefore <= shardState.clock.now &&
  waitingTaskCount(job) > 0;
