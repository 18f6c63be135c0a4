import type { BinaryOp } from '../expr.js';
import { binaryOp, identical } from '../operators.js';
import { Fault, type Value } from '../values.js';
import { closed, ofStrings, open, wrong, type Named } from './define.js';
import { greatest, least, total } from './numbers.js';
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

const each = (name: string, holds: (list: Value[], f: (v: Value) => boolean) => boolean): Named =>
  closed(name, 3, 3, ([op, list, v]) => {
    if (typeof op !== 'string' || !Object.hasOwn(comparisons, op))
      return new Fault(`${name}: no such comparison`);
    if (!Array.isArray(list)) return wrong(name, list);
    return holds(list, (x) => binaryOp(comparisons[op], x, v) === true);
  });

/** Of words in a string; a separator is any of the characters given. */
const words = (s: string, delims: string | undefined): string[] =>
  splitBy(s, delims ?? ' ,').map((w) => w.trim());

const ofNumbers = (name: string, empty: Value, f: (all: number[], whole: boolean) => Value): Named =>
  ofStrings(name, 1, 2, ([s, delims]) => {
    const all = words(s, delims);
    const read = all.map(toReal);
    if (read.some((n) => typeof n !== 'number')) return new Fault(`${name} takes a list of numbers`);
    return all.length === 0
      ? empty
      : f(
          read as number[],
          all.every((w) => /^[-+]?\d+$/.test(w)),
        );
  });
const asWhole = (n: Value, whole: boolean): Value =>
  whole && typeof n === 'number' && Number.isFinite(n) ? BigInt(n) : n;

const among = (name: string, same: (s: string) => string): Named =>
  ofStrings(name, 2, 3, ([one, list, delims]) => words(list, delims).map(same).includes(same(one)));
const subset = (name: string, same: (s: string) => string): Named =>
  ofStrings(name, 2, 3, ([some, all, delims]) => {
    const there = new Set(words(all, delims).map(same));
    return words(some, delims).every((w) => there.has(same(w)));
  });
const asIs = (s: string): string => s;
const lower = (s: string): string => s.toLowerCase();

export const lists: Named[] = [
  open('member', 2, 2, ([v, list]) => {
    if (list instanceof Fault || list === undefined) return list;
    if (v instanceof Fault || v === undefined) return v;
    if (!Array.isArray(list)) return wrong('member', list);
    return list.some((x) => binaryOp('==', x, v) === true);
  }),
  open('identicalMember', 2, 2, ([v, list]) => {
    if (list instanceof Fault || list === undefined) return list;
    if (!Array.isArray(list)) return wrong('identicalMember', list);
    return list.some((x) => identical(x, v));
  }),
  each('anyCompare', (list, f) => list.some(f)),
  each('allCompare', (list, f) => list.every(f)),
  ofStrings('stringListSize', 1, 2, ([s, delims]) => BigInt(words(s, delims).length)),
  ofNumbers('stringListSum', 0n, (all, whole) => asWhole(total(all), whole)),
  ofNumbers('stringListAvg', 0, (all) => all.reduce((a, b) => a + b, 0) / all.length),
  ofNumbers('stringListMin', undefined, (all, whole) => asWhole(least(all), whole)),
  ofNumbers('stringListMax', undefined, (all, whole) => asWhole(greatest(all), whole)),
  among('stringListMember', asIs),
  among('stringListIMember', lower),
  subset('stringListSubsetMatch', asIs),
  subset('stringListISubsetMatch', lower),
  ofStrings('stringListsIntersect', 2, 3, ([a, b, delims]) => {
    const there = new Set(words(b, delims));
    return words(a, delims).some((w) => there.has(w));
  }),
];
