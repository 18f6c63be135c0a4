/**
 * A simulated cluster on a fake clock: controllers run against an in-memory state service, cloud provider and workers that follow
 * the protocol. Every event happens at a defined time, so tests can inject failures at exact moments. The simulation observes all
 * components and records each violated invariant in `violations`.
 */
import { operatorDefaults, type OperatorSettings } from '../../src/config/operators.js';
import { parseSettings } from '../../src/config/settings.js';
import type { CommitOutcome } from '../../src/core/effects.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType } from '../../src/model/machine.js';
import { seededRandom } from '../../src/retry/index.js';
import type { RentalOutcome, RentRequest } from '../../src/wire/cloud.js';
import type { Transaction } from '../../src/wire/store.js';
import { Node } from './controller-node.js';
import { box, settingsText } from './fixtures.js';
import { StateService } from './scripted-state-service.js';
import { Worker } from './scripted-worker.js';

/** State service, cloud provider, workers and controllers on one simulated clock, with invariant checks. */
export class World {
  /** The simulated time, ms. */
  now = 0;
  readonly state = new StateService(this);
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly commits: { member: string; txn: Transaction; outcome: CommitOutcome; at: number }[] = [];
  readonly rentals: RentRequest[] = [];
  /** Hosts of deleted machines. */
  readonly deletedHosts: string[] = [];
  /** Tasks that have completed, as `job/index`; a task that ran more than once may be listed more than once. */
  readonly finishedTasks: string[] = [];
  /** Specifications of submitted jobs. Task starts of these jobs are checked against them. */
  readonly jobSpecs = new Map<string, JobSpec>();
  /** The number of tasks of each gang, by job. */
  readonly gangs = new Map<string, number>();
  /** How long a task takes to fetch its image, s. */
  imageFetchS = 0;
  /** Jobs of shape `service`, whose tasks never complete. */
  readonly serviceJobs = new Set<string>();
  /** Jobs whose tasks fail on every machine. */
  readonly failingJobs = new Set<string>();
  /** Start commands that workers have received. Tasks are named `job/index`. */
  readonly starts: { piece: string; host: string; at: number }[] = [];
  /** Violated invariants, as text that begins with the name of the invariant. */
  readonly violations: string[] = [];
  /** When users were told that a job is cancelled, by job, ms. */
  readonly cancelledAt = new Map<string, number>();
  /**
   * The number of heartbeat responses that renewed a worker's lease, by controller, and the longest time after the cancellation
   * of a job at which such a response still kept one of its tasks alive.
   */
  readonly leaseRenewals = { answers: new Map<string, number>(), maxAfterCancellationMs: 0 };
  /** The limit for `maxAfterCancellationMs`: `cancel_s` - `lease_s`, less the allowed clock drift. */
  maxKeepMs = 20_000 * (1 - 0.001);
  /** The machine types on offer. */
  types: MachineType[] = [box];
  /** How many more machines the cloud provider can rent out. */
  capacity = 10;
  cloudDown = false;
  /** Transactions of controllers with `holdsCommits`, which the state service has not received yet. */
  readonly heldCommits: Transaction[] = [];
  /** Responses to forwarded heartbeats that are held on their way to the peer; null: they are delivered. */
  heldPeerResponses: (() => void)[] | null = null;
  /** Whether controllers can reach each other. */
  peersConnected = true;
  /** Whether an exception in a controller ends only its process and not the test. */
  crashesAllowed = false;
  /** The seed of all random number generators. */
  readonly seed: number;
  nextRequestId = 1_000_000;
  /** How long responses of the state service and the cloud provider take, and how long the initial snapshot takes, ms. */
  responseMs = 5;
  snapshotMs = 0;
  /** After this time a controller stops waiting for the response to a delayed commit, ms. */
  lostResponseMs = 1000;
  /** The share of heartbeats of which a duplicate reaches a random controller, 2 s to 2 s plus 1.5 leases later. */
  duplicatedHeartbeatShare = 0;
  /** How long tasks run on machines that are added from now on, s. `taskDurationOf` overrides it for single tasks. */
  taskDurationS = 20;
  taskDurationOf: (taskKey: string) => number | undefined = () => undefined;
  /** The share of rent and delete requests that get no response and are executed 2 to 12 s later. */
  delayedCloudCallShare = 0;
  /**
   * How long transactions take to reach the state service, how long responses to rent requests are delayed, and after which time
   * a controller detects that a response was lost, ms.
   */
  commitDelayMs: () => number = () => 0;
  cloudDelayMs: () => number = () => 0;
  lostResponseNoticedMs: () => number = () => 0;
  /** The number of heartbeats that reached a controller which had no record of the machine. */
  heartbeatsBeforeRecord = 0;
  /**
   * The share of heartbeats of which a copy is held until the leader or a shard owner changes, and then reaches every controller.
   */
  heldHeartbeatShare = 0;
  readonly heldHeartbeats: Heartbeat[] = [];
  /** The number of held copies that were delivered after such a change. */
  deliveredHeldHeartbeats = 0;
  private readonly ownershipStamps = new Map<string, number>();
  /** Tasks that were started after the cancellation of their job was confirmed, and how long after it. */
  readonly startsAfterCancellation: { taskKey: string; afterMs: number }[] = [];
  /** The additional delays of direct commands and of heartbeat responses, ms. */
  directCommandDelayMs: () => number = () => 0;
  responseDelayMs: () => number = () => 0;
  leaseMs = 16_000;
  heartbeatMs = 2000;
  private timers: { at: number; fn: () => void }[] = [];
  private machineCount = 0;

