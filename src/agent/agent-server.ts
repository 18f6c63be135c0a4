/** The agent's HTTP server: accepts orders from the control service, and serves the agent's state and task output. */
import { createReadStream, existsSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { readJson, sendJson as reply } from '../net/json.js';
import { encodeAgentReport, parseDirectOrders, type AgentReport, type DirectOrders } from '../wire/agent.js';
import type { AgentDirectory } from './agent-directory.js';

const maxBodyBytes = 1024 * 1024;

/** What the server needs from the agent. */
export interface AgentServerBackend {
  readonly listen: { readonly host: string; readonly port: number };
  readonly directory: AgentDirectory;
  /** Whether the agent has joined a control service. Before that there are neither reports nor orders. */
  hasJoined(): boolean;
  /** Builds a report of the current state. */
  buildReport(): AgentReport;
  /** Executes orders; returns false if they are for another agent epoch or their fencing token is outdated. */
  executeOrders(orders: DirectOrders): boolean;
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
    if (!this.backend.hasJoined()) return reply(res, 503, { error: 'not joined yet' });
    if (req.method === 'GET' && url.pathname === '/show')
      return reply(res, 200, encodeAgentReport(this.backend.buildReport()));
    if (req.method === 'POST' && url.pathname === '/orders') return this.executeOrders(req, res);
    if (req.method === 'GET' && url.pathname === '/output') return this.sendOutput(url.searchParams, res);
    reply(res, 404, { error: 'not found' });
  }

  private async executeOrders(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const orders = parseDirectOrders(await readJson(req, maxBodyBytes));
    if (!orders)
      return reply(res, 400, { error: 'baton and tenure are needed, and run is not accepted here' });
    const executed = this.backend.executeOrders(orders);
    reply(res, executed ? 200 : 409, encodeAgentReport(this.backend.buildReport()));
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
