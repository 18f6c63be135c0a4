/** The full mesh of TCP connections between the controllers. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { splitAddress, type Settings } from '../config/settings.js';
import type { Log } from '../core/effects.js';
import { commonMessageFormat, messageFormats } from '../formats/index.js';
import { backoffDelayMs, type Random, type RetryPolicy } from '../retry/index.js';
import { FrameReader } from './frame-reader.js';
import { encodeFrame, type Frame, type HelloFrame } from './frames.js';

/**
 * Frames are dropped while more than this many bytes are queued on a connection: a status or an answer sent behind them
 * would be outdated on arrival.
 */
const maxQueuedBytes = 1024 * 1024;

/** Options of `PeerMesh`. */
export interface PeerMeshOptions {
  readonly settings: Settings;
  /** Identifies this process. */
  readonly instanceId: string;
  /** Timeout and backoff of connection attempts. */
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly maxInboundConnections: number;
  readonly log: Log;
  readonly onFrame: (from: string, frame: Frame) => void;
  /**
   * Called when an established connection to a peer was lost and reconnecting was refused at once: its process has most
   * likely ended.
   */
  readonly onPeerLost: (member: string) => void;
}

/** The connection to a peer, opened by this controller. */
interface OutboundLink {
  socket: Socket | null;
  isConnected: boolean;
}

/**
 * The connections to and from all peers. Each controller connects to every other one and sends only on the connection that
 * it opened itself. A frame that cannot be sent at once is dropped, because correctness does not depend on any of them.
 */
export class PeerMesh {
  private readonly links = new Map<string, OutboundLink>();
  private readonly server: Server;
  private isStopped = false;

  constructor(private readonly options: PeerMeshOptions) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = options.maxInboundConnections;
  }

  /** Listens for connections from peers, and connects to all of them. */
  async start(): Promise<void> {
    const { settings } = this.options;
    const { host, port } = splitAddress(settings.peerAddr);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
    for (const { member, addr } of settings.peers) this.dial(member, addr);
  }

  /** Sends a frame to a peer; returns false if it was dropped. */
  send(to: string, frame: Frame): boolean {
    const link = this.links.get(to);
    if (!link?.isConnected || !link.socket || link.socket.writableLength > maxQueuedBytes) return false;
    const { socket } = link;
    // Batches all frames that are sent in the same step.
    if (socket.writableCorked === 0) {
      socket.cork();
      process.nextTick(() => socket.uncork());
    }
    socket.write(encodeFrame(frame));
    return true;
  }

  /** Sends a frame to all peers. */
  broadcast(frame: Frame): void {
    for (const { member } of this.options.settings.peers) this.send(member, frame);
  }

  /** Closes all connections. */
  stop(): void {
    this.isStopped = true;
    this.server.close();
    for (const { socket } of this.links.values()) socket?.destroy();
  }

  private dial(member: string, addr: string): void {
    const { settings, instanceId, retry, random, onPeerLost } = this.options;
    const link: OutboundLink = { socket: null, isConnected: false };
    this.links.set(member, link);
    let failures = 0;
    const open = (isReconnect: boolean): void => {
      if (this.isStopped) return;
      const socket = connect(splitAddress(addr));
      link.socket = socket;
      socket.setNoDelay(true);
      socket.setTimeout(retry.timeoutMs, () => {
        if (!link.isConnected) socket.destroy();
      });
      socket.on('connect', () => {
        link.isConnected = true;
        failures = 0;
        const { member: ownMember } = settings;
        socket.write(encodeFrame({ type: 'hello', member: ownMember, instanceId, speaks: messageFormats }));
      });
      // Peers send on connections that they open; this one is read only to notice when the peer closes it.
      socket.on('data', () => undefined);
      socket.on('error', (e: NodeJS.ErrnoException) => {
        if (isReconnect && e.code === 'ECONNREFUSED') onPeerLost(member);
      });
      socket.on('close', () => {
        const wasConnected = link.isConnected;
        link.isConnected = false;
        if (wasConnected) open(true);
        else setTimeout(() => open(false), backoffDelayMs(retry, ++failures, random)).unref();
      });
    };
    open(false);
  }

  private accept(socket: Socket): void {
    const { log, onFrame } = this.options;
    const reader = new FrameReader();
    let from: string | null = null;
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      let frames: Frame[];
      try {
        frames = reader.push(data);
      } catch (e) {
        log('warn', 'malformed peer frame', { from, error: String((e as Error).message) });
        socket.destroy();
        return;
      }
      for (const frame of frames) {
        if (frame.type === 'hello') {
          if (!this.acceptsHello(frame)) return void socket.destroy();
          from = frame.member;
        } else if (from !== null) onFrame(from, frame);
      }
    });
  }

  /** Whether the sender is a configured peer that has a message format in common with this program. */
  private acceptsHello({ member, speaks }: HelloFrame): boolean {
    const { settings, log } = this.options;
    if (!settings.peers.some((p) => p.member === member)) return false;
    if (commonMessageFormat(speaks) !== null) return true;
    log('warn', 'no common peer message format', { from: member, speaks });
    return false;
  }
}
