/** Reads submit files: statements, conditionals, includes, and the queue statements. */
import { dirname, relative, resolve } from 'node:path';
import { Ad, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, Warnings, type SourcePosition } from './errors.js';
import { LineReader } from './lines.js';
import { closingBracket, Macros } from './macros.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { parseQueue, type QueueRequest } from './queue.js';

/** A queue statement, and the macros as they were set when it was reached. */
export interface QueueBlock {
  readonly macros: Macros;
  readonly request: QueueRequest;
  readonly position: SourcePosition;
}

/** The number of the cluster is not known before the submission. */
const clusterId = '1';
const maxIncludes = 20;
/** The version of HTCondor that `if version` conditions are compared with. */
const supportedVersion = [24, 0, 0];

/** An open `if` of a submit file. */
interface Conditional {
  /** Whether the current branch is taken, and with it all enclosing ones. */
  active: boolean;
  /** Whether a branch was taken already. */
  taken: boolean;
  /** Whether all enclosing branches are taken. */
  readonly outer: boolean;
  /** Whether its `else` was reached. */
  closed: boolean;
  readonly position: SourcePosition;
}

/** A submit file, read statement by statement up to its queue statements. */
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
    const conditionals: Conditional[] = [];
    const isActive = (): boolean => conditionals.every((conditional) => conditional.active);
    for (let line = lines.nextStatement(); line; line = lines.nextStatement()) {
      const { text, position } = line;
      const word = /^(if|elif|else|endif)\b\s*(?!\s*=)(.*)$/is.exec(text);
      if (word) {
        const [, kind, condition] = word;
        const last = conditionals.at(-1);
        if (kind.toLowerCase() === 'if') {
          const outer = isActive();
          const active = outer && this.evaluateCondition(condition, position);
          conditionals.push({ active, taken: active, outer, closed: false, position });
        } else if (!last) throw new SubmitError(position, `${kind}: without if`);
        else if (kind.toLowerCase() === 'endif') conditionals.pop();
        else {
          if (last.closed) throw new SubmitError(position, `${kind}: after else`);
          last.closed = kind.toLowerCase() === 'else';
          last.active =
            last.outer && !last.taken && (last.closed || this.evaluateCondition(condition, position));
          last.taken ||= last.active;
        }
        continue;
      }
      this.statement(text, position, lines, isActive());
    }
    const unclosed = conditionals.at(-1);
    if (unclosed) throw new SubmitError(unclosed.position, 'if: without endif');
  }

  /** Executes a statement, or only consumes its lines if it stands in a branch that is not taken. */
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

  /** Custom attributes are set as `My.NAME`, in whichever of their two forms they are written. */
  private assign(name: string, value: string, position: SourcePosition): void {
    this.macros.assign(name.startsWith('+') ? `My.${name.slice(1)}` : name, value, position);
  }

  private queue(rest: string, position: SourcePosition, lines: LineReader, active: boolean): void {
    // The text in parentheses may extend over several lines; after `from` it is a table.
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

  /** The text in the parentheses of a queue statement. Rows of a table may contain parentheses: a line with nothing else ends it. */
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
    const versionTest = /^version\s*(<=|>=|==|!=|<|>)\s*(\d+(?:\.\d+){0,2})$/i.exec(text);
    if (versionTest) return versionHolds(versionTest[1], versionTest[2].split('.').map(Number));
    try {
      const value = evaluate(parseExpr(text), new Ad());
      if (typeof value === 'boolean') return value;
      if (typeof value === 'bigint' || typeof value === 'number') return Number(value) !== 0;
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
    }
    if (/^(yes|t)$/i.test(text)) return true;
    if (/^(no|f)$/i.test(text)) return false;
    throw new SubmitError(position, `if ${raw}: neither true nor false`);
  }
}

/** Whether the supported version compares so with the requested one. */
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
