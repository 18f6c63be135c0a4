import type { MachineRecord, MachineType } from '../model/machine.js';
import type { Change } from '../wire/store.js';
import { prefix, readKey } from './keys.js';
import {
  readChunk,
  readJob,
  readMachine,
  readTeams,
  readTypes,
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
  readonly machines = new Map<string, Machine>();
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
    for (const change of changes) this.apply(change);
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
      case 'machine': {
        if (here) this.machines.set(ref.host, { ...readMachine(ref.host, data), stamp });
        else this.machines.delete(ref.host);
        this.listener.machineChanged(ref.host, this.machines.get(ref.host));
        break;
      }
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
      done += c.done.count();
      running += c.placed.length;
    }
    return { done, running };
  }
}
