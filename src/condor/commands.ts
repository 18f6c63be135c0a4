import { resolve } from 'node:path';
import {
  Ad,
  ClassAdError,
  evaluate,
  literal,
  parseExpr,
  printExpr,
  textOf,
  type Expr,
} from '../classad/index.js';
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';
import { joinVariables, parseNewSyntaxVariables, parseArguments, parseEnvironment } from './quoting.js';

/** What a command is given to work with: the job's attributes so far, and where it stands. */
export interface CommandContext {
  ad: Ad;
  position: SourcePosition;
  environment: SubmitEnvironment;
  warnings: Warnings;
}

type Handler = (value: string, m: CommandContext, name: string) => void;

const textLiteral = (v: string): Expr => literal(v);
const integerLiteral = (n: number): Expr => literal(BigInt(n));

/** An expression of the language; it may be put in brackets in messages only. */
export function parseExpression(value: string, context: CommandContext, name: string): Expr {
  try {
    return parseExpr(value);
  } catch (e) {
    if (e instanceof ClassAdError)
      throw new SubmitError(context.position, `${name}: column ${e.column}: ${e.reason}`);
    throw e;
  }
}

const setText =
  (attr: string): Handler =>
  (value, m) =>
    m.ad.set(attr, textLiteral(value));
const setExpr =
  (attr: string): Handler =>
  (value, m, name) =>
    m.ad.set(attr, parseExpression(value, m, name));
const setInteger =
  (attr: string): Handler =>
  (value, m, name) => {
    if (!/^-?\d+$/.test(value))
      throw new SubmitError(m.position, `${name}: ${value}: must be a whole number`);
    m.ad.set(attr, integerLiteral(Number(value)));
  };
function parseBoolean(value: string, context: CommandContext, name: string): boolean {
  if (/^(true|yes|1|t)$/i.test(value)) return true;
  if (/^(false|no|0|f)$/i.test(value)) return false;
  throw new SubmitError(context.position, `${name}: ${value}: must be true or false`);
}
const setBoolean =
  (attr: string): Handler =>
  (value, m, name) =>
    m.ad.set(attr, literal(parseBoolean(value, m, name)));

const units: Record<string, number> = { b: 1, k: 2 ** 10, m: 2 ** 20, g: 2 ** 30, t: 2 ** 40 };

/** An amount: a number with a unit, or an expression in the attribute's own unit. */
const setAmount =
  (attr: string, unit: number): Handler =>
  (value, m, name) => {
    const n = /^(\d+(?:\.\d+)?)\s*([bkmgt]?)(?:i?b)?$/i.exec(value);
    const size = n && (n[2] === '' ? unit : units[n[2].toLowerCase()]);
    if (n && size !== null) return m.ad.set(attr, integerLiteral(Math.ceil((Number(n[1]) * size) / unit)));
    if (/^\d/.test(value) && /[a-z]$/i.test(value) && !/[()+*/-]/.test(value))
      throw new SubmitError(m.position, `${name}: ${value}: no such unit (K, M, G or T)`);
    m.ad.set(attr, parseCount(value, m, name));
  };

/** A number, or an expression that is left to be evaluated. */
function parseCount(value: string, context: CommandContext, name: string): Expr {
  const expression = parseExpression(value, context, name);
  const result = evaluate(expression, new Ad());
  if (typeof result === 'bigint' || typeof result === 'number') {
    if (result < 0) throw new SubmitError(context.position, `${name}: ${value}: must not be below zero`);
    return literal(result);
  }
  if (expression.k === 'lit') throw new SubmitError(context.position, `${name}: ${value}: must be a number`);
  return expression;
}

const setCount =
  (attr: string, min: number): Handler =>
  (value, m, name) => {
    const e = parseCount(value, m, name);
    if (e.k === 'lit' && Number(e.v) < min)
      throw new SubmitError(m.position, `${name}: ${value}: must be at least ${min}`);
    m.ad.set(attr, e);
  };

const withPosition = <T>(context: CommandContext, name: string, parse: () => T): T => {
  try {
    return parse();
  } catch (e) {
    throw new SubmitError(context.position, `${name}: ${String((e as Error).message)}`);
  }
};

function setEnvironment(context: CommandContext, value: string, isNew: boolean): void {
  context.ad.set('Env', textLiteral(value));
  if (isNew) context.ad.set('Environment', textLiteral(value));
}

const universes: Record<string, number> = { vanilla: 5, '5': 5, local: 12, '12': 12, parallel: 11, '11': 11 };
const notifications: Record<string, number> = { never: 0, always: 1, complete: 2, error: 3 };

/** Whole environments or parts of it that are taken along. */
function selectVariables(value: string, context: CommandContext): [string, string][] {
  const all = Object.entries(context.environment.env).filter(
    (e): e is [string, string] => e[1] !== undefined,
  );
  if (/^(true|yes)$/i.test(value)) return all;
  if (/^(false|no)$/i.test(value)) return [];
  const patterns = value.split(/[\s,]+/).filter((p) => p !== '');
  const toRegExp = (p: string): RegExp =>
    new RegExp(`^${p.replace(/[.+?^${}()|[\]\\]/g, '\\$&').replaceAll('*', '.*')}$`);
  const excluded = patterns.filter((p) => p.startsWith('!')).map((p) => toRegExp(p.slice(1)));
  const included = patterns.filter((p) => !p.startsWith('!')).map(toRegExp);
  return all.filter(([n]) => included.some((p) => p.test(n)) && !excluded.some((p) => p.test(n)));
}

