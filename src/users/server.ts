import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Command } from '../core/effects.js';
import { sendJson } from '../net/json.js';
import type { Limits } from '../limits/index.js';
import type { JobSpec } from '../model/job.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { parseReport } from '../wire/worker.js';
import { jobPath, parseSubmission, withdrawEnd } from '../wire/user.js';
import { Connections, type Peer } from './connections.js';

const mostBody = 64 * 1024;
const noMatching = 'requirements, rank: only a control service with matching knows them';

/** What a program around the core adds to the HTTP side. */
export interface FrontHooks {
  /** Takes a request over; false: it is none of its own. */
  serve(req: IncomingMessage, res: ServerResponse, path: string): boolean;
  /** What is wrong with a job, beyond what the protocol knows; null: nothing. */
  admit(spec: JobSpec): string | null;
  /** Looks at a worker's report before the core does. `pass` hands it on, `refuse` answers instead. */
  checkin(
    raw: unknown,
    report: Heartbeat,
    pass: (report: Heartbeat) => void,
    refuse: (status: number, body: object) => void,
  ): void;
  /** The answer to a worker, as it goes out. */
  answered(host: string, status: number, body: object): object;
}

/** The HTTP side towards users, workers and health checks: requests become commands. */
export class PublicServer {
  private readonly pending = new Map<number, ServerResponse>();
  private count = 0;
  /** Whose report a request is, where somebody wants to see the answer. */
  private readonly hosts = new Map<number, string>();
  readonly server: Server;
  private readonly connections: Connections;

  constructor(
    private readonly push: (c: Command) => void,
    private readonly healthy: () => boolean,
    private readonly sockets: Pick<Limits['sockets'], 'most' | 'comfortable'>,
    /** Workers come again within this time, ms. */
    reportMs: number,
    private readonly hooks: FrontHooks | null = null,
  ) {
    this.connections = new Connections(reportMs * 2);
    this.server = createServer(
      { keepAliveTimeout: 120_000, requestTimeout: 10_000, headersTimeout: 10_000 },
      (req, res) => this.serve(req, res),
    );
    this.server.maxConnections = sockets.most;
    this.server.on('connection', (socket) => this.connections.opened(socket, performance.now()));
    this.server.on('clientError', (_, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      else socket.destroy();
    });
  }

  /** Closes what is needed least where there are too many connections; how many are open. */
  tend(now: number): number {
    this.connections.trim(this.sockets.comfortable, now);
    return this.connections.size;
  }

  answer(rid: number, status: number, body: object | string, retryAfterS?: number): void {
    const res = this.pending.get(rid);
    const host = this.hosts.get(rid);
    this.hosts.delete(rid);
    if (!res) return;
    this.pending.delete(rid);
    const seen =
      host !== undefined && typeof body === 'object' ? this.hooks!.answered(host, status, body) : body;
    reply(res, status, seen, retryAfterS);
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    const path = (req.url ?? '').split('?', 1)[0];
    const method = req.method ?? '';
    const part = path.split('/');
    this.note(req, res, path);
    if (this.hooks?.serve(req, res, path)) return;
    if (path === '/healthz') {
      if (!allow(method, 'GET', res)) return;
      return reply(res, this.healthy() ? 200 : 503, {});
    }
    if (path === jobPath) {
      if (!allow(method, 'POST', res)) return;
      return this.read(req, res, (body) => {
        const spec = parseSubmission(body);
        if (typeof spec === 'string') return reply(res, 400, { error: spec });
        const wrong = this.hooks ? this.hooks.admit(spec) : spec.match ? noMatching : null;
        if (wrong !== null) return reply(res, 400, { error: wrong });
        this.push({ type: 'submit', rid: this.keep(res), spec });
      });
    }
    if (path === '/checkin') {
      if (!allow(method, 'POST', res)) return;
      return this.read(req, res, (body) => {
        const report = parseReport(body);
        if (typeof report === 'string') return reply(res, 400, { error: report });
        this.checkin(body, report, res);
      });
    }
    if (`/${part[1]}` === jobPath && part.length === 3 && part[2] !== '') {
      if (!allow(method, 'GET', res)) return;
      return this.push({ type: 'query', rid: this.keep(res), id: part[2] });
    }
    if (`/${part[1]}` === jobPath && part.length === 4 && part[3] === withdrawEnd) {
      if (!allow(method, 'POST', res)) return;
      return this.read(req, res, null, () => this.push({ type: 'cancel', rid: this.keep(res), id: part[2] }));
    }
    reply(res, 404, { error: 'not found' });
  }

  private checkin(raw: unknown, report: Heartbeat, res: ServerResponse): void {
    const pass = (seen: Heartbeat): void => {
      const rid = this.keep(res);
      if (this.hooks) this.hosts.set(rid, seen.host);
      this.push({ type: 'heartbeat', rid, report: seen });
    };
    if (!this.hooks) return pass(report);
    this.hooks.checkin(raw, report, pass, (status, body) => reply(res, status, body));
  }

  private note(req: IncomingMessage, res: ServerResponse, path: string): void {
    const peer: Peer = path === '/healthz' ? 'probe' : path === '/checkin' ? 'worker' : 'user';
    const { socket } = req;
    this.connections.used(socket, peer, performance.now());
    res.on('close', () => this.connections.answered(socket, performance.now()));
  }

  private keep(res: ServerResponse): number {
    const rid = ++this.count;
    this.pending.set(rid, res);
    res.on('close', () => this.pending.delete(rid));
    return rid;
  }

  /** Reads a body of bounded size; `use` gets it as JSON, `skip` ignores what it says. */
  private read(
    req: IncomingMessage,
    res: ServerResponse,
    use: ((body: unknown) => void) | null,
    skip?: () => void,
  ): void {
    const parts: Buffer[] = [];
    let size = 0;
    let refused = false;
    req.on('data', (d: Buffer) => {
      size += d.length;
      if (refused) return;
      if (size > mostBody) {
        refused = true;
        res.setHeader('Connection', 'close');
        reply(res, 400, { error: 'body too large' });
        return;
      }
      parts.push(d);
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      if (refused) return;
      if (!use) return skip!();
      let body: unknown;
      try {
        body = JSON.parse(Buffer.concat(parts).toString('utf8'));
      } catch {
        return reply(res, 400, { error: 'not JSON' });
      }
      use(body);
    });
  }
}

function allow(method: string, wanted: string, res: ServerResponse): boolean {
  if (method === wanted || (wanted === 'GET' && method === 'HEAD')) return true;
  res.setHeader('Allow', wanted);
  reply(res, 405, { error: `use ${wanted}` });
  return false;
}

function reply(res: ServerResponse, status: number, body: object | string, retryAfterS?: number): void {
  const after = retryAfterS ?? (status === 503 || status === 429 ? 1 : undefined);
  sendJson(res, status, body, after === undefined ? {} : { 'Retry-After': after });
}
