/** What controllers tell each other: one protobuf message a frame, behind its length as a 32-bit number. */
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
  | { pulse: PeerStatus }
  | { ask: FreshnessQuery }
  | { turned: { list: Rejection[] } }
  | { vouch: { ask: FreshnessQuery; run: string; known: string } };

function reportOut(r: Heartbeat): WireReport {
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
      why: whys.indexOf(t.exitReason),
      saved: t.saved,
    })),
  };
}

function reportIn(r: WireReport): Heartbeat {
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
      exitReason: t.why < whys.length ? whys[t.why] : 'error',
      saved: t.saved,
    })),
  };
}

function pulseOut(p: PeerStatus): Partial<WirePulse> {
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
    tasks: d.tasks,
    users: d.users,
    behind: Math.round(d.behindS * 10),
    follows: d.follows,
    kinds: d.kinds.map((k) => ({ team: k.team, class: k.class, weight: k.weight, want: k.want })),
  };
}

function demandIn(p: WirePulse): MemberDemand {
  return {
    tasks: p.tasks,
    users: p.users,
    behindS: p.behind / 10,
    follows: p.follows,
    kinds: p.kinds.map((k) => ({ team: k.team, class: k.class, weight: k.weight, want: k.want })),
  };
}

function pulseIn(p: WirePulse): PeerStatus {
  return {
    revision: p.epoch,
    run: p.run,
    utilizationPermille: p.busy,
    wantsForwarding: p.front,
    demand: p.says ? demandIn(p) : null,
    incarnation: p.inc,
    jobCount: p.jobs,
  };
}

const helloOut = (member: string, run: string, speaks: Speaks): WireHello => ({
  member,
  run,
  least: speaks.least,
  most: speaks.most,
});

/** A sender that names no formats knows only the first. */
const speaksIn = (h: WireHello): Speaks => ({ least: h.least || 1, most: h.most || 1 });

const turnedOut = (t: Rejection): WireAway => ({ id: t.id, team: t.team, class: t.class, ageMs: t.ageMs });
const turnedIn = (t: WireAway): Rejection => ({ id: t.id, team: t.team, class: t.class, ageMs: t.ageMs });

const questionOut = (q: FreshnessQuery): WireAsk => ({
  nonce: q.nonce,
  epoch: q.revision,
  run: q.run,
  inc: q.incarnation,
});
const questionIn = (q: WireAsk): FreshnessQuery => ({
  run: q.run,
  nonce: q.nonce,
  revision: q.epoch,
  incarnation: q.inc,
});

function wireOf(frame: Frame): object {
  if ('hello' in frame) return { hello: helloOut(frame.hello.member, frame.hello.run, frame.hello.speaks) };
  if ('relay' in frame) return { relay: { id: frame.relay.id, report: reportOut(frame.relay.report) } };
  if ('relayed' in frame) {
    const { id, status, body } = frame.relayed;
    return { relayed: { id, status, body } };
  }
  if ('pulse' in frame) return { pulse: pulseOut(frame.pulse) };
  if ('turned' in frame) return { turned: { list: frame.turned.list.map(turnedOut) } };
  if ('ask' in frame) return { ask: questionOut(frame.ask) };
  const { ask, run, known } = frame.vouch;
  return { vouch: { ask: questionOut(ask), run, known } };
}

export function encodeFrame(frame: Frame): Buffer {
  const body = frameType.encode(wireOf(frame)).finish();
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.set(body, 4);
  return out;
}

/** Null for a message that this program does not know, or that lacks what it is about. */
function decodeFrame(body: Uint8Array): Frame | null {
  const f = frameType.decode(body) as WireFrame;
  if (f.hello) {
    const { member, run } = f.hello;
    return { hello: { member, run, speaks: speaksIn(f.hello) } };
  }
  if (f.relay) {
    const { id, report } = f.relay;
    return report ? { relay: { id, report: reportIn(report) } } : null;
  }
  if (f.relayed) {
    const { id, status, body: text } = f.relayed;
    return { relayed: { id, status, body: text } };
  }
  if (f.pulse) return { pulse: pulseIn(f.pulse) };
  if (f.turned) return { turned: { list: f.turned.list.map(turnedIn) } };
  if (f.ask) return { ask: questionIn(f.ask) };
  if (f.vouch) {
    const { ask, run, known } = f.vouch;
    return ask ? { vouch: { ask: questionIn(ask), run, known } } : null;
  }
  return null;
}

const maxFrameBytes = 256 * 1024;

/** Cuts a stream of bytes into frames. Throws on garbage: the connection is then closed. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  push(data: Buffer): Frame[] {
    this.rest = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
    const frames: Frame[] = [];
    let at = 0;
    while (this.rest.length - at >= 4) {
      const length = this.rest.readUInt32BE(at);
      if (length > maxFrameBytes) throw new Error(`frame of ${length} bytes`);
      if (this.rest.length - at < 4 + length) break;
      const frame = decodeFrame(this.rest.subarray(at + 4, at + 4 + length));
      at += 4 + length;
      if (frame) frames.push(frame);
    }
    this.rest = this.rest.subarray(at);
    return frames;
  }
}
