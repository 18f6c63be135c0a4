/**
 * Entries of the task log: the difference between two versions of the state of a chunk of a job's tasks. Entries of many jobs
 * share a record, so that one write makes the placements and terminations of a whole scheduling cycle durable.
 */
import type { Data } from '../../../formats/index.js';
import { BitSet, type ChunkRecord, type ChunkState, type PlacementRecord } from '../records.js';

/** The difference between two states of a chunk. */
export interface ChunkDelta {
  /** The highest attempt number ever used. */
  lastAttempt: number;
  placements: PlacementRecord[];
  /** Tasks that have become done, by their index within the chunk. */
  done: number[];
  /** Tasks whose placement has been removed, whether done or not, by their index in the job. */
  removed: number[];
  /** Machines on which the job failed; null if unchanged. */
  failedHosts: string[] | null;
}

/** A change of one chunk's state in the task log. */
export interface LogEntry extends ChunkDelta {
  job: string;
  chunk: number;
  /** The version of the chunk's state that the entry applies to; it applies to no other. */
  fromVersion: number;
  /** The version of the chunk's state after the entry. */
  toVersion: number;
}

/** The stored form of a placement. */
type StoredPlacement = [index: number, attempt: number, host: string];
/** The stored form of an entry. */
type StoredEntry = [
  job: string,
  chunk: number,
  from: number,
  to: number,
  last: number,
  placed: StoredPlacement[],
  done: number[],
  removed: number[],
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

function decodeEntry([job, chunk, from, to, last, placed, done, removed, failed]: StoredEntry): LogEntry {
  const placements = placed.map(([index, attempt, host]): PlacementRecord => ({ index, attempt, host }));
  return {
    job,
    chunk,
    fromVersion: from,
    toVersion: to,
    lastAttempt: last,
    placements,
    done,
    removed,
    failedHosts: failed,
  };
}

/** The stored form of a record of the log. */
export const encodeLogRecord = (entries: readonly LogEntry[]): Data => ({ e: entries.map(encodeEntry) });

/** Reads the entries of a stored record of the log. */
export const decodeLogRecord = (data: unknown): LogEntry[] =>
  (data as { e: StoredEntry[] }).e.map(decodeEntry);

/** How many bytes an entry takes in the value of its record. */
export const encodedSize = (entry: LogEntry): number =>
  Buffer.byteLength(JSON.stringify(encodeEntry(entry))) + 1;

/** The state of a chunk before its first write. */
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

/** Applies an entry to a chunk's state, and returns the new state. */
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

/** The state of a chunk as its owner has it in memory, which is to be stored. */
export interface TargetState extends ChunkState {
  /** How many tasks the chunk has. */
  size: number;
}

const isSamePlacement = (a: PlacementRecord, b: PlacementRecord): boolean =>
  a.index === b.index && a.attempt === b.attempt && a.host === b.host;

/** Computes what an entry must contain to lead from the stored state of a chunk to its target state. */
export function deltaBetween(before: ChunkRecord, after: TargetState): ChunkDelta {
  const placementsBefore = new Map(before.placements.map((p) => [p.index, p]));
  const placementsAfter = new Map(after.placements.map((p) => [p.index, p]));
  const isUnchanged = (p: PlacementRecord): boolean => {
    const current = placementsAfter.get(p.index);
    return current !== undefined && isSamePlacement(p, current);
  };
  const isNew = (p: PlacementRecord): boolean => {
    const previous = placementsBefore.get(p.index);
    return previous === undefined || !isSamePlacement(p, previous);
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
