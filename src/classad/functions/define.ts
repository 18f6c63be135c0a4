/** How functions of the language are defined. */
import type { Evaluator } from '../evaluation-context.js';
import type { Expr, Scope } from '../expr.js';
import { exceptional } from '../operators.js';
import { ErrorValue, typeOf, type Value } from '../values.js';

/** A function of the language. */
export interface FunctionSpec {
  readonly minArgs: number;
  readonly maxArgs: number;
  /** Calls the function; its arguments are not evaluated yet. */
  call(args: readonly Expr[], scope: Scope, evaluator: Evaluator): Value;
  /** Whether its result depends on time or chance. */
  readonly nonDeterministic?: boolean;
  /** Whether it uses its arguments as they are written, or evaluates them in another scope. */
  readonly unevaluatedArgs?: boolean;
}

/** A function with its name. */
export type NamedFunction = [string, FunctionSpec];

/** A function that gets the values of its arguments, errors and undefined ones included. */
export const lenientFunction = (
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

/** A function whose result is an error or undefined if one of its arguments is. */
export const strictFunction = (
  name: string,
  minArgs: number,
  maxArgs: number,
  implementation: (args: Exclude<Value, undefined | ErrorValue>[], evaluator: Evaluator) => Value,
): NamedFunction =>
  lenientFunction(name, minArgs, maxArgs, (args, evaluator) => {
    const exception = exceptional(...args);
    if (exception) return exception === 'undefined' ? undefined : exception;
    return implementation(args as Exclude<Value, undefined | ErrorValue>[], evaluator);
  });

/** The error of a function that gets a value of the wrong type. */
export const typeError = (name: string, value: Value): ErrorValue =>
  new ErrorValue(`${name} does not take a ${typeOf(value)}`);

/** A function whose arguments all are strings; optional ones that are missing are undefined. */
export const stringFunction = (
  name: string,
  minArgs: number,
  maxArgs: number,
  implementation: (args: string[], evaluator: Evaluator) => Value,
): NamedFunction =>
  strictFunction(name, minArgs, maxArgs, (args, evaluator) => {
    const notText = args.find((arg) => typeof arg !== 'string');
    return notText === undefined ? implementation(args as string[], evaluator) : typeError(name, notText);
  });
