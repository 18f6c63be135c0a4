/** The HTTP server for users, workers and health checks. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Command } from '../core/effects.js';
import { sendJson } from '../net/json.js';
import type { Limits } from '../limits/index.js';
import type { JobSpec } from '../model/job.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { parseHeartbeat } from '../wire/worker.js';
import { jobPath, parseSubmission, cancelSuffix } from '../wire/user.js';
import { Connections, type ClientKind } from './connections.js';

const maxBodyBytes = 64 * 1024;
const matchingUnsupported = 'requirements, rank: only a control service with matching knows them';

/** Extension points for a program that embeds the core, such as the control service. */
export interface ServerHooks {
  /** Handles a request; returns false if the extension does not handle requests of this kind. */
  handleRequest(req: IncomingMessage, res: ServerResponse, path: string): boolean;
  /** Validates a job beyond the checks of the protocol; returns the reason to reject it, or null. */
  rejectionReason(spec: JobSpec): string | null;
  /** Intercepts a worker's heartbeat before the core. `pass` forwards it to the core, `refuse` responds instead. */
  interceptHeartbeat(
    raw: unknown,
    heartbeat: Heartbeat,
    pass: (heartbeat: Heartbeat) => void,
    refuse: (status: number, body: object) => void,
  ): void;
  /** Transforms the response to a heartbeat before it is sent. */
  transformResponse(host: string, status: number, body: object): object;
}

/** Serves users, workers and health checks over HTTP: turns requests into commands of the core. */
export class PublicServer {
  private readonly pending = new Map<number, ServerResponse>();
  private lastRequestId = 0;
  /** Hosts of pending heartbeat requests whose responses the hooks transform, by request ID. */
  private readonly heartbeatHosts = new Map<number, string>();
  /** The underlying HTTP server. */
  readonly server: Server;
  private readonly connections: Connections;

  constructor(
    private readonly enqueue: (command: Command) => void,
    private readonly healthy: () => boolean,
    private readonly sockets: Pick<Limits['sockets'], 'max' | 'closeIdleAbove'>,
    /** Workers send heartbeats at this interval, ms. */
    heartbeatIntervalMs: number,
    private readonly hooks: ServerHooks | null = null,
  ) {
    this.connections = new Connections(heartbeatIntervalMs * 2);
    this.server = createServer(
      { keepAliveTimeout: 120_000, requestTimeout: 10_000, headersTimeout: 10_000 },
      (req, res) => this.handle(req, res),
    );
    this.server.maxConnections = sockets.max;
    this.server.on('connection', (socket) => this.connections.opened(socket, performance.now()));
    this.server.on('clientError', (_, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      else socket.destroy();
    });
  }

  /** Closes idle connections if too many are open; returns how many are open. */
  trimConnections(now: number): number {
    this.connections.trim(this.sockets.closeIdleAbove, now);
    return this.connections.size;
  }

