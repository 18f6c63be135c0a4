/** Deleted machines in an outdated listing are not adopted again, even if the whole fleet is deleted within one listing lag. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import { parseSettings } from '../src/config/settings.js';
import { Autoscaler } from '../src/core/autoscaler/autoscaler.js';
import type { Effect } from '../src/core/effects.js';
import { Replica } from '../src/core/replica.js';
import {
  blockData,
  blockKey,
  legacyLeaderKey,
  machineData,
  machineKey,
  machineTypesData,
  legacyMachineTypesKey,
  type TransactionBatcher,
  type PendingWrite,
} from '../src/core/storage/index.js';
import { capabilitiesOf, FeatureLevels } from '../src/feature-levels/index.js';
import { retryPolicies, seededRandom } from '../src/retry/index.js';
import type { ListedMachine } from '../src/wire/cloud.js';
import { box, settingsText } from './support/fixtures.js';

const noop = (): void => undefined;

test('4,000 deleted machines are not adopted again from a listing that still contains them', () => {
  const settings = parseSettings(settingsText('n0', 1));
  const replica = new Replica(
    {
      jobChanged: noop,
      machineChanged: noop,
      shardChanged: noop,
      criticalChange: noop,
      readabilityChanged: noop,
      levelChanged: noop,
      incarnationChanged: noop,
    },
    new FeatureLevels(capabilitiesOf('test')),
  );
  const hosts = Array.from({ length: 4000 }, (_, i) => `host-${i}`);
  const record = { type: box.name, zone: 'north', spot: false, shard: 0, since: 0 };
  const blocks = Array.from({ length: 80 }, (_, i) => hosts.slice(i * 50, (i + 1) * 50));
  replica.loadSnapshot(
    [
      { key: legacyLeaderKey, data: { member: settings.member, run: 'run' }, stamp: 1 },
      { key: legacyMachineTypesKey, data: machineTypesData([box]), stamp: 1 },
      ...blocks.map((b, i) => ({
        key: blockKey(`b-${i}`),
        data: blockData({ ...record, hosts: b }),
        stamp: 1,
      })),
      ...hosts.map((host) => ({
        key: machineKey(host),
        data: machineData({ ...record, host, state: 'dead' }),
        stamp: 1,
      })),
    ],
    1,
  );
  assert.equal(replica.machines.size, 4000);
  let stamp = 1;
  const batcher = {
    enqueue(intent: PendingWrite): void {
      const txn = intent.build();
      if (!txn) return;
      stamp++;
      for (const w of txn.writes) replica.apply({ ...w, stamp });
      intent.onCommitted(stamp);
    },
  } as unknown as TransactionBatcher;
  const unexpected: unknown[] = [];
  const clock = { now: 0, wall: 1_000_000 };
  const autoscaler = new Autoscaler({
    settings,
    operators: operatorDefaults,
    replica,
    batcher,
    clock,
    retry: retryPolicies({ ...settings, stateLeaseMs: 3200 }).cloud,
    random: seededRandom(1),
    log: (_, message, fields) => void (message === 'unexpected machine' && unexpected.push(fields)),
  });
  const deleted: string[] = [];
  while (deleted.length < hosts.length && clock.now < 60_000) {
    clock.now += 250;
    clock.wall += 250;
    const out: Effect[] = [];
    autoscaler.tick(out);
    for (const e of out) if (e.type === 'list-machines') autoscaler.handleListing(null, clock.now);
    for (const e of out)
      if (e.type === 'delete-machines') {
        deleted.push(...e.hosts);
        autoscaler.handleDeletion(e.hosts, true);
      }
  }
  assert.equal(deleted.length, 4000);
  assert.equal(replica.machines.size, 0);
  const outdatedListing = hosts.map((host): ListedMachine => ({
    host,
    endpoint: '',
    type: box.name,
    zone: 'north',
    spot: false,
    status: 'running',
    ageS: 100,
  }));
  autoscaler.handleListing(outdatedListing, clock.now);
  assert.equal(unexpected.length, 0);
  assert.equal(replica.machines.size, 0);
});
