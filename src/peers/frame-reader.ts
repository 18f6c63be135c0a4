/** Splits the byte stream of a connection into frames. */
import { decodeFrame, lengthPrefixBytes, type Frame } from './frames.js';

/** Far above the length of any valid frame: a longer one means that the stream is corrupt. */
const maxFrameBytes = 256 * 1024;

/** The length prefix of a frame is above the accepted maximum. */
export class FrameTooLargeError extends Error {
  override readonly name = 'FrameTooLargeError';

  constructor(
    readonly frameBytes: number,
    readonly maxBytes: number,
  ) {
    super(`frame of ${frameBytes} bytes exceeds the limit of ${maxBytes} bytes`);
  }
}

/** The body of a frame is not a valid protobuf message. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';

  constructor(
    readonly frameBytes: number,
    cause: unknown,
  ) {
    super(
      `cannot decode frame of ${frameBytes} bytes: ${cause instanceof Error ? cause.message : String(cause)}`,
      {
        cause,
      },
    );
  }
}

/** Parses frames from received data. Buffers an incomplete frame until the rest of it arrives. */
export class FrameReader {
  private unparsed: Buffer = Buffer.alloc(0);

  /**
   * Appends received data and returns the frames that it completes; those that `decodeFrame` does not know are skipped.
   * Throws `FrameTooLargeError` or `MalformedFrameError`; after that the reader is unusable and the connection must be
   * closed.
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
