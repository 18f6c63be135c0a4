/** Tests what the control service takes as proof that a task is done, on scripted heartbeats. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GangRendezvous } from '../src/control/gang-rendezvous.js';
import { HeartbeatInterceptor } from '../src/control/heartbeat-interceptor.js';
import type { AgentPool } from '../src/control/agent-pool.js';
import type { ControlStore } from '../src/control/control-store.js';
import { ResultStore } from '../src/control/result-store.js';
import type { Heartbeat } from '../src/model/heartbeat.js';
import { parseHeartbeat } from '../src/wire/worker.js';

const result = { exit: 0, signal: null, reason: 'exited', startedAt: 1, endedAt: 2 };
const exited = { try: 1, status: 'exited', cause: 'done' };
const heartbeatWith = (pieces: object[]): object => ({
  host: 'd.1',
  endpoint: '127.0.0.1:1',
  flavour: 't',
  yard: 'here',
  loaners: false,
  tenure: 1,
  tick: 1,
  baton: 1,
  pieces,
});

/** Passes a heartbeat through the interceptor of the shard's owner; returns the exit reasons that the core gets. */
async function interceptedExitReasons(body: object): Promise<(string | null)[]> {
  const store: ControlStore = { commit: async () => ({ type: 'ok', revision: 1 }), list: async () => [] };
  const member = { forgotten: false, drainedAt: null };
  const interceptor = new HeartbeatInterceptor({
    pool: { findOrLoad: async () => member, recordHeartbeat: () => undefined } as unknown as AgentPool,
    results: new ResultStore(store),
    ownsShard: () => true,
    leaseMs: 1,
    now: () => 0,
    drainS: 1,
    jobSpec: () => null,
    doneTasks: () => 0,
    loadResultsForGrant: async () => [],
    enqueue: () => undefined,
  });
  const heartbeat = parseHeartbeat(body) as Heartbeat;
  return new Promise((resolve, reject) => {
    const forward = (forwarded: Heartbeat): void =>
      resolve(forwarded.tasks.map(({ exitReason }) => exitReason));
    void interceptor.intercept(body, heartbeat, {
      forward,
      reject: (status) => reject(new Error(`${status}`)),
    });
  });
}

// Guards against a task that the core takes as done without a result that says how its command ended.
test('control: an attempt whose result is missing or cannot be read is not done; other results of the heartbeat count', async () => {
  const body = heartbeatWith([
    { piece: 'req-1/0', ...exited, result },
    { piece: 'req-1/1', ...exited },
    { piece: 'req-1/2', ...exited, result: { ...result, reason: 'of a later version' } },
    { piece: 'req-1/3', ...exited, result: { ...result, reason: 'lost', exit: null } },
  ]);
  assert.deepEqual(await interceptedExitReasons(body), ['done', 'stopped', 'stopped', 'stopped']);
});

// Guards against a gang that starts without the task of a machine that has vanished, and whose agent has forgotten it.
test('control: a gang task counts as present only while the lease of its agent can be valid', () => {
  let now = 0;
  const rendezvous = new GangRendezvous({ pendingTasks: () => 2, leaseMs: 10_000, now: () => now });
  const observe = (host: string, index: number): string[] => {
    const piece = { piece: `req-1/${index}`, try: 7, status: 'waiting' };
    const heartbeat = parseHeartbeat({ ...heartbeatWith([piece]), host }) as Heartbeat;
    return rendezvous.observe(heartbeat);
  };
  observe('d.1', 0);
  now = 10_001;
  assert.deepEqual(observe('d.2', 1), []);
  now = 20_001;
  assert.deepEqual(observe('d.1', 0), ['req-1 7']);
  assert.deepEqual(observe('d.2', 1), ['req-1 7']);
});

// Guards against a gang that starts without a task which its machine no longer lists.
test('control: a gang is not complete while a machine that listed one of its tasks lists only the others', () => {
  const rendezvous = new GangRendezvous({ pendingTasks: () => 2, leaseMs: 10_000, now: () => 0 });
  const observe = (...indices: number[]): string[] => {
    const pieces = indices.map((index) => ({ piece: `req-1/${index}`, try: 7, status: 'waiting' }));
    return rendezvous.observe(parseHeartbeat(heartbeatWith(pieces)) as Heartbeat);
  };
  assert.deepEqual(observe(1), []);
  assert.deepEqual(observe(0), []);
  assert.deepEqual(observe(0, 1), ['req-1 7']);
});
