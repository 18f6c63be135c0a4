/** Preemption victims: which tasks a job may preempt, and how much work that loses. */
import { urgencyRank, type JobSpec } from '../../model/job.js';
import { hasGuaranteeStartObjective } from '../../policy/deadlines.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import type { CycleContext } from './shard-cycle.js';

/** The tasks to preempt on a machine to free capacity there, and the work that this loses. */
export interface PreemptionPlan {
  readonly machine: ScheduledMachine;
  readonly victims: readonly Placement[];
  /** CPU-seconds of work that has to be repeated. */
  readonly lostCpuS: number;
}

/** Compares plans by loss, smallest first. */
export const byLoss = (a: PreemptionPlan, b: PreemptionPlan): number => a.lostCpuS - b.lostCpuS;

/**
 * Whether a waiting job may preempt a placed task: one of lower urgency or, if the job is within its team's guarantee, one of
 * another team that uses more than its own guarantee. See the protocol's section on preemption.
 */
export function mayPreempt(
  { shardState, withinGuarantee }: CycleContext,
  job: ScheduledJob,
  victim: Placement,
): boolean {
  if (victim.job.unreadable) return false;
  const { team, urgency } = victim.job.spec;
  if (urgencyRank[urgency] < urgencyRank[job.spec.urgency]) return true;
  if (!withinGuarantee.has(job) || team === job.spec.team || withinGuarantee.has(victim.job)) return false;
  const guarantee = shardState.settings.teams.find((t) => t.name === team);
  const usage = shardState.usageByTeam.get(team);
  return usage !== undefined && (usage.cpus > (guarantee?.cpus ?? 0) || usage.gpus > (guarantee?.gpus ?? 0));
}

/** Whether any task of lower urgency than the job's is placed. */
export const lowerUrgencyPlaced = ({ placementsByUrgency }: ShardState, spec: JobSpec): boolean =>
  [...placementsByUrgency].some(([urgency, count]) => count > 0 && urgency < urgencyRank[spec.urgency]);

/**
 * Whether a job preempts as soon as it cannot be placed. That applies to jobs within their team's guarantee, and only if an
 * objective limits their time to start. Otherwise the job's time limits decide, as for any other job: preempting early loses
 * work.
 */
export const preemptsImmediately = (context: CycleContext, job: ScheduledJob): boolean =>
  context.withinGuarantee.has(job) && hasGuaranteeStartObjective(context.shardState.settings.objectives);

/**
 * The work lost by preempting a task, in CPU-seconds: its whole run time or, if it saves a checkpoint, only the time to save it
 * plus `restartS` for the restart.
 */
export function preemptionLoss(shardState: ShardState, placement: Placement, restartS: number): number {
  if (placement.stopRequest !== null || placement.runningSince === 0) return 0;
  const { spec } = placement.job;
  const ranS = (shardState.clock.now - placement.runningSince) / 1000;
  return Math.max(spec.cpus, 0.1) * (spec.checkpointS > 0 ? Math.min(ranS, spec.saveS + restartS) : ranS);
}
