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
import { SubmitError, type Place, type Warnings } from './errors.js';
import type { Outside } from './submit-environment.js';
import { joinVariables, newVariables, parseArguments, parseEnvironment } from './quoting.js';

/** What a command is given to work with: the job's attributes so far, and where it stands. */
export interface Making {
  ad: Ad;
  at: Place;
  outside: Outside;
  warnings: Warnings;
}

type Handler = (value: string, m: Making, name: string) => void;

const text = (v: string): Expr => literal(v);
const whole = (n: number): Expr => literal(BigInt(n));

/** An expression of the language; it may be put in brackets in messages only. */
export function expression(value: string, m: Making, name: string): Expr {
  try {
    return parseExpr(value);
  } catch (e) {
    if (e instanceof ClassAdError) throw new SubmitError(m.at, `${name}: column ${e.column}: ${e.what}`);
    throw e;
  }
}

const setText =
  (attr: string): Handler =>
  (value, m) =>
    m.ad.set(attr, text(value));
const setExpr =
  (attr: string): Handler =>
  (value, m, name) =>
    m.ad.set(attr, expression(value, m, name));
const setWhole =
  (attr: string): Handler =>
  (value, m, name) => {
    if (!/^-?\d+$/.test(value)) throw new SubmitError(m.at, `${name}: ${value}: must be a whole number`);
    m.ad.set(attr, whole(Number(value)));
  };
function boolean(value: string, m: Making, name: string): boolean {
  if (/^(true|yes|1|t)$/i.test(value)) return true;
  if (/^(false|no|0|f)$/i.test(value)) return false;
  throw new SubmitError(m.at, `${name}: ${value}: must be true or false`);
}
const setBoolean =
  (attr: string): Handler =>
  (value, m, name) =>
    m.ad.set(attr, literal(boolean(value, m, name)));

const units: Record<string, number> = { b: 1, k: 2 ** 10, m: 2 ** 20, g: 2 ** 30, t: 2 ** 40 };

/** An amount: a number with a unit, or an expression in the attribute's own unit. */
const setAmount =
  (attr: string, unit: number): Handler =>
  (value, m, name) => {
    const n = /^(\d+(?:\.\d+)?)\s*([bkmgt]?)(?:i?b)?$/i.exec(value);
    const size = n && (n[2] === '' ? unit : units[n[2].toLowerCase()]);
    if (n && size !== null) return m.ad.set(attr, whole(Math.ceil((Number(n[1]) * size) / unit)));
    if (/^\d/.test(value) && /[a-z]$/i.test(value) && !/[()+*/-]/.test(value))
      throw new SubmitError(m.at, `${name}: ${value}: no such unit (K, M, G or T)`);
    m.ad.set(attr, counted(value, m, name));
  };

/** A number, or an expression that is left to be evaluated. */
function counted(value: string, m: Making, name: string): Expr {
  const e = expression(value, m, name);
  const v = evaluate(e, new Ad());
  if (typeof v === 'bigint' || typeof v === 'number') {
    if (v < 0) throw new SubmitError(m.at, `${name}: ${value}: must not be below zero`);
    return literal(v);
  }
  if (e.k === 'lit') throw new SubmitError(m.at, `${name}: ${value}: must be a number`);
  return e;
}

const setCount =
  (attr: string, least: number): Handler =>
  (value, m, name) => {
    const e = counted(value, m, name);
    if (e.k === 'lit' && Number(e.v) < least)
      throw new SubmitError(m.at, `${name}: ${value}: must be at least ${least}`);
    m.ad.set(attr, e);
  };

const quoted = <T>(m: Making, name: string, f: () => T): T => {
  try {
    return f();
  } catch (e) {
    throw new SubmitError(m.at, `${name}: ${String((e as Error).message)}`);
  }
};

function setEnvironment(m: Making, value: string, isNew: boolean): void {
  m.ad.set('Env', text(value));
  if (isNew) m.ad.set('Environment', text(value));
}

const universes: Record<string, number> = { vanilla: 5, '5': 5, local: 12, '12': 12, parallel: 11, '11': 11 };
const notifications: Record<string, number> = { never: 0, always: 1, complete: 2, error: 3 };

/** Whole environments or parts of it that are taken along. */
function taken(value: string, m: Making): [string, string][] {
  const all = Object.entries(m.outside.env).filter((e): e is [string, string] => e[1] !== undefined);
  if (/^(true|yes)$/i.test(value)) return all;
  if (/^(false|no)$/i.test(value)) return [];
  const patterns = value.split(/[\s,]+/).filter((p) => p !== '');
  const form = (p: string): RegExp =>
    new RegExp(`^${p.replace(/[.+?^${}()|[\]\\]/g, '\\$&').replaceAll('*', '.*')}$`);
  const out = patterns.filter((p) => p.startsWith('!')).map((p) => form(p.slice(1)));
  const into = patterns.filter((p) => !p.startsWith('!')).map(form);
  return all.filter(([n]) => into.some((p) => p.test(n)) && !out.some((p) => p.test(n)));
}

