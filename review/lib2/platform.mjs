// Stand-ins for the cloud and the workers, as PROTOCOL describes them. They run in the process of the case.
import { Agent, createServer, request } from 'node:http';

const mb = 64 * 1024;

/** One JSON request; null: no answer. */
export function call(address, method, path, body, timeoutMs, agent) {
  const [host, port] = address.split(':');
  const text = body === null ? null : JSON.stringify(body);
  return new Promise((resolve) => {
    const headers = text === null ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
    let done = false;
    const settle = (x) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(x);
    };
    const req = request({ host, port: Number(port), method, path, headers, agent }, (res) => {
      const chunks = [];
      res.on('data', (c) => chunks.push(c));
      res.on('error', () => settle(null));
      res.on('close', () => settle(null));
      res.on('end', () => {
        const t = Buffer.concat(chunks).toString('utf8');
        try {
          settle({ status: res.statusCode, body: t === '' ? null : JSON.parse(t), headers: res.headers });
        } catch {
          settle(null);
        }
      });
    });
    const timer = setTimeout(() => {
      settle(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => settle(null));
    req.end(text ?? undefined);
  });
}

/** A worker: reports, keeps its lease and runs tasks by timers. */
export class Worker {
  constructor(platform, machine) {
    this.platform = platform;
    this.machine = machine;
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.tasks = new Map();
    /** Tasks that have completed here; their results are kept. */
    this.done = new Set();
    this.leaseFrom = performance.now();
    this.node = Math.floor(Math.random() * platform.controllers.length);
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.inFlight = false;
    this.changed = false;
    this.lastReportAt = -Infinity;
    this.reports = { answered: 0, refused: 0 };
    /** Every task that it starts fails. */
    this.sick = false;
    this.ended = false;
    this.server = createServer((req, res) => this.serve(req, res));
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.endpoint = `127.0.0.1:${this.server.address().port}`;
    this.leaseFrom = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.schedule(100 * Math.random());
  }

  stop() {
    this.ended = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.timer);
    for (const key of [...this.tasks.keys()]) this.leave(key);
    this.tasks.clear();
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
  }

  schedule(ms) {
    clearTimeout(this.timer);
    if (!this.ended) this.timer = setTimeout(() => void this.report(), ms);
  }

  change() {
    this.changed = true;
    if (!this.inFlight) this.schedule(Math.max(0, this.lastReportAt + 500 - performance.now()));
  }

  body() {
    const { host, flavour, yard, loaners } = this.machine;
    return {
      host, endpoint: this.endpoint, flavour, yard, loaners,
      tenure: this.tenure, tick: ++this.tick, baton: this.baton, recallS: null,
      pieces: [...this.tasks.values()].map((t) =>
        t.status === 'exited'
          ? { piece: t.piece, try: t.try, status: t.status, cause: t.cause }
          : { piece: t.piece, try: t.try, status: t.status }),
    };
  }

  async report() {
    if (this.ended || this.inFlight) return;
    const { workers, controllers, record } = this.platform;
    this.inFlight = true;
    this.changed = false;
    const sentAt = (this.lastReportAt = performance.now());
    const { tenure } = this;
    const body = this.body();
    const reply = await call(controllers[this.node].address, 'POST', '/checkin', body, 4000, this.agent);
    this.inFlight = false;
    if (this.ended) return;
    if (reply?.status === 200) {
      this.reports.answered++;
      const { baton, orders } = reply.body;
      if (tenure === this.tenure && baton !== undefined && baton >= this.baton) {
        if (baton > this.baton) this.changed = true;
        this.baton = baton;
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        this.execute(orders ?? []);
      }
      const wait = this.changed ? 500 : workers.report_s * 1000 * (0.75 + 0.5 * Math.random());
      return this.schedule(Math.max(0, sentAt + wait - performance.now()));
    }
    if (reply?.status !== 421) {
      this.reports.refused++;
      record(`worker ${this.machine.host}: report of ${body.pieces.length} tasks, ${Buffer.byteLength(JSON.stringify(body))} bytes, to ${controllers[this.node].member}: ${reply ? `${reply.status} ${JSON.stringify(reply.body)}` : 'no answer'}`);
    }
    const boss = reply?.status === 421 ? controllers.findIndex((c) => c.member === reply.body?.boss) : -1;
    const redirected = boss >= 0 && boss !== this.node;
    this.node = redirected ? boss : (this.node + 1) % controllers.length;
    this.agent.destroy();
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.schedule(redirected ? 50 : 1000);
  }

  checkLease() {
    const { workers, record } = this.platform;
    if (performance.now() - this.leaseFrom <= workers.lease_s * 1000) return;
    const alive = [...this.tasks.values()].filter((t) => t.status !== 'exited').length;
    if (this.tasks.size > 0) record(`worker ${this.machine.host}: lease ended, ${alive} tasks killed, session ${this.tenure + 1} begins`);
    this.platform.killedByLease += alive;
    for (const key of [...this.tasks.keys()]) this.leave(key);
    this.tasks.clear();
    this.tenure++;
    this.leaseFrom = performance.now();
    this.change();
  }

  execute(orders) {
    for (const o of orders) {
      const key = `${o.piece} ${o.try}`;
      const task = this.tasks.get(key);
      if (o.verb === 'run') {
        if (!task) this.run(o, key);
      } else if (o.verb === 'clear') {
        if (task?.status === 'exited') this.tasks.delete(key);
      } else if (o.verb === 'kill' && task && task.status !== 'exited') this.exit(key, 'stopped');
    }
  }

  run(o, key) {
    const { platform } = this;
    const job = platform.jobs.get(o.piece.split('/')[0]);
    const task = { piece: o.piece, try: o.try, status: 'pulling', cause: null, timer: null };
    const other = [...this.tasks.values()].some((t) => t.piece === o.piece && t.status !== 'exited');
    this.tasks.set(key, task);
    this.change();
    platform.starts++;
    if (!job) return this.exit(key, 'unknown');
    if (other) return this.exit(key, 'in_use');
    const { machine } = this;
    const used = [...this.tasks.values()].filter((t) => t.status !== 'exited' && t !== task);
    let cpus = job.cpus;
    for (const t of used) cpus += platform.jobs.get(t.piece.split('/')[0])?.cpus ?? 0;
    if (cpus > machine.cpus + 1e-6) return this.exit(key, 'full');
    task.timer = setTimeout(() => this.begin(key), platform.fetchMs);
  }

  begin(key) {
    const task = this.tasks.get(key);
    if (!task || task.status !== 'pulling') return;
    const { platform } = this;
    if (this.sick) return this.exit(key, 'error');
    platform.onMachine(task, this.machine.host);
    if (this.done.has(task.piece)) return this.exit(key, 'done');
    const job = platform.jobs.get(task.piece.split('/')[0]);
    if (job.shape === 'ensemble') {
      task.status = 'waiting';
      this.change();
      task.timer = setTimeout(() => this.exit(key, 'alone'), platform.workers.gang_wait_s * 1000);
      return platform.gangReady(job, task.try);
    }
    this.go(key, job);
  }

  go(key, job) {
    const task = this.tasks.get(key);
    if (!task) return;
    clearTimeout(task.timer);
    task.status = 'running';
    this.change();
    task.timer = setTimeout(() => this.exit(key, 'done'), job.runMs * (0.95 + 0.1 * Math.random()));
  }

  leave(key) {
    const task = this.tasks.get(key);
    if (!task) return;
    clearTimeout(task.timer);
    if (task.status !== 'exited') this.platform.offMachine(task, this.machine.host);
  }

  exit(key, cause) {
    const task = this.tasks.get(key);
    if (!task || task.status === 'exited') return;
    this.leave(key);
    task.status = 'exited';
    task.cause = cause;
    if (cause === 'done') {
      this.done.add(task.piece);
      this.platform.completed.add(task.piece);
    }
    this.platform.exits[cause] = (this.platform.exits[cause] ?? 0) + 1;
    this.change();
  }

  serve(req, res) {
    const chunks = [];
    let size = 0;
    req.on('error', () => undefined);
    req.on('data', (c) => {
      size += c.length;
      if (size <= mb) chunks.push(c);
    });
    req.on('end', () => {
      const reply = (status) => {
        const text = JSON.stringify(this.body());
        res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
        res.end(text);
      };
      if (req.url === '/show') return reply(200);
      let body = null;
      try {
        body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      } catch {
        return reply(400);
      }
      if (body?.baton === undefined || body?.tenure === undefined) return reply(400);
      if (body.baton < this.baton || body.tenure !== this.tenure) return reply(409);
      this.baton = body.baton;
      this.execute(body.orders ?? []);
      reply(200);
    });
  }
}

