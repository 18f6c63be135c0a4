/** Time limits of jobs (deadlines and service-level objectives), and the slack left until they are missed. */
import type { Objective } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';

/**
 * The time limits of a job, set by its owner or by the operators' objectives, in seconds after its submission, in ascending
 * order.
 */
export interface TimeLimits {
  /**
   * Limits for the completion of all tasks: the job's deadline, the deadline times an objective's factor, and objectives'
   * limits.
   */
  readonly completionS: readonly number[];
  /** Limits for the start of all tasks. */
  readonly startS: readonly number[];
}

/** The time limits of a job, cached by its specification and the objectives. */
export function timeLimitsOf(spec: JobSpec, objectives: readonly Objective[]): TimeLimits {
  const cached = cachedLimits.get(spec);
  if (cached?.objectives === objectives) return cached.limits;
  const limits = computeTimeLimits(spec, objectives);
  cachedLimits.set(spec, { objectives, limits });
  return limits;
}

/** Each scheduling cycle needs the limits of every job, and neither a job's specification nor the objectives change. */
const cachedLimits = new WeakMap<JobSpec, { objectives: readonly Objective[]; limits: TimeLimits }>();

function computeTimeLimits(spec: JobSpec, objectives: readonly Objective[]): TimeLimits {
  const completionS = new Set<number>();
  const startS = new Set<number>();
  if (spec.deadlineS !== null) completionS.add(spec.deadlineS);
  for (const o of objectives) {
    if (o.class !== spec.class) continue;
    if (o.kind === 'deadline' && spec.deadlineS !== null) completionS.add(spec.deadlineS * o.times);
    if (o.kind === 'finished' && o.within_s !== undefined) completionS.add(o.within_s);
    if (o.kind === 'wait' && o.within_s !== undefined) startS.add(o.within_s);
  }
  const ascending = (limits: ReadonlySet<number>): number[] => [...limits].sort((a, b) => a - b);
  return { completionS: ascending(completionS), startS: ascending(startS) };
}

/** Whether a job has no limits for its start or its completion. */
export const hasNoTimeLimits = (limits: TimeLimits): boolean =>
  limits.completionS.length + limits.startS.length === 0;

/** Whether the operators have set a limit for the start of jobs within their team's guarantee. */
export const hasGuaranteeStartObjective = (objectives: readonly Objective[]): boolean =>
  objectives.some((o) => o.kind === 'guarantee' && o.within_s !== undefined);

/**
 * How many of its limits a job can no longer meet. Jobs that can still be in time are placed before jobs that are late already:
 * otherwise, under overload, every job would wait behind those that are certain to miss their limits.
 */
export function missedLimitCount(limits: TimeLimits, ageS: number, runS: number): number {
  let missed = 0;
  for (const limit of limits.completionS) if (ageS + runS > limit) missed++;
  for (const limit of limits.startS) if (ageS > limit) missed++;
  return missed;
}

/** The time left to start the last task before the next limit that can still be met is missed; Infinity if there is none. */
export function slackS(limits: TimeLimits, ageS: number, runS: number): number {
  let minSlackS = Infinity;
  for (const limit of limits.completionS)
    if (limit - runS - ageS >= 0) minSlackS = Math.min(minSlackS, limit - runS - ageS);
  for (const limit of limits.startS) if (limit - ageS >= 0) minSlackS = Math.min(minSlackS, limit - ageS);
  return minSlackS;
}
