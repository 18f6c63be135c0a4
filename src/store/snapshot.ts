/** Snapshots of the store: written while it serves requests, verified and restored. */
import { createHash } from 'node:crypto';
import {
  closeSync,
  createReadStream,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readdirSync,
  renameSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { format, LevelDisk } from './disk.js';
import { StoreError } from './errors.js';
import type { Engine } from './engine.js';
import type { Entry, View } from './keyspace.js';

/** The number of keys that are written in one turn of the event loop. */
const keysPerTurn = 500;

/**
 * Writes a view of the store to a file, while the store serves requests. The file has a header line, one line for each key, and a
 * last line with the SHA-256 digest of all lines before it. It gets its final name only once it is complete and synced.
 */
export async function writeSnapshot(view: View, path: string): Promise<{ keys: number; epoch: number }> {
  const temporaryPath = `${path}.part`;
  const file = openSync(temporaryPath, 'w', 0o600);
  const digest = createHash('sha256');
  const writeLine = (value: unknown): void => {
    const text = `${JSON.stringify(value)}\n`;
    digest.update(text);
    writeSync(file, text);
  };
  try {
    writeLine({ dapplepick: 'snapshot', format, epoch: view.revision, keys: view.keys.size });
    let writtenKeys = 0;
    for (const [key, { data, stamp }] of view.keys.entries()) {
      writeLine([key, data, stamp]);
      if (++writtenKeys % keysPerTurn === 0) await new Promise((resolve) => setImmediate(resolve));
    }
    writeSync(file, `${JSON.stringify({ sha256: digest.digest('hex') })}\n`);
    fsyncSync(file);
  } catch (e) {
    throw new StoreError('failed', `${path}: ${String((e as Error).message)}`);
  } finally {
    closeSync(file);
  }
  renameSync(temporaryPath, path);
  return { keys: view.keys.size, epoch: view.revision };
}

/** Writes a snapshot of an open store into its directory. The file is named by the revision. */
export async function snapshotInto(
  engine: Engine,
  dir: string,
): Promise<{ path: string; keys: number; epoch: number }> {
  const view = engine.view();
  const folder = join(dir, 'snapshots');
  mkdirSync(folder, { recursive: true, mode: 0o700 });
  const path = join(folder, `${String(view.revision).padStart(12, '0')}.jsonl`);
  return { path, ...(await writeSnapshot(view, path)) };
}

/**
 * Creates a store from a snapshot, in an empty or new directory. Leases are not restored: their holders have to request new ones.
 * Keys that were attached to a lease should be gone, as after its end. They are not yet: a snapshot does not record leases, so these
 * keys are restored as permanent ones, and lease IDs start at 1 again.
 */
export async function restoreSnapshot(path: string, dir: string): Promise<{ keys: number; epoch: number }> {
  if (existsSync(dir) && readdirSync(dir).length > 0)
    throw new StoreError(
      'foreign',
      `${dir}: the directory is not empty: restore the snapshot into a new one`,
    );
  const damaged = (why: string): StoreError => new StoreError('damaged', `${path}: ${why}`);
  const { head, entries } = await readSnapshot(path, damaged);
  const disk = await LevelDisk.open(dir);
  try {
    await disk.load();
    const nextHold = 1 + Math.max(0, ...entries.map(([, e]) => e.hold ?? 0));
    const empty = { epoch: head.epoch, nextHold, drops: [], leases: [], endedLeases: [] };
    for (let i = 0; i < entries.length; i += keysPerTurn)
      await disk.write([{ ...empty, puts: entries.slice(i, i + keysPerTurn) }]);
    await disk.write([{ ...empty, puts: [] }]);
  } finally {
    await disk.close();
  }
  return { keys: entries.length, epoch: head.epoch };
}

/** The first line of a snapshot. */
interface SnapshotHeader {
  dapplepick?: string;
  format?: number;
  epoch: number;
  keys: number;
}

/** Reads and verifies a snapshot. */
async function readSnapshot(
  path: string,
  damaged: (why: string) => StoreError,
): Promise<{ head: { epoch: number; keys: number }; entries: [string, Entry][] }> {
  const digest = createHash('sha256');
  let head = null as SnapshotHeader | null;
  const entries: [string, Entry][] = [];
  let recordedDigest: string | null = null;
  let lineNumber = 0;
  for await (const text of createInterface({ input: createReadStream(path), crlfDelay: Infinity })) {
    lineNumber++;
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      throw damaged(`line ${lineNumber} is not valid JSON`);
    }
    if (head === null) {
      head = value as SnapshotHeader;
      if (head.dapplepick !== 'snapshot') throw damaged('it is not a snapshot of a store');
      if (head.format !== format)
        throw new StoreError(
          'version',
          `${path}: stored in format ${head.format}, this program reads only format ${format}`,
        );
    } else if (Array.isArray(value)) {
      const [key, data, stamp] = value as [string, unknown, number];
      entries.push([key, { data, stamp }]);
    } else {
      recordedDigest = (value as { sha256: string }).sha256;
      break;
    }
    digest.update(`${text}\n`);
  }
  if (head === null) throw damaged('the file is empty');
  if (recordedDigest === null || entries.length !== head.keys)
    throw damaged(`the file is truncated after line ${lineNumber}`);
  if (recordedDigest !== digest.digest('hex')) throw damaged('the SHA-256 digest does not match');
  return { head, entries };
}
