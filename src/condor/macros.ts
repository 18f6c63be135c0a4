import { basename, dirname, extname, resolve } from 'node:path';
import { sprintf } from 'sprintf-js';
import { Ad, ClassAdError, evaluate, parseExpr, printValue, type Value } from '../classad/index.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

export interface Macro {
  name: string;
  value: string;
  position: SourcePosition;
}

/** Values that differ from job to job, by name in lower case. */
export type PerJobValues = ReadonlyMap<string, string>;

const noPerJobValues: PerJobValues = new Map();
const maxExpandedChars = 1024 * 1024;
const maxNesting = 50;
const namePattern = /^[A-Za-z_][\w.]*$/;

/** The names that a submit file has set, and the expansion of what refers to them. */
export class Macros {
  private macros = new Map<string, Macro>();
  /** Names that something referred to, in lower case. */
  readonly used = new Set<string>();
  /** Whether the last expansion took anything that differs from job to job. */
  dependsOnJob = false;

  constructor(
    private readonly environment: SubmitEnvironment,
    private readonly warnings: Warnings,
    private readonly predefined: ReadonlyMap<string, string>,
  ) {}

  /** As it is now: what is set later does not change it. */
  snapshot(): Macros {
    const copy = new Macros(this.environment, this.warnings, this.predefined);
    copy.macros = new Map(this.macros);
    for (const u of this.used) copy.used.add(u);
    return copy;
  }

  get(name: string): Macro | undefined {
    return this.macros.get(name.toLowerCase());
  }

  get all(): Iterable<Macro> {
    return this.macros.values();
  }

  /** A value that names itself means what the name meant before. */
  assign(name: string, value: string, position: SourcePosition): void {
    const key = name.toLowerCase();
    const previous = this.macros.get(key);
    const selfReference = new RegExp(`\\$\\(\\s*${key.replaceAll('.', '\\.')}\\s*(?::([^()]*))?\\)`, 'gi');
    const text = value.replace(selfReference, (_, fallback: string | undefined) => {
      if (previous) return previous.value;
      if (fallback !== undefined) return fallback;
      throw new SubmitError(position, `${name}: refers to itself, and had no value before`);
    });
    this.macros.set(key, { name, value: text, position });
  }

  expand(text: string, position: SourcePosition, perJob: PerJobValues = noPerJobValues): string {
    this.dependsOnJob = false;
    return text.includes('$') ? this.expandReferences(text, position, perJob, []) : text;
  }

