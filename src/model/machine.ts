/** Machine types, rented machines, and resource arithmetic. */

/** An amount of resources: what a task takes, or what a machine has. */
export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A type of machine that the cloud offers. Types are stored as JSON: the names of these fields are part of that format. */
export interface MachineType extends Readonly<Resources> {
  readonly name: string;
  /** The disk space for images. */
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  /** Price per hour, on demand and as a spot machine. */
  readonly price: number;
  readonly spotPrice: number;
  /** Time from the rental to the first heartbeat, s. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** `use`: leased to a shard; `free`: with the leader; `dead`: abandoned, to be returned. The values are stored. */
export type MachineState = 'use' | 'free' | 'dead';

/** The durable record of a rented machine. */
export interface MachineRecord {
  readonly host: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Owning shard, or -1: with the leader. */
  readonly shard: number;
  readonly state: MachineState;
  /** Time of day of the rental, ms. */
  readonly since: number;
}

/** What a machine of the type costs per hour. */
export const hourlyPrice = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

/** Amounts are decimals: sums of them may be off by rounding errors of up to this much. */
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

/** Adds `amount`, `times` times, to `target` in place; negative `times` take it away. */
export function addResources(target: Resources, amount: Readonly<Resources>, times: number): void {
  target.cpus += times * amount.cpus;
  target.gpus += times * amount.gpus;
  target.memGb += times * amount.memGb;
}
