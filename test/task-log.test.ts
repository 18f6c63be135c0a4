/** The task log: records that arrive in any order, group commit, truncation, cancellations, faults, and lowering the level. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  applyEntry,
  BitSet,
  chunkData,
  type ChunkRecord,
  type TransactionBatcher,
  deltaBetween,
  emptyChunk,
  type PendingWrite,
  cancelledJobDataFromSpec,
  openJobData,
  encodeLogRecord,
  type LogEntry,
  type EntryRef,
  LogReader,
  LogWriter,
  type PlacementRecord,
  WritePriority,
  readChunk,
  decodeLogRecord,
  TruncationPlanner,
} from '../src/core/storage/index.js';
import type { Transaction, Write } from '../src/wire/store.js';
import { Replica } from '../src/core/replica.js';
import { capabilitiesOf, FeatureLevels, newestLevel } from '../src/feature-levels/index.js';
import type { JobSpec } from '../src/model/job.js';
import { createScheduledJob } from '../src/core/shard-state/jobs.js';
import type { Placement } from '../src/core/shard-state/types.js';
import { collectRecoveryRecords } from '../src/core/recovery-records.js';
import { historyViolations } from './support/task-log-history.js';
import { levelOf, ownerOf, restart } from './support/rolling-upgrade.js';
import { Traffic } from './support/traffic.js';
import { type Node } from './support/controller-node.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

/** The number of tasks of each chunk. */
const size = 8;

/** A chunk's state in a form that can be compared. */
const comparableState = (c: ChunkRecord): object => ({
  last: c.lastAttempt,
  done: Array.from({ length: size }, (_, i) => c.done.has(i)),
  placed: [...c.placements].sort((a, b) => a.index - b.index),
  revision: c.version,
});

/** The entries of a chunk, and the states that they lead to. */
interface History {
  entries: LogEntry[];
  /** The initial state, and the state after each entry. */
  states: ChunkRecord[];
}

/** The history of a chunk whose tasks are placed, terminate or complete, as determined by the numbers. */
function historyOf(steps: readonly number[]): History {
  const history: History = { entries: [], states: [emptyChunk] };
  let last = 0;
  for (const step of steps) {
    const before = history.states.at(-1)!;
    const index = step % size;
    const done = before.done.copy();
    let placed: PlacementRecord[] = before.placements.filter((p) => p.index !== index);
    if (placed.length < before.placements.length) {
      if (step % 3 === 0) done.add(index);
    } else if (!done.has(index)) placed = [...placed, { index, attempt: ++last, host: `n-${step % 5}` }];
    const revision = before.version + 1 + (step % 2);
    const changes = deltaBetween(before, {
      lastAttempt: last,
      done,
      placements: placed,
      failedHosts: [],
      size,
    });
    history.entries.push({
      job: 'req-1',
      chunk: 0,
      fromVersion: before.version,
      toVersion: revision,
      ...changes,
    });
    const state: ChunkRecord = {
      ...before,
      lastAttempt: last,
      done,
      placements: placed,
      version: revision,
      doneCount: done.count(),
    };
    history.states.push(state);
  }
  return history;
}

/** Follows the only chunk of a job, as a replica does. */
class Follower {
  state: ChunkRecord | undefined;
  known = true;
  readonly reader = new LogReader({
    get: () => this.state,
    set: (_job, _chunk, state) => (this.state = state),
    remove: () => (this.state = undefined),
    jobStatus: () => (this.known ? 'followed' : 'unknown'),
  });

  checkpoint(state: ChunkRecord): void {
    const record = readChunk(JSON.parse(JSON.stringify(chunkData(state, state.version))), 1);
    if (!this.state || record.version >= this.state.version) this.state = record;
    this.reader.applyWaiting('req-1');
  }

  put(n: number, entry: LogEntry): void {
    this.reader.put(`dp/log/0/1-${n}`, 0, JSON.parse(JSON.stringify(encodeLogRecord([entry]))), n);
  }
}

const steps = fc.array(fc.nat(100), { minLength: 1, maxLength: 20 });

