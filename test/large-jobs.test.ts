/** What the ends and starts of a large job's tasks cost a controller: work in step with the tasks, and no stack for each of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Worker } from '../src/agent/worker.js';
import { GangRendezvous } from '../src/control/gang-rendezvous.js';
import type { TaskOrder, TaskStatus } from '../src/model/heartbeat.js';
import type { JobSpec } from '../src/model/job.js';
import type { ScheduledJob, ScheduledMachine } from '../src/core/shard-state/types.js';
import { chunkStateOf } from '../src/core/storage/chunk-state.js';
import { box, spec } from './support/fixtures.js';
import { countVisits } from './support/iteration-counter.js';
import { World } from './support/world.js';

/** The protocol's largest number of tasks of a job. */
const maxTasks = 100_000;
const machineCount = 10;

/** A controller with a job that is placed on machines which report only what a test has them report. */
class PlacedJob {
  readonly world: World;
  readonly job: ScheduledJob;

  /** Places a job. `isDurable`: its placements have been committed, so that its tasks may start. */
  constructor(overrides: Partial<JobSpec> & { tasks: number }, isDurable = true) {
    this.world = new World(1, {}, 1, (text) =>
      text.replace('value_kb = 8.0', 'value_kb = 32.0').replace('write_rps = 40.0', 'write_rps = 10000.0'),
    );
    const { world } = this;
    const cpus = Math.ceil(overrides.tasks / machineCount);
    world.types = [{ ...box, cpus, memGb: cpus }];
    world.capacity = machineCount;
    world.advance(5);
    // A busy controller holds no responses for idle machines. The held ones would start tasks of the job.
    this.node.push({ type: 'load', busy: 1, connections: 0, memory: 0, waiting: 0 });
    const submitted = spec('req-1', { team: 'blue', memGb: 0.5, ...overrides });
    assert.equal(this.node.submit(submitted)?.status, 201);
    const isPlaced = (): boolean => {
      for (const { host, confirmedAt } of this.machines) world.workers.get(host)!.silent = confirmedAt > 0;
      return this.shardState.jobs.get('req-1')?.placements.size === overrides.tasks;
    };
    assert.ok(world.advanceUntil(isPlaced, 60), 'the job is placed');
    this.job = this.shardState.jobs.get('req-1')!;
    if (isDurable) {
      const areDurable = (): boolean =>
        this.job.chunks.every((chunk) => chunk.durableVersion >= chunk.version);
      assert.ok(world.advanceUntil(areDurable, 10), 'the placements are durable');
    }
  }

  get node() {
    return this.world.nodes[0];
  }
  get shardState() {
    return this.node.controller.shardManager.shardState;
  }
  get machines(): ScheduledMachine[] {
    return [...this.shardState.machines.values()];
  }

  /** Reconciles a heartbeat of a machine with these tasks; returns the orders for the response. */
  report(machine: ScheduledMachine, tasks: TaskStatus[], noticeS: number | null = null): TaskOrder[] {
    const heartbeat = {
      ...this.world.workers.get(machine.host)!.report(),
      agentEpoch: machine.agentEpoch,
      sequence: machine.heartbeatSeq + 1,
      fencingToken: machine.fencingToken,
      noticeS,
      tasks,
    };
    const { heartbeatReconciler } = this.node.controller.shardManager;
    return heartbeatReconciler.reconcile(machine, heartbeat, machine.fencingToken);
  }

  /** Has a machine report all of its tasks in one phase. */
  reportAll(machine: ScheduledMachine, status: Pick<TaskStatus, 'phase' | 'exitReason'>): TaskOrder[] {
    const tasks = [...machine.placements.values()].map(({ job, index, attempt }) => ({
      job: job.id,
      index,
      attempt,
      saved: false,
      ...status,
    }));
    return this.report(machine, tasks);
  }

  /** Sends the start orders of all tasks on a machine. */
  startAll(machine: ScheduledMachine): void {
    const started: TaskStatus[] = [];
    while (started.length < machine.placements.size) {
      const orders = this.report(machine, started);
      assert.ok(orders.length > 0, 'the rest of the tasks may start');
      for (const { job, index, attempt } of orders)
        started.push({ job, index, attempt, phase: 'fetching', exitReason: null, saved: false });
    }
  }
}

