import type { Objective, Settings } from '../config/settings.js';
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { isLimitless, lateness, limitsOf, slackS } from './deadlines.js';
import { order } from './helios.js';

/** What the placement order looks at. */
export interface Queued {
  spec: JobSpec;
  at: number;
}

/** CPUs that differ by less than a factor of two count as alike, so that the limits decide between them. */
const sizeClass = (spec: JobSpec): number =>
  Math.floor(Math.log2(Math.max(order({ premium: isPremium(spec), cpus: spec.cpus }), 0.01)));

/**
 * Placement order: work within its team's guarantee, then urgency, then work that can still keep any of its limits, then
 * work whose next limit is less than `pressingS` away, then HELIOS's order, then work that has missed fewer limits, then
 * the job whose next limit comes first. Of work that can keep no limit any more, the job goes first that has waited longest
 * for what it takes: so that in an overload many small jobs are not kept waiting by a few large ones, nor these for ever.
 * Work that has no limit at all uses what the others of its urgency leave.
 */
export function inOrder<T extends Queued>(
  jobs: T[],
  objectives: Objective[],
  wall: number,
  pressingS: number,
  entitled: ReadonlySet<T> = new Set(),
): T[] {
  const keyed = jobs.map((job) => {
    const limits = limitsOf(job.spec, objectives);
    const ageS = (wall - job.at) / 1000;
    const runS = job.spec.estimateS * estimateShare;
    const slack = slackS(limits, ageS, runS);
    return {
      job,
      entitled: entitled.has(job),
      urgency: urgencyRank[job.spec.urgency],
      limitless: isLimitless(limits),
      pressing: slack < pressingS,
      lost: !isLimitless(limits) && !Number.isFinite(slack),
      late: lateness(limits, ageS, runS),
      size: sizeClass(job.spec),
      slack,
      response: ageS / (job.spec.tasks * Math.max(job.spec.cpus, least) * Math.max(runS, 1)),
    };
  });
  keyed.sort(
    (a, b) =>
      Number(b.entitled) - Number(a.entitled) ||
      b.urgency - a.urgency ||
      Number(a.limitless) - Number(b.limitless) ||
      Number(a.lost) - Number(b.lost) ||
      Number(b.pressing) - Number(a.pressing) ||
      b.size - a.size ||
      ((a.lost && b.lost) || (a.pressing && b.pressing) ? b.response - a.response : 0) ||
      a.late - b.late ||
      a.slack - b.slack ||
      a.job.at - b.job.at ||
      0,
  );
  return keyed.map((k) => k.job);
}

/** Work that is closer to a limit than this must have the next place that comes free. */
export const pressingS = (settings: Settings): number =>
  2 * settings.workers.report_s + settings.workers.lease_s;

/** Estimates are often wrong by half: a job counts as late only if even half of its estimate is too long. */
const estimateShare = 0.5;
/** CPUs that a task counts for at least. */
const least = 0.01;
