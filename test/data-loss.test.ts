/** Loss of data in the state service: noticing it, and bringing the state back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  attemptBase,
  comparePage,
  incarnationOf,
  mergeRecords,
  tokenBase,
  DataLossDetector,
} from '../src/data-loss/index.js';
import {
  chunkData,
  cancelledJobDataOf,
  openJobData,
  doneJobData,
  inlineJobData,
  BitSet,
  machineData,
} from '../src/core/storage/index.js';
import { ownerOf } from './support/rolls.js';
import { Traffic } from './support/traffic.js';
import { type Node } from './support/controller-node.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

test('ranges: tokens and attempts of an incarnation are above all from before, and exact', () => {
  assert.equal(tokenBase(1), 0);
  assert.ok(tokenBase(2) > 2 ** 35 && attemptBase(2) > 10 ** 6);
  assert.ok(Number.isSafeInteger(tokenBase(2 ** 17) + 2 ** 36 - 1));
  assert.deepEqual(
    [incarnationOf(5), incarnationOf(tokenBase(3)), incarnationOf(tokenBase(3) + 9)],
    [1, 3, 3],
  );
});

test('a loss is told from a lagging answer, a lease that ended and a legal deletion', () => {
  const w = new DataLossDetector();
  w.revisionReached(10, 100);
  w.revisionReached(20, 200);
  // Sent before 20 was known: an answer that lags.
  assert.equal(w.revisionRead(150, 15), null);
  assert.equal(w.revisionRead(200, 12), null);
  assert.match(w.revisionRead(201, 19)!, /revision 19 after 20/);
  // What failed is explained by a change that came, and not by none.
  w.conditionFailed('dp/a', 7, 30);
  assert.equal(
    w.checkFailedConditions(29, () => 7),
    null,
  );
  assert.equal(
    w.checkFailedConditions(30, () => 28),
    null,
  );
  w.conditionFailed('dp/a', 7, 30);
  assert.match(
    w.checkFailedConditions(31, () => 7)!,
    /dp\/a is not at 7/,
  );
  // A token of a revision that is still to be seen, and one of a revision that never comes.
  assert.equal(w.tokenReported(25, 1, 300), null);
  assert.equal(w.revisionRead(290, 22), null);
  assert.match(w.revisionRead(301, 24)!, /worker has seen revision 25/);
  assert.match(w.tokenReported(tokenBase(4) + 1, 2, 300)!, /later incarnation/);
  const mine = [
    { key: 'dp/a', stamp: 3 },
    { key: 'dp/b', stamp: 9 },
    { key: 'dp/c', stamp: 30 },
    { key: 'dp/d', stamp: 4 },
  ];
  const page = (items: typeof mine, to: string | null = 'dp/c') => ({ items, from: '', to, revision: 10 });
  assert.equal(comparePage(page([mine[0], mine[1]]), mine), null);
  assert.match(comparePage(page([mine[1]]), mine)!, /dp\/a is gone/);
  assert.match(comparePage(page([mine[0], { key: 'dp/b', stamp: 8 }]), mine)!, /dp\/b is at 8 after 9/);
  assert.match(comparePage(page([mine[0], mine[1]], null), mine)!, /dp\/d is gone/);
});

test('what several know of a record is put together so that no rule can be broken', () => {
  const job = spec('req-1', { tasks: 3 });
  const tasks = (last: number, done: number[], placed: [number, number, string][]) => {
    const bits = new BitSet();
    done.forEach((i) => bits.add(i));
    const p = placed.map(([index, attempt, host]) => ({ index, attempt, host }));
    return chunkData({ lastAttempt: last, done: bits, placements: p, failedHosts: [] });
  };
  const open = openJobData(job, 5);
  const done = doneJobData(5, 3);
  const cancelled = cancelledJobDataOf(5, job);
  assert.deepEqual(
    [mergeRecords('job', undefined, open), mergeRecords('job', open, done), mergeRecords('job', done, open)],
    [open, done, done],
  );
  assert.deepEqual(
    [mergeRecords('job', cancelled, open), mergeRecords('job', open, cancelled)],
    [cancelled, cancelled],
  );
  // A cancelled job goes on telling what may run of it.
  const whole = inlineJobData(job, 5, tasks(2, [0], [[1, 2, 'm1']]));
  assert.deepEqual(mergeRecords('job', whole, cancelled)['t'], whole['t']);
  assert.equal(mergeRecords('job', whole, cancelled)['s'], 'cancelled');
  const both = mergeRecords('job', open, whole);
  assert.deepEqual([both['v'], both['t'], both['spec']], [2, whole['t'], undefined]);
  // Of two places of a task the later attempt counts, none of a task that is done, and numbers go on.
  const c = mergeRecords(
    'chunk',
    tasks(
      3,
      [],
      [
        [0, 1, 'm1'],
        [1, 3, 'm2'],
      ],
    ),
    tasks(
      4,
      [2],
      [
        [1, 2, 'm3'],
        [2, 4, 'm4'],
      ],
    ),
  );
  assert.deepEqual(
    c,
    tasks(
      4,
      [2],
      [
        [0, 1, 'm1'],
        [1, 3, 'm2'],
      ],
    ),
  );
  const machine = { host: 'm', type: 'box', zone: 'north', spot: false, shard: 0, since: 1 };
  const dead = machineData({ ...machine, state: 'dead' });
  assert.deepEqual(mergeRecords('machine', machineData({ ...machine, state: 'use' }), dead), dead);
});

type Kept = ReturnType<World['state']['snapshot']>;

/** How the state comes back, from a copy of what it was some time ago. */
const losses: Record<string, (w: World, ago: Kept) => void> = {
  wiped: (w) => w.state.loseData([], 1),
  'wiped, at a higher revision': (w) => w.state.loseData([], w.state.epoch + 1000),
  'an older copy': (w, ago) => w.state.loseData(ago.keys, ago.epoch),
  'an older copy, at a higher revision': (w, ago) => w.state.loseData(ago.keys, w.state.epoch + 500),
  'every second record gone': (w) =>
    w.state.loseData(
      [...w.state.entries].filter((_, i) => i % 2 === 0),
      w.state.epoch,
    ),
};
for (const kind of ['node', 'shard', 'teams', 'kinds', 'b', 'm', 'j', 't', 'level', 'inc'])
  losses[`all records of ${kind} gone`] = (w) =>
    w.state.loseData(
      [...w.state.entries].filter(([key]) => key.split('/')[1] !== kind),
      w.state.epoch,
    );

