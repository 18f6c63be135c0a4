/** The order in which waiting jobs are placed. */
import type { Objective, Settings } from '../config/settings.js';
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { hasNoTimeLimits, missedLimitCount, timeLimitsOf, slackS } from './deadlines.js';
import { placementPriority } from './helios.js';

/** The properties of a job that determine its position in the placement order. */
export interface QueuedJob {
  readonly spec: JobSpec;
  /** The wall-clock time at which it was accepted, ms. */
  readonly acceptedAt: number;
}

/** Estimates are often wrong by half, so a job counts as late only if it would be too late even with half of its estimate. */
const optimisticEstimateShare = 0.5;
/** The minimum number of CPUs that a task counts as. */
const minCountedCpus = 0.01;

/** Rounds the placement priority down to a power of two, so that the time limits decide between tasks of similar size. */
const sizeClass = (spec: JobSpec): number =>
  Math.floor(
    Math.log2(Math.max(placementPriority({ premium: isPremium(spec), cpus: spec.cpus }), minCountedCpus)),
  );

/** The criteria by which two jobs are compared, the most important first. */
interface OrderKey<T extends QueuedJob> {
  readonly job: T;
  readonly withinGuarantee: boolean;
  readonly urgency: number;
  /** Whether it has no time limits. */
  readonly unlimited: boolean;
  /** Whether it has time limits, but can no longer meet any of them. */
  readonly allMissed: boolean;
  /** Whether its next time limit is close. */
  readonly critical: boolean;
  readonly sizeClass: number;
  /** The time it has waited, relative to the CPU time that it is expected to need. */
  readonly responseRatio: number;
  readonly missedLimits: number;
  readonly slackS: number;
}

/** Compares numbers in ascending order, infinite ones too. */
export const compareNumbers = (a: number, b: number): number => Number(a > b) - Number(a < b);

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
    compareNumbers(a.slackS, b.slackS) ||
    a.job.acceptedAt - b.job.acceptedAt
  );
}

/**
 * Sorts jobs into placement order: first jobs within their team's guarantee, then by urgency, then jobs that can still meet
 * one of their time limits, then jobs whose slack is less than `criticalS`, then HELIOS's placement priority, then jobs that
 * have missed fewer limits, then by slack, smallest first. Among jobs that can no longer meet any limit, and among those with
 * little slack, jobs of similar size are sorted by waiting time relative to the CPU time needed: under overload, a few large
 * jobs then do not block many small ones, and are not postponed forever themselves. Jobs without any time limit come last
 * among those of their urgency.
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

/** The slack below which a job must get the next capacity that becomes free, s. */
export const criticalSlackS = (settings: Settings): number =>
  2 * settings.workers.report_s + settings.workers.lease_s;
