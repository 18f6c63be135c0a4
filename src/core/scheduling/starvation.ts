/** Room that is kept for others opens to work that has waited for long. */
import { typeAllowed } from '../../policy/admission.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { meetsConstraints } from './feasibility.js';
import { maxReservationAgeMs } from './reservation-ageing.js';
import type { ShardCycle } from './shard-cycle.js';

/** Whether all of a job has waited for long. */
export const isStarving = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  !isSuspect(job) &&
  shardState.clock.wall - job.fullyWaitingSince > maxReservationAgeMs(shardState.settings);

/**
 * Machines with room that nobody has taken for long, for a job that has waited for long. Guards against room that is kept
 * (for a gang, for GPU work, by a team's limit) for something that does not come, or shut to a job that failed there once:
 * whoever waits beside it would do so for ever. A job gets one task through by that, or one gang; then it is not overdue any
 * more. Single tasks go to one machine until it is full, and to another a lease later: the others still run empty for gangs.
 */
export function* agedMachines(job: ScheduledJob, cycle: ShardCycle): Generator<ScheduledMachine> {
  const { spec } = job;
  const { shardState, capacityIndex } = cycle;
  if (cycle.agedCapacity.length === 0 || !isStarving(shardState, job)) return;
  const { now } = shardState.clock;
  const mayOpenAnother = now - shardState.starvationRelief.at > shardState.settings.workers.lease_s * 1000;
  for (const machine of cycle.agedCapacity) {
    capacityIndex.examined++;
    if (spec.shape !== 'gang' && machine.host !== shardState.starvationRelief.host && !mayOpenAnother)
      continue;
    if (
      typeAllowed(spec, machine.type) &&
      (!machine.spot || spotAllowed(spec)) &&
      meetsConstraints(job, machine)
    )
      yield machine;
  }
}

/** A single task has gone to this machine. */
export function recordAgedPlacement({ shardState }: ShardCycle, { host }: ScheduledMachine): void {
  if (shardState.starvationRelief.host !== host)
    shardState.starvationRelief = { host, at: shardState.clock.now };
}
