/** The state service's protocol, on the server's side: reads requests and encodes responses. `store.ts` explains its names. */
import * as v from 'valibot';
import type { Change, Transaction } from './store.js';

const key = v.pipe(v.string(), v.minLength(1), v.regex(/^\S+$/, 'must not contain spaces'));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const data = v.record(v.string(), v.unknown());

const txn = v.object({
  when: v.optional(v.nullable(v.array(v.object({ key, stamp: count }))), null),
  apply: v.optional(
    v.nullable(
      v.array(
        v.union([
          v.object({ put: key, data, hold: v.optional(v.nullable(count), null) }),
          v.object({ drop: key }),
        ]),
      ),
    ),
    null,
  ),
});

const maxKeyBytes = 200;

/** Reads a transaction; a string says what is wrong with the request. */
export function parseTransaction(body: unknown): Transaction | string {
  const r = v.safeParse(txn, body);
  if (!r.success) return `${v.getDotPath(r.issues[0]) ?? 'body'}: ${r.issues[0].message}`;
  const t: Transaction = {
    conditions: (r.output.when ?? []).map((c) => ({ key: c.key, stamp: c.stamp })),
    writes: (r.output.apply ?? []).map((w) =>
      'put' in w
        ? { key: w.put, data: w.data, ...(w.hold === null ? {} : { hold: w.hold }) }
        : { key: w.drop, data: undefined },
    ),
  };
  for (const { key: k } of [...t.conditions, ...t.writes])
    if (Buffer.byteLength(k) > maxKeyBytes)
      return `key ${k.slice(0, 40)}...: longer than ${maxKeyBytes} bytes`;
  return t;
}

const leaseBody = v.object({ ttlMs: v.pipe(v.number(), v.integer(), v.minValue(100), v.maxValue(600_000)) });
/** Reads the time to live of a requested lease, ms; a string says what is wrong with the request. */
export function parseLeaseRequest(body: unknown): number | string {
  const r = v.safeParse(leaseBody, body);
  return r.success ? r.output.ttlMs : `ttlMs: ${r.issues[0].message}`;
}

/** The response with a key and its value. */
export const encodeEntry = (k: string, e: { data: unknown; stamp: number; hold?: number }): object => ({
  key: k,
  data: e.data,
  stamp: e.stamp,
  ...(e.hold === undefined ? {} : { hold: e.hold }),
});
/** The response with a page of keys. */
export const encodePage = (items: Change[], more: boolean, epoch: number): object => ({
  items,
  hasNext: more,
  epoch,
});
/** The response with the changes after a revision. */
export const encodeChangeLog = (changes: Change[], epoch: number): object => ({
  epoch,
  log: changes.map((c) =>
    c.data === undefined ? { drop: c.key, stamp: c.stamp } : { put: c.key, data: c.data, stamp: c.stamp },
  ),
});
/** The response with a revision. */
export const encodeRevision = (epoch: number): object => ({ epoch });
/** The response to a transaction some of whose conditions failed. */
export const encodeConflict = (failed: string[], epoch: number): object => ({ failed, epoch });
/** The response with the ID of a new lease. */
export const encodeLease = (hold: number): object => ({ hold });
/** The error of a request with a lease that has expired or does not exist. */
export const leaseNotFound = 'no such lease';
