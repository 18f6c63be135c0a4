/** What evaluations depend on beside records, and what they offer to functions. */
import type { Expr, Scope, Value } from './expr.js';

/** Time and chance. Evaluations with the same context give the same results. */
export interface EvaluationContext {
  /** Time of day, s. */
  readonly nowS: number;
  /** A random number from 0 to 1. */
  random(): number;
}

/** For expressions that depend on neither. */
export const defaultContext: EvaluationContext = { nowS: 0, random: () => 0 };

/** An evaluation, as functions see it. */
export interface Evaluator {
  readonly context: EvaluationContext;
  /** Evaluates an expression in a scope. */
  run(expr: Expr, scope: Scope): Value;
  /** Parses a text as an expression and evaluates it in a scope. */
  evaluateText(text: string, scope: Scope): Value;
  /** Counts work of a function as steps; false: more than the limit. */
  spend(steps: number): boolean;
}
