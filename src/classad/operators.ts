/** The operators of the language, except `!`, `&&` and `||`, which the evaluator implements itself. */
import type { BinaryOp, UnaryOp } from './expr.js';
import { printAd } from './print.js';
import { ErrorValue, toInt64, toNumber, RecordValue, typeOf, type Value } from './values.js';

/** Returns the first error among the arguments, else 'undefined' if one of them is undefined, else null. */
export function findErrorOrUndefined(...args: Value[]): ErrorValue | 'undefined' | null {
  for (const a of args) if (a instanceof ErrorValue) return a;
  return args.some((a) => a === undefined) ? 'undefined' : null;
}

/** Applies a unary operator. */
export function unaryOp(op: Exclude<UnaryOp, '!'>, a: Value): Value {
  const propagated = findErrorOrUndefined(a);
  if (propagated) return propagated === 'undefined' ? undefined : propagated;
  if (op === '~') return typeof a === 'bigint' ? ~a : typeError(op, a);
  const n = toNumber(a);
  if (n === null) return typeError(op, a);
  if (op === '+') return n;
  return typeof n === 'bigint' ? toInt64(-n) : -n;
}

/** Creates the error value of an operator that does not accept the types of its operands. */
const typeError = (op: string, ...args: Value[]): ErrorValue =>
  new ErrorValue(`${op} does not take ${args.map((a) => `a ${typeOf(a)}`).join(' and ')}`);

/** Applies a binary operator. Except for `=?=` and `=!=`, an error or undefined operand becomes the result. */
export function binaryOp(op: Exclude<BinaryOp, '&&' | '||'>, a: Value, b: Value): Value {
  if (op === '=?=') return identical(a, b);
  if (op === '=!=') return !identical(a, b);
  const propagated = findErrorOrUndefined(a, b);
  if (propagated) return propagated === 'undefined' ? undefined : propagated;
  switch (op) {
    case '==':
    case '!=':
    case '<':
    case '<=':
    case '>':
    case '>=': {
      const order = compareValues(a, b);
      return order === null ? typeError(op, a, b) : comparisonHolds(op, order);
    }
    case '&':
    case '|':
    case '^':
    case '<<':
    case '>>':
    case '>>>':
      return bitwise(op, a, b);
    default:
      return arithmetic(op, a, b);
  }
}

/** Whether two values have the same type and value. Strings are compared case-sensitively, and all errors are identical. */
export function identical(a: Value, b: Value): boolean {
  if (typeOf(a) !== typeOf(b)) return false;
  if (a instanceof ErrorValue) return true;
  if (Array.isArray(a) && Array.isArray(b))
    return a.length === b.length && a.every((x, i) => identical(x, b[i]));
  if (a instanceof RecordValue && b instanceof RecordValue)
    return a.ad === b.ad || printAd(a.ad) === printAd(b.ad);
  return a === b;
}

/**
 * Compares two values: the result is negative, zero or positive, NaN if the values are unordered (an operand is NaN), or null if
 * the types cannot be compared. Strings are compared case-insensitively.
 */
function compareValues(a: Value, b: Value): number | null {
  if (typeof a === 'string' && typeof b === 'string') {
    const [x, y] = [a.toLowerCase(), b.toLowerCase()];
    return x < y ? -1 : x > y ? 1 : 0;
  }
  const [x, y] = [toNumber(a), toNumber(b)];
  if (x === null || y === null) return null;
  return x < y ? -1 : x > y ? 1 : x == y ? 0 : NaN;
}

/** Whether a comparison operator holds, given the result of `compareValues`. */
function comparisonHolds(op: '==' | '!=' | '<' | '<=' | '>' | '>=', order: number): boolean {
  switch (op) {
    case '==':
      return order === 0;
    case '!=':
      return order !== 0;
    case '<':
      return order < 0;
    case '<=':
      return order <= 0;
    case '>':
      return order > 0;
    case '>=':
      return order >= 0;
  }
}

/** Applies a bitwise operator or a shift. */
function bitwise(op: '&' | '|' | '^' | '<<' | '>>' | '>>>', a: Value, b: Value): Value {
  if (typeof a === 'boolean' && typeof b === 'boolean' && (op === '&' || op === '|' || op === '^'))
    return op === '&' ? a && b : op === '|' ? a || b : a !== b;
  if (typeof a !== 'bigint' || typeof b !== 'bigint') return typeError(op, a, b);
  if (op === '&') return a & b;
  if (op === '|') return a | b;
  if (op === '^') return a ^ b;
  // A bigint shifted by a larger amount would have as many bits as the shift count.
  if (b < 0n || b > 63n) return new ErrorValue(`${op}: shift count ${b} is not in the range 0 to 63`);
  if (op === '<<') return toInt64(a << b);
  return op === '>>' ? a >> b : toInt64(BigInt.asUintN(64, a) >> b);
}

/** Applies an arithmetic operator: on 64-bit integers, or on reals if an operand is real. */
function arithmetic(op: '+' | '-' | '*' | '/' | '%', a: Value, b: Value): Value {
  const [x, y] = [toNumber(a), toNumber(b)];
  if (x === null || y === null) return typeError(op, a, b);
  if (typeof x === 'bigint' && typeof y === 'bigint') {
    if ((op === '/' || op === '%') && y === 0n) return new ErrorValue('division by zero');
    switch (op) {
      case '+':
        return toInt64(x + y);
      case '-':
        return toInt64(x - y);
      case '*':
        return toInt64(x * y);
      case '/':
        return toInt64(x / y);
      case '%':
        return toInt64(x % y);
    }
  }
  const [p, q] = [Number(x), Number(y)];
  switch (op) {
    case '+':
      return p + q;
    case '-':
      return p - q;
    case '*':
      return p * q;
    case '/':
      return q === 0 ? new ErrorValue('division by zero') : p / q;
    case '%':
      return q === 0 ? new ErrorValue('division by zero') : p % q;
  }
}
