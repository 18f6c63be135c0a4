import type { Ad, BinaryOp, Expr } from './expr.js';
import { ErrorValue, RecordValue, type Value } from './values.js';

/** How tight an operator binds; what binds less is put in brackets. */
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
const ternary = 1;
const prefix = 12;
const postfix = 13;

const escapes: Record<string, string> = {
  '\b': '\\b',
  '\t': '\\t',
  '\n': '\\n',
  '\f': '\\f',
  '\r': '\\r',
  '\\': '\\\\',
};

function quoted(s: string, mark: '"' | "'"): string {
  let out = mark as string;
  for (const c of s) {
    const code = c.charCodeAt(0);
    if (c === mark) out += `\\${mark}`;
    else if (escapes[c] !== undefined) out += escapes[c];
    else if (code < 32 || code === 127) out += `\\${code.toString(8).padStart(3, '0')}`;
    else out += c;
  }
  return out + mark;
}

const reserved = /^(true|false|undefined|error|is|isnt)$/i;
export const printName = (n: string): string =>
  /^[A-Za-z_][A-Za-z0-9_]*$/.test(n) && !reserved.test(n) ? n : quoted(n, "'");

function printReal(n: number): string {
  if (Number.isNaN(n)) return 'real("NaN")';
  if (!Number.isFinite(n)) return n > 0 ? 'real("INF")' : 'real("-INF")';
  if (Object.is(n, -0)) return '-0.0';
  const text = String(n);
  return /[.e]/.test(text) ? text.replace(/^(-?\d+)e/, '$1.0e') : `${text}.0`;
}

/** A value in the language's own syntax. */
export function printValue(v: Value): string {
  if (v === undefined) return 'undefined';
  if (v instanceof ErrorValue) return 'error';
  if (v instanceof RecordValue) return printAd(v.ad);
  if (Array.isArray(v)) return v.length === 0 ? '{ }' : `{ ${v.map(printValue).join(', ')} }`;
  if (typeof v === 'string') return quoted(v, '"');
  return typeof v === 'number' ? printReal(v) : String(v);
}

export function printAd(ad: Ad): string {
  const all = [...ad].map((a) => `${printName(a.name)} = ${printExpr(a.expr)}`);
  return all.length === 0 ? '[ ]' : `[ ${all.join('; ')} ]`;
}

const negative = (v: Value): boolean =>
  (typeof v === 'bigint' && v < 0n) || (typeof v === 'number' && (v < 0 || Object.is(v, -0)));

/** An expression; what is read of it is the same again. */
export function printExpr(e: Expr, minPrecedence = 0): string {
  const [text, level] = print(e);
  return level < minPrecedence ? `(${text})` : text;
}

function print(e: Expr): [string, number] {
  switch (e.k) {
    case 'lit':
      return [printValue(e.v), negative(e.v) ? prefix : postfix];
    case 'ref':
      return [`${e.absolute ? '.' : ''}${printName(e.name)}`, postfix];
    case 'sel':
      return [`${printOperand(e.of)}.${printName(e.name)}`, postfix];
    case 'at':
      return [`${printOperand(e.of)}[${printExpr(e.index)}]`, postfix];
    case 'un':
      return [`${e.op}${printExpr(e.a, prefix)}`, prefix];
    case 'bin': {
      const level = precedence[e.op];
      return [`${printExpr(e.a, level)} ${e.op} ${printExpr(e.b, level + 1)}`, level];
    }
    case 'if': {
      const c = printExpr(e.c, ternary + 1);
      const b = printExpr(e.b);
      return [e.a ? `${c} ? ${printExpr(e.a)} : ${b}` : `${c} ?: ${b}`, ternary];
    }
    case 'call':
      return [`${printName(e.name)}(${e.args.map((a) => printExpr(a)).join(', ')})`, postfix];
    case 'list':
      return [e.items.length === 0 ? '{ }' : `{ ${e.items.map((i) => printExpr(i)).join(', ')} }`, postfix];
    case 'rec':
      return [printAd(e.ad), postfix];
  }
}

/** A number before a dot would be read as another number. */
function printOperand(e: Expr): string {
  const text = printExpr(e, postfix);
  return e.k === 'lit' && (typeof e.v === 'bigint' || typeof e.v === 'number') && !text.startsWith('(')
    ? `(${text})`
    : text;
}
