/** Failover: start-up phases, freshness quorum, hand-over, restarts of all controllers. */
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
const sessions = (w: World): number[] => [...w.workers.values()].map((x) => x.session);

test('an outage longer than the view stays fresh: the others vouch, no task loses its lease', () => {
  const w = startCluster(3, 6);
  w.state.unavailable = true;
  w.advance(90);
  assert.deepEqual(new Set(sessions(w)), new Set([1]));
  const known = w.nodes[1].status('req-1');
  assert.equal(known?.status, 200);
  assert.equal(w.nodes[1].status('req-2')?.status, 503);
  w.state.unavailable = false;
  w.advance(10);
  assert.equal(w.running('req-1').length, 6);
  assert.deepEqual(w.violations, []);
});

test('nobody vouches for what a process that is gone may have told', () => {
  const w = startCluster(3, 6);
  const other = w.nodes.find((n) => n !== ownerOf(w))!;
  w.state.unavailable = true;
  w.advance(1);
  other.alive = false;
  w.advance(4);
  other.boot();
  w.advance(60);
  // Workers were let go when the view was too old.
  assert.ok(sessions(w).every((s) => s > 1));
  w.state.unavailable = false;
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 6, 90));
  assert.deepEqual(w.violations, []);
});

test('an owner cut off alone learns a cancellation from the others before it answers on', () => {
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

test('vouching: every peer, the same process as before, and all it knows', () => {
  const quorum = new FreshnessQuorum('a1', ['b', 'c'], 100);
  const q = (nonce: number, instanceId = 'a1') => ({ instanceId, nonce, revision: 7, incarnation: 0 });
  quorum.recordPeerProcess('b', 'b1', 10);
  quorum.recordPeerProcess('c', 'c1', 10);
  assert.deepEqual(quorum.nextQuery(1000, 7), { instanceId: 'a1', nonce: 1, revision: 7, incarnation: 0 });
  assert.equal(quorum.nextQuery(1050, 7), null);
  assert.equal(quorum.onConfirmation('b', 'b1', q(1), 500), null);
  assert.equal(quorum.onConfirmation('c', 'c1', q(1), 500), 1000);
  // Answers to questions that this process did not ask count for nothing.
  quorum.nextQuery(1100, 7);
  for (const n of [q(2, 'a0'), q(9)]) assert.equal(quorum.onConfirmation('b', 'b1', n, 1000), null);
  assert.equal(quorum.onConfirmation('c', 'c1', q(2), 1000), 1000);
  quorum.recordPeerProcess('c', 'c2', 1200);
  quorum.nextQuery(1300, 7);
  assert.equal(quorum.onConfirmation('c', 'c2', q(3), 1000), null);
  assert.equal(quorum.onConfirmation('b', 'b1', q(3), 1000), null);
  // Once the view was complete after the new process was heard, it counts.
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
  // The one with stamp 9 left with the oldest: up to there it cannot tell any more.
  assert.equal(r.since(8), null);
  assert.deepEqual(
    r.since(9)?.map((c) => c.stamp),
    [10],
  );
});

test('all controllers are killed in an outage of the state service, and again while they read', () => {
  const w = startCluster(3, 5);
  w.snapshotMs = 1500;
  w.state.unavailable = true;
  w.advance(3);
  for (const n of w.nodes) n.alive = false;
  w.advance(4);
  for (const n of w.nodes) n.boot();
  w.advance(3);
  // Whoever comes finds somebody: nobody else has the state either.
  assert.ok(w.nodes.some((n) => n.controller.freshness.isStoreUnreachable || !n.controller.healthy));
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

test('controllers killed in turn every few seconds: work goes on, nothing runs twice', () => {
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
      w.advanceUntil(() => w.finished.length === 24, 200),
      `every ${everyS} s: ${w.finished.length}`,
    );
    assert.deepEqual(w.violations, []);
  }
});

test('a leader that dies between a rental and its record, at many moments: no machine is forgotten, no name used again', () => {
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
    // Within the 60 ms that answer, record and its answer take, in steps of the world's clock.
    w.advance((seed % 7) / 100);
    leader.alive = false;
    if (seed % 3 === 0) w.schedule(2000 + seed, () => leader.boot());
    w.advance(4.5 + (seed % 5) / 10);
    assert.equal(new Set(w.rentals.map((r) => r.name)).size, w.rentals.length);
    // Whoever leads now has every machine in its books, or learns of it from its worker's next reports.
    const other = w.nodes.find((n) => n !== leader)!;
    const known = (): boolean =>
      [...w.workers.keys()].every((h) => other.controller.replica.machines.has(h) || w.deleted.includes(h));
    assert.ok(w.advanceUntil(known, 20), `seed ${seed}`);
    assert.deepEqual(w.violations, []);
  }
});

test('300 machines hang and come back at once: those whose lease held go on, the others start anew once', () => {
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
    const kept = hung.filter((x) => w.workers.get(x.host) === x && x.session === 1).length;
    assert.equal(kept, hungS < 16 ? 300 : 0);
    assert.ok(w.advanceUntil(() => all() === 300, 60));
    assert.deepEqual(w.violations, []);
  }
});

