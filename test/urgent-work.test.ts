/** Urgent work goes ahead of other work in the write queue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { box, spec } from './support/fixtures.js';
import { World } from './support/world.js';

// Guards against urgent gangs that never get a whole machine because small tasks of less urgency take every place that
// comes free: only the first gang had machines kept for it.
test('machines run empty for urgent gangs that are short of time: nothing less urgent starts there', () => {
  const w = new World(1);
  w.nodes[0].settings.objectives.push({ kind: 'wait', class: 'photo', within_s: 60, times: 1 });
  w.capacity = 6;
  // Few would be stopped for them before the limit is near.
  w.types = [{ ...box, bootS: 3 }];
  w.advanceUntil(
    () => w.nodes[0].controller.replica.machineTypes.length > 0 && w.nodes[0].controller.sureOfAbsence,
    20,
  );
  w.nodes[0].submit(spec('req-1', { team: 'blue', urgency: 'low', tasks: 600 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 48, 60));
  // They end one after the other, so no machine runs empty by itself.
  let n = 0;
  for (const x of w.workers.values()) {
    x.taskDurationS = 40;
    for (const t of x.tasks.values()) t.since = w.now - 800 * n++;
  }
  for (let i = 0; i < 5; i++)
    w.nodes[0].submit(
      spec(`req-2${i}`, { class: 'photo', team: 'blue', urgency: 'high', shape: 'gang', tasks: 1, cpus: 8 }),
    );
  const { shardState } = w.nodes[0].controller.shardManager;
  assert.ok(w.advanceUntil(() => shardState.withheldHosts.size >= 3, 30));
  const kept = [...shardState.withheldHosts.keys()];
  // What had been placed by then starts with the next report.
  w.advance(4);
  const from = w.starts.length;
  w.advance(15);
  const low = w.starts.slice(from).filter((s) => s.piece.startsWith('req-1/') && kept.includes(s.host));
  assert.deepEqual(low, []);
  assert.ok(w.advanceUntil(() => w.finished.filter((p) => p.startsWith('req-2')).length === 5, 120));
  assert.deepEqual(w.violations, []);
});

// Guards against urgent gangs that never start because small tasks of their own team take its limit up again and again.
test("a team's limit goes to its most urgent work first", () => {
  const w = new World(1);
  w.nodes[0].settings.objectives.push({ kind: 'wait', class: 'photo', within_s: 60, times: 1 });
  w.capacity = 6;
  w.advanceUntil(
    () => w.nodes[0].controller.replica.machineTypes.length > 0 && w.nodes[0].controller.sureOfAbsence,
    20,
  );
  w.nodes[0].submit(spec('req-1', { team: 'red', urgency: 'low', tasks: 600 }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 16, 60));
  let n = 0;
  for (const x of w.workers.values()) for (const t of x.tasks.values()) t.since = w.now - 1200 * n++;
  w.nodes[0].submit(
    spec('req-2', { class: 'photo', team: 'red', urgency: 'high', shape: 'gang', tasks: 1, cpus: 8 }),
  );
  assert.ok(w.advanceUntil(() => w.running('req-2').length === 1, 80));
  assert.deepEqual(w.violations, []);
});
