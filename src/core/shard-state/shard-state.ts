/** The jobs and machines of this process's shards in memory, and what is placed where. */
import { MinimumShares } from '../../admission/index.js';
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { taskKey, urgencyRank, type JobSpec } from '../../model/job.js';
import { fits, type Resources } from '../../model/machine.js';
import type { Matcher } from '../../policy/matching.js';
import { teamQuota } from '../../policy/admission.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { SpotHazardEstimate } from '../../policy/hazard.js';
import { imageFetchS } from '../../policy/pricing.js';
import {
  type TransactionBatcher,
  type JobRecord,
  type PlacementRecord,
  TaskWriter,
} from '../storage/index.js';
import type { Clock, Log } from '../effects.js';
import type { VersionedMachine, Replica } from '../replica.js';
import { Reservations } from './reservations.js';
import { chunkOf, isCompleted, createScheduledJob, cancelledJobSpec, waitingTaskCount } from './jobs.js';
import { canRepairGang } from './gang-repair.js';
import { createScheduledMachine } from './machines.js';
import type { TaskChunk, ScheduledJob, ScheduledMachine, Placement } from './types.js';

/** What the books tell: weighed by whoever judges machines. */
export interface ShardStateListener {
  /** A job has completed its first task. */
  firstTaskCompleted(job: ScheduledJob): void;
}

/** A part of a team's limit that is kept for its more urgent work. */
export interface QuotaReservation {
  urgency: number;
  cpus: number;
  gpus: number;
  /** Tasks that machines could take beyond that. */
  tasks: number;
}

/** Of the tasks that one record may hold: jobs of so many keep them in their own, beside the description. */
const maxInlineShare = 1 / 8;

const noCapacity: Resources = { cpus: 0, gpus: 0, memGb: 0 };

/** The jobs and machines of the shards of this process: what is placed where, what is durable, what waits. */
export class ShardState {
  readonly jobs = new Map<string, ScheduledJob>();
  readonly machines = new Map<string, ScheduledMachine>();
  readonly ownedShards = new Set<number>();
  readonly usageByTeam = new Map<string, Resources>();
  /** How many placements there are of each urgency's rank. */
  readonly placementsByUrgency = new Map<number, number>();
  /** Placements to be stopped whose workers have not been told straight away yet. */
  readonly unsentStops = new Set<Placement>();
  /** Jobs of which nobody can read what runs. */
  private readonly unreadableJobs = new Map<string, JobSpec>();
  /** Starts that wait for the next report of their machines; kept in a pool only. */
  readonly unsentStarts = new Set<Placement>();
  /**
   * Machines that run empty for gangs that found no room in the last round, with the gangs' urgency: work of less urgency
   * takes none of them anew.
   */
  withheldHosts: ReadonlyMap<string, number> = new Map();
  /** What teams' gangs that found no room in the last round will take of their teams' limits, by team. */
  quotaReservations: ReadonlyMap<string, QuotaReservation> = new Map();
  readonly reservations: Reservations;
  readonly hazard: SpotHazardEstimate;
  readonly taskWriter: TaskWriter;
  /** Placements on machines that are not there (yet), by host. */
  private readonly placementsOnUnknownHosts = new Map<string, Placement[]>();
  /** Placements on machines that have no record, and when the leases of their workers have surely ended, ms. */
  private readonly expiringPlacements = new Map<Placement, number>();
  /** Told of a task that nobody placed: its attempt, and the last that is known. */
  onUnknownAttempt: (piece: string, attempt: number, last: number) => void = () => undefined;
  /** Nothing is started while what may be running is not known. */
  mayStartTasks: () => boolean = () => true;
  /** The state service takes what is decided: work can be placed. */
  canPlaceTasks: () => boolean = () => true;
  /** Placements decided so far. */
  placementCount = 0;
  /** Jobs that were brought to their end here, by team. */
  readonly finishedJobsByTeam = new Map<string, number>();
  private readonly tasksPerChunk: number;

  /** The machine whose unused room single tasks that have waited for long go to, and since when, ms. */
  starvationRelief = { host: '', at: -Infinity };

  /** What teams and classes have had of the room of late. */
  readonly minimumShares: MinimumShares;

