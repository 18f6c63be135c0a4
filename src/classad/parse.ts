/** Parses expressions and records. */
import { Ad, literal, unary, type Attribute, type Expr } from './expr.js';
import { parse, SyntaxError as GrammarError, type GrammarOptions } from './grammar.js';
import { ErrorValue } from './values.js';

/** A syntax error, with its position. Lines and columns are counted from 1. */
export class ClassAdError extends Error {
  constructor(
    readonly reason: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(`line ${line}, column ${column}: ${reason}`);
    this.name = 'ClassAdError';
  }
}

const maxChars = 256 * 1024;
const nestingLimits = { maxDepth: 150, maxRow: 300 };

function parseWith(text: string, startRule: GrammarOptions['startRule']): unknown {
  if (text.length > maxChars) throw new ClassAdError(`longer than ${maxChars} characters`, 1, 1);
  try {
    return parse(text, {
      startRule,
      ...nestingLimits,
      literal,
      unary,
      fault: (why) => new ErrorValue(why),
      record: (all) => new Ad(all),
    });
  } catch (error) {
    if (!(error instanceof GrammarError)) throw error;
    const { line, column } = error.location.start;
    const what = /^(nested|more than)/.test(error.message)
      ? error.message
      : error.found === null
        ? 'unexpected end'
        : `unexpected ${JSON.stringify(error.found)}`;
    throw new ClassAdError(what, line, column);
  }
}

/** Parses an expression. */
export const parseExpr = (text: string): Expr => parseWith(text, 'Expression') as Expr;

const attributeLine = /^\s*([A-Za-z_][A-Za-z0-9_]*|'[^']+')\s*=(?![=?!])/;

/** Parses a record: in brackets, or one `NAME = expression` on each line, where lines that begin with # are comments. */
export function parseAd(text: string): Ad {
  if (/^\s*\[/.test(text)) return parseWith(text, 'Record') as Ad;
  const all: Attribute[] = [];
  text.split('\n').forEach((line, i) => {
    if (line.trim() === '' || line.trimStart().startsWith('#')) return;
    const m = attributeLine.exec(line);
    if (!m) throw new ClassAdError('expected NAME = expression', i + 1, 1);
    try {
      all.push({ name: m[1].replace(/^'|'$/g, ''), expr: parseExpr(line.slice(m[0].length)) });
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      throw new ClassAdError(error.reason, i + 1, error.column + m[0].length);
    }
  });
  return new Ad(all);
}
