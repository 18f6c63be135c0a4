/** The write budget's allocation between controllers, teams and classes. */
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
import { formats, inspect } from '../src/formats/index.js';
import { Flood, flooding, floodable } from './support/flood.js';
import { leaderOf, levelOf, ownerOf, wish } from './support/rolls.js';
import type { JobSpec } from '../src/model/job.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const demand = (tasks: number, users: number, follows = 0, kinds: WorkloadDemand[] = []): MemberDemand => ({
  acceptedWork: tasks,
  newJobs: users,
  backlogS: 0,
  workloads: kinds,
  allocationVersion: follows,
});
const alike = (): number => 1;
const rate = fc.double({ min: 0, max: 80, noNaN: true });

test('allocations: whichever plan each follows, all of them together never write more than the whole', () => {
  // Each step: what each wants, who has caught up with the newest plan, who has told the leader so, who is gone, time passes.
  const step = fc.record({
    wants: fc.array(fc.tuple(rate, rate), { minLength: 4, maxLength: 4 }),
    catches: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    tells: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    here: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    fallen: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
    settled: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 4 }),
      fc.integer({ min: 10, max: 150 }),
      fc.array(step),
      (n, writes, steps) => {
        const names = ['a', 'b', 'c', 'd'].slice(0, n);
        let plan: WriteAllocation | null = null;
        const plans = new Map<number, WriteAllocation>();
        /** The plan that each follows (0: none yet, an equal share; -1: its view is old, its floor), and has told of. */
        const follows = names.map(() => 0);
        const told = names.map(() => 0);
        for (const s of steps) {
          names.forEach((_, i) => {
            if (plan && s.catches[i]) follows[i] = plan.version;
            if (s.tells[i]) told[i] = Math.max(told[i], follows[i]);
            // Older than views may be: whoever does not follow the last one has fallen back.
            if (plan && s.settled && follows[i] < plan.version) follows[i] = -1;
            if (plan && !s.here[i] && s.fallen[i]) follows[i] = -1;
          });
          const members = names.map((name, i): MemberStatus => ({
            name,
            isPresent: s.here[i],
            hasFallenBack: !s.here[i] && s.fallen[i],
            demand: s.here[i] ? demand(s.wants[i][0], s.wants[i][1], told[i]) : null,
          }));
          plan = nextAllocation(plan, writes, members, s.settled, alike);
          plans.set(plan.version, plan);
          const used = names.map((name, i) => {
            if (follows[i] === 0) return fallbackWrites(writes, n, false).total;
            if (follows[i] < 0) return fallbackWrites(writes, n, true).total;
            return plans.get(follows[i])!.members.get(name)!.total;
          });
          const sum = used.reduce((x, y) => x + y, 0);
          assert.ok(
            sum <= allocatableWrites(writes) + 1e-6,
            `${used.join(' + ')} of ${allocatableWrites(writes)}`,
          );
          for (const p of plan.members.values()) {
            assert.ok(
              p.total >= minMemberWrites(writes, n) - 1e-9 &&
                p.newJobs <= p.total + 1e-9 &&
                p.total <= p.maxInUse + 1e-9,
            );
          }
        }
      },
    ),
    { numRuns: 400 },
  );
});

test('allocations: what is taken from one is given to another only when the first follows', () => {
  const members = (follows: number): MemberStatus[] => [
    { name: 'a', isPresent: true, hasFallenBack: false, demand: demand(40, 5, follows) },
    { name: 'b', isPresent: true, hasFallenBack: false, demand: demand(0, 2, follows) },
  ];
  const first = nextAllocation(null, 40, members(0), false, alike);
  const of = (p: WriteAllocation, name: string) => p.members.get(name)!.total;
  assert.ok(of(first, 'a') <= allocatableWrites(40) / 2 && of(first, 'b') < allocatableWrites(40) / 2);
  const early = nextAllocation(first, 40, members(0), false, alike);
  assert.ok(of(early, 'a') <= of(first, 'a') + 1e-9);
  const second = nextAllocation(early, 40, members(early.version), false, alike);
  assert.ok(of(second, 'a') > allocatableWrites(40) * 0.6, String(of(second, 'a')));
  // Another leader knows of nobody what it follows, until it is told or time has passed.
  assert.ok(of(nextAllocation(second, 40, members(0), false, alike), 'a') >= of(second, 'a') - 1e-9);
  // Who is gone keeps its floor, the others get the rest once it is settled.
  const gone: MemberStatus[] = [
    members(9)[0],
    { name: 'b', isPresent: false, hasFallenBack: true, demand: null },
  ];
  const third = nextAllocation(second, 40, gone, true, alike);
  assert.ok(Math.abs(of(third, 'b') - minMemberWrites(40, 2)) < 1e-9);
  assert.equal(isWorthWriting(third, nextAllocation(third, 40, gone, true, alike), 40), false);
});

