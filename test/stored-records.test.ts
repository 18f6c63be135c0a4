/** The formats of stored records, including those written by earlier builds. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  chunkData,
  cancelledJobDataFromSpec,
  openJobData,
  inlineJobData,
} from '../src/core/storage/index.js';
import {
  emptyChunkState,
  worldWithRecords,
  recordsOf100000Tasks,
  put,
  addWorkersFor,
  type KeyValue,
  type PlacementTuple,
} from './support/stored-state.js';
import { newestLevel } from '../src/feature-levels/index.js';
import { unsupportedLevelData, leaderOf, levelOf, ownerOf } from './support/rolling-upgrade.js';
import { Traffic } from './support/traffic.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

/** State written by a build without feature levels, created by `npm run roll -- --fixture`. */
const beforeLevels = JSON.parse(
  readFileSync(new URL('../../../test/fixtures/before-levels.json', import.meta.url), 'utf8'),
) as { keys: KeyValue[] };

const dataOf = (w: World, key: string): Record<string, unknown> | undefined =>
  w.state.entries.get(key)?.data as Record<string, unknown> | undefined;

test('state of a build without feature levels: every job continues and finishes once, cancelled jobs are removed', () => {
  const w = worldWithRecords(beforeLevels.keys);
  w.capacity = 6;
  const placed = beforeLevels.keys.flatMap(({ key, data }) => {
    const [, kind, job] = key.split('/');
    const p = data['p'] as [number, number, string][];
    return kind === 't' ? p.map((x): PlacementTuple => [job, ...x]) : [];
  });
  addWorkersFor(w, placed);
  w.serviceJobs.add('req-4');
  const cancelled = () => w.running('req-5').length;
  assert.equal(cancelled(), 2);
  assert.ok(w.advanceUntil(() => levelOf(w).level === newestLevel, 20));
  assert.ok(w.advanceUntil(() => cancelled() === 0, 40));
  assert.ok(w.advanceUntil(() => w.nodes[0].status('req-6')?.body['status'] === 'done', 90));
  assert.ok(w.advanceUntil(() => w.nodes[1].status('req-3')?.body['status'] === 'done', 400));
  for (const [id, status] of [
    ['req-1', 'done'],
    ['req-5', 'aborted'],
    ['req-4', 'running'],
  ] as const)
    for (const n of w.nodes) assert.equal(n.status(id)?.body['status'], status);
  assert.equal(w.starts.filter((s) => s.piece === 'req-6/0').length, 0);
  // The remaining records are in the formats of the level: the small service is stored inline, the cancelled job without tasks.
  assert.equal(dataOf(w, 'dp/j/req-4')?.['v'], 2);
  assert.ok(dataOf(w, 'dp/t/req-4/0') === undefined && dataOf(w, 'dp/t/req-5/0') === undefined);
  assert.deepEqual(w.violations, []);
});