  /** Random numbers for the simulation, independent of those of the controllers. */
  readonly random: () => number;

  constructor(
    nodeCount = 1,
    operators: Partial<OperatorSettings> = {},
    seed = 1,
    settingsOf: (text: string) => string = (text) => text,
  ) {
    this.seed = seed;
    this.random = seededRandom(seed * 7919 + 13);
    for (let i = 0; i < nodeCount; i++) {
      const settings = parseSettings(settingsOf(settingsText(`n${i}`, nodeCount)));
      this.nodes.push(new Node(this, `n${i}`, settings, { ...operatorDefaults, ...operators }));
    }
  }

  /** Calls a function after a delay of simulated time. */
  schedule(ms: number, fn: () => void): void {
    this.timers.push({ at: this.now + ms, fn });
  }

  /** Like `schedule`, but calls the function immediately if the delay is 0. */
  scheduleOrRun(ms: number, fn: () => void): void {
    if (ms > 0) this.schedule(ms, fn);
    else fn();
  }

  private readonly rentalResponses = new Map<string, string[]>();
  /** Rents machines. Idempotent: a request name that was executed before gets the same response again. */
  rent(request: RentRequest): RentalOutcome {
    const earlierHosts = this.rentalResponses.get(request.name);
    if (earlierHosts) return { type: 'rented', hosts: earlierHosts };
    if (this.capacity <= 0) return { type: 'no-capacity' };
    const hosts: string[] = [];
    for (let i = 0; i < request.count && this.capacity > 0; i++) {
      this.capacity--;
      hosts.push(this.addWorker(request.type, request.zone, request.spot).host);
    }
    this.rentalResponses.set(request.name, hosts);
    return { type: 'rented', hosts };
  }

  /** Deletes machines together with their workers and tasks. */
  deleteMachines(hosts: string[]): void {
    for (const host of hosts) {
      this.deletedHosts.push(host);
      if (this.workers.delete(host)) this.capacity++;
    }
  }

  /** Starts a machine with a worker on it. */
  addWorker(type: string, zone: string, spot: boolean): Worker {
    const host = `n-${String(++this.machineCount).padStart(6, '0')}`;
    const worker = new Worker(this, host, type, zone, spot);
    this.workers.set(host, worker);
    return worker;
  }

  /**
   * Records that a worker received the command to start a task, and checks the invariants on starts: no task runs twice, and none
   * starts later than `cancel_s` after the cancellation of its job.
   */
  recordStart(worker: Worker, job: string, index: number, alreadyPresent: boolean): void {
    const taskKey = `${job}/${index}`;
    this.starts.push({ piece: taskKey, host: worker.host, at: this.now });
    if (alreadyPresent) return;
    for (const other of this.workers.values())
      if (other !== worker && other.hasTask(taskKey))
        this.violations.push(`ran_twice ${taskKey} on ${worker.host} and ${other.host}`);
    const jobCancelledAt = this.cancelledAt.get(job);
    if (jobCancelledAt !== undefined && this.now > jobCancelledAt + 36_000)
      this.violations.push(`ran_cancelled ${taskKey}`);
    if (jobCancelledAt !== undefined && this.now > jobCancelledAt)
      this.startsAfterCancellation.push({ taskKey, afterMs: this.now - jobCancelledAt });
    this.checkPlacement(worker, job, taskKey);
  }

