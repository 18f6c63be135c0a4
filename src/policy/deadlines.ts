import type { Objective } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';

/**
 * The moments a job's owner or the operators' objectives set for it, in seconds after its submission: by when
 * all of it should be done (its deadline, and that times a factor), or started.
 */
export interface Limits {
  done: number[];
  started: number[];
}

export function limitsOf(spec: JobSpec, objectives: Objective[]): Limits {
  const known = remembered.get(spec);
  if (known?.objectives === objectives) return known.limits;
  const limits = findLimits(spec, objectives);
  remembered.set(spec, { objectives, limits });
  return limits;
}

/** Neither a job's description nor the objectives change, and every round asks for every job. */
const remembered = new WeakMap<JobSpec, { objectives: Objective[]; limits: Limits }>();

function findLimits(spec: JobSpec, objectives: Objective[]): Limits {
  const done = new Set<number>();
  const started = new Set<number>();
  if (spec.deadlineS !== null) done.add(spec.deadlineS);
  for (const o of objectives) {
    if (o.class !== spec.class) continue;
    if (o.kind === 'deadline' && spec.deadlineS !== null) done.add(spec.deadlineS * o.times);
    if (o.kind === 'finished' && o.within_s !== undefined) done.add(o.within_s);
    if (o.kind === 'wait' && o.within_s !== undefined) started.add(o.within_s);
  }
  const sorted = (s: Set<number>) => [...s].sort((a, b) => a - b);
  return { done: sorted(done), started: sorted(started) };
}

/** True if nothing says by when a job should start or be done. */
export const isLimitless = (limits: Limits): boolean => limits.done.length + limits.started.length === 0;

/** True if the operators say by when work within a guarantee should start. */
export const promptGuarantee = (objectives: Objective[]): boolean =>
  objectives.some((o) => o.kind === 'guarantee' && o.within_s !== undefined);

/**
 * How many of its limits a job can no longer keep. Work that can still be in time goes before work that is
 * late already: otherwise, in an overload, every job waits behind those that nothing can save any more.
 */
export function lateness(limits: Limits, ageS: number, runS: number): number {
  let missed = 0;
  for (const l of limits.done) if (ageS + runS > l) missed++;
  for (const l of limits.started) if (ageS > l) missed++;
  return missed;
}

/** Time left until the next limit that can still be kept, for starting the last task; Infinity: none. */
export function slackS(limits: Limits, ageS: number, runS: number): number {
  let least = Infinity;
  for (const l of limits.done) if (l - runS - ageS >= 0) least = Math.min(least, l - runS - ageS);
  for (const l of limits.started) if (l - ageS >= 0) least = Math.min(least, l - ageS);
  return least;
}
