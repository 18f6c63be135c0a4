// Stand-in for the state service of PROTOCOL ("Controller nodes -> state service"). All state is in memory.
// One engine listens on several ports, one for each controller, so that a case can disturb one controller alone.
import http from 'node:http';

const keptChanges = 10_000;

class Bucket {
  constructor(perS) { this.perS = perS; this.tokens = perS; this.at = performance.now(); }
  take(n) {
    const now = performance.now();
    this.tokens = Math.min(this.perS, this.tokens + ((now - this.at) / 1000) * this.perS);
    this.at = now;
    if (this.tokens < n) return false;
    this.tokens -= n;
    return true;
  }
}

export class StateService {
  /** limits: { rps, write_rps, value_kb, txn_ops } */
  constructor(limits, firstEpoch = 0) {
    this.limits = limits;
    this.epoch = firstEpoch;
    this.keys = new Map();
    this.log = [];
    this.forgotten = firstEpoch;
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.latencyMs = 6;
    /** (client, request) => null | 'refuse' | 'hang' : a case's disturbance of one request. */
    this.disturb = () => null;
    this.servers = [];
    this.counts = { requests: 0, refused: 0, malformed: 0 };
    this.timer = setInterval(() => this.expire(), 20);
  }

  async listen(client) {
    const server = http.createServer({ keepAliveTimeout: 120_000 }, (req, res) => this.handle(client, req, res));
    await new Promise((r) => server.listen(0, '127.0.0.1', r));
    this.servers.push(server);
    return server.address().port;
  }

  close() {
    clearInterval(this.timer);
    for (const s of this.servers) { s.close(); s.closeAllConnections(); }
  }

  /** After an outage every lease has its full time again. */
  renewAll() { for (const l of this.leases.values()) l.endsAt = performance.now() + l.ttlMs; }

  expire() {
    if (this.outage) return;
    for (const [id, l] of this.leases) if (l.endsAt + 20 < performance.now()) this.endLease(id);
  }

  endLease(id) {
    const l = this.leases.get(id);
    if (!l) return false;
    this.leases.delete(id);
    const attached = [...this.keys].filter(([, e]) => e.hold === id).map(([k]) => k);
    if (attached.length > 0) this.change(attached.map((key) => ({ drop: key })));
    return true;
  }

  change(apply) {
    this.epoch++;
    for (const w of apply) {
      if (w.put !== undefined) {
        this.keys.set(w.put, { data: w.data, stamp: this.epoch, hold: w.hold });
        this.log.push({ put: w.put, data: w.data, stamp: this.epoch });
      } else if (this.keys.delete(w.drop)) this.log.push({ drop: w.drop, stamp: this.epoch });
    }
    while (this.log.length > keptChanges) this.forgotten = this.log.shift().stamp;
    for (const wake of [...this.watchers]) wake();
  }

  handle(client, req, res) {
    const chunks = [];
    req.on('data', (d) => chunks.push(d));
    req.on('error', () => undefined);
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      setTimeout(() => this.serve(client, req, res, text), this.latencyMs * (0.5 + Math.random()));
    });
  }

  serve(client, req, res, text) {
    const url = new URL(req.url, 'http://s');
    const send = (status, body) => {
      if (res.destroyed) return;
      const out = JSON.stringify(body);
      res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(out) });
      res.end(out);
    };
    this.counts.requests++;
    const what = this.disturb(client, req, url);
    if (what === 'hang') return;
    if (what === 'refuse') return send(503, { error: 'trouble' });
    if (!this.requests.take(1)) { this.counts.refused++; return send(429, { error: 'too many' }); }
    let body = null;
    try { body = text === '' ? null : JSON.parse(text); } catch { return send(400, { error: 'not JSON' }); }
    const route = `${req.method} ${url.pathname}`;
    if (route === 'POST /commit') return this.commit(body, Buffer.byteLength(text), send);
    if (route === 'POST /leases') {
      const id = this.nextLease++;
      this.leases.set(id, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
      return send(200, { hold: id });
    }
    const lease = /^(POST|DELETE) \/leases\/(\d+)(\/renew)?$/.exec(route);
    if (lease) {
      const id = Number(lease[2]);
      if (lease[1] === 'DELETE') return this.endLease(id) ? send(200, {}) : send(404, {});
      const l = this.leases.get(id);
      if (!l || l.endsAt < performance.now()) return send(404, {});
      l.endsAt = performance.now() + l.ttlMs;
      return send(200, {});
    }
    if (route === 'GET /kv') {
      const limit = Math.min(1000, Number(url.searchParams.get('limit') ?? 1000));
      const starts = url.searchParams.get('starts') ?? '';
      const from = url.searchParams.get('from') ?? '';
      const names = [...this.keys.keys()].filter((k) => k.startsWith(starts) && k > from).sort();
      const items = [];
      let bytes = 0;
      for (const key of names) {
        const { data, stamp } = this.keys.get(key);
        bytes += JSON.stringify(data).length + key.length;
        if (items.length >= limit || (items.length > 0 && bytes > 512 * 1024)) break;
        items.push({ key, data, stamp });
      }
      return send(200, { items, hasNext: items.length < names.length, epoch: this.epoch });
    }
    if (route.startsWith('GET /kv/')) {
      const key = url.pathname.slice('/kv/'.length);
      const e = this.keys.get(key);
      return e ? send(200, { key, data: e.data, stamp: e.stamp, hold: e.hold }) : send(404, { epoch: this.epoch });
    }
    if (route === 'GET /changes') {
      const starts = url.searchParams.get('starts') ?? '';
      const from = Number(url.searchParams.get('from'));
      const blockMs = Number(url.searchParams.get('blockMs') ?? 0);
      if (!Number.isInteger(from) || from < 0) return send(400, { error: 'from' });
      const read = () => this.log.filter((c) => c.stamp > from && (c.put ?? c.drop).startsWith(starts));
      const answer = () => {
        if (from < this.forgotten) return send(410, { error: 'too old' });
        send(200, { epoch: this.epoch, log: read() });
      };
      if (from < this.forgotten || blockMs <= 0 || read().length > 0) return answer();
      const finish = () => { clearTimeout(timer); this.watchers.delete(wake); answer(); };
      const wake = () => { if (this.disturb(client, req, url) === null && read().length > 0) finish(); };
      const timer = setTimeout(finish, blockMs);
      this.watchers.add(wake);
      res.on('close', () => { clearTimeout(timer); this.watchers.delete(wake); });
      return;
    }
    send(404, { error: 'not found' });
  }

  commit(body, bytes, send) {
    const { txn_ops, value_kb } = this.limits;
    const when = body?.when ?? [];
    const apply = body?.apply ?? [];
    const malformed = (error) => { this.counts.malformed++; send(400, { error }); };
    if (bytes > 64 * 1024 || apply.length > txn_ops || when.length > 4 * txn_ops) return malformed('too large');
    for (const w of apply)
      if (w.put !== undefined && Buffer.byteLength(JSON.stringify(w.data)) > value_kb * 1024) return malformed('value too large');
    if (!this.writes.take(apply.length)) { this.counts.refused++; return send(429, { error: 'too many writes' }); }
    for (const w of apply) {
      const l = w.hold === undefined || w.hold === null ? undefined : this.leases.get(w.hold);
      if (w.put !== undefined && w.hold !== undefined && w.hold !== null && (!l || l.endsAt < performance.now()))
        return send(400, { error: 'no such lease' });
    }
    const failed = when.filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
    if (failed.length > 0) return send(409, { failed, epoch: this.epoch });
    if (apply.length > 0) this.change(apply);
    send(200, { epoch: this.epoch });
  }
}
