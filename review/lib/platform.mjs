// Stand-ins for the cloud and its workers (PROTOCOL), in one process. Each worker is the worker of one machine; it has a
// server of its own for /orders and /show, and reports to the controllers by /checkin.
import http from 'node:http';

export const now = () => performance.now();
export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));

/** One request. Resolves to { status, headers, body } or null if no answer came in time. */
export function call(address, method, path, body, timeoutMs, agent = false) {
  const [host, port] = address.split(':');
  const text = body === null ? null : JSON.stringify(body);
  return new Promise((resolve) => {
    let settled = false;
    const settle = (r) => { if (!settled) { settled = true; clearTimeout(timer); resolve(r); } };
    const headers = text === null ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const req = http.request({ agent, host, port, method, path, headers }, (res) => {
      const chunks = [];
      res.on('data', (d) => chunks.push(d));
      res.on('end', () => {
        let parsed = null;
        try { parsed = JSON.parse(Buffer.concat(chunks).toString()); } catch { /* no JSON */ }
        settle({ status: res.statusCode, headers: res.headers, body: parsed });
      });
      res.on('error', () => settle(null));
      res.on('close', () => settle(null));
    });
    const timer = setTimeout(() => { settle(null); req.destroy(); }, timeoutMs);
    req.on('error', () => settle(null));
    req.end(text ?? undefined);
  });
}

async function serve(handler) {
  const server = http.createServer((req, res) => {
    const chunks = [];
    req.on('data', (d) => chunks.push(d));
    req.on('error', () => undefined);
    req.on('end', () => {
      let body = null;
      try { body = JSON.parse(Buffer.concat(chunks).toString()); } catch { /* none */ }
      const send = (status, out) => {
        const text = JSON.stringify(out);
        res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
        res.end(text);
      };
      handler(req, body, send);
    });
  });
  await new Promise((r) => server.listen(0, '127.0.0.1', r));
  return { server, address: `127.0.0.1:${server.address().port}` };
}

/** All workers of the cell, the jobs that users uploaded, and what is on which machine. */
export class World {
  constructor(settings, record) {
    this.settings = settings; // { report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s }
    this.record = record;
    this.jobs = new Map(); // id -> submission, as users uploaded it
    this.on = new Map(); // piece -> Set of hosts on which the task is at the moment
    this.finished = new Set(); // pieces whose results are kept
    this.starts = []; // { piece, try, host, at }
    this.violations = [];
    this.runS = () => 5; // run time of a task in seconds
  }
  violate(rule, text) {
    this.violations.push({ rule, text });
    this.record(`RULE BROKEN ${rule}: ${text}`);
  }
  /** A task is on its machine from the moment it has its image. */
  taskOn(piece, attempt, worker) {
    const hosts = this.on.get(piece) ?? new Set();
    this.on.set(piece, hosts);
    if (hosts.size > 0) this.violate('ran_twice', `${piece} starts on ${worker.host} while it is on ${[...hosts]}`);
    hosts.add(worker.host);
    this.starts.push({ piece, try: attempt, host: worker.host, at: now() });
    this.onStart?.(piece, attempt, worker);
  }
  taskOff(piece, worker) { this.on.get(piece)?.delete(worker.host); }
}

const jobOf = (piece) => piece.slice(0, piece.lastIndexOf('/'));

export class Worker {
  constructor(world, machine, controllers) {
    this.world = world;
    Object.assign(this, machine); // host, flavour, yard, loaners, type
    this.controllers = controllers; // [{ member, address }]
    this.target = Math.floor(Math.random() * controllers.length);
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.pieces = new Map(); // "piece try" -> { piece, try, status, cause, stored }
    this.leaseFrom = now();
    this.ended = false;
    this.batonRaisedAt = -Infinity;
    this.lastSentAt = -Infinity;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.stats = { reports: 0, answered: 0, refusedTooLarge: 0, expired: 0, largestReport: 0 };
    /** (response) => response, or null to lose it: a case's disturbance. */
    this.disturbReport = async (send) => send();
  }

  async start() {
    const { server, address } = await serve((req, body, send) => this.serveDirect(req, body, send));
    this.server = server;
    this.endpoint = address;
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.schedule(0);
  }

  end() {
    this.ended = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    this.dropAll();
    this.server?.close();
    this.server?.closeAllConnections();
    this.agent.destroy();
  }

