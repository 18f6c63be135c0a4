/** Puts records of several memories together after a loss of data. */
import type { Data, Kind } from '../formats/index.js';

type StoredPlacement = [number, number, string];

interface StoredTasks {
  n: number;
  d: string;
  p: StoredPlacement[];
  f?: string[];
  /** The revision that the task log goes on from. */
  r?: number;
}

/**
 * What two who were there at different times know of a record, put together so that no rule can be broken: what is over stays
 * over, a place is taken until a worker's report frees it, a number once used is not used again.
 */
export function mergeRecords(kind: Kind, stored: Data | undefined, known: Data): Data {
  if (stored === undefined) return known;
  if (kind === 'job') return mergeJobs(stored, known);
  if (kind === 'chunk')
    return mergeTasks(stored as unknown as StoredTasks, known as unknown as StoredTasks, known);
  if (kind === 'level') return Number(known['level']) > Number(stored['level']) ? known : stored;
  // Whoever came to an empty state took machines for free that were in use.
  if (kind === 'machine')
    return known['st'] === 'dead' || (stored['st'] === 'free' && known['st'] === 'use') ? known : stored;
  if (kind === 'block') return mergeBlocks(stored, known);
  if (kind === 'members')
    return { ...stored, seen: { ...(known['seen'] as object), ...(stored['seen'] as object) } };
  return stored;
}

/** A machine that has left its block comes back to it: it is found absent, and given up in order. */
function mergeBlocks(stored: Data, known: Data): Data {
  const hosts = new Set([...(stored['h'] as string[]), ...(known['h'] as string[])]);
  return hosts.size === (stored['h'] as string[]).length ? stored : { ...stored, h: [...hosts] };
}

function mergeJobs(stored: Data, known: Data): Data {
  // Done and cancelled were told to users; whoever comes second finds what is there.
  const over = (d: Data): boolean => d['s'] !== 'open';
  const base = over(stored) || !over(known) ? stored : known;
  const other = base === stored ? known : stored;
  if (base['s'] === 'done') return base;
  const [a, b] = [base['t'], other['t']] as (StoredTasks | undefined)[];
  if (!b) return base;
  // What may run goes on being told, also of a cancelled job.
  const t = a ? mergeTasks(a, b, b as unknown as Data) : (b as unknown as Data);
  return sameRecord(t, base['t']) ? base : { ...withInlineTasks(base), t };
}

/** A job in the format that holds the state of its tasks. */
function withInlineTasks(d: Data): Data {
  if (d['spec'] === undefined) return { ...d, v: 2 };
  const { spec, ...rest } = d;
  return { ...rest, v: 2, n: (spec as { tasks: number }).tasks, job: spec };
}

function mergeTasks(stored: StoredTasks, known: StoredTasks, unknownFields: Data): Data {
  const done = union(stored.d, known.d);
  const places = new Map<number, StoredPlacement>();
  for (const p of [...stored.p, ...known.p]) {
    const [index, attempt] = p;
    const known = places.get(index);
    if (!hasBit(done, index) && (!known || known[1] < attempt)) places.set(index, p);
  }
  const p = [...places.values()].sort((a, b) => a[0] - b[0]);
  const revision = Math.max(stored.r ?? 0, known.r ?? 0);
  const merged = {
    ...unknownFields,
    ...stored,
    n: Math.max(stored.n, known.n),
    d: done.toString('base64'),
    p,
    // What is put together is newer than either.
    ...(revision > 0 ? { r: revision + 1 } : {}),
  };
  const unchanged = merged.n === stored.n && merged.d === stored.d && samePlacements(p, stored.p);
  return (unchanged ? stored : merged) as unknown as Data;
}

const samePlacements = (a: readonly StoredPlacement[], b: readonly StoredPlacement[]): boolean =>
  a.length === b.length &&
  sameRecord(
    [...a],
    [...b].sort((x, y) => x[0] - y[0]),
  );

function union(a: string, b: string): Buffer {
  const [x, y] = [Buffer.from(a, 'base64'), Buffer.from(b, 'base64')];
  const out = Buffer.alloc(Math.max(x.length, y.length));
  for (let i = 0; i < out.length; i++) out[i] = (x[i] ?? 0) | (y[i] ?? 0);
  return out;
}

const hasBit = (bits: Buffer, i: number): boolean => ((bits[i >> 3] ?? 0) & (1 << (i & 7))) !== 0;

/** Whether two records say the same, whoever wrote them. */
export const sameRecord = (a: unknown, b: unknown): boolean =>
  JSON.stringify(normalized(a)) === JSON.stringify(normalized(b));

/** Without the writer's mark, and with its fields in order. */
function normalized(x: unknown): unknown {
  if (Array.isArray(x)) return x.map(normalized);
  if (typeof x !== 'object' || x === null) return x;
  const entries = Object.entries(x).filter(([k, value]) => k !== 'w' && value !== undefined);
  return Object.fromEntries(
    entries.sort(([a], [b]) => (a < b ? -1 : 1)).map(([k, value]) => [k, normalized(value)]),
  );
}
