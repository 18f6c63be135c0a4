/** Placement at scale: the capacity index against a reference implementation, bounded work, and limits of the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { fullness, CapacityIndex, packingTieBreak, type IndexedMachine } from '../src/core/capacity-index.js';
import { capabilitiesOf, FeatureLevels } from '../src/feature-levels/index.js';
import { Replica } from '../src/core/replica.js';
import type { JobSpec } from '../src/model/job.js';
import type { Resources, MachineType } from '../src/model/machine.js';
import { typeAllowed } from '../src/policy/admission.js';
import { spotAllowed } from '../src/policy/guardrails.js';
import { box, spec } from './support/fixtures.js';
import { World } from './support/world.js';

const rng = xoroshiro128plus(7);
const randomBelow = (n: number): number => uniformInt(rng, 0, n - 1);

const types: MachineType[] = [
  box,
  { ...box, name: 'big', cpus: 32, memGb: 128, price: 3.9, spotPrice: 1.1 },
  { ...box, name: 'gpu', cpus: 16, gpus: 2, memGb: 64, price: 9, spotPrice: 2 },
];

interface TestMachine extends IndexedMachine {
  used: Resources;
}

const freeResources = (m: TestMachine): Resources => ({
  cpus: m.type.cpus - m.used.cpus,
  gpus: m.type.gpus - m.used.gpus,
  memGb: m.type.memGb - m.used.memGb,
});

const score = (type: MachineType, spot: boolean, image: boolean): number =>
  -(spot ? type.spotPrice : type.price) / type.cpus - (image ? 0 : 0.004);

/** Reference implementation: scores every machine for the job and sorts by score, best first; ties keep the machines' order. */
const referenceOrder = (machines: TestMachine[], job: JobSpec): string[] =>
  machines
    .filter((m) => typeAllowed(job, m.type) && (!m.spot || spotAllowed(job)) && freeResources(m).cpus >= 1)
    .map((m) => ({
      host: m.host,
      s:
        score(m.type, m.spot, m.images.has(job.image)) + packingTieBreak * fullness(m.type, freeResources(m)),
    }))
    .sort((a, b) => b.s - a.s)
    .map((x) => x.host);

test('the capacity index yields the same order as the reference implementation on random fleets, also while they fill up', () => {
  for (let fleet = 0; fleet < 30; fleet++) {
    const machines: TestMachine[] = Array.from({ length: 60 }, (_, i) => {
      const type = types[randomBelow(types.length)];
      return {
        host: `n-${i}`,
        type,
        zone: 'north',
        spot: randomBelow(2) === 1,
        images: new Set([`img-${randomBelow(3)}`]),
        used: { cpus: randomBelow(type.cpus + 1), gpus: 0, memGb: 0 },
      };
    });
    const capacityIndex = new CapacityIndex(machines, freeResources, { cpus: 1, gpus: 0, memGb: 0 });
    for (let step = 0; step < 20; step++) {
      const job = spec('req-1', {
        image: `img-${randomBelow(4)}`,
        cpus: 1 + randomBelow(4),
        spot: randomBelow(2) === 1,
        types: randomBelow(3) === 0 ? [types[randomBelow(types.length)].name] : null,
      });
      const found = [...capacityIndex.bestFirst(job, score, () => true)].map((m) => m.host);
      assert.deepEqual(found, referenceOrder(machines, job));
      const taken = machines.filter((m) => found.slice(0, 3).includes(m.host) && freeResources(m).cpus >= 1);
      for (const m of taken) m.used.cpus++;
      capacityIndex.reposition(new Set(taken.map((m) => m.host)));
    }
  }
});

test('the work of a scheduling cycle grows with the changes, not with jobs times machines', () => {
  const w = new World(1);
  w.capacity = 1000;
  w.heartbeatMs = 5000;
  w.types = [{ ...box, cpus: 16, memGb: 64, bootS: 5 }];
  w.advance(3);
  const { shardManager } = w.nodes[0].controller;
  for (let i = 0; i < 150; i++)
    w.nodes[0].push({
      type: 'submit',
      requestId: 900_000 + i,
      spec: spec(`req-${1000 + i}`, { team: 'blue', tasks: 200, cpus: 1 + (i % 5) / 10 }),
    });
  w.advance(30);
  assert.ok(w.starts.length > 10_000, `${w.starts.length} started`);
  // All machines are full, and over 100 jobs of five sizes are waiting: each machine is examined at most twice per size.
  const before = shardManager.machinesExamined;
  w.advance(5);
  const perRound = (shardManager.machinesExamined - before) / 5;
  assert.ok(perRound < 12 * 1000, `${perRound} machines examined per scheduling cycle`);
  // A rental is one record, and task completions are batched: far fewer writes than machines and tasks.
  const writes = w.commits.reduce((n, c) => n + c.txn.writes.length, 0);
  assert.ok(writes < 1200, `${writes} writes`);
  assert.deepEqual(w.violations, []);
});