test('allocations: team first, then class, and those to whom their users come; who wants little takes its turn at once', () => {
  const kind = (team: string, cls: string, want: number, weight = 1): WorkloadDemand => ({
    team,
    class: cls,
    weight,
    jobsPerS: want,
  });
  const members: MemberStatus[] = [
    {
      name: 'a',
      isPresent: true,
      hasFallenBack: false,
      demand: demand(0, 45, 1, [kind('x', 'flood', 20), kind('y', 'flood', 10)]),
    },
    {
      name: 'b',
      isPresent: true,
      hasFallenBack: false,
      demand: demand(0, 12, 1, [kind('y', 'flood', 10), kind('y', 'small', 1)]),
    },
  ];
  const before: WriteAllocation = nextAllocation(null, 20, members, true, alike);
  const { members: parts } = nextAllocation(before, 20, members, true, alike);
  const [a, b] = [parts.get('a')!, parts.get('b')!];
  // Half of all for x, which comes to a alone; of y's half its small class gets all it wants.
  assert.ok(a.newJobs > b.newJobs * 1.5, `${a.newJobs} ${b.newJobs}`);
  assert.ok(a.workloadRates.get('x flood')! > a.workloadRates.get('y flood')! * 1.7);
  assert.ok(b.workloadRates.get('y small')! >= b.workloadRates.get('y flood')!);
});

test('allocations are records like others: their format, what fits into a value, damaged ones', () => {
  const kinds = Array.from({ length: 16 }, (_, i) => ({
    team: 't',
    class: `${'c'.repeat(150)}${i}`,
    weight: 1,
    jobsPerS: i + 1,
  }));
  const members: MemberStatus[] = ['a', 'b', 'c'].map((name) => ({
    name,
    isPresent: true,
    hasFallenBack: false,
    demand: demand(9, 9, 0, kinds),
  }));
  const plan = nextAllocation(null, 40, members, false, alike);
  const data = allocationData(plan, 8);
  assert.ok(JSON.stringify(data).length <= 4096);
  assert.deepEqual(inspect('plan', data), { ok: true, format: 1, extras: null });
  assert.equal(readAllocation(data).members.get('b')!.total, plan.members.get('b')!.total);
  assert.match(JSON.stringify(inspect('plan', { n: 1, p: { a: [1, 2] } })), /damaged.*p\.a/);
  assert.equal(formats.plan.length, 1);
});

test('what users wish is told by team and class, bounded; pressure slows the taking in, writes do not count twice', () => {
  const w = new DemandEstimates(100, 60_000);
  for (let i = 0; i < 10_000; i++) w.recordArrival('t', `c${i}`, 1, i);
  for (let i = 0; i < 300; i++) w.recordArrival('u', 'one', 1, 10_000 + i * 10);
  const list = w.largest(13_000);
  assert.ok(list.length <= 16 && list.some((k) => k.team === 't' && k.class === '*'));
  assert.ok(list.some((k) => k.team === 'u' && k.jobsPerS > 20));
  const p = new OverloadMonitor();
  const load = { writes: 3, requests: 0.2, time: 0.3, sockets: 0.1, memory: 0.4, waiting: 0 };
  for (let i = 0; i < 50; i++) p.observe(load);
  assert.deepEqual([p.snapshot.admissionFactor, p.snapshot.bottleneck], [1, 'writes']);
  for (let i = 0; i < 50; i++) p.observe({ ...load, writes: 0.5, memory: 1 });
  assert.ok(p.snapshot.admissionFactor < 0.3 && p.snapshot.bottleneck === 'memory');
});

const tired = { timeout: 120_000 };

function floodWorld(): { w: World; users: Flood } {
  const w = floodable();
  assert.equal(levelOf(w).level, newestLevel);
  return { w, users: new Flood(w, flooding) };
}

