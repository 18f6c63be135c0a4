import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { fits, hourly, timesFits, type Fits, type MachineType } from '../model/machine.js';
import { typeAllowed, withinGuarantee } from '../policy/admission.js';
import { mayMove, moveBudget, spotAllowed, zoneOpen } from '../policy/guardrails.js';
import { moveUrgency, order, score, type Candidate, type Weights } from '../policy/helios.js';
import { suspect } from './blame.js';
import type { Dispatcher } from './dispatcher.js';
import type { JobRun, MachineRun, Placement } from './runs.js';
import type { Objective, Settings } from '../config/settings.js';
import { isLimitless, lateness, limitsOf, promptGuarantee, slackS } from '../policy/deadlines.js';
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
 * Placement order: work within its team's guarantee, then urgency, then work that can still keep any of its limits, then
 * work whose next limit is less than `pressingS` away, then HELIOS's order, then work that has missed fewer limits, then
 * the job whose next limit comes first. Work that has no limit at all uses what the others of its urgency leave.
 */
export function inOrder<T extends Queued>(
  jobs: T[],
  objectives: Objective[],
  wall: number,
  pressingS: number,
  entitled: ReadonlySet<T> = new Set(),
): T[] {
  const keyed = jobs.map((job) => {
    const limits = limitsOf(job.spec, objectives);
    const ageS = (wall - job.at) / 1000;
    const runS = job.spec.estimateS * estimateShare;
    const slack = slackS(limits, ageS, runS);
    return {
      job,
      entitled: entitled.has(job),
      urgency: urgencyRank[job.spec.urgency],
      limitless: isLimitless(limits),
      pressing: slack < pressingS,
      lost: !isLimitless(limits) && !Number.isFinite(slack),
      late: lateness(limits, ageS, runS),
      size: sizeClass(job.spec),
      slack,
    };
  });
  keyed.sort(
    (a, b) =>
      Number(b.entitled) - Number(a.entitled) ||
      b.urgency - a.urgency ||
      Number(a.limitless) - Number(b.limitless) ||
      Number(a.lost) - Number(b.lost) ||
      Number(b.pressing) - Number(a.pressing) ||
      b.size - a.size ||
      a.late - b.late ||
      a.slack - b.slack ||
      a.job.at - b.job.at ||
      0,
  );
  return keyed.map((k) => k.job);
}

/** Work that is closer to a limit than this must have the next place that comes free. */
export const pressingS = (settings: Settings): number =>
  2 * settings.workers.report_s + settings.workers.lease_s;

/** Estimates are often wrong by half: a job counts as late only if even half of its estimate is too long. */
const estimateShare = 0.5;

/** Scans for tasks to preempt are dear: so many jobs get one in a round. */
const mostPreemptions = 16;
/** Scans of all machines for tasks of arrays that give way, in a round. */
const mostYields = 4;

/** What a round keeps for each shard. */
interface ShardRound {
  openings: Openings<MachineRun>;
  /** All machines that may be used and are not kept for anybody, also full ones, those that run empty soonest first. */
  all: MachineRun[];
  /** Machines kept for a job that waits. */
  claimed: Map<string, MachineRun[]>;
  /** Types of the machines that may be used. */
  types: Set<MachineType>;
  /** Room being made that a job of this round is counting on, by host. */
  promised: Map<string, Fits>;
}

/**
 * One placement round over all shards of this node, in steps: it yields how many machines it has looked at
 * since, so that reports and requests need not wait for all of it. Between two steps jobs and machines may
 * change; each is looked at anew when its turn comes.
 */
