/** Division of the state service's write budget among the controllers. */
import { maxMinShares, sum } from './max-min-fairness.js';

/** The writes a second that a controller needs. */
export interface WriteDemand {
  /** For accepted jobs, and for the fleet. */
  readonly acceptedWork: number;
  /** For jobs that users submit. */
  readonly newJobs: number;
  /** How long it will take to write what is queued for accepted work, s. */
  readonly backlogS: number;
}

/** The writes a second that a controller may make. */
export interface WriteShare {
  readonly total: number;
  /** Of the total, for jobs that users submit. */
  readonly newJobs: number;
}

/** The part of the write budget that is allocated; the rest is slack for clocks and for what was not foreseen. */
export const allocatableShare = 0.94;
/**
 * Accepted work has priority up to this share: the first while it has no backlog, the second from the given backlog on. A job of
 * one task takes one write to be accepted and two afterwards, so in a lasting flood the balance is at two thirds; a short burst of
 * submissions is admitted at once, and its tasks follow seconds later.
 */
const minAcceptedWorkShare = 0.45;
const maxAcceptedWorkShare = 0.7;
const fullBacklogS = 8;
/** Submissions come in bursts: so many times their mean rate is allocated. */
export const burstFactor = 1.5;
/** Share of an equal share that each controller gets in any case. */
const minEqualShare = 0.25;

/**
 * Divides the writes, in the same way on every controller that has the same figures: accepted work has priority; what is left is
 * divided among the controllers to which users come; what remains is divided equally. `newJobsByMember`: how many jobs each is to
 * admit, where that follows from the shares of teams and classes.
 */
export function divideWrites(
  writesPerS: number,
  demands: readonly WriteDemand[],
  newJobsByMember: readonly number[] | null = null,
): WriteShare[] {
  const total = writesPerS * allocatableShare;
  const minimum = (total / demands.length) * minEqualShare;
  const acceptedWork = maxMinShares(
    total * acceptedWorkShare(demands),
    demands.map((d) => ({ demand: d.acceptedWork, weight: 1, minimum })),
  );
  const forNewJobs = total - sum(acceptedWork);
  const newJobs = maxMinShares(
    forNewJobs,
    demands.map((d, i) => {
      const demand = newJobsByMember ? newJobsByMember[i] : d.newJobs * burstFactor;
      return { demand: Math.max(minimum, demand), weight: 1, minimum };
    }),
  );
  // What new jobs leave is for accepted work beyond its priority share; the rest is for whatever comes next.
  const left = Math.max(0, forNewJobs - sum(newJobs));
  const moreAcceptedWork = maxMinShares(
    left,
    demands.map((d, i) => ({
      demand: Math.max(0, d.acceptedWork - acceptedWork[i]),
      weight: 1,
      minimum: 0,
    })),
  );
  const spare = Math.max(0, left - sum(moreAcceptedWork)) / demands.length;
  return demands.map((_, i) => ({
    total: acceptedWork[i] + moreAcceptedWork[i] + newJobs[i] + spare,
    newJobs: newJobs[i] + spare,
  }));
}

function acceptedWorkShare(demands: readonly WriteDemand[]): number {
  const backlog = Math.min(1, Math.max(0, ...demands.map((d) => d.backlogS)) / fullBacklogS);
  return minAcceptedWorkShare + (maxAcceptedWorkShare - minAcceptedWorkShare) * backlog;
}

/** The share of a controller that knows nothing of the others: an equal one, half of it for new jobs. */
export const equalShare = (writesPerS: number, memberCount: number): WriteShare => ({
  total: (writesPerS * allocatableShare) / memberCount,
  newJobs: (writesPerS * allocatableShare) / memberCount / 2,
});
