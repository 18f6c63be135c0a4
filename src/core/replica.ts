/** A controller's copy of the state, kept up by the watch. */
import { inspect, type Data, type Kind } from '../formats/index.js';
import type { WriteAllocation } from '../admission/index.js';
import {
  initialLevelState,
  noRequestedLevel,
  type Capabilities,
  type FeatureLevels,
  type RequestedLevel,
} from '../feature-levels/index.js';
import type { MachineRecord, MachineType } from '../model/machine.js';
import { attemptBase, tokenBase, type Incarnation } from '../data-loss/index.js';
import type { Change } from '../wire/store.js';
import {
  type BlockRecord,
  leaderKey,
  chunkKey,
  type ChunkRecord,
  jobKey,
  type JobRecord,
  type ParsedKey,
  machineTypesKey,
  legacyLeaderKey,
  levelKey,
  type LevelNote,
  LogReader,
  machineKey,
  type PresenceRecord,
  keyPrefix,
  readBlock,
  readChunk,
  readIncarnation,
  readJob,
  readLevel,
  parseKey,
  readMachine,
  readMembers,
  readPresence,
  readAllocation,
  readTeamShards,
  readMachineTypes,
  readRequestedLevel,
  type ShardGrantRecord,
  type StoredValue,
  legacyMachineTypesKey,
} from './storage/index.js';

export type VersionedMachine = MachineRecord & { modRevision: number };

/** What the replica tells its owner about a change that took effect. */
export interface ReplicaListener {
  jobChanged(id: string, job: JobRecord | undefined): void;
  machineChanged(host: string, machine: VersionedMachine | undefined): void;
  shardChanged(shard: number): void;
  /** A change that others must not miss: a job's end, a grant, leadership. */
  criticalChange(change: Change): void;
  /** A record that is not acted on, and why; null: it can be read again. */
  readabilityChanged(key: string, reason: string | null): void;
  levelChanged(): void;
  incarnationChanged(): void;
}

interface LeaderRecord {
  member: string;
  instanceId: string;
  modRevision: number;
}

const recordKindOf = (ref: ParsedKey): Kind =>
  ref.kind === 'chief' ? 'lead' : ref.kind === 'kinds' ? 'types' : ref.kind;

/** Without these nobody could join, lead or be told the level: damaged ones are written anew. */
const replaceableKinds: ReadonlySet<string> = new Set([
  'node',
  'lead',
  'chief',
  'types',
  'kinds',
  'members',
  'wish',
  'plan',
]);

/**
 * This node's copy of everything under our prefix, fed by the watch and by our own commits. `epoch` is the
 * revision up to which the watch has been followed: the copy is complete up to there, and may hold our own
 * later writes.
 */
export class Replica {
  watchRevision = -1;
  /** Who leads, by the key that holds it: which one counts depends on the level. */
  private readonly leaderRecords = new Map<string, LeaderRecord>();
  private readonly machineTypesByKey = new Map<string, MachineType[]>();
  machineTypes: MachineType[] = [];
  /** What members were last seen with, and the leader's answer to the operators. */
  members: { capabilities: Map<string, Capabilities>; note: LevelNote | null } = {
    capabilities: new Map(),
    note: null,
  };
  requestedLevel: RequestedLevel = noRequestedLevel;
  /** Incarnations that the state names: one, but for the moments in which another is opened. */
  readonly incarnations = new Map<number, Incarnation>();
  /** Who may write how much; null: there is no plan. */
  writeAllocation: WriteAllocation | null = null;
  teamsByShard: string[][] = [];
  teamsModRevision = 0;
  readonly presences = new Map<string, PresenceRecord>();
  /** What members could do when they were last here, as far as this process has seen it. */
  readonly observedCapabilities = new Map<string, Capabilities>();
  readonly shards = new Map<number, ShardGrantRecord>();
  /** Every machine: by its own record, or else as its block says. */
  readonly machines = new Map<string, VersionedMachine>();
  readonly blocks = new Map<string, BlockRecord>();
  /** Which block a machine came with, and the revision at which it did. */
  private readonly originBlocks = new Map<string, { block: string; stamp: number }>();
  readonly jobs = new Map<string, JobRecord>();
  /** How many jobs are recorded, whether their records can be read or not. */
  jobCount = 0;
  readonly openJobs = new Set<string>();
  readonly chunks = new Map<string, Map<number, ChunkRecord>>();
  private readonly modRevisions = new Map<string, number>();
  private readonly writers = new Map<string, string>();
  private readonly recentDeletions = new Map<string, number>();
  /** Fields of records that this program does not know. */
  private readonly unknownFields = new Map<string, Data>();
  /** Records that are not acted on, and why. */
  readonly unreadableRecords = new Map<string, string>();
  /** Jobs whose tasks' records cannot be read. */
  private readonly unreadableChunks = new Map<string, Set<number>>();
  /** Jobs whose record holds the state of their tasks. */
  readonly jobsWithInlineTasks = new Set<string>();
  /** Changes of tasks' states that are not in their own records yet. */
  readonly taskLog = new LogReader({
    get: (job, chunk) => this.chunks.get(job)?.get(chunk),
    set: (job, chunk, state) => this.setLoggedChunk(job, chunk, state),
    remove: (job, chunk) => this.setChunk(job, chunk, null),
    jobStatus: (job) => this.taskLogStatus(job),
  });
  /** Records of the task log that cannot be read: nobody knows what they placed. */
  private readonly unreadableLogs = new Set<string>();

