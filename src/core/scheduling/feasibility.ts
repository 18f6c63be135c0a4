/** Which machines a job may go to in a round, and how much of each. */
import { isPremium, urgencyRank, type JobSpec } from '../../model/job.js';
import type { Resources, MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { hasNoTimeLimits, timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { mayShareGpuMachine, roomOutsideGpuReserve } from '../../policy/gpu-sharing.js';
import { placementScore } from '../../policy/helios.js';
import { anchorPrice, machineCandidate, imageFetchS, scoreWeights } from '../../policy/pricing.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { acceptsTasks } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import type { ShardRound } from './shard.js';

/** The machines kept for a job, then those open to all. */
export function* candidates(job: ScheduledJob, round: ShardRound): Generator<ScheduledMachine> {
  for (const m of round.claimed.get(job.id) ?? [])
    if (acceptsTasks(round.shardState, m) && openTo(round.shardState, job, m)) yield m;
  yield* eligible(job, round);
}

/**
 * Whether premium work without GPUs may take what GPU work needs of a GPU machine: only where there is no other
 * machine for it, or when one that is rented now would come too late.
 */
export function mayCrowd(round: ShardRound, job: ScheduledJob): boolean {
  const { spec } = job;
  const { shardState } = round;
  if (!isPremium(spec)) return false;
  if (![...round.types].some((t) => t.gpus <= 0 && typeAllowed(spec, t))) return true;
  const limits = timeLimitsOf(spec, shardState.settings.objectives);
  let reach = Infinity;
  for (const t of shardState.replica.machineTypes)
    if (t.gpus <= 0 && typeAllowed(spec, t)) reach = Math.min(reach, t.bootS + imageFetchS(spec, t));
  const slack = slackS(limits, (shardState.clock.wall - job.at) / 1000, spec.estimateS);
  // Guards against urgent work that is late already being worse off than what may yet be.
  return slack < reach || (!hasNoTimeLimits(limits) && !Number.isFinite(slack));
}

/** What a job may take of a machine's room: not what GPU work needs, unless it may crowd or its floor is owed to it. */
export const openRoom = (round: ShardRound, job: ScheduledJob, room: Resources, crowd: boolean): Resources =>
  round.lifted.has(job) ? room : roomOutsideGpuReserve(job.spec, room, round.keep, crowd);

/** Whether a gang may have a machine of this type emptied for it. */
export const mayEmpty = (round: ShardRound, job: ScheduledJob, type: MachineType): boolean =>
  type.gpus <= 0 || job.spec.gpus > 0 || round.keep === null || mayCrowd(round, job);

/** Whether a machine may take a job's tasks, as far as its place and what the job asks for decide. */
export const matches = (job: ScheduledJob, m: ScheduledMachine): boolean =>
  (job.spec.zone === null || job.spec.zone === m.zone) && (job.match === null || job.match.allows(m.host));

/**
 * Whether a machine may take a job's tasks, as far as its place, the job's past there and what waits with more urgency
 * decide.
 */
export const openTo = (
  shardState: ShardState,
  job: ScheduledJob,
  m: ScheduledMachine,
  floor = false,
): boolean =>
  (floor || (shardState.withheldHosts.get(m.host) ?? 0) <= urgencyRank[job.spec.urgency]) &&
  (job.anyHostAllowed || !job.failedHosts.has(m.host)) &&
  matches(job, m) &&
  mayShareGpuMachine(job.spec, m.type, m.used.gpus, shardState.replica.machineTypes);

/** The policy's score of a kind of machine for a job, before tie-breaks between single machines. */
function kindScore(
  shardState: ShardState,
  spec: JobSpec,
): (type: MachineType, spot: boolean, image: boolean) => number {
  const anchor = anchorPrice(spec, shardState.replica.machineTypes, () => true);
  const hazard = shardState.hazard.perStep(shardState.operators['hazard-step-s']);
  const w = scoreWeights(shardState.operators);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  return (type, spot, image) =>
    // A leased machine is there already, also when it stands idle: only one to be rented is fresh.
    placementScore(
      work,
      machineCandidate(type, spot, hazard, false, 0, image ? 0 : imageFetchS(spec, type)),
      anchor,
      w,
    );
}

/** Machines of the job's shard that may take its tasks and have room for any waiting task, best first. */
export function eligible(
  job: ScheduledJob,
  { shardState, capacityIndex, lifted }: ShardRound,
  withImage = false,
): Generator<ScheduledMachine> {
  const score = kindScore(shardState, job.spec);
  const all = capacityIndex.bestFirst(
    job.spec,
    score,
    (m) => acceptsTasks(shardState, m) && openTo(shardState, job, m, lifted.has(job)),
    withImage,
  );
  return job.match?.hasRank ? byRank(job, job.match, score, all) : all;
}

/** Scores that differ by no more than this are alike: they were worked out by different ways of rounding. */
const alike = 1e-9;

/**
 * The policy's score first (HELIOS: price with amortized hazard, premium off spot), since what a job likes costs it nothing;
 * then the job's rank, before fullness, which is only our own way of packing.
 */
function* byRank(
  job: ScheduledJob,
  match: MachineMatch,
  score: ReturnType<typeof kindScore>,
  machines: Iterable<ScheduledMachine>,
): Generator<ScheduledMachine> {
  const all = [...machines].map((m, ord) => ({
    m,
    ord,
    s: Math.round(score(m.type, m.spot, m.images.has(job.spec.image)) / alike),
    r: match.rank(m.host),
  }));
  all.sort((a, b) => b.s - a.s || b.r - a.r || a.ord - b.ord);
  for (const { m } of all) yield m;
}
