/** The store's files: a LevelDB database, and beside it the newest acknowledged revision. */
import {
  closeSync,
  existsSync,
  fdatasyncSync,
  fsync,
  mkdirSync,
  openSync,
  readFileSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { ClassicLevel } from 'classic-level';
import { StoreError } from './errors.js';
import type { Delta, Entry, Loaded } from './keyspace.js';

/** Durable storage for the engine. A batch is written atomically, and is durable once `write` has resolved. */
export interface Disk {
  load(): Promise<Loaded>;
  write(deltas: readonly Delta[]): Promise<void>;
  close(): Promise<void>;
}

/** The number of the database's format. Raised by changes that older programs could not read. */
export const format = 1;
const formatKey = 'm!format';
const headKey = 'm!head';
const keyPrefix = 'k!';
const leasePrefix = 'l!';
/** The file that holds the newest acknowledged revision. */
const answeredFileName = 'answered';
/** How often that file is written, at most. */
const answeredWriteIntervalMs = 1000;

/** A value as JSON, after the 8 hexadecimal digits of its CRC-32. */
const encodeWithChecksum = (value: unknown): string => {
  const text = JSON.stringify(value);
  return `${crc32(text).toString(16).padStart(8, '0')}${text}`;
};

/** Decodes a value; throws if its checksum does not match. */
function decodeWithChecksum(key: string, value: string): unknown {
  const text = value.slice(8);
  if (crc32(text).toString(16).padStart(8, '0') !== value.slice(0, 8))
    throw new StoreError('damaged', `the checksum of the value of ${key} does not match: restore a snapshot`);
  return JSON.parse(text);
}

/** A LevelDB database in a directory that one process at a time can open. Batches are atomic and synced. */
export class LevelDisk implements Disk {
  /** The file descriptor of the file with the newest acknowledged revision. */
  private readonly answeredFile: number;
  private answeredWrittenAt = 0;
  private durableRevision = 0;

  private constructor(
    private readonly dir: string,
    private readonly db: ClassicLevel,
    private readonly now: () => number,
  ) {
    this.answeredFile = openSync(join(dir, answeredFileName), 'a+');
    closeSync(this.answeredFile);
    this.answeredFile = openSync(join(dir, answeredFileName), 'r+');
  }

  /** Opens a directory, or creates it. */
  static async open(dir: string, now = (): number => performance.now()): Promise<LevelDisk> {
    const db = new ClassicLevel(join(dir, 'db'), { keyEncoding: 'utf8', valueEncoding: 'utf8' });
    try {
      mkdirSync(dir, { recursive: true });
      await db.open();
    } catch (e) {
      throw toStoreError(e, dir);
    }
    return new LevelDisk(dir, db, now);
  }

  /** Reads and checks all of the database; initializes it if it is empty. */
  async load(): Promise<Loaded> {
    try {
      return await this.readDatabase();
    } catch (e) {
      throw toStoreError(e, this.dir);
    }
  }

  private async readDatabase(): Promise<Loaded> {
    const stored = await this.db.get(formatKey);
    if (stored === undefined) {
      for await (const key of this.db.keys({ limit: 1 }))
        throw new StoreError('foreign', `${this.dir}: not a store: it contains ${key} but no format number`);
      await this.db.batch(
        [
          { type: 'put', key: formatKey, value: String(format) },
          { type: 'put', key: headKey, value: encodeWithChecksum({ epoch: 0, nextHold: 1 }) },
        ],
        { sync: true },
      );
    } else if (Number(stored) !== format)
      throw new StoreError(
        'version',
        `${this.dir}: stored in format ${stored}, this program reads only format ${format}: use the version of the program that wrote it`,
      );
    const entries: [string, Entry][] = [];
    const leases: [number, number][] = [];
    let head: { epoch: number; nextHold: number } | null = null;
    for await (const [key, value] of this.db.iterator()) {
      if (key === headKey) head = decodeWithChecksum(key, value) as { epoch: number; nextHold: number };
      else if (key.startsWith(keyPrefix))
        entries.push([key.slice(keyPrefix.length), decodeWithChecksum(key, value) as Entry]);
      else if (key.startsWith(leasePrefix))
        leases.push([Number(key.slice(leasePrefix.length)), decodeWithChecksum(key, value) as number]);
    }
    if (!head)
      throw new StoreError(
        'damaged',
        `${this.dir}: the record of the newest revision is missing: restore a snapshot`,
      );
    for (const [key, e] of entries)
      if (e.stamp > head.epoch)
        throw new StoreError(
          'damaged',
          `${this.dir}: the revision of ${key} is newer than that of the store: restore a snapshot`,
        );
    const answered = this.readAnswered();
    // After its log was damaged, the database opens without an error but lacks its newest batches.
    if (answered > head.epoch)
      throw new StoreError(
        'damaged',
        `${this.dir}: its newest revision is ${head.epoch}, but revision ${answered} was acknowledged: restore a snapshot`,
      );
    this.durableRevision = head.epoch;
    return { ...head, entries, leases };
  }

  /** Writes changes as one batch; resolves once it is durable. */
  async write(deltas: readonly Delta[]): Promise<void> {
    if (deltas.length === 0) return;
    const last = deltas[deltas.length - 1];
    const batch = this.db.batch();
    for (const d of deltas) {
      // In order of revisions: a key that a later delta deletes must end up deleted.
      for (const [key, entry] of d.puts) batch.put(keyPrefix + key, encodeWithChecksum(entry));
      for (const key of d.drops) batch.del(keyPrefix + key);
      for (const [leaseId, ttlMs] of d.leases) batch.put(leasePrefix + leaseId, encodeWithChecksum(ttlMs));
      for (const leaseId of d.endedLeases) batch.del(leasePrefix + leaseId);
    }
    batch.put(headKey, encodeWithChecksum({ epoch: last.epoch, nextHold: last.nextHold }));
    const durable = this.durableRevision;
    try {
      await Promise.all([batch.write({ sync: true }), this.recordAnswered(durable)]);
    } catch (e) {
      throw toStoreError(e, this.dir);
    }
    this.durableRevision = last.epoch;
  }

  /** Records the newest revision and closes all files. */
  async close(): Promise<void> {
    this.writeAnswered(this.durableRevision);
    fdatasyncSync(this.answeredFile);
    closeSync(this.answeredFile);
    await this.db.close();
  }

  /**
   * Records a revision that is already durable, unless the last record is recent enough. The record may lag behind the database,
   * but is never ahead of it.
   */
  private recordAnswered(epoch: number): Promise<void> {
    const now = this.now();
    if (now - this.answeredWrittenAt < answeredWriteIntervalMs) return Promise.resolve();
    this.answeredWrittenAt = now;
    this.writeAnswered(epoch);
    return new Promise((resolve, reject) => fsync(this.answeredFile, (e) => (e ? reject(e) : resolve())));
  }

  private writeAnswered(epoch: number): void {
    writeSync(
      this.answeredFile,
      `${String(epoch).padStart(16, '0')} ${crc32(String(epoch)).toString(16).padStart(8, '0')}\n`,
      0,
    );
  }

  /** The newest acknowledged revision on record; 0: none. */
  private readAnswered(): number {
    const path = join(this.dir, answeredFileName);
    const match = existsSync(path)
      ? /^(\d{16}) ([0-9a-f]{8})$/.exec(readFileSync(path, 'latin1').trim())
      : null;
    // If the machine stopped during the write, the checksum does not match, and the record is ignored.
    return match &&
      crc32(String(Number(match[1])))
        .toString(16)
        .padStart(8, '0') === match[2]
      ? Number(match[1])
      : 0;
  }
}

/** Translates an error of the library or the operating system into one that tells the operator what to do. */
function toStoreError(e: unknown, dir: string): StoreError {
  if (e instanceof StoreError) return e;
  const err = e as NodeJS.ErrnoException & { cause?: NodeJS.ErrnoException };
  const cause = err.cause ?? err;
  const text = cause.message;
  if (cause.code === 'LEVEL_LOCKED')
    return new StoreError('locked', `${dir}: another process has it open: stop that one first`);
  if (cause.code === 'ENOSPC' || /no space left/i.test(text))
    return new StoreError(
      'full',
      `${dir}: no space left on the disk: free some and start again; nothing answered is lost`,
    );
  if (cause.code === 'LEVEL_CORRUPTION' || /corrupt/i.test(text))
    return new StoreError('damaged', `${dir}: damaged (${text}): restore a snapshot`);
  // The error names a file of the database, which could not be read.
  if (/\.(ldb|log|sst)\b|MANIFEST|CURRENT/.test(text))
    return new StoreError('damaged', `${dir}: damaged or not readable (${text}): restore a snapshot`);
  return new StoreError('failed', `${dir}: ${text}`);
}
