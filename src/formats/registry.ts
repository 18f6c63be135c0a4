/** The formats of all kinds of records, and the check of a record before it is used. */
import type { Data, Format, Kind } from './record-types.js';
import {
  blockFormats,
  chunkFormats,
  jobFormats,
  taskLogFormats,
  machineFormats,
} from './high-volume-records.js';
import {
  incarnationFormats,
  leaderFormats,
  levelFormats,
  membersFormats,
  presenceFormats,
  allocationFormats,
  shardGrantFormats,
  teamShardFormats,
  machineTypeFormats,
  requestedLevelFormats,
} from './low-volume-records.js';

/**
 * The formats of each kind of durable record, oldest first; the first has number 1. A format that is no longer supported is
 * replaced by null, so that the numbers of the others do not change.
 */
export type Formats = Readonly<Record<Kind, readonly (Format | null)[]>>;

/** The formats that this program reads. */
export const formats: Formats = {
  node: presenceFormats,
  lead: leaderFormats,
  types: machineTypeFormats,
  teams: teamShardFormats,
  shard: shardGrantFormats,
  block: blockFormats,
  machine: machineFormats,
  job: jobFormats,
  chunk: chunkFormats,
  level: levelFormats,
  members: membersFormats,
  wish: requestedLevelFormats,
  plan: allocationFormats,
  inc: incarnationFormats,
  log: taskLogFormats,
};

/** Whether a record can be used. `extras`: its fields that this program does not know; null: none. */
export type InspectionResult =
  | { ok: true; format: number; extras: Data | null }
  /** A record of a newer format or one no longer supported, or a damaged one: it must neither be acted on nor overwritten. */
  | { ok: false; why: 'newer' | 'too old' | 'damaged'; text: string };

/** The number of a record's format. Records of programs from before format numbers have format 1. */
export const formatNumberOf = (data: Data): number => (data['v'] === undefined ? 1 : (data['v'] as number));

/** Checks a record before it is acted on. Fields in `extras` must be preserved when the record is rewritten. */
export function inspectRecord(kind: Kind, data: unknown, known: Formats = formats): InspectionResult {
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
  if (format === null) return { ok: false, why: 'too old', text: `format ${number} is no longer supported` };
  const problem = format.findError(record);
  if (problem !== null) return { ok: false, why: 'damaged', text: problem };
  let extras: Data | null = null;
  for (const name in record) if (!format.fields.has(name)) (extras ??= {})[name] = record[name];
  return { ok: true, format: number, extras };
}
