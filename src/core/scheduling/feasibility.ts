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
import type { ShardCycle } from './shard-cycle.js';

/** The machines kept for a job, then those open to all. */
export function* candidateMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  for (const machine of cycle.reservedMachines.get(job.id) ?? [])
    if (acceptsTasks(cycle.shardState, machine) && isFeasible(cycle.shardState, job, machine)) yield machine;
  yield* rankedMachines(job, cycle);
}

/**
 * Whether premium work without GPUs may take what GPU work needs of a GPU machine: only where there is no other
 * machine for it, or when one that is rented now would come too late.
 */
export function mayUseGpuReserve(cycle: ShardCycle, job: ScheduledJob): boolean {
  const { spec } = job;
  const { shardState } = cycle;
  if (!isPremium(spec)) return false;
  if (![...cycle.machineTypes].some((type) => type.gpus <= 0 && typeAllowed(spec, type))) return true;
  const limits = timeLimitsOf(spec, shardState.settings.objectives);
  let soonestStartS = Infinity;
  for (const t of shardState.replica.machineTypes)
    if (t.gpus <= 0 && typeAllowed(spec, t))
      soonestStartS = Math.min(soonestStartS, t.bootS + imageFetchS(spec, t));
  const slack = slackS(limits, (shardState.clock.wall - job.acceptedAt) / 1000, spec.estimateS);
  // Guards against urgent work that is late already being worse off than what may yet be.
  return slack < soonestStartS || (!hasNoTimeLimits(limits) && !Number.isFinite(slack));
}

/** What a job may take of a machine's room: not what GPU work needs, unless it may crowd or its floor is owed to it. */
export const usableRoom = (
  cycle: ShardCycle,
  job: ScheduledJob,
  free: Resources,
  mayUseReserve: boolean,
): Resources =>
  cycle.belowMinimumShare.has(job)
    ? free
    : roomOutsideGpuReserve(job.spec, free, cycle.gpuReserve, mayUseReserve);

/** Whether a gang may have a machine of this type emptied for it. */
export const mayDrain = (cycle: ShardCycle, job: ScheduledJob, type: MachineType): boolean =>
  type.gpus <= 0 || job.spec.gpus > 0 || cycle.gpuReserve === null || mayUseGpuReserve(cycle, job);

/** Whether a machine may take a job's tasks, as far as its place and what the job asks for decide. */
export const meetsConstraints = (job: ScheduledJob, machine: ScheduledMachine): boolean =>
  (job.spec.zone === null || job.spec.zone === machine.zone) &&
  (job.match === null || job.match.allows(machine.host));

/**
 * Whether a machine may take a job's tasks, as far as its place, the job's past there and what waits with more urgency
 * decide.
 */
export const isFeasible = (
  shardState: ShardState,
  job: ScheduledJob,
  machine: ScheduledMachine,
  belowMinimumShare = false,
): boolean =>
  (belowMinimumShare || (shardState.withheldHosts.get(machine.host) ?? 0) <= urgencyRank[job.spec.urgency]) &&
  (job.anyHostAllowed || !job.failedHosts.has(machine.host)) &&
  meetsConstraints(job, machine) &&
  mayShareGpuMachine(job.spec, machine.type, machine.used.gpus, shardState.replica.machineTypes);

/** The policy's score of a kind of machine for a job, before tie-breaks between single machines. */
function typeScore(
  shardState: ShardState,
  spec: JobSpec,
): (type: MachineType, spot: boolean, image: boolean) => number {
  const anchorPricePerCpu = anchorPrice(spec, shardState.replica.machineTypes);
  const hazard = shardState.hazard.perStep(shardState.operators['hazard-step-s']);
  const weights = scoreWeights(shardState.operators);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  return (type, spot, image) =>
    // A leased machine is there already, also when it stands idle: only one to be rented is fresh.
    placementScore(
      work,
      machineCandidate(type, spot, { spotHazard: hazard, delayS: image ? 0 : imageFetchS(spec, type) }),
      anchorPricePerCpu,
      weights,
    );
}

/** Machines of the job's shard that may take its tasks and have room for any waiting task, best first. */
export function rankedMachines(
  job: ScheduledJob,
  { shardState, capacityIndex, belowMinimumShare }: ShardCycle,
  withImage = false,
): Generator<ScheduledMachine> {
  const score = typeScore(shardState, job.spec);
  const all = capacityIndex.bestFirst(
    job.spec,
    score,
    (machine) =>
      acceptsTasks(shardState, machine) && isFeasible(shardState, job, machine, belowMinimumShare.has(job)),
    withImage,
  );
  return job.match?.hasRank ? byRank(job, job.match, score, all) : all;
}

/** Scores that differ by no more than this are alike: they were worked out by different ways of rounding. */
const scoreTolerance = 1e-9;

/**
 * The policy's score first (HELIOS: price with amortized hazard, premium off spot), since what a job likes costs it nothing;
 * then the job's rank, before fullness, which is only our own way of packing.
 */
function* byRank(
  job: ScheduledJob,
  match: MachineMatch,
  score: ReturnType<typeof typeScore>,
  machines: Iterable<ScheduledMachine>,
): Generator<ScheduledMachine> {
  const all = [...machines].map((machine, ord) => ({
    m: machine,
    ord,
    s: Math.round(score(machine.type, machine.spot, machine.images.has(job.spec.image)) / scoreTolerance),
    r: match.rank(machine.host),
  }));
  all.sort((a, b) => b.s - a.s || b.r - a.r || a.ord - b.ord);
  for (const { m: machine } of all) yield machine;
}
