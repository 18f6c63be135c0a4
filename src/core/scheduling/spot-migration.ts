import { isPremium } from '../../model/job.js';
import { fits } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { residentLongEnough, migrationBudget } from '../../policy/guardrails.js';
import { migrationUrgency } from '../../policy/helios.js';
import { anchorPrice, machineCandidate, scoreWeights } from '../../policy/pricing.js';
import type { Books } from '../shard-state/shard-state.js';
import { roomOf, usable } from '../shard-state/machines.js';
import type { JobRun } from '../shard-state/types.js';
import { openTo } from './feasibility.js';

/**
 * Moves tasks off spot machines that cost more than on-demand ones, hazard included. Guardrails: a budget
 * per window, residency, only tasks that save, and only when there is a place to go. `movedAt` tells when a move was
 * last ordered, ms; so does the answer.
 */
export function moveOff(books: Books, movedAt: number): number {
  const now = books.clock.now;
  const w = scoreWeights(books.operators);
  const hazard = books.hazard.perStep(books.operators['hazard-step-s']);
  if (now - movedAt < books.operators['move-window-s'] * 1000) return movedAt;
  let last = movedAt;
  let tasks = 0;
  for (const m of books.machines.values()) tasks += m.placements.size;
  let budget = migrationBudget(books.operators['move-share'], tasks);
  for (const m of books.machines.values()) {
    if (budget <= 0) break;
    if (!m.record.spot || m.placements.size === 0) continue;
    const c = machineCandidate(m.type, true, hazard, false, 0, 0);
    for (const p of m.placements.values()) {
      if (budget <= 0) break;
      const { spec } = p.job;
      if (p.phase !== 'running' || p.stop || p.job.frozen || spec.checkpointS <= 0 || isPremium(spec))
        continue;
      if (!residentLongEnough((now - p.ranAt) / 1000, books.operators['residency-s'])) continue;
      if (
        migrationUrgency(
          c,
          anchorPrice(spec, books.replica.machineTypes, () => true),
          w,
        ) <= 0
      )
        continue;
      if (!freePlaceOffSpot(books, p.job)) continue;
      books.stop(p, spec.saveS);
      budget--;
      last = now;
      books.log('info', 'moving off spot', { job: p.job.id, index: p.index, host: m.host });
    }
  }
  return last;
}

function freePlaceOffSpot(books: Books, job: JobRun): boolean {
  for (const m of books.machines.values())
    if (
      m.record.shard === job.shard &&
      !m.spot &&
      typeAllowed(job.spec, m.type) &&
      fits(job.spec, roomOf(books, m)) &&
      usable(books, m) &&
      openTo(books, job, m)
    )
      return true;
  return false;
}
