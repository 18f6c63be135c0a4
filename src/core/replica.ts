/** A controller's replica of the state in the state service, kept up to date by the watch. */
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

/** Receives the changes that the replica has applied. */
export interface ReplicaListener {
  /** A job's record, or the readability of its task records, has changed; undefined: the job is not known. */
  jobChanged(id: string, job: JobRecord | undefined): void;
  /** A machine has changed; undefined: it no longer exists. */
  machineChanged(host: string, machine: VersionedMachine | undefined): void;
  /** The grant of a shard has changed. */
  shardChanged(shard: number): void;
  /** A change that other controllers must not miss: the end of a job, the grant of a shard, or leadership. */
  criticalChange(change: Change): void;
  /** A record became unreadable, or readable again. `reason`: why it is not acted on; null: it can be read again. */
  readabilityChanged(key: string, reason: string | null): void;
  /** The record of the feature level has changed. */
  levelChanged(): void;
  /** The record of an incarnation has changed. */
  incarnationChanged(): void;
}

/** The elected leader: the name of its member, its process, and the revision at which it was elected. */
export interface LeaderRecord {
  readonly member: string;
  readonly instanceId: string;
  readonly modRevision: number;
}

/** The capabilities that members were last seen with, and the response of the leader to the last level request. */
export interface MembersRecord {
  readonly capabilities: ReadonlyMap<string, Capabilities>;
  readonly note: LevelNote | null;
}

const noMembers: MembersRecord = { capabilities: new Map(), note: null };

/** The controller that responds to the heartbeats of a machine, and the fencing token that its responses carry. */
export interface ResponsibleController {
  readonly member: string;
  readonly instanceId: string;
  readonly token: number;
}

/**
 * Whether the other controllers must learn of a change immediately. `record` is null if it was deleted or cannot be read.
 */
const isCritical = (ref: ParsedKey, record: unknown): boolean =>
  ref.kind === 'shard' ||
  ref.kind === 'lead' ||
  ref.kind === 'chief' ||
  (ref.kind === 'job' && record !== null && (record as { s?: unknown }).s !== 'open');

/**
 * This controller's copy of all keys with the project's prefix, updated by the watch and by this controller's own commits. It
 * is complete up to `watchRevision` and may already contain later writes of its own.
 */
export class Replica {
  /** The revision up to which all changes have been applied; -1: nothing has been read yet. */
  watchRevision = -1;
  /** Leader records by key. The feature level decides which key is in use. */
  private readonly leaderRecords = new Map<string, LeaderRecord>();
  /** Machine types by key. The feature level decides which key is in use. */
  private readonly machineTypesByKey = new Map<string, MachineType[]>();
  /** The machine types under the key that is in use. */
  machineTypes: MachineType[] = [];
  /** The record of the known members. */
  members = noMembers;
  /** The feature level that operators requested. */
  requestedLevel: RequestedLevel = noRequestedLevel;
  /** The incarnations that are recorded, by number: one, except while the next one is being opened. */
  private readonly incarnations = new Map<number, Incarnation>();
  /** How the write capacity of the state service is allocated to controllers; null: no allocation is in force. */
  writeAllocation: WriteAllocation | null = null;
  /** The names of the teams in each shard, by shard number. */
  teamsByShard: string[][] = [];
  /** The revision of the table of teams by shard; 0: there is none. */
  teamsModRevision = 0;
  /** The presence records of the members that are present, by member name. */
  readonly presences = new Map<string, PresenceRecord>();
  /** The capabilities of each member when this process last saw it present. */
  readonly observedCapabilities = new Map<string, Capabilities>();
  /** The grants of shards to controllers, by shard number. */
  readonly shards = new Map<number, ShardGrantRecord>();
  /** The readable job records, by id. */
  readonly jobs = new Map<string, JobRecord>();
  /** The number of job records, whether they can be read or not. */
  jobCount = 0;
  /** The ids of jobs that are neither cancelled nor done. */
  readonly openJobs = new Set<string>();
  /** The revision at which each key that has a value was last written. */
  private readonly modRevisions = new Map<string, number>();
  /** The ID of the transaction that wrote the value of a key, by key. */
  private readonly writers = new Map<string, string>();
  /** Revisions of this controller's own deletions that the watch has not reached yet, by key. */
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
  /** The keys of task log records that cannot be read. What they placed is unknown. */
  private readonly unreadableTaskLogKeys = new Set<string>();