/** Who is started anew while the service is away. */
const restarts: Record<string, (w: World) => Node[]> = {
  nobody: () => [],
  'the owner': (w) => [ownerOf(w)!],
  'all but one': (w) => w.nodes.filter((n) => n !== ownerOf(w)),
};

function served(seed: number): { w: World; users: Traffic } {
  const w = new World(3, {}, seed);
  w.capacity = 30;
  w.advance(6);
  const users = new Traffic(w, 900, (n) =>
    n % 5 === 0 ? { tasks: 3, shape: 'gang', cpus: 2 } : n % 4 === 0 ? { tasks: 18 } : { tasks: 2 },
  );
  w.advance(25);
  return { w, users };
}

/** The service is away, comes back with less, and everybody has to get their answer all the same. */
function loses(
  w: World,
  users: Traffic,
  lose: (w: World, ago: Kept) => void,
  who: (w: World) => Node[],
  agoS = 4,
  lost = /^nothing$/,
): void {
  const broken = (): string[] => w.violations.filter((b) => !lost.test(b));
  const ago = w.state.snapshot();
  w.advance(agoS);
  const restarted = who(w);
  w.state.unavailable = true;
  for (const n of restarted) n.alive = false;
  w.advance(3);
  lose(w, ago);
  w.state.unavailable = false;
  for (const n of restarted) n.boot();
  w.advance(60);
  assert.deepEqual(broken(), []);
  users.stop();
  const over = w.advanceUntil(() => users.over, 300);
  assert.deepEqual(broken(), []);
  const open = [...users.jobs.keys()].filter((id) => !['done', 'aborted'].includes(users.told.get(id) ?? ''));
  assert.ok(over, `not over: ${open.map((id) => `${id} ${users.told.get(id)}`).join(', ')}`);
}

// Guards against taking a machine without a record for one that was given back: the record was lost, and nobody had noticed yet.
test('rebuild: a machine whose record is gone still holds its tasks, whoever takes them up', () => {
  for (let seed = 10; seed < 22; seed++) {
    const { w, users } = served(seed);
    loses(w, users, losses['all records of b gone'], restarts['the owner']);
  }
});

