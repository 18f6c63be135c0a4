/**
 * A small scripted world on a fake clock: state service, cloud and workers as the protocol describes them, written for these tests.
 * Everything happens at set moments, so a test can put a failure just where it hurts. The world sees everything and notes each broken
 * rule in `violations`.
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

/** State service, cloud, workers and controllers on one clock, and the checks of all rules. */
export class World {
  now = 0;
  readonly state = new StateService(this);
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly commits: { member: string; txn: Transaction; outcome: CommitOutcome; at: number }[] = [];
  readonly rentals: RentRequest[] = [];
  readonly deleted: string[] = [];
  readonly finished: string[] = [];
  /** Jobs that were submitted here, where the referee is to hold their starts against them. */
  readonly specs = new Map<string, JobSpec>();
  /** Gangs, and how many tasks each has. */
  readonly gangs = new Map<string, number>();
  /** How long a task waits for its image. */
  fetchS = 0;
  /** Services: their tasks never complete. */
  readonly serviceJobs = new Set<string>();
  /** Jobs submitted with a mistake: their tasks fail on every machine. */
  readonly failingJobs = new Set<string>();
  readonly starts: { piece: string; host: string; at: number }[] = [];
  /** Broken rules, as a referee who sees everything finds them. */
  readonly violations: string[] = [];
  readonly cancelledAt = new Map<string, number>();
  /**
   * Answers that have renewed a lease, by controller, and the longest time after its cancellation for which a task was kept
   * by one. It may be `cancel_s` - `lease_s`, less what clocks differ by.
   */
  readonly leaseRenewals = { answers: new Map<string, number>(), maxAfterCancellationMs: 0 };
  maxKeepMs = 20_000 * (1 - 0.001);
  types: MachineType[] = [box];
  capacity = 10;
  cloudDown = false;
  /** Commits that are still on their way. */
  readonly heldCommits: Transaction[] = [];
  /** Controllers reach each other. */
  peersConnected = true;
  /** An error in a controller ends its process, not the test. */
  crashesAllowed = false;
  /** What the controllers' random numbers come from. */
  readonly seed: number;
  nextRequestId = 1_000_000;
  /** How long an answer of the state service or the cloud takes, and the first reading of the state. */
  responseMs = 5;
  snapshotMs = 0;
  /** After so long a controller gives up waiting for the answer to a commit. */
  lostResponseMs = 1000;
  /** Of this share of the workers' reports a copy arrives again, up to one and a half leases later, at whichever controller. */
  duplicatedHeartbeatShare = 0;
  /** How long tasks run on machines that come from now on; for some tasks, wherever they run. */
  taskDurationS = 20;
  taskDurationOf: (piece: string) => number | undefined = () => undefined;
  /** This share of rentals and returns gets no answer and is carried out 2 to 12 s later. */
  delayedCloudCallShare = 0;
  /** How long transactions are on their way, and answers to rentals; after how long a lost answer is noticed, ms. */
  commitDelayMs: () => number = () => 0;
  cloudDelayMs: () => number = () => 0;
  lostResponseNoticedMs: () => number = () => 0;
  /** Reports of machines that the controller they came to had no record of. */
  heartbeatsBeforeRecord = 0;
  /** Of this share of the reports a copy is kept until somebody else leads or owns, and then reaches every controller. */
  heldHeartbeatShare = 0;
  readonly heldHeartbeats: Heartbeat[] = [];
  /** How many such copies came just as somebody else had begun. */
  deliveredHeldHeartbeats = 0;
  private readonly ownershipStamps = new Map<string, number>();
  /** Starts after a confirmed cancellation: of which tasks, and how long after. */
  readonly startsAfterCancellation: { taskKey: string; afterMs: number }[] = [];
  /** How long direct commands, and answers to reports, are held up, ms. */
  directCommandDelayMs: () => number = () => 0;
  responseDelayMs: () => number = () => 0;
  leaseMs = 16_000;
  heartbeatMs = 2000;
  private timers: { at: number; fn: () => void }[] = [];
  private machineCount = 0;

  /** The world's own chance, apart from the controllers'. */
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

  /** Calls a function after so many ms of the world's clock. */
  schedule(ms: number, fn: () => void): void {
    this.timers.push({ at: this.now + ms, fn });
  }

  /** The same; at once for 0 ms. */
  scheduleOrRun(ms: number, fn: () => void): void {
    if (ms > 0) this.schedule(ms, fn);
    else fn();
  }

  private readonly rentalResponses = new Map<string, string[]>();
  /** A request name that was carried out once gets the same answer for ever. */
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

  /** The cloud deletes machines with all that is on them. */
  remove(hosts: string[]): void {
    for (const host of hosts) {
      this.deleted.push(host);
      if (this.workers.delete(host)) this.capacity++;
    }
  }

  /** A machine comes up, with a worker on it. */
  addWorker(type: string, zone: string, spot: boolean): Worker {
    const host = `n-${String(++this.machineCount).padStart(6, '0')}`;
    const worker = new Worker(this, host, type, zone, spot);
    this.workers.set(host, worker);
    return worker;
  }

  /** A worker was told to start a task: the rules about starts are checked. */
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

  /** Type, zone, kind of machine and the team's limit, with all that is on machines now. */
  private checkPlacement(worker: Worker, job: string, taskKey: string): void {
    const spec = this.specs.get(job);
    if (!spec) return;
    const zones = new Map<string, number>([[worker.zone, 1]]);
    let cpus = spec.cpus;
    for (const other of this.workers.values())
      for (const [otherTaskKey, otherTask] of other.tasks) {
        if (!other.hasTask(otherTaskKey) || otherTaskKey === taskKey) continue;
        const otherSpec = this.specs.get(otherTask.report.job);
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

  /** Somebody else leads or owns: what was kept for that moment comes now, or a little later. */
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

  /** A machine dies: the cloud has room for another. */
  loseMachine(worker: Worker): void {
    if (this.workers.delete(worker.host)) this.capacity++;
  }

  /** Plays so many seconds, in steps of 10 ms. */
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

  /** Plays until something holds; false if it does not within so many seconds. */
  advanceUntil(condition: () => boolean, withinS: number): boolean {
    const until = this.now + withinS * 1000;
    while (!condition() && this.now < until) this.advance(0.1);
    return condition();
  }

  /** Where tasks of a job are. */
  running(job: string): { host: string; piece: string }[] {
    const list: { host: string; piece: string }[] = [];
    for (const w of this.workers.values())
      for (const taskKey of w.tasks.keys())
        if (taskKey.startsWith(`${job}/`) && w.hasTask(taskKey)) list.push({ host: w.host, piece: taskKey });
    return list;
  }
}