  /**
   * Checks a placement against the job's machine types, zone, spot and spreading constraints and against the team's CPU limit.
   */
  private checkPlacement(worker: Worker, job: string, taskKey: string): void {
    const spec = this.jobSpecs.get(job);
    if (!spec) return;
    const zones = new Map<string, number>([[worker.zone, 1]]);
    let cpus = spec.cpus;
    for (const other of this.workers.values())
      for (const [otherTaskKey, otherTask] of other.tasks) {
        if (!other.hasTask(otherTaskKey) || otherTaskKey === taskKey) continue;
        const otherSpec = this.jobSpecs.get(otherTask.report.job);
        if (otherSpec?.team === spec.team) cpus += otherSpec.cpus;
        if (otherTask.report.job === job) zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
      }
    const misplaced =
      (spec.types && !spec.types.includes(worker.type)) ||
      (spec.zone !== null && spec.zone !== worker.zone) ||
      (worker.spot && (!spec.spot || spec.shape !== 'array')) ||
      (spec.oneZone && zones.size > 1) ||
      (spec.apart && Math.max(...zones.values()) > Math.ceil(spec.tasks / 2));
    if (misplaced) this.violations.push(`wrong_place ${taskKey} on ${worker.host}`);
    const cpuLimit = this.nodes[0].settings.teams.find((t) => t.name === spec.team)?.cpus_max ?? 0;
    if (cpuLimit > 0 && cpus > cpuLimit + 1e-9)
      this.violations.push(`quota ${spec.team}: ${cpus} with ${taskKey}`);
  }

  /**
   * Delivers the held heartbeats, half of them within 100 ms and the others within 4 s, if the leader or the owner of a shard has
   * changed.
   */
  private deliverHeldHeartbeats(): void {
    let changed = false;
    for (const [key, { stamp }] of this.state.entries)
      if (/^dp\/(chief|lead|shard\/)/.test(key) && this.ownershipStamps.get(key) !== stamp) {
        changed ||= this.ownershipStamps.has(key);
        this.ownershipStamps.set(key, stamp);
      }
    if (!changed) return;
    for (const report of this.heldHeartbeats.splice(0)) {
      const ms = this.random() < 0.5 ? 100 * this.random() : 4000 * this.random();
      this.schedule(ms, () => {
        for (const n of this.nodes)
          if (n.alive) n.push({ type: 'heartbeat', requestId: ++this.nextRequestId, report });
        this.deliveredHeldHeartbeats++;
      });
    }
  }

  /** Makes a machine fail. The cloud provider can then rent out another one. */
  loseMachine(worker: Worker): void {
    if (this.workers.delete(worker.host)) this.capacity++;
  }

  /** Advances the simulation by a number of seconds, in steps of 10 ms. */
  advance(seconds: number): void {
    const until = this.now + seconds * 1000;
    while (this.now < until) {
      this.now += 10;
      const dueTimers = this.timers.filter((timer) => timer.at <= this.now);
      this.timers = this.timers.filter((timer) => timer.at > this.now);
      for (const timer of dueTimers) timer.fn();
      this.state.expireLeases();
      if (this.heldHeartbeatShare > 0 || this.heldHeartbeats.length > 0) this.deliverHeldHeartbeats();
      for (const w of this.workers.values()) w.step();
      for (const n of this.nodes) n.step();
      for (const [job, at] of this.cancelledAt)
        if (this.now > at + 36_000)
          for (const w of this.workers.values())
            for (const taskKey of w.tasks.keys())
              if (taskKey.startsWith(`${job}/`) && w.hasTask(taskKey))
                this.violations.push(`ran_cancelled ${taskKey} stays`);
    }
  }

  /** Advances the simulation until a condition holds. Returns false if it does not hold within `withinS` seconds. */
  advanceUntil(condition: () => boolean, withinS: number): boolean {
    const until = this.now + withinS * 1000;
    while (!condition() && this.now < until) this.advance(0.1);
    return condition();
  }

  /** The tasks of a job that are on workers and have not exited, with their hosts. */
  running(job: string): { host: string; piece: string }[] {
    const list: { host: string; piece: string }[] = [];
    for (const w of this.workers.values())
      for (const taskKey of w.tasks.keys())
        if (taskKey.startsWith(`${job}/`) && w.hasTask(taskKey)) list.push({ host: w.host, piece: taskKey });
    return list;
  }
}
