/** Tracks the open connections of the HTTP server and closes the least important idle ones. */
import type { Socket } from 'node:net';

/** The kind of client, by its latest request; `unknown`: it has sent none. `probe`: a health check. */
export type ClientKind = 'unknown' | 'user' | 'probe' | 'worker';
/** Least important first: the order in which idle connections are closed. */
const priorityOrder: ClientKind[] = ['unknown', 'user', 'probe', 'worker'];

interface ConnectionState {
  client: ClientKind;
  /** Requests without a response yet. */
  openRequests: number;
  lastUsedAt: number;
}

/** The open connections of the HTTP server. */
export class Connections {
  private readonly states = new Map<Socket, ConnectionState>();

  /** `idleMs`: a connection counts as idle after this time; one used more recently may be about to be used again. */
  constructor(private readonly idleMs: number) {}

  /** The number of open connections. */
  get size(): number {
    return this.states.size;
  }

  /** Records that a connection was opened. */
  opened(socket: Socket, now: number): void {
    this.states.set(socket, { client: 'unknown', openRequests: 0, lastUsedAt: now });
    socket.on('close', () => this.states.delete(socket));
  }

  /** Records that a request has arrived on a connection. */
  requestStarted(socket: Socket, client: ClientKind, now: number): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.client = client;
    state.openRequests++;
    state.lastUsedAt = now;
  }

  /** Records that a request was answered or its connection closed. */
  requestFinished(socket: Socket, now: number): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.openRequests--;
    state.lastUsedAt = now;
  }

  /**
   * Closes idle connections until at most `maxConnections` are open, the least important kind first, and within a kind the
   * longest unused first. Returns how many were closed.
   */
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
