/** What a write to the state service is for, by its key and by what was stored there before. */
import { parseKey, decodeLogRecord } from '../src/core/storage/index.js';
import type { Write } from '../src/wire/store.js';

/** What a write is for. */
export type WriteKind =
  'accept' | 'placement' | 'end' | 'log' | 'final' | 'cancel' | 'machine' | 'drop' | 'other';

/** What a write is for, and the jobs that it concerns. */
export interface WritePurpose {
  kind: WriteKind;
  /** Jobs of which it places tasks. */
  placed: string[];
}

interface StoredJob {
  s?: string;
  t?: TaskState;
}

interface TaskState {
  d?: string;
  p?: unknown[];
}

/** The last attempt that is placed of each task of a record, as text. */
const placementTexts = (tasks: TaskState | undefined): string[] =>
  (tasks?.p ?? []).map((p) => JSON.stringify(p));

/** Which placements each record of tasks held when it was last written. */
export class StoredTasks {
  private readonly placed = new Map<string, ReadonlySet<string>>();

  /** Whether a record holds placements that it did not hold before. */
  hasNewPlacements(key: string, tasks: TaskState | undefined): boolean {
    const before = this.placed.get(key);
    const after = placementTexts(tasks);
    this.placed.set(key, new Set(after));
    return after.some((p) => !before?.has(p));
  }

  /** A record was deleted. */
  forget(key: string): void {
    this.placed.delete(key);
  }
}

/** Tells what a write is for, and remembers it. */
export function purposeOf(write: Write, stored: StoredTasks): WritePurpose {
  const ref = parseKey(write.key);
  if (write.data === undefined) {
    stored.forget(write.key);
    return { kind: 'drop', placed: [] };
  }
  if (ref?.kind === 'block' || ref?.kind === 'machine') return { kind: 'machine', placed: [] };
  if (ref?.kind === 'log') return { kind: 'log', placed: jobsPlacedByLog(write.data) };
  if (ref?.kind === 'chunk') {
    const isNew = stored.hasNewPlacements(write.key, write.data);
    return { kind: isNew ? 'placement' : 'end', placed: isNew ? [ref.id] : [] };
  }
  if (ref?.kind !== 'job') return { kind: 'other', placed: [] };
  const kind = kindOfJobWrite(write.key, write.data, stored);
  return { kind, placed: kind === 'placement' ? [ref.id] : [] };
}

const jobsPlacedByLog = (data: unknown): string[] =>
  decodeLogRecord(data).flatMap((entry) => (entry.placements.length > 0 ? [entry.job] : []));

function kindOfJobWrite(key: string, data: StoredJob, stored: StoredTasks): WriteKind {
  if (data.s === 'done') {
    stored.forget(key);
    return 'final';
  }
  if (data.s === 'cancelled') return 'cancel';
  if (data.t === undefined) return 'accept';
  return stored.hasNewPlacements(key, data.t) ? 'placement' : 'end';
}
