/** Functions that match regular expressions. */
import { RE2JS } from 're2js';
import { ErrorValue, type Value } from '../values.js';
import { strictFunction, stringFunction, typeError, type NamedFunction } from './define.js';
import { splitBy } from './strings.js';

/** Maximum length of a pattern, characters. */
const maxPatternChars = 2000;
/** Maximum length of a text to match, characters. */
const maxTextChars = 64 * 1024;
/** The cost of a match is its text length times its pattern length; this much of it counts as one evaluation step. */
const charsPerStep = 1000;

/** A compiled regular expression and its options. */
interface Pattern {
  readonly regexp: RE2JS;
  /** Replace all matches, not only the first one. */
  readonly replaceAll: boolean;
  /** Return only the replacement of the match, without the text around it. */
  readonly replacementOnly: boolean;
}

/** Compiles a pattern with RE2, which does not backtrack: matching takes time linear in the lengths of pattern and text. */
function compile(pattern: string, options = ''): Pattern | ErrorValue {
  if (pattern.length > maxPatternChars)
    return new ErrorValue(`regular expression longer than ${maxPatternChars} characters`);
  let flags = 0;
  let source = pattern;
  for (const option of options.toLowerCase())
    if (option === 'i') flags |= RE2JS.CASE_INSENSITIVE;
    else if (option === 'm') flags |= RE2JS.MULTILINE;
    else if (option === 's') flags |= RE2JS.DOTALL;
    else if (option === 'x')
      source = source.replace(/\\#|\\\s|#[^\n]*|\s+/g, (m) => (m.startsWith('\\') ? m : ''));
    else if (option !== 'g' && option !== 'f')
      return new ErrorValue(`unknown regular expression option ${option}`);
  try {
    const replacementOnly = !options.toLowerCase().includes('f');
    return {
      regexp: RE2JS.compile(source, flags),
      replaceAll: options.toLowerCase().includes('g'),
      replacementOnly,
    };
  } catch (e) {
    return new ErrorValue(`invalid regular expression: ${String((e as Error).message)}`);
  }
}

/** Expands the group references (`\1` and so on) in a replacement text. */
const expandGroups = (replacement: string, group: (n: number) => string): string =>
  replacement.replace(/\\(\d)|\\\\/g, (m, n: string | undefined) => (n === undefined ? m : group(Number(n))));

function replaceMatches(
  pattern: Pattern,
  text: string,
  replacementText: string,
  replaceAll: boolean,
  keepSurroundings: boolean,
): string {
  const match = pattern.regexp.matcher(text);
  let result = '';
  let from = 0;
  while (match.find()) {
    const replacement = expandGroups(replacementText, (n) =>
      n <= match.groupCount() ? (match.group(n) ?? '') : '',
    );
    result += (keepSurroundings ? text.slice(from, match.start()) : '') + replacement;
    from = match.end();
    if (!replaceAll) break;
  }
  return keepSurroundings ? result + text.slice(from) : result;
}

/** Charges the cost of a match. Returns an error value if the text is too long or the evaluation exceeds its step limit. */
const checkCost = (text: string, pattern: string, chargeSteps: (n: number) => boolean): ErrorValue | null =>
  text.length > maxTextChars
    ? new ErrorValue(`text longer than ${maxTextChars} characters`)
    : chargeSteps(Math.ceil((text.length * pattern.length) / charsPerStep))
      ? null
      : new ErrorValue('regular expression matching exceeds the step limit of the evaluation');

const substitutionFunction = (name: string, keepSurroundings: boolean, replaceAll: boolean): NamedFunction =>
  stringFunction(name, 3, 4, ([pattern, text, replacementText, options], evaluator): Value => {
    const compiled = compile(pattern, options);
    if (compiled instanceof ErrorValue) return compiled;
    const costError = checkCost(text, pattern, (n) => evaluator.chargeSteps(n));
    if (costError) return costError;
    const fullText = keepSurroundings || !compiled.replacementOnly;
    if (!compiled.regexp.matcher(text).find()) return fullText ? text : '';
    return replaceMatches(compiled, text, replacementText, replaceAll || compiled.replaceAll, fullText);
  });

/** The functions that this module defines. */
export const regexpFunctions: readonly NamedFunction[] = [
  stringFunction('regexp', 2, 3, ([pattern, text, options], evaluator): Value => {
    const compiled = compile(pattern, options);
    if (compiled instanceof ErrorValue) return compiled;
    return checkCost(text, pattern, (n) => evaluator.chargeSteps(n)) ?? compiled.regexp.matcher(text).find();
  }),
  substitutionFunction('regexps', false, false),
  substitutionFunction('replace', true, false),
  substitutionFunction('replaceAll', true, true),
  strictFunction('regexpMember', 2, 3, ([pattern, list, options], evaluator): Value => {
    if (typeof pattern !== 'string') return typeError('regexpMember', pattern);
    if (!Array.isArray(list)) return typeError('regexpMember', list);
    if (options !== undefined && typeof options !== 'string') return typeError('regexpMember', options);
    const compiled = compile(pattern, options);
    if (compiled instanceof ErrorValue) return compiled;
    for (const v of list) {
      if (typeof v !== 'string') continue;
      const costError = checkCost(v, pattern, (n) => evaluator.chargeSteps(n));
      if (costError) return costError;
      if (compiled.regexp.matcher(v).find()) return true;
    }
    return false;
  }),
  stringFunction('stringList_regexpMember', 2, 4, ([pattern, list, delims, options], evaluator): Value => {
    const compiled = compile(pattern, options);
    if (compiled instanceof ErrorValue) return compiled;
    const costError = checkCost(list, pattern, (n) => evaluator.chargeSteps(n));
    return costError ?? splitBy(list, delims ?? ' ,').some((w) => compiled.regexp.matcher(w.trim()).find());
  }),
];
