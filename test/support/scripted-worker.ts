/** A worker of the simulated cluster that follows the protocol on agent epochs, leases, fencing tokens and task commands. */
import type { ExitReason, Heartbeat, TaskOrder, TaskStatus } from '../../src/model/heartbeat.js';
import type { Node } from './controller-node.js';
import type { World } from './world.js';

interface WorkerTask {
  report: TaskStatus;
  /** When the task was started, or when it began to save its state or, in a gang, to run, ms. */
  since: number;
  /** How long the task saves its state when it is stopped, s. */
  saveS?: number;
}

/** Marks a task as exited. */
function markExited(report: TaskStatus, reason: ExitReason, saved = report.saved): void {
  report.phase = 'exited';
  report.exitReason = reason;
  report.saved = saved;
}

/** A worker: sends heartbeats, executes task commands and drops all tasks when its lease expires. */
export class Worker {
  /** The agent epoch. It is incremented each time the lease expires. */
  agentEpoch = 1;
  sequence = 0;
  /** The highest fencing token seen. */
  fencingToken = 0;
  tasks = new Map<string, WorkerTask>();
  /** The time until a spot machine is reclaimed, if notice of it was given, s. */
  spotNoticeS: number | null = null;
  /** Sends no heartbeats and ignores responses to earlier ones. */
  silent = false;
  /** The machine hangs: nothing is executed. Overdue work is done when it resumes. */
  hung = false;
  /** Its heartbeats arrive, but responses and direct commands to it are lost. */
  losesResponses = false;
  /** Direct commands received while the machine hung. */
  private readonly delayedCommands: { orders: TaskOrder[]; token: number; agentEpoch: number }[] = [];
  /** Members whose controllers it cannot reach. */
  readonly unreachableNodes = new Set<string>();
  /** Every task fails as soon as it starts. */
  failsTasks = false;
  taskDurationS: number;
  private leaseStartedAt: number;
  private nextHeartbeatAt: number;
  private inFlight = false;
  private targetIndex = 0;
  readonly createdAt: number;
  /** When it last received a response that renewed its lease, and the longest interval without one, ms. */
  leaseRenewedAt: number;
  longestGapMs = 0;
  constructor(
    readonly world: World,
    readonly host: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.createdAt = this.leaseStartedAt = this.leaseRenewedAt = world.now;
    this.nextHeartbeatAt = world.now + 1000;
    this.taskDurationS = world.taskDurationS;
  }

  /** Builds the next heartbeat. */
  report(): Heartbeat {
    this.sequence++;
    return {
      host: this.host,
      endpoint: '127.0.0.1:5',
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      sequence: this.sequence,
      fencingToken: this.fencingToken,
      noticeS: this.spotNoticeS,
      tasks: [...this.tasks.values()].map((t) => ({ ...t.report })),
    };
  }

  /** Ends the image fetch of a task when it is due. A gang task then waits until all tasks of its attempt are ready. */
  private advanceImageFetch(t: WorkerTask): void {
    const { report } = t;
    const w = this.world;
    const gang = w.gangs.get(report.job);
    if (report.phase === 'fetching' && w.now - t.since > w.imageFetchS * 1000)
      report.phase = gang === undefined ? 'running' : 'waiting';
    if (report.phase !== 'waiting') return;
    let readyTasks = 0;
    for (const worker of w.workers.values())
      for (const task of worker.tasks.values())
        if (task.report.job === report.job && task.report.attempt === report.attempt)
          if (task.report.phase === 'waiting' || task.report.phase === 'running') readyTasks++;
    if (readyTasks < gang!) return;
    report.phase = 'running';
    t.since = w.now;
  }

  /** Expires the lease: all tasks are dropped and a new agent epoch begins. */
  expireLease(): void {
    this.tasks.clear();
    this.agentEpoch++;
    this.leaseStartedAt = this.world.now;
    this.nextHeartbeatAt = this.world.now;
  }

  /** The controller that it sends heartbeats to. */
  get currentNode(): Node {
    return this.world.nodes[this.targetIndex % this.world.nodes.length];
  }