  constructor(
    private readonly listener: ReplicaListener,
    readonly levels: FeatureLevels,
  ) {}

  /** Whether the states of a job's tasks are in the task log and in records of their own. */
  taskLogStatus(id: string): 'unknown' | 'followed' | 'over' {
    const job = this.jobs.get(id);
    if (!job) return 'unknown';
    return job.state === 'done' || this.jobsWithInlineTasks.has(id) ? 'over' : 'followed';
  }

  /** The revision of a chunk's state that its own record holds; null: nothing is known of its tasks. */
  checkpointVersionOf(id: string, chunk: number): number | null {
    return this.chunks.get(id)?.get(chunk)?.checkpointVersion ?? null;
  }

  /** The state of some tasks as the task log has it. Of a cancelled job nothing is kept once nothing of it is placed. */
  private setLoggedChunk(id: string, chunk: number, state: ChunkRecord): void {
    const isOver = this.jobs.get(id)?.state === 'cancelled' && state.placements.length === 0;
    this.setChunk(id, chunk, isOver ? null : state);
  }

  /** The incarnation that this is; null: the state names none. */
  get incarnation(): Incarnation | null {
    let last: Incarnation | null = null;
    for (const i of this.incarnations.values()) if (!last || i.number > last.number) last = i;
    return last;
  }

  get tokenBase(): number {
    return tokenBase(this.incarnation?.number ?? 1);
  }

  get attemptBase(): number {
    return attemptBase(this.incarnation?.number ?? 1);
  }

  /** How many chunks' own records are checkpoints of a task log. */
  get checkpointCount(): number {
    let count = 0;
    for (const chunks of this.chunks.values())
      for (const c of chunks.values()) if (c.checkpointVersion > 0) count++;
    return count;
  }

  /** What is known of every key: its stamp. */
  *knownKeys(): Generator<{ key: string; stamp: number }> {
    for (const [key, stamp] of this.modRevisions) yield { key, stamp };
  }

  get activeLeaderKey(): string {
    return this.levels.isEnabled('barred-lead') ? leaderKey : legacyLeaderKey;
  }

  get activeTypesKey(): string {
    return this.levels.isEnabled('barred-lead') ? machineTypesKey : legacyMachineTypesKey;
  }

  get leader(): LeaderRecord | null {
    return this.leaderRecords.get(this.activeLeaderKey) ?? null;
  }

  /** Fields of a record's that this program does not know, and that must survive its writes. */
  unknownFieldsOf(key: string): Data | undefined {
    return this.unknownFields.get(key);
  }

  /** Whether something of a job cannot be read: nothing is done about it, and nobody is told that it is not there. */
  isJobUnreadable(id: string): boolean {
    return (
      this.unreadableRecords.size > 0 &&
      (this.unreadableRecords.has(jobKey(id)) || this.unreadableChunks.has(id))
    );
  }

  /** Whether a machine that is not known may be there all the same: its record, or some rental's, cannot be read. */
  mayHaveMachine(host: string): boolean {
    if (this.unreadableRecords.size === 0) return false;
    if (this.unreadableRecords.has(machineKey(host))) return true;
    for (const key of this.unreadableRecords.keys()) if (parseKey(key)?.kind === 'block') return true;
    return false;
  }

