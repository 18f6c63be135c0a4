/** The store: transactions, leases, watches, snapshots, and damaged files. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { StateService } from '../src/state/state-service.js';
import { HttpStateService } from '../src/state/http-state-service.js';
import {
  EmbeddedStore,
  Engine,
  LevelDisk,
  restoreSnapshot,
  snapshotInto,
  StoreError,
  storeServer,
  type Delta,
  type Disk,
  type Entry,
  type Loaded,
} from '../src/store/index.js';

const ignoreLog = (): undefined => undefined;
const failOnStoreError = (e: StoreError): never => assert.fail(e.message);
const withTemporaryDirectory = async (use: (dir: string) => Promise<void>): Promise<void> => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-store-'));
  try {
    await use(dir);
  } finally {
    rmSync(dir, { recursive: true, force: true });
  }
};
const openEngine = async (dir: string): Promise<Engine> =>
  Engine.open(await LevelDisk.open(dir), ignoreLog, failOnStoreError);
const put = (key: string, n: number, hold?: number) => ({
  key,
  data: { n },
  ...(hold === undefined ? {} : { hold }),
});
const failsWith = (kind: StoreError['kind']) => (e: unknown) => e instanceof StoreError && e.kind === kind;
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** Both forms of the state service: embedded in this process, and over HTTP. */
const forms: [string, (use: (s: StateService, e: Engine) => Promise<void>) => Promise<void>][] = [
  [
    'embedded',
    (use) =>
      withTemporaryDirectory(async (dir) => {
        const engine = await openEngine(dir);
        await use(new EmbeddedStore(engine), engine);
        await engine.close();
      }),
  ],
  [
    'over HTTP',
    (use) =>
      withTemporaryDirectory(async (dir) => {
        const engine = await openEngine(dir);
        const server = storeServer(engine, dir);
        await new Promise<void>((r) => server.listen(0, '127.0.0.1', () => r()));
        await use(new HttpStateService(`127.0.0.1:${(server.address() as AddressInfo).port}`, 2000), engine);
        server.closeAllConnections();
        server.close();
        await engine.close();
      }),
  ],
];

for (const [form, withStore] of forms) {
  test(`store ${form}: conditions are checked, a transaction has one revision, an unknown lease is reported`, () =>
    withStore(async (s) => {
      assert.deepEqual(
        await s.commit({ conditions: [{ key: 'dp/a', stamp: 0 }], writes: [put('dp/a', 1), put('dp/b', 1)] }),
        { type: 'ok', revision: 1 },
      );
      assert.deepEqual(
        await s.commit({ conditions: [{ key: 'dp/a', stamp: 0 }], writes: [put('dp/a', 2)] }),
        {
          type: 'conflict',
          failed: ['dp/a'],
          revision: 1,
        },
      );
      assert.deepEqual(
        await s.commit({
          conditions: [{ key: 'dp/a', stamp: 1 }],
          writes: [{ key: 'dp/b', data: undefined }],
        }),
        { type: 'ok', revision: 2 },
      );
      assert.deepEqual(await s.commit({ conditions: [{ key: 'dp/a', stamp: 1 }], writes: [] }), {
        type: 'ok',
        revision: 2,
      });
      assert.deepEqual(await s.commit({ conditions: [], writes: [put('dp/c', 1, 99)] }), {
        type: 'lease-expired',
      });
      const page = await s.page('');
      assert.deepEqual(page, {
        items: [{ key: 'dp/a', data: { n: 1 }, stamp: 1 }],
        more: false,
        revision: 2,
      });
      assert.deepEqual(await s.changes(1, 0), {
        changes: [{ key: 'dp/b', data: undefined, stamp: 2 }],
        revision: 2,
      });
    }));

  test(`store ${form}: keys are deleted with their lease: not while it is renewed, and at once when it is revoked`, () =>
    withStore(async (s) => {
      // Long enough for a disk that is busy with other tests, where a commit may take more than a second.
      const [a, b] = [(await s.grantLease(3000))!, (await s.grantLease(1200))!];
      await s.commit({ conditions: [], writes: [put('dp/a', 1, a), put('dp/b', 1, b)] });
      for (let i = 0; i < 5; i++) {
        await sleep(700);
        assert.equal(await s.renewLease(a), 'ok');
      }
      assert.deepEqual(
        ((await s.page('')) as { items: { key: string }[] }).items.map((i) => i.key),
        ['dp/a'],
      );
      assert.equal(await s.renewLease(b), 'gone');
      await s.revokeLease(a);
      assert.deepEqual(((await s.page('')) as { items: unknown[] }).items, []);
      // A key that was put again without its lease is not deleted with the lease.
      const c = (await s.grantLease(100))!;
      await s.commit({ conditions: [], writes: [put('dp/c', 1, c)] });
      await s.commit({ conditions: [], writes: [put('dp/c', 2)] });
      await sleep(300);
      assert.equal(((await s.page('')) as { items: unknown[] }).items.length, 1);
    }));

  test(`store ${form}: pages are in order, watches return what has changed, too old revisions are rejected`, () =>
    withStore(async (s, engine) => {
      for (let i = 0; i < 12; i++)
        await s.commit({
          conditions: [],
          writes: Array.from({ length: 100 }, (_, j) => put(`dp/${String(i * 100 + j).padStart(5, '0')}`, j)),
        });
      const first = await s.page('');
      assert.ok(first && first !== 'busy' && first.more && first.items.length === 1000);
      const second = await s.page(first.items[999].key);
      assert.ok(second && second !== 'busy' && !second.more && second.items.length === 200);
      assert.ok(second.items[0].key > first.items[999].key);
      const watch = s.changes(12, 5000);
      await sleep(50);
      await s.commit({ conditions: [], writes: [put('other/x', 1)] });
      await s.commit({ conditions: [], writes: [put('dp/z', 1)] });
      const watched = await watch;
      assert.ok(watched && typeof watched === 'object');
      assert.deepEqual(
        watched.changes.map((c) => c.key),
        ['dp/z'],
      );
      for (let i = 0; i < 200; i++)
        void engine.commit({
          conditions: [],
          writes: Array.from({ length: 100 }, (_, j) => put(`dp/n${i}.${j}`, j)),
        });
      await engine.commit({ conditions: [], writes: [put('dp/last', 1)] });
      assert.equal(await s.changes(3, 0), 'old');
    }));
}

