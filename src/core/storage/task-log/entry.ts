/**
 * Entries of the task log: what has changed in the state of some tasks of a job between two revisions of it. Many entries, of
 * many jobs, share a record, so that one write makes the placements and ends of a whole round durable.
 */
import type { Data } from '../../../formats/index.js';
import { Bits, type ChunkRecord, type ChunkState, type Placed } from '../records.js';

/** What leads from one state of a chunk to another. */
export interface Difference {
  /** The highest attempt number ever used. */
  last: number;
  placed: Placed[];
  /** Tasks that are done, counted within the chunk. */
  done: number[];
  /** Tasks that have left their machines, done or not, by their index in the job. */
  freed: number[];
  /** Machines on which the job failed; null: as before. */
  failed: string[] | null;
}

export interface LogEntry extends Difference {
  job: string;
  chunk: number;
  /** It leads from this revision of the chunk's state to that one, and applies to no other. */
  from: number;
  to: number;
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

const stored = (e: LogEntry): StoredEntry => [
  e.job,
  e.chunk,
  e.from,
  e.to,
  e.last,
  e.placed.map((p): StoredPlacement => [p.index, p.attempt, p.host]),
  e.done,
  e.freed,
  e.failed,
];

function read([job, chunk, from, to, last, placed, done, freed, failed]: StoredEntry): LogEntry {
  const places = placed.map(([index, attempt, host]): Placed => ({ index, attempt, host }));
  return { job, chunk, from, to, last, placed: places, done, freed, failed };
}

/** A record of the log as it is stored. */
export const logData = (entries: readonly LogEntry[]): Data => ({ e: entries.map(stored) });

export const readLog = (data: unknown): LogEntry[] => (data as { e: StoredEntry[] }).e.map(read);

/** How many bytes an entry takes of its record's value. */
export const sizeOf = (entry: LogEntry): number => Buffer.byteLength(JSON.stringify(stored(entry))) + 1;

export const emptyChunk: ChunkRecord = {
  last: 0,
  done: new Bits(),
  doneCount: 0,
  placed: [],
  failed: [],
  stamp: 0,
  revision: 0,
  checkpoint: 0,
};

/** The state of a chunk's tasks after an entry. */
export function applyEntry(before: ChunkRecord, entry: LogEntry): ChunkRecord {
  const done = before.done.copy();
  for (const i of entry.done) done.add(i);
  const left = new Set(entry.freed);
  return {
    last: Math.max(before.last, entry.last),
    done,
    doneCount: done.count(),
    placed: [...before.placed.filter((p) => !left.has(p.index)), ...entry.placed],
    failed: entry.failed ?? before.failed,
    stamp: before.stamp,
    revision: entry.to,
    checkpoint: before.checkpoint,
  };
}

/** What a chunk's tasks are to be, as its owner has it. */
export interface WantedState extends ChunkState {
  /** How many tasks the chunk has. */
  size: number;
}

const samePlace = (a: Placed, b: Placed): boolean =>
  a.index === b.index && a.attempt === b.attempt && a.host === b.host;

export function difference(before: ChunkRecord, after: WantedState): Difference {
  const was = new Map(before.placed.map((p) => [p.index, p]));
  const is = new Map(after.placed.map((p) => [p.index, p]));
  const stays = (p: Placed): boolean => {
    const now = is.get(p.index);
    return now !== undefined && samePlace(p, now);
  };
  const isNew = (p: Placed): boolean => {
    const before = was.get(p.index);
    return before === undefined || !samePlace(p, before);
  };
  const done: number[] = [];
  for (let i = 0; i < after.size; i++) if (after.done.has(i) && !before.done.has(i)) done.push(i);
  const failedBefore = JSON.stringify(before.failed);
  return {
    last: after.last,
    placed: after.placed.filter(isNew),
    done,
    freed: before.placed.filter((p) => !stays(p)).map((p) => p.index),
    failed: JSON.stringify(after.failed) === failedBefore ? null : after.failed,
  };
}