  // ---- reports ----
  report() {
    return {
      host: this.host, endpoint: this.endpoint, flavour: this.flavour, yard: this.yard, loaners: this.loaners,
      tenure: this.tenure, tick: ++this.tick, baton: this.baton, recallS: null,
      pieces: [...this.pieces.values()].map(({ piece, try: t, status, cause, stored }) =>
        ({ piece, try: t, status, ...(cause ? { cause } : {}), ...(stored ? { stored } : {}) })),
    };
  }
  schedule(ms) {
    clearTimeout(this.reportTimer);
    if (!this.ended) this.reportTimer = setTimeout(() => void this.send(), ms);
  }
  changed() {
    this.dirty = true;
    if (!this.waiting && !this.pausing) this.schedule(Math.max(0, this.lastSentAt + 500 - now()));
  }
  async send() {
    if (this.ended || this.waiting) return;
    this.waiting = true;
    this.dirty = false;
    this.pausing = false;
    const sentAt = now();
    this.lastSentAt = sentAt;
    const { tenure } = this;
    const body = this.report();
    this.stats.reports++;
    this.stats.largestReport = Math.max(this.stats.largestReport, Buffer.byteLength(JSON.stringify(body)));
    const { address } = this.controllers[this.target];
    const r = await this.disturbReport(() => call(address, 'POST', '/checkin', body, 4000, this.agent));
    this.waiting = false;
    if (this.ended) return;
    if (r?.status === 200) {
      this.stats.answered++;
      this.accept(r.body, tenure, sentAt);
      const next = this.world.settings.report_s * 1000 * (0.75 + 0.5 * Math.random());
      this.schedule(Math.max(0, sentAt + (this.dirty ? 500 : next) - now()));
      return;
    }
    if (r?.status === 400) {
      this.stats.refusedTooLarge++;
      this.lastRefusal = r.body;
    }
    const boss = r?.status === 421 ? this.controllers.findIndex((c) => c.member === r.body?.boss) : -1;
    const redirected = boss >= 0 && boss !== this.target;
    this.target = redirected ? boss : (this.target + 1) % this.controllers.length;
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.pausing = true;
    this.schedule(redirected ? 100 : 1000);
  }
  accept(body, tenure, sentAt) {
    const baton = body?.baton;
    if (tenure !== this.tenure || !Number.isInteger(baton) || baton < this.baton) return;
    this.raise(baton);
    this.leaseFrom = sentAt;
    for (const o of body.orders ?? []) this.execute(o);
  }
  raise(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (now() - this.batonRaisedAt < this.world.settings.lease_s * 500) return;
    this.batonRaisedAt = now();
    this.changed();
  }
  serveDirect(req, body, send) {
    if (req.url === '/show') return send(200, this.report());
    if (req.url !== '/orders') return send(404, {});
    if (!Number.isInteger(body?.baton) || !Number.isInteger(body?.tenure)) return send(400, {});
    if (body.baton < this.baton || body.tenure !== this.tenure) return send(409, this.report());
    this.raise(body.baton);
    for (const o of body.orders ?? []) this.execute(o);
    send(200, this.report());
  }

  // ---- the lease ----
  checkLease() {
    if (now() - this.leaseFrom <= this.world.settings.lease_s * 1000) return;
    this.stats.expired++;
    this.world.record(`worker ${this.host}: lease expired, ${this.pieces.size} tasks killed, next session`);
    this.dropAll();
    this.tenure++;
    this.leaseFrom = now();
    this.changed();
  }
  dropAll() {
    for (const t of this.pieces.values()) this.leave(t);
    this.pieces.clear();
  }
  leave(t) {
    for (const timer of t.timers ?? []) clearTimeout(timer);
    if (t.onMachine) { t.onMachine = false; this.world.taskOff(t.piece, this); }
    t.gone = true;
  }

  // ---- tasks ----
  execute({ verb, piece, try: attempt, windDownS }) {
    const key = `${piece} ${attempt}`;
    const t = this.pieces.get(key);
    if (verb === 'run') { if (!t) this.run(key, piece, attempt); return; }
    if (!t) return;
    if (verb === 'clear') { if (t.status === 'exited') { this.pieces.delete(key); this.changed(); } return; }
    if (verb !== 'kill' || t.status === 'exited') return;
    const spec = this.world.jobs.get(jobOf(piece));
    if (t.status === 'running' && spec.snapshotS > 0 && windDownS >= spec.flushS) {
      t.status = 'saving';
      for (const timer of t.timers) clearTimeout(timer);
      t.timers = [setTimeout(() => this.exit(t, 'stopped', true), spec.flushS * 1000)];
      this.changed();
    } else this.exit(t, 'stopped');
  }
  exit(t, cause, stored = false) {
    if (t.gone) return;
    this.leave(t);
    Object.assign(t, { status: 'exited', cause, stored, gone: true });
    if (cause === 'done') this.world.finished.add(t.piece);
    this.changed();
  }
  run(key, piece, attempt) {
    const t = { piece, try: attempt, status: 'pulling', cause: null, stored: false, timers: [] };
    const spec = this.world.jobs.get(jobOf(piece));
    const busy = [...this.pieces.values()].some((o) => o.piece === piece && o.status !== 'exited');
    const used = { cpus: 0, cards: 0, memGb: 0 };
    for (const o of this.pieces.values()) {
      if (o.status === 'exited') continue;
      const s = this.world.jobs.get(jobOf(o.piece));
      for (const k of Object.keys(used)) used[k] += s[k];
    }
    this.pieces.set(key, t);
    this.changed();
    const refuse = (cause) => Object.assign(t, { status: 'exited', cause, gone: true });
    if (!spec) return refuse('unknown');
    if (busy) return refuse('in_use');
    for (const k of Object.keys(used)) if (used[k] + spec[k] > this.type[k] + 1e-6) return refuse('full');
    this.images ??= new Set();
    const fetchS = this.images.has(spec.bundle) ? 0 : spec.pullGb / this.type.fetchGbPerS;
    t.timers.push(setTimeout(() => {
      this.images.add(spec.bundle);
      this.world.taskOn(piece, attempt, this);
      t.onMachine = true;
      if (this.world.finished.has(piece)) return this.exit(t, 'done');
      t.status = 'running';
      this.changed();
      if (spec.shape !== 'standing')
        t.timers.push(setTimeout(() => this.exit(t, 'done'), this.world.runS(spec, piece) * 1000));
    }, fetchS * 1000));
  }
}

