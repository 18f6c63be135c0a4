import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Cloud } from './cloud/cloud.js';
import { Workers } from './workers/workers.js';
import type { Operators } from './config/operators.js';
import { splitAddr, type Settings } from './config/settings.js';
import { Controller } from './core/controller.js';
import type { Command, Effect, Log } from './core/effects.js';
import type { Mesh } from './peers/mesh.js';
import type { Frame } from './peers/frames.js';
import { Follower, Store } from './state/store.js';
import { parseReport, reportOut } from './wire/worker.js';
import { PublicServer } from './users/server.js';

const tickMs = 50;

/** Wires the core to the world: commands are queued and worked off in batches, effects carried out. */
export class Service {
  readonly controller: Controller;
  private readonly store: Store;
  private readonly run: string;
  private readonly cloud: Cloud;
  private readonly workers = new Workers();
  private readonly follower: Follower;
  private readonly front: PublicServer;
  private mesh: Mesh | null = null;
  /** Answers owed to peers that relayed a report: by our request number. */
  private readonly owed = new Map<number, { to: string; id: number }>();
  private owedCount = 0;
  private queue: Command[] = [];
  private scheduled = false;

  constructor(
    private readonly settings: Settings,
    operators: Operators,
    private readonly log: Log,
  ) {
    const run = randomBytes(4).toString('hex');
    this.controller = new Controller(settings, operators, run, log);
    this.run = run;
    this.store = new Store(settings.endpoints.state);
    this.cloud = new Cloud(settings.endpoints.cloud);
    // Polls may use about a third of the request budget that is this node's share.
    const share = settings.state.rps / (1 + settings.peers.length);
    this.follower = new Follower(this.store, 1000 / (share / 3), () => performance.now(), {
      loaded: (items, epoch) => this.push({ c: 'loaded', items, epoch }),
      changed: (changes, epoch) => this.push({ c: 'changes', changes, epoch }),
      read: (sentAt, epoch) => this.push({ c: 'epoch', sentAt, epoch }),
    });
    this.front = new PublicServer(
      (c) => this.push(c),
      () => this.controller.healthy,
      Math.floor(settings.quota.fd_limit * 0.8),
    );
  }

  async start(): Promise<void> {
    const { host, port } = splitAddr(this.settings.publicAddr);
    await new Promise<void>((resolve, reject) => {
      this.front.server.once('error', reject);
      this.front.server.listen(port, host, () => resolve());
    });
    this.log('info', 'listening', { member: this.settings.member, addr: this.settings.publicAddr });
    void this.follower.run();
    setInterval(() => this.push({ c: 'tick' }), tickMs);
    // Loaded only now: start-up time counts, and nobody waits for the talk between controllers.
    const { Mesh } = await import('./peers/mesh.js');
    const mesh = new Mesh(
      this.settings,
      this.run,
      this.log,
      (from, frame) => this.fromPeer(from, frame),
      (member) => this.push({ c: 'peer-lost', member }),
    );
    await mesh.start();
    this.mesh = mesh;
  }

  private fromPeer(from: string, frame: Frame): void {
    if ('pulse' in frame) return this.push({ c: 'pulse', epoch: frame.pulse.epoch });
    try {
      if ('relay' in frame) {
        const report = parseReport(JSON.parse(frame.relay.report));
        if (typeof report === 'string')
          return this.log('warn', 'bad report from a peer', { from, why: report });
        // Below zero, so that they never meet the numbers of our own server's requests.
        const rid = -++this.owedCount;
        this.owed.set(rid, { to: from, id: frame.relay.id });
        this.push({ c: 'checkin', rid, report, from });
      } else if ('relayed' in frame) {
        const { id, status, body } = frame.relayed;
        this.push({ c: 'relayed', rid: id, status, body: JSON.parse(body) as object });
      }
    } catch (e) {
      this.log('warn', 'bad message from a peer', { from, error: String((e as Error).message) });
    }
  }

  private push(c: Command): void {
    this.queue.push(c);
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.work());
  }

  private work(): void {
    this.scheduled = false;
    const commands = this.queue;
    this.queue = [];
    const effects = this.controller.step(commands, { now: performance.now(), wall: Date.now() });
    for (const e of effects) this.carryOut(e);
  }

  private carryOut(e: Effect): void {
    switch (e.e) {
      case 'relay': {
        const report = JSON.stringify(reportOut(e.report));
        if (!this.mesh?.send(e.to, { relay: { id: e.rid, report } }))
          this.push({ c: 'relayed', rid: e.rid, status: 503, body: {} });
        break;
      }
      case 'pulse':
        for (const p of this.settings.peers) this.mesh?.send(p.member, { pulse: { epoch: e.epoch } });
        break;
      case 'answer': {
        const owed = this.owed.get(e.rid);
        if (owed) {
          this.owed.delete(e.rid);
          this.mesh?.send(owed.to, {
            relayed: { id: owed.id, status: e.status, body: JSON.stringify(e.body) },
          });
          break;
        }
        this.front.answer(e.rid, e.status, e.body, e.retryAfterS);
        break;
      }
      case 'commit':
        void this.store.commit(e.txn).then((outcome) => this.push({ c: 'committed', outcome }));
        break;
      case 'epoch':
        this.follower.ask();
        break;
      case 'catch-up':
        this.follower.hurry(e.epoch);
        break;
      case 'lease':
        void this.store.lease(e.ttlMs).then((hold) => this.push({ c: 'leased', hold }));
        break;
      case 'renew':
        void this.store.renew(e.hold).then((outcome) => this.push({ c: 'renewed', hold: e.hold, outcome }));
        break;
      case 'unlease':
        void this.store.unlease(e.hold);
        break;
      case 'types':
        void this.cloud.types().then((types) => this.push({ c: 'types', types }));
        break;
      case 'rent':
        void this.cloud
          .rent(e.request)
          .then((outcome) => this.push({ c: 'rented', request: e.request, outcome }));
        break;
      case 'delete':
        void this.cloud.delete(e.hosts).then((ok) => this.push({ c: 'deleted', hosts: e.hosts, ok }));
        break;
      case 'list': {
        const askedAt = performance.now();
        void this.cloud.list().then((machines) => this.push({ c: 'listed', machines, askedAt }));
        break;
      }
      case 'order':
        void this.workers.order(e.endpoint, e.token, e.session, e.orders);
        break;
    }
  }
}
