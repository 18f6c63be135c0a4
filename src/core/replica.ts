import type { MachineRecord, MachineType } from '../model/machine.js';
import type { Change } from '../wire/store.js';
import { machineKey, prefix, readKey } from './keys.js';
import {
  readBlock,
  readChunk,
  readJob,
  readMachine,
  readTeams,
  readTypes,
  type BlockRecord,
  type ChunkRecord,
  type JobRecord,
  type NodeRecord,
  type ShardRecord,
  type Stored,
} from './records.js';

export type Machine = MachineRecord & { stamp: number };

/** What the replica tells its owner about a change that took effect. */
export interface ReplicaListener {
  jobChanged(id: string, now: JobRecord | undefined): void;
  machineChanged(host: string, now: Machine | undefined): void;
  shardChanged(shard: number): void;
  /** A change that others must not miss: a job's end, a grant, leadership. */
  weighty(change: Change): void;
}

/**
 * This node's copy of everything under our prefix, fed by the watch and by our own commits. `epoch` is the
 * revision up to which the watch has been followed: the copy is complete up to there, and may hold our own
 * later writes.
 */
export class Replica {
  epoch = -1;
  lead: { member: string; run: string; stamp: number } | null = null;
  types: MachineType[] = [];
  typesStamp = 0;
  teams: string[][] = [];
  teamsStamp = 0;
  readonly nodes = new Map<string, NodeRecord>();
  readonly shards = new Map<number, ShardRecord>();
  /** Every machine: by its own record, or else as its block says. */
  readonly machines = new Map<string, Machine>();
  readonly blocks = new Map<string, BlockRecord>();
  /** Which block a machine came with, and the revision at which it did. */
  private readonly origins = new Map<string, { block: string; stamp: number }>();
  readonly jobs = new Map<string, JobRecord>();
  readonly open = new Set<string>();
  readonly chunks = new Map<string, Map<number, ChunkRecord>>();
  private readonly stamps = new Map<string, number>();
  private readonly writers = new Map<string, string>();
  private readonly gone = new Map<string, number>();

  constructor(private readonly listener: ReplicaListener) {}

  stamp(key: string): number {
    return this.stamps.get(key) ?? 0;
  }

  /** How many keys there are. */
  get size(): number {
    return this.stamps.size;
  }

  /** Which write made the key's present value. */
  writer(key: string): string | undefined {
    return this.writers.get(key);
  }

