/** Accepted jobs get machines although the capacity of the fleet is held by tasks that do not end in time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobSpec } from '../src/model/job.js';
import { fitCount } from '../src/model/machine.js';
import { box, spec } from './support/fixtures.js';
import { World } from './support/world.js';

/** The class whose jobs the operators want to start sooner than a machine boots. */
const tightClass = 'tight';
const tightLimitS = 3;

/** A world with the given machines for rent, in which no task of the jobs `req-1...` ends. */
function worldFor(capacity: number, bootS = box.bootS): World {
  const w = new World(1);
  w.capacity = capacity;
  w.types = [{ ...box, bootS }];
  w.nodes[0].settings.objectives.push({ kind: 'wait', class: tightClass, within_s: tightLimitS, times: 1 });
  w.taskDurationOf = (task) => (task.startsWith('req-1') ? Infinity : undefined);
  const { controller } = w.nodes[0];
  w.advanceUntil(() => controller.replica.machineTypes.length > 0 && controller.sureOfAbsence, 20);
  return w;
}

function submit(w: World, job: JobSpec): void {
  if (job.shape === 'service') w.serviceJobs.add(job.id);
  if (job.shape === 'gang') w.gangs.set(job.id, job.tasks);
  w.nodes[0].submit(job);
}

/** What fills the only machine, and never makes room. */
const occupants: Record<string, Partial<JobSpec>> = {
  'a service': { shape: 'service', urgency: 'production', estimateS: 0 },
  'an array with a long estimate': { urgency: 'production', estimateS: 100_000 },
  'an array that runs past its estimate': { urgency: 'production', estimateS: 20 },
};
const waitingJobs: Record<string, Partial<JobSpec>> = {
  'limits shorter than a boot': { class: tightClass },
  'a deadline that it has missed': { deadlineS: 1 },
  'no limits': { estimateS: 60 },
  'no limits and a long estimate': { estimateS: 100_000 },
  'no limits, as a gang': { estimateS: 60, shape: 'gang' },
};
/** Boot and image fetch, the time after which a task of the occupants is overdue, and the time to notice and to start. */
const maxWaitS = 10 + 1 + 2 * (20 + 1) + 16 + 15;

for (const [occupant, occupantFields] of Object.entries(occupants))
  for (const [limits, jobFields] of Object.entries(waitingJobs))
    // Guards against capacity that counts as free in time although its task never ends (review/3).
    test(`a job with ${limits} gets a machine beside ${occupant}`, () => {
      const w = worldFor(10);
      submit(w, spec('req-1', { team: 'blue', tasks: 2, cpus: 4, memGb: 16, ...occupantFields }));
      assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
      w.advance(5);
      submit(w, spec('req-2', { team: 'blue', tasks: 4, ...jobFields }));
      const started = w.advanceUntil(
        () => w.starts.filter(({ piece }) => piece.startsWith('req-2/')).length === 4,
        maxWaitS,
      );
      assert.ok(started, `${w.rentals.length} rentals`);
      assert.equal(w.workers.size, 2);
      assert.deepEqual(w.violations, []);
    });

// Guards against renting more than needed: capacity that comes free before a requested machine would be up is waited for.
test('no machine is requested for a job whose capacity comes free sooner', () => {
  const w = worldFor(10, 30);
  submit(w, spec('req-2', { team: 'blue', tasks: 2, cpus: 4, memGb: 16, estimateS: 20 }));
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 2, 60));
  submit(w, spec('req-3', { team: 'blue', class: tightClass, tasks: 2, cpus: 4 }));
  assert.ok(w.advanceUntil(() => w.running('req-3').length === 2, 60));
  assert.equal(w.workers.size, 1);
});

// Guards against capacity that is counted for two jobs, and against ages of tasks that no leader after the first one knows.
test('capacity that comes free serves one job, another one gets a machine; a new leader notices overdue tasks, too', () => {
  const w = new World(2);
  w.capacity = 10;
  w.advance(10);
  submit(w, spec('req-2', { team: 'blue', tasks: 2, cpus: 4, memGb: 16, estimateS: 10 }));
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 2, 60));
  w.taskDurationOf = () => Infinity;
  for (const id of ['req-3', 'req-4'])
    submit(w, spec(id, { team: 'blue', tasks: 2, cpus: 4, memGb: 16, estimateS: 60 }));
  w.advance(10);
  assert.equal(w.workers.size, 2);
  w.nodes[0].alive = false;
  const running = (): number => w.running('req-3').length + w.running('req-4').length;
  assert.ok(w.advanceUntil(() => running() === 4, maxWaitS + 20));
  assert.equal(w.workers.size, 3);
  assert.deepEqual(w.violations, []);
});

// Guards against demand that rounds down to no machine at all, so that accepted tasks of next to no size wait for good.
for (const cpus of [0, 1e-9])
  test(`a machine is requested for a task of ${cpus} CPUs`, () => {
    const w = worldFor(10);
    submit(w, spec('req-2', { team: 'blue', tasks: 1, cpus, memGb: cpus }));
    assert.ok(w.advanceUntil(() => w.running('req-2').length === 1, 30));
    assert.equal(w.workers.size, 1);
  });

