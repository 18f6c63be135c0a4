/** HTTP client that sends orders to workers directly, without waiting for their next heartbeat. */
import { Agent } from 'node:http';
import { requestJson } from '../net/client.js';
import type { DirectOrder } from '../model/heartbeat.js';
import { encodeDirectOrders } from '../wire/worker.js';

/**
 * Sends orders to workers. No start is sent this way: a delayed stop of an attempt does no harm, whereas a delayed start could
 * run a task twice.
 */
export class WorkerClient {
  private readonly agent: Agent;

  constructor(
    private readonly timeoutMs: number,
    /** Maximum number of concurrent requests; further ones are queued, and the timeout includes their time in the queue. */
    maxSockets: number,
  ) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  /** Sends orders with a fencing token and agent epoch. Returns whether the worker has accepted them. */
  async sendOrders(
    endpoint: string,
    fencingToken: number,
    agentEpoch: number,
    orders: DirectOrder[],
  ): Promise<boolean> {
    const body = encodeDirectOrders(fencingToken, agentEpoch, orders);
    const reply = await requestJson(this.agent, endpoint, 'POST', '/orders', body, this.timeoutMs);
    return reply?.status === 200;
  }
}
