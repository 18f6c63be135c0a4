/** Functions on lists, and on strings that contain delimited lists. */
import type { BinaryOp } from '../expr.js';
import { binaryOp, identical } from '../operators.js';
import { ErrorValue, type Value } from '../values.js';
import {
  strictFunction,
  stringFunction,
  nonStrictFunction,
  typeError,
  type NamedFunction,
} from './define.js';
import { maxOf, minOf, sumOf } from './numbers.js';
import { splitBy } from './strings.js';
import { toReal } from './types.js';

type Comparison = Extract<BinaryOp, '<' | '<=' | '==' | '!=' | '>' | '>=' | '=?=' | '=!='>;
const comparisons: Record<string, Comparison> = {
  '<': '<',
  '<=': '<=',
  '==': '==',
  '!=': '!=',
  '>': '>',
  '>=': '>=',
  is: '=?=',
  isnt: '=!=',
  '=?=': '=?=',
  '=!=': '=!=',
};

const comparisonFunction = (
  name: string,
  quantifier: (list: Value[], f: (v: Value) => boolean) => boolean,
): NamedFunction =>
  strictFunction(name, 3, 3, ([op, list, v]) => {
    if (typeof op !== 'string' || !Object.hasOwn(comparisons, op))
      return new ErrorValue(`${name}: unknown comparison operator`);
    if (!Array.isArray(list)) return typeError(name, list);
    return quantifier(list, (x) => binaryOp(comparisons[op], x, v) === true);
  });

/** Splits a string list into its trimmed items. Each character of `delims` is a delimiter; empty items are dropped. */
const splitStringList = (s: string, delims: string | undefined): string[] =>
  splitBy(s, delims ?? ' ,').map((w) => w.trim());

const numericStringListFunction = (
  name: string,
  emptyResult: Value,
  implementation: (values: number[], allIntegers: boolean) => Value,
): NamedFunction =>
  stringFunction(name, 1, 2, ([s, delims]) => {
    const items = splitStringList(s, delims);
    const numbers = items.map(toReal);
    if (numbers.some((n) => typeof n !== 'number')) return new ErrorValue(`${name} takes a list of numbers`);
    return items.length === 0
      ? emptyResult
      : implementation(
          numbers as number[],
          items.every((w) => /^[-+]?\d+$/.test(w)),
        );
  });
const toIntegerIfWhole = (n: Value, allIntegers: boolean): Value =>
  allIntegers && typeof n === 'number' && Number.isFinite(n) ? BigInt(n) : n;

const membershipFunction = (name: string, normalize: (s: string) => string): NamedFunction =>
  stringFunction(name, 2, 3, ([item, list, delims]) =>
    splitStringList(list, delims).map(normalize).includes(normalize(item)),
  );
const subsetFunction = (name: string, normalize: (s: string) => string): NamedFunction =>
  stringFunction(name, 2, 3, ([subset, list, delims]) => {
    const available = new Set(splitStringList(list, delims).map(normalize));
    return splitStringList(subset, delims).every((w) => available.has(normalize(w)));
  });
const identity = (s: string): string => s;
const lowerCase = (s: string): string => s.toLowerCase();

/** The functions that this module defines. */
export const listFunctions: readonly NamedFunction[] = [
  nonStrictFunction('member', 2, 2, ([v, list]) => {
    if (list instanceof ErrorValue || list === undefined) return list;
    if (v instanceof ErrorValue || v === undefined) return v;
    if (!Array.isArray(list)) return typeError('member', list);
    return list.some((x) => binaryOp('==', x, v) === true);
  }),
  nonStrictFunction('identicalMember', 2, 2, ([v, list]) => {
    if (list instanceof ErrorValue || list === undefined) return list;
    if (!Array.isArray(list)) return typeError('identicalMember', list);
    return list.some((x) => identical(x, v));
  }),
  comparisonFunction('anyCompare', (list, f) => list.some(f)),
  comparisonFunction('allCompare', (list, f) => list.every(f)),
  stringFunction('stringListSize', 1, 2, ([s, delims]) => BigInt(splitStringList(s, delims).length)),
  numericStringListFunction('stringListSum', 0n, (values, allIntegers) =>
    toIntegerIfWhole(sumOf(values), allIntegers),
  ),
  numericStringListFunction(
    'stringListAvg',
    0,
    (values) => values.reduce((a, b) => a + b, 0) / values.length,
  ),
  numericStringListFunction('stringListMin', undefined, (values, allIntegers) =>
    toIntegerIfWhole(minOf(values), allIntegers),
  ),
  numericStringListFunction('stringListMax', undefined, (values, allIntegers) =>
    toIntegerIfWhole(maxOf(values), allIntegers),
  ),
  membershipFunction('stringListMember', identity),
  membershipFunction('stringListIMember', lowerCase),
  subsetFunction('stringListSubsetMatch', identity),
  subsetFunction('stringListISubsetMatch', lowerCase),
  stringFunction('stringListsIntersect', 2, 3, ([a, b, delims]) => {
    const available = new Set(splitStringList(b, delims));
    return splitStringList(a, delims).some((w) => available.has(w));
  }),
];
