import { Agent } from 'node:http';
import { requestJson } from '../net/client.js';
import type { TaskOrder } from '../model/heartbeat.js';
import { ordersOut } from '../wire/worker.js';

/**
 * Orders sent straight to workers. Only stops go this way: they may be carried out late, and a late stop of
 * an attempt harms nothing, while a late start could run a task twice.
 */
export class WorkerClient {
  private readonly agent: Agent;

  constructor(
    private readonly timeoutMs: number,
    /** So many at once; the others wait, and are given up like those that get no answer. */
    maxSockets: number,
  ) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  async sendOrders(endpoint: string, token: number, session: number, orders: TaskOrder[]): Promise<boolean> {
    const r = await requestJson(
      this.agent,
      endpoint,
      'POST',
      '/orders',
      ordersOut(token, session, orders),
      this.timeoutMs,
    );
    return r?.status === 200;
  }
}
