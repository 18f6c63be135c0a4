/** Gang repair: replacing a lost task of a gang that has not started, within the same attempt. */
import type { ScheduledJob, Placement } from './types.js';

/** The settings that bound how long the tasks of a gang wait for each other. */
interface GangWaitSettings {
  readonly gang_wait_s: number;
  readonly report_s: number;
}

/**
 * Whether a gang that lost a task can go on with the same attempt: only while none of its tasks is known to have started or is
 * being stopped, and while those that wait already will do so long enough for a replacement. If the gang started unobserved,
 * the others notice the loss and exit: it is then torn down like any other.
 */
export function canRepairGang(
  job: ScheduledJob,
  lost: Placement,
  now: number,
  workers: GangWaitSettings,
): boolean {
  if (job.cancelled || job.tearingDown || job.finalizing || job.completedCount > 0) return false;
  if (!isWaitingToStart(lost)) return false;
  // The replacement has to be placed, be started with the next heartbeat, and fetch its image.
  const minReadyS = 2 * workers.report_s + longestFetchS(job);
  for (const placement of job.placements.values()) {
    if (placement.attempt !== lost.attempt || placement.stopRequest !== null) return false;
    if (!isWaitingToStart(placement)) return false;
    const { waitingSince } = placement;
    if (waitingSince > 0 && (now - waitingSince) / 1000 + minReadyS > workers.gang_wait_s) return false;
  }
  return true;
}

const isWaitingToStart = ({ runningSince, phase }: Placement): boolean =>
  runningSince === 0 && (phase === 'placed' || phase === 'fetching' || phase === 'waiting');

/** The longest image fetch among the tasks that wait for the others: the best estimate for a replacement. */
function longestFetchS(job: ScheduledJob): number {
  let longestS = 0;
  for (const { waitingSince, placedAt } of job.placements.values())
    if (waitingSince > 0) longestS = Math.max(longestS, (waitingSince - placedAt) / 1000);
  return longestS;
}