/** The cloud, its machines and the workers on them. */
export class Platform {
  /**
   * `types`: machine types in the protocol's form; `capacity`: machines of each type and zone; `bootMs`: time until a machine is
   * up; `listLagMs`; `workers`: that part of the settings; `controllers`: member and address of each.
   */
  constructor({ types, capacity, bootMs, listLagMs, workers, record }) {
    Object.assign(this, { types, capacity, bootMs, listLagMs, workers, record });
    this.controllers = [];
    this.jobs = new Map();
    this.machines = new Map();
    this.hires = new Map();
    this.completed = new Set();
    this.exits = {};
    this.starts = 0;
    this.killedByLease = 0;
    this.ranTwice = [];
    this.fetchMs = 200;
    this.present = new Map();
    this.count = 0;
    this.onBoot = () => undefined;
    this.server = createServer((req, res) => this.serve(req, res));
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    for (const m of this.machines.values()) m.worker?.stop();
    this.server.close();
    this.server.closeAllConnections();
  }

  onMachine(task, host) {
    const hosts = this.present.get(task.piece) ?? new Set();
    if (hosts.size > 0 && !hosts.has(host)) {
      this.ranTwice.push(task.piece);
      this.record(`ran_twice ${task.piece}: starts on ${host} while on ${[...hosts].join(', ')}`);
    }
    hosts.add(host);
    this.present.set(task.piece, hosts);
  }

