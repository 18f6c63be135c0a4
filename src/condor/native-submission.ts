/** Jobs of submit files as native submissions. */
import { resolve } from 'node:path';
import { printExpr, stringLiteralValue, type Ad, type Expr } from '../classad/index.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import { defaultSubmission } from '../wire/user.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import { parseNewSyntaxVariables, parseEnvironment, splitWords } from './quoting.js';

/** Jobs of one queue statement that are submitted as one job. */
export interface JobGroup {
  readonly ad: Ad;
  /** The number of the first one. */
  readonly first: number;
  readonly count: number;
  /** Whether marks stand for their numbers in the record; if not, it is a single job. */
  readonly numbered: boolean;
  readonly position: SourcePosition;
}

/** Values of the attribute JobUniverse. */
const universes = { local: 12, parallel: 11 };
/** The value of the attribute JobStatus for a job on hold. */
const heldStatus = 5;
const nullDevice = '/dev/null';
/** Attributes that expressions of the job cannot refer to: they are the command itself, or long. */
const unsentAttributes =
  /^(ClusterId|ProcId|Cmd|Args|Arguments|Env|Environment|Iwd|In|Out|Err|UserLog|Requirements|Rank|Periodic.*|OnExit.*)$/;
/** Longer attributes are not sent. */
const maxAttributeChars = 500;

/** The number that an expression is; null if it is none. */
const numericLiteralValue = (e: Expr | undefined): number | null =>
  e?.kind === 'literal' && (typeof e.value === 'bigint' || typeof e.value === 'number')
    ? Number(e.value)
    : null;
/** Whether an attribute is missing or false. */
const isMissingOrFalse = (e: Expr | undefined): boolean =>
  e === undefined || (e.kind === 'literal' && e.value === false);

/** A group as a native submission. Throws for attributes that a control service does not support. */
export function nativeSubmission(group: JobGroup, team: string, warnings: Warnings): Record<string, unknown> {
  const { ad, position } = group;
  const reject = (what: string): never => {
    throw new SubmitError(position, `${what}: not supported by a control service yet (--dry-run shows it)`);
  };
  rejectUnsupported(ad, reject);
  if (ad.has('UserLog')) warnings.add(position, 'log: its events are not written yet');
  const amount = (attr: string, name: string): number =>
    numericLiteralValue(ad.get(attr)) ?? reject(`${name} that depends on other attributes`);
  const universe = numericLiteralValue(ad.get('JobUniverse'));
  if (universe === universes.local) warnings.add(position, 'universe: local: run on an agent like any other');
  const gang = universe === universes.parallel;
  if (gang && group.count > 1 && group.numbered)
    throw new SubmitError(position, 'universe: parallel: one job for each gang');
  const priority = numericLiteralValue(ad.get('JobPrio')) ?? 0;
  const wallS = numericLiteralValue(ad.get('AllowedExecuteDuration'));
  return {
    ...defaultSubmission,
    jobclass: 'condor',
    owner: stringLiteralValue(ad.get('AcctGroup')) ?? team,
    shape: gang ? 'ensemble' : 'sweep',
    urgency: priority > 0 ? 'urgent' : priority < 0 ? 'low' : 'normal',
    pieces: gang ? (numericLiteralValue(ad.get('MinHosts')) ?? 1) : group.count,
    cpus: amount('RequestCpus', 'request_cpus'),
    cards: ad.has('RequestGPUs') ? amount('RequestGPUs', 'request_gpus') : 0,
    memGb: amount('RequestMemory', 'request_memory') / 1024,
    retries: numericLiteralValue(ad.get('JobMaxRetries')) ?? 0,
    ...(wallS === null || wallS <= 0 ? {} : { wallS }),
    ...commandFields(ad),
    ...(group.numbered ? { numberFrom: group.first } : {}),
    ...matchFields(ad),
  };
}

/** Rejects the attributes that would make it another job on a control service. */
function rejectUnsupported(ad: Ad, reject: (what: string) => never): void {
  for (const [attr, name] of [
    ['PeriodicHold', 'periodic_hold'],
    ['PeriodicRelease', 'periodic_release'],
    ['PeriodicRemove', 'periodic_remove'],
    ['OnExitHold', 'on_exit_hold'],
    ['LeaveJobInQueue', 'leave_in_queue'],
  ])
    if (!isMissingOrFalse(ad.get(attr))) reject(name);
  if (ad.has('DeferralTime')) reject('deferral_time');
  if (ad.has('RetryUntil')) reject('retry_until');
  if (ad.has('JobSuccessExitCode')) reject('success_exit_code');
  if (ad.has('OnExitRemove') && !ad.has('JobMaxRetries')) reject('on_exit_remove');
  if (numericLiteralValue(ad.get('JobStatus')) === heldStatus) reject('hold');
}

/** The expressions of the job, and if it has any, the attributes that they may refer to. */
function matchFields(ad: Ad): Record<string, unknown> {
  const requirements = ad.get('Requirements');
  const rank = ad.get('Rank');
  const matchesAll =
    requirements === undefined || (requirements.kind === 'literal' && requirements.value === true);
  const hasRank = rank !== undefined && !(rank.kind === 'literal' && Number(rank.value) === 0);
  if (matchesAll && !hasRank) return {};
  const attributes: Record<string, string> = {};
  for (const { name, expr } of ad) {
    const text = printExpr(expr);
    const isSent = !unsentAttributes.test(name) && text.length <= maxAttributeChars;
    if (isSent && !text.includes(taskIndexPlaceholder)) attributes[name] = text;
  }
  return {
    ...(matchesAll ? {} : { requirements: printExpr(requirements) }),
    ...(hasRank ? { rank: printExpr(rank) } : {}),
    attributes,
  };
}

/** The command with its files and environment. */
function commandFields(ad: Ad): Record<string, unknown> {
  const iwd = stringLiteralValue(ad.get('Iwd')) ?? '/';
  const newArguments = stringLiteralValue(ad.get('Arguments'));
  const argv =
    newArguments !== null
      ? splitWords(newArguments)
      : (stringLiteralValue(ad.get('Args')) ?? '').split(/\s+/).filter((word) => word !== '');
  const newEnvironment = stringLiteralValue(ad.get('Environment'));
  const vars =
    newEnvironment !== null
      ? parseNewSyntaxVariables(newEnvironment)
      : parseEnvironment(stringLiteralValue(ad.get('Env')) ?? '').vars;
  const input = stringLiteralValue(ad.get('In')) ?? nullDevice;
  const command = [stringLiteralValue(ad.get('Cmd')) ?? '', ...argv];
  const inputPath = input === nullDevice ? null : resolve(iwd, input);
  const file = (attr: string): string | null => {
    const name = stringLiteralValue(ad.get(attr));
    return name === null || name === nullDevice ? null : resolve(iwd, name);
  };
  return {
    // Agents do not supply standard input: a shell opens the file, and then executes the command.
    command:
      inputPath === null ? command : ['/bin/sh', '-c', 'exec "$0" "$@" < "$DAPPLEPICK_INPUT"', ...command],
    env: { ...Object.fromEntries(vars), ...(inputPath === null ? {} : { DAPPLEPICK_INPUT: inputPath }) },
    dir: iwd,
    stdout: file('Out'),
    stderr: file('Err'),
  };
}
