/** Type tests and conversions, and functions that control the evaluation of their arguments. */
import { printExpr, printValue } from '../print.js';
import { ErrorValue, RecordValue, toTruth, typeOf, type TypeName, type Value } from '../values.js';
import { strictFunction, nonStrictFunction, typeError, type NamedFunction } from './define.js';

const typeTestFunction = (name: string, type: TypeName): NamedFunction =>
  nonStrictFunction(name, 1, 1, ([v]) => typeOf(v) === type);

/** The decimal numbers that `int` and `real` accept in strings. */
const numberPattern = /^\s*[-+]?(\d+\.?\d*|\.\d+)([eE][-+]?\d+)?\s*$/;

/** Converts a value to a real. */
export function toReal(value: Value): Value {
  if (typeof value === 'number') return value;
  if (typeof value === 'bigint') return Number(value);
  if (typeof value === 'boolean') return value ? 1 : 0;
  if (typeof value !== 'string') return typeError('real', value);
  if (/^[-+]?inf(inity)?$/i.test(value)) return value.startsWith('-') ? -Infinity : Infinity;
  if (/^nan$/i.test(value)) return NaN;
  return numberPattern.test(value) ? Number(value) : new ErrorValue(`${printValue(value)} is not a number`);
}

/** Converts a value to an integer. */
export function toInt(value: Value): Value {
  if (typeof value === 'bigint') return value;
  if (typeof value === 'string' && /^\s*[-+]?\d+\s*$/.test(value))
    return BigInt.asIntN(64, BigInt(value.trim()));
  const real = toReal(value);
  if (typeof real !== 'number') return real;
  return Number.isFinite(real)
    ? BigInt.asIntN(64, BigInt(Math.trunc(real)))
    : new ErrorValue('not a finite number');
}

/** Converts a value to a string. */
export const toText = (value: Value): string => (typeof value === 'string' ? value : printValue(value));

/** Defines a function that evaluates its first argument in the scope of each record in the list that is its second argument. */
const eachRecordFunction = (name: string, implementation: (values: Value[]) => Value): NamedFunction => [
  name,
  {
    minArgs: 2,
    maxArgs: 2,
    unevaluatedArgs: true,
    call: ([expr, list], scope, evaluator) => {
      const records = evaluator.run(list, scope);
      if (records === undefined || records instanceof ErrorValue) return records;
      if (!Array.isArray(records)) return typeError(name, records);
      return implementation(
        records.map((record) =>
          record instanceof RecordValue
            ? evaluator.run(expr, record.scope)
            : new ErrorValue('the list contains a value that is not a record'),
        ),
      );
    },
  },
];

/** The functions that this module defines. */
export const typeFunctions: readonly NamedFunction[] = [
  typeTestFunction('isUndefined', 'undefined'),
  typeTestFunction('isError', 'error'),
  typeTestFunction('isString', 'string'),
  typeTestFunction('isInteger', 'integer'),
  typeTestFunction('isReal', 'real'),
  typeTestFunction('isBoolean', 'boolean'),
  typeTestFunction('isList', 'list'),
  typeTestFunction('isClassAd', 'classad'),
  strictFunction('int', 1, 1, ([v]) => toInt(v)),
  strictFunction('real', 1, 1, ([v]) => toReal(v)),
  strictFunction('string', 1, 1, ([v]) => toText(v)),
  strictFunction('bool', 1, 1, ([v]) => {
    if (typeof v !== 'string') return toTruth(v);
    return /^true$/i.test(v)
      ? true
      : /^false$/i.test(v)
        ? false
        : new ErrorValue(`${printValue(v)} is not a boolean`);
  }),
  [
    'ifThenElse',
    {
      minArgs: 3,
      maxArgs: 3,
      call: ([condition, whenTrue, whenFalse], scope, evaluator) => {
        const truth = toTruth(evaluator.run(condition, scope));
        return typeof truth === 'boolean' ? evaluator.run(truth ? whenTrue : whenFalse, scope) : truth;
      },
    },
  ],
  [
    'eval',
    {
      minArgs: 1,
      maxArgs: 1,
      unevaluatedArgs: true,
      call: ([expr], scope, evaluator) => {
        const text = evaluator.run(expr, scope);
        return typeof text === 'string' ? evaluator.evaluateText(text, scope) : text;
      },
    },
  ],
  [
    'unparse',
    {
      minArgs: 1,
      maxArgs: 1,
      unevaluatedArgs: true,
      // If the argument names an attribute of the own record, the expression of that attribute is printed.
      call: ([expr], scope) => {
        const own = expr.kind === 'reference' ? scope.ad.get(expr.name) : undefined;
        return printExpr(own ?? expr);
      },
    },
  ],
  eachRecordFunction('evalInEachContext', (values) => values),
  eachRecordFunction('countMatches', (values) => BigInt(values.filter((v) => v === true).length)),
];
