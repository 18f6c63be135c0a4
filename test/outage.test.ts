/** Agents and control service through outages of the store and loss of files. */
import assert from 'node:assert/strict';
import { existsSync, mkdirSync, mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { sendSignal } from '../src/agent/processes.js';
import { AgentDirectory } from '../src/agent/agent-directory.js';
import { AgentPool } from '../src/control/agent-pool.js';
import { ResultStore } from '../src/control/result-store.js';
import type { ControlStore } from '../src/control/control-store.js';
import { seededRandom } from '../src/retry/index.js';
import { EmbeddedStore, Engine, LevelDisk } from '../src/store/index.js';
import { pause, withSite } from './support/site.js';

const quiet = (): undefined => undefined;

test('outage: a connection that is cut for less than the lease costs nothing', () =>
  withSite(async (s) => {
    await s.control();
    const door = await s.behindDoor();
    await s.agent('a');
    await s.submit(s.job(1, { pieces: 3, ...s.script('sleep 2; exit 4') }));
    await s.until(async () => s.attempts().length === 3);
    door.cut();
    await pause(2500);
    door.mend();
    const one = await s.over(1);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [4, 4, 4],
    );
    assert.equal(s.attempts().length, 3);
  }));

test('outage: cut for longer than the lease, the agent ends its commands, others run them, and it is watched over again', () =>
  withSite(async (s) => {
    await s.control();
    const door = await s.behindDoor();
    await s.agent('a');
    const go = join(s.dir, 'go');
    await s.submit(s.job(1, s.script(`while [ ! -f ${go} ]; do sleep 0.1; done`)));
    await s.until(async () => s.attempts().length === 1);
    door.cut();
    await s.until(async () => s.commandsOf('a').length === 0);
    assert.equal(s.attempts().length, 1, 'given to nobody before it had surely ended');
    // The first watchdog goes with the first lease.
    await s.until(async () => s.watchdogsOf('a').length === 0);
    door.mend();
    await s.until(async () => s.attempts().length === 2);
    await s.until(async () => s.watchdogsOf('a').length > 0);
    writeFileSync(go, '');
    const one = await s.over(1);
    assert.deepEqual([one.status, one.failed, one.tasks[0].last?.attempt], ['done', 0, 2]);
    assert.equal(s.attempts().length, 2);
  }, '(report-s 0.3) (lease-s 2)'));

test('outage: the time of day jumps; limits, leases and times of tasks go by the steady clock', () =>
  withSite(async (s) => {
    const real = Date.now;
    try {
      await s.control();
      await s.agent('a');
      await s.submit(s.job(1, { wallS: 4, ...s.script('sleep 1.5; exit 3') }));
      await s.submit(s.job(2, { wallS: 1, ...s.script('sleep 30') }));
      await s.until(async () => s.attempts().length === 2);
      Date.now = () => real() + 3_600_000;
      await pause(700);
      Date.now = () => real() - 7_200_000;
      const [one, two] = [await s.over(1), await s.over(2)];
      assert.deepEqual([one.tasks[0].last?.exit, two.tasks[0].last?.reason], [3, 'wall time']);
      const { startedAt, endedAt } = one.tasks[0].last as unknown as { startedAt: number; endedAt: number };
      assert.ok(endedAt - startedAt >= 1400 && endedAt - startedAt < 4000, `${endedAt - startedAt} ms`);
      await s.submit(s.job(3));
      assert.equal((await s.over(3)).failed, 0);
      assert.equal(s.attempts().length, 3);
    } finally {
      Date.now = real;
    }
  }));

test('outage: an agent is killed with its commands and its watchdog: they are lost, and run once more', () =>
  withSite(async (s) => {
    await s.control();
    s.process('a');
    await s.submit(s.job(1, { pieces: 3, ...s.script('[ $DAPPLEPICK_ATTEMPT -le 3 ] && sleep 60; true') }));
    await s.until(async () => s.attempts().length === 3);
    await s.kill('a');
    for (const p of [...s.commandsOf('a'), ...s.watchdogsOf('a')]) sendSignal(p.pid, 'SIGKILL');
    await pause(300);
    s.process('a');
    const one = await s.over(1);
    assert.deepEqual([one.status, one.failed], ['done', 0]);
    assert.ok(one.tasks.every((t) => (t.last?.attempt ?? 0) > 3));
    assert.equal(s.attempts().length, 6);
  }));

test('outage: without its agent, also what left its group is ended with the lease', () =>
  withSite(async (s) => {
    await s.control();
    s.process('a');
    await s.submit(s.job(1, s.script('setsid sleep 300 & sleep 300')));
    await s.until(async () => s.commandsOf('a').length >= 3);
    await s.kill('a');
    await s.until(async () => s.commandsOf('a').length === 0);
    await s.ask('POST', '/work/req-1/withdraw', {});
  }, '(report-s 0.3) (lease-s 2)'));

test('outage: an agent that is stopped with nothing to do leaves nothing behind', () =>
  withSite(async (s) => {
    await s.control();
    const a = await s.agent('a');
    await s.submit(s.job(1));
    await s.over(1);
    assert.ok(s.watchdogsOf('a').length > 0);
    a.stop();
    await s.until(async () => s.watchdogsOf('a').length === 0);
  }));

test('outage: a control service that is started before its store waits for it', () =>
  withSite(
    async (s) => {
      for (const name of ['one', 'two', 'a']) s.process(name);
      await pause(1500);
      assert.ok(['one', 'two'].every((n) => s.children.get(n)!.exitCode === null));
      s.process('store');
      await s.submit(s.job(1));
      assert.equal((await s.over(1)).failed, 0);
    },
    '(report-s 0.3) (lease-s 6)',
    ['one', 'two'],
  ));

