/** The process of a controller: connects the core to its adapters. */
import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { HttpCloudProvider, type CloudProvider } from './cloud/cloud-provider.js';
import { WorkerClient } from './workers/worker-client.js';
import type { OperatorSettings } from './config/operators.js';
import { splitAddress, type Settings } from './config/settings.js';
import { Controller } from './core/controller.js';
import type { Command, Effect, Log } from './core/effects.js';
import { executeEffect, type EffectContext } from './effect-handlers.js';
import { RequestQueue } from './request-queue.js';
import { limitsOf, type Limits } from './limits/index.js';
import { MemoryUsage } from './memory-usage.js';
import { ForwardedHeartbeats, heartbeatIdCount } from './peers/forwarded-heartbeats.js';
import type { PeerMesh } from './peers/mesh.js';
import type { RecoveryRecords } from './core/recovery-records.js';
import type { Frame } from './peers/frames.js';
import type { Matcher } from './policy/matching.js';
import { RetryBackoff, retryPolicies, seededRandom, type Random, type RetryPolicies } from './retry/index.js';
import { Follower } from './state/follower.js';
import type { StateService } from './state/state-service.js';
import { HttpStateService } from './state/http-state-service.js';
import { PublicServer, type ServerHooks } from './users/server.js';
import { decodeChanges } from './wire/store.js';

/** The interval at which the core gets ticks. */
const tickMs = 50;
const loadReportIntervalMs = 1000;
/** How long open connections may take to close at shutdown. No client waits longer than this for a response. */
const drainTimeoutMs = 5000;
/**
 * The part of this controller's share of the request budget that polls and watches may use. The snapshot at startup may use all of
 * the share.
 */
const watchRequestShare = 1 / 3;

/** Replacements for the adapters of the platform's state service and cloud, and extensions of the HTTP server. */
export interface ServiceDependencies {
  state: StateService;
  cloud: CloudProvider;
  hooks: ServerHooks;
  matcher: Matcher;
}

/** Runs the core in a process: queues commands, passes them to the core in batches, and executes the effects. */
export class Service {
  /** The core; replaced when the state service has lost data. */
  controller: Controller;
  private readonly store: StateService;
  private instanceId: string;
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
  private readonly forwardedHeartbeats: ForwardedHeartbeats;
  private effectContext: EffectContext;
  private scheduled = false;
  private shutdown: Promise<void> | null = null;
  private readonly timers: NodeJS.Timeout[] = [];
  /** The reading of the last load report. */
  private lastLoopUtilization = performance.eventLoopUtilization();

  constructor(
    private readonly settings: Settings,
    private readonly operators: OperatorSettings,
    private readonly log: Log,
    private readonly dependencies: Partial<ServiceDependencies> = {},
    /** The version of this program. */
    private readonly program = '?',
  ) {
    const seed = randomBytes(4);
    this.instanceId = seed.toString('hex');
    this.random = seededRandom(seed.readInt32LE());
    const firstHeartbeatId = Math.floor(this.random() * heartbeatIdCount);
    this.forwardedHeartbeats = new ForwardedHeartbeats(this.instanceId, firstHeartbeatId);
    const stateLeaseMs = settings.workers.lease_s * 1000 * operators['node-lease-ratio'];
    this.retry = retryPolicies({ ...settings, stateLeaseMs });
    this.limits = limitsOf(settings);
    this.controller = this.createController(null);
    this.store =
      dependencies.state ?? new HttpStateService(settings.endpoints.state, this.retry.state.timeoutMs);
    this.cloud =
      dependencies.cloud ?? new HttpCloudProvider(settings.endpoints.cloud, this.retry.cloud.timeoutMs);
    this.workerClient = new WorkerClient(this.retry.workers.timeoutMs, this.limits.sockets.outgoingOrders);
    this.memoryUsage = new MemoryUsage(this.limits.memory, log);
    this.requestQueue = new RequestQueue(settings, this.limits, this.random);
    const share = settings.state.rps / (1 + settings.peers.length);
    this.follower = new Follower(
      this.store,
      {
        pollIntervalMs: 1000 / (share * watchRequestShare),
        pageIntervalMs: 1000 / share,
        pageBurst: share / 2,
      },
      new RetryBackoff(this.retry.state, this.random),
      () => performance.now(),
      {
        snapshotProgress: (keys) => this.enqueue({ type: 'snapshot-progress', keys }),
        snapshotLoaded: (items, revision) => this.enqueue({ type: 'snapshot-loaded', items, revision }),
        changesRead: (changes, revision) => this.enqueue({ type: 'changes', changes, revision }),
        revisionRead: (sentAt, revision) => this.enqueue({ type: 'revision-read', sentAt, revision }),
      },
    );
    this.publicServer = new PublicServer(
      (c) => this.enqueue(c),
      () => this.controller.healthy,
      this.limits.sockets,
      settings.workers.report_s * 1000,
      dependencies.hooks ?? null,
    );
    this.effectContext = this.createEffectContext();
  }

