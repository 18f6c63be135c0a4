/** What a shard offers in a placement round. */
import type { JobSpec } from '../../model/job.js';
import { fits, type Resources, type MachineType } from '../../model/machine.js';
import type { GpuReserve } from '../../policy/gpu-sharing.js';
import type { ShardState, QuotaReservation } from '../shard-state/shard-state.js';
import { freeCapacity, acceptsTasks } from '../shard-state/machines.js';
import { CapacityIndex } from '../capacity-index.js';
import type { ScheduledJob, ScheduledMachine } from '../shard-state/types.js';
import { keptMs } from './reservation-ageing.js';

/** What holds for a whole round. */
export interface Round {
  shardState: ShardState;
  /** Jobs within their team's guarantee. */
  entitled: ReadonlySet<ScheduledJob>;
  /** Jobs whose team and class had less than their floor: what is kept for others is open to them. */
  lifted: ReadonlyMap<ScheduledJob, number>;
  /** What waiting GPU work needs beside each GPU. */
  keep: GpuReserve | null;
  /** The least that any waiting task takes. */
  least: Resources;
}

/** What a round keeps for each shard. */
export interface ShardRound extends Round {
  capacityIndex: CapacityIndex<ScheduledMachine>;
  /** All machines that may be used and are not kept for anybody, also full ones, those that run empty soonest first. */
  all: ScheduledMachine[];
  /** Machines that may be used and have had room that nobody has taken for long, also those that are kept for somebody. */
  unused: ScheduledMachine[];
  /** Machines kept for a job that waits. */
  claimed: Map<string, ScheduledMachine[]>;
  /** Types of the machines that may be used. */
  types: Set<MachineType>;
  /** Machines that gangs of this round wait for, with the gangs' urgency. */
  withheld: Map<string, number>;
  /** What of their teams' limits is kept for them, by team. */
  owed: Map<string, QuotaReservation>;
  /** Room being made that a job of this round is counting on, by host. */
  promised: Map<string, Resources>;
}

export function openShard(round: Round, shard: number): ShardRound {
  const { shardState, least } = round;
  const all: ScheduledMachine[] = [];
  const claimed = new Map<string, ScheduledMachine[]>();
  const types = new Set<MachineType>();
  const unused: ScheduledMachine[] = [];
  const { now } = shardState.clock;
  for (const m of shardState.machines.values()) {
    if (m.record.shard !== shard) continue;
    if (!acceptsTasks(shardState, m)) {
      m.freeCapacitySince = 0;
      continue;
    }
    if (!fits(least, freeCapacity(shardState, m))) m.freeCapacitySince = 0;
    else if (m.freeCapacitySince === 0) m.freeCapacitySince = now;
    else if (now - m.freeCapacitySince > keptMs(shardState.settings)) unused.push(m);
    types.add(m.type);
    const claim = shardState.reservations.byHost.get(m.host);
    if (!claim) all.push(m);
    else {
      const mine = claimed.get(claim.job);
      if (mine) mine.push(m);
      else claimed.set(claim.job, [m]);
    }
  }
  const capacityIndex = new CapacityIndex(all, (m) => freeCapacity(shardState, m), least);
  const freeAt = new Map(all.map((m) => [m, freeInS(shardState, m)]));
  all.sort((a, b) => freeAt.get(a)! - freeAt.get(b)!);
  return {
    ...round,
    capacityIndex,
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
function freeInS(shardState: ShardState, m: ScheduledMachine): number {
  let longest = 0;
  for (const p of m.placements.values()) {
    const ran = p.runningSince > 0 ? (shardState.clock.now - p.runningSince) / 1000 : 0;
    const left = p.job.spec.shape === 'service' ? Infinity : p.job.spec.estimateS - ran;
    longest = Math.max(longest, left, 1);
  }
  return longest;
}

export function claim(job: ScheduledJob, round: ShardRound, machines: ScheduledMachine[]): void {
  const mine = new Set<string>();
  for (const m of machines) {
    mine.add(m.host);
    round.shardState.reservations.reserve(m.host, job.id);
  }
  round.capacityIndex.remove(mine);
  round.all = round.all.filter((m) => !mine.has(m.host));
  round.claimed.set(job.id, [...(round.claimed.get(job.id) ?? []), ...machines]);
}

export function add(room: Resources, what: Resources, n: number): void {
  room.cpus += n * what.cpus;
  room.gpus += n * what.gpus;
  room.memGb += n * what.memGb;
}

export function promise(round: ShardRound, m: ScheduledMachine, spec: JobSpec, n: number): void {
  const promised = round.promised.get(m.host) ?? { cpus: 0, gpus: 0, memGb: 0 };
  add(promised, spec, n);
  round.promised.set(m.host, promised);
}
