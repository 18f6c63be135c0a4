/** Parses queue statements. */
import { resolve } from 'node:path';
import { ClassAd, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** The jobs that a queue statement requests: `count` jobs for each row of values. */
export interface QueueRequest {
  readonly count: number;
  /** The names of the macros that the values of a row are assigned to. */
  readonly vars: string[];
  /** null: the statement has no rows, and the jobs differ only in their process numbers. */
  readonly rows: string[][] | null;
}

/** Maximum number of jobs that one queue statement may request. */
const maxJobs = 1_000_000;

/** Evaluates an expression to an integer. Throws `message` if the result is not an integer. */
function parseInteger(text: string, position: SourcePosition, message: string): number {
  try {
    const value = evaluate(parseExpr(text), new ClassAd());
    if (typeof value === 'bigint') return Number(value);
  } catch (error) {
    if (!(error instanceof ClassAdError)) throw error;
  }
  throw new SubmitError(position, `queue: ${text}: ${message}`);
}

/** Returns the rows that a slice, written as `[from:to:step]`, selects. */
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
  if (step <= 0) throw new SubmitError(position, `queue: [${slice}]: the step must be greater than zero`);
  const selected: T[] = [];
  for (let i = resolveBound(parts[0], 0); i < resolveBound(parts[1], n); i += step) selected.push(rows[i]);
  return selected;
}

/**
 * Splits a line of a table into at most `count` values, separated by commas or white space; the last value takes the rest of the
 * line. If `count` is above 1 and the line contains the unit separator (0x1f), that is the only separator.
 */
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

/** The part of a queue statement that specifies its rows. */
interface RowClause {
  readonly kind: 'in' | 'from' | 'matching';
  /** The number of values in a row. */
  readonly width: number;
  readonly fileType: FileType;
  /** The text after the keywords and the slice. */
  readonly rest: string;
  /** The text in parentheses; null if there are none. */
  readonly inline: string | null;
}

/**
 * Parses the text of a queue statement after macro expansion. `inline` is the text in its parentheses, null if there are none. It
 * is not expanded yet, because it is expanded for each job.
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

/** Parses the number of jobs and the names before the keyword, both of which are optional. */
function parseHead(head: string, position: SourcePosition, fail: Fail): { count: number; vars: string[] } {
  const words = splitItems(head);
  let count = 1;
  if (words.length > 0 && /^[\d(-]/.test(words[0]))
    count = parseInteger(words.shift()!, position, 'not a number of jobs');
  const malformed = words.find((word) => !/^[A-Za-z_]\w*$/.test(word));
  if (malformed !== undefined) fail(`${malformed}: not a name`);
  return { count, vars: words.length > 0 ? words : ['Item'] };
}

/** Returns the rows of a clause: listed inline, read from a file, or the file names that its patterns match. */
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
  if (rest === '') fail('from: the file name is missing');
  if (rest.endsWith('|')) fail('from a program is not supported: write its output to a file');
  const table = environment.read(resolve(environment.cwd, rest)) ?? fail(`from ${rest}: cannot be read`);
  const rows = rowsOf(table);
  if (rows.length === 0) fail(`from ${rest}: there are no items in it`);
  return rows;
}

/** Checks that the number of requested jobs is within limits, and returns the number of jobs per row. */
function checkCount(count: number, rows: number, position: SourcePosition): number {
  if (count < 0) throw new SubmitError(position, `queue: ${count}: not a number of jobs`);
  if (count * rows > maxJobs) throw new SubmitError(position, `queue: more than ${maxJobs} jobs`);
  return count;
}