/** In this order they are worked off, whatever the order in the file: later ones may need earlier ones. */
export const commands: Record<string, Handler> = {
  universe: (value, m, name) => {
    const u = universes[value.toLowerCase()];
    if (u === undefined)
      throw new SubmitError(m.at, `${name}: ${value}: not supported (vanilla, local and parallel are)`);
    m.ad.set('JobUniverse', whole(u));
  },
  initialdir: (value, m) => m.ad.set('Iwd', text(resolve(m.outside.cwd, value))),
  executable: (value, m, name) => {
    if (value === '') throw new SubmitError(m.at, `${name}: must not be empty`);
    m.ad.set('Cmd', text(resolve(m.outside.cwd, value)));
  },
  arguments: (value, m, name) => {
    const a = quoted(m, name, () => parseArguments(value));
    m.ad.set('Args', text(a.text));
    if (a.isNew) m.ad.set('Arguments', text(a.text));
  },
  getenv: (value, m) => {
    const vars = taken(value, m);
    if (vars.length > 0) setEnvironment(m, joinVariables(vars), true);
  },
  environment: (value, m, name) => {
    const e = quoted(m, name, () => parseEnvironment(value));
    const before = textOf(m.ad.get('Environment'));
    if (before === null) return setEnvironment(m, e.text, e.isNew);
    // After getenv: what is named here wins.
    const names = new Set(e.vars.map(([n]) => n));
    const kept = newVariables(before).filter(([n]) => !names.has(n));
    setEnvironment(m, joinVariables([...kept, ...e.vars]), true);
  },
  input: setText('In'),
  output: setText('Out'),
  error: setText('Err'),
  log: (value, m) => m.ad.set('UserLog', text(resolve(textOf(m.ad.get('Iwd')) ?? m.outside.cwd, value))),
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
  priority: setWhole('JobPrio'),
  max_retries: setWhole('JobMaxRetries'),
  success_exit_code: setWhole('JobSuccessExitCode'),
  retry_until: (value, m, name) => {
    const e = expression(value, m, name);
    m.ad.set(
      'RetryUntil',
      e.k === 'lit' && typeof e.v === 'bigint' ? expression(`ExitCode =?= ${e.v}`, m, name) : e,
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
    if (!boolean(value, m, name)) return;
    m.ad.set('JobStatus', whole(5));
    m.ad.set('HoldReason', text("submitted on hold at user's request"));
    m.ad.set('HoldReasonCode', whole(15));
  },
  leave_in_queue: setExpr('LeaveJobInQueue'),
  deferral_time: setExpr('DeferralTime'),
  deferral_window: setExpr('DeferralWindow'),
  deferral_prep_time: setExpr('DeferralPrepTime'),
  accounting_group: setText('AcctGroup'),
  accounting_group_user: setText('AcctGroupUser'),
  batch_name: setText('JobBatchName'),
  description: setText('JobDescription'),
  allowed_execute_duration: setWhole('AllowedExecuteDuration'),
  allowed_job_duration: setWhole('AllowedJobDuration'),
  nice_user: setBoolean('NiceUser'),
  notification: (value, m, name) => {
    const n = notifications[value.toLowerCase()];
    if (n === undefined)
      throw new SubmitError(m.at, `${name}: ${value}: must be always, complete, error or never`);
    m.ad.set('JobNotification', whole(n));
    if (n !== 0) m.warnings.add(m.at, `${name}: accepted, but no mail is sent`);
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
export const harmless: Record<string, string> = {
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
export const refused: Record<string, string> = {
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
export function finish(m: Making): void {
  const { ad } = m;
  const given = (name: string): boolean => ad.has(name);
  const retries = ad.get('JobMaxRetries');
  if (!given('OnExitRemove') && (retries || given('RetryUntil') || given('JobSuccessExitCode'))) {
    if (!retries) ad.set('JobMaxRetries', whole(2));
    const code = ad.get('JobSuccessExitCode');
    const ok = code ? `ExitCode =?= ${printExpr(code)}` : 'ExitCode =?= 0';
    const until = ad.get('RetryUntil');
    const more = until ? ` || ${printExpr(until, 3)}` : '';
    ad.set('OnExitRemove', parseExpr(`NumJobCompletions > JobMaxRetries || ${ok}${more}`));
  }
  const group = ad.get('AcctGroup');
  const user = ad.get('AcctGroupUser');
  if (group?.k === 'lit') {
    const name = textOf(user) ?? m.outside.user;
    ad.set('AccountingGroup', text(`${String(group.v)}.${name}`));
  }
}

/** What every job has. */
export function defaults(m: Making): void {
  const { ad } = m;
  ad.set('JobUniverse', whole(5));
  ad.set('Owner', text(m.outside.user));
  ad.set('JobStatus', whole(1));
  ad.set('JobPrio', whole(0));
  ad.set('Iwd', text(m.outside.cwd));
  ad.set('In', text('/dev/null'));
  ad.set('Out', text('/dev/null'));
  ad.set('Err', text('/dev/null'));
  ad.set('RequestCpus', whole(1));
  ad.set('RequestMemory', whole(128));
  ad.set('RequestDisk', whole(1024));
  ad.set('Requirements', literal(true));
  ad.set('Rank', literal(0));
  ad.set('LeaveJobInQueue', literal(false));
  ad.set('PeriodicHold', literal(false));
  ad.set('PeriodicRelease', literal(false));
  ad.set('PeriodicRemove', literal(false));
  ad.set('OnExitHold', literal(false));
}
