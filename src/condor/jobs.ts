/** The jobs of a submit file as ClassAd records. */
import { Ad, literal, printExpr, type Attribute, type Expr } from '../classad/index.js';
import { parseExpression, type CommandContext } from './command-handlers.js';
import { aliases, ignoredCommands, unsupportedCommands } from './command-tables.js';
import { commands } from './commands.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import { addDefaultAttributes, addDerivedAttributes } from './job-attributes.js';
import type { JobGroup } from './native-submission.js';
import { SubmitFile, type QueueStatement } from './submit-file.js';

/** A command, or an attribute of the user's own, to be applied to each job of a queue statement. */
interface AttributeAssignment {
  /** The command's canonical name; `my` for a custom attribute. */
  readonly command: string;
  /** The name as the file has it. */
  readonly name: string;
  /** The value, not expanded. */
  readonly value: string;
  readonly position: SourcePosition;
}

/** What is applied to each job of a queue statement, in order. */
interface JobPlan {
  readonly commands: AttributeAssignment[];
  readonly custom: AttributeAssignment[];
}

const commandOrder = Object.keys(commands);
const canonicalName = (name: string): string => aliases[name] ?? name;

/** A submit file and its jobs, which are generated one by one because there may be many. */
export class Submission {
  readonly file: SubmitFile;
  private readonly environment: SubmitEnvironment;
  private readonly plansByStatement = new Map<QueueStatement, JobPlan>();

  constructor(text: string, name: string, outside: SubmitEnvironment) {
    this.environment = outside;
    this.file = new SubmitFile(text, name, outside);
  }

  /** The warnings so far; those about single jobs come while they are generated. */
  get warnings(): string[] {
    return this.file.warnings.all;
  }

  /** All jobs, one record each. */
  *jobs(): Generator<Ad> {
    let proc = 0;
    for (const statement of this.file.queueStatements) {
      const steps = this.planFor(statement);
      const constants = new Map<AttributeAssignment, Attribute[]>();
      const rows = statement.request.rows?.length ?? 1;
      if (statement.request.count === 0) this.file.warnings.add(statement.position, 'queue: 0 jobs');
      for (let row = 0; row < rows; row++)
        for (let step = 0; step < statement.request.count; step++) {
          const perJob = perJobValues(statement, row, String(proc), String(step));
          yield this.buildJob(statement, steps, constants, perJob, proc++);
        }
    }
    this.warnUnused();
  }

  /**
   * The jobs in groups whose jobs differ by their numbers only, so that ten thousand can be submitted as one. A group is found
   * by expanding its values with a mark in place of the number, and verified by comparing the result with every job; if they
   * differ otherwise, each job is a group of its own.
   */
  *groups(): Generator<JobGroup> {
    const jobs = this.jobs();
    let first = 0;
    for (const statement of this.file.queueStatements) {
      const rows = statement.request.rows?.length ?? 1;
      for (let row = 0; row < rows; row++) {
        const { count } = statement.request;
        const ads: Ad[] = [];
        for (let i = 0; i < count; i++) ads.push(jobs.next().value as Ad);
        const ad = count > 1 ? this.buildTemplateJob(statement, row) : null;
        const uniform = ad !== null && ads.every((a, i) => matchesTemplate(ad, a, first + i));
        if (uniform) yield { ad, first, count, numbered: true, position: statement.position };
        else
          for (const [i, a] of ads.entries())
            yield { ad: a, first: first + i, count: 1, numbered: false, position: statement.position };
        first += count;
      }
    }
    // Runs the generator to its end, where it adds warnings.
    jobs.next();
  }

  private buildTemplateJob(statement: QueueStatement, row: number): Ad | null {
    const perJob = perJobValues(statement, row, taskIndexPlaceholder, taskIndexPlaceholder);
    try {
      return this.buildJob(statement, this.planFor(statement), new Map(), perJob, 0);
    } catch (e) {
      // Some expression needs the number's value.
      if (e instanceof SubmitError) return null;
      throw e;
    }
  }

  /** The plan of a queue statement, made once. */
  private planFor(statement: QueueStatement): JobPlan {
    let known = this.plansByStatement.get(statement);
    if (!known) this.plansByStatement.set(statement, (known = this.buildPlan(statement)));
    return known;
  }

