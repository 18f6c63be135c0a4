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
  type WireFrame,
  type WireFreshnessQuery,
  type WireHeartbeat,
  type WireHello,
  type WirePeerStatus,
  type WireRejection,
} from './frame-schema.js';

/** A message between controllers. */
export type Frame =
  /** The first frame of a connection: who sends, and which message formats the sender reads. */
  | { readonly type: 'hello'; readonly member: string; readonly instanceId: string; readonly speaks: Speaks }
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
      readonly instanceId: string;
      readonly changes: string;
    }
  | { readonly type: 'rejected-jobs'; readonly rejections: readonly Rejection[] };

export type HelloFrame = Extract<Frame, { type: 'hello' }>;

/** The length in front of every frame, bytes. */
export const lengthPrefixBytes = 4;

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

function encodeHeartbeat(heartbeat: Heartbeat): WireHeartbeat {
  return {
    host: heartbeat.host,
    endpoint: heartbeat.endpoint,
    machineType: heartbeat.type,
    zone: heartbeat.zone,
    spot: heartbeat.spot,
    agentEpoch: heartbeat.agentEpoch,
    sequence: heartbeat.sequence,
    fencingToken: heartbeat.fencingToken,
    noticeS: heartbeat.noticeS ?? -1,
    tasks: heartbeat.tasks.map((task) => ({
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      phase: phases.indexOf(task.phase),
      exitReason: exitReasons.indexOf(task.exitReason),
      saved: task.saved,
    })),
  };
}

function decodeHeartbeat(wire: WireHeartbeat): Heartbeat {
  return {
    host: wire.host,
    endpoint: wire.endpoint,
    type: wire.machineType,
    zone: wire.zone,
    spot: wire.spot,
    agentEpoch: wire.agentEpoch,
    sequence: wire.sequence,
    fencingToken: wire.fencingToken,
    noticeS: wire.noticeS < 0 ? null : wire.noticeS,
    tasks: wire.tasks.map((task) => ({
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      // A phase that this program does not know still means that the task is on the machine.
      phase: phases[task.phase] ?? 'running',
      exitReason: task.exitReason < exitReasons.length ? exitReasons[task.exitReason] : 'error',
      saved: task.saved,
    })),
  };
}

function encodeStatus(status: PeerStatus): Partial<WirePeerStatus> {
  const { demand } = status;
  const wire = {
    revision: status.revision,
    instanceId: status.instanceId,
    utilizationPermille: status.utilizationPermille,
    wantsForwarding: status.wantsForwarding,
    hasDemand: demand !== null,
    backlogTenthsS: Math.round((demand?.backlogS ?? 0) * 10),
    incarnation: status.incarnation,
    jobCount: status.jobCount,
  };
  if (demand === null) return wire;
  return {
    ...wire,
    acceptedWork: demand.acceptedWork,
    newJobs: demand.newJobs,
    allocationVersion: demand.allocationVersion,
    workloads: demand.workloads.map((workload) => ({
      team: workload.team,
      class: workload.class,
      weight: workload.weight,
      jobsPerS: workload.jobsPerS,
    })),
  };
}

function decodeStatus(wire: WirePeerStatus): PeerStatus {
  return {
    revision: wire.revision,
    instanceId: wire.instanceId,
    utilizationPermille: wire.utilizationPermille,
    wantsForwarding: wire.wantsForwarding,
    demand: wire.hasDemand ? decodeDemand(wire) : null,
    incarnation: wire.incarnation,
    jobCount: wire.jobCount,
  };
}

function decodeDemand(wire: WirePeerStatus): MemberDemand {
  return {
    acceptedWork: wire.acceptedWork,
    newJobs: wire.newJobs,
    backlogS: wire.backlogTenthsS / 10,
    allocationVersion: wire.allocationVersion,
    workloads: wire.workloads.map((workload) => ({
      team: workload.team,
      class: workload.class,
      weight: workload.weight,
      jobsPerS: workload.jobsPerS,
    })),
  };
}

const encodeHello = ({ member, instanceId, speaks }: HelloFrame): WireHello => ({
  member,
  instanceId,
  minFormat: speaks.least,
  maxFormat: speaks.most,
});

/** A sender that names no formats reads only the first. */
const decodeHello = ({ member, instanceId, minFormat, maxFormat }: WireHello): HelloFrame => ({
  type: 'hello',
  member,
  instanceId,
  speaks: { least: minFormat || 1, most: maxFormat || 1 },
});

const encodeRejection = (rejection: Rejection): WireRejection => ({
  id: rejection.id,
  team: rejection.team,
  class: rejection.class,
  ageMs: rejection.ageMs,
});

const decodeRejection = (wire: WireRejection): Rejection => ({
  id: wire.id,
  team: wire.team,
  class: wire.class,
  ageMs: wire.ageMs,
});

const encodeQuery = (query: FreshnessQuery): WireFreshnessQuery => ({
  nonce: query.nonce,
  revision: query.revision,
  instanceId: query.instanceId,
  incarnation: query.incarnation,
});

const decodeQuery = (wire: WireFreshnessQuery): FreshnessQuery => ({
  instanceId: wire.instanceId,
  nonce: wire.nonce,
  revision: wire.revision,
  incarnation: wire.incarnation,
});

function encodeMessage(frame: Frame): object {
  switch (frame.type) {
    case 'hello':
      return { hello: encodeHello(frame) };
    case 'forwarded-heartbeat':
      return { forwardedHeartbeat: { id: frame.id, heartbeat: encodeHeartbeat(frame.heartbeat) } };
    case 'forwarded-response':
      return { forwardedResponse: { id: frame.id, status: frame.status, body: frame.body } };
    case 'peer-status':
      return { peerStatus: encodeStatus(frame.status) };
    case 'freshness-query':
      return { freshnessQuery: encodeQuery(frame.query) };
    case 'freshness-answer': {
      const { query, instanceId, changes } = frame;
      return { freshnessAnswer: { query: encodeQuery(query), instanceId, changes } };
    }
    case 'rejected-jobs':
      return { rejectedJobs: { rejections: frame.rejections.map(encodeRejection) } };
  }
}

/** The bytes of a frame, its length included. */
export function encodeFrame(frame: Frame): Buffer {
  const body = frameType.encode(encodeMessage(frame)).finish();
  const bytes = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, lengthPrefixBytes);
  return bytes;
}

/** Decodes a frame without its length. Null: a message that this program does not know, or that lacks its content. */
export function decodeFrame(body: Uint8Array): Frame | null {
  const message = frameType.decode(body) as WireFrame;
  if (message.hello) return decodeHello(message.hello);
  if (message.forwardedHeartbeat) {
    const { id, heartbeat } = message.forwardedHeartbeat;
    return heartbeat ? { type: 'forwarded-heartbeat', id, heartbeat: decodeHeartbeat(heartbeat) } : null;
  }
  if (message.forwardedResponse) {
    const { id, status, body: text } = message.forwardedResponse;
    return { type: 'forwarded-response', id, status, body: text };
  }
  if (message.peerStatus) return { type: 'peer-status', status: decodeStatus(message.peerStatus) };
  if (message.rejectedJobs)
    return { type: 'rejected-jobs', rejections: message.rejectedJobs.rejections.map(decodeRejection) };
  if (message.freshnessQuery) return { type: 'freshness-query', query: decodeQuery(message.freshnessQuery) };
  if (message.freshnessAnswer) {
    const { query, instanceId, changes } = message.freshnessAnswer;
    return query ? { type: 'freshness-answer', query: decodeQuery(query), instanceId, changes } : null;
  }
  return null;
}
