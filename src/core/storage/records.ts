/** The durable records and their stored forms. */
import type { Plan } from '../../admission/index.js';
import type { Data } from '../../formats/index.js';
import { unaware, type Ability, type Wish } from '../../feature-levels/index.js';
import type { JobSpec, JobState } from '../../model/job.js';
import type { MachineRecord, MachineType } from '../../model/machine.js';
import type { Incarnation, Stage } from '../../data-loss/index.js';

/**
 * The durable records and their stored form. `w` in a stored value names the write that made it, so that
 * a writer who got no answer can tell later whether its write took effect.
 */
export interface Stored {
  w?: string;
}

export interface NodeRecord {
  member: string;
  /** Which start of the process this is. */
  run: string;
  hold: number;
  can: Ability;
  stamp: number;
}

export interface ShardRecord {
  owner: string;
  run: string;
  stamp: number;
}

export interface JobRecord {
  id: string;
  state: JobState;
  /** null once the job is over: only the outcome is kept. */
  spec: JobSpec | null;
  /** Time of day of acceptance, ms. */
  at: number;
  tasks: number;
  /** Of a cancelled job: what its tasks take while they are not proven gone. */
  use: JobUse | null;
  /** The state of its tasks is in this very record (format 2), not in one of its own. */
  whole: boolean;
  stamp: number;
}

export interface JobUse {
  team: string;
  cpus: number;
  gpus: number;
  memGb: number;
}

export interface Placed {
  index: number;
  attempt: number;
  host: string;
}

/** The state of some of a job's tasks: what of a chunk's record its owner decides. */
export interface ChunkState {
  /** The highest attempt number ever used in this chunk. */
  last: number;
  done: Bits;
  placed: Placed[];
  /** Of a job's first chunk, while none of its tasks has completed: some of the machines on which it failed. */
  failed: string[];
}

/** The durable state of some of a job's tasks. */
export interface ChunkRecord extends ChunkState {
  /** How many are done. */
  doneCount: number;
  /** The revision of its own record; 0: it has none. */
  stamp: number;
  /** Rises with each change of the state that the task log or a checkpoint tells; 0: neither ever did. */
  revision: number;
  /** The revision of the state that its own record holds. */
  checkpoint: number;
}

export class Bits {
  constructor(private bytes: Uint8Array = new Uint8Array(0)) {}
  static from(text: string): Bits {
    return new Bits(new Uint8Array(Buffer.from(text, 'base64')));
  }
  has(i: number): boolean {
    return ((this.bytes[i >> 3] ?? 0) & (1 << (i & 7))) !== 0;
  }
  add(i: number): void {
    if (i >> 3 >= this.bytes.length) {
      const wider = new Uint8Array((i >> 3) + 1);
      wider.set(this.bytes);
      this.bytes = wider;
    }
    this.bytes[i >> 3] |= 1 << (i & 7);
  }
  count(): number {
    let n = 0;
    for (let b of this.bytes) for (; b !== 0; b &= b - 1) n++;
    return n;
  }
  copy(): Bits {
    return new Bits(this.bytes.slice());
  }
  toString(): string {
    return Buffer.from(this.bytes).toString('base64');
  }
}

export const nodeData = (run: string, hold: number, can: Ability): Data => ({ run, hold, can });
export const shardData = (owner: string, run: string): Data => ({ owner, run });

export const jobData = (spec: JobSpec, at: number): Data => ({ s: 'open', at, spec });
export const jobDoneData = (at: number, tasks: number): Data => ({ s: 'done', at, n: tasks });
export const cancelledData = (at: number, tasks: number, u: JobUse): Data => ({
  s: 'cancelled',
  at,
  n: tasks,
  u,
});
export const jobCancelledData = (at: number, { tasks, team, cpus, gpus, memGb }: JobSpec): Data =>
  cancelledData(at, tasks, { team, cpus, gpus, memGb });

/**
 * Format 2: with the state of the job's tasks in it. The description has another name than in format 1: a program that knows
 * only that could otherwise cancel the job, and would drop what is placed. As it is, it cannot.
 */
export const wholeJobData = (spec: JobSpec, at: number, tasks: Data): Data => ({
  v: 2,
  s: 'open',
  at,
  n: spec.tasks,
  job: spec,
  t: tasks,
});
export const wholeCancelledData = (at: number, spec: JobSpec, tasks: Data): Data => ({
  ...jobCancelledData(at, spec),
  v: 2,
  t: tasks,
});

export function readJob(id: string, data: unknown, stamp: number): JobRecord {
  const d = data as {
    s: JobState;
    at: number;
    n?: number;
    spec?: JobSpec;
    job?: JobSpec;
    u?: JobUse;
    t?: unknown;
  };
  const spec = d.spec ?? d.job ?? null;
  return {
    id,
    state: d.s,
    spec,
    at: d.at,
    tasks: spec?.tasks ?? d.n ?? 0,
    use: d.u ?? null,
    whole: d.t !== undefined,
    stamp,
  };
}

/** `revision` 0: what the record says is all there is, no task log follows it. */
export const chunkData = (c: ChunkState, revision = 0): Data => ({
  n: c.last,
  d: c.done.toString(),
  p: c.placed.map((p) => [p.index, p.attempt, p.host]),
  ...(c.failed.length > 0 ? { f: c.failed } : {}),
  ...(revision > 0 ? { r: revision } : {}),
});