/** In this order they are worked off, whatever the order in the file: later ones may need earlier ones. */
export const commands: Record<string, Handler> = {
  universe: (value, m, name) => {
    const u = universes[value.toLowerCase()];
    if (u === undefined)
      throw new SubmitError(m.position, `${name}: ${value}: not supported (vanilla, local and parallel are)`);
    m.ad.set('JobUniverse', integerLiteral(u));
  },
  initialdir: (value, m) => m.ad.set('Iwd', textLiteral(resolve(m.environment.cwd, value))),
  executable: (value, m, name) => {
    if (value === '') throw new SubmitError(m.position, `${name}: must not be empty`);
    m.ad.set('Cmd', textLiteral(resolve(m.environment.cwd, value)));
  },
  arguments: (value, m, name) => {
    const a = withPosition(m, name, () => parseArguments(value));
    m.ad.set('Args', textLiteral(a.text));
    if (a.isNew) m.ad.set('Arguments', textLiteral(a.text));
  },
  getenv: (value, m) => {
    const vars = selectVariables(value, m);
    if (vars.length > 0) setEnvironment(m, joinVariables(vars), true);
  },
  environment: (value, m, name) => {
    const e = withPosition(m, name, () => parseEnvironment(value));
    const before = textOf(m.ad.get('Environment'));
    if (before === null) return setEnvironment(m, e.text, e.isNew);
    // After getenv: what is named here wins.
    const names = new Set(e.vars.map(([n]) => n));
    const kept = parseNewSyntaxVariables(before).filter(([n]) => !names.has(n));
    setEnvironment(m, joinVariables([...kept, ...e.vars]), true);
  },
  input: setText('In'),
  output: setText('Out'),
  error: setText('Err'),
  log: (value, m) =>
    m.ad.set('UserLog', textLiteral(resolve(textOf(m.ad.get('Iwd')) ?? m.environment.cwd, value))),
  request_cpus: setCount('RequestCpus', 1),
  request_memory: setAmount('RequestMemory', units['m']),
  request_disk: setAmount('RequestDisk', units['k']),
  request_gpus: setCount('RequestGPUs', 0),
  machine_count: (value, m, name) => {
    setCount('MinHosts', 1)(value, m, name);
    m.ad.set('MaxHosts', m.ad.get('MinHosts')!);
  },
  requirements: setExpr('Requirements'),
  rank: setExpr('Rank'),
  priority: setInteger('JobPrio'),
  max_retries: setInteger('JobMaxRetries'),
  success_exit_code: setInteger('JobSuccessExitCode'),
  retry_until: (value, m, name) => {
    const e = parseExpression(value, m, name);
    m.ad.set(
      'RetryUntil',
      e.k === 'lit' && typeof e.v === 'bigint' ? parseExpression(`ExitCode =?= ${e.v}`, m, name) : e,
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
  hold: (value, m, name) => {
    if (!parseBoolean(value, m, name)) return;
    m.ad.set('JobStatus', integerLiteral(5));
    m.ad.set('HoldReason', textLiteral("submitted on hold at user's request"));
    m.ad.set('HoldReasonCode', integerLiteral(15));
  },
  leave_in_queue: setExpr('LeaveJobInQueue'),
  deferral_time: setExpr('DeferralTime'),
  deferral_window: setExpr('DeferralWindow'),
  deferral_prep_time: setExpr('DeferralPrepTime'),
  accounting_group: setText('AcctGroup'),
  accounting_group_user: setText('AcctGroupUser'),
  batch_name: setText('JobBatchName'),
  description: setText('JobDescription'),
  allowed_execute_duration: setInteger('AllowedExecuteDuration'),
  allowed_job_duration: setInteger('AllowedJobDuration'),
  nice_user: setBoolean('NiceUser'),
  notification: (value, m, name) => {
    const n = notifications[value.toLowerCase()];
    if (n === undefined)
      throw new SubmitError(m.position, `${name}: ${value}: must be always, complete, error or never`);
    m.ad.set('JobNotification', integerLiteral(n));
    if (n !== 0) m.warnings.add(m.position, `${name}: accepted, but no mail is sent`);
  },
};

/** Other names that the manual gives some of them. */
export const aliases: Record<string, string> = {
  initial_dir: 'initialdir',
  iwd: 'initialdir',
  jobuniverse: 'universe',
  cmd: 'executable',
  args: 'arguments',
  env: 'environment',
  stdin: 'input',
  in: 'input',
  stdout: 'output',
  out: 'output',
  stderr: 'error',
  err: 'error',
  userlog: 'log',
  requestcpus: 'request_cpus',
  request_cpu: 'request_cpus',
  requestmemory: 'request_memory',
  requestdisk: 'request_disk',
  requestgpus: 'request_gpus',
  request_gpu: 'request_gpus',
  preferences: 'rank',
  prio: 'priority',
  jobprio: 'priority',
  accountinggroup: 'accounting_group',
};

/** Accepted, because the job is the same without it; what is different is said. */
export const ignoredCommands: Record<string, string> = {
  should_transfer_files: 'no files are transferred: jobs run in their initial directory',
  when_to_transfer_output: 'no files are transferred: jobs run in their initial directory',
  transfer_input_files: 'no files are transferred: jobs run in their initial directory',
  transfer_output_files: 'no files are transferred: jobs run in their initial directory',
  transfer_executable: 'no files are transferred: the executable is run where it is',
  transfer_input: 'no files are transferred',
  transfer_output: 'no files are transferred',
  transfer_error: 'no files are transferred',
  preserve_relative_paths: 'no files are transferred',
  stream_output: 'output is written as it comes, always',
  stream_error: 'output is written as it comes, always',
  stream_input: 'input is read from its file',
  notify_user: 'accepted, but no mail is sent',
  email_attributes: 'accepted, but no mail is sent',
  copy_to_spool: 'nothing is copied: the executable is run where it is',
  image_size: 'not used: request_memory is',
  rendezvousdir: 'not used',
  coresize: 'not used',
  job_lease_duration: "agents' leases are the operator's to set",
  job_ad_information_attrs: 'not used',
  log_xml: 'the log is written in the plain format',
  want_graceful_removal: 'jobs are always asked to end before they are killed',
  kill_sig: 'jobs are asked to end by SIGTERM',
  remove_kill_sig: 'jobs are asked to end by SIGTERM',
  hold_kill_sig: 'jobs are asked to end by SIGTERM',
  kill_sig_timeout: "the time to end is the agent's setting",
  job_max_vacate_time: "the time to end is the agent's setting",
  next_job_start_delay: 'not used',
  max_idle: 'not used: all jobs are queued at once',
  max_materialize: 'not used: all jobs are queued at once',
  submit_event_notes: 'not used',
  keep_claim_idle: 'not used',
  run_as_owner: 'jobs run as the user that the agent runs as',
  load_profile: 'not used',
  skip_filechecks: 'not used',
  append_files: 'output files are appended to, always',
};

/** Without these a job would be another one. */
export const unsupportedCommands: Record<string, string> = {
  docker_image: 'containers are not supported',
  container_image: 'containers are not supported',
  container_target_dir: 'containers are not supported',
  docker_network_type: 'containers are not supported',
  singularity_image: 'containers are not supported',
  concurrency_limits: 'counted resources are not supported yet',
  concurrency_limits_expr: 'counted resources are not supported yet',
  grid_resource: 'the grid universe is not supported',
  vm_type: 'the vm universe is not supported',
  vm_memory: 'the vm universe is not supported',
  vm_disk: 'the vm universe is not supported',
  jar_files: 'the java universe is not supported',
  java_vm_args: 'the java universe is not supported',
  use_x509userproxy: 'credentials are not supported',
  x509userproxy: 'credentials are not supported',
  use_oauth_services: 'credentials are not supported',
  encrypt_execute_directory: 'encrypted directories are not supported',
  encrypt_input_files: 'files are not transferred, so not encrypted',
  cron_minute: 'repeated jobs are not supported',
  cron_hour: 'repeated jobs are not supported',
  cron_day_of_month: 'repeated jobs are not supported',
  cron_month: 'repeated jobs are not supported',
  cron_day_of_week: 'repeated jobs are not supported',
  checkpoint_exit_code: 'checkpoints by exit code are not supported',
  deferral_user: 'not supported',
  dagman_log: 'workflows are not supported',
  noop_job: 'jobs that do nothing are not supported',
  output_destination: 'output cannot be sent elsewhere',
  transfer_output_remaps: 'output cannot be renamed: name it with output',
  manifest: 'not supported',
  job_machine_attrs: 'not supported',
  require_gpus: 'requirements on single GPUs are not supported: use requirements',
  gpus_minimum_memory: 'requirements on single GPUs are not supported: use requirements',
  gpus_minimum_capability: 'requirements on single GPUs are not supported: use requirements',
};

/** The attributes that follow from others, once all commands are done. */
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
  if (group?.k === 'lit') {
    const name = textOf(user) ?? context.environment.user;
    ad.set('AccountingGroup', textLiteral(`${String(group.v)}.${name}`));
  }
}

/** What every job has. */
export function addDefaultAttributes(context: CommandContext): void {
  const { ad } = context;
  ad.set('JobUniverse', integerLiteral(5));
  ad.set('Owner', textLiteral(context.environment.user));
  ad.set('JobStatus', integerLiteral(1));
  ad.set('JobPrio', integerLiteral(0));
  ad.set('Iwd', textLiteral(context.environment.cwd));
  ad.set('In', textLiteral('/dev/null'));
  ad.set('Out', textLiteral('/dev/null'));
  ad.set('Err', textLiteral('/dev/null'));
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