test('a zone is cut away from a freshly started owner: what is elsewhere goes on, what is inside is freed in time', () => {
  const w = startCluster(3, 8);
  const first = ownerOf(w);
  first.alive = false;
  assert.ok(w.advanceUntil(() => ownerOf(w) !== undefined && ownerOf(w) !== first, 20));
  const owner = ownerOf(w);
  const inside = [...w.workers.values()].filter((x) => x.zone === 'south');
  for (const x of inside) for (const n of w.nodes) x.unreachableNodes.add(n.member);
  w.advance(60);
  assert.equal(ownerOf(w), owner);
  assert.equal(w.running('req-1').length, 8);
  for (const x of inside) x.unreachableNodes.clear();
  w.advance(30);
  assert.deepEqual(w.violations, []);
});

test('the state service answers thirty times slower: an owner stays, work starts and ends', () => {
  const w = startCluster(3, 0);
  w.responseMs = 300;
  w.nodes[0].submit(spec('req-1', { team: 'blue', tasks: 6 }));
  assert.ok(w.advanceUntil(() => w.finished.length === 6, 120));
  assert.ok(w.advanceUntil(() => w.nodes[0].status('req-1')?.body['status'] === 'done', 30));
  assert.deepEqual(w.violations, []);
});

test('429 for all but one controller: that one serves, the others send workers to it', () => {
  const w = startCluster(3, 4);
  const free = w.nodes.find((n) => n !== ownerOf(w))!;
  for (const n of w.nodes) n.rateLimited = n !== free;
  w.advance(30);
  assert.equal(ownerOf(w), free);
  free.submit(spec('req-2', { team: 'blue', tasks: 3 }));
  assert.ok(w.advanceUntil(() => w.finished.length === 3, 90));
  assert.equal(w.running('req-1').length, 4);
  assert.deepEqual(w.violations, []);
});

test('an owner cut off from workers hands its shard over: no task is lost, no worker goes without an answer', () => {
  const w = startCluster(3, 12, 4);
  const owner = ownerOf(w);
  w.advance(70);
  for (const x of w.workers.values()) {
    x.unreachableNodes.add(owner.member);
    x.longestGapMs = 0;
  }
  assert.ok(w.advanceUntil(() => ownerOf(w) !== owner, 40));
  w.advance(10);
  assert.deepEqual(new Set(sessions(w)), new Set([1]));
  for (const x of w.workers.values()) assert.ok(x.longestGapMs < w.leaseMs / 2, `${x.longestGapMs} ms`);
  assert.equal(w.running('req-1').length, 12);
  assert.deepEqual(w.violations, []);
});