  /** Why a record cannot be read, by key. */
  readonly unreadableRecords = this.readability.unreadableRecords;
  /** The known machines, by host. */
  readonly machines = this.machineTable.machines;
  /** The records of the blocks that machines were rented in, by block id. */
  readonly blocks = this.machineTable.blocks;
  /** The states of task chunks, by job id and chunk number. */
  readonly chunks = this.taskStates.chunks;
  /** Jobs whose own record holds the states of their tasks. */
  readonly jobsWithInlineTasks = this.taskStates.jobsWithInlineTasks;
  /** The task log: changes of task states that are not in chunk records yet. */
  readonly taskLog = this.taskStates.taskLog;

  constructor(
    private readonly listener: ReplicaListener,
    readonly levels: FeatureLevels,
  ) {}

  // ---- applying changes from the state service ----

  /** Applies a complete snapshot that was started at `revision`. Keys that it lacks were deleted, unless they are newer. */
  loadSnapshot(items: readonly Change[], revision: number): void {
    const present = new Set(items.map((i) => i.key));
    for (const [key, modRevision] of [...this.modRevisions])
      if (!present.has(key) && modRevision <= revision) this.apply({ key, data: undefined, stamp: revision });
    for (const item of items) this.apply(item);
    this.advanceTo(revision);
  }

  /** Applies changes that the watch delivered. They are complete up to `revision`. */
  applyWatch(changes: readonly Change[], revision: number): void {
    // A watch response may arrive after a newer one. Everything up to `watchRevision` has been applied, and an older put must
    // not restore a key that has been deleted since.
    const previousRevision = this.watchRevision;
    for (const change of changes) if (change.stamp > previousRevision) this.apply(change);
    this.advanceTo(revision);
  }

  private advanceTo(revision: number): void {
    if (revision > this.watchRevision) this.watchRevision = revision;
    // A deletion by this controller is remembered until the watch has reached it. An older put that the watch has yet to
    // deliver must not restore the key.
    for (const [key, modRevision] of this.recentDeletions)
      if (modRevision <= this.watchRevision) this.recentDeletions.delete(key);
  }

  /** Applies one change, unless the same or a newer change of the key has been applied. */
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

  // ---- applying one record of each kind; null: it was deleted or cannot be read ----

  /**
   * Kinds are named after the stored keys: `lead` and `chief` hold the leader record, `types` and `kinds` the machine types, `wish`
   * the requested feature level, `inc` the incarnations, `plan` the write allocation, and `node` the presence records.
   */
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
        // A machine must not count as deleted because its record cannot be read: what was known of it is kept.
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

  /** The stored field `run` is the id of the process (`instanceId`). */
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

  /** Selects the machine types under the key that the feature level in force uses. */
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

  /** The stored field `run` is the id of the process (`instanceId`). */
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

  /**
   * Treats the feature level as unreadable while a task log record is. The placements in such a record are unknown, and this
   * process must not act on only a part of them.
   */
  private updateLevelReadability(): void {
    this.levels.unreadable = this.unreadableRecords.has(levelKey) || this.unreadableTaskLogKeys.size > 0;
  }

  // ---- keys ----

  /** The revision at which a key was last written; 0: it has no value. */
  modRevisionOf(key: string): number {
    return this.modRevisions.get(key) ?? 0;
  }

  /** The ID of the transaction that wrote the value of a key; undefined: it has none. */
  transactionIdOf(key: string): string | undefined {
    return this.writers.get(key);
  }

  /** Iterates over all keys that have a value, with the revisions at which they were last written. */
  *knownKeys(): Generator<{ key: string; stamp: number }> {
    for (const [key, stamp] of this.modRevisions) yield { key, stamp };
  }

  /** The number of keys that have a value. */
  get keyCount(): number {
    return this.modRevisions.size;
  }

  /** The fields of a record that this program does not know and that its writes must preserve. */
  unknownFieldsOf(key: string): Data | undefined {
    return this.readability.unknownFieldsOf(key);
  }