/** What ends or starts tasks of a job that is placed, and how the job is placed and prepared before. */
interface Scenario {
  readonly title: string;
  readonly spec: Partial<JobSpec>;
  readonly isDurable?: boolean;
  readonly prepare?: (placed: PlacedJob) => void;
  readonly run: (placed: PlacedJob) => void;
}

const failed = { phase: 'exited', exitReason: 'error' } as const;
const waiting = { phase: 'waiting', exitReason: null } as const;
const running = { phase: 'running', exitReason: null } as const;
const gang: Partial<JobSpec> = { shape: 'gang' };
const startEverywhere = (placed: PlacedJob): void => {
  for (const machine of placed.machines) placed.startAll(machine);
};
const reportEverywhere =
  (status: Pick<TaskStatus, 'phase' | 'exitReason'>) =>
  (placed: PlacedJob): void => {
    for (const machine of placed.machines) placed.reportAll(machine, status);
  };

const scenarios: readonly Scenario[] = [
  {
    title: 'a gang is torn down when one task fails and the others have not been started',
    spec: gang,
    prepare: (placed) => void placed.report(placed.machines[0], []),
    run: (placed) => void placed.reportAll(placed.machines[0], failed),
  },
  {
    title: 'all tasks of a gang fail, machine by machine',
    spec: gang,
    prepare: startEverywhere,
    run: reportEverywhere(failed),
  },
  {
    title: 'machines lose the tasks of a gang that wait to start',
    spec: gang,
    prepare: (placed) => {
      startEverywhere(placed);
      reportEverywhere(waiting)(placed);
    },
    run: (placed) => placed.machines.slice(1).forEach((machine) => placed.report(machine, [])),
  },
  {
    title: 'machines with tasks of a gang that wait to start are deleted',
    spec: gang,
    prepare: (placed) => {
      startEverywhere(placed);
      reportEverywhere(waiting)(placed);
    },
    run: (placed) =>
      placed.machines.slice(1).forEach(({ host }) => placed.shardState.machineChanged(host, undefined)),
  },
  {
    title: 'the leases of machines with tasks of a gang that wait to start expire',
    spec: gang,
    prepare: (placed) => {
      startEverywhere(placed);
      reportEverywhere(waiting)(placed);
      placed.world.advance(10);
      placed.reportAll(placed.machines[0], waiting);
    },
    run: (placed) => placed.world.advance(9),
  },
  {
    title: 'machines with a running gang get a reclaim notice',
    spec: gang,
    prepare: (placed) => {
      startEverywhere(placed);
      reportEverywhere(running)(placed);
    },
    run: (placed) => placed.machines.forEach((machine) => placed.report(machine, [], 30)),
  },
  {
    title: 'the tasks of a gang are started',
    spec: gang,
    run: startEverywhere,
  },
  {
    title: 'machines ask for tasks of a gang whose placements are not durable',
    spec: gang,
    isDurable: false,
    run: (placed) => {
      const { heartbeatReconciler } = placed.node.controller.shardManager;
      for (const machine of placed.machines) {
        placed.report(machine, []);
        heartbeatReconciler.hasStartsAwaitingDurability(machine);
      }
    },
  },
  {
    title: 'the placements of a job are encoded',
    spec: {},
    run: ({ job }) => job.chunks.forEach((chunk) => chunkStateOf(job, chunk)),
  },
  {
    title: 'a running job is cancelled',
    spec: {},
    prepare: (placed) => {
      startEverywhere(placed);
      reportEverywhere(running)(placed);
    },
    run: (placed) => {
      assert.equal(placed.node.cancel('req-1')?.status, 200);
      placed.world.advance(1);
    },
  },
  {
    title: 'a gang is cancelled before it has started',
    spec: gang,
    run: (placed) => {
      assert.equal(placed.node.cancel('req-1')?.status, 200);
      placed.world.advance(1);
    },
  },
  {
    title: 'all tasks of an array complete',
    spec: {},
    prepare: startEverywhere,
    run: reportEverywhere({ phase: 'exited', exitReason: 'done' }),
  },
  {
    title: 'a job is loaded whose machines have no records yet',
    spec: {},
    prepare: (placed) => {
      for (const host of [...placed.shardState.machines.keys()]) {
        placed.shardState.machines.delete(host);
        placed.node.controller.replica.machines.delete(host);
      }
    },
    run: (placed) => placed.shardState.reloadJob('req-1'),
  },
];