  constructor(
    readonly settings: Settings,
    readonly operators: OperatorSettings,
    readonly replica: Replica,
    batcher: TransactionBatcher,
    readonly clock: Clock,
    readonly log: Log,
    private readonly listener: ShardStateListener,
    private readonly matcher: Matcher | null,
  ) {
    // A placed task takes up to some 40 bytes of its chunk's value.
    this.tasksPerChunk = Math.max(16, Math.min(512, Math.floor((settings.state.value_kb * 1024) / 64)));
    this.minimumShares = new MinimumShares(
      settings.workers.lease_s * 1000 * operators['floor-leases'],
      operators['floor-share'],
    );
    this.reservations = new Reservations(clock, settings.workers.lease_s);
    this.hazard = new SpotHazardEstimate(operators['hazard-prior']);
    const wholeTasks = Math.max(1, Math.floor(this.tasksPerChunk * maxInlineShare));
    const maxAgeMs = settings.workers.lease_s * 1000 * operators['task-log-leases'];
    const taskLog = { enabled: operators['task-log'] > 0, maxAgeMs };
    this.taskWriter = new TaskWriter(settings, replica, batcher, clock, log, this, wholeTasks, taskLog);
  }

  /** How old a view may be, ms, for workers to be answered from it. */
  get maxReplicaAgeMs(): number {
    const { cancel_s, lease_s } = this.settings.workers;
    return 1000 * Math.min(this.operators['grant-s'], (cancel_s - lease_s) * 0.85);
  }

  /**
   * How long after a shard was taken up a worker's lease may last that nobody has answered since, ms. Guards against the stale
   * owner: it may have answered until its own view ran out of date.
   */
  private get maxRemainingLeaseMs(): number {
    return this.maxReplicaAgeMs + this.settings.workers.lease_s * 1000;
  }

  /** Placements on machines without a record are gone once the leases of their workers have surely ended. */
  dropExpiredPlacements(): void {
    for (const [placement, until] of this.expiringPlacements) {
      const there =
        placement.job.placements.get(placement.index) === placement &&
        this.jobs.get(placement.job.id) === placement.job;
      if (there && !this.machines.has(placement.host) && this.clock.now <= until) continue;
      if (there && !this.replica.machines.has(placement.host))
        this.removePlacement(placement, 'machine returned');
      this.expiringPlacements.delete(placement);
    }
  }

  // ---- shards ----

  acquireShard(shard: number): void {
    this.ownedShards.add(shard);
    for (const m of this.replica.machines.values()) if (m.shard === shard) this.addMachine(m);
    for (const job of this.replica.jobs.values()) this.addJob(job);
  }

  releaseShard(shard: number): void {
    this.ownedShards.delete(shard);
    this.taskWriter.closeShard(shard);
    for (const [id, job] of this.jobs) if (job.shard === shard) this.removeJob(id);
    for (const [id, spec] of this.unreadableJobs)
      if (this.replica.shardOfTeam(spec.team) === shard) this.forgetUnreadable(id);
    for (const [host, machine] of this.machines)
      if (machine.record.shard === shard) this.machines.delete(host);
  }

  private addMachine(record: VersionedMachine): void {
    const type = this.replica.machineTypes.find((t) => t.name === record.type);
    if (!type || this.machines.has(record.host)) return;
    const { now } = this.clock;
    const leaseUntil = now + this.maxRemainingLeaseMs;
    // Guards against machines that are brought back after what runs on them: what they hold would be taken for free.
    const jobs = new Set(this.takePlacementsOnUnknownHost(record.host).map((placement) => placement.job.id));
    for (const id of jobs) this.removeJob(id);
    this.machines.set(record.host, createScheduledMachine(record, type, now, leaseUntil));
    for (const id of jobs) {
      const job = this.replica.jobs.get(id);
      if (job) this.addJob(job);
    }
  }

  /** What runs on a machine that is not there (yet). */
  private takePlacementsOnUnknownHost(host: string): Placement[] {
    const all = this.placementsOnUnknownHosts.get(host) ?? [];
    this.placementsOnUnknownHosts.delete(host);
    return all.filter(
      (placement) =>
        placement.job.placements.get(placement.index) === placement &&
        this.jobs.get(placement.job.id) === placement.job,
    );
  }

