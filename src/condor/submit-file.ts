import { dirname, relative, resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, Warnings, type Place } from './errors.js';
import { Lines } from './lines.js';
import { closing, Macros } from './macros.js';
import type { Outside } from './submit-environment.js';
import { parseQueue, type Queued } from './queue.js';

/** Jobs of one queue statement: what was set when it was reached, and its rows. */
export interface Block {
  macros: Macros;
  queued: Queued;
  at: Place;
}

const cluster = '1';
const mostIncludes = 20;
/** What it is compared with in `if version`. */
const version = [24, 0, 0];

/** Reads a submit file, statement by statement, as far as its queue statements. */
export class SubmitFile {
  readonly blocks: Block[] = [];
  readonly warnings = new Warnings();
  readonly macros: Macros;
  private readonly folder: string;
  private includes = 0;

  constructor(
    text: string,
    readonly file: string,
    private readonly outside: Outside,
  ) {
    const path = resolve(outside.cwd, file);
    this.folder = dirname(path);
    const day = new Date(outside.nowS * 1000);
    const two = (n: number): string => String(n).padStart(2, '0');
    this.macros = new Macros(
      outside,
      this.warnings,
      new Map([
        ['cluster', cluster],
        ['clusterid', cluster],
        ['process', '0'],
        ['procid', '0'],
        ['step', '0'],
        ['row', '0'],
        ['itemindex', '0'],
        ['node', '#pArAlLeLnOdE#'],
        ['item', ''],
        ['submit_file', path],
        ['submit_time', String(Math.floor(outside.nowS))],
        ['year', String(day.getFullYear())],
        ['month', two(day.getMonth() + 1)],
        ['day', two(day.getDate())],
        ['opsys', 'LINUX'],
        ['arch', 'X86_64'],
      ]),
    );
    this.read(new Lines(text, file));
    if (this.blocks.length === 0)
      throw new SubmitError({ file, line: 1 }, 'no queue statement: nothing to do');
  }

  private read(lines: Lines): void {
    /** One for each `if` that is open: whether this part counts, and whether one before it did. */
    const open: { counts: boolean; taken: boolean; outer: boolean; closed: boolean; at: Place }[] = [];
    const live = (): boolean => open.every((o) => o.counts);
    for (let line = lines.statement(); line; line = lines.statement()) {
      const { text, at } = line;
      const word = /^(if|elif|else|endif)\b\s*(?!\s*=)(.*)$/is.exec(text);
      if (word) {
        const [, kind, condition] = word;
        const last = open.at(-1);
        if (kind.toLowerCase() === 'if') {
          const outer = live();
          const counts = outer && this.condition(condition, at);
          open.push({ counts, taken: counts, outer, closed: false, at });
        } else if (!last) throw new SubmitError(at, `${kind}: without if`);
        else if (kind.toLowerCase() === 'endif') open.pop();
        else {
          if (last.closed) throw new SubmitError(at, `${kind}: after else`);
          last.closed = kind.toLowerCase() === 'else';
          last.counts = last.outer && !last.taken && (last.closed || this.condition(condition, at));
          last.taken ||= last.counts;
        }
        continue;
      }
      this.statement(text, at, lines, live());
    }
    const left = open.at(-1);
    if (left) throw new SubmitError(left.at, 'if: without endif');
  }

  /** `counts` false: it stands in a part that is left out, and is only read over. */
  private statement(text: string, at: Place, lines: Lines, counts: boolean): void {
    const queue = /^queue\b(?!\s*=)\s*(.*)$/is.exec(text);
    if (queue) return this.queue(queue[1], at, lines, counts);
    const multi = /^([+]?[A-Za-z_][\w.]*)\s*@=\s*(\w+)\s*$/.exec(text);
    if (multi) {
      const value = lines.until(
        (l) => l.trim() === `@${multi[2]}`,
        at,
        `${multi[1]}: @${multi[2]} is missing`,
      );
      if (counts) this.assign(multi[1], value, at);
      return;
    }
    if (!counts) return;
    const include = /^include\b\s*(\w*)\s*:\s*(.+)$/i.exec(text);
    if (include) return this.include(include[1].toLowerCase(), include[2], at);
    const told = /^(error|warning)\s*:\s*(.*)$/i.exec(text);
    if (told?.[1].toLowerCase() === 'error') throw new SubmitError(at, this.macros.expand(told[2], at));
    if (told) return this.warnings.add(at, this.macros.expand(told[2], at));
    if (/^use\s+\w+\s*:/i.test(text)) throw new SubmitError(at, 'use: templates are not supported');
    const set = /^(\+?[A-Za-z_][\w.]*)\s*=(?!=)\s*(.*)$/s.exec(text);
    if (!set) throw new SubmitError(at, `${text.slice(0, 60)}: expected NAME = value, or queue`);
    this.assign(set[1], set[2].trim(), at);
  }

