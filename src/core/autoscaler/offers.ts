/** Machine offers of the cloud: which are available, which fit a job, and which is best for it. */
import { isPremium, type JobSpec } from '../../model/job.js';
import { fitCount, type MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { fitsCpuOnlyType } from '../../policy/gpu-sharing.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { placementScore } from '../../policy/helios.js';
import { anchorPrice, imageFetchS, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';

/** A machine type in a zone, on demand or spot, that the cloud may provide. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** The name of an offer, in maps. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? 'spot' : ''}`;

/** Whether a job may run on the machines of an offer. */
export const isEligible = (spec: JobSpec, { type, zone, spot }: MachineOffer): boolean =>
  typeAllowed(spec, type) && (spec.zone === null || spec.zone === zone) && (!spot || spotAllowed(spec));

/** The pause after a refusal doubles with each further one in a row, up to this exponent. */
const maxPauseDoublings = 3;
/** Share of the operators' idle time of a machine that the first pause takes. */
const pauseShare = 0.5;
/** Assumed boot time of a machine type that is not known any more, s. */
const defaultBootS = 30;

/** Which offers had no capacity lately: they are not tried again for a while. */
export class OfferAvailability {
  private readonly refusals = new Map<string, { at: number; count: number }>();

  constructor(private readonly context: AutoscalerContext) {}

  /** Forgets all refusals. */
  clear(): void {
    this.refusals.clear();
  }

  /** The cloud had no machine of this offer. */
  recordNoCapacity(offer: string): void {
    const count = (this.refusals.get(offer)?.count ?? 0) + 1;
    this.refusals.set(offer, { at: this.context.clock.now, count });
  }

  /** The cloud provided machines of this offer: all that were requested, or fewer. */
  recordCapacity(offer: string, isComplete: boolean): void {
    this.refusals.delete(offer);
    if (!isComplete) this.refusals.set(offer, { at: this.context.clock.now, count: 1 });
  }

  /** Whether machines of an offer are assumed to be obtainable now. */
  isAvailable({ type, zone, spot }: MachineOffer): boolean {
    const refusal = this.refusals.get(offerKey(type.name, zone, spot));
    if (!refusal) return true;
    const pause = this.firstPauseMs(type.name) * 2 ** Math.min(refusal.count - 1, maxPauseDoublings);
    return this.context.clock.now - refusal.at > pause;
  }

  private firstPauseMs(type: string): number {
    const { replica, operators } = this.context;
    const bootS = replica.machineTypes.find((t) => t.name === type)?.bootS ?? defaultBootS;
    return bootS * 1000 * (operators['idle-boots'] || 1) * pauseShare;
  }
}

/** Weight of the balance between zones: it decides between offers of the same score only, however large the fleet. */
const zoneBalanceWeight = 1e-4;

/**
 * The best offer for a job's unmet tasks, by the policy's score; null: none is available. `machinesPerZone` counts machines that
 * are there or requested.
 */
export function bestOffer(
  { replica, operators }: AutoscalerContext,
  availability: OfferAvailability,
  { spec, zones, count }: UnmetDemand,
  machinesPerZone: ReadonlyMap<string, number>,
  hazardPerStep: number,
): MachineOffer | null {
  const types = replica.machineTypes;
  const isAvailable = (offer: MachineOffer): boolean =>
    availability.isAvailable(offer) && (zones === null || zones.includes(offer.zone));
  // The price of premium work stays anchored to a type that is available; if none is, to the cheapest that fits.
  let anchor = anchorPrice(spec, types, (type) =>
    type.zones.some((zone) => isAvailable({ type, zone, spot: false })),
  );
  if (!Number.isFinite(anchor)) anchor = anchorPrice(spec, types);
  // No GPU machines for work that others can run: the scheduling cycle would not use them either.
  const mayUseGpuTypes = spec.gpus > 0 || !fitsCpuOnlyType(spec, types);
  const balanceWeight = zoneBalanceWeight / [...machinesPerZone.values()].reduce((a, b) => a + b, 1);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  const weights = scoreWeights(operators);
  let best: MachineOffer | null = null;
  let bestScore = -Infinity;
  for (const type of types) {
    if (type.gpus > 0 && !mayUseGpuTypes) continue;
    const tasksPerMachine = fitCount(spec, type);
    if (tasksPerMachine < 1) continue;
    // The price is paid for the CPUs that the tasks will use.
    const usedShare = Math.min(1, (Math.min(tasksPerMachine, count) * Math.max(spec.cpus, 0.01)) / type.cpus);
    const delayS = type.bootS + imageFetchS(spec, type);
    for (const zone of type.zones)
      for (const spot of [false, true]) {
        const offer = { type, zone, spot };
        if (!isEligible(spec, offer) || !isAvailable(offer)) continue;
        const options = { spotHazard: hazardPerStep, delayS, rentalCpus: type.cpus };
        const offered = machineCandidate(type, spot, options);
        const candidate = { ...offered, price: offered.price / usedShare };
        const score =
          placementScore(work, candidate, anchor, weights) - balanceWeight * (machinesPerZone.get(zone) ?? 0);
        if (best === null || score > bestScore) {
          best = offer;
          bestScore = score;
        }
      }
  }
  return best;
}
