/** ParsedArguments and environments, in both syntaxes of the manual. Problems are thrown as text. */

const isNewSyntax = (text: string): boolean => text.startsWith('"');

/** What stands between the double quotes of the new syntax, with `""` for one of them. */
function unquote(text: string): string {
  if (text.length < 2 || !text.endsWith('"')) throw new Error('a double quote is not closed');
  const inside = text.slice(1, -1);
  if (/"/.test(inside.replaceAll('""', '')))
    throw new Error('a double quote inside double quotes must be doubled');
  return inside.replaceAll('""', '"');
}

/** Words of the new syntax: spaces part them, single quotes keep them together, and `''` in them is one. */
export function splitWords(text: string): string[] {
  const words: string[] = [];
  let word: string | null = null;
  for (let i = 0; i < text.length; i++) {
    const c = text[i];
    if (/\s/.test(c)) {
      if (word !== null) words.push(word);
      word = null;
    } else if (c === "'") {
      word ??= '';
      for (i++; ; i++) {
        if (i >= text.length) throw new Error('a single quote is not closed');
        if (text[i] !== "'") word += text[i];
        else if (text[i + 1] === "'") word += text[i++];
        else break;
      }
    } else word = (word ?? '') + c;
  }
  if (word !== null) words.push(word);
  return words;
}

const joinWords = (words: readonly string[]): string =>
  words.map((w) => (w === '' || /[\s']/.test(w) ? `'${w.replaceAll("'", "''")}'` : w)).join(' ');

export interface ParsedArguments {
  /** As it goes into the job's record: `Args` in the old syntax, `ParsedArguments` in the new one. */
  text: string;
  isNew: boolean;
  argv: string[];
}

export function parseArguments(value: string): ParsedArguments {
  if (isNewSyntax(value)) {
    const text = unquote(value);
    return { text, isNew: true, argv: splitWords(text) };
  }
  if (/(^|[^\\])"/.test(value))
    throw new Error('a double quote in the old syntax must be written \\" (or the whole in double quotes)');
  const text = value.replaceAll('\\"', '"');
  return { text, isNew: false, argv: text.split(/\s+/).filter((w) => w !== '') };
}

export interface ParsedEnvironment {
  text: string;
  isNew: boolean;
  vars: [string, string][];
}

export function parseEnvironment(value: string): ParsedEnvironment {
  if (!isNewSyntax(value)) {
    const entries = value.split(';').filter((e) => e.trim() !== '');
    return { text: value, isNew: false, vars: entries.map(parseVariable) };
  }
  const text = unquote(value);
  return { text, isNew: true, vars: parseNewSyntaxVariables(text) };
}

/** Of the new syntax, without its outer quotes. */
export const parseNewSyntaxVariables = (text: string): [string, string][] =>
  splitWords(text).map(parseVariable);

export const joinVariables = (vars: readonly [string, string][]): string =>
  joinWords(vars.map(([n, v]) => `${n}=${v}`));

function parseVariable(entry: string): [string, string] {
  const separator = entry.indexOf('=');
  const name = entry.slice(0, Math.max(separator, 0)).trim();
  if (!/^[A-Za-z_]\w*$/.test(name)) throw new Error(`${entry}: expected NAME=VALUE`);
  return [name, entry.slice(separator + 1)];
}