test('entries and a checkpoint lead to the same state in whatever order they arrive', () => {
  fc.assert(
    fc.property(steps, fc.nat(), fc.nat(), (list, checkpointAt, order) => {
      const { entries, states } = historyOf(list);
      const follower = new Follower();
      const arrivals = entries.map((entry, n) => () => follower.put(n, entry));
      arrivals.push(() => follower.checkpoint(states[checkpointAt % states.length]));
      if (order % 3 === 0) {
        follower.known = false;
        arrivals.push(() => {
          follower.known = true;
          follower.reader.applyWaiting('req-1');
        });
      }
      let seed = order;
      while (arrivals.length > 0) {
        seed = (seed * 1103515245 + 12345) % 2147483648;
        arrivals.splice(seed % arrivals.length, 1)[0]();
      }
      assert.deepEqual(comparableState(follower.state!), comparableState(states.at(-1)!));
    }),
  );
});

test('an entry that arrives again later changes nothing', () => {
  fc.assert(
    fc.property(steps, fc.nat(), (list, which) => {
      const { entries, states } = historyOf(list);
      const follower = new Follower();
      entries.forEach((entry, n) => follower.put(n, entry));
      follower.put(entries.length, entries[which % entries.length]);
      assert.deepEqual(comparableState(follower.state!), comparableState(states.at(-1)!));
      assert.equal(follower.reader.waitingCount, 0);
    }),
  );
});

test('a record that is deleted while its entry waits for a predecessor leaves no entry waiting', () => {
  const { entries } = historyOf([1, 2, 3]);
  const follower = new Follower();
  follower.put(2, entries[2]);
  follower.reader.delete('dp/log/0/1-2');
  follower.put(0, entries[0]);
  follower.put(1, entries[1]);
  assert.equal(follower.state!.version, entries[1].toVersion);
  assert.equal(follower.reader.size, 2);
});

test('entries are unchanged after encoding and decoding', () => {
  const { entries, states } = historyOf([1, 2, 1, 3, 3]);
  const read = decodeLogRecord(JSON.parse(JSON.stringify(encodeLogRecord(entries))));
  const state = read.reduce(applyEntry, { ...emptyChunk, done: new BitSet() });
  assert.deepEqual(comparableState(state), comparableState(states.at(-1)!));
});

test('a log is truncated from its oldest end, and chunks that keep old records are checkpointed', () => {
  const item = (job: string, to: number): EntryRef => ({ job, chunk: 0, toVersion: to });
  const record = (n: number, items: EntryRef[]) => ({
    key: `k${n}`,
    shard: 0,
    modRevision: n,
    entries: items,
  });
  const records = [record(1, [item('a', 1)]), record(2, [item('b', 1)]), record(3, [item('a', 2)])];
  const finishedJobs = new Set(['a']);
  let checkpoint = 0;
  const checkpoints = {
    jobStatus: (job: string) => (finishedJobs.has(job) ? ('over' as const) : ('followed' as const)),
    checkpointVersionOf: () => checkpoint,
  };
  const truncation = new TruncationPlanner(10_000, 4);
  const keys = (now: number): string[] =>
    truncation.plan(records, checkpoints, now).deletable.map((r) => r.key);
  // The third record is obsolete as well, but the second, older one is still needed.
  assert.deepEqual(keys(0), ['k1']);
  assert.deepEqual(truncation.plan(records, checkpoints, 9000).toCheckpoint, []);
  assert.deepEqual(truncation.plan(records, checkpoints, 11_000).toCheckpoint, [item('b', 1)]);
  checkpoint = 1;
  assert.deepEqual(keys(12_000), ['k1', 'k2', 'k3']);
});

