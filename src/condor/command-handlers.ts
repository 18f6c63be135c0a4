/** Building blocks of submit command handlers: they parse values and set job attributes. */
import { ClassAd, ClassAdError, evaluate, literal, parseExpr, type Expr } from '../classad/index.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** The state that a command handler reads and modifies. */
export interface CommandContext {
  /** The job's ClassAd record, to which the handler adds attributes. */
  readonly ad: ClassAd;
  /** The position of the command in the submit file. */
  position: SourcePosition;
  readonly environment: SubmitEnvironment;
  readonly warnings: Warnings;
}

/** Sets the attributes that result from a command with this value. `name` is the command's name as written in the file. */
export type CommandHandler = (value: string, context: CommandContext, name: string) => void;

/** Creates a string literal expression. */
export const stringLiteral = (text: string): Expr => literal(text);
/** Creates an integer literal expression. */
export const integerLiteral = (value: number): Expr => literal(BigInt(value));

/** Parses a ClassAd expression. A syntax error is thrown as a `SubmitError` with the command's position. */
export function parseExpression(value: string, context: CommandContext, name: string): Expr {
  try {
    return parseExpr(value);
  } catch (error) {
    if (error instanceof ClassAdError)
      throw new SubmitError(context.position, `${name}: column ${error.column}: ${error.reason}`);
    throw error;
  }
}

/** Creates a handler that sets an attribute to the value as a string. */
export const setString =
  (attr: string): CommandHandler =>
  (value, context) =>
    context.ad.set(attr, stringLiteral(value));
/** Creates a handler that sets an attribute to the value parsed as an expression. */
export const setExpr =
  (attr: string): CommandHandler =>
  (value, context, name) =>
    context.ad.set(attr, parseExpression(value, context, name));
/** Creates a handler that sets an attribute to the value parsed as an integer. */
export const setInteger =
  (attr: string): CommandHandler =>
  (value, context, name) => {
    if (!/^-?\d+$/.test(value))
      throw new SubmitError(context.position, `${name}: ${value}: must be a whole number`);
    context.ad.set(attr, integerLiteral(Number(value)));
  };
/** Parses a boolean; `yes`, `no`, `t`, `f`, `1` and `0` are accepted as well. */
export function parseBoolean(value: string, context: CommandContext, name: string): boolean {
  if (/^(true|yes|1|t)$/i.test(value)) return true;
  if (/^(false|no|0|f)$/i.test(value)) return false;
  throw new SubmitError(context.position, `${name}: ${value}: must be true or false`);
}
/** Creates a handler that sets an attribute to the value parsed as a boolean. */
export const setBoolean =
  (attr: string): CommandHandler =>
  (value, context, name) =>
    context.ad.set(attr, literal(parseBoolean(value, context, name)));

/** The units of sizes, in bytes. */
export const bytesPerUnit: Record<string, number> = { b: 1, k: 2 ** 10, m: 2 ** 20, g: 2 ** 30, t: 2 ** 40 };

/**
 * Creates a handler that sets an attribute to a size: a number with an optional unit suffix, rounded up to a multiple of the
 * attribute's unit (`unit`, in bytes), or an expression in that unit.
 */
export const setAmount =
  (attr: string, unit: number): CommandHandler =>
  (value, context, name) => {
    const amount = /^(\d+(?:\.\d+)?)\s*([bkmgt]?)(?:i?b)?$/i.exec(value);
    const size = amount && (amount[2] === '' ? unit : bytesPerUnit[amount[2].toLowerCase()]);
    if (amount && size !== null)
      return context.ad.set(attr, integerLiteral(Math.ceil((Number(amount[1]) * size) / unit)));
    if (/^\d/.test(value) && /[a-z]$/i.test(value) && !/[()+*/-]/.test(value))
      throw new SubmitError(context.position, `${name}: ${value}: no such unit (K, M, G or T)`);
    context.ad.set(attr, parseNonNegative(value, context, name));
  };

/** Parses a non-negative number, or an expression that depends on other attributes. */
function parseNonNegative(value: string, context: CommandContext, name: string): Expr {
  const expression = parseExpression(value, context, name);
  const result = evaluate(expression, new ClassAd());
  if (typeof result === 'bigint' || typeof result === 'number') {
    if (result < 0) throw new SubmitError(context.position, `${name}: ${value}: must not be below zero`);
    return literal(result);
  }
  if (expression.kind === 'literal')
    throw new SubmitError(context.position, `${name}: ${value}: must be a number`);
  return expression;
}

/** Creates a handler that sets an attribute to a number of at least `min`, or to an expression. */
export const setCount =
  (attr: string, min: number): CommandHandler =>
  (value, context, name) => {
    const count = parseNonNegative(value, context, name);
    if (count.kind === 'literal' && Number(count.value) < min)
      throw new SubmitError(context.position, `${name}: ${value}: must be at least ${min}`);
    context.ad.set(attr, count);
  };

/** Runs a parser and rethrows its errors as a `SubmitError` with the command's position. */
export const withErrorPosition = <T>(context: CommandContext, name: string, parse: () => T): T => {
  try {
    return parse();
  } catch (error) {
    throw new SubmitError(context.position, `${name}: ${String((error as Error).message)}`);
  }
};

/** Sets the job's environment; `isNew`: in the new syntax. */
export function setEnvironment(context: CommandContext, value: string, isNew: boolean): void {
  context.ad.set('Env', stringLiteral(value));
  if (isNew) context.ad.set('Environment', stringLiteral(value));
}
