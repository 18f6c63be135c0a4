/** Cuts the stream of bytes of a connection into frames. */
import { decodeFrame, lengthPrefixBytes, type Frame } from './frames.js';

/** Far above what any frame needs: a longer one is taken for garbage. */
const maxFrameBytes = 256 * 1024;

/** The length of a frame is above what is accepted. */
export class FrameTooLargeError extends Error {
  override readonly name = 'FrameTooLargeError';

  constructor(
    readonly frameBytes: number,
    readonly maxBytes: number,
  ) {
    super(`frame of ${frameBytes} bytes, at most ${maxBytes} are accepted`);
  }
}

/** The bytes of a frame are no protobuf message. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';

  constructor(
    readonly frameBytes: number,
    cause: unknown,
  ) {
    super(`frame of ${frameBytes} bytes: ${cause instanceof Error ? cause.message : String(cause)}`, {
      cause,
    });
  }
}

/** Keeps the bytes of an incomplete frame until the rest arrives. */
export class FrameReader {
  private unparsed: Buffer = Buffer.alloc(0);

  /**
   * The frames that are complete with these bytes. Throws `FrameTooLargeError` or `MalformedFrameError`: the reader
   * cannot be used any more then, and the connection is to be closed.
   */
  push(data: Buffer): Frame[] {
    this.unparsed = this.unparsed.length === 0 ? data : Buffer.concat([this.unparsed, data]);
    const frames: Frame[] = [];
    let offset = 0;
    while (this.unparsed.length - offset >= lengthPrefixBytes) {
      const frameBytes = this.unparsed.readUInt32BE(offset);
      if (frameBytes > maxFrameBytes) throw new FrameTooLargeError(frameBytes, maxFrameBytes);
      const start = offset + lengthPrefixBytes;
      if (this.unparsed.length - start < frameBytes) break;
      const frame = decode(this.unparsed.subarray(start, start + frameBytes));
      offset = start + frameBytes;
      if (frame) frames.push(frame);
    }
    this.unparsed = this.unparsed.subarray(offset);
    return frames;
  }
}

function decode(body: Buffer): Frame | null {
  try {
    return decodeFrame(body);
  } catch (e) {
    throw new MalformedFrameError(body.length, e);
  }
}
