import { printExpr, printValue } from '../print.js';
import { Fault, RecordValue, truth, typeOf, type TypeName, type Value } from '../values.js';
import { closed, open, wrong, type Named } from './define.js';

const isOf = (name: string, type: TypeName): Named => open(name, 1, 1, ([v]) => typeOf(v) === type);

/** Digits, as `int` and `real` read them. */
const number = /^\s*[-+]?(\d+\.?\d*|\.\d+)([eE][-+]?\d+)?\s*$/;

export function toReal(v: Value): Value {
  if (typeof v === 'number') return v;
  if (typeof v === 'bigint') return Number(v);
  if (typeof v === 'boolean') return v ? 1 : 0;
  if (typeof v !== 'string') return wrong('real', v);
  if (/^[-+]?inf(inity)?$/i.test(v)) return v.startsWith('-') ? -Infinity : Infinity;
  if (/^nan$/i.test(v)) return NaN;
  return number.test(v) ? Number(v) : new Fault(`${printValue(v)} is no number`);
}

export function toInt(v: Value): Value {
  if (typeof v === 'bigint') return v;
  if (typeof v === 'string' && /^\s*[-+]?\d+\s*$/.test(v)) return BigInt.asIntN(64, BigInt(v.trim()));
  const r = toReal(v);
  if (typeof r !== 'number') return r;
  return Number.isFinite(r) ? BigInt.asIntN(64, BigInt(Math.trunc(r))) : new Fault('not a finite number');
}

export const toText = (v: Value): string => (typeof v === 'string' ? v : printValue(v));

/** An expression, evaluated in each record of a list. */
const inEach = (name: string, f: (values: Value[]) => Value): Named => [
  name,
  {
    least: 2,
    most: 2,
    writes: true,
    call: ([e, list], frame, ev) => {
      const all = ev.run(list, frame);
      if (all === undefined || all instanceof Fault) return all;
      if (!Array.isArray(all)) return wrong(name, all);
      return f(all.map((r) => (r instanceof RecordValue ? ev.run(e, r.frame) : new Fault('not a record'))));
    },
  },
];

export const types: Named[] = [
  isOf('isUndefined', 'undefined'),
  isOf('isError', 'error'),
  isOf('isString', 'string'),
  isOf('isInteger', 'integer'),
  isOf('isReal', 'real'),
  isOf('isBoolean', 'boolean'),
  isOf('isList', 'list'),
  isOf('isClassAd', 'classad'),
  closed('int', 1, 1, ([v]) => toInt(v)),
  closed('real', 1, 1, ([v]) => toReal(v)),
  closed('string', 1, 1, ([v]) => toText(v)),
  closed('bool', 1, 1, ([v]) => {
    if (typeof v !== 'string') return truth(v);
    return /^true$/i.test(v)
      ? true
      : /^false$/i.test(v)
        ? false
        : new Fault(`${printValue(v)} is no boolean`);
  }),
  [
    'ifThenElse',
    {
      least: 3,
      most: 3,
      call: ([c, a, b], f, ev) => {
        const t = truth(ev.run(c, f));
        return typeof t === 'boolean' ? ev.run(t ? a : b, f) : t;
      },
    },
  ],
  [
    'eval',
    {
      least: 1,
      most: 1,
      writes: true,
      call: ([a], f, ev) => {
        const text = ev.run(a, f);
        return typeof text === 'string' ? ev.text(text, f) : text;
      },
    },
  ],
  [
    'unparse',
    {
      least: 1,
      most: 1,
      writes: true,
      // Of an attribute: how it is written; of anything else: itself.
      call: ([a], f) => {
        const own = a.k === 'ref' ? f.ad.get(a.name) : undefined;
        return printExpr(own ?? a);
      },
    },
  ],
  inEach('evalInEachContext', (values) => values),
  inEach('countMatches', (values) => BigInt(values.filter((v) => v === true).length)),
];
