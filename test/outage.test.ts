/** Tests agents and control services during outages of the network, store and processes, and after clock changes. */
import assert from 'node:assert/strict';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
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
import { pause, withTestCluster } from './support/test-cluster.js';

const noLog = (): undefined => undefined;

test('outage: a connection that is interrupted for less than the lease loses no attempt', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    const proxy = await cluster.startAgentProxy();
    await cluster.startAgent('a');
    await cluster.submit(cluster.job(1, { pieces: 3, ...cluster.script('sleep 2; exit 4') }));
    await cluster.waitUntil(async () => cluster.attempts().length === 3);
    proxy.interrupt();
    await pause(2500);
    proxy.restore();
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [4, 4, 4],
    );
    assert.equal(cluster.attempts().length, 3);
  }));

test('outage: interrupted for longer than the lease, the agent kills its command, which runs again with a new watchdog', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    const proxy = await cluster.startAgentProxy();
    await cluster.startAgent('a');
    const releaseFile = join(cluster.dir, 'go');
    await cluster.submit(cluster.job(1, cluster.script(`while [ ! -f ${releaseFile} ]; do sleep 0.1; done`)));
    await cluster.waitUntil(async () => cluster.attempts().length === 1);
    proxy.interrupt();
    await cluster.waitUntil(async () => cluster.taskProcessesOf('a').length === 0);
    assert.equal(
      cluster.attempts().length,
      1,
      'the task ran again before its first attempt had certainly ended',
    );
    // The first watchdog exits when the first lease expires.
    await cluster.waitUntil(async () => cluster.watchdogsOf('a').length === 0);
    proxy.restore();
    await cluster.waitUntil(async () => cluster.attempts().length === 2);
    await cluster.waitUntil(async () => cluster.watchdogsOf('a').length > 0);
    writeFileSync(releaseFile, '');
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual([one.status, one.failed, one.tasks[0].last?.attempt], ['done', 0, 2]);
    assert.equal(cluster.attempts().length, 2);
  }, '(report-s 0.3) (lease-s 2)'));

// Guards against a job that is called done, although the agents killed its commands and never ran them again.
test('outage: the control service is away for longer than the lease; killed commands run again before their job is done', () =>
  withTestCluster(async (cluster) => {
    const [linesPath, releasePath] = [join(cluster.dir, 'lines'), join(cluster.dir, 'go')];
    const lines = (word: string): string[] =>
      readFileSync(linesPath, 'utf8')
        .split('\n')
        .filter((line) => line.startsWith(`${word} `));
    const note = (word: string): string => `echo "${word} $DAPPLEPICK_INDEX" >> ${linesPath}`;
    writeFileSync(linesPath, '');
    cluster.startProcess('control');
    await cluster.startAgent('a');
    const script = `${note('begin')}; while [ ! -f ${releasePath} ]; do sleep 0.1; done; ${note('end')}`;
    await cluster.submit(cluster.job(1, { pieces: 3, command: ['/bin/sh', '-c', script] }));
    await cluster.waitUntil(async () => lines('begin').length === 3);
    await cluster.kill('control');
    await cluster.waitUntil(async () => cluster.taskProcessesOf('a').length === 0);
    writeFileSync(releasePath, '');
    cluster.startProcess('control');
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual([one.status, one.done, one.failed], ['done', 3, 0]);
    assert.deepEqual(lines('end').sort(), ['end 0', 'end 1', 'end 2']);
  }, '(report-s 0.3) (lease-s 2)'));

test('outage: the wall clock jumps; limits, leases and durations of tasks follow the monotonic clock', () =>
  withTestCluster(async (cluster) => {
    const realNow = Date.now;
    try {
      await cluster.startControl();
      await cluster.startAgent('a');
      await cluster.submit(cluster.job(1, { wallS: 4, ...cluster.script('sleep 1.5; exit 3') }));
      await cluster.submit(cluster.job(2, { wallS: 1, ...cluster.script('sleep 30') }));
      await cluster.waitUntil(async () => cluster.attempts().length === 2);
      Date.now = () => realNow() + 3_600_000;
      await pause(700);
      Date.now = () => realNow() - 7_200_000;
      const [one, two] = [await cluster.waitForJobEnd(1), await cluster.waitForJobEnd(2)];
      assert.deepEqual([one.tasks[0].last?.exit, two.tasks[0].last?.reason], [3, 'wall time']);
      const { startedAt, endedAt } = one.tasks[0].last as unknown as { startedAt: number; endedAt: number };
      assert.ok(endedAt - startedAt >= 1400 && endedAt - startedAt < 4000, `${endedAt - startedAt} ms`);
      await cluster.submit(cluster.job(3));
      assert.equal((await cluster.waitForJobEnd(3)).failed, 0);
      assert.equal(cluster.attempts().length, 3);
    } finally {
      Date.now = realNow;
    }
  }));