  offMachine(task, host) {
    this.present.get(task.piece)?.delete(host);
  }

  /** Lets a gang run once all of its tasks of one attempt wait. */
  gangReady(job, attempt) {
    const waiting = [];
    for (const { worker } of this.machines.values())
      if (worker)
        for (const [key, t] of worker.tasks)
          if (t.try === attempt && t.status === 'waiting' && t.piece.startsWith(`${job.nameId}/`)) waiting.push([worker, key]);
    if (waiting.length >= job.pieces) for (const [worker, key] of waiting) worker.go(key, job);
  }

  serve(req, res) {
    const chunks = [];
    req.on('error', () => undefined);
    req.on('data', (c) => chunks.push(c));
    req.on('end', () => {
      const reply = (status, body) => {
        const text = JSON.stringify(body);
        res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
        res.end(text);
      };
      const url = new URL(req.url, 'http://cloud');
      const text = Buffer.concat(chunks).toString('utf8');
      const body = text === '' ? null : JSON.parse(text);
      const route = `${req.method} ${url.pathname}`;
      if (route === 'GET /machine_types') return reply(200, { flavours: this.types });
      if (route === 'POST /rentals') return this.rent(body, reply);
      if (route === 'GET /rentals') return this.list(url.searchParams, reply);
      if (route === 'POST /rentals/delete') return this.remove(body.hosts, reply);
      reply(400, { error: 'malformed' });
    });
  }

  rent({ hire, flavour, yard, loaners, howMany }, reply) {
    const known = this.hires.get(hire);
    if (known) return reply(200, { hosts: known });
    const type = this.types.find((t) => t.name === flavour);
    const used = [...this.machines.values()].filter((m) => m.flavour === flavour && m.yard === yard).length;
    const free = Math.min(howMany, this.capacity - used);
    if (loaners || !type || free <= 0) return reply(503, { error: 'no capacity' });
    const hosts = [];
    for (let i = 0; i < free; i++) {
      const host = `n-${String(++this.count).padStart(6, '0')}`;
      const machine = { host, flavour, yard, loaners, cpus: type.cpus, rentedAt: performance.now(), worker: null };
      this.machines.set(host, machine);
      hosts.push(host);
      setTimeout(() => void this.boot(machine), this.bootMs * (0.8 + 0.4 * Math.random()));
    }
    this.hires.set(hire, hosts);
    this.record(`cloud: rented ${hosts.join(' ')} (${flavour}, ${yard})`);
    reply(200, { hosts });
  }

  async boot(machine) {
    if (!this.machines.has(machine.host)) return;
    const worker = new Worker(this, machine);
    await worker.start();
    machine.worker = worker;
    this.onBoot(worker);
  }

  list(query, reply) {
    const from = query.get('from') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const at = performance.now() - this.listLagMs;
    const all = [...this.machines.values()].filter((m) => m.host > from && m.rentedAt <= at);
    const hosts = all.slice(0, limit).map((m) => ({
      nameId: m.host, endpoint: m.worker?.endpoint ?? '', flavour: m.flavour, yard: m.yard, loaners: m.loaners,
      status: m.worker ? 'running' : 'starting', ageS: (at - m.rentedAt) / 1000,
    }));
    reply(200, { hosts, hasNext: all.length > limit });
  }

  remove(hosts, reply) {
    for (const host of hosts) {
      const machine = this.machines.get(host);
      if (!machine) continue;
      machine.worker?.stop();
      this.machines.delete(host);
      this.record(`cloud: deleted ${host}`);
    }
    reply(200, {});
  }
}
