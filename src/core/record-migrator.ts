/** Rewrites job records after a change of the feature level in force, if no other write has done so. */
import { MigrationPacer } from '../feature-levels/index.js';
import type { ShardState } from './shard-state/shard-state.js';

/** Rewrites the records of this process's jobs in the formats of the feature level in force, oldest first. */
export class RecordMigrator {
  private readonly migration: MigrationPacer;
  /** Whether there may be jobs stored in the formats of another level. */
  private isPending = true;

  constructor(private readonly shardState: ShardState) {
    const { operators, settings } = shardState;
    const reportIntervalMs = settings.workers.lease_s * 500;
    this.migration = new MigrationPacer(settings.state.write_rps, operators['sweep-share'], reportIntervalMs);
  }

  /** Causes all jobs to be checked again. To be called when the level in force or the set of jobs has changed. */
  restart(): void {
    this.isPending = true;
  }

  /** Rewrites as many records as the migration's share of the write budget allows now. */
  step(): void {
    if (!this.isPending) return;
    const { clock, jobs, log, replica, taskWriter } = this.shardState;
    let allowedWrites = this.migration.availableWrites(clock.now);
    let remaining = 0;
    for (const job of jobs.values()) {
      if (!taskWriter.needsMigration(job)) continue;
      remaining++;
      if (allowedWrites <= 0) continue;
      const writes = taskWriter.migrate(job);
      this.migration.recordWrites(writes);
      allowedWrites -= writes;
    }
    this.isPending = remaining > 0;
    const progress = this.migration.progress(clock.now, remaining);
    if (!progress) return;
    const { writeLevel: write } = replica.levels.state;
    log('info', remaining > 0 ? 'rewriting records' : 'records rewritten', { write, ...progress });
  }
}
