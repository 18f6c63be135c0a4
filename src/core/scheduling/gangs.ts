/** Placement of gangs, and what is kept or withheld for those that find no room. */
import { urgencyRank } from '../../model/job.js';
import { fitCount, type Resources } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { timeLimitsOf, slackS } from '../../policy/deadlines.js';
import { spotAllowed, zoneAllows } from '../../policy/guardrails.js';
import { criticalSlackS } from '../../policy/order.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { nextGangAttempt, takeNextWaiting, waitingTaskCount } from '../shard-state/jobs.js';
import { freeCapacity } from '../shard-state/machines.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { candidates, mayCrowd, openRoom, mayEmpty, openTo } from './feasibility.js';
import { leftOver } from './starvation.js';
import { claim, type ShardRound } from './shard.js';

/** False: the gang waits for something else than room. */
export const gangMayWait = (shardState: ShardState, job: ScheduledJob): boolean =>
  job.placements.size === 0 &&
  fitCount(job.spec, shardState.availableQuota(job.spec)) >= waitingTaskCount(job);

/** A gang is placed whole in one round or not at all. False: it found no room. */
export function placeGang(job: ScheduledJob, round: ShardRound): boolean {
  const { spec } = job;
  const { shardState, capacityIndex } = round;
  if (!gangMayWait(shardState, job)) {
    // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
    if (job.placements.size === 0) placeLeftOver(job, round);
    return true;
  }
  const crowd = mayCrowd(round, job);
  const { hosts, zoneMost, total } = gather(job, candidates(job, round), (m) =>
    openRoom(round, job, freeCapacity(shardState, m), crowd),
  );
  if (hosts !== null) {
    placeOn(job, round, hosts);
    return true;
  }
  if (placeLeftOver(job, round)) return true;
  if (job.failedHosts.size === 0 && job.match === null && !round.claimed.has(job.id))
    capacityIndex.noteUnplaceable(spec, zoneMost, total);
  return false;
}

/** A gang that has waited for long, on machines whose room nobody has taken for long. */
function placeLeftOver(job: ScheduledJob, round: ShardRound): boolean {
  const { shardState } = round;
  if (fitCount(job.spec, shardState.availableQuota(job.spec, true)) < waitingTaskCount(job)) return false;
  const { hosts } = gather(job, leftOver(job, round), (m) => freeCapacity(shardState, m));
  if (hosts === null) return false;
  shardState.log('info', 'room left over', { job: job.id, hosts });
  placeOn(job, round, hosts);
  return true;
}

function placeOn(job: ScheduledJob, round: ShardRound, hosts: string[]): void {
  const at: { index: number; host: string }[] = [];
  for (const host of hosts) {
    const index = takeNextWaiting(job);
    if (index >= 0) at.push({ index, host });
  }
  round.shardState.placeTasks(job, at, nextGangAttempt(job));
  round.capacityIndex.reposition(new Set(hosts));
  round.shardState.reservations.release(job.id);
}

/** The first of some machines on which all of a gang has room, a host for each task; null: there are none. */
function gather(
  job: ScheduledJob,
  machines: Iterable<ScheduledMachine>,
  room: (m: ScheduledMachine) => Resources,
): { hosts: string[] | null; zoneMost: number; total: number } {
  const { spec } = job;
  const need = waitingTaskCount(job);
  const hosts = new Map<string | null, string[]>();
  const taken = new Map<string | null, Map<string, number>>();
  const most = new Map<string, number>();
  let total = 0;
  const result = (found: string[] | null) => ({
    hosts: found,
    zoneMost: Math.max(0, ...most.values()),
    total,
  });
  for (const m of machines) {
    const zone = spec.oneZone ? m.zone : null;
    const times = fitCount(spec, room(m));
    if (times === 0) continue;
    total += times;
    most.set(m.zone, (most.get(m.zone) ?? 0) + times);
    if (!hosts.has(zone)) {
      hosts.set(zone, []);
      taken.set(zone, new Map());
    }
    const mine = hosts.get(zone)!;
    const zones = taken.get(zone)!;
    for (let i = 0; i < times && mine.length < need && zoneAllows(spec, m.zone, zones); i++) {
      mine.push(m.host);
      zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
    }
    if (mine.length >= need) return result(mine);
  }
  return result(null);
}

/** The share of the machines that gangs could use which may be kept for gangs that wait. */
const claimShare = 0.1;

/**
 * Keeps for a gang the machines that run empty soonest, all in one zone if it must be, so that small tasks do not
 * starve it. They stay kept until it is placed: chosen anew each round, no machine would ever run empty. Only the
 * first gangs get some, since machines that wait for others to run empty do nothing. For the others machines are withheld
 * from work of less urgency alone: what is as urgent takes them as they come free.
 */
