/** Machines and quota are kept free for urgent gangs while less urgent jobs run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { box, spec } from './support/fixtures.js';
import { World } from './support/world.js';

// Guards against urgent gangs that never get a whole machine because less urgent small tasks take all capacity that becomes
// free: machines used to be reserved for the first gang only.
test('machines are withheld from less urgent jobs while urgent gangs are short of time', () => {
  const w = new World(1);
  w.nodes[0].settings.objectives.push({ kind: 'wait', class: 'photo', within_s: 60, times: 1 });
  w.capacity = 6;
  // With a short boot time, few tasks are preempted for the gangs before their time limit is near.
  w.types = [{ ...box, bootS: 3 }];
  w.advanceUntil(
    () => w.nodes[0].controller.replica.machineTypes.length > 0 && w.nodes[0].controller.sureOfAbsence,
    20,
  );
  w.nodes[0].submit(spec('req-1', { team: 'blue', urgency: 'low', tasks: 600 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 48, 60));
  // The tasks end one after the other, so that no machine drains by itself.
  let taskCount = 0;
  for (const worker of w.workers.values()) {
    worker.taskDurationS = 40;
    for (const task of worker.tasks.values()) task.since = w.now - 800 * taskCount++;
  }
  for (let i = 0; i < 5; i++)
    w.nodes[0].submit(
      spec(`req-2${i}`, { class: 'photo', team: 'blue', urgency: 'high', shape: 'gang', tasks: 1, cpus: 8 }),
    );
  const { shardState } = w.nodes[0].controller.shardManager;
  assert.ok(w.advanceUntil(() => shardState.withheldHosts.size >= 3, 30));
  const withheld = [...shardState.withheldHosts.keys()];
  // Tasks that have been placed already start with the next heartbeat.
  w.advance(4);
  const from = w.starts.length;
  w.advance(15);
  const low = w.starts.slice(from).filter((s) => s.piece.startsWith('req-1/') && withheld.includes(s.host));
  assert.deepEqual(low, []);
  assert.ok(w.advanceUntil(() => w.finishedTasks.filter((p) => p.startsWith('req-2')).length === 5, 120));
  assert.deepEqual(w.violations, []);
});

// Guards against urgent gangs that never start because small tasks of their own team keep using up the team's quota.
test("a team's quota is used for its most urgent jobs first", () => {
  const w = new World(1);
  w.nodes[0].settings.objectives.push({ kind: 'wait', class: 'photo', within_s: 60, times: 1 });
  w.capacity = 6;
  w.advanceUntil(
    () => w.nodes[0].controller.replica.machineTypes.length > 0 && w.nodes[0].controller.sureOfAbsence,
    20,
  );
  w.nodes[0].submit(spec('req-1', { team: 'red', urgency: 'low', tasks: 600 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 16, 60));
  let taskCount = 0;
  for (const worker of w.workers.values())
    for (const task of worker.tasks.values()) task.since = w.now - 1200 * taskCount++;
  w.nodes[0].submit(
    spec('req-2', { class: 'photo', team: 'red', urgency: 'high', shape: 'gang', tasks: 1, cpus: 8 }),
  );
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 1, 80));
  assert.deepEqual(w.violations, []);
});
