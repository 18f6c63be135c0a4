/** Tests that nothing of a task attempt outlives the agent's lease, and that only a proven exit of its command ends it. */
import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Agent, parseAgentSettings } from '../src/agent/index.js';
import { findProcessesByMark, sendSignal } from '../src/agent/processes.js';
import { seededRandom } from '../src/retry/index.js';
import { ScriptedControl, type ReportedHeartbeat, type ReportedTask } from './support/scripted-control.js';

const runOrder = { verb: 'run', piece: 'req-1/0', try: 1 } as const;
/** The attempt that `runOrder` starts, as a heartbeat lists it. */
const listedAttempt = (heartbeat: ReportedHeartbeat): ReportedTask | undefined =>
  heartbeat.pieces.find(({ piece, try: attempt }) => piece === runOrder.piece && attempt === runOrder.try);
/** Orders the attempt to be started whenever the agent does not list it, as the core does. */
const startIfMissing = (heartbeat: ReportedHeartbeat) => (listedAttempt(heartbeat) ? [] : [runOrder]);
const reject = (): null => null;
const noOrders = (): [] => [];

/** One agent in this process and its control service, in a temporary directory. */
class AgentFixture {
  readonly dir = mkdtempSync(join(tmpdir(), 'dapplepick-lease-'));
  private readonly agents: Agent[] = [];

  private constructor(readonly control: ScriptedControl) {}
  /** Creates the fixture; starts no agent. */
  static async create(leaseS: number): Promise<AgentFixture> {
    return new AgentFixture(await ScriptedControl.start({ reportS: 0.1, leaseS }));
  }
  /** Starts the agent, whose lease runs on the given clock. */
  async startAgent(now?: () => number): Promise<Agent> {
    const settings = parseAgentSettings(
      `(agent (name a) (control "${this.control.address}") (directory "${join(this.dir, 'a')}") (cpus 2) (mem-gb 1))`,
    );
    const agent = new Agent(settings, seededRandom(1), () => undefined, now);
    this.agents.push(agent);
    await agent.start();
    return agent;
  }
  /** The path of a file of the test. */
  path(name: string): string {
    return join(this.dir, name);
  }
  /** The description of a job whose command is a shell script. */
  job(script: string): object {
    const command = {
      argv: ['/bin/sh', '-c', script],
      env: {},
      dir: null,
      stdout: null,
      stderr: null,
      wallS: null,
      retries: 0,
    };
    const standIn = { sleepS: 0, fail: 0, hang: false, memMb: 0 };
    return { cpus: 1, gpus: 0, memGb: 0.1, gang: false, saveS: 1, checkpointS: 1, command, standIn };
  }
  /** The running processes of the agent's tasks. */
  taskProcesses(): { pid: number; mark: string }[] {
    const record = JSON.parse(readFileSync(this.path('a/agent.json'), 'utf8')) as { id: string };
    return findProcessesByMark(`${record.id}/`);
  }
  /** Rejects heartbeats until the agent's lease has expired. */
  async letLeaseExpire(): Promise<void> {
    const { tenure } = this.control.latest!;
    this.control.respond = reject;
    await this.control.nextHeartbeat((heartbeat) => heartbeat.tenure > tenure);
  }
  /** Stops the agent and kills what it leaves behind. */
  tearDown(): void {
    for (const agent of this.agents) agent.stop();
    this.control.close();
    const marked = [...this.taskProcesses(), ...findProcessesByMark(`watchdog:${this.path('a')}`)];
    for (const { pid } of marked) sendSignal(pid, 'SIGKILL');
    rmSync(this.dir, { recursive: true, force: true, maxRetries: 20, retryDelay: 100 });
  }
}

/** For tests that wait until the lease expires. An earlier expiry, on a busy machine, does not change their verdict. */
const shortLeaseS = 1;
/** For tests in which the lease must not expire by itself. */
const longLeaseS = 60;

const withAgent = async (leaseS: number, use: (fixture: AgentFixture) => Promise<void>): Promise<void> => {
  const fixture = await AgentFixture.create(leaseS);
  try {
    await use(fixture);
  } finally {
    fixture.tearDown();
  }
};

// Guards against an attempt that is reported as done, although its command was killed at lease end and never run again.
test('lease: an attempt that was killed at lease end and is started again runs its command again', () =>
  withAgent(shortLeaseS, async (fixture) => {
    const { control } = fixture;
    const [began, go] = [fixture.path('began'), fixture.path('go')];
    control.jobs.set(
      'req-1',
      fixture.job(`if [ -f ${go} ]; then exit 7; fi; touch ${began}; sleep 60; exit 0`),
    );
    control.respond = startIfMissing;
    await fixture.startAgent();
    await control.waitUntil(() => existsSync(began));
    await fixture.letLeaseExpire();
    writeFileSync(go, '');
    control.respond = startIfMissing;
    const heartbeat = await control.nextHeartbeat((h) => listedAttempt(h)?.status === 'exited');
    const { result, cause } = listedAttempt(heartbeat)!;
    assert.deepEqual([cause, result?.reason, result?.exit], ['error', 'exited', 7]);
  }));