export function* placeRound(d: Dispatcher): Generator<number, void> {
  d.entitled = withinGuarantee(d.jobs.values(), d.settings);
  const waiting = inOrder(
    [...d.jobs.values()].filter((j) => placeable(d, j)),
    d.settings.objectives,
    d.clock.wall,
    pressingS(d.settings),
    promptGuarantee(d.settings.objectives) ? d.entitled : new Set(),
  );
  // Guards against a job with a mistake that has room kept for as long as it is tried.
  const keep = gpuShare(waiting.filter((j) => !suspect(j)));
  const least = { cpus: Infinity, gpus: 0, memGb: Infinity };
  for (const { spec } of waiting) {
    least.cpus = Math.min(least.cpus, spec.cpus);
    least.memGb = Math.min(least.memGb, spec.memGb);
  }
  const shards = new Map<number, ShardRound>();
  const roundOf = (shard: number): ShardRound => {
    let round = shards.get(shard);
    if (!round) shards.set(shard, (round = openShard(d, shard, least)));
    return round;
  };
  let preemptions = 0;
  let yielding = 0;
  d.endClaims();
  // Work of one level is of like urgency, and either all within its teams' guarantees or none.
  const levelOf = (job: JobRun): number => urgencyRank[job.spec.urgency] + (demandsNow(d, job) ? 10 : 0);
  let level = Infinity;
  for (const job of waiting) {
    if (levelOf(job) < level) {
      level = levelOf(job);
      // Among work of like urgency, a GPU machine that has an image takes first what needs it: a fetch can take
      // longer than the task, and the GPU stands still meanwhile.
      for (const other of waiting) {
        const { spec } = other;
        if (levelOf(other) !== level || spec.gpus <= 0 || spec.shape !== 'array') continue;
        if (!placeable(d, other) || d.jobs.get(other.id) !== other) continue;
        const round = roundOf(other.shard);
        placeEach(d, other, round, keep, true);
        yield round.openings.looked;
        round.openings.looked = 0;
      }
    }
    if (!placeable(d, job) || d.jobs.get(job.id) !== job) continue;
    const round = roundOf(job.shard);
    const { openings } = round;
    const count = d.waitingCount(job);
    const hopeless = !round.claimed.has(job.id) && openings.hopeless(job.spec, count);
    if (job.spec.shape === 'gang') {
      if (!hopeless && placeGang(d, job, round, keep)) {
        yield openings.looked;
        openings.looked = 0;
        continue;
      }
      if (gangMayWait(d, job) && !suspect(job)) reserve(d, job, round, keep);
    } else if (!hopeless) placeEach(d, job, round, keep);
    // Guards against a job that has failed everywhere being tried nowhere any more.
    job.anywhere = suspect(job) && job.active.size === 0;
    if (d.waitingCount(job) > 0 && job.active.size === 0 && preemptions < mostPreemptions && !suspect(job))
      if (!round.claimed.get(job.id)?.some((m) => madeRoom(m)) && preempt(d, job, round, keep)) preemptions++;
    if (job.spec.shape === 'array' && d.waitingCount(job) > 0 && yielding < mostYields && !suspect(job))
      if (makeYield(d, job, round, keep)) yielding++;
    yield openings.looked;
    openings.looked = 0;
  }
  moveOff(d);
}

const placeable = (d: Dispatcher, j: JobRun): boolean =>
  !j.cancelled && !j.finishing && !j.breaking && j.notBefore <= d.clock.now && d.waitingCount(j) > 0;

function openShard(d: Dispatcher, shard: number, least: Fits): ShardRound {
  const all: MachineRun[] = [];
  const claimed = new Map<string, MachineRun[]>();
  const types = new Set<MachineType>();
  for (const m of d.machines.values()) {
    if (m.record.shard !== shard || !usable(d, m)) continue;
    types.add(m.type);
    const claim = d.claims.get(m.host);
    if (!claim) all.push(m);
    else {
      const mine = claimed.get(claim.job);
      if (mine) mine.push(m);
      else claimed.set(claim.job, [m]);
    }
  }
  const openings = new Openings(all, (m) => roomOf(d, m), least);
  const freeAt = new Map(all.map((m) => [m, freeInS(d, m)]));
  all.sort((a, b) => freeAt.get(a)! - freeAt.get(b)!);
  return { openings, all, claimed, types, promised: new Map() };
}

/** In how long a machine will have run empty, by its tasks' estimates, s. */
function freeInS(d: Dispatcher, m: MachineRun): number {
  let longest = 0;
  for (const p of m.placements.values()) {
    const ran = p.ranAt > 0 ? (d.clock.now - p.ranAt) / 1000 : 0;
    const left = p.job.spec.shape === 'service' ? Infinity : p.job.spec.estimateS - ran;
    longest = Math.max(longest, left, 1);
  }
  return longest;
}

/** The machines kept for a job, then those open to all. */
function* candidates(d: Dispatcher, job: JobRun, round: ShardRound): Generator<MachineRun> {
  for (const m of round.claimed.get(job.id) ?? []) if (usable(d, m) && openTo(job, m)) yield m;
  yield* eligible(d, job, round.openings);
}

/** True while tasks on a machine are being stopped. */
const madeRoom = (m: MachineRun): boolean => [...m.placements.values()].some((p) => p.stop !== null);

/**
 * Whether premium work without GPUs may take what GPU work needs of a GPU machine: only where there is no other
 * machine for it, or when one that is rented now would come too late.
 */