  /** A complete reading that began at `epoch`: keys it lacks are gone unless they are younger. */
  load(items: Change[], epoch: number): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, stamp] of [...this.stamps])
      if (!present.has(key) && stamp <= epoch) this.apply({ key, data: undefined, stamp: epoch });
    for (const item of items) this.apply(item);
    this.follow(epoch);
  }

  advance(changes: Change[], epoch: number): void {
    // Guards against the overtaken answer: up to `epoch` everything was seen, and an older put must not bring a
    // dropped key back.
    const seen = this.epoch;
    for (const change of changes) if (change.stamp > seen) this.apply(change);
    this.follow(epoch);
  }

  private follow(epoch: number): void {
    if (epoch > this.epoch) this.epoch = epoch;
    // A drop that we made ourselves is remembered until the watch has passed it: an older put that the
    // watch still has to deliver must not bring the key back.
    for (const [key, stamp] of this.gone) if (stamp <= this.epoch) this.gone.delete(key);
  }

  apply({ key, data, stamp }: Change): void {
    if (!key.startsWith(prefix)) return;
    if ((this.stamps.get(key) ?? -1) >= stamp || (this.gone.get(key) ?? -1) >= stamp) return;
    const ref = readKey(key);
    if (ref === null) return;
    if (data === undefined || data === null) {
      this.stamps.delete(key);
      this.writers.delete(key);
      if (stamp > this.epoch) this.gone.set(key, stamp);
    } else {
      this.stamps.set(key, stamp);
      const w = (data as Stored).w;
      if (w !== undefined) this.writers.set(key, w);
      else this.writers.delete(key);
    }
    const here = data !== undefined && data !== null;
    const over = ref.kind === 'job' && here && (data as { s?: unknown }).s !== 'open';
    if (over || ref.kind === 'shard' || ref.kind === 'lead') this.listener.weighty({ key, data, stamp });
    switch (ref.kind) {
      case 'lead': {
        const d = data as { member: string; run: string };
        this.lead = here ? { member: d.member, run: d.run, stamp } : null;
        break;
      }
      case 'types':
        this.types = here ? readTypes(data) : [];
        this.typesStamp = here ? stamp : 0;
        break;
      case 'teams':
        this.teams = here ? readTeams(data) : [];
        this.teamsStamp = here ? stamp : 0;
        break;
      case 'node': {
        const d = data as { run: string; hold: number };
        if (here) this.nodes.set(ref.member, { member: ref.member, run: d.run, hold: d.hold, stamp });
        else this.nodes.delete(ref.member);
        break;
      }
      case 'shard': {
        const d = data as { owner: string; run: string };
        if (here) this.shards.set(ref.shard, { owner: d.owner, run: d.run, stamp });
        else this.shards.delete(ref.shard);
        this.listener.shardChanged(ref.shard);
        break;
      }
      case 'block':
        this.applyBlock(ref.block, here ? readBlock(data) : null, stamp);
        break;
      case 'machine':
        if (here) this.machines.set(ref.host, { ...readMachine(ref.host, data), stamp });
        else this.machines.delete(ref.host);
        this.settleMachine(ref.host);
        break;
      case 'job': {
        if (here) this.jobs.set(ref.id, readJob(ref.id, data, stamp));
        else this.jobs.delete(ref.id);
        const job = this.jobs.get(ref.id);
        if (job?.state === 'open') this.open.add(ref.id);
        else this.open.delete(ref.id);
        this.listener.jobChanged(ref.id, job);
        break;
      }
      case 'chunk': {
        let chunks = this.chunks.get(ref.id);
        if (here) {
          if (!chunks) this.chunks.set(ref.id, (chunks = new Map()));
          chunks.set(ref.chunk, readChunk(data, stamp));
        } else if (chunks) {
          chunks.delete(ref.chunk);
          if (chunks.size === 0) this.chunks.delete(ref.id);
        }
        break;
      }
    }
  }

  private applyBlock(id: string, block: BlockRecord | null, stamp: number): void {
    const before = this.blocks.get(id)?.hosts ?? [];
    if (block) this.blocks.set(id, block);
    else this.blocks.delete(id);
    const now = new Set(block?.hosts);
    for (const host of before)
      if (!now.has(host)) {
        this.origins.delete(host);
        if (this.stamp(machineKey(host)) === 0 && this.machines.delete(host)) this.settleMachine(host);
      }
    for (const host of now)
      if (!this.origins.has(host)) {
        // Rewritten when machines leave it: the others came under their owner when it was first written.
        this.origins.set(host, { block: id, stamp });
        if (this.stamp(machineKey(host)) === 0) this.settleMachine(host);
      }
  }

  /** A machine without a record of its own stands as its block says. */
  private settleMachine(host: string): void {
    const origin = this.origins.get(host);
    const block = origin && this.blocks.get(origin.block);
    if (block && this.stamp(machineKey(host)) === 0) {
      const { type, zone, spot, shard, since } = block;
      this.machines.set(host, { host, type, zone, spot, shard, since, standing: 'use', stamp: origin.stamp });
    }
    this.listener.machineChanged(host, this.machines.get(host));
  }

  blockOf(host: string): string | undefined {
    return this.origins.get(host)?.block;
  }

  shardOf(team: string): number {
    return this.teams.findIndex((teams) => teams.includes(team));
  }

  isAlive(member: string, run: string): boolean {
    return this.nodes.get(member)?.run === run;
  }

  /** The member that answers for a machine, with the token that its answers carry. */
  custodian(m: Machine): { member: string; run: string; token: number } | null {
    const holder = m.shard >= 0 ? this.shards.get(m.shard) : undefined;
    if (holder) return { member: holder.owner, run: holder.run, token: Math.max(m.stamp, holder.stamp) };
    if (m.shard < 0 && this.lead)
      return { member: this.lead.member, run: this.lead.run, token: Math.max(m.stamp, this.lead.stamp) };
    return null;
  }

  counts(id: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const c of this.chunks.get(id)?.values() ?? []) {
      done += c.doneCount;
      running += c.placed.length;
    }
    return { done, running };
  }
}
