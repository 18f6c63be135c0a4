/** Feasibility: which machines a job may be placed on in a cycle, how much of each it may take, and in which order. */
import { isPremium, urgencyRank, type JobSpec } from '../../model/job.js';
import type { Resources, MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { hasNoTimeLimits, timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { mayShareGpuMachine, roomOutsideGpuReserve } from '../../policy/gpu-sharing.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { placementScore } from '../../policy/helios.js';
import { anchorPrice, machineCandidate, imageFetchS, scoreWeights } from '../../policy/pricing.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { acceptsTasks } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import type { ShardCycle } from './shard-cycle.js';

/** The policy's score of a machine of a type for a job, with or without the job's image on it. */
type TypeScore = (type: MachineType, spot: boolean, hasImage: boolean) => number;

/** The machines reserved for a job, then those open to all, best first. */
export function* candidateMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  for (const machine of cycle.reservedMachines.get(job.id) ?? [])
    if (acceptsTasks(cycle.shardState, machine) && isFeasible(cycle.shardState, job, machine)) yield machine;
  yield* rankedMachines(job, cycle);
}

/** Unreserved machines that may take a job's tasks and have room for any waiting task, best first. */
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
  return job.match?.hasRank ? byRank(job, job.match, score, machines) : machines;
}

/** Whether a job's machine types, and whether it may use spot machines, allow a machine. */
export const allowsMachine = (spec: JobSpec, { type, spot }: ScheduledMachine): boolean =>
  typeAllowed(spec, type) && (!spot || spotAllowed(spec));

/** Whether a machine may take a job's tasks, as far as its zone and the job's expressions decide. */
export const meetsConstraints = (job: ScheduledJob, machine: ScheduledMachine): boolean =>
  (job.spec.zone === null || job.spec.zone === machine.zone) &&
  (job.match === null || job.match.allows(machine.host));

/**
 * Whether a machine may take a job's tasks, as far as constraints, the job's past failures there, more urgent gangs that it
 * drains for, and its GPUs decide. Work below its minimum share may use machines that drain for others.
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

/** Whether a machine may be drained for a job: it is feasible, and not needed for GPU work. */
export const mayDrain = (cycle: ShardCycle, job: ScheduledJob, machine: ScheduledMachine): boolean =>
  allowsMachine(job.spec, machine) &&
  isFeasible(cycle.shardState, job, machine) &&
  (machine.type.gpus <= 0 || job.spec.gpus > 0 || cycle.gpuReserve === null || mayUseGpuReserve(cycle, job));

/** The part of a machine's free resources that a job may take: not the GPU reserve, unless it is below its minimum share. */
export const usableRoom = (
  cycle: ShardCycle,
  job: ScheduledJob,
  free: Resources,
  mayUseReserve: boolean,
): Resources =>
  cycle.belowMinimumShare.has(job)
    ? free
    : roomOutsideGpuReserve(job.spec, free, cycle.gpuReserve, mayUseReserve);

/**
 * Whether premium work without GPUs may take what is reserved for GPU work on a GPU machine: only where there is no other
 * machine for it, or when one that is rented now would come too late.
 */
export function mayUseGpuReserve(cycle: ShardCycle, job: ScheduledJob): boolean {
  const { spec } = job;
  const { settings, clock, replica } = cycle.shardState;
  if (!isPremium(spec)) return false;
  if (![...cycle.machineTypes].some((type) => type.gpus <= 0 && typeAllowed(spec, type))) return true;
  let soonestStartS = Infinity;
  for (const type of replica.machineTypes)
    if (type.gpus <= 0 && typeAllowed(spec, type))
      soonestStartS = Math.min(soonestStartS, type.bootS + imageFetchS(spec, type));
  const limits = timeLimitsOf(spec, settings.objectives);
  const slack = slackS(limits, (clock.wall - job.acceptedAt) / 1000, spec.estimateS);
  // Guards against urgent work that has missed all of its limits being worse off than work that may still keep one.
  return slack < soonestStartS || (!hasNoTimeLimits(limits) && !Number.isFinite(slack));
}

/** The policy's score of a machine type for a job, before tie-breaks between single machines. */
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

/** Scores that differ by no more than this are equal: they were computed with different roundings. */
const scoreTolerance = 1e-9;

/**
 * The policy's score first (HELIOS: price with amortized hazard, premium off spot), since what a job prefers costs it nothing;
 * then the job's rank, before fullness, which is only our own way of bin packing.
 */
function* byRank(
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
