/**
 * The protobuf schema of the frames that controllers exchange, and the types of decoded messages.
 *
 * Field numbers and types are fixed: controllers of different program versions talk to each other. Field names do not
 * appear on the wire. The codec in `frames.ts` maps every field by hand, so that renaming a field of an internal type
 * cannot drop it from the wire.
 *
 * Counters are doubles: they are exact below 2^53 and need no 64-bit integers.
 */
import protobuf from 'protobufjs/light.js';

const root = protobuf.Root.fromJSON({
  nested: {
    Frame: {
      oneofs: { body: { oneof: ['hello', 'relay', 'relayed', 'pulse', 'ask', 'vouch', 'turned'] } },
      fields: {
        hello: { type: 'Hello', id: 1 },
        relayed: { type: 'Relayed', id: 3 },
        pulse: { type: 'Pulse', id: 4 },
        relay: { type: 'Relay', id: 5 },
        ask: { type: 'Ask', id: 6 },
        vouch: { type: 'Vouch', id: 7 },
        turned: { type: 'Turned', id: 8 },
      },
    },
    Hello: {
      fields: {
        member: { type: 'string', id: 1 },
        run: { type: 'string', id: 2 },
        /** The formats of messages that the sender reads; 0: it knows only the first. */
        least: { type: 'uint32', id: 3 },
        most: { type: 'uint32', id: 4 },
      },
    },
    /** A worker's report that reached the wrong controller. */
    Relay: { fields: { id: { type: 'uint32', id: 1 }, report: { type: 'Report', id: 2 } } },
    Report: {
      fields: {
        host: { type: 'string', id: 1 },
        endpoint: { type: 'string', id: 2 },
        type: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
        session: { type: 'double', id: 6 },
        seq: { type: 'double', id: 7 },
        token: { type: 'double', id: 8 },
        /** Below zero: no notice. */
        noticeS: { type: 'double', id: 9 },
        tasks: { rule: 'repeated', type: 'Task', id: 10 },
      },
    },
    Task: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'double', id: 3 },
        phase: { type: 'uint32', id: 4 },
        /** 0: none. */
        why: { type: 'uint32', id: 5 },
        saved: { type: 'bool', id: 6 },
      },
    },
    /** The answer to a relayed report, as the worker is to get it. */
    Relayed: {
      fields: {
        id: { type: 'uint32', id: 1 },
        status: { type: 'uint32', id: 2 },
        body: { type: 'string', id: 3 },
      },
    },
    Pulse: {
      fields: {
        /** The newest revision that the sender knows of. */
        epoch: { type: 'double', id: 1 },
        run: { type: 'string', id: 2 },
        /** How busy the sender is, in thousandths of what it has. */
        busy: { type: 'uint32', id: 3 },
        /** Its workers may stay at whoever they reach: their reports are to be relayed. */
        front: { type: 'bool', id: 4 },
        /** Writes a second that the sender wants, for what was accepted and for users. */
        tasks: { type: 'uint32', id: 5 },
        users: { type: 'uint32', id: 6 },
        /** It says what it wants. Zeros are not sent: without this, one that wants nothing would look like one that does not say. */
        says: { type: 'bool', id: 7 },
        /** How far behind it is with writing for accepted work, tenths of a second. */
        behind: { type: 'uint32', id: 8 },
        /** The plan that it follows. */
        follows: { type: 'uint32', id: 9 },
        kinds: { rule: 'repeated', type: 'Kind', id: 10 },
        /** The incarnation of the state that it follows. */
        inc: { type: 'uint32', id: 11 },
        jobs: { type: 'uint32', id: 12 },
      },
    },
    /** What users of a team and class want there, a second. */
    Kind: {
      fields: {
        team: { type: 'string', id: 1 },
        class: { type: 'string', id: 2 },
        weight: { type: 'float', id: 3 },
        want: { type: 'float', id: 4 },
      },
    },
    /** Jobs that were turned away, and since when their users try. */
    Turned: { fields: { list: { rule: 'repeated', type: 'Away', id: 1 } } },
    Away: {
      fields: {
        id: { type: 'string', id: 1 },
        team: { type: 'string', id: 2 },
        class: { type: 'string', id: 3 },
        ageMs: { type: 'uint32', id: 4 },
      },
    },
    /** What do you know above this revision? */
    Ask: {
      fields: {
        nonce: { type: 'uint32', id: 1 },
        epoch: { type: 'double', id: 2 },
        run: { type: 'string', id: 3 },
        /** The incarnation that the sender follows. */
        inc: { type: 'uint32', id: 4 },
      },
    },
    /** All of it, as JSON. */
    Vouch: {
      fields: {
        ask: { type: 'Ask', id: 1 },
        run: { type: 'string', id: 2 },
        known: { type: 'string', id: 3 },
      },
    },
  },
});
/** The message type that every frame consists of. */
export const frameType = root.lookupType('Frame');

export interface WireHello {
  member: string;
  run: string;
  least: number;
  most: number;
}

export interface WireTask {
  job: string;
  index: number;
  attempt: number;
  phase: number;
  why: number;
  saved: boolean;
}

export interface WireReport {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number;
  tasks: WireTask[];
}

export interface WireKind {
  team: string;
  class: string;
  weight: number;
  want: number;
}

export interface WirePulse {
  epoch: number;
  run: string;
  busy: number;
  front: boolean;
  tasks: number;
  users: number;
  says: boolean;
  behind: number;
  follows: number;
  kinds: WireKind[];
  inc: number;
  jobs: number;
}

export interface WireAway {
  id: string;
  team: string;
  class: string;
  ageMs: number;
}

export interface WireAsk {
  nonce: number;
  epoch: number;
  run: string;
  inc: number;
}

/** A decoded frame: at most one of the fields is set, none if the sender's program is newer than this one. */
export interface WireFrame {
  hello?: WireHello | null;
  relay?: { id: number; report: WireReport | null } | null;
  relayed?: { id: number; status: number; body: string } | null;
  pulse?: WirePulse | null;
  turned?: { list: WireAway[] } | null;
  ask?: WireAsk | null;
  vouch?: { ask: WireAsk | null; run: string; known: string } | null;
}
