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
import { inWords, type Analysis } from '../matching/index.js';
import { HttpClient } from '../net/client.js';
import { jobPath } from '../wire/user.js';
import { here, jsonOf, nativeJob, Submission, SubmitError } from '../condor/index.js';
import { Client, exits, newId, say } from './client.js';

type Fail = (message: string) => never;

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

/** All of a file is understood before any of it is submitted. */
async function submit(file: string, json: boolean, node: string, team: string, fail: Fail): Promise<void> {
  const text = read(file, fail);
  const all: { first: number; count: number; job: Record<string, unknown> }[] = [];
  try {
    const s = new Submission(text, file, here());
    for (const g of s.groups())
      all.push({ first: g.first, count: g.count, job: nativeJob(g, team, s.file.warnings) });
    for (const w of s.warnings) process.stderr.write(`${w}\n`);
  } catch (e) {
    if (e instanceof SubmitError) return wrongAt(e.message);
    throw e;
  }
  const http = new HttpClient(node, 1);
  const done: { processes: string; nameId: string }[] = [];
  for (const { first, count, job } of all) {
    const nameId = newId();
    const r = await http.call('POST', jobPath, { nameId, ...job }, 5000);
    const processes = count > 1 ? `${first}-${first + count - 1}` : String(first);
    if (!r || r.status >= 300) {
      const why = r
        ? `${r.status}: ${(r.body as { error?: string } | null)?.error ?? ''}`
        : `no answer from ${node}`;
      process.stderr.write(`dapplepick: process ${processes}: ${why}\n`);
      if (done.length > 0)
        process.stderr.write(`dapplepick: submitted before: ${done.map((d) => d.nameId).join(' ')}\n`);
      process.exit(r ? exits.refused : 1);
    }
    done.push({ processes, nameId });
  }
  if (json) say(JSON.stringify(done));
  else for (const d of done) say(`${d.nameId}  processes ${d.processes}`);
  process.exit(0);
}

async function analyze(id: string, node: string, json: boolean, fail: Fail): Promise<void> {
  const a = (await new Client(node, fail).need('GET', `${jobPath}/${id}/analyze`, null)) as Analysis;
  if (json) say(JSON.stringify(a));
  else for (const line of inWords(a)) say(line);
  process.exit(0);
}

/** What users of HTCondor know, under one word. */
export function addCondorCommands(program: Command, fail: Fail): void {
  const condor = program.command('condor').description('submit files and match expressions of HTCondor');
  condor
    .command('submit')
    .description('submit the jobs of a submit file, or show them')
    .argument('<file>', 'a submit file; - reads standard input')
    .option('--dry-run', 'only show what would be submitted')
    .option('--json', 'as a JSON array, one object for each job')
    .option('--node <address>', 'a control service, HOST:PORT', '127.0.0.1:8080')
    .option('--team <name>', 'whose limits count, unless accounting_group says', 'default')
    .addHelpText('after', '\nExample:\n  dapplepick condor submit --dry-run --json job.sub\n')
    .action(async (file: string, o: { dryRun?: boolean; json?: boolean; node: string; team: string }) => {
      if (o.dryRun) await dryRun(file, o.json ?? false, fail);
      else await submit(file, o.json ?? false, o.node, o.team, fail);
    });
  condor
    .command('analyze')
    .description('why a job has the machines that it has: what excludes how many')
    .argument('<id>', 'a job')
    .option('--node <address>', 'a control service, HOST:PORT', '127.0.0.1:8080')
    .option('--json', 'answer as JSON')
    .addHelpText('after', '\nExample:\n  dapplepick condor analyze req-000412\n')
    .action((id: string, o: { node: string; json?: boolean }) => analyze(id, o.node, o.json ?? false, fail));
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