test('an owner short of time has others keep its workers: their reports reach it all the same', () => {
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
  assert.ok(w.advanceUntil(() => w.finished.length === 4, 90));
  assert.deepEqual(new Set(sessions(w)), new Set([1]));
  for (let i = 0; i < 20; i++) {
    owner.push({ type: 'load', busy: 0.1, connections: 10 });
    w.advance(0.5);
  }
  assert.equal(direct(), w.workers.size);
});

test('sharing: help is asked for and given up with a distance between; a shard goes to whoever hears its workers', () => {
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
  // What others do for it would come back.
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
  const at = { offloading: false, utilization: 0.2 };
  assert.equal(handoverTarget({ ...at, direct: 5, forwardedBy: forwardedHeartbeats(90, 5) }, others), 'b');
  assert.equal(handoverTarget({ ...at, direct: 50, forwardedBy: forwardedHeartbeats(45, 5) }, others), null);
  assert.equal(handoverTarget({ ...at, direct: 0, forwardedBy: forwardedHeartbeats(5, 95) }, others), null);
  assert.equal(
    handoverTarget({ ...at, offloading: true, direct: 5, forwardedBy: forwardedHeartbeats(90, 5) }, others),
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

test('a gang that lost a task while it waited is completed with the same attempt', () => {
  const w = startCluster(1, 0);
  w.fetchS = 25;
  w.nodes[0].submit(spec('req-1', { team: 'blue', shape: 'gang', tasks: 3, cpus: 8 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 3, 60));
  const attempts = () =>
    new Set([...w.workers.values()].flatMap((x) => [...x.tasks.values()].map((t) => t.report.attempt)));
  const lost = w.running('req-1')[0].host;
  // A worker that lost its session tells so at once: nothing has to be waited for.
  w.workers.get(lost)!.expireLease();
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 3, 20));
  assert.deepEqual(attempts(), new Set([1]));
  assert.ok(w.advanceUntil(() => w.finished.length === 3, 90));
  assert.equal(w.starts.length, 4);
  assert.deepEqual(w.violations, []);
});

test('the phases of a start, forward and back, and how long they took', () => {
  const r = new RecoveryTracker(1000);
  const at = (over: Partial<RecoveryFacts>): RecoveryFacts => ({
    isStateLoaded: false,
    isPresent: false,
    ownedShards: 0,
    unprovenMachines: 0,
    placementCount: 0,
    ...over,
  });
  assert.equal(r.update(10, at({})), null);
  assert.equal(r.update(500, at({ isStateLoaded: true }))?.to, 'joining');
  assert.equal(r.update(600, at({ isStateLoaded: true, isPresent: true }))?.to, 'standby');
  assert.equal(
    r.update(700, at({ isStateLoaded: true, isPresent: true, ownedShards: 1, unprovenMachines: 3 }))?.to,
    'proving',
  );
  assert.equal(r.takeSummary(800), null);
  assert.equal(
    r.update(2000, at({ isStateLoaded: true, isPresent: true, ownedShards: 1, placementCount: 1 }))?.lastedMs,
    1300,
  );
  assert.deepEqual(r.takeSummary(2000), {
    provenMs: 1300,
    mostProvenMs: 1300,
    firstPlacementMs: 2000,
    late: true,
  });
  assert.equal(r.takeSummary(2000), null);
  assert.equal(r.update(3000, at({ isStateLoaded: true, placementCount: 1 }))?.to, 'joining');
  assert.equal(
    r.update(4000, at({ isStateLoaded: true, isPresent: true, ownedShards: 1, placementCount: 1 }))?.to,
    'serving',
  );
  assert.equal(r.takeSummary(4000)?.late, false);
});

// Guards against a fleet that is given back because nothing could be placed on it while the state service was away.
test('an outage longer than machines may stand idle: they are there for the work that comes after it', () => {
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
  assert.deepEqual([w.deleted, w.violations], [[], []]);
});
