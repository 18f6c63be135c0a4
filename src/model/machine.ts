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
export type MachineStanding = 'use' | 'free' | 'dead';

/** The durable record of a rented machine. */
export interface MachineRecord {
  host: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Owning shard, or -1: with the leader. */
  shard: number;
  standing: MachineStanding;
  /** Time of day of the rental, ms. */
  since: number;
}

export const hourly = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

export interface Fits {
  cpus: number;
  gpus: number;
  memGb: number;
}

// Amounts are decimals: sums of them may miss by rounding.
const slack = 1e-6;
export const fits = (need: Fits, room: Fits): boolean =>
  need.cpus <= room.cpus + slack && need.gpus <= room.gpus + slack && need.memGb <= room.memGb + slack;

/** How many times `need` fits into `room`. */
export function timesFits(need: Fits, room: Fits): number {
  let n = Infinity;
  if (need.cpus > 0) n = Math.min(n, Math.floor((room.cpus + slack) / need.cpus));
  if (need.gpus > 0) n = Math.min(n, Math.floor((room.gpus + slack) / need.gpus));
  if (need.memGb > 0) n = Math.min(n, Math.floor((room.memGb + slack) / need.memGb));
  return Math.max(0, n);
}
