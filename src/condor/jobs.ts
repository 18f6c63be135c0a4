import { Ad, literal, printExpr, type Attribute, type Expr } from '../classad/index.js';
import {
  aliases,
  commands,
  defaults,
  expression,
  finish,
  harmless,
  refused,
  type Making,
} from './commands.js';
import { SubmitError, type Place } from './errors.js';
import type { Outside } from './submit-environment.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import type { Group } from './native.js';
import { SubmitFile, type Block } from './submit-file.js';

interface Step {
  command: string;
  name: string;
  raw: string;
  at: Place;
}

interface Steps {
  commands: Step[];
  own: Step[];
}

const order = Object.keys(commands);
const known = (name: string): string => aliases[name] ?? name;

/** The jobs of a submit file, one after the other: they may be many. */
export class Submission {
  readonly file: SubmitFile;
  private readonly outside: Outside;
  private readonly planned = new Map<Block, Steps>();

  constructor(text: string, name: string, outside: Outside) {
    this.outside = outside;
    this.file = new SubmitFile(text, name, outside);
  }

  get warnings(): string[] {
    return this.file.warnings.all;
  }

  *jobs(): Generator<Ad> {
    let proc = 0;
    for (const block of this.file.blocks) {
      const steps = this.steps(block);
      const fixed = new Map<Step, Attribute[]>();
      const rows = block.queued.rows?.length ?? 1;
      if (block.queued.count === 0) this.file.warnings.add(block.at, 'queue: 0 jobs');
      for (let row = 0; row < rows; row++)
        for (let step = 0; step < block.queued.count; step++) {
          const perJob = perJobOf(block, row, String(proc), String(step));
          yield this.job(block, steps, fixed, perJob, proc++);
        }
    }
    this.unused();
  }

  /**
   * The jobs in groups that differ by their numbers only, so that ten thousand go as one. Found by expanding with a mark in
   * the number's place, and proven by comparing with every job: where the mark gives something else, each goes alone.
   */
  *groups(): Generator<Group> {
    const jobs = this.jobs();
    let first = 0;
    for (const block of this.file.blocks) {
      const rows = block.queued.rows?.length ?? 1;
      for (let row = 0; row < rows; row++) {
        const { count } = block.queued;
        const all: Ad[] = [];
        for (let i = 0; i < count; i++) all.push(jobs.next().value as Ad);
        const ad = count > 1 ? this.marked(block, row) : null;
        const alike = ad !== null && all.every((a, i) => sameBut(ad, a, first + i));
        if (alike) yield { ad, first, count, marked: true, at: block.at };
        else
          for (const [i, a] of all.entries())
            yield { ad: a, first: first + i, count: 1, marked: false, at: block.at };
        first += count;
      }
    }
    // What the generator says at its end belongs to it.
    jobs.next();
  }

  private marked(block: Block, row: number): Ad | null {
    const perJob = perJobOf(block, row, taskIndexPlaceholder, taskIndexPlaceholder);
    try {
      return this.job(block, this.steps(block), new Map(), perJob, 0);
    } catch (e) {
      // It is worked with as a number somewhere.
      if (e instanceof SubmitError) return null;
      throw e;
    }
  }

  /** What is to be done for each job, in the order in which it is. */
  private steps(block: Block): Steps {
    let known = this.planned.get(block);
    if (!known) this.planned.set(block, (known = this.plan(block)));
    return known;
  }

  private plan(block: Block): Steps {
    const steps: Step[] = [];
    const own: Step[] = [];
    for (const { name, value, at } of block.macros.all) {
      const key = name.toLowerCase();
      if (key.startsWith('my.')) {
        own.push({ command: 'my', name: name.slice(3), raw: value, at });
        continue;
      }
      if (refused[key] !== undefined) throw new SubmitError(at, `${name}: ${refused[key]}`);
      if (harmless[key] !== undefined) {
        this.file.warnings.add(at, `${name}: ${harmless[key]}`);
        continue;
      }
      const command = known(key);
      if (commands[command]) steps.push({ command, name, raw: value, at });
      else if (key.includes('.')) throw new SubmitError(at, `${name}: not a submit command`);
    }
    steps.sort((a, b) => order.indexOf(a.command) - order.indexOf(b.command));
    if (!steps.some((s) => s.command === 'executable'))
      throw new SubmitError(block.at, 'queue: no executable is set');
    return { commands: steps, own };
  }