for (const [what, lose] of Object.entries(losses))
  for (const [who, restart] of Object.entries(restarts))
    test(`rebuild: ${what}; ${who} started anew`, () => {
      const { w, users } = served(3);
      loses(w, users, lose, restart);
    });

test('rebuild: two losses, the second in mid-rebuild; the one that rebuilds is killed', () => {
  const { w, users } = served(5);
  w.schedule(9000, () =>
    w.state.loseData(
      [...w.state.entries].filter((_, i) => i % 3 > 0),
      w.state.epoch,
    ),
  );
  w.schedule(12_000, () => {
    const by = [...w.state.entries.values()].find((k) => k.key.startsWith('dp/inc/'))?.data as
      { by: string } | undefined;
    const n = w.nodes.find((x) => x.member === by?.by);
    if (!n) return;
    n.alive = false;
    w.schedule(5000, () => n.boot());
  });
  loses(w, users, losses['wiped'], restarts['nobody']);
});

test('rebuild: a controller that stood still with the old memory wakes after a minute, and late transactions come', () => {
  const { w, users } = served(6);
  const still = w.nodes.find((n) => n !== ownerOf(w))!;
  still.holdsCommits = true;
  w.advance(2);
  still.paused = true;
  loses(
    w,
    users,
    (x, ago) => {
      losses['an older copy'](x, ago);
      x.schedule(20_000, () =>
        x.heldCommits.forEach((txn) => assert.notEqual(x.state.commit(txn).type, 'ok')),
      );
      x.schedule(55_000, () => {
        still.holdsCommits = false;
        still.paused = false;
      });
    },
    restarts['nobody'],
  );
});

test('rebuild: everything is gone, and workers have seen tokens from before: they are led again', () => {
  const { w, users } = served(7);
  users.stop();
  // Much has happened: revisions, and tokens with them, are high.
  w.state.epoch += 5000;
  const n1 = ownerOf(w)!;
  n1.alive = false;
  w.advance(5);
  n1.boot();
  w.advance(15);
  const before = Math.max(...[...w.workers.values()].map((x) => x.token));
  loses(
    w,
    new Traffic(w, 1e9),
    (x) => losses['wiped'](x, x.state.snapshot()),
    (x) => x.nodes,
    4,
    /^forgotten/,
  );
  // What nobody knows any more gets 404 after the stated time; nothing else is broken.
  const n = w.nodes[0];
  assert.equal(n.submit(spec('req-7', { team: 'blue' }))?.status, 201);
  assert.ok(w.advanceUntil(() => n.controller.replica.jobs.get('req-7')?.state === 'done', 120));
  assert.ok([...w.workers.values()].some((x) => x.token > before + 2 ** 30));
});

test('no loss, no doubt: outages, cuts, leases that end, lost answers and restarts are none', () => {
  const { w, users } = served(8);
  w.state.dropsResponseTo = (txn) => txn.writes.length % 5 === 0;
  w.schedule(5000, () => (w.state.unavailable = true));
  w.schedule(25_000, () => (w.state.unavailable = false));
  w.schedule(40_000, () => (w.nodes[0].cutFromState = true));
  w.schedule(55_000, () => (w.nodes[0].cutFromState = false));
  w.schedule(60_000, () => (w.nodes[1].paused = true));
  w.schedule(72_000, () => (w.nodes[1].paused = false));
  w.schedule(80_000, () => {
    w.nodes[2].alive = false;
    w.schedule(3000, () => w.nodes[2].boot());
  });
  w.advance(110);
  w.state.dropsResponseTo = () => false;
  users.stop();
  assert.ok(w.advanceUntil(() => users.over, 200));
  assert.deepEqual(w.violations, []);
  assert.deepEqual(
    w.nodes.map((n) => n.recoveryRestarts),
    [0, 0, 0],
  );
});

test('a worker that makes its token up raises no doubt: no incarnation could go above it', () => {
  const w = new World(3);
  w.advance(6);
  w.nodes[0].submit(spec('req-1', { team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length > 0, 60));
  for (const x of w.workers.values()) x.token = 2 ** 53 - 1;
  w.advance(30);
  assert.deepEqual(
    w.nodes.map((n) => n.recoveryRestarts),
    [0, 0, 0],
  );
});