test('store: a process that is killed during concurrent commits loses no acknowledged commit', () =>
  withTemporaryDirectory(async (dir) => {
    const program = `
      import { Engine, LevelDisk } from ${JSON.stringify(new URL('../src/store/index.js', import.meta.url).href)};
      const e = await Engine.open(await LevelDisk.open(process.argv[1]), () => {}, () => process.exit(9));
      const one = async (w) => { for (let i = 0; ; i++) {
        const r = await e.commit({ conditions: [], writes: [{ key: 'k/' + w + '/' + i, data: { i } }] });
        process.stdout.write(r.revision + ' k/' + w + '/' + i + '\\n');
      } };
      for (let w = 0; w < 16; w++) void one(w);`;
    for (let round = 0; round < 3; round++) {
      const child = spawn(process.execPath, ['--input-type=module', '-e', program, dir], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      let output = '';
      child.stdout.on('data', (d: Buffer) => (output += d.toString()));
      const exited = new Promise((r) => child.once('close', r));
      while (output.length < 4000) await sleep(10);
      await sleep(37 * round);
      child.kill('SIGKILL');
      await exited;
      const engine = await openEngine(dir);
      const lines = output.split('\n').slice(0, -1);
      for (const l of lines) {
        const [revision, key] = l.split(' ');
        assert.ok(Number(revision) <= engine.revision);
        assert.ok(engine.get(key).entry, key);
      }
      await engine.close();
    }
  }));

/** A disk in memory whose writes can be made to fail; a failed batch is lost as a whole. */
class FailingDisk implements Disk {
  readonly durableEntries = new Map<string, Entry>();
  epoch = 0;
  failing = false;
  writes = 0;
  load(): Promise<Loaded> {
    return Promise.resolve({ epoch: this.epoch, nextHold: 1, entries: [...this.durableEntries], leases: [] });
  }
  async write(deltas: readonly Delta[]): Promise<void> {
    this.writes++;
    await sleep(3);
    if (this.failing) throw new StoreError('full', 'no space left');
    for (const d of deltas) {
      for (const [k, e] of d.puts) this.durableEntries.set(k, e);
      for (const k of d.drops) this.durableEntries.delete(k);
      this.epoch = d.epoch;
    }
  }
  close(): Promise<void> {
    return Promise.resolve();
  }
}

test('store: a full disk fails all commits, is reported, and loses no acknowledged commit', async () => {
  const disk = new FailingDisk();
  let reportedError: StoreError | null = null;
  const engine = await Engine.open(disk, ignoreLog, (e) => (reportedError = e));
  const good = await Promise.all(
    Array.from({ length: 50 }, (_, i) => engine.commit({ conditions: [], writes: [put(`a${i}`, i)] })),
  );
  assert.ok(good.every((r) => r.type === 'ok'));
  assert.ok(disk.writes <= 3, `${disk.writes} writes for 50 commits at once`);
  disk.failing = true;
  const bad = await Promise.all([
    engine.commit({ conditions: [], writes: [put('b', 1)] }),
    engine.commit({ conditions: [], writes: [put('c', 1)] }),
  ]);
  assert.deepEqual(bad, [{ type: 'unknown' }, { type: 'unknown' }]);
  assert.equal((reportedError as StoreError | null)?.kind, 'full');
  assert.equal(engine.get('b').entry, undefined);
  assert.deepEqual(await engine.commit({ conditions: [], writes: [put('d', 1)] }), { type: 'unknown' });
  disk.failing = false;
  const reopened = await Engine.open(disk, ignoreLog, failOnStoreError);
  assert.equal(reopened.get('a49').entry?.stamp, 50);
  assert.deepEqual(await reopened.commit({ conditions: [{ key: 'b', stamp: 0 }], writes: [put('b', 1)] }), {
    type: 'ok',
    revision: 51,
  });
});

test('store: readers and conflicts see only what is durable', async () => {
  const disk = new FailingDisk();
  const engine = await Engine.open(disk, ignoreLog, failOnStoreError);
  const first = engine.commit({ conditions: [], writes: [put('a', 1)] });
  const conflicting = engine.commit({ conditions: [{ key: 'a', stamp: 0 }], writes: [put('a', 2)] });
  assert.equal(engine.get('a').entry, undefined);
  assert.equal((await first).type, 'ok');
  assert.deepEqual(await conflicting, { type: 'conflict', failed: ['a'], revision: 1 });
  assert.equal(disk.epoch, 1);
});

test('store: a locked, damaged or foreign directory is reported as a StoreError', () =>
  withTemporaryDirectory(async (dir) => {
    const at = join(dir, 's');
    const engine = await openEngine(at);
    await assert.rejects(openEngine(at), failsWith('locked'));
    for (let i = 0; i < 300; i++) await engine.commit({ conditions: [], writes: [put(`k${i}`, i)] });
    await engine.close();
    const db = join(at, 'db');
    const truncateLargestFile = (ending: RegExp): void => {
      const files = readdirSync(db)
        .filter((f) => ending.test(f))
        .map((f) => join(db, f));
      const largest = files.sort((a, b) => statSync(b).size - statSync(a).size)[0];
      truncateSync(largest, Math.floor(statSync(largest).size / 2));
    };
    // A truncated log, as after a disk fault, lacks acknowledged commits, which must be detected.
    truncateLargestFile(/\.log$/);
    await assert.rejects(openEngine(at), failsWith('damaged'));
    const other = join(dir, 'o');
    const filled = await openEngine(other);
    for (let i = 0; i < 300; i++) await filled.commit({ conditions: [], writes: [put(`k${i}`, i)] });
    await filled.close();
    const reopened = await openEngine(other);
    assert.equal(reopened.revision, 300);
    await reopened.close();
    for (const f of readdirSync(join(other, 'db')))
      if (f.endsWith('.ldb')) truncateSync(join(other, 'db', f), 100);
    await assert.rejects(openEngine(other), failsWith('damaged'));
    const foreign = join(dir, 'f');
    writeFileSync(foreign, 'x');
    await assert.rejects(openEngine(foreign), (e) => e instanceof StoreError);
  }));

test('store: a snapshot is consistent, is restored completely, and is rejected if truncated or modified', () =>
  withTemporaryDirectory(async (dir) => {
    const engine = await openEngine(join(dir, 'a'));
    for (let i = 0; i < 1200; i++) void engine.commit({ conditions: [], writes: [put(`k${i}`, i)] });
    await engine.commit({ conditions: [], writes: [put('z', 1)] });
    const writing = snapshotInto(engine, join(dir, 'a'));
    await engine.commit({ conditions: [], writes: [put('later', 1)] });
    const snapshot = await writing;
    assert.equal(snapshot.keys, 1201);
    await engine.close();
    await restoreSnapshot(snapshot.path, join(dir, 'b'));
    const b = await openEngine(join(dir, 'b'));
    assert.equal(b.revision, snapshot.epoch);
    assert.equal(b.get('later').entry, undefined);
    assert.deepEqual(b.get('k7').entry, { data: { n: 7 }, stamp: 8 });
    await b.close();
    await assert.rejects(restoreSnapshot(snapshot.path, join(dir, 'b')), failsWith('foreign'));
    const text = readFileSync(snapshot.path, 'utf8');
    const truncated = join(dir, 'cut');
    writeFileSync(truncated, text.slice(0, text.length / 2));
    await assert.rejects(restoreSnapshot(truncated, join(dir, 'c')), failsWith('damaged'));
    const modified = join(dir, 'changed');
    writeFileSync(modified, text.replace('["k7",{"n":7}', '["k7",{"n":8}'));
    await assert.rejects(restoreSnapshot(modified, join(dir, 'd')), failsWith('damaged'));
    appendFileSync(truncated, '');
  }));
