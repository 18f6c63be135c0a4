/** Feature levels: which level is in force, record migration, graceful shutdown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { common, inspect, type Format, type Formats, formats } from '../src/formats/index.js';
import {
  capabilitiesOf,
  decide,
  initialLevelState,
  GracefulShutdown,
  FeatureLevels,
  newestLevel,
  noRequestedLevel,
  RecordMigration,
  legacyCapabilities,
  type Capabilities,
  type ShutdownDuties,
  type LevelState,
  type RequestedLevel,
  type LevelDecisionInput,
} from '../src/feature-levels/index.js';
import { openJobData, inlineJobData } from '../src/core/storage/index.js';
import { spec } from './support/fixtures.js';

const can = (most: number): Capabilities => ({
  program: `p${most}`,
  minLevel: 1,
  maxLevel: most,
  features: [],
  formats: {},
});
const standing = (over: Partial<LevelDecisionInput>): LevelDecisionInput => ({
  state: initialLevelState,
  newestLevel: 2,
  configured: ['a', 'b', 'c'],
  recordedCapabilities: new Map(),
  observedCapabilities: new Map(),
  requested: noRequestedLevel,
  unmigratedRecords: 0,
  blockingKeys: [],
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
  assert.equal(decide(standing({ observedCapabilities: all(2) })).type, 'raise');
  // Down or cut off just now, but last seen with it.
  const two = new Map([...all(2)].slice(0, 2));
  assert.equal(decide(standing({ recordedCapabilities: all(2), observedCapabilities: two })).type, 'raise');
  // Never seen, or last seen without.
  assert.deepEqual(decide(standing({ recordedCapabilities: two, observedCapabilities: two })), {
    type: 'stay',
    why: 'waits for c (never seen)',
  });
  const old = new Map([...two, ['c', legacyCapabilities]]);
  assert.deepEqual(decide(standing({ recordedCapabilities: old, observedCapabilities: old })), {
    type: 'stay',
    why: 'waits for c (before levels)',
  });
  // One that comes back older counts as it is now.
  assert.equal(
    decide(standing({ recordedCapabilities: all(2), observedCapabilities: old })).type,
    'record-capabilities',
  );
  // Two old versions at once; and one step at a time.
  const mixed = new Map([
    ['a', can(3)],
    ['b', can(2)],
    ['c', can(1)],
  ]);
  assert.equal(
    decide(standing({ newestLevel: 3, recordedCapabilities: mixed, observedCapabilities: mixed })).type,
    'stay',
  );
  const up = decide(standing({ newestLevel: 3, observedCapabilities: all(3) }));
  assert.ok(up.type === 'raise' && up.to === 2);
  const state: LevelState = { level: 2, writeLevel: 2, modRevision: 9 };
  assert.equal(
    decide(standing({ state, newestLevel: 3, recordedCapabilities: mixed, observedCapabilities: mixed }))
      .type,
    'stay',
  );
});

test('operators hold a level, name who is gone, and lower it again unless something needs it', () => {
  const wish = (over: Partial<RequestedLevel>): RequestedLevel => ({
    ...noRequestedLevel,
    modRevision: 4,
    ...over,
  });
  assert.deepEqual(
    decide(
      standing({
        recordedCapabilities: all(2),
        observedCapabilities: all(2),
        requested: wish({ maxLevel: 1 }),
      }),
    ),
    {
      type: 'stay',
      why: 'held at 1 by operators',
    },
  );
  const two = new Map([...all(2)].slice(0, 2));
  assert.equal(
    decide(
      standing({
        recordedCapabilities: two,
        observedCapabilities: two,
        requested: wish({ departedMembers: ['c'] }),
      }),
    ).type,
    'raise',
  );
  const state: LevelState = { level: 2, writeLevel: 2, modRevision: 9 };
  const seen = all(2);
  const lower = wish({ maxLevel: 1, lower: true });
  // Held below what is in force, without being asked to go back: it stays.
  assert.equal(
    decide(standing({ state, recordedCapabilities: seen, requested: wish({ maxLevel: 1 }) })).type,
    'stay',
  );
  assert.deepEqual(decide(standing({ state, recordedCapabilities: seen, requested: lower })), {
    type: 'begin-lowering',
    to: 1,
  });
  const refused = decide(
    standing({ state, recordedCapabilities: seen, requested: lower, blockingKeys: ['dp/j/req-1'] }),
  );
  assert.ok(refused.type === 'refuse' && /dp\/j\/req-1; start the newest program/.test(refused.text));
  const lowering: LevelState = { level: 2, writeLevel: 1, modRevision: 10 };
  assert.equal(
    decide(standing({ state: lowering, recordedCapabilities: seen, requested: lower, unmigratedRecords: 3 }))
      .type,
    'stay',
  );
  assert.deepEqual(decide(standing({ state: lowering, recordedCapabilities: seen, requested: lower })), {
    type: 'lower',
    to: 1,
  });
  // They change their mind.
  assert.deepEqual(decide(standing({ state: lowering, recordedCapabilities: seen, unmigratedRecords: 3 })), {
    type: 'raise',
    to: 2,
    capabilities: seen,
  });
});

test('features: one place tells what is in force; who is older than that stands by', () => {
  const levels = new FeatureLevels(capabilitiesOf('x'));
  assert.deepEqual(levels.ownCapabilities.features, [
    'small-jobs',
    'barred-lead',
    'admission-plan',
    'incarnations',
    'task-log',
  ]);
  assert.deepEqual(levels.ownCapabilities.formats, { job: 2 });
  assert.equal(levels.isEnabled('small-jobs'), false);
  levels.state = { level: 2, writeLevel: 2, modRevision: 1 };
  assert.ok(levels.isEnabled('small-jobs') && levels.isEnabled('barred-lead'));
  levels.state = { level: 2, writeLevel: 1, modRevision: 2 };
  assert.ok(!levels.isEnabled('small-jobs') && levels.isEnabled('barred-lead'));
  assert.equal(levels.mustStandBy, false);
  levels.state = { level: 3, writeLevel: 3, modRevision: 3 };
  assert.ok(levels.isEnabled('admission-plan') && !levels.mustStandBy);
  assert.equal(levels.isEnabled('task-log'), false);
  levels.state = { level: 5, writeLevel: 5, modRevision: 4 };
  assert.ok(levels.isEnabled('task-log') && !levels.mustStandBy);
  levels.state = { level: newestLevel + 1, writeLevel: newestLevel + 1, modRevision: 5 };
  assert.equal(levels.mustStandBy, true);
  const held = new FeatureLevels(capabilitiesOf('x', 1));
  assert.deepEqual(held.ownCapabilities.features, []);
  held.state = { level: 2, writeLevel: 2, modRevision: 1 };
  assert.equal(held.mustStandBy, true);
});

test('the sweep keeps to its share and tells its progress', () => {
  const s = new RecordMigration(40, 0.1, 1000);
  let writes = 0;
  for (let now = 0; now <= 60_000; now += 500) {
    const n = s.availableWrites(now);
    writes += n;
    s.recordWrites(n);
  }
  assert.ok(writes >= 236 && writes <= 240, String(writes));
  assert.deepEqual(s.progress(0, 10)?.remaining, 10);
  assert.equal(s.progress(500, 9), null);
  assert.equal(s.progress(1000, 8)?.remaining, 8);
  assert.equal(s.progress(1100, 0)?.remaining, 0);
  assert.equal(s.progress(1200, 0), null);
});

test('leaving: handed on first, drained next; what cannot be handed on does not keep it', () => {
  const has: ShutdownDuties = { ownedShards: 1, leading: true, present: true, busy: false };
  const free: ShutdownDuties = { ownedShards: 0, leading: false, present: false, busy: false };
  const l = new GracefulShutdown(10_000, 4000);
  assert.equal(l.phase(0, has), 'running');
  l.begin(0);
  assert.equal(l.phase(100, has), 'handing-over');
  assert.equal(l.phase(200, free), 'draining');
  assert.equal(l.phase(4100, { ...free, busy: true }), 'draining');
  assert.equal(l.phase(4200, free), 'stopped');
  const stuck = new GracefulShutdown(10_000, 4000);
  stuck.begin(0);
  assert.equal(stuck.phase(9000, has), 'handing-over');
  assert.equal(stuck.phase(10_001, { ...has, busy: true }), 'stopped');
});
