/** Collects a controller's knowledge of the stored state as records, from which the state is restored after a loss of data. */
import type { Data } from '../formats/index.js';
import { mergeRecords } from '../data-loss/index.js';
import {
  blockData,
  cancelledJobData,
  chunkData,
  chunkKey,
  openJobData,
  doneJobData,
  type JobRecord,
  type ParsedKey,
  levelData,
  machineData,
  membersData,
  jobKey,
  parseKey,
  recordKindOf,
  teamShardsData,
  machineTypesData,
  inlineJobData,
  requestedLevelData,
} from './storage/index.js';
import type { Replica } from './replica.js';

/** The records that a controller knew when it noticed that the state service had lost data. */
export interface RecoveryRecords {
  /** The incarnation of the state that it followed. */
  readonly incarnation: number;
  /** The revision up to which it had followed the state. */
  readonly revision: number;
  /** The records by key, in the order in which they are to be restored. */
  readonly records: Map<string, Data>;
  readonly reason: string;
}

/**
 * The leader record that programs without feature levels see from level 2 on: permanently held, by a member that does not
 * exist.
 */
export const leaderPlaceholder = { member: 'level-2', run: 'barred' };

const jobPrefix = jobKey('');

/** Whether a record is that of a finished job. These are restored last: no running work depends on them. */
export const isFinishedJob = (key: string, data: Data): boolean =>
  key.startsWith(jobPrefix) && data['s'] === 'done';

/**
 * A record in its stored form; undefined if the replica does not have it, or if its kind is not restored. Presence records, shard
 * grants, the leader record and the write allocation are not restored, because they are created anew.
 */
export function storedRecordOf(replica: Replica, key: string): Data | undefined {
  const ref = parseKey(key);
  if (ref === null || replica.unreadableRecords.has(key)) return undefined;
  // The state of a chunk may be in the task log only.
  if (ref.kind !== 'chunk' && replica.modRevisionOf(key) === 0) return undefined;
  const data = recordFields(replica, ref);
  return data && { ...replica.unknownFieldsOf(key), ...data };
}

function recordFields(replica: Replica, ref: ParsedKey): Data | undefined {
  switch (ref.kind) {
    case 'level':
      return levelData(replica.levels.state.level, replica.levels.state.writeLevel);
    case 'members':
      return membersData(replica.members.capabilities, null);
    case 'wish':
      return requestedLevelData(replica.requestedLevel);
    case 'types':
    case 'kinds':
      return replica.machineTypes.length > 0 ? machineTypesData(replica.machineTypes) : undefined;
    case 'teams':
      return teamShardsData(replica.teamsByShard);
    case 'lead':
      return replica.levels.state.level >= 2 ? { ...leaderPlaceholder } : undefined;
    case 'block':
      return storedIfKnown(replica.blocks.get(ref.block), blockData);
    case 'machine':
      return storedIfKnown(replica.machines.get(ref.host), machineData);
    case 'job':
      return storedIfKnown(replica.jobs.get(ref.id), (job) => storedJob(replica, job));
    case 'chunk':
      if (replica.jobsWithInlineTasks.has(ref.id)) return undefined;
      return storedIfKnown(replica.chunks.get(ref.id)?.get(ref.chunk), (c) => chunkData(c, c.version));
    default:
      return undefined;
  }
}

const storedIfKnown = <T>(record: T | undefined, toData: (record: T) => Data): Data | undefined =>
  record && toData(record);

function storedJob(replica: Replica, job: JobRecord): Data {
  const { id, state, spec, acceptedAt, taskCount } = job;
  if (state === 'done') return doneJobData(acceptedAt, taskCount);
  const inlineTasks = job.tasksInline ? replica.chunks.get(id)?.get(0) : undefined;
  if (state === 'open' && spec)
    return inlineTasks
      ? inlineJobData(spec, acceptedAt, chunkData(inlineTasks))
      : openJobData(spec, acceptedAt);
  const usage = job.usage ?? { team: '', cpus: 0, gpus: 0, memGb: 0 };
  const data = cancelledJobData(acceptedAt, taskCount, usage);
  return inlineTasks ? { ...data, v: 2, t: chunkData(inlineTasks) } : data;
}

/** The kinds of records in the order in which they are restored. */
const restoreOrder: readonly ParsedKey['kind'][] = [
  'level',
  'lead',
  'kinds',
  'types',
  'members',
  'wish',
  'teams',
  'block',
  'machine',
  'job',
  'chunk',
];

/** Keys of the chunks whose state comes from the task log, including those without a record of their own. */
function* loggedChunkKeys(replica: Replica): Generator<string> {
  for (const [id, chunks] of replica.chunks)
    for (const [index, { version }] of chunks) if (version > 0) yield chunkKey(id, index);
}

/** Collects all records that a controller knows, merged with those that it had yet to restore after an earlier loss. */
export function collectRecoveryRecords(
  replica: Replica,
  earlier: RecoveryRecords | null,
  incarnation: number,
  reason: string,
): RecoveryRecords {
  const records = new Map<string, Data>();
  const collect = (key: string): void => {
    const data = storedRecordOf(replica, key);
    if (data) records.set(key, data);
  };
  for (const { key } of replica.knownKeys()) collect(key);
  for (const key of loggedChunkKeys(replica)) collect(key);
  for (const [key, data] of earlier?.records ?? [])
    records.set(key, mergeRecords(recordKindOf(parseKey(key)!), records.get(key), data));
  return {
    incarnation,
    revision: Math.max(replica.watchRevision, earlier?.revision ?? -1),
    records: new Map([...records].sort((a, b) => restoreRank(...a) - restoreRank(...b))),
    reason,
  };
}

const restoreRank = (key: string, data: Data): number =>
  restoreOrder.indexOf(parseKey(key)!.kind) + (isFinishedJob(key, data) ? restoreOrder.length : 0);
