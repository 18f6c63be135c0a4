/** HTTP API client of the command line, and the parts of the API responses that commands show. */
import { request } from 'node:http';
import { splitAddress } from '../config/settings.js';
import { JsonClient, type JsonResponse } from '../net/client.js';
import { exitCodes, type Fail } from './exit.js';

const requestTimeoutMs = 5000;

/** A job in API responses. Field names are part of the API. */
export interface JobSummary {
  nameId: string;
  status: string;
  pieces?: number;
  done?: number;
  running?: number;
  failed?: number;
}

/** The last attempt of a task in API responses. Field names are part of the API. */
export interface AttemptSummary {
  attempt: number;
  host: string;
  exit: number | null;
  signal: string | null;
  reason: string;
  startedAt: number;
  endedAt: number;
}

/** A task in API responses. Field names are part of the API. */
export interface TaskSummary {
  index: number;
  state: string;
  host?: string;
  last?: AttemptSummary;
}

/** The signal that ended an attempt, or its exit code; empty if neither is known. */
export const describeEnd = ({ signal, exit }: AttemptSummary): string =>
  signal ?? (exit === null ? '' : `exit ${exit}`);

/** A client of the HTTP API of a controller or control service. Failures end the program. */
export class ApiClient {
  private readonly http: JsonClient;

  constructor(
    private readonly node: string,
    private readonly fail: Fail,
  ) {
    if (!/^[^:]+:\d+$/.test(node)) fail(`--node: expected HOST:PORT, got ${node}`);
    this.http = new JsonClient(node, 1);
  }

  /** Sends a request and returns the response, whatever its status; a missing response ends the program. */
  async request(method: string, path: string, body: object | null): Promise<JsonResponse> {
    const response = await this.http.call(method, path, body, requestTimeoutMs);
    if (response === null) this.fail(`no answer from ${this.node}`);
    return response;
  }

  /** Sends a request and returns the body of the response; a status other than 2xx ends the program with the reason given. */
  async requestOk(method: string, path: string, body: object | null): Promise<unknown> {
    const response = await this.request(method, path, body);
    if (response.status < 300) return response.body;
    const reason = (response.body as { error?: string } | null)?.error ?? JSON.stringify(response.body);
    process.stderr.write(`dapplepick: ${response.status}: ${reason}\n`);
    process.exit(exitCodes.refused);
  }

  /** Streams a response to standard output; an error response goes to standard error and ends the program. */
  streamToStdout(path: string): Promise<void> {
    const { host, port } = splitAddress(this.node);
    return new Promise((resolve) => {
      const req = request({ host, port, path, agent: false }, (res) => {
        const ok = res.statusCode === 200;
        res.pipe(ok ? process.stdout : process.stderr, { end: false });
        res.on('end', () => (ok ? resolve() : process.exit(exitCodes.refused)));
      });
      req.on('error', (e) => this.fail(`no answer from ${this.node}: ${e.message}`));
      req.end();
    });
  }
}
