import type { Expr, Scope, Value } from './expr.js';

/** What an evaluation takes from outside; the same gives the same. */
export interface EvaluationContext {
  /** Time of day, s. */
  nowS: number;
  random(): number;
}

export const defaultContext: EvaluationContext = { nowS: 0, random: () => 0 };

/** An evaluation under way, as functions see it. */
export interface Evaluator {
  readonly context: EvaluationContext;
  run(e: Expr, f: Scope): Value;
  evaluateText(text: string, f: Scope): Value;
  /** False: that is more than may be spent. */
  spend(steps: number): boolean;
}
