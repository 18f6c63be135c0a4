/** JSON bodies of HTTP requests and responses, for servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Reads and parses the JSON body of a request; undefined if it is too long or not JSON. */
export async function readJson(req: IncomingMessage, maxBytes: number): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) return undefined;
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

/** Sends a JSON response unless one was sent already; a string body is sent as it is. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: object | string,
  headers: Record<string, string | number> = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}
