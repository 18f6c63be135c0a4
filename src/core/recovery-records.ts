/** What a controller knows, as records: told to others after the state service has lost data. */
import type { Data, Kind } from '../formats/index.js';
import { merge } from '../data-loss/index.js';
import {
  blockData,
  cancelledData,
  chunkData,
  chunkKey,
  jobData,
  jobDoneData,
  type JobRecord,
  type KeyRef,
  levelData,
  machineData,
  membersData,
  readKey,
  teamsData,
  typesData,
  wholeJobData,
  wishData,
} from './storage/index.js';
import type { Replica } from './replica.js';

/** What a controller knew when it saw that the state service had lost data. */
export interface Legacy {
  /** The incarnation that it followed. */
  n: number;
  /** The revision up to which it had followed it. */
  epoch: number;
  /** By key, in the order in which they are to be written again. */
  records: Map<string, Data>;
  why: string;
}

/** Leadership as programs that know no levels see it from level 2 on: taken, for ever, by nobody. */
export const barred = { member: 'level-2', run: 'barred' };

export const kindOfRef = (ref: KeyRef): Kind =>
  ref.kind === 'chief' ? 'lead' : ref.kind === 'kinds' ? 'types' : ref.kind;

/** Needed before anybody can act; then what the fleet does; what is over comes last. */
export const isOver = (key: string, data: Data): boolean => key.startsWith('dp/j/') && data['s'] === 'done';

/** A record as it is stored, or undefined; leases' keys, grants and the plan are not restored: they are made anew. */
export function dataOf(replica: Replica, key: string): Data | undefined {
  const ref = readKey(key);
  if (ref === null || replica.sealed.has(key)) return undefined;
  // The state of a chunk's tasks may be in the task log only.
  if (ref.kind !== 'chunk' && replica.stamp(key) === 0) return undefined;
  const data = bare(replica, ref);
  return data && { ...replica.extras(key), ...data };
}

function bare(replica: Replica, ref: KeyRef): Data | undefined {
  switch (ref.kind) {
    case 'level':
      return levelData(replica.levels.state.level, replica.levels.state.write);
    case 'members':
      return membersData(replica.members.seen, null);
    case 'wish':
      return wishData(replica.wish);
    case 'types':
    case 'kinds':
      return replica.types.length > 0 ? typesData(replica.types) : undefined;
    case 'teams':
      return teamsData(replica.teams);
    case 'lead':
      return replica.levels.state.level >= 2 ? { ...barred } : undefined;
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
      return job && jobRecord(replica, job);
    }
    case 'chunk': {
      const c = replica.whole.has(ref.id) ? undefined : replica.chunks.get(ref.id)?.get(ref.chunk);
      return c && chunkData(c, c.revision);
    }
    default:
      return undefined;
  }
}

function jobRecord(replica: Replica, { id, state, spec, at, tasks, use, whole }: JobRecord): Data {
  const own = whole ? replica.chunks.get(id)?.get(0) : undefined;
  if (state === 'done') return jobDoneData(at, tasks);
  if (state === 'open' && spec) return own ? wholeJobData(spec, at, chunkData(own)) : jobData(spec, at);
  const data = cancelledData(at, tasks, use ?? { team: '', cpus: 0, gpus: 0, memGb: 0 });
  return own ? { ...data, v: 2, t: chunkData(own) } : data;
}

const order = [
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
function* loggedChunks(replica: Replica): Generator<string> {
  for (const [id, chunks] of replica.chunks)
    for (const [number, { revision }] of chunks) if (revision > 0) yield chunkKey(id, number);
}

/** Everything that a controller knows, put together with what it still had to write of an earlier loss. */
export function legacyOf(replica: Replica, before: Legacy | null, n: number, why: string): Legacy {
  const records = new Map<string, Data>();
  for (const { key } of replica.known()) {
    const data = dataOf(replica, key);
    if (data) records.set(key, data);
  }
  for (const key of loggedChunks(replica)) {
    const data = dataOf(replica, key);
    if (data) records.set(key, data);
  }
  for (const [key, data] of before?.records ?? [])
    records.set(key, merge(kindOfRef(readKey(key)!), records.get(key), data));
  const rank = ([key, data]: [string, Data]): number =>
    order.indexOf(readKey(key)!.kind) + (isOver(key, data) ? order.length : 0);
  const sorted = [...records].sort((a, b) => rank(a) - rank(b));
  return { n, epoch: Math.max(replica.epoch, before?.epoch ?? -1), records: new Map(sorted), why };
}