const planOf = (w: World) => w.state.entries.get('dp/plan')!;
const served = (users: Flood, quick: number): void => {
  for (const name of ['team', 'class']) {
    const f = users.of(name);
    assert.ok(f.quick >= quick && f.accepted >= 0.98, `${name}: ${JSON.stringify(f)}`);
  }
};

test(
  'a leader that stood still in the flood comes back with an old plan: it writes none, and follows the newest',
  tired,
  () => {
    const { w, users } = floodWorld();
    w.advance(15);
    const old = leaderOf(w)!;
    const { version: number } = old.controller.replica.writeAllocation!;
    assert.ok(number >= 2);
    old.paused = true;
    w.advance(20);
    const by = w.nodes.find(
      (n) => n.member === (w.state.entries.get('dp/chief')!.data as { member: string }).member,
    )!;
    assert.notEqual(by, old);
    const stamp = planOf(w).stamp;
    const mark = w.commits.length;
    old.paused = false;
    w.advance(0.05);
    // It acts on what it had: within its floor, and no plan of it gets through.
    assert.ok(old.controller['components'].batcher.writesPerS <= minMemberWrites(30, 3) + 1e-9);
    w.advance(10);
    const plans = w.commits.slice(mark).filter((c) => c.txn.writes.some((a) => a.key === 'dp/plan'));
    assert.ok(plans.every((c) => c.member === by.member || c.outcome.type !== 'ok'));
    assert.ok(planOf(w).stamp >= stamp);
    assert.equal(
      old.controller.replica.writeAllocation!.version,
      by.controller.replica.writeAllocation!.version,
    );
    w.advance(90);
    served(users, 0.8);
    assert.deepEqual(w.violations, []);
  },
);

test(
  'two plans in force at once, users at one controller, no talk between them: few commits are refused',
  tired,
  () => {
    const { w, users } = floodWorld();
    w.peersConnected = false;
    const follower = w.nodes.find((n) => n !== leaderOf(w) && n !== ownerOf(w))!;
    const refused = w.state.rateLimitedCount;
    const commits = w.commits.length;
    w.schedule(10_000, () => (follower.cutFromState = true));
    w.schedule(14_000, () => (follower.cutFromState = false));
    w.advance(130);
    const share = (w.state.rateLimitedCount - refused) / (w.commits.length - commits);
    assert.ok(share < 0.02, String(share));
    served(users, 0.8);
    assert.deepEqual(w.violations, []);
  },
);

test('plans are written seldom, and hardly at all when nothing changes', tired, () => {
  const { w } = floodWorld();
  const written = () =>
    w.commits.filter((c) => c.outcome.type === 'ok' && c.txn.writes.some((a) => a.key === 'dp/plan')).length;
  const before = written();
  w.advance(60);
  // Two a state lease (3.2 s) at most.
  assert.ok(written() - before <= 60 / 1.6, String(written() - before));
  w.advance(90);
  const quiet = written();
  w.advance(60);
  assert.ok(written() - quiet <= 10, String(written() - quiet));
});

test('clocks apart by the most that they may be: parts hold, nobody starves', tired, () => {
  const { w, users } = floodWorld();
  w.nodes.forEach((n, i) => (n.clockRate = 1 + (i - 1) * 0.0005));
  const refused = w.state.rateLimitedCount;
  const commits = w.commits.length;
  w.advance(130);
  assert.ok((w.state.rateLimitedCount - refused) / (w.commits.length - commits) < 0.02);
  served(users, 0.98);
});

test(
  'the level is lowered and raised in the flood: without the plan all go by pulses, then by it again',
  tired,
  () => {
    const { w, users } = floodWorld();
    w.advance(10);
    wish(w, { maxLevel: 2, lower: true });
    assert.ok(w.advanceUntil(() => levelOf(w).level === 2, 20));
    w.advance(5);
    assert.ok(w.nodes.every((n) => n.controller['components'].writeBudget.followedVersion === 0));
    wish(w, {});
    assert.ok(w.advanceUntil(() => levelOf(w).level === newestLevel, 20));
    w.advance(100);
    assert.ok(
      w.nodes.every(
        (n) => n.controller['components'].writeBudget.followedVersion === (planOf(w).data as { n: number }).n,
      ),
    );
    served(users, 0.9);
    assert.deepEqual(w.violations, []);
  },
);

