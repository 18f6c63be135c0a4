/**
 * The workers' protocol, on the workers' side: heartbeats out, task orders in. Also what agents and a control service add to it:
 * results of tasks, joining, and descriptions of jobs. `worker.ts` explains the names of the protocol.
 */
import * as v from 'valibot';
import { taskKey, parseTaskKey, type CommandSpec } from '../model/job.js';
import type { DirectOrder, ExitReason, TaskOrder, TaskPhase } from '../model/heartbeat.js';
import { phaseName, exitReasonName } from './worker.js';

/** How a task on an agent ended. Times are times of day, ms. */
export interface TaskResult {
  /** The exit code; null: a signal ended the task, or the exit code is unknown. */
  exit: number | null;
  signal: string | null;
  reason: ResultReason;
  startedAt: number;
  endedAt: number;
}
/** All reasons for which a task on an agent can end. */
export const resultReasons = [
  'exited',
  'wall time',
  'memory',
  'stopped',
  'cannot run',
  'lost',
  'gang',
] as const;
/** Why a task on an agent ended. */
export type ResultReason = (typeof resultReasons)[number];

/** Whether the command exited by itself, with code 0. A command that was being stopped has not succeeded, whatever its code. */
export const succeeded = (result: TaskResult): boolean => result.reason === 'exited' && result.exit === 0;

/** A task as an agent reports it. */
export interface AgentTask {
  job: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  /** Why it ended; null: it has not. */
  why: ExitReason | null;
  /** Whether its progress was saved when it was stopped. */
  saved: boolean;
  result: TaskResult | null;
}

/** An agent's heartbeat. */
export interface AgentReport {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  agentEpoch: number;
  seq: number;
  fencingToken: number;
  tasks: AgentTask[];
}

/** An agent's heartbeat in the protocol's form. */
export const encodeAgentReport = (r: AgentReport): object => ({
  host: r.host,
  endpoint: r.endpoint,
  flavour: r.type,
  yard: r.zone,
  loaners: false,
  tenure: r.agentEpoch,
  tick: r.seq,
  baton: r.fencingToken,
  recallS: null,
  pieces: r.tasks.map((t) => ({
    piece: taskKey(t.job, t.index),
    try: t.attempt,
    status: phaseName(t.phase),
    ...(t.why === null ? {} : { cause: exitReasonName(t.why) }),
    ...(t.phase === 'exited' ? { stored: t.saved } : {}),
    ...(t.result ? { result: t.result } : {}),
  })),
});

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));
const order = v.object({
  verb: v.string(),
  piece: v.string(),
  try: counter,
  windDownS: v.optional(v.nullable(v.number()), 0),
});
const orders = v.optional(v.nullable(v.array(order)), null);
const heartbeatResponse = v.object({
  baton: v.optional(v.nullable(counter), null),
  orders,
  /** Gangs all of whose tasks are on their machines, as "JOB ATTEMPT". */
  gangs: v.optional(v.nullable(v.array(v.string())), null),
});
const directOrders = v.object({
  baton: counter,
  tenure: counter,
  orders,
});

function decodeTaskOrders(list: v.InferOutput<typeof orders>): TaskOrder[] {
  const out: TaskOrder[] = [];
  for (const o of list ?? []) {
    const id = parseTaskKey(o.piece);
    if (!id) continue;
    const base = { ...id, attempt: o.try };
    if (o.verb === 'run') out.push({ op: 'start', ...base });
    else if (o.verb === 'kill') out.push({ op: 'stop', ...base, graceS: o.windDownS ?? 0 });
    else if (o.verb === 'clear') out.push({ op: 'forget', ...base });
  }
  return out;
}

/** The response to a heartbeat. */
export interface HeartbeatResponse {
  token: number | null;
  orders: TaskOrder[];
  gangs: string[];
}

/** Reads the response to a heartbeat; null: malformed. */
export function parseHeartbeatResponse(body: unknown): HeartbeatResponse | null {
  const r = v.safeParse(heartbeatResponse, body);
  if (!r.success) return null;
  return { token: r.output.baton, orders: decodeTaskOrders(r.output.orders), gangs: r.output.gangs ?? [] };
}

/** The owner that a 421 response names (`boss`); null: none. */
export function parseRedirect(body: unknown): string | null {
  const boss = (body as { boss?: unknown } | null)?.boss;
  return typeof boss === 'string' ? boss : null;
}

const isDirectOrder = (order: TaskOrder): order is DirectOrder => order.op !== 'start';

/** Task orders that are sent outside of heartbeat responses. */
export interface DirectOrders {
  token: number;
  session: number;
  orders: DirectOrder[];
}

