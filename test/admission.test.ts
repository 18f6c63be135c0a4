/** Admission under overload: fair queues, retry tickets, minimum shares, floods on the scripted world. */
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
import { Flood, flooding, floodable } from './support/flood.js';
import { ownerOf, leaderOf } from './support/rolls.js';
import { World } from './support/world.js';

const amount = fc.double({ min: 0, max: 100, noNaN: true });
const claim = fc.record({
  demand: amount,
  weight: fc.double({ min: 0.1, max: 9, noNaN: true }),
  minimum: amount,
});

test('max-min: never more than the whole or than wanted, floors first, nobody could get more without one who has less', () => {
  fc.assert(
    fc.property(amount, fc.array(claim, { minLength: 1, maxLength: 8 }), (total, claims) => {
      const parts = maxMinShares(total, claims);
      const sum = parts.reduce((a, b) => a + b, 0);
      assert.ok(sum <= total + 1e-6);
      const floors = claims.map((c) => Math.min(c.demand, c.minimum));
      const scale = Math.min(
        1,
        total /
          Math.max(
            1e-9,
            floors.reduce((a, b) => a + b, 0),
          ),
      );
      claims.forEach((c, i) => {
        assert.ok(parts[i] <= c.demand + 1e-6);
        assert.ok(parts[i] >= floors[i] * scale - 1e-6);
      });
      const wanted = claims.reduce((a, c) => a + c.demand, 0);
      assert.ok(sum >= Math.min(total, wanted) - 1e-6);
      // Of two that are short, neither has more beyond its floor, for its weight, than the other.
      const level = (i: number) => (parts[i] - floors[i] * scale) / claims[i].weight;
      const short = claims.map((_, i) => i).filter((i) => parts[i] < claims[i].demand - 1e-6);
      for (const i of short) for (const j of short) assert.ok(Math.abs(level(i) - level(j)) < 1e-4);
    }),
  );
});

