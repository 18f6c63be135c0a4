/** Prices and start delays of machine types, as the placement policy weighs them. */
import type { OperatorSettings } from '../config/operators.js';
import type { JobSpec } from '../model/job.js';
import { hourlyPrice, type MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { MachineCandidate, ScoreWeights } from './helios.js';

/** The weights that the operators have set. */
export const scoreWeights = (operators: OperatorSettings): ScoreWeights => ({
  hazard: operators['hazard-weight'],
  anchor: operators['anchor-weight'],
});

/** The cheapest on-demand price per CPU-hour among the available types that a job's task fits; Infinity: there is none. */
export function anchorPrice(
  spec: JobSpec,
  types: readonly MachineType[],
  available: (type: MachineType) => boolean = () => true,
): number {
  let cheapest = Infinity;
  for (const type of types)
    if (typeAllowed(spec, type) && available(type)) cheapest = Math.min(cheapest, type.price / type.cpus);
  return cheapest;
}

/** What decides about a machine beside its type and whether it is a spot machine. */
export interface CandidateState {
  /** The current hazard of spot machines, per hazard step. */
  readonly spotHazard: number;
  /** Time until a task could start there, s. */
  readonly delayS: number;
  /** The free CPUs of a machine that would have to be rented; absent: it is rented already. */
  readonly rentalCpus?: number;
}

/** A machine of a type, as the policy scores it. */
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

/** How long a machine of a type takes to fetch a job's image, s. */
export const imageFetchS = (spec: JobSpec, type: MachineType): number =>
  type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;
