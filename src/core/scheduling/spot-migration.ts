import { isPremium } from '../../model/job.js';
import { fits } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { residentLongEnough, migrationBudget } from '../../policy/guardrails.js';
import { migrationUrgency } from '../../policy/helios.js';
import { anchorPrice, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import type { ScheduledJob } from '../shard-state/types.js';
import { isFeasible } from './feasibility.js';

/**
 * Moves tasks off spot machines that cost more than on-demand ones, hazard included. Guardrails: a budget
 * per window, residency, only tasks that save, and only when there is a place to go. `lastMigrationAt` tells when a move was
 * last ordered, ms; so does the answer.
 */
export function migrateOffSpot(shardState: ShardState, lastMigrationAt: number): number {
  const now = shardState.clock.now;
  const weights = scoreWeights(shardState.operators);
  const hazard = shardState.hazard.perStep(shardState.operators['hazard-step-s']);
  if (now - lastMigrationAt < shardState.operators['move-window-s'] * 1000) return lastMigrationAt;
  let latestAt = lastMigrationAt;
  let runningTasks = 0;
  for (const machine of shardState.machines.values()) runningTasks += machine.placements.size;
  let budget = migrationBudget(shardState.operators['move-share'], runningTasks);
  for (const machine of shardState.machines.values()) {
    if (budget <= 0) break;
    if (!machine.record.spot || machine.placements.size === 0) continue;
    const candidate = machineCandidate(machine.type, true, { spotHazard: hazard, delayS: 0 });
    for (const placement of machine.placements.values()) {
      if (budget <= 0) break;
      const { spec } = placement.job;
      if (
        placement.phase !== 'running' ||
        placement.stopRequest ||
        placement.job.unreadable ||
        spec.checkpointS <= 0 ||
        isPremium(spec)
      )
        continue;
      if (!residentLongEnough((now - placement.runningSince) / 1000, shardState.operators['residency-s']))
        continue;
      if (
        migrationUrgency(
          candidate,
          anchorPrice(spec, shardState.replica.machineTypes, () => true),
          weights,
        ) <= 0
      )
        continue;
      if (!hasOnDemandRoom(shardState, placement.job)) continue;
      shardState.requestStop(placement, spec.saveS);
      budget--;
      latestAt = now;
      shardState.log('info', 'moving off spot', {
        job: placement.job.id,
        index: placement.index,
        host: machine.host,
      });
    }
  }
  return latestAt;
}

function hasOnDemandRoom(shardState: ShardState, job: ScheduledJob): boolean {
  for (const machine of shardState.machines.values())
    if (
      machine.record.shard === job.shard &&
      !machine.spot &&
      typeAllowed(job.spec, machine.type) &&
      fits(job.spec, freeCapacity(shardState, machine)) &&
      acceptsTasks(shardState, machine) &&
      isFeasible(shardState, job, machine)
    )
      return true;
  return false;
}