test('machines whose record is still being written are not requested a second time', () => {
  const w = new World(1);
  w.capacity = 100;
  w.advance(3);
  w.nodes[0].submit(spec('req-1', { team: 'blue', tasks: 8, cpus: 8 }));
  w.advanceUntil(() => w.rentals.length > 0, 10);
  w.state.rateLimited = true;
  w.advance(5);
  w.state.rateLimited = false;
  w.advance(5);
  assert.equal(
    w.rentals.reduce((n, r) => n + r.count, 0),
    8,
  );
});

test('rate limiting by the state service for less than a second does not reject submissions', () => {
  const w = new World(1);
  w.advance(3);
  w.state.rateLimited = true;
  w.schedule(800, () => (w.state.rateLimited = false));
  assert.equal(w.nodes[0].submit(spec('req-1'))?.status, 201);
});

test('a burst of submissions does not delay task starts or the recording of rentals', () => {
  const w = new World(1);
  w.advance(3);
  const n = w.nodes[0];
  for (let i = 0; i < 400; i++)
    n.push({ type: 'submit', requestId: 1e6 + i, spec: spec(`req-${i}`, { tasks: 1 }) });
  w.advance(1);
  // 400 writes use up the write budget of about 11 s.
  assert.ok(w.advanceUntil(() => w.starts.length > 0, 9));
  assert.ok([...w.nodes[0].responses.values()].filter((a) => a.status === 201).length < 380);
});

const replica = (): Replica =>
  new Replica(
    {
      jobChanged: () => undefined,
      machineChanged: () => undefined,
      shardChanged: () => undefined,
      criticalChange: () => undefined,
      readabilityChanged: () => undefined,
      levelChanged: () => undefined,
      incarnationChanged: () => undefined,
    },
    new FeatureLevels(capabilitiesOf('test')),
  );

test('an outdated response of the state service that arrives late does not restore a deleted key', () => {
  const r = replica();
  const put = { key: 'dp/m/n-1', data: { f: 'box', y: 'north', l: false, s: 0, st: 'use', at: 0 }, stamp: 5 };
  r.loadSnapshot([], 1);
  r.applyWatch([put, { key: 'dp/m/n-1', data: undefined, stamp: 6 }], 8);
  r.applyWatch([put], 5);
  assert.equal(r.machines.size, 0);
});

test('a machine of a block has the state of the block, then that of its own record, and is removed when both are gone', () => {
  const r = replica();
  const block = (h: string[]) => ({ f: 'box', y: 'north', l: false, s: 0, at: 0, h });
  const own = { f: 'box', y: 'north', l: false, s: 0, st: 'dead', at: 0 };
  r.loadSnapshot([], 1);
  r.applyWatch([{ key: 'dp/b/r-1', data: block(['n-1', 'n-2']), stamp: 2 }], 2);
  assert.deepEqual(
    [...r.machines.values()].map((m) => m.state),
    ['use', 'use'],
  );
  r.applyWatch([{ key: 'dp/m/n-1', data: own, stamp: 3 }], 3);
  assert.equal(r.machines.get('n-1')?.state, 'dead');
  r.applyWatch(
    [
      { key: 'dp/b/r-1', data: block(['n-2']), stamp: 4 },
      { key: 'dp/m/n-1', data: undefined, stamp: 4 },
    ],
    4,
  );
  assert.deepEqual([...r.machines.keys()], ['n-2']);
  // The removal of other machines must not raise its revision: it would have to be confirmed under its fencing token again.
  assert.equal(r.machines.get('n-2')?.modRevision, 2);
});

test('machines stay reserved for a gang that does not fit until the gang is placed', () => {
  const w = new World(1);
  w.capacity = 3;
  w.advance(3);
  const n = w.nodes[0];
  n.submit(spec('req-1', { team: 'blue', tasks: 24, cpus: 1 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 24, 60));
  n.submit(spec('req-2', { team: 'blue', shape: 'gang', tasks: 2, cpus: 8 }));
  // Small tasks that would otherwise take all resources that become free.
  for (let i = 0; i < 6; i++)
    n.submit(spec(`req-${10 + i}`, { team: 'blue', tasks: 12, cpus: 1, estimateS: 60 }));
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 2, 60));
  assert.deepEqual(w.violations, []);
});

test('idle GPU machines are deleted, not assigned for gangs that the scheduling cycle would not place on them', () => {
  const w = new World(1);
  w.types = [box, { ...box, name: 'gpu', gpus: 2, price: 9, spotPrice: 9 }];
  w.capacity = 1;
  w.advance(3);
  w.nodes[0].submit(spec('req-1', { team: 'blue', tasks: 2, gpus: 1 }));
  assert.ok(w.advanceUntil(() => w.finishedTasks.length === 2, 90));
  w.nodes[0].submit(spec('req-2', { team: 'blue', shape: 'gang', tasks: 1, cpus: 8 }));
  assert.ok(w.advanceUntil(() => w.deletedHosts.length === 1, 60));
});
