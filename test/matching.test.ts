/** Matching of jobs and machines by requirements and rank. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { submitHost, nativeSubmission, Submission, type SubmitEnvironment } from '../src/condor/index.js';
import { ClassAdMatcher, describeAnalysis, matchSpecError } from '../src/matching/index.js';
import type { JobSpec, MatchSpec } from '../src/model/job.js';
import type { MachineAttributes } from '../src/policy/matching.js';
import { withSite } from './support/site.js';

const asks = (requirements: string | null, rank: string | null = null, attributes = {}): MatchSpec => ({
  requirements,
  rank,
  attributes,
});
const of = (m: ClassAdMatcher, match: MatchSpec) => m.matchFor({ match } as JobSpec)!;
const farm = (n: number, more: (i: number) => MachineAttributes): ClassAdMatcher => {
  const m = new ClassAdMatcher();
  for (let i = 0; i < n; i++)
    m.setAttributes(`m${i}`, { OpSys: 'LINUX', Memory: 1024 * (1 + (i % 10)), ...more(i) });
  return m;
};

test('matching: jobs that ask alike are evaluated once for each kind of machine, and again only when it matters', () => {
  const m = farm(1000, (i) => ({ Name: `m${i}`, Load: i }));
  const match = asks('Memory >= MY.RequestMemory', 'Memory', { RequestMemory: '3000' });
  const allowed = (): number =>
    Array.from({ length: 1000 }, (_, i) => of(m, match).allows(`m${i}`)).filter((x) => x).length;
  assert.equal(allowed(), 800);
  assert.equal(allowed(), 800);
  assert.equal(m.evaluations, 10);
  // What it does not name changes nothing; what it names does, for that machine.
  m.setAttributes('m0', { OpSys: 'LINUX', Memory: 1024, Name: 'm0', Load: 7 });
  assert.equal(allowed(), 800);
  assert.equal(m.evaluations, 10);
  m.setAttributes('m0', { OpSys: 'LINUX', Memory: 9999, Name: 'm0' });
  assert.equal(allowed(), 801);
  assert.equal(m.evaluations, 11);
  m.setAttributes('m0', null);
  assert.equal(of(m, match).allows('m0'), false);
  assert.equal(of(m, match).rank('m9'), 10_240);
});

test('matching: a fleet of 4,000 machines that all differ is evaluated once, not again on every look', () => {
  const m = farm(4000, (i) => ({ Name: `m${i}` }));
  const match = asks('Name != "m7"');
  for (let look = 0; look < 2; look++) {
    let allowed = 0;
    for (let i = 0; i < 4000; i++) if (of(m, match).allows(`m${i}`)) allowed++;
    assert.equal(allowed, 3999);
    assert.equal(m.evaluations, 4000);
  }
});

test('matching: a rank without a value, or an error, likes all alike; requirements without a value hold nowhere', () => {
  const m = farm(2, () => ({}));
  for (const rank of ['Nope', '1 / 0', '"text"', 'undefined'])
    assert.equal(of(m, asks(null, rank)).rank('m1'), 0);
  assert.equal(of(m, asks(null, 'Memory > 1500')).rank('m1'), 1);
  assert.equal(of(m, asks(null, '3')).hasRank, false);
  for (const r of ['Nope', 'Nope == 1', 'error', '"text"', 'Memory']) {
    const want = r === 'Memory';
    assert.equal(of(m, asks(r)).allows('m0'), want, r);
  }
  assert.equal(of(m, asks('Nope =?= undefined')).allows('m0'), true);
  assert.equal(of(m, asks('eval("Memory == 1024")')).allows('m0'), true);
  assert.equal(of(m, asks('eval("Memory == 1024")')).allows('m1'), false);
  assert.equal(of(m, asks('OpSys == "LINUX"')).allows('nobody'), false);
});

test('matching: what excludes how many is told in words; what nobody has, too', () => {
  const m = farm(10, (i): MachineAttributes => (i < 3 ? { HasScanner: true } : {}));
  const a = m.analyze(
    asks('TARGET.HasScanner && Memory >= 2048 && (HasLaser || HasLaser is undefined) && OpSys == "linux"'),
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

test('matching: a wrong expression is named with its field and column; time and chance are refused', () => {
  assert.equal(matchSpecError(asks('Memory > 1', 'Memory', { A: '1' })), null);
  assert.match(matchSpecError(asks('Memory >'))!, /^requirements: line 1, column 9: unexpected end/);
  assert.match(matchSpecError(asks(null, '1 +* 2'))!, /^rank: line 1, column 4/);
  assert.match(matchSpecError(asks('true', null, { Tag: 'a b' }))!, /^attributes\.Tag: line 1, column 3/);
  assert.match(matchSpecError(asks('time() > 5'))!, /^requirements: must not depend on time or chance/);
});

const on = '(report-s 0.3) (lease-s 6) (matching true)';

test('matching: jobs go where their requirements hold and their rank is highest; one that matches nowhere waits and says why', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute Speed 1)');
    await s.agent('b', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute Speed 9)');
    await s.agent('c', '(cpus 4) (mem-gb 2) (attribute Site "y") (attribute Speed 99)');
    await s.ready(3);

    await s.submit(
      s.job(1, { pieces: 2, requirements: 'TARGET.Site == "X"', rank: 'Speed', ...s.script('sleep 0.3') }),
    );
    await s.submit(
      s.job(2, { requirements: 'Site == Wanted && OpSys == "LINUX"', attributes: { Wanted: '"y"' } }),
    );
    await s.submit(s.job(3, { requirements: 'HasLaser && Memory > 1' }));
    const [one, two] = [await s.over(1), await s.over(2)];
    assert.ok(
      one.tasks.every((t) => t.last?.host.startsWith('b.')),
      JSON.stringify(one.tasks),
    );
    assert.ok(two.tasks.every((t) => t.last?.host.startsWith('c.')));
    const a = (await s.ask('GET', '/work/req-3/analyze'))?.body as { matching: number; nowhere: string[] };
    assert.deepEqual([a.matching, a.nowhere], [0, ['HasLaser']]);
    assert.equal((await s.shown(3))?.status, 'pending');
    const bad = await s.ask('POST', '/work', s.job(4, { requirements: 'a &&' }));
    assert.deepEqual(
      [bad?.status, /requirements: line 1, column 5/.test(JSON.stringify(bad?.body))],
      [400, true],
    );
    assert.equal((await s.ask('POST', '/work', s.job(5, { attributes: { A: 1 } })))?.status, 400);
    // Somebody comes who has it: the agent comes back with another attribute.
    s.agents.get('a')!.stop();
    await s.agent('a', '(cpus 4) (mem-gb 2) (attribute Site "x") (attribute HasLaser true)');
    const three = await s.over(3);
    assert.ok(three.tasks[0].last?.host.startsWith('a.'));
    assert.equal(s.attempts().length, 4);
  }, on));

test('matching: an attribute that changes between choice and start: the task starts where it matches', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a', '(cpus 4) (mem-gb 2) (attribute Ready 1)');
    await s.agent('b', '(cpus 4) (mem-gb 2) (attribute Ready 0)');
    await s.ready(2);
    const { shardState } = s.service.service.controller.shardManager;
    const { matcher } = s.service.matching!;
    const chosen: string[] = [];
    const place = shardState.placeTasks.bind(shardState);
    shardState.placeTasks = (job, at, attempt) => {
      place(job, at, attempt);
      chosen.push(...at.map((x) => x.host));
      if (chosen.length > 1) return;
      // In the moment after the choice, a is not what it was, and b is.
      matcher.setAttributes(chosen[0], { Ready: 0 });
      for (const m of s.service.pool.all())
        if (m.host !== chosen[0]) matcher.setAttributes(m.host, { Ready: 1 });
    };
    await s.submit(s.job(1, { requirements: 'Ready == 1' }));
    const one = await s.over(1);
    assert.deepEqual(
      chosen.map((h) => h.split('.')[0]),
      ['a', 'b'],
    );
    assert.ok(one.tasks[0].last?.host.startsWith('b.'));
    assert.equal(s.attempts().length, 1);
  }, on));

test('matching: switched off, it is refused in words and nothing is lost', () =>
  withSite(async (s) => {
    await s.control();
    const r = await s.ask('POST', '/work', s.job(1, { requirements: 'true' }));
    assert.deepEqual(
      [r?.status, (r?.body as { error: string }).error],
      [400, 'requirements, rank: matching is not switched on'],
    );
  }));

test('matching: a submit file runs as one array, with its numbers, input, output and requirements, like a native job', () =>
  withSite(async (s) => {
    await s.control();
    await s.agent('a', '(cpus 4) (mem-gb 2) (attribute Site "x")');
    await s.agent('b', '(cpus 4) (mem-gb 2) (attribute Site "y")');
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
    const outside: SubmitEnvironment = { ...submitHost(), cwd: s.dir };
    const submission = new Submission(text, 'x.sub', outside);
    const groups = [...submission.groups()];
    assert.deepEqual(
      groups.map((g) => [g.first, g.count, g.numbered]),
      [
        [0, 3, true],
        [3, 1, false],
        [4, 1, false],
        [5, 1, false],
      ],
    );
    for (const [i, g] of groups.entries())
      await s.submit({ nameId: `req-${i + 1}`, ...nativeSubmission(g, 'default', submission.file.warnings) });
    const all = await Promise.all([1, 2, 3, 4].map((i) => s.over(i)));
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
    const big = new Submission('executable = /bin/x\narguments = $(Process)\nqueue 20000', 'b.sub', outside);
    assert.equal([...big.groups()].length, 1);
    const formatted = new Submission(
      'executable = /bin/x\narguments = $INT(Process,%03d)\nqueue 3',
      'b.sub',
      outside,
    );
    assert.deepEqual(
      [...formatted.groups()].map((g) => nativeSubmission(g, 't', formatted.file.warnings)['command']),
      ['000', '001', '002'].map((n) => ['/bin/x', n]),
    );
    const late = new Submission('executable = /bin/x\nperiodic_hold = true\nqueue', 'b.sub', outside);
    assert.throws(
      () => nativeSubmission([...late.groups()][0], 't', late.file.warnings),
      /b\.sub:3: periodic_hold: not supported/,
    );
  }, on));
