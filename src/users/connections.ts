import type { Socket } from 'node:net';

/** Who is at the other end, by what was asked last; in order of need, least first. */
export type Peer = 'nobody' | 'user' | 'probe' | 'worker';
const order: Peer[] = ['nobody', 'user', 'probe', 'worker'];

interface Line {
  peer: Peer;
  /** Requests that have no answer yet. */
  open: number;
  usedAt: number;
}

/** The open connections of the HTTP side, and which of them can be done without. */
export class Connections {
  private readonly lines = new Map<Socket, Line>();

  /** `idleMs`: a connection unused for less than this may be about to be used again. */
  constructor(private readonly idleMs: number) {}

  get size(): number {
    return this.lines.size;
  }

  opened(socket: Socket, now: number): void {
    this.lines.set(socket, { peer: 'nobody', open: 0, usedAt: now });
    socket.on('close', () => this.lines.delete(socket));
  }

  used(socket: Socket, peer: Peer, now: number): void {
    const line = this.lines.get(socket);
    if (!line) return;
    line.peer = peer;
    line.open++;
    line.usedAt = now;
  }

  answered(socket: Socket, now: number): void {
    const line = this.lines.get(socket);
    if (!line) return;
    line.open--;
    line.usedAt = now;
  }

  /** Closes so many as are above `most`: idle ones only, those that are needed least and idle longest first. */
  trim(most: number, now: number): number {
    const above = this.lines.size - most;
    if (above <= 0) return 0;
    const idle = [...this.lines].filter(([, l]) => l.open === 0 && now - l.usedAt >= this.idleMs);
    idle.sort(([, a], [, b]) => order.indexOf(a.peer) - order.indexOf(b.peer) || a.usedAt - b.usedAt);
    const close = idle.slice(0, above);
    for (const [socket] of close) socket.end();
    return close.length;
  }
}
