/** Each field of a submission, wrong or missing, through every controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '../src/wire/user.js';
import { longWorld } from './support/concurrent-failures.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const good = {
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

const mayBeNull = new Set(['flavours', 'yard', 'dueS']);
const text = [7, true, {}, [], ''];
const flag = [0, 1, 'true', {}, []];
const amount = [-0.1, '1', true, {}, [], Infinity, NaN];
const wrong: Record<keyof typeof good, unknown[]> = {
  nameId: [...text, 'req-', 'job-1', 'req-1x', 'req-1 ', ' req-1', 'req-1/2', 'REQ-1'],
  jobclass: text,
  owner: text,
  shape: [...text, 'array', 'Sweep'],
  urgency: [...text, 'high', 'Urgent'],
  pieces: [0, -1, 1.5, 100_001, '3', true, {}],
  cpus: amount,
  cards: amount,
  memGb: amount,
  bundle: text,
  pullGb: amount,
  flavours: ['box', 3, {}, [3], ['']],
  yard: text,
  oneZone: flag,
  apart: flag,
  loaners: flag,
  expectS: amount,
  snapshotS: amount,
  flushS: amount,
  dueS: amount,
};

test('a submission that lacks a field, or has it wrong, is refused by the name of the field', () => {
  assert.equal(typeof parseSubmission(good), 'object');
  for (const name of Object.keys(good) as (keyof typeof good)[]) {
    for (const none of [undefined, null]) {
      const said = parseSubmission({ ...good, [name]: none });
      if (mayBeNull.has(name)) assert.equal(typeof said, 'object', name);
      else assert.match(String(said), new RegExp(`^${name}: `));
    }
    for (const value of wrong[name])
      assert.match(
        String(parseSubmission({ ...good, [name]: value })),
        new RegExp(`^${name}[.:]`),
        `${value}`,
      );
  }
  for (const body of [null, 3, 'x', [], [good]]) assert.equal(typeof parseSubmission(body), 'string');
  assert.equal(typeof parseSubmission({ ...good, more: 1 }), 'object');
});

const never = {
  'unknown team': { team: 'green' },
  'unknown type': { types: ['giant'] },
  'no type': { types: [] },
  'too many CPUs for any type': { team: 'blue', cpus: 9 },
  'too much memory': { memGb: 33 },
  'GPUs that none has': { gpus: 1 },
  'unknown zone': { zone: 'west' },
  'a gang above the limit': { shape: 'gang', tasks: 3, cpus: 6 },
  'a service above the limit': { shape: 'service', tasks: 17, cpus: 1 },
} as const;

test('a job that can never run gets 422 from every controller, at once and after a restart, 503 until the types are read', () => {
  const w = new World(3, {}, 5);
  w.cloudDown = true;
  w.advance(5);
  let id = 0;
  const refused = (status: number): void => {
    for (const [why, over] of Object.entries(never))
      for (const n of w.nodes) {
        const a = n.submit(spec(`req-${++id}`, { ...over, types: 'types' in over ? [...over.types] : null }));
        assert.equal(a?.status, status, `${why} by ${n.member}`);
      }
  };
  refused(503);
  w.cloudDown = false;
  assert.ok(w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes.length > 0), 20));
  w.advance(10);
  refused(422);
  for (const n of w.nodes) n.boot();
  w.advance(0.5);
  for (const n of w.nodes) {
    const a = n.submit(spec(`req-${++id}`, { team: 'green' }));
    assert.ok(a?.status === 422 || a?.status === 503, String(a?.status));
  }
  w.advance(30);
  refused(422);
  assert.equal(
    [...w.state.entries.keys()].filter((k) => k.startsWith('dp/j/')).length,
    0,
    'none was taken in',
  );
});

test('an array may be larger than its team is allowed at one time; what was accepted is never refused after', () => {
  const w = longWorld(6);
  const job = spec('req-1', { tasks: 40, cpus: 1 });
  assert.equal(w.nodes[0].submit(job)?.status, 201);
  w.advance(5);
  // The cloud does not offer the type any more.
  w.types = [{ ...w.types[0], name: 'other' }];
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes[0]?.name === 'other'), 120),
  );
  for (const n of w.nodes) assert.equal(n.submit({ ...job, types: ['box'] })?.status, 200);
});
