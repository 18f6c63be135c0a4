import type { Objective } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';

/**
 * The moments a job's owner or the operators' objectives set for it, in seconds after its submission: by when
 * all of it should be done (its deadline, and that times a factor), or started.
 */
export interface TimeLimits {
  completionS: number[];
  startS: number[];
}

export function timeLimitsOf(spec: JobSpec, objectives: Objective[]): TimeLimits {
  const cached = cachedLimits.get(spec);
  if (cached?.objectives === objectives) return cached.limits;
  const limits = computeTimeLimits(spec, objectives);
  cachedLimits.set(spec, { objectives, limits });
  return limits;
}

/** Neither a job's description nor the objectives change, and every round asks for every job. */
const cachedLimits = new WeakMap<JobSpec, { objectives: Objective[]; limits: TimeLimits }>();

function computeTimeLimits(spec: JobSpec, objectives: Objective[]): TimeLimits {
  const completionS = new Set<number>();
  const startS = new Set<number>();
  if (spec.deadlineS !== null) completionS.add(spec.deadlineS);
  for (const o of objectives) {
    if (o.class !== spec.class) continue;
    if (o.kind === 'deadline' && spec.deadlineS !== null) completionS.add(spec.deadlineS * o.times);
    if (o.kind === 'finished' && o.within_s !== undefined) completionS.add(o.within_s);
    if (o.kind === 'wait' && o.within_s !== undefined) startS.add(o.within_s);
  }
  const sorted = (s: Set<number>) => [...s].sort((a, b) => a - b);
  return { completionS: sorted(completionS), startS: sorted(startS) };
}

/** True if nothing says by when a job should start or be done. */
export const hasNoTimeLimits = (limits: TimeLimits): boolean =>
  limits.completionS.length + limits.startS.length === 0;

/** True if the operators say by when work within a guarantee should start. */
export const hasGuaranteeStartObjective = (objectives: Objective[]): boolean =>
  objectives.some((o) => o.kind === 'guarantee' && o.within_s !== undefined);

/**
 * How many of its limits a job can no longer keep. Work that can still be in time goes before work that is
 * late already: otherwise, in an overload, every job waits behind those that nothing can save any more.
 */
export function missedLimitCount(limits: TimeLimits, ageS: number, runS: number): number {
  let missed = 0;
  for (const l of limits.completionS) if (ageS + runS > l) missed++;
  for (const l of limits.startS) if (ageS > l) missed++;
  return missed;
}

/** Time left until the next limit that can still be kept, for starting the last task; Infinity: none. */
export function slackS(limits: TimeLimits, ageS: number, runS: number): number {
  let minSlackS = Infinity;
  for (const l of limits.completionS)
    if (l - runS - ageS >= 0) minSlackS = Math.min(minSlackS, l - runS - ageS);
  for (const l of limits.startS) if (l - ageS >= 0) minSlackS = Math.min(minSlackS, l - ageS);
  return minSlackS;
}
