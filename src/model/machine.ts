export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** `use`: leased to a shard; `free`: with the leader; `dead`: given up, to be returned. */
export type MachineState = 'use' | 'free' | 'dead';

/** The durable record of a rented machine. */
export interface MachineRecord {
  host: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Owning shard, or -1: with the leader. */
  shard: number;
  state: MachineState;
  /** Time of day of the rental, ms. */
  since: number;
}

export const hourlyPrice = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

// Amounts are decimals: sums of them may miss by rounding.
const roundingTolerance = 1e-6;
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpus <= free.cpus + roundingTolerance &&
  need.gpus <= free.gpus + roundingTolerance &&
  need.memGb <= free.memGb + roundingTolerance;

/** How many times `need` fits into `room`. */
export function fitCount(need: Resources, free: Resources): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, Math.floor((free.cpus + roundingTolerance) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((free.gpus + roundingTolerance) / need.gpus));
  if (need.memGb > 0) count = Math.min(count, Math.floor((free.memGb + roundingTolerance) / need.memGb));
  return Math.max(0, count);
}
