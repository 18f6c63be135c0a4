/** Formats of the records that there are few of, checked by schema. */
import * as v from 'valibot';
import { fieldsOf, type Data, type Format } from './record-types.js';

/** Formats of records that there are few of: by schema. */
function format(entries: v.ObjectEntries): Format {
  const schema = v.looseObject(entries);
  return {
    fields: fieldsOf(...Object.keys(entries)),
    wrong(data: Data): string | null {
      const r = v.safeParse(schema, data);
      if (r.success) return null;
      return `${v.getDotPath(r.issues[0]) ?? '(record)'}: ${r.issues[0].message}`;
    },
  };
}

const text = v.string();
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const level = v.pipe(v.number(), v.integer(), v.minValue(1));
const amount = v.pipe(v.number(), v.finite());
const ability = v.looseObject({
  program: text,
  least: level,
  most: level,
  features: v.array(text),
  formats: v.record(text, level),
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

export const node = [format({ run: text, hold: count, can: v.optional(ability) })];
export const lead = [format({ member: text, run: text })];
export const types = [format({ types: v.array(machineType) })];
export const teams = [format({ shards: v.array(v.array(text)) })];
export const shard = [format({ owner: text, run: text })];
export const levelRecord = [format({ level, write: level })];
export const members = [
  format({
    seen: v.record(text, ability),
    note: v.optional(v.object({ wish: count, text })),
  }),
];
/** An incarnation of the state: its number is in its key. */
export const inc = [format({ by: text, run: text, stage: v.picklist(['open', 'serving', 'whole']) })];
/** By member: its part of the writes, that of users, the most it may be using, and how team and class take turns there. */
export const plan = [
  format({
    n: level,
    p: v.record(text, v.tuple([amount, amount, amount, v.record(text, amount)])),
  }),
];
export const wish = [
  format({ most: v.optional(level), lower: v.optional(v.boolean()), gone: v.optional(v.array(text)) }),
];
