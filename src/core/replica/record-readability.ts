/** Which stored records this program can act on, and which of their fields it does not know. */
import { inspect, type Data } from '../../formats/index.js';
import { jobKey, machineKey, parseKey, recordKindOf, type ParsedKey } from '../storage/index.js';

/**
 * Without these nobody could join, lead or learn the level, and every one of them is rewritten regularly or on demand: a damaged
 * one counts as absent, so that it is written anew.
 */
const replaceableKinds: ReadonlySet<ParsedKey['kind']> = new Set([
  'node',
  'lead',
  'chief',
  'types',
  'kinds',
  'members',
  'wish',
  'plan',
] as const);

/** Is called when a record becomes unreadable or readable. */
export interface ReadabilityListener {
  /** `reason`: why the record is not acted on; null: it can be read again. */
  readabilityChanged(key: string, reason: string | null): void;
  /** The tasks' records of a job became unreadable, or readable again. */
  taskReadabilityChanged(jobId: string): void;
}

/** Inspects records as they arrive. Records that cannot be read are neither acted on nor overwritten. */
export class RecordReadability {
  /** Why a record cannot be read, by key. */
  readonly unreadableRecords = new Map<string, string>();
  /** Chunks whose records cannot be read, by job. */
  private readonly unreadableChunks = new Map<string, Set<number>>();
  /** Fields that this program does not know, by key. */
  private readonly unknownFields = new Map<string, Data>();

  constructor(private readonly listener: ReadabilityListener) {}

  /** Whether a record that has arrived can be acted on. Its unknown fields are kept. */
  check(ref: ParsedKey, key: string, data: unknown): boolean {
    const verdict = inspect(recordKindOf(ref), data);
    if (verdict.ok) {
      if (verdict.extras) this.unknownFields.set(key, verdict.extras);
      else this.unknownFields.delete(key);
      this.markReadable(ref, key);
      return true;
    }
    this.unknownFields.delete(key);
    const reason = `${verdict.why}: ${verdict.text}`;
    if (verdict.why === 'damaged' && replaceableKinds.has(ref.kind))
      this.listener.readabilityChanged(key, reason);
    else if (this.unreadableRecords.get(key) !== reason) this.markUnreadable(ref, key, reason);
    return false;
  }

  /** The record was deleted. */
  recordDeleted(ref: ParsedKey, key: string): void {
    this.unknownFields.delete(key);
    this.markReadable(ref, key);
  }

  private markUnreadable(ref: ParsedKey, key: string, reason: string): void {
    this.unreadableRecords.set(key, reason);
    if (ref.kind === 'chunk') {
      const chunks = this.unreadableChunks.get(ref.id) ?? new Set();
      this.unreadableChunks.set(ref.id, chunks.add(ref.chunk));
      this.listener.taskReadabilityChanged(ref.id);
    }
    this.listener.readabilityChanged(key, reason);
  }

  private markReadable(ref: ParsedKey, key: string): void {
    if (!this.unreadableRecords.delete(key)) return;
    if (ref.kind === 'chunk') {
      const chunks = this.unreadableChunks.get(ref.id);
      chunks?.delete(ref.chunk);
      if (chunks?.size === 0) this.unreadableChunks.delete(ref.id);
      this.listener.taskReadabilityChanged(ref.id);
    }
    this.listener.readabilityChanged(key, null);
  }

  /** Whether a job's own record or one of its tasks' records cannot be read. */
  isJobUnreadable(id: string): boolean {
    return (
      this.unreadableRecords.size > 0 &&
      (this.unreadableRecords.has(jobKey(id)) || this.unreadableChunks.has(id))
    );
  }

  /** Whether an unknown machine may exist all the same: its own record, or that of some block, cannot be read. */
  mayHaveMachine(host: string): boolean {
    if (this.unreadableRecords.size === 0) return false;
    if (this.unreadableRecords.has(machineKey(host))) return true;
    for (const key of this.unreadableRecords.keys()) if (parseKey(key)?.kind === 'block') return true;
    return false;
  }

  /** The fields of a record that this program does not know, and that its writes must preserve. */
  unknownFieldsOf(key: string): Data | undefined {
    return this.unknownFields.get(key);
  }

  /** Keys of records with unknown fields: no format that this program writes can express them. */
  get keysWithUnknownFields(): Iterable<string> {
    return this.unknownFields.keys();
  }
}
