import { dirname, relative, resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, Warnings, type SourcePosition } from './errors.js';
import { LineReader } from './lines.js';
import { closingBracket, Macros } from './macros.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { parseQueue, type QueueRequest } from './queue.js';

/** Jobs of one queue statement: what was set when it was reached, and its rows. */
export interface QueueBlock {
  macros: Macros;
  request: QueueRequest;
  position: SourcePosition;
}

const clusterId = '1';
const maxIncludes = 20;
/** What it is compared with in `if version`. */
const supportedVersion = [24, 0, 0];

/** Reads a submit file, statement by statement, as far as its queue statements. */
export class SubmitFile {
  readonly blocks: QueueBlock[] = [];
  readonly warnings = new Warnings();
  readonly macros: Macros;
  private readonly folder: string;
  private includes = 0;

  constructor(
    text: string,
    readonly file: string,
    private readonly environment: SubmitEnvironment,
  ) {
    const path = resolve(environment.cwd, file);
    this.folder = dirname(path);
    const day = new Date(environment.nowS * 1000);
    const two = (n: number): string => String(n).padStart(2, '0');
    this.macros = new Macros(
      environment,
      this.warnings,
      new Map([
        ['cluster', clusterId],
        ['clusterid', clusterId],
        ['process', '0'],
        ['procid', '0'],
        ['step', '0'],
        ['row', '0'],
        ['itemindex', '0'],
        ['node', '#pArAlLeLnOdE#'],
        ['item', ''],
        ['submit_file', path],
        ['submit_time', String(Math.floor(environment.nowS))],
        ['year', String(day.getFullYear())],
        ['month', two(day.getMonth() + 1)],
        ['day', two(day.getDate())],
        ['opsys', 'LINUX'],
        ['arch', 'X86_64'],
      ]),
    );
    this.read(new LineReader(text, file));
    if (this.blocks.length === 0)
      throw new SubmitError({ file, line: 1 }, 'no queue statement: nothing to do');
  }

  private read(lines: LineReader): void {
    /** One for each `if` that is open: whether this part counts, and whether one before it did. */
    const conditionals: {
      counts: boolean;
      taken: boolean;
      outer: boolean;
      closed: boolean;
      at: SourcePosition;
    }[] = [];
    const isActive = (): boolean => conditionals.every((o) => o.counts);
    for (let line = lines.nextStatement(); line; line = lines.nextStatement()) {
      const { text, position: at } = line;
      const word = /^(if|elif|else|endif)\b\s*(?!\s*=)(.*)$/is.exec(text);
      if (word) {
        const [, kind, condition] = word;
        const last = conditionals.at(-1);
        if (kind.toLowerCase() === 'if') {
          const outer = isActive();
          const active = outer && this.evaluateCondition(condition, at);
          conditionals.push({ counts: active, taken: active, outer, closed: false, at });
        } else if (!last) throw new SubmitError(at, `${kind}: without if`);
        else if (kind.toLowerCase() === 'endif') conditionals.pop();
        else {
          if (last.closed) throw new SubmitError(at, `${kind}: after else`);
          last.closed = kind.toLowerCase() === 'else';
          last.counts = last.outer && !last.taken && (last.closed || this.evaluateCondition(condition, at));
          last.taken ||= last.counts;
        }
        continue;
      }
      this.statement(text, at, lines, isActive());
    }
    const unclosed = conditionals.at(-1);
    if (unclosed) throw new SubmitError(unclosed.at, 'if: without endif');
  }

