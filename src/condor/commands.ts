/** The submit commands that set job attributes. */
import { resolve } from 'node:path';
import { stringLiteralValue } from '../classad/index.js';
import {
  integerLiteral,
  parseBoolean,
  parseExpression,
  setAmount,
  setBoolean,
  setCount,
  setEnvironment,
  setExpr,
  setInteger,
  setString,
  stringLiteral,
  bytesPerUnit,
  withErrorPosition,
  type CommandContext,
  type CommandHandler,
} from './command-handlers.js';
import { SubmitError } from './errors.js';
import { joinVariables, parseNewSyntaxVariables, parseArguments, parseEnvironment } from './quoting.js';

/** Values of the JobUniverse attribute, by the value of the `universe` command. */
const universes: Record<string, number> = { vanilla: 5, '5': 5, local: 12, '12': 12, parallel: 11, '11': 11 };
/** Values of the JobNotification attribute, by the value of the `notification` command. */
const notifications: Record<string, number> = { never: 0, always: 1, complete: 2, error: 3 };

/** Returns the environment variables that `getenv` selects: all, none, or those that match its patterns. */
function selectVariables(value: string, context: CommandContext): [string, string][] {
  const all = Object.entries(context.environment.env).filter(
    (entry): entry is [string, string] => entry[1] !== undefined,
  );
  if (/^(true|yes)$/i.test(value)) return all;
  if (/^(false|no)$/i.test(value)) return [];
  const patterns = value.split(/[\s,]+/).filter((pattern) => pattern !== '');
  const toRegExp = (pattern: string): RegExp =>
    new RegExp(`^${pattern.replace(/[.+?^${}()|[\]\\]/g, '\\$&').replaceAll('*', '.*')}$`);
  const excluded = patterns
    .filter((pattern) => pattern.startsWith('!'))
    .map((pattern) => toRegExp(pattern.slice(1)));
  const included = patterns.filter((pattern) => !pattern.startsWith('!')).map(toRegExp);
  return all.filter(
    ([name]) =>
      included.some((pattern) => pattern.test(name)) && !excluded.some((pattern) => pattern.test(name)),
  );
}

/**
 * The command handlers, in the order in which they are applied. It is independent of the order in the file, because some
 * handlers use attributes that others set.
 */
export const commands: Record<string, CommandHandler> = {
  universe: (value, context, name) => {
    const universe = universes[value.toLowerCase()];
    if (universe === undefined)
      throw new SubmitError(
        context.position,
        `${name}: ${value}: not supported (vanilla, local and parallel are)`,
      );
    context.ad.set('JobUniverse', integerLiteral(universe));
  },
  initialdir: (value, context) =>
    context.ad.set('Iwd', stringLiteral(resolve(context.environment.cwd, value))),
  executable: (value, context, name) => {
    if (value === '') throw new SubmitError(context.position, `${name}: must not be empty`);
    context.ad.set('Cmd', stringLiteral(resolve(context.environment.cwd, value)));
  },
  arguments: (value, context, name) => {
    const parsed = withErrorPosition(context, name, () => parseArguments(value));
    context.ad.set('Args', stringLiteral(parsed.text));
    if (parsed.isNew) context.ad.set('Arguments', stringLiteral(parsed.text));
  },
  getenv: (value, context) => {
    const vars = selectVariables(value, context);
    if (vars.length > 0) setEnvironment(context, joinVariables(vars), true);
  },
  environment: (value, context, name) => {
    const parsed = withErrorPosition(context, name, () => parseEnvironment(value));
    const before = stringLiteralValue(context.ad.get('Environment'));
    if (before === null) return setEnvironment(context, parsed.text, parsed.isNew);
    // Variables of this command override those selected by getenv.
    const names = new Set(parsed.vars.map(([variable]) => variable));
    const kept = parseNewSyntaxVariables(before).filter(([variable]) => !names.has(variable));
    setEnvironment(context, joinVariables([...kept, ...parsed.vars]), true);
  },
  input: setString('In'),
  output: setString('Out'),
  error: setString('Err'),
  log: (value, context) =>
    context.ad.set(
      'UserLog',
      stringLiteral(resolve(stringLiteralValue(context.ad.get('Iwd')) ?? context.environment.cwd, value)),
    ),
  request_cpus: setCount('RequestCpus', 1),
  request_memory: setAmount('RequestMemory', bytesPerUnit['m']),
  request_disk: setAmount('RequestDisk', bytesPerUnit['k']),
  request_gpus: setCount('RequestGPUs', 0),
  machine_count: (value, context, name) => {
    setCount('MinHosts', 1)(value, context, name);
    context.ad.set('MaxHosts', context.ad.get('MinHosts')!);
  },
  requirements: setExpr('Requirements'),
  rank: setExpr('Rank'),
  priority: setInteger('JobPrio'),
  max_retries: setInteger('JobMaxRetries'),
  success_exit_code: setInteger('JobSuccessExitCode'),
  retry_until: (value, context, name) => {
    const condition = parseExpression(value, context, name);
    context.ad.set(
      'RetryUntil',
      condition.kind === 'literal' && typeof condition.value === 'bigint'
        ? parseExpression(`ExitCode =?= ${condition.value}`, context, name)
        : condition,
    );
  },
  periodic_hold: setExpr('PeriodicHold'),
  periodic_hold_reason: setExpr('PeriodicHoldReason'),
  periodic_hold_subcode: setExpr('PeriodicHoldSubCode'),
  periodic_release: setExpr('PeriodicRelease'),
  periodic_remove: setExpr('PeriodicRemove'),
  on_exit_hold: setExpr('OnExitHold'),
  on_exit_hold_reason: setExpr('OnExitHoldReason'),
  on_exit_hold_subcode: setExpr('OnExitHoldSubCode'),
  on_exit_remove: setExpr('OnExitRemove'),
  hold: (value, context, name) => {
    if (!parseBoolean(value, context, name)) return;
    context.ad.set('JobStatus', integerLiteral(5));
    context.ad.set('HoldReason', stringLiteral("submitted on hold at user's request"));
    context.ad.set('HoldReasonCode', integerLiteral(15));
  },
  leave_in_queue: setExpr('LeaveJobInQueue'),
  deferral_time: setExpr('DeferralTime'),
  deferral_window: setExpr('DeferralWindow'),
  deferral_prep_time: setExpr('DeferralPrepTime'),
  accounting_group: setString('AcctGroup'),
  accounting_group_user: setString('AcctGroupUser'),
  batch_name: setString('JobBatchName'),
  description: setString('JobDescription'),
  allowed_execute_duration: setInteger('AllowedExecuteDuration'),
  allowed_job_duration: setInteger('AllowedJobDuration'),
  nice_user: setBoolean('NiceUser'),
  notification: (value, context, name) => {
    const notification = notifications[value.toLowerCase()];
    if (notification === undefined)
      throw new SubmitError(context.position, `${name}: ${value}: must be always, complete, error or never`);
    context.ad.set('JobNotification', integerLiteral(notification));
    if (notification !== 0) context.warnings.add(context.position, `${name}: accepted, but no mail is sent`);
  },
};
