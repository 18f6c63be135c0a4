/** Generates the jobs of a submit file as ClassAd records. */
import { ClassAd, literal, printExpr, type Attribute, type Expr } from '../classad/index.js';
import { parseExpression, type CommandContext } from './command-handlers.js';
import { aliases, ignoredCommands, unsupportedCommands } from './command-tables.js';
import { commands } from './commands.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import { addDefaultAttributes, addDerivedAttributes } from './job-attributes.js';
import type { JobGroup } from './native-submission.js';
import { SubmitFile, type QueueStatement } from './submit-file.js';

/** A command or custom attribute that is applied to each job of a queue statement. */
interface AttributeAssignment {
  /** The command's canonical name; `my` for a custom attribute. */
  readonly command: string;
  /** The name as written in the file. */
  readonly name: string;
  /** The value before macro expansion. */
  readonly value: string;
  readonly position: SourcePosition;
}

/** The commands and custom attributes that are applied, in this order, to each job of a queue statement. */
interface JobPlan {
  readonly commands: AttributeAssignment[];
  readonly custom: AttributeAssignment[];
}

const commandOrder = Object.keys(commands);
const canonicalName = (name: string): string => aliases[name] ?? name;

/** A submit file and its jobs. Jobs are generated lazily, because there may be many. */
export class Submission {
  readonly file: SubmitFile;
  private readonly environment: SubmitEnvironment;
  private readonly plansByStatement = new Map<QueueStatement, JobPlan>();

  constructor(text: string, name: string, environment: SubmitEnvironment) {
    this.environment = environment;
    this.file = new SubmitFile(text, name, environment);
  }

  /** The warnings so far. Warnings about individual jobs are added while these are generated. */
  get warnings(): string[] {
    return this.file.warnings.all;
  }

  /** Generates all jobs, each as a ClassAd record. */
  *jobs(): Generator<ClassAd> {
    let proc = 0;
    for (const statement of this.file.queueStatements) {
      const plan = this.planFor(statement);
      const constants = new Map<AttributeAssignment, Attribute[]>();
      const rows = statement.request.rows?.length ?? 1;
      if (statement.request.count === 0) this.file.warnings.add(statement.position, 'queue: 0 jobs');
      for (let row = 0; row < rows; row++)
        for (let step = 0; step < statement.request.count; step++) {
          const perJob = perJobValues(statement, row, String(proc), String(step));
          yield this.buildJob(statement, plan, constants, perJob, proc++);
        }
    }
    this.warnUnused();
  }

  /**
   * Generates the jobs in groups. Jobs of one row that differ only in their process numbers form one group, so that ten
   * thousand jobs can be submitted as one array. Such a group is found by expanding all values with a placeholder in place of
   * the number, and verified by comparing the result with every job. Jobs that differ in other ways form groups of one.
   */
  *groups(): Generator<JobGroup> {
    const jobs = this.jobs();
    let first = 0;
    for (const statement of this.file.queueStatements) {
      const rows = statement.request.rows?.length ?? 1;
      for (let row = 0; row < rows; row++) {
        const { count } = statement.request;
        const ads: ClassAd[] = [];
        for (let i = 0; i < count; i++) ads.push(jobs.next().value as ClassAd);
        const ad = count > 1 ? this.buildTemplateJob(statement, row) : null;
        const uniform = ad !== null && ads.every((a, i) => matchesTemplate(ad, a, first + i));
        if (uniform) yield { ad, first, count, isTemplate: true, position: statement.position };
        else
          for (const [i, a] of ads.entries())
            yield { ad: a, first: first + i, count: 1, isTemplate: false, position: statement.position };
        first += count;
      }
    }
    // Runs the generator to completion: it adds the remaining warnings at its end.
    jobs.next();
  }

  /** Builds the record of a row with a placeholder as the process number; null if this is not possible. */
  private buildTemplateJob(statement: QueueStatement, row: number): ClassAd | null {
    const perJob = perJobValues(statement, row, taskIndexPlaceholder, taskIndexPlaceholder);
    try {
      return this.buildJob(statement, this.planFor(statement), new Map(), perJob, 0);
    } catch (e) {
      // An expression cannot be evaluated without the actual number.
      if (e instanceof SubmitError) return null;
      throw e;
    }
  }

