import type { Expr, Frame, Value } from './expr.js';

/** What an evaluation takes from outside; the same gives the same. */
export interface Surroundings {
  /** Time of day, s. */
  nowS: number;
  random(): number;
}

export const noSurroundings: Surroundings = { nowS: 0, random: () => 0 };

/** An evaluation under way, as functions see it. */
export interface Evaluating {
  readonly around: Surroundings;
  run(e: Expr, f: Frame): Value;
  text(text: string, f: Frame): Value;
  /** False: that is more than may be spent. */
  spend(n: number): boolean;
}
