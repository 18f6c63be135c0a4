import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import { fits, hourly, timesFits, type Fits, type MachineType } from '../model/machine.js';
import { typeAllowed } from '../policy/admission.js';
import { mayMove, moveBudget, spotAllowed, zoneOpen } from '../policy/guardrails.js';
import { moveUrgency, order, score, type Candidate, type Weights } from '../policy/helios.js';
import type { Dispatcher, JobRun, MachineRun, Placement } from './dispatcher.js';
import type { Objective } from '../config/settings.js';
import { lateness, limitsOf, slackS } from '../policy/deadlines.js';
import type { Operators } from '../config/operators.js';

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

/** One placement round over all shards of this node. */
export function placeRound(d: Dispatcher): void {
  const now = d.clock.now;
  const waiting = inOrder(
    [...d.jobs.values()].filter(
      (j) => !j.cancelled && !j.finishing && !j.breaking && j.notBefore <= now && d.waitingCount(j) > 0,
    ),
    d.settings.objectives,
    d.clock.wall,
  );
  const keep = gpuShare(waiting);
  // Machines kept for a gang that found no room: nothing of lower order goes there.
  const reserved = new Set<string>();
  for (const job of waiting) {
    const machines = eligible(d, job).filter((m) => !reserved.has(m.host));
    if (job.spec.shape === 'gang') {
      if (placeGang(d, job, machines, keep)) continue;
      reserve(d, job, machines, reserved);
    } else placeEach(d, job, machines, keep);
    if (d.waitingCount(job) > 0 && job.active.size === 0) preempt(d, job, machines, reserved);
  }
  moveOff(d);
}

/** Machines of the job's shard that may take its tasks, best first. */
function eligible(d: Dispatcher, job: JobRun): MachineRun[] {
  const { spec } = job;
  const now = d.clock.now;
  const stale = d.settings.workers.report_s * 2500;
  const anchor = anchorPrice(spec, d.replica.types, () => true);
  const hazard = d.hazard.perStep(d.operators['hazard-step-s']);
  const w = weights(d.operators);
  const work = { premium: isPremium(spec), cpus: spec.cpus };
  const scored: { m: MachineRun; s: number }[] = [];
  for (const m of d.machines.values()) {
    if (m.record.shard !== job.shard || m.record.standing !== 'use' || m.condemned || m.releasing) continue;
    if (m.provenAt === 0 || now - m.heardAt > stale || m.noticeAt > 0 || m.avoidUntil > now) continue;
    if (job.errors.has(m.host) || !typeAllowed(spec, m.type)) continue;
    if (spec.zone !== null && spec.zone !== m.record.zone) continue;
    if (m.record.spot && !spotAllowed(spec)) continue;
    const delayS = m.images.has(spec.image) ? 0 : fetchS(spec, m.type);
    const room = roomOf(d, m);
    if (!gpuMachineOpen(spec, m.type, m.type.gpus - room.gpus)) continue;
    // A leased machine is there already, also when it stands idle: only one to be rented is fresh.
    const c = candidate(m.type, m.record.spot, hazard, false, room.cpus, delayS);
    // Fuller machines first, so that the others run empty and can be returned.
    scored.push({ m, s: score(work, c, anchor, w) + packing * fullness(m.type, room) });
  }
  return scored.sort((a, b) => b.s - a.s).map((x) => x.m);
}

export const roomOf = (d: Dispatcher, m: MachineRun): Fits => ({
  cpus: m.type.cpus * (1 - d.operators.headroom) - m.used.cpus,
  gpus: m.type.gpus - m.used.gpus,
  memGb: m.type.memGb - m.used.memGb,
});

/** Tie-break among machines of like score; far below any price difference that matters. */
const packing = 1e-4;

/** How full a machine is, by what is scarcest on it. */
const fullness = (type: MachineType, room: Fits): number =>
  type.gpus > 0 ? 1 - room.gpus / type.gpus : 1 - room.cpus / type.cpus;

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

function placeEach(d: Dispatcher, job: JobRun, machines: MachineRun[], keep: GpuShare | null): void {
  const { spec } = job;
  let left = Math.min(d.waitingCount(job), timesFits(spec, d.teamRoom(spec.team)));
  // A job that only ever failed is tried one task at a time.
  if (job.errors.size >= 2 && job.successes === 0) left = Math.min(left, job.active.size === 0 ? 1 : 0);
  const at: { index: number; host: string }[] = [];
  const taken = new Map(job.zones);
  for (const m of machines) {
    let n = Math.min(left - at.length, timesFits(spec, keptRoom(spec, roomOf(d, m), keep)));
    for (; n > 0 && zoneOpen(spec, m.record.zone, taken); n--) {
      const index = d.nextWaiting(job);
      if (index < 0) break;
      at.push({ index, host: m.host });
      taken.set(m.record.zone, (taken.get(m.record.zone) ?? 0) + 1);
    }
    if (at.length >= left) break;
  }
  if (at.length > 0) d.place(job, at);
}

