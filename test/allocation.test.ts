/** Allocation of the write budget to controllers, teams and classes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  isWorthWriting,
  minMemberWrites,
  MinimumShares,
  maxStarvationS,
  nextAllocation,
  OverloadMonitor,
  allocatableWrites,
  DemandEstimates,
  fallbackWrites,
  type MemberDemand,
  type WorkloadUsage,
  type WorkloadDemand,
  type MemberStatus,
  type WriteAllocation,
} from '../src/admission/index.js';
import { newestLevel } from '../src/feature-levels/index.js';
import { allocationData, readAllocation } from '../src/core/storage/index.js';
import { formats, inspectRecord } from '../src/formats/index.js';
import { Flood, floodStreams, startFloodWorld } from './support/flood.js';
import { leaderOf, levelOf, ownerOf, requestLevel } from './support/rolling-upgrade.js';
import type { JobSpec } from '../src/model/job.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const demand = (
  tasks: number,
  users: number,
  allocationVersion = 0,
  workloads: WorkloadDemand[] = [],
): MemberDemand => ({
  acceptedWork: tasks,
  newJobs: users,
  backlogS: 0,
  workloads,
  allocationVersion,
});
const equalWeights = (): number => 1;
const rate = fc.double({ min: 0, max: 80, noNaN: true });

test('allocations: whichever one each controller follows, all together never exceed the budget', () => {
  // Each step: the demands; which controllers catch up with the newest allocation, report it, are present or have fallen back;
  // and whether enough time has passed for the allocation to settle.
  const step = fc.record({
    wants: fc.array(fc.tuple(rate, rate), { minLength: 4, maxLength: 4 }),
    catchesUp: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    reports: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    isPresent: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    hasFallenBack: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    isSettled: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 4 }),
      fc.integer({ min: 10, max: 150 }),
      fc.array(step),
      (n, writes, steps) => {
        const names = ['a', 'b', 'c', 'd'].slice(0, n);
        let allocation: WriteAllocation | null = null;
        const allocations = new Map<number, WriteAllocation>();
        /** The version that each controller follows (0: none yet, equal share; -1: outdated replica, minimum share). */
        const followedVersions = names.map(() => 0);
        /** The version that each controller has reported. */
        const reportedVersions = names.map(() => 0);
        for (const s of steps) {
          names.forEach((_, i) => {
            if (allocation && s.catchesUp[i]) followedVersions[i] = allocation.version;
            if (s.reports[i]) reportedVersions[i] = Math.max(reportedVersions[i], followedVersions[i]);
            // The allocation is older than any replica can be: controllers that do not follow it have fallen back.
            if (allocation && s.isSettled && followedVersions[i] < allocation.version)
              followedVersions[i] = -1;
            if (allocation && !s.isPresent[i] && s.hasFallenBack[i]) followedVersions[i] = -1;
          });
          const members = names.map((name, i): MemberStatus => ({
            name,
            isPresent: s.isPresent[i],
            hasFallenBack: !s.isPresent[i] && s.hasFallenBack[i],
            demand: s.isPresent[i] ? demand(s.wants[i][0], s.wants[i][1], reportedVersions[i]) : null,
          }));
          allocation = nextAllocation(allocation, writes, members, s.isSettled, equalWeights);
          allocations.set(allocation.version, allocation);
          const used = names.map((name, i) => {
            if (followedVersions[i] === 0) return fallbackWrites(writes, n, false).total;
            if (followedVersions[i] < 0) return fallbackWrites(writes, n, true).total;
            return allocations.get(followedVersions[i])!.members.get(name)!.total;
          });
          const sum = used.reduce((x, y) => x + y, 0);
          assert.ok(
            sum <= allocatableWrites(writes) + 1e-6,
            `${used.join(' + ')} of ${allocatableWrites(writes)}`,
          );
          for (const member of allocation.members.values()) {
            assert.ok(
              member.total >= minMemberWrites(writes, n) - 1e-9 &&
                member.newJobs <= member.total + 1e-9 &&
                member.total <= member.maxInUse + 1e-9,
            );
          }
        }
      },
    ),
    { numRuns: 400 },
  );
});

