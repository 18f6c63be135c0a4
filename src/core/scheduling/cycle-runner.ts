/** Starts scheduling cycles and runs them in time slices, between which heartbeats and requests are processed. */
import type { ShardState } from '../shard-state/shard-state.js';
import { schedulingCycle } from './cycle.js';
import { migrateOffSpot } from './spot-migration.js';

/** A slice ends once the cycle has examined this many machines in it. */
const maxExaminedPerSlice = 6000;

/** The minimum time between the starts of two slices, ms. */
const sliceIntervalMs = 20;

/** Runs scheduling cycles over all shards of this process, one at a time. */
export class CycleRunner {
  /** The number of machines examined in all cycles; a measure of the scheduling work done. */
  machinesExamined = 0;
  /** The current cycle; null if none is running. */
  private cycle: Generator<number, void> | null = null;
  private cycleStartedAt = -Infinity;
  private sliceStartedAt = -Infinity;
  /** The time at which tasks were last migrated off spot machines, ms. */
  private lastMigrationAt = -Infinity;

  constructor(private readonly shardState: ShardState) {}

  /** Starts a cycle if one is due, and runs a slice of the current cycle if that is due. */
  tick(): void {
    const { now } = this.shardState.clock;
    const intervalMs = this.shardState.operators['round-s'] * 1000;
    if (this.cycle === null && now - this.cycleStartedAt >= intervalMs) {
      this.cycleStartedAt = now;
      this.cycle = schedulingCycle(this.shardState);
    }
    if (this.cycle !== null && now - this.sliceStartedAt >= sliceIntervalMs) {
      this.sliceStartedAt = now;
      this.runSlice(this.cycle);
    }
  }

  /** Runs a cycle until it ends or the slice is used up. */
  private runSlice(cycle: Generator<number, void>): void {
    for (let examined = 0; examined < maxExaminedPerSlice;) {
      const step = cycle.next();
      if (step.done) {
        this.cycle = null;
        this.lastMigrationAt = migrateOffSpot(this.shardState, this.lastMigrationAt);
        return;
      }
      examined += step.value;
      this.machinesExamined += step.value;
    }
  }
}
