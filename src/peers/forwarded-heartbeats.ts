/** The heartbeats that a process forwards to peers, and those that peers have forwarded to it: which response belongs to which. */
import type { Heartbeat } from '../model/heartbeat.js';
import type { Frame } from './frames.js';

type ForwardedHeartbeat = Extract<Frame, { type: 'forwarded-heartbeat' }>;
type ForwardedResponse = Extract<Frame, { type: 'forwarded-response' }>;

/** A heartbeat that a peer has forwarded to this process, and that has no response yet. */
interface ReceivedHeartbeat {
  /** The peer that awaits the response. */
  readonly from: string;
  /** The peer's ID of the heartbeat. */
  readonly id: number;
}

/** A response to a forwarded heartbeat, and the peer that awaits it. */
export interface AddressedResponse {
  readonly to: string;
  readonly frame: ForwardedResponse;
}

/** Translates between the request IDs of this process and the IDs of heartbeats in frames. */
export class ForwardedHeartbeats {
  /** Heartbeats of peers without a response yet, by this process's request ID. */
  private readonly received = new Map<number, ReceivedHeartbeat>();
  private receivedCount = 0;

  /** Creates the frame that forwards the heartbeat of a request to a peer. */
  forward(requestId: number, heartbeat: Heartbeat): ForwardedHeartbeat {
    return { type: 'forwarded-heartbeat', id: requestId, heartbeat };
  }

  /** Returns the request that a response answers. */
  requestAnsweredBy({ id }: ForwardedResponse): number {
    return id;
  }

  /** Registers a heartbeat that a peer has forwarded; returns this process's request ID for it. */
  receive(from: string, { id }: ForwardedHeartbeat): number {
    // Negative, so that the IDs never collide with those of the requests to this process's own server.
    const requestId = -++this.receivedCount;
    this.received.set(requestId, { from, id });
    return requestId;
  }

  /** Creates the response to a heartbeat that a peer has forwarded; null if the request did not come from a peer. */
  respond(requestId: number, status: number, body: object | string): AddressedResponse | null {
    const heartbeat = this.received.get(requestId);
    if (!heartbeat) return null;
    this.received.delete(requestId);
    const { from, id } = heartbeat;
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    return { to: from, frame: { type: 'forwarded-response', id, status, body: text } };
  }
}
