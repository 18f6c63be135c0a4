/** What a heartbeat proves, and what only the expiry of a lease proves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { crash, longWorld } from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolling-upgrade.js';
import { spec } from './support/fixtures.js';

// Guards against an old copy of a heartbeat that is the first one a new owner receives from a machine: a repaired gang may have the same
// attempt on the machine again that exited in an earlier agent epoch.
test('a task exit in an old heartbeat counts only under the current fencing token', () => {
  const w = longWorld(1);
  const gang = spec('req-1', { team: 'blue', shape: 'gang', tasks: 2, cpus: 8 });
  assert.equal(w.nodes[0].submit(gang)?.status, 201);
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  w.advance(5);
  const [worker] = [...w.workers.values()];
  const oldReport = worker.report();
  oldReport.tasks = oldReport.tasks.map((t) => ({ ...t, phase: 'exited', exitReason: 'alone' }));
  for (const x of w.workers.values()) x.silent = true;
  const previousOwner = ownerOf(w)!;
  crash(w, previousOwner);
  assert.ok(w.advanceUntil(() => ownerOf(w) !== undefined, 20));
  const owner = ownerOf(w)!;
  owner.push({ type: 'heartbeat', requestId: ++w.nextRequestId, report: oldReport });
  w.advance(0.1);
  for (const x of w.workers.values()) x.silent = false;
  previousOwner.boot();
  w.advance(30);
  assert.deepEqual(
    owner.logLines.filter(([, message]) => message === 'gang torn down'),
    [],
  );
  for (const x of w.workers.values())
    for (const t of x.tasks.values()) assert.equal(`${t.report.attempt} ${t.report.phase}`, '1 running');
  assert.deepEqual(w.violations, []);
});

// Guards against a second zone for a oneZone job with tasks on a machine whose record is lost: the zone of that machine is unknown.
test('a oneZone job is not placed in another zone while some of its tasks are in an unknown zone', () => {
  const w = longWorld(2, {
    capacity: 0,
    prepare: (world) => ['north', 'south'].forEach((zone) => world.addWorker('box', zone, false)),
  });
  for (const zone of ['north', 'south']) {
    const occupyingJob = spec(`req-1${zone.length}${zone === 'north' ? 0 : 1}`, {
      team: 'blue',
      tasks: 1,
      zone,
    });
    assert.equal(w.nodes[0].submit(occupyingJob)?.status, 201);
  }
  assert.ok(w.advanceUntil(() => [...w.workers.values()].every((x) => x.tasks.size === 1), 60));
  const job = spec('req-2', { team: 'blue', tasks: 8, cpus: 2, oneZone: true });
  assert.equal(w.nodes[0].submit(job)?.status, 201);
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 3, 30));
  w.advance(5);
  const lostWorker = w.workers.get(w.running('req-2')[0].host)!;
  for (const n of w.nodes) crash(w, n);
  w.advance(0.1);
  lostWorker.silent = w.cloudDown = true;
  // The keys that were attached to state leases are lost as well.
  const remaining = w.state
    .items()
    .filter((c) => c.key !== `dp/m/${lostWorker.host}` && !/^dp\/(node|chief)/.test(c.key));
  w.state.loseData(
    remaining.map((c) => [c.key, c]),
    w.state.revision,
  );
  for (const n of w.nodes) n.boot();
  w.advance(13);
  lostWorker.silent = false;
  w.cloudDown = false;
  w.advance(60);
  assert.deepEqual(w.violations, []);
  assert.ok(
    w.advanceUntil(() => w.running('req-2').length >= 3, 60),
    'the job continues',
  );
});

// Guards against a disconnected leader that acts until its replica is older than the duration of its lease: the lease was last renewed
// before the replica was last confirmed, so it may have expired already, and another controller may lead.
test('a leader acts only while its lease is definitely valid', () => {
  for (let offset = 0; offset < 12; offset++) {
    const w = longWorld(3);
    w.advance(offset * 0.09);
    const leader = leaderOf(w)!;
    const { membership } = leader.controller;
    assert.ok(membership.holdsValidLease(w.now), 'the leader holds a valid lease');
    leader.cutFromState = true;
    while (w.state.entries.has('dp/chief') && w.now < 60_000) {
      w.advance(0.01);
      const another = w.nodes.some((n) => n !== leader && n.controller.membership.isLeader);
      assert.ok(!membership.holdsValidLease(w.now) || !another);
    }
    assert.ok(!membership.holdsValidLease(w.now), `disconnected ${offset * 90} ms later`);
  }
});
