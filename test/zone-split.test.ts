/** Zones in which waiting tasks are expected to run: only those that can take them now, or where machines can be requested. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AutoscalerContext } from '../src/core/autoscaler/context.js';
import { emptyHeadroom, poolOf, type MachinePools } from '../src/core/autoscaler/headroom.js';
import type { MachineOffer, OfferAvailability } from '../src/core/autoscaler/offers.js';
import { splitByZone } from '../src/core/autoscaler/zone-split.js';
import type { JobSpec } from '../src/model/job.js';
import type { MachineType } from '../src/model/machine.js';
import { box, spec } from './support/fixtures.js';

const zones = ['north', 'south', 'west'];
const boxes: MachineType = { ...box, zones };
const gpuBoxes: MachineType = { ...boxes, name: 'gpu-box', gpus: 2 };

/** Splits a job over the zones. `machines`: empty machines by zone; `offers`: what the cloud is assumed to have. */
function split(
  job: JobSpec,
  machines: Record<string, MachineType>,
  offers: (offer: MachineOffer) => boolean,
): Record<string, number> {
  const pools: MachinePools = new Map();
  for (const [zone, type] of Object.entries(machines))
    poolOf(pools, { type, zone, spot: false }).machines.push(emptyHeadroom(type, 0));
  const replica = { machineTypes: [boxes, gpuBoxes], chunks: new Map(), machines: new Map() };
  const context = { replica, settings: { zones } } as unknown as AutoscalerContext;
  const availability = { isAvailable: offers } as unknown as OfferAvailability;
  const groups = splitByZone(context, availability, { id: job.id, spec: job }, job.tasks, pools);
  return Object.fromEntries(groups.map((group) => [group.zones?.join() ?? 'any', group.count]));
}

// Guards against a job that waits for good in a zone whose only free machine it may not use.
test('a job for one zone is not bound to a GPU machine that it may not use', () => {
  const job = spec('req-1', { oneZone: true });
  assert.deepEqual(
    split(job, { north: gpuBoxes }, ({ zone }) => zone === 'south'),
    { south: 2 },
  );
});

// Guards against a job that waits for good in a zone without offers while another zone has spot machines for it.
test('a job for one zone goes where only spot machines are available', () => {
  const job = spec('req-1', { oneZone: true, spot: true });
  assert.deepEqual(
    split(job, {}, ({ zone, spot }) => spot && zone === 'west'),
    { west: 2 },
  );
});

// Guards against a job that waits for good because half of it is meant for a zone that cannot take that many.
test('a job spread over zones puts into a zone without offers only what fits there', () => {
  const job = spec('req-1', { apart: true, tasks: 4, cpus: 8 });
  assert.deepEqual(
    split(job, { north: boxes }, ({ zone }) => zone !== 'north'),
    { north: 1, south: 2, west: 1 },
  );
});
