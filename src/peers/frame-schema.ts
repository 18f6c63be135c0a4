/**
 * The protobuf schema of the frames that controllers exchange, and the types of the decoded messages.
 *
 * Field numbers and types must not change, because controllers of different program versions exchange frames. Names do not
 * appear on the wire. The codec in `frames.ts` maps every field explicitly, so that renaming a field of an internal type
 * cannot drop it from the wire.
 *
 * Counters are doubles: these are exact below 2^53 and avoid 64-bit integers.
 */
import protobuf from 'protobufjs/light.js';

const root = protobuf.Root.fromJSON({
  nested: {
    Frame: {
      oneofs: {
        body: {
          oneof: [
            'hello',
            'forwardedHeartbeat',
            'forwardedResponse',
            'peerStatus',
            'freshnessQuery',
            'freshnessAnswer',
            'rejectedJobs',
          ],
        },
      },
      fields: {
        hello: { type: 'Hello', id: 1 },
        forwardedResponse: { type: 'ForwardedResponse', id: 3 },
        peerStatus: { type: 'PeerStatus', id: 4 },
        forwardedHeartbeat: { type: 'ForwardedHeartbeat', id: 5 },
        freshnessQuery: { type: 'FreshnessQuery', id: 6 },
        freshnessAnswer: { type: 'FreshnessAnswer', id: 7 },
        rejectedJobs: { type: 'RejectedJobs', id: 8 },
      },
    },
    Hello: {
      fields: {
        member: { type: 'string', id: 1 },
        instanceId: { type: 'string', id: 2 },
        /** The oldest and newest message format that the sender can read; 0: it reads only format 1. */
        minFormat: { type: 'uint32', id: 3 },
        maxFormat: { type: 'uint32', id: 4 },
      },
    },
    /** A worker's heartbeat, forwarded by a controller that does not own the worker's machine to the one that does. */
    ForwardedHeartbeat: {
      fields: {
        id: { type: 'uint32', id: 1 },
        heartbeat: { type: 'Heartbeat', id: 2 },
        instanceId: { type: 'string', id: 3 },
      },
    },
    Heartbeat: {
      fields: {
        host: { type: 'string', id: 1 },
        endpoint: { type: 'string', id: 2 },
        machineType: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
        agentEpoch: { type: 'double', id: 6 },
        sequence: { type: 'double', id: 7 },
        fencingToken: { type: 'double', id: 8 },
        /** Time until the machine is reclaimed, s; negative: no notice was given. */
        noticeS: { type: 'double', id: 9 },
        tasks: { rule: 'repeated', type: 'TaskStatus', id: 10 },
      },
    },
    TaskStatus: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'double', id: 3 },
        /** Numbers of phases and exit reasons: see `frames.ts`. */
        phase: { type: 'uint32', id: 4 },
        /** 0: the task has not ended. */
        exitReason: { type: 'uint32', id: 5 },
        saved: { type: 'bool', id: 6 },
      },
    },
    /** The HTTP response to a forwarded heartbeat, to be passed on to the worker unchanged. */
    ForwardedResponse: {
      fields: {
        id: { type: 'uint32', id: 1 },
        status: { type: 'uint32', id: 2 },
        body: { type: 'string', id: 3 },
        instanceId: { type: 'string', id: 4 },
      },
    },
    PeerStatus: {
      fields: {
        /** The newest revision of the state service that the sender knows. */
        revision: { type: 'double', id: 1 },
        instanceId: { type: 'string', id: 2 },
        utilizationPermille: { type: 'uint32', id: 3 },
        wantsForwarding: { type: 'bool', id: 4 },
        /** Writes per second that the sender requests, for accepted work and for new jobs. */
        acceptedWork: { type: 'uint32', id: 5 },
        newJobs: { type: 'uint32', id: 6 },
        /** Whether the demand is set: distinguishes a demand of zeros from an absent one. */
        hasDemand: { type: 'bool', id: 7 },
        /** Backlog of its writes for accepted work, in tenths of a second. */
        backlogTenthsS: { type: 'uint32', id: 8 },
        /** Version of the write allocation that it applies. */
        allocationVersion: { type: 'uint32', id: 9 },
        workloads: { rule: 'repeated', type: 'WorkloadDemand', id: 10 },
        /** Incarnation of the state that it replicates. */
        incarnation: { type: 'uint32', id: 11 },
        jobCount: { type: 'uint32', id: 12 },
      },
    },
    /** New jobs per second of one team and class at the sender, and the workload's weight. */
    WorkloadDemand: {
      fields: {
        team: { type: 'string', id: 1 },
        class: { type: 'string', id: 2 },
        weight: { type: 'float', id: 3 },
        jobsPerS: { type: 'float', id: 4 },
      },
    },
    /** Jobs that the sender rejected, and for how long their users have been trying to submit them. */
    RejectedJobs: { fields: { rejections: { rule: 'repeated', type: 'Rejection', id: 1 } } },
    Rejection: {
      fields: {
        id: { type: 'string', id: 1 },
        team: { type: 'string', id: 2 },
        class: { type: 'string', id: 3 },
        ageMs: { type: 'uint32', id: 4 },
      },
    },
    /** Asks a peer for all changes that it knows above a revision. */
    FreshnessQuery: {
      fields: {
        nonce: { type: 'uint32', id: 1 },
        revision: { type: 'double', id: 2 },
        instanceId: { type: 'string', id: 3 },
        /** Incarnation of the state that the sender replicates. */
        incarnation: { type: 'uint32', id: 4 },
      },
    },
    FreshnessAnswer: {
      fields: {
        query: { type: 'FreshnessQuery', id: 1 },
        instanceId: { type: 'string', id: 2 },
        /** All changes that the sender knows above the query's revision, as JSON text. */
        changes: { type: 'string', id: 3 },
      },
    },
  },
});