  /** The keys of records with unknown fields, which no format that this program writes can express. */
  get keysWithUnknownFields(): Iterable<string> {
    return this.readability.keysWithUnknownFields;
  }

  // ---- leadership, members and shards ----

  /** The key of the leader record at the feature level in force. */
  get activeLeaderKey(): string {
    return this.levels.isEnabled('barred-lead') ? leaderKey : legacyLeaderKey;
  }

  /** The key of the machine types at the feature level in force. */
  get activeTypesKey(): string {
    return this.levels.isEnabled('barred-lead') ? machineTypesKey : legacyMachineTypesKey;
  }

  /** The leader record at the feature level in force; null: there is no leader. */
  get leader(): LeaderRecord | null {
    return this.leaderRecords.get(this.activeLeaderKey) ?? null;
  }

  /** The newest incarnation of the state; null: none is recorded. */
  get incarnation(): Incarnation | null {
    let newest: Incarnation | null = null;
    for (const i of this.incarnations.values()) if (!newest || i.number > newest.number) newest = i;
    return newest;
  }

  /** Fencing tokens of the newest incarnation are greater than this. */
  get tokenBase(): number {
    return tokenBase(this.incarnation?.number ?? 1);
  }

  /** Attempt numbers of the newest incarnation are greater than this. */
  get attemptBase(): number {
    return attemptBase(this.incarnation?.number ?? 1);
  }

  /** Whether exactly the process `instanceId` of a member is present. */
  isAlive(member: string, instanceId: string): boolean {
    return this.presences.get(member)?.instanceId === instanceId;
  }

  /** The shard that a team belongs to; -1: it has not been assigned to one yet. */
  shardOfTeam(team: string): number {
    return this.teamsByShard.findIndex((teams) => teams.includes(team));
  }

  // ---- machines ----

  /** The id of the block that a machine was rented in; undefined: no block lists it. */
  blockOf(host: string): string | undefined {
    return this.machineTable.blockOf(host);
  }

  /** Whether a machine that is not known may exist, because its own record or that of some block cannot be read. */
  mayHaveMachine(host: string): boolean {
    return this.readability.mayHaveMachine(host);
  }

  /** The owner of a machine's shard, or the leader for a machine without a shard; null: there is currently none. */
  responsibleController(machine: VersionedMachine): ResponsibleController | null {
    const grant = machine.shard >= 0 ? this.shards.get(machine.shard) : undefined;
    const tokenFor = (modRevision: number): number =>
      this.tokenBase + Math.max(machine.modRevision, modRevision);
    if (grant)
      return { member: grant.owner, instanceId: grant.instanceId, token: tokenFor(grant.modRevision) };
    const { leader } = this;
    if (machine.shard < 0 && leader)
      return { member: leader.member, instanceId: leader.instanceId, token: tokenFor(leader.modRevision) };
    return null;
  }

  // ---- jobs and tasks ----

  /**
   * Whether the record of a job, or one of its chunk records, cannot be read. Such a job is neither acted on nor reported as
   * unknown.
   */
  isJobUnreadable(id: string): boolean {
    return this.readability.isJobUnreadable(id);
  }

  /** The revision of the record that holds the state of a task chunk; 0: there is none. */
  taskStateModRevision(id: string, chunk: number): number {
    return this.modRevisionOf(this.jobsWithInlineTasks.has(id) ? jobKey(id) : chunkKey(id, chunk));
  }

  /** Whether the task log applies to a job. */
  taskLogStatus(id: string): TaskLogStatus {
    return this.taskStates.taskLogStatus(id);
  }

  /** The version of a chunk's state that its own record holds; null: no state of the chunk is known. */
  checkpointVersionOf(id: string, chunk: number): number | null {
    return this.taskStates.checkpointVersionOf(id, chunk);
  }

  /** The number of chunk records that are checkpoints of a task log. */
  get checkpointCount(): number {
    return this.taskStates.checkpointCount;
  }

  /** The number of tasks of a job that have completed, and of those that are placed (`running`). */
  taskCounts(id: string): { done: number; running: number } {
    return this.taskStates.taskCounts(id);
  }
}