  /** `counts` false: it stands in a part that is left out, and is only read over. */
  private statement(text: string, position: SourcePosition, lines: LineReader, active: boolean): void {
    const queue = /^queue\b(?!\s*=)\s*(.*)$/is.exec(text);
    if (queue) return this.queue(queue[1], position, lines, active);
    const multi = /^([+]?[A-Za-z_][\w.]*)\s*@=\s*(\w+)\s*$/.exec(text);
    if (multi) {
      const value = lines.readUntil(
        (l) => l.trim() === `@${multi[2]}`,
        position,
        `${multi[1]}: @${multi[2]} is missing`,
      );
      if (active) this.assign(multi[1], value, position);
      return;
    }
    if (!active) return;
    const include = /^include\b\s*(\w*)\s*:\s*(.+)$/i.exec(text);
    if (include) return this.include(include[1].toLowerCase(), include[2], position);
    const message = /^(error|warning)\s*:\s*(.*)$/i.exec(text);
    if (message?.[1].toLowerCase() === 'error')
      throw new SubmitError(position, this.macros.expand(message[2], position));
    if (message) return this.warnings.add(position, this.macros.expand(message[2], position));
    if (/^use\s+\w+\s*:/i.test(text)) throw new SubmitError(position, 'use: templates are not supported');
    const set = /^(\+?[A-Za-z_][\w.]*)\s*=(?!=)\s*(.*)$/s.exec(text);
    if (!set) throw new SubmitError(position, `${text.slice(0, 60)}: expected NAME = value, or queue`);
    this.assign(set[1], set[2].trim(), position);
  }

  /** Attributes of one's own are kept as `My.NAME`, however they were written. */
  private assign(name: string, value: string, position: SourcePosition): void {
    this.macros.assign(name.startsWith('+') ? `My.${name.slice(1)}` : name, value, position);
  }

  private queue(rest: string, position: SourcePosition, lines: LineReader, active: boolean): void {
    // What is in brackets may go on over lines; it is a table after `from`.
    const open = /^(.*?(?:^|\s)(?:in|from|matching)\b[^(]*)\((.*)$/is.exec(rest);
    let inline: string | null = null;
    let head = rest;
    if (open) {
      head = open[1];
      inline = this.readBracket(open[2], /\bfrom\b[^(]*$/i.test(head), lines, position);
    }
    if (!active) return;
    const macros = this.macros.snapshot();
    const queued = parseQueue(this.macros.expand(head, position), inline, position, this.environment);
    for (const u of this.macros.used) macros.used.add(u);
    this.blocks.push({ macros, request: queued, position });
  }

  /** What stands in the brackets of a queue statement. A table's rows may have brackets of their own: a line alone ends it. */
  private readBracket(first: string, table: boolean, lines: LineReader, position: SourcePosition): string {
    const unclosed = 'queue: bracket not closed';
    const end = table ? (/^.*\)\s*$/.test(first) ? first.lastIndexOf(')') : -1) : closingBracket(first, 0);
    if (end >= 0) return first.slice(0, end);
    if (table) return `${first}\n${lines.readUntil((l) => l.trim() === ')', position, unclosed)}`;
    let text = first;
    let last = '';
    const more = lines.readUntil(
      (l) => {
        last = l;
        text += `\n${l}`;
        return closingBracket(text, 0) >= 0;
      },
      position,
      unclosed,
    );
    const all = `${first}\n${more}\n${last}`;
    return all.slice(0, closingBracket(all, 0));
  }

  private include(kind: string, target: string, position: SourcePosition): void {
    if (kind === 'command' || target.trim().endsWith('|'))
      throw new SubmitError(position, 'include: the output of a program is not supported');
    const name = this.macros.expand(target.trim(), position);
    const path = resolve(this.folder, name);
    const fromFolder = relative(this.folder, path);
    if (fromFolder.startsWith('..') || fromFolder === '')
      throw new SubmitError(position, `include: ${name}: not below the submit file's folder`);
    if (++this.includes > maxIncludes)
      throw new SubmitError(position, `include: more than ${maxIncludes} files (does one include itself?)`);
    const text = this.environment.read(path);
    if (text === null) {
      if (kind === 'ifexist') return;
      throw new SubmitError(position, `include: ${name}: cannot be read`);
    }
    this.read(new LineReader(text, name));
  }

  private evaluateCondition(raw: string, position: SourcePosition): boolean {
    const text = this.macros.expand(raw, position).trim();
    const not = /^!\s*(.*)$/s.exec(text);
    if (not) return !this.evaluateCondition(not[1], position);
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
    throw new SubmitError(position, `if ${raw}: neither true nor false`);
  }
}

function versionHolds(op: string, requested: number[]): boolean {
  let order = 0;
  for (let i = 0; i < requested.length && order === 0; i++) order = supportedVersion[i] - requested[i];
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