test('an older checkpoint that is read late does not overwrite the newer state from the log', () => {
  const noop = (): void => undefined;
  const listener = { jobChanged: noop, machineChanged: noop, shardChanged: noop, criticalChange: noop };
  const levelListener = { readabilityChanged: noop, levelChanged: noop, incarnationChanged: noop };
  const replica = new Replica({ ...listener, ...levelListener }, new FeatureLevels(capabilitiesOf('test')));
  const { entries, states } = historyOf([1, 2, 1, 3]);
  const job = openJobData(spec('req-1', { tasks: size }), 1);
  replica.apply({ key: 'dp/j/req-1', data: job, stamp: 1 });
  entries.forEach((entry, n) =>
    replica.apply({ key: `dp/log/0/1-${n}`, data: encodeLogRecord([entry]), stamp: n + 2 }),
  );
  const [, , old] = states;
  replica.apply({ key: 'dp/t/req-1/0', data: chunkData(old, old.version), stamp: 20 });
  const state = replica.chunks.get('req-1')!.get(0)!;
  assert.deepEqual(comparableState(state), comparableState(states.at(-1)!));
  assert.equal(state.checkpointVersion, old.version);
});

// Tests with controllers in the simulated cluster.

const taskLogEnabled = { 'task-log': 1 };

const logKeys = (w: World): string[] =>
  [...w.state.entries.keys()].filter((key) => key.startsWith('dp/log/'));

function logWorld(seed = 1, overrides: Record<string, number> = {}): World {
  const w = new World(3, { ...taskLogEnabled, ...overrides }, seed);
  w.capacity = 20;
  const ready = (): boolean =>
    levelOf(w).level === newestLevel && w.nodes.every((n) => n.controller.replica.machineTypes.length > 0);
  assert.ok(w.advanceUntil(ready, 60));
  return w;
}

/** Asserts that all live controllers hold the same state of each job's tasks. */
function assertSameEverywhere(w: World): void {
  const chunkStatesOf = (n: Node): string =>
    JSON.stringify(
      [...n.controller.replica.chunks]
        .map(([id, chunks]) => [
          id,
          [...chunks].map(([k, c]) => [k, c.placements, c.done.toString(), c.lastAttempt]),
        ])
        .sort(),
    );
  const [first, ...others] = w.nodes.filter((n) => n.alive).map(chunkStatesOf);
  for (const other of others) assert.equal(other, first);
}

/** Whether a write contains task state: in the log, in a chunk record, or in the record of a job. */
const isTaskWrite = ({ key, data }: Write): boolean =>
  /^dp\/(log|t)\//.test(key) || (data?.['t'] !== undefined && data['s'] === 'open');

test('placements and terminations of many jobs share writes', () => {
  const jobs = 200;
  const tasks = 4;
  const run = (overrides: Record<string, number>): { writesPerStart: number; violations: string[] } => {
    const w = new World(3, overrides, 1);
    w.capacity = 60;
    w.taskDurationS = 20;
    w.advance(10);
    for (let i = 0; i < jobs; i++)
      w.nodes[i % 3].push({
        type: 'submit',
        requestId: 9000 + i,
        spec: spec(`req-${i + 1}`, { tasks, team: 'blue', cpus: 0.2 }),
      });
    assert.ok(w.advanceUntil(() => w.finishedTasks.length === jobs * tasks, 300));
    w.advance(5);
    const written = w.commits.flatMap((c) => (c.outcome.type === 'ok' ? c.txn.writes : []));
    return { writesPerStart: written.filter(isTaskWrite).length / w.starts.length, violations: w.violations };
  };
  const [without, logged] = [run({}), run(taskLogEnabled)];
  assert.deepEqual([...without.violations, ...logged.violations], []);
  assert.ok(without.writesPerStart > 0.2, `${without.writesPerStart} writes per start without the log`);
  assert.ok(logged.writesPerStart < 0.03, `${logged.writesPerStart} writes per start with the log`);
});

test('commit before start: a crash between the log write and the task starts loses no task and starts none twice', () => {
  for (const seed of [1, 2, 3]) {
    const w = logWorld(seed);
    w.nodes[0].submit(spec('req-1', { tasks: 6, team: 'blue' }));
    assert.ok(w.advanceUntil(() => logKeys(w).length > 0, 60));
    const owner = ownerOf(w)!;
    owner.alive = false;
    w.advance(6);
    owner.boot();
    assert.ok(w.advanceUntil(() => w.finishedTasks.length === 6, 120));
    assert.deepEqual([...w.violations, ...historyViolations(w)], []);
    assertSameEverywhere(w);
  }
});

