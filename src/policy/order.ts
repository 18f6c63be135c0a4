import type { Objective, Settings } from '../config/settings.js';
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { hasNoTimeLimits, missedLimitCount, timeLimitsOf, slackS } from './deadlines.js';
import { placementPriority } from './helios.js';

/** What the placement order looks at. */
export interface QueuedJob {
  spec: JobSpec;
  acceptedAt: number;
}

/** CPUs that differ by less than a factor of two count as alike, so that the limits decide between them. */
const sizeClass = (spec: JobSpec): number =>
  Math.floor(Math.log2(Math.max(placementPriority({ premium: isPremium(spec), cpus: spec.cpus }), 0.01)));

/**
 * Placement order: work within its team's guarantee, then urgency, then work that can still keep any of its limits, then
 * work whose next limit is less than `criticalSlackS` away, then HELIOS's order, then work that has missed fewer limits, then
 * the job whose next limit comes first. Of work that can keep no limit any more, the job goes first that has waited longest
 * for what it takes: so that in an overload many small jobs are not kept waiting by a few large ones, nor these for ever.
 * Work that has no limit at all uses what the others of its urgency leave.
 */
export function inPlacementOrder<T extends QueuedJob>(
  jobs: T[],
  objectives: Objective[],
  wallMs: number,
  pressingS: number,
  withinGuarantee: ReadonlySet<T> = new Set(),
): T[] {
  const keyed = jobs.map((job) => {
    const limits = timeLimitsOf(job.spec, objectives);
    const ageS = (wallMs - job.acceptedAt) / 1000;
    const runS = job.spec.estimateS * optimisticEstimateShare;
    const slack = slackS(limits, ageS, runS);
    return {
      job,
      entitled: withinGuarantee.has(job),
      urgency: urgencyRank[job.spec.urgency],
      unlimited: hasNoTimeLimits(limits),
      critical: slack < pressingS,
      allMissed: !hasNoTimeLimits(limits) && !Number.isFinite(slack),
      missed: missedLimitCount(limits, ageS, runS),
      size: sizeClass(job.spec),
      slack,
      responseRatio: ageS / (job.spec.tasks * Math.max(job.spec.cpus, minCountedCpus) * Math.max(runS, 1)),
    };
  });
  keyed.sort(
    (a, b) =>
      Number(b.entitled) - Number(a.entitled) ||
      b.urgency - a.urgency ||
      Number(a.unlimited) - Number(b.unlimited) ||
      Number(a.allMissed) - Number(b.allMissed) ||
      Number(b.critical) - Number(a.critical) ||
      b.size - a.size ||
      ((a.allMissed && b.allMissed) || (a.critical && b.critical) ? b.responseRatio - a.responseRatio : 0) ||
      a.missed - b.missed ||
      a.slack - b.slack ||
      a.job.acceptedAt - b.job.acceptedAt ||
      0,
  );
  return keyed.map((k) => k.job);
}

/** Work that is closer to a limit than this must have the next place that comes free. */
export const criticalSlackS = (settings: Settings): number =>
  2 * settings.workers.report_s + settings.workers.lease_s;

/** Estimates are often wrong by half: a job counts as late only if even half of its estimate is too long. */
const optimisticEstimateShare = 0.5;
/** CPUs that a task counts for at least. */
const minCountedCpus = 0.01;
