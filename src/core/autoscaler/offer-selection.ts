/** Selection of the machine offer with the highest placement score for unmet demand. */
import { isPremium } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { fitsCpuOnlyType } from '../../policy/gpu-sharing.js';
import { placementScore } from '../../policy/helios.js';
import { anchorPrice, imageFetchS, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';
import { isEligible, type MachineOffer, type OfferAvailability } from './offers.js';

/** Weight of the balance between zones. Small enough to act only as a tie-breaker, whatever the size of the fleet. */
const zoneBalanceWeight = 1e-4;
/** Lower bound of the CPUs that a task counts with, so that the price per used CPU stays finite. */
const minTaskCpus = 0.01;

/** Properties of the fleet that influence the selection. */
export interface FleetView {
  /** Number of machines by zone, existing and requested. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Rate at which spot machines are reclaimed, per step of the hazard model. */
  readonly hazardPerStep: number;
}

/** The available offer with the highest score for a job's unmet tasks; null if there is none. */
export function bestOffer(
  { replica, operators }: AutoscalerContext,
  availability: OfferAvailability,
  { spec, zones, count }: UnmetDemand,
  { machinesPerZone, hazardPerStep }: FleetView,
): MachineOffer | null {
  const types = replica.machineTypes;
  const isAvailable = (offer: MachineOffer): boolean =>
    availability.isAvailable(offer) && (zones === null || zones.includes(offer.zone));
  // The reference price of premium jobs is that of the cheapest type that is available; without one, of the cheapest that fits.
  let anchor = anchorPrice(spec, types, (type) =>
    type.zones.some((zone) => isAvailable({ type, zone, spot: false })),
  );
  if (!Number.isFinite(anchor)) anchor = anchorPrice(spec, types);
  const balanceWeight = zoneBalanceWeight / [...machinesPerZone.values()].reduce((a, b) => a + b, 1);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  const weights = scoreWeights(operators);
  // No GPU machines for jobs that fit a CPU-only type: the scheduling cycle would not place them there.
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
    // The price per CPU that the tasks will actually use.
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

/** All offers of the given machine types; for each type and zone, on demand before spot. */
function* offersOf(types: readonly MachineType[]): Generator<MachineOffer> {
  for (const type of types)
    for (const zone of type.zones) for (const spot of [false, true]) yield { type, zone, spot };
}
