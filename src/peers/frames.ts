/**
 * Codec of the frames that controllers exchange: one protobuf message a frame, behind its length as a 32-bit number.
 *
 * Frames only speed things up, or carry a worker's heartbeat to the owner of its machine. The state service remains the
 * source of truth, so that a lost frame costs time and nothing else.
 */
import type { MemberDemand, Rejection } from '../admission/index.js';
import type { Speaks } from '../formats/index.js';
import type { PeerStatus } from '../core/effects.js';
import type { ExitReason, Heartbeat, TaskPhase } from '../model/heartbeat.js';
import type { FreshnessQuery } from '../freshness/index.js';
import {
  frameType,
  type WireAsk,
  type WireAway,
  type WireFrame,
  type WireHello,
  type WirePulse,
  type WireReport,
} from './frame-schema.js';

/** A message between controllers. */
export type Frame =
  /** The first frame of a connection: who sends, and which message formats the sender reads. */
  | { readonly type: 'hello'; readonly member: string; readonly run: string; readonly speaks: Speaks }
  | { readonly type: 'forwarded-heartbeat'; readonly id: number; readonly heartbeat: Heartbeat }
  /** The response to a forwarded heartbeat, as the worker is to get it. */
  | {
      readonly type: 'forwarded-response';
      readonly id: number;
      readonly status: number;
      readonly body: string;
    }
  | { readonly type: 'peer-status'; readonly status: PeerStatus }
  | { readonly type: 'freshness-query'; readonly query: FreshnessQuery }
  /** The changes that the sender knows above the query's revision, as text. */
  | {
      readonly type: 'freshness-answer';
      readonly query: FreshnessQuery;
      readonly run: string;
      readonly changes: string;
    }
  | { readonly type: 'rejected-jobs'; readonly rejections: readonly Rejection[] };

/** The length in front of every frame, bytes. */
export const lengthBytes = 4;

/** Task phases by their number on the wire. */
const phases: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
/** Exit reasons by their number on the wire. */
const exitReasons: readonly (ExitReason | null)[] = [
  null,
  'done',
  'stopped',
  'peers',
  'alone',
  'error',
  'full',
  'busy',
  'unknown',
];

function encodeHeartbeat(r: Heartbeat): WireReport {
  return {
    host: r.host,
    endpoint: r.endpoint,
    type: r.type,
    zone: r.zone,
    spot: r.spot,
    session: r.agentEpoch,
    seq: r.sequence,
    token: r.fencingToken,
    noticeS: r.noticeS ?? -1,
    tasks: r.tasks.map((t) => ({
      job: t.job,
      index: t.index,
      attempt: t.attempt,
      phase: phases.indexOf(t.phase),
      why: exitReasons.indexOf(t.exitReason),
      saved: t.saved,
    })),
  };
}

function decodeHeartbeat(r: WireReport): Heartbeat {
  return {
    host: r.host,
    endpoint: r.endpoint,
    type: r.type,
    zone: r.zone,
    spot: r.spot,
    agentEpoch: r.session,
    sequence: r.seq,
    fencingToken: r.token,
    noticeS: r.noticeS < 0 ? null : r.noticeS,
    tasks: r.tasks.map((t) => ({
      job: t.job,
      index: t.index,
      attempt: t.attempt,
      // A state that this version does not know still means that the task is on the machine.
      phase: phases[t.phase] ?? 'running',
      exitReason: t.why < exitReasons.length ? exitReasons[t.why] : 'error',
      saved: t.saved,
    })),
  };
}

function encodeStatus(p: PeerStatus): Partial<WirePulse> {
  const status = {
    epoch: p.revision,
    run: p.run,
    busy: p.utilizationPermille,
    front: p.wantsForwarding,
    inc: p.incarnation,
    jobs: p.jobCount,
  };
  const d = p.demand;
  if (d === null) return { ...status, says: false, behind: 0 };
  return {
    ...status,
    says: true,
    tasks: d.acceptedWork,
    users: d.newJobs,
    behind: Math.round(d.backlogS * 10),
    follows: d.allocationVersion,
    kinds: d.workloads.map((k) => ({ team: k.team, class: k.class, weight: k.weight, want: k.jobsPerS })),
  };
}

