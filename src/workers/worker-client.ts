/** Orders that are sent to workers directly, without waiting for their next heartbeat. */
import { Agent } from 'node:http';
import { requestJson } from '../net/client.js';
import type { TaskOrder } from '../model/heartbeat.js';
import { encodeTaskOrders } from '../wire/worker.js';

/**
 * Sends orders to workers. Only stops are sent this way: a late stop of an attempt does no harm, while a late start could run a
 * task twice.
 */
export class WorkerClient {
  private readonly agent: Agent;

  constructor(
    private readonly timeoutMs: number,
    /** Requests under way at most; the others wait, and time out like those without an answer. */
    maxSockets: number,
  ) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  /** Sends orders under a fencing token and agent epoch. Returns whether the worker has accepted them. */
  async sendOrders(
    endpoint: string,
    fencingToken: number,
    agentEpoch: number,
    orders: TaskOrder[],
  ): Promise<boolean> {
    const body = encodeTaskOrders(fencingToken, agentEpoch, orders);
    const reply = await requestJson(this.agent, endpoint, 'POST', '/orders', body, this.timeoutMs);
    return reply?.status === 200;
  }
}
