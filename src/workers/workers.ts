import { Agent } from 'node:http';
import { callOnce } from '../net/client.js';
import type { Order } from '../model/report.js';
import { ordersOut } from '../wire/worker.js';

const timeoutMs = 2000;

/**
 * Orders sent straight to workers. Only stops go this way: they may be carried out late, and a late stop of
 * an attempt harms nothing, while a late start could run a task twice.
 */
export class Workers {
  private readonly agent = new Agent({ keepAlive: false });

  async order(endpoint: string, token: number, session: number, orders: Order[]): Promise<boolean> {
    const r = await callOnce(
      this.agent,
      endpoint,
      'POST',
      '/orders',
      ordersOut(token, session, orders),
      timeoutMs,
    );
    return r?.status === 200;
  }
}
