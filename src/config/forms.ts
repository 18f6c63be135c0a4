/** Parser of settings written as S-expressions. Its errors name the origin of the text and the line. */
import { createRequire } from 'node:module';
import { SettingsError } from './settings.js';

/** A node of the syntax tree that `sexpr-plus` returns. */
interface RawNode {
  type: string;
  content: string | RawNode[];
  location?: { start: { line: number } };
}

/** One setting, `(NAME VALUE ...)`. A value is an atom, a string or a nested setting. */
export interface Form {
  name: string;
  line: number;
  values: (string | Form)[];
}

/** Parses `(HEAD (NAME VALUE ...) ...)` and returns the settings; an empty text has none. Throws a `SettingsError`. */
export function readForms(text: string, origin: string, head: string): Form[] {
  const requireModule = createRequire(import.meta.url);
  const { parse } = requireModule('sexpr-plus') as { parse: (text: string) => RawNode[] };
  let raw: RawNode[];
  try {
    raw = parse(text);
  } catch (e) {
    throw new SettingsError(
      `${origin}: not a valid S-expression: ${String((e as Error).message).split('\n')[0]}`,
    );
  }
  if (raw.length === 0) return [];
  const top = raw[0];
  const items = Array.isArray(top.content) ? top.content : [];
  if (raw.length !== 1 || top.type !== 'list' || items[0]?.content !== head)
    throw new SettingsError(`${origin}: expected one form (${head} (NAME VALUE) ...)`);
  return items.slice(1).map((item) => readForm(item, origin));
}

function readForm(raw: RawNode, origin: string): Form {
  const line = raw.location?.start.line ?? 0;
  const [name, ...rest] = Array.isArray(raw.content) ? raw.content : [];
  if (raw.type !== 'list' || typeof name?.content !== 'string' || rest.length === 0)
    throw new SettingsError(`${origin}: line ${line}: expected (NAME VALUE)`);
  const values = rest.map((arg) => (typeof arg.content === 'string' ? arg.content : readForm(arg, origin)));
  return { name: name.content, line, values };
}

/** Converts and validates the values of settings. Its errors name the origin, the line and the setting. */
export class FormReader {
  constructor(private readonly origin: string) {}

  /** Throws a `SettingsError` that names the origin, the line, the setting and the reason. */
  fail(form: Form, reason: string): never {
    throw new SettingsError(`${this.origin}: line ${form.line}: ${form.name}: ${reason}`);
  }

  /** The only value of a setting, as text. */
  text(form: Form): string {
    const [value] = form.values;
    if (form.values.length !== 1 || typeof value !== 'string' || value === '')
      this.fail(form, 'must be a single atom or string');
    return value;
  }

  /** The only value of a setting, as a number of at least `min`. */
  number(form: Form, min = 0): number {
    const value = Number(this.text(form));
    if (!Number.isFinite(value) || value < min) this.fail(form, `must be a number of at least ${min}`);
    return value;
  }

  /** All values of a setting, as texts. */
  texts(form: Form): string[] {
    return form.values.map((value) =>
      typeof value === 'string' && value !== '' ? value : this.fail(form, 'must be atoms or strings'),
    );
  }

  /** The only value of a setting, an address `IPv4:port`. */
  address(form: Form): { host: string; port: number } {
    const match = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(this.text(form));
    if (!match || Number(match[2]) > 65535) this.fail(form, 'must be IPv4:port');
    return { host: match[1], port: Number(match[2]) };
  }
}
