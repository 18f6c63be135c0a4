/** Bounded queues, sockets, memory and retries. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { parseSettings } from '../src/config/settings.js';
import { RequestQueue } from '../src/request-queue.js';
import { BoundedPriorityQueues } from '../src/queues/index.js';
import { limitsOf } from '../src/limits/index.js';
import { MemoryUsage } from '../src/memory-usage.js';
import { RetryBackoff, backoffDelayMs, retryPolicies, seededRandom } from '../src/retry/index.js';
import { Follower } from '../src/state/follower.js';
import type { Page } from '../src/state/service.js';
import { Connections } from '../src/users/connections.js';
import { settingsText, spec } from './support/fixtures.js';

test('bounded priority queues: a flood in one does not starve the others, and what is needed least is turned away first', () => {
  const lane = (share: number, maxWaiting = 100) => ({ share, maxWaiting, maxWaitMs: 1000 });
  const l = new BoundedPriorityQueues({ stop: lane(4), report: lane(4), poll: lane(1) }, 60);
  for (let i = 0; i < 58; i++) assert.deepEqual(l.offer('poll', `p${i}`, 0), []);
  assert.deepEqual(l.offer('report', 'r0', 0), []);
  assert.deepEqual(l.offer('stop', 's0', 0), []);
  assert.deepEqual(l.offer('stop', 's1', 0), ['p57']);
  assert.deepEqual(l.offer('poll', 'p58', 0), ['p58']);
  const { items } = l.take(10, 0);
  assert.equal(items.length, 10);
  for (const x of ['s0', 's1', 'r0', 'p0']) assert.ok(items.includes(x), x);
  assert.ok(items.indexOf('s1') < items.indexOf('p0'));
  // Whoever gave up long ago is told so, not worked for.
  const late = l.take(10, 1001);
  assert.deepEqual(late.items, []);
  assert.equal(late.expired.length, 60 - 10);
  assert.equal(l.size, 0);
});

test('bounded priority queues: shares hold over many turns, down to one item a turn', () => {
  const lane = (share: number) => ({ share, maxWaiting: 1000, maxWaitMs: 1e9 });
  const l = new BoundedPriorityQueues({ a: lane(3), b: lane(1) }, 2000);
  for (let i = 0; i < 400; i++) for (const n of ['a', 'b'] as const) l.offer(n, n, 0);
  const got = { a: 0, b: 0 };
  for (let i = 0; i < 400; i++) for (const n of l.take(1, 0).items) got[n as 'a' | 'b']++;
  assert.ok(Math.abs(got.a - 300) <= 4, JSON.stringify(got));
});

test('request queue: in a storm of polls a cancellation gets through, polls are told when to come back, not all at once', () => {
  const settings = parseSettings(settingsText('n0', 3));
  const limits = limitsOf({ ...settings, quota: { mem_mb: 100, fd_limit: 500 } });
  const requestQueue = new RequestQueue(settings, limits, seededRandom(3));
  const after = new Set<number>();
  for (let requestId = 0; requestId < 1500; requestId++)
    for (const e of requestQueue.offer({ type: 'query', requestId, id: 'req-1' }, 0))
      if (e.type === 'respond') {
        assert.equal(e.status, 503);
        after.add(e.retryAfterS!);
      }
  assert.deepEqual(after, new Set([1, 2]));
  assert.deepEqual(requestQueue.offer({ type: 'cancel', requestId: 9000, id: 'req-1' }, 0).length, 1);
  assert.ok(requestQueue.take(1).commands.some((c) => c.type === 'cancel'));
  requestQueue.memoryShort = true;
  assert.equal(requestQueue.offer({ type: 'submit', requestId: 9001, spec: spec('req-2') }, 1).length, 1);
  assert.equal(requestQueue.offer({ type: 'cancel', requestId: 9002, id: 'req-1' }, 1).length, 0);
});

test('retries: an outage is met with few calls, pauses differ by seed and repeat with it, every one ends', () => {
  const settings = parseSettings(settingsText('n0', 3));
  const { state, cloud } = retryPolicies({ ...settings, stateLeaseMs: 3200 });
  const calls = (seed: number): number[] => {
    const a = new RetryBackoff(state, seededRandom(seed));
    const at: number[] = [];
    for (let now = 0; now < 60_000; now += 10)
      if (a.tryAcquire(now)) {
        at.push(now);
        a.onFailure(now);
      }
    return at;
  };
  assert.ok(calls(1).length < 60_000 / (state.maxDelayMs * (1 - state.jitter)) + 8);
  assert.deepEqual(calls(1), calls(1));
  assert.notDeepEqual(calls(1), calls(2));
  const a = new RetryBackoff(cloud, seededRandom(1));
  a.onFailure(0);
  const first = a.notBefore;
  // Those that went out together fail together: once is enough.
  for (let i = 0; i < 20; i++) a.onFailure(1);
  assert.equal(a.notBefore, first);
  assert.equal(a.tryAcquire(first), true);
  assert.equal(a.tryAcquire(first + 1), false);
  // The probe got no answer at all.
  assert.equal(a.tryAcquire(first + cloud.timeoutMs), true);
  a.onSuccess();
  assert.equal(a.tryAcquire(first), true);
  assert.ok(backoffDelayMs(cloud, 1e9, () => 0) === cloud.maxDelayMs);
});

test('first reading: pages that do not come are asked for again, what was read stays, an outage is told at once', async () => {
  const asked: string[] = [];
  let failing = 3;
  const page = (from: string): Promise<Page | 'busy' | null> => {
    asked.push(from);
    if (from === 'k1' && failing-- > 0) return Promise.resolve(failing % 2 ? null : 'busy');
    const n = from === '' ? 0 : Number(from.slice(1)) + 1;
    return Promise.resolve({
      items: [{ key: `k${n}`, data: {}, stamp: n + 1 }],
      more: n < 4,
      revision: 100 + n,
    });
  };
  const policy = { initialDelayMs: 1, maxDelayMs: 4, multiplier: 2, jitter: 0, timeoutMs: 10 };
  const attempts = new RetryBackoff(policy, seededRandom(1));
  let nulls = 0;
  const loaded = new Promise<{ keys: string[]; epoch: number }>((resolve) => {
    const source = { page, changes: () => new Promise<null>(() => undefined) };
    const f = new Follower(source, { everyMs: 1, pageMs: 1, burst: 2 }, attempts, () => performance.now(), {
      reading: () => undefined,
      loaded: (items, epoch) => resolve({ keys: items.map((i) => i.key), epoch }),
      changed: () => undefined,
      read: (_, epoch) => void (epoch === null && nulls++),
    });
    void f.run();
  });
  assert.deepEqual(await loaded, { keys: ['k0', 'k1', 'k2', 'k3', 'k4'], epoch: 100 });
  assert.deepEqual(asked, ['', 'k0', 'k1', 'k1', 'k1', 'k1', 'k2', 'k3']);
  assert.ok(nulls >= 1);
});

test('memory: near the limit garbage is collected, not again and again; what still is too much turns requests away', () => {
  const said: string[] = [];
  let held = 60;
  const m = new MemoryUsage(
    { collectGarbageAboveMb: 75, shedLoadAboveMb: 85 },
    (_, what) => said.push(what),
    () => held,
  );
  assert.equal(m.check(0), false);
  held = 90;
  assert.equal(m.check(1000), true);
  assert.equal(m.check(2000), true);
  held = 80;
  assert.equal(m.check(30_000), false);
  assert.deepEqual(said, [
    'memory collected',
    'memory is short',
    'memory collected',
    'memory is enough again',
  ]);
});

test('limits follow the settings, and too many connections lose what is needed least', async () => {
  for (const [mem_mb, fd_limit] of [
    [100, 300],
    [400, 6000],
  ]) {
    const l = limitsOf({ quota: { mem_mb, fd_limit }, peers: [1, 2] });
    const { sockets } = l;
    assert.ok(sockets.preferred < sockets.closeIdleAbove && sockets.closeIdleAbove < sockets.max);
    assert.ok(sockets.max + sockets.outgoingOrders + sockets.peers + 20 < fd_limit);
    assert.ok(l.memory.collectGarbageAboveMb < l.memory.shedLoadAboveMb && l.memory.shedLoadAboveMb < mem_mb);
  }
  const c = new Connections(10);
  const there: Socket[] = [];
  const server = createServer((s) => {
    there.push(s);
    c.opened(s, 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const port = (server.address() as { port: number }).port;
  const ends = Array.from({ length: 6 }, () => connect(port, '127.0.0.1'));
  const closed: number[] = [];
  ends.forEach((e, i) => {
    e.resume();
    e.on('end', () => closed.push(i));
  });
  while (there.length < 6) await new Promise((r) => setTimeout(r, 2));
  const bySide = there.map((s) => ends.findIndex((e) => e.localPort === s.remotePort));
  const use = (i: number, peer: 'user' | 'worker', at: number, answered = true): void => {
    const s = there[bySide.indexOf(i)];
    c.requestStarted(s, peer, at);
    if (answered) c.requestFinished(s, at);
  };
  use(0, 'worker', 1);
  use(1, 'user', 5);
  use(2, 'user', 3);
  use(3, 'user', 2, false);
  use(4, 'user', 95);
  assert.equal(c.trim(6, 100), 0);
  assert.equal(c.trim(3, 100), 3);
  while (closed.length < 3) await new Promise((r) => setTimeout(r, 2));
  // The one that never asked, then users idle longest; not who waits for an answer or has just been here.
  assert.deepEqual(new Set(closed), new Set([5, 2, 1]));
  for (const e of ends) e.destroy();
  server.close();
});
