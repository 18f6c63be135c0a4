import type { Operators } from '../config/operators.js';
import type { JobSpec } from '../model/job.js';
import { hourly, type MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { Candidate, Weights } from './helios.js';

export const weights = (o: Operators): Weights => ({
  hazard: o['hazard-weight'],
  anchor: o['anchor-weight'],
});

/** The cheapest on-demand price per CPU-hour among the types that a job's task fits. */
export function anchorPrice(
  spec: JobSpec,
  types: MachineType[],
  available: (type: MachineType) => boolean,
): number {
  let best = Infinity;
  for (const t of types) if (typeAllowed(spec, t) && available(t)) best = Math.min(best, t.price / t.cpus);
  return best;
}

export function candidate(
  type: MachineType,
  spot: boolean,
  hazard: number,
  fresh: boolean,
  freeCpus: number,
  delayS: number,
): Candidate {
  return {
    price: hourly(type, spot) / Math.max(type.cpus, 1),
    spot,
    hazard: spot ? hazard : 0,
    fresh,
    freeCpus,
    delayMin: delayS / 60,
  };
}

export const fetchS = (spec: JobSpec, type: MachineType): number =>
  type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;
