/** Parts of the handlers of submit commands: parsing values and setting attributes. */
import { Ad, ClassAdError, evaluate, literal, parseExpr, type Expr } from '../classad/index.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** What a command's handler works on. */
export interface CommandContext {
  /** The job's record so far. */
  readonly ad: Ad;
  /** Where the command stands. */
  position: SourcePosition;
  readonly environment: SubmitEnvironment;
  readonly warnings: Warnings;
}

/** Sets the attributes that a command with this value stands for. `name` is the command's name as the file has it. */
export type CommandHandler = (value: string, context: CommandContext, name: string) => void;

/** A string as an expression. */
export const stringLiteral = (text: string): Expr => literal(text);
/** An integer as an expression. */
export const integerLiteral = (value: number): Expr => literal(BigInt(value));

/** Parses an expression of the match language. */
export function parseExpression(value: string, context: CommandContext, name: string): Expr {
  try {
    return parseExpr(value);
  } catch (error) {
    if (error instanceof ClassAdError)
      throw new SubmitError(context.position, `${name}: column ${error.column}: ${error.reason}`);
    throw error;
  }
}

/** Sets an attribute to the text. */
export const setString =
  (attr: string): CommandHandler =>
  (value, context) =>
    context.ad.set(attr, stringLiteral(value));
/** Sets an attribute to the expression. */
export const setExpr =
  (attr: string): CommandHandler =>
  (value, context, name) =>
    context.ad.set(attr, parseExpression(value, context, name));
/** Sets an attribute to the integer. */
export const setInteger =
  (attr: string): CommandHandler =>
  (value, context, name) => {
    if (!/^-?\d+$/.test(value))
      throw new SubmitError(context.position, `${name}: ${value}: must be a whole number`);
    context.ad.set(attr, integerLiteral(Number(value)));
  };
/** Parses a truth value. */
export function parseBoolean(value: string, context: CommandContext, name: string): boolean {
  if (/^(true|yes|1|t)$/i.test(value)) return true;
  if (/^(false|no|0|f)$/i.test(value)) return false;
  throw new SubmitError(context.position, `${name}: ${value}: must be true or false`);
}
/** Sets an attribute to the truth value. */
export const setBoolean =
  (attr: string): CommandHandler =>
  (value, context, name) =>
    context.ad.set(attr, literal(parseBoolean(value, context, name)));

/** Bytes of the units of amounts. */
export const bytesPerUnit: Record<string, number> = { b: 1, k: 2 ** 10, m: 2 ** 20, g: 2 ** 30, t: 2 ** 40 };

/** Sets an attribute to an amount: a number with a unit, or an expression in the attribute's own unit. */
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

/** A number that is not negative, or an expression that depends on other attributes. */
function parseNonNegative(value: string, context: CommandContext, name: string): Expr {
  const expression = parseExpression(value, context, name);
  const result = evaluate(expression, new Ad());
  if (typeof result === 'bigint' || typeof result === 'number') {
    if (result < 0) throw new SubmitError(context.position, `${name}: ${value}: must not be below zero`);
    return literal(result);
  }
  if (expression.kind === 'literal')
    throw new SubmitError(context.position, `${name}: ${value}: must be a number`);
  return expression;
}

/** Sets an attribute to a number of at least `min`, or an expression. */
export const setCount =
  (attr: string, min: number): CommandHandler =>
  (value, context, name) => {
    const count = parseNonNegative(value, context, name);
    if (count.kind === 'literal' && Number(count.value) < min)
      throw new SubmitError(context.position, `${name}: ${value}: must be at least ${min}`);
    context.ad.set(attr, count);
  };

/** Parses a value; its errors become errors at the command's position. */
export const withPosition = <T>(context: CommandContext, name: string, parse: () => T): T => {
  try {
    return parse();
  } catch (error) {
    throw new SubmitError(context.position, `${name}: ${String((error as Error).message)}`);
  }
};

/** Sets the environment of the command. */
export function setEnvironment(context: CommandContext, value: string, isNew: boolean): void {
  context.ad.set('Env', stringLiteral(value));
  if (isNew) context.ad.set('Environment', stringLiteral(value));
}
