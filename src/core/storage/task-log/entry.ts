/**
 * Entries of the task log: what has changed in the state of some tasks of a job between two revisions of it. Many entries, of
 * many jobs, share a record, so that one write makes the placements and ends of a whole round durable.
 */
import type { Data } from '../../../formats/index.js';
import { BitSet, type ChunkRecord, type ChunkState, type PlacementRecord } from '../records.js';

/** What leads from one state of a chunk to another. */
export interface ChunkDelta {
  /** The highest attempt number ever used. */
  lastAttempt: number;
  placements: PlacementRecord[];
  /** Tasks that are done, counted within the chunk. */
  done: number[];
  /** Tasks that have left their machines, done or not, by their index in the job. */
  removed: number[];
  /** Machines on which the job failed; null: as before. */
  failedHosts: string[] | null;
}

/** A change of one chunk in the task log. */
export interface LogEntry extends ChunkDelta {
  job: string;
  chunk: number;
  /** It leads from this revision of the chunk's state to that one, and applies to no other. */
  fromVersion: number;
  toVersion: number;
}

type StoredPlacement = [index: number, attempt: number, host: string];
type StoredEntry = [
  job: string,
  chunk: number,
  from: number,
  to: number,
  last: number,
  placed: StoredPlacement[],
  done: number[],
  freed: number[],
  failed: string[] | null,
];

const encodeEntry = (entry: LogEntry): StoredEntry => [
  entry.job,
  entry.chunk,
  entry.fromVersion,
  entry.toVersion,
  entry.lastAttempt,
  entry.placements.map((p): StoredPlacement => [p.index, p.attempt, p.host]),
  entry.done,
  entry.removed,
  entry.failedHosts,
];

function decodeEntry([job, chunk, from, to, last, placed, done, freed, failed]: StoredEntry): LogEntry {
  const places = placed.map(([index, attempt, host]): PlacementRecord => ({ index, attempt, host }));
  return {
    job,
    chunk,
    fromVersion: from,
    toVersion: to,
    lastAttempt: last,
    placements: places,
    done,
    removed: freed,
    failedHosts: failed,
  };
}

/** A record of the log as it is stored. */
export const encodeLogRecord = (entries: readonly LogEntry[]): Data => ({ e: entries.map(encodeEntry) });

export const decodeLogRecord = (data: unknown): LogEntry[] =>
  (data as { e: StoredEntry[] }).e.map(decodeEntry);

/** How many bytes an entry takes of its record's value. */
export const encodedSize = (entry: LogEntry): number =>
  Buffer.byteLength(JSON.stringify(encodeEntry(entry))) + 1;

export const emptyChunk: ChunkRecord = {
  lastAttempt: 0,
  done: new BitSet(),
  doneCount: 0,
  placements: [],
  failedHosts: [],
  modRevision: 0,
  version: 0,
  checkpointVersion: 0,
};

/** The state of a chunk's tasks after an entry. */
export function applyEntry(before: ChunkRecord, entry: LogEntry): ChunkRecord {
  const done = before.done.copy();
  for (const i of entry.done) done.add(i);
  const removed = new Set(entry.removed);
  return {
    lastAttempt: Math.max(before.lastAttempt, entry.lastAttempt),
    done,
    doneCount: done.count(),
    placements: [...before.placements.filter((p) => !removed.has(p.index)), ...entry.placements],
    failedHosts: entry.failedHosts ?? before.failedHosts,
    modRevision: before.modRevision,
    version: entry.toVersion,
    checkpointVersion: before.checkpointVersion,
  };
}

/** What a chunk's tasks are to be, as its owner has it. */
export interface TargetState extends ChunkState {
  /** How many tasks the chunk has. */
  size: number;
}

const isSamePlacement = (a: PlacementRecord, b: PlacementRecord): boolean =>
  a.index === b.index && a.attempt === b.attempt && a.host === b.host;

export function deltaBetween(before: ChunkRecord, after: TargetState): ChunkDelta {
  const placementsBefore = new Map(before.placements.map((p) => [p.index, p]));
  const placementsAfter = new Map(after.placements.map((p) => [p.index, p]));
  const isUnchanged = (p: PlacementRecord): boolean => {
    const now = placementsAfter.get(p.index);
    return now !== undefined && isSamePlacement(p, now);
  };
  const isNew = (p: PlacementRecord): boolean => {
    const before = placementsBefore.get(p.index);
    return before === undefined || !isSamePlacement(p, before);
  };
  const done: number[] = [];
  for (let i = 0; i < after.size; i++) if (after.done.has(i) && !before.done.has(i)) done.push(i);
  const failedBefore = JSON.stringify(before.failedHosts);
  return {
    lastAttempt: after.lastAttempt,
    placements: after.placements.filter(isNew),
    done,
    removed: before.placements.filter((p) => !isUnchanged(p)).map((p) => p.index),
    failedHosts: JSON.stringify(after.failedHosts) === failedBefore ? null : after.failedHosts,
  };
}
