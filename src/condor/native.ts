/** Jobs of submit files as native submissions. */
import { resolve } from 'node:path';
import { printExpr, textOf, type Ad, type Expr } from '../classad/index.js';
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

const nullDevice = '/dev/null';
/** Attributes that expressions of the job cannot refer to: they are the command itself, or long. */
const unlistedAttributes =
  /^(ClusterId|ProcId|Cmd|Args|Arguments|Env|Environment|Iwd|In|Out|Err|UserLog|Requirements|Rank|Periodic.*|OnExit.*)$/;
const maxAttributeChars = 500;

const numberOf = (e: Expr | undefined): number | null =>
  e?.k === 'lit' && (typeof e.v === 'bigint' || typeof e.v === 'number') ? Number(e.v) : null;
const isFalse = (e: Expr | undefined): boolean => e === undefined || (e.k === 'lit' && e.v === false);

/** A group as a native submission. Throws for attributes that a control service does not support. */
export function nativeSubmission(group: JobGroup, team: string, warnings: Warnings): Record<string, unknown> {
  const { ad, position } = group;
  const reject = (what: string): never => {
    throw new SubmitError(position, `${what}: not supported by a control service yet (--dry-run shows it)`);
  };
  for (const [attr, name] of [
    ['PeriodicHold', 'periodic_hold'],
    ['PeriodicRelease', 'periodic_release'],
    ['PeriodicRemove', 'periodic_remove'],
    ['OnExitHold', 'on_exit_hold'],
    ['LeaveJobInQueue', 'leave_in_queue'],
  ])
    if (!isFalse(ad.get(attr))) reject(name);
  if (ad.has('DeferralTime')) reject('deferral_time');
  if (ad.has('RetryUntil')) reject('retry_until');
  if (ad.has('JobSuccessExitCode')) reject('success_exit_code');
  if (ad.has('OnExitRemove') && !ad.has('JobMaxRetries')) reject('on_exit_remove');
  if (numberOf(ad.get('JobStatus')) === 5) reject('hold');
  if (ad.has('UserLog')) warnings.add(position, 'log: its events are not written yet');
  const amount = (attr: string, name: string): number =>
    numberOf(ad.get(attr)) ?? reject(`${name} that depends on other attributes`);
  const universe = numberOf(ad.get('JobUniverse'));
  if (universe === 12) warnings.add(position, 'universe: local: run on an agent like any other');
  const gang = universe === 11;
  if (gang && group.count > 1 && group.numbered)
    throw new SubmitError(position, 'universe: parallel: one job for each gang');
  const prio = numberOf(ad.get('JobPrio')) ?? 0;
  const requirements = ad.get('Requirements');
  const rank = ad.get('Rank');
  const attributes: Record<string, string> = {};
  for (const { name, expr } of ad) {
    const text = printExpr(expr);
    if (
      !unlistedAttributes.test(name) &&
      text.length <= maxAttributeChars &&
      !text.includes(taskIndexPlaceholder)
    )
      attributes[name] = text;
  }
  const matchesAll = requirements === undefined || (requirements.k === 'lit' && requirements.v === true);
  const hasRank = rank !== undefined && !(rank.k === 'lit' && Number(rank.v) === 0);
  const matching = {
    ...(matchesAll ? {} : { requirements: printExpr(requirements) }),
    ...(hasRank ? { rank: printExpr(rank) } : {}),
  };
  const wall = numberOf(ad.get('AllowedExecuteDuration'));
  return {
    ...defaultSubmission,
    jobclass: 'condor',
    owner: textOf(ad.get('AcctGroup')) ?? team,
    shape: gang ? 'ensemble' : 'sweep',
    urgency: prio > 0 ? 'urgent' : prio < 0 ? 'low' : 'normal',
    pieces: gang ? (numberOf(ad.get('MinHosts')) ?? 1) : group.count,
    cpus: amount('RequestCpus', 'request_cpus'),
    cards: ad.has('RequestGPUs') ? amount('RequestGPUs', 'request_gpus') : 0,
    memGb: amount('RequestMemory', 'request_memory') / 1024,
    retries: numberOf(ad.get('JobMaxRetries')) ?? 0,
    ...(wall === null || wall <= 0 ? {} : { wallS: wall }),
    ...commandFields(ad),
    ...(group.numbered ? { numberFrom: group.first } : {}),
    ...matching,
    ...(Object.keys(matching).length > 0 ? { attributes } : {}),
  };
}

function commandFields(ad: Ad): Record<string, unknown> {
  const iwd = textOf(ad.get('Iwd')) ?? '/';
  const newArguments = textOf(ad.get('Arguments'));
  const argv =
    newArguments !== null
      ? splitWords(newArguments)
      : (textOf(ad.get('Args')) ?? '').split(/\s+/).filter((w) => w !== '');
  const newEnvironment = textOf(ad.get('Environment'));
  const vars =
    newEnvironment !== null
      ? parseNewSyntaxVariables(newEnvironment)
      : parseEnvironment(textOf(ad.get('Env')) ?? '').vars;
  const input = textOf(ad.get('In')) ?? nullDevice;
  const command = [textOf(ad.get('Cmd')) ?? '', ...argv];
  const inputPath = input === nullDevice ? null : resolve(iwd, input);
  const file = (attr: string): string | null => {
    const name = textOf(ad.get(attr));
    return name === null || name === nullDevice ? null : resolve(iwd, name);
  };
  return {
    // The agent gives no input: a shell opens it, and becomes the command.
    command:
      inputPath === null ? command : ['/bin/sh', '-c', 'exec "$0" "$@" < "$DAPPLEPICK_INPUT"', ...command],
    env: { ...Object.fromEntries(vars), ...(inputPath === null ? {} : { DAPPLEPICK_INPUT: inputPath }) },
    dir: iwd,
    stdout: file('Out'),
    stderr: file('Err'),
  };
}
