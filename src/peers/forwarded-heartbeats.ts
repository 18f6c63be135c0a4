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
  /** The process of the peer that forwarded it. */
  readonly instanceId: string;
}

/** A response to a forwarded heartbeat, and the peer that awaits it. */
export interface AddressedResponse {
  readonly to: string;
  readonly frame: ForwardedResponse;
}

/** IDs of forwarded heartbeats are unsigned 32-bit numbers. */
export const heartbeatIdCount = 2 ** 32;

/**
 * Translates between the request IDs of this process and the IDs of heartbeats in frames. Request IDs begin anew with each
 * process, and a response may arrive after the process that had forwarded the heartbeat was restarted. It would renew the lease
 * of another worker, or have it start a task that has ended or is elsewhere. So a response names the process that it is for.
 */
export class ForwardedHeartbeats {
  /** Heartbeats of peers without a response yet, by this process's request ID. */
  private readonly received = new Map<number, ReceivedHeartbeat>();
  private receivedCount = 0;

  /**
   * `firstId` is chosen at random, so that IDs of different processes differ: programs of earlier versions return only the ID.
   */
  constructor(
    private readonly instanceId: string,
    private readonly firstId: number,
  ) {}

  /** Creates the frame that forwards the heartbeat of a request to a peer. */
  forward(requestId: number, heartbeat: Heartbeat): ForwardedHeartbeat {
    const id = (this.firstId + requestId) % heartbeatIdCount;
    return { type: 'forwarded-heartbeat', id, instanceId: this.instanceId, heartbeat };
  }

  /** Returns the request that a response answers; null if it is for an earlier process of this controller. */
  requestAnsweredBy({ id, instanceId }: ForwardedResponse): number | null {
    if (instanceId !== '' && instanceId !== this.instanceId) return null;
    return (id - this.firstId + heartbeatIdCount) % heartbeatIdCount;
  }

  /** Registers a heartbeat that a peer has forwarded; returns this process's request ID for it. */
  receive(from: string, { id, instanceId }: ForwardedHeartbeat): number {
    // Negative, so that the IDs never collide with those of the requests to this process's own server.
    const requestId = -++this.receivedCount;
    this.received.set(requestId, { from, id, instanceId });
    return requestId;
  }

  /** Creates the response to a heartbeat that a peer has forwarded; null if the request did not come from a peer. */
  respond(requestId: number, status: number, body: object | string): AddressedResponse | null {
    const heartbeat = this.received.get(requestId);
    if (!heartbeat) return null;
    this.received.delete(requestId);
    const { from, id, instanceId } = heartbeat;
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    return { to: from, frame: { type: 'forwarded-response', id, instanceId, status, body: text } };
  }
}
