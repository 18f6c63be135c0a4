/** Tests the control service with agents on the loopback interface: in this process, or in processes of their own that are killed. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { listJobs } from '../src/control/job-views.js';
import { ResultStore } from '../src/control/result-store.js';
import type { Replica } from '../src/core/replica.js';
import type { JobRecord } from '../src/core/storage/index.js';
import { seededRandom } from '../src/retry/index.js';
import { pause, withTestCluster } from './support/test-cluster.js';

test('control: array, gang, failing, limited and simulated jobs each reach the expected end, and output can be read', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    await cluster.startAgent('a');
    await cluster.startAgent('b');
    await cluster.submit(
      cluster.job(1, { pieces: 6, ...cluster.script('echo "out $DAPPLEPICK_INDEX"; echo err >&2') }),
    );
    await cluster.submit(
      cluster.job(2, { shape: 'ensemble', pieces: 3, cpus: 2, ...cluster.script('sleep 0.4') }),
    );
    await cluster.submit(cluster.job(3, { retries: 2, ...cluster.script('exit 7') }));
    await cluster.submit(
      cluster.job(4, { wallS: 0.5, ...cluster.script('trap "" TERM; while :; do sleep 0.1; done') }),
    );
    await cluster.submit(
      cluster.job(5, {
        shape: 'ensemble',
        pieces: 3,
        ...cluster.script('[ $DAPPLEPICK_INDEX = 1 ] && exit 2; sleep 9'),
      }),
    );
    await cluster.submit(cluster.job(6, { command: null, jobclass: 'bad' }));
    await cluster.submit(cluster.job(7, { command: null, jobclass: 'quick', pieces: 5 }));
    const [one, two, three, four, five, six, seven] = await Promise.all(
      [1, 2, 3, 4, 5, 6, 7].map((i) => cluster.waitForJobEnd(i)),
    );
    assert.deepEqual([one.status, one.failed, one.done], ['done', 0, 6]);
    assert.deepEqual([two.status, two.failed], ['done', 0]);
    assert.equal(new Set(two.tasks.map((t) => t.last?.attempt)).size, 1);
    assert.deepEqual([three.failed, three.tasks[0].last?.exit], [1, 7]);
    assert.deepEqual([four.failed, four.tasks[0].last?.reason], [1, 'wall time']);
    // The gang failed as a whole: one task by its command, and the others because of it.
    assert.equal(five.failed, 3);
    assert.equal(five.tasks[1].last?.exit, 2);
    assert.deepEqual([six.failed, seven.failed], [1, 0]);
    const startedAttempts = cluster.attempts();
    assert.equal(startedAttempts.filter((l) => l.startsWith('req-3/')).length, 3);
    assert.equal(startedAttempts.filter((l) => l.startsWith('req-1/')).length, 6);
    const stdoutResponse = await fetch(`http://127.0.0.1:${cluster.port}/work/req-1/output/4`);
    assert.equal(await stdoutResponse.text(), 'out 4\n');
    const stderrResponse = await fetch(`http://127.0.0.1:${cluster.port}/work/req-1/output/4?stream=stderr`);
    assert.equal(await stderrResponse.text(), 'err\n');
    assert.equal((await cluster.request('GET', '/work/req-99/tasks'))?.status, 404);
    assert.equal(
      (await cluster.request('POST', '/work', cluster.job(8, { command: null, retries: 1 })))?.status,
      400,
    );
  }));

test('control: team limits, services, cancellation, and the job list', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    await cluster.startAgent('a');
    await cluster.submit(cluster.job(1, { shape: 'standing', pieces: 2, command: null }));
    await cluster.submit(cluster.job(2, { owner: 'small', pieces: 3, ...cluster.script('sleep 0.3') }));
    await cluster.waitUntil(
      async () => ((await cluster.fetchJob(1))?.tasks.filter((t) => t.state === 'placed').length ?? 0) === 2,
    );
    assert.equal((await cluster.waitForJobEnd(2)).failed, 0);
    const startLog = readFileSync(cluster.attemptsFile, 'utf8');
    assert.equal(startLog.trim().split('\n').length, 3);
    assert.equal(
      ((await cluster.request('POST', '/work/req-1/withdraw', {}))?.body as { status: string }).status,
      'aborted',
    );
    const list = (await cluster.request('GET', '/work?status=aborted'))?.body as {
      jobs: { nameId: string }[];
    };
    assert.deepEqual(
      list.jobs.map((j) => j.nameId),
      ['req-1'],
    );
    await cluster.waitUntil(
      async () =>
        cluster.service.service.controller.shardManager.machines.values().next().value?.placements.size === 0,
    );
  }));

test('control: join requests are refused for conflicts; a drained machine leaves; a forgotten machine has its tasks run elsewhere', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    const agentA = await cluster.startAgent('a');
    const joinRequest = { id: 'ffffffff', name: 'a', type: 't', zone: 'here', cpus: 4, gpus: 0, memGb: 2 };
    await cluster.waitUntil(
      async () =>
        ((await cluster.request('GET', '/machines'))?.body as { machines: unknown[] }).machines.length === 1,
    );
    for (const [body, expectedError] of [
      [joinRequest, /another agent has that name/],
      [{ ...joinRequest, name: 'x', cpus: 9 }, /other resources/],
      [{ ...joinRequest, name: 'x', zone: 'there' }, /zone there/],
    ] as const) {
      const response = await cluster.request('POST', '/agents', body);
      assert.equal(response?.status, 409);
      assert.match(String((response.body as { error: string }).error), expectedError);
    }
    assert.equal((await cluster.request('POST', '/agents', { ...joinRequest, cpus: 0 }))?.status, 400);
    await cluster.submit(cluster.job(1, { ...cluster.script('sleep 1.2') }));
    await cluster.waitUntil(async () => cluster.attempts().length === 1);
    assert.equal((await cluster.request('POST', '/machines/a/drain', {}))?.status, 200);
    await cluster.submit(cluster.job(2));
    assert.equal((await cluster.waitForJobEnd(1)).failed, 0);
    // The agent leaves once the task that ran on it has ended; the later job waits for another machine.
    assert.match(
      await Promise.race([agentA.released, pause(8000).then(() => 'not released')]),
      /left or was forgotten/,
    );
    assert.equal(cluster.attempts().length, 1);
    const agentB = await cluster.startAgent('b');
    assert.equal((await cluster.waitForJobEnd(2)).failed, 0);
    await cluster.submit(cluster.job(3, { ...cluster.script('sleep 30') }));
    await cluster.waitUntil(async () => cluster.attempts().length === 3);
    // The agent has stopped. The control service cannot know whether its task still runs until an operator forgets the machine.
    agentB.stop();
    const { pid } = (cluster.service.pool.find('b') ?? {}) as { pid?: number };
    assert.equal(pid, undefined);
    await cluster.startAgent('c');
    await pause(1500);
    assert.equal(cluster.attempts().length, 3);
    assert.equal((await cluster.request('POST', '/machines/b/forget', {}))?.status, 200);
    await cluster.waitUntil(async () => cluster.attempts().length === 4);
    await cluster.request('POST', '/work/req-3/withdraw', {});
    await cluster.waitUntil(async () => ((await cluster.fetchJob(3))?.status ?? '') === 'aborted');
  }, '(report-s 0.3) (lease-s 60) (missing-s 1)'));

test('control: the service is closed and reopened; agents keep running tasks, and results are kept', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    await cluster.startAgent('a');
    await cluster.submit(
      cluster.job(1, { pieces: 4, ...cluster.script('sleep 1.5; exit $DAPPLEPICK_INDEX') }),
    );
    await cluster.waitUntil(async () => cluster.attempts().length === 4);
    await cluster.stopControl();
    await pause(1000);
    await cluster.startControl();
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual([one.status, one.failed], ['done', 3]);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [0, 1, 2, 3],
    );
    assert.equal(cluster.attempts().length, 4);
    await cluster.stopControl();
    await cluster.startControl();
    assert.deepEqual(
      (await cluster.waitForJobEnd(1)).tasks.map((t) => t.last?.exit),
      [0, 1, 2, 3],
    );
  }));

test('control: an agent is killed; its commands keep running, and the restarted agent adopts them', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    cluster.startProcess('a');
    await cluster.submit(cluster.job(1, { pieces: 3, ...cluster.script('sleep 2; exit 5') }));
    await cluster.waitUntil(async () => cluster.attempts().length === 3);
    await cluster.kill('a');
    await pause(500);
    cluster.startProcess('a');
    const one = await cluster.waitForJobEnd(1);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [5, 5, 5],
    );
    assert.equal(cluster.attempts().length, 3);
  }));

test('control: if an agent is gone for longer than its lease, its command is killed before another agent runs it', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    cluster.startProcess('a');
    const progressFile = join(cluster.dir, 'beat');
    await cluster.submit(
      cluster.job(
        1,
        cluster.script(`while :; do date +%s%N > ${progressFile}.$DAPPLEPICK_ATTEMPT; sleep 0.1; done`),
      ),
    );
    await cluster.waitUntil(async () => existsSync(`${progressFile}.1`));
    await cluster.kill('a');
    await cluster.startAgent('b');
    await cluster.waitUntil(async () => existsSync(`${progressFile}.2`), 30);
    const lastWriteMs = Number(readFileSync(`${progressFile}.1`, 'utf8')) / 1e6;
    await pause(300);
    assert.ok(
      Number(readFileSync(`${progressFile}.1`, 'utf8')) / 1e6 === lastWriteMs,
      'the first attempt is still running',
    );
    assert.equal(cluster.attempts().length, 2);
    await cluster.request('POST', '/work/req-1/withdraw', {});
  }, '(report-s 0.3) (lease-s 2)'));

test('control: service and agents are killed at random during a batch; every task ends once, and no attempt runs twice', () =>
  withTestCluster(async (cluster) => {
    const random = seededRandom(Number(process.env['SOAK_SEED'] ?? 11));
    cluster.startProcess('control');
    for (const name of ['a', 'b']) cluster.startProcess(name);
    const jobs = Array.from({ length: 10 }, (_, i) => i + 1);
    await Promise.all(
      jobs.map((i) =>
        cluster.submit(cluster.job(i, i % 4 === 0 ? { shape: 'ensemble', pieces: 2 } : { pieces: 10 })),
      ),
    );
    for (let round = 0; round < 5; round++) {
      await pause(300 + 900 * random());
      const both = random() < 0.3;
      const name = ['control', 'a', 'b'][Math.floor(random() * 3)];
      await cluster.kill(name);
      if (both) await cluster.kill(name === 'control' ? 'a' : 'control');
      await pause(400 * random());
      cluster.startProcess(name);
      if (both) cluster.startProcess(name === 'control' ? 'a' : 'control');
      // Kill the control service again while it recovers.
      if (name === 'control' && random() < 0.5) {
        await pause(150);
        await cluster.kill('control');
        cluster.startProcess('control');
      }
    }
    for (const i of jobs) {
      const job = await cluster.waitForJobEnd(i, 60);
      assert.deepEqual([job.status, job.failed], ['done', 0], `req-${i}`);
      assert.ok(job.tasks.every((t) => t.state === 'done'));
    }
    cluster.attempts();
    // No lease may expire here, on however busy a machine: after a lease end an attempt may be started again.
  }, '(report-s 0.3) (lease-s 60)'));

test('control: 200 agents reconnect at once after the control service restarts', () =>
  withTestCluster(async (cluster) => {
    await cluster.startControl();
    for (let i = 0; i < 200; i++) await cluster.startAgent(`w${i}`, '(cpus 2) (mem-gb 1)');
    await cluster.submit(cluster.job(1, { pieces: 800, command: null, jobclass: 'quick' }));
    await cluster.waitUntil(async () => ((await cluster.fetchJob(1))?.done ?? 0) > 100, 30);
    await cluster.stopControl();
    await pause(700);
    await cluster.startControl();
    const one = await cluster.waitForJobEnd(1, 60);
    assert.deepEqual([one.status, one.failed, one.done], ['done', 0, 800]);
  }));

test('control: the jobs of 4,000 machines fit into one list, newest first', () => {
  const jobs = new Map<string, JobRecord>();
  for (let i = 0; i < 4000; i++) {
    const id = `req-${i}`;
    const open = { state: 'open' as const, spec: null, usage: null, tasksInline: false, modRevision: 1 };
    jobs.set(id, { id, acceptedAt: i, taskCount: 1, ...open });
  }
  const replica = { jobs, taskCounts: () => ({ done: 0, running: 1 }) } as unknown as Replica;
  const results = new ResultStore({ commit: () => assert.fail(), list: () => assert.fail() });
  const list = (query: string) =>
    listJobs(replica, results, new URLSearchParams(query)) as { jobs: { nameId: string }[]; more: boolean };
  const all = list('status=running&limit=4000');
  assert.deepEqual([all.jobs.length, all.more], [4000, false]);
  assert.deepEqual([all.jobs[0].nameId, all.jobs[3999].nameId], ['req-3999', 'req-0']);
  const some = list('limit=3999');
  assert.deepEqual([some.jobs.length, some.more], [3999, true]);
});
