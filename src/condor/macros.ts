import { basename, dirname, extname, resolve } from 'node:path';
import { sprintf } from 'sprintf-js';
import { Ad, ClassAdError, evaluate, parseExpr, printValue, type Value } from '../classad/index.js';
import { SubmitError, type Place, type Warnings } from './errors.js';
import type { Outside } from './submit-environment.js';

export interface Macro {
  name: string;
  value: string;
  at: Place;
}

/** Values that differ from job to job, by name in lower case. */
export type PerJob = ReadonlyMap<string, string>;

const none: PerJob = new Map();
const mostChars = 1024 * 1024;
const mostDeep = 50;
const nameForm = /^[A-Za-z_][\w.]*$/;

/** The names that a submit file has set, and the expansion of what refers to them. */
export class Macros {
  private set = new Map<string, Macro>();
  /** Names that something referred to, in lower case. */
  readonly used = new Set<string>();
  /** Whether the last expansion took anything that differs from job to job. */
  varied = false;

  constructor(
    private readonly outside: Outside,
    private readonly warnings: Warnings,
    private readonly fixed: ReadonlyMap<string, string>,
  ) {}

  /** As it is now: what is set later does not change it. */
  snapshot(): Macros {
    const copy = new Macros(this.outside, this.warnings, this.fixed);
    copy.set = new Map(this.set);
    for (const u of this.used) copy.used.add(u);
    return copy;
  }

  get(name: string): Macro | undefined {
    return this.set.get(name.toLowerCase());
  }

  get all(): Iterable<Macro> {
    return this.set.values();
  }

  /** A value that names itself means what the name meant before. */
  assign(name: string, value: string, at: Place): void {
    const key = name.toLowerCase();
    const before = this.set.get(key);
    const own = new RegExp(`\\$\\(\\s*${key.replaceAll('.', '\\.')}\\s*(?::([^()]*))?\\)`, 'gi');
    const text = value.replace(own, (_, fallback: string | undefined) => {
      if (before) return before.value;
      if (fallback !== undefined) return fallback;
      throw new SubmitError(at, `${name}: refers to itself, and had no value before`);
    });
    this.set.set(key, { name, value: text, at });
  }

  expand(text: string, at: Place, perJob: PerJob = none): string {
    this.varied = false;
    return text.includes('$') ? this.fill(text, at, perJob, []) : text;
  }

