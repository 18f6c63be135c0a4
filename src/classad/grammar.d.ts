import type { Ad, Attribute, Expr, UnaryOp } from './expr.js';
import type { ErrorValue, Value } from './values.js';

/** Made of grammar.peggy by the build. */
export interface GrammarOptions {
  startRule: 'Expression' | 'Record';
  maxDepth: number;
  maxRow: number;
  literal(v: Value): Expr;
  unary(op: UnaryOp, a: Expr): Expr;
  fault(why: string): ErrorValue;
  record(all: Attribute[]): Ad;
}
export function parse(text: string, options: GrammarOptions): unknown;
export class SyntaxError extends Error {
  location: { start: { offset: number; line: number; column: number } };
  found: string | null;
}
