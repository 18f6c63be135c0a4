/** Functions on numbers. */
import { binaryOp, findErrorOrUndefined } from '../operators.js';
import { ErrorValue, toInt64, toNumber, type Value } from '../values.js';
import { strictFunction, typeError, type NamedFunction } from './define.js';
import { toReal } from './types.js';

const roundingFunction = (name: string, round: (n: number) => number): NamedFunction =>
  strictFunction(name, 1, 1, ([v]) => {
    if (typeof v === 'bigint') return v;
    const n = toReal(v);
    if (typeof n !== 'number') return n;
    return Number.isFinite(n) ? toInt64(round(n)) : new ErrorValue(`${name} of a number that is not finite`);
  });

/** Rounds to the nearest integer and ties to the even one, like the default rounding mode of the C library. */
function roundHalfToEven(value: number): number {
  const down = Math.floor(value);
  const fraction = value - down;
  if (fraction !== 0.5) return Math.round(value);
  return down % 2 === 0 ? down : down + 1;
}

/** Defines a function on a list of numbers. The result is error or undefined if an item of the list is. */
const listFunction = (
  name: string,
  emptyResult: Value,
  implementation: (values: (bigint | number)[]) => Value,
): NamedFunction =>
  strictFunction(name, 1, 1, ([list]) => {
    if (!Array.isArray(list)) return typeError(name, list);
    const propagated = findErrorOrUndefined(...list);
    if (propagated) return propagated === 'undefined' ? undefined : propagated;
    const numbers = list.map(toNumber);
    if (numbers.includes(null)) return new ErrorValue(`${name} takes a list of numbers`);
    return numbers.length === 0 ? emptyResult : implementation(numbers as (bigint | number)[]);
  });

/** Returns the sum; 0 for an empty list. */
export const sumOf = (values: readonly Value[]): Value =>
  values.reduce((a: Value, b) => binaryOp('+', a, b), 0n);
/** Returns the smallest of one or more values. */
export const minOf = (values: readonly Value[]): Value =>
  values.reduce((a, b) => (binaryOp('<', b, a) === true ? b : a));
/** Returns the largest of one or more values. */
export const maxOf = (values: readonly Value[]): Value =>
  values.reduce((a, b) => (binaryOp('>', b, a) === true ? b : a));

/** Rounds `value` up to a multiple of `unit`. A unit of zero leaves it unchanged. */
function quantize(value: bigint | number, unit: bigint | number): Value {
  if (Number(unit) === 0) return value;
  if (typeof value === 'bigint' && typeof unit === 'bigint') {
    const multiple = value / unit + (value % unit !== 0n && value > 0n === unit > 0n ? 1n : 0n);
    return toInt64(multiple * unit);
  }
  return Math.ceil(Number(value) / Number(unit)) * Number(unit);
}

/** The functions that this module defines. */
export const numericFunctions: readonly NamedFunction[] = [
  roundingFunction('floor', Math.floor),
  roundingFunction('ceiling', Math.ceil),
  roundingFunction('round', roundHalfToEven),
  strictFunction('pow', 2, 2, ([a, b]) => {
    const [base, exponent] = [toNumber(a), toNumber(b)];
    if (base === null || exponent === null) return typeError('pow', base === null ? a : b);
    // With a larger exponent, the exact bigint result could have millions of digits.
    if (typeof base === 'bigint' && typeof exponent === 'bigint' && exponent >= 0n && exponent <= 64n)
      return toInt64(base ** exponent);
    return Number(base) ** Number(exponent);
  }),
  strictFunction('quantize', 2, 2, ([a, b]) => {
    const value = toNumber(a);
    if (value === null) return typeError('quantize', a);
    if (Array.isArray(b)) {
      for (const step of b) {
        const unit = toNumber(step);
        if (unit === null) return typeError('quantize', step);
        if (unit >= value) return unit;
      }
      const last = b.length > 0 ? toNumber(b[b.length - 1]) : null;
      return last === null ? new ErrorValue('quantize: the list of steps is empty') : quantize(value, last);
    }
    const unit = toNumber(b);
    return unit === null ? typeError('quantize', b) : quantize(value, unit);
  }),
  [
    'random',
    {
      minArgs: 0,
      maxArgs: 1,
      nonDeterministic: true,
      call: (args, scope, evaluator) => {
        const limit = args.length === 0 ? 1 : evaluator.run(args[0], scope);
        if (limit === undefined || limit instanceof ErrorValue) return limit;
        if (typeof limit === 'bigint')
          return limit > 0n
            ? toInt64(evaluator.context.random() * Number(limit))
            : new ErrorValue('random takes an integer greater than 0');
        return typeof limit === 'number' ? evaluator.context.random() * limit : typeError('random', limit);
      },
    },
  ],
  listFunction('sum', 0n, sumOf),
  listFunction('avg', 0, (values) => Number(sumOf(values)) / values.length),
  listFunction('min', undefined, minOf),
  listFunction('max', undefined, maxOf),
];
