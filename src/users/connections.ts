/** Open connections of the HTTP server, and which of them are closed first. */
import type { Socket } from 'node:net';

/** Who is at the other end, by what was asked last; in order of need, least first. */
export type ClientKind = 'nobody' | 'user' | 'probe' | 'worker';
const priorityOrder: ClientKind[] = ['nobody', 'user', 'probe', 'worker'];

interface ConnectionState {
  client: ClientKind;
  /** Requests that have no answer yet. */
  openRequests: number;
  lastUsedAt: number;
}

/** The open connections of the HTTP side, and which of them can be done without. */
export class Connections {
  private readonly states = new Map<Socket, ConnectionState>();

  /** `idleMs`: a connection unused for less than this may be about to be used again. */
  constructor(private readonly idleMs: number) {}

  get size(): number {
    return this.states.size;
  }

  /** A connection was opened. */
  opened(socket: Socket, now: number): void {
    this.states.set(socket, { client: 'nobody', openRequests: 0, lastUsedAt: now });
    socket.on('close', () => this.states.delete(socket));
  }

  /** A request has come in on a connection. */
  requestStarted(socket: Socket, client: ClientKind, now: number): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.client = client;
    state.openRequests++;
    state.lastUsedAt = now;
  }

  /** A request was answered. */
  requestFinished(socket: Socket, now: number): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.openRequests--;
    state.lastUsedAt = now;
  }

  /** Closes so many as are above `most`: idle ones only, those that are needed least and idle longest first. */
  trim(maxConnections: number, now: number): number {
    const excess = this.states.size - maxConnections;
    if (excess <= 0) return 0;
    const idle = [...this.states].filter(
      ([, state]) => state.openRequests === 0 && now - state.lastUsedAt >= this.idleMs,
    );
    idle.sort(
      ([, a], [, b]) =>
        priorityOrder.indexOf(a.client) - priorityOrder.indexOf(b.client) || a.lastUsedAt - b.lastUsedAt,
    );
    const closing = idle.slice(0, excess);
    for (const [socket] of closing) socket.end();
    return closing.length;
  }
}