function decodeDemand(p: WirePulse): MemberDemand {
  return {
    acceptedWork: p.tasks,
    newJobs: p.users,
    backlogS: p.behind / 10,
    allocationVersion: p.follows,
    workloads: p.kinds.map((k) => ({ team: k.team, class: k.class, weight: k.weight, jobsPerS: k.want })),
  };
}

function decodeStatus(p: WirePulse): PeerStatus {
  return {
    revision: p.epoch,
    run: p.run,
    utilizationPermille: p.busy,
    wantsForwarding: p.front,
    demand: p.says ? decodeDemand(p) : null,
    incarnation: p.inc,
    jobCount: p.jobs,
  };
}

const encodeHello = (member: string, run: string, speaks: Speaks): WireHello => ({
  member,
  run,
  least: speaks.least,
  most: speaks.most,
});

/** A sender that names no formats knows only the first. */
const decodeFormats = (h: WireHello): Speaks => ({ least: h.least || 1, most: h.most || 1 });

const encodeRejection = (t: Rejection): WireAway => ({
  id: t.id,
  team: t.team,
  class: t.class,
  ageMs: t.ageMs,
});
const decodeRejection = (t: WireAway): Rejection => ({
  id: t.id,
  team: t.team,
  class: t.class,
  ageMs: t.ageMs,
});

const encodeQuery = (q: FreshnessQuery): WireAsk => ({
  nonce: q.nonce,
  epoch: q.revision,
  run: q.run,
  inc: q.incarnation,
});
const decodeQuery = (q: WireAsk): FreshnessQuery => ({
  run: q.run,
  nonce: q.nonce,
  revision: q.epoch,
  incarnation: q.inc,
});

function encodeMessage(frame: Frame): object {
  switch (frame.type) {
    case 'hello':
      return { hello: encodeHello(frame.member, frame.run, frame.speaks) };
    case 'forwarded-heartbeat':
      return { relay: { id: frame.id, report: encodeHeartbeat(frame.heartbeat) } };
    case 'forwarded-response':
      return { relayed: { id: frame.id, status: frame.status, body: frame.body } };
    case 'peer-status':
      return { pulse: encodeStatus(frame.status) };
    case 'freshness-query':
      return { ask: encodeQuery(frame.query) };
    case 'freshness-answer':
      return { vouch: { ask: encodeQuery(frame.query), run: frame.run, known: frame.changes } };
    case 'rejected-jobs':
      return { turned: { list: frame.rejections.map(encodeRejection) } };
  }
}

/** The bytes of a frame, its length included. */
export function encodeFrame(frame: Frame): Buffer {
  const body = frameType.encode(encodeMessage(frame)).finish();
  const bytes = Buffer.allocUnsafe(lengthBytes + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, lengthBytes);
  return bytes;
}

/** Decodes a frame without its length. Null: a message that this program does not know, or that lacks its content. */
export function decodeFrame(body: Uint8Array): Frame | null {
  const { hello, relay, relayed, pulse, turned, ask, vouch } = frameType.decode(body) as WireFrame;
  if (hello) return { type: 'hello', member: hello.member, run: hello.run, speaks: decodeFormats(hello) };
  if (relay) {
    const { id, report } = relay;
    return report ? { type: 'forwarded-heartbeat', id, heartbeat: decodeHeartbeat(report) } : null;
  }
  if (relayed)
    return { type: 'forwarded-response', id: relayed.id, status: relayed.status, body: relayed.body };
  if (pulse) return { type: 'peer-status', status: decodeStatus(pulse) };
  if (turned) return { type: 'rejected-jobs', rejections: turned.list.map(decodeRejection) };
  if (ask) return { type: 'freshness-query', query: decodeQuery(ask) };
  if (vouch) {
    const { ask: query, run, known } = vouch;
    return query ? { type: 'freshness-answer', query: decodeQuery(query), run, changes: known } : null;
  }
  return null;
}
