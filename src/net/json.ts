/** JSON bodies of HTTP requests and responses, on the server's side. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** The body of a request as JSON; undefined: too long, or not JSON. */
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

/** Answers with JSON, once; a body that is text already goes out as it is. */
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
