/** Acquires and releases shards, and runs the scheduling cycles and the maintenance of the owned shards. */
import type { OperatorSettings } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import type { Matcher } from '../policy/matching.js';
import type { Clock, Effect, Log } from './effects.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import { MachineHealth } from './machine-health.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import { RecordMigrator } from './record-migrator.js';
import type { Replica } from './replica.js';
import { CycleRunner } from './scheduling/cycle-runner.js';
import { ShardState } from './shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from './shard-state/types.js';
import type { TransactionBatcher } from './storage/index.js';
import { summarize } from './summary.js';
import { requestHeartbeats, sendStops } from './task-orders.js';

/** The interval between maintenance runs for the machines and stored records of the owned shards, ms. */
const maintenanceIntervalMs = 1000;

/** The dependencies of a shard manager. */
export interface ShardManagerOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  /** Identifies this process; each start of the member has a new one. */
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Clock;
  readonly log: Log;
  /** Matches the expressions of jobs with the attributes of machines; null if jobs have no expressions. */
  readonly matcher: Matcher | null;
}

/** Manages the shards that this process owns: acquires and releases them, and runs their scheduling and maintenance. */
export class ShardManager {
  readonly shardState: ShardState;
  readonly heartbeatReconciler: HeartbeatReconciler;
  private readonly settings: Settings;
  private readonly instanceId: string;
  private readonly replica: Replica;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly machineLifecycle: MachineLifecycle;
  private readonly recordMigrator: RecordMigrator;
  private readonly cycleRunner: CycleRunner;
  private lastMaintenanceAt = -1;
  private lastSummaryAt = 0;
  /** When a shard was last acquired, in monotonic ms. */
  lastAcquiredAt = -Infinity;
  /** Machines that had placements when their shard was acquired, and that have neither been confirmed nor gone since. */
  private readonly awaitingConfirmation = new Set<ScheduledMachine>();
  /** Provides additional fields for the logged summary. */
  extraSummaryFields: () => object = () => ({});

  constructor({ instanceId, ...options }: ShardManagerOptions) {
    this.settings = options.settings;
    this.instanceId = instanceId;
    this.replica = options.replica;
    this.clock = options.clock;
    this.log = options.log;
    const listener = {
      firstTaskCompleted: (job: ScheduledJob) => machineHealth.reassessFailedHosts(job),
    };
    this.shardState = new ShardState({ ...options, listener });
    const machineHealth = new MachineHealth(this.shardState);
    this.heartbeatReconciler = new HeartbeatReconciler(this.shardState, machineHealth);
    this.machineLifecycle = new MachineLifecycle(this.shardState, options.batcher);
    this.recordMigrator = new RecordMigrator(this.shardState);
    this.cycleRunner = new CycleRunner(this.shardState);
  }

  /** Handles a change of the feature level in force: records may have to be rewritten in another format. */
  onLevelChanged(): void {
    this.recordMigrator.restart();
  }

  /** The jobs of the owned shards, by job id. */
  get jobs(): ReadonlyMap<string, ScheduledJob> {
    return this.shardState.jobs;
  }

  /** The machines of the owned shards, by host. */
  get machines(): ReadonlyMap<string, ScheduledMachine> {
    return this.shardState.machines;
  }

  /** The numbers of the shards that this process owns. */
  get ownedShards(): ReadonlySet<number> {
    return this.shardState.ownedShards;
  }

  /** The total number of machines that scheduling cycles have examined. */
  get machinesExamined(): number {
    return this.cycleRunner.machinesExamined;
  }

  /** Acquires the shards that are granted to this process, and releases those that no longer are. */
  reconcileShards(): void {
    const { shardState, replica } = this;
    for (const shard of [...shardState.ownedShards])
      if (!this.isGrantedToThisProcess(shard)) {
        shardState.releaseShard(shard);
        this.log('info', 'shard released', { shard, to: replica.shards.get(shard)?.owner });
      }
    for (const [shard, { modRevision }] of replica.shards) {
      if (shardState.ownedShards.has(shard) || !this.isGrantedToThisProcess(shard)) continue;
      // The replica must include everything that earlier owners wrote, so it must have reached the revision of the grant.
      if (replica.watchRevision >= modRevision) this.acquireShard(shard, modRevision);
    }
  }

  private acquireShard(shard: number, modRevision: number): void {
    const { jobs, machines } = this.shardState;
    this.shardState.acquireShard(shard);
    this.recordMigrator.restart();
    this.lastAcquiredAt = this.clock.now;
    for (const machine of machines.values())
      if (machine.placements.size > 0) this.awaitingConfirmation.add(machine);
    const counts = { jobs: jobs.size, machines: machines.size };
    this.log('info', 'shard acquired', { shard, grant: modRevision, ...counts });
  }

  /** The machines that had placements when their shard was acquired, and that have neither been confirmed nor gone since. */
  get unconfirmedMachines(): readonly ScheduledMachine[] {
    for (const machine of this.awaitingConfirmation) {
      const isCurrent = this.machines.get(machine.host) === machine;
      if (machine.confirmedAt > 0 || machine.placements.size === 0 || !isCurrent)
        this.awaitingConfirmation.delete(machine);
    }
    return [...this.awaitingConfirmation];
  }

  private isGrantedToThisProcess(shard: number): boolean {
    if (this.replica.levels.mustStandBy) return false;
    const grant = this.replica.shards.get(shard);
    return grant?.owner === this.settings.member && grant.instanceId === this.instanceId;
  }

  /** Runs one step: writes, maintenance and scheduling that are due, and orders that are sent without waiting for a heartbeat. */
  tick(out: Effect[]): void {
    const { now } = this.clock;
    const { taskWriter } = this.shardState;
    taskWriter.tick();
    if (this.lastMaintenanceAt < 0 || now - this.lastMaintenanceAt >= maintenanceIntervalMs) {
      if (this.lastMaintenanceAt >= 0) this.runMaintenance((now - this.lastMaintenanceAt) / 1000);
      this.lastMaintenanceAt = now;
    }
    taskWriter.flushTerminations();
    this.cycleRunner.tick();
    sendStops(this.shardState, out);
    requestHeartbeats(this.shardState, out);
  }

  private runMaintenance(elapsedS: number): void {
    this.machineLifecycle.sweep(elapsedS);
    this.recordMigrator.step();
    const { now } = this.clock;
    if (now - this.lastSummaryAt < this.settings.workers.lease_s * 500) return;
    this.lastSummaryAt = now;
    summarize(this.shardState, this.machinesExamined, this.extraSummaryFields());
  }
}
