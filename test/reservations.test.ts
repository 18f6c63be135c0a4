/** Capacity that is reserved for one job must not keep other jobs waiting indefinitely. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/model/job.js';
import { longWorld } from './support/concurrent-failures.js';
import { Traffic } from './support/traffic.js';
import { maxWaitMs, WaitMonitor } from './support/wait-monitor.js';
import { box, spec } from './support/fixtures.js';
import { type World } from './support/world.js';

/**
 * Submits one job a second to a simulated cluster with a fixed number of machines, and asserts that no job waits longer than
 * `maxWaitMs` for capacity that it could use.
 */
function assertWaitsAreBounded(
  capacity: number,
  jobs: Partial<JobSpec>[],
  prepare: (w: World) => void = () => undefined,
): void {
  const w = longWorld(1, { capacity, prepare });
  const users = new Traffic(w, 1000, (n) => ({ tasks: 1, ...jobs[n - 100] }), 1e9);
  w.advance(jobs.length + 0.5);
  users.stopSubmitting();
  const waiting = new WaitMonitor(w, users);
  w.advance((3 * maxWaitMs) / 1000);
  waiting.stop();
  assert.deepEqual(w.violations, []);
  if (process.env['MEETING_TELL'])
    console.log(
      waiting.longestMs,
      [...w.workers.values()].map((m) => `${m.host} ${[...m.tasks.keys()].join(' ')}`),
    );
  assert.ok(waiting.longestMs < maxWaitMs, `a job waited ${waiting.longestMs} ms`);
}

// Each test reserves capacity for work that may never start. The reservation must not keep other work waiting for long.

test('a machine reserved for a gang that finds no second machine does not starve other jobs', () => {
  assertWaitsAreBounded(2, [
    { team: 'blue', cpus: 8, urgency: 'high' },
    { team: 'blue', cpus: 8, tasks: 2, shape: 'gang', urgency: 'high' },
    { team: 'blue', cpus: 1 },
  ]);
});

test('team quota reserved for an urgent gang does not starve less urgent jobs of the team', () => {
  assertWaitsAreBounded(2, [
    { team: 'blue', cpus: 8, urgency: 'high' },
    { team: 'red', cpus: 8, tasks: 2, shape: 'gang', urgency: 'high', deadlineS: 1 },
    { team: 'red', cpus: 1, urgency: 'low' },
  ]);
});

test('a machine on which a task failed once does not stay closed to its job', () => {
  let failed = false;
  assertWaitsAreBounded(
    1,
    Array.from({ length: 6 }, () => ({ team: 'blue', cpus: 1 })),
    (w) => {
      const setFailing = (failing: boolean): void =>
        w.workers.forEach((worker) => (worker.failsTasks = failing));
      w.schedule(7000, () => setFailing(true));
      w.schedule(20_000, () => setFailing(false));
      w.schedule(20_000, () => {
        failed = w.nodes.some((n) => n.logLines.some((l) => l[2]?.['why'] === 'error'));
        assert.ok(w.running('req-100').length > 0);
      });
    },
  );
  assert.ok(failed, 'no task failed on the machine');
});

const gpuMachineType = { ...box, name: 'gpu-box', gpus: 2, price: 5, spotPrice: 2 };

test('the CPUs of a GPU machine do not stay reserved for GPU work that cannot start', () => {
  assertWaitsAreBounded(
    1,
    [
      { team: 'blue', cpus: 1, gpus: 1 },
      { team: 'blue', cpus: 4, gpus: 1, tasks: 4, shape: 'gang' },
      { team: 'blue', cpus: 4, estimateS: 10 },
    ],
    (w) => (w.types = [gpuMachineType]),
  );
});

test('a job without GPUs runs on a GPU machine if there is no other machine', () => {
  assertWaitsAreBounded(
    1,
    [
      { team: 'blue', cpus: 1, gpus: 1 },
      { team: 'blue', cpus: 2, estimateS: 5000 },
    ],
    (w) => (w.types = [box, gpuMachineType]),
  );
});

test('a job without GPUs runs on a GPU machine if no other machine type fits it', () => {
  for (const requirements of [{ types: ['gpu-box'] }, { memGb: 64 }])
    assertWaitsAreBounded(1, [{ team: 'blue', cpus: 2, estimateS: 5000, ...requirements }], (w) => {
      w.types = [box, { ...gpuMachineType, memGb: 128 }];
      w.schedule(120_000, () => assert.equal(w.running('req-100').length, 1));
    });
});

// Guards against machines that stay reserved for a gang although a service on each of them leaves too little capacity for good.
test('machines whose services leave too little capacity for a gang are not reserved for it', () => {
  const w = longWorld(1, { capacity: 2 });
  w.serviceJobs.add('req-1');
  w.nodes[0].submit(spec('req-1', { team: 'blue', shape: 'service', tasks: 2, cpus: 5, estimateS: 0 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  w.gangs.set('req-2', 2);
  w.nodes[0].submit(spec('req-2', { team: 'blue', shape: 'gang', tasks: 2, cpus: 8, urgency: 'normal' }));
  w.advance(5);
  w.nodes[0].submit(spec('req-3', { team: 'blue', tasks: 2, cpus: 3, urgency: 'low' }));
  assert.ok(w.advanceUntil(() => w.running('req-3').length === 2, 10));
  assert.deepEqual(w.violations, []);
});
