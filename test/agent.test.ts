/** The agent on real processes and files: tasks, limits, leases, restarts. */
import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { test } from 'node:test';
import { Agent } from '../src/agent/index.js';
import { AgentDirectory } from '../src/agent/agent-directory.js';
import { CommandRunner } from '../src/agent/command-runner.js';
import { Worker, type WorkerEffect } from '../src/agent/worker.js';
import { agentDefaults, parseAgentSettings } from '../src/agent/settings.js';
import { parseControlSettings } from '../src/control/settings.js';
import type { AgentJob, AgentTask, TaskResult } from '../src/wire/agent-side.js';
import type { TaskOrder } from '../src/model/heartbeat.js';

const self = { host: 'd.1', endpoint: '127.0.0.1:1', type: 't', zone: 'here' };
const start = (index: number, attempt: number): TaskOrder => ({ op: 'start', job: 'req-1', index, attempt });
const answer = (token: number, orders: TaskOrder[] = [], gangs: string[] = []) => ({ token, orders, gangs });
const kinds = (effects: WorkerEffect[] | null): string[] => (effects ?? []).map((e) => e.type);

test('worker: tokens, sessions and leases decide what is carried out', () => {
  const w = new Worker(self, { agentEpoch: 1, seq: 0, fencingToken: 0 }, 10_000, 0);
  assert.deepEqual(kinds(w.onHeartbeatResponse(answer(5, [start(0, 1)]), 100, 1)), [
    'persist-state',
    'heartbeat-soon',
    'prepare',
  ]);
  // Lower token, no token, another session: dropped, and the lease is not renewed.
  for (const [a, session] of [
    [answer(4, [start(1, 1)]), 1],
    [{ ...answer(5), token: null }, 1],
    [answer(5, [start(1, 1)]), 2],
  ] as const)
    assert.deepEqual(kinds(w.onHeartbeatResponse(a, 9000, session)), []);
  assert.equal(w.leaseStart, 100);
  // The same attempt again changes nothing; another attempt of a task that is here is refused.
  assert.deepEqual(kinds(w.onHeartbeatResponse(answer(5, [start(0, 1)]), 200, 1)), []);
  w.onHeartbeatResponse(answer(5, [start(0, 2)]), 200, 1);
  assert.deepEqual(
    w.buildHeartbeat().tasks.map((t) => [t.attempt, t.phase, t.why]),
    [
      [1, 'fetching', null],
      [2, 'exited', 'busy'],
    ],
  );
  assert.equal(w.onDirectOrders(4, 1, []), null);
  assert.equal(w.onDirectOrders(5, 2, []), null);
  assert.deepEqual(kinds(w.onDirectOrders(5, 1, [{ op: 'forget', job: 'req-1', index: 0, attempt: 2 }])), [
    'forget',
  ]);
  const [task] = [...w.tasks];
  w.onPrepared(task, false);
  assert.deepEqual(kinds(w.onDirectOrders(5, 1, [{ op: 'forget', job: 'req-1', index: 0, attempt: 1 }])), []);
  assert.deepEqual(
    kinds(w.onDirectOrders(5, 1, [{ op: 'stop', job: 'req-1', index: 0, attempt: 1, graceS: 3 }])),
    ['stop'],
  );
  assert.deepEqual(kinds(w.tick(10_100)), []);
  assert.deepEqual(kinds(w.tick(10_201)), ['persist-state', 'stop', 'forget']);
  assert.equal(w.agentEpoch, 2);
  assert.deepEqual([...w.tasks], []);
});

test('worker: a gang waits until all of its attempt are there', () => {
  const w = new Worker(self, { agentEpoch: 1, seq: 0, fencingToken: 0 }, 10_000, 0);
  w.onHeartbeatResponse(answer(1, [start(0, 7), start(1, 7)]), 0, 1);
  const [a, b] = [...w.tasks];
  assert.deepEqual(kinds(w.onPrepared(a, true)), ['heartbeat-soon']);
  w.onPrepared(b, true);
  assert.deepEqual(kinds(w.onHeartbeatResponse(answer(1, [], ['req-1 6']), 1, 1)), []);
  assert.deepEqual(kinds(w.onHeartbeatResponse(answer(1, [], ['req-1 7']), 2, 1)), [
    'run',
    'heartbeat-soon',
    'run',
    'heartbeat-soon',
  ]);
  assert.deepEqual([a.phase, b.phase], ['running', 'running']);
});

