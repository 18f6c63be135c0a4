/** Protection from starvation: room that is reserved for other work opens to jobs that have waited for long. */
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { allowsMachine, meetsConstraints } from './feasibility.js';
import { maxReservationAgeMs } from './reservation-ageing.js';
import type { ShardCycle } from './shard-cycle.js';

/** Whether all of a job has waited for longer than room may be reserved for other work. */
export const isStarving = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  !isSuspect(job) &&
  shardState.clock.wall - job.fullyWaitingSince > maxReservationAgeMs(shardState.settings);

/**
 * For a starving job, the machines with room that no job has taken for long. Guards against room that is reserved
 * (for a gang, for GPU work, by a team's quota) for something that does not come, or closed to a job that failed there once:
 * jobs that wait beside it would do so for ever. A job gets one task through by that, or one gang; then it is not starving any
 * more. Single tasks go to one machine until it is full, and to another a lease later: the others still drain for gangs.
 */
export function* agedMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (cycle.agedCapacity.length === 0 || !isStarving(shardState, job)) return;
  const { starvationRelief, clock, settings } = shardState;
  const mayOpenAnother = clock.now - starvationRelief.at > settings.workers.lease_s * 1000;
  for (const machine of cycle.agedCapacity) {
    capacityIndex.examined++;
    const isOpen = spec.shape === 'gang' || machine.host === starvationRelief.host || mayOpenAnother;
    if (isOpen && allowsMachine(spec, machine) && meetsConstraints(job, machine)) yield machine;
  }
}

/** Notes that a single task of a starving job was placed on a machine: further ones go there, too. */
export function recordAgedPlacement({ shardState }: ShardCycle, { host }: ScheduledMachine): void {
  if (shardState.starvationRelief.host !== host)
    shardState.starvationRelief = { host, at: shardState.clock.now };
}
