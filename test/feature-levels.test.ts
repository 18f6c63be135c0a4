import assert from 'node:assert/strict';
import { test } from 'node:test';
import { common, inspect, type Format, type Formats, formats } from '../src/formats/index.js';
import {
  abilityOf,
  decide,
  firstLevel,
  Leaving,
  Levels,
  newestLevel,
  noWish,
  Sweep,
  unaware,
  type Ability,
  type Standing,
} from '../src/feature-levels/index.js';
import { openJobData, inlineJobData } from '../src/core/storage/index.js';
import { spec } from './support/world.js';

const can = (most: number): Ability => ({ program: `p${most}`, least: 1, most, features: [], formats: {} });
const standing = (over: Partial<Standing>): Standing => ({
  state: firstLevel,
  newest: 2,
  configured: ['a', 'b', 'c'],
  seen: new Map(),
  witnessed: new Map(),
  wish: noWish,
  newer: 0,
  stuck: [],
  ...over,
});
const all = (most: number) => new Map(['a', 'b', 'c'].map((m) => [m, can(most)]));

test('formats: what is known is read, what is not survives, what is newer, damaged or too old is not acted on', () => {
  const job = openJobData(spec('req-1'), 5);
  assert.deepEqual(inspect('job', job), { ok: true, format: 1, extras: null });
  assert.deepEqual(inspect('job', { ...job, w: 'x', more: [1] }), {
    ok: true,
    format: 1,
    extras: { more: [1] },
  });
  const whole = inlineJobData(spec('req-1'), 5, { n: 1, d: '', p: [[0, 1, 'n-1']] });
  assert.deepEqual(inspect('job', whole), { ok: true, format: 2, extras: null });
  const why = (kind: Parameters<typeof inspect>[0], data: unknown): string => {
    const v = inspect(kind, data);
    return v.ok ? 'ok' : `${v.why}: ${v.text}`;
  };
  assert.equal(why('job', { ...job, v: 3 }), 'newer: format 3, this program reads up to 2');
  assert.equal(
    why('job', { ...job, spec: { ...spec('req-1'), tasks: 'many' } }),
    'damaged: spec.tasks: not a count',
  );
  assert.equal(
    why('job', { ...whole, t: { n: 1, d: '', p: [[0]] } }),
    'damaged: p: not a list of index, attempt and machine',
  );
  for (const bad of [null, 5, 'text', [], { v: 0 }, { v: 'two' }, { s: 'lost', at: 1 }])
    assert.match(why('job', bad), /^damaged/, JSON.stringify(bad));
  assert.match(why('teams', { shards: 'x' }), /^damaged: shards/);
  assert.match(why('node', { run: 'r', hold: 1, can: { most: 2 } }), /^damaged: can/);
  // A program reads its own format and the two before it, and says of one that it has dropped that it has.
  const format = (...names: string[]): Format => ({ fields: new Set(['v', ...names]), wrong: () => null });
  const four: Formats = { ...formats, teams: [null, format('b'), format('b', 'c'), format('d')] };
  assert.deepEqual(
    [1, 2, 3, 4, 5].map((v) => inspect('teams', { v }, four)).map((v) => (v.ok ? v.format : v.why)),
    ['too old', 2, 3, 4, 'newer'],
  );
});

test('messages: the newest format that both read, or none', () => {
  assert.equal(common({ least: 1, most: 1 }), 1);
  assert.equal(common({ least: 1, most: 9 }), 1);
  assert.equal(common({ least: 2, most: 9 }), null);
  assert.equal(common({ least: 2, most: 4 }, { least: 3, most: 5 }), 4);
});

test('the level rises only when every configured member was last seen with it, here or not', () => {
  assert.equal(decide(standing({ witnessed: all(2) })).do, 'raise');
  // Down or cut off just now, but last seen with it.
  const two = new Map([...all(2)].slice(0, 2));
  assert.equal(decide(standing({ seen: all(2), witnessed: two })).do, 'raise');
  // Never seen, or last seen without.
  assert.deepEqual(decide(standing({ seen: two, witnessed: two })), {
    do: 'stay',
    why: 'waits for c (never seen)',
  });
  const old = new Map([...two, ['c', unaware]]);
  assert.deepEqual(decide(standing({ seen: old, witnessed: old })), {
    do: 'stay',
    why: 'waits for c (before levels)',
  });
  // One that comes back older counts as it is now.
  assert.equal(decide(standing({ seen: all(2), witnessed: old })).do, 'note');
  // Two old versions at once; and one step at a time.
  const mixed = new Map([
    ['a', can(3)],
    ['b', can(2)],
    ['c', can(1)],
  ]);
  assert.equal(decide(standing({ newest: 3, seen: mixed, witnessed: mixed })).do, 'stay');
  const up = decide(standing({ newest: 3, witnessed: all(3) }));
  assert.ok(up.do === 'raise' && up.to === 2);
  const state = { level: 2, write: 2, stamp: 9 };
  assert.equal(decide(standing({ state, newest: 3, seen: mixed, witnessed: mixed })).do, 'stay');
});

