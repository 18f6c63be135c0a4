/** The order in which the transaction batcher sends writes when the write budget is short. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TransactionBatcher, WritePriority } from '../src/core/storage/index.js';
import type { Effect } from '../src/core/effects.js';
import { Replica } from '../src/core/replica.js';
import { capabilitiesOf, FeatureLevels } from '../src/feature-levels/index.js';
import { retryPolicies, seededRandom } from '../src/retry/index.js';
import type { Transaction } from '../src/wire/store.js';

const noop = (): void => undefined;

const listener = {
  jobChanged: noop,
  machineChanged: noop,
  shardChanged: noop,
  criticalChange: noop,
  readabilityChanged: noop,
  levelChanged: noop,
  incarnationChanged: noop,
};

/** A transaction batcher whose transactions are committed at once, and the keys that it wrote, in order. */
class BatcherHarness {
  readonly written: string[] = [];
  private epoch = 1;
  private readonly batcher: TransactionBatcher;

  constructor(writesPerS: number) {
    const replica = new Replica(listener, new FeatureLevels(capabilitiesOf('test')));
    replica.loadSnapshot([], 1);
    const limits = { maxOperations: 24, maxConditions: 96, maxBytes: 48 * 1024, writesPerS, controllers: 1 };
    const retry = retryPolicies({
      peers: [],
      state: { rps: 100, write_rps: writesPerS, value_kb: 32, txn_ops: 24 },
      cloud: { rps: 8, list_lag_s: 5 },
      workers: { report_s: 2.5, lease_s: 18, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 38 },
      stateLeaseMs: 3600,
    } as unknown as Parameters<typeof retryPolicies>[0]);
    this.batcher = new TransactionBatcher('run', limits, replica, retry.state, seededRandom(1), noop);
  }

  add(key: string, priority: WritePriority): void {
    const txn: Transaction = { conditions: [], writes: [{ key, data: {} }] };
    this.batcher.enqueue({ priority, build: () => txn, onCommitted: noop, onConflict: noop });
  }

  runUntil(now: number): void {
    for (let at = 0; at <= now; at += 20) {
      const out: Effect[] = [];
      this.batcher.tick(at, out);
      for (const effect of out)
        if (effect.type === 'commit') {
          this.written.push(...effect.txn.writes.map((w) => w.key));
          this.batcher.handleOutcome({ type: 'ok', revision: ++this.epoch }, at, []);
        }
    }
  }
}

test('a placement of an urgent job does not wait for hundreds of other placements', () => {
  const writesPerS = 10;
  const harness = new BatcherHarness(writesPerS);
  for (let i = 0; i < 300; i++) harness.add(`dp/t/req-${i}/0`, WritePriority.task);
  harness.runUntil(2000);
  harness.add('dp/t/req-999/0', WritePriority.urgent);
  const before = harness.written.length;
  harness.runUntil(4000);
  const position = harness.written.indexOf('dp/t/req-999/0') - before;
  assert.ok(position >= 0 && position < 3, `written after ${position} other placements`);
});

test('urgent placements do not starve other writes', () => {
  const harness = new BatcherHarness(10);
  for (let i = 0; i < 300; i++) harness.add(`dp/t/req-${i}/0`, WritePriority.urgent);
  for (let i = 0; i < 300; i++) harness.add(`dp/t/other-${i}/0`, WritePriority.task);
  harness.runUntil(10_000);
  const others = harness.written.filter((key) => key.includes('other')).length;
  assert.ok(
    others >= harness.written.length / 3,
    `${others} of ${harness.written.length} writes were not urgent`,
  );
});
