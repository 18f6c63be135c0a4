/** Tests the worker state machine, and the agent on real processes and files: tasks, limits, leases, restarts, settings. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { test } from 'node:test';
import { Agent } from '../src/agent/index.js';
import { AgentDirectory } from '../src/agent/agent-directory.js';
import { CommandRunner } from '../src/agent/command-runner.js';
import { shim } from '../src/agent/shim.js';
import { readExitCode } from '../src/agent/task-files.js';
import { Worker, type WorkerEffect } from '../src/agent/worker.js';
import { defaultAgentSettings, parseAgentSettings } from '../src/agent/settings.js';
import { parseControlSettings } from '../src/control/settings.js';
import { parseDirectOrders, type AgentJob, type AgentTask, type TaskResult } from '../src/wire/agent.js';
import type { TaskOrder } from '../src/model/heartbeat.js';

const identity = { host: 'd.1', endpoint: '127.0.0.1:1', type: 't', zone: 'here' };
const startOrder = (index: number, attempt: number): TaskOrder => ({
  op: 'start',
  job: 'req-1',
  index,
  attempt,
});
const heartbeatResponse = (token: number, orders: TaskOrder[] = [], gangs: string[] = []) => ({
  token,
  orders,
  gangs,
});
const effectTypes = (effects: WorkerEffect[] | null): string[] =>
  (effects ?? []).map((effect) => effect.type);

test('worker: fencing token, epoch and lease decide which orders are executed', () => {
  const worker = new Worker(identity, { agentEpoch: 1, seq: 0, fencingToken: 0 }, 10_000, 0);
  assert.deepEqual(
    effectTypes(worker.onHeartbeatResponse(heartbeatResponse(5, [startOrder(0, 1)]), 100, 1)),
    ['persist-state', 'heartbeat-soon', 'prepare'],
  );
  // Responses with a lower token, no token or another epoch are dropped and do not renew the lease.
  for (const [response, agentEpoch] of [
    [heartbeatResponse(4, [startOrder(1, 1)]), 1],
    [{ ...heartbeatResponse(5), token: null }, 1],
    [heartbeatResponse(5, [startOrder(1, 1)]), 2],
  ] as const)
    assert.deepEqual(effectTypes(worker.onHeartbeatResponse(response, 9000, agentEpoch)), []);
  assert.equal(worker.leaseStart, 100);
  // A repeated order for the same attempt has no effect; another attempt of a task that has not ended is rejected.
  assert.deepEqual(
    effectTypes(worker.onHeartbeatResponse(heartbeatResponse(5, [startOrder(0, 1)]), 200, 1)),
    [],
  );
  worker.onHeartbeatResponse(heartbeatResponse(5, [startOrder(0, 2)]), 200, 1);
  assert.deepEqual(
    worker.buildHeartbeat().tasks.map((t) => [t.attempt, t.phase, t.why]),
    [
      [1, 'fetching', null],
      [2, 'exited', 'busy'],
    ],
  );
  assert.equal(worker.onDirectOrders(4, 1, []), null);
  assert.equal(worker.onDirectOrders(5, 2, []), null);
  assert.deepEqual(
    effectTypes(worker.onDirectOrders(5, 1, [{ op: 'forget', job: 'req-1', index: 0, attempt: 2 }])),
    ['forget'],
  );
  const [runningAttempt] = [...worker.tasks];
  worker.onPrepared(runningAttempt, false);
  assert.deepEqual(
    effectTypes(worker.onDirectOrders(5, 1, [{ op: 'forget', job: 'req-1', index: 0, attempt: 1 }])),
    [],
  );
  assert.deepEqual(
    effectTypes(worker.onDirectOrders(5, 1, [{ op: 'stop', job: 'req-1', index: 0, attempt: 1, graceS: 3 }])),
    ['stop'],
  );
  assert.deepEqual(effectTypes(worker.tick(10_100)), []);
  assert.deepEqual(effectTypes(worker.tick(10_201)), ['stop', 'forget', 'persist-state']);
  assert.equal(worker.agentEpoch, 2);
  assert.deepEqual([...worker.tasks], []);
});

// Guards against a late copy of a start order that is sent to an agent's address: the agent no longer knows the attempt it has forgotten.
test('agent: orders that are sent directly are not accepted with a start among them', () => {
  const stop = { verb: 'kill', piece: 'req-1/0', try: 1, windDownS: 3 };
  const start = { verb: 'run', piece: 'req-1/1', try: 1 };
  assert.equal(parseDirectOrders({ baton: 5, tenure: 1, orders: [stop, start] }), null);
  assert.deepEqual(parseDirectOrders({ baton: 5, tenure: 1, orders: [stop] })?.orders, [
    { op: 'stop', job: 'req-1', index: 0, attempt: 1, graceS: 3 },
  ]);
});

test('worker: tasks of a gang wait until a response names their attempt as complete', () => {
  const worker = new Worker(identity, { agentEpoch: 1, seq: 0, fencingToken: 0 }, 10_000, 0);
  worker.onHeartbeatResponse(heartbeatResponse(1, [startOrder(0, 7), startOrder(1, 7)]), 0, 1);
  const [firstTask, secondTask] = [...worker.tasks];
  assert.deepEqual(effectTypes(worker.onPrepared(firstTask, true)), ['heartbeat-soon']);
  worker.onPrepared(secondTask, true);
  assert.deepEqual(effectTypes(worker.onHeartbeatResponse(heartbeatResponse(1, [], ['req-1 6']), 1, 1)), []);
  assert.deepEqual(effectTypes(worker.onHeartbeatResponse(heartbeatResponse(1, [], ['req-1 7']), 2, 1)), [
    'run',
    'heartbeat-soon',
    'run',
    'heartbeat-soon',
  ]);
  assert.deepEqual([firstTask.phase, secondTask.phase], ['running', 'running']);
});

const jobRunning = (
  script: string,
  overrides: Partial<NonNullable<AgentJob['command']>> = {},
  memGb = 1,
): AgentJob => ({
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
    ...overrides,
  },
  standIn: { sleepS: 0, fail: 0, hang: false, memMb: 0 },
});
const runningTask = (index: number, attempt = 1): AgentTask => ({
  job: 'req-1',
  index,
  attempt,
  phase: 'running',
  why: null,
  saved: false,
  result: null,
});

class RunnerFixture {
  readonly dir = mkdtempSync(join(tmpdir(), 'dapplepick-agent-'));
  readonly agentDirectory = new AgentDirectory(this.dir);
  readonly ends = new Map<AgentTask, TaskResult & { saved: boolean }>();
  runner = this.createRunner();
  createRunner(): CommandRunner {
    const settings = {
      outputBytes: 2000,
      checkIntervalMs: 50,
      graceS: 0.5,
      agentId: `t${process.pid}${this.dir.slice(-4)}`,
    };
    const events = {
      ended: (task: AgentTask, result: TaskResult, saved: boolean) =>
        void this.ends.set(task, { ...result, saved }),
    };
    return new CommandRunner(this.agentDirectory, settings, events, () => undefined);
  }
  async waitForEnd(task: AgentTask): Promise<TaskResult & { saved: boolean }> {
    for (let i = 0; i < 400 && !this.ends.has(task); i++) await new Promise((r) => setTimeout(r, 25));
    return this.ends.get(task) ?? assert.fail(`task ${task.index} did not end`);
  }
  readOutput(task: AgentTask, name = 'stdout'): string {
    return readFileSync(join(this.agentDirectory.taskDirectory(task), name), 'utf8');
  }
  close(): void {
    this.runner.close();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

const isAlive = (pid: number): boolean => {
  try {
    return !/^\d+ \(.*\) [ZX]/.test(readFileSync(`/proc/${pid}/stat`, 'latin1'));
  } catch {
    return false;
  }
};

test('runner: exit codes, signals, environment, output, limits, and leftover processes', async (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const run = (index: number, jobDescription: AgentJob): AgentTask => {
    const task = runningTask(index);
    fixture.runner.start(task, jobDescription, 'd.1', 'boot');
    return task;
  };
  const exitsWith3 = run(0, jobRunning('echo "$X $DAPPLEPICK_INDEX"; echo oh >&2; exit 3'));
  const segfaults = run(1, jobRunning('kill -SEGV $$'));
  const missingProgram = run(2, {
    ...jobRunning(''),
    command: { ...jobRunning('').command!, argv: ['/no/such/program'] },
  });
  const exceedsWallTime = run(3, jobRunning('trap "" TERM; while :; do sleep 0.1; done', { wallS: 0.3 }));
  const exceedsMemory = run(4, jobRunning('x=$(head -c 60000000 /dev/zero | tr "\\0" a); sleep 5', {}, 0.03));
  const leavesProcesses = run(
    5,
    jobRunning('sleep 60 & echo $! > pid; setsid sleep 60 & echo $! > pid2; exit 0'),
  );
  const closesOutput = run(6, jobRunning('exec >&- 2>&-; sleep 0.2; exit 5'));
  const exceedsOutputLimit = run(
    7,
    jobRunning(
      'i=0; while [ $i -lt 30 ]; do head -c 500 /dev/zero | tr "\\0" b; sleep 0.05; i=$((i+1)); done',
    ),
  );
  const savesCheckpoint = run(8, jobRunning('trap "exit 0" TERM; while :; do sleep 0.1; done'));
  const missingDirectory = run(9, jobRunning('true', { dir: '/no/such/dir' }));
  await new Promise((r) => setTimeout(r, 300));
  fixture.runner.stop(savesCheckpoint, 5);
  assert.deepEqual(
    [
      (await fixture.waitForEnd(exitsWith3)).exit,
      fixture.readOutput(exitsWith3),
      fixture.readOutput(exitsWith3, 'stderr'),
    ],
    [3, 'y 0\n', 'oh\n'],
  );
  const segfaultResult = await fixture.waitForEnd(segfaults);
  assert.deepEqual(
    [segfaultResult.exit, segfaultResult.signal, segfaultResult.reason],
    [null, 'SIGSEGV', 'exited'],
  );
  assert.equal((await fixture.waitForEnd(missingProgram)).exit, 127);
  assert.equal((await fixture.waitForEnd(missingDirectory)).reason, 'cannot run');
  const wallTimeResult = await fixture.waitForEnd(exceedsWallTime);
  assert.deepEqual([wallTimeResult.reason, wallTimeResult.signal], ['wall time', 'SIGKILL']);
  assert.ok(wallTimeResult.endedAt - wallTimeResult.startedAt < 3000);
  assert.equal((await fixture.waitForEnd(exceedsMemory)).reason, 'memory');
  assert.equal((await fixture.waitForEnd(leavesProcesses)).exit, 0);
  for (const name of ['pid', 'pid2']) {
    const pid = Number(
      readFileSync(join(fixture.agentDirectory.taskDirectory(leavesProcesses), 'work', name), 'utf8'),
    );
    for (let i = 0; i < 40 && isAlive(pid); i++) await new Promise((r) => setTimeout(r, 25));
    assert.equal(isAlive(pid), false, name);
  }
  assert.equal((await fixture.waitForEnd(closesOutput)).exit, 5);
  await fixture.waitForEnd(exceedsOutputLimit);
  assert.ok(
    statSync(join(fixture.agentDirectory.taskDirectory(exceedsOutputLimit), 'stdout')).size <= 2000 + 1600,
  );
  assert.match(fixture.readOutput(exceedsOutputLimit), /was cut here/);
  const checkpointResult = await fixture.waitForEnd(savesCheckpoint);
  assert.deepEqual(
    [checkpointResult.reason, checkpointResult.exit, checkpointResult.saved],
    ['stopped', 0, true],
  );
});

test('runner: a restarted agent adopts running and ended commands, and starts none twice', async (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const startsPath = join(fixture.dir, 'count');
  const jobCountingStarts = (rest: string): AgentJob =>
    jobRunning(`echo "$DAPPLEPICK_INDEX.$DAPPLEPICK_ATTEMPT" >> ${startsPath}; ${rest}`);
  const longTask = runningTask(0);
  const shortTask = runningTask(1);
  fixture.runner.start(longTask, jobCountingStarts('sleep 1.2; exit 4'), 'd.1', 'boot');
  fixture.runner.start(shortTask, jobCountingStarts('exit 6'), 'd.1', 'boot');
  // This task was recorded on disk, but its shim had not started when the agent was killed.
  const neverStarted = runningTask(2);
  fixture.agentDirectory.saveTask({
    task: neverStarted,
    job: jobCountingStarts('true'),
    startedAt: 1,
    startedUptimeS: 1,
    boot: 'boot',
  });
  // This task was started before the machine was rebooted.
  const fromEarlierBoot = runningTask(3);
  fixture.agentDirectory.saveTask({
    task: fromEarlierBoot,
    job: jobCountingStarts('true'),
    startedAt: 1,
    startedUptimeS: 1,
    boot: 'an earlier boot',
  });
  await new Promise((r) => setTimeout(r, 400));
  fixture.runner.close();
  fixture.ends.clear();
  fixture.runner = fixture.createRunner();
  const adoptedRecords = fixture.agentDirectory.loadTasks().sort((x, y) => x.task.index - y.task.index);
  assert.equal(adoptedRecords.length, 4);
  for (const record of adoptedRecords) fixture.runner.adopt(record, record.job!, 'boot');
  const adoptedTask = (index: number): AgentTask => adoptedRecords[index].task;
  assert.deepEqual(
    [
      (await fixture.waitForEnd(adoptedTask(1))).exit,
      (await fixture.waitForEnd(adoptedTask(2))).reason,
      (await fixture.waitForEnd(adoptedTask(3))).reason,
    ],
    [6, 'lost', 'lost'],
  );
  const longResult = await fixture.waitForEnd(adoptedTask(0));
  assert.deepEqual([longResult.exit, longResult.reason], [4, 'exited']);
  assert.deepEqual(readFileSync(startsPath, 'utf8').trim().split('\n').sort(), ['0.1', '1.1']);
  assert.ok(existsSync(join(fixture.agentDirectory.taskDirectory(neverStarted), 'claim')));
});

// Guards against a second command of an attempt that does not run, and against output and kills that reach the other one.
test('runner: two starts of one attempt have directories, processes and ends of their own', async (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const forgotten = runningTask(0);
  const leaveProcess = 'setsid sleep 60 & echo $! > pid';
  fixture.runner.start(forgotten, jobRunning(`echo first; ${leaveProcess}; sleep 60`), 'd.1', 'boot');
  const firstDirectory = fixture.agentDirectory.taskDirectory(forgotten);
  const leftPidPath = join(firstDirectory, 'work', 'pid');
  for (let i = 0; i < 400 && !existsSync(leftPidPath); i++) await new Promise((r) => setTimeout(r, 25));
  fixture.runner.forget(forgotten);
  const repeated = runningTask(0);
  const go = join(fixture.dir, 'go');
  fixture.runner.start(
    repeated,
    jobRunning(`echo second; while [ ! -f ${go} ]; do sleep 0.05; done; exit 7`),
    'd.1',
    'boot',
  );
  fixture.runner.sweepOrphans();
  // While the second start is running, the processes of the first are killed, and its own are not.
  const leftPid = Number(readFileSync(leftPidPath, 'utf8'));
  for (let i = 0; i < 40 && isAlive(leftPid); i++) await new Promise((r) => setTimeout(r, 25));
  assert.equal(isAlive(leftPid), false, 'a process of the forgotten start is left');
  writeFileSync(go, '');
  const { exit, reason } = await fixture.waitForEnd(repeated);
  assert.deepEqual([exit, reason], [7, 'exited']);
  assert.equal(fixture.readOutput(repeated), 'second\n');
  assert.equal(fixture.ends.has(forgotten), false, 'the end of a forgotten task was reported');
  assert.deepEqual(
    fixture.agentDirectory.loadTasks().map(({ start }) => start),
    [2],
  );
});

// Guards against a command that a shim runs after the agent has forgotten its task.
test('runner: a shim that is scheduled after its task was forgotten does not run the command', (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const task = runningTask(0);
  const start = fixture.agentDirectory.createStart(task);
  const record = { task, start, job: jobRunning('true'), startedAt: 1, startedUptimeS: 1, boot: 'boot' };
  fixture.agentDirectory.saveTask(record);
  fixture.agentDirectory.removeTaskRecord(record);
  const directory = fixture.agentDirectory.startDirectory(record);
  const ranPath = join(fixture.dir, 'ran');
  const { status } = spawnSync('/bin/sh', ['-c', shim, 'dapplepick', directory, 'touch', ranPath]);
  assert.deepEqual([existsSync(ranPath), status], [false, 1]);
});

// Guards against a cancelled command that runs on because its record cannot be written.
test('runner: a command is stopped also if that cannot be recorded', async (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const task = runningTask(0);
  fixture.runner.start(task, jobRunning('sleep 60'), 'd.1', 'boot');
  const directory = fixture.agentDirectory.taskDirectory(task);
  for (let i = 0; i < 400 && !existsSync(join(directory, 'pid')); i++)
    await new Promise((r) => setTimeout(r, 25));
  // No file can be created over a directory of the same name.
  mkdirSync(join(directory, 'task.json.part'));
  fixture.runner.stop(task, 60);
  const { reason, signal } = await fixture.waitForEnd(task);
  assert.deepEqual([reason, signal], ['stopped', 'SIGTERM']);
});

// Guards against an exit code of 0 that nobody recorded: an empty file read as a number is 0.
test('runner: an incomplete record of an exit code proves nothing', (t) => {
  const fixture = new RunnerFixture();
  t.after(() => fixture.close());
  const exitCodes = ['', '\n', 'x', '0\n', '137\n'].map((text) => {
    writeFileSync(join(fixture.dir, 'exit'), text);
    return readExitCode(fixture.dir);
  });
  assert.deepEqual(exitCodes, [null, null, null, 0, 137]);
});

test('settings of agents and control services: errors name the setting and its line', () => {
  const parseAgent = (text: string) => () => parseAgentSettings(text, 'a.scm');
  const parseControl = (text: string) => () => parseControlSettings(text, 'c.scm');
  assert.throws(parseAgent('(agent (name x))'), /a\.scm: control: missing/);
  assert.throws(parseAgent('(agent\n (cpus many))'), /a\.scm: line 2: cpus: must be a number/);
  assert.throws(parseAgent('(agent (colour red))'), /line 1: colour: unknown setting/);
  assert.throws(parseAgent('(agent (control "here"))'), /control: must be IPv4:port/);
  assert.throws(parseControl('(control)'), /directory: missing/);
  assert.throws(
    parseControl('(control (directory d)\n (class x (fail 2)))'),
    /line 2: fail: must be a share/,
  );
  assert.throws(
    parseControl('(control (directory d) (report-s 5) (lease-s 6))'),
    /lease-s: must be at least twice/,
  );
  const controlSettings = parseControlSettings(
    '(control (directory d) (team red (cpus 3) (cpus-max 9)) (class x (sleep-s 2)))',
  );
  assert.deepEqual(controlSettings.teams, [{ name: 'red', cpus: 3, cpus_max: 9, gpus: 0, gpus_max: 0 }]);
  const agentSettings = parseAgentSettings(
    '(agent (name d) (control "127.0.0.1:1") (directory d) (cpus 2) (mem-gb 1) (attribute n 3))',
  );
  assert.deepEqual([agentSettings.type, agentSettings.attrs], ['c2-g0-m1', { n: 3 }]);
  writeFileSync('/dev/null', '');
});

test('an agent that is stopped during its join request does nothing when the response arrives', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-agent-'));
  let onJoinRequest = (): void => undefined;
  const joinRequested = new Promise<void>((resolve) => {
    onJoinRequest = () => resolve();
  });
  let sendJoinResponse = (): void => undefined;
  const controlServer = createServer((_, res) => {
    sendJoinResponse = () => res.end(JSON.stringify({ host: 'd.1', reportS: 1, leaseS: 6, gangWaitS: 9 }));
    onJoinRequest();
  });
  await new Promise<void>((r) => controlServer.listen(0, '127.0.0.1', () => r()));
  const { port } = controlServer.address() as AddressInfo;
  const logMessages: string[] = [];
  const agent = new Agent(
    {
      ...defaultAgentSettings(),
      name: 'a',
      controls: [`127.0.0.1:${port}`],
      controlNames: ['c'],
      directory: dir,
    },
    () => 0.5,
    (_, message) => void logMessages.push(message),
  );
  await agent.start();
  await joinRequested;
  agent.stop();
  // Guards against commands started by a process that is exiting, and against the error that ended that process.
  sendJoinResponse();
  await new Promise((r) => setTimeout(r, 200));
  assert.deepEqual(logMessages, []);
  controlServer.closeAllConnections();
  controlServer.close();
  rmSync(dir, { recursive: true, force: true });
});
