/** Takes up and lets go of shards, and gives placement rounds and upkeep their turns. */
import type { OperatorSettings } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import type { Matcher } from '../policy/matching.js';
import { ShardState } from './shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from './shard-state/types.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { TransactionBatcher } from './storage/index.js';
import type { Clock, Effect, Log } from './effects.js';
import type { Replica } from './replica.js';
import { RecordMigration } from '../feature-levels/index.js';
import { migrateOffSpot } from './scheduling/spot-migration.js';
import { schedulingCycle } from './scheduling/cycle.js';
import { summarize } from './summary.js';
import { MachineLifecycle } from './machine-lifecycle.js';

/** A placement round goes on for so many machines looked at, then lets others have their turn for this long. */
const maxExaminedPerSlice = 6000;
const sliceMs = 20;
const maintenanceMs = 1000;

/** The shards of this process: takes them up, lets go of them, and gives rounds and upkeep their turns. */
export class ShardManager {
  readonly shardState: ShardState;
  readonly heartbeatReconciler: HeartbeatReconciler;
  private readonly machineLifecycle: MachineLifecycle;
  /** The placement round under way. */
  private cycle: Generator<number, void> | null = null;
  private slicedAt = -Infinity;
  /** Machines that placement has looked at so far: what its work is measured by. */
  machinesExamined = 0;
  private lastCycleAt = -Infinity;
  /** When a move was last ordered, ms. */
  private lastMigrationAt = -Infinity;
  private lastMaintenanceAt = -1;
  private summarizedAt = 0;
  /** When a shard was last taken up, ms. */
  lastAcquiredAt = -Infinity;
  private readonly awaitingConfirmation = new Set<ScheduledMachine>();
  private readonly recordMigration: RecordMigration;
  /** Jobs may be stored otherwise than the level in force has it. */
  private migrationPending = true;

  /** What others add to the summary. */
  extraSummary: () => object = () => ({});

  constructor(
    private readonly settings: Settings,
    private readonly operators: OperatorSettings,
    private readonly run: string,
    private readonly replica: Replica,
    batcher: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
    matcher: Matcher | null = null,
  ) {
    const listener = {
      firstTaskCompleted: (job: ScheduledJob) => this.heartbeatReconciler.reassessFailedHosts(job),
    };
    this.shardState = new ShardState(settings, operators, replica, batcher, clock, log, listener, matcher);
    this.heartbeatReconciler = new HeartbeatReconciler(this.shardState);
    this.machineLifecycle = new MachineLifecycle(this.shardState, batcher);
    const { write_rps } = settings.state;
    this.recordMigration = new RecordMigration(
      write_rps,
      operators['sweep-share'],
      settings.workers.lease_s * 500,
    );
  }

  /** Another level is in force. */
  levelChanged(): void {
    this.migrationPending = true;
  }

  /** What no other write reaches is rewritten, in the order of age, as the level in force has it. */
  private migrateRecords(): void {
    if (!this.migrationPending) return;
    const { now } = this.clock;
    const { taskWriter: writer } = this.shardState;
    let allowed = this.recordMigration.availableWrites(now);
    let left = 0;
    for (const job of this.shardState.jobs.values()) {
      if (!writer.needsMigration(job)) continue;
      left++;
      if (allowed <= 0) continue;
      const writes = writer.migrate(job);
      this.recordMigration.recordWrites(writes);
      allowed -= writes;
    }
    this.migrationPending = left > 0;
    const progress = this.recordMigration.progress(now, left);
    const { writeLevel } = this.replica.levels.state;
    if (progress)
      this.log('info', left > 0 ? 'rewriting records' : 'records rewritten', {
        write: writeLevel,
        ...progress,
      });
  }

  get jobs(): ReadonlyMap<string, ScheduledJob> {
    return this.shardState.jobs;
  }

  get machines(): ReadonlyMap<string, ScheduledMachine> {
    return this.shardState.machines;
  }

  get ownedShards(): ReadonlySet<number> {
    return this.shardState.ownedShards;
  }

  /** Takes up shards that were granted to this process and lets go of those that were not. */
  reconcileShards(): void {
    const { shardState } = this;
    for (const shard of [...shardState.ownedShards])
      if (!this.isAssignedHere(shard)) {
        shardState.releaseShard(shard);
        this.log('info', 'shard lost', { shard, to: this.replica.shards.get(shard)?.owner });
      }
    for (const [shard, grant] of this.replica.shards)
      // The view must include all that earlier owners wrote, so it has to have reached the grant.
      if (
        !shardState.ownedShards.has(shard) &&
        this.isAssignedHere(shard) &&
        this.replica.watchRevision >= grant.modRevision
      ) {
        shardState.acquireShard(shard);
        this.migrationPending = true;
        this.lastAcquiredAt = this.clock.now;
        for (const machine of shardState.machines.values())
          if (machine.placements.size > 0) this.awaitingConfirmation.add(machine);
        this.log('info', 'shard taken up', {
          shard,
          grant: grant.modRevision,
          jobs: shardState.jobs.size,
          machines: shardState.machines.size,
        });
      }
  }

  /** Machines that held tasks when their shard was taken up and have neither reported nor gone since. */
  get unconfirmedMachines(): readonly ScheduledMachine[] {
    for (const machine of this.awaitingConfirmation)
      if (
        machine.confirmedAt > 0 ||
        machine.placements.size === 0 ||
        this.machines.get(machine.host) !== machine
      )
        this.awaitingConfirmation.delete(machine);
    return [...this.awaitingConfirmation];
  }

  private isAssignedHere(shard: number): boolean {
    const g = this.replica.shards.get(shard);
    if (this.replica.levels.mustStandBy) return false;
    return g?.owner === this.settings.member && g.instanceId === this.run;
  }

  tick(out: Effect[]): void {
    const { now } = this.clock;
    this.shardState.taskWriter.tick();
    if (this.lastMaintenanceAt < 0 || now - this.lastMaintenanceAt >= maintenanceMs) {
      if (this.lastMaintenanceAt >= 0) this.runMaintenance((now - this.lastMaintenanceAt) / 1000);
      this.lastMaintenanceAt = now;
    }
    this.shardState.taskWriter.flushTerminations();
    if (this.cycle === null && now - this.lastCycleAt >= this.operators['round-s'] * 1000) {
      this.lastCycleAt = now;
      this.cycle = schedulingCycle(this.shardState);
    }
    if (this.cycle !== null && now - this.slicedAt >= sliceMs) {
      this.slicedAt = now;
      this.runSlice(this.cycle);
    }
    this.heartbeatReconciler.sendStopOrders(out);
    this.heartbeatReconciler.requestHeartbeats(out);
  }

  private runSlice(round: Generator<number, void>): void {
    for (let looked = 0; looked < maxExaminedPerSlice;) {
      const step = round.next();
      if (step.done) {
        this.cycle = null;
        this.lastMigrationAt = migrateOffSpot(this.shardState, this.lastMigrationAt);
        return;
      }
      looked += step.value;
      this.machinesExamined += step.value;
    }
  }

  private runMaintenance(elapsedS: number): void {
    this.machineLifecycle.sweep(elapsedS);
    this.migrateRecords();
    const { now } = this.clock;
    if (now - this.summarizedAt < this.settings.workers.lease_s * 500) return;
    this.summarizedAt = now;
    summarize(this.shardState, this.machinesExamined, this.extraSummary());
  }
}
