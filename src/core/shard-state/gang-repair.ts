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
  for (const p of job.placements.values()) {
    if (p.attempt !== lost.attempt || p.stopRequest !== null || !isWaitingToStart(p)) return false;
    if (p.waitingSince > 0 && (now - p.waitingSince) / 1000 + minReadyS > workers.gang_wait_s) return false;
  }
  return true;
}

const isWaitingToStart = (p: Placement): boolean =>
  p.runningSince === 0 && (p.phase === 'placed' || p.phase === 'fetching' || p.phase === 'waiting');

/** How long the image has taken those that wait: the best guess for the one to come. */
function longestFetchS(job: ScheduledJob): number {
  let longest = 0;
  for (const p of job.placements.values())
    if (p.waitingSince > 0) longest = Math.max(longest, (p.waitingSince - p.placedAt) / 1000);
  return longest;
}
