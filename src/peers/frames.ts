/**
 * Encodes and decodes the frames that controllers exchange. A frame is one protobuf message, preceded by its length as a
 * 32-bit big-endian number.
 *
 * Frames either shorten delays or carry a worker's heartbeat to the owner of its machine. The state service remains the
 * source of truth, so a lost frame costs time and nothing else.
 */
import type { MemberDemand, Rejection } from '../admission/index.js';
import type { MessageFormatRange } from '../formats/index.js';
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
  /** The first frame of a connection: the identity of the sender and the message formats that it can read. */
  | {
      readonly type: 'hello';
      readonly member: string;
      readonly instanceId: string;
      readonly speaks: MessageFormatRange;
    }
  | {
      readonly type: 'forwarded-heartbeat';
      readonly id: number;
      /** The process that forwards it; empty: a program of an earlier version does. */
      readonly instanceId: string;
      readonly heartbeat: Heartbeat;
    }
  /** The HTTP response to a forwarded heartbeat, to be passed on to the worker unchanged. */
  | {
      readonly type: 'forwarded-response';
      readonly id: number;
      /** The process that forwarded the heartbeat; empty: a program of an earlier version responds. */
      readonly instanceId: string;
      readonly status: number;
      readonly body: string;
    }
  | { readonly type: 'peer-status'; readonly status: PeerStatus }
  | { readonly type: 'freshness-query'; readonly query: FreshnessQuery }
  /** The changes that the sender knows above the query's revision, as JSON text. */
  | {
      readonly type: 'freshness-answer';
      readonly query: FreshnessQuery;
      readonly instanceId: string;
      readonly changes: string;
    }
  | { readonly type: 'rejected-jobs'; readonly rejections: readonly Rejection[] };

/** The first frame of a connection. */
export type HelloFrame = Extract<Frame, { type: 'hello' }>;

/** Size of the length prefix of every frame, bytes. */
export const lengthPrefixBytes = 4;

/** Task phases, indexed by their number on the wire. */
const phases: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
/** Exit reasons, indexed by their number on the wire. */
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
      // A phase that only newer programs know still means that the task is on the machine.
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

/** A sender that states no formats reads only format 1. */
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
      return {
        forwardedHeartbeat: {
          id: frame.id,
          instanceId: frame.instanceId,
          heartbeat: encodeHeartbeat(frame.heartbeat),
        },
      };
    case 'forwarded-response':
      return {
        forwardedResponse: {
          id: frame.id,
          instanceId: frame.instanceId,
          status: frame.status,
          body: frame.body,
        },
      };
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

/** Encodes a frame, including its length prefix. */
export function encodeFrame(frame: Frame): Buffer {
  const body = frameType.encode(encodeMessage(frame)).finish();
  const bytes = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, lengthPrefixBytes);
  return bytes;
}

/**
 * Decodes a frame without its length prefix. Returns null for a message that this program does not know, or that lacks a
 * required nested message.
 */
export function decodeFrame(body: Uint8Array): Frame | null {
  const message = frameType.decode(body) as WireFrame;
  if (message.hello) return decodeHello(message.hello);
  if (message.forwardedHeartbeat) {
    const { id, instanceId, heartbeat } = message.forwardedHeartbeat;
    if (!heartbeat) return null;
    return { type: 'forwarded-heartbeat', id, instanceId, heartbeat: decodeHeartbeat(heartbeat) };
  }
  if (message.forwardedResponse) {
    const { id, instanceId, status, body: text } = message.forwardedResponse;
    return { type: 'forwarded-response', id, instanceId, status, body: text };
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
