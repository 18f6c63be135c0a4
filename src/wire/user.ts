/**
 * The users' protocol: submissions and states of jobs. Its names: `owner` is the team, `pieces` the number of tasks, `cards` GPUs,
 * `bundle` and `pullGb` the image and its size, `flavours` machine types, `yard` the zone, `loaners` spot, `expectS` the estimated
 * run time, `snapshotS` and `flushS` the interval and duration of checkpoints, `dueS` the deadline.
 */
import * as v from 'valibot';
import type { CommandSpec, JobSpec, JobState, MatchSpec, JobShape, Urgency } from '../model/job.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(120), v.regex(/^\S+$/));
const optional = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

/** Job shapes by their names in the protocol. */
const shapes: Record<string, JobShape> = { sweep: 'array', ensemble: 'gang', standing: 'service' };
/** Urgencies by their names in the protocol. */
const urgencies: Record<string, Urgency> = {
  production: 'production',
  urgent: 'high',
  normal: 'normal',
  low: 'low',
};

/** The fields of jobs that run commands on agents. */
const commandFields = {
  command: optional(v.pipe(v.array(v.string()), v.minLength(1), v.maxLength(1000))),
  env: optional(v.record(v.pipe(v.string(), v.regex(/^[A-Za-z_]\w*$/, 'must be a name')), v.string())),
  dir: optional(v.pipe(v.string(), v.startsWith('/', 'must be an absolute path'))),
  stdout: optional(v.pipe(v.string(), v.minLength(1))),
  stderr: optional(v.pipe(v.string(), v.minLength(1))),
  wallS: optional(v.pipe(v.number(), v.finite(), v.gtValue(0))),
  retries: optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1000))),
  numberFrom: optional(v.pipe(v.number(), v.integer(), v.minValue(0))),
};

const expression = v.pipe(v.string(), v.minLength(1), v.maxLength(4096));
/** The fields of jobs with expressions over machines' attributes. */
const matchFields = {
  requirements: optional(expression),
  rank: optional(expression),
  attributes: optional(
    v.pipe(
      v.record(
        v.pipe(v.string(), v.regex(/^[A-Za-z_]\w*$/, 'must be a name')),
        v.union([v.number(), v.boolean(), expression]),
      ),
      v.maxEntries(100),
    ),
  ),
};

const submission = v.object({
  ...commandFields,
  ...matchFields,
  nameId: v.pipe(v.string(), v.regex(/^req-\d{1,20}$/)),
  jobclass: text,
  owner: text,
  shape: v.picklist(['sweep', 'ensemble', 'standing']),
  urgency: v.picklist(['production', 'urgent', 'normal', 'low']),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cpus: amount,
  cards: amount,
  memGb: amount,
  bundle: text,
  pullGb: amount,
  flavours: optional(v.pipe(v.array(text), v.maxLength(500))),
  yard: optional(text),
  oneZone: v.boolean(),
  apart: v.boolean(),
  loaners: v.boolean(),
  expectS: amount,
  snapshotS: amount,
  flushS: amount,
  dueS: optional(amount),
});

/** Reads a submission; a string says what is wrong with it. */
export function parseSubmission(body: unknown): JobSpec | string {
  const r = v.safeParse(submission, body);
  if (!r.success) return `${v.getDotPath(r.issues[0]) ?? 'body'}: ${r.issues[0].message}`;
  const b = r.output;
  const command = commandOf(b);
  if (typeof command === 'string') return command;
  const match = matchOf(b);
  if (typeof match === 'string') return match;
  return {
    ...(command ? { command } : {}),
    ...(match ? { match } : {}),
    id: b.nameId,
    class: b.jobclass,
    team: b.owner,
    shape: shapes[b.shape],
    urgency: urgencies[b.urgency],
    tasks: b.pieces,
    cpus: b.cpus,
    gpus: b.cards,
    memGb: b.memGb,
    image: b.bundle,
    imageGb: b.pullGb,
    types: b.flavours,
    zone: b.yard,
    oneZone: b.oneZone,
    apart: b.apart,
    spot: b.loaners,
    estimateS: b.expectS,
    checkpointS: b.snapshotS,
    saveS: b.flushS,
    deadlineS: b.dueS,
  };
}

/** The command of a submission; null: none; a string says what is wrong with it. */
function commandOf(b: v.InferOutput<typeof submission>): CommandSpec | null | string {
  const { command, env, dir, stdout, stderr, wallS, retries, numberFrom } = b;
  if (command === null) {
    for (const [name, value] of Object.entries({ env, dir, stdout, stderr, wallS, retries, numberFrom }))
      if (value !== null) return `${name}: only together with command`;
    return null;
  }
  if (command[0] === '') return 'command.0: must not be empty';
  const counted = numberFrom === null ? {} : { first: numberFrom };
  return { argv: command, env: env ?? {}, dir, stdout, stderr, wallS, retries: retries ?? 0, ...counted };
}

/** The match expressions of a submission; null: none; a string says what is wrong with them. */
function matchOf(b: v.InferOutput<typeof submission>): MatchSpec | null | string {
  const { requirements, rank } = b;
  if (requirements === null && rank === null)
    return b.attributes === null ? null : 'attributes: only together with requirements or rank';
  // The requested resources are attributes of the job too; attributes that it sets itself override them, in any letter case.
  const attributes: Record<string, string> = {
    RequestCpus: String(b.cpus),
    RequestGPUs: String(b.cards),
    RequestMemory: String(Math.ceil(b.memGb * 1024)),
  };
  for (const [name, x] of Object.entries(b.attributes ?? {})) {
    const same = Object.keys(attributes).find((n) => n.toLowerCase() === name.toLowerCase());
    if (same !== undefined) delete attributes[same];
    attributes[name] = String(x);
  }
  return { requirements, rank, attributes };
}

/** The defaults of a submission: no image, no restriction of machines, no deadline. */
export const defaultSubmission = {
  urgency: 'normal',
  cpus: 1,
  cards: 0,
  memGb: 0.1,
  bundle: 'none',
  pullGb: 0,
  oneZone: false,
  apart: false,
  loaners: false,
  expectS: 0,
  snapshotS: 0,
  flushS: 0,
  dueS: null,
};

/** The path of job requests. */
export const jobPath = '/work';
/** The last segment of the path of a cancellation. */
export const cancelSuffix = 'withdraw';

/** Whether this can be a job's ID. IDs are part of keys in the state service, so no others are accepted. */
export const isJobId = (id: string): boolean => /^req-\d{1,20}$/.test(id);

/** The name of a job's state in the protocol. */
export function jobStatus(state: JobState, running: number): 'pending' | 'running' | 'done' | 'aborted' {
  if (state === 'done') return 'done';
  if (state === 'cancelled') return 'aborted';
  return running > 0 ? 'running' : 'pending';
}
