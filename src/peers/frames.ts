import protobuf from 'protobufjs/light.js';

/**
 * What controllers tell each other: one protobuf message a frame, behind its length as a 32-bit number.
 * All of it only speeds things up or carries a worker's report around a cut; the state service stays the truth.
 */
const root = protobuf.Root.fromJSON({
  nested: {
    Frame: {
      oneofs: { body: { oneof: ['hello', 'relay', 'relayed', 'pulse'] } },
      fields: {
        hello: { type: 'Hello', id: 1 },
        relay: { type: 'Relay', id: 2 },
        relayed: { type: 'Relayed', id: 3 },
        pulse: { type: 'Pulse', id: 4 },
      },
    },
    Hello: { fields: { member: { type: 'string', id: 1 }, run: { type: 'string', id: 2 } } },
    /** A worker's report that reached the wrong controller, as the worker sent it. */
    Relay: { fields: { id: { type: 'uint32', id: 1 }, report: { type: 'bytes', id: 2 } } },
    Relayed: {
      fields: {
        id: { type: 'uint32', id: 1 },
        status: { type: 'uint32', id: 2 },
        body: { type: 'bytes', id: 3 },
      },
    },
    /** The newest revision that the sender knows of. */
    Pulse: { fields: { epoch: { type: 'uint64', id: 1 } } },
  },
});
const type = root.lookupType('Frame');

export type Frame =
  | { hello: { member: string; run: string } }
  | { relay: { id: number; report: string } }
  | { relayed: { id: number; status: number; body: string } }
  | { pulse: { epoch: number } };

const bytes = (s: string): Uint8Array => new Uint8Array(Buffer.from(s, 'utf8'));

export function encodeFrame(frame: Frame): Buffer {
  let wire: object = frame;
  if ('relay' in frame) wire = { relay: { id: frame.relay.id, report: bytes(frame.relay.report) } };
  if ('relayed' in frame) wire = { relayed: { ...frame.relayed, body: bytes(frame.relayed.body) } };
  const body = type.encode(type.fromObject(wire)).finish();
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.set(body, 4);
  return out;
}

interface Raw {
  hello?: { member: string; run: string };
  relay?: { id: number; report: Uint8Array };
  relayed?: { id: number; status: number; body: Uint8Array };
  pulse?: { epoch: number | { toNumber(): number } };
}

function decodeFrame(body: Uint8Array): Frame | null {
  const f = type.decode(body) as unknown as Raw;
  if (f.hello) return { hello: { member: f.hello.member, run: f.hello.run } };
  if (f.relay) return { relay: { id: f.relay.id, report: Buffer.from(f.relay.report).toString('utf8') } };
  if (f.relayed)
    return {
      relayed: {
        id: f.relayed.id,
        status: f.relayed.status,
        body: Buffer.from(f.relayed.body).toString('utf8'),
      },
    };
  if (f.pulse) return { pulse: { epoch: Number(f.pulse.epoch) } };
  return null;
}

const mostFrame = 256 * 1024;

/** Cuts a stream of bytes into frames. Throws on garbage: the connection is then closed. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  push(data: Buffer): Frame[] {
    this.rest = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
    const frames: Frame[] = [];
    while (this.rest.length >= 4) {
      const length = this.rest.readUInt32BE(0);
      if (length > mostFrame) throw new Error(`frame of ${length} bytes`);
      if (this.rest.length < 4 + length) break;
      const frame = decodeFrame(this.rest.subarray(4, 4 + length));
      this.rest = this.rest.subarray(4 + length);
      if (frame) frames.push(frame);
    }
    return frames;
  }
}