test('a record does not exceed the value size limit: cancelled jobs that do not fit are cleared by the next one', () => {
  const noop = (): void => undefined;
  const listener = { jobChanged: noop, machineChanged: noop, shardChanged: noop, criticalChange: noop };
  const levelListener = { readabilityChanged: noop, levelChanged: noop, incarnationChanged: noop };
  const replica = new Replica({ ...listener, ...levelListener }, new FeatureLevels(capabilitiesOf('test')));
  replica.apply({ key: 'dp/shard/0', data: { owner: 'n0', run: 'r' }, stamp: 5 });
  const pendingWrites: PendingWrite[] = [];
  const batcher = {
    isBudgetLow: false,
    enqueue: (pending: PendingWrite) => pendingWrites.push(pending),
  } as unknown as TransactionBatcher;
  const valueKb = 1;
  const writer = new LogWriter(0, { valueKb, maxConditions: 96, heartbeatS: 2 }, replica, batcher, {
    isOwned: () => true,
    isWritable: () => true,
    onDurable: noop,
    onBlocked: noop,
  });
  const jobs = Array.from({ length: 60 }, (_, i) => `req-${i + 1}`);
  for (const id of jobs) {
    replica.apply({ key: `dp/j/${id}`, data: openJobData(spec(id, { tasks: 2 }), 1), stamp: 6 });
    const p = [[0, 1, 'n-1']];
    replica.apply({ key: `dp/t/${id}/0`, data: { n: 1, d: '', p, r: 1 }, stamp: 7 });
    writer.clearJob(id, 0);
  }
  const cleared: string[] = [];
  for (let now = 10_000; cleared.length < jobs.length && now < 20_000; now += 1000) {
    writer.tick(now);
    const { data } = pendingWrites.at(-1)!.build()!.writes[0];
    assert.ok(JSON.stringify(data).length <= valueKb * 1024);
    cleared.push(...decodeLogRecord(data).map((e) => e.job));
    pendingWrites.at(-1)!.onCommitted(8);
  }
  assert.deepEqual(cleared, jobs);
});

test('a conflicting write is rebuilt without the cancelled job before the replica has caught up', () => {
  const noop = (): void => undefined;
  const listener = { jobChanged: noop, machineChanged: noop, shardChanged: noop, criticalChange: noop };
  const levelListener = { readabilityChanged: noop, levelChanged: noop, incarnationChanged: noop };
  const replica = new Replica({ ...listener, ...levelListener }, new FeatureLevels(capabilitiesOf('test')));
  replica.apply({ key: 'dp/shard/0', data: { owner: 'n0', run: 'r' }, stamp: 5 });
  const pendingWrites: PendingWrite[] = [];
  const batcher = {
    isBudgetLow: false,
    enqueue: (pending: PendingWrite) => pendingWrites.push(pending),
  } as unknown as TransactionBatcher;
  const blocked: string[] = [];
  let owned = true;
  const writer = new LogWriter(0, { valueKb: 32, maxConditions: 96, heartbeatS: 2 }, replica, batcher, {
    isOwned: () => owned,
    isWritable: () => true,
    onDurable: noop,
    onBlocked: (job) => blocked.push(job.id),
  });
  for (const id of ['req-1', 'req-2', 'req-3']) {
    replica.apply({ key: `dp/j/${id}`, data: openJobData(spec(id, { tasks: 2 }), 1), stamp: 6 });
    const job = createScheduledJob(replica.jobs.get(id)!, spec(id, { tasks: 2 }), {
      shard: 0,
      stored: undefined,
      tasksPerChunk: 16,
      attemptBase: 0,
    });
    const [chunk] = job.chunks;
    chunk.queuedWrite = { priority: WritePriority.task };
    chunk.version = 1;
    job.placements.set(0, { index: 0, attempt: 1, host: 'n-1', chunk } as Placement);
    writer.markChanged(job, chunk, chunk.queuedWrite, 0);
  }
  replica.applyWatch([], 6);
  const jobsOf = (txn: Transaction | null): string[] =>
    decodeLogRecord(txn!.writes[0].data).map((e) => e.job);
  writer.tick(0);
  assert.deepEqual(jobsOf(pendingWrites[0].build()), ['req-1', 'req-2', 'req-3']);
  pendingWrites[0].onConflict(['dp/j/req-2'], 99);
  writer.tick(0);
  assert.deepEqual(jobsOf(pendingWrites[1].build()), ['req-1', 'req-3']);
  assert.deepEqual(blocked, ['req-2']);
  // Only the shard's owner clears cancelled jobs, even if the writer was asked to do so before it lost the shard.
  const placed = [{ index: 0, attempt: 1, host: 'n-1' }];
  const nothing = { done: [], removed: [], failedHosts: null };
  const entry = {
    job: 'req-1',
    chunk: 0,
    fromVersion: 0,
    toVersion: 1,
    lastAttempt: 1,
    placements: placed,
    ...nothing,
  };
  replica.apply({ key: 'dp/log/0/5-9', data: encodeLogRecord([entry]), stamp: 7 });
  pendingWrites[1].onConflict(['dp/shard/0'], 100);
  writer.clearJob('req-1', 0);
  writer.tick(10_000);
  assert.deepEqual(decodeLogRecord(pendingWrites[2].build()!.writes[0].data)[0].removed, [0]);
  owned = false;
  assert.equal(pendingWrites[2].build(), null);
});

