import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { HttpCloudProvider, type CloudProvider } from './cloud/cloud-provider.js';
import { WorkerClient } from './workers/worker-client.js';
import type { OperatorSettings } from './config/operators.js';
import { splitAddress, type Settings } from './config/settings.js';
import { Controller } from './core/controller.js';
import type { Command, Effect, Log } from './core/effects.js';
import { RequestQueue } from './request-queue.js';
import { limitsOf, type Limits } from './limits/index.js';
import { MemoryUsage } from './memory-usage.js';
import type { PeerMesh } from './peers/mesh.js';
import type { RecoveryRecords } from './core/recovery-records.js';
import type { Frame } from './peers/frames.js';
import type { Matcher } from './policy/matching.js';
import { RetryBackoff, retryPolicies, seededRandom, type Random, type RetryPolicies } from './retry/index.js';
import { Follower } from './state/follower.js';
import type { StateService } from './state/service.js';
import { Store } from './state/store.js';
import { PublicServer, type ServerHooks } from './users/server.js';
import { decodeChanges, encodeChanges } from './wire/store.js';

const tickMs = 50;
const loadReportIntervalMs = 1000;
/** The longest that anybody waits for an answer. */
const drainTimeoutMs = 5000;
/** Polls may use this share of the request budget that is this controller's share; the first reading all of it. */
const watchRequestShare = 1 / 3;

/** What stands in the place of the platform's state service and cloud. */
export interface ServiceDependencies {
  state: StateService;
  cloud: CloudProvider;
  hooks: ServerHooks;
  matcher: Matcher;
}

/** Wires the core to the world: commands are queued and worked off in batches, effects carried out. */
export class Service {
  controller: Controller;
  private readonly store: StateService;
  private run: string;
  private restarts = 0;
  private readonly random: Random;
  private readonly retry: RetryPolicies;
  private readonly limits: Limits;
  private readonly cloud: CloudProvider;
  private readonly workerClient: WorkerClient;
  private readonly follower: Follower;
  private readonly publicServer: PublicServer;
  private readonly requestQueue: RequestQueue;
  private readonly memoryUsage: MemoryUsage;
  private peerMesh: PeerMesh | null = null;
  /** Answers owed to peers that relayed a report: by our request number. */
  private readonly forwardedRequests = new Map<number, { to: string; id: number }>();
  private forwardedCount = 0;
  private scheduled = false;
  private shutdown: Promise<void> | null = null;
  private readonly timers: NodeJS.Timeout[] = [];
  private utilization = performance.eventLoopUtilization();

  constructor(
    private readonly settings: Settings,
    private readonly operators: OperatorSettings,
    private readonly log: Log,
    private readonly dependencies: Partial<ServiceDependencies> = {},
    /** Which program this is. */
    private readonly program = '?',
  ) {
    const seed = randomBytes(4);
    this.run = seed.toString('hex');
    this.random = seededRandom(seed.readInt32LE());
    const stateLeaseMs = settings.workers.lease_s * 1000 * operators['node-lease-ratio'];
    this.retry = retryPolicies({ ...settings, stateLeaseMs });
    this.limits = limitsOf(settings);
    this.controller = this.createController(null);
    this.store = dependencies.state ?? new Store(settings.endpoints.state, this.retry.state.timeoutMs);
    this.cloud =
      dependencies.cloud ?? new HttpCloudProvider(settings.endpoints.cloud, this.retry.cloud.timeoutMs);
    this.workerClient = new WorkerClient(this.retry.workers.timeoutMs, this.limits.sockets.outgoingOrders);
    this.memoryUsage = new MemoryUsage(this.limits.memory, log);
    this.requestQueue = new RequestQueue(settings, this.limits, this.random);
    const share = settings.state.rps / (1 + settings.peers.length);
    this.follower = new Follower(
      this.store,
      { everyMs: 1000 / (share * watchRequestShare), pageMs: 1000 / share, burst: share / 2 },
      new RetryBackoff(this.retry.state, this.random),
      () => performance.now(),
      {
        reading: (keys) => this.enqueue({ type: 'snapshot-progress', keys }),
        loaded: (items, revision) => this.enqueue({ type: 'snapshot-loaded', items, revision }),
        changed: (changes, revision) => this.enqueue({ type: 'changes', changes, revision }),
        read: (sentAt, revision) => this.enqueue({ type: 'revision-read', sentAt, revision }),
      },
    );
    this.publicServer = new PublicServer(
      (c) => this.enqueue(c),
      () => this.controller.healthy,
      this.limits.sockets,
      settings.workers.report_s * 1000,
      dependencies.hooks ?? null,
    );
  }

