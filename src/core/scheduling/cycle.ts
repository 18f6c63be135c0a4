/** One placement round: in which order work is placed. */
import { urgencyRank } from '../../model/job.js';
import { jobsWithinGuarantee } from '../../policy/admission.js';
import { hasGuaranteeStartObjective } from '../../policy/deadlines.js';
import { gpuReserveFor } from '../../policy/gpu-sharing.js';
import { inPlacementOrder, criticalSlackS } from '../../policy/order.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob } from '../shard-state/types.js';
import { jobsBelowMinimumShare } from './minimum-shares.js';
import { awaitsRoom, reserveQuota, placeGang, reserveForGang } from './gangs.js';
import { hasStoppingTasks, preemptFor } from './preemption.js';
import { isStarving } from './starvation.js';
import { beginShardCycle, type CycleContext, type ShardCycle } from './shard-cycle.js';
import { placeTasks } from './arrays.js';
import { preemptsImmediately } from './victims.js';
import { preemptVoluntarily } from './voluntary-preemption.js';

/** Scans for tasks to preempt are dear: so many jobs get one in a round. */
const maxPreemptionScans = 16;
/** Scans of all machines for tasks of arrays that give way, in a round. */
const maxVoluntaryPreemptionScans = 4;

/**
 * One placement round over all shards of this node, in steps: it yields how many machines it has looked at
 * since, so that reports and requests need not wait for all of it. Between two steps jobs and machines may
 * change; each is looked at anew when its turn comes.
 */
export function* schedulingCycle(shardState: ShardState): Generator<number, void> {
  const withinGuarantee = jobsWithinGuarantee(shardState.jobs.values(), shardState.settings);
  const waiting = inPlacementOrder(
    [...shardState.jobs.values()].filter((job) => isSchedulable(shardState, job)),
    shardState.settings.objectives,
    shardState.clock.wall,
    criticalSlackS(shardState.settings),
    hasGuaranteeStartObjective(shardState.settings.objectives) ? withinGuarantee : new Set(),
  );
  // Guards against a job with a mistake that has room kept for as long as it is tried.
  const gpuReserve = gpuReserveFor(waiting.filter((job) => !isSuspect(job)));
  const minRequest = { cpus: Infinity, gpus: 0, memGb: Infinity };
  for (const { spec } of waiting) {
    minRequest.cpus = Math.min(minRequest.cpus, spec.cpus);
    minRequest.memGb = Math.min(minRequest.memGb, spec.memGb);
  }
  const belowMinimumShare = jobsBelowMinimumShare(shardState, waiting);
  const context: CycleContext = {
    shardState,
    withinGuarantee,
    belowMinimumShare: belowMinimumShare,
    gpuReserve,
    minRequest,
  };
  const shards = new Map<number, ShardCycle>();
  const roundOf = (shard: number): ShardCycle => {
    let round = shards.get(shard);
    if (!round) shards.set(shard, (round = beginShardCycle(context, shard)));
    return round;
  };
  let preemptionScans = 0;
  let voluntaryPreemptionScans = 0;
  shardState.reservations.prune(shardState.jobs, shardState.machines);
  // Work of one level is of like urgency, and either all within its teams' guarantees or none.
  const levelOf = (job: ScheduledJob): number =>
    urgencyRank[job.spec.urgency] + (preemptsImmediately(context, job) ? 10 : 0);
  let level = Infinity;
  for (const job of belowMinimumShare.keys()) {
    if (!isSchedulable(shardState, job) || shardState.jobs.get(job.id) !== job) continue;
    const round = roundOf(job.shard);
    const before = job.placements.size;
    if (job.spec.shape === 'gang') {
      if (!placeGang(job, round) && awaitsRoom(shardState, job)) reserveForGang(job, round);
    } else placeTasks(job, round);
    if (job.placements.size > before)
      shardState.log('info', 'floor', {
        job: job.id,
        class: job.spec.class,
        tasks: job.placements.size - before,
      });
    yield round.capacityIndex.examined;
    round.capacityIndex.examined = 0;
  }
  context.belowMinimumShare = new Map();
  for (const round of shards.values()) round.belowMinimumShare = context.belowMinimumShare;
  for (const job of waiting) {
    if (levelOf(job) < level) {
      level = levelOf(job);
      // Among work of like urgency, a GPU machine that has an image takes first what needs it: a fetch can take
      // longer than the task, and the GPU stands still meanwhile.
      for (const other of waiting) {
        const { spec } = other;
        if (levelOf(other) !== level || spec.gpus <= 0 || spec.shape !== 'array') continue;
        if (!isSchedulable(shardState, other) || shardState.jobs.get(other.id) !== other) continue;
        const round = roundOf(other.shard);
        placeTasks(other, round, true);
        yield round.capacityIndex.examined;
        round.capacityIndex.examined = 0;
      }
    }
    if (!isSchedulable(shardState, job) || shardState.jobs.get(job.id) !== job) continue;
    const round = roundOf(job.shard);
    const { capacityIndex } = round;
    const count = waitingTaskCount(job);
    const late = round.agedCapacity.length > 0 && isStarving(shardState, job);
    const hopeless =
      !late && !round.reservedMachines.has(job.id) && capacityIndex.isUnplaceable(job.spec, count);
    if (job.repairAttempt !== null) {
      placeTasks(job, round);
      continue;
    }
    if (job.spec.shape === 'gang') {
      if (!hopeless && placeGang(job, round)) {
        reserveQuota(job, round);
        yield capacityIndex.examined;
        capacityIndex.examined = 0;
        continue;
      }
      reserveQuota(job, round);
      if (awaitsRoom(shardState, job) && !isSuspect(job)) reserveForGang(job, round);
    } else if (!hopeless) placeTasks(job, round);
    // Guards against a job that has failed everywhere being tried nowhere any more.
    job.anyHostAllowed = isSuspect(job) && job.placements.size === 0;
    if (
      waitingTaskCount(job) > 0 &&
      job.placements.size === 0 &&
      preemptionScans < maxPreemptionScans &&
      !isSuspect(job)
    )
      if (
        !round.reservedMachines.get(job.id)?.some((machine) => hasStoppingTasks(machine)) &&
        preemptFor(job, round)
      )
        preemptionScans++;
    if (
      job.spec.shape === 'array' &&
      waitingTaskCount(job) > 0 &&
      voluntaryPreemptionScans < maxVoluntaryPreemptionScans &&
      !isSuspect(job)
    )
      if (preemptVoluntarily(job, round)) voluntaryPreemptionScans++;
    yield capacityIndex.examined;
    capacityIndex.examined = 0;
  }
  shardState.reserveQuotas(new Map([...shards.values()].flatMap((round) => [...round.quotaReservations])));
  shardState.withheldHosts = new Map([...shards.values()].flatMap((round) => [...round.minUrgencyByHost]));
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
