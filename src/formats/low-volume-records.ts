/** Formats of the records that there are few of, checked by schema. */
import * as v from 'valibot';
import { fieldSet, type Data, type Format } from './record-types.js';

/** Formats of records that there are few of: by schema. */
function schemaFormat(entries: v.ObjectEntries): Format {
  const schema = v.looseObject(entries);
  return {
    fields: fieldSet(...Object.keys(entries)),
    wrong(data: Data): string | null {
      const r = v.safeParse(schema, data);
      if (r.success) return null;
      return `${v.getDotPath(r.issues[0]) ?? '(record)'}: ${r.issues[0].message}`;
    },
  };
}

const text = v.string();
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
const amount = v.pipe(v.number(), v.finite());
const capabilities = v.looseObject({
  program: text,
  least: positiveInteger,
  most: positiveInteger,
  features: v.array(text),
  formats: v.record(text, positiveInteger),
});

const machineType = v.looseObject({
  name: text,
  cpus: amount,
  gpus: amount,
  memGb: amount,
  price: amount,
  spotPrice: amount,
  bootS: amount,
  fetchGbPerS: amount,
  zones: v.array(text),
});

export const nodeFormats = [schemaFormat({ run: text, hold: count, can: v.optional(capabilities) })];
export const leadFormats = [schemaFormat({ member: text, run: text })];
export const typesFormats = [schemaFormat({ types: v.array(machineType) })];
export const teamsFormats = [schemaFormat({ shards: v.array(v.array(text)) })];
export const shardFormats = [schemaFormat({ owner: text, run: text })];
export const levelFormats = [schemaFormat({ level: positiveInteger, write: positiveInteger })];
export const membersFormats = [
  schemaFormat({
    seen: v.record(text, capabilities),
    note: v.optional(v.object({ wish: count, text })),
  }),
];
/** An incarnation of the state: its number is in its key. */
export const incFormats = [
  schemaFormat({ by: text, run: text, stage: v.picklist(['open', 'serving', 'whole']) }),
];
/** By member: its part of the writes, that of users, the most it may be using, and how team and class take turns there. */
export const planFormats = [
  schemaFormat({
    n: positiveInteger,
    p: v.record(text, v.tuple([amount, amount, amount, v.record(text, amount)])),
  }),
];
export const wishFormats = [
  schemaFormat({
    most: v.optional(positiveInteger),
    lower: v.optional(v.boolean()),
    gone: v.optional(v.array(text)),
  }),
];