test('outage: an agent is killed with its commands and watchdog; the attempts are lost, and the tasks run once more', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    cluster.startProcess('a');
    await cluster.submit(
      cluster.job(1, { pieces: 3, ...cluster.script('[ $DAPPLEPICK_ATTEMPT -le 3 ] && sleep 60; true') }),
    );
    await cluster.waitUntil(async () => cluster.attempts().length === 3);
    await cluster.kill('a');
    for (const p of [...cluster.taskProcessesOf('a'), ...cluster.watchdogsOf('a')])
      sendSignal(p.pid, 'SIGKILL');
    await pause(300);
    cluster.startProcess('a');
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual([one.status, one.failed], ['done', 0]);
    assert.ok(one.tasks.every((t) => (t.last?.attempt ?? 0) > 3));
    assert.equal(cluster.attempts().length, 6);
  }));

test('outage: if the agent is killed, the watchdog also kills processes that left their process group', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    cluster.startProcess('a');
    await cluster.submit(cluster.job(1, cluster.script('setsid sleep 300 & sleep 300')));
    await cluster.waitUntil(async () => cluster.taskProcessesOf('a').length >= 3);
    await cluster.kill('a');
    await cluster.waitUntil(async () => cluster.taskProcessesOf('a').length === 0);
    await cluster.request('POST', '/work/req-1/withdraw', {});
  }, '(report-s 0.3) (lease-s 2)'));

test('outage: an idle agent that is stopped leaves no watchdog behind', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    const a = await cluster.startAgent('a');
    await cluster.submit(cluster.job(1));
    await cluster.waitForJobEnd(1);
    assert.ok(cluster.watchdogsOf('a').length > 0);
    a.stop();
    await cluster.waitUntil(async () => cluster.watchdogsOf('a').length === 0);
  }));

test('outage: a control service that is started before its store waits for the store', () =>
  withTestCluster(
    async (cluster) => {
      for (const name of ['one', 'two', 'a']) cluster.startProcess(name);
      await pause(1500);
      assert.ok(['one', 'two'].every((n) => cluster.children.get(n)!.exitCode === null));
      cluster.startProcess('store');
      await cluster.submit(cluster.job(1));
      assert.equal((await cluster.waitForJobEnd(1)).failed, 0);
    },
    '(report-s 0.3) (lease-s 6)',
    ['one', 'two'],
  ));

test('outage: two control services share a store; store, shard owner and agent are killed in turn during a batch', () =>
  withTestCluster(
    async (cluster) => {
      const random = seededRandom(Number(process.env['SOAK_SEED'] ?? 5));
      for (const name of ['store', 'one', 'two', 'a', 'b']) cluster.startProcess(name);
      const jobs = [1, 2, 3, 4, 5, 6];
      await Promise.all(
        jobs.map((i) =>
          cluster.submit(
            cluster.job(
              i,
              i === 4
                ? { shape: 'ensemble', pieces: 2 }
                : {
                    pieces: 12,
                    retries: 1,
                    ...cluster.script('sleep 0.2; exit $((DAPPLEPICK_INDEX % 4 == 3))'),
                  },
            ),
          ),
        ),
      );
      const owner = async (): Promise<string> => {
        const r = await cluster.request('GET', '/machines');
        return (r?.body as { owner: string | null } | undefined)?.owner ?? 'one';
      };
      for (let round = 0; round < 4; round++) {
        await pause(500 + 500 * random());
        const name = round % 2 === 0 ? await owner() : random() < 0.7 ? 'store' : 'a';
        await cluster.kill(name);
        await pause(300 * random());
        cluster.startProcess(name);
      }
      for (const i of jobs) {
        const job = await cluster.waitForJobEnd(i, 60);
        // Every fourth task fails, also in its second attempt.
        assert.deepEqual([job.status, job.failed], ['done', i === 4 ? 0 : 3], `req-${i}`);
        assert.ok(job.tasks.every((t) => t.state === (i !== 4 && t.index % 4 === 3 ? 'failed' : 'done')));
      }
      const startedAttempts = cluster.attempts();
      // No control service lost a failure that another one had recorded: each failed first attempt is followed by a second.
      assert.ok(startedAttempts.length >= 5 * 15 + 2);
    },
    // No lease may expire here, on however busy a machine: after a lease end an attempt may be started again.
    '(report-s 0.3) (lease-s 60)',
    ['one', 'two'],
  ));