  private createController(recoveryRecords: RecoveryRecords | null): Controller {
    const { settings, operators, random, log, program } = this;
    const matcher = this.dependencies.matcher ?? null;
    const instanceId = this.run;
    return new Controller({
      settings,
      operators,
      instanceId,
      random,
      log,
      matcher,
      program,
      recoveryRecords,
    });
  }

  /** The state service has lost data: the core begins anew with what it knew, as another process would. */
  private restartController(recoveryRecords: RecoveryRecords): void {
    this.run = `${this.run.split('.')[0]}.${++this.restarts}`;
    this.requestQueue.discardResponses();
    this.follower.restart();
    this.controller = this.createController(recoveryRecords);
  }

  async start(): Promise<void> {
    const { host, port } = splitAddress(this.settings.publicAddr);
    await new Promise<void>((resolve, reject) => {
      this.publicServer.server.once('error', reject);
      this.publicServer.server.listen(port, host, () => resolve());
    });
    this.log('info', 'listening', { member: this.settings.member, addr: this.settings.publicAddr });
    void this.follower.run();
    this.timers.push(setInterval(() => this.enqueue({ type: 'tick' }), tickMs));
    this.timers.push(setInterval(() => this.reportLoad(), loadReportIntervalMs));
    if (this.settings.peers.length === 0) return;
    // Loaded only now: start-up time counts, and nobody waits for the talk between controllers.
    const { PeerMesh } = await import('./peers/mesh.js');
    const mesh = new PeerMesh({
      settings: this.settings,
      instanceId: this.run,
      retry: this.retry.peers,
      random: this.random,
      maxInboundConnections: this.limits.sockets.peers,
      log: this.log,
      onFrame: (from, frame) => this.onPeerFrame(from, frame),
      onPeerLost: (member) => this.enqueue({ type: 'peer-lost', member }),
    });
    await mesh.start();
    this.peerMesh = mesh;
  }

  /** Where it listens. */
  get address(): { port: number } {
    return this.publicServer.server.address() as { port: number };
  }

  /**
   * Leaves in order: users are sent elsewhere, shards and leadership are handed on, what is under way is answered. What
   * cannot be handed on is left to the lease's end, as after a kill.
   */
  async shutDown(): Promise<void> {
    if (this.shutdown === null) {
      this.enqueue({ type: 'shut-down' });
      this.shutdown = new Promise((resolve) => {
        const timer = setInterval(() => {
          if (this.controller.shutdownPhase !== 'stopped') return;
          clearInterval(timer);
          // New connections are refused; open ones end with the answers that they wait for.
          this.publicServer.server.close(() => resolve());
          this.publicServer.server.closeIdleConnections();
          setTimeout(resolve, drainTimeoutMs).unref();
        }, tickMs);
      });
    }
    await this.shutdown;
    this.log('info', 'left');
    this.stop();
  }

  /** Ends what this process does; what is under way elsewhere goes on. */
  stop(): void {
    for (const t of this.timers) clearInterval(t);
    this.follower.stop();
    this.peerMesh?.stop();
    this.publicServer.server.close();
    this.publicServer.server.closeAllConnections();
  }

  private reportLoad(): void {
    const now = performance.eventLoopUtilization();
    const { utilization: busy } = performance.eventLoopUtilization(now, this.utilization);
    this.utilization = now;
    this.requestQueue.memoryShort = this.memoryUsage.check(performance.now());
    const connections = this.publicServer.trimConnections(performance.now());
    this.enqueue({
      type: 'load',
      busy,
      connections,
      memory: this.memoryUsage.utilization,
      waiting: this.requestQueue.submissionFillRatio,
    });
  }

  private onPeerFrame(from: string, frame: Frame): void {
    switch (frame.type) {
      case 'hello':
        break;
      case 'rejected-jobs':
        this.enqueue({ type: 'rejected-jobs', list: [...frame.rejections] });
        break;
      case 'peer-status':
        this.enqueue({ type: 'peer-status', from, status: frame.status });
        break;
      case 'forwarded-heartbeat': {
        // Below zero, so that they never meet the numbers of our own server's requests.
        const requestId = -++this.forwardedCount;
        this.forwardedRequests.set(requestId, { to: from, id: frame.id });
        this.enqueue({ type: 'heartbeat', requestId, report: frame.heartbeat, from });
        break;
      }
      case 'forwarded-response':
        this.enqueue({
          type: 'forwarded-response',
          requestId: frame.id,
          status: frame.status,
          body: frame.body,
        });
        break;
      case 'freshness-query':
        this.enqueue({ type: 'freshness-query', from, query: frame.query });
        break;
      case 'freshness-answer':
        this.onFreshnessAnswer(from, frame);
        break;
    }
  }