/** A gang is placed whole in one round or not at all. */
function placeGang(d: Dispatcher, job: JobRun, machines: MachineRun[], keep: GpuShare | null): boolean {
  const { spec } = job;
  const need = d.waitingCount(job);
  // Tasks of an earlier attempt hold their machines and zones until they are proven gone.
  if (job.active.size > 0) return true;
  if (timesFits(spec, d.teamRoom(spec.team)) < need) return true;
  const zones = spec.oneZone ? [...new Set(machines.map((m) => m.record.zone))] : [null];
  for (const zone of zones) {
    const hosts: string[] = [];
    const taken = new Map<string, number>();
    for (const m of machines) {
      if (zone !== null && m.record.zone !== zone) continue;
      const room = timesFits(spec, keptRoom(spec, roomOf(d, m), keep));
      for (let i = 0; i < room && hosts.length < need && zoneOpen(spec, m.record.zone, taken); i++) {
        hosts.push(m.host);
        taken.set(m.record.zone, (taken.get(m.record.zone) ?? 0) + 1);
      }
      if (hosts.length >= need) break;
    }
    if (hosts.length < need) continue;
    const at: { index: number; host: string }[] = [];
    for (const host of hosts) {
      const index = d.nextWaiting(job);
      if (index >= 0) at.push({ index, host });
    }
    d.place(job, at, d.nextGangAttempt(job));
    return true;
  }
  return false;
}

/** Keeps for a gang the machines that will have room soonest, so that small tasks do not starve it. */
function reserve(d: Dispatcher, job: JobRun, machines: MachineRun[], reserved: Set<string>): void {
  const { spec } = job;
  let need = d.waitingCount(job);
  const busy = machines
    .filter((m) => fits(spec, m.type))
    .sort((a, b) => a.used.cpus / a.type.cpus - b.used.cpus / b.type.cpus);
  for (const m of busy) {
    if (need <= 0) break;
    need -= timesFits(spec, m.type);
    reserved.add(m.host);
  }
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
 * the tasks that lose least. Machines where room is being made are kept for it.
 */
function preempt(d: Dispatcher, job: JobRun, machines: MachineRun[], reserved: Set<string>): void {
  const { spec } = job;
  const now = d.clock.now;
  const limits = limitsOf(spec, d.settings.objectives);
  const ageS = (d.clock.wall - job.at) / 1000;
  const slack = slackS(limits, ageS, spec.estimateS);
  const entitled = withinGuarantee(d, job);
  let need = d.waitingCount(job);
  if (spec.shape !== 'gang') need = Math.min(need, 1);
  if (timesFits(spec, d.teamRoom(spec.team)) < need || machines.length === 0) return;
  const bootS = Math.min(...machines.map((m) => m.type.bootS + fetchS(spec, m.type)));
  const hurry = Number.isFinite(slack) ? slack : 2 * bootS - ageS;
  if (hurry > bootS + 2 * d.settings.workers.report_s) return;
  const plans: { m: MachineRun; victims: Placement[]; lost: number }[] = [];
  for (const m of machines) {
    if (!fits(spec, m.type)) continue;
    const room = roomOf(d, m);
    const victims: Placement[] = [];
    let lost = 0;
    const all = [...m.placements.values()].filter((p) => p.stop !== null || mayStop(d, job, p, entitled));
    const loss = (p: Placement): number =>
      p.stop !== null || p.ranAt === 0 ? 0 : ((now - p.ranAt) / 1000) * Math.max(p.job.spec.cpus, 0.1);
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
  if (plans.length < need) return;
  for (const plan of plans.slice(0, need)) {
    reserved.add(plan.m.host);
    for (const p of plan.victims)
      if (p.stop === null) {
        d.log('info', 'preempting', { job: p.job.id, index: p.index, host: p.host, for: job.id });
        p.stop = { graceS: p.job.spec.saveS, since: now };
      }
  }
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
      const target = eligible(d, p.job).some((t) => !t.record.spot && fits(spec, roomOf(d, t)));
      if (!target) continue;
      p.stop = { graceS: spec.saveS, since: now };
      budget--;
      d.movedAt = now;
      d.log('info', 'moving off spot', { job: p.job.id, index: p.index, host: m.host });
    }
  }
}
