/** Reader of S-expression settings: forms of a name and values, with errors that name the origin and the line. */
import { createRequire } from 'node:module';
import { SettingsError } from './settings.js';

interface RawNode {
  type: string;
  content: string | RawNode[];
  location?: { start: { line: number } };
}

/** One setting: (NAME VALUE ...), a value being an atom, a string or a setting of its own. */
export interface Form {
  name: string;
  line: number;
  values: (string | Form)[];
}

/** Reads `(HEAD (NAME VALUE ...) ...)`. Errors name the origin and the line. */
export function readForms(text: string, origin: string, head: string): Form[] {
  const load = createRequire(import.meta.url);
  const { parse } = load('sexpr-plus') as { parse: (text: string) => RawNode[] };
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
  return items.slice(1).map((i) => readForm(i, origin));
}

function readForm(raw: RawNode, origin: string): Form {
  const line = raw.location?.start.line ?? 0;
  const [name, ...rest] = Array.isArray(raw.content) ? raw.content : [];
  if (raw.type !== 'list' || typeof name?.content !== 'string' || rest.length === 0)
    throw new SettingsError(`${origin}: line ${line}: expected (NAME VALUE)`);
  const values = rest.map((r) => (typeof r.content === 'string' ? r.content : readForm(r, origin)));
  return { name: name.content, line, values };
}

/** Reads the values of forms, with errors that name what is wrong where. */
export class FormReader {
  constructor(private readonly origin: string) {}

  /** Throws an error that names origin, line and setting. */
  fail(f: Form, why: string): never {
    throw new SettingsError(`${this.origin}: line ${f.line}: ${f.name}: ${why}`);
  }

  /** The one value of a form, as text. */
  text(f: Form): string {
    const [value] = f.values;
    if (f.values.length !== 1 || typeof value !== 'string' || value === '')
      this.fail(f, 'must be one word or text');
    return value;
  }

  /** The one value of a form, as a number. */
  number(f: Form, min = 0): number {
    const value = Number(this.text(f));
    if (!Number.isFinite(value) || value < min) this.fail(f, `must be a number of at least ${min}`);
    return value;
  }

  /** All values of a form, as texts. */
  texts(f: Form): string[] {
    return f.values.map((v) =>
      typeof v === 'string' && v !== '' ? v : this.fail(f, 'must be words or texts'),
    );
  }

  /** HOST:PORT, the host as an IPv4 address. */
  address(f: Form): { host: string; port: number } {
    const m = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(this.text(f));
    if (!m || Number(m[2]) > 65535) this.fail(f, 'must be IPv4:port');
    return { host: m[1], port: Number(m[2]) };
  }
}
