/** Functions of lists, and of strings that contain lists. */
import type { BinaryOp } from '../expr.js';
import { binaryOp, identical } from '../operators.js';
import { ErrorValue, type Value } from '../values.js';
import { strictFunction, stringFunction, lenientFunction, typeError, type NamedFunction } from './define.js';
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
      return new ErrorValue(`${name}: no such comparison`);
    if (!Array.isArray(list)) return typeError(name, list);
    return quantifier(list, (x) => binaryOp(comparisons[op], x, v) === true);
  });

/** The words in a string; any of the delimiters' characters separates them. */
const words = (s: string, delims: string | undefined): string[] =>
  splitBy(s, delims ?? ' ,').map((w) => w.trim());

const numberListFunction = (
  name: string,
  empty: Value,
  implementation: (all: number[], allIntegers: boolean) => Value,
): NamedFunction =>
  stringFunction(name, 1, 2, ([s, delims]) => {
    const items = words(s, delims);
    const numbers = items.map(toReal);
    if (numbers.some((n) => typeof n !== 'number')) return new ErrorValue(`${name} takes a list of numbers`);
    return items.length === 0
      ? empty
      : implementation(
          numbers as number[],
          items.every((w) => /^[-+]?\d+$/.test(w)),
        );
  });
const integerIfWhole = (n: Value, whole: boolean): Value =>
  whole && typeof n === 'number' && Number.isFinite(n) ? BigInt(n) : n;

const membershipFunction = (name: string, normalize: (s: string) => string): NamedFunction =>
  stringFunction(name, 2, 3, ([one, list, delims]) =>
    words(list, delims).map(normalize).includes(normalize(one)),
  );
const subsetFunction = (name: string, normalize: (s: string) => string): NamedFunction =>
  stringFunction(name, 2, 3, ([some, all, delims]) => {
    const available = new Set(words(all, delims).map(normalize));
    return words(some, delims).every((w) => available.has(normalize(w)));
  });
const identity = (s: string): string => s;
const lowerCase = (s: string): string => s.toLowerCase();

/** The functions of this module. */
export const lists: readonly NamedFunction[] = [
  lenientFunction('member', 2, 2, ([v, list]) => {
    if (list instanceof ErrorValue || list === undefined) return list;
    if (v instanceof ErrorValue || v === undefined) return v;
    if (!Array.isArray(list)) return typeError('member', list);
    return list.some((x) => binaryOp('==', x, v) === true);
  }),
  lenientFunction('identicalMember', 2, 2, ([v, list]) => {
    if (list instanceof ErrorValue || list === undefined) return list;
    if (!Array.isArray(list)) return typeError('identicalMember', list);
    return list.some((x) => identical(x, v));
  }),
  comparisonFunction('anyCompare', (list, f) => list.some(f)),
  comparisonFunction('allCompare', (list, f) => list.every(f)),
  stringFunction('stringListSize', 1, 2, ([s, delims]) => BigInt(words(s, delims).length)),
  numberListFunction('stringListSum', 0n, (all, whole) => integerIfWhole(sumOf(all), whole)),
  numberListFunction('stringListAvg', 0, (all) => all.reduce((a, b) => a + b, 0) / all.length),
  numberListFunction('stringListMin', undefined, (all, whole) => integerIfWhole(minOf(all), whole)),
  numberListFunction('stringListMax', undefined, (all, whole) => integerIfWhole(maxOf(all), whole)),
  membershipFunction('stringListMember', identity),
  membershipFunction('stringListIMember', lowerCase),
  subsetFunction('stringListSubsetMatch', identity),
  subsetFunction('stringListISubsetMatch', lowerCase),
  stringFunction('stringListsIntersect', 2, 3, ([a, b, delims]) => {
    const there = new Set(words(b, delims));
    return words(a, delims).some((w) => there.has(w));
  }),
];
