/** Puts records of several memories together after a loss of data. */
import type { Data, Kind } from '../formats/index.js';

type Place = [number, number, string];

interface Tasks {
  n: number;
  d: string;
  p: Place[];
  f?: string[];
  /** The revision that the task log goes on from. */
  r?: number;
}

/**
 * What two who were there at different times know of a record, put together so that no rule can be broken: what is over stays
 * over, a place is taken until a worker's report frees it, a number once used is not used again.
 */
export function merge(kind: Kind, there: Data | undefined, mine: Data): Data {
  if (there === undefined) return mine;
  if (kind === 'job') return mergeJobs(there, mine);
  if (kind === 'chunk') return mergeTasks(there as unknown as Tasks, mine as unknown as Tasks, mine);
  if (kind === 'level') return Number(mine['level']) > Number(there['level']) ? mine : there;
  // Whoever came to an empty state took machines for free that were in use.
  if (kind === 'machine')
    return mine['st'] === 'dead' || (there['st'] === 'free' && mine['st'] === 'use') ? mine : there;
  if (kind === 'block') return mergeBlocks(there, mine);
  if (kind === 'members')
    return { ...there, seen: { ...(mine['seen'] as object), ...(there['seen'] as object) } };
  return there;
}

/** A machine that has left its block comes back to it: it is found absent, and given up in order. */
function mergeBlocks(there: Data, mine: Data): Data {
  const hosts = new Set([...(there['h'] as string[]), ...(mine['h'] as string[])]);
  return hosts.size === (there['h'] as string[]).length ? there : { ...there, h: [...hosts] };
}

function mergeJobs(there: Data, mine: Data): Data {
  // Done and cancelled were told to users; whoever comes second finds what is there.
  const over = (d: Data): boolean => d['s'] !== 'open';
  const base = over(there) || !over(mine) ? there : mine;
  const other = base === there ? mine : there;
  if (base['s'] === 'done') return base;
  const [a, b] = [base['t'], other['t']] as (Tasks | undefined)[];
  if (!b) return base;
  // What may run goes on being told, also of a cancelled job.
  const t = a ? mergeTasks(a, b, b as unknown as Data) : (b as unknown as Data);
  return same(t, base['t']) ? base : { ...withTasks(base), t };
}

/** A job in the format that holds the state of its tasks. */
function withTasks(d: Data): Data {
  if (d['spec'] === undefined) return { ...d, v: 2 };
  const { spec, ...rest } = d;
  return { ...rest, v: 2, n: (spec as { tasks: number }).tasks, job: spec };
}

function mergeTasks(there: Tasks, mine: Tasks, whole: Data): Data {
  const done = union(there.d, mine.d);
  const places = new Map<number, Place>();
  for (const p of [...there.p, ...mine.p]) {
    const [index, attempt] = p;
    const known = places.get(index);
    if (!has(done, index) && (!known || known[1] < attempt)) places.set(index, p);
  }
  const p = [...places.values()].sort((a, b) => a[0] - b[0]);
  const revision = Math.max(there.r ?? 0, mine.r ?? 0);
  const merged = {
    ...whole,
    ...there,
    n: Math.max(there.n, mine.n),
    d: done.toString('base64'),
    p,
    // What is put together is newer than either.
    ...(revision > 0 ? { r: revision + 1 } : {}),
  };
  const unchanged = merged.n === there.n && merged.d === there.d && samePlaces(p, there.p);
  return (unchanged ? there : merged) as unknown as Data;
}

const samePlaces = (a: readonly Place[], b: readonly Place[]): boolean =>
  a.length === b.length &&
  same(
    [...a],
    [...b].sort((x, y) => x[0] - y[0]),
  );

function union(a: string, b: string): Buffer {
  const [x, y] = [Buffer.from(a, 'base64'), Buffer.from(b, 'base64')];
  const out = Buffer.alloc(Math.max(x.length, y.length));
  for (let i = 0; i < out.length; i++) out[i] = (x[i] ?? 0) | (y[i] ?? 0);
  return out;
}

const has = (bits: Buffer, i: number): boolean => ((bits[i >> 3] ?? 0) & (1 << (i & 7))) !== 0;

/** Whether two records say the same, whoever wrote them. */
export const same = (a: unknown, b: unknown): boolean =>
  JSON.stringify(plain(a)) === JSON.stringify(plain(b));

/** Without the writer's mark, and with its fields in order. */
function plain(x: unknown): unknown {
  if (Array.isArray(x)) return x.map(plain);
  if (typeof x !== 'object' || x === null) return x;
  const entries = Object.entries(x).filter(([k, value]) => k !== 'w' && value !== undefined);
  return Object.fromEntries(
    entries.sort(([a], [b]) => (a < b ? -1 : 1)).map(([k, value]) => [k, plain(value)]),
  );
}