test('if a job in a write has been cancelled, the other jobs are written again before the replica has caught up', () => {
  const w = logWorld(6);
  w.taskDurationS = 60;
  w.state.writesPerS = 40;
  for (let i = 1; i <= 12; i++)
    w.nodes[i % 3].push({
      type: 'submit',
      requestId: 8000 + i,
      spec: spec(`req-${i}`, { tasks: 2, team: 'blue', cpus: 1 }),
    });
  // A user cancels one of the jobs just before the owner's write reaches the state service.
  let cancelledJob = '';
  w.state.beforeCommit = (txn) => {
    const record = txn.writes.find((a) => a.key.startsWith('dp/log/') && a.data);
    if (!record || cancelledJob !== '') return;
    const { job } = decodeLogRecord(record.data).find((e) => e.placements.length > 0)!;
    cancelledJob = job;
    const { data } = w.state.entries.get(`dp/j/${job}`)!;
    const { spec: s, at } = data as { spec: JobSpec; at: number };
    const cancellation = {
      conditions: [],
      writes: [{ key: `dp/j/${job}`, data: cancelledJobDataFromSpec(at, s) }],
    };
    w.commits.push({ member: 'user', txn: cancellation, outcome: w.state.commit(cancellation), at: w.now });
  };
  assert.ok(w.advanceUntil(() => cancelledJob !== '', 60));
  const from = w.now;
  const isPlaced = (id: string): boolean =>
    w.nodes.every((n) => n.controller.replica.taskCounts(id).running === 2);
  const others = Array.from({ length: 12 }, (_, i) => `req-${i + 1}`).filter((id) => id !== cancelledJob);
  assert.ok(
    w.advanceUntil(() => others.every(isPlaced), 30),
    'the other jobs are placed',
  );
  assert.ok(w.now - from < 2000, `placed after ${w.now - from} ms`);
  w.advance(10);
  assert.equal(w.running(cancelledJob).length, 0);
  assert.deepEqual([...w.violations, ...historyViolations(w)], []);
});

