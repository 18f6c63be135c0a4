/** Limits on queues, sockets and memory, and retries. */
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
import type { Page } from '../src/state/state-service.js';
import { Connections } from '../src/users/connections.js';
import { settingsText, spec } from './support/fixtures.js';

test('bounded priority queues: a flood in one does not starve the others; the lowest priority is rejected first', () => {
  const queueLimits = (share: number, maxWaiting = 100) => ({ share, maxWaiting, maxWaitMs: 1000 });
  const queues = new BoundedPriorityQueues(
    { stop: queueLimits(4), report: queueLimits(4), poll: queueLimits(1) },
    60,
  );
  for (let i = 0; i < 58; i++) assert.deepEqual(queues.offer('poll', `p${i}`, 0), []);
  assert.deepEqual(queues.offer('report', 'r0', 0), []);
  assert.deepEqual(queues.offer('stop', 's0', 0), []);
  assert.deepEqual(queues.offer('stop', 's1', 0), ['p57']);
  assert.deepEqual(queues.offer('poll', 'p58', 0), ['p58']);
  const { items } = queues.take(10, 0);
  assert.equal(items.length, 10);
  for (const x of ['s0', 's1', 'r0', 'p0']) assert.ok(items.includes(x), x);
  assert.ok(items.indexOf('s1') < items.indexOf('p0'));
  // Items whose senders no longer wait are returned as expired, not served.
  const takenLate = queues.take(10, 1001);
  assert.deepEqual(takenLate.items, []);
  assert.equal(takenLate.expired.length, 60 - 10);
  assert.equal(queues.size, 0);
});

test('bounded priority queues: shares hold over many rounds, even with one item per round', () => {
  const queueLimits = (share: number) => ({ share, maxWaiting: 1000, maxWaitMs: 1e9 });
  const queues = new BoundedPriorityQueues({ a: queueLimits(3), b: queueLimits(1) }, 2000);
  for (let i = 0; i < 400; i++) for (const n of ['a', 'b'] as const) queues.offer(n, n, 0);
  const takenCounts = { a: 0, b: 0 };
  for (let i = 0; i < 400; i++) for (const n of queues.take(1, 0).items) takenCounts[n as 'a' | 'b']++;
  assert.ok(Math.abs(takenCounts.a - 300) <= 4, JSON.stringify(takenCounts));
});

test('request queue: in a flood of queries a cancellation is accepted; queries are rejected with varying Retry-After times', () => {
  const settings = parseSettings(settingsText('n0', 3));
  const limits = limitsOf({ ...settings, quota: { mem_mb: 100, fd_limit: 500 } });
  const requestQueue = new RequestQueue(settings, limits, seededRandom(3));
  const retryAfterValues = new Set<number>();
  for (let requestId = 0; requestId < 1500; requestId++)
    for (const effect of requestQueue.offer({ type: 'query', requestId, id: 'req-1' }, 0))
      if (effect.type === 'respond') {
        assert.equal(effect.status, 503);
        retryAfterValues.add(effect.retryAfterS!);
      }
  assert.deepEqual(retryAfterValues, new Set([1, 2]));
  assert.deepEqual(requestQueue.offer({ type: 'cancel', requestId: 9000, id: 'req-1' }, 0).length, 1);
  assert.ok(requestQueue.take(1).commands.some((c) => c.type === 'cancel'));
  requestQueue.memoryShort = true;
  assert.equal(requestQueue.offer({ type: 'submit', requestId: 9001, spec: spec('req-2') }, 1).length, 1);
  assert.equal(requestQueue.offer({ type: 'cancel', requestId: 9002, id: 'req-1' }, 1).length, 0);
});

test('retries: few calls during an outage; delays depend only on the seed and are bounded', () => {
  const settings = parseSettings(settingsText('n0', 3));
  const { state, cloud } = retryPolicies({ ...settings, stateLeaseMs: 3200 });
  const callTimes = (seed: number): number[] => {
    const backoff = new RetryBackoff(state, seededRandom(seed));
    const times: number[] = [];
    for (let now = 0; now < 60_000; now += 10)
      if (backoff.tryAcquire(now)) {
        times.push(now);
        backoff.onFailure(now);
      }
    return times;
  };
  assert.ok(callTimes(1).length < 60_000 / (state.maxDelayMs * (1 - state.jitter)) + 8);
  assert.deepEqual(callTimes(1), callTimes(1));
  assert.notDeepEqual(callTimes(1), callTimes(2));
  const backoff = new RetryBackoff(cloud, seededRandom(1));
  backoff.onFailure(0);
  const firstRetryAt = backoff.notBefore;
  // Calls that were sent together fail together; only the first failure counts.
  for (let i = 0; i < 20; i++) backoff.onFailure(1);
  assert.equal(backoff.notBefore, firstRetryAt);
  assert.equal(backoff.tryAcquire(firstRetryAt), true);
  assert.equal(backoff.tryAcquire(firstRetryAt + 1), false);
  // The probe got no response.
  assert.equal(backoff.tryAcquire(firstRetryAt + cloud.timeoutMs), true);
  backoff.onSuccess();
  assert.equal(backoff.tryAcquire(firstRetryAt), true);
  assert.ok(backoffDelayMs(cloud, 1e9, () => 0) === cloud.maxDelayMs);
});

