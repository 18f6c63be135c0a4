/** The in-memory state of this process's shards: their jobs, machines and placements. */
import { MinimumShares } from '../../admission/index.js';
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { taskKey, type JobSpec } from '../../model/job.js';
import { fits, type Resources } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { SpotHazardEstimate } from '../../policy/hazard.js';
import type { Matcher } from '../../policy/matching.js';
import { imageFetchS } from '../../policy/pricing.js';
import type { Clock, Log } from '../effects.js';
import type { VersionedMachine, Replica } from '../replica.js';
import { type TransactionBatcher, type JobRecord, TaskWriter } from '../storage/index.js';
import { finishTearDownIfEmpty, GangCoordinator, isUnsent } from './gang-coordinator.js';
import {
  areAllPlacementsDurable,
  chunkOf,
  isCompleted,
  isPlaced,
  createScheduledJob,
  cancelledJobSpec,
  waitingTaskCount,
} from './jobs.js';
import { createScheduledMachine } from './machines.js';
import { PlacementLedger } from './placement-ledger.js';
import { PlacementsByHost } from './placements-by-host.js';
import { Reservations } from './reservations.js';
import { TeamQuotas, type QuotaReservation } from './team-quotas.js';
import type { Placement, PlacementOutcome, ScheduledJob, ScheduledMachine, TaskAssignment } from './types.js';

/** Receives the events that decide whether a machine or a job is at fault for failures. */
export interface ShardStateListener {
  /** Called when a job has completed its first task. */
  firstTaskCompleted(job: ScheduledJob): void;
}

/** What a shard state is created with. */
export interface ShardStateOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Clock;
  readonly log: Log;
  readonly listener: ShardStateListener;
  /** Matches the expressions of jobs against the attributes of machines; null: no job has expressions. */
  readonly matcher: Matcher | null;
}

/** Jobs with at most this share of the tasks that one record may hold keep the states of their tasks in the job record. */
const maxInlineTaskShare = 1 / 8;

/** A placed task takes up to about 40 bytes of its chunk's stored value; this leaves room for the rest of the value. */
const bytesPerPlacedTask = 64;
const minTasksPerChunk = 16;
const maxTasksPerChunk = 512;

/**
 * The maximum age of the replica from which workers are answered, as a share of the time between the expiry of a worker's
 * lease (`lease_s`) and the moment by which a cancelled task must be gone (`cancel_s`).
 */
const maxReplicaAgeShare = 0.85;

const noResources: Resources = { cpus: 0, gpus: 0, memGb: 0 };

/** The jobs and machines in this process's shards: what is placed where, what is durable, and what waits. */
export class ShardState {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly replica: Replica;
  readonly clock: Clock;
  readonly log: Log;
  private readonly listener: ShardStateListener;
  private readonly matcher: Matcher | null;

  /** Jobs by id. */
  readonly jobs = new Map<string, ScheduledJob>();
  /** Machines by host. */
  readonly machines = new Map<string, ScheduledMachine>();
  readonly ownedShards = new Set<number>();
  /** Placements with a stop request that has not been sent to the worker yet. */
  readonly unsentStops = new PlacementsByHost();
  /** In a pool: placements whose machines are asked for a heartbeat as soon as the placement may start. */
  readonly unsentStarts = new Set<Placement>();
  /**
   * Machines that are being drained for gangs that found no capacity in the last scheduling cycle, with the urgency rank of
   * the gangs, by host. Less urgent work is not placed on them.
   */
  withheldHosts: ReadonlyMap<string, number> = new Map();
  /** Reservations of machines for jobs that found no capacity. */
  readonly reservations: Reservations;
  readonly hazard: SpotHazardEstimate;
  readonly taskWriter: TaskWriter;
  private readonly quotas: TeamQuotas;
  private readonly ledger: PlacementLedger;
  private readonly gangs: GangCoordinator;
  /** Placements on machines without a record, and when the leases of their workers have certainly expired, ms. */
  private readonly expiringPlacements = new Map<Placement, number>();
  /** Called for a reported task without a known placement, with its key, its attempt and the last attempt number known. */
  onUnknownAttempt: (key: string, attempt: number, lastAttempt: number) => void = () => undefined;
  /** Whether tasks may be started: false while it is not known which tasks may be running. */
  mayStartTasks: () => boolean = () => true;
  /** Whether the state service accepts writes, so that tasks can be placed. */
  canPlaceTasks: () => boolean = () => true;
  /** How many placements this process has decided. */
  placementCount = 0;
  /** The number of jobs that this process has finished, by team. */
  readonly finishedJobsByTeam = new Map<string, number>();
  private readonly tasksPerChunk: number;
  /** The machine whose unused capacity goes to single tasks of starving jobs, and since when (ms). */
  lastAgedPlacement = { host: '', at: -Infinity };
  /** The recent usage of teams and job classes, compared with their minimum shares. */
  readonly minimumShares: MinimumShares;

