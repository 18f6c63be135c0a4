/** Machine types, rented machines, and resource arithmetic. */

/** Amounts of resources, of a task or a machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A machine type that the cloud offers. Stored as JSON, so the names of these fields are part of the stored format. */
export interface MachineType extends Readonly<Resources> {
  readonly name: string;
  /** Disk space for cached images. */
  readonly cacheGb: number;
  /** Rate at which images are fetched. */
  readonly fetchGbPerS: number;
  /** Prices per hour, on demand and as a spot machine. */
  readonly price: number;
  readonly spotPrice: number;
  /** Time from the rental to the first heartbeat, s. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** `use`: assigned to a shard; `free`: held by the leader; `dead`: abandoned, to be deleted. The values are stored. */
export type MachineState = 'use' | 'free' | 'dead';

/** The durable record of a rented machine. */
export interface MachineRecord {
  readonly host: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The owning shard; -1: held by the leader. */
  readonly shard: number;
  readonly state: MachineState;
  /** Wall-clock time of the rental, ms. */
  readonly since: number;
}

/** Price per hour of a machine of this type. */
export const hourlyPrice = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

/** Amounts are floating-point numbers: sums of them may be off by rounding errors of up to this much. */
export const roundingTolerance = 1e-6;

/** Whether `need` fits into `free`. */
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpus <= free.cpus + roundingTolerance &&
  need.gpus <= free.gpus + roundingTolerance &&
  need.memGb <= free.memGb + roundingTolerance;

/** How many times `need` fits into `free`. */
export function fitCount(need: Resources, free: Resources): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, Math.floor((free.cpus + roundingTolerance) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((free.gpus + roundingTolerance) / need.gpus));
  if (need.memGb > 0) count = Math.min(count, Math.floor((free.memGb + roundingTolerance) / need.memGb));
  return Math.max(0, count);
}

/** Adds `amount` multiplied by `times` to `target` in place; a negative `times` subtracts it. */
export function addResources(target: Resources, amount: Readonly<Resources>, times: number): void {
  target.cpus += times * amount.cpus;
  target.gpus += times * amount.gpus;
  target.memGb += times * amount.memGb;
}