test('allocations: a share is given to another controller only after the first one follows its reduction', () => {
  const members = (followedVersion: number): MemberStatus[] => [
    { name: 'a', isPresent: true, hasFallenBack: false, demand: demand(40, 5, followedVersion) },
    { name: 'b', isPresent: true, hasFallenBack: false, demand: demand(0, 2, followedVersion) },
  ];
  const first = nextAllocation(null, 40, members(0), false, equalWeights);
  const totalOf = (allocation: WriteAllocation, name: string) => allocation.members.get(name)!.total;
  assert.ok(
    totalOf(first, 'a') <= allocatableWrites(40) / 2 && totalOf(first, 'b') < allocatableWrites(40) / 2,
  );
  const early = nextAllocation(first, 40, members(0), false, equalWeights);
  assert.ok(totalOf(early, 'a') <= totalOf(first, 'a') + 1e-9);
  const second = nextAllocation(early, 40, members(early.version), false, equalWeights);
  assert.ok(totalOf(second, 'a') > allocatableWrites(40) * 0.6, String(totalOf(second, 'a')));
  // A new leader does not know which allocation members follow until they report it or enough time has passed.
  assert.ok(
    totalOf(nextAllocation(second, 40, members(0), false, equalWeights), 'a') >= totalOf(second, 'a') - 1e-9,
  );
  // A departed member keeps its minimum; the others get the rest once the allocation is settled.
  const departed: MemberStatus[] = [
    members(9)[0],
    { name: 'b', isPresent: false, hasFallenBack: true, demand: null },
  ];
  const third = nextAllocation(second, 40, departed, true, equalWeights);
  assert.ok(Math.abs(totalOf(third, 'b') - minMemberWrites(40, 2)) < 1e-9);
  assert.equal(isWorthWriting(third, nextAllocation(third, 40, departed, true, equalWeights), 40), false);
});

test('allocations: by team, then class, then the receiving controller; small demands are served at once', () => {
  const workload = (team: string, cls: string, jobsPerS: number, weight = 1): WorkloadDemand => ({
    team,
    class: cls,
    weight,
    jobsPerS,
  });
  const members: MemberStatus[] = [
    {
      name: 'a',
      isPresent: true,
      hasFallenBack: false,
      demand: demand(0, 45, 1, [workload('x', 'flood', 20), workload('y', 'flood', 10)]),
    },
    {
      name: 'b',
      isPresent: true,
      hasFallenBack: false,
      demand: demand(0, 12, 1, [workload('y', 'flood', 10), workload('y', 'small', 1)]),
    },
  ];
  const before: WriteAllocation = nextAllocation(null, 20, members, true, equalWeights);
  const { members: shares } = nextAllocation(before, 20, members, true, equalWeights);
  const [a, b] = [shares.get('a')!, shares.get('b')!];
  // Team x gets half of the total, all at controller a; of team y's half, its small class gets its whole demand.
  assert.ok(a.newJobs > b.newJobs * 1.5, `${a.newJobs} ${b.newJobs}`);
  assert.ok(a.workloadRates.get('x flood')! > a.workloadRates.get('y flood')! * 1.7);
  assert.ok(b.workloadRates.get('y small')! >= b.workloadRates.get('y flood')!);
});

test('allocations are stored records: format, size limit of a value, damaged ones', () => {
  const workloads = Array.from({ length: 16 }, (_, i) => ({
    team: 't',
    class: `${'c'.repeat(150)}${i}`,
    weight: 1,
    jobsPerS: i + 1,
  }));
  const members: MemberStatus[] = ['a', 'b', 'c'].map((name) => ({
    name,
    isPresent: true,
    hasFallenBack: false,
    demand: demand(9, 9, 0, workloads),
  }));
  const allocation = nextAllocation(null, 40, members, false, equalWeights);
  const data = allocationData(allocation, 8);
  assert.ok(JSON.stringify(data).length <= 4096);
  assert.deepEqual(inspectRecord('plan', data), { ok: true, format: 1, extras: null });
  assert.equal(readAllocation(data).members.get('b')!.total, allocation.members.get('b')!.total);
  assert.match(JSON.stringify(inspectRecord('plan', { n: 1, p: { a: [1, 2] } })), /damaged.*p\.a/);
  assert.equal(formats.plan.length, 1);
});