  /** Returns the plan of a queue statement, which is built on first use. */
  private planFor(statement: QueueStatement): JobPlan {
    let known = this.plansByStatement.get(statement);
    if (!known) this.plansByStatement.set(statement, (known = this.buildPlan(statement)));
    return known;
  }

  private buildPlan(statement: QueueStatement): JobPlan {
    const assignments: AttributeAssignment[] = [];
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
      if (commands[command]) assignments.push({ command, name, value, position });
      else if (key.includes('.')) throw new SubmitError(position, `${name}: not a submit command`);
    }
    assignments.sort((a, b) => commandOrder.indexOf(a.command) - commandOrder.indexOf(b.command));
    if (!assignments.some((assignment) => assignment.command === 'executable'))
      throw new SubmitError(statement.position, 'queue: no executable is set');
    return { commands: assignments, custom };
  }

  private buildJob(
    statement: QueueStatement,
    { commands: assignments, custom: customAssignments }: JobPlan,
    constants: Map<AttributeAssignment, Attribute[]>,
    perJob: ReadonlyMap<string, string>,
    proc: number,
  ): ClassAd {
    const ad = new ClassAd([
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
    for (const assignment of [...assignments, ...customAssignments]) {
      const constantAttributes = constants.get(assignment);
      if (constantAttributes) {
        for (const a of constantAttributes) ad.set(a.name, a.expr);
        continue;
      }
      const value = statement.macros.expand(assignment.value, assignment.position, perJob).trim();
      const { dependsOnJob } = statement.macros;
      context.position = assignment.position;
      if (value === '' && assignment.command !== 'executable' && assignment.command !== 'my') continue;
      // Attributes that do not depend on the job are computed once per queue statement.
      const before = dependsOnJob ? null : new Map([...ad].map((a) => [a.name, a.expr]));
      if (assignment.command === 'my')
        ad.set(assignment.name, parseExpression(value, context, assignment.name));
      else commands[assignment.command](value, context, assignment.name);
      if (before)
        constants.set(
          assignment,
          [...ad].filter((a) => before.get(a.name) !== a.expr),
        );
    }
    context.position = statement.position;
    addDerivedAttributes(context);
    return ad;
  }

  /** Warns about macros that are set but have no effect; most likely their names are misspelt. */
  private warnUnused(): void {
    const used = new Set(
      this.file.queueStatements.flatMap((statement) => [...statement.macros.referencedNames]),
    );
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
    const lastQueueLine = Math.max(
      ...this.file.queueStatements
        .filter((statement) => statement.position.file === this.file.fileName)
        .map((statement) => statement.position.line),
      0,
    );
    for (const { name, position } of this.file.macros.all)
      if (position.file === this.file.fileName && position.line > lastQueueLine && lastQueueLine > 0)
        this.file.warnings.add(position, `${name}: after the last queue: not used`);
  }
}

/** Returns the macros whose values vary from job to job, by name in lower case. */
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

/** Whether a job equals the template record with the placeholder replaced by its process number. */
function matchesTemplate(template: ClassAd, job: ClassAd, proc: number): boolean {
  if (template.size !== job.size) return false;
  for (const { name, expr } of template) {
    const own = job.get(name);
    if (name === 'ProcId' || own === expr) continue;
    if (!own || printExpr(expr).replaceAll(taskIndexPlaceholder, String(proc)) !== printExpr(own))
      return false;
  }
  return true;
}

/** Converts a record to JSON: literals to values, other expressions to strings in the notation of HTCondor's tools. */
export function adToJson(ad: ClassAd): Record<string, unknown> {
  const out: Record<string, unknown> = {};
  for (const { name, expr } of ad) out[name] = valueToJson(expr);
  return out;
}

function valueToJson(e: Expr): unknown {
  if (e.kind !== 'literal' || e.value === undefined || typeof e.value === 'object')
    return `/Expr(${printExpr(e)})/`;
  return typeof e.value === 'bigint' ? Number(e.value) : e.value;
}
