/** Parses queue statements. */
import { resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** What a queue statement requests: `count` jobs for each row of values. */
export interface QueueRequest {
  readonly count: number;
  /** The names that the values of a row are given to. */
  readonly vars: string[];
  /** null: no rows; the jobs differ by their numbers only. */
  readonly rows: string[][] | null;
}

const maxJobs = 1_000_000;

/** Evaluates an expression to an integer; throws `message` if it is none. */
function parseInteger(text: string, position: SourcePosition, message: string): number {
  try {
    const value = evaluate(parseExpr(text), new Ad());
    if (typeof value === 'bigint') return Number(value);
  } catch (error) {
    if (!(error instanceof ClassAdError)) throw error;
  }
  throw new SubmitError(position, `queue: ${text}: ${message}`);
}

/** The rows that a slice, written as `[from:to:step]`, selects. */
export function applySlice<T>(rows: readonly T[], slice: string, position: SourcePosition): T[] {
  const parts = slice.split(':').map((p) => p.trim());
  const malformed = parts.length > 3 || parts.some((p) => !/^(-?\d+)?$/.test(p));
  if (malformed) throw new SubmitError(position, `queue: [${slice}]: not a slice`);
  const n = rows.length;
  const resolveBound = (p: string | undefined, defaultIndex: number): number => {
    if (p === undefined || p === '') return defaultIndex;
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
  for (let i = resolveBound(parts[0], 0); i < resolveBound(parts[1], n); i += step) selected.push(rows[i]);
  return selected;
}

/** The values in a line of a table, separated by commas or white space; the last one takes the rest of the line. */
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

const splitItems = (text: string): string[] => text.split(/[\s,]+/).filter((item) => item !== '');
const dataLines = (text: string): string[] =>
  text.split('\n').filter((line) => line.trim() !== '' && !line.trimStart().startsWith('#'));

type FileType = 'files' | 'dirs' | 'any';
type Fail = (reason: string) => never;

/** A queue statement with rows, split into its parts. */
interface RowClause {
  readonly kind: 'in' | 'from' | 'matching';
  /** How many values a row has. */
  readonly width: number;
  readonly fileType: FileType;
  /** What follows the keywords and the slice. */
  readonly rest: string;
  /** What stands in parentheses; null: nothing does. */
  readonly inline: string | null;
}

/**
 * Parses a queue statement, already expanded. `inline`: what stands in its parentheses, null if there are none; not expanded,
 * because it is expanded for each job.
 */
export function parseQueue(
  text: string,
  inline: string | null,
  position: SourcePosition,
  environment: SubmitEnvironment,
): QueueRequest {
  const fail: Fail = (reason) => {
    throw new SubmitError(position, `queue: ${reason}`);
  };
  const keyword = /(^|\s)(in|from|matching)(?=[\s([]|$)/i.exec(text);
  if (!keyword) {
    const count = text.trim() === '' ? 1 : parseInteger(text, position, 'not a number of jobs');
    return { count: checkCount(count, 1, position), vars: [], rows: null };
  }
  const { count, vars } = parseHead(text.slice(0, keyword.index).trim(), position, fail);
  const kind = keyword[2].toLowerCase() as RowClause['kind'];
  let rest = text.slice(keyword.index + keyword[0].length).trim();
  const typeMatch = kind === 'matching' ? /^(files|dirs|any)\b\s*/i.exec(rest) : null;
  if (typeMatch) rest = rest.slice(typeMatch[0].length);
  const fileType = (typeMatch?.[1].toLowerCase() ?? 'any') as FileType;
  const sliceMatch = /^\[([^\]]*)\]\s*/.exec(rest);
  if (sliceMatch) rest = rest.slice(sliceMatch[0].length);
  const slice = sliceMatch?.[1] ?? '';
  if (kind === 'in' && vars.length > 1) fail('in takes one name: use from for several');
  let rows = readRows({ kind, width: vars.length, fileType, rest, inline }, environment, fail);
  if (rows.length === 0) fail('there are no items');
  if (slice !== '') {
    rows = applySlice(rows, slice, position);
    if (rows.length === 0) fail(`[${slice}] leaves no items`);
  }
  return { count: checkCount(count, rows.length, position), vars, rows };
}

/** The number of jobs and the names before the keyword, both optional. */
function parseHead(head: string, position: SourcePosition, fail: Fail): { count: number; vars: string[] } {
  const words = splitItems(head);
  let count = 1;
  if (words.length > 0 && /^[\d(-]/.test(words[0]))
    count = parseInteger(words.shift()!, position, 'not a number of jobs');
  const malformed = words.find((word) => !/^[A-Za-z_]\w*$/.test(word));
  if (malformed !== undefined) fail(`${malformed}: not a name`);
  return { count, vars: words.length > 0 ? words : ['Item'] };
}

/** The rows that a clause lists, or those that its files hold or its patterns match. */
function readRows(clause: RowClause, environment: SubmitEnvironment, fail: Fail): string[][] {
  const { kind, width, fileType, rest, inline } = clause;
  const items = splitItems(inline ?? rest);
  if (kind === 'in') return items.map((item) => [item]);
  if (kind === 'matching') {
    const found = new Set(items.flatMap((pattern) => environment.glob(pattern, fileType)));
    if (found.size === 0) fail(`nothing matches ${items.join(' ')}`);
    return [...found].map((name) => [name]);
  }
  const rowsOf = (table: string): string[][] => dataLines(table).map((line) => splitFields(line, width));
  if (inline !== null) return rowsOf(inline);
  if (rest === '') fail('from: a file is missing');
  if (rest.endsWith('|')) fail('from a program is not supported: write its output to a file');
  const table = environment.read(resolve(environment.cwd, rest)) ?? fail(`from ${rest}: cannot be read`);
  const rows = rowsOf(table);
  if (rows.length === 0) fail(`from ${rest}: there are no items in it`);
  return rows;
}

/** Checks the number of jobs that a statement requests. */
function checkCount(count: number, rows: number, position: SourcePosition): number {
  if (count < 0) throw new SubmitError(position, `queue: ${count}: not a number of jobs`);
  if (count * rows > maxJobs) throw new SubmitError(position, `queue: more than ${maxJobs} jobs`);
  return count;
}