  private addJob(record: JobRecord): void {
    if (this.jobs.has(record.id)) return;
    if (this.replica.isJobUnreadable(record.id)) return this.countUnreadable(record);
    const stored = this.replica.chunks.get(record.id);
    const spec = record.spec ?? (record.usage && stored ? cancelledJobSpec(record, record.usage) : null);
    if (spec === null) return;
    const shard = this.replica.shardOfTeam(spec.team);
    if (!this.ownedShards.has(shard)) return;
    const job = createScheduledJob(record, spec, shard, stored, this.tasksPerChunk, this.replica.attemptBase);
    job.match = this.matcher?.matchFor(spec) ?? null;
    this.jobs.set(job.id, job);
    for (const [n, c] of stored ?? [])
      for (const p of c.placements) {
        const placement = this.addPlacement(job, job.chunks[n], p, false);
        if (job.cancelled) this.requestStop(placement, 0);
        // Guards against a machine whose record was lost: one that has none was given back, as a rule, but that proves nothing.
        if (!this.replica.machines.has(p.host) && !this.replica.mayHaveMachine(p.host))
          this.expiringPlacements.set(placement, this.clock.now + this.maxRemainingLeaseMs);
      }
    if (spec.shape === 'gang' && job.placements.size > 0) this.checkGang(job);
    if (job.completedCount >= spec.tasks && !job.cancelled && spec.shape !== 'service')
      this.taskWriter.finalizeJob(job);
    this.checkCancelled(job);
  }

  /** Nobody knows which tasks of this job run: its team's limit counts all of them. */
  private countUnreadable({ id, spec }: JobRecord): void {
    if (
      spec === null ||
      this.unreadableJobs.has(id) ||
      !this.ownedShards.has(this.replica.shardOfTeam(spec.team))
    )
      return;
    this.unreadableJobs.set(id, spec);
    this.addUsage(spec, spec.tasks);
  }

  private forgetUnreadable(id: string): void {
    const spec = this.unreadableJobs.get(id);
    if (spec && this.unreadableJobs.delete(id)) this.addUsage(spec, -spec.tasks);
  }

  private addUsage(spec: JobSpec, tasks: number): void {
    let use = this.usageByTeam.get(spec.team);
    if (!use) this.usageByTeam.set(spec.team, (use = { cpus: 0, gpus: 0, memGb: 0 }));
    use.cpus += tasks * spec.cpus;
    use.gpus += tasks * spec.gpus;
    use.memGb += tasks * spec.memGb;
  }

  private removeJob(id: string): void {
    this.forgetUnreadable(id);
    const job = this.jobs.get(id);
    if (!job) return;
    for (const placement of job.placements.values()) {
      this.machines.get(placement.host)?.placements.delete(taskKey(job.id, placement.index));
      this.countPlacement(placement, -1);
    }
    this.jobs.delete(id);
  }

  reloadJob(id: string): void {
    this.removeJob(id);
    const record = this.replica.jobs.get(id);
    if (record) this.addJob(record);
  }

  // ---- changes seen by the replica ----

  jobChanged(id: string, record: JobRecord | undefined): void {
    const frozen = this.replica.isJobUnreadable(id);
    const job = this.jobs.get(id);
    if (frozen) {
      if (job) job.unreadable = true;
      else if (record) this.countUnreadable(record);
      return;
    }
    // Guards against going on from what was known before: somebody has written it since.
    if (job?.unreadable || this.unreadableJobs.has(id)) return this.reloadJob(id);
    if (!record) return;
    if (!job) {
      if (record.state === 'open') this.addJob(record);
      return;
    }
    job.modRevision = record.modRevision;
    // Whoever wrote it left what it says of its tasks as it was, or it was us.
    if (record.tasksInline) job.chunks[0].modRevision = record.modRevision;
    if (record.state === 'cancelled' && !job.cancelled) {
      job.cancelled = true;
      for (const placement of [...job.placements.values()]) {
        if (placement.placedByThisProcess && placement.startSentWith === null)
          this.removePlacement(placement, 'cancelled before its start');
        else {
          // No saving for a cancelled task, also if it is being stopped in order already.
          placement.stopRequest = null;
          this.requestStop(placement, 0);
        }
      }
      this.checkCancelled(job);
    }
  }

  machineChanged(host: string, now: VersionedMachine | undefined): void {
    const machine = this.machines.get(host);
    if (now && this.ownedShards.has(now.shard)) {
      if (machine) {
        machine.record = now;
        machine.releasing = false;
        if (now.state === 'dead') machine.quarantined = true;
      } else this.addMachine(now);
      return;
    }
    // Its record is dropped only after the cloud has confirmed the deletion: all that was on it is gone.
    if (machine && !now)
      for (const placement of [...machine.placements.values()])
        this.removePlacement(placement, 'machine returned', 'lost');
    if (!now)
      for (const placement of this.takePlacementsOnUnknownHost(host))
        this.removePlacement(placement, 'machine returned', 'lost');
    this.machines.delete(host);
  }

