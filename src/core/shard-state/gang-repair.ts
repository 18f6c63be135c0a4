import type { ScheduledJob, Placement } from './types.js';

/**
 * Whether a gang that lost a task can go on with the same attempt: only while none of it has started, as far as is known,
 * nothing of it is being stopped, and those that wait already will do so long enough for another to come. If it did start
 * unseen, the others notice the loss and exit: it is then taken down like any.
 */
export function canRepairGang(
  job: ScheduledJob,
  lost: Placement,
  now: number,
  workers: { gang_wait_s: number; report_s: number },
): boolean {
  if (job.cancelled || job.tearingDown || job.finalizing || job.done > 0 || !isWaitingToStart(lost))
    return false;
  // Another has to be placed, told of with the next report, and fetch its image.
  const minReadyS = 2 * workers.report_s + longestFetchS(job);
  for (const placement of job.placements.values()) {
    if (placement.attempt !== lost.attempt || placement.stopRequest !== null || !isWaitingToStart(placement))
      return false;
    if (placement.waitingSince > 0 && (now - placement.waitingSince) / 1000 + minReadyS > workers.gang_wait_s)
      return false;
  }
  return true;
}

const isWaitingToStart = (placement: Placement): boolean =>
  placement.runningSince === 0 &&
  (placement.phase === 'placed' || placement.phase === 'fetching' || placement.phase === 'waiting');

/** How long the image has taken those that wait: the best guess for the one to come. */
function longestFetchS(job: ScheduledJob): number {
  let longest = 0;
  for (const placement of job.placements.values())
    if (placement.waitingSince > 0)
      longest = Math.max(longest, (placement.waitingSince - placement.placedAt) / 1000);
  return longest;
}
