/** Merges what the state holds of a record after a loss of data with what a controller knows of it. */
import type { Data, Kind } from '../formats/index.js';

/** A placement as it is stored: the task's index, the attempt's number, the machine. */
type StoredPlacement = [index: number, attempt: number, host: string];

/** The state of some tasks as it is stored. */
interface StoredTasks {
  /** The last attempt's number. */
  n: number;
  /** Completed tasks: a bit each, in base64. */
  d: string;
  p: StoredPlacement[];
  /** Hosts on which tasks failed. */
  f?: string[];
  /** The version that the task log goes on from. */
  r?: number;
}

/**
 * Merges two states of a record from different times so that no rule can be broken: what is over stays over, a placement stands
 * until a worker's report frees it, a number that was used is not used again.
 */
export function mergeRecords(kind: Kind, stored: Data | undefined, known: Data): Data {
  if (stored === undefined) return known;
  switch (kind) {
    case 'job':
      return mergeJobs(stored, known);
    case 'chunk':
      return mergeTasks(stored as unknown as StoredTasks, known as unknown as StoredTasks);
    case 'level':
      return Number(known['level']) > Number(stored['level']) ? known : stored;
    case 'machine':
      // A leader that came to an empty state took machines for free that were in use.
      return known['st'] === 'dead' || (stored['st'] === 'free' && known['st'] === 'use') ? known : stored;
    case 'block':
      return mergeBlocks(stored, known);
    case 'members':
      return { ...stored, seen: { ...(known['seen'] as object), ...(stored['seen'] as object) } };
    default:
      return stored;
  }
}

/** A machine that had left its block comes back to it: it will be found absent, and abandoned in order. */
function mergeBlocks(stored: Data, known: Data): Data {
  const storedHosts = stored['h'] as string[];
  const hosts = new Set([...storedHosts, ...(known['h'] as string[])]);
  return hosts.size === storedHosts.length ? stored : { ...stored, h: [...hosts] };
}

function mergeJobs(stored: Data, known: Data): Data {
  // Users were answered that a job is done or cancelled: that prevails, and of two such answers the one that is stored.
  const isOver = (job: Data): boolean => job['s'] !== 'open';
  const base = isOver(stored) || !isOver(known) ? stored : known;
  const other = base === stored ? known : stored;
  if (base['s'] === 'done') return base;
  const [baseTasks, otherTasks] = [base['t'], other['t']] as (StoredTasks | undefined)[];
  if (!otherTasks) return base;
  // Tasks that may be running stay recorded, also those of a cancelled job.
  const tasks = baseTasks ? mergeTasks(baseTasks, otherTasks) : (otherTasks as unknown as Data);
  return sameRecord(tasks, base['t']) ? base : { ...withInlineTasks(base), t: tasks };
}

/** A job in the format that holds the state of its tasks. */
function withInlineTasks(job: Data): Data {
  if (job['spec'] === undefined) return { ...job, v: 2 };
  const { spec, ...rest } = job;
  return { ...rest, v: 2, n: (spec as { tasks: number }).tasks, job: spec };
}

/** Fields that only one of the two has are kept. */
function mergeTasks(stored: StoredTasks, known: StoredTasks): Data {
  const done = unionBits(stored.d, known.d);
  const placements = newestPlacements([...stored.p, ...known.p], done);
  const version = Math.max(stored.r ?? 0, known.r ?? 0);
  const merged = {
    ...known,
    ...stored,
    n: Math.max(stored.n, known.n),
    d: done.toString('base64'),
    p: placements,
    // The merged state is newer than either.
    ...(version > 0 ? { r: version + 1 } : {}),
  };
  const isUnchanged = merged.n === stored.n && merged.d === stored.d && samePlacements(placements, stored.p);
  return (isUnchanged ? stored : merged) as unknown as Data;
}

/** Of each task that is not completed the placement of its latest attempt, by the task's index. */
function newestPlacements(all: readonly StoredPlacement[], done: Buffer): StoredPlacement[] {
  const newest = new Map<number, StoredPlacement>();
  for (const placement of all) {
    const [index, attempt] = placement;
    const other = newest.get(index);
    if (!hasBit(done, index) && (!other || other[1] < attempt)) newest.set(index, placement);
  }
  return [...newest.values()].sort((a, b) => a[0] - b[0]);
}

const samePlacements = (sorted: readonly StoredPlacement[], other: readonly StoredPlacement[]): boolean =>
  sorted.length === other.length &&
  sameRecord(
    sorted,
    [...other].sort((a, b) => a[0] - b[0]),
  );

function unionBits(a: string, b: string): Buffer {
  const [x, y] = [Buffer.from(a, 'base64'), Buffer.from(b, 'base64')];
  const union = Buffer.alloc(Math.max(x.length, y.length));
  for (let i = 0; i < union.length; i++) union[i] = (x[i] ?? 0) | (y[i] ?? 0);
  return union;
}

const hasBit = (bits: Buffer, index: number): boolean => ((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;

/** Whether two records hold the same, whichever process wrote them and in whatever order their fields are. */
export const sameRecord = (a: unknown, b: unknown): boolean =>
  JSON.stringify(normalized(a)) === JSON.stringify(normalized(b));

/** Without the writer's mark, and with the fields sorted. */
function normalized(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(normalized);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).filter(([name, x]) => name !== 'w' && x !== undefined);
  fields.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(fields.map(([name, x]) => [name, normalized(x)]));
}
