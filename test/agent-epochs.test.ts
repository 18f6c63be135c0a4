/** Tests the worker state machine on a fake clock, under seeded sequences of events in any order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Worker, type WorkerEffect } from '../src/agent/worker.js';
import type { TaskOrder } from '../src/model/heartbeat.js';
import { seededRandom, type Random } from '../src/retry/index.js';
import type { AgentTask } from '../src/wire/agent.js';

const identity = { host: 'd.1', endpoint: '127.0.0.1:1', type: 't', zone: 'here' };
const leaseMs = 10_000;
const seeds = 300;
const stepsPerSeed = 200;

/** A response of the control service that is on its way to the worker. */
interface PendingResponse {
  readonly sentAt: number;
  readonly agentEpoch: number;
  readonly orders: TaskOrder[];
}

/** A worker whose effects are carried out by lists. Preparations and commands complete at any later time, forgotten ones too. */
class WorkerSimulation {
  private now = 0;
  private readonly worker = new Worker(identity, { agentEpoch: 1, seq: 0, fencingToken: 1 }, leaseMs, 0);
  private readonly preparing: AgentTask[] = [];
  private readonly running = new Set<AgentTask>();
  private readonly responses: PendingResponse[] = [];
  /** How often a preparation or a command of a forgotten task completed. */
  lateEvents = 0;

  constructor(private readonly random: Random) {}

  /** Carries out one random event, and checks what must hold after every event. */
  step(): void {
    const events = [
      () => this.advanceClock(),
      () => this.sendHeartbeat(),
      () => this.deliverResponse(),
      () => this.completePreparation(),
      () => this.endCommand(),
    ];
    events[this.choose(events.length)]();
    for (const task of this.running) assert.ok(this.worker.holds(task), 'a forgotten task is running');
  }

  private choose(count: number): number {
    return Math.floor(this.random() * count);
  }
  private takeAny<T>(list: T[]): T | undefined {
    return list.splice(this.choose(list.length), 1).at(0);
  }
  private advanceClock(): void {
    this.now += this.random() * leaseMs * 0.7;
    this.apply(this.worker.tick(this.now));
  }
  private sendHeartbeat(): void {
    const { agentEpoch } = this.worker.buildHeartbeat();
    const op = (['start', 'start', 'stop', 'forget'] as const)[this.choose(4)];
    const attempt = { job: 'req-1', index: this.choose(3), attempt: 1 + this.choose(2) };
    const order: TaskOrder = op === 'stop' ? { op, ...attempt, graceS: this.choose(2) } : { op, ...attempt };
    this.responses.push({ sentAt: this.now, agentEpoch, orders: [order] });
  }
  private deliverResponse(): void {
    const response = this.takeAny(this.responses);
    if (!response) return;
    const { sentAt, agentEpoch, orders } = response;
    this.apply(this.worker.onHeartbeatResponse({ token: 1, orders, gangs: ['req-1 1'] }, sentAt, agentEpoch));
  }
  private completePreparation(): void {
    const task = this.takeAny(this.preparing);
    if (!task) return;
    if (!this.worker.holds(task)) this.lateEvents++;
    this.apply(this.worker.onPrepared(task, this.choose(2) === 0));
  }
  private endCommand(): void {
    const task = [...this.running].at(this.choose(this.running.size));
    if (!task) return;
    this.running.delete(task);
    this.apply(this.worker.onExited(task, 'done', null, false));
  }

  private apply(effects: readonly WorkerEffect[]): void {
    for (const effect of effects)
      if (effect.type === 'prepare') this.preparing.push(effect.task);
      else if (effect.type === 'run') this.run(effect.task);
      else if (effect.type === 'forget') this.running.delete(effect.task);
      else if (effect.type === 'stop' && effect.graceS === 0) this.running.delete(effect.task);
  }
  private run(task: AgentTask): void {
    assert.ok(this.worker.holds(task), 'a forgotten task is run');
    const sameTask = [...this.running].filter(({ index }) => index === task.index);
    assert.deepEqual(sameTask, [], 'two attempts of a task run at once');
    this.running.add(task);
  }
}

// Guards against whatever brings a forgotten task back: late preparations, responses of earlier epochs, repeated starts.
test('worker: no forgotten task runs, in whichever order preparations, responses, lease ends and repeated starts meet', () => {
  let lateEvents = 0;
  for (let seed = 1; seed <= seeds; seed++) {
    const simulation = new WorkerSimulation(seededRandom(seed));
    for (let step = 0; step < stepsPerSeed; step++) simulation.step();
    lateEvents += simulation.lateEvents;
  }
  assert.ok(lateEvents > seeds, `the case came about only ${lateEvents} times`);
});