test('many concurrent cancellations: cancelled jobs are left out, other jobs in the same writes start', () => {
  for (const seed of [1, 2, 3, 4]) {
    const w = logWorld(seed);
    w.taskDurationS = 30;
    const jobs = Array.from({ length: 40 }, (_, i) => `req-${i + 1}`);
    for (const [i, id] of jobs.entries())
      w.nodes[i % 3].submit(spec(id, { tasks: 2, team: 'blue', cpus: 1 }));
    const cancelled = jobs.filter((_, i) => i % 2 === 0);
    for (const [i, id] of cancelled.entries())
      w.schedule(Math.round(w.random() * 3000), () =>
        w.nodes[i % 3].push({ type: 'cancel', requestId: 7000 + i, id }),
      );
    w.advance(15);
    for (const [i, id] of cancelled.entries())
      if (w.nodes[i % 3].responses.get(7000 + i)?.body['status'] === 'aborted') w.cancelledAt.set(id, w.now);
    assert.ok(w.cancelledAt.size > 10, String(w.cancelledAt.size));
    const kept = jobs.filter((id) => !w.cancelledAt.has(id));
    const done = (id: string): boolean => w.nodes[0].status(id)?.body['status'] === 'done';
    assert.ok(
      w.advanceUntil(() => kept.every(done), 240),
      'all other jobs are done',
    );
    for (const id of w.cancelledAt.keys()) assert.equal(w.nodes[1].status(id)?.body['status'], 'aborted');
    assert.deepEqual([...w.violations, ...historyViolations(w)], []);
    assert.ok(
      w.advanceUntil(() => logKeys(w).length === 0, 60),
      'the log is truncated',
    );
    assertSameEverywhere(w);
  }
});

test('lost responses to log writes, late transactions and crashes of owners violate no invariant', () => {
  for (const seed of [1, 2, 3, 4]) {
    const w = logWorld(seed);
    w.taskDurationS = 8;
    const users = new Traffic(w, 400, (n) => ({ tasks: 1 + (n % 5), cpus: 1 }));
    const touchesLog = (keys: string[]): boolean => keys.some((key) => key.startsWith('dp/log/'));
    w.state.dropsResponseTo = (txn) => touchesLog(txn.writes.map((a) => a.key)) && w.random() < 0.3;
    w.state.delayedCommitShare = 0.1;
    for (let i = 0; i < 4; i++) {
      w.advance(8);
      const owner = ownerOf(w);
      if (!owner) continue;
      if (i % 2 === 0) owner.paused = true;
      else owner.alive = false;
      w.advance(6);
      owner.paused = false;
      if (!owner.alive) owner.boot();
    }
    w.state.dropsResponseTo = () => false;
    w.state.delayedCommitShare = 0;
    w.advance(20);
    users.stopSubmitting();
    assert.ok(
      w.advanceUntil(() => users.allEnded, 240),
      `seed ${seed}: jobs did not finish`,
    );
    assert.deepEqual([...w.violations, ...historyViolations(w)], [], `seed ${seed}`);
  }
});

