/** The agent's HTTP server: accepts orders from the control service, and serves the agent's state and task output. */
import { createReadStream, existsSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { readJson, sendJson as reply } from '../net/json.js';
import { encodeAgentReport, parseTaskOrders } from '../wire/agent.js';
import type { AgentDirectory } from './agent-directory.js';
import type { Worker, WorkerEffect } from './worker.js';

const maxBodyBytes = 1024 * 1024;

/** What the server needs from the agent. */
export interface AgentServerBackend {
  readonly listen: { readonly host: string; readonly port: number };
  readonly directory: AgentDirectory;
  /** Returns the worker state machine; null before the agent has joined. */
  worker(): Worker | null;
  /** Executes the effects of orders. */
  applyEffects(effects: readonly WorkerEffect[]): void;
  /** Requests that a heartbeat is sent before the next one is due. */
  requestHeartbeat(): void;
}

/** The agent's HTTP server. */
export class AgentServer {
  private readonly server: Server;

  constructor(private readonly backend: AgentServerBackend) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((error: unknown) =>
        reply(res, 500, { error: String((error as Error).message) }),
      );
    });
  }

  /** The address that the server listens on, HOST:PORT. */
  get endpoint(): string {
    const { port } = this.server.address() as AddressInfo;
    return `${this.backend.listen.host}:${port}`;
  }

  /** Starts listening; rejects if that fails. */
  open(): Promise<void> {
    const { host, port } = this.backend.listen;
    return new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://agent');
    const worker = this.backend.worker();
    if (!worker) return reply(res, 503, { error: 'not joined yet' });
    if (req.method === 'GET' && url.pathname === '/show')
      return reply(res, 200, encodeAgentReport(worker.buildHeartbeat()));
    if (req.method === 'POST' && url.pathname === '/orders') return this.executeOrders(worker, req, res);
    if (req.method === 'GET' && url.pathname === '/output') return this.sendOutput(url.searchParams, res);
    reply(res, 404, { error: 'not found' });
  }

  private async executeOrders(worker: Worker, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const message = parseTaskOrders(await readJson(req, maxBodyBytes));
    if (!message || message.token === null || message.session === null)
      return reply(res, 400, { error: 'baton and tenure are needed' });
    const effects = worker.onDirectOrders(message.token, message.session, message.orders);
    if (effects) this.backend.applyEffects(effects);
    // A message without orders means that the response to the next heartbeat contains news, so the heartbeat is sent now.
    if (effects && message.orders.length === 0) this.backend.requestHeartbeat();
    reply(res, effects ? 200 : 409, encodeAgentReport(worker.buildHeartbeat()));
  }

  private sendOutput(query: URLSearchParams, res: ServerResponse): void {
    const job = query.get('job') ?? '';
    const index = Number(query.get('index'));
    const attempt = Number(query.get('attempt'));
    const stream = query.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    if (!/^[\w-]+$/.test(job) || !Number.isInteger(index) || !Number.isInteger(attempt))
      return reply(res, 400, { error: 'job, index and attempt are needed' });
    const path = join(this.backend.directory.taskDirectory({ job, index, attempt }), stream);
    if (!existsSync(path)) return reply(res, 404, { error: 'no output of that attempt here' });
    res.writeHead(200, { 'Content-Type': 'text/plain; charset=utf-8' });
    createReadStream(path).pipe(res);
  }
}
