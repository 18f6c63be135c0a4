/** Admission under overload: fair queues, tracked rejections, minimum shares, floods in the simulated cluster. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  AdmissionQueue,
  equalShare,
  FairQueue,
  maxMinShares,
  divideWrites,
  RejectionTracker,
  type QueueEntry,
} from '../src/admission/index.js';
import { Flood, floodStreams, startFloodWorld } from './support/flood.js';
import { ownerOf, leaderOf } from './support/rolling-upgrade.js';
import { World } from './support/world.js';

const amount = fc.double({ min: 0, max: 100, noNaN: true });
const claim = fc.record({
  demand: amount,
  weight: fc.double({ min: 0.1, max: 9, noNaN: true }),
  minimum: amount,
});

test('max-min fairness: within total and demand, minimums first, no share can grow except at the cost of a smaller one', () => {
  fc.assert(
    fc.property(amount, fc.array(claim, { minLength: 1, maxLength: 8 }), (total, claims) => {
      const shares = maxMinShares(total, claims);
      const sum = shares.reduce((a, b) => a + b, 0);
      assert.ok(sum <= total + 1e-6);
      const minimums = claims.map((c) => Math.min(c.demand, c.minimum));
      const scale = Math.min(
        1,
        total /
          Math.max(
            1e-9,
            minimums.reduce((a, b) => a + b, 0),
          ),
      );
      claims.forEach((c, i) => {
        assert.ok(shares[i] <= c.demand + 1e-6);
        assert.ok(shares[i] >= minimums[i] * scale - 1e-6);
      });
      const demandSum = claims.reduce((a, c) => a + c.demand, 0);
      assert.ok(sum >= Math.min(total, demandSum) - 1e-6);
      // All unmet claims have the same amount above their minimum, relative to their weight.
      const excessPerWeight = (i: number) => (shares[i] - minimums[i] * scale) / claims[i].weight;
      const unmet = claims.map((_, i) => i).filter((i) => shares[i] < claims[i].demand - 1e-6);
      for (const i of unmet)
        for (const j of unmet) assert.ok(Math.abs(excessPerWeight(i) - excessPerWeight(j)) < 1e-4);
    }),
  );
});

test('write shares: all controllers together stay within the budget, whatever the demand, and each gets a share', () => {
  const demands = fc.array(fc.record({ acceptedWork: amount, newJobs: amount, backlogS: amount }), {
    minLength: 1,
    maxLength: 7,
  });
  fc.assert(
    fc.property(fc.double({ min: 1, max: 200, noNaN: true }), demands, (writes, list) => {
      const shares = divideWrites(writes, list);
      assert.ok(shares.reduce((a, p) => a + p.total, 0) <= writes);
      for (const p of shares) assert.ok(p.newJobs <= p.total + 1e-9);
      shares.forEach((p, i) => assert.ok(p.newJobs > 0 || list[i].newJobs === 0));
    }),
  );
  assert.ok(equalShare(40, 3).total * 3 <= 40);
});

interface Item extends QueueEntry {
  n: number;
}
const item = (team: string, cls: string, n: number, firstAt = n): Item => ({
  id: `${team}${cls}${n}`,
  team,
  class: cls,
  firstAttemptAt: firstAt,
  n,
});

test('fair queue: teams take turns, then classes by weight; oldest first; a returning flow does not catch up', () => {
  const queue = new FairQueue<Item>(
    () => 1,
    (e) => (e.class === 'heavy' ? 2 : 1),
  );
  for (let n = 0; n < 60; n++) queue.enqueue(item('a', 'flood', n));
  for (let n = 0; n < 30; n++) queue.enqueue(item('b', n % 2 ? 'heavy' : 'light', n));
  const dequeued = Array.from({ length: 24 }, () => queue.dequeue()!);
  assert.equal(dequeued.filter((e) => e.team === 'a').length, 12);
  assert.equal(dequeued.filter((e) => e.class === 'heavy').length, 8);
  assert.deepEqual(
    dequeued.filter((e) => e.team === 'a').map((e) => e.n),
    Array.from({ length: 12 }, (_, i) => i),
  );
  // A flow that had nothing waiting goes before the flood, once.
  queue.enqueue(item('c', 'small', 1));
  assert.equal(queue.dequeue()!.team, 'c');
  queue.enqueue(item('c', 'small', 2));
  queue.enqueue(item('c', 'small', 3));
  const nextTeams = Array.from({ length: 4 }, () => queue.dequeue()!.team);
  assert.equal(nextTeams.filter((t) => t === 'c').length <= 2, true);
  // The entry with the oldest first attempt goes first in its class, and can be removed.
  const oldest = item('a', 'flood', 99, -5);
  queue.enqueue(oldest);
  assert.deepEqual(queue.position(item('a', 'flood', 98, -4)).ahead, 1);
  assert.ok(queue.remove(oldest) && !queue.remove(oldest));
  const size = queue.size;
  assert.equal([...queue].length, size);
  while (queue.dequeue() !== null);
  assert.equal(queue.size, 0);
});

test('tracked rejections: bounded, reported by peers, forgotten when the job is accepted or its user has stopped trying', () => {
  const tracker = new RejectionTracker(100, 60_000);
  const rejection = (n: number, ageMs = 0) => ({ id: `req-${n}`, team: 'a', class: 'c', ageMs });
  for (let n = 0; n < 150; n++) tracker.record(rejection(n), n);
  assert.equal(tracker.outstandingCount('a', 'c'), 100);
  assert.equal(tracker.firstAttemptAt('req-10'), undefined);
  assert.equal(tracker.firstAttemptAt('req-149'), 149);
  tracker.record(rejection(149, 400), 200);
  assert.equal(tracker.firstAttemptAt('req-149'), -200);
  tracker.remove('req-149');
  assert.equal(tracker.outstandingCount('a', 'c'), 99);
  tracker.prune(200_000);
  assert.equal(tracker.outstandingCount('a', 'c'), 0);
});

test('rejected users get spread Retry-After times, at most 30 s and before they stop trying; the oldest is admitted', () => {
  const limits = {
    maxQueued: 100,
    maxQueueWaitMs: 1000,
    retryWindowMs: 60_000,
    maxRetryAfterMs: 30_000,
    maxTrackedRejections: 5000,
  };
  let calls = 0;
  const admission = new AdmissionQueue<Item>(
    limits,
    () => 1,
    () => 1,
    () => (calls++ % 10) / 10,
  );
  admission.jobsPerS = 10;
  admission.totalJobsPerS = 30;
  const rejected = Array.from({ length: 400 }, (_, i) => admission.offer(item('t', 'c', i, 0), 0)).filter(
    (x) => x !== null,
  );
  assert.equal(rejected.length, 390);
  const retryDelays = rejected.map((x) => x.retryAfterS);
  assert.ok(retryDelays.every((s) => s >= 1 && s <= 30));
  assert.ok(new Set(retryDelays).size > 50);
  while (admission.dequeue() !== null);
  // A retry after 20 s, at any controller, has the oldest first attempt, so it displaces the newest entry.
  admission.recordPeerRejections([{ id: 'tc5000', team: 't', class: 'c', ageMs: 20_000 }], 25_000);
  for (let i = 0; i < 20; i++) admission.offer(item('t', 'c', 6000 + i, 25_000), 25_000);
  const retried = item('t', 'c', 5000, 25_000);
  const displaced = admission.offer(retried, 25_000);
  assert.notEqual(displaced?.entry, retried);
  assert.ok([...admission['queue']].includes(retried));
  // The last retry comes before the user stops trying.
  const lastRejection = admission.offer(item('t', 'c', 7000, 30_000), 78_000);
  assert.ok(lastRejection !== null && lastRejection.retryAfterS <= 10, String(lastRejection?.retryAfterS));
});

interface FloodCase {
  title: string;
  streams?: typeof floodStreams;
  disturb?: (w: World) => void;
  /** The minimum share of the small team's and the small class's jobs that is accepted within 1 s. */
  minQuickShare?: number;
}

