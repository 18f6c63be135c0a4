import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import {
  ClassAdError,
  evaluate,
  parseAd,
  parseExpr,
  printValue,
  type Ad,
  type Surroundings,
} from '../classad/index.js';
import { here, jsonOf, Submission, SubmitError } from '../condor/index.js';

type Fail = (message: string) => never;

const say = (text: string): void => void process.stdout.write(`${text}\n`);
const around = (): Surroundings => ({ nowS: Date.now() / 1000, random: Math.random });

function read(path: string, fail: Fail): string {
  try {
    return readFileSync(path === '-' ? 0 : path, 'utf8');
  } catch (e) {
    return fail(`${path}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
}

function readAd(path: string, fail: Fail): Ad {
  try {
    return parseAd(read(path, fail));
  } catch (e) {
    if (e instanceof ClassAdError) return wrongAt(`${path}:${e.line}: column ${e.column}: ${e.what}`);
    throw e;
  }
}

/** In the form that editors understand: nothing before the file's name. */
function wrongAt(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(1);
}

/** All jobs as one array, piece by piece: they may be a hundred thousand. */
function* asJson(all: Iterable<Ad>): Generator<string> {
  let first = true;
  for (const ad of all) {
    yield `${first ? '[\n' : ',\n'}${JSON.stringify(jsonOf(ad))}`;
    first = false;
  }
  yield first ? '[]\n' : '\n]\n';
}

async function dryRun(file: string, json: boolean, fail: Fail): Promise<void> {
  const text = read(file, fail);
  try {
    const s = new Submission(text, file, here());
    // Nothing is printed of a file that has a mistake further on.
    const all = [...s.jobs()];
    for (const w of s.warnings) process.stderr.write(`${w}\n`);
    let out = '';
    const parts = json ? asJson(all) : all.map((ad) => `${lineOf(ad)}\n`);
    for (const part of parts) {
      out += part;
      if (out.length < 65_536) continue;
      if (!process.stdout.write(out)) await new Promise((r) => process.stdout.once('drain', r));
      out = '';
    }
    process.stdout.write(out);
  } catch (e) {
    if (e instanceof SubmitError) return wrongAt(e.message);
    throw e;
  }
}

function lineOf(ad: Ad): string {
  const j = jsonOf(ad) as Record<string, string | number>;
  return `${j['ClusterId']}.${j['ProcId']}  ${j['Cmd']} ${j['Args'] ?? ''}`.trimEnd();
}

/** What users of HTCondor know, under one word. */
export function addCondorCommands(program: Command, fail: Fail): void {
  const condor = program.command('condor').description('submit files and match expressions of HTCondor');
  condor
    .command('submit')
    .description('read a submit file and show its jobs')
    .argument('<file>', 'a submit file; - reads standard input')
    .option('--dry-run', 'only show what would be submitted')
    .option('--json', 'as a JSON array, one object for each job')
    .addHelpText('after', '\nExample:\n  dapplepick condor submit --dry-run --json job.sub\n')
    .action(async (file: string, o: { dryRun?: boolean; json?: boolean }) => {
      if (!o.dryRun) fail('condor submit: only with --dry-run so far');
      await dryRun(file, o.json ?? false, fail);
    });
  condor
    .command('eval')
    .description('print the value of an expression')
    .argument('<expr>', 'an expression of the language')
    .option('--my <file>', "attributes that it sees as its own: a record, or one 'Attr = expression' a line")
    .option('--target <file>', 'attributes of the other side')
    .addHelpText(
      'after',
      "\nExample:\n  dapplepick condor eval 'TARGET.Memory >= MY.RequestMemory' --my job.ad --target slot.ad\n",
    )
    .action((expr: string, o: { my?: string; target?: string }) => {
      const my = o.my === undefined ? parseAd('[]') : readAd(o.my, fail);
      const target = o.target === undefined ? null : readAd(o.target, fail);
      try {
        say(printValue(evaluate(parseExpr(expr), my, target, around())));
      } catch (e) {
        if (e instanceof ClassAdError) return wrongAt(`expression:${e.line}: column ${e.column}: ${e.what}`);
        throw e;
      }
    });
}