  // ---- placements ----

  private addPlacement(job: ScheduledJob, chunk: TaskChunk, p: PlacementRecord, own: boolean): Placement {
    const placement: Placement = {
      job,
      index: p.index,
      attempt: p.attempt,
      host: p.host,
      zone: (this.machines.get(p.host)?.record ?? this.replica.machines.get(p.host))?.zone ?? null,
      chunk,
      chunkVersion: own ? chunk.version : 0,
      placedByThisProcess: own,
      startSentWith: null,
      phase: 'placed',
      runningSince: 0,
      waitingSince: 0,
      placedAt: this.clock.now,
      stopRequest: null,
    };
    job.placements.set(p.index, placement);
    const machine = this.machines.get(p.host);
    if (machine) machine.placements.set(taskKey(job.id, p.index), placement);
    else
      this.placementsOnUnknownHosts.set(p.host, [
        ...(this.placementsOnUnknownHosts.get(p.host) ?? []),
        placement,
      ]);
    this.countPlacement(placement, 1);
    return placement;
  }

  /** Counts a placement in or out: in its machine, its team and its zone. */
  private countPlacement(placement: Placement, sign: 1 | -1): void {
    const { spec } = placement.job;
    const machine = this.machines.get(placement.host);
    this.addUsage(spec, sign);
    if (machine) {
      machine.used.cpus += sign * spec.cpus;
      machine.used.gpus += sign * spec.gpus;
      machine.used.memGb += sign * spec.memGb;
    }
    const rank = urgencyRank[spec.urgency];
    this.placementsByUrgency.set(rank, (this.placementsByUrgency.get(rank) ?? 0) + sign);
    if (placement.zone !== null)
      placement.job.tasksByZone.set(
        placement.zone,
        (placement.job.tasksByZone.get(placement.zone) ?? 0) + sign,
      );
    else placement.job.unknownZoneTasks += sign;
    if (machine && machine.placements.size === 0) machine.idleSince = this.clock.now;
  }

  /** What work of a team may still take: its limit goes to its most urgent work first, unless the whole of it is asked for. */
  availableQuota(
    { team, urgency }: Pick<JobSpec, 'team' | 'urgency'>,
    ignoreReservations = false,
  ): Resources {
    const cap = teamQuota(this.settings, team);
    const use = this.usageByTeam.get(team);
    const owed = this.quotaReservations.get(team);
    const first =
      !ignoreReservations && owed && owed.urgency > urgencyRank[urgency] ? owed : { cpus: 0, gpus: 0 };
    return {
      cpus: cap.cpus - (use?.cpus ?? 0) - first.cpus,
      gpus: cap.gpus - (use?.gpus ?? 0) - first.gpus,
      memGb: Infinity,
    };
  }

  /**
   * Whether a task that an earlier owner placed, and that never came to be, may still start. Guards against an owner that gave it
   * up, placed others in the room of the team's limit, or elsewhere, and ended before it had written that the first was gone.
   */
  mayStillStart({ job: { spec, tasksByZone: zones }, zone }: Placement): boolean {
    if (zone === null || !fits(noCapacity, this.availableQuota(spec, true))) return false;
    return zoneAllows(spec, zone, new Map(zones).set(zone, (zones.get(zone) ?? 1) - 1));
  }

  /** Places tasks of one job together; they start once all of it is durable. */
  placeTasks(job: ScheduledJob, at: { index: number; host: string }[], attempt?: number): void {
    this.placementCount += at.length;
    const chunks = new Set(at.map((a) => chunkOf(job, a.index)));
    for (const chunk of chunks) chunk.placedVersion = ++chunk.version;
    for (const a of at) {
      if (job.placements.has(a.index)) {
        this.log('error', 'placed already', { piece: taskKey(job.id, a.index) });
        continue;
      }
      const chunk = chunkOf(job, a.index);
      if (attempt !== undefined) chunk.lastAttempt = Math.max(chunk.lastAttempt, attempt);
      const own = { index: a.index, attempt: attempt ?? ++chunk.lastAttempt, host: a.host };
      const placement = this.addPlacement(job, chunk, own, true);
      if (this.settings.pool) this.unsentStarts.add(placement);
      // On its way: tasks that come later share the fetch.
      const machine = this.machines.get(a.host);
      if (machine) machine.images.set(job.spec.image, imageFetchS(job.spec, machine.type));
    }
    for (const chunk of chunks) this.taskWriter.enqueue(job, chunk);
    if (waitingTaskCount(job) === 0) job.repairAttempt = null;
  }