  private fill(text: string, at: Place, perJob: PerJob, stack: readonly string[]): string {
    let out = '';
    for (let i = 0; i < text.length;) {
      const dollar = text.indexOf('$', i);
      if (dollar < 0) return out + text.slice(i);
      out += text.slice(i, dollar);
      if (text.startsWith('$$(', dollar))
        throw new SubmitError(at, `$$(): substitution from the matched machine is not supported`);
      const open = /^\$([A-Za-z_]*)\(/.exec(text.slice(dollar, dollar + 40));
      if (!open) {
        out += '$';
        i = dollar + 1;
        continue;
      }
      const from = dollar + open[0].length;
      const to = closing(text, from);
      if (to < 0) throw new SubmitError(at, `${text.slice(dollar, dollar + 20)}: bracket not closed`);
      const body = text.slice(from, to);
      const inner = body.includes('$') ? this.fill(body, at, perJob, stack) : body;
      out +=
        open[1] === '' ? this.value(inner, at, perJob, stack) : this.call(open[1], inner, at, perJob, stack);
      if (out.length > mostChars) throw new SubmitError(at, `expands to more than ${mostChars} characters`);
      i = to + 1;
    }
    return out;
  }

  private value(body: string, at: Place, perJob: PerJob, stack: readonly string[]): string {
    const colon = body.indexOf(':');
    const name = (colon < 0 ? body : body.slice(0, colon)).trim();
    if (!nameForm.test(name)) throw new SubmitError(at, `$(${body}): not a name`);
    const found = this.lookup(name, at, perJob, stack);
    if (found !== null) return found;
    if (colon >= 0) return body.slice(colon + 1);
    this.warnings.add(at, `$(${name}) has no value: taken as empty`);
    return '';
  }

  /** null: nobody has set it. */
  private lookup(name: string, at: Place, perJob: PerJob, stack: readonly string[]): string | null {
    const key = name.toLowerCase();
    this.used.add(key);
    if (key === 'dollar') return '$';
    if (stack.includes(key)) throw new SubmitError(at, `${[...stack, key].join(' -> ')}: refers to itself`);
    if (stack.length >= mostDeep) throw new SubmitError(at, `${name}: more than ${mostDeep} names deep`);
    const own = perJob.get(key);
    if (own !== undefined) {
      this.varied = true;
      return own.includes('$') ? this.fill(own, at, perJob, [...stack, key]) : own;
    }
    const m = this.set.get(key);
    if (m) return m.value.includes('$') ? this.fill(m.value, m.at, perJob, [...stack, key]) : m.value;
    return this.fixed.get(key) ?? null;
  }

  // ---- functions ----

  private call(name: string, body: string, at: Place, perJob: PerJob, stack: readonly string[]): string {
    const fail = (what: string): never => {
      throw new SubmitError(at, `$${name}(${body}): ${what}`);
    };
    const args = body.split(',').map((a) => a.trim());
    /** An argument may name a macro, or stand for itself. */
    const meant = (a: string): string => (nameForm.test(a) ? (this.lookup(a, at, perJob, stack) ?? a) : a);
    const value = (a: string): Value => {
      try {
        return evaluate(parseExpr(meant(a)), new Ad());
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
          this.outside.env[key] ?? (colon < 0 ? fail('not set in the environment') : body.slice(colon + 1))
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
            ? meant(args[1])
                .split(',')
                .map((a) => a.trim())
            : args.slice(1);
        const i = number(args[0]);
        return list[i] ?? fail(`there is no choice ${i} of ${list.length}`);
      }
      case 'SUBSTR': {
        const s = meant(args[0]);
        const start = number(args[1] ?? fail('a start is missing'));
        const from = start < 0 ? Math.max(0, s.length + start) : start;
        const length = args[2] === undefined ? s.length : number(args[2]);
        return length < 0 ? s.slice(from, length) : s.slice(from, from + length);
      }
      case 'RANDOM_CHOICE':
        this.varied = true;
        return args[Math.floor(this.outside.random() * args.length)];
      case 'RANDOM_INTEGER': {
        this.varied = true;
        const [least, most, step] = [
          number(args[0]),
          number(args[1] ?? fail('a limit is missing')),
          number(args[2] ?? '1'),
        ];
        if (most < least || step < 1) return fail('an empty range');
        return String(least + step * Math.floor((this.outside.random() * (most - least + step)) / step));
      }
      case 'BASENAME':
        return basename(meant(args[0]));
      case 'DIRNAME':
        return dirname(meant(args[0]));
    }
    if (/^F[abdfnpquwx]*$/i.test(name))
      return parts(name.slice(1).toLowerCase(), meant(args[0]), this.outside.cwd);
    return fail('no such function');
  }
}

/** Parts of a file's name: `p` path, `d` last folder, `n` name, `x` ending; `f` from the root; `q` in quotes. */
function parts(letters: string, file: string, cwd: string): string {
  const path = letters.includes('f') ? resolve(cwd, file) : file;
  const has = (l: string): boolean => letters.includes(l);
  const slash = path.lastIndexOf('/');
  const folder = slash < 0 ? '' : path.slice(0, slash + 1);
  const ending = extname(path);
  let out = '';
  if (has('p')) out += folder;
  else if (has('d')) out += folder === '' ? '' : `${basename(folder)}/`;
  if (has('b') && !has('n') && !has('x')) out = out.replace(/\/$/, '');
  if (has('n')) out += basename(path, ending);
  if (has('x')) out += has('b') && !has('n') ? ending.slice(1) : ending;
  if (!/[pdnx]/.test(letters)) out = path;
  if (has('w')) out = out.replaceAll('/', '\\');
  if (has('u')) out = out.replaceAll('\\', '/');
  if (has('q')) return has('a') ? `'${out}'` : `"${out}"`;
  return out;
}

/** The bracket that closes the one before `from`; -1: none. */
export function closing(text: string, from: number): number {
  let depth = 1;
  for (let i = from; i < text.length; i++)
    if (text[i] === '(') depth++;
    else if (text[i] === ')' && --depth === 0) return i;
  return -1;
}
