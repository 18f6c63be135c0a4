import { urgencyRank } from '../../model/job.js';
import { hasGuaranteeStartObjective } from '../../policy/deadlines.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import type { CycleContext } from './shard-cycle.js';

/** Whether a waiting job may have a running task stopped (the protocol's "Preemption"). */
export function mayPreempt(
  context: CycleContext,
  job: ScheduledJob,
  victim: Placement,
  withinGuarantee: boolean,
): boolean {
  const { shardState } = context;
  if (victim.job.unreadable) return false;
  if (urgencyRank[victim.job.spec.urgency] < urgencyRank[job.spec.urgency]) return true;
  if (!withinGuarantee || victim.job.spec.team === job.spec.team || context.withinGuarantee.has(victim.job))
    return false;
  const guarantee = shardState.settings.teams.find((t) => t.name === victim.job.spec.team);
  const use = shardState.usageByTeam.get(victim.job.spec.team);
  return use !== undefined && (use.cpus > (guarantee?.cpus ?? 0) || use.gpus > (guarantee?.gpus ?? 0));
}

/** What stopping some tasks would free on a machine, and what would be lost by it. */
export interface PreemptionPlan {
  machine: ScheduledMachine;
  victims: Placement[];
  lostCpuS: number;
}

/**
 * Whether a job within its team's guarantee has others stopped for it at once. Only where operators say by when such jobs
 * are to start; elsewhere its limits decide, like anybody's: stopping others early loses their work.
 */
export const preemptsImmediately = (context: CycleContext, job: ScheduledJob): boolean =>
  context.withinGuarantee.has(job) && hasGuaranteeStartObjective(context.shardState.settings.objectives);

/** What is lost by stopping a task, in CPU-seconds: what it saves is not lost, but `restartS` to get going again. */
export function preemptionLoss(shardState: ShardState, placement: Placement, restartS: number): number {
  if (placement.stopRequest !== null || placement.runningSince === 0) return 0;
  const { spec } = placement.job;
  const ranS = (shardState.clock.now - placement.runningSince) / 1000;
  return Math.max(spec.cpus, 0.1) * (spec.checkpointS > 0 ? Math.min(ranS, spec.saveS + restartS) : ranS);
}
