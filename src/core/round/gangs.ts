import { timesFits } from '../../model/machine.js';
import { typeAllowed } from '../../policy/admission.js';
import { keptRoom } from '../../policy/gpus.js';
import { spotAllowed, zoneOpen } from '../../policy/guardrails.js';
import type { Books } from '../books/books.js';
import { nextGangAttempt, nextWaiting, waitingCount } from '../books/jobs.js';
import { roomOf } from '../books/machines.js';
import type { JobRun, MachineRun } from '../books/runs.js';
import { candidates, mayCrowd, mayEmpty, openTo } from './fit.js';
import { claim, type ShardRound } from './shard.js';

/** False: the gang waits for something else than room. */
export const gangMayWait = (books: Books, job: JobRun): boolean =>
  job.active.size === 0 && timesFits(job.spec, books.teamRoom(job.spec.team)) >= waitingCount(job);

/** A gang is placed whole in one round or not at all. False: it found no room. */
export function placeGang(job: JobRun, round: ShardRound): boolean {
  const { spec } = job;
  const { books, openings } = round;
  const need = waitingCount(job);
  // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
  if (!gangMayWait(books, job)) return true;
  const hosts = new Map<string | null, string[]>();
  const taken = new Map<string | null, Map<string, number>>();
  const most = new Map<string, number>();
  let total = 0;
  const crowd = mayCrowd(round, job);
  for (const m of candidates(job, round)) {
    const zone = spec.oneZone ? m.zone : null;
    const room = timesFits(spec, keptRoom(spec, roomOf(books, m), round.keep, crowd));
    if (room === 0) continue;
    total += room;
    most.set(m.zone, (most.get(m.zone) ?? 0) + room);
    if (!hosts.has(zone)) {
      hosts.set(zone, []);
      taken.set(zone, new Map());
    }
    const mine = hosts.get(zone)!;
    const zones = taken.get(zone)!;
    for (let i = 0; i < room && mine.length < need && zoneOpen(spec, m.zone, zones); i++) {
      mine.push(m.host);
      zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
    }
    if (mine.length < need) continue;
    const at: { index: number; host: string }[] = [];
    for (const host of mine) {
      const index = nextWaiting(job);
      if (index >= 0) at.push({ index, host });
    }
    books.place(job, at, nextGangAttempt(job));
    openings.changed(new Set(mine));
    books.claims.end(job.id);
    return true;
  }
  if (job.errors.size === 0 && job.match === null && !round.claimed.has(job.id))
    openings.failed(spec, Math.max(0, ...most.values()), total);
  return false;
}

/** The share of the machines that gangs could use which may be kept for gangs that wait. */
const claimShare = 0.1;

/**
 * Keeps for a gang the machines that run empty soonest, all in one zone if it must be, so that small tasks do not
 * starve it. They stay kept until it is placed: chosen anew each round, no machine would ever run empty. Only the
 * first gangs get some, since machines that wait for others to run empty do nothing.
 */
export function reserve(job: JobRun, round: ShardRound): void {
  const { spec } = job;
  const { books } = round;
  let held = 0;
  for (const m of round.claimed.get(job.id) ?? []) held += timesFits(spec, m.type);
  const need = waitingCount(job) - held;
  if (need <= 0) return;
  const there = round.claimed.get(job.id)?.[0]?.zone ?? null;
  const byZone = new Map<string | null, { machines: MachineRun[]; slots: number }>();
  let best: MachineRun[] | null = null;
  let fit = 0;
  for (const m of round.all) {
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    if (!mayEmpty(round, job, m.type)) continue;
    fit++;
    if (best !== null || (spec.oneZone && there !== null && m.zone !== there)) continue;
    const zone = spec.oneZone ? m.zone : null;
    let z = byZone.get(zone);
    if (!z) byZone.set(zone, (z = { machines: [], slots: 0 }));
    z.machines.push(m);
    z.slots += timesFits(spec, m.type);
    // Soonest first: the zone that is complete first will have run empty first.
    if (z.slots >= need) best = z.machines;
  }
  // The first gang always gets its machines; the others only while not too many are kept.
  const kept = books.claims.held.size;
  if (best === null || (kept > 0 && kept + best.length > claimShare * (fit + kept))) return;
  claim(job, round, best);
}