// Guards against the same report of success for an attempt that is started again after its end was cleared.
test('lease: an attempt that is started again after it was cleared runs its command again', () =>
  withAgent(longLeaseS, async (fixture) => {
    const { control } = fixture;
    const ran = fixture.path('ran');
    control.jobs.set('req-1', fixture.job(`echo >> ${ran}; exit $(wc -l < ${ran})`));
    const exits: (number | null | undefined)[] = [];
    control.respond = (heartbeat) => {
      const attempt = listedAttempt(heartbeat);
      if (!attempt) return exits.length < 2 ? [runOrder] : [];
      if (attempt.status !== 'exited') return [];
      exits.push(attempt.result?.exit);
      return [{ ...runOrder, verb: 'clear' }];
    };
    await fixture.startAgent();
    await control.nextHeartbeat((heartbeat) => exits.length === 2 && heartbeat.pieces.length === 0);
    assert.deepEqual(exits, [1, 2]);
  }));

// Guards against a command that is started for an attempt which was forgotten, so that no report lists it.
test('lease: an attempt that is forgotten while its job description is being fetched is never run', () =>
  withAgent(shortLeaseS, async (fixture) => {
    const { control } = fixture;
    control.respond = startIfMissing;
    await fixture.startAgent();
    await control.waitUntil(() => control.jobRequests.length > 0);
    await fixture.letLeaseExpire();
    const requestsAtLeaseEnd = control.jobRequests.length;
    control.jobs.set('req-1', fixture.job(`touch ${fixture.path('ran')}; sleep 60`));
    control.respond = noOrders;
    // Longer than the longest delay between two requests for a description.
    await control.waitForHeartbeats(20);
    assert.equal(existsSync(fixture.path('ran')), false, 'the command of a forgotten attempt was run');
    // One request may have been on its way when the lease ended.
    assert.ok(
      control.jobRequests.length <= requestsAtLeaseEnd + 1,
      'the agent still fetches the description',
    );
    assert.deepEqual(control.latest?.pieces, []);
  }));

// Guards against a start within an expired lease: a suspended agent may read a response before its timers fire.
test('lease: orders in a response that is read after the lease has expired are not executed', () =>
  withAgent(longLeaseS, async (fixture) => {
    const { control } = fixture;
    control.jobs.set('req-1', fixture.job(`touch ${fixture.path('ran')}; sleep 60`));
    let clockOffsetMs = 0;
    let heldHeartbeat: ReportedHeartbeat | null = null;
    control.holdResponse = async (heartbeat) => {
      if (control.heartbeats.length !== 3) return;
      heldHeartbeat = heartbeat;
      clockOffsetMs = 2 * longLeaseS * 1000;
      control.respond = (answered) => (answered === heldHeartbeat ? [runOrder] : []);
    };
    await fixture.startAgent(() => performance.now() + clockOffsetMs);
    await control.waitForHeartbeats(10);
    assert.equal(existsSync(fixture.path('ran')), false, 'a command was started after the lease had expired');
    assert.deepEqual(control.jobRequests, [], 'an order was executed after the lease had expired');
    assert.ok(control.latest!.tenure > heldHeartbeat!.tenure);
    assert.ok(control.heartbeats.every(({ pieces }) => pieces.length === 0));
  }));

// Guards against a stopped command that counts as done, because it exits with 0 while the agent is being restarted.
test('lease: a command that exits with 0 because it was told to stop is not done, also if the agent restarts meanwhile', () =>
  withAgent(longLeaseS, async (fixture) => {
    const { control } = fixture;
    const script = `trap 'touch ${fixture.path('told')}; while [ ! -f ${fixture.path('go')} ]; do sleep 0.05; done; exit 0' TERM`;
    control.jobs.set(
      'req-1',
      fixture.job(`${script}; touch ${fixture.path('began')}; while :; do sleep 0.05; done`),
    );
    control.respond = startIfMissing;
    const agent = await fixture.startAgent();
    await control.waitUntil(() => existsSync(fixture.path('began')));
    control.respond = (heartbeat) =>
      listedAttempt(heartbeat)?.status === 'running' ? [{ ...runOrder, verb: 'kill', windDownS: 60 }] : [];
    await control.waitUntil(() => existsSync(fixture.path('told')));
    agent.stop();
    control.respond = noOrders;
    writeFileSync(fixture.path('go'), '');
    await control.waitUntil(() => fixture.taskProcesses().length === 0);
    await fixture.startAgent();
    const heartbeat = await control.nextHeartbeat((h) => listedAttempt(h)?.status === 'exited');
    const { cause, result } = listedAttempt(heartbeat)!;
    assert.deepEqual([cause, result?.reason, result?.exit], ['stopped', 'stopped', 0]);
  }));