  /** Attributes of one's own are kept as `My.NAME`, however they were written. */
  private assign(name: string, value: string, at: Place): void {
    this.macros.assign(name.startsWith('+') ? `My.${name.slice(1)}` : name, value, at);
  }

  private queue(rest: string, at: Place, lines: Lines, counts: boolean): void {
    // What is in brackets may go on over lines; it is a table after `from`.
    const open = /^(.*?(?:^|\s)(?:in|from|matching)\b[^(]*)\((.*)$/is.exec(rest);
    let inline: string | null = null;
    let head = rest;
    if (open) {
      head = open[1];
      inline = this.bracket(open[2], /\bfrom\b[^(]*$/i.test(head), lines, at);
    }
    if (!counts) return;
    const macros = this.macros.snapshot();
    const queued = parseQueue(this.macros.expand(head, at), inline, at, this.outside);
    for (const u of this.macros.used) macros.used.add(u);
    this.blocks.push({ macros, queued, at });
  }

  /** What stands in the brackets of a queue statement. A table's rows may have brackets of their own: a line alone ends it. */
  private bracket(first: string, table: boolean, lines: Lines, at: Place): string {
    const unclosed = 'queue: bracket not closed';
    const end = table ? (/^.*\)\s*$/.test(first) ? first.lastIndexOf(')') : -1) : closing(first, 0);
    if (end >= 0) return first.slice(0, end);
    if (table) return `${first}\n${lines.until((l) => l.trim() === ')', at, unclosed)}`;
    let text = first;
    let last = '';
    const more = lines.until(
      (l) => {
        last = l;
        text += `\n${l}`;
        return closing(text, 0) >= 0;
      },
      at,
      unclosed,
    );
    const all = `${first}\n${more}\n${last}`;
    return all.slice(0, closing(all, 0));
  }

  private include(kind: string, what: string, at: Place): void {
    if (kind === 'command' || what.trim().endsWith('|'))
      throw new SubmitError(at, 'include: the output of a program is not supported');
    const name = this.macros.expand(what.trim(), at);
    const path = resolve(this.folder, name);
    const way = relative(this.folder, path);
    if (way.startsWith('..') || way === '')
      throw new SubmitError(at, `include: ${name}: not below the submit file's folder`);
    if (++this.includes > mostIncludes)
      throw new SubmitError(at, `include: more than ${mostIncludes} files (does one include itself?)`);
    const text = this.outside.read(path);
    if (text === null) {
      if (kind === 'ifexist') return;
      throw new SubmitError(at, `include: ${name}: cannot be read`);
    }
    this.read(new Lines(text, name));
  }

  private condition(raw: string, at: Place): boolean {
    const text = this.macros.expand(raw, at).trim();
    const not = /^!\s*(.*)$/s.exec(text);
    if (not) return !this.condition(not[1], at);
    const defined = /^defined\s+(\S+)$/i.exec(text);
    if (defined) {
      this.macros.used.add(defined[1].toLowerCase());
      return this.macros.get(defined[1].replace(/^\+/, 'My.')) !== undefined;
    }
    if (/^defined\s*$/i.test(text)) return false;
    const v = /^version\s*(<=|>=|==|!=|<|>)\s*(\d+(?:\.\d+){0,2})$/i.exec(text);
    if (v) return versionHolds(v[1], v[2].split('.').map(Number));
    try {
      const value = evaluate(parseExpr(text), new Ad());
      if (typeof value === 'boolean') return value;
      if (typeof value === 'bigint' || typeof value === 'number') return Number(value) !== 0;
    } catch (e) {
      if (!(e instanceof ClassAdError)) throw e;
    }
    if (/^(yes|t)$/i.test(text)) return true;
    if (/^(no|f)$/i.test(text)) return false;
    throw new SubmitError(at, `if ${raw}: neither true nor false`);
  }
}

function versionHolds(op: string, than: number[]): boolean {
  let order = 0;
  for (let i = 0; i < than.length && order === 0; i++) order = version[i] - than[i];
  const holds: Record<string, boolean> = {
    '<': order < 0,
    '<=': order <= 0,
    '==': order === 0,
    '!=': order !== 0,
    '>=': order >= 0,
    '>': order > 0,
  };
  return holds[op];
}
