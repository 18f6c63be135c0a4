import { Ad, literal, unary, type Attribute, type Expr } from './expr.js';
import { parse, SyntaxError as GrammarError, type GrammarOptions } from './grammar.js';
import { ErrorValue } from './values.js';

/** What is wrong with a text, and where. Lines and columns begin with 1. */
export class ClassAdError extends Error {
  constructor(
    readonly reason: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(`line ${line}, column ${column}: ${reason}`);
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
  } catch (e) {
    if (!(e instanceof GrammarError)) throw e;
    const { line, column } = e.location.start;
    const what = /^(nested|more than)/.test(e.message)
      ? e.message
      : e.found === null
        ? 'unexpected end'
        : `unexpected ${JSON.stringify(e.found)}`;
    throw new ClassAdError(what, line, column);
  }
}

/** An expression. */
export const parseExpr = (text: string): Expr => parseWith(text, 'Expression') as Expr;

const attributeLine = /^\s*([A-Za-z_][A-Za-z0-9_]*|'[^']+')\s*=(?![=?!])/;

/** A record: in brackets, or one `Attr = expression` a line, where lines that begin with # are comments. */
export function parseAd(text: string): Ad {
  if (/^\s*\[/.test(text)) return parseWith(text, 'Record') as Ad;
  const all: Attribute[] = [];
  text.split('\n').forEach((line, i) => {
    if (line.trim() === '' || line.trimStart().startsWith('#')) return;
    const m = attributeLine.exec(line);
    if (!m) throw new ClassAdError('expected NAME = expression', i + 1, 1);
    try {
      all.push({ name: m[1].replace(/^'|'$/g, ''), expr: parseExpr(line.slice(m[0].length)) });
    } catch (e) {
      if (!(e instanceof ClassAdError)) throw e;
      throw new ClassAdError(e.reason, i + 1, e.column + m[0].length);
    }
  });
  return new Ad(all);
}