// Guards against free capacity that counts although it is on a machine where the job failed: the job was tried there for ever.
test('a job that fails on the only machine with room gets another machine', () => {
  const w = worldFor(10);
  submit(w, spec('req-1', { team: 'blue', shape: 'service', tasks: 2, cpus: 5, estimateS: 0 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  // Two machines, each with room for three CPUs; the second one fails every task.
  const [first, second] = w.workers.values();
  submit(w, spec('req-10', { team: 'blue', shape: 'service', cpus: 3, tasks: 1, estimateS: 0 }));
  assert.ok(w.advanceUntil(() => w.running('req-10').length === 1, 30));
  const faulty = w.running('req-10')[0].host === first.host ? second : first;
  faulty.failsTasks = true;
  submit(w, spec('req-2', { team: 'blue', tasks: 1, cpus: 3 }));
  assert.ok(w.advanceUntil(() => w.finishedTasks.includes('req-2/0'), 60));
  assert.equal(w.workers.size, 3);
  assert.deepEqual(w.violations, []);
});

// Guards against capacity that counts for good on a machine that gets no more tasks, for whatever reason the leader cannot see.
test('a job gets a machine although a machine that accepts no tasks has room for it', () => {
  const w = worldFor(10);
  submit(w, spec('req-1', { team: 'blue', shape: 'service', tasks: 1, estimateS: 0 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 1, 60));
  const [machine] = w.nodes[0].controller.shardManager.shardState.machines.values();
  machine.quarantined = true;
  submit(w, spec('req-2', { team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 2, 4 * 16 + 11 + 15));
  assert.equal(w.workers.size, 2);
  assert.deepEqual(w.violations, []);
});

// Guards against machines that are requested for a team without a shard: nobody uses, returns or replaces them.
test('nothing is requested for a team that the leader does not know, and its job runs once a leader knows it', () => {
  const w = new World(2);
  w.capacity = 10;
  w.nodes[1].settings.teams.push({ name: 'green', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 });
  const [leader, successor] = w.nodes;
  w.advance(10);
  assert.equal(leader.controller.replica.leader?.member, leader.member);
  successor.submit(spec('req-2', { team: 'green' }));
  w.advance(30);
  assert.deepEqual(w.rentals, []);
  leader.alive = false;
  assert.ok(w.advanceUntil(() => w.finishedTasks.includes('req-2/1'), 90));
  assert.equal(w.workers.size, 1);
  assert.deepEqual(w.violations, []);
});

const urgencies = ['production', 'high', 'normal', 'low'] as const;
const occupantArbitrary = fc.record({
  shape: fc.constantFrom('service' as const, 'array' as const),
  urgency: fc.constantFrom(...urgencies),
  tasks: fc.integer({ min: 1, max: 4 }),
  cpus: fc.constantFrom(1, 3, 4, 8),
  estimateS: fc.constantFrom(0, 1, 20, 300, 100_000, 1e308),
});
const waitingArbitrary = fc.record({
  shape: fc.constantFrom('service' as const, 'array' as const, 'gang' as const),
  urgency: fc.constantFrom(...urgencies),
  class: fc.constantFrom('c', tightClass),
  tasks: fc.integer({ min: 1, max: 6 }),
  cpus: fc.constantFrom(0.5, 1, 5, 8),
  estimateS: fc.constantFrom(0, 1, 20, 60, 100_000, 1e308),
  deadlineS: fc.constantFrom(null, 0, 1, 30),
  oneZone: fc.boolean(),
});
const propertySeed = 53;
const propertyRuns = 40;
/** No estimate above 300 s counts on capacity, and a task of 300 s is overdue after 618 s; stalls and starts come on top. */
const propertyLimitS = 2 * (300 + 1) + 16 + 90;

// Guards against jobs that wait for good while the cloud has machines for them (review/3), and against counts that are not numbers.
test('property: every accepted job is placed within a bounded time although nothing that runs ends', () => {
  fc.assert(
    fc.property(
      fc.array(occupantArbitrary, { minLength: 1, maxLength: 4 }),
      fc.array(waitingArbitrary, { minLength: 1, maxLength: 4 }),
      (occupying, waiting) => {
        const w = worldFor(60);
        const jobs: JobSpec[] = [];
        const add = (fields: Partial<JobSpec>): void => {
          const memGb = (fields.cpus ?? 1) * 4;
          const job = spec(`req-1${jobs.length}`, { team: 'blue', memGb, ...fields });
          jobs.push(job);
          submit(w, job);
        };
        occupying.forEach(add);
        w.advance(30);
        waiting.forEach(add);
        const allPlaced = (): boolean => jobs.every(({ id, tasks }) => w.running(id).length === tasks);
        assert.ok(w.advanceUntil(allPlaced, propertyLimitS), 'a job waits for good');
        for (const [, message, fields] of w.nodes[0].logLines)
          if (message === 'demand') assert.ok(!JSON.stringify(fields).includes('null'), 'not a number');
        // At most one machine for each task that shares none, and one more for each job.
        const needed = jobs.reduce((sum, job) => sum + Math.ceil(job.tasks / fitCount(job, box)) + 1, 0);
        assert.ok(w.workers.size <= needed, `${w.workers.size} machines instead of ${needed}`);
        assert.deepEqual(w.violations, []);
      },
    ),
    { seed: propertySeed, numRuns: propertyRuns },
  );
});