  /**
   * The attempt is proven gone (or over): it counts no more, and its record is to be removed. `lost`: it did not end, it
   * went with its machine.
   */
  removePlacement(placement: Placement, why: string, outcome: 'done' | 'again' | 'lost' = 'again'): void {
    const { job, chunk } = placement;
    if (job.placements.get(placement.index) !== placement) return;
    job.placements.delete(placement.index);
    if (job.placements.size === 0) job.fullyWaitingSince = this.clock.wall;
    this.machines.get(placement.host)?.placements.delete(taskKey(job.id, placement.index));
    this.countPlacement(placement, -1);
    chunk.version++;
    this.taskWriter.noteTermination(job, chunk);
    this.log('debug', 'task gone', {
      piece: taskKey(job.id, placement.index),
      attempt: placement.attempt,
      host: placement.host,
      why,
    });
    if (outcome === 'done') {
      if (!isCompleted(job, placement.index)) {
        chunk.completed.add(placement.index - chunk.firstTask);
        if (job.completedCount++ === 0) this.listener.firstTaskCompleted(job);
      }
      if (job.completedCount >= job.spec.tasks && job.spec.shape !== 'service' && !job.cancelled)
        this.taskWriter.finalizeJob(job);
      // Guards against a gang that was being taken down when its last task completed: the rest of it would never be placed again.
      if (job.placements.size === 0) this.endTearDown(job);
    } else if (!job.cancelled) {
      // Guards against handing a task out twice in one round: ahead of `fresh` it is found there, and after a
      // takeover `fresh` starts anew.
      if (placement.index < job.nextUnplaced) job.requeued.add(placement.index);
      if (job.spec.shape === 'gang') this.checkGang(job, placement, outcome === 'lost');
    }
    this.checkCancelled(job);
  }

  /**
   * A gang that lost a task while all of it still waited gets another with the same attempt. Any other cannot go on with
   * this attempt: it is taken down, then placed again whole.
   */
  private checkGang(job: ScheduledJob, lost?: Placement, withMachine = false): void {
    const missing = job.spec.tasks - job.completedCount - job.placements.size;
    if (missing > 0 && job.placements.size > 0) {
      if (lost && withMachine && canRepairGang(job, lost, this.clock.now, this.settings.workers)) {
        if (job.repairAttempt === null) this.log('info', 'gang mended', { job: job.id, lost: lost.index });
        job.repairAttempt = lost.attempt;
        return;
      }
      job.repairAttempt = null;
      if (!job.tearingDown) this.log('info', 'gang broken', { job: job.id, lost: lost?.index });
      job.tearingDown = true;
      for (const placement of job.placements.values()) this.requestStop(placement, 0);
      for (const placement of [...job.placements.values()])
        if (placement.placedByThisProcess && placement.startSentWith === null)
          this.removePlacement(placement, 'gang broken');
    }
    if (job.placements.size === 0) this.endTearDown(job);
  }

  /** Nothing of a gang's attempt is left: it may be placed again. */
  private endTearDown(job: ScheduledJob): void {
    job.tearingDown = false;
    job.repairAttempt = null;
  }

  private checkCancelled(job: ScheduledJob): void {
    if (!job.cancelled || job.placements.size > 0 || this.jobs.get(job.id) !== job) return;
    this.jobs.delete(job.id);
    this.taskWriter.deleteTaskRecords(job);
  }

  // ---- stops ----

  /** Stops a whole gang in order: every task gets time to save, all at about the same time. */
  stopGang(job: ScheduledJob): void {
    job.tearingDown = true;
    job.repairAttempt = null;
    for (const placement of job.placements.values()) this.requestStop(placement, job.spec.saveS);
  }

  /** Wants a task off its machine, with time to save; one that is being stopped already stays as it is. */
  requestStop(placement: Placement, graceS: number): void {
    if (placement.stopRequest !== null || placement.job.unreadable) return;
    placement.stopRequest = { graceS, since: this.clock.now };
    this.unsentStops.add(placement);
  }
}