  constructor(options: ShardStateOptions) {
    const { settings, operators, replica, batcher, clock, log } = options;
    this.settings = settings;
    this.operators = operators;
    this.replica = replica;
    this.clock = clock;
    this.log = log;
    this.listener = options.listener;
    this.matcher = options.matcher;
    const leaseMs = settings.workers.lease_s * 1000;
    const fittingTasks = Math.floor((settings.state.value_kb * 1024) / bytesPerPlacedTask);
    this.tasksPerChunk = Math.max(minTasksPerChunk, Math.min(maxTasksPerChunk, fittingTasks));
    this.minimumShares = new MinimumShares(leaseMs * operators['floor-leases'], operators['floor-share']);
    this.reservations = new Reservations(clock, settings.workers.lease_s);
    this.hazard = new SpotHazardEstimate(operators['hazard-prior']);
    this.quotas = new TeamQuotas(settings);
    const { jobs, machines, quotas } = this;
    this.ledger = new PlacementLedger({ jobs, machines, quotas, replica, clock });
    this.gangs = new GangCoordinator({
      clock,
      workers: settings.workers,
      log,
      requestStop: (placement, graceS) => this.requestStop(placement, graceS),
      removeUnsent: (placement) => {
        this.detachPlacement(placement, 'gang torn down');
        requeueTask(placement);
      },
    });
    const maxInlineTasks = Math.max(1, Math.floor(this.tasksPerChunk * maxInlineTaskShare));
    const taskLog = { enabled: operators['task-log'] > 0, maxAgeMs: leaseMs * operators['task-log-leases'] };
    this.taskWriter = new TaskWriter(settings, replica, batcher, clock, log, this, maxInlineTasks, taskLog);
  }

  /** The maximum age of a replica from which workers may be answered, ms. */
  get maxReplicaAgeMs(): number {
    const { cancel_s, lease_s } = this.settings.workers;
    return 1000 * Math.min(this.operators['grant-s'], (cancel_s - lease_s) * maxReplicaAgeShare);
  }

  /**
   * How long after a shard was acquired a worker's lease may still last if it has not been renewed since, ms. Accounts for a
   * stale previous owner, which may have renewed leases until its own replica was too old.
   */
  private get maxRemainingLeaseMs(): number {
    return this.maxReplicaAgeMs + this.settings.workers.lease_s * 1000;
  }

  /** The resources that placed tasks use, by team. */
  get usageByTeam(): ReadonlyMap<string, Resources> {
    return this.quotas.usageByTeam;
  }

  /** The number of placements by urgency rank. */
  get placementsByUrgency(): ReadonlyMap<number, number> {
    return this.ledger.countByUrgency;
  }

  /** Sets the quota that is reserved for gangs that found no capacity in the last scheduling cycle, by team. */
  reserveQuotas(reservations: ReadonlyMap<string, QuotaReservation>): void {
    this.quotas.reservations = reservations;
  }

  /** The resources that work of a team may still take from the team's quota. */
  availableQuota(work: Pick<JobSpec, 'team' | 'urgency'>, ignoreReservations = false): Resources {
    return this.quotas.available(work, ignoreReservations);
  }

  // ---- shards ----

  /** Adds the jobs and machines of a shard that was assigned to this process. */
  acquireShard(shard: number): void {
    this.ownedShards.add(shard);
    for (const machine of this.replica.machines.values())
      if (machine.shard === shard) this.addMachine(machine);
    for (const job of this.replica.jobs.values()) this.addJob(job);
  }

