/** Reads a submit file: evaluates its assignments, conditionals and includes, and collects its queue statements. */
import { dirname, relative, resolve } from 'node:path';
import { ClassAd, ClassAdError, evaluate, parseExpr } from '../classad/index.js';
import { SubmitError, Warnings, type SourcePosition } from './errors.js';
import { LineReader } from './line-reader.js';
import { closingParenthesis, Macros } from './macros.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { parseQueue, type QueueRequest } from './queue-statement.js';

/** A queue statement, with the values of the macros at that point of the file. */
export interface QueueStatement {
  readonly macros: Macros;
  readonly request: QueueRequest;
  readonly position: SourcePosition;
}

/** Value of the cluster macros. The actual cluster number is not known before the submission. */
const clusterId = '1';
/** Maximum number of files that a submit file may include, directly or indirectly. */
const maxIncludes = 20;
/** The version of HTCondor that `if version` conditions are compared with. */
const supportedVersion = [24, 0, 0];

/** An `if` that is not closed by its `endif` yet. */
interface Conditional {
  /** Whether the current branch and all enclosing branches are taken. */
  active: boolean;
  /** Whether a branch has been taken already. */
  branchTaken: boolean;
  /** Whether all enclosing branches are taken. */
  readonly enclosingActive: boolean;
  /** Whether its `else` has been reached. */
  elseSeen: boolean;
  readonly position: SourcePosition;
}

/** A parsed submit file. The constructor evaluates all statements and collects the queue statements. */
export class SubmitFile {
  readonly queueStatements: QueueStatement[] = [];
  readonly warnings = new Warnings();
  readonly macros: Macros;
  private readonly directory: string;
  private includeCount = 0;

  constructor(
    text: string,
    readonly fileName: string,
    private readonly environment: SubmitEnvironment,
  ) {
    const path = resolve(environment.cwd, fileName);
    this.directory = dirname(path);
    const day = new Date(environment.nowS * 1000);
    const twoDigits = (n: number): string => String(n).padStart(2, '0');
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
        ['month', twoDigits(day.getMonth() + 1)],
        ['day', twoDigits(day.getDate())],
        ['opsys', 'LINUX'],
        ['arch', 'X86_64'],
      ]),
    );
    this.read(new LineReader(text, fileName));
    if (this.queueStatements.length === 0)
      throw new SubmitError({ file: fileName, line: 1 }, 'no queue statement: nothing to do');
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
          const enclosingActive = isActive();
          const active = enclosingActive && this.evaluateCondition(condition, position);
          conditionals.push({ active, branchTaken: active, enclosingActive, elseSeen: false, position });
        } else if (!last) throw new SubmitError(position, `${kind}: without if`);
        else if (kind.toLowerCase() === 'endif') conditionals.pop();
        else {
          if (last.elseSeen) throw new SubmitError(position, `${kind}: after else`);
          last.elseSeen = kind.toLowerCase() === 'else';
          last.active =
            last.enclosingActive &&
            !last.branchTaken &&
            (last.elseSeen || this.evaluateCondition(condition, position));
          last.branchTaken ||= last.active;
        }
        continue;
      }
      this.executeStatement(text, position, lines, isActive());
    }
    const unclosed = conditionals.at(-1);
    if (unclosed) throw new SubmitError(unclosed.position, 'if: without endif');
  }

  /** Executes a statement. In a branch that is not taken, only consumes its lines. */
  private executeStatement(text: string, position: SourcePosition, lines: LineReader, active: boolean): void {
    const queue = /^queue\b(?!\s*=)\s*(.*)$/is.exec(text);
    if (queue) return this.addQueueStatement(queue[1], position, lines, active);
    const multiLine = /^([+]?[A-Za-z_][\w.]*)\s*@=\s*(\w+)\s*$/.exec(text);
    if (multiLine) {
      const value = lines.readUntil(
        (l) => l.trim() === `@${multiLine[2]}`,
        position,
        `${multiLine[1]}: @${multiLine[2]} is missing`,
      );
      if (active) this.assign(multiLine[1], value, position);
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

  /** Sets a macro. Custom attributes, written as `+NAME` or `My.NAME`, are stored as `My.NAME`. */
  private assign(name: string, value: string, position: SourcePosition): void {
    this.macros.assign(name.startsWith('+') ? `My.${name.slice(1)}` : name, value, position);
  }

  private addQueueStatement(
    rest: string,
    position: SourcePosition,
    lines: LineReader,
    active: boolean,
  ): void {
    // The text in parentheses may span several lines; after `from` it is a table with one row per line.
    const open = /^(.*?(?:^|\s)(?:in|from|matching)\b[^(]*)\((.*)$/is.exec(rest);
    let inline: string | null = null;
    let head = rest;
    if (open) {
      head = open[1];
      inline = this.readParentheses(open[2], /\bfrom\b[^(]*$/i.test(head), lines, position);
    }
    if (!active) return;
    const macros = this.macros.snapshot();
    const queued = parseQueue(this.macros.expand(head, position), inline, position, this.environment);
    for (const name of this.macros.referencedNames) macros.referencedNames.add(name);
    this.queueStatements.push({ macros, request: queued, position });
  }

  /**
   * Reads the text in the parentheses of a queue statement; `head` is what follows the opening one on its line. Rows of a table
   * may contain parentheses, so a table ends only at a line that consists of a closing parenthesis.
   */
  private readParentheses(head: string, table: boolean, lines: LineReader, position: SourcePosition): string {
    const unclosed = 'queue: bracket not closed';
    const end = table ? (/^.*\)\s*$/.test(head) ? head.lastIndexOf(')') : -1) : closingParenthesis(head, 0);
    if (end >= 0) return head.slice(0, end);
    if (table) return `${head}\n${lines.readUntil((l) => l.trim() === ')', position, unclosed)}`;
    let text = head;
    let last = '';
    const more = lines.readUntil(
      (l) => {
        last = l;
        text += `\n${l}`;
        return closingParenthesis(text, 0) >= 0;
      },
      position,
      unclosed,
    );
    const all = `${head}\n${more}\n${last}`;
    return all.slice(0, closingParenthesis(all, 0));
  }

  private include(kind: string, target: string, position: SourcePosition): void {
    if (kind === 'command' || target.trim().endsWith('|'))
      throw new SubmitError(position, 'include: the output of a program is not supported');
    const name = this.macros.expand(target.trim(), position);
    const path = resolve(this.directory, name);
    const relativePath = relative(this.directory, path);
    if (relativePath.startsWith('..') || relativePath === '')
      throw new SubmitError(position, `include: ${name}: not below the submit file's directory`);
    if (++this.includeCount > maxIncludes)
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
      this.macros.referencedNames.add(defined[1].toLowerCase());
      return this.macros.get(defined[1].replace(/^\+/, 'My.')) !== undefined;
    }
    if (/^defined\s*$/i.test(text)) return false;
    const versionTest = /^version\s*(<=|>=|==|!=|<|>)\s*(\d+(?:\.\d+){0,2})$/i.exec(text);
    if (versionTest) return versionHolds(versionTest[1], versionTest[2].split('.').map(Number));
    try {
      const value = evaluate(parseExpr(text), new ClassAd());
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

/** Whether the supported version compares with the requested one as the operator demands. */
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
