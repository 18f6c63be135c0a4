/** A control service for tests of one agent: it answers requests as the test says, and records them. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from '../../src/net/json.js';
import type { TaskResult } from '../../src/wire/agent.js';

/** A task in a heartbeat, in the protocol's form. */
export interface ReportedTask {
  piece: string;
  try: number;
  status: string;
  cause?: string;
  result?: TaskResult;
}
/** The part of a heartbeat that tests read, in the protocol's form. */
export interface ReportedHeartbeat {
  tenure: number;
  tick: number;
  pieces: ReportedTask[];
}
type Order = { verb: 'run' | 'kill' | 'clear'; piece: string; try: number; windDownS?: number };

const maxBodyBytes = 1024 * 1024;
const pollIntervalMs = 10;
const waitTimeoutMs = 20_000;

/** The control service. It tells the agent the given terms when it joins. */
export class ScriptedControl {
  readonly heartbeats: ReportedHeartbeat[] = [];
  /** The jobs whose descriptions were requested, in the order of the requests. */
  readonly jobRequests: string[] = [];
  /** Descriptions by job ID. A request for another job is answered with 503, after which the agent retries. */
  readonly jobs = new Map<string, object>();
  /** Returns the orders in response to a heartbeat; null: the heartbeat is rejected with 503, so the lease is not renewed. */
  respond: (heartbeat: ReportedHeartbeat) => Order[] | null = () => [];
  /** Delays the response to a heartbeat. */
  holdResponse: (heartbeat: ReportedHeartbeat) => Promise<void> = () => Promise.resolve();
  private readonly server: Server;

  private constructor(private readonly terms: { reportS: number; leaseS: number }) {
    this.server = createServer((req, res) => void this.serve(req, res).catch(() => res.destroy()));
  }
  /** Starts a control service on loopback. */
  static async start(terms: { reportS: number; leaseS: number }): Promise<ScriptedControl> {
    const control = new ScriptedControl(terms);
    await new Promise<void>((resolve) => control.server.listen(0, '127.0.0.1', () => resolve()));
    return control;
  }
  /** HOST:PORT. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }
  /** The newest heartbeat; undefined before the first. */
  get latest(): ReportedHeartbeat | undefined {
    return this.heartbeats.at(-1);
  }
  /** Waits until a heartbeat that arrives from now on meets a condition. */
  async nextHeartbeat(condition: (heartbeat: ReportedHeartbeat) => boolean): Promise<ReportedHeartbeat> {
    const first = this.heartbeats.length;
    const find = () => this.heartbeats.slice(first).find(condition);
    await this.waitUntil(() => find() !== undefined);
    return find()!;
  }
  /** Waits for this many further heartbeats. */
  async waitForHeartbeats(count: number): Promise<void> {
    const wanted = this.heartbeats.length + count;
    await this.waitUntil(() => this.heartbeats.length >= wanted);
  }
  /** Waits until a condition is true; throws if that takes too long. */
  async waitUntil(condition: () => boolean): Promise<void> {
    for (const end = performance.now() + waitTimeoutMs; !condition();) {
      if (performance.now() > end) throw new Error(`not reached in time: ${condition.toString()}`);
      await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
    }
  }
  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === '/agents') return sendJson(res, 200, { host: 'd.1', gangWaitS: 9, ...this.terms });
    if (req.url === '/checkin') return this.answerHeartbeat(req, res);
    const id = /^\/work\/([\w-]+)\/job$/.exec(req.url ?? '')?.[1] ?? '';
    this.jobRequests.push(id);
    const job = this.jobs.get(id);
    sendJson(res, job ? 200 : 503, job ?? {});
  }
  private async answerHeartbeat(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const heartbeat = (await readJson(req, maxBodyBytes)) as ReportedHeartbeat;
    this.heartbeats.push(heartbeat);
    await this.holdResponse(heartbeat);
    const orders = this.respond(heartbeat);
    sendJson(res, orders ? 200 : 503, orders ? { baton: 1, orders } : {});
  }
}
