/** Room that is kept for others opens to work that has waited for long. */
import { typeAllowed } from '../../policy/admission.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { suspect } from '../failures.js';
import type { Books } from '../shard-state/shard-state.js';
import type { JobRun, MachineRun } from '../shard-state/types.js';
import { matches } from './feasibility.js';
import { keptMs } from './reservation-ageing.js';
import type { ShardRound } from './shard.js';

/** Whether all of a job has waited for long. */
export const overdue = (books: Books, job: JobRun): boolean =>
  job.active.size === 0 && !suspect(job) && books.clock.wall - job.waitsFrom > keptMs(books.settings);

/**
 * Machines with room that nobody has taken for long, for a job that has waited for long. Guards against room that is kept
 * (for a gang, for GPU work, by a team's limit) for something that does not come, or shut to a job that failed there once:
 * whoever waits beside it would do so for ever. A job gets one task through by that, or one gang; then it is not overdue any
 * more. Single tasks go to one machine until it is full, and to another a lease later: the others still run empty for gangs.
 */
export function* leftOver(job: JobRun, round: ShardRound): Generator<MachineRun> {
  const { spec } = job;
  const { books, openings } = round;
  if (round.unused.length === 0 || !overdue(books, job)) return;
  const { now } = books.clock;
  const another = now - books.opened.at > books.settings.workers.lease_s * 1000;
  for (const m of round.unused) {
    openings.looked++;
    if (spec.shape !== 'gang' && m.host !== books.opened.host && !another) continue;
    if (typeAllowed(spec, m.type) && (!m.spot || spotAllowed(spec)) && matches(job, m)) yield m;
  }
}

/** A single task has gone to this machine. */
export function open({ books }: ShardRound, { host }: MachineRun): void {
  if (books.opened.host !== host) books.opened = { host, at: books.clock.now };
}
