import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { fits, hourly, timesFits, type Fits, type MachineType } from '../model/machine.js';
import { typeAllowed } from '../policy/admission.js';
import { mayMove, moveBudget, spotAllowed, zoneOpen } from '../policy/guardrails.js';
import { moveUrgency, order, score, type Candidate, type Weights } from '../policy/helios.js';
import type { Dispatcher, JobRun, MachineRun, Placement } from './dispatcher.js';
import type { Objective } from '../config/settings.js';
import { lateness, limitsOf, slackS } from '../policy/deadlines.js';
import type { Operators } from '../config/operators.js';
import { Openings } from './openings.js';

export const weights = (o: Operators): Weights => ({
  hazard: o['hazard-weight'],
  anchor: o['anchor-weight'],
});

/** The cheapest on-demand price per CPU-hour among the types that a job's task fits. */
export function anchorPrice(
  spec: JobSpec,
  types: MachineType[],
  available: (type: MachineType) => boolean,
): number {
  let best = Infinity;
  for (const t of types) if (typeAllowed(spec, t) && available(t)) best = Math.min(best, t.price / t.cpus);
  return best;
}

export function candidate(
  type: MachineType,
  spot: boolean,
  hazard: number,
  fresh: boolean,
  freeCpus: number,
  delayS: number,
): Candidate {
  return {
    price: hourly(type, spot) / Math.max(type.cpus, 1),
    spot,
    hazard: spot ? hazard : 0,
    fresh,
    freeCpus,
    delayMin: delayS / 60,
  };
}

export const fetchS = (spec: JobSpec, type: MachineType): number =>
  type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;

/** What the placement order looks at. */
export interface Queued {
  spec: JobSpec;
  at: number;
}

/** CPUs that differ by less than a factor of two count as alike, so that the limits decide between them. */
const sizeClass = (spec: JobSpec): number =>
  Math.floor(Math.log2(Math.max(order({ premium: isPremium(spec), cpus: spec.cpus }), 0.01)));

/**
 * Placement order: urgency, then work that can still be in time, then HELIOS's order, then the job whose limit
 * comes first.
 */
export function inOrder<T extends Queued>(jobs: T[], objectives: Objective[], wall: number): T[] {
  const keyed = jobs.map((job) => {
    const limits = limitsOf(job.spec, objectives);
    const ageS = (wall - job.at) / 1000;
    const runS = job.spec.estimateS * estimateShare;
    return {
      job,
      urgency: urgencyRank[job.spec.urgency],
      late: lateness(limits, ageS, runS),
      size: sizeClass(job.spec),
      slack: slackS(limits, ageS, runS),
    };
  });
  keyed.sort(
    (a, b) =>
      b.urgency - a.urgency ||
      a.late - b.late ||
      b.size - a.size ||
      a.slack - b.slack ||
      a.job.at - b.job.at ||
      0,
  );
  return keyed.map((k) => k.job);
}

/** Estimates are often wrong by half: a job counts as late only if even half of its estimate is too long. */
const estimateShare = 0.5;

/** Scans for tasks to preempt are dear: so many jobs get one in a round. */
const mostPreemptions = 16;

/** What a round keeps for each shard. */
interface ShardRound {
  openings: Openings<MachineRun>;
  /** All machines that may be used, also full ones, emptiest first. */
  all: MachineRun[];
}

/**
 * One placement round over all shards of this node, in steps: it yields how many machines it has looked at
 * since, so that reports and requests need not wait for all of it. Between two steps jobs and machines may
 * change; each is looked at anew when its turn comes.
 */
export function* placeRound(d: Dispatcher): Generator<number, void> {
  const waiting = inOrder(
    [...d.jobs.values()].filter((j) => placeable(d, j)),
    d.settings.objectives,
    d.clock.wall,
  );
  const keep = gpuShare(waiting);
  const least = { cpus: Infinity, gpus: 0, memGb: Infinity };
  for (const { spec } of waiting) {
    least.cpus = Math.min(least.cpus, spec.cpus);
    least.memGb = Math.min(least.memGb, spec.memGb);
  }
  const shards = new Map<number, ShardRound>();
  let preemptions = 0;
  // Machines kept for a gang that found no room: nothing of lower order goes there.
  const reserved = new Set<string>();
  for (const job of waiting) {
    if (!placeable(d, job) || d.jobs.get(job.id) !== job) continue;
    let round = shards.get(job.shard);
    if (!round) shards.set(job.shard, (round = openShard(d, job.shard, least)));
    const { openings } = round;
    const count = d.waitingCount(job);
    if (job.spec.shape === 'gang') {
      if (!openings.hopeless(job.spec, count) && placeGang(d, job, openings, keep)) {
        yield openings.looked;
        openings.looked = 0;
        continue;
      }
      if (gangMayWait(d, job)) reserve(d, job, round, reserved);
    } else if (!openings.hopeless(job.spec, count)) placeEach(d, job, openings, keep);
    if (d.waitingCount(job) > 0 && job.active.size === 0 && preemptions < mostPreemptions)
      if (preempt(d, job, round, reserved)) preemptions++;
    yield openings.looked;
    openings.looked = 0;
  }
  moveOff(d);
}

