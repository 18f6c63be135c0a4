/** Functions of regular expressions. */
import { RE2JS } from 're2js';
import { ErrorValue, type Value } from '../values.js';
import { strictFunction, stringFunction, typeError, type NamedFunction } from './define.js';
import { splitBy } from './strings.js';

const maxPatternChars = 2000;
const maxTextChars = 64 * 1024;
/** The work of a match, in characters of the text times characters of the pattern, that counts as one step. */
const charsPerStep = 1000;

/** A compiled pattern with its options. */
interface Pattern {
  readonly compiled: RE2JS;
  /** Replace all matches, not only the first one. */
  readonly all: boolean;
  /** Return only what replaces the match, not the text around it. */
  readonly part: boolean;
}

/** Compiles a pattern for an engine without backtracking, whose time is linear in pattern and text. */
function compile(pattern: string, options = ''): Pattern | ErrorValue {
  if (pattern.length > maxPatternChars)
    return new ErrorValue(`a pattern of more than ${maxPatternChars} characters`);
  let flags = 0;
  let source = pattern;
  for (const option of options.toLowerCase())
    if (option === 'i') flags |= RE2JS.CASE_INSENSITIVE;
    else if (option === 'm') flags |= RE2JS.MULTILINE;
    else if (option === 's') flags |= RE2JS.DOTALL;
    else if (option === 'x')
      source = source.replace(/\\#|\\\s|#[^\n]*|\s+/g, (m) => (m.startsWith('\\') ? m : ''));
    else if (option !== 'g' && option !== 'f') return new ErrorValue(`no option ${option} of patterns`);
  try {
    const part = !options.toLowerCase().includes('f');
    return { compiled: RE2JS.compile(source, flags), all: options.toLowerCase().includes('g'), part };
  } catch (e) {
    return new ErrorValue(`pattern: ${String((e as Error).message)}`);
  }
}

/** Replaces `\1` and the like in a substitute by the groups of the match. */
const expandGroups = (substitute: string, group: (n: number) => string): string =>
  substitute.replace(/\\(\d)|\\\\/g, (m, n: string | undefined) => (n === undefined ? m : group(Number(n))));

function replaceMatches(
  pattern: Pattern,
  text: string,
  substitute: string,
  all: boolean,
  whole: boolean,
): string {
  const match = pattern.compiled.matcher(text);
  let result = '';
  let from = 0;
  while (match.find()) {
    const replacement = expandGroups(substitute, (n) =>
      n <= match.groupCount() ? (match.group(n) ?? '') : '',
    );
    result += (whole ? text.slice(from, match.start()) : '') + replacement;
    from = match.end();
    if (!all) break;
  }
  return whole ? result + text.slice(from) : result;
}

const checkCost = (text: string, pattern: string, spend: (n: number) => boolean): ErrorValue | null =>
  text.length > maxTextChars
    ? new ErrorValue(`a text of more than ${maxTextChars} characters`)
    : spend(Math.ceil((text.length * pattern.length) / charsPerStep))
      ? null
      : new ErrorValue('too much work for patterns');

const substitutionFunction = (name: string, whole: boolean, all: boolean): NamedFunction =>
  stringFunction(name, 3, 4, ([pattern, text, substitute, options], evaluator): Value => {
    const compiled = compile(pattern, options);
    if (compiled instanceof ErrorValue) return compiled;
    const costError = checkCost(text, pattern, (n) => evaluator.spend(n));
    if (costError) return costError;
    const full = whole || !compiled.part;
    if (!compiled.compiled.matcher(text).find()) return full ? text : '';
    return replaceMatches(compiled, text, substitute, all || compiled.all, full);
  });

/** The functions of this module. */
export const patterns: readonly NamedFunction[] = [
  stringFunction('regexp', 2, 3, ([pattern, text, options], evaluator): Value => {
    const p = compile(pattern, options);
    if (p instanceof ErrorValue) return p;
    return checkCost(text, pattern, (n) => evaluator.spend(n)) ?? p.compiled.matcher(text).find();
  }),
  substitutionFunction('regexps', false, false),
  substitutionFunction('replace', true, false),
  substitutionFunction('replaceAll', true, true),
  strictFunction('regexpMember', 2, 3, ([pattern, list, options], evaluator): Value => {
    if (typeof pattern !== 'string') return typeError('regexpMember', pattern);
    if (!Array.isArray(list)) return typeError('regexpMember', list);
    if (options !== undefined && typeof options !== 'string') return typeError('regexpMember', options);
    const p = compile(pattern, options);
    if (p instanceof ErrorValue) return p;
    for (const v of list) {
      if (typeof v !== 'string') continue;
      const bad = checkCost(v, pattern, (n) => evaluator.spend(n));
      if (bad) return bad;
      if (p.compiled.matcher(v).find()) return true;
    }
    return false;
  }),
  stringFunction('stringList_regexpMember', 2, 4, ([pattern, list, delims, options], evaluator): Value => {
    const p = compile(pattern, options);
    if (p instanceof ErrorValue) return p;
    const bad = checkCost(list, pattern, (n) => evaluator.spend(n));
    return bad ?? splitBy(list, delims ?? ' ,').some((w) => p.compiled.matcher(w.trim()).find());
  }),
];