const throughController = (i: number) => floodStreams.map((s) => ({ ...s, through: [i] }));
const killAndRestart =
  (selectNode: (w: World) => { alive: boolean; boot(): void } | undefined) => (w: World) =>
    w.schedule(15_000, () => {
      const n = selectNode(w);
      if (!n) return;
      n.alive = false;
      w.schedule(4000, () => n.boot());
    });

const floodCases: FloodCase[] = [
  { title: 'through all controllers', minQuickShare: 0.98 },
  { title: 'through one controller', streams: throughController(1), minQuickShare: 0.98 },
  {
    title: 'the flooding team is the one with guaranteed CPUs',
    minQuickShare: 0.98,
    streams: floodStreams.map((s) => ({
      ...s,
      job: { ...s.job, team: s.job.team === 'red' ? 'blue' : 'red' },
    })),
  },
  {
    title: 'clients that ignore Retry-After',
    minQuickShare: 0.95,
    streams: floodStreams.map((s) => (s.name === 'flood' ? { ...s, ignoresRetryAfter: true } : s)),
  },
  {
    title: 'a flood of gangs',
    minQuickShare: 0.95,
    streams: floodStreams.map((s) =>
      s.name === 'flood' ? { ...s, job: { ...s.job, shape: 'gang' as const } } : s,
    ),
  },
  { title: 'the leader is killed', disturb: killAndRestart(leaderOf), minQuickShare: 0.85 },
  {
    title: 'the owner is cut off from the state service for 10 s',
    minQuickShare: 0.8,
    disturb: (w) =>
      w.schedule(15_000, () => {
        const n = ownerOf(w)!;
        n.cutFromState = true;
        w.schedule(10_000, () => (n.cutFromState = false));
      }),
  },
  {
    title: 'all controllers are restarted',
    minQuickShare: 0.8,
    disturb: (w) =>
      w.schedule(20_000, () => {
        for (const n of w.nodes) n.alive = false;
        w.schedule(4000, () => w.nodes.forEach((n) => n.boot()));
      }),
  },
  {
    title: 'uneven users: the flood through one controller, the others through two',
    minQuickShare: 0.98,
    streams: floodStreams.map((s) => ({ ...s, through: s.name === 'flood' ? [0] : [1, 2] })),
  },
  {
    title: 'a class that appears for the first time during the flood',
    minQuickShare: 0.98,
    streams: floodStreams.map((s) => (s.name === 'class' ? { ...s, startMs: 30_000, lengthMs: 30_000 } : s)),
  },
  {
    title: 'one controller runs an earlier program: all divide the budget by peer reports',
    minQuickShare: 0.98,
    disturb: (w) => {
      w.nodes[2].operators = { ...w.nodes[2].operators, 'level-most': 2 };
      w.nodes[2].boot();
    },
  },
  {
    title: 'with a flood of queries',
    minQuickShare: 0.98,
    disturb: (w) => {
      let requestId = 5_000_000;
      const sendQueries = (): void => {
        for (const n of w.nodes)
          for (let i = 0; i < 3; i++) {
            n.responses.delete(requestId - 3000);
            n.push({
              type: 'query',
              requestId: ++requestId,
              id: `req-${100_001 + ((requestId * 7) % 2000)}`,
            });
          }
        if (w.now < 70_000) w.schedule(10, sendQueries);
      };
      sendQueries();
    },
  },
  {
    title: 'the state service accepts only half of the writes',
    minQuickShare: 0.75,
    disturb: (w) => w.schedule(10_000, () => (w.state.writesPerS = 15)),
  },
];

