/** Combinations of two concurrent failures on seeded simulated clusters. Every combination is checked against all invariants. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import {
  cancelJob,
  cancelS,
  assertAllJobsEnd,
  firstSeed,
  crash,
  startLongJobs,
  longWorld,
  mixedTraffic,
  pick,
  seedCount,
  assertRecovered,
  randomWorkers,
} from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolling-upgrade.js';
import type { Node } from './support/controller-node.js';
import type { World } from './support/world.js';

/** A fault of the connections between controllers; in `refused` the controllers notice it, in `hang` they do not. */
type PeerFault = 'connected' | 'refused' | 'hang' | 'leader-isolated' | 'other-isolated';

/** Injects a fault of the connections between controllers. */
function injectPeerFault(w: World, fault: PeerFault, leader: Node, other: Node): void {
  if (fault === 'refused')
    for (const a of w.nodes)
      for (const b of w.nodes) if (a !== b) a.push({ type: 'peer-lost', member: b.member });
  if (fault === 'refused' || fault === 'hang') w.peersConnected = false;
  if (fault === 'leader-isolated') leader.isolatedFromPeers = true;
  if (fault === 'other-isolated') other.isolatedFromPeers = true;
}

const workerFaults = ['none', 'hang', 'losesResponses'] as const;
const peerFaults: readonly PeerFault[] = [
  'connected',
  'connected',
  'refused',
  'hang',
  'leader-isolated',
  'other-isolated',
];
const confirmingNodeFaults = ['running', 'killed', 'paused', 'restarted'] as const;
const leaderFaults = ['running', 'paused', 'restarted'] as const;

/**
 * Only the leader loses the state service while another controller confirms cancellations. Then the state service is unavailable
 * for all controllers for longer than `cancel_s`, and workers continue to send heartbeats to the old leader.
 */
function runLeaderCutOffScenario(seed: number): void {
  const w = longWorld(seed);
  const jobs = startLongJobs(w);
  const leader = leaderOf(w)!;
  const others = w.nodes.filter((n) => n !== leader);
  const choices = {
    peers: pick(w, peerFaults),
    workers: pick(w, workerFaults),
    confirmer: pick(w, confirmingNodeFaults),
    leader: pick(w, leaderFaults),
    cutOffS: 8 * w.random(),
    outageS: w.random() < 0.5 ? 2 * w.random() : cancelS * w.random(),
  };
  const description = `seed ${seed} ${JSON.stringify(choices)}`;
  leader.cutFromState = true;
  if (w.random() < 0.5) injectPeerFault(w, choices.peers, leader, others[0]);
  w.advance(choices.cutOffS);
  let confirmingNode = others[0];
  for (const id of jobs.cancel) confirmingNode = cancelJob(w, id, others);
  const affected = [...w.workers.values()].filter(() => w.random() < 0.3);
  for (const m of affected) {
    m.hung = choices.workers === 'hang';
    m.losesResponses = choices.workers === 'losesResponses';
  }
  if (choices.confirmer === 'killed' || choices.confirmer === 'restarted') confirmingNode.alive = false;
  if (choices.confirmer === 'paused') confirmingNode.paused = true;
  w.advance(choices.outageS / 2);
  if (choices.confirmer === 'restarted') confirmingNode.boot();
  w.advance(choices.outageS / 2);
  injectPeerFault(w, choices.peers, leader, others[0]);
  w.state.unavailable = true;
  if (w.random() < 0.5) leader.cutFromState = false;
  if (choices.leader === 'paused') leader.paused = true;
  if (choices.leader === 'restarted') leader.alive = false;
  w.advance(3 + 15 * w.random());
  if (choices.leader === 'restarted') leader.boot();
  leader.paused = false;
  for (const m of affected) m.hung = false;
  w.advance(cancelS * 1.5);
  w.state.unavailable = leader.cutFromState = false;
  w.peersConnected = true;
  for (const n of w.nodes) n.paused = n.isolatedFromPeers = false;
  for (const n of w.nodes) if (!n.alive) n.boot();
  for (const m of affected) m.losesResponses = false;
  assert.deepEqual(w.violations.slice(0, 3), [], description);
  try {
    assertRecovered(w, jobs);
  } catch (e) {
    throw new Error(`${description}: ${(e as Error).message}`, { cause: e });
  }
}

test('only the leader loses the state service, another controller cancels jobs, then an outage exceeds cancel_s', () => {
  for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) runLeaderCutOffScenario(seed);
});

/**
 * The participants of a case in `renewalCases`, and a function that cancels the jobs through controllers other than the owner.
 */
