/** Gangs of which some tasks have completed and others were lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

// Guards against a gang that is never placed again because it still counts as being torn down after its last task has
// completed. Found by seed 4 of "jobs bound to a zone" in leader-changes.test.ts with the task log.
test('a gang that is being torn down when its last task completes can be placed again', () => {
  const w = new World(1);
  w.serviceJobs.add('req-1');
  w.advance(5);
  w.nodes[0].submit(spec('req-1', { shape: 'gang', tasks: 2, cpus: 4, team: 'blue' }));
  assert.ok(w.advanceUntil(() => w.running('req-1').length === 2, 60));
  const { shardState } = w.nodes[0].controller.shardManager;
  const job = shardState.jobs.get('req-1')!;
  const [first, last] = [...job.placements.values()];
  shardState.removePlacement(first, 'vanished');
  assert.equal(job.tearingDown, true);
  shardState.removePlacement(last, 'done', 'completed');
  assert.equal(job.placements.size, 0);
  assert.equal(job.tearingDown, false);
});
