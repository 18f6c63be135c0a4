/** Feature levels: the level in force, record migration, graceful shutdown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  commonMessageFormat,
  inspectRecord,
  type Format,
  type Formats,
  formats,
} from '../src/formats/index.js';
import {
  capabilitiesOf,
  decideLevelChange,
  initialLevelState,
  GracefulShutdown,
  FeatureLevels,
  newestLevel,
  noRequestedLevel,
  MigrationPacer,
  legacyCapabilities,
  type Capabilities,
  type ShutdownDuties,
  type LevelState,
  type RequestedLevel,
  type LevelDecisionInput,
} from '../src/feature-levels/index.js';
import { openJobData, inlineJobData } from '../src/core/storage/index.js';
import { spec } from './support/fixtures.js';

const capabilitiesUpTo = (maxLevel: number): Capabilities => ({
  program: `p${maxLevel}`,
  minLevel: 1,
  maxLevel,
  features: [],
  formats: {},
});
const decisionInput = (overrides: Partial<LevelDecisionInput>): LevelDecisionInput => ({
  state: initialLevelState,
  newestLevel: 2,
  configuredMembers: ['a', 'b', 'c'],
  recordedCapabilities: new Map(),
  observedCapabilities: new Map(),
  requested: noRequestedLevel,
  unmigratedRecords: 0,
  blockingKeys: [],
  ...overrides,
});
const allMembersUpTo = (maxLevel: number) =>
  new Map(['a', 'b', 'c'].map((m) => [m, capabilitiesUpTo(maxLevel)]));

test('formats: known fields are read, unknown fields are kept, newer, damaged or too old records are rejected', () => {
  const job = openJobData(spec('req-1'), 5);
  assert.deepEqual(inspectRecord('job', job), { ok: true, format: 1, extras: null });
  assert.deepEqual(inspectRecord('job', { ...job, w: 'x', more: [1] }), {
    ok: true,
    format: 1,
    extras: { more: [1] },
  });
  const inlineJob = inlineJobData(spec('req-1'), 5, { n: 1, d: '', p: [[0, 1, 'n-1']] });
  assert.deepEqual(inspectRecord('job', inlineJob), { ok: true, format: 2, extras: null });
  const inspectionResult = (kind: Parameters<typeof inspectRecord>[0], data: unknown): string => {
    const result = inspectRecord(kind, data);
    return result.ok ? 'ok' : `${result.why}: ${result.text}`;
  };
  assert.equal(inspectionResult('job', { ...job, v: 3 }), 'newer: format 3, this program reads up to 2');
  assert.equal(
    inspectionResult('job', { ...job, spec: { ...spec('req-1'), tasks: 'many' } }),
    'damaged: spec.tasks: not a count',
  );
  assert.equal(
    inspectionResult('job', { ...inlineJob, t: { n: 1, d: '', p: [[0]] } }),
    'damaged: p: not a list of index, attempt and machine',
  );
  for (const damaged of [null, 5, 'text', [], { v: 0 }, { v: 'two' }, { s: 'lost', at: 1 }])
    assert.match(inspectionResult('job', damaged), /^damaged/, JSON.stringify(damaged));
  assert.match(inspectionResult('teams', { shards: 'x' }), /^damaged: shards/);
  assert.match(inspectionResult('node', { run: 'r', hold: 1, can: { most: 2 } }), /^damaged: can/);
  // A program reads its own format and the two before it, and reports older ones as too old.
  const format = (...names: string[]): Format => ({
    fields: new Set(['v', ...names]),
    findError: () => null,
  });
  const fourTeamFormats: Formats = { ...formats, teams: [null, format('b'), format('b', 'c'), format('d')] };
  assert.deepEqual(
    [1, 2, 3, 4, 5]
      .map((v) => inspectRecord('teams', { v }, fourTeamFormats))
      .map((v) => (v.ok ? v.format : v.why)),
    ['too old', 2, 3, 4, 'newer'],
  );
});

test('messages: the newest format that both sides read is used, or none', () => {
  assert.equal(commonMessageFormat({ least: 1, most: 1 }), 1);
  assert.equal(commonMessageFormat({ least: 1, most: 9 }), 1);
  assert.equal(commonMessageFormat({ least: 2, most: 9 }), null);
  assert.equal(commonMessageFormat({ least: 2, most: 4 }, { least: 3, most: 5 }), 4);
});

test('the level is raised only when every configured member was last seen with it, present or not', () => {
  assert.equal(decideLevelChange(decisionInput({ observedCapabilities: allMembersUpTo(2) })).type, 'raise');
  // A member that is down or cut off counts as it was last seen.
  const twoMembers = new Map([...allMembersUpTo(2)].slice(0, 2));
  assert.equal(
    decideLevelChange(
      decisionInput({ recordedCapabilities: allMembersUpTo(2), observedCapabilities: twoMembers }),
    ).type,
    'raise',
  );
  // A member that was never seen, or last seen without the level, prevents raising it.
  assert.deepEqual(
    decideLevelChange(decisionInput({ recordedCapabilities: twoMembers, observedCapabilities: twoMembers })),
    {
      type: 'stay',
      why: 'waits for c (never seen)',
    },
  );
  const withLegacyMember = new Map([...twoMembers, ['c', legacyCapabilities]]);
  assert.deepEqual(
    decideLevelChange(
      decisionInput({ recordedCapabilities: withLegacyMember, observedCapabilities: withLegacyMember }),
    ),
    {
      type: 'stay',
      why: 'waits for c (before levels)',
    },
  );
  // A member that returns with an older program counts with the levels of that program.
  assert.equal(
    decideLevelChange(
      decisionInput({ recordedCapabilities: allMembersUpTo(2), observedCapabilities: withLegacyMember }),
    ).type,
    'record-capabilities',
  );
  // Two older versions at the same time; the level is raised one step at a time.
  const mixedVersions = new Map([
    ['a', capabilitiesUpTo(3)],
    ['b', capabilitiesUpTo(2)],
    ['c', capabilitiesUpTo(1)],
  ]);
  assert.equal(
    decideLevelChange(
      decisionInput({
        newestLevel: 3,
        recordedCapabilities: mixedVersions,
        observedCapabilities: mixedVersions,
      }),
    ).type,
    'stay',
  );
  const decision = decideLevelChange(
    decisionInput({ newestLevel: 3, observedCapabilities: allMembersUpTo(3) }),
  );
  assert.ok(decision.type === 'raise' && decision.to === 2);
  const state: LevelState = { level: 2, writeLevel: 2, modRevision: 9 };
  assert.equal(
    decideLevelChange(
      decisionInput({
        state,
        newestLevel: 3,
        recordedCapabilities: mixedVersions,
        observedCapabilities: mixedVersions,
      }),
    ).type,
    'stay',
  );
});

test('operators limit the level, name departed members, and lower the level unless a record requires it', () => {
  const requestedLevel = (overrides: Partial<RequestedLevel>): RequestedLevel => ({
    ...noRequestedLevel,
    modRevision: 4,
    ...overrides,
  });
  assert.deepEqual(
    decideLevelChange(
      decisionInput({
        recordedCapabilities: allMembersUpTo(2),
        observedCapabilities: allMembersUpTo(2),
        requested: requestedLevel({ maxLevel: 1 }),
      }),
    ),
    {
      type: 'stay',
      why: 'held at 1 by operators',
    },
  );
  const twoMembers = new Map([...allMembersUpTo(2)].slice(0, 2));
  assert.equal(
    decideLevelChange(
      decisionInput({
        recordedCapabilities: twoMembers,
        observedCapabilities: twoMembers,
        requested: requestedLevel({ departedMembers: ['c'] }),
      }),
    ).type,
    'raise',
  );
  const state: LevelState = { level: 2, writeLevel: 2, modRevision: 9 };
  const recorded = allMembersUpTo(2);
  const lowerToOne = requestedLevel({ maxLevel: 1, lower: true });
  // A limit below the level in force, without a request to lower it: the level stays.
  assert.equal(
    decideLevelChange(
      decisionInput({ state, recordedCapabilities: recorded, requested: requestedLevel({ maxLevel: 1 }) }),
    ).type,
    'stay',
  );
  assert.deepEqual(
    decideLevelChange(decisionInput({ state, recordedCapabilities: recorded, requested: lowerToOne })),
    {
      type: 'begin-lowering',
      to: 1,
    },
  );
  const refused = decideLevelChange(
    decisionInput({
      state,
      recordedCapabilities: recorded,
      requested: lowerToOne,
      blockingKeys: ['dp/j/req-1'],
    }),
  );
  assert.ok(refused.type === 'refuse' && /dp\/j\/req-1; start the newest program/.test(refused.text));
  const lowering: LevelState = { level: 2, writeLevel: 1, modRevision: 10 };
  assert.equal(
    decideLevelChange(
      decisionInput({
        state: lowering,
        recordedCapabilities: recorded,
        requested: lowerToOne,
        unmigratedRecords: 3,
      }),
    ).type,
    'stay',
  );
  assert.deepEqual(
    decideLevelChange(
      decisionInput({ state: lowering, recordedCapabilities: recorded, requested: lowerToOne }),
    ),
    {
      type: 'lower',
      to: 1,
    },
  );
  // The request is withdrawn during the lowering.
  assert.deepEqual(
    decideLevelChange(
      decisionInput({ state: lowering, recordedCapabilities: recorded, unmigratedRecords: 3 }),
    ),
    {
      type: 'raise',
      to: 2,
      capabilities: recorded,
    },
  );
});

test('features: FeatureLevels tells which are in force; a program older than the level stands by', () => {
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
  const limitedLevels = new FeatureLevels(capabilitiesOf('x', 1));
  assert.deepEqual(limitedLevels.ownCapabilities.features, []);
  limitedLevels.state = { level: 2, writeLevel: 2, modRevision: 1 };
  assert.equal(limitedLevels.mustStandBy, true);
});

test('record migration keeps to its share of the writes and reports its progress', () => {
  const migration = new MigrationPacer(40, 0.1, 1000);
  let writes = 0;
  for (let now = 0; now <= 60_000; now += 500) {
    const available = migration.availableWrites(now);
    writes += available;
    migration.recordWrites(available);
  }
  assert.ok(writes >= 236 && writes <= 240, String(writes));
  assert.deepEqual(migration.progress(0, 10)?.remaining, 10);
  assert.equal(migration.progress(500, 9), null);
  assert.equal(migration.progress(1000, 8)?.remaining, 8);
  assert.equal(migration.progress(1100, 0)?.remaining, 0);
  assert.equal(migration.progress(1200, 0), null);
});

test('graceful shutdown: duties are handed over, then requests drained; a failing handover does not block it', () => {
  const remainingDuties: ShutdownDuties = { ownedShards: 1, leading: true, present: true, busy: false };
  const noDuties: ShutdownDuties = { ownedShards: 0, leading: false, present: false, busy: false };
  const shutdown = new GracefulShutdown(10_000, 4000);
  assert.equal(shutdown.phase(0, remainingDuties), 'running');
  shutdown.begin(0);
  assert.equal(shutdown.phase(100, remainingDuties), 'handing-over');
  assert.equal(shutdown.phase(200, noDuties), 'draining');
  assert.equal(shutdown.phase(4100, { ...noDuties, busy: true }), 'draining');
  assert.equal(shutdown.phase(4200, noDuties), 'stopped');
  const blockedShutdown = new GracefulShutdown(10_000, 4000);
  blockedShutdown.begin(0);
  assert.equal(blockedShutdown.phase(9000, remainingDuties), 'handing-over');
  assert.equal(blockedShutdown.phase(10_001, { ...remainingDuties, busy: true }), 'stopped');
});