  private createController(recoveryRecords: RecoveryRecords | null): Controller {
    const { settings, operators, instanceId, random, log, program } = this;
    const matcher = this.dependencies.matcher ?? null;
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

  /**
   * Replaces the core after the state service has lost data. The new core starts like a new process, with the records that the old
   * one knew.
   */
  private restartController(recoveryRecords: RecoveryRecords): void {
    this.instanceId = `${this.instanceId.split('.')[0]}.${++this.restarts}`;
    this.requestQueue.discardResponses();
    this.follower.restart();
    this.controller = this.createController(recoveryRecords);
    this.effectContext = this.createEffectContext();
  }

  /** Listens, follows the state service and connects to the peers. */
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
    // Imported only when needed, to shorten the time until the first response.
    const { PeerMesh } = await import('./peers/mesh.js');
    const mesh = new PeerMesh({
      settings: this.settings,
      instanceId: this.instanceId,
      retry: this.retry.peers,
      random: this.random,
      maxInboundConnections: this.limits.sockets.peers,
      log: this.log,
      onFrame: (from, frame) => this.onPeerFrame(from, frame),
      onPeerLost: (member) => this.enqueue({ type: 'peer-lost', member }),
    });
    await mesh.start();
    this.peerMesh = mesh;
    this.effectContext = this.createEffectContext();
  }

  /** The port that users and workers connect to. */
  get address(): { port: number } {
    return this.publicServer.server.address() as { port: number };
  }

  /**
   * Shuts down gracefully: health checks fail, shards and leadership are handed over, open requests are answered. What cannot be
   * handed over is acquired by others after lease expiry, as after a crash.
   */
  async shutDown(): Promise<void> {
    if (this.shutdown === null) {
      this.enqueue({ type: 'shut-down' });
      this.shutdown = new Promise((resolve) => {
        const timer = setInterval(() => {
          if (this.controller.shutdownPhase !== 'stopped') return;
          clearInterval(timer);
          // New connections are refused; open ones close with their last response.
          this.publicServer.server.close(() => resolve());
          this.publicServer.server.closeIdleConnections();
          setTimeout(resolve, drainTimeoutMs).unref();
        }, tickMs);
      });
    }
    await this.shutdown;
    this.log('info', 'graceful shutdown complete');
    this.stop();
  }

  /** Stops at once and closes all connections. */
  stop(): void {
    for (const t of this.timers) clearInterval(t);
    this.follower.stop();
    this.peerMesh?.stop();
    this.publicServer.server.close();
    this.publicServer.server.closeAllConnections();
  }

  private reportLoad(): void {
    const current = performance.eventLoopUtilization();
    const { utilization: busy } = performance.eventLoopUtilization(current, this.lastLoopUtilization);
    this.lastLoopUtilization = current;
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
        const requestId = this.forwardedHeartbeats.receive(from, frame);
        this.enqueue({ type: 'heartbeat', requestId, report: frame.heartbeat, from });
        break;
      }
      case 'forwarded-response': {
        const { status, body } = frame;
        const requestId = this.forwardedHeartbeats.requestAnsweredBy(frame);
        if (requestId !== null) this.enqueue({ type: 'forwarded-response', requestId, status, body });
        break;
      }
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

  /** Queues a command for the next step of the core. */
  enqueue(command: Command): void {
    for (const response of this.requestQueue.offer(command, performance.now())) this.execute(response);
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
    const { commands, rejections } = this.requestQueue.take(now);
    for (const response of rejections) this.execute(response);
    const effects = this.controller.step(commands, { now, wall: Date.now() });
    for (const effect of effects) this.execute(effect);
    this.schedule();
  }

  private execute(effect: Effect): void {
    executeEffect(effect, this.effectContext);
  }

  /** The context of effects until the core is restarted or the mesh is started. */
  private createEffectContext(): EffectContext {
    const { store, cloud, workerClient, follower, peerMesh, forwardedHeartbeats, instanceId, restarts } =
      this;
    return {
      store,
      cloud,
      workerClient,
      follower,
      peerMesh,
      forwardedHeartbeats,
      instanceId,
      enqueue: (command) => this.enqueue(command),
      // Results of requests from before a restart of the core are dropped.
      complete: (command) => void (restarts === this.restarts && this.enqueue(command)),
      respond: (response) => this.respond(response),
      restart: (recoveryRecords) => this.restartController(recoveryRecords),
    };
  }

  /** Responds to a request to this process's own server, or through the peer that forwarded it. */
  private respond(response: Extract<Effect, { type: 'respond' }>): void {
    const { requestId, status, body, retryAfterS } = response;
    const forwarded = this.forwardedHeartbeats.respond(requestId, status, body);
    if (forwarded) this.peerMesh?.send(forwarded.to, forwarded.frame);
    else this.publicServer.respond(requestId, status, body, retryAfterS);
  }
}