test('demand is reported by team and class, bounded; overload reduces admission, writes are not counted twice', () => {
  const estimates = new DemandEstimates(100, 60_000);
  for (let i = 0; i < 10_000; i++) estimates.recordArrival('t', `c${i}`, 1, i);
  for (let i = 0; i < 300; i++) estimates.recordArrival('u', 'one', 1, 10_000 + i * 10);
  const largest = estimates.largest(13_000);
  assert.ok(largest.length <= 16 && largest.some((k) => k.team === 't' && k.class === '*'));
  assert.ok(largest.some((k) => k.team === 'u' && k.jobsPerS > 20));
  const monitor = new OverloadMonitor();
  const load = { writes: 3, requests: 0.2, time: 0.3, sockets: 0.1, memory: 0.4, waiting: 0 };
  for (let i = 0; i < 50; i++) monitor.observe(load);
  assert.deepEqual([monitor.snapshot.admissionFactor, monitor.snapshot.bottleneck], [1, 'writes']);
  for (let i = 0; i < 50; i++) monitor.observe({ ...load, writes: 0.5, memory: 1 });
  assert.ok(monitor.snapshot.admissionFactor < 0.3 && monitor.snapshot.bottleneck === 'memory');
});

const longTimeout = { timeout: 120_000 };

function floodWorld(): { w: World; users: Flood } {
  const w = startFloodWorld();
  assert.equal(levelOf(w).level, newestLevel);
  return { w, users: new Flood(w, floodStreams) };
}

const storedAllocation = (w: World) => w.state.entries.get('dp/plan')!;
const assertServed = (users: Flood, minQuickShare: number): void => {
  for (const name of ['team', 'class']) {
    const results = users.resultsOf(name);
    assert.ok(
      results.acceptedWithin1s >= minQuickShare && results.accepted >= 0.98,
      `${name}: ${JSON.stringify(results)}`,
    );
  }
};

test(
  'a leader that was paused during the flood resumes with an old allocation: it writes none and follows the newest',
  longTimeout,
  () => {
    const { w, users } = floodWorld();
    w.advance(15);
    const pausedLeader = leaderOf(w)!;
    const { version: versionBefore } = pausedLeader.controller.replica.writeAllocation!;
    assert.ok(versionBefore >= 2);
    pausedLeader.paused = true;
    w.advance(20);
    const newLeader = w.nodes.find(
      (n) => n.member === (w.state.entries.get('dp/chief')!.data as { member: string }).member,
    )!;
    assert.notEqual(newLeader, pausedLeader);
    const stamp = storedAllocation(w).stamp;
    const commitsBefore = w.commits.length;
    pausedLeader.paused = false;
    w.advance(0.05);
    // It keeps to its minimum share, and none of its allocations is committed.
    assert.ok(pausedLeader.controller['components'].batcher.writesPerS <= minMemberWrites(30, 3) + 1e-9);
    w.advance(10);
    const allocationCommits = w.commits
      .slice(commitsBefore)
      .filter((c) => c.txn.writes.some((a) => a.key === 'dp/plan'));
    assert.ok(allocationCommits.every((c) => c.member === newLeader.member || c.outcome.type !== 'ok'));
    assert.ok(storedAllocation(w).stamp >= stamp);
    assert.equal(
      pausedLeader.controller.replica.writeAllocation!.version,
      newLeader.controller.replica.writeAllocation!.version,
    );
    w.advance(90);
    assertServed(users, 0.8);
    assert.deepEqual(w.violations, []);
  },
);

