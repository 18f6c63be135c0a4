/** Functions of numbers. */
import { binaryOp, exceptional } from '../operators.js';
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

/** Rounds to the nearest integer, and halves to the even one, as the C library does by default. */
function roundHalfToEven(value: number): number {
  const down = Math.floor(value);
  const fraction = value - down;
  if (fraction !== 0.5) return Math.round(value);
  return down % 2 === 0 ? down : down + 1;
}

/** A function of a list of numbers; its result is undefined if one of them is. */
const listFunction = (
  name: string,
  empty: Value,
  implementation: (all: (bigint | number)[]) => Value,
): NamedFunction =>
  strictFunction(name, 1, 1, ([list]) => {
    if (!Array.isArray(list)) return typeError(name, list);
    const exception = exceptional(...list);
    if (exception) return exception === 'undefined' ? undefined : exception;
    const numbers = list.map(toNumber);
    if (numbers.includes(null)) return new ErrorValue(`${name} takes a list of numbers`);
    return numbers.length === 0 ? empty : implementation(numbers as (bigint | number)[]);
  });

/** The sum. */
export const sumOf = (values: readonly Value[]): Value =>
  values.reduce((a: Value, b) => binaryOp('+', a, b), 0n);
/** The least. */
export const minOf = (values: readonly Value[]): Value =>
  values.reduce((a, b) => (binaryOp('<', b, a) === true ? b : a));
/** The greatest. */
export const maxOf = (values: readonly Value[]): Value =>
  values.reduce((a, b) => (binaryOp('>', b, a) === true ? b : a));

/** The least multiple of `b` that is not below `a`. */
function quantize(value: bigint | number, unit: bigint | number): Value {
  if (Number(unit) === 0) return value;
  if (typeof value === 'bigint' && typeof unit === 'bigint') {
    const multiple = value / unit + (value % unit !== 0n && value > 0n === unit > 0n ? 1n : 0n);
    return toInt64(multiple * unit);
  }
  return Math.ceil(Number(value) / Number(unit)) * Number(unit);
}

/** The functions of this module. */
export const numbers: readonly NamedFunction[] = [
  roundingFunction('floor', Math.floor),
  roundingFunction('ceiling', Math.ceil),
  roundingFunction('round', roundHalfToEven),
  strictFunction('pow', 2, 2, ([a, b]) => {
    const [x, y] = [toNumber(a), toNumber(b)];
    if (x === null || y === null) return typeError('pow', x === null ? a : b);
    // Larger powers would be numbers of up to millions of digits.
    if (typeof x === 'bigint' && typeof y === 'bigint' && y >= 0n && y <= 64n) return toInt64(x ** y);
    return Number(x) ** Number(y);
  }),
  strictFunction('quantize', 2, 2, ([a, b]) => {
    const x = toNumber(a);
    if (x === null) return typeError('quantize', a);
    if (Array.isArray(b)) {
      for (const step of b) {
        const n = toNumber(step);
        if (n === null) return typeError('quantize', step);
        if (n >= x) return n;
      }
      const last = b.length > 0 ? toNumber(b[b.length - 1]) : null;
      return last === null ? new ErrorValue('quantize by an empty list') : quantize(x, last);
    }
    const y = toNumber(b);
    return y === null ? typeError('quantize', b) : quantize(x, y);
  }),
  [
    'random',
    {
      minArgs: 0,
      maxArgs: 1,
      nonDeterministic: true,
      call: (args, scope, evaluator) => {
        const n = args.length === 0 ? 1 : evaluator.run(args[0], scope);
        if (n === undefined || n instanceof ErrorValue) return n;
        if (typeof n === 'bigint')
          return n > 0n
            ? toInt64(evaluator.context.random() * Number(n))
            : new ErrorValue('random of nothing');
        return typeof n === 'number' ? evaluator.context.random() * n : typeError('random', n);
      },
    },
  ],
  listFunction('sum', 0n, sumOf),
  listFunction('avg', 0, (all) => Number(sumOf(all)) / all.length),
  listFunction('min', undefined, minOf),
  listFunction('max', undefined, maxOf),
];
