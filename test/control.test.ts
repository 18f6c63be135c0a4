/** The control service with agents, as real processes on loopback. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { listJobs } from '../src/control/job-views.js';
import { ResultStore } from '../src/control/result-store.js';
import type { Replica } from '../src/core/replica.js';
import type { JobRecord } from '../src/core/storage/index.js';
import { seededRandom } from '../src/retry/index.js';
import { pause, withSite } from './support/site.js';

test('control: arrays, gangs, failures, limits and output, each with one clear end', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a');
    await s.agent('b');
    await s.submit(s.job(1, { pieces: 6, ...s.script('echo "out $DAPPLEPICK_INDEX"; echo err >&2') }));
    await s.submit(s.job(2, { shape: 'ensemble', pieces: 3, cpus: 2, ...s.script('sleep 0.4') }));
    await s.submit(s.job(3, { retries: 2, ...s.script('exit 7') }));
    await s.submit(s.job(4, { wallS: 0.5, ...s.script('trap "" TERM; while :; do sleep 0.1; done') }));
    await s.submit(
      s.job(5, {
        shape: 'ensemble',
        pieces: 3,
        ...s.script('[ $DAPPLEPICK_INDEX = 1 ] && exit 2; sleep 9'),
      }),
    );
    await s.submit(s.job(6, { command: null, jobclass: 'bad' }));
    await s.submit(s.job(7, { command: null, jobclass: 'quick', pieces: 5 }));
    const [one, two, three, four, five, six, seven] = await Promise.all(
      [1, 2, 3, 4, 5, 6, 7].map((i) => s.over(i)),
    );
    assert.deepEqual([one.status, one.failed, one.done], ['done', 0, 6]);
    assert.deepEqual([two.status, two.failed], ['done', 0]);
    assert.equal(new Set(two.tasks.map((t) => t.last?.attempt)).size, 1);
    assert.deepEqual([three.failed, three.tasks[0].last?.exit], [1, 7]);
    assert.deepEqual([four.failed, four.tasks[0].last?.reason], [1, 'wall time']);
    // It failed together: one by its command, the others with it.
    assert.equal(five.failed, 3);
    assert.equal(five.tasks[1].last?.exit, 2);
    assert.deepEqual([six.failed, seven.failed], [1, 0]);
    const ran = s.attempts();
    assert.equal(ran.filter((l) => l.startsWith('req-3/')).length, 3);
    assert.equal(ran.filter((l) => l.startsWith('req-1/')).length, 6);
    const out = await fetch(`http://127.0.0.1:${s.port}/work/req-1/output/4`);
    assert.equal(await out.text(), 'out 4\n');
    const err = await fetch(`http://127.0.0.1:${s.port}/work/req-1/output/4?stream=stderr`);
    assert.equal(await err.text(), 'err\n');
    assert.equal((await s.ask('GET', '/work/req-99/tasks'))?.status, 404);
    assert.equal((await s.ask('POST', '/work', s.job(8, { command: null, retries: 1 })))?.status, 400);
  }));

test('control: teams, a withdrawal, services, the list', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a');
    await s.submit(s.job(1, { shape: 'standing', pieces: 2, command: null }));
    await s.submit(s.job(2, { owner: 'small', pieces: 3, ...s.script('sleep 0.3') }));
    await s.until(
      async () => ((await s.shown(1))?.tasks.filter((t) => t.state === 'placed').length ?? 0) === 2,
    );
    assert.equal((await s.over(2)).failed, 0);
    const times = readFileSync(s.ran, 'utf8');
    assert.equal(times.trim().split('\n').length, 3);
    assert.equal(
      ((await s.ask('POST', '/work/req-1/withdraw', {}))?.body as { status: string }).status,
      'aborted',
    );
    const list = (await s.ask('GET', '/work?status=aborted'))?.body as { jobs: { nameId: string }[] };
    assert.deepEqual(
      list.jobs.map((j) => j.nameId),
      ['req-1'],
    );
    await s.until(
      async () =>
        s.service.service.controller.shardManager.machines.values().next().value?.placements.size === 0,
    );
  }));

test('control: joining, a name in use, another shape of the same type, draining, forgetting, coming back', () =>
  withSite(async (s) => {
    await s.control();
    const a = await s.agent('a');
    const me = { id: 'ffffffff', name: 'a', type: 't', zone: 'here', cpus: 4, gpus: 0, memGb: 2 };
    await s.until(
      async () => ((await s.ask('GET', '/machines'))?.body as { machines: unknown[] }).machines.length === 1,
    );
    for (const [body, why] of [
      [me, /another agent has that name/],
      [{ ...me, name: 'x', cpus: 9 }, /other resources/],
      [{ ...me, name: 'x', zone: 'there' }, /zone there/],
    ] as const) {
      const r = await s.ask('POST', '/agents', body);
      assert.equal(r?.status, 409);
      assert.match(String((r.body as { error: string }).error), why);
    }
    assert.equal((await s.ask('POST', '/agents', { ...me, cpus: 0 }))?.status, 400);
    await s.submit(s.job(1, { ...s.script('sleep 1.2') }));
    await s.until(async () => s.attempts().length === 1);
    assert.equal((await s.ask('POST', '/machines/a/drain', {}))?.status, 200);
    await s.submit(s.job(2));
    assert.equal((await s.over(1)).failed, 0);
    // It has left once what ran there was over; what came later waits for another.
    assert.match(
      await Promise.race([a.released, pause(8000).then(() => 'still here')]),
      /left or was forgotten/,
    );
    assert.equal(s.attempts().length, 1);
    const b = await s.agent('b');
    assert.equal((await s.over(2)).failed, 0);
    await s.submit(s.job(3, { ...s.script('sleep 30') }));
    await s.until(async () => s.attempts().length === 3);
    // The agent is gone, its command with it; nobody can prove it, until a person says so.
    b.stop();
    const { pid } = (s.service.pool.find('b') ?? {}) as { pid?: number };
    assert.equal(pid, undefined);
    await s.agent('c');
    await pause(1500);
    assert.equal(s.attempts().length, 3);
    assert.equal((await s.ask('POST', '/machines/b/forget', {}))?.status, 200);
    await s.until(async () => s.attempts().length === 4);
    await s.ask('POST', '/work/req-3/withdraw', {});
    await s.until(async () => ((await s.shown(3))?.status ?? '') === 'aborted');
  }, '(report-s 0.3) (lease-s 60) (missing-s 1)'));

test('control: the service is closed and opened again, agents go on, results stay', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a');
    await s.submit(s.job(1, { pieces: 4, ...s.script('sleep 1.5; exit $DAPPLEPICK_INDEX') }));
    await s.until(async () => s.attempts().length === 4);
    await s.closeControl();
    await pause(1000);
    await s.control();
    const one = await s.over(1);
    assert.deepEqual([one.status, one.failed], ['done', 3]);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [0, 1, 2, 3],
    );
    assert.equal(s.attempts().length, 4);
    await s.closeControl();
    await s.control();
    assert.deepEqual(
      (await s.over(1)).tasks.map((t) => t.last?.exit),
      [0, 1, 2, 3],
    );
  }));

test('control: an agent is killed, its commands go on, and it finds them again', () =>
  withSite(async (s) => {
    await s.control();
    s.process('a');
    await s.submit(s.job(1, { pieces: 3, ...s.script('sleep 2; exit 5') }));
    await s.until(async () => s.attempts().length === 3);
    await s.kill('a');
    await pause(500);
    s.process('a');
    const one = await s.over(1);
    assert.deepEqual(
      one.tasks.map((t) => t.last?.exit),
      [5, 5, 5],
    );
    assert.equal(s.attempts().length, 3);
  }));

test('control: an agent that stays away longer than its lease has its commands ended, and only then do others run them', () =>
  withSite(async (s) => {
    await s.control();
    s.process('a');
    const beat = join(s.dir, 'beat');
    await s.submit(
      s.job(1, s.script(`while :; do date +%s%N > ${beat}.$DAPPLEPICK_ATTEMPT; sleep 0.1; done`)),
    );
    await s.until(async () => existsSync(`${beat}.1`));
    await s.kill('a');
    await s.agent('b');
    await s.until(async () => existsSync(`${beat}.2`), 30);
    const last = Number(readFileSync(`${beat}.1`, 'utf8')) / 1e6;
    await pause(300);
    assert.ok(Number(readFileSync(`${beat}.1`, 'utf8')) / 1e6 === last, 'the first still runs');
    assert.equal(s.attempts().length, 2);
    await s.ask('POST', '/work/req-1/withdraw', {});
  }, '(report-s 0.3) (lease-s 2)'));

test('control: service and agents are killed at random during a batch: one end for every task, no attempt twice', () =>
  withSite(async (s) => {
    const random = seededRandom(Number(process.env['SOAK_SEED'] ?? 11));
    s.process('control');
    for (const name of ['a', 'b']) s.process(name);
    const jobs = Array.from({ length: 10 }, (_, i) => i + 1);
    await Promise.all(
      jobs.map((i) => s.submit(s.job(i, i % 4 === 0 ? { shape: 'ensemble', pieces: 2 } : { pieces: 10 }))),
    );
    for (let round = 0; round < 5; round++) {
      await pause(300 + 900 * random());
      const both = random() < 0.3;
      const name = ['control', 'a', 'b'][Math.floor(random() * 3)];
      await s.kill(name);
      if (both) await s.kill(name === 'control' ? 'a' : 'control');
      await pause(400 * random());
      s.process(name);
      if (both) s.process(name === 'control' ? 'a' : 'control');
      // Again while it recovers.
      if (name === 'control' && random() < 0.5) {
        await pause(150);
        await s.kill('control');
        s.process('control');
      }
    }
    for (const i of jobs) {
      const job = await s.over(i, 60);
      assert.deepEqual([job.status, job.failed], ['done', 0], `req-${i}`);
      assert.ok(job.tasks.every((t) => t.state === 'done'));
    }
    s.attempts();
  }));

test('control: two hundred agents that come back at once', () =>
  withSite(async (s) => {
    await s.control();
    for (let i = 0; i < 200; i++) await s.agent(`w${i}`, '(cpus 2) (mem-gb 1)');
    await s.submit(s.job(1, { pieces: 800, command: null, jobclass: 'quick' }));
    await s.until(async () => ((await s.shown(1))?.done ?? 0) > 100, 30);
    await s.closeControl();
    await pause(700);
    await s.control();
    const one = await s.over(1, 60);
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
