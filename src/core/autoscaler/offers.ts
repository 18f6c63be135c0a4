/** Machine offers of the cloud: which fit a job, and which are available. */
import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { spotAllowed } from '../../policy/guardrails.js';
import type { AutoscalerContext } from './context.js';

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
const maxBackoffDoublings = 3;
/** Share of the operators' idle time of a machine that the first pause takes. */
const initialBackoffIdleFraction = 0.5;
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
    const backoffMs =
      this.initialBackoffMs(type.name) * 2 ** Math.min(refusal.count - 1, maxBackoffDoublings);
    return this.context.clock.now - refusal.at > backoffMs;
  }

  private initialBackoffMs(type: string): number {
    const { replica, operators } = this.context;
    const bootS = replica.machineTypes.find((t) => t.name === type)?.bootS ?? defaultBootS;
    return bootS * 1000 * (operators['idle-boots'] || 1) * initialBackoffIdleFraction;
  }
}
