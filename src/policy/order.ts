/** The order in which waiting jobs are placed. */
import type { Objective, Settings } from '../config/settings.js';
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { hasNoTimeLimits, missedLimitCount, timeLimitsOf, slackS } from './deadlines.js';
import { placementPriority } from './helios.js';

/** What the placement order looks at. */
export interface QueuedJob {
  readonly spec: JobSpec;
  /** Time of day of its acceptance, ms. */
  readonly acceptedAt: number;
}

/** Estimates are often wrong by half: a job counts as late only if even half of its estimate is too long. */
const optimisticEstimateShare = 0.5;
/** CPUs that a task counts for at least. */
const minCountedCpus = 0.01;

/** CPUs that differ by less than a factor of two count as alike, so that the limits decide between them. */
const sizeClass = (spec: JobSpec): number =>
  Math.floor(
    Math.log2(Math.max(placementPriority({ premium: isPremium(spec), cpus: spec.cpus }), minCountedCpus)),
  );

/** What two jobs are compared by; in the order of weight. */
interface OrderKey<T extends QueuedJob> {
  readonly job: T;
  readonly withinGuarantee: boolean;
  readonly urgency: number;
  /** Nothing says by when it should start or be done. */
  readonly unlimited: boolean;
  /** It can keep none of its limits any more. */
  readonly allMissed: boolean;
  /** Its next limit is close. */
  readonly critical: boolean;
  readonly sizeClass: number;
  /** How long it has waited, relative to the CPU time that it takes. */
  readonly responseRatio: number;
  readonly missedLimits: number;
  readonly slackS: number;
}

const trueFirst = (a: boolean, b: boolean): number => Number(b) - Number(a);
const trueLast = (a: boolean, b: boolean): number => Number(a) - Number(b);

function compareKeys(a: OrderKey<QueuedJob>, b: OrderKey<QueuedJob>): number {
  const byResponseRatio = (a.allMissed && b.allMissed) || (a.critical && b.critical);
  return (
    trueFirst(a.withinGuarantee, b.withinGuarantee) ||
    b.urgency - a.urgency ||
    trueLast(a.unlimited, b.unlimited) ||
    trueLast(a.allMissed, b.allMissed) ||
    trueFirst(a.critical, b.critical) ||
    b.sizeClass - a.sizeClass ||
    (byResponseRatio ? b.responseRatio - a.responseRatio : 0) ||
    a.missedLimits - b.missedLimits ||
    // NaN where neither has a limit left to keep: the next criterion decides.
    a.slackS - b.slackS ||
    a.job.acceptedAt - b.job.acceptedAt
  );
}

/**
 * Placement order: work within its team's guarantee, then urgency, then work that can still keep any of its limits, then
 * work whose next limit is less than `criticalS` away, then HELIOS's order, then work that has missed fewer limits, then
 * the job whose next limit comes first. Of work that can keep no limit any more, the job goes first that has waited longest
 * for what it takes: so that in an overload many small jobs are not kept waiting by a few large ones, nor these for ever.
 * Work that has no limit at all uses what the others of its urgency leave.
 */
export function inPlacementOrder<T extends QueuedJob>(
  jobs: readonly T[],
  objectives: readonly Objective[],
  wallMs: number,
  criticalS: number,
  withinGuarantee: ReadonlySet<T> = new Set(),
): T[] {
  const keyed = jobs.map((job): OrderKey<T> => {
    const { spec } = job;
    const limits = timeLimitsOf(spec, objectives);
    const ageS = (wallMs - job.acceptedAt) / 1000;
    const runS = spec.estimateS * optimisticEstimateShare;
    const slack = slackS(limits, ageS, runS);
    const unlimited = hasNoTimeLimits(limits);
    return {
      job,
      withinGuarantee: withinGuarantee.has(job),
      urgency: urgencyRank[spec.urgency],
      unlimited,
      allMissed: !unlimited && !Number.isFinite(slack),
      critical: slack < criticalS,
      sizeClass: sizeClass(spec),
      responseRatio: ageS / (spec.tasks * Math.max(spec.cpus, minCountedCpus) * Math.max(runS, 1)),
      missedLimits: missedLimitCount(limits, ageS, runS),
      slackS: slack,
    };
  });
  keyed.sort(compareKeys);
  return keyed.map((k) => k.job);
}

/** Work that is closer to a limit than this must have the next place that comes free. */
export const criticalSlackS = (settings: Settings): number =>
  2 * settings.workers.report_s + settings.workers.lease_s;
