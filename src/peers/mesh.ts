import { connect, createServer, type Server, type Socket } from 'node:net';
import { splitAddr, type Settings } from '../config/settings.js';
import { common, messageFormats } from '../formats/index.js';
import type { Log } from '../core/effects.js';
import { backoffDelayMs, type Random, type RetryPolicy } from '../retry/index.js';
import { encodeFrame, FrameReader, type Frame } from './frames.js';

const maxQueuedBytes = 1024 * 1024;

/**
 * Connections between the controllers: each dials every other one and sends on its own connection. What
 * cannot be sent at once is dropped; nothing here is needed for a right answer.
 */
export class Mesh {
  private readonly out = new Map<string, { socket: Socket | null; ready: boolean }>();
  private readonly server: Server;
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    private readonly run: string,
    private readonly retry: RetryPolicy,
    private readonly random: Random,
    maxInboundConnections: number,
    private readonly log: Log,
    private readonly onFrame: (from: string, frame: Frame) => void,
    private readonly onPeerLost: (member: string) => void,
  ) {
    this.server = createServer((socket) => this.inbound(socket));
    this.server.maxConnections = maxInboundConnections;
  }

  async start(): Promise<void> {
    const { host, port } = splitAddr(this.settings.peerAddr);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
    for (const p of this.settings.peers) this.dial(p.member, p.addr);
  }

  send(to: string, frame: Frame): boolean {
    const link = this.out.get(to);
    if (!link?.ready || !link.socket || link.socket.writableLength > maxQueuedBytes) return false;
    // What one step sends goes out together.
    if (link.socket.writableCorked === 0) {
      const { socket } = link;
      socket.cork();
      process.nextTick(() => socket.uncork());
    }
    link.socket.write(encodeFrame(frame));
    return true;
  }

  stop(): void {
    this.stopped = true;
    this.server.close();
    for (const l of this.out.values()) l.socket?.destroy();
  }

  private dial(member: string, addr: string): void {
    const link = { socket: null as Socket | null, ready: false };
    this.out.set(member, link);
    let failures = 0;
    const open = (broken = false): void => {
      if (this.stopped) return;
      const socket = connect(splitAddr(addr));
      link.socket = socket;
      socket.setNoDelay(true);
      socket.setTimeout(this.retry.timeoutMs, () => {
        if (!link.ready) socket.destroy();
      });
      socket.on('connect', () => {
        link.ready = true;
        failures = 0;
        socket.write(
          encodeFrame({ hello: { member: this.settings.member, run: this.run, speaks: messageFormats } }),
        );
      });
      socket.on('data', () => undefined);
      socket.on('error', (e: NodeJS.ErrnoException) => {
        // A connection that stood a moment ago broke, and nobody listens any more.
        if (broken && e.code === 'ECONNREFUSED') this.onPeerLost(member);
      });
      socket.on('close', () => {
        const stood = link.ready;
        link.ready = false;
        if (stood) open(true);
        else setTimeout(() => open(), backoffDelayMs(this.retry, ++failures, this.random)).unref();
      });
    };
    open();
  }

  private inbound(socket: Socket): void {
    const reader = new FrameReader();
    let from: string | null = null;
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      let frames: Frame[];
      try {
        frames = reader.push(data);
      } catch (e) {
        this.log('warn', 'garbage from a peer', { from, error: String((e as Error).message) });
        socket.destroy();
        return;
      }
      for (const f of frames) {
        if ('hello' in f) {
          const known = this.settings.peers.some((p) => p.member === f.hello.member);
          if (!known) return void socket.destroy();
          if (common(f.hello.speaks) === null) {
            this.log('warn', 'no format of messages in common', {
              from: f.hello.member,
              speaks: f.hello.speaks,
            });
            return void socket.destroy();
          }
          from = f.hello.member;
        } else if (from !== null) this.onFrame(from, f);
      }
    });
  }
}