const placeable = (d: Dispatcher, j: JobRun): boolean =>
  !j.cancelled && !j.finishing && !j.breaking && j.notBefore <= d.clock.now && d.waitingCount(j) > 0;

function openShard(d: Dispatcher, shard: number, least: Fits): ShardRound {
  const all: MachineRun[] = [];
  for (const m of d.machines.values()) if (m.record.shard === shard && usable(d, m)) all.push(m);
  const openings = new Openings(all, (m) => roomOf(d, m), least);
  all.sort((a, b) => a.used.cpus / a.type.cpus - b.used.cpus / b.type.cpus);
  return { openings, all };
}

/** Whether a machine may take tasks at all now. */
function usable(d: Dispatcher, m: MachineRun): boolean {
  const { now } = d.clock;
  return (
    m.record.standing === 'use' &&
    !m.condemned &&
    !m.releasing &&
    m.provenAt !== 0 &&
    now - m.heardAt <= d.settings.workers.report_s * 2500 &&
    m.noticeAt === 0 &&
    m.avoidUntil <= now
  );
}

/** Whether a machine may take a job's tasks, as far as its place and the job's past there decide. */
const openTo = (job: JobRun, m: MachineRun): boolean =>
  !job.errors.has(m.host) &&
  (job.spec.zone === null || job.spec.zone === m.zone) &&
  gpuMachineOpen(job.spec, m.type, m.used.gpus);

/** The policy's score of a kind of machine for a job, before tie-breaks between single machines. */
export function kindScore(
  d: Dispatcher,
  spec: JobSpec,
): (type: MachineType, spot: boolean, image: boolean) => number {
  const anchor = anchorPrice(spec, d.replica.types, () => true);
  const hazard = d.hazard.perStep(d.operators['hazard-step-s']);
  const w = weights(d.operators);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  return (type, spot, image) =>
    // A leased machine is there already, also when it stands idle: only one to be rented is fresh.
    score(work, candidate(type, spot, hazard, false, 0, image ? 0 : fetchS(spec, type)), anchor, w);
}

/** Machines of the job's shard that may take its tasks and have room for any waiting task, best first. */
const eligible = (d: Dispatcher, job: JobRun, openings: Openings<MachineRun>): Generator<MachineRun> =>
  openings.best(job.spec, kindScore(d, job.spec), (m) => usable(d, m) && openTo(job, m));

export const roomOf = (d: Dispatcher, m: MachineRun): Fits => ({
  cpus: m.type.cpus * (1 - d.operators.headroom) - m.used.cpus,
  gpus: m.type.gpus - m.used.gpus,
  memGb: m.type.memGb - m.used.memGb,
});

/**
 * A guardrail of ours: work without GPUs goes to a GPU machine only as company for GPU tasks. Alone it would
 * keep the dearest machines rented for work that cheaper ones can do.
 */
export const gpuMachineOpen = (spec: JobSpec, type: MachineType, gpusBusy: number): boolean =>
  spec.gpus > 0 || type.gpus <= 0 || gpusBusy > 0;

/** What waiting GPU work needs beside each GPU. */
export interface GpuShare {
  cpus: number;
  memGb: number;
  gpus: number;
  urgency: number;
}

/** The largest share per GPU that any waiting GPU task takes; null: none waits. */
export function gpuShare(waiting: Queued[]): GpuShare | null {
  let share: GpuShare | null = null;
  for (const { spec } of waiting) {
    if (spec.gpus <= 0) continue;
    share ??= { cpus: 0, memGb: 0, gpus: 1, urgency: 0 };
    share.cpus = Math.max(share.cpus, spec.cpus / spec.gpus);
    share.memGb = Math.max(share.memGb, spec.memGb / spec.gpus);
    share.urgency = Math.max(share.urgency, urgencyRank[spec.urgency]);
  }
  return share;
}

/**
 * A guardrail of ours: while GPU work waits, work without GPUs leaves it what it needs beside the free GPUs.
 * Otherwise small CPU tasks fill the GPU machines and the GPUs stand idle. Premium work of higher urgency
 * is exempt.
 */
