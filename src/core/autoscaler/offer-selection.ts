/** Selection of the best machine offer for unmet demand, by the policy's score. */
import { isPremium } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { fitsCpuOnlyType } from '../../policy/gpu-sharing.js';
import { placementScore } from '../../policy/helios.js';
import { anchorPrice, imageFetchS, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';
import { isEligible, type MachineOffer, type OfferAvailability } from './offers.js';

/** Weight of the balance between zones: it decides between offers of the same score only, however large the fleet. */
const zoneBalanceWeight = 1e-4;
/** A task that needs fewer CPUs counts as one that needs these. */
const minTaskCpus = 0.01;

/** The fleet as it is when an offer is selected. */
export interface FleetView {
  /** Machines that are there or requested. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** The rate at which spot machines are reclaimed, for one step of the policy's hazard model. */
  readonly hazardPerStep: number;
}

/** The best offer for unmet tasks of a job; null: none is available. */
export function bestOffer(
  { replica, operators }: AutoscalerContext,
  availability: OfferAvailability,
  { spec, zones, count }: UnmetDemand,
  { machinesPerZone, hazardPerStep }: FleetView,
): MachineOffer | null {
  const types = replica.machineTypes;
  const isAvailable = (offer: MachineOffer): boolean =>
    availability.isAvailable(offer) && (zones === null || zones.includes(offer.zone));
  // The price of premium work stays anchored to a type that is available; if none is, to the cheapest that fits.
  let anchor = anchorPrice(spec, types, (type) =>
    type.zones.some((zone) => isAvailable({ type, zone, spot: false })),
  );
  if (!Number.isFinite(anchor)) anchor = anchorPrice(spec, types);
  const balanceWeight = zoneBalanceWeight / [...machinesPerZone.values()].reduce((a, b) => a + b, 1);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  const weights = scoreWeights(operators);
  // No GPU machines for work that others can run: the scheduling cycle would not use them either.
  const mayUseGpuTypes = spec.gpus > 0 || !fitsCpuOnlyType(spec, types);
  let best: MachineOffer | null = null;
  let bestScore = -Infinity;
  for (const offer of offersOf(types)) {
    const { type, zone, spot } = offer;
    const tasksPerMachine = fitCount(spec, type);
    if (tasksPerMachine < 1 || (type.gpus > 0 && !mayUseGpuTypes)) continue;
    if (!isEligible(spec, offer) || !isAvailable(offer)) continue;
    const delayS = type.bootS + imageFetchS(spec, type);
    const candidate = machineCandidate(type, spot, {
      spotHazard: hazardPerStep,
      delayS,
      rentalCpus: type.cpus,
    });
    // The price is paid for the CPUs that the tasks will use.
    const usedCpus = Math.min(tasksPerMachine, count) * Math.max(spec.cpus, minTaskCpus);
    const price = candidate.price / Math.min(1, usedCpus / type.cpus);
    const score =
      placementScore(work, { ...candidate, price }, anchor, weights) -
      balanceWeight * (machinesPerZone.get(zone) ?? 0);
    if (best === null || score > bestScore) {
      best = offer;
      bestScore = score;
    }
  }
  return best;
}

/** All offers of the machine types, on demand before spot. */
function* offersOf(types: readonly MachineType[]): Generator<MachineOffer> {
  for (const type of types)
    for (const zone of type.zones) for (const spot of [false, true]) yield { type, zone, spot };
}
