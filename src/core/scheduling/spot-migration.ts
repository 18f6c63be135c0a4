/**
 * Migration of tasks off spot machines whose price, including the expected cost of interruptions, exceeds the on-demand
 * price.
 */
import { isPremium } from '../../model/job.js';
import { fits } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { residentLongEnough, migrationBudget } from '../../policy/guardrails.js';
import { migrationUrgency } from '../../policy/helios.js';
import { anchorPrice, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import type { ScheduledJob, Placement } from '../shard-state/types.js';
import { isFeasible } from './feasibility.js';

/**
 * Stops tasks on spot machines that are worth migrating, so that they are placed again elsewhere. Guardrails: a budget per time
 * window, a minimum residency, only tasks that save checkpoints, and only while an on-demand machine has capacity for them.
 * Takes and returns the time of the last migration, ms.
 */
export function migrateOffSpot(shardState: ShardState, lastMigrationAt: number): number {
  const { clock, operators, replica, machines } = shardState;
  const { now } = clock;
  if (now - lastMigrationAt < operators['move-window-s'] * 1000) return lastMigrationAt;
  const weights = scoreWeights(operators);
  const spotHazard = shardState.hazard.perStep(operators['hazard-step-s']);
  let runningTasks = 0;
  for (const machine of machines.values()) runningTasks += machine.placements.size;
  const budget = migrationBudget(operators['move-share'], runningTasks);
  let migrations = 0;
  for (const machine of machines.values()) {
    if (migrations >= budget) break;
    if (!machine.record.spot) continue;
    const candidate = machineCandidate(machine.type, true, { spotHazard, delayS: 0 });
    for (const placement of machine.placements.values()) {
      if (migrations >= budget) break;
      const { job, index } = placement;
      if (!isMigratable(shardState, placement)) continue;
      if (migrationUrgency(candidate, anchorPrice(job.spec, replica.machineTypes), weights) <= 0) continue;
      if (!hasOnDemandCapacity(shardState, job)) continue;
      shardState.requestStop(placement, job.spec.saveS);
      migrations++;
      shardState.log('info', 'migrating off spot', { job: job.id, index, host: machine.host });
    }
  }
  return migrations > 0 ? now : lastMigrationAt;
}

/** Whether the guardrails allow the migration of a task. */
function isMigratable(
  { clock, operators }: ShardState,
  { job, phase, stopRequest, runningSince }: Placement,
): boolean {
  if (phase !== 'running' || stopRequest !== null || job.unreadable) return false;
  if (job.spec.checkpointS <= 0 || isPremium(job.spec)) return false;
  return residentLongEnough((clock.now - runningSince) / 1000, operators['residency-s']);
}

/** Whether an on-demand machine of the job's shard has capacity for one of its tasks. */
function hasOnDemandCapacity(shardState: ShardState, job: ScheduledJob): boolean {
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
