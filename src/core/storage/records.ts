/** The durable records, and the conversion to and from their stored formats. */
import type { WriteAllocation } from '../../admission/index.js';
import type { Data } from '../../formats/index.js';
import {
  legacyCapabilities,
  type Capabilities,
  type LevelState,
  type RequestedLevel,
} from '../../feature-levels/index.js';
import type { JobSpec, JobState } from '../../model/job.js';
import type { MachineRecord, MachineType } from '../../model/machine.js';
import type { Incarnation, IncarnationStage } from '../../data-loss/index.js';

/**
 * The part that all stored values share. `w` is the ID of the transaction that wrote the value, so that a writer that got no
 * response can tell later whether its transaction was committed.
 */
export interface StoredValue {
  w?: string;
}

/** The presence of a controller that is alive. */
export interface PresenceRecord {
  member: string;
  /** Identifies the start of the process. */
  instanceId: string;
  leaseId: number;
  capabilities: Capabilities;
  modRevision: number;
}

/** The grant of a shard to its owner. */
export interface ShardGrantRecord {
  owner: string;
  instanceId: string;
  modRevision: number;
}

/** A job, open or in its final state. */
export interface JobRecord {
  id: string;
  state: JobState;
  /** null once the job is over: only its outcome is stored then. */
  spec: JobSpec | null;
  /** Wall-clock time of acceptance, ms. */
  acceptedAt: number;
  taskCount: number;
  /** The resources of a cancelled job's tasks, which count as used until the tasks are proven to be gone. */
  usage: JobUsage | null;
  /** Whether the state of its tasks is stored in this record (format 2) and not in a chunk record. */
  tasksInline: boolean;
  modRevision: number;
}

/** What each task of a job takes of its team's quota. */
export interface JobUsage {
  team: string;
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A task that is placed on a machine. */
export interface PlacementRecord {
  index: number;
  attempt: number;
  host: string;
}

/** The state of a chunk of a job's tasks: the part of a chunk's record that its owner decides. */
export interface ChunkState {
  /** The highest attempt number ever used in this chunk. */
  lastAttempt: number;
  done: BitSet;
  placements: PlacementRecord[];
  /** Some of the machines on which the job failed: only in its first chunk, and only until one of its tasks has completed. */
  failedHosts: string[];
}

/** The durable state of a chunk of a job's tasks. */
export interface ChunkRecord extends ChunkState {
  /** How many of the tasks are done. */
  doneCount: number;
  /** The revision of its own record; 0 if it has none. */
  modRevision: number;
  /** Increases with each change of the state in the task log or in a checkpoint; 0 if it has never been in either. */
  version: number;
  /** The version of the state that its own record holds. */
  checkpointVersion: number;
}

/** A set of small non-negative integers, stored as base64. */
export class BitSet {
  constructor(private bytes: Uint8Array = new Uint8Array(0)) {}
  /** Reads the stored form. */
  static decode(text: string): BitSet {
    return new BitSet(new Uint8Array(Buffer.from(text, 'base64')));
  }
  /** Whether a number is in the set. */
  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }
  /** Adds a number. */
  add(index: number): void {
    if (index >> 3 >= this.bytes.length) {
      const grown = new Uint8Array((index >> 3) + 1);
      grown.set(this.bytes);
      this.bytes = grown;
    }
    this.bytes[index >> 3] |= 1 << (index & 7);
  }
  /** How many numbers are in the set. */
  count(): number {
    let count = 0;
    for (let b of this.bytes) for (; b !== 0; b &= b - 1) count++;
    return count;
  }
  /** A set of the same numbers. */
  copy(): BitSet {
    return new BitSet(this.bytes.slice());
  }
  /** The stored form. */
  toString(): string {
    return Buffer.from(this.bytes).toString('base64');
  }
}

/** The stored form of a member's capabilities; fields that only newer programs know are preserved. */
interface StoredCapabilities extends Omit<Capabilities, 'minLevel' | 'maxLevel'> {
  least: number;
  most: number;
}

const capabilitiesData = (capabilities: Capabilities): StoredCapabilities => {
  const { program, minLevel, maxLevel, ...rest } = capabilities;
  return { program, least: minLevel, most: maxLevel, ...rest };
};

const readCapabilities = ({ least, most, ...rest }: StoredCapabilities): Capabilities => ({
  ...rest,
  minLevel: least,
  maxLevel: most,
});

/** The stored form of a presence. */
export const presenceData = (instanceId: string, leaseId: number, capabilities: Capabilities): Data => ({
  run: instanceId,
  hold: leaseId,
  can: capabilitiesData(capabilities),
});
/** The stored form of a shard's grant. */
export const shardGrantData = (owner: string, instanceId: string): Data => ({ owner, run: instanceId });

