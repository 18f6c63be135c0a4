/** Rewriting of jobs' records that no other write reaches after a change of the feature level in force. */
import { RecordMigration } from '../feature-levels/index.js';
import type { ShardState } from './shard-state/shard-state.js';

/** Rewrites the records of this process's jobs as the feature level in force has them, oldest first. */
export class RecordMigrator {
  private readonly pace: RecordMigration;
  /** Whether jobs may be stored otherwise than the level in force has it. */
  private isPending = true;

  constructor(private readonly shardState: ShardState) {
    const { operators, settings } = shardState;
    const reportIntervalMs = settings.workers.lease_s * 500;
    this.pace = new RecordMigration(settings.state.write_rps, operators['sweep-share'], reportIntervalMs);
  }

  /** Looks at all jobs again: another level is in force, or there are other jobs. */
  restart(): void {
    this.isPending = true;
  }

  /** Rewrites as many records as the share of the write budget for it allows now. */
  step(): void {
    if (!this.isPending) return;
    const { clock, jobs, log, replica, taskWriter } = this.shardState;
    let allowedWrites = this.pace.availableWrites(clock.now);
    let remaining = 0;
    for (const job of jobs.values()) {
      if (!taskWriter.needsMigration(job)) continue;
      remaining++;
      if (allowedWrites <= 0) continue;
      const writes = taskWriter.migrate(job);
      this.pace.recordWrites(writes);
      allowedWrites -= writes;
    }
    this.isPending = remaining > 0;
    const progress = this.pace.progress(clock.now, remaining);
    if (!progress) return;
    const { writeLevel: write } = replica.levels.state;
    log('info', remaining > 0 ? 'rewriting records' : 'records rewritten', { write, ...progress });
  }
}
