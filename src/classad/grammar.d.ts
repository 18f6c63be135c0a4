/** Types of the parser that the build generates from grammar.peggy. */
import type { ClassAd, Attribute, Expr, UnaryOp } from './expr.js';
import type { ErrorValue, Value } from './values.js';

/** Options of the generated parser: the start rule, limits, and constructors of syntax tree nodes. */
export interface GrammarOptions {
  startRule: 'Expression' | 'Record';
  /** Maximum nesting depth of an expression. */
  maxDepth: number;
  /** Maximum number of operators in a chain such as `a + b + c`, and of selections and subscripts after an operand. */
  maxOperatorsInRow: number;
  literal(v: Value): Expr;
  unary(op: UnaryOp, a: Expr): Expr;
  errorValue(reason: string): ErrorValue;
  record(attributes: Attribute[]): ClassAd;
}
/** Parses `text`, starting at `options.startRule`. Throws a `SyntaxError`. */
export function parse(text: string, options: GrammarOptions): unknown;
/** The error that the generated parser throws. */
export class SyntaxError extends Error {
  location: { start: { offset: number; line: number; column: number } };
  /** The unexpected input; null at the end of the text. */
  found: string | null;
}