export function keptRoom(spec: JobSpec, room: Fits, keep: GpuShare | null): Fits {
  if (keep === null || spec.gpus > 0 || room.gpus <= 0) return room;
  if (isPremium(spec) && urgencyRank[spec.urgency] > keep.urgency) return room;
  return {
    cpus: room.cpus - room.gpus * keep.cpus,
    gpus: room.gpus,
    memGb: room.memGb - room.gpus * keep.memGb,
  };
}

function placeEach(d: Dispatcher, job: JobRun, openings: Openings<MachineRun>, keep: GpuShare | null): void {
  const { spec } = job;
  let left = Math.min(d.waitingCount(job), timesFits(spec, d.teamRoom(spec.team)));
  // A job that only ever failed is tried one task at a time.
  if (job.errors.size >= 2 && job.successes === 0) left = Math.min(left, job.active.size === 0 ? 1 : 0);
  if (left <= 0) return;
  const at: { index: number; host: string }[] = [];
  const taken = new Map(job.zones);
  for (const m of eligible(d, job, openings)) {
    let n = Math.min(left - at.length, timesFits(spec, keptRoom(spec, roomOf(d, m), keep)));
    for (; n > 0 && zoneOpen(spec, m.zone, taken); n--) {
      const index = d.nextWaiting(job);
      if (index < 0) break;
      at.push({ index, host: m.host });
      taken.set(m.zone, (taken.get(m.zone) ?? 0) + 1);
    }
    if (at.length >= left) break;
  }
  if (at.length > 0) d.place(job, at);
  openings.changed(new Set(at.map((a) => a.host)));
  if (at.length < left && job.errors.size === 0) openings.failed(spec);
}

/** False: the gang waits for something else than room. */
const gangMayWait = (d: Dispatcher, job: JobRun): boolean =>
  job.active.size === 0 && timesFits(job.spec, d.teamRoom(job.spec.team)) >= d.waitingCount(job);

/** A gang is placed whole in one round or not at all. False: it found no room. */
function placeGang(
  d: Dispatcher,
  job: JobRun,
  openings: Openings<MachineRun>,
  keep: GpuShare | null,
): boolean {
  const { spec } = job;
  const need = d.waitingCount(job);
  // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
  if (!gangMayWait(d, job)) return true;
  const hosts = new Map<string | null, string[]>();
  const taken = new Map<string | null, Map<string, number>>();
  const most = new Map<string, number>();
  let total = 0;
  for (const m of eligible(d, job, openings)) {
    const zone = spec.oneZone ? m.zone : null;
    const room = timesFits(spec, keptRoom(spec, roomOf(d, m), keep));
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
      const index = d.nextWaiting(job);
      if (index >= 0) at.push({ index, host });
    }
    d.place(job, at, d.nextGangAttempt(job));
    openings.changed(new Set(mine));
    return true;
  }
  if (job.errors.size === 0) openings.failed(spec, Math.max(0, ...most.values()), total);
  return false;
}

/** Keeps for a gang the machines that will have room soonest, so that small tasks do not starve it. */
function reserve(d: Dispatcher, job: JobRun, round: ShardRound, reserved: Set<string>): void {
  const { spec } = job;
  let need = d.waitingCount(job);
  const mine = new Set<string>();
  for (const m of round.all) {
    if (need <= 0) break;
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    need -= timesFits(spec, m.type);
    mine.add(m.host);
    reserved.add(m.host);
  }
  if (mine.size === 0) return;
  round.openings.remove(mine);
  round.all = round.all.filter((m) => !mine.has(m.host));
}

/** Whether a waiting job may have a running task stopped (the protocol's "Preemption"). */
function mayStop(d: Dispatcher, job: JobRun, victim: Placement, entitled: boolean): boolean {
  if (urgencyRank[victim.job.spec.urgency] < urgencyRank[job.spec.urgency]) return true;
  if (!entitled || victim.job.spec.team === job.spec.team) return false;
  const theirs = d.settings.teams.find((t) => t.name === victim.job.spec.team);
  const use = d.teamUse.get(victim.job.spec.team);
  return use !== undefined && (use.cpus > (theirs?.cpus ?? 0) || use.gpus > (theirs?.gpus ?? 0));
}

/** True if the job fits into what is left of its team's guarantee. */
function withinGuarantee(d: Dispatcher, job: JobRun): boolean {
  const own = d.settings.teams.find((t) => t.name === job.spec.team);
  const use = d.teamUse.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
  const n = d.waitingCount(job);
  return (
    own !== undefined &&
    own.cpus > 0 &&
    use.cpus + n * job.spec.cpus <= own.cpus &&
    use.gpus + n * job.spec.gpus <= own.gpus
  );
}