type RenewalContext = { owner: Node; others: Node[]; cancelJobs: () => void };
/**
 * All situations in which a controller may answer a heartbeat with 200 and thereby renew the worker's lease. Each case creates
 * its situation and calls `cancelJobs`. It returns a function that tells whether the situation occurred.
 */
const renewalCases: Record<string, (w: World, context: RenewalContext) => () => boolean> = {
  'the replica is up to date'(_, { owner, cancelJobs }) {
    cancelJobs();
    return () => !owner.controller.freshness.isStale;
  },
  'peers confirm that the replica is up to date'(w, { owner, cancelJobs }) {
    owner.cutFromState = true;
    w.advance(2 * w.random());
    cancelJobs();
    w.advance(w.random());
    w.state.unavailable = true;
    let confirmed = false;
    w.advanceUntil(() => (confirmed ||= owner.controller.freshness.isConfirmedByPeers), 20);
    w.schedule(50_000, () => (w.state.unavailable = owner.cutFromState = false));
    return () => confirmed;
  },
  'nobody can confirm that the replica is up to date'(w, { owner, cancelJobs }) {
    owner.cutFromState = owner.isolatedFromPeers = true;
    cancelJobs();
    w.schedule(60_000, () => (owner.cutFromState = owner.isolatedFromPeers = false));
    return () => (w.leaseRenewals.answers.get(owner.member) ?? 0) > 0;
  },
  'another controller has just taken over the shard'(w, { owner, others, cancelJobs }) {
    cancelJobs();
    crash(w, owner);
    w.schedule(500 + 9000 * w.random(), () => owner.boot());
    return () => others.some((n) => (w.leaseRenewals.answers.get(n.member) ?? 0) > 0);
  },
  'the owner has just resumed after a pause'(w, { owner, cancelJobs }) {
    owner.paused = true;
    cancelJobs();
    w.schedule(2000 + 10_000 * w.random(), () => (owner.paused = false));
    return () => owner.logLines.some(([, message]) => message === 'process stalled');
  },
  'the shard is handed over and back'(w, { owner, others, cancelJobs }) {
    const [target] = others;
    const instanceIdOf = (n: Node): string => target.controller.replica.presences.get(n.member)!.instanceId;
    owner.controller.membership.handOver(0, target.member, instanceIdOf(target));
    w.advance(0.3 * w.random());
    cancelJobs();
    const returnAfterMs = 5000 + 3000 * w.random();
    w.schedule(returnAfterMs, () =>
      target.controller.membership.handOver(0, owner.member, instanceIdOf(owner)),
    );
    return () => (w.leaseRenewals.answers.get(target.member) ?? 0) > 0;
  },
  'heartbeats are forwarded to the owner'(w, { owner, cancelJobs }) {
    for (const m of w.workers.values()) m.unreachableNodes.add(owner.member);
    w.advance(10);
    cancelJobs();
    const answers = w.leaseRenewals.answers;
    answers.clear();
    return () => !answers.has(owner.member) && answers.size > 0;
  },
  'records are being restored after data loss'(w, { cancelJobs }) {
    cancelJobs();
    w.advance(0.2 * w.random());
    const all = w.state.items();
    const remaining = w.random() < 0.5 ? [] : all.filter(() => w.random() < 0.5);
    w.state.loseData(
      remaining.map((c) => [c.key, c]),
      w.state.revision,
    );
    return () => w.nodes.some((n) => n.recoveryRestarts > 0);
  },
};

for (const [name, startCase] of Object.entries(renewalCases))
  test(`leases of workers with cancelled tasks are not renewed too late: ${name}`, () => {
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      const w = longWorld(seed);
      const jobs = startLongJobs(w);
      const owner = ownerOf(w)!;
      const others = w.nodes.filter((n) => n !== owner);
      const cancelJobs = (): void => {
        for (const id of jobs.cancel) cancelJob(w, id, others);
      };
      w.leaseRenewals.answers.clear();
      const caseOccurred = startCase(w, { owner, others, cancelJobs });
      w.advance(80);
      assert.ok(caseOccurred(), `seed ${seed}: the situation did not occur`);
      assert.ok(
        w.leaseRenewals.maxAfterCancellationMs <= w.maxKeepMs,
        `seed ${seed}: renewed ${w.leaseRenewals.maxAfterCancellationMs} ms after the cancellation`,
      );
      assertRecovered(w, jobs);
    }
  });

/**
 * Defines a test that injects temporary failures while users submit jobs. Afterwards no invariant may have been violated and all
 * jobs must end.
 */