test('first read: missing pages are requested again, earlier pages are kept, an outage is reported at once', async () => {
  const requestedPages: string[] = [];
  let failuresLeft = 3;
  const page = (from: string): Promise<Page | 'busy' | null> => {
    requestedPages.push(from);
    if (from === 'k1' && failuresLeft-- > 0) return Promise.resolve(failuresLeft % 2 ? null : 'busy');
    const index = from === '' ? 0 : Number(from.slice(1)) + 1;
    return Promise.resolve({
      items: [{ key: `k${index}`, data: {}, stamp: index + 1 }],
      more: index < 4,
      revision: 100 + index,
    });
  };
  const policy = { initialDelayMs: 1, maxDelayMs: 4, multiplier: 2, jitter: 0, timeoutMs: 10 };
  const backoff = new RetryBackoff(policy, seededRandom(1));
  let failedReads = 0;
  const loaded = new Promise<{ keys: string[]; epoch: number }>((resolve) => {
    const source = { page, changes: () => new Promise<null>(() => undefined) };
    const follower = new Follower(
      source,
      { pollIntervalMs: 1, pageIntervalMs: 1, pageBurst: 2 },
      backoff,
      () => performance.now(),
      {
        snapshotProgress: () => undefined,
        snapshotLoaded: (items, epoch) => resolve({ keys: items.map((i) => i.key), epoch }),
        changesRead: () => undefined,
        revisionRead: (_, epoch) => void (epoch === null && failedReads++),
      },
    );
    void follower.run();
  });
  assert.deepEqual(await loaded, { keys: ['k0', 'k1', 'k2', 'k3', 'k4'], epoch: 100 });
  assert.deepEqual(requestedPages, ['', 'k0', 'k1', 'k1', 'k1', 'k1', 'k2', 'k3']);
  assert.ok(failedReads >= 1);
});

test('memory: near the limit garbage is collected, but not repeatedly; if that is not enough, requests are rejected', () => {
  const messages: string[] = [];
  let usedMb = 60;
  const memoryUsage = new MemoryUsage(
    { collectGarbageAboveMb: 75, shedLoadAboveMb: 85 },
    (_, message) => messages.push(message),
    () => usedMb,
  );
  assert.equal(memoryUsage.check(0), false);
  usedMb = 90;
  assert.equal(memoryUsage.check(1000), true);
  assert.equal(memoryUsage.check(2000), true);
  usedMb = 80;
  assert.equal(memoryUsage.check(30_000), false);
  assert.deepEqual(messages, [
    'memory collected',
    'memory is short',
    'memory collected',
    'memory is enough again',
  ]);
});

test('limits follow the settings; above the limit the least needed connections are closed', async () => {
  for (const [mem_mb, fd_limit] of [
    [100, 300],
    [400, 6000],
  ]) {
    const limits = limitsOf({ quota: { mem_mb, fd_limit }, peers: [1, 2] });
    const { sockets } = limits;
    assert.ok(sockets.preferred < sockets.closeIdleAbove && sockets.closeIdleAbove < sockets.max);
    assert.ok(sockets.max + sockets.outgoingOrders + sockets.peers + 20 < fd_limit);
    assert.ok(
      limits.memory.collectGarbageAboveMb < limits.memory.shedLoadAboveMb &&
        limits.memory.shedLoadAboveMb < mem_mb,
    );
  }
  const connections = new Connections(10);
  const serverSockets: Socket[] = [];
  const server = createServer((s) => {
    serverSockets.push(s);
    connections.opened(s, 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const port = (server.address() as { port: number }).port;
  const clientSockets = Array.from({ length: 6 }, () => connect(port, '127.0.0.1'));
  const closed: number[] = [];
  clientSockets.forEach((e, i) => {
    e.resume();
    e.on('end', () => closed.push(i));
  });
  while (serverSockets.length < 6) await new Promise((r) => setTimeout(r, 2));
  const clientIndexes = serverSockets.map((s) =>
    clientSockets.findIndex((e) => e.localPort === s.remotePort),
  );
  const makeRequest = (i: number, peer: 'user' | 'worker', at: number, answered = true): void => {
    const socket = serverSockets[clientIndexes.indexOf(i)];
    connections.requestStarted(socket, peer, at);
    if (answered) connections.requestFinished(socket, at);
  };
  makeRequest(0, 'worker', 1);
  makeRequest(1, 'user', 5);
  makeRequest(2, 'user', 3);
  makeRequest(3, 'user', 2, false);
  makeRequest(4, 'user', 95);
  assert.equal(connections.trim(6, 100), 0);
  assert.equal(connections.trim(3, 100), 3);
  while (closed.length < 3) await new Promise((r) => setTimeout(r, 2));
  // The connection without a request is closed first, then those of users that were idle longest, but none that waits for a
  // response or was just active.
  assert.deepEqual(new Set(closed), new Set([5, 2, 1]));
  for (const e of clientSockets) e.destroy();
  server.close();
});