test('a log write that is executed long after its record was deleted does not restore old placements', () => {
  const w = logWorld(1, { 'task-log-leases': 0.5 });
  w.serviceJobs.add('req-1');
  w.nodes[0].submit(spec('req-1', { tasks: 2, shape: 'service', team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  const lateTransaction = w.commits.find((c) => c.txn.writes.some((a) => a.key.startsWith('dp/log/')))!.txn;
  // The record is checkpointed and deleted, then one task is placed again on another machine.
  assert.ok(
    w.advanceUntil(() => logKeys(w).length === 0, 60),
    'the log records are deleted',
  );
  const [{ host }] = w.running('req-1');
  w.workers.get(host)!.silent = true;
  assert.ok(w.advanceUntil(() => w.running('req-1').filter((r) => r.host !== host).length === 2, 200));
  w.advance(15);
  assert.equal(w.state.commit(lateTransaction).type, 'ok');
  w.advance(5);
  for (const n of w.nodes) {
    const placed = [...n.controller.replica.chunks.get('req-1')!.values()].flatMap((c) => c.placements);
    assert.deepEqual(
      placed.filter((p) => p.host === host),
      [],
    );
  }
  assert.deepEqual(w.violations, []);
});

test('a log kept by long-running services is checkpointed, so it does not grow with short jobs', () => {
  const w = logWorld(2, { 'task-log-leases': 1 });
  w.serviceJobs.add('req-1');
  w.nodes[0].submit(spec('req-1', { tasks: 2, shape: 'service', team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  w.taskDurationS = 3;
  const users = new Traffic(w, 500, () => ({ tasks: 2, cpus: 1 }));
  let maxRecords = 0;
  for (let i = 0; i < 150; i++) {
    w.advance(1);
    maxRecords = Math.max(maxRecords, logKeys(w).length);
  }
  users.stopSubmitting();
  const remainingRecords = logKeys(w).length;
  assert.ok(
    maxRecords < 120 && remainingRecords < 120,
    `${maxRecords} records at most, ${remainingRecords} at the end`,
  );
  assert.equal(w.running('req-1').length, 2);
  assert.deepEqual(w.violations, []);
});

test('the level is lowered with work in the log and raised again: no task is lost and no log record remains', () => {
  const w = logWorld(3);
  w.serviceJobs.add('req-1');
  w.nodes[0].submit(spec('req-1', { tasks: 2, shape: 'service', team: 'blue' }));
  w.nodes[1].submit(spec('req-2', { tasks: 30, team: 'blue', cpus: 1 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2 && logKeys(w).length > 0, 60));
  w.serviceJobs.add('req-3');
  w.nodes[2].submit(spec('req-3', { tasks: 2, shape: 'service', team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-3').length === 2, 60));
  const hostsBefore = w.running('req-1').map((r) => r.host);
  const requestLevel = (data: Record<string, unknown>): void =>
    void w.state.commit({ conditions: [], writes: [{ key: 'dp/wish', data }] });
  requestLevel({ most: newestLevel - 1, lower: true });
  // A job that is cancelled while the level is being lowered can no longer be recorded in the log.
  assert.ok(
    w.advanceUntil(() => w.nodes[0].controller.replica.levels.state.writeLevel === newestLevel - 1, 60),
  );
  assert.equal(w.nodes[0].cancel('req-3')?.body['status'], 'aborted');
  assert.ok(
    w.advanceUntil(() => levelOf(w).level === newestLevel - 1, 90),
    'the level is lowered',
  );
  assert.deepEqual(logKeys(w), []);
  // No stored chunk record includes a version of the log any more.
  for (const { key, data } of w.state.entries.values())
    if (key.startsWith('dp/t/')) assert.equal((data as Record<string, unknown>)['r'], undefined, key);
  restart(w, ownerOf(w)!, () => undefined);
  w.advance(20);
  requestLevel({});
  assert.ok(
    w.advanceUntil(() => levelOf(w).level === newestLevel, 60),
    'the level is raised',
  );
  assert.ok(w.advanceUntil(() => w.nodes[0].status('req-2')?.body['status'] === 'done', 300));
  assert.deepEqual(
    w.running('req-1').map((r) => r.host),
    hostsBefore,
  );
  assert.deepEqual(w.violations, []);
});

test('task state that is only in the log is among the recovery records of a controller', () => {
  const w = logWorld(4);
  w.serviceJobs.add('req-1');
  w.nodes[0].submit(spec('req-1', { tasks: 2, shape: 'service', team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  assert.equal(w.state.entries.has('dp/t/req-1/0'), false);
  const { records } = collectRecoveryRecords(w.nodes[1].controller.replica, null, 1, 'test');
  const recovered = records.get('dp/t/req-1/0') as { p: unknown[]; r: number };
  assert.equal(recovered.p.length, 2);
  assert.ok(recovered.r > 0);
});

test('an unreadable log record: controllers stand by rather than act on incomplete placements', () => {
  const w = logWorld(5);
  w.state.commit({ conditions: [], writes: [{ key: 'dp/log/0/1-0', data: { e: [['req-9', 0]] } }] });
  w.advance(3);
  for (const n of w.nodes) assert.ok(n.controller.replica.levels.mustStandBy);
  w.state.commit({ conditions: [], writes: [{ key: 'dp/log/0/1-0', data: undefined }] });
  w.nodes[0].submit(spec('req-1', { tasks: 2, team: 'blue' }));
  w.advance(3);
  for (const n of w.nodes) assert.ok(!n.controller.replica.levels.mustStandBy);
});
