import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Cloud } from './cloud/cloud.js';
import type { Operators } from './config/operators.js';
import { splitAddr, type Settings } from './config/settings.js';
import { Controller } from './core/controller.js';
import type { Command, Effect, Log } from './core/effects.js';
import { Follower, Store } from './state/store.js';
import { PublicServer } from './users/server.js';

const tickMs = 50;

/** Wires the core to the world: commands are queued and worked off in batches, effects carried out. */
export class Service {
  readonly controller: Controller;
  private readonly store: Store;
  private readonly cloud: Cloud;
  private readonly follower: Follower;
  private readonly front: PublicServer;
  private queue: Command[] = [];
  private scheduled = false;

  constructor(
    private readonly settings: Settings,
    operators: Operators,
    private readonly log: Log,
  ) {
    this.controller = new Controller(settings, operators, randomBytes(4).toString('hex'), log);
    this.store = new Store(settings.endpoints.state);
    this.cloud = new Cloud(settings.endpoints.cloud);
    // Watches may use about a tenth of the request budget that is this node's share.
    const share = settings.state.rps / (1 + settings.peers.length);
    this.follower = new Follower(
      this.store,
      Math.max(50, 1000 / (share / 6)),
      (items, epoch) => this.push({ c: 'loaded', items, epoch }),
      (changes, epoch) => this.push({ c: 'changes', changes, epoch }),
    );
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
      case 'answer':
        this.front.answer(e.rid, e.status, e.body, e.retryAfterS);
        break;
      case 'commit':
        void this.store.commit(e.txn).then((outcome) => this.push({ c: 'committed', outcome }));
        break;
      case 'epoch': {
        const sentAt = performance.now();
        void this.store.epoch().then((epoch) => this.push({ c: 'epoch', sentAt, epoch }));
        break;
      }
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
        break;
    }
  }
}