  /** Advances everything that needs no controller: lease expiry, delayed commands, image fetches, saving and task completion. */
  advanceTasks(): void {
    const w = this.world;
    if (w.now - this.leaseStartedAt > w.leaseMs) {
      const { nextHeartbeatAt: scheduledAt } = this;
      this.expireLease();
      this.nextHeartbeatAt = scheduledAt;
    }
    for (const delayed of this.delayedCommands.splice(0))
      this.receiveDirectCommands(delayed.orders, delayed.token, delayed.agentEpoch);
    for (const t of this.tasks.values()) this.advanceImageFetch(t);
    for (const t of this.tasks.values())
      if (t.report.phase === 'saving' && w.now - t.since > (t.saveS ?? 0) * 1000)
        markExited(t.report, 'stopped', true);
    for (const t of this.tasks.values())
      if (
        t.report.phase === 'running' &&
        !w.serviceJobs.has(t.report.job) &&
        w.now - t.since > (w.taskDurationOf(`${t.report.job}/${t.report.index}`) ?? this.taskDurationS) * 1000
      ) {
        t.report.phase = 'exited';
        t.report.exitReason = 'done';
        w.finishedTasks.push(`${t.report.job}/${t.report.index}`);
      }
  }

  /** Advances the tasks and sends a heartbeat if one is due. */
  step(): void {
    const w = this.world;
    if (this.hung) return;
    this.advanceTasks();
    if (this.silent || this.inFlight || w.now < this.nextHeartbeatAt) return;
    this.nextHeartbeatAt = w.now + w.heartbeatMs;
    const { currentNode: node } = this;
    if (!node.alive || this.unreachableNodes.has(node.member)) {
      this.targetIndex++;
      this.nextHeartbeatAt = w.now + 1000;
      return;
    }
    const sentAt = w.now;
    const agentEpoch = this.agentEpoch;
    const requestId = ++w.nextRequestId;
    const report = this.report();
    if (!node.controller.replica.machines.has(this.host)) w.heartbeatsBeforeRecord++;
    node.push({ type: 'heartbeat', requestId, report });
    if (w.random() < w.heldHeartbeatShare) w.heldHeartbeats.push(report);
    if (w.random() < w.duplicatedHeartbeatShare) {
      const recipient = w.nodes[Math.floor(w.random() * w.nodes.length)];
      w.schedule(2000 + 1.5 * w.leaseMs * w.random(), () =>
        recipient.push({ type: 'heartbeat', requestId: ++w.nextRequestId, report }),
      );
    }
    if (this.losesResponses) {
      this.targetIndex++;
      this.nextHeartbeatAt = w.now + 5000;
      return;
    }
    this.inFlight = true;
    const delayMs = w.responseDelayMs();
    if (delayMs > 0) this.nextHeartbeatAt = Math.max(this.nextHeartbeatAt, w.now + delayMs + 200);
    w.schedule(100 + delayMs, () => this.receiveResponse(node, requestId, sentAt, agentEpoch));
  }

