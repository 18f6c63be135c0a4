/**
 * The cloud's protocol: machine types, machines, rentals and deletions. Its names: `flavour` is a machine type, `cards` GPUs,
 * `localGb` the image cache, `marketPrice` the spot price, `yard` a zone, `loaners` spot, `hire` the name of a rental.
 */
import * as v from 'valibot';
import type { MachineType } from '../model/machine.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const types = v.object({
  flavours: v.array(
    v.object({
      name: v.string(),
      cpus: amount,
      cards: v.optional(v.nullable(amount), 0),
      memGb: amount,
      localGb: v.optional(v.nullable(amount), 0),
      fetchGbPerS: v.optional(v.nullable(amount), 0),
      price: amount,
      marketPrice: v.optional(v.nullable(amount), null),
      bootS: v.optional(v.nullable(amount), 0),
      yards: v.array(v.string()),
    }),
  ),
});

/** Reads the machine types; null: malformed. */
export function parseMachineTypes(body: unknown): MachineType[] | null {
  const r = v.safeParse(types, body);
  if (!r.success) return null;
  return r.output.flavours.map((f) => ({
    name: f.name,
    cpus: f.cpus,
    gpus: f.cards ?? 0,
    memGb: f.memGb,
    cacheGb: f.localGb ?? 0,
    fetchGbPerS: f.fetchGbPerS ?? 0,
    price: f.price,
    spotPrice: f.marketPrice ?? f.price,
    bootS: f.bootS ?? 0,
    zones: f.yards,
  }));
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  status: 'booting' | 'running' | 'failed';
  ageS: number;
}

const list = v.object({
  hosts: v.array(
    v.object({
      nameId: v.string(),
      endpoint: v.optional(v.nullable(v.string()), ''),
      flavour: v.string(),
      yard: v.string(),
      loaners: v.boolean(),
      status: v.string(),
      ageS: v.optional(v.nullable(v.number()), 0),
    }),
  ),
  hasNext: v.optional(v.nullable(v.boolean()), false),
});

/** Reads a page of machines; null: malformed. */
export function parseMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const r = v.safeParse(list, body);
  if (!r.success) return null;
  return {
    machines: r.output.hosts.map((h) => ({
      host: h.nameId,
      endpoint: h.endpoint ?? '',
      type: h.flavour,
      zone: h.yard,
      spot: h.loaners,
      status: h.status === 'starting' ? 'booting' : h.status === 'failed' ? 'failed' : 'running',
      ageS: h.ageS ?? 0,
    })),
    more: r.output.hasNext === true,
  };
}

/** A request for machines. Its name makes it idempotent, and is never reused for another request. */
export interface RentRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The result of a rental request. */
export type RentalOutcome =
  /** Machines were provided: as many as requested, or fewer. */
  | { readonly type: 'rented'; readonly hosts: string[] }
  | { readonly type: 'no-capacity' }
  /** Certainly not executed. */
  | { readonly type: 'rejected' }
  /** No response: it may have been executed, or may still be executed later. */
  | { readonly type: 'unknown' };

/** The request body of a rental. */
export const encodeRental = (r: RentRequest): object => ({
  hire: r.name,
  flavour: r.type,
  yard: r.zone,
  loaners: r.spot,
  howMany: r.count,
});
/** The request body of a deletion of machines. */
export const encodeDeletion = (hosts: string[]): object => ({ hosts });

const rented = v.object({ hosts: v.array(v.string()) });
/** Reads the names of the machines that were rented; null: malformed. */
export function parseRental(body: unknown): string[] | null {
  const r = v.safeParse(rented, body);
  return r.success ? r.output.hosts : null;
}