const withStore = async (run: (store: ControlStore) => Promise<void>): Promise<void> => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-kv-'));
  const engine = await Engine.open(await LevelDisk.open(dir), noLog, (e) => assert.fail(e.message));
  await run(new EmbeddedStore(engine));
  await engine.close();
  rmSync(dir, { recursive: true, force: true });
};

test('outage: a previous owner that has not noticed its loss of the shard cannot record results', () =>
  withStore(async (store) => {
    const grant = async (owner: string): Promise<number> => {
      const outcome = await store.commit({
        conditions: [],
        writes: [{ key: 'dp/shard/0', data: { owner } }],
      });
      return outcome.type === 'ok' ? outcome.revision : assert.fail(outcome.type);
    };
    const job = { id: 'req-1', retries: 0, gang: false };
    const result = { exit: 1, signal: null, reason: 'exited' as const, startedAt: 1, endedAt: 2 };
    const attemptEnd = (index: number, exit: number) => ({
      index,
      attempt: 1,
      host: 'a.1',
      result: { ...result, exit },
    });
    const [previousOwner, newOwner] = [new ResultStore(store), new ResultStore(store)];
    const [firstRevision] = [await grant('one')];
    assert.equal(
      await previousOwner.record(job, attemptEnd(0, 0), [{ key: 'dp/shard/0', stamp: firstRevision }]),
      'done',
    );
    const secondRevision = await grant('two');
    await newOwner.load();
    assert.equal(newOwner.get('req-1', 0)?.exit, 0);
    await assert.rejects(
      previousOwner.record(job, attemptEnd(1, 1), [{ key: 'dp/shard/0', stamp: firstRevision }]),
    );
    assert.equal(
      await newOwner.record(job, attemptEnd(1, 1), [{ key: 'dp/shard/0', stamp: secondRevision }]),
      'done',
    );
    await previousOwner.load('req-1');
    assert.deepEqual([previousOwner.get('req-1', 1)?.exit, previousOwner.failedTaskCount('req-1')], [1, 1]);
  }));

test('outage: agents that join through two control services at once get unique host names', () =>
  withStore(async (store) => {
    const pools = [0, 1].map(() => new AgentPool(store, ['here'], 1000, () => 0, noLog));
    const joinRequest = { type: 't', zone: 'here', cpus: 1, gpus: 0, memGb: 1, attrs: {} };
    const joined = await Promise.allSettled(
      Array.from({ length: 12 }, async (_, i) => {
        for (let attempt = 0; attempt < 30; attempt++)
          try {
            return await pools[i % 2].join({ ...joinRequest, name: `n${i}`, id: `${i}`.padStart(8, '0') });
          } catch {
            await pause(1);
          }
        return assert.fail('the join request was never accepted');
      }),
    );
    const hosts = joined.map((j) => (j.status === 'fulfilled' && 'host' in j.value ? j.value.host : ''));
    const hostNumbers = hosts.map((h) => h.split('.')[1]);
    assert.equal(new Set(hostNumbers).size, 12, hostNumbers.join(' '));
    // A machine forgotten through one control service is forgotten by the other after its next reload.
    let forgottenHost = '';
    pools[1].onForgotten = (host) => (forgottenHost = host);
    await pools[1].load();
    await pools[0].load();
    await pools[0].forget(hosts[0]);
    await pools[1].load();
    assert.deepEqual([forgottenHost, pools[1].get(hosts[0])?.forgotten], [hosts[0], true]);
  }));

test('outage: pruning removes the output of the tasks that ended first, regardless of their names', () => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-prune-'));
  const records = new AgentDirectory(dir);
  const jobNumbers = [3, 1, 2, 5, 4];
  jobNumbers.forEach((n, i) => {
    const directory = records.taskDirectory({ job: `req-${n}`, index: 0, attempt: 1 });
    mkdirSync(directory, { recursive: true });
    utimesSync(directory, 1000 + i, 1000 + i);
  });
  records.pruneOutputs(2);
  const remaining = jobNumbers.filter((n) =>
    existsSync(records.taskDirectory({ job: `req-${n}`, index: 0, attempt: 1 })),
  );
  assert.deepEqual(remaining, [5, 4]);
  rmSync(dir, { recursive: true, force: true });
});
