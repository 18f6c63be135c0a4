/** Placement of the tasks of arrays and services, one by one. */
import { fits, fitCount } from '../../model/machine.js';
import { zoneAllows } from '../../policy/guardrails.js';
import { suspect } from '../failures.js';
import { nextWaiting, waitingCount } from '../shard-state/jobs.js';
import { roomOf } from '../shard-state/machines.js';
import type { JobRun } from '../shard-state/types.js';
import { candidates, eligible, mayCrowd, openRoom } from './feasibility.js';
import { leftOver, open } from './starvation.js';
import type { ShardRound } from './shard.js';

export function placeEach(job: JobRun, round: ShardRound, withImage = false): void {
  const { spec } = job;
  const { books, openings } = round;
  let left = Math.min(waitingCount(job), fitCount(spec, books.teamRoom(spec)));
  // A job that only ever failed is tried one task at a time.
  left = Math.min(left, round.lifted.get(job) ?? Infinity);
  if (suspect(job)) left = Math.min(left, job.active.size === 0 ? 1 : 0);
  if (left <= 0) return placeLeftOver(job, round);
  const at: { index: number; host: string }[] = [];
  const taken = new Map(job.zones);
  const crowd = mayCrowd(round, job);
  const machines = withImage ? eligible(job, round, true) : candidates(job, round);
  for (const m of machines) {
    let n = Math.min(left - at.length, fitCount(spec, openRoom(round, job, roomOf(books, m), crowd)));
    for (; n > 0 && zoneAllows(spec, m.zone, taken); n--) {
      const index = nextWaiting(job);
      if (index < 0) break;
      at.push({ index, host: m.host });
      taken.set(m.zone, (taken.get(m.zone) ?? 0) + 1);
    }
    if (at.length >= left) break;
  }
  if (at.length > 0) books.place(job, at, job.mending ?? undefined);
  openings.changed(new Set(at.map((a) => a.host)));
  if (waitingCount(job) === 0) books.claims.end(job.id);
  if (withImage) return;
  if (at.length === 0) placeLeftOver(job, round);
  // What others ask for is not less because this job's machines are few.
  if (at.length < left && job.errors.size === 0 && job.match === null && !round.claimed.has(job.id))
    openings.failed(spec);
}

/** One task of a job that has waited for long, on a machine whose room nobody has taken for long. */
function placeLeftOver(job: JobRun, round: ShardRound): void {
  const { spec } = job;
  const { books, openings } = round;
  if (fitCount(spec, books.teamRoom(spec, true)) < 1) return;
  for (const m of leftOver(job, round)) {
    if (!fits(spec, roomOf(books, m)) || !zoneAllows(spec, m.zone, job.zones)) continue;
    const index = nextWaiting(job);
    if (index < 0) return;
    books.log('info', 'room left over', { job: job.id, host: m.host });
    books.place(job, [{ index, host: m.host }]);
    open(round, m);
    return openings.changed(new Set([m.host]));
  }
}