  private onFreshnessAnswer(from: string, answer: Extract<Frame, { type: 'freshness-answer' }>): void {
    const { query, instanceId } = answer;
    try {
      this.enqueue({
        type: 'freshness-confirmed',
        from,
        instanceId,
        query,
        known: decodeChanges(answer.changes),
      });
    } catch (e) {
      this.log('warn', 'malformed peer frame', { from, error: String((e as Error).message) });
    }
  }

  enqueue(c: Command): void {
    for (const e of this.requestQueue.offer(c, performance.now())) this.execute(e);
    this.schedule();
  }

  private schedule(): void {
    if (this.scheduled || this.requestQueue.empty) return;
    this.scheduled = true;
    setImmediate(() => this.runStep());
  }

  private runStep(): void {
    this.scheduled = false;
    const now = performance.now();
    const { commands, answers } = this.requestQueue.take(now);
    for (const e of answers) this.execute(e);
    const effects = this.controller.step(commands, { now, wall: Date.now() });
    for (const e of effects) this.execute(e);
    this.schedule();
  }

  private execute(e: Effect): void {
    const { restarts: rebirths } = this;
    // Guards against answers to what was asked for before this process began anew.
    const back = (c: Command): void => void (rebirths === this.restarts && this.enqueue(c));
    switch (e.type) {
      case 'forward-heartbeat':
        if (!this.peerMesh?.send(e.to, { type: 'forwarded-heartbeat', id: e.requestId, heartbeat: e.report }))
          this.enqueue({ type: 'forwarded-response', requestId: e.requestId, status: 503, body: {} });
        break;
      case 'peer-status':
        this.peerMesh?.broadcast({ type: 'peer-status', status: e.status });
        break;
      case 'rejected-jobs':
        this.peerMesh?.broadcast({ type: 'rejected-jobs', rejections: e.list });
        break;
      case 'query-freshness':
        this.peerMesh?.broadcast({ type: 'freshness-query', query: e.query });
        break;
      case 'confirm-freshness': {
        const changes = encodeChanges(e.known);
        this.peerMesh?.send(e.to, {
          type: 'freshness-answer',
          query: e.query,
          instanceId: this.run,
          changes,
        });
        break;
      }
      case 'respond': {
        const owed = this.forwardedRequests.get(e.requestId);
        if (owed) {
          this.forwardedRequests.delete(e.requestId);
          const body = typeof e.body === 'string' ? e.body : JSON.stringify(e.body);
          this.peerMesh?.send(owed.to, { type: 'forwarded-response', id: owed.id, status: e.status, body });
          break;
        }
        this.publicServer.respond(e.requestId, e.status, e.body, e.retryAfterS);
        break;
      }
      case 'commit':
        void this.store.commit(e.txn).then((outcome) => back({ type: 'commit-result', outcome }));
        break;
      case 'read-revision':
        this.follower.ask();
        break;
      case 'catch-up':
        this.follower.hurry(e.revision);
        break;
      case 'audit': {
        const { from, keys } = e;
        void this.store.part(from, keys).then((page) => {
          const { items, more, revision: epoch } = page ?? { items: [], more: false, revision: null };
          back({ type: 'audit-result', from, items, more, revision: epoch });
        });
        break;
      }
      case 'restart':
        this.restartController(e.recoveryRecords);
        break;
      case 'grant-lease':
        void this.store.lease(e.ttlMs).then((hold) => back({ type: 'lease-granted', leaseId: hold }));
        break;
      case 'renew-lease':
        void this.store
          .renew(e.leaseId)
          .then((outcome) => back({ type: 'lease-renewal-result', leaseId: e.leaseId, outcome }));
        break;
      case 'revoke-lease':
        void this.store.unlease(e.leaseId);
        break;
      case 'list-machine-types':
        void this.cloud.listMachineTypes().then((types) => back({ type: 'machine-types', types }));
        break;
      case 'rent-machines':
        void this.cloud
          .rentMachines(e.request)
          .then((outcome) => back({ type: 'rental-result', request: e.request, outcome }));
        break;
      case 'delete-machines':
        void this.cloud
          .deleteMachines(e.hosts)
          .then((ok) => back({ type: 'deletion-result', hosts: e.hosts, ok }));
        break;
      case 'list-machines': {
        const askedAt = performance.now();
        void this.cloud.listMachines().then((machines) => back({ type: 'machine-list', machines, askedAt }));
        break;
      }
      case 'send-task-commands':
        void this.workerClient.sendOrders(e.endpoint, e.token, e.session, e.orders);
        break;
    }
  }
}
