/** Parses job arguments and environments in the old and the new syntax that HTCondor's manual defines. */
import { QuotingError } from './errors.js';

const isNewSyntax = (text: string): boolean => text.startsWith('"');

/** Returns the text between the outer double quotes of the new syntax, where `""` denotes a double quote. */
function unquote(text: string): string {
  if (text.length < 2 || !text.endsWith('"')) throw new QuotingError('a double quote is not closed');
  const inside = text.slice(1, -1);
  if (/"/.test(inside.replaceAll('""', '')))
    throw new QuotingError('a double quote inside double quotes must be doubled');
  return inside.replaceAll('""', '"');
}

/**
 * Splits a text in the new syntax into words. Words are separated by white space; single quotes group characters into a word, and
 * `''` inside them denotes a single quote.
 */
export function splitWords(text: string): string[] {
  const words: string[] = [];
  let word: string | null = null;
  for (let i = 0; i < text.length; i++) {
    const character = text[i];
    if (/\s/.test(character)) {
      if (word !== null) words.push(word);
      word = null;
    } else if (character === "'") {
      word ??= '';
      for (i++; ; i++) {
        if (i >= text.length) throw new QuotingError('a single quote is not closed');
        if (text[i] !== "'") word += text[i];
        else if (text[i + 1] === "'") word += text[i++];
        else break;
      }
    } else word = (word ?? '') + character;
  }
  if (word !== null) words.push(word);
  return words;
}

const joinWords = (words: readonly string[]): string =>
  words
    .map((word) => (word === '' || /[\s']/.test(word) ? `'${word.replaceAll("'", "''")}'` : word))
    .join(' ');

/** The parsed arguments of a job. */
export interface ParsedArguments {
  /** The arguments as stored in the job's record: attribute `Args`, and for the new syntax also `Arguments`. */
  readonly text: string;
  /** Whether the arguments use the new syntax. */
  readonly isNew: boolean;
  readonly argv: string[];
}

/** Parses the arguments of a job. */
export function parseArguments(value: string): ParsedArguments {
  if (isNewSyntax(value)) {
    const text = unquote(value);
    return { text, isNew: true, argv: splitWords(text) };
  }
  if (/(^|[^\\])"/.test(value))
    throw new QuotingError(
      'a double quote in the old syntax must be written \\" (or enclose the whole value in double quotes)',
    );
  const text = value.replaceAll('\\"', '"');
  return { text, isNew: false, argv: text.split(/\s+/).filter((word) => word !== '') };
}

/** The parsed environment of a job. */
export interface ParsedEnvironment {
  /** The environment as stored in the job's record. */
  readonly text: string;
  /** Whether the environment uses the new syntax. */
  readonly isNew: boolean;
  readonly vars: [string, string][];
}

/** Parses the environment of a job. */
export function parseEnvironment(value: string): ParsedEnvironment {
  if (!isNewSyntax(value)) {
    const entries = value.split(';').filter((e) => e.trim() !== '');
    return { text: value, isNew: false, vars: entries.map(parseVariable) };
  }
  const text = unquote(value);
  return { text, isNew: true, vars: parseNewSyntaxVariables(text) };
}

/** Parses the variables of an environment in the new syntax, given without its outer quotes. */
export const parseNewSyntaxVariables = (text: string): [string, string][] =>
  splitWords(text).map(parseVariable);

/** Formats variables in the new syntax, without outer quotes. */
export const joinVariables = (vars: readonly [string, string][]): string =>
  joinWords(vars.map(([name, value]) => `${name}=${value}`));

function parseVariable(entry: string): [string, string] {
  const separator = entry.indexOf('=');
  const name = entry.slice(0, Math.max(separator, 0)).trim();
  if (!/^[A-Za-z_]\w*$/.test(name)) throw new QuotingError(`${entry}: expected NAME=VALUE`);
  return [name, entry.slice(separator + 1)];
}
