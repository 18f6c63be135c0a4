import type { Evaluator } from '../evaluation-context.js';
import type { Expr, Scope } from '../expr.js';
import { exceptional } from '../operators.js';
import { ErrorValue, typeOf, type Value } from '../values.js';

export interface FunctionSpec {
  minArgs: number;
  maxArgs: number;
  call(args: readonly Expr[], f: Scope, ev: Evaluator): Value;
  /** Time or chance decide, too. */
  nonDeterministic?: boolean;
  /** Sees its arguments as they are written, or evaluates them elsewhere. */
  unevaluatedArgs?: boolean;
}

export type NamedFunction = [string, FunctionSpec];

/** Its arguments are evaluated first, whatever they come to. */
export const lenientFunction = (
  name: string,
  least: number,
  most: number,
  implementation: (args: Value[], ev: Evaluator) => Value,
): NamedFunction => [
  name,
  {
    minArgs: least,
    maxArgs: most,
    call: (args, frame, ev) =>
      implementation(
        args.map((a) => ev.run(a, frame)),
        ev,
      ),
  },
];

/** `error` and `undefined` among its arguments go through it. */
export const strictFunction = (
  name: string,
  least: number,
  most: number,
  implementation: (args: Exclude<Value, undefined | ErrorValue>[], ev: Evaluator) => Value,
): NamedFunction =>
  lenientFunction(name, least, most, (args, ev) => {
    const exception = exceptional(...args);
    if (exception) return exception === 'undefined' ? undefined : exception;
    return implementation(args as Exclude<Value, undefined | ErrorValue>[], ev);
  });

export const typeError = (name: string, v: Value): ErrorValue =>
  new ErrorValue(`${name} does not take a ${typeOf(v)}`);

/** A function of strings alone; the optional ones are undefined where they are not given. */
export const stringFunction = (
  name: string,
  least: number,
  most: number,
  implementation: (args: string[], ev: Evaluator) => Value,
): NamedFunction =>
  strictFunction(name, least, most, (args, ev) => {
    const notText = args.find((a) => typeof a !== 'string');
    return notText === undefined ? implementation(args as string[], ev) : typeError(name, notText);
  });
