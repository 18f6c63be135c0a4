import type { Evaluating } from '../evaluation-context.js';
import type { Expr, Frame } from '../expr.js';
import { strict } from '../operators.js';
import { Fault, typeOf, type Value } from '../values.js';

export interface FunctionSpec {
  least: number;
  most: number;
  call(args: readonly Expr[], f: Frame, ev: Evaluating): Value;
  /** Time or chance decide, too. */
  varies?: boolean;
  /** Sees its arguments as they are written, or evaluates them elsewhere. */
  writes?: boolean;
}

export type Named = [string, FunctionSpec];

/** Its arguments are evaluated first, whatever they come to. */
export const open = (
  name: string,
  least: number,
  most: number,
  f: (args: Value[], ev: Evaluating) => Value,
): Named => [
  name,
  {
    least,
    most,
    call: (args, frame, ev) =>
      f(
        args.map((a) => ev.run(a, frame)),
        ev,
      ),
  },
];

/** `error` and `undefined` among its arguments go through it. */
export const closed = (
  name: string,
  least: number,
  most: number,
  f: (args: Exclude<Value, undefined | Fault>[], ev: Evaluating) => Value,
): Named =>
  open(name, least, most, (args, ev) => {
    const odd = strict(...args);
    if (odd) return odd === 'undefined' ? undefined : odd;
    return f(args as Exclude<Value, undefined | Fault>[], ev);
  });

export const wrong = (name: string, v: Value): Fault => new Fault(`${name} does not take a ${typeOf(v)}`);

/** A function of strings alone; the optional ones are undefined where they are not given. */
export const ofStrings = (
  name: string,
  least: number,
  most: number,
  f: (args: string[], ev: Evaluating) => Value,
): Named =>
  closed(name, least, most, (args, ev) => {
    const bad = args.find((a) => typeof a !== 'string');
    return bad === undefined ? f(args as string[], ev) : wrong(name, bad);
  });
