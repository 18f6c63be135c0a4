/** Parses ClassAd expressions and records. */
import { ClassAd, literal, unary, type Attribute, type Expr } from './expr.js';
import { parse, SyntaxError as GrammarError, type GrammarOptions } from './grammar.js';
import { ErrorValue } from './values.js';

/** A syntax error and its position. Lines and columns are counted from 1. */
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

/** Maximum length of a text to parse, characters. */
const maxChars = 256 * 1024;
/** Limits that keep the recursive processing of an expression from overflowing the stack. */
const nestingLimits = { maxDepth: 150, maxOperatorsInRow: 300 };

function parseWith(text: string, startRule: GrammarOptions['startRule']): unknown {
  if (text.length > maxChars) throw new ClassAdError(`longer than ${maxChars} characters`, 1, 1);
  try {
    return parse(text, {
      startRule,
      ...nestingLimits,
      literal,
      unary,
      errorValue: (reason) => new ErrorValue(reason),
      record: (attributes) => new ClassAd(attributes),
    });
  } catch (error) {
    if (!(error instanceof GrammarError)) throw error;
    const { line, column } = error.location.start;
    const reason = /^(nested|more than)/.test(error.message)
      ? error.message
      : error.found === null
        ? 'unexpected end'
        : `unexpected ${JSON.stringify(error.found)}`;
    throw new ClassAdError(reason, line, column);
  }
}

/** Parses an expression. Throws a `ClassAdError`. */
export const parseExpr = (text: string): Expr => parseWith(text, 'Expression') as Expr;

const attributeLine = /^\s*([A-Za-z_][A-Za-z0-9_]*|'[^']+')\s*=(?![=?!])/;

/** Parses a record, either in brackets or as one `NAME = expression` per line, where lines that start with # are comments. */
export function parseAd(text: string): ClassAd {
  if (/^\s*\[/.test(text)) return parseWith(text, 'Record') as ClassAd;
  const attributes: Attribute[] = [];
  text.split('\n').forEach((line, i) => {
    if (line.trim() === '' || line.trimStart().startsWith('#')) return;
    const match = attributeLine.exec(line);
    if (!match) throw new ClassAdError('expected NAME = expression', i + 1, 1);
    try {
      attributes.push({ name: match[1].replace(/^'|'$/g, ''), expr: parseExpr(line.slice(match[0].length)) });
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      throw new ClassAdError(error.reason, i + 1, error.column + match[0].length);
    }
  });
  return new ClassAd(attributes);
}