const job = (script: string, over: Partial<NonNullable<AgentJob['command']>> = {}, memGb = 1): AgentJob => ({
  cpus: 1,
  gpus: 0,
  memGb,
  gang: false,
  saveS: 1,
  checkpointS: 1,
  command: {
    argv: ['/bin/sh', '-c', script],
    env: { X: 'y' },
    dir: null,
    stdout: null,
    stderr: null,
    wallS: null,
    retries: 0,
    ...over,
  },
  standIn: { sleepS: 0, fail: 0, hang: false, memMb: 0 },
});
const held = (index: number, attempt = 1): AgentTask => ({
  job: 'req-1',
  index,
  attempt,
  phase: 'running',
  why: null,
  saved: false,
  result: null,
});

class Bench {
  readonly dir = mkdtempSync(join(tmpdir(), 'dapplepick-agent-'));
  readonly records = new AgentDirectory(this.dir);
  readonly ends = new Map<AgentTask, TaskResult & { saved: boolean }>();
  runner = this.open();
  open(): CommandRunner {
    const settings = {
      outputBytes: 2000,
      checkIntervalMs: 50,
      graceS: 0.5,
      agentId: `t${process.pid}${this.dir.slice(-4)}`,
    };
    const events = {
      ended: (t: AgentTask, r: TaskResult, saved: boolean) => void this.ends.set(t, { ...r, saved }),
    };
    return new CommandRunner(this.records, settings, events, () => undefined);
  }
  async end(t: AgentTask): Promise<TaskResult & { saved: boolean }> {
    for (let i = 0; i < 400 && !this.ends.has(t); i++) await new Promise((r) => setTimeout(r, 25));
    return this.ends.get(t) ?? assert.fail(`task ${t.index} did not end`);
  }
  out(t: AgentTask, name = 'stdout'): string {
    return readFileSync(join(this.records.taskDirectory(t), name), 'utf8');
  }
  close(): void {
    this.runner.close();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

const alive = (pid: number): boolean => {
  try {
    return !/^\d+ \(.*\) [ZX]/.test(readFileSync(`/proc/${pid}/stat`, 'latin1'));
  } catch {
    return false;
  }
};

test('runner: exit codes, signals, environment, output, limits, what is left behind', async () => {
  const b = new Bench();
  const run = (index: number, j: AgentJob): AgentTask => {
    const t = held(index);
    b.runner.start(t, j, 'd.1', 'boot');
    return t;
  };
  const fine = run(0, job('echo "$X $DAPPLEPICK_INDEX"; echo oh >&2; exit 3'));
  const killed = run(1, job('kill -SEGV $$'));
  const missing = run(2, { ...job(''), command: { ...job('').command!, argv: ['/no/such/program'] } });
  const wall = run(3, job('trap "" TERM; while :; do sleep 0.1; done', { wallS: 0.3 }));
  const big = run(4, job('x=$(head -c 60000000 /dev/zero | tr "\\0" a); sleep 5', {}, 0.03));
  const forks = run(5, job('sleep 60 & echo $! > pid; setsid sleep 60 & echo $! > pid2; exit 0'));
  const closes = run(6, job('exec >&- 2>&-; sleep 0.2; exit 5'));
  const chatty = run(
    7,
    job('i=0; while [ $i -lt 30 ]; do head -c 500 /dev/zero | tr "\\0" b; sleep 0.05; i=$((i+1)); done'),
  );
  const saves = run(8, job('trap "exit 0" TERM; while :; do sleep 0.1; done'));
  const noDir = run(9, job('true', { dir: '/no/such/dir' }));
  await new Promise((r) => setTimeout(r, 300));
  b.runner.stop(saves, 5);
  assert.deepEqual([(await b.end(fine)).exit, b.out(fine), b.out(fine, 'stderr')], [3, 'y 0\n', 'oh\n']);
  const segv = await b.end(killed);
  assert.deepEqual([segv.exit, segv.signal, segv.reason], [null, 'SIGSEGV', 'exited']);
  assert.equal((await b.end(missing)).exit, 127);
  assert.equal((await b.end(noDir)).reason, 'cannot run');
  const w = await b.end(wall);
  assert.deepEqual([w.reason, w.signal], ['wall time', 'SIGKILL']);
  assert.ok(w.endedAt - w.startedAt < 3000);
  assert.equal((await b.end(big)).reason, 'memory');
  assert.equal((await b.end(forks)).exit, 0);
  for (const name of ['pid', 'pid2']) {
    const pid = Number(readFileSync(join(b.records.taskDirectory(forks), 'work', name), 'utf8'));
    for (let i = 0; i < 40 && alive(pid); i++) await new Promise((r) => setTimeout(r, 25));
    assert.equal(alive(pid), false, name);
  }
  assert.equal((await b.end(closes)).exit, 5);
  await b.end(chatty);
  assert.ok(statSync(join(b.records.taskDirectory(chatty), 'stdout')).size <= 2000 + 1600);
  assert.match(b.out(chatty), /was cut here/);
  const s = await b.end(saves);
  assert.deepEqual([s.reason, s.exit, s.saved], ['stopped', 0, true]);
  b.close();
});

test('runner: a restarted agent finds what runs and what has ended, and begins nothing twice', async () => {
  const b = new Bench();
  const count = join(b.dir, 'count');
  const script = (s: string): AgentJob =>
    job(`echo "$DAPPLEPICK_INDEX.$DAPPLEPICK_ATTEMPT" >> ${count}; ${s}`);
  const long = held(0);
  const short = held(1);
  b.runner.start(long, script('sleep 1.2; exit 4'), 'd.1', 'boot');
  b.runner.start(short, script('exit 6'), 'd.1', 'boot');
  // This one was on disk, but its shim had not begun when the agent was killed.
  const never = held(2);
  b.records.saveTask({ task: never, job: script('true'), startedAt: 1, startedUptimeS: 1, boot: 'boot' });
  // And this one ran before the machine was restarted.
  const before = held(3);
  b.records.saveTask({
    task: before,
    job: script('true'),
    startedAt: 1,
    startedUptimeS: 1,
    boot: 'an earlier one',
  });
  await new Promise((r) => setTimeout(r, 400));
  b.runner.close();
  b.ends.clear();
  b.runner = b.open();
  const found = b.records.loadTasks().sort((x, y) => x.task.index - y.task.index);
  assert.equal(found.length, 4);
  for (const r of found) b.runner.adopt(r, r.job!, 'boot');
  const by = (i: number): AgentTask => found[i].task;
  assert.deepEqual(
    [(await b.end(by(1))).exit, (await b.end(by(2))).reason, (await b.end(by(3))).reason],
    [6, 'lost', 'lost'],
  );
  const l = await b.end(by(0));
  assert.deepEqual([l.exit, l.reason], [4, 'exited']);
  assert.deepEqual(readFileSync(count, 'utf8').trim().split('\n').sort(), ['0.1', '1.1']);
  assert.ok(existsSync(join(b.records.taskDirectory(never), 'claim')));
  b.close();
});

test('settings of agents and control services: a wrong one is named with its line', () => {
  const agent = (text: string) => () => parseAgentSettings(text, 'a.scm');
  const control = (text: string) => () => parseControlSettings(text, 'c.scm');
  assert.throws(agent('(agent (name x))'), /a\.scm: control: missing/);
  assert.throws(agent('(agent\n (cpus many))'), /a\.scm: line 2: cpus: must be a number/);
  assert.throws(agent('(agent (colour red))'), /line 1: colour: unknown setting/);
  assert.throws(agent('(agent (control "here"))'), /control: must be IPv4:port/);
  assert.throws(control('(control)'), /directory: missing/);
  assert.throws(control('(control (directory d)\n (class x (fail 2)))'), /line 2: fail: must be a share/);
  assert.throws(
    control('(control (directory d) (report-s 5) (lease-s 6))'),
    /lease-s: must be at least twice/,
  );
  const s = parseControlSettings(
    '(control (directory d) (team red (cpus 3) (cpus-max 9)) (class x (sleep-s 2)))',
  );
  assert.deepEqual(s.teams, [{ name: 'red', cpus: 3, cpus_max: 9, gpus: 0, gpus_max: 0 }]);
  const a = parseAgentSettings(
    '(agent (name d) (control "127.0.0.1:1") (directory d) (cpus 2) (mem-gb 1) (attribute n 3))',
  );
  assert.deepEqual([a.type, a.attrs], ['c2-g0-m1', { n: 3 }]);
  writeFileSync('/dev/null', '');
});

test('an agent that is ended while it asks to be let in takes nothing up when the answer comes', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-agent-'));
  let answer = (): void => undefined;
  const asked = new Promise<void>((came) => {
    answer = () => came();
  });
  let tell = (): void => undefined;
  const control = createServer((_, res) => {
    tell = () => res.end(JSON.stringify({ host: 'd.1', reportS: 1, leaseS: 6, gangWaitS: 9 }));
    answer();
  });
  await new Promise<void>((r) => control.listen(0, '127.0.0.1', () => r()));
  const { port } = control.address() as AddressInfo;
  const said: string[] = [];
  const agent = new Agent(
    { ...agentDefaults(), name: 'a', controls: [`127.0.0.1:${port}`], controlNames: ['c'], directory: dir },
    () => 0.5,
    (_, message) => void said.push(message),
  );
  await agent.start();
  await asked;
  agent.stop();
  // Guards against commands that are begun by a process that is ending, and against the error that ended it.
  tell();
  await new Promise((r) => setTimeout(r, 200));
  assert.deepEqual(said, []);
  control.closeAllConnections();
  control.close();
  rmSync(dir, { recursive: true, force: true });
});
