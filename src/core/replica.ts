/** A controller's copy of the state, kept up to date by the watch. */
import type { WriteAllocation } from '../admission/index.js';
import { attemptBase, tokenBase, type Incarnation } from '../data-loss/index.js';
import {
  initialLevelState,
  noRequestedLevel,
  type Capabilities,
  type FeatureLevels,
  type RequestedLevel,
} from '../feature-levels/index.js';
import type { Data } from '../formats/index.js';
import type { MachineType } from '../model/machine.js';
import type { Change } from '../wire/store.js';
import { MachineTable, type VersionedMachine } from './replica/machine-table.js';
import { RecordReadability } from './replica/record-readability.js';
import { TaskStateTable, type TaskLogStatus } from './replica/task-state-table.js';
import {
  chunkKey,
  jobKey,
  keyPrefix,
  leaderKey,
  legacyLeaderKey,
  legacyMachineTypesKey,
  levelKey,
  machineTypesKey,
  parseKey,
  readAllocation,
  readBlock,
  readIncarnation,
  readJob,
  readLevel,
  readMachine,
  readMachineTypes,
  readMembers,
  readPresence,
  readRequestedLevel,
  readTeamShards,
  type JobRecord,
  type LevelNote,
  type ParsedKey,
  type PresenceRecord,
  type ShardGrantRecord,
  type StoredValue,
} from './storage/index.js';

export type { VersionedMachine } from './replica/machine-table.js';

/** How the replica reports changes that took effect. */
export interface ReplicaListener {
  jobChanged(id: string, job: JobRecord | undefined): void;
  machineChanged(host: string, machine: VersionedMachine | undefined): void;
  shardChanged(shard: number): void;
  /** A change that other controllers must not miss: a job's end, a shard's grant, leadership. */
  criticalChange(change: Change): void;
  /** `reason`: why a record is not acted on; null: it can be read again. */
  readabilityChanged(key: string, reason: string | null): void;
  levelChanged(): void;
  incarnationChanged(): void;
}

/** The elected leader: its member, the process that holds the leadership, and the revision at which it was elected. */
export interface LeaderRecord {
  readonly member: string;
  readonly instanceId: string;
  readonly modRevision: number;
}

/** What members were last seen with, and the leader's answer to the level that operators requested. */
export interface MembersRecord {
  readonly capabilities: ReadonlyMap<string, Capabilities>;
  readonly note: LevelNote | null;
}

const noMembers: MembersRecord = { capabilities: new Map(), note: null };

/** The controller that answers a machine's heartbeats, and the fencing token that its answers carry. */
export interface ResponsibleController {
  readonly member: string;
  readonly run: string;
  readonly token: number;
}

/** Whether the other controllers must learn of a change at once. `record` is null if it was deleted or cannot be read. */
const isCritical = (ref: ParsedKey, record: unknown): boolean =>
  ref.kind === 'shard' ||
  ref.kind === 'lead' ||
  ref.kind === 'chief' ||
  (ref.kind === 'job' && record !== null && (record as { s?: unknown }).s !== 'open');

/**
 * This controller's copy of everything under the project's prefix, fed by the watch and by its own commits. It is complete up to
 * `watchRevision`, and may hold its own later writes.
 */
export class Replica {
  /** The revision up to which the watch has been followed; -1: nothing has been read yet. */
  watchRevision = -1;
  /** By the key that holds it: which one counts depends on the level. */
  private readonly leaderRecords = new Map<string, LeaderRecord>();
  private readonly machineTypesByKey = new Map<string, MachineType[]>();
  machineTypes: MachineType[] = [];
  members = noMembers;
  requestedLevel: RequestedLevel = noRequestedLevel;
  /** The incarnations that the state names: one, except while the next one is being opened. */
  private readonly incarnations = new Map<number, Incarnation>();
  /** How the state service's writes are divided among controllers; null: no division is in force. */
  writeAllocation: WriteAllocation | null = null;
  teamsByShard: string[][] = [];
  teamsModRevision = 0;
  /** The members that are present, by name. */
  readonly presences = new Map<string, PresenceRecord>();
  /** The capabilities of members when this process last saw them present. */
  readonly observedCapabilities = new Map<string, Capabilities>();
  readonly shards = new Map<number, ShardGrantRecord>();
  readonly jobs = new Map<string, JobRecord>();
  /** How many jobs are recorded, whether their records can be read or not. */
  jobCount = 0;
  readonly openJobs = new Set<string>();
  /** The revision and the writer's mark of every key's present value. */
  private readonly modRevisions = new Map<string, number>();
  private readonly writers = new Map<string, string>();
  /** Revisions of this controller's own deletions that the watch has not delivered yet. */
  private readonly recentDeletions = new Map<string, number>();
  private readonly readability = new RecordReadability({
    readabilityChanged: (key, reason) => this.listener.readabilityChanged(key, reason),
    taskReadabilityChanged: (id) => this.listener.jobChanged(id, this.jobs.get(id)),
  });
  private readonly machineTable = new MachineTable({
    modRevisionOf: (key) => this.modRevisionOf(key),
    isUnreadable: (key) => this.unreadableRecords.has(key),
    machineChanged: (host, machine) => this.listener.machineChanged(host, machine),
  });
  private readonly taskStates = new TaskStateTable({
    job: (id) => this.jobs.get(id),
    modRevisionOf: (key) => this.modRevisionOf(key),
  });
  /** Records of the task log that cannot be read: what they placed is unknown. */
  private readonly unreadableTaskLogKeys = new Set<string>();