export class Cloud {
  /** types: as GET /machine_types lists them; capacity: (flavour, yard, loaners) => how many machines there are in all. */
  constructor(world, types, { capacity = () => 50, bootS = () => 2, lagS = 5, rps = 8 } = {}) {
    Object.assign(this, { world, types, capacity, bootS, lagS, rps });
    this.machines = new Map();
    this.hires = new Map();
    this.count = 0;
    this.controllers = [];
    this.history = []; // for the list's lag: { at, hosts }
    this.disturb = () => null;
  }
  async listen() {
    const { server, address } = await serve((req, body, send) => {
      setTimeout(() => this.handle(req, body, send), 30 + 40 * Math.random());
    });
    this.server = server;
    this.address = address;
    this.timer = setInterval(() => this.remember(), 250);
  }
  close() {
    clearInterval(this.timer);
    for (const m of this.machines.values()) m.worker?.end();
    for (const m of this.machines.values()) clearTimeout(m.bootTimer);
    this.server.close();
    this.server.closeAllConnections();
  }
  get workers() { return [...this.machines.values()].flatMap((m) => (m.worker ? [m.worker] : [])); }
  remember() {
    const at = now();
    const hosts = [...this.machines.values()].map((m) => ({
      nameId: m.host, endpoint: m.worker?.endpoint ?? '127.0.0.1:1', flavour: m.flavour, yard: m.yard, loaners: m.loaners,
      status: m.worker ? 'running' : 'starting', ageS: (at - m.since) / 1000,
    }));
    this.history.push({ at, hosts });
    while (this.history.length > 2 && this.history[1].at < at - this.lagS * 1000) this.history.shift();
  }
  handle(req, body, send) {
    const url = new URL(req.url, 'http://c');
    const route = `${req.method} ${url.pathname}`;
    if (this.disturb(route) === 'refuse') return send(503, { error: 'trouble' });
    if (route === 'GET /machine_types') return send(200, { flavours: this.types });
    if (route === 'POST /rentals') return this.rent(body, send);
    if (route === 'POST /rentals/delete') {
      for (const host of body.hosts) {
        const m = this.machines.get(host);
        if (!m) continue;
        clearTimeout(m.bootTimer);
        m.worker?.end();
        this.machines.delete(host);
        this.world.record(`cloud: ${host} deleted`);
      }
      return send(200, {});
    }
    if (route === 'GET /rentals') {
      const from = url.searchParams.get('from') ?? '';
      const all = (this.history[0]?.hosts ?? []).filter((h) => h.nameId > from);
      const limit = Number(url.searchParams.get('limit') ?? 500);
      return send(200, { hosts: all.slice(0, limit), hasNext: all.length > limit });
    }
    send(404, {});
  }
  rent({ hire, flavour, yard, loaners, howMany }, send) {
    const earlier = this.hires.get(hire);
    if (earlier) return send(200, { hosts: earlier });
    const type = this.types.find((t) => t.name === flavour);
    const there = [...this.machines.values()].filter((m) => m.flavour === flavour && m.yard === yard && m.loaners === loaners);
    const n = Math.min(howMany, this.capacity(flavour, yard, loaners) - there.length);
    if (n <= 0) return send(503, { error: 'no capacity' });
    const hosts = [];
    for (let i = 0; i < n; i++) {
      const host = `n-${String(++this.count).padStart(6, '0')}`;
      hosts.push(host);
      const m = { host, flavour, yard, loaners, type, since: now() };
      this.machines.set(host, m);
      m.bootTimer = setTimeout(() => {
        const worker = new Worker(this.world, { host, flavour, yard, loaners, type }, this.controllers);
        this.onWorker?.(worker);
        void worker.start().then(() => { m.worker = worker; });
      }, this.bootS() * 1000);
    }
    this.hires.set(hire, hosts);
    this.world.record(`cloud: rented ${hosts} (${flavour}, ${yard}${loaners ? ', spot' : ''}) as ${hire}`);
    send(200, { hosts });
  }
}
