/** No controller gives users an older job status than another controller has already given, even if responses are slow. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { crashAndRestart, longWorld, testConcurrentFailures, pick } from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolling-upgrade.js';
import { collectionSizes } from './support/collection-sizes.js';
import { Traffic } from './support/traffic.js';
import type { World } from './support/world.js';

/** Delays responses of the state service and of peers, so that the controllers learn of changes at different times. */
function delayResponses(w: World): void {
  w.commitDelayMs = () => (w.random() < 0.5 ? 60 * w.random() : 0);
  w.responseMs = 5 + Math.floor(60 * w.random());
  for (const n of w.nodes) n.peerDelayMs = w.random() < 0.4 ? 400 * w.random() : 0;
}

testConcurrentFailures(
  'all controllers agree right after a job is accepted, ends or is cancelled',
  {},
  (w, at, users) => {
    users.checkClosely(0.7, 0.2, 0.3);
    delayResponses(w);
    for (let s = 5; s < 60; s += 6 + 8 * w.random())
      at(s, () => {
        const choice = w.random();
        const node = pick(w, [leaderOf(w), ownerOf(w), pick(w, w.nodes)]);
        if (choice < 0.25) crashAndRestart(w, node, 0.3, 5);
        else if (choice < 0.5 && node) {
          node.cutFromState = true;
          w.schedule(12_000 * w.random(), () => (node.cutFromState = false));
        } else if (choice < 0.65 && node) {
          node.paused = true;
          w.schedule(4000 * w.random(), () => (node.paused = false));
        } else if (choice < 0.8) {
          w.state.unavailable = true;
          w.schedule(8000 * w.random(), () => (w.state.unavailable = false));
        }
        for (const other of w.nodes) other.isolatedFromPeers = w.random() < 0.15;
      });
    at(75, () => w.nodes.forEach((n) => (n.isolatedFromPeers = n.cutFromState = n.paused = false)));
    return {
      lastsS: 80,
      coincidences: () =>
        Math.min(users.closeChecks.accepted, users.closeChecks.done, users.closeChecks.aborted),
    };
  },
);

testConcurrentFailures(
  'a cancellation, a query or a repeated submission coincides with the end of a job, with no other failure',
  {},
  (w, _, users) => {
    users.checkClosely(0.6, 0, 0.9);
    w.responseMs = 5 + Math.floor(80 * w.random());
    w.commitDelayMs = () => 500 * w.random();
    return { lastsS: 60, coincidences: () => users.closeChecks.atEnd };
  },
);

/** The kinds of the keys that a transaction writes. */
const keyKindsOf = (keys: readonly string[]): string[] => keys.map((k) => k.split('/').slice(0, 2).join('/'));

/** How many responses to transactions were lost, by the kind of key that they wrote. */
const lostResponsesByKind = new Map<string, number>();

/** A simulated cluster that loses responses to transactions from its start on. */
function lossyWorld(seed: number): World {
  return longWorld(seed, {
    prepare: (w) => {
      const lossShare = 0.25 + 0.35 * w.random();
      w.state.dropsResponseTo = (txn) => {
        if (w.random() >= lossShare) return false;
        for (const k of keyKindsOf(txn.writes.map((a) => a.key)))
          lostResponsesByKind.set(k, (lostResponsesByKind.get(k) ?? 0) + 1);
        return true;
      };
      w.lostResponseNoticedMs = () => (w.random() < 0.5 ? 20 : 1500 * w.random());
    },
  });
}

testConcurrentFailures(
  'a transaction is executed but its response is lost, and others read its result',
  { world: lossyWorld },
  (w, at, users) => {
    users.checkClosely(0.4, 0.2, 0.3);
    const lostBefore = [...lostResponsesByKind.values()].reduce((a, b) => a + b, 0);
    for (let s = 3; s < 60; s += 9 + 9 * w.random())
      at(s, () => {
        const owner = ownerOf(w);
        const target = pick(w, w.nodes);
        const targetInstanceId = owner?.controller.replica.presences.get(target.member)?.instanceId;
        if (w.random() < 0.5) crashAndRestart(w, pick(w, [owner, leaderOf(w)]), 0.3, 3);
        else if (owner && targetInstanceId && target !== owner)
          owner.controller.membership.handOver(0, target.member, targetInstanceId);
      });
    at(68, () => (w.state.dropsResponseTo = () => false));
    return {
      lastsS: 70,
      coincidences: () => [...lostResponsesByKind.values()].reduce((a, b) => a + b, 0) - lostBefore,
    };
  },
);

test('the lost responses covered every kind of write', () => {
  const expectedKinds = [
    'node',
    'chief',
    'kinds',
    'teams',
    'shard',
    'level',
    'members',
    'inc',
    'b',
    'm',
    'j',
  ];
  const missingKinds = expectedKinds.filter((k) => !lostResponsesByKind.has(`dp/${k}`));
  assert.deepEqual(missingKinds, [], [...lostResponsesByKind.keys()].join(' '));
});

/**
 * Limits for collections that may be larger than a quarter of the number of jobs, by path. Those that `recordPaths` matches may
 * have any size, because they hold one entry for each record or job.
 */
const maxSizes = new Map([
  ['freshnessExchange.recentChanges.changes', 512],
  ['dataLossRecovery.monitor.detector.observedRevisions', 256],
]);
const recordPaths = /^(replica|shardManager\.shardState\.replica)\.(jobs|modRevisions|writers)$/;

testConcurrentFailures(
  'memory stays bounded with four one-task jobs a second, a quarter cancelled, some at their end, and leader changes',
  {
    beforeS: 5,
    share: 0.5,
    world: (seed) => longWorld(seed, { taskDurationS: 12 }),
    users: (w) => new Traffic(w, 250, () => ({}), 5),
  },
  (w, at, users) => {
    users.checkClosely(0.1, 0.05, 0.08);
    w.state.writesPerS = 80;
    const leaders = new Set<string>();
    for (let s = 20; s < 110; s += 25 + 20 * w.random())
      at(s, () => crashAndRestart(w, pick(w, [ownerOf(w), leaderOf(w)]), 0.5, 4));
    for (let s = 1; s < 120; s++) at(s, () => void leaders.add(leaderOf(w)?.member ?? '-'));
    return {
      lastsS: 120,
      coincidences: () => leaders.size - 1,
      assertAtEnd: () => {
        w.advance(60);
        const jobs = users.jobs.size;
        assert.ok(jobs > 400, `only ${jobs} jobs were submitted`);
        for (const n of w.nodes)
          // The components come first, so that they are found under the paths in `maxSizes`; the rest of the controller follows.
          for (const [path, size] of collectionSizes({
            ...n.controller['components'],
            controller: n.controller,
          }))
            assert.ok(
              size < jobs / 4 || recordPaths.test(path) || size <= (maxSizes.get(path) ?? 0),
              `${n.member} holds ${size} in ${path} after ${jobs} jobs`,
            );
      },
    };
  },
);