  readonly unreadableRecords = this.readability.unreadableRecords;
  readonly machines = this.machineTable.machines;
  readonly blocks = this.machineTable.blocks;
  readonly chunks = this.taskStates.chunks;
  readonly jobsWithInlineTasks = this.taskStates.jobsWithInlineTasks;
  readonly taskLog = this.taskStates.taskLog;

  constructor(
    private readonly listener: ReplicaListener,
    readonly levels: FeatureLevels,
  ) {}

  // ---- following the state service ----

  /** A complete reading that began at `revision`: keys that it lacks were deleted, unless they are younger. */
  loadSnapshot(items: readonly Change[], revision: number): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, modRevision] of [...this.modRevisions])
      if (!present.has(key) && modRevision <= revision) this.apply({ key, data: undefined, stamp: revision });
    for (const item of items) this.apply(item);
    this.advanceTo(revision);
  }

  /** Changes that the watch delivered, complete up to `revision`. */
  applyWatch(changes: readonly Change[], revision: number): void {
    // Guards against an answer that was overtaken: everything up to the revision followed was seen, and an older put must not
    // bring a deleted key back.
    const previousRevision = this.watchRevision;
    for (const change of changes) if (change.stamp > previousRevision) this.apply(change);
    this.advanceTo(revision);
  }

  private advanceTo(revision: number): void {
    if (revision > this.watchRevision) this.watchRevision = revision;
    // A deletion of our own is remembered until the watch has passed it: an older put that the watch still has to deliver must
    // not bring the key back.
    for (const [key, modRevision] of this.recentDeletions)
      if (modRevision <= this.watchRevision) this.recentDeletions.delete(key);
  }

  /** Applies one change, unless a newer one of the same key has been applied. */
  apply({ key, data, stamp }: Change): void {
    if (!key.startsWith(keyPrefix)) return;
    if ((this.modRevisions.get(key) ?? -1) >= stamp || (this.recentDeletions.get(key) ?? -1) >= stamp) return;
    const ref = parseKey(key);
    if (ref === null) return;
    const isPut = data !== undefined && data !== null;
    if (isPut) this.recordPut(ref, key, data, stamp);
    else this.recordDeletion(ref, key, stamp);
    const record = isPut && this.readability.check(ref, key, data) ? data : null;
    if (isCritical(ref, record)) this.listener.criticalChange({ key, data, stamp });
    this.applyRecord(ref, key, record, stamp);
  }

  private recordPut(ref: ParsedKey, key: string, { w: writer }: StoredValue, modRevision: number): void {
    if (ref.kind === 'job' && !this.modRevisions.has(key)) this.jobCount++;
    this.modRevisions.set(key, modRevision);
    if (typeof writer === 'string') this.writers.set(key, writer);
    else this.writers.delete(key);
  }

  private recordDeletion(ref: ParsedKey, key: string, modRevision: number): void {
    if (ref.kind === 'job' && this.modRevisions.has(key)) this.jobCount--;
    this.modRevisions.delete(key);
    this.writers.delete(key);
    this.readability.recordDeleted(ref, key);
    if (modRevision > this.watchRevision) this.recentDeletions.set(key, modRevision);
  }

  // ---- one record of each kind; null: it was deleted, or cannot be read ----

  private applyRecord(ref: ParsedKey, key: string, record: unknown, modRevision: number): void {
    switch (ref.kind) {
      case 'lead':
      case 'chief':
        return this.applyLeader(key, record, modRevision);
      case 'types':
      case 'kinds':
        return this.applyMachineTypes(key, record);
      case 'level':
        return this.applyLevel(record, modRevision);
      case 'members':
        this.members = record === null ? noMembers : readMembers(record);
        return;
      case 'wish':
        this.requestedLevel = record === null ? noRequestedLevel : readRequestedLevel(record, modRevision);
        return;
      case 'inc':
        return this.applyIncarnation(ref.n, record, modRevision);
      case 'plan':
        this.writeAllocation = record === null ? null : readAllocation(record);
        return;
      case 'teams':
        this.teamsByShard = record === null ? [] : readTeamShards(record);
        this.teamsModRevision = record === null ? 0 : modRevision;
        return;
      case 'node':
        return this.applyPresence(ref.member, record, modRevision);
      case 'shard':
        return this.applyShardGrant(ref.shard, record, modRevision);
      case 'block':
        // Guards against taking a machine for deleted because its record cannot be read: what was known stays.
        if (this.unreadableRecords.has(key)) return;
        return this.machineTable.applyBlock(
          ref.block,
          record === null ? null : readBlock(record),
          modRevision,
        );
      case 'machine':
        if (this.unreadableRecords.has(key)) return;
        return this.machineTable.applyMachine(
          ref.host,
          record === null ? null : readMachine(ref.host, record),
          modRevision,
        );
      case 'job':
        return this.applyJob(ref.id, record, modRevision);
      case 'chunk':
        return this.taskStates.applyChunk(ref.id, ref.chunk, record, modRevision);
      case 'log':
        return this.applyTaskLogRecord(key, ref.shard, record, modRevision);
    }
  }

  private applyLeader(key: string, record: unknown, modRevision: number): void {
    if (record === null) return void this.leaderRecords.delete(key);
    const { member, run } = record as { member: string; run: string };
    this.leaderRecords.set(key, { member, instanceId: run, modRevision });
  }

  private applyMachineTypes(key: string, record: unknown): void {
    if (record === null) this.machineTypesByKey.delete(key);
    else this.machineTypesByKey.set(key, readMachineTypes(record));
    this.selectMachineTypes();
  }

  /** The level decides which key holds the machine types. */
  private selectMachineTypes(): void {
    this.machineTypes = this.machineTypesByKey.get(this.activeTypesKey) ?? [];
  }

  private applyLevel(record: unknown, modRevision: number): void {
    this.updateLevelReadability();
    this.levels.state = record === null ? initialLevelState : readLevel(record, modRevision);
    this.selectMachineTypes();
    this.listener.levelChanged();
  }

  private applyIncarnation(number: number, record: unknown, modRevision: number): void {
    if (record === null) this.incarnations.delete(number);
    else this.incarnations.set(number, readIncarnation(number, record, modRevision));
    this.listener.incarnationChanged();
  }

  private applyPresence(member: string, record: unknown, modRevision: number): void {
    if (record === null) return void this.presences.delete(member);
    const presence = readPresence(member, record, modRevision);
    this.presences.set(member, presence);
    this.observedCapabilities.set(member, presence.capabilities);
  }

  private applyShardGrant(shard: number, record: unknown, modRevision: number): void {
    if (record === null) this.shards.delete(shard);
    else {
      const { owner, run } = record as { owner: string; run: string };
      this.shards.set(shard, { owner, instanceId: run, modRevision });
    }
    this.listener.shardChanged(shard);
  }

  private applyJob(id: string, record: unknown, modRevision: number): void {
    const job = record === null ? undefined : readJob(id, record, modRevision);
    if (job) this.jobs.set(id, job);
    else this.jobs.delete(id);
    if (job?.state === 'open') this.openJobs.add(id);
    else this.openJobs.delete(id);
    this.taskStates.applyJob(id, job?.tasksInline ? (record as { t: unknown }).t : null, modRevision);
    this.listener.jobChanged(id, job);
  }

  private applyTaskLogRecord(key: string, shard: number, record: unknown, modRevision: number): void {
    if (this.unreadableRecords.has(key)) this.unreadableTaskLogKeys.add(key);
    else this.unreadableTaskLogKeys.delete(key);
    this.updateLevelReadability();
    if (record === null) this.taskLog.delete(key);
    else this.taskLog.put(key, shard, record, modRevision);
  }

  /** Guards against acting on part of what is placed: what an unreadable record of the task log said cannot be known. */
  private updateLevelReadability(): void {
    this.levels.unreadable = this.unreadableRecords.has(levelKey) || this.unreadableTaskLogKeys.size > 0;
  }

  // ---- keys ----

  /** The revision of a key's present value; 0: it has none. */
  modRevisionOf(key: string): number {
    return this.modRevisions.get(key) ?? 0;
  }

  /** The mark of the write that made the key's present value. */
  writerOf(key: string): string | undefined {
    return this.writers.get(key);
  }

  /** Every key that has a value, and its revision. */
  *knownKeys(): Generator<{ key: string; stamp: number }> {
    for (const [key, stamp] of this.modRevisions) yield { key, stamp };
  }

  get keyCount(): number {
    return this.modRevisions.size;
  }

  /** The fields of a record that this program does not know, and that its writes must preserve. */
  unknownFieldsOf(key: string): Data | undefined {
    return this.readability.unknownFieldsOf(key);
  }

  /** Keys of records with unknown fields: no format that this program writes can express them. */
  get keysWithUnknownFields(): Iterable<string> {
    return this.readability.keysWithUnknownFields;
  }

  // ---- leadership, members and shards ----

  /** The key that holds leadership at the level in force. */
  get activeLeaderKey(): string {
    return this.levels.isEnabled('barred-lead') ? leaderKey : legacyLeaderKey;
  }

  /** The key that holds the machine types at the level in force. */
  get activeTypesKey(): string {
    return this.levels.isEnabled('barred-lead') ? machineTypesKey : legacyMachineTypesKey;
  }

  get leader(): LeaderRecord | null {
    return this.leaderRecords.get(this.activeLeaderKey) ?? null;
  }

  /** The newest incarnation of the state; null: the state names none. */
  get incarnation(): Incarnation | null {
    let newest: Incarnation | null = null;
    for (const i of this.incarnations.values()) if (!newest || i.number > newest.number) newest = i;
    return newest;
  }

  /** Fencing tokens of this incarnation are above this. */
  get tokenBase(): number {
    return tokenBase(this.incarnation?.number ?? 1);
  }

  /** Attempts at tasks of this incarnation are above this. */
  get attemptBase(): number {
    return attemptBase(this.incarnation?.number ?? 1);
  }

  /** Whether this very process of a member is present. */
  isAlive(member: string, instanceId: string): boolean {
    return this.presences.get(member)?.instanceId === instanceId;
  }

  /** The shard that a team belongs to; -1: none yet. */
  shardOfTeam(team: string): number {
    return this.teamsByShard.findIndex((teams) => teams.includes(team));
  }

  // ---- machines ----

  /** The block that a machine was rented in, as long as the block names it. */
  blockOf(host: string): string | undefined {
    return this.machineTable.blockOf(host);
  }

  /** Whether an unknown machine may exist all the same: its own record, or that of some block, cannot be read. */
  mayHaveMachine(host: string): boolean {
    return this.readability.mayHaveMachine(host);
  }

  /** The owner of a machine's shard, or the leader for a machine without a shard; null: there is none now. */
  responsibleController(machine: VersionedMachine): ResponsibleController | null {
    const grant = machine.shard >= 0 ? this.shards.get(machine.shard) : undefined;
    const tokenFor = (modRevision: number): number =>
      this.tokenBase + Math.max(machine.modRevision, modRevision);
    if (grant) return { member: grant.owner, run: grant.instanceId, token: tokenFor(grant.modRevision) };
    const { leader } = this;
    if (machine.shard < 0 && leader)
      return { member: leader.member, run: leader.instanceId, token: tokenFor(leader.modRevision) };
    return null;
  }

  // ---- jobs and tasks ----

  /** Whether a job's own record or one of its tasks' records cannot be read: the job is neither acted on nor reported as unknown. */
  isJobUnreadable(id: string): boolean {
    return this.readability.isJobUnreadable(id);
  }

  /** The revision of the record that holds the state of a chunk of tasks. */
  taskStateModRevision(id: string, chunk: number): number {
    return this.modRevisionOf(this.jobsWithInlineTasks.has(id) ? jobKey(id) : chunkKey(id, chunk));
  }

  /** Whether the task log is followed for a job. */
  taskLogStatus(id: string): TaskLogStatus {
    return this.taskStates.taskLogStatus(id);
  }

  /** The version of a chunk's state that its own record holds; null: nothing is known of its tasks. */
  checkpointVersionOf(id: string, chunk: number): number | null {
    return this.taskStates.checkpointVersionOf(id, chunk);
  }

  /** How many chunks' own records are checkpoints of a task log. */
  get checkpointCount(): number {
    return this.taskStates.checkpointCount;
  }

  /** How many tasks of a job have completed, and how many are placed. */
  taskCounts(id: string): { done: number; running: number } {
    return this.taskStates.taskCounts(id);
  }
}