export function reserve(job: ScheduledJob, round: ShardRound): void {
  const { spec } = job;
  const { shardState } = round;
  let held = 0;
  for (const m of round.claimed.get(job.id) ?? []) held += fitCount(spec, m.type);
  const need = waitingTaskCount(job) - held;
  if (need <= 0) return;
  const there = round.claimed.get(job.id)?.[0]?.zone ?? null;
  const fit = round.all.filter((m) => {
    round.capacityIndex.examined++;
    return (
      typeAllowed(spec, m.type) &&
      (!m.spot || spotAllowed(spec)) &&
      openTo(shardState, job, m) &&
      mayEmpty(round, job, m.type)
    );
  });
  const best = soonest(job, need, there, fit);
  // The first gang always gets its machines; the others only while not too many are kept.
  const kept = shardState.reservations.byHost.size;
  if (best !== null && (kept === 0 || kept + best.length <= claimShare * (fit.length + kept)))
    return claim(job, round, best);
  withhold(job, round, need, fit);
}

/** The machines that will have run empty first, as many as the gang needs, in one zone if it must be. */
function soonest(
  job: ScheduledJob,
  need: number,
  there: string | null,
  fit: ScheduledMachine[],
): ScheduledMachine[] | null {
  const { spec } = job;
  const byZone = new Map<string | null, { machines: ScheduledMachine[]; slots: number }>();
  for (const m of fit) {
    if (spec.oneZone && there !== null && m.zone !== there) continue;
    const zone = spec.oneZone ? m.zone : null;
    let z = byZone.get(zone);
    if (!z) byZone.set(zone, (z = { machines: [], slots: 0 }));
    z.machines.push(m);
    z.slots += fitCount(spec, m.type);
    // Soonest first: the zone that is complete first will have run empty first.
    if (z.slots >= need) return z.machines;
  }
  return null;
}

/** Machines run empty, and limits free, while tasks of less urgency end, so it begins before a gang is pressed. */
const hurryShare = 2;

/** Whether a gang is short of time, or late. */
function hurried({ spec, at }: ScheduledJob, { settings, clock }: ShardState): boolean {
  const slack = slackS(timeLimitsOf(spec, settings.objectives), (clock.wall - at) / 1000, spec.estimateS);
  return !Number.isFinite(slack) || slack <= hurryShare * criticalSlackS(settings);
}

/**
 * Guards against work of less urgency that takes each place that comes free on machines that only whole gangs could use:
 * small tasks always find one, a gang that needs most of a machine never does. Half of the GPU machines stay with GPU work.
 */
function withhold(job: ScheduledJob, round: ShardRound, need: number, fit: ScheduledMachine[]): void {
  const { spec } = job;
  if (!hurried(job, round.shardState)) return;
  let left = need;
  let gpus = 0;
  for (const m of round.all) if (m.type.gpus > 0) gpus += round.withheld.has(m.host) ? -1 : 1;
  for (const m of fit) {
    if (left <= 0) return;
    if (round.withheld.has(m.host)) continue;
    if (m.type.gpus > 0 && spec.gpus <= 0 && (gpus -= 2) < 0) continue;
    round.withheld.set(m.host, urgencyRank[spec.urgency]);
    left -= fitCount(spec, m.type);
  }
}

/**
 * Guards against a team's limit that is used up by its less urgent work while its urgent gangs wait: as much of it as they
 * could use goes to nothing else. What no machine could take is not kept.
 */
export function owe(job: ScheduledJob, round: ShardRound): void {
  const { spec } = job;
  const { shardState } = round;
  if (job.placements.size > 0 || isSuspect(job) || !hurried(job, round.shardState)) return;
  const rank = urgencyRank[spec.urgency];
  const before = round.owed.get(spec.team);
  if (before && before.urgency > rank) return;
  let owed = before;
  if (owed?.urgency !== rank) {
    let slots = -(shardState.placementsByUrgency.get(rank) ?? 0);
    for (const m of shardState.machines.values())
      if (typeAllowed(spec, m.type) && (!m.spot || spotAllowed(spec))) slots += fitCount(spec, m.type);
    round.owed.set(spec.team, (owed = { urgency: rank, cpus: 0, gpus: 0, tasks: slots }));
  }
  const tasks = Math.max(0, Math.min(waitingTaskCount(job), owed.tasks));
  owed.tasks -= tasks;
  owed.cpus += tasks * spec.cpus;
  owed.gpus += tasks * spec.gpus;
}
