/** Time limits of jobs (deadlines and service-level objectives), and how much slack is left until they are missed. */
import type { Objective } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';

/**
 * The time limits that a job's owner or the operators' objectives set for it, in seconds after its submission, in
 * ascending order.
 */
export interface TimeLimits {
  /** By when all of the job should be done: its deadline, that times an objective's factor, an objective's limit. */
  readonly completionS: readonly number[];
  /** By when all of the job should have started. */
  readonly startS: readonly number[];
}

/** The time limits of a job. */
export function timeLimitsOf(spec: JobSpec, objectives: readonly Objective[]): TimeLimits {
  const cached = cachedLimits.get(spec);
  if (cached?.objectives === objectives) return cached.limits;
  const limits = computeTimeLimits(spec, objectives);
  cachedLimits.set(spec, { objectives, limits });
  return limits;
}

/** Neither a job's description nor the objectives change, and every scheduling cycle asks for every job. */
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

/** Whether nothing says by when a job should start or be done. */
export const hasNoTimeLimits = (limits: TimeLimits): boolean =>
  limits.completionS.length + limits.startS.length === 0;

/** Whether the operators say by when work within a team's guarantee should start. */
export const hasGuaranteeStartObjective = (objectives: readonly Objective[]): boolean =>
  objectives.some((o) => o.kind === 'guarantee' && o.within_s !== undefined);

/**
 * How many of its limits a job can no longer keep. Work that can still be in time goes before work that is
 * late already: otherwise, in an overload, every job waits behind those that nothing can save any more.
 */
export function missedLimitCount(limits: TimeLimits, ageS: number, runS: number): number {
  let missed = 0;
  for (const limit of limits.completionS) if (ageS + runS > limit) missed++;
  for (const limit of limits.startS) if (ageS > limit) missed++;
  return missed;
}

/** Time left for starting the last task until the next limit that can still be kept is missed; Infinity: there is none. */
export function slackS(limits: TimeLimits, ageS: number, runS: number): number {
  let minSlackS = Infinity;
  for (const limit of limits.completionS)
    if (limit - runS - ageS >= 0) minSlackS = Math.min(minSlackS, limit - runS - ageS);
  for (const limit of limits.startS) if (limit - ageS >= 0) minSlackS = Math.min(minSlackS, limit - ageS);
  return minSlackS;
}
