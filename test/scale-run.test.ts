/** Tests of the scale run: unit tests of its parts, and a small run with real processes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkCapacity, parseOptions, ScaleError } from '../scale/options.js';
import { EventReorderBuffer, RuleChecker, type Rule } from '../scale/rules.js';
import { runScale } from '../scale/run.js';
import { teamsOf } from '../scale/settings.js';
import type { TaskEvent, UserEvent } from '../scale/messages.js';
import { purposeOf, StoredTasks } from '../scale/write-kinds.js';

const cancelS = 38;

function checker(): RuleChecker {
  const rules = new RuleChecker({ cancelS, cpusOfTeam: new Map([['blue', 2]]) });
  rules.onUserEvent({
    at: 0,
    what: 'submitted',
    job: 'req-1',
    team: 'blue',
    tasks: 3,
    cpus: 1,
    urgent: false,
  });
  rules.onUserEvent({ at: 1, what: 'accepted', job: 'req-1', afterMs: 1 });
  return rules;
}

const task = (at: number, what: TaskEvent['what'], host: string, index: number): TaskEvent => ({
  at,
  what,
  host,
  job: 'req-1',
  index,
});

const statusEvent = (at: number, status: string): UserEvent => ({ at, what: 'told', job: 'req-1', status });

function rulesBroken(rules: RuleChecker): Rule[] {
  return rules.violations.map((v) => v.rule);
}

test('the rule checker accepts tasks that move, complete and are then reported done', () => {
  const rules = checker();
  rules.onTaskEvent(task(2, 'on', 'a', 0));
  rules.onTaskEvent(task(3, 'off', 'a', 0));
  rules.onTaskEvent(task(4, 'on', 'b', 0));
  for (const index of [0, 1, 2]) {
    if (index > 0) rules.onTaskEvent(task(5 + index, 'on', 'b', index));
    rules.onTaskEvent(task(10 + index, 'done', 'b', index));
    rules.onTaskEvent(task(10 + index, 'off', 'b', index));
  }
  rules.onUserEvent(statusEvent(20, 'done'));
  rules.onUserEvent(statusEvent(21, 'done'));
  rules.sweep(100_000);
  assert.deepEqual(rulesBroken(rules), []);
});

const violationCases: [Rule, (rules: RuleChecker) => void][] = [
  [
    'ran_twice',
    (rules) => {
      rules.onTaskEvent(task(2, 'on', 'a', 0));
      rules.onTaskEvent(task(3, 'on', 'b', 0));
    },
  ],
  ['quota', (rules) => [0, 1, 2].forEach((index) => rules.onTaskEvent(task(2 + index, 'on', 'a', index)))],
  ['not_done', (rules) => rules.onUserEvent(statusEvent(5, 'done'))],
  ['forgotten', (rules) => rules.onUserEvent(statusEvent(5, 'unknown'))],
  ['refused', (rules) => rules.onUserEvent(statusEvent(5, 'refused 422'))],
  ['invented', (rules) => rules.onTaskEvent({ ...task(5, 'on', 'a', 0), job: 'req-2' })],
  [
    'went_back',
    (rules) => {
      rules.onUserEvent(statusEvent(5, 'aborted'));
      rules.onUserEvent(statusEvent(6, 'running'));
    },
  ],
  [
    'ran_cancelled',
    (rules) => {
      rules.onUserEvent({ at: 10, what: 'cancelled', job: 'req-1', afterMs: 1 });
      rules.onTaskEvent(task(10 + cancelS * 1000 + 1, 'on', 'a', 0));
    },
  ],
  [
    'ran_cancelled',
    (rules) => {
      rules.onTaskEvent(task(5, 'on', 'a', 0));
      rules.onUserEvent({ at: 10, what: 'cancelled', job: 'req-1', afterMs: 1 });
      rules.sweep(10 + cancelS * 1000 + 1);
    },
  ],
];
for (const [rule, breach] of violationCases)
  test(`the rule checker reports ${rule}`, () => {
    const rules = checker();
    breach(rules);
    assert.deepEqual(rulesBroken(rules), [rule]);
  });

test('tasks of a cancelled job may stay on machines until the cancellation time limit', () => {
  const rules = checker();
  rules.onTaskEvent(task(5, 'on', 'a', 0));
  rules.onUserEvent({ at: 10, what: 'cancelled', job: 'req-1', afterMs: 1 });
  rules.sweep(10 + cancelS * 1000 - 1);
  rules.onTaskEvent(task(10 + cancelS * 1000 - 1, 'off', 'a', 0));
  rules.sweep(10 + cancelS * 1000 + 1);
  assert.deepEqual(rulesBroken(rules), []);
});

test('events of several processes are merged in order of time', () => {
  const buffer = new EventReorderBuffer(100);
  buffer.add([{ at: 5 }, { at: 7 }]);
  buffer.add([{ at: 6 }, { at: 300 }]);
  assert.deepEqual(
    buffer.take(200).map((e) => e.at),
    [5, 6, 7],
  );
  assert.deepEqual(
    buffer.take(401).map((e) => e.at),
    [300],
  );
});

test('a run beyond the capacity of the machine is refused, and the error names the missing resource', () => {
  const options = parseOptions(['--workers', '10000', '--cells', '2']);
  const capacity = { openFiles: 20_000, memoryMb: 12_000 };
  assert.throws(
    () => checkCapacity(options, { ...capacity, openFiles: 1000 }),
    /open files, 1000 are allowed/,
  );
  assert.throws(() => checkCapacity(options, { ...capacity, memoryMb: 500 }), /500 MB may be used/);
  const manyCells = parseOptions(['--workers', '10', '--cells', '30']);
  assert.throws(() => checkCapacity({ ...manyCells, cells: 60 }, capacity), /200 are allowed/);
  assert.throws(() => checkCapacity(options, { ...capacity, memoryMb: 0 }), ScaleError);
  checkCapacity(parseOptions(['--workers', '2500']), capacity);
});

test('writes are classified by key, value and previously stored value', () => {
  const stored = new StoredTasks();
  const kind = (key: string, data: Record<string, unknown> | undefined): string =>
    purposeOf({ key, data }, stored).kind;
  assert.equal(kind('dp/j/req-1', { s: 'open', spec: {} }), 'accept');
  assert.equal(kind('dp/t/req-1/0', { n: 1, d: '', p: [[0, 1, 'a']] }), 'placement');
  assert.equal(kind('dp/t/req-1/0', { n: 1, d: 'AQ==', p: [] }), 'end');
  assert.equal(kind('dp/j/req-2', { s: 'open', job: {}, t: { p: [[0, 1, 'a']] } }), 'placement');
  assert.equal(kind('dp/j/req-2', { s: 'cancelled', t: { p: [[0, 1, 'a']] } }), 'cancel');
  assert.equal(kind('dp/j/req-2', { s: 'done' }), 'final');
  assert.equal(kind('dp/t/req-1/0', undefined), 'drop');
  const entries = [
    ['req-3', 0, 0, 1, 1, [[0, 1, 'a']], [], [], null],
    ['req-4', 0, 1, 2, 1, [], [0], [0], null],
  ];
  const record = { key: 'dp/log/0/5-0', data: { e: entries } };
  assert.deepEqual(purposeOf(record, stored), { kind: 'log', placed: ['req-3'] });
});

test('small run with real controllers, hollow workers and simulated users: the shard owner is killed, no rule is violated', async () => {
  const args = ['--workers', '12', '--starts', '54', '--tasks-per-job', '20', '--seconds', '10'];
  const options = parseOptions([...args, '--write-rps', '60', '--faults', 'owner']);
  const { cells, ok } = await runScale(options, () => undefined);
  const [cell] = cells;
  assert.deepEqual(cell.violations, []);
  assert.ok(ok);
  assert.ok(cell.startsPerS > 20, `${cell.startsPerS} starts per second, expected more than 20`);
  assert.ok(cell.urgentStart.count > 0);
  const [fault] = cell.faults;
  assert.ok(fault.firstStartMs !== null);
  assert.equal(fault.workersNotRenewed, 0);
  assert.equal(cell.tasksLostWithLeases, 0);
  assert.equal(teamsOf(options).length, 18);
});
