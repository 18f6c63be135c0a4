/** Failover and recovery: start-up phases, freshness quorum, shard handover, load sharing, restarts of all controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecoveryTracker, type RecoveryFacts } from '../src/recovery/index.js';
import { RecentChanges, FreshnessQuorum } from '../src/freshness/index.js';
import { handoverTarget, needsOffload } from '../src/policy/load-sharing.js';
import { type Node } from './support/controller-node.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const startCluster = (nodes: number, tasks: number, cpus = 1): World => {
  const w = new World(nodes);
  assert.ok(w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.shards.size > 0), 20));
  w.advance(2);
  if (tasks === 0) return w;
  w.nodes[0].submit(spec('req-1', { team: 'blue', shape: 'service', tasks, cpus }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === tasks, 60));
  return w;
};
const ownerOf = (w: World): Node =>
  w.nodes.find((n) => n.alive && n.controller.shardManager.ownedShards.size > 0)!;
const agentEpochs = (w: World): number[] => [...w.workers.values()].map((x) => x.agentEpoch);

test('in an outage longer than the maximum replica age, peers confirm the replica and no worker loses its lease', () => {
  const w = startCluster(3, 6);
  w.state.unavailable = true;
  w.advance(90);
  assert.deepEqual(new Set(agentEpochs(w)), new Set([1]));
  const known = w.nodes[1].status('req-1');
  assert.equal(known?.status, 200);
  assert.equal(w.nodes[1].status('req-2')?.status, 503);
  w.state.unavailable = false;
  w.advance(10);
  assert.equal(w.running('req-1').length, 6);
  assert.deepEqual(w.violations, []);
});

test('peers do not confirm a replica if a controller restarted during the outage: its earlier process may have known more', () => {
  const w = startCluster(3, 6);
  const other = w.nodes.find((n) => n !== ownerOf(w))!;
  w.state.unavailable = true;
  w.advance(1);
  other.alive = false;
  w.advance(4);
  other.boot();
  w.advance(60);
  // Workers lost their leases because no controller answered them once its replica was too old.
  assert.ok(agentEpochs(w).every((s) => s > 1));
  w.state.unavailable = false;
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 6, 90));
  assert.deepEqual(w.violations, []);
});

test('an owner that alone is cut off from the state service learns a cancellation from its peers before it answers workers again', () => {
  const w = startCluster(3, 4);
  const owner = ownerOf(w);
  const other = w.nodes.find((n) => n !== owner)!;
  owner.cutFromState = true;
  assert.equal(other.cancel('req-1')?.body['status'], 'aborted');
  w.cancelledAt.set('req-1', w.now);
  w.advance(60);
  assert.equal(w.running('req-1').length, 0);
  assert.deepEqual(w.violations, []);
});

test('the freshness quorum needs every peer, in the process seen before, and all changes that it knows', () => {
  const quorum = new FreshnessQuorum('a1', ['b', 'c'], 100);
  const q = (nonce: number, instanceId = 'a1') => ({ instanceId, nonce, revision: 7, incarnation: 0 });
  quorum.recordPeerProcess('b', 'b1', 10);
  quorum.recordPeerProcess('c', 'c1', 10);
  assert.deepEqual(quorum.nextQuery(1000, 7), { instanceId: 'a1', nonce: 1, revision: 7, incarnation: 0 });
  assert.equal(quorum.nextQuery(1050, 7), null);
  assert.equal(quorum.onConfirmation('b', 'b1', q(1), 500), null);
  assert.equal(quorum.onConfirmation('c', 'c1', q(1), 500), 1000);
  // Answers to queries that this process did not send are ignored.
  quorum.nextQuery(1100, 7);
  for (const n of [q(2, 'a0'), q(9)]) assert.equal(quorum.onConfirmation('b', 'b1', n, 1000), null);
  assert.equal(quorum.onConfirmation('c', 'c1', q(2), 1000), 1000);
  quorum.recordPeerProcess('c', 'c2', 1200);
  quorum.nextQuery(1300, 7);
  assert.equal(quorum.onConfirmation('c', 'c2', q(3), 1000), null);
  assert.equal(quorum.onConfirmation('b', 'b1', q(3), 1000), null);
  // The new process counts once the replica is known to be complete up to a time after its first message.
  assert.equal(quorum.onConfirmation('c', 'c2', q(3), 1250), 1300);
  const r = new RecentChanges(4);
  assert.equal(r.since(5), null);
  r.markCompleteUpTo(5);
  for (const stamp of [9, 6, 7, 8]) r.record({ key: `k${stamp}`, data: {}, stamp });
  assert.deepEqual(
    r.since(6)?.map((c) => c.stamp),
    [9, 7, 8],
  );
  r.record({ key: 'k10', data: {}, stamp: 10 });
  // Stamp 9 was dropped with the half of the buffer that was recorded first: the buffer is complete only for later changes.
  assert.equal(r.since(8), null);
  assert.deepEqual(
    r.since(9)?.map((c) => c.stamp),
    [10],
  );
});

test('all controllers are killed during an outage of the state service, and again while they read the state', () => {
  const w = startCluster(3, 5);
  w.snapshotMs = 1500;
  w.state.unavailable = true;
  w.advance(3);
  for (const n of w.nodes) n.alive = false;
  w.advance(4);
  for (const n of w.nodes) n.boot();
  w.advance(3);
  // Users still reach a controller: one without the state passes its health check if no other has read the state either.
  assert.ok(w.nodes.some((n) => n.controller.freshness.isStateServiceUnreachable || !n.controller.healthy));
  w.state.unavailable = false;
  w.advance(1);
  for (const n of w.nodes) n.alive = false;
  w.advance(4);
  for (const n of w.nodes) n.boot();
  assert.ok(w.advanceUntil(() => w.nodes[1].status('req-1')?.status === 200, 10));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 5, 60));
  w.advance(20);
  assert.deepEqual(w.violations, []);
});

test('controllers are killed in turn every few seconds: all jobs complete and no task runs twice', () => {
  for (const everyS of [1.5, 3, 6]) {
    const w = startCluster(3, 0);
    for (let i = 0; i < 4; i++)
      w.nodes[i % 3].submit(spec(`req-${i + 1}`, { team: 'blue', tasks: 6, estimateS: 20 }));
    for (let i = 0; i < 16; i++) {
      const n = w.nodes[i % 3];
      n.alive = false;
      w.schedule(4000, () => n.boot());
      w.advance(everyS);
    }
    assert.ok(
      w.advanceUntil(() => w.finishedTasks.length === 24, 200),
      `every ${everyS} s: ${w.finishedTasks.length}`,
    );
    assert.deepEqual(w.violations, []);
  }
});

test('a leader killed at various times between a rental and its record: no machine is lost, no request name is reused', () => {
  for (let seed = 0; seed < 1000; seed++) {
    const w = new World(2, {}, seed);
    w.heartbeatMs = 1000;
    w.advance(1.2);
    w.nodes[0].push({
      type: 'submit',
      requestId: 1,
      spec: spec('req-1', { team: 'blue', tasks: 8, cpus: 4 }),
    });
    w.advanceUntil(() => w.rentals.length > 0, 5);
    assert.ok(w.rentals.length > 0);
    const leader = w.nodes.find((n) => n.controller.membership.isLeader)!;
    // Within the 60 ms in which the rental is answered and its record is written and confirmed, in steps of the simulated clock.
    w.advance((seed % 7) / 100);
    leader.alive = false;
    if (seed % 3 === 0) w.schedule(2000 + seed, () => leader.boot());
    w.advance(4.5 + (seed % 5) / 10);
    assert.equal(new Set(w.rentals.map((r) => r.name)).size, w.rentals.length);
    // The new leader has a record of every machine, or adopts it after the next heartbeats of its worker.
    const other = w.nodes.find((n) => n !== leader)!;
    const known = (): boolean =>
      [...w.workers.keys()].every(
        (h) => other.controller.replica.machines.has(h) || w.deletedHosts.includes(h),
      );
    assert.ok(w.advanceUntil(known, 20), `seed ${seed}`);
    assert.deepEqual(w.violations, []);
  }
});

test('300 machines hang and resume at once: they keep their tasks if their leases are still valid, else the tasks restart', () => {
  for (const hungS of [8, 25]) {
    const w = new World(3, {});
    w.capacity = 650;
    w.advance(3);
    for (let i = 0; i < 3; i++)
      w.nodes[i].submit(spec(`req-${i + 1}`, { team: 'blue', shape: 'service', tasks: 100, cpus: 8 }));
    const all = (): number => [1, 2, 3].reduce((n, i) => n + w.running(`req-${i}`).length, 0);
    assert.ok(w.advanceUntil(() => all() === 300, 60));
    const hung = [...w.workers.values()];
    for (const x of hung) x.hung = true;
    w.advance(hungS);
    for (const x of hung) x.hung = false;
    w.advance(3);
    const kept = hung.filter((x) => w.workers.get(x.host) === x && x.agentEpoch === 1).length;
    assert.equal(kept, hungS < 16 ? 300 : 0);
    assert.ok(w.advanceUntil(() => all() === 300, 60));
    assert.deepEqual(w.violations, []);
  }
});

test('a network partition separates a zone from a new owner: tasks elsewhere go on, those in the zone are replaced in time', () => {
  const w = startCluster(3, 8);
  const first = ownerOf(w);
  first.alive = false;
  assert.ok(w.advanceUntil(() => ownerOf(w) !== undefined && ownerOf(w) !== first, 20));
  const owner = ownerOf(w);
  const workersInZone = [...w.workers.values()].filter((x) => x.zone === 'south');
  for (const x of workersInZone) for (const n of w.nodes) x.unreachableNodes.add(n.member);
  w.advance(60);
  assert.equal(ownerOf(w), owner);
  assert.equal(w.running('req-1').length, 8);
  for (const x of workersInZone) x.unreachableNodes.clear();
  w.advance(30);
  assert.deepEqual(w.violations, []);
});

test('the state service answers thirty times slower: the shard keeps an owner, and tasks start and complete', () => {
  const w = startCluster(3, 0);
  w.responseMs = 300;
  w.nodes[0].submit(spec('req-1', { team: 'blue', tasks: 6 }));
  assert.ok(w.advanceUntil(() => w.finishedTasks.length === 6, 120));
  assert.ok(w.advanceUntil(() => w.nodes[0].status('req-1')?.body['status'] === 'done', 30));
  assert.deepEqual(w.violations, []);
});

test('all controllers but one are rate limited (429): that one takes over the shard, and the others redirect workers to it', () => {
  const w = startCluster(3, 4);
  const free = w.nodes.find((n) => n !== ownerOf(w))!;
  for (const n of w.nodes) n.rateLimited = n !== free;
  w.advance(30);
  assert.equal(ownerOf(w), free);
  free.submit(spec('req-2', { team: 'blue', tasks: 3 }));
  assert.ok(w.advanceUntil(() => w.finishedTasks.length === 3, 90));
  assert.equal(w.running('req-1').length, 4);
  assert.deepEqual(w.violations, []);
});

test('an owner cut off from its workers hands over its shard: no task is lost and every worker keeps being answered', () => {
  const w = startCluster(3, 12, 4);
  const owner = ownerOf(w);
  w.advance(70);
  for (const x of w.workers.values()) {
    x.unreachableNodes.add(owner.member);
    x.longestGapMs = 0;
  }
  assert.ok(w.advanceUntil(() => ownerOf(w) !== owner, 40));
  w.advance(10);
  assert.deepEqual(new Set(agentEpochs(w)), new Set([1]));
  for (const x of w.workers.values()) assert.ok(x.longestGapMs < w.leaseMs / 2, `${x.longestGapMs} ms`);
  assert.equal(w.running('req-1').length, 12);
  assert.deepEqual(w.violations, []);
});

test('an overloaded owner offloads worker connections to peers, which forward the heartbeats', () => {
  const w = startCluster(3, 16);
  const owner = ownerOf(w);
  const direct = (): number => [...w.workers.values()].filter((x) => x.currentNode === owner).length;
  assert.equal(direct(), w.workers.size);
  for (let i = 0; i < 40; i++) {
    owner.push({ type: 'load', busy: 0.9, connections: 100 });
    w.advance(0.5);
  }
  assert.ok(direct() < w.workers.size / 2, `${direct()} of ${w.workers.size}`);
  w.nodes[0].submit(spec('req-2', { team: 'blue', tasks: 4 }));
  assert.ok(w.advanceUntil(() => w.finishedTasks.length === 4, 90));
  assert.deepEqual(new Set(agentEpochs(w)), new Set([1]));
  for (let i = 0; i < 20; i++) {
    owner.push({ type: 'load', busy: 0.1, connections: 10 });
    w.advance(0.5);
  }
  assert.equal(direct(), w.workers.size);
});

test('load sharing: offloading starts and stops with hysteresis; a shard is handed over to the peer that its workers reach', () => {
  assert.equal(
    needsOffload(false, { utilization: 0.65, connections: 10, machines: 10, forwardedShare: 0 }, 100),
    false,
  );
  assert.equal(
    needsOffload(true, { utilization: 0.65, connections: 10, machines: 10, forwardedShare: 0 }, 100),
    true,
  );
  assert.equal(
    needsOffload(true, { utilization: 0.1, connections: 10, machines: 90, forwardedShare: 0 }, 100),
    true,
  );
  assert.equal(
    needsOffload(true, { utilization: 0.1, connections: 10, machines: 10, forwardedShare: 0 }, 100),
    false,
  );
  // If it stopped offloading, the load that its peers carry for it would return.
  assert.equal(
    needsOffload(true, { utilization: 0.3, connections: 10, machines: 10, forwardedShare: 0.6 }, 100),
    true,
  );
  const others = [
    { member: 'b', busy: 0.1 },
    { member: 'c', busy: 0.9 },
  ];
  const forwardedHeartbeats = (b: number, c: number) =>
    new Map([
      ['b', b],
      ['c', c],
    ]);
  const load = { offloading: false, utilization: 0.2 };
  assert.equal(handoverTarget({ ...load, direct: 5, forwardedBy: forwardedHeartbeats(90, 5) }, others), 'b');
  assert.equal(
    handoverTarget({ ...load, direct: 50, forwardedBy: forwardedHeartbeats(45, 5) }, others),
    null,
  );
  assert.equal(handoverTarget({ ...load, direct: 0, forwardedBy: forwardedHeartbeats(5, 95) }, others), null);
  assert.equal(
    handoverTarget({ ...load, offloading: true, direct: 5, forwardedBy: forwardedHeartbeats(90, 5) }, others),
    null,
  );
  assert.equal(
    handoverTarget(
      { offloading: true, utilization: 1, direct: 5, forwardedBy: forwardedHeartbeats(90, 5) },
      others,
    ),
    'b',
  );
});

test('a gang that lost a task while waiting for the others is completed in the same attempt', () => {
  const w = startCluster(1, 0);
  w.imageFetchS = 25;
  w.nodes[0].submit(spec('req-1', { team: 'blue', shape: 'gang', tasks: 3, cpus: 8 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 3, 60));
  const attempts = () =>
    new Set([...w.workers.values()].flatMap((x) => [...x.tasks.values()].map((t) => t.report.attempt)));
  const lost = w.running('req-1')[0].host;
  // A worker whose lease has expired reports its new agent epoch at once, so no timeout has to pass.
  w.workers.get(lost)!.expireLease();
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 3, 20));
  assert.deepEqual(attempts(), new Set([1]));
  assert.ok(w.advanceUntil(() => w.finishedTasks.length === 3, 90));
  assert.equal(w.starts.length, 4);
  assert.deepEqual(w.violations, []);
});

test('the phases of a recovery, forward and back, and their durations', () => {
  const r = new RecoveryTracker(1000);
  const facts = (overrides: Partial<RecoveryFacts>): RecoveryFacts => ({
    isStateLoaded: false,
    isPresent: false,
    ownedShards: 0,
    unprovenMachines: 0,
    placementCount: 0,
    ...overrides,
  });
  assert.equal(r.update(10, facts({})), null);
  assert.equal(r.update(500, facts({ isStateLoaded: true }))?.to, 'joining');
  assert.equal(r.update(600, facts({ isStateLoaded: true, isPresent: true }))?.to, 'standby');
  assert.equal(
    r.update(700, facts({ isStateLoaded: true, isPresent: true, ownedShards: 1, unprovenMachines: 3 }))?.to,
    'proving',
  );
  assert.equal(r.takeSummary(800), null);
  assert.equal(
    r.update(2000, facts({ isStateLoaded: true, isPresent: true, ownedShards: 1, placementCount: 1 }))
      ?.lastedMs,
    1300,
  );
  assert.deepEqual(r.takeSummary(2000), {
    provenMs: 1300,
    mostProvenMs: 1300,
    firstPlacementMs: 2000,
    late: true,
  });
  assert.equal(r.takeSummary(2000), null);
  assert.equal(r.update(3000, facts({ isStateLoaded: true, placementCount: 1 }))?.to, 'joining');
  assert.equal(
    r.update(4000, facts({ isStateLoaded: true, isPresent: true, ownedShards: 1, placementCount: 1 }))?.to,
    'serving',
  );
  assert.equal(r.takeSummary(4000)?.late, false);
});

// Machines must not be deleted as idle because nothing could be placed on them while the state service was unavailable.
test('after an outage longer than the maximum idle time of machines, they are still available for new jobs', () => {
  const w = new World(3);
  w.taskDurationS = 10;
  assert.ok(w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.shards.size > 0), 20));
  w.advance(2);
  w.nodes[0].submit(spec('req-1', { team: 'blue', tasks: 4, cpus: 8 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 4, 60));
  w.state.unavailable = true;
  w.advance(60);
  w.state.unavailable = false;
  w.advance(3);
  w.nodes[0].submit(spec('req-2', { team: 'blue', shape: 'gang', tasks: 4, cpus: 8 }));
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 4, 8));
  assert.deepEqual([w.deletedHosts, w.violations], [[], []]);
});
