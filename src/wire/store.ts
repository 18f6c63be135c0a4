import * as v from 'valibot';

/** A change of one key: `data` undefined means that the key is gone. */
export interface Change {
  key: string;
  data: unknown;
  stamp: number;
}

export interface Condition {
  key: string;
  stamp: number;
}

export interface Write {
  key: string;
  /** undefined: drop the key. */
  data: Record<string, unknown> | undefined;
  /** State lease the key is attached to. */
  hold?: number;
}

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

export const parseRevision = (body: unknown): number | null => read(epochBody, body)?.epoch ?? null;
export function parseConflict(body: unknown): { failed: string[]; revision: number } | null {
  const r = read(failedBody, body);
  return r && { failed: r.failed, revision: r.epoch };
}
export const parseLeaseId = (body: unknown): number | null => read(holdBody, body)?.hold ?? null;

export function parsePage(body: unknown): { items: Change[]; more: boolean; revision: number } | null {
  const r = read(itemsBody, body);
  return r && { items: r.items, more: r.hasNext === true, revision: r.epoch };
}

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
export const encodeLeaseRequest = (ttlMs: number): object => ({ ttlMs });
export const scanPath = (prefix: string, from: string, limit: number): string =>
  `/kv?starts=${prefix}${from === '' ? '' : `&from=${from}`}&limit=${limit}`;
export const watchPath = (prefix: string, from: number, blockMs: number): string =>
  `/changes?starts=${prefix}&from=${from}&blockMs=${blockMs}`;

/** Changes as controllers send them to each other, as JSON. */
export const encodeChanges = (changes: readonly Change[]): string =>
  JSON.stringify(changes.map(({ key, data, stamp }) => ({ key, data, stamp })));

/** Throws if the text is not what `encodeChanges` gives. */
export const decodeChanges = (text: string): Change[] =>
  (JSON.parse(text) as { key: string; data: unknown; stamp: number }[]).map(({ key, data, stamp }) => ({
    key,
    data,
    stamp,
  }));