function testTemporaryFailures(
  name: string,
  beforeS: number,
  injectFaults: (w: World, at: (s: number, f: () => void) => void) => number,
): void {
  test(name, () => {
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      const w = longWorld(seed);
      const users = mixedTraffic(w);
      w.advance(beforeS);
      const durationS = injectFaults(w, (s, f) => w.schedule(s * 1000, f));
      try {
        w.advance(durationS);
        for (const n of w.nodes) if (!n.alive) n.boot();
        assertAllJobsEnd(w, users);
      } catch (e) {
        throw new Error(`seed ${seed}: ${(e as Error).message}`, { cause: e });
      }
    }
  });
}

testTemporaryFailures(
  'a leader crashes while workers with long tasks hang, are silent or lose responses',
  40,
  (w, at) => {
    const affected = randomWorkers(w, 0.6);
    const fault = pick(w, ['losesResponses', 'silent', 'hung'] as const);
    const durationS = 4 + 36 * w.random();
    at(3 * w.random(), () => affected.forEach((m) => (m[fault] = true)));
    const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
    at(3 + 4 * w.random(), () => crash(w, leader));
    at(8 + 20 * w.random(), () => leader.boot());
    at(3 + durationS, () => affected.forEach((m) => (m[fault] = false)));
    return durationS + 30;
  },
);

testTemporaryFailures(
  'old heartbeats arrive after newer ones, across changes of the owner and of agent epochs',
  30,
  (w, at) => {
    w.duplicatedHeartbeatShare = 0.4;
    for (let s = 2; s < 60; s += 6 + 8 * w.random()) {
      at(s, () => {
        const n = pick(w, [ownerOf(w), leaderOf(w), pick(w, w.nodes)]);
        if (!n?.alive) return;
        crash(w, n);
        w.schedule(300 + 8000 * w.random(), () => n.alive || n.boot());
      });
      const affected = randomWorkers(w, 0.2);
      at(s + 1, () => affected.forEach((m) => (m.silent = true)));
      at(s + 1 + 24 * w.random(), () => affected.forEach((m) => (m.silent = false)));
    }
    at(88, () => (w.duplicatedHeartbeatShare = 0));
    return 115;
  },
);

testTemporaryFailures(
  'small jobs whose tasks end at very different times, across changes of the leader and of the feature level',
  15,
  (w, at) => {
    for (let s = 2; s < 100; s += 8 + 10 * w.random())
      at(s, () => {
        const n = pick(w, [ownerOf(w), leaderOf(w)]);
        if (!n) return;
        if (w.random() < 0.3) n.operators = { ...n.operators, 'level-most': 2 + Math.floor(3 * w.random()) };
        crash(w, n);
        w.schedule(200 + 4000 * w.random(), () => n.alive || n.boot());
      });
    at(108, () => {
      for (const n of w.nodes) n.operators = { ...n.operators, 'level-most': operatorDefaults['level-most'] };
      for (const n of w.nodes) if (n.alive) crash(w, n);
    });
    return 112;
  },
);

testTemporaryFailures(
  'a slow state service is unreachable for the leader, then unavailable for all for longer than cancel_s',
  30,
  (w, at) => {
    w.responseMs = 50 + 700 * w.random();
    const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
    const cutOffS = 2 + 20 * w.random();
    const isolated = w.random() < 0.5;
    at(1, () => (leader.isolatedFromPeers = isolated));
    at(1, () => (leader.cutFromState = true));
    at(1 + cutOffS, () => (w.state.unavailable = true));
    at(1 + cutOffS + 3, () => (leader.cutFromState = false));
    at(1 + cutOffS + cancelS * 1.3, () => {
      w.state.unavailable = leader.isolatedFromPeers = false;
      w.responseMs = 5;
    });
    return cutOffS + cancelS * 1.3 + 4;
  },
);

testTemporaryFailures(
  'commands and responses are delayed by seconds, workers hang and resume, rentals and deletions are executed late',
  20,
  (w, at) => {
    w.directCommandDelayMs = () => (w.random() < 0.5 ? 9000 * w.random() : 0);
    w.responseDelayMs = () => (w.random() < 0.3 ? 3800 * w.random() : 0);
    w.delayedCloudCallShare = 0.4;
    for (let s = 2; s < 80; s += 5) {
      const affected = randomWorkers(w, 0.3);
      at(s, () => affected.forEach((m) => (m.hung = true)));
      at(s + 14 * w.random(), () => affected.forEach((m) => (m.hung = false)));
      if (w.random() < 0.25)
        at(s + 2, () => {
          const n = pick(w, w.nodes);
          if (!n.alive) return;
          crash(w, n);
          w.schedule(4000 * w.random(), () => n.alive || n.boot());
        });
    }
    at(96, () => {
      w.delayedCloudCallShare = 0;
      w.directCommandDelayMs = w.responseDelayMs = () => 0;
    });
    return 110;
  },
);

