/** All formats of all kinds of records, and the check of a record before it is used. */
import type { Data, Format, Kind } from './record-types.js';
import { block, chunk, job, log, machine } from './high-volume-records.js';
import {
  inc,
  lead,
  levelRecord,
  members,
  node,
  plan,
  shard,
  teams,
  types,
  wish,
} from './low-volume-records.js';

/**
 * Every format of every kind of durable record, oldest first: the first has number 1. What a program cannot read any more
 * stays as null, so that the numbers stay.
 */
export type Formats = Readonly<Record<Kind, readonly (Format | null)[]>>;

export const formats: Formats = {
  node,
  lead,
  types,
  teams,
  shard,
  block,
  machine,
  job,
  chunk,
  level: levelRecord,
  members,
  wish,
  plan,
  inc,
  log,
};

export type Verdict =
  | { ok: true; format: number; extras: Data | null }
  /** Written by a newer program, by one too old, or damaged: not to be acted on, nor written over. */
  | { ok: false; why: 'newer' | 'too old' | 'damaged'; text: string };

/** A record's format: those of programs that knew none are of the first. */
export const formatOf = (data: Data): number => (data['v'] === undefined ? 1 : (data['v'] as number));

/** Looks at a record before anybody acts on it. `extras`: fields that this program does not know, and that must survive. */
export function inspect(kind: Kind, data: unknown, known: Formats = formats): Verdict {
  if (typeof data !== 'object' || data === null || Array.isArray(data))
    return { ok: false, why: 'damaged', text: 'not an object' };
  const record = data as Data;
  const number = formatOf(record);
  if (!Number.isSafeInteger(number) || number < 1)
    return { ok: false, why: 'damaged', text: 'v: not a format number' };
  const list = known[kind];
  if (number > list.length)
    return { ok: false, why: 'newer', text: `format ${number}, this program reads up to ${list.length}` };
  const format = list[number - 1];
  if (format === null) return { ok: false, why: 'too old', text: `format ${number} is not read any more` };
  const wrong = format.wrong(record);
  if (wrong !== null) return { ok: false, why: 'damaged', text: wrong };
  let extras: Data | null = null;
  for (const name in record) if (!format.fields.has(name)) (extras ??= {})[name] = record[name];
  return { ok: true, format: number, extras };
}