/** The protobuf type of a frame: exactly one message per frame. */
export const frameType = root.lookupType('Frame');

/** The protobuf message `Hello`, decoded. */
export interface WireHello {
  member: string;
  instanceId: string;
  minFormat: number;
  maxFormat: number;
}

/** The protobuf message `TaskStatus`, decoded. */
export interface WireTaskStatus {
  job: string;
  index: number;
  attempt: number;
  phase: number;
  exitReason: number;
  saved: boolean;
}

/** The protobuf message `Heartbeat`, decoded. */
export interface WireHeartbeat {
  host: string;
  endpoint: string;
  machineType: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  noticeS: number;
  tasks: WireTaskStatus[];
}

/** The protobuf message `WorkloadDemand`, decoded. */
export interface WireWorkloadDemand {
  team: string;
  class: string;
  weight: number;
  jobsPerS: number;
}

/** The protobuf message `PeerStatus`, decoded. */
export interface WirePeerStatus {
  revision: number;
  instanceId: string;
  utilizationPermille: number;
  wantsForwarding: boolean;
  acceptedWork: number;
  newJobs: number;
  hasDemand: boolean;
  backlogTenthsS: number;
  allocationVersion: number;
  workloads: WireWorkloadDemand[];
  incarnation: number;
  jobCount: number;
}

/** The protobuf message `Rejection`, decoded. */
export interface WireRejection {
  id: string;
  team: string;
  class: string;
  ageMs: number;
}

/** The protobuf message `FreshnessQuery`, decoded. */
export interface WireFreshnessQuery {
  nonce: number;
  revision: number;
  instanceId: string;
  incarnation: number;
}

/** A decoded frame: at most one field is set; none if a newer program sent a message that this one does not know. */
export interface WireFrame {
  hello?: WireHello | null;
  forwardedHeartbeat?: { id: number; instanceId: string; heartbeat: WireHeartbeat | null } | null;
  forwardedResponse?: { id: number; instanceId: string; status: number; body: string } | null;
  peerStatus?: WirePeerStatus | null;
  rejectedJobs?: { rejections: WireRejection[] } | null;
  freshnessQuery?: WireFreshnessQuery | null;
  freshnessAnswer?: { query: WireFreshnessQuery | null; instanceId: string; changes: string } | null;
}
