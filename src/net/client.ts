import { Agent, request, type IncomingMessage } from 'node:http';
import { splitAddress } from '../config/settings.js';

export interface JsonResponse {
  status: number;
  body: unknown;
}

const maxResponseBytes = 64 * 1024 * 1024;

/**
 * One JSON request with a time limit on everything. null: no usable answer came; whether the request was
 * carried out is unknown.
 */
export function requestJson(
  agent: Agent,
  addr: string,
  method: string,
  path: string,
  body: object | null,
  timeoutMs: number,
): Promise<JsonResponse | null> {
  const { host, port } = splitAddress(addr);
  return new Promise((resolve) => {
    let settled = false;
    const settle = (reply: JsonResponse | null) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(reply);
    };
    const text = body === null ? null : JSON.stringify(body);
    const headers: Record<string, string | number> =
      text === null ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const req = request({ agent, host, port, method, path, headers }, (res: IncomingMessage) => {
      const parts: Buffer[] = [];
      let size = 0;
      res.on('data', (d: Buffer) => {
        size += d.length;
        if (size > maxResponseBytes) req.destroy();
        else parts.push(d);
      });
      res.on('end', () => {
        let parsed: unknown = null;
        try {
          const raw = Buffer.concat(parts).toString('utf8');
          if (raw !== '') parsed = JSON.parse(raw);
        } catch {
          // Garbage in place of JSON: as good as no answer.
          return settle(null);
        }
        settle({ status: res.statusCode ?? 0, body: parsed });
      });
      res.on('error', () => settle(null));
      res.on('close', () => settle(null));
    });
    const timer = setTimeout(() => {
      settle(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => settle(null));
    req.end(text ?? undefined);
  });
}

/** A small JSON client for one server: connections are kept open. */
export class JsonClient {
  private readonly agent: Agent;

  constructor(
    private readonly addr: string,
    maxSockets: number,
  ) {
    this.agent = new Agent({
      keepAlive: true,
      maxSockets: maxSockets,
      maxFreeSockets: maxSockets,
      scheduling: 'fifo',
    });
  }

  call(method: string, path: string, body: object | null, timeoutMs: number): Promise<JsonResponse | null> {
    return requestJson(this.agent, this.addr, method, path, body, timeoutMs);
  }
}