testTemporaryFailures(
  'shards are handed over and back, all controllers crash, one restarts within a second',
  25,
  (w, at) => {
    w.duplicatedHeartbeatShare = 0.2;
    w.state.delayedCommitShare = 0.1;
    for (let s = 1; s < 70; s += 6 + 6 * w.random()) {
      const choice = w.random();
      at(s, () => {
        const owner = ownerOf(w);
        const target = pick(
          w,
          w.nodes.filter((n) => n.alive && n !== owner),
        );
        const targetInstanceId = target && owner?.controller.replica.presences.get(target.member)?.instanceId;
        if (choice < 0.5 && owner && target && targetInstanceId) {
          owner.controller.membership.handOver(0, target.member, targetInstanceId);
          w.schedule(1500 * w.random(), () => {
            const ownerInstanceId = target.controller.replica.presences.get(owner.member)?.instanceId;
            if (target.alive && ownerInstanceId)
              target.controller.membership.handOver(0, owner.member, ownerInstanceId);
          });
        }
        for (const n of w.nodes) n.peerDelayMs = w.random() < 0.3 ? 2500 * w.random() : 0;
        if (choice < 0.5) return;
        for (const n of w.nodes) {
          if (!n.alive || (choice < 0.7 && n !== owner)) continue;
          crash(w, n);
          w.schedule(100 + (w.random() < 0.6 ? 800 : 6000) * w.random(), () => n.alive || n.boot());
        }
      });
    }
    at(78, () => {
      w.state.delayedCommitShare = w.duplicatedHeartbeatShare = 0;
      for (const n of w.nodes) n.peerDelayMs = 0;
    });
    return 92;
  },
);

testTemporaryFailures('transactions without a response are executed late, after newer ones', 20, (w, at) => {
  w.state.delayedCommitShare = 0.35;
  for (let s = 3; s < 80; s += 8 + 10 * w.random())
    at(s, () => {
      const n = pick(w, [ownerOf(w), leaderOf(w)]);
      if (!n) return;
      if (w.random() < 0.5) {
        crash(w, n);
        w.schedule(300 + 3000 * w.random(), () => n.alive || n.boot());
      } else {
        n.paused = true;
        w.schedule(6000 * w.random(), () => (n.paused = false));
      }
    });
  at(84, () => (w.state.delayedCommitShare = 0));
  return 100;
});

testTemporaryFailures(
  'a leader is isolated from state service and peers but reachable for workers and users; jobs are cancelled through its successor',
  40,
  (w, at) => {
    const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
    const durationS = 10 + 50 * w.random();
    at(1, () => (leader.cutFromState = leader.isolatedFromPeers = true));
    at(1 + durationS, () => (leader.cutFromState = leader.isolatedFromPeers = false));
    if (w.random() < 0.5) {
      at(1 + durationS * w.random(), () => (w.state.unavailable = true));
      at(1 + durationS + cancelS * w.random(), () => (w.state.unavailable = false));
    }
    if (w.random() < 0.5) at(durationS * w.random(), () => (leader.paused = true));
    at(durationS + 2, () => (leader.paused = false));
    return durationS + cancelS + 4;
  },
);

// Every condition that makes a poll fail with 503 must end eventually, even if one controller never returns.
test('every job is known although one controller never returns after a crash of all or after data loss in the state service', () => {
  for (const dataLost of [false, true])
    for (const missingIndex of [0, 1, 2]) {
      const w = longWorld(missingIndex + 1);
      const jobs = startLongJobs(w);
      const missingNode = w.nodes[missingIndex];
      const remainingNodes = w.nodes.filter((n) => n !== missingNode);
      if (dataLost) {
        crash(w, missingNode);
        w.state.loseData([], w.state.revision);
      } else for (const n of w.nodes) crash(w, n);
      w.advance(1);
      for (const n of remainingNodes) if (!n.alive) n.boot();
      const allIds = [...jobs.cancel, ...jobs.keep];
      const allKnown = (): boolean =>
        remainingNodes.every((n) => allIds.every((id) => n.status(id)?.status === 200));
      assert.ok(
        w.advanceUntil(allKnown, dataLost ? 10 : 5),
        `all jobs known, without ${missingNode.member}, data lost: ${dataLost}`,
      );
      const startedAt = w.now;
      const unknownJobAnswered = (): boolean =>
        remainingNodes.every((n) => n.status('req-9999')?.status === 404);
      assert.ok(
        w.advanceUntil(unknownJobAnswered, 75),
        `404 for an unknown job, without ${missingNode.member}, data lost: ${dataLost}`,
      );
      assert.ok(w.now - startedAt < (dataLost ? 60_000 : 5000), `404 after ${w.now - startedAt} ms`);
      assert.deepEqual(w.violations, []);
    }
});