test('two allocations in force at once, peers disconnected: few commits are refused', longTimeout, () => {
  const { w, users } = floodWorld();
  w.peersConnected = false;
  const follower = w.nodes.find((n) => n !== leaderOf(w) && n !== ownerOf(w))!;
  const refusedBefore = w.state.rateLimitedCount;
  const commitsBefore = w.commits.length;
  w.schedule(10_000, () => (follower.cutFromState = true));
  w.schedule(14_000, () => (follower.cutFromState = false));
  w.advance(130);
  const refusedShare = (w.state.rateLimitedCount - refusedBefore) / (w.commits.length - commitsBefore);
  assert.ok(refusedShare < 0.02, String(refusedShare));
  assertServed(users, 0.8);
  assert.deepEqual(w.violations, []);
});

test('allocations are written rarely, and hardly ever when nothing changes', longTimeout, () => {
  const { w } = floodWorld();
  const allocationWrites = () =>
    w.commits.filter((c) => c.outcome.type === 'ok' && c.txn.writes.some((a) => a.key === 'dp/plan')).length;
  const before = allocationWrites();
  w.advance(60);
  // At most two per state lease (3.2 s).
  assert.ok(allocationWrites() - before <= 60 / 1.6, String(allocationWrites() - before));
  w.advance(90);
  const beforeQuiet = allocationWrites();
  w.advance(60);
  assert.ok(allocationWrites() - beforeQuiet <= 10, String(allocationWrites() - beforeQuiet));
});

test('clocks that differ by the allowed maximum: shares hold, nobody starves', longTimeout, () => {
  const { w, users } = floodWorld();
  w.nodes.forEach((n, i) => (n.clockRate = 1 + (i - 1) * 0.0005));
  const refusedBefore = w.state.rateLimitedCount;
  const commitsBefore = w.commits.length;
  w.advance(130);
  assert.ok((w.state.rateLimitedCount - refusedBefore) / (w.commits.length - commitsBefore) < 0.02);
  assertServed(users, 0.98);
});

test(
  'the level is lowered and raised during a flood: all divide the budget by peer reports, then follow the allocation again',
  longTimeout,
  () => {
    const { w, users } = floodWorld();
    w.advance(10);
    requestLevel(w, { maxLevel: 2, lower: true });
    assert.ok(w.advanceUntil(() => levelOf(w).level === 2, 20));
    w.advance(5);
    assert.ok(w.nodes.every((n) => n.controller['components'].writeBudget.followedVersion === 0));
    requestLevel(w, {});
    assert.ok(w.advanceUntil(() => levelOf(w).level === newestLevel, 20));
    w.advance(100);
    assert.ok(
      w.nodes.every(
        (n) =>
          n.controller['components'].writeBudget.followedVersion ===
          (storedAllocation(w).data as { n: number }).n,
      ),
    );
    assertServed(users, 0.9);
    assert.deepEqual(w.violations, []);
  },
);

test(
  'an unreadable allocation: each controller falls back to its minimum, and follows the allocation once it is readable',
  longTimeout,
  () => {
    const { w } = floodWorld();
    const { data } = storedAllocation(w);
    w.state.commit({ conditions: [], writes: [{ key: 'dp/plan', data: { v: 9, x: 1 } }] });
    w.advance(2);
    for (const n of w.nodes)
      assert.ok(n.controller['components'].batcher.writesPerS <= minMemberWrites(30, 3) + 1e-9);
    assert.equal((storedAllocation(w).data as { v: number }).v, 9);
    w.state.commit({ conditions: [], writes: [{ key: 'dp/plan', data: data as Record<string, unknown> }] });
    w.advance(4);
    for (const n of w.nodes) assert.ok(n.controller['components'].writeBudget.followedVersion > 0);
  },
);

