/** Classifies the writes to the state service by key, new value and previously stored value. */
import { parseKey, decodeLogRecord } from '../src/core/storage/index.js';
import type { Write } from '../src/wire/store.js';

/** The purposes of writes. */
export type WriteKind =
  'accept' | 'placement' | 'end' | 'log' | 'final' | 'cancel' | 'machine' | 'drop' | 'other';

/** The purpose of a write, and the jobs whose tasks it places. */
export interface WritePurpose {
  kind: WriteKind;
  /** Ids of the jobs with new placements in the write. */
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

/** The placements in a task record, each as text for comparison. */
const placementTexts = (tasks: TaskState | undefined): string[] =>
  (tasks?.p ?? []).map((p) => JSON.stringify(p));

/** The placements in each task record as of its last write. */
export class StoredTasks {
  private readonly placed = new Map<string, ReadonlySet<string>>();

  /** Whether a record has placements that it did not have before; remembers the new ones. */
  hasNewPlacements(key: string, tasks: TaskState | undefined): boolean {
    const before = this.placed.get(key);
    const after = placementTexts(tasks);
    this.placed.set(key, new Set(after));
    return after.some((p) => !before?.has(p));
  }

  /** Forgets a record that was deleted or whose job is done. */
  forget(key: string): void {
    this.placed.delete(key);
  }
}

/** Determines the purpose of a write, and updates the remembered placements. */
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
