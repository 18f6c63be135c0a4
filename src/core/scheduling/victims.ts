import { urgencyRank } from '../../model/job.js';
import { hasGuaranteeStartObjective } from '../../policy/deadlines.js';
import type { ShardState } from '../shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import type { Round } from './shard.js';

/** Whether a waiting job may have a running task stopped (the protocol's "Preemption"). */
export function mayStop(round: Round, job: ScheduledJob, victim: Placement, entitled: boolean): boolean {
  const { shardState } = round;
  if (victim.job.unreadable) return false;
  if (urgencyRank[victim.job.spec.urgency] < urgencyRank[job.spec.urgency]) return true;
  if (!entitled || victim.job.spec.team === job.spec.team || round.entitled.has(victim.job)) return false;
  const theirs = shardState.settings.teams.find((t) => t.name === victim.job.spec.team);
  const use = shardState.usageByTeam.get(victim.job.spec.team);
  return use !== undefined && (use.cpus > (theirs?.cpus ?? 0) || use.gpus > (theirs?.gpus ?? 0));
}

/** What stopping some tasks would free on a machine, and what would be lost by it. */
export interface Plan {
  m: ScheduledMachine;
  victims: Placement[];
  lost: number;
}

/**
 * Whether a job within its team's guarantee has others stopped for it at once. Only where operators say by when such jobs
 * are to start; elsewhere its limits decide, like anybody's: stopping others early loses their work.
 */
export const demandsNow = (round: Round, job: ScheduledJob): boolean =>
  round.entitled.has(job) && hasGuaranteeStartObjective(round.shardState.settings.objectives);

/** What is lost by stopping a task, in CPU-seconds: what it saves is not lost, but `againS` to get going again. */
export function loss(shardState: ShardState, p: Placement, againS: number): number {
  if (p.stopRequest !== null || p.runningSince === 0) return 0;
  const { spec } = p.job;
  const ranS = (shardState.clock.now - p.runningSince) / 1000;
  return Math.max(spec.cpus, 0.1) * (spec.checkpointS > 0 ? Math.min(ranS, spec.saveS + againS) : ranS);
}