/** The stored form of an open job without inline task state. */
export const openJobData = (spec: JobSpec, acceptedAt: number): Data => ({ s: 'open', at: acceptedAt, spec });
/** The stored form of a job that is done. */
export const doneJobData = (acceptedAt: number, taskCount: number): Data => ({
  s: 'done',
  at: acceptedAt,
  n: taskCount,
});
/** The stored form of a cancelled job. */
export const cancelledJobData = (acceptedAt: number, taskCount: number, usage: JobUsage): Data => ({
  s: 'cancelled',
  at: acceptedAt,
  n: taskCount,
  u: usage,
});
/** The stored form of a cancelled job with this specification. */
export const cancelledJobDataFromSpec = (
  acceptedAt: number,
  { tasks, team, cpus, gpus, memGb }: JobSpec,
): Data => cancelledJobData(acceptedAt, tasks, { team, cpus, gpus, memGb });

/**
 * The stored form of an open job with the state of its tasks (format 2). The field of the job specification has another name
 * than in format 1, so that a program that knows only format 1 cannot cancel the job: it would drop the placements.
 */
export const inlineJobData = (spec: JobSpec, acceptedAt: number, tasks: Data): Data => ({
  v: 2,
  s: 'open',
  at: acceptedAt,
  n: spec.tasks,
  job: spec,
  t: tasks,
});
/** The stored form of a cancelled job with the state of its tasks (format 2). */
export const inlineCancelledJobData = (acceptedAt: number, spec: JobSpec, tasks: Data): Data => ({
  ...cancelledJobDataFromSpec(acceptedAt, spec),
  v: 2,
  t: tasks,
});

/** Reads a stored job. */
export function readJob(id: string, data: unknown, modRevision: number): JobRecord {
  const d = data as {
    s: JobState;
    at: number;
    n?: number;
    spec?: JobSpec;
    job?: JobSpec;
    u?: JobUsage;
    t?: unknown;
  };
  const spec = d.spec ?? d.job ?? null;
  return {
    id,
    state: d.s,
    spec,
    acceptedAt: d.at,
    taskCount: spec?.tasks ?? d.n ?? 0,
    usage: d.u ?? null,
    tasksInline: d.t !== undefined,
    modRevision,
  };
}

/** The stored form of a chunk. `version` 0: the record is the complete state, and no task log refers to it. */
export const chunkData = (chunk: ChunkState, version = 0): Data => ({
  n: chunk.lastAttempt,
  d: chunk.done.toString(),
  p: chunk.placements.map((p) => [p.index, p.attempt, p.host]),
  ...(chunk.failedHosts.length > 0 ? { f: chunk.failedHosts } : {}),
  ...(version > 0 ? { r: version } : {}),
});

/** Reads the stored state of a chunk. */
export function readChunk(data: unknown, modRevision: number): ChunkRecord {
  const d = data as { n: number; d: string; p: [number, number, string][]; f?: string[]; r?: number };
  const done = BitSet.decode(d.d);
  const version = d.r ?? 0;
  return {
    lastAttempt: d.n,
    done,
    doneCount: done.count(),
    placements: d.p.map(([index, attempt, host]) => ({ index, attempt, host })),
    failedHosts: d.f ?? [],
    modRevision,
    version,
    checkpointVersion: version,
  };
}

/** The stored form of a machine. */
export const machineData = (machine: MachineRecord): Data => ({
  f: machine.type,
  y: machine.zone,
  l: machine.spot,
  s: machine.shard,
  st: machine.state,
  at: machine.since,
});

/** Reads a stored machine. */
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

/** The machines of one rental, stored in one record with one write. Machines in another state have a record of their own. */
export interface BlockRecord {
  type: string;
  zone: string;
  spot: boolean;
  shard: number;
  since: number;
  hosts: string[];
}

/** The stored form of the machines of one rental. */
export const blockData = (block: BlockRecord): Data => ({
  f: block.type,
  y: block.zone,
  l: block.spot,
  s: block.shard,
  at: block.since,
  h: block.hosts,
});

/** Reads the machines of one rental. */
export function readBlock(data: unknown): BlockRecord {
  const d = data as { f: string; y: string; l: boolean; s: number; at: number; h: string[] };
  return { type: d.f, zone: d.y, spot: d.l, shard: d.s, since: d.at, hosts: d.h };
}

/** The stored form of the machine types. */
export const machineTypesData = (types: MachineType[]): Data => ({ types });
/** Reads the stored machine types. */
export const readMachineTypes = (data: unknown): MachineType[] => (data as { types: MachineType[] }).types;

