/** Machine offers of the cloud: which of them a job may use, and which are assumed to have capacity. */
import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { spotAllowed } from '../../policy/guardrails.js';
import type { AutoscalerContext } from './context.js';

/** A machine type in one zone, on demand or spot, that can be requested from the cloud. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Map key of an offer. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? 'spot' : ''}`;

/** Whether a job may run on the machines of an offer. */
export const isEligible = (spec: JobSpec, { type, zone, spot }: MachineOffer): boolean =>
  typeAllowed(spec, type) && (spec.zone === null || spec.zone === zone) && (!spot || spotAllowed(spec));

/** The back-off doubles with each consecutive refusal, at most this many times. */
const maxBackoffDoublings = 3;
/** Initial back-off as a fraction of boot time times `idle-boots`, the setting for how long idle machines are kept. */
const initialBackoffIdleFraction = 0.5;
/** Assumed boot time of a machine type that the cloud no longer lists, s. */
const defaultBootS = 30;

/** Tracks offers that recently had no capacity. They are requested again only after an exponential back-off. */
export class OfferAvailability {
  private readonly refusals = new Map<string, { at: number; count: number }>();

  constructor(private readonly context: AutoscalerContext) {}

  /** Makes all offers available again. */
  clear(): void {
    this.refusals.clear();
  }

  /** Records that the cloud had no machine of this offer. */
  recordNoCapacity(offer: string): void {
    const count = (this.refusals.get(offer)?.count ?? 0) + 1;
    this.refusals.set(offer, { at: this.context.clock.now, count });
  }

  /** Records that the cloud provided machines of this offer: all that were requested, or only some of them. */
  recordCapacity(offer: string, isComplete: boolean): void {
    this.refusals.delete(offer);
    if (!isComplete) this.refusals.set(offer, { at: this.context.clock.now, count: 1 });
  }

  /** Whether an offer is assumed to have capacity now. */
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
