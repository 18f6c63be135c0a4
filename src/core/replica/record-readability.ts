/** Tracks which stored records this program can read, and which of their fields it does not know. */
import { inspectRecord, type Data } from '../../formats/index.js';
import { jobKey, machineKey, parseKey, recordKindOf, type ParsedKey } from '../storage/index.js';

/**
 * Kinds of records of which a damaged one counts as absent, so that it is written again. Without them no controller could join,
 * lead or learn the feature level, and each of them is rewritten regularly or on demand.
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

/** Notified when records become unreadable or readable again. */
export interface ReadabilityListener {
  /** A record became unreadable, or readable again. `reason`: why it cannot be read; null: it can be read again. */
  readabilityChanged(key: string, reason: string | null): void;
  /** A chunk record of a job became unreadable, or readable again. */
  taskReadabilityChanged(jobId: string): void;
}

/** Inspects records as they are received. Records that cannot be read are neither acted on nor overwritten. */
export class RecordReadability {
  /** Why a record cannot be read, by key. */
  readonly unreadableRecords = new Map<string, string>();
  /** The chunks whose records cannot be read, by job. */
  private readonly unreadableChunks = new Map<string, Set<number>>();
  /** The fields of records that this program does not know, by key. */
  private readonly unknownFields = new Map<string, Data>();

  constructor(private readonly listener: ReadabilityListener) {}

  /** Whether a received record can be read. Its unknown fields are kept. */
  check(ref: ParsedKey, key: string, data: unknown): boolean {
    const verdict = inspectRecord(recordKindOf(ref), data);
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

  /** Records that a record was deleted. */
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

  /** Whether the record of a job, or one of its chunk records, cannot be read. */
  isJobUnreadable(id: string): boolean {
    return (
      this.unreadableRecords.size > 0 &&
      (this.unreadableRecords.has(jobKey(id)) || this.unreadableChunks.has(id))
    );
  }

  /** Whether a machine that is not known may exist, because its own record or that of some block cannot be read. */
  mayHaveMachine(host: string): boolean {
    if (this.unreadableRecords.size === 0) return false;
    if (this.unreadableRecords.has(machineKey(host))) return true;
    for (const key of this.unreadableRecords.keys()) if (parseKey(key)?.kind === 'block') return true;
    return false;
  }

  /** The fields of a record that this program does not know and that its writes must preserve. */
  unknownFieldsOf(key: string): Data | undefined {
    return this.unknownFields.get(key);
  }

  /** The keys of records with unknown fields, which no format that this program writes can express. */
  get keysWithUnknownFields(): Iterable<string> {
    return this.unknownFields.keys();
  }
}