for (const floodCase of floodCases)
  test(`flood: ${floodCase.title}: neither the small team nor the small class starves`, () => {
    const w = startFloodWorld();
    const users = new Flood(w, floodCase.streams ?? floodStreams);
    for (const j of users.jobs) w.gangs.set(j.spec.id, 1);
    floodCase.disturb?.(w);
    for (let i = 0; i < 13; i++) {
      for (const x of w.workers.values()) x.taskDurationS = 5;
      for (const j of users.jobs) if (j.spec.shape === 'gang') w.gangs.set(j.spec.id, 1);
      w.advance(10);
    }
    for (const name of ['team', 'class']) {
      const results = users.resultsOf(name);
      const text = `${name}: ${JSON.stringify(results)}`;
      assert.ok(results.acceptedWithin1s >= (floodCase.minQuickShare ?? 0.98), text);
      assert.ok(results.accepted >= 0.98 && results.run >= 0.95, text);
    }
    assert.deepEqual(w.violations, []);
  });

test('after a flood: a few seconds later all jobs are accepted at once', () => {
  const w = new World(3, { 'idle-boots': 1000, 'fair-admission': 1 });
  w.state.writesPerS = 30;
  w.capacity = 10;
  w.advance(6);
  const users = new Flood(w, [
    { name: 'flood', jobsPerS: 40, startMs: 0, lengthMs: 20_000, job: { team: 'blue', class: 'flood' } },
    {
      name: 'after',
      jobsPerS: 3,
      startMs: 85_000,
      lengthMs: 15_000,
      job: { team: 'blue', class: 'flood' },
    },
  ]);
  w.advance(105);
  const results = users.resultsOf('after');
  assert.ok(results.jobs > 30 && results.acceptedWithin1s === 1, JSON.stringify(results));
});

test('10,000 classes in one team: each gets its turn, and a decision stays fast', () => {
  const limits = {
    maxQueued: 20_000,
    maxQueueWaitMs: 1000,
    retryWindowMs: 60_000,
    maxRetryAfterMs: 30_000,
    maxTrackedRejections: 5000,
  };
  const costsMs: number[] = [];
  for (const classCount of [10, 1000, 10_000]) {
    const admission = new AdmissionQueue<Item>(
      limits,
      () => 1,
      () => 1,
      () => 0.5,
    );
    admission.jobsPerS = 10;
    for (let i = 0; i < classCount; i++) admission.offer(item('t', `c${i}`, i), i);
    const startedAt = performance.now();
    for (let i = 0; i < 200; i++) {
      admission.offer(item('u', 'small', classCount + i), classCount + i);
      admission.dequeue();
    }
    costsMs.push((performance.now() - startedAt) / 200);
    // The other team gets at least every second turn.
    assert.ok(admission.size <= classCount + 2, String(admission.size));
  }
  assert.ok(costsMs[2] < 5, `${costsMs.map((c) => c.toFixed(3)).join(', ')} ms`);
});