test('operators hold a level, name who is gone, and lower it again unless something needs it', () => {
  const wish = (over: object) => ({ ...noWish, stamp: 4, ...over });
  assert.deepEqual(decide(standing({ seen: all(2), witnessed: all(2), wish: wish({ most: 1 }) })), {
    do: 'stay',
    why: 'held at 1 by operators',
  });
  const two = new Map([...all(2)].slice(0, 2));
  assert.equal(decide(standing({ seen: two, witnessed: two, wish: wish({ gone: ['c'] }) })).do, 'raise');
  const state = { level: 2, write: 2, stamp: 9 };
  const seen = all(2);
  const lower = wish({ most: 1, lower: true });
  // Held below what is in force, without being asked to go back: it stays.
  assert.equal(decide(standing({ state, seen, wish: wish({ most: 1 }) })).do, 'stay');
  assert.deepEqual(decide(standing({ state, seen, wish: lower })), { do: 'begin lowering', to: 1 });
  const refused = decide(standing({ state, seen, wish: lower, stuck: ['dp/j/req-1'] }));
  assert.ok(refused.do === 'refuse' && /dp\/j\/req-1; start the newest program/.test(refused.text));
  const lowering = { level: 2, write: 1, stamp: 10 };
  assert.equal(decide(standing({ state: lowering, seen, wish: lower, newer: 3 })).do, 'stay');
  assert.deepEqual(decide(standing({ state: lowering, seen, wish: lower })), { do: 'lower', to: 1 });
  // They change their mind.
  assert.deepEqual(decide(standing({ state: lowering, seen, newer: 3 })), { do: 'raise', to: 2, seen });
});

test('features: one place tells what is in force; who is older than that stands by', () => {
  const levels = new Levels(abilityOf('x'));
  assert.deepEqual(levels.mine.features, [
    'small-jobs',
    'barred-lead',
    'admission-plan',
    'incarnations',
    'task-log',
  ]);
  assert.deepEqual(levels.mine.formats, { job: 2 });
  assert.equal(levels.has('small-jobs'), false);
  levels.state = { level: 2, write: 2, stamp: 1 };
  assert.ok(levels.has('small-jobs') && levels.has('barred-lead'));
  levels.state = { level: 2, write: 1, stamp: 2 };
  assert.ok(!levels.has('small-jobs') && levels.has('barred-lead'));
  assert.equal(levels.standsBy, false);
  levels.state = { level: 3, write: 3, stamp: 3 };
  assert.ok(levels.has('admission-plan') && !levels.standsBy);
  assert.equal(levels.has('task-log'), false);
  levels.state = { level: 5, write: 5, stamp: 4 };
  assert.ok(levels.has('task-log') && !levels.standsBy);
  levels.state = { level: newestLevel + 1, write: newestLevel + 1, stamp: 5 };
  assert.equal(levels.standsBy, true);
  const held = new Levels(abilityOf('x', 1));
  assert.deepEqual(held.mine.features, []);
  held.state = { level: 2, write: 2, stamp: 1 };
  assert.equal(held.standsBy, true);
});

test('the sweep keeps to its share and tells its progress', () => {
  const s = new Sweep(40, 0.1, 1000);
  let writes = 0;
  for (let now = 0; now <= 60_000; now += 500) {
    const n = s.allowed(now);
    writes += n;
    s.wrote(n);
  }
  assert.ok(writes >= 236 && writes <= 240, String(writes));
  assert.deepEqual(s.progress(0, 10)?.left, 10);
  assert.equal(s.progress(500, 9), null);
  assert.equal(s.progress(1000, 8)?.left, 8);
  assert.equal(s.progress(1100, 0)?.left, 0);
  assert.equal(s.progress(1200, 0), null);
});

test('leaving: handed on first, drained next; what cannot be handed on does not keep it', () => {
  const has = { owned: 1, leading: true, present: true, busy: false };
  const free = { owned: 0, leading: false, present: false, busy: false };
  const l = new Leaving(10_000, 4000);
  assert.equal(l.phase(0, has), 'here');
  l.begin(0);
  assert.equal(l.phase(100, has), 'handing on');
  assert.equal(l.phase(200, free), 'draining');
  assert.equal(l.phase(4100, { ...free, busy: true }), 'draining');
  assert.equal(l.phase(4200, free), 'gone');
  const stuck = new Leaving(10_000, 4000);
  stuck.begin(0);
  assert.equal(stuck.phase(9000, has), 'handing on');
  assert.equal(stuck.phase(10_001, { ...has, busy: true }), 'gone');
});
