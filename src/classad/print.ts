/** Prints expressions, records and values in ClassAd syntax. */
import type { ClassAd, BinaryOp, Expr } from './expr.js';
import { ErrorValue, RecordValue, type Value } from './values.js';

/** Operator precedence. An operand of lower precedence is printed in parentheses. */
const precedence: Record<BinaryOp, number> = {
  '||': 2,
  '&&': 3,
  '|': 4,
  '^': 5,
  '&': 6,
  '==': 7,
  '!=': 7,
  '=?=': 7,
  '=!=': 7,
  '<': 8,
  '<=': 8,
  '>': 8,
  '>=': 8,
  '<<': 9,
  '>>': 9,
  '>>>': 9,
  '+': 10,
  '-': 10,
  '*': 11,
  '/': 11,
  '%': 11,
};
const conditionalPrecedence = 1;
const prefixPrecedence = 12;
const postfixPrecedence = 13;

const escapes: Record<string, string> = {
  '\b': '\\b',
  '\t': '\\t',
  '\n': '\\n',
  '\f': '\\f',
  '\r': '\\r',
  '\\': '\\\\',
};

function quote(text: string, delimiter: '"' | "'"): string {
  let out = delimiter as string;
  for (const c of text) {
    const code = c.charCodeAt(0);
    if (c === delimiter) out += `\\${delimiter}`;
    else if (escapes[c] !== undefined) out += escapes[c];
    else if (code < 32 || code === 127) out += `\\${code.toString(8).padStart(3, '0')}`;
    else out += c;
  }
  return out + delimiter;
}

const reserved = /^(true|false|undefined|error|is|isnt)$/i;
/** Prints a name, quoted if necessary. */
export const printName = (name: string): string =>
  /^[A-Za-z_][A-Za-z0-9_]*$/.test(name) && !reserved.test(name) ? name : quote(name, "'");

function printReal(value: number): string {
  if (Number.isNaN(value)) return 'real("NaN")';
  if (!Number.isFinite(value)) return value > 0 ? 'real("INF")' : 'real("-INF")';
  if (Object.is(value, -0)) return '-0.0';
  const text = String(value);
  return /[.e]/.test(text) ? text.replace(/^(-?\d+)e/, '$1.0e') : `${text}.0`;
}

/** Prints a value as an expression that evaluates to it. */
export function printValue(value: Value): string {
  if (value === undefined) return 'undefined';
  if (value instanceof ErrorValue) return 'error';
  if (value instanceof RecordValue) return printAd(value.ad);
  if (Array.isArray(value)) return value.length === 0 ? '{ }' : `{ ${value.map(printValue).join(', ')} }`;
  if (typeof value === 'string') return quote(value, '"');
  return typeof value === 'number' ? printReal(value) : String(value);
}

/** Prints a record in brackets. */
export function printAd(ad: ClassAd): string {
  const attributes = [...ad].map((a) => `${printName(a.name)} = ${printExpr(a.expr)}`);
  return attributes.length === 0 ? '[ ]' : `[ ${attributes.join('; ')} ]`;
}

const isNegative = (v: Value): boolean =>
  (typeof v === 'bigint' && v < 0n) || (typeof v === 'number' && (v < 0 || Object.is(v, -0)));

/** Prints an expression, in parentheses if its precedence is below `minPrecedence`. Parsing the text yields an equal expression. */
export function printExpr(expr: Expr, minPrecedence = 0): string {
  const [text, level] = printWithPrecedence(expr);
  return level < minPrecedence ? `(${text})` : text;
}

function printWithPrecedence(expr: Expr): [string, number] {
  switch (expr.kind) {
    case 'literal':
      return [printValue(expr.value), isNegative(expr.value) ? prefixPrecedence : postfixPrecedence];
    case 'reference':
      return [`${expr.absolute ? '.' : ''}${printName(expr.name)}`, postfixPrecedence];
    case 'selection':
      return [`${printOperand(expr.of)}.${printName(expr.name)}`, postfixPrecedence];
    case 'subscript':
      return [`${printOperand(expr.of)}[${printExpr(expr.index)}]`, postfixPrecedence];
    case 'unary':
      return [`${expr.op}${printExpr(expr.operand, prefixPrecedence)}`, prefixPrecedence];
    case 'binary': {
      const level = precedence[expr.op];
      return [`${printExpr(expr.left, level)} ${expr.op} ${printExpr(expr.right, level + 1)}`, level];
    }
    case 'conditional': {
      const condition = printExpr(expr.condition, conditionalPrecedence + 1);
      const whenFalse = printExpr(expr.whenFalse);
      return [
        expr.whenTrue
          ? `${condition} ? ${printExpr(expr.whenTrue)} : ${whenFalse}`
          : `${condition} ?: ${whenFalse}`,
        conditionalPrecedence,
      ];
    }
    case 'call':
      return [`${printName(expr.name)}(${expr.args.map((a) => printExpr(a)).join(', ')})`, postfixPrecedence];
    case 'list':
      return [
        expr.items.length === 0 ? '{ }' : `{ ${expr.items.map((i) => printExpr(i)).join(', ')} }`,
        postfixPrecedence,
      ];
    case 'record':
      return [printAd(expr.ad), postfixPrecedence];
  }
}

/** Prints the operand of a selection or subscript. A number gets parentheses: before a dot it would parse as part of a number. */
function printOperand(operand: Expr): string {
  const text = printExpr(operand, postfixPrecedence);
  return operand.kind === 'literal' &&
    (typeof operand.value === 'bigint' || typeof operand.value === 'number') &&
    !text.startsWith('(')
    ? `(${text})`
    : text;
}
