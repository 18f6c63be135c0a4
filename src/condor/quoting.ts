/** Arguments and environments, in the old and the new syntax of HTCondor's manual. */
import { QuotingError } from './errors.js';

const isNewSyntax = (text: string): boolean => text.startsWith('"');

/** The text between the outer double quotes of the new syntax, in which `""` stands for a double quote. */
function unquote(text: string): string {
  if (text.length < 2 || !text.endsWith('"')) throw new QuotingError('a double quote is not closed');
  const inside = text.slice(1, -1);
  if (/"/.test(inside.replaceAll('""', '')))
    throw new QuotingError('a double quote inside double quotes must be doubled');
  return inside.replaceAll('""', '"');
}

/** The words of the new syntax: white space separates them, single quotes group, `''` between them is a single quote. */
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

/** Parsed arguments of a command. */
export interface ParsedArguments {
  /** As the job's record has them: in `Args` in the old syntax, in `Arguments` in the new one. */
  readonly text: string;
  /** Whether they are in the new syntax. */
  readonly isNew: boolean;
  readonly argv: string[];
}

/** Parses the arguments of a command. */
export function parseArguments(value: string): ParsedArguments {
  if (isNewSyntax(value)) {
    const text = unquote(value);
    return { text, isNew: true, argv: splitWords(text) };
  }
  if (/(^|[^\\])"/.test(value))
    throw new QuotingError(
      'a double quote in the old syntax must be written \\" (or the whole in double quotes)',
    );
  const text = value.replaceAll('\\"', '"');
  return { text, isNew: false, argv: text.split(/\s+/).filter((word) => word !== '') };
}

/** A parsed environment of a command. */
export interface ParsedEnvironment {
  /** As the job's record has it. */
  readonly text: string;
  /** Whether it is in the new syntax. */
  readonly isNew: boolean;
  readonly vars: [string, string][];
}

/** Parses the environment of a command. */
export function parseEnvironment(value: string): ParsedEnvironment {
  if (!isNewSyntax(value)) {
    const entries = value.split(';').filter((e) => e.trim() !== '');
    return { text: value, isNew: false, vars: entries.map(parseVariable) };
  }
  const text = unquote(value);
  return { text, isNew: true, vars: parseNewSyntaxVariables(text) };
}

/** The variables of an environment in the new syntax, without its outer quotes. */
export const parseNewSyntaxVariables = (text: string): [string, string][] =>
  splitWords(text).map(parseVariable);

/** Variables in the new syntax, without outer quotes. */
export const joinVariables = (vars: readonly [string, string][]): string =>
  joinWords(vars.map(([name, value]) => `${name}=${value}`));

function parseVariable(entry: string): [string, string] {
  const separator = entry.indexOf('=');
  const name = entry.slice(0, Math.max(separator, 0)).trim();
  if (!/^[A-Za-z_]\w*$/.test(name)) throw new QuotingError(`${entry}: expected NAME=VALUE`);
  return [name, entry.slice(separator + 1)];
}