export function readChunk(data: unknown, stamp: number): ChunkRecord {
  const d = data as { n: number; d: string; p: [number, number, string][]; f?: string[]; r?: number };
  const done = Bits.from(d.d);
  const revision = d.r ?? 0;
  return {
    last: d.n,
    done,
    doneCount: done.count(),
    placed: d.p.map(([index, attempt, host]) => ({ index, attempt, host })),
    failed: d.f ?? [],
    stamp,
    revision,
    checkpoint: revision,
  };
}

export const machineData = (m: MachineRecord): Data => ({
  f: m.type,
  y: m.zone,
  l: m.spot,
  s: m.shard,
  st: m.state,
  at: m.since,
});

export function readMachine(host: string, data: unknown): MachineRecord {
  const d = data as {
    f: string;
    y: string;
    l: boolean;
    s: number;
    st: MachineRecord['state'];
    at: number;
  };
  return { host, type: d.f, zone: d.y, spot: d.l, shard: d.s, state: d.st, since: d.at };
}

/** A rental's machines: one write for all of them. Those that stand otherwise have a record of their own. */
export interface BlockRecord {
  type: string;
  zone: string;
  spot: boolean;
  shard: number;
  since: number;
  hosts: string[];
}

export const blockData = (b: BlockRecord): Data => ({
  f: b.type,
  y: b.zone,
  l: b.spot,
  s: b.shard,
  at: b.since,
  h: b.hosts,
});

export function readBlock(data: unknown): BlockRecord {
  const d = data as { f: string; y: string; l: boolean; s: number; at: number; h: string[] };
  return { type: d.f, zone: d.y, spot: d.l, shard: d.s, since: d.at, hosts: d.h };
}

export const typesData = (types: MachineType[]): Data => ({ types });
export const readTypes = (data: unknown): MachineType[] => (data as { types: MachineType[] }).types;

export const readNode = (member: string, data: unknown, stamp: number): NodeRecord => {
  const d = data as { run: string; hold: number; can?: Ability };
  return { member, run: d.run, hold: d.hold, can: d.can ?? unaware, stamp };
};

/** The level in force, what is written at it, and what members were last seen with. */
export const levelData = (level: number, write: number): Data => ({ level, write });
export const membersData = (seen: ReadonlyMap<string, Ability>, note: LevelNote | null): Data => ({
  seen: Object.fromEntries(seen),
  ...(note ? { note } : {}),
});

/** The leader's answer to what operators want, if that cannot be done. */
export interface LevelNote {
  /** The revision of the wish. */
  wish: number;
  text: string;
}

export function readMembers(data: unknown): { capabilities: Map<string, Ability>; note: LevelNote | null } {
  const d = data as { seen: Record<string, Ability>; note?: LevelNote };
  return { capabilities: new Map(Object.entries(d.seen)), note: d.note ?? null };
}

export const wishData = (w: Omit<Wish, 'stamp'>): Data => ({
  ...(w.most === null ? {} : { most: w.most }),
  lower: w.lower,
  gone: w.gone,
});

export function readWish(data: unknown, stamp: number): Wish {
  const d = data as { most?: number; lower?: boolean; gone?: string[] };
  return { most: d.most ?? null, lower: d.lower ?? false, gone: d.gone ?? [], stamp };
}

/** How much of what a value may hold a plan takes; kinds that do not fit are left out, smallest first. */
const maxAllocationValueShare = 0.5;

export function allocationData({ version: number, members: parts }: Plan, valueKb: number): Data {
  const named = [...parts].flatMap(([member, p]) =>
    [...p.kinds].map(([kind, rate]) => ({ member, kind, rate })),
  );
  named.sort((a, b) => b.rate - a.rate);
  const of = (list: typeof named): Data => ({
    n: number,
    p: Object.fromEntries(
      [...parts].map(([member, p]) => [
        member,
        [
          p.total,
          p.users,
          p.most,
          Object.fromEntries(list.filter((x) => x.member === member).map((x) => [x.kind, x.rate])),
        ],
      ]),
    ),
  });
  let data = of(named);
  while (
    named.length > 0 &&
    Buffer.byteLength(JSON.stringify(data)) > valueKb * 1024 * maxAllocationValueShare
  ) {
    named.length = Math.floor(named.length / 2);
    data = of(named);
  }
  return data;
}

export function readAllocation(data: unknown): Plan {
  const d = data as { n: number; p: Record<string, [number, number, number, Record<string, number>]> };
  const parts = Object.entries(d.p).map(
    ([member, [total, users, most, kinds]]) =>
      [member, { total, users, most, kinds: new Map(Object.entries(kinds)) }] as const,
  );
  return { version: d.n, members: new Map(parts) };
}

export const incData = (by: string, run: string, stage: Stage): Data => ({ by, run, stage });
export const readInc = (n: number, data: unknown, stamp: number): Incarnation => {
  const { by, run, stage } = data as { by: string; run: string; stage: Stage };
  return { number: n, openedBy: by, run, stage, stamp };
};

/** Which teams are at home in which shard. */
export const teamsData = (shards: string[][]): Data => ({ shards });
export const readTeams = (data: unknown): string[][] => (data as { shards: string[][] }).shards;