  /** Removes the jobs and machines of a shard that this process no longer owns. */
  releaseShard(shard: number): void {
    this.ownedShards.delete(shard);
    this.taskWriter.closeShard(shard);
    for (const [id, job] of this.jobs) if (job.shard === shard) this.removeJob(id);
    this.quotas.removeUnreadableJobsOf((team) => this.replica.shardOfTeam(team) === shard);
    for (const [host, machine] of this.machines)
      if (machine.record.shard === shard) this.machines.delete(host);
  }

  private addMachine(record: VersionedMachine): void {
    const type = this.replica.machineTypes.find(({ name }) => name === record.type);
    if (!type || this.machines.has(record.host)) return;
    const { now } = this.clock;
    // The record of a machine may be restored after those of its tasks. Their jobs are loaded again, so that the resources of
    // the tasks do not count as free.
    const jobs = new Set(this.ledger.takePlacementsOnUnknownHost(record.host).map(({ job }) => job.id));
    for (const id of jobs) this.removeJob(id);
    const machine = createScheduledMachine(record, type, now, now + this.maxRemainingLeaseMs);
    this.machines.set(record.host, machine);
    for (const id of jobs) {
      const job = this.replica.jobs.get(id);
      if (job) this.addJob(job);
    }
  }

  private addJob(record: JobRecord): void {
    if (this.jobs.has(record.id)) return;
    if (this.replica.isJobUnreadable(record.id)) return this.addUnreadableJob(record);
    const stored = this.replica.chunks.get(record.id);
    const spec = record.spec ?? (record.usage && stored ? cancelledJobSpec(record, record.usage) : null);
    if (spec === null) return;
    const shard = this.replica.shardOfTeam(spec.team);
    if (!this.ownedShards.has(shard)) return;
    const { attemptBase } = this.replica;
    const { tasksPerChunk } = this;
    const job = createScheduledJob(record, spec, { shard, stored, tasksPerChunk, attemptBase });
    job.match = this.matcher?.matchFor(spec) ?? null;
    this.jobs.set(job.id, job);
    for (const [number, chunk] of stored ?? [])
      for (const placementRecord of chunk.placements) {
        const placement = this.ledger.add(job, job.chunks[number], placementRecord, false);
        if (job.cancelled) this.requestStop(placement, 0);
        this.scheduleExpiryIfMachineUnknown(placement);
      }
    if (spec.shape === 'gang') this.gangs.handleLoaded(job);
    this.finalizeIfCompleted(job);
    this.finishCancellation(job);
  }

  /**
   * Schedules the removal of a placement whose machine has no record. Such a machine has usually been deleted, but its record
   * may also have been lost, so nothing is proven until the lease of its worker has expired.
   */
  private scheduleExpiryIfMachineUnknown(placement: Placement): void {
    const { host } = placement;
    if (this.replica.machines.has(host) || this.replica.mayHaveMachine(host)) return;
    this.expiringPlacements.set(placement, this.clock.now + this.maxRemainingLeaseMs);
  }

  /** Removes placements on machines without a record once the leases of their workers have certainly expired. */
  removeExpiredPlacements(): void {
    for (const [placement, expiresAt] of this.expiringPlacements) {
      const isCurrent = this.ledger.isCurrent(placement);
      if (isCurrent && !this.machines.has(placement.host) && this.clock.now <= expiresAt) continue;
      if (isCurrent && !this.replica.machines.has(placement.host))
        this.removePlacement(placement, 'machine deleted');
      this.expiringPlacements.delete(placement);
    }
  }

  private addUnreadableJob({ id, spec }: JobRecord): void {
    if (spec === null || !this.ownedShards.has(this.replica.shardOfTeam(spec.team))) return;
    this.quotas.addUnreadableJob(id, spec);
  }

  private removeJob(id: string): void {
    this.quotas.removeUnreadableJob(id);
    const job = this.jobs.get(id);
    if (!job) return;
    this.ledger.removeAll(job);
    for (const placement of job.placements.values()) this.unsentStops.delete(placement);
    this.jobs.delete(id);
  }

  /** Loads a job again from its stored records, because another process has written them. */
  reloadJob(id: string): void {
    this.removeJob(id);
    const record = this.replica.jobs.get(id);
    if (record) this.addJob(record);
  }