test('minimum shares: a deficit after a whole window below the minimum, by team, then class, longest waiting first', () => {
  const minimumShares = new MinimumShares(10_000, 0.5);
  const usages = (smallShare: number, isWaiting = true): WorkloadUsage[] => [
    { workload: 'a big', team: 'a', share: 1 - smallShare, waiting: true },
    { workload: 'b small', team: 'b', share: smallShare, waiting: isWaiting },
    { workload: 'b other', team: 'b', share: 0, waiting: false },
  ];
  assert.deepEqual(minimumShares.findDeficits(0, usages(0)), []);
  assert.deepEqual(minimumShares.findDeficits(9000, usages(0)), []);
  // Half of an equal share: a quarter for the team, all of it for its only class that has work.
  assert.deepEqual(minimumShares.findDeficits(10_000, usages(0)), [{ workload: 'b small', deficit: 0.25 }]);
  assert.deepEqual(
    minimumShares.findDeficits(11_000, usages(0.2)).map((o) => Math.round(o.deficit * 100)),
    [5],
  );
  assert.deepEqual(minimumShares.findDeficits(12_000, usages(0.25)), []);
  // None of its work waited in between, so the window starts again.
  minimumShares.findDeficits(20_000, usages(0, false));
  assert.deepEqual(minimumShares.findDeficits(29_000, usages(0)), []);
  const manyUsages = Array.from({ length: 10_000 }, (_, i) => ({
    workload: `c ${i}`,
    team: 'c',
    share: 0,
    waiting: true,
  }));
  const manyWorkloads = new MinimumShares(1000, 0.5);
  manyWorkloads.findDeficits(0, manyUsages);
  assert.equal(manyWorkloads.findDeficits(1000, manyUsages).length, 16);
});

/** A full fleet with twice its capacity of arriving jobs with deadlines; jobs without a deadline are placed after all of them. */
function fullFleet(minimumShare: number, overrides: Partial<JobSpec> = {}) {
  const w = new World(3, { 'idle-boots': 1000, 'floor-share': minimumShare });
  w.capacity = 4;
  w.advance(6);
  const users = new Flood(w, [
    {
      name: 'urgent',
      jobsPerS: 6,
      startMs: 0,
      lengthMs: 150_000,
      job: { team: 'blue', class: 'u', cpus: 1, deadlineS: 900 },
    },
  ]);
  const run = (s: number): void => {
    for (let i = 0; i < s; i++) {
      for (const x of w.workers.values()) x.taskDurationS = 10;
      w.advance(1);
    }
  };
  run(40);
  const submittedAt = w.now;
  w.nodes[0].submit(spec('req-1', { team: 'blue', class: 'low', tasks: 20, ...overrides }));
  return { w, users, run, at: submittedAt };
}
const startsWithoutDeadline = (w: World) => w.starts.filter((s) => s.piece.startsWith('req-1/'));

test(
  'a flood of jobs with deadlines: jobs without get their minimum share in time, not more, and nothing is preempted',
  longTimeout,
  () => {
    const withoutMinimum = fullFleet(0);
    withoutMinimum.run(80);
    assert.equal(startsWithoutDeadline(withoutMinimum.w).length, 0);
    const { w, run, at } = fullFleet(0.25);
    const maxWaitS = maxStarvationS({
      windowS: 32,
      maxTaskRunS: 10,
      machineStartS: 11,
      schedulingCycleS: 1,
      heartbeatIntervalS: 2,
    });
    run(Math.ceil(maxWaitS));
    assert.ok(
      startsWithoutDeadline(w).length > 0 && (startsWithoutDeadline(w)[0].at - at) / 1000 <= maxWaitS,
    );
    // An eighth of 32 CPUs: a quarter of an equal share, with two classes of one team.
    let maxRunning = 0;
    for (let i = 0; i < 40; i++) {
      run(1);
      maxRunning = Math.max(maxRunning, w.running('req-1').length);
    }
    assert.ok(maxRunning >= 3 && maxRunning <= 4, String(maxRunning));
    assert.equal(
      w.nodes
        .flatMap((n) => n.logLines)
        .filter((l) => l[1] === 'preempting' || l[1] === 'voluntary preemption').length,
      0,
    );
    assert.deepEqual(w.violations, []);
  },
);

test(
  'a gang below its minimum share gets machines that are drained for it, although single tasks are ahead',
  longTimeout,
  () => {
    const { w, run } = fullFleet(0.25, { shape: 'gang', tasks: 2, cpus: 8 });
    w.gangs.set('req-1', 2);
    run(80);
    assert.equal(new Set(startsWithoutDeadline(w).map((s) => s.piece)).size, 2);
    assert.deepEqual(w.violations, []);
  },
);
