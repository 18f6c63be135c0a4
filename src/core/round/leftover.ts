import { typeAllowed } from '../../policy/admission.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { suspect } from '../blame.js';
import type { Books } from '../books/books.js';
import type { JobRun, MachineRun } from '../books/runs.js';
import { matches } from './fit.js';
import { keptMs } from './patience.js';
import type { ShardRound } from './shard.js';

/** Whether all of a job has waited for long. */
export const overdue = (books: Books, job: JobRun): boolean =>
  job.active.size === 0 && !suspect(job) && books.clock.wall - job.waitsFrom > keptMs(books.settings);

/**
 * Machines with room that nobody has taken for long, for a job that has waited for long. Guards against room that is kept
 * (for a gang, for GPU work, by a team's limit) for something that does not come, or shut to a job that failed there once:
 * whoever waits beside it would do so for ever. A job gets one task through by that, or one gang; then it is not overdue any more.
 */
export function* leftOver(job: JobRun, round: ShardRound): Generator<MachineRun> {
  const { spec } = job;
  if (round.unused.length === 0 || !overdue(round.books, job)) return;
  for (const m of round.unused) {
    round.openings.looked++;
    if (typeAllowed(spec, m.type) && (!m.spot || spotAllowed(spec)) && matches(job, m)) yield m;
  }
}
