/**
 * The protobuf schema of the frames that controllers exchange, and the types of decoded messages.
 *
 * Field numbers and types are fixed: controllers of different program versions talk to each other. Names do not appear on
 * the wire. The codec in `frames.ts` maps every field by hand, so that renaming a field of an internal type cannot drop it
 * from the wire.
 *
 * Counters are doubles: they are exact below 2^53 and need no 64-bit integers.
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
        /** The message formats that the sender reads; 0: it reads only the first. */
        minFormat: { type: 'uint32', id: 3 },
        maxFormat: { type: 'uint32', id: 4 },
      },
    },
    /** A worker's heartbeat that reached a controller that does not own its machine. */
    ForwardedHeartbeat: {
      fields: { id: { type: 'uint32', id: 1 }, heartbeat: { type: 'Heartbeat', id: 2 } },
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
        /** Below zero: no notice. */
        noticeS: { type: 'double', id: 9 },
        tasks: { rule: 'repeated', type: 'TaskStatus', id: 10 },
      },
    },
    TaskStatus: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'double', id: 3 },
        phase: { type: 'uint32', id: 4 },
        /** 0: none. */
        exitReason: { type: 'uint32', id: 5 },
        saved: { type: 'bool', id: 6 },
      },
    },
    /** The response to a forwarded heartbeat, as the worker is to get it. */
    ForwardedResponse: {
      fields: {
        id: { type: 'uint32', id: 1 },
        status: { type: 'uint32', id: 2 },
        body: { type: 'string', id: 3 },
      },
    },
    PeerStatus: {
      fields: {
        /** The newest revision that the sender knows of. */
        revision: { type: 'double', id: 1 },
        instanceId: { type: 'string', id: 2 },
        utilizationPermille: { type: 'uint32', id: 3 },
        wantsForwarding: { type: 'bool', id: 4 },
        /** Writes a second that the sender wants, for accepted work and for new jobs. */
        acceptedWork: { type: 'uint32', id: 5 },
        newJobs: { type: 'uint32', id: 6 },
        /** Whether the demand is set: without this, a demand of zeros could not be told from an unset one. */
        hasDemand: { type: 'bool', id: 7 },
        /** The backlog of its writes for accepted work, tenths of a second. */
        backlogTenthsS: { type: 'uint32', id: 8 },
        /** The version of the write allocation that it follows. */
        allocationVersion: { type: 'uint32', id: 9 },
        workloads: { rule: 'repeated', type: 'WorkloadDemand', id: 10 },
        /** The incarnation of the state that it follows. */
        incarnation: { type: 'uint32', id: 11 },
        jobCount: { type: 'uint32', id: 12 },
      },
    },
    /** The new jobs a second that a team and class want there. */
    WorkloadDemand: {
      fields: {
        team: { type: 'string', id: 1 },
        class: { type: 'string', id: 2 },
        weight: { type: 'float', id: 3 },
        jobsPerS: { type: 'float', id: 4 },
      },
    },
    /** Jobs that were rejected, and for how long their users have tried. */
    RejectedJobs: { fields: { rejections: { rule: 'repeated', type: 'Rejection', id: 1 } } },
    Rejection: {
      fields: {
        id: { type: 'string', id: 1 },
        team: { type: 'string', id: 2 },
        class: { type: 'string', id: 3 },
        ageMs: { type: 'uint32', id: 4 },
      },
    },
    /** Asks for the changes above a revision. */
    FreshnessQuery: {
      fields: {
        nonce: { type: 'uint32', id: 1 },
        revision: { type: 'double', id: 2 },
        instanceId: { type: 'string', id: 3 },
        /** The incarnation of the state that the sender follows. */
        incarnation: { type: 'uint32', id: 4 },
      },
    },
    FreshnessAnswer: {
      fields: {
        query: { type: 'FreshnessQuery', id: 1 },
        instanceId: { type: 'string', id: 2 },
        /** All changes that the sender knows above the query's revision, as JSON. */
        changes: { type: 'string', id: 3 },
      },
    },
  },
});

/** The message type of every frame. */
export const frameType = root.lookupType('Frame');

/** Message `Hello`. */
export interface WireHello {
  member: string;
  instanceId: string;
  minFormat: number;
  maxFormat: number;
}

/** Message `TaskStatus`. */
export interface WireTaskStatus {
  job: string;
  index: number;
  attempt: number;
  phase: number;
  exitReason: number;
  saved: boolean;
}

/** Message `Heartbeat`. */
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

/** Message `WorkloadDemand`. */
export interface WireWorkloadDemand {
  team: string;
  class: string;
  weight: number;
  jobsPerS: number;
}

/** Message `PeerStatus`. */
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

/** Message `Rejection`. */
export interface WireRejection {
  id: string;
  team: string;
  class: string;
  ageMs: number;
}

/** Message `FreshnessQuery`. */
export interface WireFreshnessQuery {
  nonce: number;
  revision: number;
  instanceId: string;
  incarnation: number;
}

/** A decoded frame: at most one of the fields is set, none if the sender's program is newer than this one. */
export interface WireFrame {
  hello?: WireHello | null;
  forwardedHeartbeat?: { id: number; heartbeat: WireHeartbeat | null } | null;
  forwardedResponse?: { id: number; status: number; body: string } | null;
  peerStatus?: WirePeerStatus | null;
  rejectedJobs?: { rejections: WireRejection[] } | null;
  freshnessQuery?: WireFreshnessQuery | null;
  freshnessAnswer?: { query: WireFreshnessQuery | null; instanceId: string; changes: string } | null;
}