test('write shares: all controllers together stay below the whole, whatever they want, and each has something', () => {
  const wants = fc.array(fc.record({ acceptedWork: amount, newJobs: amount, backlogS: amount }), {
    minLength: 1,
    maxLength: 7,
  });
  fc.assert(
    fc.property(fc.double({ min: 1, max: 200, noNaN: true }), wants, (writes, list) => {
      const parts = divideWrites(writes, list);
      assert.ok(parts.reduce((a, p) => a + p.total, 0) <= writes);
      for (const p of parts) assert.ok(p.newJobs <= p.total + 1e-9);
      parts.forEach((p, i) => assert.ok(p.newJobs > 0 || list[i].newJobs === 0));
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

test('the queue: teams take turns, then classes by weight; the oldest first; who comes back does not catch up', () => {
  const q = new FairQueue<Item>(
    () => 1,
    (e) => (e.class === 'heavy' ? 2 : 1),
  );
  for (let n = 0; n < 60; n++) q.enqueue(item('a', 'flood', n));
  for (let n = 0; n < 30; n++) q.enqueue(item('b', n % 2 ? 'heavy' : 'light', n));
  const took = Array.from({ length: 24 }, () => q.dequeue()!);
  assert.equal(took.filter((e) => e.team === 'a').length, 12);
  assert.equal(took.filter((e) => e.class === 'heavy').length, 8);
  assert.deepEqual(
    took.filter((e) => e.team === 'a').map((e) => e.n),
    Array.from({ length: 12 }, (_, i) => i),
  );
  // It had nothing waiting: its next goes before the flood's, once.
  q.enqueue(item('c', 'small', 1));
  assert.equal(q.dequeue()!.team, 'c');
  q.enqueue(item('c', 'small', 2));
  q.enqueue(item('c', 'small', 3));
  const next = Array.from({ length: 4 }, () => q.dequeue()!.team);
  assert.equal(next.filter((t) => t === 'c').length <= 2, true);
  // One that tried longer than all goes first in its class, and can be taken out.
  const old = item('a', 'flood', 99, -5);
  q.enqueue(old);
  assert.deepEqual(q.position(item('a', 'flood', 98, -4)).ahead, 1);
  assert.ok(q.remove(old) && !q.remove(old));
  const size = q.size;
  assert.equal([...q].length, size);
  while (q.dequeue() !== null);
  assert.equal(q.size, 0);
});

test('retry tickets: bounded, told by others, and gone when the job is taken in or its user has given up', () => {
  const t = new RejectionTracker(100, 60_000);
  const turned = (n: number, ageMs = 0) => ({ id: `req-${n}`, team: 'a', class: 'c', ageMs });
  for (let n = 0; n < 150; n++) t.record(turned(n), n);
  assert.equal(t.outstandingCount('a', 'c'), 100);
  assert.equal(t.firstAttemptAt('req-10'), undefined);
  assert.equal(t.firstAttemptAt('req-149'), 149);
  t.record(turned(149, 400), 200);
  assert.equal(t.firstAttemptAt('req-149'), -200);
  t.remove('req-149');
  assert.equal(t.outstandingCount('a', 'c'), 99);
  t.prune(200_000);
  assert.equal(t.outstandingCount('a', 'c'), 0);
});

test('who is turned away is told when to come, spread, at most 30 s and before its user gives up; the oldest gets in', () => {
  const limits = {
    maxQueued: 100,
    maxQueueWaitMs: 1000,
    retryWindowMs: 60_000,
    maxRetryAfterMs: 30_000,
    maxTickets: 5000,
  };
  let n = 0;
  const a = new AdmissionQueue<Item>(
    limits,
    () => 1,
    () => 1,
    () => (n++ % 10) / 10,
  );
  a.rate = 10;
  a.totalRate = 30;
  const away = Array.from({ length: 400 }, (_, i) => a.offer(item('t', 'c', i, 0), 0)).filter(
    (x) => x !== null,
  );
  assert.equal(away.length, 390);
  const pauses = away.map((x) => x.retryAfterS);
  assert.ok(pauses.every((s) => s >= 1 && s <= 30));
  assert.ok(new Set(pauses).size > 50);
  while (a.dequeue() !== null);
  // It comes again after 20 s, through here or elsewhere: it has tried for longest, so the youngest makes way.
  a.recordPeerRejections([{ id: 'tc5000', team: 't', class: 'c', ageMs: 20_000 }], 25_000);
  for (let i = 0; i < 20; i++) a.offer(item('t', 'c', 6000 + i, 25_000), 25_000);
  const back = item('t', 'c', 5000, 25_000);
  const gone = a.offer(back, 25_000);
  assert.notEqual(gone?.entry, back);
  assert.ok([...a['queue']].includes(back));
  // Its last try comes before its user gives up.
  const late = a.offer(item('t', 'c', 7000, 30_000), 78_000);
  assert.ok(late !== null && late.retryAfterS <= 10, String(late?.retryAfterS));
});

interface Case {
  what: string;
  streams?: typeof flooding;
  during?: (w: World) => void;
  /** Of the small team and class, accepted within 1 s. */
  quick?: number;
}

const through = (i: number) => flooding.map((s) => ({ ...s, through: [i] }));
const killed = (pick: (w: World) => { alive: boolean; boot(): void } | undefined) => (w: World) =>
  w.schedule(15_000, () => {
    const n = pick(w);
    if (!n) return;
    n.alive = false;
    w.schedule(4000, () => n.boot());
  });

const cases: Case[] = [
  { what: 'through all controllers', quick: 0.98 },
  { what: 'through one', streams: through(1), quick: 0.98 },
  {
    what: 'the flooding team is the one with the guarantee',
    quick: 0.98,
    streams: flooding.map((s) => ({ ...s, job: { ...s.job, team: s.job.team === 'red' ? 'blue' : 'red' } })),
  },
  {
    what: 'clients that ignore Retry-After',
    quick: 0.95,
    streams: flooding.map((s) => (s.name === 'flood' ? { ...s, deaf: true } : s)),
  },
  {
    what: 'a flood of gangs',
    quick: 0.95,
    streams: flooding.map((s) =>
      s.name === 'flood' ? { ...s, job: { ...s.job, shape: 'gang' as const } } : s,
    ),
  },
  { what: 'the leader killed', during: killed(leaderOf), quick: 0.85 },
  {
    what: 'the owner cut off for 10 s',
    quick: 0.8,
    during: (w) =>
      w.schedule(15_000, () => {
        const n = ownerOf(w)!;
        n.cutFromState = true;
        w.schedule(10_000, () => (n.cutFromState = false));
      }),
  },
  {
    what: 'all restarted',
    quick: 0.8,
    during: (w) =>
      w.schedule(20_000, () => {
        for (const n of w.nodes) n.alive = false;
        w.schedule(4000, () => w.nodes.forEach((n) => n.boot()));
      }),
  },
  {
    what: 'users come unevenly: the flood through one controller, the others through two',
    quick: 0.98,
    streams: flooding.map((s) => ({ ...s, through: s.name === 'flood' ? [0] : [1, 2] })),
  },
  {
    what: 'a class that is seen for the first time in it',
    quick: 0.98,
    streams: flooding.map((s) => (s.name === 'class' ? { ...s, fromMs: 30_000, forMs: 30_000 } : s)),
  },
  {
    what: 'one controller of an earlier program: all go by pulses',
    quick: 0.98,
    during: (w) => {
      w.nodes[2].operators = { ...w.nodes[2].operators, 'level-most': 2 };
      w.nodes[2].boot();
    },
  },
  {
    what: 'a storm of polls with it',
    quick: 0.98,
    during: (w) => {
      let requestId = 5_000_000;
      const storm = (): void => {
        for (const n of w.nodes)
          for (let i = 0; i < 3; i++) {
            n.responses.delete(requestId - 3000);
            n.push({
              type: 'query',
              requestId: ++requestId,
              id: `req-${100_001 + ((requestId * 7) % 2000)}`,
            });
          }
        if (w.now < 70_000) w.schedule(10, storm);
      };
      storm();
    },
  },
  {
    what: 'a state service that takes half',
    quick: 0.75,
    during: (w) => w.schedule(10_000, () => (w.state.writesPerS = 15)),
  },
];

for (const c of cases)
  test(`flood: ${c.what}: neither the small team nor the small class starves`, () => {
    const w = floodable();
    const users = new Flood(w, c.streams ?? flooding);
    for (const j of users.jobs) w.gangs.set(j.spec.id, 1);
    c.during?.(w);
    for (let i = 0; i < 13; i++) {
      for (const x of w.workers.values()) x.taskDurationS = 5;
      for (const j of users.jobs) if (j.spec.shape === 'gang') w.gangs.set(j.spec.id, 1);
      w.advance(10);
    }
    for (const name of ['team', 'class']) {
      const f = users.of(name);
      const text = `${name}: ${JSON.stringify(f)}`;
      assert.ok(f.quick >= (c.quick ?? 0.98), text);
      assert.ok(f.accepted >= 0.98 && f.run >= 0.95, text);
    }
    assert.deepEqual(w.violations, []);
  });

test('a flood that ends: a few seconds later everybody is taken in at once', () => {
  const w = new World(3, { 'idle-boots': 1000, 'fair-admission': 1 });
  w.state.writesPerS = 30;
  w.capacity = 10;
  w.advance(6);
  const users = new Flood(w, [
    { name: 'flood', perS: 40, fromMs: 0, forMs: 20_000, job: { team: 'blue', class: 'flood' } },
    { name: 'after', perS: 3, fromMs: 85_000, forMs: 15_000, job: { team: 'blue', class: 'flood' } },
  ]);
  w.advance(105);
  const f = users.of('after');
  assert.ok(f.jobs > 30 && f.quick === 1, JSON.stringify(f));
});

test('10,000 classes in one team: each gets its turn, and a decision stays cheap', () => {
  const limits = {
    maxQueued: 20_000,
    maxQueueWaitMs: 1000,
    retryWindowMs: 60_000,
    maxRetryAfterMs: 30_000,
    maxTickets: 5000,
  };
  const cost: number[] = [];
  for (const classes of [10, 1000, 10_000]) {
    const a = new AdmissionQueue<Item>(
      limits,
      () => 1,
      () => 1,
      () => 0.5,
    );
    a.rate = 10;
    for (let i = 0; i < classes; i++) a.offer(item('t', `c${i}`, i), i);
    const from = performance.now();
    for (let i = 0; i < 200; i++) {
      a.offer(item('u', 'small', classes + i), classes + i);
      a.dequeue();
    }
    cost.push((performance.now() - from) / 200);
    // The other team's come every second turn at least.
    assert.ok(a.size <= classes + 2, String(a.size));
  }
  assert.ok(cost[2] < 5, `${cost.map((c) => c.toFixed(3)).join(', ')} ms`);
});
