/** Formats of the kinds of records with few records, checked by schemas. */
import * as v from 'valibot';
import { fieldSet, type Data, type Format } from './record-types.js';

/** A format with these fields, checked by a schema. Unknown fields are allowed. */
function schemaFormat(entries: v.ObjectEntries): Format {
  const schema = v.looseObject(entries);
  return {
    fields: fieldSet(...Object.keys(entries)),
    findError(data: Data): string | null {
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
/** What a member's program can do. `least`, `most`: the range of feature levels. */
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

/** A member's presence. `run`: instance ID; `hold`: ID of its lease; `can`: capabilities of its program. */
export const presenceFormats = [schemaFormat({ run: text, hold: count, can: v.optional(capabilities) })];
/** The leader. `run`: instance ID. */
export const leaderFormats = [schemaFormat({ member: text, run: text })];
/** The machine types. */
export const machineTypeFormats = [schemaFormat({ types: v.array(machineType) })];
/** The teams of each shard. */
export const teamShardFormats = [schemaFormat({ shards: v.array(v.array(text)) })];
/** The grant of a shard to its owner. `run`: instance ID. */
export const shardGrantFormats = [schemaFormat({ owner: text, run: text })];
/** The feature level in force, and the level at which records are written. */
export const levelFormats = [schemaFormat({ level: positiveInteger, write: positiveInteger })];
/**
 * The capabilities that members were last seen with, and a note to operators on why their request (`wish`: its revision) cannot be
 * fulfilled.
 */
export const membersFormats = [
  schemaFormat({
    seen: v.record(text, capabilities),
    note: v.optional(v.object({ wish: count, text })),
  }),
];
/** An incarnation of the state, whose number is in the key. `by`: the member that opened it; `run`: instance ID. */
export const incarnationFormats = [
  schemaFormat({ by: text, run: text, stage: v.picklist(['open', 'serving', 'whole']) }),
];
/**
 * The write allocation. `n`: its version; `p`, by member: its total write rate, the part for new jobs, the most that it may have
 * in use, and the rates of its workloads by team and class.
 */
export const allocationFormats = [
  schemaFormat({
    n: positiveInteger,
    p: v.record(text, v.tuple([amount, amount, amount, v.record(text, amount)])),
  }),
];
/** The operators' request. `most`: the highest level allowed; `lower`: to lower the level; `gone`: departed members. */
export const requestedLevelFormats = [
  schemaFormat({
    most: v.optional(positiveInteger),
    lower: v.optional(v.boolean()),
    gone: v.optional(v.array(text)),
  }),
];
