/** Functions on strings. */
import { ErrorValue, RecordValue, type Value } from '../values.js';
import {
  strictFunction,
  stringFunction,
  nonStrictFunction,
  typeError,
  type NamedFunction,
} from './define.js';
import { findErrorOrUndefined } from '../operators.js';
import { toText } from './types.js';

const compareStrings = (a: string, b: string): bigint => (a < b ? -1n : a > b ? 1n : 0n);

/** Compares two version strings: runs of digits as numbers, everything else character by character. */
export function versionOrder(a: string, b: string): number {
  const parts = (version: string): string[] => version.match(/\d+|\D/g) ?? [];
  const [x, y] = [parts(a), parts(b)];
  for (let i = 0; i < Math.max(x.length, y.length); i++) {
    const [p, q] = [x[i], y[i]];
    if (p === undefined || q === undefined) return p === q ? 0 : p === undefined ? -1 : 1;
    if (/^\d/.test(p) && /^\d/.test(q)) {
      const [m, n] = [BigInt(p), BigInt(q)];
      if (m !== n) return m < n ? -1 : 1;
    } else if (p !== q) return p < q ? -1 : 1;
  }
  return 0;
}

const versionFunction = (name: string, test: (order: number) => boolean): NamedFunction =>
  stringFunction(name, 2, 2, ([a, b]) => test(versionOrder(a, b)));

/** Splits a text at each character of `delims` and drops empty parts. */
export const splitBy = (text: string, delims: string): string[] => {
  const parts: string[] = [];
  let word = '';
  for (const character of text) {
    if (delims.includes(character)) {
      if (word !== '') parts.push(word);
      word = '';
    } else word += character;
  }
  if (word !== '') parts.push(word);
  return parts;
};

const splitAtSignFunction = (
  name: string,
  splitWithoutAtSign: (s: string) => [string, string],
): NamedFunction =>
  stringFunction(name, 1, 1, ([s]) => {
    const at = s.indexOf('@');
    return at < 0 ? splitWithoutAtSign(s) : [s.slice(0, at), s.slice(at + 1)];
  });

/** The functions that this module defines. */
export const stringFunctions: readonly NamedFunction[] = [
  nonStrictFunction('strcat', 0, 1000, (args) => {
    const propagated = findErrorOrUndefined(...args);
    if (propagated) return propagated === 'undefined' ? undefined : propagated;
    return args.map(toText).join('');
  }),
  nonStrictFunction('join', 1, 1000, ([separator, ...rest]) => {
    const items = rest.length === 1 && Array.isArray(rest[0]) ? rest[0] : rest;
    // If a list is the only argument, its items are joined without a separator.
    const [delimiter, values] =
      Array.isArray(separator) && rest.length === 0 ? ['', separator] : [separator, items];
    if (delimiter === undefined || delimiter instanceof ErrorValue) return delimiter;
    if (typeof delimiter !== 'string') return typeError('join', delimiter);
    const error = values.find((v) => v instanceof ErrorValue);
    if (error) return error;
    return values
      .filter((v) => v !== undefined)
      .map(toText)
      .join(delimiter);
  }),
  strictFunction('substr', 2, 3, ([s, from, length]) => {
    if (typeof s !== 'string') return typeError('substr', s);
    if (typeof from !== 'bigint') return typeError('substr', from);
    if (length !== undefined && typeof length !== 'bigint') return typeError('substr', length);
    const n = s.length;
    const start = Math.min(n, Math.max(0, from < 0n ? n + Number(from) : Number(from)));
    const sliceLength = length === undefined ? n - start : Number(length);
    return s.slice(start, sliceLength < 0 ? Math.max(start, n + sliceLength) : start + sliceLength);
  }),
  strictFunction('strcmp', 2, 2, ([a, b]) => compareStrings(toText(a), toText(b))),
  strictFunction('stricmp', 2, 2, ([a, b]) =>
    compareStrings(toText(a).toLowerCase(), toText(b).toLowerCase()),
  ),
  strictFunction('toUpper', 1, 1, ([s]) => toText(s).toUpperCase()),
  strictFunction('toLower', 1, 1, ([s]) => toText(s).toLowerCase()),
  strictFunction('size', 1, 1, ([v]): Value => {
    if (typeof v === 'string' || Array.isArray(v)) return BigInt(v.length);
    return v instanceof RecordValue ? BigInt(v.ad.size) : typeError('size', v);
  }),
  stringFunction('split', 1, 2, ([s, delims]) => splitBy(s, delims ?? ', \t\r\n')),
  splitAtSignFunction('splitUserName', (s) => [s, '']),
  splitAtSignFunction('splitSlotName', (s) => ['', s]),
  stringFunction('versioncmp', 2, 2, ([a, b]) => BigInt(versionOrder(a, b))),
  versionFunction('versionGT', (o) => o > 0),
  versionFunction('versionGE', (o) => o >= 0),
  versionFunction('versionLT', (o) => o < 0),
  versionFunction('versionLE', (o) => o <= 0),
  versionFunction('versionEQ', (o) => o === 0),
  versionFunction('version_gt', (o) => o > 0),
  versionFunction('version_ge', (o) => o >= 0),
  versionFunction('version_lt', (o) => o < 0),
  versionFunction('version_le', (o) => o <= 0),
  versionFunction('version_eq', (o) => o === 0),
  stringFunction(
    'version_in_range',
    3,
    3,
    ([v, from, to]) => versionOrder(v, from) >= 0 && versionOrder(v, to) <= 0,
  ),
  stringFunction(
    'versionInRange',
    3,
    3,
    ([v, from, to]) => versionOrder(v, from) >= 0 && versionOrder(v, to) <= 0,
  ),
];