test(
  'a plan that cannot be read: each falls back to its floor, serving goes on, and it is followed when it can be',
  tired,
  () => {
    const { w } = floodWorld();
    const { data } = planOf(w);
    w.state.commit({ conditions: [], writes: [{ key: 'dp/plan', data: { v: 9, x: 1 } }] });
    w.advance(2);
    for (const n of w.nodes)
      assert.ok(n.controller['components'].batcher.writesPerS <= minMemberWrites(30, 3) + 1e-9);
    assert.equal((planOf(w).data as { v: number }).v, 9);
    w.state.commit({ conditions: [], writes: [{ key: 'dp/plan', data: data as Record<string, unknown> }] });
    w.advance(4);
    for (const n of w.nodes) assert.ok(n.controller['components'].writeBudget.followedVersion > 0);
  },
);

test('minimum shares: a deficit after a whole window with less, up to the floor, by team and then by class, those that waited longest first', () => {
  const f = new MinimumShares(10_000, 0.5);
  const uses = (small: number, waits = true): WorkloadUsage[] => [
    { workload: 'a big', team: 'a', share: 1 - small, waiting: true },
    { workload: 'b small', team: 'b', share: small, waiting: waits },
    { workload: 'b other', team: 'b', share: 0, waiting: false },
  ];
  assert.deepEqual(f.findDeficits(0, uses(0)), []);
  assert.deepEqual(f.findDeficits(9000, uses(0)), []);
  // Half of an equal part: a quarter for the team, all of it for its only class that has work.
  assert.deepEqual(f.findDeficits(10_000, uses(0)), [{ workload: 'b small', deficit: 0.25 }]);
  assert.deepEqual(
    f.findDeficits(11_000, uses(0.2)).map((o) => Math.round(o.deficit * 100)),
    [5],
  );
  assert.deepEqual(f.findDeficits(12_000, uses(0.25)), []);
  // It had nothing waiting meanwhile: a window begins anew.
  f.findDeficits(20_000, uses(0, false));
  assert.deepEqual(f.findDeficits(29_000, uses(0)), []);
  const many = Array.from({ length: 10_000 }, (_, i) => ({
    workload: `c ${i}`,
    team: 'c',
    share: 0,
    waiting: true,
  }));
  const g = new MinimumShares(1000, 0.5);
  g.findDeficits(0, many);
  assert.equal(g.findDeficits(1000, many).length, 16);
});

/** The fleet is full, and work with deadlines for twice of it goes on coming; what nobody waits for goes behind all of it. */
function crowdedFleet(floorShare: number, over: Partial<JobSpec> = {}) {
  const w = new World(3, { 'idle-boots': 1000, 'floor-share': floorShare });
  w.capacity = 4;
  w.advance(6);
  const users = new Flood(w, [
    {
      name: 'urgent',
      perS: 6,
      fromMs: 0,
      forMs: 150_000,
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
  const at = w.now;
  w.nodes[0].submit(spec('req-1', { team: 'blue', class: 'low', tasks: 20, ...over }));
  return { w, users, run, at };
}
const lowStarts = (w: World) => w.starts.filter((s) => s.piece.startsWith('req-1/'));

test(
  'a flood of work with deadlines: work without gets its floor within the stated time, no more, and nothing is stopped for it',
  tired,
  () => {
    const none = crowdedFleet(0);
    none.run(80);
    assert.equal(lowStarts(none.w).length, 0);
    const { w, run, at } = crowdedFleet(0.25);
    const bound = maxStarvationS({
      windowS: 32,
      maxTaskRunS: 10,
      machineStartS: 11,
      schedulingCycleS: 1,
      heartbeatIntervalS: 2,
    });
    run(Math.ceil(bound));
    assert.ok(lowStarts(w).length > 0 && (lowStarts(w)[0].at - at) / 1000 <= bound);
    // An eighth of 32 CPUs: two classes of one team, a quarter of an equal part.
    let most = 0;
    for (let i = 0; i < 40; i++) {
      run(1);
      most = Math.max(most, w.running('req-1').length);
    }
    assert.ok(most >= 3 && most <= 4, String(most));
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
  'a gang with less than its floor gets machines that run empty for it, in spite of single tasks that go first',
  tired,
  () => {
    const { w, run } = crowdedFleet(0.25, { shape: 'gang', tasks: 2, cpus: 8 });
    w.gangs.set('req-1', 2);
    run(80);
    assert.equal(new Set(lowStarts(w).map((s) => s.piece)).size, 2);
    assert.deepEqual(w.violations, []);
  },
);
