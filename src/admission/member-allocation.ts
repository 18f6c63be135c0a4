/** Division of the state service's write budget among the controllers. */
import { maxMinShares, sum } from './max-min-fairness.js';

/** The writes per second that a controller needs. */
export interface WriteDemand {
  /** Writes for accepted jobs and for the fleet. */
  readonly acceptedWork: number;
  /** Writes for jobs that users submit. */
  readonly newJobs: number;
  /** The time it will take to write what is queued for accepted work, s. */
  readonly backlogS: number;
}

/** The writes per second that a controller may make. */
export interface WriteShare {
  readonly total: number;
  /** The part of the total that is for jobs that users submit. */
  readonly newJobs: number;
}

/** The share of the write budget that is allocated; the rest is a reserve for clock differences and unforeseen writes. */
export const allocatableShare = 0.94;
/**
 * The share of the writes up to which accepted work has priority while it has no backlog. A short burst of submissions is thus
 * admitted at once, and its tasks follow seconds later.
 */
const minAcceptedWorkShare = 0.45;
/**
 * The share up to which accepted work has priority from a backlog of `fullBacklogS` on. A job of one task takes one write to be
 * accepted and two afterwards, so under a sustained flood of submissions two thirds of the writes are for accepted work.
 */
const maxAcceptedWorkShare = 0.7;
const fullBacklogS = 8;
/** Submissions come in bursts, so this multiple of their mean rate is allocated. */
export const burstFactor = 1.5;
/** The part of an equal share that each controller gets in any case. */
const minEqualShare = 0.25;

/**
 * Divides the writes; the result depends only on the arguments, so controllers with the same figures calculate the same shares.
 * Accepted work has priority; the rest is divided among the controllers that receive submissions; what then remains is divided
 * equally. `newJobsByMember`: the jobs per second that each controller should admit, if that follows from the shares of teams and
 * classes.
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
  // What new jobs do not need goes to accepted work beyond its priority share; the rest is divided equally as spare capacity.
  const remaining = Math.max(0, forNewJobs - sum(newJobs));
  const extraAcceptedWork = maxMinShares(
    remaining,
    demands.map((d, i) => ({
      demand: Math.max(0, d.acceptedWork - acceptedWork[i]),
      weight: 1,
      minimum: 0,
    })),
  );
  const spare = Math.max(0, remaining - sum(extraAcceptedWork)) / demands.length;
  return demands.map((_, i) => ({
    total: acceptedWork[i] + extraAcceptedWork[i] + newJobs[i] + spare,
    newJobs: newJobs[i] + spare,
  }));
}

function acceptedWorkShare(demands: readonly WriteDemand[]): number {
  const backlog = Math.min(1, Math.max(0, ...demands.map((d) => d.backlogS)) / fullBacklogS);
  return minAcceptedWorkShare + (maxAcceptedWorkShare - minAcceptedWorkShare) * backlog;
}

/** The share of a controller that knows nothing of the others: an equal share, half of it for new jobs. */
export const equalShare = (writesPerS: number, memberCount: number): WriteShare => ({
  total: (writesPerS * allocatableShare) / memberCount,
  newJobs: (writesPerS * allocatableShare) / memberCount / 2,
});
