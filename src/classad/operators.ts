import type { BinaryOp, UnaryOp } from './expr.js';
import { printAd } from './print.js';
import { ErrorValue, toInt64, toNumber, RecordValue, typeOf, type Value } from './values.js';

/** `error` before `undefined`, and both before anything else. */
export function exceptional(...args: Value[]): ErrorValue | 'undefined' | null {
  for (const a of args) if (a instanceof ErrorValue) return a;
  return args.some((a) => a === undefined) ? 'undefined' : null;
}

export function unaryOp(op: Exclude<UnaryOp, '!'>, a: Value): Value {
  const odd = exceptional(a);
  if (odd) return odd === 'undefined' ? undefined : odd;
  if (op === '~') return typeof a === 'bigint' ? ~a : typeError(op, a);
  const n = toNumber(a);
  if (n === null) return typeError(op, a);
  if (op === '+') return n;
  return typeof n === 'bigint' ? toInt64(-n) : -n;
}

const typeError = (op: string, ...args: Value[]): ErrorValue =>
  new ErrorValue(`${op} does not take ${args.map((a) => `a ${typeOf(a)}`).join(' and ')}`);

/** All operators that are the same for every operand: `error` and `undefined` go through them. */
export function binaryOp(op: Exclude<BinaryOp, '&&' | '||'>, a: Value, b: Value): Value {
  if (op === '=?=') return identical(a, b);
  if (op === '=!=') return !identical(a, b);
  const odd = exceptional(a, b);
  if (odd) return odd === 'undefined' ? undefined : odd;
  switch (op) {
    case '==':
    case '!=':
    case '<':
    case '<=':
    case '>':
    case '>=': {
      const order = compare(a, b);
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

/** Same type and same value; strings by case. */
export function identical(a: Value, b: Value): boolean {
  if (typeOf(a) !== typeOf(b)) return false;
  if (a instanceof ErrorValue) return true;
  if (Array.isArray(a) && Array.isArray(b))
    return a.length === b.length && a.every((x, i) => identical(x, b[i]));
  if (a instanceof RecordValue && b instanceof RecordValue)
    return a.ad === b.ad || printAd(a.ad) === printAd(b.ad);
  return a === b;
}

/** Below zero, zero, above; NaN: neither; null: they cannot be compared. Strings without regard to case. */
function compare(a: Value, b: Value): number | null {
  if (typeof a === 'string' && typeof b === 'string') {
    const [x, y] = [a.toLowerCase(), b.toLowerCase()];
    return x < y ? -1 : x > y ? 1 : 0;
  }
  const [x, y] = [toNumber(a), toNumber(b)];
  if (x === null || y === null) return null;
  return x < y ? -1 : x > y ? 1 : x == y ? 0 : NaN;
}

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

function bitwise(op: '&' | '|' | '^' | '<<' | '>>' | '>>>', a: Value, b: Value): Value {
  if (typeof a === 'boolean' && typeof b === 'boolean' && (op === '&' || op === '|' || op === '^'))
    return op === '&' ? a && b : op === '|' ? a || b : a !== b;
  if (typeof a !== 'bigint' || typeof b !== 'bigint') return typeError(op, a, b);
  if (op === '&') return a & b;
  if (op === '|') return a | b;
  if (op === '^') return a ^ b;
  // Guards against a shift that makes a number of as many digits.
  if (b < 0n || b > 63n) return new ErrorValue(`${op}: a shift by ${b}`);
  if (op === '<<') return toInt64(a << b);
  return op === '>>' ? a >> b : toInt64(BigInt.asUintN(64, a) >> b);
}

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
