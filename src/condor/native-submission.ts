/** Converts the jobs of submit files to the control service's native submissions. */
import { resolve } from 'node:path';
import { printExpr, stringLiteralValue, type ClassAd, type Expr } from '../classad/index.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import { defaultSubmission } from '../wire/user.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import { parseNewSyntaxVariables, parseEnvironment, splitWords } from './quoting.js';

/** Jobs of one queue statement that are submitted together, as one native job. */
export interface JobGroup {
  readonly ad: ClassAd;
  /** The process number of the first job. */
  readonly first: number;
  readonly count: number;
  /** Whether the record contains placeholders for the process number; if not, the group is a single job. */
  readonly isTemplate: boolean;
  readonly position: SourcePosition;
}

/** Values of the JobUniverse attribute. */
const universes = { local: 12, parallel: 11 };
/** The value of the JobStatus attribute for a job on hold. */
const heldStatus = 5;
const nullDevice = '/dev/null';
/** Attributes that are not sent, so that the job's expressions cannot refer to them: they describe the command, or are long. */
const unsentAttributes =
  /^(ClusterId|ProcId|Cmd|Args|Arguments|Env|Environment|Iwd|In|Out|Err|UserLog|Requirements|Rank|Periodic.*|OnExit.*)$/;
/** Attributes with longer expressions are not sent, characters. */
const maxAttributeChars = 500;

/** Returns the value of a number literal; null for any other expression. */
const numericLiteralValue = (e: Expr | undefined): number | null =>
  e?.kind === 'literal' && (typeof e.value === 'bigint' || typeof e.value === 'number')
    ? Number(e.value)
    : null;
/** Whether an attribute is missing or the literal false. */
const isMissingOrFalse = (e: Expr | undefined): boolean =>
  e === undefined || (e.kind === 'literal' && e.value === false);

/** Converts a group to a native submission. Throws a `SubmitError` for attributes that a control service does not support. */
export function nativeSubmission(group: JobGroup, team: string, warnings: Warnings): Record<string, unknown> {
  const { ad, position } = group;
  const reject = (what: string): never => {
    throw new SubmitError(position, `${what}: not supported by a control service yet (--dry-run shows it)`);
  };
  rejectUnsupportedAttributes(ad, reject);
  if (ad.has('UserLog')) warnings.add(position, 'log: its events are not written yet');
  const amount = (attr: string, name: string): number =>
    numericLiteralValue(ad.get(attr)) ?? reject(`${name} that depends on other attributes`);
  const universe = numericLiteralValue(ad.get('JobUniverse'));
  if (universe === universes.local)
    warnings.add(position, 'universe: local: runs on an agent like any other job');
  const gang = universe === universes.parallel;
  if (gang && group.count > 1 && group.isTemplate)
    throw new SubmitError(position, 'universe: parallel: queue with a count above 1 is not supported');
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
    ...(group.isTemplate ? { numberFrom: group.first } : {}),
    ...matchFields(ad),
  };
}

/** Rejects attributes that a control service does not support and whose omission would change what the job does. */
function rejectUnsupportedAttributes(ad: ClassAd, reject: (what: string) => never): void {
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

/** Returns the job's requirements and rank, together with the attributes that they may refer to; nothing if it has neither. */
function matchFields(ad: ClassAd): Record<string, unknown> {
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

/** Returns the fields of the command: arguments, environment, working directory and files. */
function commandFields(ad: ClassAd): Record<string, unknown> {
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
    // Agents do not provide standard input: a shell redirects it from the file and then executes the command.
    command:
      inputPath === null ? command : ['/bin/sh', '-c', 'exec "$0" "$@" < "$DAPPLEPICK_INPUT"', ...command],
    env: { ...Object.fromEntries(vars), ...(inputPath === null ? {} : { DAPPLEPICK_INPUT: inputPath }) },
    dir: iwd,
    stdout: file('Out'),
    stderr: file('Err'),
  };
}
