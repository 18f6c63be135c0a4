/**
 * The workers' protocol, on the controllers' side: heartbeats and task orders. Its names: `flavour` is the machine type, `yard` the
 * zone, `loaners` spot, `tenure` the agent epoch, `tick` the sequence number, `baton` the fencing token, `recallS` the time until
 * the machine is reclaimed, `piece` a task, `try` an attempt, `windDownS` the grace period.
 */
import * as v from 'valibot';
import { taskKey, parseTaskKey } from '../model/job.js';
import type {
  DirectOrder,
  ExitReason,
  TaskOrder,
  Heartbeat,
  TaskPhase,
  TaskStatus,
} from '../model/heartbeat.js';

/** Task phases by their names in the protocol. */
const phases: Record<string, TaskPhase> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
/** Exit reasons by their names in the protocol. */
const exitReasons: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'full',
  in_use: 'busy',
  unknown: 'unknown',
};

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));
const heartbeat = v.object({
  host: v.pipe(v.string(), v.regex(/^[A-Za-z0-9][\w.-]{0,79}$/)),
  endpoint: v.pipe(v.string(), v.regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/)),
  flavour: v.string(),
  yard: v.string(),
  loaners: v.boolean(),
  tenure: counter,
  tick: counter,
  baton: counter,
  recallS: v.optional(v.nullable(v.number()), null),
  pieces: v.array(
    v.object({
      piece: v.string(),
      try: counter,
      status: v.string(),
      cause: v.optional(v.nullable(v.string()), null),
      stored: v.optional(v.nullable(v.boolean()), null),
    }),
  ),
});

/** Reads a heartbeat; a string says what is wrong with it. */
export function parseHeartbeat(body: unknown): Heartbeat | string {
  const r = v.safeParse(heartbeat, body);
  if (!r.success) return `${v.getDotPath(r.issues[0]) ?? 'body'}: ${r.issues[0].message}`;
  const b = r.output;
  const tasks: TaskStatus[] = [];
  for (const p of b.pieces) {
    const id = parseTaskKey(p.piece);
    if (id === null) return `pieces: ${p.piece}: not a task`;
    tasks.push({
      job: id.job,
      index: id.index,
      attempt: p.try,
      // A task in a phase that this version does not know is on the machine all the same.
      phase: phases[p.status] ?? 'running',
      exitReason: p.cause === null ? null : (exitReasons[p.cause] ?? 'error'),
      saved: p.stored === true,
    });
  }
  return {
    host: b.host,
    endpoint: b.endpoint,
    type: b.flavour,
    zone: b.yard,
    spot: b.loaners,
    agentEpoch: b.tenure,
    sequence: b.tick,
    fencingToken: b.baton,
    noticeS: b.recallS,
    tasks,
  };
}

function encodeTaskOrder(o: TaskOrder): object {
  const piece = taskKey(o.job, o.index);
  if (o.op === 'start') return { verb: 'run', piece, try: o.attempt };
  if (o.op === 'stop') return { verb: 'kill', piece, try: o.attempt, windDownS: o.graceS };
  return { verb: 'clear', piece, try: o.attempt };
}

/** The response to a heartbeat, in the protocol's form. */
export const encodeHeartbeatResponse = (token: number, orders: TaskOrder[]): object => ({
  baton: token,
  orders: orders.map(encodeTaskOrder),
});
/** Orders that are sent to a worker directly, in the protocol's form. */
export const encodeDirectOrders = (token: number, session: number, orders: DirectOrder[]): object => ({
  baton: token,
  tenure: session,
  orders: orders.map(encodeTaskOrder),
});
/** The body of a 421 response: the owner to report to (`boss`), if known. */
export const encodeRedirect = (owner: string | null): object => (owner === null ? {} : { boss: owner });

/** The key of a value in a table; the value itself if it is not there. */
const nameOf = <T extends string>(table: Record<string, T>, value: T): string =>
  Object.keys(table).find((k) => table[k] === value) ?? value;

/** The name of a phase in the protocol. */
export const phaseName = (phase: TaskPhase): string => nameOf(phases, phase);
/** The name of an exit reason in the protocol. */
export const exitReasonName = (why: ExitReason): string => nameOf(exitReasons, why);