  /** Responds to a pending request; does nothing if its client has disconnected. */
  respond(requestId: number, status: number, body: object | string, retryAfterS?: number): void {
    const res = this.pending.get(requestId);
    const host = this.heartbeatHosts.get(requestId);
    this.heartbeatHosts.delete(requestId);
    if (!res) return;
    this.pending.delete(requestId);
    const sentBody =
      host !== undefined && typeof body === 'object'
        ? this.hooks!.transformResponse(host, status, body)
        : body;
    reply(res, status, sentBody, retryAfterS);
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const path = (req.url ?? '').split('?', 1)[0];
    const method = req.method ?? '';
    const segments = path.split('/');
    this.trackConnection(req, res, path);
    if (this.hooks?.handleRequest(req, res, path)) return;
    if (path === '/healthz') {
      if (!requireMethod(method, 'GET', res)) return;
      return reply(res, this.healthy() ? 200 : 503, {});
    }
    if (path === jobPath) {
      if (!requireMethod(method, 'POST', res)) return;
      return this.readBody(req, res, (body) => {
        const spec = parseSubmission(body);
        if (typeof spec === 'string') return reply(res, 400, { error: spec });
        const issue = this.hooks ? this.hooks.rejectionReason(spec) : spec.match ? matchingUnsupported : null;
        if (issue !== null) return reply(res, 400, { error: issue });
        this.enqueue({ type: 'submit', requestId: this.registerRequest(res), spec });
      });
    }
    if (path === '/checkin') {
      if (!requireMethod(method, 'POST', res)) return;
      return this.readBody(req, res, (body) => {
        const heartbeat = parseHeartbeat(body);
        if (typeof heartbeat === 'string') return reply(res, 400, { error: heartbeat });
        this.handleHeartbeat(body, heartbeat, res);
      });
    }
    if (`/${segments[1]}` === jobPath && segments.length === 3 && segments[2] !== '') {
      if (!requireMethod(method, 'GET', res)) return;
      return this.enqueue({ type: 'query', requestId: this.registerRequest(res), id: segments[2] });
    }
    if (`/${segments[1]}` === jobPath && segments.length === 4 && segments[3] === cancelSuffix) {
      if (!requireMethod(method, 'POST', res)) return;
      return this.readBody(req, res, null, () =>
        this.enqueue({ type: 'cancel', requestId: this.registerRequest(res), id: segments[2] }),
      );
    }
    reply(res, 404, { error: 'not found' });
  }

  private handleHeartbeat(raw: unknown, heartbeat: Heartbeat, res: ServerResponse): void {
    const pass = (passed: Heartbeat): void => {
      const requestId = this.registerRequest(res);
      if (this.hooks) this.heartbeatHosts.set(requestId, passed.host);
      this.enqueue({ type: 'heartbeat', requestId, report: passed });
    };
    if (!this.hooks) return pass(heartbeat);
    this.hooks.interceptHeartbeat(raw, heartbeat, pass, (status, body) => reply(res, status, body));
  }

  private trackConnection(req: IncomingMessage, res: ServerResponse, path: string): void {
    const client: ClientKind = path === '/healthz' ? 'probe' : path === '/checkin' ? 'worker' : 'user';
    const { socket } = req;
    this.connections.requestStarted(socket, client, performance.now());
    res.on('close', () => this.connections.requestFinished(socket, performance.now()));
  }

  private registerRequest(res: ServerResponse): number {
    const requestId = ++this.lastRequestId;
    this.pending.set(requestId, res);
    res.on('close', () => this.pending.delete(requestId));
    return requestId;
  }

  /** Reads a body of bounded size, and passes it to `onJson` parsed; if that is null, calls `onEnd` and ignores the body. */
  private readBody(
    req: IncomingMessage,
    res: ServerResponse,
    onJson: ((body: unknown) => void) | null,
    onEnd?: () => void,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let isRejected = false;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (isRejected) return;
      if (size > maxBodyBytes) {
        isRejected = true;
        res.setHeader('Connection', 'close');
        reply(res, 400, { error: 'body too large' });
        return;
      }
      chunks.push(chunk);
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      if (isRejected) return;
      if (!onJson) return onEnd!();
      let body: unknown;
      try {
        body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      } catch {
        return reply(res, 400, { error: 'not JSON' });
      }
      onJson(body);
    });
  }
}

function requireMethod(method: string, wanted: string, res: ServerResponse): boolean {
  if (method === wanted || (wanted === 'GET' && method === 'HEAD')) return true;
  res.setHeader('Allow', wanted);
  reply(res, 405, { error: `use ${wanted}` });
  return false;
}

function reply(res: ServerResponse, status: number, body: object | string, retryAfterS?: number): void {
  const retryAfter = retryAfterS ?? (status === 503 || status === 429 ? 1 : undefined);
  sendJson(res, status, body, retryAfter === undefined ? {} : { 'Retry-After': retryAfter });
}
