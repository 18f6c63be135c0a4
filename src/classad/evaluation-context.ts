/** The inputs of an evaluation besides the records, and the interface through which functions evaluate their arguments. */
import type { Expr, Scope, Value } from './expr.js';

/** The time and the source of random numbers. Evaluations with the same context give the same results. */
export interface EvaluationContext {
  /** Seconds since the Unix epoch. */
  readonly nowS: number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
}

/** A fixed context, for expressions that depend neither on the time nor on random numbers. */
export const defaultContext: EvaluationContext = { nowS: 0, random: () => 0 };

/** The part of an evaluation that is available to functions. */
export interface Evaluator {
  readonly context: EvaluationContext;
  /** Evaluates an expression in a scope. */
  run(expr: Expr, scope: Scope): Value;
  /** Parses `text` as an expression and evaluates it in a scope. A syntax error gives an error value. */
  evaluateText(text: string, scope: Scope): Value;
  /** Adds the cost of a function call to the step count. Returns false if the limit is exceeded. */
  chargeSteps(steps: number): boolean;
}
