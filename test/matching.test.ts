/** Tests of matching jobs with machines by requirements and rank, and of submit files on a control service. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import {
  localSubmitEnvironment,
  nativeSubmission,
  Submission,
  type SubmitEnvironment,
} from '../src/condor/index.js';
import { ClassAdMatcher, describeAnalysis, matchSpecError } from '../src/matching/index.js';
import type { JobSpec, MatchSpec } from '../src/model/job.js';
import type { MachineAttributes } from '../src/policy/matching.js';
import { withTestCluster } from './support/test-cluster.js';

const matchSpec = (requirements: string | null, rank: string | null = null, attributes = {}): MatchSpec => ({
  requirements,
  rank,
  attributes,
});
const matchOf = (m: ClassAdMatcher, match: MatchSpec) => m.matchFor({ match } as JobSpec)!;
const matcherWithMachines = (n: number, more: (i: number) => MachineAttributes): ClassAdMatcher => {
  const m = new ClassAdMatcher();
  for (let i = 0; i < n; i++)
    m.setAttributes(`m${i}`, { OpSys: 'LINUX', Memory: 1024 * (1 + (i % 10)), ...more(i) });
  return m;
};

test('matching: equal expressions are evaluated once per machine signature, and again only if a referenced attribute changes', () => {
  const m = matcherWithMachines(1000, (i) => ({ Name: `m${i}`, Load: i }));
  const match = matchSpec('Memory >= MY.RequestMemory', 'Memory', { RequestMemory: '3000' });
  const allowed = (): number =>
    Array.from({ length: 1000 }, (_, i) => matchOf(m, match).allows(`m${i}`)).filter((x) => x).length;
  assert.equal(allowed(), 800);
  assert.equal(allowed(), 800);
  assert.equal(m.evaluations, 10);
  // Only attributes that the expressions refer to cause another evaluation, and only for the machine that changed.
  m.setAttributes('m0', { OpSys: 'LINUX', Memory: 1024, Name: 'm0', Load: 7 });
  assert.equal(allowed(), 800);
  assert.equal(m.evaluations, 10);
  m.setAttributes('m0', { OpSys: 'LINUX', Memory: 9999, Name: 'm0' });
  assert.equal(allowed(), 801);
  assert.equal(m.evaluations, 11);
  m.setAttributes('m0', null);
  assert.equal(matchOf(m, match).allows('m0'), false);
  assert.equal(matchOf(m, match).rank('m9'), 10_240);
});

test('matching: results for 4,000 machines with different signatures are all cached and not evaluated again', () => {
  const m = matcherWithMachines(4000, (i) => ({ Name: `m${i}` }));
  const match = matchSpec('Name != "m7"');
  for (let pass = 0; pass < 2; pass++) {
    let allowed = 0;
    for (let i = 0; i < 4000; i++) if (matchOf(m, match).allows(`m${i}`)) allowed++;
    assert.equal(allowed, 3999);
    assert.equal(m.evaluations, 4000);
  }
});

test('matching: an undefined or erroneous rank counts as 0, and undefined or erroneous requirements match no machine', () => {
  const m = matcherWithMachines(2, () => ({}));
  for (const rank of ['Nope', '1 / 0', '"text"', 'undefined'])
    assert.equal(matchOf(m, matchSpec(null, rank)).rank('m1'), 0);
  assert.equal(matchOf(m, matchSpec(null, 'Memory > 1500')).rank('m1'), 1);
  assert.equal(matchOf(m, matchSpec(null, '3')).hasRank, false);
  for (const r of ['Nope', 'Nope == 1', 'error', '"text"', 'Memory']) {
    const want = r === 'Memory';
    assert.equal(matchOf(m, matchSpec(r)).allows('m0'), want, r);
  }
  assert.equal(matchOf(m, matchSpec('Nope =?= undefined')).allows('m0'), true);
  assert.equal(matchOf(m, matchSpec('eval("Memory == 1024")')).allows('m0'), true);
  assert.equal(matchOf(m, matchSpec('eval("Memory == 1024")')).allows('m1'), false);
  assert.equal(matchOf(m, matchSpec('OpSys == "LINUX"')).allows('nobody'), false);
});

test('matching: the analysis reports how many machines each condition excludes, and attributes that no machine has', () => {
  const m = matcherWithMachines(10, (i): MachineAttributes => (i < 3 ? { HasScanner: true } : {}));
  const a = m.analyze(
    matchSpec(
      'TARGET.HasScanner && Memory >= 2048 && (HasLaser || HasLaser is undefined) && OpSys == "linux"',
    ),
  );
  assert.deepEqual([a.machines, a.matching, a.nowhere], [10, 2, ['HasLaser']]);
  assert.deepEqual(
    a.clauses.map((c) => [c.excludes, c.unknown]),
    [
      [7, 7],
      [1, 0],
      [0, 0],
      [0, 0],
    ],
  );
  const words = describeAnalysis(a).join('\n');
  assert.match(words, /2 of 10 machines match/);
  assert.match(words, /no machine has an attribute HasLaser/);
  assert.match(words, /excludes 7: TARGET\.HasScanner \(on 7 it has no value\)/);
});

test('matching: an invalid expression is reported with its field and column; time and random functions are rejected', () => {
  assert.equal(matchSpecError(matchSpec('Memory > 1', 'Memory', { A: '1' })), null);
  assert.match(matchSpecError(matchSpec('Memory >'))!, /^requirements: line 1, column 9: unexpected end/);
  assert.match(matchSpecError(matchSpec(null, '1 +* 2'))!, /^rank: line 1, column 4/);
  assert.match(
    matchSpecError(matchSpec('true', null, { Tag: 'a b' }))!,
    /^attributes\.Tag: line 1, column 3/,
  );
  assert.match(matchSpecError(matchSpec('time() > 5'))!, /^requirements: must not depend on time or chance/);
});

const controlSettings = '(report-s 0.3) (lease-s 6) (matching true)';

test('matching: jobs run where their requirements hold and their rank is highest; a job without a match stays pending and is explained', () =>
  withTestCluster(async (s) => {
    await s.startControl();
    await s.startAgent('a', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute Speed 1)');
    await s.startAgent('b', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute Speed 9)');
    await s.startAgent('c', '(cpus 4) (mem-gb 2) (attribute Site "y") (attribute Speed 99)');
    await s.waitForMachines(3);

    await s.submit(
      s.job(1, { pieces: 2, requirements: 'TARGET.Site == "X"', rank: 'Speed', ...s.script('sleep 0.3') }),
    );
    await s.submit(
      s.job(2, { requirements: 'Site == Wanted && OpSys == "LINUX"', attributes: { Wanted: '"y"' } }),
    );
    await s.submit(s.job(3, { requirements: 'HasLaser && Memory > 1' }));
    const [firstJob, secondJob] = [await s.waitForJobEnd(1), await s.waitForJobEnd(2)];
    assert.ok(
      firstJob.tasks.every((t) => t.last?.host.startsWith('b.')),
      JSON.stringify(firstJob.tasks),
    );
    assert.ok(secondJob.tasks.every((t) => t.last?.host.startsWith('c.')));
    const a = (await s.request('GET', '/work/req-3/analyze'))?.body as {
      matching: number;
      nowhere: string[];
    };
    assert.deepEqual([a.matching, a.nowhere], [0, ['HasLaser']]);
    assert.equal((await s.fetchJob(3))?.status, 'pending');
    const bad = await s.request('POST', '/work', s.job(4, { requirements: 'a &&' }));
    assert.deepEqual(
      [bad?.status, /requirements: line 1, column 5/.test(JSON.stringify(bad?.body))],
      [400, true],
    );
    assert.equal((await s.request('POST', '/work', s.job(5, { attributes: { A: 1 } })))?.status, 400);
    // The agent restarts with the attribute that the pending job requires.
    s.agents.get('a')!.stop();
    await s.startAgent('a', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute HasLaser true)');
    const thirdJob = await s.waitForJobEnd(3);
    assert.ok(thirdJob.tasks[0].last?.host.startsWith('a.'));
    assert.equal(s.attempts().length, 4);
  }, controlSettings));

test('matching: if an attribute changes between placement and start, the task starts on a machine that matches', () =>
  withTestCluster(async (s) => {
    await s.startControl();
    await s.startAgent('a', '(cpus 4) (mem-gb 2) (attribute Ready 1)');
    await s.startAgent('b', '(cpus 4) (mem-gb 2) (attribute Ready 0)');
    await s.waitForMachines(2);
    const { shardState } = s.service.service.controller.shardManager;
    const { matcher } = s.service.matching!;
    const chosenHosts: string[] = [];
    const placeTasks = shardState.placeTasks.bind(shardState);
    shardState.placeTasks = (job, at, attempt) => {
      placeTasks(job, at, attempt);
      chosenHosts.push(...at.map((x) => x.host));
      if (chosenHosts.length > 1) return;
      // Right after the placement, the chosen machine stops matching and the other one starts to match.
      matcher.setAttributes(chosenHosts[0], { Ready: 0 });
      for (const m of s.service.pool.all())
        if (m.host !== chosenHosts[0]) matcher.setAttributes(m.host, { Ready: 1 });
    };
    await s.submit(s.job(1, { requirements: 'Ready == 1' }));
    const one = await s.waitForJobEnd(1);
    assert.deepEqual(
      chosenHosts.map((h) => h.split('.')[0]),
      ['a', 'b'],
    );
    assert.ok(one.tasks[0].last?.host.startsWith('b.'));
    assert.equal(s.attempts().length, 1);
  }, controlSettings));

test('matching: if it is disabled, a job with requirements is rejected with a reason', () =>
  withTestCluster(async (s) => {
    await s.startControl();
    const r = await s.request('POST', '/work', s.job(1, { requirements: 'true' }));
    assert.deepEqual(
      [r?.status, (r?.body as { error: string }).error],
      [400, 'requirements, rank: matching is not switched on'],
    );
  }));

test('matching: a submit file runs as arrays, with process numbers, input, output and requirements', () =>
  withTestCluster(async (s) => {
    await s.startControl();
    await s.startAgent('a', '(cpus 4) (mem-gb 2) (attribute Site "x")');
    await s.startAgent('b', '(cpus 4) (mem-gb 2) (attribute Site "y")');
    writeFileSync(join(s.dir, 'in.txt'), 'given\n');
    const text = [
      'executable = /bin/sh',
      `arguments = "-c 'echo $(Process) $N; cat; exit $(code)'"`,
      'environment = "N=n$(Process)"',
      'input = in.txt',
      'output = out.$(Process)',
      'error = err',
      'request_memory = 64M',
      'requirements = TARGET.Site == "y"',
      'code = 0',
      'queue 3',
      'code = 5',
      'queue 1',
      'arguments = "-c true"',
      'output = named.$(Item)',
      'queue in (p q)',
    ].join('\n');
    const submitEnvironment: SubmitEnvironment = { ...localSubmitEnvironment(), cwd: s.dir };
    const submission = new Submission(text, 'x.sub', submitEnvironment);
    const groups = [...submission.groups()];
    assert.deepEqual(
      groups.map((g) => [g.first, g.count, g.isTemplate]),
      [
        [0, 3, true],
        [3, 1, false],
        [4, 1, false],
        [5, 1, false],
      ],
    );
    for (const [i, g] of groups.entries())
      await s.submit({ nameId: `req-${i + 1}`, ...nativeSubmission(g, 'default', submission.file.warnings) });
    const all = await Promise.all([1, 2, 3, 4].map((i) => s.waitForJobEnd(i)));
    assert.deepEqual(
      all.map((j) => [j.done, j.failed]),
      [
        [3, 0],
        [1, 1],
        [1, 0],
        [1, 0],
      ],
    );
    assert.ok(all.flatMap((j) => j.tasks).every((t) => t.last?.host.startsWith('b.')));
    assert.equal(all[1].tasks[0].last?.exit, 5);
    for (const i of [0, 1, 2, 3])
      assert.equal(readFileSync(join(s.dir, `out.${i}`), 'utf8'), `${i} n${i}\ngiven\n`);
    assert.ok(existsSync(join(s.dir, 'named.q')));
    const largeSubmission = new Submission(
      'executable = /bin/x\narguments = $(Process)\nqueue 20000',
      'b.sub',
      submitEnvironment,
    );
    assert.equal([...largeSubmission.groups()].length, 1);
    const formatted = new Submission(
      'executable = /bin/x\narguments = $INT(Process,%03d)\nqueue 3',
      'b.sub',
      submitEnvironment,
    );
    assert.deepEqual(
      [...formatted.groups()].map((g) => nativeSubmission(g, 't', formatted.file.warnings)['command']),
      ['000', '001', '002'].map((n) => ['/bin/x', n]),
    );
    const unsupported = new Submission(
      'executable = /bin/x\nperiodic_hold = true\nqueue',
      'b.sub',
      submitEnvironment,
    );
    assert.throws(
      () => nativeSubmission([...unsupported.groups()][0], 't', unsupported.file.warnings),
      /b\.sub:3: periodic_hold: not supported/,
    );
  }, controlSettings));