  /** The stamp of what holds the state of some of a job's tasks. */
  taskStateModRevision(id: string, chunk: number): number {
    return this.modRevisionOf(this.jobsWithInlineTasks.has(id) ? jobKey(id) : chunkKey(id, chunk));
  }

  /** Keys with fields that this program does not know: none of its formats can express them. */
  get keysWithUnknownFields(): Iterable<string> {
    return this.unknownFields.keys();
  }

  modRevisionOf(key: string): number {
    return this.modRevisions.get(key) ?? 0;
  }

  /** How many keys there are. */
  get keyCount(): number {
    return this.modRevisions.size;
  }

  /** Which write made the key's present value. */
  writerOf(key: string): string | undefined {
    return this.writers.get(key);
  }

  /** A complete reading that began at `epoch`: keys it lacks are gone unless they are younger. */
  loadSnapshot(items: Change[], epoch: number): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, stamp] of [...this.modRevisions])
      if (!present.has(key) && stamp <= epoch) this.apply({ key, data: undefined, stamp: epoch });
    for (const item of items) this.apply(item);
    this.advanceTo(epoch);
  }

  applyWatch(changes: Change[], epoch: number): void {
    // Guards against the overtaken answer: up to `epoch` everything was seen, and an older put must not bring a
    // dropped key back.
    const seen = this.watchRevision;
    for (const change of changes) if (change.stamp > seen) this.apply(change);
    this.advanceTo(epoch);
  }

  private advanceTo(epoch: number): void {
    if (epoch > this.watchRevision) this.watchRevision = epoch;
    // A drop that we made ourselves is remembered until the watch has passed it: an older put that the
    // watch still has to deliver must not bring the key back.
    for (const [key, stamp] of this.recentDeletions)
      if (stamp <= this.watchRevision) this.recentDeletions.delete(key);
  }

  apply({ key, data, stamp }: Change): void {
    if (!key.startsWith(keyPrefix)) return;
    if ((this.modRevisions.get(key) ?? -1) >= stamp || (this.recentDeletions.get(key) ?? -1) >= stamp) return;
    const ref = parseKey(key);
    if (ref === null) return;
    const had = this.modRevisions.has(key);
    if (data === undefined || data === null) {
      if (had && ref.kind === 'job') this.jobCount--;
      this.modRevisions.delete(key);
      this.writers.delete(key);
      this.unknownFields.delete(key);
      this.markReadable(ref, key);
      if (stamp > this.watchRevision) this.recentDeletions.set(key, stamp);
    } else {
      if (!had && ref.kind === 'job') this.jobCount++;
      this.modRevisions.set(key, stamp);
      const w = (data as StoredValue).w;
      if (typeof w === 'string') this.writers.set(key, w);
      else this.writers.delete(key);
    }
    const here = data !== undefined && data !== null && this.checkReadable(ref, key, data);
    const over = ref.kind === 'job' && here && (data as { s?: unknown }).s !== 'open';
    if (over || ref.kind === 'shard' || ref.kind === 'lead' || ref.kind === 'chief')
      this.listener.criticalChange({ key, data, stamp });
    switch (ref.kind) {
      case 'lead':
      case 'chief': {
        const d = data as { member: string; run: string };
        if (here) this.leaderRecords.set(key, { member: d.member, instanceId: d.run, modRevision: stamp });
        else this.leaderRecords.delete(key);
        break;
      }
      case 'types':
      case 'kinds':
        if (here) this.machineTypesByKey.set(key, readMachineTypes(data));
        else this.machineTypesByKey.delete(key);
        this.machineTypes = this.machineTypesByKey.get(this.activeTypesKey) ?? [];
        break;
      case 'level':
        this.updateLevelReadability();
        this.levels.state = here ? readLevel(data, stamp) : initialLevelState;
        this.machineTypes = this.machineTypesByKey.get(this.activeTypesKey) ?? [];
        this.listener.levelChanged();
        break;
      case 'members':
        this.members = here ? readMembers(data) : { capabilities: new Map(), note: null };
        break;
      case 'wish':
        this.requestedLevel = here ? readRequestedLevel(data, stamp) : noRequestedLevel;
        break;
      case 'inc':
        if (here) this.incarnations.set(ref.n, readIncarnation(ref.n, data, stamp));
        else this.incarnations.delete(ref.n);
        this.listener.incarnationChanged();
        break;
      case 'plan':
        this.writeAllocation = here ? readAllocation(data) : null;
        break;
      case 'teams':
        this.teamsByShard = here ? readTeamShards(data) : [];
        this.teamsModRevision = here ? stamp : 0;
        break;
      case 'node': {
        if (here) this.presences.set(ref.member, readPresence(ref.member, data, stamp));
        else this.presences.delete(ref.member);
        if (here) this.observedCapabilities.set(ref.member, this.presences.get(ref.member)!.capabilities);
        break;
      }
      case 'shard': {
        const d = data as { owner: string; run: string };
        if (here) this.shards.set(ref.shard, { owner: d.owner, instanceId: d.run, modRevision: stamp });
        else this.shards.delete(ref.shard);
        this.listener.shardChanged(ref.shard);
        break;
      }
      case 'block':
        // Guards against taking a machine for gone because its record cannot be read: what was known stays.
        if (this.unreadableRecords.has(key)) break;
        this.applyBlock(ref.block, here ? readBlock(data) : null, stamp);
        break;
      case 'machine':
        if (this.unreadableRecords.has(key)) break;
        if (here) this.machines.set(ref.host, { ...readMachine(ref.host, data), modRevision: stamp });
        else this.machines.delete(ref.host);
        this.resolveMachine(ref.host);
        break;
      case 'job': {
        if (here) this.jobs.set(ref.id, readJob(ref.id, data, stamp));
        else this.jobs.delete(ref.id);
        const job = this.jobs.get(ref.id);
        this.applyInlineTasks(ref.id, job?.tasksInline === true ? (data as { t: unknown }).t : null, stamp);
        if (job?.state === 'open') this.openJobs.add(ref.id);
        else this.openJobs.delete(ref.id);
        this.dropLoggedChunks(ref.id, job);
        this.taskLog.applyWaiting(ref.id);
        this.listener.jobChanged(ref.id, job);
        break;
      }
      case 'chunk': {
        // Guards against the order within a transaction: a job that took its tasks' state in has it there.
        if (this.jobsWithInlineTasks.has(ref.id) && ref.chunk === 0) break;
        this.setChunk(ref.id, ref.chunk, here ? this.mergeCheckpoint(ref, readChunk(data, stamp)) : null);
        this.taskLog.applyWaiting(ref.id);
        break;
      }
      case 'log':
        if (this.unreadableRecords.has(key)) this.unreadableLogs.add(key);
        else this.unreadableLogs.delete(key);
        this.updateLevelReadability();
        if (here) this.taskLog.put(key, ref.shard, data, stamp);
        else this.taskLog.delete(key);
        break;
    }
  }

  /** Guards against acting on part of what is placed: what a record of the task log said cannot be known. */
  private updateLevelReadability(): void {
    this.levels.unreadable = this.unreadableRecords.has(levelKey) || this.unreadableLogs.size > 0;
  }

  /** A chunk's own record, unless the task log has led beyond it. */
  private mergeCheckpoint(ref: { id: string; chunk: number }, record: ChunkRecord): ChunkRecord {
    const logged = this.chunks.get(ref.id)?.get(ref.chunk);
    const isBehind = logged !== undefined && record.version > 0 && record.version < logged.version;
    return isBehind
      ? { ...logged, modRevision: record.modRevision, checkpointVersion: record.version }
      : record;
  }

  /** What the task log said of a job that is over is not needed any more. */
  private dropLoggedChunks(id: string, job: JobRecord | undefined): void {
    const chunks = this.chunks.get(id);
    if (!chunks || !job || job.state === 'open' || this.jobsWithInlineTasks.has(id)) return;
    for (const [number, { version: revision, placements: placed }] of [...chunks])
      if (revision > 0 && (job.state === 'done' || placed.length === 0)) this.setChunk(id, number, null);
  }

  private setChunk(id: string, number: number, chunk: ChunkRecord | null): void {
    let chunks = this.chunks.get(id);
    if (chunk) {
      if (!chunks) this.chunks.set(id, (chunks = new Map()));
      chunks.set(number, chunk);
    } else if (chunks) {
      chunks.delete(number);
      if (chunks.size === 0) this.chunks.delete(id);
    }
  }

  /** The state of a job's tasks came or went with its own record. */
  private applyInlineTasks(id: string, tasks: unknown, stamp: number): void {
    if (tasks !== null) {
      this.jobsWithInlineTasks.add(id);
      this.setChunk(id, 0, readChunk(tasks, stamp));
    } else if (this.jobsWithInlineTasks.delete(id) && this.modRevisionOf(chunkKey(id, 0)) === 0)
      this.setChunk(id, 0, null);
  }

  /** Whether a record can be acted on; what it has that this program does not know is kept. */
  private checkReadable(ref: ParsedKey, key: string, data: unknown): boolean {
    const verdict = inspect(recordKindOf(ref), data);
    if (verdict.ok) {
      if (verdict.extras) this.unknownFields.set(key, verdict.extras);
      else this.unknownFields.delete(key);
      this.markReadable(ref, key);
      return true;
    }
    this.unknownFields.delete(key);
    const why = `${verdict.why}: ${verdict.text}`;
    if (verdict.why === 'damaged' && replaceableKinds.has(ref.kind)) {
      this.listener.readabilityChanged(key, why);
      return false;
    }
    if (this.unreadableRecords.get(key) === why) return false;
    this.unreadableRecords.set(key, why);
    if (ref.kind === 'chunk') {
      const chunks = this.unreadableChunks.get(ref.id) ?? new Set();
      this.unreadableChunks.set(ref.id, chunks.add(ref.chunk));
      this.listener.jobChanged(ref.id, this.jobs.get(ref.id));
    }
    this.listener.readabilityChanged(key, why);
    return false;
  }

  private markReadable(ref: ParsedKey, key: string): void {
    if (!this.unreadableRecords.delete(key)) return;
    if (ref.kind === 'chunk') {
      const chunks = this.unreadableChunks.get(ref.id);
      chunks?.delete(ref.chunk);
      if (chunks?.size === 0) this.unreadableChunks.delete(ref.id);
      this.listener.jobChanged(ref.id, this.jobs.get(ref.id));
    }
    this.listener.readabilityChanged(key, null);
  }

  private applyBlock(id: string, block: BlockRecord | null, stamp: number): void {
    const before = this.blocks.get(id)?.hosts ?? [];
    if (block) this.blocks.set(id, block);
    else this.blocks.delete(id);
    const now = new Set(block?.hosts);
    for (const host of before)
      if (!now.has(host)) {
        this.originBlocks.delete(host);
        if (this.modRevisionOf(machineKey(host)) === 0 && this.machines.delete(host))
          this.resolveMachine(host);
      }
    for (const host of now)
      if (!this.originBlocks.has(host)) {
        // Rewritten when machines leave it: the others came under their owner when it was first written.
        this.originBlocks.set(host, { block: id, stamp });
        if (this.modRevisionOf(machineKey(host)) === 0) this.resolveMachine(host);
      }
  }

  /** A machine without a record of its own stands as its block says. */
  private resolveMachine(host: string): void {
    if (this.unreadableRecords.has(machineKey(host))) return;
    const origin = this.originBlocks.get(host);
    const block = origin && this.blocks.get(origin.block);
    if (block && this.modRevisionOf(machineKey(host)) === 0) {
      const { type, zone, spot, shard, since } = block;
      this.machines.set(host, {
        host,
        type,
        zone,
        spot,
        shard,
        since,
        state: 'use',
        modRevision: origin.stamp,
      });
    }
    this.listener.machineChanged(host, this.machines.get(host));
  }

  blockOf(host: string): string | undefined {
    return this.originBlocks.get(host)?.block;
  }

  shardOfTeam(team: string): number {
    return this.teamsByShard.findIndex((teams) => teams.includes(team));
  }

  isAlive(member: string, instanceId: string): boolean {
    return this.presences.get(member)?.instanceId === instanceId;
  }

  /** The member that answers for a machine, with the token that its answers carry. */
  responsibleController(m: VersionedMachine): { member: string; run: string; token: number } | null {
    const holder = m.shard >= 0 ? this.shards.get(m.shard) : undefined;
    const of = (stamp: number): number => this.tokenBase + Math.max(m.modRevision, stamp);
    if (holder) return { member: holder.owner, run: holder.instanceId, token: of(holder.modRevision) };
    if (m.shard < 0 && this.leader)
      return { member: this.leader.member, run: this.leader.instanceId, token: of(this.leader.modRevision) };
    return null;
  }

  taskCounts(id: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const c of this.chunks.get(id)?.values() ?? []) {
      done += c.doneCount;
      running += c.placements.length;
    }
    return { done, running };
  }
}
