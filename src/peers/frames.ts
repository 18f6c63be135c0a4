import protobuf from 'protobufjs/light.js';
import type { Demand, KindWant, Turned } from '../admission/index.js';
import type { Speaks } from '../formats/index.js';
import type { Pulse } from '../core/effects.js';
import type { ExitReason, Heartbeat, TaskPhase } from '../model/heartbeat.js';
import type { Question } from '../freshness/index.js';

/**
 * What controllers tell each other: one protobuf message a frame, behind its length as a 32-bit number.
 * All of it only speeds things up or carries a worker's report to its owner; the state service stays the truth.
 * Counters are doubles: they are exact below 2^53 and need no 64-bit integers.
 */
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
const type = root.lookupType('Frame');

const phases: TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
const whys: (ExitReason | null)[] = [
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

export type Frame =
  | { hello: { member: string; run: string; speaks: Speaks } }
  | { relay: { id: number; report: Heartbeat } }
  | { relayed: { id: number; status: number; body: string } }
  | { pulse: Pulse }
  | { ask: Question }
  | { turned: { list: Turned[] } }
  | { vouch: { ask: Question; run: string; known: string } };

interface RawTask {
  job: string;
  index: number;
  attempt: number;
  phase: number;
  why: number;
  saved: boolean;
}
interface RawPulse {
  epoch: number;
  run: string;
  busy: number;
  front: boolean;
  inc: number;
  jobs: number;
}
interface RawQuestion {
  nonce: number;
  epoch: number;
  run: string;
  inc: number;
}
type RawReport = Omit<Heartbeat, 'noticeS' | 'tasks'> & { noticeS: number; tasks: RawTask[] };

const reportOut = (r: Heartbeat): RawReport => ({
  ...r,
  noticeS: r.noticeS ?? -1,
  tasks: r.tasks.map((t) => ({ ...t, phase: phases.indexOf(t.phase), why: whys.indexOf(t.why) })),
});

const reportIn = (r: RawReport): Heartbeat => ({
  host: r.host,
  endpoint: r.endpoint,
  type: r.type,
  zone: r.zone,
  spot: r.spot,
  session: r.session,
  seq: r.seq,
  token: r.token,
  noticeS: r.noticeS < 0 ? null : r.noticeS,
  tasks: r.tasks.map((t) => ({
    job: t.job,
    index: t.index,
    attempt: t.attempt,
    // A state that this version does not know still means that the task is on the machine.
    phase: phases[t.phase] ?? 'running',
    why: t.why < whys.length ? whys[t.why] : 'error',
    saved: t.saved,
  })),
});

function wireOf(frame: Frame): object {
  if ('relay' in frame) return { relay: { id: frame.relay.id, report: reportOut(frame.relay.report) } };
  if ('pulse' in frame) {
    const { epoch, run, busy, front, wants, inc, jobs } = frame.pulse;
    const behind = Math.round((wants?.behindS ?? 0) * 10);
    return { pulse: { ...wants, epoch, run, busy, front, inc, jobs, behind, says: wants !== null } };
  }
  if ('ask' in frame) return { ask: questionOut(frame.ask) };
  if ('vouch' in frame) return { vouch: { ...frame.vouch, ask: questionOut(frame.vouch.ask) } };
  if (!('hello' in frame)) return frame;
  const { member, run, speaks } = frame.hello;
  return { hello: { member, run, ...speaks } };
}

export function encodeFrame(frame: Frame): Buffer {
  const body = type.encode(wireOf(frame)).finish();
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.set(body, 4);
  return out;
}

const questionOut = ({ nonce, epoch, run, inc }: Question): object => ({ nonce, epoch, run, inc });
const questionIn = ({ nonce, epoch, run, inc }: RawQuestion): Question => ({ nonce, epoch, run, inc });

function decodeFrame(body: Uint8Array): Frame | null {
  const f = type.decode(body) as unknown as Partial<Record<string, unknown>>;
  if (f['hello']) {
    const { member, run, least, most } = f['hello'] as { member: string; run: string } & Speaks;
    return { hello: { member, run, speaks: { least: least || 1, most: most || 1 } } };
  }
  if (f['relay']) {
    const { id, report } = f['relay'] as { id: number; report: RawReport | null };
    return report ? { relay: { id, report: reportIn(report) } } : null;
  }
  if (f['relayed']) {
    const { id, status, body: text } = f['relayed'] as { id: number; status: number; body: string };
    return { relayed: { id, status, body: text } };
  }
  if (f['pulse']) {
    const pulse = f['pulse'] as RawPulse & Demand & { says: boolean; behind: number };
    const { epoch, run, busy, front, tasks, users, behind, follows, inc, jobs } = pulse;
    const kinds = pulse.kinds.map(({ team, class: c, weight, want }: KindWant) => ({
      team,
      class: c,
      weight,
      want,
    }));
    const wants = pulse.says ? { tasks, users, behindS: behind / 10, follows, kinds } : null;
    return { pulse: { epoch, run, busy, front, wants, inc, jobs } };
  }
  if (f['turned']) {
    const { list } = f['turned'] as { list: Turned[] };
    return { turned: { list: list.map(({ id, team, class: c, ageMs }) => ({ id, team, class: c, ageMs })) } };
  }
  if (f['ask']) {
    return { ask: questionIn(f['ask'] as RawQuestion) };
  }
  if (f['vouch']) {
    const { ask, run, known } = f['vouch'] as { ask: RawQuestion | null; run: string; known: string };
    return ask ? { vouch: { ask: questionIn(ask), run, known } } : null;
  }
  return null;
}

const mostFrame = 256 * 1024;

/** Cuts a stream of bytes into frames. Throws on garbage: the connection is then closed. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  push(data: Buffer): Frame[] {
    this.rest = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
    const frames: Frame[] = [];
    let at = 0;
    while (this.rest.length - at >= 4) {
      const length = this.rest.readUInt32BE(at);
      if (length > mostFrame) throw new Error(`frame of ${length} bytes`);
      if (this.rest.length - at < 4 + length) break;
      const frame = decodeFrame(this.rest.subarray(at + 4, at + 4 + length));
      at += 4 + length;
      if (frame) frames.push(frame);
    }
    this.rest = this.rest.subarray(at);
    return frames;
  }
}
