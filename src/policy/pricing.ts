import type { Operators } from '../config/operators.js';
import type { JobSpec } from '../model/job.js';
import { hourlyPrice, type MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { MachineCandidate, ScoreWeights } from './helios.js';

export const scoreWeights = (operators: Operators): ScoreWeights => ({
  hazard: operators['hazard-weight'],
  anchor: operators['anchor-weight'],
});

/** The cheapest on-demand price per CPU-hour among the types that a job's task fits. */
export function anchorPrice(
  spec: JobSpec,
  types: MachineType[],
  available: (type: MachineType) => boolean,
): number {
  let cheapest = Infinity;
  for (const t of types)
    if (typeAllowed(spec, t) && available(t)) cheapest = Math.min(cheapest, t.price / t.cpus);
  return cheapest;
}

export function machineCandidate(
  type: MachineType,
  spot: boolean,
  hazard: number,
  needsRental: boolean,
  freeCpus: number,
  delayS: number,
): MachineCandidate {
  return {
    price: hourlyPrice(type, spot) / Math.max(type.cpus, 1),
    spot,
    hazard: spot ? hazard : 0,
    needsRental,
    freeCpus,
    delayMin: delayS / 60,
  };
}

export const imageFetchS = (spec: JobSpec, type: MachineType): number =>
  type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;
