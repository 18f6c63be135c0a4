import { resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, type Place } from './errors.js';
import type { Outside } from './submit-environment.js';

/** What a queue statement asks for: rows of values, and so many jobs for each. */
export interface Queued {
  count: number;
  vars: string[];
  /** null: none, so the jobs differ by their numbers only. */
  rows: string[][] | null;
}

const mostJobs = 1_000_000;

/** A whole number, from what may be an expression. */
function whole(text: string, at: Place, what: string): number {
  try {
    const v = evaluate(parseExpr(text), new Ad());
    if (typeof v === 'bigint') return Number(v);
  } catch (e) {
    if (!(e instanceof ClassAdError)) throw e;
  }
  throw new SubmitError(at, `queue: ${text}: ${what}`);
}

/** Rows that a slice, as `[from:to:step]`, leaves. */
export function sliced<T>(all: readonly T[], slice: string, at: Place): T[] {
  const parts = slice.split(':').map((p) => p.trim());
  const bad = parts.length > 3 || parts.some((p) => !/^(-?\d+)?$/.test(p));
  if (bad) throw new SubmitError(at, `queue: [${slice}]: not a slice`);
  const n = all.length;
  const place = (p: string | undefined, otherwise: number): number => {
    if (p === undefined || p === '') return otherwise;
    const i = Number(p) < 0 ? n + Number(p) : Number(p);
    return Math.min(Math.max(i, 0), n);
  };
  if (parts.length === 1) {
    if (parts[0] === '') return [...all];
    const i = Number(parts[0]) < 0 ? n + Number(parts[0]) : Number(parts[0]);
    return i >= 0 && i < n ? [all[i]] : [];
  }
  const step = parts[2] === undefined || parts[2] === '' ? 1 : Number(parts[2]);
  if (step <= 0) throw new SubmitError(at, `queue: [${slice}]: the step must be above zero`);
  const out: T[] = [];
  for (let i = place(parts[0], 0); i < place(parts[1], n); i += step) out.push(all[i]);
  return out;
}

/** One line of a table as values: parted by commas, or by spaces; the last one takes the rest. */
export function fields(line: string, count: number): string[] {
  if (count <= 1) return [line.trim()];
  if (line.includes('\x1f')) return line.split('\x1f').map((f) => f.trim());
  const out: string[] = [];
  let rest = line.trim();
  while (out.length < count - 1 && rest !== '') {
    const m = /\s*,\s*|\s+/.exec(rest);
    if (!m) break;
    out.push(rest.slice(0, m.index));
    rest = rest.slice(m.index + m[0].length);
  }
  out.push(rest);
  return out;
}

const items = (text: string): string[] => text.split(/[\s,]+/).filter((i) => i !== '');
const lines = (text: string): string[] =>
  text.split('\n').filter((l) => l.trim() !== '' && !l.trimStart().startsWith('#'));

/**
 * A queue statement, already expanded. `inline`: what stands in its brackets, if anything does; not expanded, as it is
 * expanded for each job.
 */
export function parseQueue(text: string, inline: string | null, at: Place, outside: Outside): Queued {
  const fail = (what: string): never => {
    throw new SubmitError(at, `queue: ${what}`);
  };
  const m = /(^|\s)(in|from|matching)(?=[\s([]|$)/i.exec(text);
  if (!m) {
    const count = text.trim() === '' ? 1 : whole(text, at, 'not a number of jobs');
    return { count: checked(count, 1, at), vars: [], rows: null };
  }
  const head = text.slice(0, m.index).trim();
  let rest = text.slice(m.index + m[0].length).trim();
  const words = items(head);
  let count = 1;
  if (words.length > 0 && /^[\d(-]/.test(words[0])) count = whole(words.shift()!, at, 'not a number of jobs');
  const bad = words.find((w) => !/^[A-Za-z_]\w*$/.test(w));
  if (bad !== undefined) fail(`${bad}: not a name`);
  const vars = words.length > 0 ? words : ['Item'];
  const kind = m[2].toLowerCase();
  let what: 'files' | 'dirs' | 'any' = 'any';
  if (kind === 'matching') {
    const w = /^(files|dirs|any)\b\s*/i.exec(rest);
    if (w) {
      what = w[1].toLowerCase() as typeof what;
      rest = rest.slice(w[0].length);
    }
  }
  let slice = '';
  const s = /^\[([^\]]*)\]\s*/.exec(rest);
  if (s) {
    slice = s[1];
    rest = rest.slice(s[0].length);
  }
  if (kind === 'in' && vars.length > 1) fail('in takes one name: use from for several');
  const listed = inline ?? rest;
  let rows: string[][];
  if (kind === 'in') rows = items(listed).map((i) => [i]);
  else if (kind === 'matching') {
    const found = new Set(items(listed).flatMap((p) => outside.glob(p, what)));
    rows = [...found].map((f) => [f]);
    if (rows.length === 0) fail(`nothing matches ${items(listed).join(' ')}`);
  } else if (inline !== null) rows = lines(inline).map((l) => fields(l, vars.length));
  else {
    if (rest === '') fail('from: a file is missing');
    if (rest.endsWith('|')) fail('from a program is not supported: write its output to a file');
    const table = outside.read(resolve(outside.cwd, rest));
    if (table === null) throw new SubmitError(at, `queue: from ${rest}: cannot be read`);
    rows = lines(table).map((l) => fields(l, vars.length));
    if (rows.length === 0) fail(`from ${rest}: there are no items in it`);
  }
  if (rows.length === 0) fail('there are no items');
  if (slice !== '') {
    rows = sliced(rows, slice, at);
    if (rows.length === 0) fail(`[${slice}] leaves no items`);
  }
  return { count: checked(count, rows.length, at), vars, rows };
}

function checked(count: number, rows: number, at: Place): number {
  if (count < 0) throw new SubmitError(at, `queue: ${count}: not a number of jobs`);
  if (count * rows > mostJobs) throw new SubmitError(at, `queue: more than ${mostJobs} jobs`);
  return count;
}
