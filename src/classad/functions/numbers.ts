import { binaryOp, strict } from '../operators.js';
import { Fault, int, numeric, type Value } from '../values.js';
import { closed, wrong, type Named } from './define.js';
import { toReal } from './types.js';

const rounding = (name: string, f: (n: number) => number): Named =>
  closed(name, 1, 1, ([v]) => {
    if (typeof v === 'bigint') return v;
    const n = toReal(v);
    if (typeof n !== 'number') return n;
    return Number.isFinite(n) ? int(f(n)) : new Fault(`${name} of a number that is not finite`);
  });

/** Half away from even: to the even one, as the C library does by default. */
function toNearest(n: number): number {
  const down = Math.floor(n);
  const part = n - down;
  if (part !== 0.5) return Math.round(n);
  return down % 2 === 0 ? down : down + 1;
}

/** A function of a list of numbers; `undefined` among them makes it undefined. */
const over = (name: string, empty: Value, f: (all: (bigint | number)[]) => Value): Named =>
  closed(name, 1, 1, ([list]) => {
    if (!Array.isArray(list)) return wrong(name, list);
    const odd = strict(...list);
    if (odd) return odd === 'undefined' ? undefined : odd;
    const all = list.map(numeric);
    if (all.includes(null)) return new Fault(`${name} takes a list of numbers`);
    return all.length === 0 ? empty : f(all as (bigint | number)[]);
  });

export const total = (all: readonly Value[]): Value => all.reduce((a: Value, b) => binaryOp('+', a, b), 0n);
export const least = (all: readonly Value[]): Value =>
  all.reduce((a, b) => (binaryOp('<', b, a) === true ? b : a));
export const greatest = (all: readonly Value[]): Value =>
  all.reduce((a, b) => (binaryOp('>', b, a) === true ? b : a));

function quantized(a: bigint | number, b: bigint | number): Value {
  if (Number(b) === 0) return a;
  if (typeof a === 'bigint' && typeof b === 'bigint') {
    const times = a / b + (a % b !== 0n && a > 0n === b > 0n ? 1n : 0n);
    return int(times * b);
  }
  return Math.ceil(Number(a) / Number(b)) * Number(b);
}

export const numbers: Named[] = [
  rounding('floor', Math.floor),
  rounding('ceiling', Math.ceil),
  rounding('round', toNearest),
  closed('pow', 2, 2, ([a, b]) => {
    const [x, y] = [numeric(a), numeric(b)];
    if (x === null || y === null) return wrong('pow', x === null ? a : b);
    // Guards against a power that is a number of a million digits.
    if (typeof x === 'bigint' && typeof y === 'bigint' && y >= 0n && y <= 64n) return int(x ** y);
    return Number(x) ** Number(y);
  }),
  closed('quantize', 2, 2, ([a, b]) => {
    const x = numeric(a);
    if (x === null) return wrong('quantize', a);
    if (Array.isArray(b)) {
      for (const step of b) {
        const n = numeric(step);
        if (n === null) return wrong('quantize', step);
        if (n >= x) return n;
      }
      const last = b.length > 0 ? numeric(b[b.length - 1]) : null;
      return last === null ? new Fault('quantize by an empty list') : quantized(x, last);
    }
    const y = numeric(b);
    return y === null ? wrong('quantize', b) : quantized(x, y);
  }),
  [
    'random',
    {
      least: 0,
      most: 1,
      varies: true,
      call: (args, f, ev) => {
        const n = args.length === 0 ? 1 : ev.run(args[0], f);
        if (n === undefined || n instanceof Fault) return n;
        if (typeof n === 'bigint')
          return n > 0n ? int(ev.around.random() * Number(n)) : new Fault('random of nothing');
        return typeof n === 'number' ? ev.around.random() * n : wrong('random', n);
      },
    },
  ],
  over('sum', 0n, total),
  over('avg', 0, (all) => Number(total(all)) / all.length),
  over('min', undefined, least),
  over('max', undefined, greatest),
];
