/** Formats of the kinds of records with many records: jobs, their tasks and machines. */
import { fieldSet, type Data, type Format } from './record-types.js';

/*
 * There are hundreds of thousands of these records, and a starting process reads all of them on a quarter of a core. So they
 * are checked by hand-written code instead of schemas, and only the fields that the core relies on are checked.
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

/** A task's placement: its index, attempt and machine. */
const isPlacement = (p: unknown): boolean =>
  Array.isArray(p) && isCount(p[0]) && isCount(p[1]) && typeof p[2] === 'string';

/**
 * Checks the state of some tasks. `n`: highest attempt used; `d`: completed tasks, as a bit set in base64; `p`: placements; `f`:
 * machines on which the job failed; `r`: version of the state.
 */
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

/** Checks a job. `s`: state; `at`: time of acceptance; `n`: number of tasks; `u`: resources of a cancelled job's tasks. */
function jobError(d: Data, spec: unknown): string | null {
  if (d['s'] !== 'open' && d['s'] !== 'done' && d['s'] !== 'cancelled') return 's: unknown';
  if (typeof d['at'] !== 'number') return 'at: not a number';
  if (d['s'] === 'open') return specError(spec);
  if (!isCount(d['n'])) return 'n: not a count';
  return d['u'] === undefined ? null : usageError(d['u']);
}

/** A job. */
export const jobFormats: Format[] = [
  { fields: fieldSet('s', 'at', 'n', 'spec', 'u'), findError: (d) => jobError(d, d['spec']) },
  /** Contains the state of the job's tasks, `t`. */
  {
    fields: fieldSet('s', 'at', 'n', 'job', 'u', 't'),
    findError: (d) =>
      jobError(d, d['job']) ?? (isObject(d['t']) ? taskStateError(d['t']) : 't: not an object'),
  },
];

/** The state of some of a job's tasks. */
export const chunkFormats: Format[] = [
  { fields: fieldSet('n', 'd', 'p', 'f', 'r'), findError: taskStateError },
];

/** An entry of the task log. Its elements are in the order of `StoredEntry` in the core's task log. */
const isTaskLogEntry = (e: unknown): boolean =>
  Array.isArray(e) &&
  typeof e[0] === 'string' &&
  e.slice(1, 5).every(isCount) &&
  Array.isArray(e[5]) &&
  e[5].every(isPlacement) &&
  [e[6], e[7]].every((list) => Array.isArray(list) && list.every(isCount)) &&
  (e[8] === null || Array.isArray(e[8]));

/** A record of the task log: `e` is the list of its entries. */
export const taskLogFormats: Format[] = [
  {
    fields: fieldSet('e'),
    findError: (d) =>
      Array.isArray(d['e']) && d['e'].every(isTaskLogEntry) ? null : 'e: not a list of task log entries',
  },
];

/** Checks the fields that machines and blocks have in common. `f`: machine type; `y`: zone; `l`: spot; `s`: shard. */
const machineFieldsError = (d: Data): string | null => {
  if (typeof d['f'] !== 'string') return 'f: not a string';
  if (typeof d['y'] !== 'string') return 'y: not a string';
  if (typeof d['l'] !== 'boolean') return 'l: not true or false';
  return Number.isSafeInteger(d['s']) ? null : 's: not a number';
};

/** A machine. `st`: its state; `at`: the time since which it has that state. */
export const machineFormats: Format[] = [
  {
    fields: fieldSet('f', 'y', 'l', 's', 'st', 'at'),
    findError: (d) =>
      machineFieldsError(d) ??
      (['use', 'free', 'dead'].includes(d['st'] as string) ? null : 'st: unknown state'),
  },
];

/** The machines of one rental. `h`: their names. */
export const blockFormats: Format[] = [
  {
    fields: fieldSet('f', 'y', 'l', 's', 'at', 'h'),
    findError: (d) =>
      machineFieldsError(d) ??
      (Array.isArray(d['h']) && d['h'].every((h) => typeof h === 'string') ? null : 'h: not a list of names'),
  },
];
