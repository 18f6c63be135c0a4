/** What a controller knows, as records: told to others after the state service has lost data. */
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
  parseKey,
  recordKindOf,
  teamShardsData,
  machineTypesData,
  inlineJobData,
  requestedLevelData,
} from './storage/index.js';
import type { Replica } from './replica.js';

/** What a controller knew when it saw that the state service had lost data. */
export interface RecoveryRecords {
  /** The incarnation that it followed. */
  incarnation: number;
  /** The revision up to which it had followed it. */
  revision: number;
  /** By key, in the order in which they are to be written again. */
  records: Map<string, Data>;
  reason: string;
}

/** Leadership as programs that know no levels see it from level 2 on: taken, for ever, by nobody. */
export const leaderPlaceholder = { member: 'level-2', run: 'barred' };

/** Needed before anybody can act; then what the fleet does; what is over comes last. */
export const isFinishedJob = (key: string, data: Data): boolean =>
  key.startsWith('dp/j/') && data['s'] === 'done';

/** A record as it is stored, or undefined; leases' keys, grants and the plan are not restored: they are made anew. */
export function storedRecordOf(replica: Replica, key: string): Data | undefined {
  const ref = parseKey(key);
  if (ref === null || replica.unreadableRecords.has(key)) return undefined;
  // The state of a chunk's tasks may be in the task log only.
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
    case 'block': {
      const b = replica.blocks.get(ref.block);
      return b && blockData(b);
    }
    case 'machine': {
      const m = replica.machines.get(ref.host);
      return m && machineData(m);
    }
    case 'job': {
      const job = replica.jobs.get(ref.id);
      return job && storedJob(replica, job);
    }
    case 'chunk': {
      const c = replica.jobsWithInlineTasks.has(ref.id)
        ? undefined
        : replica.chunks.get(ref.id)?.get(ref.chunk);
      return c && chunkData(c, c.version);
    }
    default:
      return undefined;
  }
}

function storedJob(
  replica: Replica,
  { id, state, spec, acceptedAt: at, taskCount: tasks, usage: use, tasksInline: whole }: JobRecord,
): Data {
  const own = whole ? replica.chunks.get(id)?.get(0) : undefined;
  if (state === 'done') return doneJobData(at, tasks);
  if (state === 'open' && spec) return own ? inlineJobData(spec, at, chunkData(own)) : openJobData(spec, at);
  const data = cancelledJobData(at, tasks, use ?? { team: '', cpus: 0, gpus: 0, memGb: 0 });
  return own ? { ...data, v: 2, t: chunkData(own) } : data;
}

const restoreOrder = [
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

/** Keys of the states that the task log tells, also of those that have no record of their own. */
function* loggedChunkKeys(replica: Replica): Generator<string> {
  for (const [id, chunks] of replica.chunks)
    for (const [number, { version: revision }] of chunks) if (revision > 0) yield chunkKey(id, number);
}

/** Everything that a controller knows, put together with what it still had to write of an earlier loss. */
export function collectRecoveryRecords(
  replica: Replica,
  earlier: RecoveryRecords | null,
  incarnation: number,
  reason: string,
): RecoveryRecords {
  const records = new Map<string, Data>();
  for (const { key } of replica.knownKeys()) {
    const data = storedRecordOf(replica, key);
    if (data) records.set(key, data);
  }
  for (const key of loggedChunkKeys(replica)) {
    const data = storedRecordOf(replica, key);
    if (data) records.set(key, data);
  }
  for (const [key, data] of earlier?.records ?? [])
    records.set(key, mergeRecords(recordKindOf(parseKey(key)!), records.get(key), data));
  const rank = ([key, data]: [string, Data]): number =>
    restoreOrder.indexOf(parseKey(key)!.kind) + (isFinishedJob(key, data) ? restoreOrder.length : 0);
  const sorted = [...records].sort((a, b) => rank(a) - rank(b));
  return {
    incarnation,
    revision: Math.max(replica.watchRevision, earlier?.revision ?? -1),
    records: new Map(sorted),
    reason,
  };
}