  private expandReferences(
    text: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    let expanded = '';
    for (let i = 0; i < text.length;) {
      const dollar = text.indexOf('$', i);
      if (dollar < 0) return expanded + text.slice(i);
      expanded += text.slice(i, dollar);
      if (text.startsWith('$$(', dollar))
        throw new SubmitError(position, `$$(): substitution from the matched machine is not supported`);
      const open = /^\$([A-Za-z_]*)\(/.exec(text.slice(dollar, dollar + 40));
      if (!open) {
        expanded += '$';
        i = dollar + 1;
        continue;
      }
      const from = dollar + open[0].length;
      const to = closingBracket(text, from);
      if (to < 0) throw new SubmitError(position, `${text.slice(dollar, dollar + 20)}: bracket not closed`);
      const body = text.slice(from, to);
      const inner = body.includes('$') ? this.expandReferences(body, position, perJob, stack) : body;
      expanded +=
        open[1] === ''
          ? this.valueOf(inner, position, perJob, stack)
          : this.callFunction(open[1], inner, position, perJob, stack);
      if (expanded.length > maxExpandedChars)
        throw new SubmitError(position, `expands to more than ${maxExpandedChars} characters`);
      i = to + 1;
    }
    return expanded;
  }

  private valueOf(
    body: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    const colon = body.indexOf(':');
    const name = (colon < 0 ? body : body.slice(0, colon)).trim();
    if (!namePattern.test(name)) throw new SubmitError(position, `$(${body}): not a name`);
    const found = this.lookup(name, position, perJob, stack);
    if (found !== null) return found;
    if (colon >= 0) return body.slice(colon + 1);
    this.warnings.add(position, `$(${name}) has no value: taken as empty`);
    return '';
  }

  /** null: nobody has set it. */
  private lookup(
    name: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string | null {
    const key = name.toLowerCase();
    this.used.add(key);
    if (key === 'dollar') return '$';
    if (stack.includes(key))
      throw new SubmitError(position, `${[...stack, key].join(' -> ')}: refers to itself`);
    if (stack.length >= maxNesting)
      throw new SubmitError(position, `${name}: more than ${maxNesting} names deep`);
    const perJobValue = perJob.get(key);
    if (perJobValue !== undefined) {
      this.dependsOnJob = true;
      return perJobValue.includes('$')
        ? this.expandReferences(perJobValue, position, perJob, [...stack, key])
        : perJobValue;
    }
    const macro = this.macros.get(key);
    if (macro)
      return macro.value.includes('$')
        ? this.expandReferences(macro.value, macro.position, perJob, [...stack, key])
        : macro.value;
    return this.predefined.get(key) ?? null;
  }

  // ---- functions ----

  private callFunction(
    name: string,
    body: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    const fail = (what: string): never => {
      throw new SubmitError(position, `$${name}(${body}): ${what}`);
    };
    const args = body.split(',').map((a) => a.trim());
    /** An argument may name a macro, or stand for itself. */
    const resolveArgument = (a: string): string =>
      namePattern.test(a) ? (this.lookup(a, position, perJob, stack) ?? a) : a;
    const value = (a: string): Value => {
      try {
        return evaluate(parseExpr(resolveArgument(a)), new Ad());
      } catch (e) {
        if (e instanceof ClassAdError) return fail(e.message);
        throw e;
      }
    };
    const number = (a: string): number => {
      const v = value(a);
      if (typeof v !== 'bigint' && typeof v !== 'number') return fail('not a number');
      return Number(v);
    };
    const formatted = (format: string | undefined, n: number | string, kinds: RegExp): string => {
      if (format === undefined) return String(n);
      if (!kinds.test(format)) return fail(`${format}: not a format for it`);
      return sprintf(format, n);
    };
    switch (name.toUpperCase()) {
      case 'ENV': {
        const colon = body.indexOf(':');
        const key = (colon < 0 ? body : body.slice(0, colon)).trim();
        return (
          this.environment.env[key] ??
          (colon < 0 ? fail('not set in the environment') : body.slice(colon + 1))
        );
      }
      case 'INT':
        return formatted(args[1], Math.trunc(number(args[0])), /^[^%]*%[-+ 0]*\d*[dixXo][^%]*$/);
      case 'REAL':
        return formatted(args[1], number(args[0]), /^[^%]*%[-+ 0]*\d*(\.\d+)?[fFgGeE][^%]*$/);
      case 'STRING': {
        const v = value(args[0]);
        return formatted(args[1], typeof v === 'string' ? v : printValue(v), /^[^%]*%-?\d*(\.\d+)?s[^%]*$/);
      }
      case 'EVAL': {
        const v = value(args[0]);
        return typeof v === 'string' ? v : printValue(v);
      }
      case 'CHOICE': {
        const list =
          args.length === 2
            ? resolveArgument(args[1])
                .split(',')
                .map((a) => a.trim())
            : args.slice(1);
        const i = number(args[0]);
        return list[i] ?? fail(`there is no choice ${i} of ${list.length}`);
      }
      case 'SUBSTR': {
        const s = resolveArgument(args[0]);
        const start = number(args[1] ?? fail('a start is missing'));
        const from = start < 0 ? Math.max(0, s.length + start) : start;
        const length = args[2] === undefined ? s.length : number(args[2]);
        return length < 0 ? s.slice(from, length) : s.slice(from, from + length);
      }
      case 'RANDOM_CHOICE':
        this.dependsOnJob = true;
        return args[Math.floor(this.environment.random() * args.length)];
      case 'RANDOM_INTEGER': {
        this.dependsOnJob = true;
        const [min, max, step] = [
          number(args[0]),
          number(args[1] ?? fail('a limit is missing')),
          number(args[2] ?? '1'),
        ];
        if (max < min || step < 1) return fail('an empty range');
        return String(min + step * Math.floor((this.environment.random() * (max - min + step)) / step));
      }
      case 'BASENAME':
        return basename(resolveArgument(args[0]));
      case 'DIRNAME':
        return dirname(resolveArgument(args[0]));
    }
    if (/^F[abdfnpquwx]*$/i.test(name))
      return fileNameParts(name.slice(1).toLowerCase(), resolveArgument(args[0]), this.environment.cwd);
    return fail('no such function');
  }
}

/** Parts of a file's name: `p` path, `d` last folder, `n` name, `x` ending; `f` from the root; `q` in quotes. */
function fileNameParts(letters: string, file: string, cwd: string): string {
  const path = letters.includes('f') ? resolve(cwd, file) : file;
  const has = (l: string): boolean => letters.includes(l);
  const slash = path.lastIndexOf('/');
  const folder = slash < 0 ? '' : path.slice(0, slash + 1);
  const ending = extname(path);
  let result = '';
  if (has('p')) result += folder;
  else if (has('d')) result += folder === '' ? '' : `${basename(folder)}/`;
  if (has('b') && !has('n') && !has('x')) result = result.replace(/\/$/, '');
  if (has('n')) result += basename(path, ending);
  if (has('x')) result += has('b') && !has('n') ? ending.slice(1) : ending;
  if (!/[pdnx]/.test(letters)) result = path;
  if (has('w')) result = result.replaceAll('/', '\\');
  if (has('u')) result = result.replaceAll('\\', '/');
  if (has('q')) return has('a') ? `'${result}'` : `"${result}"`;
  return result;
}

/** The bracket that closes the one before `from`; -1: none. */
export function closingBracket(text: string, from: number): number {
  let depth = 1;
  for (let i = from; i < text.length; i++)
    if (text[i] === '(') depth++;
    else if (text[i] === ')' && --depth === 0) return i;
  return -1;
}
