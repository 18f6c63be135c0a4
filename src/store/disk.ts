/** The store's files: a key-value database and the mark of what was answered. */
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

/** What the engine needs of a disk. A batch is durable, whole, once `write` has returned. */
export interface Disk {
  load(): Promise<Loaded>;
  write(deltas: readonly Delta[]): Promise<void>;
  close(): Promise<void>;
}

/** The format of what is stored. Raised when older programs could not read it. */
export const format = 1;
const formatKey = 'm!format';
const headKey = 'm!head';
const keyPrefix = 'k!';
const leasePrefix = 'l!';
const markFile = 'answered';
/** The newest answered revision is noted beside the database so often. */
const markEveryMs = 1000;

const sealed = (value: unknown): string => {
  const text = JSON.stringify(value);
  return `${crc32(text).toString(16).padStart(8, '0')}${text}`;
};

function unsealed(key: string, value: string): unknown {
  const text = value.slice(8);
  if (crc32(text).toString(16).padStart(8, '0') !== value.slice(0, 8))
    throw new StoreError('damaged', `the value of ${key} is damaged: restore a snapshot`);
  return JSON.parse(text);
}

/** A directory on disk, held by one process, through LevelDB: batches are written whole and synced. */
export class LevelDisk implements Disk {
  private readonly mark: number;
  private markedAt = 0;
  private written = 0;

  private constructor(
    private readonly dir: string,
    private readonly db: ClassicLevel,
    private readonly now: () => number,
  ) {
    this.mark = openSync(join(dir, markFile), 'a+');
    closeSync(this.mark);
    this.mark = openSync(join(dir, markFile), 'r+');
  }

  static async open(dir: string, now = (): number => performance.now()): Promise<LevelDisk> {
    const db = new ClassicLevel(join(dir, 'db'), { keyEncoding: 'utf8', valueEncoding: 'utf8' });
    try {
      mkdirSync(dir, { recursive: true });
      await db.open();
    } catch (e) {
      throw explained(e, dir);
    }
    return new LevelDisk(dir, db, now);
  }

  async load(): Promise<Loaded> {
    try {
      return await this.read();
    } catch (e) {
      throw explained(e, this.dir);
    }
  }

  private async read(): Promise<Loaded> {
    const stored = await this.db.get(formatKey);
    if (stored === undefined) {
      for await (const key of this.db.keys({ limit: 1 }))
        throw new StoreError('foreign', `${this.dir}: not a store: it holds ${key} but no format`);
      await this.db.batch(
        [
          { type: 'put', key: formatKey, value: String(format) },
          { type: 'put', key: headKey, value: sealed({ epoch: 0, nextHold: 1 }) },
        ],
        { sync: true },
      );
    } else if (Number(stored) !== format)
      throw new StoreError(
        'version',
        `${this.dir}: written in format ${stored}, this program reads ${format}: use the program that wrote it`,
      );
    const entries: [string, Entry][] = [];
    const leases: [number, number][] = [];
    let head: { epoch: number; nextHold: number } | null = null;
    for await (const [key, value] of this.db.iterator()) {
      if (key === headKey) head = unsealed(key, value) as { epoch: number; nextHold: number };
      else if (key.startsWith(keyPrefix))
        entries.push([key.slice(keyPrefix.length), unsealed(key, value) as Entry]);
      else if (key.startsWith(leasePrefix))
        leases.push([Number(key.slice(leasePrefix.length)), unsealed(key, value) as number]);
    }
    if (!head) throw new StoreError('damaged', `${this.dir}: its head is missing: restore a snapshot`);
    for (const [key, e] of entries)
      if (e.stamp > head.epoch)
        throw new StoreError('damaged', `${this.dir}: ${key} is newer than the store: restore a snapshot`);
    const answered = this.answered();
    // Guards against the database that silently comes up without its newest batches after its log was damaged.
    if (answered > head.epoch)
      throw new StoreError(
        'damaged',
        `${this.dir}: ends at revision ${head.epoch}, but ${answered} was answered: restore a snapshot`,
      );
    this.written = head.epoch;
    return { ...head, entries, leases };
  }

  async write(deltas: readonly Delta[]): Promise<void> {
    if (deltas.length === 0) return;
    const last = deltas[deltas.length - 1];
    const batch = this.db.batch();
    for (const d of deltas) {
      // In order: a key that one commit puts and a later one drops is gone.
      for (const [key, entry] of d.puts) batch.put(keyPrefix + key, sealed(entry));
      for (const key of d.drops) batch.del(keyPrefix + key);
      for (const [hold, ttlMs] of d.leases) batch.put(leasePrefix + hold, sealed(ttlMs));
      for (const hold of d.ended) batch.del(leasePrefix + hold);
    }
    batch.put(headKey, sealed({ epoch: last.epoch, nextHold: last.nextHold }));
    const durable = this.written;
    try {
      await Promise.all([batch.write({ sync: true }), this.note(durable)]);
    } catch (e) {
      throw explained(e, this.dir);
    }
    this.written = last.epoch;
  }

  async close(): Promise<void> {
    this.put(this.written);
    fdatasyncSync(this.mark);
    closeSync(this.mark);
    await this.db.close();
  }

  /** Notes a revision that is durable already: it may lag behind, never run ahead. */
  private note(epoch: number): Promise<void> {
    const now = this.now();
    if (now - this.markedAt < markEveryMs) return Promise.resolve();
    this.markedAt = now;
    this.put(epoch);
    return new Promise((resolve, reject) => fsync(this.mark, (e) => (e ? reject(e) : resolve())));
  }

  private put(epoch: number): void {
    writeSync(
      this.mark,
      `${String(epoch).padStart(16, '0')} ${crc32(String(epoch)).toString(16).padStart(8, '0')}\n`,
      0,
    );
  }

  private answered(): number {
    const path = join(this.dir, markFile);
    const m = existsSync(path) ? /^(\d{16}) ([0-9a-f]{8})$/.exec(readFileSync(path, 'latin1').trim()) : null;
    // A mark that was being written when the machine stopped says nothing.
    return m &&
      crc32(String(Number(m[1])))
        .toString(16)
        .padStart(8, '0') === m[2]
      ? Number(m[1])
      : 0;
  }
}

/** An error of the library or the system, in an operator's words. */
function explained(e: unknown, dir: string): StoreError {
  if (e instanceof StoreError) return e;
  const err = e as NodeJS.ErrnoException & { cause?: NodeJS.ErrnoException };
  const inner = err.cause ?? err;
  const text = inner.message;
  if (inner.code === 'LEVEL_LOCKED')
    return new StoreError('locked', `${dir}: another process has it open: stop that one first`);
  if (inner.code === 'ENOSPC' || /no space left/i.test(text))
    return new StoreError(
      'full',
      `${dir}: no space left on the disk: free some and start again; nothing answered is lost`,
    );
  if (inner.code === 'LEVEL_CORRUPTION' || /corrupt/i.test(text))
    return new StoreError('damaged', `${dir}: damaged (${text}): restore a snapshot`);
  // A file of the database that cannot be read as one.
  if (/\.(ldb|log|sst)\b|MANIFEST|CURRENT/.test(text))
    return new StoreError('damaged', `${dir}: damaged or not readable (${text}): restore a snapshot`);
  return new StoreError('failed', `${dir}: ${text}`);
}
