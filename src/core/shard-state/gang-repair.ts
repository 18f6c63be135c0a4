import type { JobRun, Placement } from './types.js';

/**
 * Whether a gang that lost a task can go on with the same attempt: only while none of it has started, as far as is known,
 * nothing of it is being stopped, and those that wait already will do so long enough for another to come. If it did start
 * unseen, the others notice the loss and exit: it is then taken down like any.
 */
export function mendable(
  job: JobRun,
  lost: Placement,
  now: number,
  workers: { gang_wait_s: number; report_s: number },
): boolean {
  if (job.cancelled || job.breaking || job.finishing || job.done > 0 || !waits(lost)) return false;
  // Another has to be placed, told of with the next report, and fetch its image.
  const leastS = 2 * workers.report_s + fetchS(job);
  for (const p of job.active.values()) {
    if (p.attempt !== lost.attempt || p.stop !== null || !waits(p)) return false;
    if (p.waitingAt > 0 && (now - p.waitingAt) / 1000 + leastS > workers.gang_wait_s) return false;
  }
  return true;
}

const waits = (p: Placement): boolean =>
  p.ranAt === 0 && (p.phase === 'placed' || p.phase === 'fetching' || p.phase === 'waiting');

/** How long the image has taken those that wait: the best guess for the one to come. */
function fetchS(job: JobRun): number {
  let longest = 0;
  for (const p of job.active.values())
    if (p.waitingAt > 0) longest = Math.max(longest, (p.waitingAt - p.placedAt) / 1000);
  return longest;
}