  private buildPlan(statement: QueueStatement): JobPlan {
    const steps: AttributeAssignment[] = [];
    const custom: AttributeAssignment[] = [];
    for (const { name, value, position } of statement.macros.all) {
      const key = name.toLowerCase();
      if (key.startsWith('my.')) {
        custom.push({ command: 'my', name: name.slice(3), value, position });
        continue;
      }
      if (unsupportedCommands[key] !== undefined)
        throw new SubmitError(position, `${name}: ${unsupportedCommands[key]}`);
      if (ignoredCommands[key] !== undefined) {
        this.file.warnings.add(position, `${name}: ${ignoredCommands[key]}`);
        continue;
      }
      const command = canonicalName(key);
      if (commands[command]) steps.push({ command, name, value, position });
      else if (key.includes('.')) throw new SubmitError(position, `${name}: not a submit command`);
    }
    steps.sort((a, b) => commandOrder.indexOf(a.command) - commandOrder.indexOf(b.command));
    if (!steps.some((s) => s.command === 'executable'))
      throw new SubmitError(statement.position, 'queue: no executable is set');
    return { commands: steps, custom };
  }

  private buildJob(
    statement: QueueStatement,
    { commands: steps, custom: own }: JobPlan,
    constants: Map<AttributeAssignment, Attribute[]>,
    perJob: ReadonlyMap<string, string>,
    proc: number,
  ): Ad {
    const ad = new Ad([
      { name: 'ClusterId', expr: literal(1n) },
      { name: 'ProcId', expr: literal(BigInt(proc)) },
    ]);
    const context: CommandContext = {
      ad,
      position: statement.position,
      environment: this.environment,
      warnings: this.file.warnings,
    };
    addDefaultAttributes(context);
    for (const s of [...steps, ...own]) {
      const done = constants.get(s);
      if (done) {
        for (const a of done) ad.set(a.name, a.expr);
        continue;
      }
      const value = statement.macros.expand(s.value, s.position, perJob).trim();
      const { dependsOnJob: varied } = statement.macros;
      context.position = s.position;
      if (value === '' && s.command !== 'executable' && s.command !== 'my') continue;
      // Attributes that do not depend on the job are computed once.
      const before = varied ? null : new Map([...ad].map((a) => [a.name, a.expr]));
      if (s.command === 'my') ad.set(s.name, parseExpression(value, context, s.name));
      else commands[s.command](value, context, s.name);
      if (before)
        constants.set(
          s,
          [...ad].filter((a) => before.get(a.name) !== a.expr),
        );
    }
    context.position = statement.position;
    addDerivedAttributes(context);
    return ad;
  }

  /** Warns about names that are set without effect: most likely they are misspelt. */
  private warnUnused(): void {
    const used = new Set(this.file.queueStatements.flatMap((b) => [...b.macros.referencedNames]));
    for (const { name, position } of this.file.macros.all) {
      const key = name.toLowerCase();
      if (
        commands[canonicalName(key)] ||
        ignoredCommands[key] !== undefined ||
        key.startsWith('my.') ||
        used.has(key)
      )
        continue;
      this.file.warnings.add(position, `${name}: not a submit command, and nothing refers to it`);
    }
    const last = Math.max(
      ...this.file.queueStatements
        .filter((b) => b.position.file === this.file.fileName)
        .map((b) => b.position.line),
      0,
    );
    for (const { name, position } of this.file.macros.all)
      if (position.file === this.file.fileName && position.line > last && last > 0)
        this.file.warnings.add(position, `${name}: after the last queue: not used`);
  }
}

/** The macros whose values differ from job to job. */
function perJobValues(
  statement: QueueStatement,
  row: number,
  proc: string,
  step: string,
): Map<string, string> {
  const perJob = new Map([
    ['process', proc],
    ['procid', proc],
    ['step', step],
    ['row', String(row)],
    ['itemindex', String(row)],
  ]);
  const { vars, rows } = statement.request;
  vars.forEach((v, i) => perJob.set(v.toLowerCase(), rows?.[row][i] ?? ''));
  return perJob;
}

/** Whether a job equals the numbered record with its number filled in. */
function matchesTemplate(numbered: Ad, job: Ad, proc: number): boolean {
  if (numbered.size !== job.size) return false;
  for (const { name, expr } of numbered) {
    const own = job.get(name);
    if (name === 'ProcId' || own === expr) continue;
    if (!own || printExpr(expr).replaceAll(taskIndexPlaceholder, String(proc)) !== printExpr(own))
      return false;
  }
  return true;
}

/** A record as JSON: values as they are, expressions as HTCondor's tools show them. */
export function adToJson(ad: Ad): Record<string, unknown> {
  const out: Record<string, unknown> = {};
  for (const { name, expr } of ad) out[name] = valueToJson(expr);
  return out;
}

function valueToJson(e: Expr): unknown {
  if (e.kind !== 'literal' || e.value === undefined || typeof e.value === 'object')
    return `/Expr(${printExpr(e)})/`;
  return typeof e.value === 'bigint' ? Number(e.value) : e.value;
}