/**
 * Makes room for a job that neither a free place nor a machine rented now would serve in time, by stopping
 * the tasks that lose least. Machines where room is being made are kept for it. False: not looked for.
 */
function preempt(d: Dispatcher, job: JobRun, round: ShardRound, reserved: Set<string>): boolean {
  const { spec } = job;
  const now = d.clock.now;
  const entitled = withinGuarantee(d, job);
  const lower = [...d.activeBy].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency]);
  if (!entitled && !lower) return false;
  const limits = limitsOf(spec, d.settings.objectives);
  const ageS = (d.clock.wall - job.at) / 1000;
  const slack = slackS(limits, ageS, spec.estimateS);
  let need = d.waitingCount(job);
  if (spec.shape !== 'gang') need = Math.min(need, 1);
  if (timesFits(spec, d.teamRoom(spec.team)) < need) return false;
  const kinds = d.replica.types.filter((t) => typeAllowed(spec, t));
  const bootS = Math.min(...kinds.map((t) => t.bootS + fetchS(spec, t)));
  const hurry = Number.isFinite(slack) ? slack : 2 * bootS - ageS;
  if (hurry > bootS + 2 * d.settings.workers.report_s) return false;
  const plans: { m: MachineRun; victims: Placement[]; lost: number }[] = [];
  const loss = (p: Placement): number =>
    p.stop !== null || p.ranAt === 0 ? 0 : ((now - p.ranAt) / 1000) * Math.max(p.job.spec.cpus, 0.1);
  for (const m of round.all) {
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    const room = roomOf(d, m);
    const victims: Placement[] = [];
    let lost = 0;
    const all = [...m.placements.values()].filter((p) => p.stop !== null || mayStop(d, job, p, entitled));
    all.sort((a, b) => loss(a) - loss(b));
    for (const p of all) {
      if (fits(spec, room)) break;
      // A gang stops as a whole; that loses more than the room is worth.
      if (p.stop === null && p.job.spec.shape === 'gang') continue;
      room.cpus += p.job.spec.cpus;
      room.gpus += p.job.spec.gpus;
      room.memGb += p.job.spec.memGb;
      victims.push(p);
      lost += loss(p);
    }
    if (fits(spec, room)) plans.push({ m, victims, lost });
  }
  plans.sort((a, b) => a.lost - b.lost);
  if (plans.length < need) return true;
  const kept = new Set<string>();
  for (const plan of plans.slice(0, need)) {
    kept.add(plan.m.host);
    reserved.add(plan.m.host);
    for (const p of plan.victims)
      if (p.stop === null) {
        d.log('info', 'preempting', { job: p.job.id, index: p.index, host: p.host, for: job.id });
        d.stop(p, p.job.spec.saveS);
      }
  }
  round.openings.remove(kept);
  round.all = round.all.filter((m) => !kept.has(m.host));
  return true;
}

/**
 * Moves tasks off spot machines that cost more than on-demand ones, hazard included. Guardrails: a budget
 * per window, residency, only tasks that save, and only when there is a place to go.
 */
function moveOff(d: Dispatcher): void {
  const now = d.clock.now;
  const w = weights(d.operators);
  const hazard = d.hazard.perStep(d.operators['hazard-step-s']);
  if (now - d.movedAt < d.operators['move-window-s'] * 1000) return;
  let tasks = 0;
  for (const m of d.machines.values()) tasks += m.placements.size;
  let budget = moveBudget(d.operators['move-share'], tasks);
  for (const m of d.machines.values()) {
    if (budget <= 0) break;
    if (!m.record.spot || m.placements.size === 0) continue;
    const c = candidate(m.type, true, hazard, false, 0, 0);
    for (const p of m.placements.values()) {
      if (budget <= 0) break;
      const { spec } = p.job;
      if (p.phase !== 'running' || p.stop || spec.checkpointS <= 0 || isPremium(spec)) continue;
      if (!mayMove((now - p.ranAt) / 1000, d.operators['residency-s'])) continue;
      if (
        moveUrgency(
          c,
          anchorPrice(spec, d.replica.types, () => true),
          w,
        ) <= 0
      )
        continue;
      if (!freePlaceOffSpot(d, p.job)) continue;
      d.stop(p, spec.saveS);
      budget--;
      d.movedAt = now;
      d.log('info', 'moving off spot', { job: p.job.id, index: p.index, host: m.host });
    }
  }
}

function freePlaceOffSpot(d: Dispatcher, job: JobRun): boolean {
  for (const m of d.machines.values())
    if (
      m.record.shard === job.shard &&
      !m.spot &&
      typeAllowed(job.spec, m.type) &&
      fits(job.spec, roomOf(d, m)) &&
      usable(d, m) &&
      openTo(job, m)
    )
      return true;
  return false;
}
