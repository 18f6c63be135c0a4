/** Formats of the records that there are many of. */
import { fieldSet, type Data, type Format } from './record-types.js';

/**
 * Formats of records that there are by the hundred thousand: checked by hand, since a start reads all of them on a quarter
 * of a core. Only what the core would stumble over is looked at.
 */
const isObject = (x: unknown): x is Data => typeof x === 'object' && x !== null && !Array.isArray(x);
const isCount = (x: unknown): boolean => Number.isSafeInteger(x) && (x as number) >= 0;

const shapes = new Set(['array', 'gang', 'service']);
const urgencies = new Set(['production', 'high', 'normal', 'low']);

function specError(spec: unknown): string | null {
  if (!isObject(spec)) return 'spec: not an object';
  for (const name of ['id', 'team', 'image', 'class'])
    if (typeof spec[name] !== 'string') return `spec.${name}: not a string`;
  for (const name of ['cpus', 'gpus', 'memGb', 'estimateS'])
    if (typeof spec[name] !== 'number') return `spec.${name}: not a number`;
  if (!isCount(spec['tasks'])) return 'spec.tasks: not a count';
  if (!shapes.has(spec['shape'] as string)) return 'spec.shape: unknown';
  if (!urgencies.has(spec['urgency'] as string)) return 'spec.urgency: unknown';
  return null;
}

function usageError(use: unknown): string | null {
  if (!isObject(use) || typeof use['team'] !== 'string') return 'u.team: not a string';
  for (const name of ['cpus', 'gpus', 'memGb'])
    if (typeof use[name] !== 'number') return `u.${name}: not a number`;
  return null;
}

const isPlacement = (p: unknown): boolean =>
  Array.isArray(p) && isCount(p[0]) && isCount(p[1]) && typeof p[2] === 'string';

function taskStateError(d: Data): string | null {
  if (!isCount(d['n'])) return 'n: not a count';
  if (typeof d['d'] !== 'string') return 'd: not a string';
  const placed = d['p'];
  if (!Array.isArray(placed)) return 'p: not a list';
  if (!placed.every(isPlacement)) return 'p: not a list of index, attempt and machine';
  if (d['r'] !== undefined && !isCount(d['r'])) return 'r: not a count';
  if (d['f'] !== undefined && !Array.isArray(d['f'])) return 'f: not a list';
  return null;
}

function jobError(d: Data, spec: unknown): string | null {
  if (d['s'] !== 'open' && d['s'] !== 'done' && d['s'] !== 'cancelled') return 's: unknown';
  if (typeof d['at'] !== 'number') return 'at: not a number';
  if (d['s'] === 'open') return specError(spec);
  if (!isCount(d['n'])) return 'n: not a count';
  return d['u'] === undefined ? null : usageError(d['u']);
}

export const jobFormats: Format[] = [
  { fields: fieldSet('s', 'at', 'n', 'spec', 'u'), wrong: (d) => jobError(d, d['spec']) },
  /** The state of its tasks is in it. */
  {
    fields: fieldSet('s', 'at', 'n', 'job', 'u', 't'),
    wrong: (d) => jobError(d, d['job']) ?? (isObject(d['t']) ? taskStateError(d['t']) : 't: not an object'),
  },
];

export const chunkFormats: Format[] = [{ fields: fieldSet('n', 'd', 'p', 'f', 'r'), wrong: taskStateError }];

const isTaskLogEntry = (e: unknown): boolean =>
  Array.isArray(e) &&
  typeof e[0] === 'string' &&
  e.slice(1, 5).every(isCount) &&
  Array.isArray(e[5]) &&
  e[5].every(isPlacement) &&
  [e[6], e[7]].every((list) => Array.isArray(list) && list.every(isCount)) &&
  (e[8] === null || Array.isArray(e[8]));

/** A record of the task log. */
export const logFormats: Format[] = [
  {
    fields: fieldSet('e'),
    wrong: (d) =>
      Array.isArray(d['e']) && d['e'].every(isTaskLogEntry) ? null : 'e: not a list of entries of a task log',
  },
];

const machineFieldsError = (d: Data): string | null => {
  if (typeof d['f'] !== 'string') return 'f: not a string';
  if (typeof d['y'] !== 'string') return 'y: not a string';
  if (typeof d['l'] !== 'boolean') return 'l: not true or false';
  return Number.isSafeInteger(d['s']) ? null : 's: not a number';
};

export const machineFormats: Format[] = [
  {
    fields: fieldSet('f', 'y', 'l', 's', 'st', 'at'),
    wrong: (d) =>
      machineFieldsError(d) ??
      (['use', 'free', 'dead'].includes(d['st'] as string) ? null : 'st: unknown standing'),
  },
];

export const blockFormats: Format[] = [
  {
    fields: fieldSet('f', 'y', 'l', 's', 'at', 'h'),
    wrong: (d) =>
      machineFieldsError(d) ??
      (Array.isArray(d['h']) && d['h'].every((h) => typeof h === 'string') ? null : 'h: not a list of names'),
  },
];
