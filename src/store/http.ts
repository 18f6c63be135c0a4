/** The state service's HTTP server. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  encodeChangeLog,
  encodeConflict,
  encodeEntry,
  encodeRevision,
  encodeLease,
  encodePage,
  leaseNotFound,
  parseLeaseRequest,
  parseTransaction,
} from '../wire/store-server.js';
import { readJson, sendJson as reply } from '../net/json.js';
import type { Transaction } from '../wire/store.js';
import type { Engine } from './engine.js';
import { snapshotInto } from './snapshot.js';

const maxBodyBytes = 64 * 1024;
const maxWatchMs = 60_000;

/** The response to a request that the gate has rejected. */
export interface Refusal {
  status: 400 | 429 | 503;
  error: string;
}

/** Decides which requests are served, by rate limits, size limits and simulated outages. By default all requests are served. */
export interface RequestGate {
  /** Resolves with null once the request may proceed, or with the response that rejects it. */
  request(): Promise<Refusal | null>;
  /** Checks a transaction in addition, once its size is known. */
  transaction(txn: Transaction): Refusal | null;
}

const allowAllGate: RequestGate = { request: () => Promise.resolve(null), transaction: () => null };

/** Creates the HTTP server of a store. `dir`: where it writes snapshots. */
export function storeServer(engine: Engine, dir: string, gate: RequestGate = allowAllGate): Server {
  const server = createServer({ keepAliveTimeout: 120_000, requestTimeout: 10_000 }, (req, res) => {
    serve(engine, dir, gate, req, res).catch((e: unknown) =>
      reply(res, 503, { error: String((e as Error).message) }),
    );
  });
  server.on('clientError', (_, socket) => socket.destroy());
  return server;
}

async function serve(
  engine: Engine,
  dir: string,
  gate: RequestGate,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://store');
  const route = `${req.method ?? ''} ${url.pathname}`;
  const leaseRoute = /^(POST|DELETE) \/leases\/(\d+)(\/renew)?$/.exec(route);
  if (engine.failure) return reply(res, 503, { error: engine.failure.message });
  const refusal = await gate.request();
  if (refusal) return reply(res, refusal.status, { error: refusal.error });
  if (route === 'POST /commit') return commit(engine, gate, await readJson(req, maxBodyBytes), res);
  if (route === 'POST /leases') {
    const ttlMs = parseLeaseRequest(await readJson(req, maxBodyBytes));
    if (typeof ttlMs === 'string') return reply(res, 400, { error: ttlMs });
    const leaseId = await engine.grantLease(ttlMs);
    return leaseId === null
      ? reply(res, 503, { error: 'not written' })
      : reply(res, 200, encodeLease(leaseId));
  }
  if (leaseRoute) {
    const leaseId = Number(leaseRoute[2]);
    const ok =
      leaseRoute[1] === 'DELETE'
        ? await engine.endLease(leaseId)
        : leaseRoute[3] !== undefined && engine.renewLease(leaseId);
    return reply(res, ok ? 200 : 404, ok ? {} : { error: leaseNotFound });
  }
  if (route === 'GET /kv') {
    const limit = Number(url.searchParams.get('limit') ?? 1000);
    if (!Number.isInteger(limit) || limit < 1)
      return reply(res, 400, { error: 'limit: must be a whole number' });
    const page = engine.scan(url.searchParams.get('starts') ?? '', url.searchParams.get('from') ?? '', limit);
    return reply(res, 200, encodePage(page.items, page.more, page.revision));
  }
  if (route.startsWith('GET /kv/')) {
    const key = decodeURIComponent(url.pathname.slice('/kv/'.length));
    const { entry, revision: epoch } = engine.get(key);
    return entry ? reply(res, 200, encodeEntry(key, entry)) : reply(res, 404, encodeRevision(epoch));
  }
  if (route === 'POST /snapshot') return reply(res, 200, await snapshotInto(engine, dir));
  if (route === 'GET /changes') return watch(engine, url.searchParams, res);
  reply(res, 404, { error: 'not found' });
}

async function commit(engine: Engine, gate: RequestGate, value: unknown, res: ServerResponse): Promise<void> {
  const txn = parseTransaction(value);
  if (typeof txn === 'string') return reply(res, 400, { error: txn });
  const refusal = gate.transaction(txn);
  if (refusal) return reply(res, refusal.status, { error: refusal.error });
  const outcome = await engine.commit(txn);
  if (outcome.type === 'ok') reply(res, 200, encodeRevision(outcome.revision));
  else if (outcome.type === 'conflict') reply(res, 409, encodeConflict(outcome.failed, outcome.revision));
  else if (outcome.type === 'lease-expired') reply(res, 400, { error: leaseNotFound });
  // Whether it is durable is unknown, so the connection is closed without a response.
  else res.destroy();
}

async function watch(engine: Engine, query: URLSearchParams, res: ServerResponse): Promise<void> {
  const from = Number(query.get('from') ?? NaN);
  const blockMs = Number(query.get('blockMs') ?? 0);
  if (!Number.isInteger(from) || from < 0) return reply(res, 400, { error: 'from: must be a revision' });
  if (!(blockMs >= 0 && blockMs <= maxWatchMs))
    return reply(res, 400, { error: `blockMs: must be 0 to ${maxWatchMs}` });
  const result = await engine.changes(query.get('starts') ?? '', from, blockMs);
  if (result === 'old') reply(res, 410, { error: 'too old: read the keys again' });
  else reply(res, 200, encodeChangeLog(result.changes, result.revision));
}