  private job(
    block: Block,
    { commands: steps, own }: Steps,
    fixed: Map<Step, Attribute[]>,
    perJob: ReadonlyMap<string, string>,
    proc: number,
  ): Ad {
    const ad = new Ad([
      { name: 'ClusterId', expr: literal(1n) },
      { name: 'ProcId', expr: literal(BigInt(proc)) },
    ]);
    const m: Making = { ad, at: block.at, outside: this.outside, warnings: this.file.warnings };
    defaults(m);
    for (const s of [...steps, ...own]) {
      const done = fixed.get(s);
      if (done) {
        for (const a of done) ad.set(a.name, a.expr);
        continue;
      }
      const value = block.macros.expand(s.raw, s.at, perJob).trim();
      const { varied } = block.macros;
      m.at = s.at;
      if (value === '' && s.command !== 'executable' && s.command !== 'my') continue;
      // What differs from job to job in no way is worked out once.
      const before = varied ? null : new Map([...ad].map((a) => [a.name, a.expr]));
      if (s.command === 'my') ad.set(s.name, expression(value, m, s.name));
      else commands[s.command](value, m, s.name);
      if (before)
        fixed.set(
          s,
          [...ad].filter((a) => before.get(a.name) !== a.expr),
        );
    }
    m.at = block.at;
    finish(m);
    return ad;
  }

  /** Names that are set and mean nothing: most likely misspelt. */
  private unused(): void {
    const used = new Set(this.file.blocks.flatMap((b) => [...b.macros.used]));
    for (const { name, at } of this.file.macros.all) {
      const key = name.toLowerCase();
      if (commands[known(key)] || harmless[key] !== undefined || key.startsWith('my.') || used.has(key))
        continue;
      this.file.warnings.add(at, `${name}: not a submit command, and nothing refers to it`);
    }
    const last = Math.max(
      ...this.file.blocks.filter((b) => b.at.file === this.file.file).map((b) => b.at.line),
      0,
    );
    for (const { name, at } of this.file.macros.all)
      if (at.file === this.file.file && at.line > last && last > 0)
        this.file.warnings.add(at, `${name}: after the last queue: not used`);
  }
}

/** The values that differ from job to job. */
function perJobOf(block: Block, row: number, proc: string, step: string): Map<string, string> {
  const perJob = new Map([
    ['process', proc],
    ['procid', proc],
    ['step', step],
    ['row', String(row)],
    ['itemindex', String(row)],
  ]);
  const { vars, rows } = block.queued;
  vars.forEach((v, i) => perJob.set(v.toLowerCase(), rows?.[row][i] ?? ''));
  return perJob;
}

/** Whether a job is what the marked one says of its number. */
function sameBut(marked: Ad, job: Ad, proc: number): boolean {
  if (marked.size !== job.size) return false;
  for (const { name, expr } of marked) {
    const own = job.get(name);
    if (name === 'ProcId' || own === expr) continue;
    if (!own || printExpr(expr).replaceAll(taskIndexPlaceholder, String(proc)) !== printExpr(own))
      return false;
  }
  return true;
}

/** An attribute as JSON: values as they are, expressions as HTCondor's tools show them. */
export function jsonOf(ad: Ad): Record<string, unknown> {
  const out: Record<string, unknown> = {};
  for (const { name, expr } of ad) out[name] = jsonValue(expr);
  return out;
}

function jsonValue(e: Expr): unknown {
  if (e.k !== 'lit' || e.v === undefined || typeof e.v === 'object') return `/Expr(${printExpr(e)})/`;
  return typeof e.v === 'bigint' ? Number(e.v) : e.v;
}
