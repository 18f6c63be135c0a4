/** Helpers to define the built-in functions of the ClassAd language. */
import type { Evaluator } from '../evaluation-context.js';
import type { Expr, Scope } from '../expr.js';
import { findErrorOrUndefined } from '../operators.js';
import { ErrorValue, typeOf, type Value } from '../values.js';

/** A built-in function. */
export interface FunctionSpec {
  readonly minArgs: number;
  readonly maxArgs: number;
  /** Calls the function with its unevaluated arguments. */
  call(args: readonly Expr[], scope: Scope, evaluator: Evaluator): Value;
  /** Whether the result depends on the time or on random numbers. */
  readonly nonDeterministic?: boolean;
  /** Whether the function uses its arguments unevaluated, or evaluates them in another scope. */
  readonly unevaluatedArgs?: boolean;
}

/** A function's name and definition. */
export type NamedFunction = [string, FunctionSpec];

/** Defines a function whose implementation receives all argument values, including errors and undefined. */
export const nonStrictFunction = (
  name: string,
  minArgs: number,
  maxArgs: number,
  implementation: (args: Value[], evaluator: Evaluator) => Value,
): NamedFunction => [
  name,
  {
    minArgs,
    maxArgs,
    call: (args, scope, evaluator) =>
      implementation(
        args.map((arg) => evaluator.run(arg, scope)),
        evaluator,
      ),
  },
];

/** Defines a function that returns error or undefined if one of its arguments is; the implementation receives neither. */
export const strictFunction = (
  name: string,
  minArgs: number,
  maxArgs: number,
  implementation: (args: Exclude<Value, undefined | ErrorValue>[], evaluator: Evaluator) => Value,
): NamedFunction =>
  nonStrictFunction(name, minArgs, maxArgs, (args, evaluator) => {
    const propagated = findErrorOrUndefined(...args);
    if (propagated) return propagated === 'undefined' ? undefined : propagated;
    return implementation(args as Exclude<Value, undefined | ErrorValue>[], evaluator);
  });

/** Creates the error value of a function that does not accept the type of an argument. */
export const typeError = (name: string, value: Value): ErrorValue =>
  new ErrorValue(`${name} does not take a ${typeOf(value)}`);

/** Defines a strict function whose arguments must be strings. Omitted optional arguments are undefined. */
export const stringFunction = (
  name: string,
  minArgs: number,
  maxArgs: number,
  implementation: (args: string[], evaluator: Evaluator) => Value,
): NamedFunction =>
  strictFunction(name, minArgs, maxArgs, (args, evaluator) => {
    const nonString = args.find((arg) => typeof arg !== 'string');
    return nonString === undefined ? implementation(args as string[], evaluator) : typeError(name, nonString);
  });
