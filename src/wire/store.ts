/**
 * The state service's protocol, on the client's side: transactions, pages, changes and leases. Its names: `epoch` is a revision,
 * `stamp` the revision of a key's last change, `hold` a lease's ID, `when` and `apply` the conditions and writes of a transaction,
 * `drop` the deletion of a key, `starts` a key prefix.
 */
import * as v from 'valibot';

/** A change of one key. `data` undefined: the key was deleted. `stamp`: the revision of the change. */
export interface Change {
  key: string;
  data: unknown;
  stamp: number;
}

/** Requires that the last change of a key has the revision `stamp`; 0: that the key does not exist. */
export interface Condition {
  key: string;
  stamp: number;
}

/** A put or a deletion of a key. */
export interface Write {
  key: string;
  /** undefined: delete the key. */
  data: Record<string, unknown> | undefined;
  /** The ID of the lease to attach the key to. */
  hold?: number;
}

/** Writes that are applied atomically if all conditions hold. */
export interface Transaction {
  conditions: Condition[];
  writes: Write[];
}

const epoch = v.pipe(v.number(), v.integer(), v.minValue(0));
const epochBody = v.object({ epoch });
const failedBody = v.object({ failed: v.array(v.string()), epoch });
const itemsBody = v.object({
  items: v.array(v.object({ key: v.string(), data: v.unknown(), stamp: epoch })),
  hasNext: v.optional(v.nullable(v.boolean()), false),
  epoch,
});
const logBody = v.object({
  epoch,
  log: v.array(
    v.object({
      put: v.optional(v.nullable(v.string())),
      drop: v.optional(v.nullable(v.string())),
      data: v.optional(v.unknown()),
      stamp: epoch,
    }),
  ),
});
const holdBody = v.object({ hold: v.number() });

const read = <T extends v.GenericSchema>(schema: T, body: unknown): v.InferOutput<T> | null => {
  const r = v.safeParse(schema, body);
  return r.success ? r.output : null;
};

/** Reads a revision; null: malformed. */
export const parseRevision = (body: unknown): number | null => read(epochBody, body)?.epoch ?? null;
/** Reads which conditions failed; null: malformed. */
export function parseConflict(body: unknown): { failed: string[]; revision: number } | null {
  const r = read(failedBody, body);
  return r && { failed: r.failed, revision: r.epoch };
}
/** Reads the ID of a new lease; null: malformed. */
export const parseLeaseId = (body: unknown): number | null => read(holdBody, body)?.hold ?? null;

/** Reads a page of keys; null: malformed. */
export function parsePage(body: unknown): { items: Change[]; more: boolean; revision: number } | null {
  const r = read(itemsBody, body);
  return r && { items: r.items, more: r.hasNext === true, revision: r.epoch };
}

/** Reads changes; null: malformed. */
export function parseChangeLog(body: unknown): { changes: Change[]; revision: number } | null {
  const r = read(logBody, body);
  if (!r) return null;
  const changes = r.log.map((e) =>
    typeof e.put === 'string'
      ? { key: e.put, data: e.data, stamp: e.stamp }
      : { key: e.drop ?? '', data: undefined, stamp: e.stamp },
  );
  return { changes, revision: r.epoch };
}

/** The request body of a transaction. */
export const encodeTransaction = (txn: Transaction): object => ({
  when: txn.conditions.map((c) => ({ key: c.key, stamp: c.stamp })),
  apply: txn.writes.map((w) =>
    w.data === undefined
      ? { drop: w.key }
      : w.hold === undefined
        ? { put: w.key, data: w.data }
        : { put: w.key, data: w.data, hold: w.hold },
  ),
});
/** The request body for a new lease. */
export const encodeLeaseRequest = (ttlMs: number): object => ({ ttlMs });
/** The path and query of a page of keys after `from`. */
export const scanPath = (prefix: string, from: string, limit: number): string =>
  `/kv?starts=${prefix}${from === '' ? '' : `&from=${from}`}&limit=${limit}`;
/** The path and query of a request for the changes after a revision. */
export const watchPath = (prefix: string, from: number, blockMs: number): string =>
  `/changes?starts=${prefix}&from=${from}&blockMs=${blockMs}`;

/** Changes in the form in which controllers send them to each other: JSON. */
export const encodeChanges = (changes: readonly Change[]): string =>
  JSON.stringify(changes.map(({ key, data, stamp }) => ({ key, data, stamp })));

/** Decodes the output of `encodeChanges`; throws if the text is malformed. */
export const decodeChanges = (text: string): Change[] =>
  (JSON.parse(text) as { key: string; data: unknown; stamp: number }[]).map(({ key, data, stamp }) => ({
    key,
    data,
    stamp,
  }));
