/** Merges the stored version of a record after a loss of data with the version that a controller knows. */
import type { Data, Kind } from '../formats/index.js';

/** A placement in its stored form: the task's index, the attempt number, the machine. */
type StoredPlacement = [index: number, attempt: number, host: string];

/** The state of a range of tasks in its stored form. */
interface StoredTasks {
  /** The number of the last attempt. */
  n: number;
  /** Completed tasks: a bitmap in base64. */
  d: string;
  /** Current placements. */
  p: StoredPlacement[];
  /** Hosts on which tasks failed. */
  f?: string[];
  /** The version from which the task log continues. */
  r?: number;
}

/**
 * Merges two versions of a record from different times without breaking an invariant: finished jobs and tasks stay finished, a
 * placement stays until a worker's report releases it, and a number that was used is not used again.
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
      // A leader that started with an empty state may have recorded machines as free that were in use.
      return known['st'] === 'dead' || (stored['st'] === 'free' && known['st'] === 'use') ? known : stored;
    case 'block':
      return mergeBlocks(stored, known);
    case 'members':
      return { ...stored, seen: { ...(known['seen'] as object), ...(stored['seen'] as object) } };
    default:
      return stored;
  }
}

/** Merges two versions of a block. A machine that had left the block returns to it, and is abandoned later, when it is found absent. */
function mergeBlocks(stored: Data, known: Data): Data {
  const storedHosts = stored['h'] as string[];
  const hosts = new Set([...storedHosts, ...(known['h'] as string[])]);
  return hosts.size === storedHosts.length ? stored : { ...stored, h: [...hosts] };
}

function mergeJobs(stored: Data, known: Data): Data {
  // A final state may already have been reported to users, so it prevails; of two final states the stored one does.
  const isFinished = (job: Data): boolean => job['s'] !== 'open';
  const base = isFinished(stored) || !isFinished(known) ? stored : known;
  const other = base === stored ? known : stored;
  if (base['s'] === 'done') return base;
  const [baseTasks, otherTasks] = [base['t'], other['t']] as (StoredTasks | undefined)[];
  if (!otherTasks) return base;
  // Tasks that may still be running stay recorded, even those of a cancelled job.
  const tasks = baseTasks ? mergeTasks(baseTasks, otherTasks) : (otherTasks as unknown as Data);
  return sameRecord(tasks, base['t']) ? base : { ...withInlineTasks(base), t: tasks };
}

/** Converts a job to the format that contains the state of its tasks. */
function withInlineTasks(job: Data): Data {
  if (job['spec'] === undefined) return { ...job, v: 2 };
  const { spec, ...rest } = job;
  return { ...rest, v: 2, n: (spec as { tasks: number }).tasks, job: spec };
}

/** Merges two versions of the tasks' state. Fields that only one of them has are kept. */
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
    // The merged state is newer than both.
    ...(version > 0 ? { r: version + 1 } : {}),
  };
  const isUnchanged = merged.n === stored.n && merged.d === stored.d && samePlacements(placements, stored.p);
  return (isUnchanged ? stored : merged) as unknown as Data;
}

/** For each task that is not completed, the placement of its latest attempt, ordered by task index. */
function newestPlacements(all: readonly StoredPlacement[], done: Buffer): StoredPlacement[] {
  const newest = new Map<number, StoredPlacement>();
  for (const placement of all) {
    const [index, attempt] = placement;
    const other = newest.get(index);
    if (!isBitSet(done, index) && (!other || other[1] < attempt)) newest.set(index, placement);
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

const isBitSet = (bits: Buffer, index: number): boolean =>
  ((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;

/** Whether two records are equal, regardless of the process that wrote them and of the order of their fields. */
export const sameRecord = (a: unknown, b: unknown): boolean =>
  JSON.stringify(normalizedForComparison(a)) === JSON.stringify(normalizedForComparison(b));

/** The value with its fields sorted, and without `w`, the ID of the transaction that stored it. */
function normalizedForComparison(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(normalizedForComparison);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).filter(([name, x]) => name !== 'w' && x !== undefined);
  fields.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(fields.map(([name, x]) => [name, normalizedForComparison(x)]));
}