/**
 * Reads task orders that were sent directly; null: malformed, without fencing token or agent epoch, or with a start. A start that
 * arrives late would run a task that has ended or is elsewhere, as an agent does not remember the attempts it has forgotten.
 */
export function parseDirectOrders(body: unknown): DirectOrders | null {
  const r = v.safeParse(directOrders, body);
  if (!r.success) return null;
  const { baton, tenure, orders } = r.output;
  const decoded = decodeTaskOrders(orders);
  return decoded.every(isDirectOrder) ? { token: baton, session: tenure, orders: decoded } : null;
}

const result = v.object({
  exit: v.nullable(v.number()),
  signal: v.nullable(v.string()),
  reason: v.picklist(resultReasons),
  startedAt: v.number(),
  endedAt: v.number(),
});
const results = v.object({
  pieces: v.array(
    v.object({
      piece: v.string(),
      try: counter,
      // A result that cannot be read counts as missing; the results of the other tasks are used.
      result: v.fallback(v.optional(v.nullable(result), null), null),
    }),
  ),
});

/** The results of the exited tasks in a heartbeat that have one. */
export function parseResults(body: unknown): { piece: string; attempt: number; result: TaskResult }[] {
  const r = v.safeParse(results, body);
  if (!r.success) return [];
  return r.output.pieces.flatMap((p) =>
    p.result ? [{ piece: p.piece, attempt: p.try, result: p.result }] : [],
  );
}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const shortName = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][\w.-]{0,39}$/, 'must be a short name'));
const joinRequest = v.object({
  id: v.pipe(v.string(), v.regex(/^[0-9a-f]{8,64}$/)),
  name: shortName,
  type: shortName,
  zone: shortName,
  cpus: v.pipe(amount, v.gtValue(0)),
  gpus: amount,
  memGb: v.pipe(amount, v.gtValue(0)),
  attrs: v.optional(v.nullable(v.record(v.string(), v.union([v.string(), v.number(), v.boolean()]))), null),
});

/** What an agent announces about its machine when it joins. */
export interface JoinRequest {
  /** Generated once, with the agent's directory; distinguishes agents with the same name. */
  id: string;
  name: string;
  type: string;
  zone: string;
  cpus: number;
  gpus: number;
  memGb: number;
  attrs: Record<string, string | number | boolean>;
}

/** Reads an agent's request to join; a string says what is wrong with it. */
export function parseJoinRequest(body: unknown): JoinRequest | string {
  const r = v.safeParse(joinRequest, body);
  if (!r.success) return `${v.getDotPath(r.issues[0]) ?? 'body'}: ${r.issues[0].message}`;
  return { ...r.output, attrs: r.output.attrs ?? {} };
}

const joinResponse = v.object({
  host: v.string(),
  reportS: v.pipe(v.number(), v.gtValue(0)),
  leaseS: v.pipe(v.number(), v.gtValue(0)),
  gangWaitS: v.pipe(v.number(), v.gtValue(0)),
});
/** The response to an agent that has joined. */
export type JoinResponse = v.InferOutput<typeof joinResponse>;
/** Reads the response to a request to join; null: malformed. */
export function parseJoinResponse(body: unknown): JoinResponse | null {
  const r = v.safeParse(joinResponse, body);
  return r.success ? r.output : null;
}

/** How a task of a job without a command is simulated. */
export interface SimulatedTask {
  sleepS: number;
  /** The share of tasks that fail. */
  fail: number;
  /** Whether it never ends by itself. */
  hang: boolean;
  /** The memory that it allocates. */
  memMb: number;
}

/** The part of a job's description that an agent needs. */
export interface AgentJob {
  cpus: number;
  gpus: number;
  memGb: number;
  gang: boolean;
  saveS: number;
  checkpointS: number;
  command: CommandSpec | null;
  /** How its tasks are simulated if it has no command. */
  standIn: SimulatedTask;
}

const job = v.object({
  cpus: amount,
  gpus: amount,
  memGb: amount,
  gang: v.boolean(),
  saveS: amount,
  checkpointS: amount,
  command: v.nullable(
    v.object({
      argv: v.pipe(v.array(v.string()), v.minLength(1)),
      env: v.record(v.string(), v.string()),
      dir: v.nullable(v.string()),
      stdout: v.nullable(v.string()),
      stderr: v.nullable(v.string()),
      wallS: v.nullable(v.number()),
      retries: counter,
      first: v.optional(counter),
    }),
  ),
  standIn: v.object({ sleepS: amount, fail: amount, hang: v.boolean(), memMb: amount }),
});
/** Reads a job's description; null: malformed. */
export function parseAgentJob(body: unknown): AgentJob | null {
  const r = v.safeParse(job, body);
  return r.success ? r.output : null;
}
