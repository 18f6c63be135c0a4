/** HTTP client for JSON requests with a timeout. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { splitAddress } from '../config/settings.js';

/** A response with a JSON body; null: the body is empty. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

const maxResponseBytes = 64 * 1024 * 1024;

/**
 * Sends one JSON request; `timeoutMs` covers the whole exchange. Resolves to null if there was no usable response; it is then
 * unknown whether the request was executed.
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
  const text = body === null ? null : JSON.stringify(body);
  const headers: Record<string, string | number> =
    text === null ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
  return new Promise((resolve) => {
    let isSettled = false;
    const settle = (response: JsonResponse | null): void => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(response);
    };
    const req = request({ agent, host, port, method, path, headers }, (res) =>
      collectResponse(res, settle, () => req.destroy()),
    );
    const timer = setTimeout(() => {
      settle(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => settle(null));
    req.end(text ?? undefined);
  });
}

/** Reads a whole response and parses it. Calls `abort` to end the request if the response is too long. */
function collectResponse(
  res: IncomingMessage,
  settle: (response: JsonResponse | null) => void,
  abort: () => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxResponseBytes) abort();
    else chunks.push(chunk);
  });
  res.on('end', () => settle(parseResponse(res.statusCode ?? 0, Buffer.concat(chunks).toString('utf8'))));
  res.on('error', () => settle(null));
  res.on('close', () => settle(null));
}

/** Treats a body that is not JSON like a missing response. */
function parseResponse(status: number, text: string): JsonResponse | null {
  try {
    return { status, body: text === '' ? null : (JSON.parse(text) as unknown) };
  } catch {
    return null;
  }
}

/** A JSON client of one server that reuses connections. */
export class JsonClient {
  private readonly agent: Agent;

  constructor(
    private readonly addr: string,
    maxSockets: number,
  ) {
    this.agent = new Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: maxSockets,
      scheduling: 'fifo',
    });
  }

  /** Sends one request, as `requestJson` does. */
  call(method: string, path: string, body: object | null, timeoutMs: number): Promise<JsonResponse | null> {
    return requestJson(this.agent, this.addr, method, path, body, timeoutMs);
  }
}
