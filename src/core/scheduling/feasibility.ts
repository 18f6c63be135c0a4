/** Feasibility: on which machines a job may be placed in a cycle, in which order, and how much of their capacity it may use. */
import { isPremium, urgencyRank, type JobSpec } from '../../model/job.js';
import type { Resources, MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { hasNoTimeLimits, timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { mayShareGpuMachine, capacityWithoutGpuReserve } from '../../policy/gpu-sharing.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { placementScore } from '../../policy/helios.js';
import {
  anchorPrice,
  machineCandidate,
  imageFetchS,
  scoreWeights,
  soonestStartS,
} from '../../policy/pricing.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { acceptsTasks } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import type { ShardCycle } from './shard-cycle.js';

/** The policy's score of a machine of a type for a job. `hasImage`: whether the job's image is on the machine. */
type TypeScore = (type: MachineType, spot: boolean, hasImage: boolean) => number;

/** The machines on which a job may be placed: those reserved for it, then the unreserved ones, best first. */
export function* candidateMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  for (const machine of cycle.reservedMachines.get(job.id) ?? [])
    if (acceptsTasks(cycle.shardState, machine) && isFeasible(cycle.shardState, job, machine)) yield machine;
  yield* rankedMachines(job, cycle);
}

/** The unreserved machines that may take a job's tasks and have capacity for some waiting task, best first. */
export function rankedMachines(
  job: ScheduledJob,
  { shardState, capacityIndex, belowMinimumShare }: ShardCycle,
  onlyWithImage = false,
): Generator<ScheduledMachine> {
  const score = typeScore(shardState, job.spec);
  const machines = capacityIndex.bestFirst(
    job.spec,
    score,
    (machine) =>
      acceptsTasks(shardState, machine) && isFeasible(shardState, job, machine, belowMinimumShare.has(job)),
    onlyWithImage,
  );
  return job.match?.hasRank ? orderedByRank(job, job.match, score, machines) : machines;
}

/** Whether a job may use a machine's type and, if it is a spot machine, spot machines. */
export const allowsMachine = (spec: JobSpec, { type, spot }: ScheduledMachine): boolean =>
  typeAllowed(spec, type) && (!spot || spotAllowed(spec));

/** Whether a machine meets a job's zone constraint and its match expressions. */
export const meetsConstraints = (job: ScheduledJob, machine: ScheduledMachine): boolean =>
  (job.spec.zone === null || job.spec.zone === machine.zone) &&
  (job.match === null || job.match.allows(machine.host));

/**
 * Whether a machine may take a job's tasks: the job's constraints allow it, the job has not failed there (unless it may use any
 * host), the machine is not withheld for more urgent gangs, and the rules for sharing GPU machines allow it. Jobs below their
 * minimum share may also use withheld machines.
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

/** Whether a machine may be drained for a job: it is feasible for the job, and not needed for GPU jobs. */
export const mayDrain = (cycle: ShardCycle, job: ScheduledJob, machine: ScheduledMachine): boolean =>
  allowsMachine(job.spec, machine) &&
  isFeasible(cycle.shardState, job, machine) &&
  (machine.type.gpus <= 0 || job.spec.gpus > 0 || cycle.gpuReserve === null || mayUseGpuReserve(cycle, job));

/** The part of a machine's free resources that a job may use. Jobs below their minimum share may also use the GPU reserve. */
export const usableCapacity = (
  cycle: ShardCycle,
  job: ScheduledJob,
  free: Resources,
  mayUseReserve: boolean,
): Resources =>
  cycle.belowMinimumShare.has(job)
    ? free
    : capacityWithoutGpuReserve(job.spec, free, cycle.gpuReserve, mayUseReserve);

/**
 * Whether a premium job may use the capacity reserved for GPU jobs on GPU machines: only if no machine without GPUs is
 * available for it, or if one that is rented now would start too late for its time limits.
 */
export function mayUseGpuReserve(cycle: ShardCycle, job: ScheduledJob): boolean {
  const { spec } = job;
  const { settings, clock, replica } = cycle.shardState;
  if (!isPremium(spec)) return false;
  if (![...cycle.machineTypes].some((type) => type.gpus <= 0 && typeAllowed(spec, type))) return true;
  const types = replica.machineTypes.filter((type) => type.gpus <= 0);
  const limits = timeLimitsOf(spec, settings.objectives);
  const slack = slackS(limits, (clock.wall - job.acceptedAt) / 1000, spec.estimateS);
  // A job that has missed all of its limits may, too: it must not be worse off than one that can still keep a limit.
  return slack < soonestStartS(spec, types) || (!hasNoTimeLimits(limits) && !Number.isFinite(slack));
}

/** Returns the policy's scoring function for a job, without the tie-breaks between machines of the same type. */
function typeScore({ replica, operators, hazard }: ShardState, spec: JobSpec): TypeScore {
  const anchor = anchorPrice(spec, replica.machineTypes);
  const spotHazard = hazard.perStep(operators['hazard-step-s']);
  const weights = scoreWeights(operators);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  return (type, spot, hasImage) => {
    const delayS = hasImage ? 0 : imageFetchS(spec, type);
    return placementScore(work, machineCandidate(type, spot, { spotHazard, delayS }), anchor, weights);
  };
}

/** Scores are rounded to this before they are compared: equal scores may differ by rounding errors. */
const scoreTolerance = 1e-9;

/**
 * Orders machines by the policy's score (HELIOS: price with amortized hazard, premium jobs off spot machines), then by the
 * job's rank, then by fullness. The score comes before the rank because a job's preferences cost the job nothing. The rank
 * comes before fullness, which only serves bin packing.
 */
function* orderedByRank(
  job: ScheduledJob,
  match: MachineMatch,
  score: TypeScore,
  machines: Iterable<ScheduledMachine>,
): Generator<ScheduledMachine> {
  const ranked = [...machines].map((machine, position) => ({
    machine,
    position,
    score: Math.round(score(machine.type, machine.spot, machine.images.has(job.spec.image)) / scoreTolerance),
    rank: match.rank(machine.host),
  }));
  ranked.sort((a, b) => b.score - a.score || b.rank - a.rank || a.position - b.position);
  for (const { machine } of ranked) yield machine;
}