const agent = { host: 'd.1', endpoint: '127.0.0.1:1', type: 'box', zone: 'here' };

const smallSize = 1000;
/** Twice the tasks may cost twice the work, and sorting them 2 * 11 / 10 times, as log2 of their number is 10 and 11. */
const maxGrowth = 2.2;

/** Asserts that a function which handles a number of tasks does so with work in step with that number. */
function assertInStep(visitsFor: (tasks: number) => number): void {
  const small = visitsFor(smallSize);
  const large = visitsFor(2 * smallSize);
  assert.ok(large <= maxGrowth * small, `${small} visits for ${smallSize} tasks, ${large} for twice as many`);
}

const visitsAt = (scenario: Scenario, tasks: number): number => {
  const placed = new PlacedJob({ tasks, ...scenario.spec }, scenario.isDurable);
  scenario.prepare?.(placed);
  return countVisits(() => scenario.run(placed));
};

// Guards against walks over all tasks of a job that are repeated for each of its tasks, which stop a controller for seconds.
for (const scenario of scenarios)
  test(`work in step with the tasks: ${scenario.title}`, () =>
    assertInStep((tasks) => visitsAt(scenario, tasks)));

const indices = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

test('work in step with the tasks: an agent is told to start tasks', () =>
  assertInStep((tasks) => {
    const worker = new Worker(agent, { agentEpoch: 1, seq: 0, fencingToken: 1 }, 10_000, 0);
    const orders = indices(tasks).map((index) => ({ op: 'start', job: 'req-1', index, attempt: 1 }) as const);
    return countVisits(() => worker.onHeartbeatResponse({ token: 1, orders, gangs: [] }, 0, 1));
  }));

test('work in step with the tasks: an agent is told to start tasks of as many gangs', () =>
  assertInStep((tasks) => {
    const worker = new Worker(agent, { agentEpoch: 1, seq: 0, fencingToken: 1 }, 10_000, 0);
    const orders = indices(tasks).map(
      (i) => ({ op: 'start', job: `req-${i}`, index: 0, attempt: 1 }) as const,
    );
    worker.onHeartbeatResponse({ token: 1, orders, gangs: [] }, 0, 1);
    for (const task of worker.tasks) worker.onPrepared(task, true);
    const gangs = indices(tasks).map((i) => `req-${i} 1`);
    return countVisits(() => worker.onHeartbeatResponse({ token: 1, orders: [], gangs }, 0, 1));
  }));

test('work in step with the tasks: an agent reports waiting tasks of a gang to the control service', () =>
  assertInStep((tasks) => {
    const rendezvous = new GangRendezvous({ pendingTasks: () => tasks, leaseMs: 10_000, now: () => 0 });
    const heartbeat = new World(1).addWorker('box', 'north', false).report();
    heartbeat.tasks = indices(tasks).map((index) => ({
      job: 'req-1',
      index,
      attempt: 1,
      saved: false,
      ...waiting,
    }));
    return countVisits(() => assert.deepEqual(rendezvous.observe(heartbeat), ['req-1 1']));
  }));

// Guards against steps that visit each task whose stop cannot be sent yet, however many steps that takes.
test('steps of a controller do not visit tasks on machines that cannot be reached to stop them', () => {
  const visits = [smallSize, 2 * smallSize].map((tasks) => {
    const { world, node } = new PlacedJob({ tasks });
    node.alive = false;
    world.advance(1);
    node.boot();
    const hasLoaded = (): boolean => node.controller.shardManager.jobs.has('req-1');
    assert.ok(world.advanceUntil(hasLoaded, 30), 'the job is loaded again');
    assert.equal(node.cancel('req-1')?.status, 200);
    return countVisits(() => world.advance(0.5));
  });
  const [small, large] = visits;
  assert.ok(large - small < smallSize, `${small} visits, and ${large} with ${smallSize} more tasks`);
});

// Guards against calls that return into themselves for each task, which end a controller with a stack overflow.
test('a gang of the largest size is torn down without a stack overflow when one of its tasks fails', () => {
  const placed = new PlacedJob({ tasks: maxTasks, ...gang });
  placed.report(placed.machines[0], []);
  placed.reportAll(placed.machines[0], failed);
  assert.equal(placed.job.placements.size, 0);
  assert.equal(placed.job.tearingDown, false);
});