  // ---- changes of the replica ----

  /** Called when the record of a job has changed in the replica; undefined: it was deleted. */
  jobChanged(id: string, record: JobRecord | undefined): void {
    const job = this.jobs.get(id);
    if (this.replica.isJobUnreadable(id)) {
      if (job) job.unreadable = true;
      else if (record) this.addUnreadableJob(record);
      return;
    }
    // The job is loaded again rather than continued from what was known before: another process may have written it since.
    if (job?.unreadable || this.quotas.hasUnreadableJob(id)) return this.reloadJob(id);
    if (!record) return;
    if (!job) {
      if (record.state === 'open') this.addJob(record);
      return;
    }
    job.modRevision = record.modRevision;
    // Another writer of the record leaves the task states in it unchanged; otherwise it was written by this process.
    if (record.tasksInline) job.chunks[0].modRevision = record.modRevision;
    if (record.state === 'cancelled' && !job.cancelled) this.cancelJob(job);
  }

  private cancelJob(job: ScheduledJob): void {
    job.cancelled = true;
    for (const placement of [...job.placements.values()]) {
      if (isUnsent(placement)) this.removePlacement(placement, 'cancelled before its start');
      else {
        // A cancelled task gets no time to save its state, even if it is already being stopped gracefully.
        placement.stopRequest = null;
        this.requestStop(placement, 0);
      }
    }
    this.finishCancellation(job);
  }

  /** Called when the record of a machine has changed in the replica; undefined: it was deleted. */
  machineChanged(host: string, record: VersionedMachine | undefined): void {
    const machine = this.machines.get(host);
    if (record && this.ownedShards.has(record.shard)) {
      if (machine) {
        machine.record = record;
        machine.releasing = false;
        if (record.state === 'dead') machine.quarantined = true;
      } else this.addMachine(record);
      return;
    }
    if (!record) {
      // The record is deleted only after the cloud has confirmed the deletion of the machine, so everything on it is gone.
      const placements = machine?.placements.values() ?? [];
      const onUnknownHost = this.ledger.takePlacementsOnUnknownHost(host);
      this.removeLostPlacements([...placements, ...onUnknownHost], 'machine deleted');
    }
    this.machines.delete(host);
  }

  // ---- placements ----

  /**
   * Whether a task that a previous owner placed, and that no worker has reported, may still start. The previous owner may have
   * removed the placement, given its quota or its place in the zone to other tasks, and ended before the removal was written.
   */
  mayStillStart({ job: { spec, tasksByZone }, zone }: Placement): boolean {
    if (zone === null || !fits(noResources, this.availableQuota(spec, true))) return false;
    return zoneAllows(spec, zone, new Map(tasksByZone).set(zone, (tasksByZone.get(zone) ?? 1) - 1));
  }

  /**
   * Whether the start of a placement may be sent. The placement must be durable, and for a gang all placements of the attempt,
   * so that a crash cannot lose the record of a task that was started.
   */
  mayStart({ job, chunk, chunkVersion }: Placement): boolean {
    if (job.cancelled || job.finalizing || job.unreadable || !this.mayStartTasks()) return false;
    return job.spec.shape === 'gang' ? areAllPlacementsDurable(job) : chunk.durableVersion >= chunkVersion;
  }

  /** Places tasks of one job together. They are started once their placements are durable; see `mayStart`. */
  placeTasks(job: ScheduledJob, assignments: readonly TaskAssignment[], attempt?: number): void {
    this.placementCount += assignments.length;
    const chunks = new Set(assignments.map(({ index }) => chunkOf(job, index)));
    for (const chunk of chunks) {
      chunk.lastPlacementVersion = ++chunk.version;
      job.chunksAwaitingDurability.add(chunk);
    }
    for (const { index, host } of assignments) {
      if (job.placements.has(index)) {
        this.log('error', 'duplicate placement', { piece: taskKey(job.id, index) });
        continue;
      }
      const chunk = chunkOf(job, index);
      if (attempt !== undefined) chunk.lastAttempt = Math.max(chunk.lastAttempt, attempt);
      const record = { index, attempt: attempt ?? ++chunk.lastAttempt, host };
      const placement = this.ledger.add(job, chunk, record, true);
      if (this.settings.pool) this.unsentStarts.add(placement);
      // The task causes the machine to fetch the image; tasks that are placed there later share the fetch.
      const machine = this.machines.get(host);
      if (machine) machine.images.set(job.spec.image, imageFetchS(job.spec, machine.type));
    }
    for (const chunk of chunks) this.taskWriter.enqueue(job, chunk);
    if (waitingTaskCount(job) === 0) job.repairAttempt = null;
  }

