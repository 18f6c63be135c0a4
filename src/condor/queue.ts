import { resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** What a queue statement asks for: rows of values, and so many jobs for each. */
export interface QueueRequest {
  count: number;
  vars: string[];
  /** null: none, so the jobs differ by their numbers only. */
  rows: string[][] | null;
}

const maxJobs = 1_000_000;

/** A whole number, from what may be an expression. */
function parseInteger(text: string, position: SourcePosition, message: string): number {
  try {
    const v = evaluate(parseExpr(text), new Ad());
    if (typeof v === 'bigint') return Number(v);
  } catch (e) {
    if (!(e instanceof ClassAdError)) throw e;
  }
  throw new SubmitError(position, `queue: ${text}: ${message}`);
}

/** Rows that a slice, as `[from:to:step]`, leaves. */
export function applySlice<T>(rows: readonly T[], slice: string, position: SourcePosition): T[] {
  const parts = slice.split(':').map((p) => p.trim());
  const malformed = parts.length > 3 || parts.some((p) => !/^(-?\d+)?$/.test(p));
  if (malformed) throw new SubmitError(position, `queue: [${slice}]: not a slice`);
  const n = rows.length;
  const bound = (p: string | undefined, otherwise: number): number => {
    if (p === undefined || p === '') return otherwise;
    const i = Number(p) < 0 ? n + Number(p) : Number(p);
    return Math.min(Math.max(i, 0), n);
  };
  if (parts.length === 1) {
    if (parts[0] === '') return [...rows];
    const i = Number(parts[0]) < 0 ? n + Number(parts[0]) : Number(parts[0]);
    return i >= 0 && i < n ? [rows[i]] : [];
  }
  const step = parts[2] === undefined || parts[2] === '' ? 1 : Number(parts[2]);
  if (step <= 0) throw new SubmitError(position, `queue: [${slice}]: the step must be above zero`);
  const selected: T[] = [];
  for (let i = bound(parts[0], 0); i < bound(parts[1], n); i += step) selected.push(rows[i]);
  return selected;
}

/** One line of a table as values: parted by commas, or by spaces; the last one takes the rest. */
export function splitFields(line: string, count: number): string[] {
  if (count <= 1) return [line.trim()];
  if (line.includes('\x1f')) return line.split('\x1f').map((f) => f.trim());
  const values: string[] = [];
  let rest = line.trim();
  while (values.length < count - 1 && rest !== '') {
    const m = /\s*,\s*|\s+/.exec(rest);
    if (!m) break;
    values.push(rest.slice(0, m.index));
    rest = rest.slice(m.index + m[0].length);
  }
  values.push(rest);
  return values;
}

const splitItems = (text: string): string[] => text.split(/[\s,]+/).filter((i) => i !== '');
const dataLines = (text: string): string[] =>
  text.split('\n').filter((l) => l.trim() !== '' && !l.trimStart().startsWith('#'));

/**
 * A queue statement, already expanded. `inline`: what stands in its brackets, if anything does; not expanded, as it is
 * expanded for each job.
 */
export function parseQueue(
  text: string,
  inline: string | null,
  position: SourcePosition,
  environment: SubmitEnvironment,
): QueueRequest {
  const fail = (what: string): never => {
    throw new SubmitError(position, `queue: ${what}`);
  };
  const keyword = /(^|\s)(in|from|matching)(?=[\s([]|$)/i.exec(text);
  if (!keyword) {
    const count = text.trim() === '' ? 1 : parseInteger(text, position, 'not a number of jobs');
    return { count: checkCount(count, 1, position), vars: [], rows: null };
  }
  const head = text.slice(0, keyword.index).trim();
  let rest = text.slice(keyword.index + keyword[0].length).trim();
  const words = splitItems(head);
  let count = 1;
  if (words.length > 0 && /^[\d(-]/.test(words[0]))
    count = parseInteger(words.shift()!, position, 'not a number of jobs');
  const bad = words.find((w) => !/^[A-Za-z_]\w*$/.test(w));
  if (bad !== undefined) fail(`${bad}: not a name`);
  const vars = words.length > 0 ? words : ['Item'];
  const kind = keyword[2].toLowerCase();
  let fileType: 'files' | 'dirs' | 'any' = 'any';
  if (kind === 'matching') {
    const w = /^(files|dirs|any)\b\s*/i.exec(rest);
    if (w) {
      fileType = w[1].toLowerCase() as typeof fileType;
      rest = rest.slice(w[0].length);
    }
  }
  let slice = '';
  const sliceMatch = /^\[([^\]]*)\]\s*/.exec(rest);
  if (sliceMatch) {
    slice = sliceMatch[1];
    rest = rest.slice(sliceMatch[0].length);
  }
  if (kind === 'in' && vars.length > 1) fail('in takes one name: use from for several');
  const source = inline ?? rest;
  let rows: string[][];
  if (kind === 'in') rows = splitItems(source).map((i) => [i]);
  else if (kind === 'matching') {
    const found = new Set(splitItems(source).flatMap((p) => environment.glob(p, fileType)));
    rows = [...found].map((f) => [f]);
    if (rows.length === 0) fail(`nothing matches ${splitItems(source).join(' ')}`);
  } else if (inline !== null) rows = dataLines(inline).map((l) => splitFields(l, vars.length));
  else {
    if (rest === '') fail('from: a file is missing');
    if (rest.endsWith('|')) fail('from a program is not supported: write its output to a file');
    const table = environment.read(resolve(environment.cwd, rest));
    if (table === null) throw new SubmitError(position, `queue: from ${rest}: cannot be read`);
    rows = dataLines(table).map((l) => splitFields(l, vars.length));
    if (rows.length === 0) fail(`from ${rest}: there are no items in it`);
  }
  if (rows.length === 0) fail('there are no items');
  if (slice !== '') {
    rows = applySlice(rows, slice, position);
    if (rows.length === 0) fail(`[${slice}] leaves no items`);
  }
  return { count: checkCount(count, rows.length, position), vars, rows };
}

function checkCount(count: number, rows: number, position: SourcePosition): number {
  if (count < 0) throw new SubmitError(position, `queue: ${count}: not a number of jobs`);
  if (count * rows > maxJobs) throw new SubmitError(position, `queue: more than ${maxJobs} jobs`);
  return count;
}