  private receiveResponse(node: Node, requestId: number, sentAt: number, agentEpoch: number): void {
    const w = this.world;
    // A machine that resumes processes responses received while it hung, unless they are too old.
    if (this.hung && w.now - sentAt < 4000)
      return w.schedule(50, () => this.receiveResponse(node, requestId, sentAt, agentEpoch));
    // Only one heartbeat is in flight. The worker waits for its response up to 4 s, while the controller is alive.
    const stillWaiting =
      !this.silent && !this.losesResponses && node.alive && !this.unreachableNodes.has(node.member);
    if (!node.responses.has(requestId) && stillWaiting && w.now - sentAt < 4000)
      return w.schedule(10, () => this.receiveResponse(node, requestId, sentAt, agentEpoch));
    const response = node.responses.get(requestId);
    node.responses.delete(requestId);
    this.inFlight = false;
    if (this.silent || this.hung || this.losesResponses || agentEpoch !== this.agentEpoch) return;
    this.longestGapMs = Math.max(this.longestGapMs, w.now - this.leaseRenewedAt);
    if (response?.status !== 200) {
      const ownerIndex = w.nodes.findIndex((n) => n.member === response?.body['boss']);
      this.targetIndex = ownerIndex >= 0 && w.nodes[ownerIndex] !== node ? ownerIndex : this.targetIndex + 1;
      this.nextHeartbeatAt = w.now + (ownerIndex >= 0 ? 50 : 1000);
      return;
    }
    const body = response.body as {
      baton: number;
      orders: { verb: string; piece: string; try: number; windDownS?: number }[];
    };
    if (body.baton < this.fencingToken) return;
    if (body.baton > this.fencingToken) this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, w.now + 500);
    this.fencingToken = body.baton;
    this.leaseStartedAt = sentAt;
    this.leaseRenewedAt = w.now;
    this.checkKeptTasks(
      node,
      sentAt,
      new Set(body.orders.flatMap((o) => (o.verb === 'kill' ? [o.piece] : []))),
    );
    this.execute(
      body.orders.map((o) => {
        const [job, index] = o.piece.split('/');
        const base = { job, index: Number(index), attempt: o.try };
        if (o.verb === 'run') return { op: 'start' as const, ...base };
        if (o.verb === 'kill') return { op: 'stop' as const, ...base, graceS: o.windDownS ?? 0 };
        return { op: 'forget' as const, ...base };
      }),
      body.baton,
    );
  }

  /**
   * Checks a response that renewed the lease. It may keep a task of a cancelled job alive only while the renewed lease still ends
   * within the time limit for cancellations.
   */
  private checkKeptTasks(node: Node, sentAt: number, stoppedTasks: ReadonlySet<string>): void {
    const w = this.world;
    w.leaseRenewals.answers.set(node.member, (w.leaseRenewals.answers.get(node.member) ?? 0) + 1);
    for (const [taskKey, t] of this.tasks) {
      const cancelledAt = w.cancelledAt.get(t.report.job);
      if (cancelledAt === undefined || t.report.phase === 'exited' || stoppedTasks.has(taskKey)) continue;
      w.leaseRenewals.maxAfterCancellationMs = Math.max(
        w.leaseRenewals.maxAfterCancellationMs,
        sentAt - cancelledAt,
      );
      if (sentAt - cancelledAt > w.maxKeepMs)
        w.violations.push(`kept ${taskKey} ${sentAt - cancelledAt} ms by ${node.member}`);
    }
  }

  /**
   * Receives commands that a controller sent directly. Late commands are executed, too, if their agent epoch and fencing
   * token are still valid.
   */
  receiveDirectCommands(orders: TaskOrder[], token: number, agentEpoch: number): void {
    if (this.losesResponses) return;
    if (this.hung) this.delayedCommands.push({ orders, token, agentEpoch });
    else if (agentEpoch === this.agentEpoch) this.execute(orders, token);
  }

  /** Executes task commands unless their fencing token is outdated. */
  execute(orders: TaskOrder[], token: number): void {
    if (token < this.fencingToken || this.hung) return;
    this.fencingToken = token;
    for (const o of orders) {
      const taskKey = `${o.job}/${o.index}`;
      const t = this.tasks.get(taskKey);
      if (o.op === 'start') {
        this.world.recordStart(this, o.job, o.index, t !== undefined);
        if (t) continue;
        const report: TaskStatus = {
          job: o.job,
          index: o.index,
          attempt: o.attempt,
          phase: this.world.imageFetchS > 0 ? 'fetching' : 'running',
          exitReason: null,
          saved: false,
        };
        if (this.failsTasks || this.world.failingJobs.has(o.job)) markExited(report, 'error');
        this.tasks.set(taskKey, { report, since: this.world.now });
      } else if (t?.report.attempt === o.attempt) {
        if (o.op === 'forget' && t.report.phase === 'exited') this.tasks.delete(taskKey);
        if (o.op === 'stop' && t.report.phase !== 'exited') this.stopTask(t, o.graceS);
      }
      this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.world.now + 500);
    }
  }

  /** Stops a task. A task that is saving its state continues to do so unless the grace period is 0. */
  private stopTask(t: WorkerTask, graceS: number): void {
    const saveS = this.world.jobSpecs.get(t.report.job)?.saveS ?? 0;
    const saves = t.report.phase === 'running' && saveS > 0 && graceS >= saveS;
    if (saves) Object.assign(t, { since: this.world.now, saveS });
    if (saves) t.report.phase = 'saving';
    else if (t.report.phase !== 'saving' || graceS === 0) markExited(t.report, 'stopped', graceS > 0);
  }

  /**
   * Whether it has a task that has not exited. A hung machine can resume its tasks until its lease expires, and has none after
   * that.
   */
  hasTask(taskKey: string): boolean {
    if (this.hung && this.world.now - this.leaseStartedAt > this.world.leaseMs) return false;
    const t = this.tasks.get(taskKey);
    return t !== undefined && t.report.phase !== 'exited';
  }
}