  /** Removes a placement whose attempt is proven to be gone or over, and queues the write of the change. */
  removePlacement(placement: Placement, why: string, outcome: PlacementOutcome = 'requeue'): void {
    if (!isPlaced(placement)) return;
    const { job } = placement;
    this.detachPlacement(placement, why);
    if (outcome === 'completed') this.completeTask(placement);
    else if (!job.cancelled) {
      requeueTask(placement);
      if (job.spec.shape === 'gang') this.gangs.handleTaskEnd(job, placement);
    }
    this.finishCancellation(job);
  }

  /** Removes placements that were lost with their machine, and queues the write of the change. */
  removeLostPlacements(placements: readonly Placement[], why: string): void {
    const lostByJob = new Map<ScheduledJob, Placement[]>();
    for (const placement of placements) {
      if (!isPlaced(placement)) continue;
      this.detachPlacement(placement, why);
      if (!placement.job.cancelled) requeueTask(placement);
      const lostOfJob = lostByJob.get(placement.job);
      if (lostOfJob) lostOfJob.push(placement);
      else lostByJob.set(placement.job, [placement]);
    }
    for (const [job, lost] of lostByJob) {
      if (!job.cancelled && job.spec.shape === 'gang') this.gangs.handleLostTasks(job, lost);
      this.finishCancellation(job);
    }
  }

  /** Removes a placement, and queues the write of the change. What follows for its task and job is left to the caller. */
  private detachPlacement(placement: Placement, why: string): void {
    const { job, chunk, index, attempt, host } = placement;
    this.ledger.remove(placement);
    this.unsentStops.delete(placement);
    if (job.placements.size === 0) job.unplacedSince = this.clock.wall;
    chunk.version++;
    this.taskWriter.noteTermination(job, chunk);
    this.log('debug', 'placement removed', { piece: taskKey(job.id, index), attempt, host, why });
  }

  private completeTask({ job, chunk, index }: Placement): void {
    if (!isCompleted(job, index)) {
      chunk.completed.add(index - chunk.firstTask);
      if (job.completedCount++ === 0) this.listener.firstTaskCompleted(job);
    }
    this.finalizeIfCompleted(job);
    // If a gang was being torn down when its last placed task completed, its remaining tasks would otherwise never be placed.
    finishTearDownIfEmpty(job);
  }

  private finalizeIfCompleted(job: ScheduledJob): void {
    if (job.completedCount >= job.spec.tasks && !job.cancelled && job.spec.shape !== 'service')
      this.taskWriter.finalizeJob(job);
  }

  private finishCancellation(job: ScheduledJob): void {
    if (!job.cancelled || job.placements.size > 0 || this.jobs.get(job.id) !== job) return;
    this.jobs.delete(job.id);
    this.taskWriter.deleteTaskRecords(job);
  }

  // ---- stops ----

  /** Stops a whole gang gracefully: all tasks are stopped at about the same time, with time to save their state. */
  stopGang(job: ScheduledJob): void {
    this.gangs.stop(job);
  }

  /** Requests that a task stops, with `graceS` seconds to save its state. An earlier request remains in force. */
  requestStop(placement: Placement, graceS: number): void {
    if (placement.stopRequest !== null || placement.job.unreadable || !isPlaced(placement)) return;
    placement.stopRequest = { graceS, since: this.clock.now };
    this.unsentStops.add(placement);
  }
}

/**
 * Lets the task of a removed placement wait again. Only tasks below `nextUnplaced` are requeued: the others are found from there
 * on, and would be handed out twice in one cycle. After a failover, `nextUnplaced` starts at 0 again.
 */
function requeueTask({ job, index }: Placement): void {
  if (index < job.nextUnplaced) job.requeued.add(index);
}
