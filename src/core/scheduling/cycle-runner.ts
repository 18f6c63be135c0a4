/** Starts scheduling cycles and runs them in slices, between which heartbeats and requests get their turn. */
import type { ShardState } from '../shard-state/shard-state.js';
import { schedulingCycle } from './cycle.js';
import { migrateOffSpot } from './spot-migration.js';

/** A slice ends once the cycle has examined so many machines. */
const maxExaminedPerSlice = 6000;

/** The least time from the start of one slice to that of the next, ms. */
const sliceIntervalMs = 20;

/** Runs scheduling cycles over all shards of this process, one at a time. */
export class CycleRunner {
  /** How many machines all cycles have examined: the measure of their work. */
  machinesExamined = 0;
  /** The cycle under way. */
  private cycle: Generator<number, void> | null = null;
  private cycleStartedAt = -Infinity;
  private sliceStartedAt = -Infinity;
  /** When a migration off spot machines was last ordered, ms. */
  private lastMigrationAt = -Infinity;

  constructor(private readonly shardState: ShardState) {}

  /** Starts a cycle if one is due, and runs a slice of the one under way if that is due. */
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
