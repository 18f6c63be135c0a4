/** Job attributes that no command sets directly: defaults, and attributes derived from others. */
import { literal, parseExpr, printExpr, stringLiteralValue } from '../classad/index.js';
import { integerLiteral, stringLiteral, type CommandContext } from './command-handlers.js';

/** Adds the attributes that are derived from others. Called after all commands were applied. */
export function addDerivedAttributes(context: CommandContext): void {
  const { ad } = context;
  const isSet = (name: string): boolean => ad.has(name);
  const retries = ad.get('JobMaxRetries');
  if (!isSet('OnExitRemove') && (retries || isSet('RetryUntil') || isSet('JobSuccessExitCode'))) {
    if (!retries) ad.set('JobMaxRetries', integerLiteral(2));
    const code = ad.get('JobSuccessExitCode');
    const succeeded = code ? `ExitCode =?= ${printExpr(code)}` : 'ExitCode =?= 0';
    const until = ad.get('RetryUntil');
    const alternative = until ? ` || ${printExpr(until, 3)}` : '';
    ad.set('OnExitRemove', parseExpr(`NumJobCompletions > JobMaxRetries || ${succeeded}${alternative}`));
  }
  const group = ad.get('AcctGroup');
  const user = ad.get('AcctGroupUser');
  if (group?.kind === 'literal') {
    const name = stringLiteralValue(user) ?? context.environment.user;
    ad.set('AccountingGroup', stringLiteral(`${String(group.value)}.${name}`));
  }
}

/** Adds the default attributes of every job. Called before commands are applied. */
export function addDefaultAttributes(context: CommandContext): void {
  const { ad } = context;
  ad.set('JobUniverse', integerLiteral(5));
  ad.set('Owner', stringLiteral(context.environment.user));
  ad.set('JobStatus', integerLiteral(1));
  ad.set('JobPrio', integerLiteral(0));
  ad.set('Iwd', stringLiteral(context.environment.cwd));
  ad.set('In', stringLiteral('/dev/null'));
  ad.set('Out', stringLiteral('/dev/null'));
  ad.set('Err', stringLiteral('/dev/null'));
  ad.set('RequestCpus', integerLiteral(1));
  ad.set('RequestMemory', integerLiteral(128));
  ad.set('RequestDisk', integerLiteral(1024));
  ad.set('Requirements', literal(true));
  ad.set('Rank', literal(0));
  ad.set('LeaveJobInQueue', literal(false));
  ad.set('PeriodicHold', literal(false));
  ad.set('PeriodicRelease', literal(false));
  ad.set('PeriodicRemove', literal(false));
  ad.set('OnExitHold', literal(false));
}
