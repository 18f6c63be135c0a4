import { resolve } from 'node:path';
import { printExpr, textOf, type Ad, type Expr } from '../classad/index.js';
import { taskIndexPlaceholder } from '../model/task-command.js';
import { plainSubmission } from '../wire/user.js';
import { SubmitError, type Place, type Warnings } from './errors.js';
import { newVariables, parseEnvironment, splitWords } from './quoting.js';

/** Jobs of one queue statement that go as one: their first number and how many they are. */
export interface Group {
  ad: Ad;
  first: number;
  count: number;
  /** Their numbers stand as marks in it; else it is one job alone. */
  marked: boolean;
  at: Place;
}

const nothing = '/dev/null';
/** Attributes that are the command itself, or long: expressions do not look at them. */
const left =
  /^(ClusterId|ProcId|Cmd|Args|Arguments|Env|Environment|Iwd|In|Out|Err|UserLog|Requirements|Rank|Periodic.*|OnExit.*)$/;
const mostAttribute = 500;

const number = (e: Expr | undefined): number | null =>
  e?.k === 'lit' && (typeof e.v === 'bigint' || typeof e.v === 'number') ? Number(e.v) : null;
const never = (e: Expr | undefined): boolean => e === undefined || (e.k === 'lit' && e.v === false);

/** A group as a native submission: the same priorities, limits and ways of failing as any other job. */
export function nativeJob(g: Group, team: string, warnings: Warnings): Record<string, unknown> {
  const { ad, at } = g;
  const refuse = (what: string): never => {
    throw new SubmitError(at, `${what}: not supported by a control service yet (--dry-run shows it)`);
  };
  for (const [attr, name] of [
    ['PeriodicHold', 'periodic_hold'],
    ['PeriodicRelease', 'periodic_release'],
    ['PeriodicRemove', 'periodic_remove'],
    ['OnExitHold', 'on_exit_hold'],
    ['LeaveJobInQueue', 'leave_in_queue'],
  ])
    if (!never(ad.get(attr))) refuse(name);
  if (ad.has('DeferralTime')) refuse('deferral_time');
  if (ad.has('RetryUntil')) refuse('retry_until');
  if (ad.has('JobSuccessExitCode')) refuse('success_exit_code');
  if (ad.has('OnExitRemove') && !ad.has('JobMaxRetries')) refuse('on_exit_remove');
  if (number(ad.get('JobStatus')) === 5) refuse('hold');
  if (ad.has('UserLog')) warnings.add(at, 'log: its events are not written yet');
  const amount = (attr: string, name: string): number =>
    number(ad.get(attr)) ?? refuse(`${name} that depends on other attributes`);
  const universe = number(ad.get('JobUniverse'));
  if (universe === 12) warnings.add(at, 'universe: local: run on an agent like any other');
  const gang = universe === 11;
  if (gang && g.count > 1 && g.marked) throw new SubmitError(at, 'universe: parallel: one job for each gang');
  const prio = number(ad.get('JobPrio')) ?? 0;
  const requirements = ad.get('Requirements');
  const rank = ad.get('Rank');
  const attributes: Record<string, string> = {};
  for (const { name, expr } of ad) {
    const shown = printExpr(expr);
    if (!left.test(name) && shown.length <= mostAttribute && !shown.includes(taskIndexPlaceholder))
      attributes[name] = shown;
  }
  const always = requirements === undefined || (requirements.k === 'lit' && requirements.v === true);
  const likes = rank !== undefined && !(rank.k === 'lit' && Number(rank.v) === 0);
  const asksFor = {
    ...(always ? {} : { requirements: printExpr(requirements) }),
    ...(likes ? { rank: printExpr(rank) } : {}),
  };
  const wall = number(ad.get('AllowedExecuteDuration'));
  return {
    ...plainSubmission,
    jobclass: 'condor',
    owner: textOf(ad.get('AcctGroup')) ?? team,
    shape: gang ? 'ensemble' : 'sweep',
    urgency: prio > 0 ? 'urgent' : prio < 0 ? 'low' : 'normal',
    pieces: gang ? (number(ad.get('MinHosts')) ?? 1) : g.count,
    cpus: amount('RequestCpus', 'request_cpus'),
    cards: ad.has('RequestGPUs') ? amount('RequestGPUs', 'request_gpus') : 0,
    memGb: amount('RequestMemory', 'request_memory') / 1024,
    retries: number(ad.get('JobMaxRetries')) ?? 0,
    ...(wall === null || wall <= 0 ? {} : { wallS: wall }),
    ...commandFields(ad),
    ...(g.marked ? { numberFrom: g.first } : {}),
    ...asksFor,
    ...(Object.keys(asksFor).length > 0 ? { attributes } : {}),
  };
}

function commandFields(ad: Ad): Record<string, unknown> {
  const iwd = textOf(ad.get('Iwd')) ?? '/';
  const given = textOf(ad.get('Arguments'));
  const argv =
    given !== null ? splitWords(given) : (textOf(ad.get('Args')) ?? '').split(/\s+/).filter((w) => w !== '');
  const newer = textOf(ad.get('Environment'));
  const vars = newer !== null ? newVariables(newer) : parseEnvironment(textOf(ad.get('Env')) ?? '').vars;
  const input = textOf(ad.get('In')) ?? nothing;
  const command = [textOf(ad.get('Cmd')) ?? '', ...argv];
  const from = input === nothing ? null : resolve(iwd, input);
  const file = (attr: string): string | null => {
    const name = textOf(ad.get(attr));
    return name === null || name === nothing ? null : resolve(iwd, name);
  };
  return {
    // The agent gives no input: a shell opens it, and becomes the command.
    command: from === null ? command : ['/bin/sh', '-c', 'exec "$0" "$@" < "$DAPPLEPICK_INPUT"', ...command],
    env: { ...Object.fromEntries(vars), ...(from === null ? {} : { DAPPLEPICK_INPUT: from }) },
    dir: iwd,
    stdout: file('Out'),
    stderr: file('Err'),
  };
}
