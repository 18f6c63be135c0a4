/** Starvation protection: jobs that have waited for too long may use capacity that is reserved for other jobs. */
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { allowsMachine, meetsConstraints } from './feasibility.js';
import { maxReservationAgeMs } from './reservation-ageing.js';
import type { ShardCycle } from './shard-cycle.js';

/** Whether a job has waited, with none of its tasks placed, for longer than free capacity may stay reserved for other jobs. */
export const isStarving = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  !isSuspect(job) &&
  shardState.clock.wall - job.unplacedSince > maxReservationAgeMs(shardState.settings);

/**
 * The machines with aged capacity that a starving job may use. Without this, jobs could wait forever for free capacity that
 * is reserved (for a gang, for GPU jobs, or by a team's quota) but never used, or that is on a machine where the job failed
 * once. One task, or one gang, is placed this way; then the job is no longer starving. Single tasks are placed on one machine
 * until it is full, and on another one only after one worker lease, so that the other machines still drain for gangs.
 */
export function* agedMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (cycle.agedCapacity.length === 0 || !isStarving(shardState, job)) return;
  const { lastAgedPlacement, clock, settings } = shardState;
  const mayOpenAnother = clock.now - lastAgedPlacement.at > settings.workers.lease_s * 1000;
  for (const machine of cycle.agedCapacity) {
    capacityIndex.examined++;
    const isOpen = spec.shape === 'gang' || machine.host === lastAgedPlacement.host || mayOpenAnother;
    if (isOpen && allowsMachine(spec, machine) && meetsConstraints(job, machine)) yield machine;
  }
}

/** Records that a single task of a starving job was placed on a machine, so that further ones are placed there, too. */
export function recordAgedPlacement({ shardState }: ShardCycle, { host }: ScheduledMachine): void {
  if (shardState.lastAgedPlacement.host !== host)
    shardState.lastAgedPlacement = { host, at: shardState.clock.now };
}