test('outage: two control services on one store; store, owner and agents are killed in turn during a batch', () =>
  withSite(
    async (s) => {
      const random = seededRandom(Number(process.env['SOAK_SEED'] ?? 5));
      for (const name of ['store', 'one', 'two', 'a', 'b']) s.process(name);
      const jobs = [1, 2, 3, 4, 5, 6];
      await Promise.all(
        jobs.map((i) =>
          s.submit(
            s.job(
              i,
              i === 4
                ? { shape: 'ensemble', pieces: 2 }
                : { pieces: 12, retries: 1, ...s.script('sleep 0.2; exit $((DAPPLEPICK_INDEX % 4 == 3))') },
            ),
          ),
        ),
      );
      const owner = async (): Promise<string> => {
        const r = await s.ask('GET', '/machines');
        return (r?.body as { owner: string | null } | undefined)?.owner ?? 'one';
      };
      for (let round = 0; round < 4; round++) {
        await pause(500 + 500 * random());
        const name = round % 2 === 0 ? await owner() : random() < 0.7 ? 'store' : 'a';
        await s.kill(name);
        await pause(300 * random());
        s.process(name);
      }
      for (const i of jobs) {
        const job = await s.over(i, 60);
        // Every fourth fails, also the second time.
        assert.deepEqual([job.status, job.failed], ['done', i === 4 ? 0 : 3], `req-${i}`);
        assert.ok(job.tasks.every((t) => t.state === (i !== 4 && t.index % 4 === 3 ? 'failed' : 'done')));
      }
      const ran = s.attempts();
      // Nobody forgot a failure that another had recorded: a task whose first attempt was seen to fail has one more.
      assert.ok(ran.length >= 5 * 15 + 2);
    },
    '(report-s 0.3) (lease-s 6)',
    ['one', 'two'],
  ));

const withStore = async (use: (kv: ControlStore) => Promise<void>): Promise<void> => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-kv-'));
  const engine = await Engine.open(await LevelDisk.open(dir), quiet, (e) => assert.fail(e.message));
  await use(new EmbeddedStore(engine));
  await engine.close();
  rmSync(dir, { recursive: true, force: true });
};

test('outage: an owner that does not know yet that it is one no more records nothing', () =>
  withStore(async (kv) => {
    const grant = async (owner: string): Promise<number> => {
      const o = await kv.commit({ conditions: [], writes: [{ key: 'dp/shard/0', data: { owner } }] });
      return o.type === 'ok' ? o.revision : assert.fail(o.type);
    };
    const job = { id: 'req-1', retries: 0, gang: false };
    const result = { exit: 1, signal: null, reason: 'exited' as const, startedAt: 1, endedAt: 2 };
    const end = (index: number, exit: number) => ({
      index,
      attempt: 1,
      host: 'a.1',
      result: { ...result, exit },
    });
    const [mine, others] = [new ResultStore(kv), new ResultStore(kv)];
    const [first] = [await grant('one')];
    assert.equal(await mine.record(job, end(0, 0), [{ key: 'dp/shard/0', stamp: first }]), 'done');
    const second = await grant('two');
    await others.load();
    assert.equal(others.get('req-1', 0)?.exit, 0);
    await assert.rejects(mine.record(job, end(1, 1), [{ key: 'dp/shard/0', stamp: first }]));
    assert.equal(await others.record(job, end(1, 1), [{ key: 'dp/shard/0', stamp: second }]), 'done');
    await mine.load('req-1');
    assert.deepEqual([mine.get('req-1', 1)?.exit, mine.failedTaskCount('req-1')], [1, 1]);
  }));

test('outage: agents that join through two control services at once get names of their own', () =>
  withStore(async (kv) => {
    const pools = [0, 1].map(() => new AgentPool(kv, ['here'], 1000, () => 0, quiet));
    const agent = { type: 't', zone: 'here', cpus: 1, gpus: 0, memGb: 1, attrs: {} };
    const joined = await Promise.allSettled(
      Array.from({ length: 12 }, async (_, i) => {
        for (let tries = 0; tries < 30; tries++)
          try {
            return await pools[i % 2].join({ ...agent, name: `n${i}`, id: `${i}`.padStart(8, '0') });
          } catch {
            await pause(1);
          }
        return assert.fail('never let in');
      }),
    );
    const hosts = joined.map((j) => (j.status === 'fulfilled' && 'host' in j.value ? j.value.host : ''));
    const counts = hosts.map((h) => h.split('.')[1]);
    assert.equal(new Set(counts).size, 12, counts.join(' '));
    // Forgotten through one, it is so for the other once that has looked.
    let told = '';
    pools[1].onForgotten = (host) => (told = host);
    await pools[1].load();
    await pools[0].load();
    await pools[0].forget(hosts[0]);
    await pools[1].load();
    assert.deepEqual([told, pools[1].get(hosts[0])?.forgotten], [hosts[0], true]);
  }));

test('outage: what is pruned first is what has been over longest, whatever its name', () => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-prune-'));
  const records = new AgentDirectory(dir);
  const ids = [3, 1, 2, 5, 4];
  ids.forEach((n, i) => {
    const at = records.taskDirectory({ job: `req-${n}`, index: 0, attempt: 1 });
    mkdirSync(at, { recursive: true });
    utimesSync(at, 1000 + i, 1000 + i);
  });
  records.pruneOutputs(2);
  const left = ids.filter((n) =>
    existsSync(records.taskDirectory({ job: `req-${n}`, index: 0, attempt: 1 })),
  );
  assert.deepEqual(left, [5, 4]);
  rmSync(dir, { recursive: true, force: true });
});
