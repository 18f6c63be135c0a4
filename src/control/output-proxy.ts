/** Proxies a task's output from the agent that stores it. */
import { request, type ServerResponse } from 'node:http';
import { sendJson } from '../net/json.js';

/** Idle timeout of the connection to the agent. */
const timeoutMs = 5000;

/** The agent that stores the output did not answer in time. */
class OutputTimeoutError extends Error {
  constructor(readonly host: string) {
    super('no answer');
    this.name = 'OutputTimeoutError';
  }
}

/** Identifies the requested output and the agent that stores it. */
export interface OutputRequest {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly stream: 'stdout' | 'stderr';
  readonly host: string;
  /** The address that the agent listens on, HOST:PORT. */
  readonly endpoint: string;
}

/** Streams the output into the response; responds with 503 if the agent does not answer. */
export function proxyOutput(output: OutputRequest, res: ServerResponse): void {
  const { job, index, attempt, stream, host, endpoint } = output;
  const path = `/output?job=${job}&index=${index}&attempt=${attempt}&stream=${stream}`;
  const [address, port] = endpoint.split(':');
  const upstream = request({ host: address, port: Number(port), path, timeout: timeoutMs }, (response) => {
    res.writeHead(response.statusCode ?? 502, {
      'Content-Type': response.headers['content-type'] ?? 'text/plain',
    });
    response.pipe(res);
  });
  upstream.on('timeout', () => upstream.destroy(new OutputTimeoutError(host)));
  upstream.on('error', (error) => sendJson(res, 503, { error: `${host}: ${error.message}` }));
  upstream.end();
}
