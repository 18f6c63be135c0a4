// A stand-in for the state service: keys, transactions, leases and watches as PROTOCOL describes them, with its limits.
import { createServer } from 'node:http';

const watchLimit = 10_000;

/** A bucket that allows bursts of one second's worth. */
class Bucket {
  constructor(perS) {
    this.perS = perS;
    this.tokens = perS;
    this.at = performance.now();
  }
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
  /** `limits`: rps, write_rps, value_kb and txn_ops, as in the settings of the controllers. */
  constructor(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.revision = 1;
    this.keys = new Map();
    this.changes = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.server = createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 120_000;
    this.timer = setInterval(() => this.expire(), 50);
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of [...this.leases]) if (lease.until <= now) this.endLease(id);
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return false;
    this.leases.delete(id);
    const attached = [...this.keys].filter(([, e]) => e.hold === id).map(([key]) => key);
    if (attached.length > 0) {
      this.revision++;
      for (const key of attached) this.drop(key);
      this.wake();
    }
    return true;
  }

  drop(key) {
    if (!this.keys.delete(key)) return;
    this.changes.push({ drop: key, stamp: this.revision });
  }

  put(key, data, hold) {
    this.keys.set(key, { data, stamp: this.revision, hold });
    this.changes.push({ put: key, data, stamp: this.revision });
  }

  wake() {
    if (this.changes.length > watchLimit * 2) this.changes.splice(0, this.changes.length - watchLimit);
    for (const watcher of [...this.watchers]) watcher();
  }

  serve(req, res) {
    const chunks = [];
    req.on('error', () => undefined);
    req.on('data', (c) => chunks.push(c));
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      setTimeout(() => this.answer(req, res, text), 1 + 4 * Math.random());
    });
  }

  reply(res, status, body) {
    if (res.destroyed || res.headersSent) return;
    const text = JSON.stringify(body);
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
    res.end(text);
  }

  answer(req, res, text) {
    const url = new URL(req.url, 'http://state');
    const route = `${req.method} ${url.pathname}`;
    if (!this.requests.take(1)) return this.reply(res, 429, { error: 'too many requests' });
    let body = null;
    try {
      body = text === '' ? null : JSON.parse(text);
    } catch {
      return this.reply(res, 400, { error: 'not JSON' });
    }
    const lease = /^\/leases\/(\d+)(\/renew)?$/.exec(url.pathname);
    if (route === 'POST /commit') return this.commit(res, body, Buffer.byteLength(text));
    if (route === 'POST /leases') {
      const id = this.nextLease++;
      this.leases.set(id, { ttl: body.ttlMs, until: performance.now() + body.ttlMs });
      return this.reply(res, 200, { hold: id });
    }
    if (lease && req.method === 'POST' && lease[2]) {
      const found = this.leases.get(Number(lease[1]));
      if (!found || found.until <= performance.now()) return this.reply(res, 404, { error: 'no such lease' });
      found.until = performance.now() + found.ttl;
      return this.reply(res, 200, {});
    }
    if (lease && req.method === 'DELETE')
      return this.reply(res, this.endLease(Number(lease[1])) ? 200 : 404, {});
    if (route === 'GET /kv') return this.list(res, url.searchParams);
    if (req.method === 'GET' && url.pathname.startsWith('/kv/')) {
      const key = url.pathname.slice(4);
      const entry = this.keys.get(key);
      return entry
        ? this.reply(res, 200, { key, data: entry.data, stamp: entry.stamp, hold: entry.hold })
        : this.reply(res, 404, { epoch: this.revision });
    }
    if (route === 'GET /changes') return this.watch(res, url.searchParams);
    this.reply(res, 400, { error: 'malformed' });
  }

  commit(res, body, bytes) {
    const { txn_ops, value_kb } = this.limits;
    const when = body?.when ?? [];
    const apply = body?.apply ?? [];
    if (apply.length > txn_ops || when.length > txn_ops * 4 || bytes > 64 * 1024)
      return this.reply(res, 400, { error: 'transaction too large' });
    for (const w of apply)
      if (w.put !== undefined && Buffer.byteLength(JSON.stringify(w.data)) > value_kb * 1024)
        return this.reply(res, 400, { error: 'value too large' });
    if (!this.writes.take(apply.length)) return this.reply(res, 429, { error: 'too many writes' });
    for (const w of apply)
      if (w.put !== undefined && w.hold != null && !((this.leases.get(w.hold)?.until ?? 0) > performance.now()))
        return this.reply(res, 400, { error: 'no such lease' });
    const failed = when.filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
    if (failed.length > 0) return this.reply(res, 409, { failed, epoch: this.revision });
    if (apply.length > 0) {
      this.revision++;
      for (const w of apply)
        if (w.put !== undefined) this.put(w.put, w.data, w.hold ?? undefined);
        else this.drop(w.drop);
      this.wake();
    }
    this.reply(res, 200, { epoch: this.revision });
  }

  list(res, query) {
    const prefix = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const found = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > from).sort();
    const items = [];
    let bytes = 0;
    for (const key of found) {
      const { data, stamp } = this.keys.get(key);
      bytes += JSON.stringify(data).length + key.length;
      if (items.length >= limit || (items.length > 0 && bytes > 512 * 1024)) break;
      items.push({ key, data, stamp });
    }
    this.reply(res, 200, { items, hasNext: items.length < found.length, epoch: this.revision });
  }

  watch(res, query) {
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from'));
    const oldest = this.changes.length >= watchLimit ? this.changes[0].stamp : 0;
    if (from < oldest) return this.reply(res, 410, { error: 'too old' });
    const read = () =>
      this.changes.filter((c) => c.stamp > from && (c.put ?? c.drop).startsWith(prefix));
    const first = read();
    const blockMs = Number(query.get('blockMs') ?? 0);
    if (first.length > 0 || blockMs <= 0) return this.reply(res, 200, { epoch: this.revision, log: first });
    const finish = () => {
      clearTimeout(timer);
      this.watchers.delete(wake);
      this.reply(res, 200, { epoch: this.revision, log: read() });
    };
    const wake = () => read().length > 0 && finish();
    const timer = setTimeout(finish, blockMs);
    this.watchers.add(wake);
  }
}
