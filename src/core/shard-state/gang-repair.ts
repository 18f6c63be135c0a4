/** Gang repair: replacing a lost task of a gang that has not started, within the same attempt. */
import type { ScheduledJob, Placement } from './types.js';

/** The worker settings that limit how long the tasks of a gang wait for each other. */
interface GangWaitSettings {
  readonly gang_wait_s: number;
  readonly report_s: number;
}

/**
 * Whether a gang that lost tasks can continue with the same attempt. It can only if none of its tasks is known to have
 * started or is being stopped, and if the tasks that already wait for the others will keep waiting until a replacement is
 * ready. If the gang has started without this process having observed it, the remaining tasks notice the loss and exit, and
 * the gang is torn down like any other.
 */
export function canRepairGang(
  job: ScheduledJob,
  lost: readonly Placement[],
  now: number,
  workers: GangWaitSettings,
): boolean {
  if (job.cancelled || job.tearingDown || job.finalizing || job.completedCount > 0) return false;
  const [{ attempt }] = lost;
  if (!lost.every((placement) => placement.attempt === attempt && isWaitingToStart(placement))) return false;
  // The replacement must be placed, started with the next heartbeat, and fetch its image.
  const minReadyS = 2 * workers.report_s + longestFetchS(job);
  for (const placement of job.placements.values()) {
    if (placement.attempt !== attempt || placement.stopRequest !== null) return false;
    if (!isWaitingToStart(placement)) return false;
    const { waitingSince } = placement;
    if (waitingSince > 0 && (now - waitingSince) / 1000 + minReadyS > workers.gang_wait_s) return false;
  }
  return true;
}

const isWaitingToStart = ({ runningSince, phase }: Placement): boolean =>
  runningSince === 0 && (phase === 'placed' || phase === 'fetching' || phase === 'waiting');

/** The longest image fetch among the tasks that wait for the others, as the best estimate for the replacement's fetch. */
function longestFetchS(job: ScheduledJob): number {
  let longestS = 0;
  for (const { waitingSince, placedAt } of job.placements.values())
    if (waitingSince > 0) longestS = Math.max(longestS, (waitingSince - placedAt) / 1000);
  return longestS;
}