// Guards against losing the fields of a newer program with the next write by this program.
test('fields unknown to this program are preserved by its writes', () => {
  const w = new World(1);
  w.advance(5);
  const [n] = w.nodes;
  w.serviceJobs.add('req-1');
  n.submit(spec('req-1', { tasks: 1, shape: 'service', team: 'blue' }));
  n.submit(spec('req-2', { tasks: 100, team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 1 && w.running('req-2').length > 0, 60));
  const block = [...w.state.entries.keys()].find((k) => k.startsWith('dp/b/'))!;
  const keys = ['dp/j/req-1', 'dp/t/req-2/0', 'dp/teams', 'dp/kinds', block];
  for (const key of keys) put(w, key, { ...dataOf(w, key), later: { is: key } });
  w.advance(1);
  const stamps = new Map(keys.map((k) => [k, w.state.entries.get(k)!.stamp]));
  w.workers.get(w.running('req-1')[0].host)!.silent = true;
  w.types = [{ ...w.types[0], price: 2 }];
  const rewritten = new Set<string>();
  const checkUnknownFields = (): void => {
    for (const key of keys) {
      const now = w.state.entries.get(key);
      if (!now) continue;
      assert.deepEqual(dataOf(w, key)?.['later'], { is: key }, key);
      if (now.stamp > stamps.get(key)!) rewritten.add(key);
    }
  };
  for (let i = 0; i < 90; i++) {
    w.advance(1);
    checkUnknownFields();
  }
  n.cancel('req-1');
  w.advance(5);
  checkUnknownFields();
  for (const key of ['dp/j/req-1', 'dp/t/req-2/0', 'dp/kinds']) assert.ok(rewritten.has(key), key);
  assert.deepEqual(w.violations, []);
});

test('records that are damaged or in a later format are not acted on, not overwritten and not reported as missing', () => {
  const w = new World(3);
  w.capacity = 4;
  w.advance(5);
  const [n] = w.nodes;
  w.serviceJobs.add('req-1');
  n.submit(spec('req-1', { tasks: 2, shape: 'service', team: 'blue' }));
  n.submit(spec('req-2', { tasks: 60, team: 'blue', estimateS: 100 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2 && w.running('req-2').length >= 20, 60));
  for (const x of w.workers.values()) x.taskDurationS = 100;
  const chunk = dataOf(w, 'dp/t/req-2/0')!;
  const unreadable: [string, Record<string, unknown>][] = [
    ['dp/j/req-1', { v: 9, s: 'split', parts: [] }],
    ['dp/t/req-2/0', { ...chunk, p: 'burnt' }],
    ['dp/j/req-7', { ...openJobData(spec('req-7'), 1), s: 'lost' }],
    ['dp/m/n-000099', { v: 2, f: 'box' }],
  ];
  const block = [...w.state.entries.values()].find((k) => k.key.startsWith('dp/b/'))!;
  const blockData = block.data as Record<string, unknown>;
  const machineCount = w.workers.size;
  for (const [key, data] of unreadable) put(w, key, data);
  w.advance(2);
  const running = w.running('req-1').length + w.running('req-2').length;
  // The same holds for controllers that have restarted, and for user requests.
  for (const x of w.nodes) {
    for (const id of ['req-1', 'req-7']) {
      assert.equal(x.status(id)?.status, 503);
      assert.equal(x.cancel(id)?.status, 503);
      assert.equal(x.submit(spec(id))?.status, 503);
    }
    x.alive = false;
    w.advance(3);
    x.boot();
    w.advance(8);
  }
  for (const [key, data] of unreadable) assert.deepEqual(dataOf(w, key), data, key);
  // No task of these jobs was stopped, forgotten or started again, and other jobs are accepted.
  assert.equal(w.running('req-1').length + w.running('req-2').length, running);
  assert.equal(n.submit(spec('req-8', { team: 'red', tasks: 1 }))?.status, 201);
  const loggedKeys = n.logLines
    .filter(([, message]) => message === 'record not acted on')
    .map(([, , f]) => f?.['key']);
  assert.ok(
    unreadable.every(([key]) => loggedKeys.includes(key)),
    loggedKeys.join(),
  );
  // No machine is considered gone because the record of its rental is unreadable.
  put(w, block.key, { ...blockData, h: 7 });
  w.advance(20);
  assert.equal(w.workers.size, machineCount);
  assert.equal(w.running('req-1').length + w.running('req-2').length, running);
  // Once the records are repaired, the job continues.
  put(w, block.key, blockData);
  put(w, 'dp/t/req-2/0', chunk);
  assert.ok(w.advanceUntil(() => n.status('req-2')?.body['status'] === 'done', 400));
  assert.deepEqual(w.violations, []);
});

test('unknown feature level: all controllers stand by, log it once, write nothing, and resume when it is reverted', () => {
  const w = new World(3);
  w.advance(5);
  const [n] = w.nodes;
  n.submit(spec('req-1', { tasks: 1, team: 'blue' }));
  assert.ok(w.advanceUntil(() => n.status('req-1')?.body['status'] === 'done', 90));
  n.submit(spec('req-2', { tasks: 1, team: 'blue' }));
  const before = dataOf(w, 'dp/level')!;
  put(w, 'dp/level', unsupportedLevelData);
  w.advance(2);
  const writes = w.commits.length;
  const { revision } = w.state;
  assert.equal(n.status('req-1')?.body['status'], 'done');
  assert.equal(n.status('req-3')?.status, 503);
  assert.equal(n.submit(spec('req-3'))?.status, 503);
  assert.equal(n.cancel('req-2')?.status, 503);
  w.advance(20);
  assert.equal(
    w.state.revision,
    revision,
    `${w.commits.slice(writes).map((c) => JSON.stringify(c.txn.writes))}`,
  );
  for (const x of w.nodes) {
    assert.ok(x.alive && !x.controller.healthy);
    assert.equal(x.logLines.filter(([, message]) => message.startsWith('standing by')).length, 1);
  }
  put(w, 'dp/level', before);
  assert.ok(w.advanceUntil(() => n.status('req-2')?.body['status'] === 'done', 90));
  // Controllers also stand by if the level record is unreadable.
  put(w, 'dp/level', { level: 'high' });
  w.advance(1);
  assert.equal(n.submit(spec('req-4'))?.status, 503);
  assert.deepEqual(w.violations, []);
});

test('100,000 tasks in the old format are rewritten within the write share, across a change of owner, while users are served', () => {
  const { keys, placed } = recordsOf100000Tasks();
  const w = worldWithRecords(keys);
  w.capacity = 2;
  addWorkersFor(w, placed);
  for (let i = 0; i < 400; i++) w.serviceJobs.add(`req-${1000 + i}`);
  assert.ok(w.advanceUntil(() => levelOf(w).level === newestLevel, 30));
  const from = w.now;
  const users = new Traffic(w, 500, () => ({ cpus: 0.1 }), 1e9);
  const left = () => [...w.state.entries.keys()].filter((k) => k.startsWith('dp/t/req-1')).length;
  assert.ok(
    w.advanceUntil(() => left() < 250, 180),
    `${left()} left`,
  );
  const owner = ownerOf(w)!;
  owner.alive = false;
  w.advance(4);
  owner.boot();
  assert.ok(
    w.advanceUntil(() => left() === 0, 240),
    `${left()} left`,
  );
  const seconds = (w.now - from) / 1000;
  const writes = 2 * 400;
  // At most a tenth of 40 writes per second, and less during the time without an owner.
  assert.ok(writes / seconds > 2 && writes / seconds <= 4.2, `${writes / seconds} writes per second`);
  const progressLines = w.nodes
    .flatMap((n) => n.logLines)
    .filter(([, message]) => /records? rewritten|rewriting/.test(message));
  assert.ok(progressLines.length >= 4);
  assert.equal(
    placed.every(([job, index, , h]) => w.workers.get(h)!.hasTask(`${job}/${index}`)),
    true,
  );
  users.stopSubmitting();
  assert.ok(w.advanceUntil(() => users.allEnded, 60));
  assert.ok(users.failed < users.jobs.size / 10, `${users.failed} of ${users.answered}`);
  assert.deepEqual(w.violations, []);
});

test('lowering is refused while a stored record needs the level, and the note says what to do', () => {
  const w = new World(2);
  w.advance(5);
  assert.equal(levelOf(w).level, newestLevel);
  put(w, 'dp/j/req-5', { ...openJobData(spec('req-5', { types: ['none'] }), 1), later: 1 });
  put(w, 'dp/wish', { most: 1, lower: true });
  w.advance(10);
  assert.equal(levelOf(w).level, newestLevel);
  const note = dataOf(w, 'dp/members')?.['note'] as { text: string };
  assert.match(
    note.text,
    new RegExp(
      `^not lowered: 1 records cannot be expressed at level ${newestLevel - 1}: dp/j/req-5; start the newest`,
    ),
  );
  put(w, 'dp/j/req-5', undefined);
  assert.ok(w.advanceUntil(() => levelOf(w).level === 1, 20));
  assert.deepEqual(w.violations, []);
});

test('a job cancelled with inline task state: tasks that may still run count towards the limit until proven gone', () => {
  const w = new World(3);
  w.advance(5);
  const [n] = w.nodes;
  w.serviceJobs.add('req-1');
  n.submit(spec('req-1', { tasks: 2, team: 'red', cpus: 8, shape: 'service' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  for (const { host } of w.running('req-1')) w.workers.get(host)!.silent = true;
  const owner = ownerOf(w)!;
  const other = w.nodes.find((x) => x !== owner)!;
  assert.equal(other.cancel('req-1')?.body['status'], 'aborted');
  // The team's limit is 16 CPUs: while both tasks count, no other task may start, even under a new owner.
  owner.alive = false;
  assert.equal(other.submit(spec('req-2', { tasks: 1, team: 'red', cpus: 8 }))?.status, 201);
  w.advance(14);
  assert.equal(w.running('req-2').length, 0);
  assert.ok((dataOf(w, 'dp/j/req-1')?.['t'] as { p: unknown[] }).p.length === 2);
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 1, 120));
  assert.ok(w.advanceUntil(() => dataOf(w, 'dp/j/req-1')?.['t'] === undefined, 30));
  assert.deepEqual(
    dataOf(w, 'dp/j/req-1')?.['u'],
    cancelledJobDataFromSpec(0, spec('req-1', { cpus: 8 }))['u'],
  );
});

test('inlineJobData stores the job specification under a name that a program that knows only format 1 does not read', () => {
  const data = inlineJobData(spec('req-1'), 1, chunkData(emptyChunkState));
  assert.ok(!('spec' in data) && 'job' in data);
});

test('graceful shutdown: shards and leadership are handed over at once, no request is rejected and no job is lost', () => {
  for (const selectNode of [ownerOf, leaderOf]) {
    const w = new World(3);
    w.advance(5);
    const users = new Traffic(w, 250);
    w.advance(20);
    const n = selectNode(w)!;
    const failed = users.failed;
    n.push({ type: 'shut-down' });
    const from = w.now;
    assert.ok(
      w.advanceUntil(
        () => n.controller.shardManager.ownedShards.size === 0 && !n.controller.membership.isLeader,
        2,
      ),
    );
    assert.ok(w.advanceUntil(() => ownerOf(w) !== undefined && leaderOf(w) !== undefined, 2));
    assert.ok(w.now - from < 1500, `${w.now - from} ms`);
    assert.equal(n.controller.healthy, false);
    assert.ok(w.advanceUntil(() => n.controller.shutdownPhase === 'stopped', 15));
    n.alive = false;
    w.advance(10);
    assert.equal(users.failed - failed, 0);
    users.stopSubmitting();
    assert.ok(w.advanceUntil(() => users.allEnded, 120));
    assert.deepEqual(w.violations, []);
  }
});

test('team limits count unreadable task state: a job whose tasks are unknown counts in full', () => {
  const w = new World(2);
  w.advance(5);
  const [n] = w.nodes;
  w.serviceJobs.add('req-1');
  n.submit(spec('req-1', { tasks: 2, team: 'red', cpus: 6, shape: 'service' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  put(w, 'dp/wish', { most: 1, lower: true });
  assert.ok(w.advanceUntil(() => levelOf(w).level === 1 && dataOf(w, 'dp/t/req-1/0') !== undefined, 60));
  const chunk = dataOf(w, 'dp/t/req-1/0')!;
  put(w, 'dp/t/req-1/0', { ...chunk, v: 7 });
  for (const x of w.nodes) {
    x.alive = false;
    x.boot();
  }
  w.advance(6);
  assert.equal(n.submit(spec('req-2', { tasks: 1, team: 'red', cpus: 6 }))?.status, 201);
  w.advance(40);
  // The first job takes 12 of 16 CPUs.
  assert.equal(w.running('req-1').length, 2);
  assert.equal(w.starts.filter((s) => s.piece.startsWith('req-2/')).length, 0);
  put(w, 'dp/t/req-1/0', chunk);
  w.advance(3);
  assert.equal(n.cancel('req-1')?.body['status'], 'aborted');
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 1, 60));
  assert.deepEqual(w.violations, []);
});
