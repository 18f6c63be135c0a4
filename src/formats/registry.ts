/** All formats of all kinds of records, and the check of a record before it is used. */
import type { Data, Format, Kind } from './record-types.js';
import { blockFormats, chunkFormats, jobFormats, logFormats, machineFormats } from './high-volume-records.js';
import {
  incFormats,
  leadFormats,
  levelFormats,
  membersFormats,
  nodeFormats,
  planFormats,
  shardFormats,
  teamsFormats,
  typesFormats,
  wishFormats,
} from './low-volume-records.js';

/**
 * Every format of every kind of durable record, oldest first: the first has number 1. What a program cannot read any more
 * stays as null, so that the numbers stay.
 */
export type Formats = Readonly<Record<Kind, readonly (Format | null)[]>>;

export const formats: Formats = {
  node: nodeFormats,
  lead: leadFormats,
  types: typesFormats,
  teams: teamsFormats,
  shard: shardFormats,
  block: blockFormats,
  machine: machineFormats,
  job: jobFormats,
  chunk: chunkFormats,
  level: levelFormats,
  members: membersFormats,
  wish: wishFormats,
  plan: planFormats,
  inc: incFormats,
  log: logFormats,
};

export type Verdict =
  | { ok: true; format: number; extras: Data | null }
  /** Written by a newer program, by one too old, or damaged: not to be acted on, nor written over. */
  | { ok: false; why: 'newer' | 'too old' | 'damaged'; text: string };

/** A record's format: those of programs that knew none are of the first. */
export const formatNumberOf = (data: Data): number => (data['v'] === undefined ? 1 : (data['v'] as number));

/** Looks at a record before anybody acts on it. `extras`: fields that this program does not know, and that must survive. */
export function inspect(kind: Kind, data: unknown, known: Formats = formats): Verdict {
  if (typeof data !== 'object' || data === null || Array.isArray(data))
    return { ok: false, why: 'damaged', text: 'not an object' };
  const record = data as Data;
  const number = formatNumberOf(record);
  if (!Number.isSafeInteger(number) || number < 1)
    return { ok: false, why: 'damaged', text: 'v: not a format number' };
  const knownFormats = known[kind];
  if (number > knownFormats.length)
    return {
      ok: false,
      why: 'newer',
      text: `format ${number}, this program reads up to ${knownFormats.length}`,
    };
  const format = knownFormats[number - 1];
  if (format === null) return { ok: false, why: 'too old', text: `format ${number} is not read any more` };
  const problem = format.wrong(record);
  if (problem !== null) return { ok: false, why: 'damaged', text: problem };
  let extras: Data | null = null;
  for (const name in record) if (!format.fields.has(name)) (extras ??= {})[name] = record[name];
  return { ok: true, format: number, extras };
}
