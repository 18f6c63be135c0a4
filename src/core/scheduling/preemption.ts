import { urgencyRank } from '../../model/job.js';
import { fits, fitCount } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { spotAllowed } from '../../policy/guardrails.js';
import { imageFetchS } from '../../policy/pricing.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine, Placement } from '../shard-state/types.js';
import { mayEmpty, openTo } from './feasibility.js';
import { claim, type ShardRound } from './shard.js';
import { demandsNow, loss, mayStop, type Plan } from './victims.js';

/** True while tasks on a machine are being stopped. */
export const madeRoom = (m: ScheduledMachine): boolean =>
  [...m.placements.values()].some((p) => p.stopRequest !== null);

/** Of plans in order of loss: those of the zone where so many of them lose least together. */
function cheapestZone(plans: Plan[], need: number): Plan[] {
  let best: Plan[] = [];
  let least = Infinity;
  for (const zone of new Set(plans.map((p) => p.m.zone))) {
    const here = plans.filter((p) => p.m.zone === zone).slice(0, need);
    const lost = here.reduce((sum, p) => sum + p.lost, 0);
    if (here.length === need && lost < least) {
      least = lost;
      best = here;
    }
  }
  return best;
}

/**
 * Makes room for a job that neither a free place nor a machine rented now would serve in time, by stopping
 * the tasks that lose least. Machines where room is being made are kept for it. False: not looked for.
 */
export function preempt(job: ScheduledJob, round: ShardRound): boolean {
  const { spec } = job;
  const { shardState } = round;
  const entitled = round.entitled.has(job);
  const lower = [...shardState.placementsByUrgency].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency]);
  if (!entitled && !lower) return false;
  const limits = timeLimitsOf(spec, shardState.settings.objectives);
  const ageS = (shardState.clock.wall - job.at) / 1000;
  const slack = slackS(limits, ageS, spec.estimateS);
  let need = waitingTaskCount(job);
  if (spec.shape !== 'gang') need = Math.min(need, 1);
  if (fitCount(spec, shardState.availableQuota(spec)) < need) return false;
  const kinds = shardState.replica.machineTypes.filter((t) => typeAllowed(spec, t));
  const bootS = Math.min(...kinds.map((t) => t.bootS + imageFetchS(spec, t)));
  const hurry = Number.isFinite(slack) ? slack : 2 * bootS - ageS;
  if (!demandsNow(round, job) && hurry > bootS + 2 * shardState.settings.workers.report_s) return false;
  let plans: Plan[] = [];
  // For a whole machine much is stopped at once: what saves has to fetch and to queue again, so it counts like the rest.
  const lossOf = (p: Placement): number => loss(shardState, p, Infinity);
  const kept = round.claimed.get(job.id) ?? [];
  for (const m of [...kept, ...round.all]) {
    round.capacityIndex.examined++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(shardState, job, m)) continue;
    if (!mayEmpty(round, job, m.type)) continue;
    const room = freeCapacity(shardState, m);
    const victims: Placement[] = [];
    let lost = 0;
    const all = [...m.placements.values()].filter(
      (p) => p.stopRequest !== null || mayStop(round, job, p, entitled),
    );
    all.sort((a, b) => lossOf(a) - lossOf(b));
    for (const p of all) {
      if (fits(spec, room)) break;
      // A gang stops as a whole; that loses more than the room is worth.
      if (p.stopRequest === null && p.job.spec.shape === 'gang') continue;
      room.cpus += p.job.spec.cpus;
      room.gpus += p.job.spec.gpus;
      room.memGb += p.job.spec.memGb;
      victims.push(p);
      lost += lossOf(p);
    }
    if (fits(spec, room)) plans.push({ m, victims, lost });
  }
  plans.sort((a, b) => a.lost - b.lost);
  if (spec.oneZone && plans.length >= need) plans = cheapestZone(plans, need);
  if (plans.length < need) return true;
  const chosen = plans.slice(0, need);
  // What is in the way of the zone is found out by the placement; here only the loss counts.
  claim(
    job,
    round,
    chosen.map((p) => p.m).filter((m) => !kept.includes(m)),
  );
  for (const plan of chosen)
    for (const p of plan.victims)
      if (p.stopRequest === null) {
        shardState.log('info', 'preempting', { job: p.job.id, index: p.index, host: p.host, for: job.id });
        shardState.requestStop(p, p.job.spec.saveS);
      }
  return true;
}