/** Reads a stored presence. */
export const readPresence = (member: string, data: unknown, modRevision: number): PresenceRecord => {
  const d = data as { run: string; hold: number; can?: StoredCapabilities };
  const capabilities = d.can ? readCapabilities(d.can) : legacyCapabilities;
  return { member, instanceId: d.run, leaseId: d.hold, capabilities, modRevision };
};

/** The stored form of the feature level in force, and of the level at which records are written. */
export const levelData = (level: number, writeLevel: number): Data => ({ level, write: writeLevel });
/** Reads the stored feature level. */
export const readLevel = (data: unknown, modRevision: number): LevelState => {
  const { level, write } = data as { level: number; write: number };
  return { level, writeLevel: write, modRevision };
};

/** The stored form of the capabilities that members last reported. */
export const membersData = (
  capabilities: ReadonlyMap<string, Capabilities>,
  note: LevelNote | null,
): Data => ({
  seen: Object.fromEntries([...capabilities].map(([member, c]) => [member, capabilitiesData(c)])),
  ...(note ? { note } : {}),
});

/** The leader's explanation of why the requested feature level cannot be reached. Stored under these field names. */
export interface LevelNote {
  /** The revision of the request. */
  wish: number;
  text: string;
}

/** Reads the capabilities that members last reported. */
export function readMembers(data: unknown): {
  capabilities: Map<string, Capabilities>;
  note: LevelNote | null;
} {
  const d = data as { seen: Record<string, StoredCapabilities>; note?: LevelNote };
  const members = Object.entries(d.seen);
  return {
    capabilities: new Map(members.map(([member, c]) => [member, readCapabilities(c)])),
    note: d.note ?? null,
  };
}

/** The stored form of the requested level. */
export const requestedLevelData = (requested: Omit<RequestedLevel, 'modRevision'>): Data => ({
  ...(requested.maxLevel === null ? {} : { most: requested.maxLevel }),
  lower: requested.lower,
  gone: requested.departedMembers,
});

/** Reads the requested level. */
export function readRequestedLevel(data: unknown, modRevision: number): RequestedLevel {
  const d = data as { most?: number; lower?: boolean; gone?: string[] };
  return {
    maxLevel: d.most ?? null,
    lower: d.lower ?? false,
    departedMembers: d.gone ?? [],
    modRevision: modRevision,
  };
}

/** The share of the maximum value size that an allocation may take; workloads with the lowest rates are left out to fit. */
const maxAllocationValueShare = 0.5;

/** The stored form of the write allocation. */
export function allocationData({ version, members }: WriteAllocation, valueKb: number): Data {
  const workloads = [...members].flatMap(([member, p]) =>
    [...p.workloadRates].map(([workload, rate]) => ({ member, workload, rate })),
  );
  workloads.sort((a, b) => b.rate - a.rate);
  const encode = (list: typeof workloads): Data => ({
    n: version,
    p: Object.fromEntries(
      [...members].map(([member, p]) => [
        member,
        [
          p.total,
          p.newJobs,
          p.maxInUse,
          Object.fromEntries(list.filter((x) => x.member === member).map((x) => [x.workload, x.rate])),
        ],
      ]),
    ),
  });
  let data = encode(workloads);
  while (
    workloads.length > 0 &&
    Buffer.byteLength(JSON.stringify(data)) > valueKb * 1024 * maxAllocationValueShare
  ) {
    workloads.length = Math.floor(workloads.length / 2);
    data = encode(workloads);
  }
  return data;
}

/** Reads the write allocation. */
export function readAllocation(data: unknown): WriteAllocation {
  const d = data as { n: number; p: Record<string, [number, number, number, Record<string, number>]> };
  const members = Object.entries(d.p).map(
    ([member, [total, newJobs, maxInUse, rates]]) =>
      [member, { total, newJobs, maxInUse, workloadRates: new Map(Object.entries(rates)) }] as const,
  );
  return { version: d.n, members: new Map(members) };
}

/** The stored form of an incarnation record. */
export const incarnationData = (by: string, instanceId: string, stage: IncarnationStage): Data => ({
  by,
  run: instanceId,
  stage,
});
/** Reads an incarnation record. */
export const readIncarnation = (n: number, data: unknown, modRevision: number): Incarnation => {
  const { by, run, stage } = data as { by: string; run: string; stage: IncarnationStage };
  return { number: n, openedBy: by, instanceId: run, stage, modRevision: modRevision };
};

/** The stored form of the assignment of teams to shards. */
export const teamShardsData = (shards: string[][]): Data => ({ shards });
/** Reads the assignment of teams to shards. */
export const readTeamShards = (data: unknown): string[][] => (data as { shards: string[][] }).shards;
