/** Submissions with invalid or missing fields, and jobs that can never run, at every controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '../src/wire/user.js';
import { longWorld } from './support/concurrent-failures.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const validSubmission = {
  nameId: 'req-000412',
  jobclass: 'train',
  owner: 'blue',
  shape: 'sweep',
  urgency: 'normal',
  pieces: 16,
  cpus: 1,
  cards: 0,
  memGb: 4,
  bundle: 'img-07',
  pullGb: 6.2,
  flavours: ['box'],
  yard: 'north',
  oneZone: true,
  apart: false,
  loaners: true,
  expectS: 240,
  snapshotS: 30,
  flushS: 4,
  dueS: 900,
};

const optionalFields = new Set(['flavours', 'yard', 'dueS']);
const invalidTexts = [7, true, {}, [], ''];
const invalidFlags = [0, 1, 'true', {}, []];
const invalidAmounts = [-0.1, '1', true, {}, [], Infinity, NaN];
const invalidValues: Record<keyof typeof validSubmission, unknown[]> = {
  nameId: [...invalidTexts, 'req-', 'job-1', 'req-1x', 'req-1 ', ' req-1', 'req-1/2', 'REQ-1'],
  jobclass: invalidTexts,
  owner: invalidTexts,
  shape: [...invalidTexts, 'array', 'Sweep'],
  urgency: [...invalidTexts, 'high', 'Urgent'],
  pieces: [0, -1, 1.5, 100_001, '3', true, {}],
  cpus: invalidAmounts,
  cards: invalidAmounts,
  memGb: invalidAmounts,
  bundle: invalidTexts,
  pullGb: invalidAmounts,
  flavours: ['box', 3, {}, [3], ['']],
  yard: invalidTexts,
  oneZone: invalidFlags,
  apart: invalidFlags,
  loaners: invalidFlags,
  expectS: invalidAmounts,
  snapshotS: invalidAmounts,
  flushS: invalidAmounts,
  dueS: invalidAmounts,
};

test('a submission with a missing or invalid field is rejected with the name of the field', () => {
  assert.equal(typeof parseSubmission(validSubmission), 'object');
  for (const name of Object.keys(validSubmission) as (keyof typeof validSubmission)[]) {
    for (const missing of [undefined, null]) {
      const result = parseSubmission({ ...validSubmission, [name]: missing });
      if (optionalFields.has(name)) assert.equal(typeof result, 'object', name);
      else assert.match(String(result), new RegExp(`^${name}: `));
    }
    for (const value of invalidValues[name])
      assert.match(
        String(parseSubmission({ ...validSubmission, [name]: value })),
        new RegExp(`^${name}[.:]`),
        `${value}`,
      );
  }
  for (const body of [null, 3, 'x', [], [validSubmission]])
    assert.equal(typeof parseSubmission(body), 'string');
  assert.equal(typeof parseSubmission({ ...validSubmission, more: 1 }), 'object');
});

const impossibleJobs = {
  'unknown team': { team: 'green' },
  'unknown type': { types: ['giant'] },
  'no type': { types: [] },
  'too many CPUs for any type': { team: 'blue', cpus: 9 },
  'too much memory': { memGb: 33 },
  'GPUs that no type has': { gpus: 1 },
  'unknown zone': { zone: 'west' },
  'a gang above the team limit': { shape: 'gang', tasks: 3, cpus: 6 },
  'a service above the team limit': { shape: 'service', tasks: 17, cpus: 1 },
} as const;

test('a job that can never run gets 422 from every controller, also after a restart, and 503 until the machine types are read', () => {
  const w = new World(3, {}, 5);
  w.cloudDown = true;
  w.advance(5);
  let id = 0;
  const expectStatusForAll = (status: number): void => {
    for (const [reason, overrides] of Object.entries(impossibleJobs))
      for (const n of w.nodes) {
        const response = n.submit(
          spec(`req-${++id}`, { ...overrides, types: 'types' in overrides ? [...overrides.types] : null }),
        );
        assert.equal(response?.status, status, `${reason} by ${n.member}`);
      }
  };
  expectStatusForAll(503);
  w.cloudDown = false;
  assert.ok(w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes.length > 0), 20));
  w.advance(10);
  expectStatusForAll(422);
  for (const n of w.nodes) n.boot();
  w.advance(0.5);
  for (const n of w.nodes) {
    const response = n.submit(spec(`req-${++id}`, { team: 'green' }));
    assert.ok(response?.status === 422 || response?.status === 503, String(response?.status));
  }
  w.advance(30);
  expectStatusForAll(422);
  assert.equal(
    [...w.state.entries.keys()].filter((k) => k.startsWith('dp/j/')).length,
    0,
    'no job was accepted',
  );
});

test('an array may exceed what its team may run at one time; an accepted job is never rejected later', () => {
  const w = longWorld(6);
  const job = spec('req-1', { tasks: 40, cpus: 1 });
  assert.equal(w.nodes[0].submit(job)?.status, 201);
  w.advance(5);
  // The cloud no longer offers the machine type.
  w.types = [{ ...w.types[0], name: 'other' }];
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes[0]?.name === 'other'), 120),
  );
  for (const n of w.nodes) assert.equal(n.submit({ ...job, types: ['box'] })?.status, 200);
});