function mayCrowd(d: Dispatcher, round: ShardRound, job: JobRun): boolean {
  const { spec } = job;
  if (!isPremium(spec)) return false;
  if (![...round.types].some((t) => t.gpus <= 0 && typeAllowed(spec, t))) return true;
  const limits = limitsOf(spec, d.settings.objectives);
  let reach = Infinity;
  for (const t of d.replica.types)
    if (t.gpus <= 0 && typeAllowed(spec, t)) reach = Math.min(reach, t.bootS + fetchS(spec, t));
  return slackS(limits, (d.clock.wall - job.at) / 1000, spec.estimateS) < reach;
}

/** Whether a gang may have a machine of this type emptied for it. */
const mayEmpty = (
  d: Dispatcher,
  round: ShardRound,
  job: JobRun,
  type: MachineType,
  keep: GpuShare | null,
): boolean => type.gpus <= 0 || job.spec.gpus > 0 || keep === null || mayCrowd(d, round, job);

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
  (job.anywhere || !job.errors.has(m.host)) &&
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
const eligible = (
  d: Dispatcher,
  job: JobRun,
  openings: Openings<MachineRun>,
  withImage = false,
): Generator<MachineRun> =>
  openings.best(job.spec, kindScore(d, job.spec), (m) => usable(d, m) && openTo(job, m), withImage);

export const roomOf = (d: Dispatcher, m: MachineRun): Fits => ({
  cpus: m.type.cpus * (1 - d.operators.headroom) - m.used.cpus,
  gpus: m.type.gpus - m.used.gpus,
  memGb: m.type.memGb - m.used.memGb,
});

/** Work without GPUs that runs longer than so many boots of a GPU machine does not go there. */
const companyBoots = 2;

/**
 * A guardrail of ours: work without GPUs goes to a GPU machine only as company for GPU tasks, and arrays only if their tasks
 * are short. Alone it would keep the dearest machines rented for work that cheaper ones can do; long tasks would do so after
 * the GPU work is over.
 */
export const gpuMachineOpen = (spec: JobSpec, type: MachineType, gpusBusy: number): boolean =>
  spec.gpus > 0 ||
  type.gpus <= 0 ||
  (gpusBusy > 0 && (spec.shape !== 'array' || spec.estimateS <= companyBoots * type.bootS));

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
 * A guardrail of ours: while GPU work waits, other work leaves it what it needs beside the free GPUs.
 * Otherwise small CPU tasks fill the GPU machines and the GPUs stand idle. Premium work of higher urgency
 * is exempt if it can go nowhere else.
 */
export function keptRoom(spec: JobSpec, room: Fits, keep: GpuShare | null, crowd: boolean): Fits {
  if (keep === null || spec.gpus > 0 || room.gpus <= 0) return room;
  if (crowd && isPremium(spec) && urgencyRank[spec.urgency] > keep.urgency) return room;
  return {
    cpus: room.cpus - room.gpus * keep.cpus,
    gpus: room.gpus,
    memGb: room.memGb - room.gpus * keep.memGb,
  };
}

