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
import { lifted } from './minimum-shares.js';
import { gangMayWait, owe, placeGang, reserve } from './gangs.js';
import { madeRoom, preempt } from './preemption.js';
import { overdue } from './starvation.js';
import { openShard, type Round, type ShardRound } from './shard.js';
import { placeEach } from './arrays.js';
import { demandsNow } from './victims.js';
import { makeYield } from './voluntary-preemption.js';

/** Scans for tasks to preempt are dear: so many jobs get one in a round. */
const mostPreemptions = 16;
/** Scans of all machines for tasks of arrays that give way, in a round. */
const mostYields = 4;

/**
 * One placement round over all shards of this node, in steps: it yields how many machines it has looked at
 * since, so that reports and requests need not wait for all of it. Between two steps jobs and machines may
 * change; each is looked at anew when its turn comes.
 */
export function* placeRound(shardState: ShardState): Generator<number, void> {
  const entitled = jobsWithinGuarantee(shardState.jobs.values(), shardState.settings);
  const waiting = inPlacementOrder(
    [...shardState.jobs.values()].filter((j) => placeable(shardState, j)),
    shardState.settings.objectives,
    shardState.clock.wall,
    criticalSlackS(shardState.settings),
    hasGuaranteeStartObjective(shardState.settings.objectives) ? entitled : new Set(),
  );
  // Guards against a job with a mistake that has room kept for as long as it is tried.
  const keep = gpuReserveFor(waiting.filter((j) => !isSuspect(j)));
  const least = { cpus: Infinity, gpus: 0, memGb: Infinity };
  for (const { spec } of waiting) {
    least.cpus = Math.min(least.cpus, spec.cpus);
    least.memGb = Math.min(least.memGb, spec.memGb);
  }
  const raised = lifted(shardState, waiting);
  const whole: Round = { shardState, entitled, lifted: raised, keep, least };
  const shards = new Map<number, ShardRound>();
  const roundOf = (shard: number): ShardRound => {
    let round = shards.get(shard);
    if (!round) shards.set(shard, (round = openShard(whole, shard)));
    return round;
  };
  let preemptions = 0;
  let yielding = 0;
  shardState.reservations.prune(shardState.jobs, shardState.machines);
  // Work of one level is of like urgency, and either all within its teams' guarantees or none.
  const levelOf = (job: ScheduledJob): number =>
    urgencyRank[job.spec.urgency] + (demandsNow(whole, job) ? 10 : 0);
  let level = Infinity;
  for (const job of raised.keys()) {
    if (!placeable(shardState, job) || shardState.jobs.get(job.id) !== job) continue;
    const round = roundOf(job.shard);
    const before = job.placements.size;
    if (job.spec.shape === 'gang') {
      if (!placeGang(job, round) && gangMayWait(shardState, job)) reserve(job, round);
    } else placeEach(job, round);
    if (job.placements.size > before)
      shardState.log('info', 'floor', {
        job: job.id,
        class: job.spec.class,
        tasks: job.placements.size - before,
      });
    yield round.capacityIndex.examined;
    round.capacityIndex.examined = 0;
  }
  whole.lifted = new Map();
  for (const round of shards.values()) round.lifted = whole.lifted;
  for (const job of waiting) {
    if (levelOf(job) < level) {
      level = levelOf(job);
      // Among work of like urgency, a GPU machine that has an image takes first what needs it: a fetch can take
      // longer than the task, and the GPU stands still meanwhile.
      for (const other of waiting) {
        const { spec } = other;
        if (levelOf(other) !== level || spec.gpus <= 0 || spec.shape !== 'array') continue;
        if (!placeable(shardState, other) || shardState.jobs.get(other.id) !== other) continue;
        const round = roundOf(other.shard);
        placeEach(other, round, true);
        yield round.capacityIndex.examined;
        round.capacityIndex.examined = 0;
      }
    }
    if (!placeable(shardState, job) || shardState.jobs.get(job.id) !== job) continue;
    const round = roundOf(job.shard);
    const { capacityIndex } = round;
    const count = waitingTaskCount(job);
    const late = round.unused.length > 0 && overdue(shardState, job);
    const hopeless = !late && !round.claimed.has(job.id) && capacityIndex.isUnplaceable(job.spec, count);
    if (job.repairAttempt !== null) {
      placeEach(job, round);
      continue;
    }
    if (job.spec.shape === 'gang') {
      if (!hopeless && placeGang(job, round)) {
        owe(job, round);
        yield capacityIndex.examined;
        capacityIndex.examined = 0;
        continue;
      }
      owe(job, round);
      if (gangMayWait(shardState, job) && !isSuspect(job)) reserve(job, round);
    } else if (!hopeless) placeEach(job, round);
    // Guards against a job that has failed everywhere being tried nowhere any more.
    job.anyHostAllowed = isSuspect(job) && job.placements.size === 0;
    if (
      waitingTaskCount(job) > 0 &&
      job.placements.size === 0 &&
      preemptions < mostPreemptions &&
      !isSuspect(job)
    )
      if (!round.claimed.get(job.id)?.some((m) => madeRoom(m)) && preempt(job, round)) preemptions++;
    if (job.spec.shape === 'array' && waitingTaskCount(job) > 0 && yielding < mostYields && !isSuspect(job))
      if (makeYield(job, round)) yielding++;
    yield capacityIndex.examined;
    capacityIndex.examined = 0;
  }
  shardState.quotaReservations = new Map([...shards.values()].flatMap((round) => [...round.owed]));
  shardState.withheldHosts = new Map([...shards.values()].flatMap((round) => [...round.withheld]));
}

const placeable = (shardState: ShardState, j: ScheduledJob): boolean =>
  !j.cancelled &&
  !j.finalizing &&
  !j.unreadable &&
  !j.tearingDown &&
  // Guards against a second zone for a job whose tasks may be in one that is not known.
  !(j.unknownZoneTasks > 0 && (j.spec.oneZone || j.spec.apart)) &&
  j.retryNotBefore <= shardState.clock.now &&
  waitingTaskCount(j) > 0;
