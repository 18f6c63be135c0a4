/** Prices and start delays of machine types, as input to the placement policy. */
import type { OperatorSettings } from '../config/operators.js';
import type { JobSpec } from '../model/job.js';
import { hourlyPrice, type MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { MachineCandidate, ScoreWeights } from './helios.js';

/** The score weights from the operators' settings. */
export const scoreWeights = (operators: OperatorSettings): ScoreWeights => ({
  hazard: operators['hazard-weight'],
  anchor: operators['anchor-weight'],
});

/** The on-demand price of a machine type per CPU-hour; a type with less than one CPU counts as having one. */
export const pricePerCpu = (type: MachineType): number => type.price / Math.max(type.cpus, 1);

/**
 * The cheapest on-demand price per CPU-hour among the available machine types allowed for a job; Infinity if there are none.
 */
export function anchorPrice(
  spec: JobSpec,
  types: readonly MachineType[],
  available: (type: MachineType) => boolean = () => true,
): number {
  let cheapest = Infinity;
  for (const type of types)
    if (typeAllowed(spec, type) && available(type)) cheapest = Math.min(cheapest, pricePerCpu(type));
  return cheapest;
}

/** The state of a candidate machine, in addition to its type and whether it is a spot machine. */
export interface CandidateState {
  /** The current hazard of spot machines, per hazard step. */
  readonly spotHazard: number;
  /** The time until a task could start there, s. */
  readonly delayS: number;
  /** The free CPUs of a machine that has yet to be rented; absent if the machine is rented already. */
  readonly rentalCpus?: number;
}

/** Builds the policy's view of a machine of a type. */
export const machineCandidate = (
  type: MachineType,
  spot: boolean,
  { spotHazard, delayS, rentalCpus }: CandidateState,
): MachineCandidate => ({
  price: hourlyPrice(type, spot) / Math.max(type.cpus, 1),
  spot,
  hazard: spot ? spotHazard : 0,
  needsRental: rentalCpus !== undefined,
  freeCpus: rentalCpus ?? 0,
  delayMin: delayS / 60,
});

/** The time that a machine of a type takes to fetch a job's image, s. */
export const imageFetchS = (spec: JobSpec, type: MachineType): number =>
  type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;

/**
 * The shortest time in which a task of a job could start on a machine rented now, s; Infinity if none of the types allows it in
 * the job's zone.
 */
export function soonestStartS(spec: JobSpec, types: readonly MachineType[]): number {
  let soonestS = Infinity;
  for (const type of types)
    if (typeAllowed(spec, type) && (spec.zone === null || type.zones.includes(spec.zone)))
      soonestS = Math.min(soonestS, type.bootS + imageFetchS(spec, type));
  return soonestS;
}
