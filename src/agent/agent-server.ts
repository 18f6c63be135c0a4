/** The agent's HTTP server: orders of the control service, the agent's state, output of tasks. */
import { createReadStream, existsSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { readJson, sendJson as reply } from '../net/json.js';
import { encodeAgentReport, parseTaskOrders } from '../wire/agent-side.js';
import type { AgentDirectory } from './agent-directory.js';
import type { Worker, WorkerEffect } from './worker.js';

const maxBodyBytes = 1024 * 1024;

/** What the server needs of the agent. */
export interface AgentServerBackend {
  readonly listen: { readonly host: string; readonly port: number };
  readonly directory: AgentDirectory;
  /** The worker's state; null before the agent has joined. */
  worker(): Worker | null;
  /** Carries out what orders have caused. */
  applyEffects(effects: readonly WorkerEffect[]): void;
  /** Asks for a heartbeat before the next one is due. */
  requestHeartbeat(): void;
}

/** Serves the agent's requests. */
export class AgentServer {
  private readonly server: Server;

  constructor(private readonly backend: AgentServerBackend) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((error: unknown) =>
        reply(res, 500, { error: String((error as Error).message) }),
      );
    });
  }

  /** Where the server listens, HOST:PORT. */
  get endpoint(): string {
    const { port } = this.server.address() as AddressInfo;
    return `${this.backend.listen.host}:${port}`;
  }

  /** Resolves once the server listens; rejects if it cannot. */
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
    // Without orders it announces something that only the response to a heartbeat says.
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
