/** The command `dapplepick condor`: submit files and match expressions of HTCondor. */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import {
  ClassAdError,
  evaluate,
  parseAd,
  parseExpr,
  printValue,
  type ClassAd,
  type EvaluationContext,
} from '../classad/index.js';
import { describeAnalysis, type MatchAnalysis } from '../matching/index.js';
import { JsonClient } from '../net/client.js';
import { jobPath } from '../wire/user.js';
import {
  localSubmitEnvironment,
  adToJson,
  nativeSubmission,
  Submission,
  SubmitError,
} from '../condor/index.js';
import { ApiClient } from './api-client.js';
import { exitCodes, type Fail } from './exit.js';
import { newJobId } from './job-id.js';
import { printLine } from './output.js';

/** Context of expressions on the command line, which may use the current time and random numbers. */
const evaluationContext = (): EvaluationContext => ({ nowS: Date.now() / 1000, random: Math.random });

/** Reads a file, `-` for standard input; ends the program if it cannot be read. */
function readInput(path: string, fail: Fail): string {
  try {
    return readFileSync(path === '-' ? 0 : path, 'utf8');
  } catch (error) {
    return fail(`${path}: cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  }
}

function readAd(path: string, fail: Fail): ClassAd {
  try {
    return parseAd(readInput(path, fail));
  } catch (error) {
    if (error instanceof ClassAdError)
      return failAtPosition(`${path}:${error.line}: column ${error.column}: ${error.reason}`);
    throw error;
  }
}

/** Ends the program with a message that begins with the file name, so that editors can locate the mistake. */
function failAtPosition(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(1);
}

/** All jobs as one JSON array, in chunks because there may be a hundred thousand jobs. */
function* jsonChunks(ads: Iterable<ClassAd>): Generator<string> {
  let first = true;
  for (const ad of ads) {
    yield `${first ? '[\n' : ',\n'}${JSON.stringify(adToJson(ad))}`;
    first = false;
  }
  yield first ? '[]\n' : '\n]\n';
}

async function dryRun(file: string, json: boolean, fail: Fail): Promise<void> {
  const text = readInput(file, fail);
  try {
    const submission = new Submission(text, file, localSubmitEnvironment());
    // All jobs are created before any is printed: a file with a mistake further on prints none.
    const ads = [...submission.jobs()];
    for (const warning of submission.warnings) process.stderr.write(`${warning}\n`);
    let buffer = '';
    const chunks = json ? jsonChunks(ads) : ads.map((ad) => `${jobLine(ad)}\n`);
    for (const chunk of chunks) {
      buffer += chunk;
      if (buffer.length < 65_536) continue;
      if (!process.stdout.write(buffer))
        await new Promise((resolve) => process.stdout.once('drain', resolve));
      buffer = '';
    }
    process.stdout.write(buffer);
  } catch (e) {
    if (e instanceof SubmitError) return failAtPosition(e.message);
    throw e;
  }
}

function jobLine(ad: ClassAd): string {
  const job = adToJson(ad) as Record<string, string | number>;
  return `${job['ClusterId']}.${job['ProcId']}  ${job['Cmd']} ${job['Args'] ?? ''}`.trimEnd();
}

/** Submits the jobs of a file, once the whole file has been parsed. */
async function submit(file: string, json: boolean, node: string, team: string, fail: Fail): Promise<void> {
  const text = readInput(file, fail);
  const submissions: { first: number; count: number; job: Record<string, unknown> }[] = [];
  try {
    const submission = new Submission(text, file, localSubmitEnvironment());
    for (const group of submission.groups())
      submissions.push({
        first: group.first,
        count: group.count,
        job: nativeSubmission(group, team, submission.file.warnings),
      });
    for (const warning of submission.warnings) process.stderr.write(`${warning}\n`);
  } catch (e) {
    if (e instanceof SubmitError) return failAtPosition(e.message);
    throw e;
  }
  const http = new JsonClient(node, 1);
  const submitted: { processes: string; nameId: string }[] = [];
  for (const { first, count, job } of submissions) {
    const nameId = newJobId();
    const response = await http.call('POST', jobPath, { nameId, ...job }, 5000);
    const processes = count > 1 ? `${first}-${first + count - 1}` : String(first);
    if (!response || response.status >= 300) {
      const reason = response
        ? `${response.status}: ${(response.body as { error?: string } | null)?.error ?? ''}`
        : `no answer from ${node}`;
      process.stderr.write(`dapplepick: process ${processes}: ${reason}\n`);
      if (submitted.length > 0)
        process.stderr.write(
          `dapplepick: already submitted: ${submitted.map((entry) => entry.nameId).join(' ')}\n`,
        );
      process.exit(response ? exitCodes.refused : 1);
    }
    submitted.push({ processes, nameId });
  }
  if (json) printLine(JSON.stringify(submitted));
  else for (const entry of submitted) printLine(`${entry.nameId}  processes ${entry.processes}`);
  process.exit(0);
}

async function analyze(id: string, node: string, json: boolean, fail: Fail): Promise<void> {
  const analysis = (await new ApiClient(node, fail).requestOk(
    'GET',
    `${jobPath}/${id}/analyze`,
    null,
  )) as MatchAnalysis;
  if (json) printLine(JSON.stringify(analysis));
  else for (const line of describeAnalysis(analysis)) printLine(line);
  process.exit(0);
}

/** Registers `condor` and its subcommands. */
export function addCondorCommands(program: Command, fail: Fail): void {
  const condor = program.command('condor').description('submit files and match expressions of HTCondor');
  condor
    .command('submit')
    .description('submit the jobs of a submit file, or show them')
    .argument('<file>', 'a submit file; - reads standard input')
    .option('--dry-run', 'only show what would be submitted')
    .option('--json', 'print a JSON array with one object per job')
    .option('--node <address>', 'a control service, HOST:PORT', '127.0.0.1:8080')
    .option('--team <name>', 'team whose limits apply, unless accounting_group names one', 'default')
    .addHelpText('after', '\nExample:\n  dapplepick condor submit --dry-run --json job.sub\n')
    .action(
      async (file: string, options: { dryRun?: boolean; json?: boolean; node: string; team: string }) => {
        if (options.dryRun) await dryRun(file, options.json ?? false, fail);
        else await submit(file, options.json ?? false, options.node, options.team, fail);
      },
    );
  condor
    .command('analyze')
    .description('explain which machines match a job: how many each condition excludes')
    .argument('<id>', 'a job')
    .option('--node <address>', 'a control service, HOST:PORT', '127.0.0.1:8080')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', '\nExample:\n  dapplepick condor analyze req-000412\n')
    .action((id: string, options: { node: string; json?: boolean }) =>
      analyze(id, options.node, options.json ?? false, fail),
    );
  condor
    .command('eval')
    .description('print the value of an expression')
    .argument('<expr>', 'a match expression (ClassAd)')
    .option('--my <file>', "attributes of its own side (MY): a record, or one 'Attr = expression' per line")
    .option('--target <file>', 'attributes of the other side (TARGET)')
    .addHelpText(
      'after',
      "\nExample:\n  dapplepick condor eval 'TARGET.Memory >= MY.RequestMemory' --my job.ad --target slot.ad\n",
    )
    .action((expr: string, options: { my?: string; target?: string }) => {
      const my = options.my === undefined ? parseAd('[]') : readAd(options.my, fail);
      const target = options.target === undefined ? null : readAd(options.target, fail);
      try {
        printLine(printValue(evaluate(parseExpr(expr), my, target, evaluationContext())));
      } catch (e) {
        if (e instanceof ClassAdError)
          return failAtPosition(`expression:${e.line}: column ${e.column}: ${e.reason}`);
        throw e;
      }
    });
}