function placeEach(
  d: Dispatcher,
  job: JobRun,
  round: ShardRound,
  keep: GpuShare | null,
  withImage = false,
): void {
  const { spec } = job;
  const { openings } = round;
  let left = Math.min(d.waitingCount(job), timesFits(spec, d.teamRoom(spec.team)));
  // A job that only ever failed is tried one task at a time.
  if (suspect(job)) left = Math.min(left, job.active.size === 0 ? 1 : 0);
  if (left <= 0) return;
  const at: { index: number; host: string }[] = [];
  const taken = new Map(job.zones);
  const crowd = mayCrowd(d, round, job);
  const machines = withImage ? eligible(d, job, openings, true) : candidates(d, job, round);
  for (const m of machines) {
    let n = Math.min(left - at.length, timesFits(spec, keptRoom(spec, roomOf(d, m), keep, crowd)));
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
  if (d.waitingCount(job) === 0) d.unclaim(job.id);
  if (withImage) return;
  if (at.length < left && job.errors.size === 0 && !round.claimed.has(job.id)) openings.failed(spec);
}

/** False: the gang waits for something else than room. */
const gangMayWait = (d: Dispatcher, job: JobRun): boolean =>
  job.active.size === 0 && timesFits(job.spec, d.teamRoom(job.spec.team)) >= d.waitingCount(job);

/** A gang is placed whole in one round or not at all. False: it found no room. */
function placeGang(d: Dispatcher, job: JobRun, round: ShardRound, keep: GpuShare | null): boolean {
  const { spec } = job;
  const { openings } = round;
  const need = d.waitingCount(job);
  // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
  if (!gangMayWait(d, job)) return true;
  const hosts = new Map<string | null, string[]>();
  const taken = new Map<string | null, Map<string, number>>();
  const most = new Map<string, number>();
  let total = 0;
  const crowd = mayCrowd(d, round, job);
  for (const m of candidates(d, job, round)) {
    const zone = spec.oneZone ? m.zone : null;
    const room = timesFits(spec, keptRoom(spec, roomOf(d, m), keep, crowd));
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
    d.unclaim(job.id);
    return true;
  }
  if (job.errors.size === 0 && !round.claimed.has(job.id))
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
function reserve(d: Dispatcher, job: JobRun, round: ShardRound, keep: GpuShare | null): void {
  const { spec } = job;
  let held = 0;
  for (const m of round.claimed.get(job.id) ?? []) held += timesFits(spec, m.type);
  const need = d.waitingCount(job) - held;
  if (need <= 0) return;
  const there = round.claimed.get(job.id)?.[0]?.zone ?? null;
  const byZone = new Map<string | null, { machines: MachineRun[]; slots: number }>();
  let best: MachineRun[] | null = null;
  let fit = 0;
  for (const m of round.all) {
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    if (!mayEmpty(d, round, job, m.type, keep)) continue;
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
  if (
    best === null ||
    (d.claims.size > 0 && d.claims.size + best.length > claimShare * (fit + d.claims.size))
  )
    return;
  claim(d, job, round, best);
}

function claim(d: Dispatcher, job: JobRun, round: ShardRound, machines: MachineRun[]): void {
  const mine = new Set<string>();
  for (const m of machines) {
    mine.add(m.host);
    d.claim(m.host, job.id);
  }
  round.openings.remove(mine);
  round.all = round.all.filter((m) => !mine.has(m.host));
  round.claimed.set(job.id, [...(round.claimed.get(job.id) ?? []), ...machines]);
}

/** Whether a waiting job may have a running task stopped (the protocol's "Preemption"). */
function mayStop(d: Dispatcher, job: JobRun, victim: Placement, entitled: boolean): boolean {
  if (urgencyRank[victim.job.spec.urgency] < urgencyRank[job.spec.urgency]) return true;
  if (!entitled || victim.job.spec.team === job.spec.team || d.entitled.has(victim.job)) return false;
  const theirs = d.settings.teams.find((t) => t.name === victim.job.spec.team);
  const use = d.teamUse.get(victim.job.spec.team);
  return use !== undefined && (use.cpus > (theirs?.cpus ?? 0) || use.gpus > (theirs?.gpus ?? 0));
}

/** What stopping some tasks would free on a machine, and what would be lost by it. */
interface Plan {
  m: MachineRun;
  victims: Placement[];
  lost: number;
}

/**
 * Whether a job within its team's guarantee has others stopped for it at once. Only where operators say by when such jobs
 * are to start; elsewhere its limits decide, like anybody's: stopping others early loses their work.
 */
const demandsNow = (d: Dispatcher, job: JobRun): boolean =>
  d.entitled.has(job) && promptGuarantee(d.settings.objectives);

/** What is lost by stopping a task, in CPU-seconds: what it saves is not lost, but `againS` to get going again. */
function loss(d: Dispatcher, p: Placement, againS: number): number {
  if (p.stop !== null || p.ranAt === 0) return 0;
  const { spec } = p.job;
  const ranS = (d.clock.now - p.ranAt) / 1000;
  return Math.max(spec.cpus, 0.1) * (spec.checkpointS > 0 ? Math.min(ranS, spec.saveS + againS) : ranS);
}

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
function preempt(d: Dispatcher, job: JobRun, round: ShardRound, keep: GpuShare | null): boolean {
  const { spec } = job;
  const entitled = d.entitled.has(job);
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
  if (!demandsNow(d, job) && hurry > bootS + 2 * d.settings.workers.report_s) return false;
  let plans: Plan[] = [];
  // For a whole machine much is stopped at once: what saves has to fetch and to queue again, so it counts like the rest.
  const lossOf = (p: Placement): number => loss(d, p, Infinity);
  const kept = round.claimed.get(job.id) ?? [];
  for (const m of [...kept, ...round.all]) {
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    if (!mayEmpty(d, round, job, m.type, keep)) continue;
    const room = roomOf(d, m);
    const victims: Placement[] = [];
    let lost = 0;
    const all = [...m.placements.values()].filter((p) => p.stop !== null || mayStop(d, job, p, entitled));
    all.sort((a, b) => lossOf(a) - lossOf(b));
    for (const p of all) {
      if (fits(spec, room)) break;
      // A gang stops as a whole; that loses more than the room is worth.
      if (p.stop === null && p.job.spec.shape === 'gang') continue;
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
    d,
    job,
    round,
    chosen.map((p) => p.m).filter((m) => !kept.includes(m)),
  );
  for (const plan of chosen)
    for (const p of plan.victims)
      if (p.stop === null) {
        d.log('info', 'preempting', { job: p.job.id, index: p.index, host: p.host, for: job.id });
        d.stop(p, p.job.spec.saveS);
      }
  return true;
}

/** Whether an array may have a task give way at once, not only when it is pressed for time. */
function givesWay(d: Dispatcher, job: JobRun, victim: Placement): boolean {
  const { spec } = victim.job;
  if (victim.stop !== null || spec.shape !== 'array') return false;
  if (demandsNow(d, job)) return mayStop(d, job, victim, true);
  // Work that nobody waits for by a certain time, and that loses next to nothing.
  return (
    urgencyRank[spec.urgency] < urgencyRank[job.spec.urgency] &&
    spec.checkpointS > 0 &&
    isLimitless(limitsOf(spec, d.settings.objectives))
  );
}

/**
 * Has other arrays' tasks give way to a waiting array: those of other teams beyond their guarantees if it is within its
 * own, otherwise work of lower urgency that has no limits and can save. Guards against long arrays of a guest that filled
 * the fleet while it was idle: others would wait until their tasks end. Room that is being made already is counted, for one
 * job of the round only. False: not looked for.
 */
function makeYield(d: Dispatcher, job: JobRun, round: ShardRound, keep: GpuShare | null): boolean {
  const { spec } = job;
  const entitled = demandsNow(d, job);
  if (!entitled && ![...d.activeBy].some(([u, n]) => n > 0 && u < urgencyRank[spec.urgency])) return false;
  let need = Math.min(d.waitingCount(job), timesFits(spec, d.teamRoom(spec.team)));
  const crowd = mayCrowd(d, round, job);
  const plans: Plan[] = [];
  for (const m of round.all) {
    if (need <= 0) return true;
    round.openings.looked++;
    if (!typeAllowed(spec, m.type) || (m.spot && !spotAllowed(spec)) || !openTo(job, m)) continue;
    if (!mayEmpty(d, round, job, m.type, keep)) continue;
    const promised = round.promised.get(m.host);
    const room = roomOf(d, m);
    if (promised) add(room, promised, -1);
    for (const p of m.placements.values()) if (p.stop !== null) add(room, p.job.spec, 1);
    const n = Math.min(need, timesFits(spec, keptRoom(spec, room, keep, crowd)));
    if (n > 0) {
      promise(round, m, spec, n);
      add(room, spec, -n);
      need -= n;
    }
    const victims = [...m.placements.values()].filter((p) => givesWay(d, job, p));
    victims.sort((a, b) => loss(d, a, 0) - loss(d, b, 0));
    let plan: Plan = { m, victims: [], lost: 0 };
    for (const p of victims) {
      add(room, p.job.spec, 1);
      plan.victims.push(p);
      plan.lost += loss(d, p, 0);
      if (!fits(spec, keptRoom(spec, room, keep, crowd))) continue;
      add(room, spec, -1);
      plans.push(plan);
      plan = { m, victims: [], lost: 0 };
    }
  }
  plans.sort((a, b) => a.lost - b.lost);
  for (const plan of plans.slice(0, need)) {
    promise(round, plan.m, spec, 1);
    for (const p of plan.victims) {
      d.log('debug', 'giving way', { job: p.job.id, index: p.index, host: p.host, for: job.id });
      d.stop(p, p.job.spec.saveS);
    }
  }
  if (plans.length > 0 && need > 0)
    d.log('info', 'others give way', { for: job.id, entitled, tasks: Math.min(need, plans.length) });
  return true;
}

function add(room: Fits, what: Fits, n: number): void {
  room.cpus += n * what.cpus;
  room.gpus += n * what.gpus;
  room.memGb += n * what.memGb;
}

function promise(round: ShardRound, m: MachineRun, spec: JobSpec, n: number): void {
  const promised = round.promised.get(m.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  add(promised, spec, n);
  round.promised.set(m.host, promised);
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
