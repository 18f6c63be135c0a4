/** What a shard offers in a placement round. */
import type { JobSpec } from '../../model/job.js';
import { fits, type Resources, type MachineType } from '../../model/machine.js';
import type { GpuReserve } from '../../policy/gpu-sharing.js';
import type { Books, Owed } from '../shard-state/shard-state.js';
import { roomOf, usable } from '../shard-state/machines.js';
import { Openings } from '../capacity-index.js';
import type { JobRun, MachineRun } from '../shard-state/types.js';
import { keptMs } from './reservation-ageing.js';

/** What holds for a whole round. */
export interface Round {
  books: Books;
  /** Jobs within their team's guarantee. */
  entitled: ReadonlySet<JobRun>;
  /** Jobs whose team and class had less than their floor: what is kept for others is open to them. */
  lifted: ReadonlyMap<JobRun, number>;
  /** What waiting GPU work needs beside each GPU. */
  keep: GpuReserve | null;
  /** The least that any waiting task takes. */
  least: Resources;
}

/** What a round keeps for each shard. */
export interface ShardRound extends Round {
  openings: Openings<MachineRun>;
  /** All machines that may be used and are not kept for anybody, also full ones, those that run empty soonest first. */
  all: MachineRun[];
  /** Machines that may be used and have had room that nobody has taken for long, also those that are kept for somebody. */
  unused: MachineRun[];
  /** Machines kept for a job that waits. */
  claimed: Map<string, MachineRun[]>;
  /** Types of the machines that may be used. */
  types: Set<MachineType>;
  /** Machines that gangs of this round wait for, with the gangs' urgency. */
  withheld: Map<string, number>;
  /** What of their teams' limits is kept for them, by team. */
  owed: Map<string, Owed>;
  /** Room being made that a job of this round is counting on, by host. */
  promised: Map<string, Resources>;
}

export function openShard(round: Round, shard: number): ShardRound {
  const { books, least } = round;
  const all: MachineRun[] = [];
  const claimed = new Map<string, MachineRun[]>();
  const types = new Set<MachineType>();
  const unused: MachineRun[] = [];
  const { now } = books.clock;
  for (const m of books.machines.values()) {
    if (m.record.shard !== shard) continue;
    if (!usable(books, m)) {
      m.roomSince = 0;
      continue;
    }
    if (!fits(least, roomOf(books, m))) m.roomSince = 0;
    else if (m.roomSince === 0) m.roomSince = now;
    else if (now - m.roomSince > keptMs(books.settings)) unused.push(m);
    types.add(m.type);
    const claim = books.claims.held.get(m.host);
    if (!claim) all.push(m);
    else {
      const mine = claimed.get(claim.job);
      if (mine) mine.push(m);
      else claimed.set(claim.job, [m]);
    }
  }
  const openings = new Openings(all, (m) => roomOf(books, m), least);
  const freeAt = new Map(all.map((m) => [m, freeInS(books, m)]));
  all.sort((a, b) => freeAt.get(a)! - freeAt.get(b)!);
  return {
    ...round,
    openings,
    all,
    unused,
    claimed,
    types,
    withheld: new Map(),
    owed: new Map(),
    promised: new Map(),
  };
}

/** In how long a machine will have run empty, by its tasks' estimates, s. */
function freeInS(books: Books, m: MachineRun): number {
  let longest = 0;
  for (const p of m.placements.values()) {
    const ran = p.ranAt > 0 ? (books.clock.now - p.ranAt) / 1000 : 0;
    const left = p.job.spec.shape === 'service' ? Infinity : p.job.spec.estimateS - ran;
    longest = Math.max(longest, left, 1);
  }
  return longest;
}

export function claim(job: JobRun, round: ShardRound, machines: MachineRun[]): void {
  const mine = new Set<string>();
  for (const m of machines) {
    mine.add(m.host);
    round.books.claims.keep(m.host, job.id);
  }
  round.openings.remove(mine);
  round.all = round.all.filter((m) => !mine.has(m.host));
  round.claimed.set(job.id, [...(round.claimed.get(job.id) ?? []), ...machines]);
}

export function add(room: Resources, what: Resources, n: number): void {
  room.cpus += n * what.cpus;
  room.gpus += n * what.gpus;
  room.memGb += n * what.memGb;
}

export function promise(round: ShardRound, m: MachineRun, spec: JobSpec, n: number): void {
  const promised = round.promised.get(m.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  add(promised, spec, n);
  round.promised.set(m.host, promised);
}
