/**
 * Helpers for tests with concurrent failures: seeded random choices, clusters with long tasks, mixed traffic and final checks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Traffic } from './traffic.js';
import { WaitMonitor } from './wait-monitor.js';
import { type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { type Worker } from './scripted-worker.js';
import { World } from './world.js';

/** The number of seeds that each test runs. MEETING_SEEDS overrides it for longer manual runs. */
export const seedCount = Number(process.env['MEETING_SEEDS'] ?? 4);
/** The first seed. MEETING_FIRST overrides it, for example to repeat a failed seed. */
export const firstSeed = Number(process.env['MEETING_FIRST'] ?? 1);
/** The `cancel_s` of the platform settings in fixtures.ts. */
export const cancelS = 36;
/** MEETING_TASK_LOG enables the task log. The tests run without and with it (see concurrent-failures-task-log.test.ts). */
const operators = process.env['MEETING_TASK_LOG'] ? { 'task-log': 1 } : {};

/** Options of `longWorld`. */
interface LongWorldOptions {
  /** How long tasks run, s. */
  taskDurationS?: number;
  /** How many machines can be rented. */
  capacity?: number;
  /** Changes the platform settings, given as TOML. */
  modifySettings?: (text: string) => string;
  /** Called before the simulation starts. */
  prepare?: (w: World) => void;
}

/** A simulated cluster with long tasks and three controllers that are ready to serve. */
export function longWorld(seed: number, options: LongWorldOptions = {}): World {
  const w = new World(3, operators, seed, options.modifySettings);
  w.capacity = options.capacity ?? 80;
  w.taskDurationS = options.taskDurationS ?? 600;
  options.prepare?.(w);
  const isReady = (n: Node): boolean =>
    n.controller.replica.machineTypes.length > 0 &&
    n.controller.replica.shards.size > 0 &&
    n.controller.sureOfAbsence;
  assert.ok(
    w.advanceUntil(() => w.nodes.every(isReady), 60),
    'all controllers are ready',
  );
  return w;
}

/** A random element of a list. */
export const pick = <T>(w: World, list: readonly T[]): T => list[Math.floor(w.random() * list.length)];

/**
 * Starts two jobs of each kind, one of which is to be cancelled. Each task of the first kind fills a machine; tasks of the others
 * share machines.
 */
export function startLongJobs(w: World): { cancel: string[]; keep: string[] } {
  const jobTemplates = [
    { tasks: 4, cpus: 8 },
    { tasks: 9, cpus: 1, checkpointS: 5, saveS: 4 },
    { shape: 'gang' as const, tasks: 3, cpus: 4, checkpointS: 5, saveS: 4 },
    { shape: 'service' as const, tasks: 3, cpus: 2 },
  ];
  const jobs = jobTemplates.flatMap((overrides, i) =>
    ['1', '2'].map((group) => {
      const id = `req-${group}${i}`;
      const job = spec(id, { team: 'blue', ...overrides });
      assert.equal(pick(w, w.nodes).submit(job)?.status, 201, id);
      return job;
    }),
  );
  const allRunning = (): boolean => jobs.every((job) => w.running(job.id).length === job.tasks);
  assert.ok(w.advanceUntil(allRunning, 120), 'all tasks run');
  w.advance(3);
  return {
    cancel: jobs.filter((j) => j.id.startsWith('req-1')).map((j) => j.id),
    keep: jobs.filter((j) => j.id.startsWith('req-2')).map((j) => j.id),
  };
}

/** Cancels a job as a user does: tries the controllers in turn until one confirms it. Returns that controller. */
export function cancelJob(w: World, id: string, nodes: readonly Node[], withinS = 60): Node {
  const until = w.now + withinS * 1000;
  while (w.now < until)
    for (const n of nodes) {
      if (!n.alive || n.paused) continue;
      if (n.cancel(id)?.body['status'] === 'aborted') {
        w.cancelledAt.set(id, w.now);
        return n;
      }
      w.advance(0.2);
    }
  return assert.fail(`${id}: no controller confirmed the cancellation`);
}

/** Checks the state after all failures have ended: every job is known, cancelled jobs stay cancelled and the others run. */
export function assertRecovered(w: World, jobs: { cancel: string[]; keep: string[] }, withinS = 75): void {
  const isKnown = (id: string): boolean =>
    w.nodes.filter((n) => n.alive).every((n) => n.status(id)?.status === 200);
  for (const id of [...jobs.cancel, ...jobs.keep])
    assert.ok(
      w.advanceUntil(() => isKnown(id), withinS),
      `${id}: not every controller knows the job`,
    );
  for (const id of jobs.cancel)
    assert.equal(w.nodes.find((n) => n.alive)!.status(id)?.body['status'], 'aborted');
  const allTasksRun = (id: string): boolean => w.running(id).length === w.jobSpecs.get(id)!.tasks;
  assert.ok(
    w.advanceUntil(() => jobs.keep.every(allTasksRun), 150),
    `tasks do not run at ${w.now} ms: ${jobs.keep
      .filter((id) => !allTasksRun(id))
      .map(
        (id) =>
          `${id} ${w.running(id).length} ${w.workers.size} machines, ${w.capacity} more available, ${w.finishedTasks.length} tasks finished`,
      )
      .join(' ')}`,
  );
  assert.deepEqual(w.violations.slice(0, 3), []);
}

/** Ends a controller's process. Each peer notices the broken connection with a probability of 80 %. */
export function crash(w: World, n: Node): void {
  n.alive = false;
  for (const peer of w.nodes)
    if (peer !== n && w.random() < 0.8)
      w.schedule(20, () => peer.push({ type: 'peer-lost', member: n.member }));
}

/** The durations of the tasks of `mixedTraffic`, s. */
const taskDurationsS = [3, 8, 20, 45, 80];

/** Traffic of jobs of all shapes. Many have two or three tasks whose durations differ widely. */
export function mixedTraffic(w: World, everyMs = 2000): Traffic {
  w.taskDurationOf = (taskKey) => {
    const [job, index] = taskKey.split('/');
    // All tasks of a gang have the same duration.
    const jobNumber = Number(job.slice(4));
    return taskDurationsS[(jobNumber + (w.gangs.has(job) ? 0 : Number(index))) % taskDurationsS.length];
  };
  return new Traffic(w, everyMs, (jobNumber) => {
    if (jobNumber % 7 === 0) return { shape: 'service', tasks: 2, cpus: 2 };
    if (jobNumber % 5 === 0)
      return { shape: 'gang', tasks: 3, cpus: 2, oneZone: jobNumber % 2 === 0, checkpointS: 5, saveS: 3 };
    if (jobNumber % 12 === 0) return { tasks: 10, team: 'red', spot: true, checkpointS: 4, saveS: 3 };
    if (jobNumber % 9 === 0) return { tasks: 3, apart: true };
    return { tasks: 2 + (jobNumber % 2), cpus: 1 + (jobNumber % 3) };
  });
}

/**
 * Checks the state after all failures have ended: every job's status is answered within 75 s, no job waits too long while there
 * is room for it, and all jobs end.
 */
export function assertAllJobsEnd(w: World, users: Traffic, withinS = 300): void {
  users.stopSubmitting();
  const startedAt = w.now;
  const waiting = new WaitMonitor(w, users);
  const unanswered = (): string[] =>
    [...users.reportedStatus.keys()].filter((id) => (users.lastAnsweredAt.get(id) ?? -Infinity) < startedAt);
  assert.ok(
    w.advanceUntil(() => unanswered().length === 0, 75),
    `no answer about: ${unanswered().slice(0, 5).join(' ')}`,
  );
  const allEnded = w.advanceUntil(() => users.allEnded, withinS);
  waiting.stop();
  assert.deepEqual(w.violations.slice(0, 3), []);
  const unfinished = [...users.jobs.keys()].filter(
    (id) => !['done', 'aborted'].includes(users.reportedStatus.get(id) ?? ''),
  );
  const describeJob = (id: string): string => {
    const { shape, team, tasks, cpus, urgency } = w.jobSpecs.get(id)!;
    return `${id} ${urgency} ${shape} of ${tasks} x ${cpus}, ${team}, ${w.running(id).length} running`;
  };
  assert.ok(
    allEnded,
    `not ended: ${unfinished.map(describeJob).join('; ')}; ${w.workers.size} machines, ${w.capacity} more available`,
  );
}

/** A random subset of the workers, of which each is chosen with the given probability. */
export const randomWorkers = (w: World, share: number): Worker[] =>
  [...w.workers.values()].filter(() => w.random() < share);

/** What the failure injection of a test returns: how long its failures last, and how to tell whether they coincided. */
export interface FailureScenario {
  /** How long the failures last, s. */
  lastsS: number;
  /** How often the failures under test really coincided. */
  coincidences: () => number;
  /** Additional checks at the end. */
  assertAtEnd?: () => void;
}

/** Options of a test with concurrent failures. */
export interface ScenarioOptions {
  /** How long traffic runs before the failures begin, s. */
  beforeS?: number;
  /** Creates the simulated cluster; `longWorld` by default. */
  world?: (seed: number) => World;
  /** Creates the traffic; `mixedTraffic` by default. */
  users?: (w: World) => Traffic;
  /** Seeds that have revealed a fault before. They always run in addition to the others. */
  regressionSeeds?: readonly number[];
  /** The time within which all jobs must end after the failures, s. */
  withinS?: number;
  /** The share of the configured number of seeds that runs. */
  share?: number;
}

/**
 * Defines a test that injects temporary failures while users submit jobs. Afterwards no invariant may have been violated, every
 * job must be known and all jobs must end. Seeds in which the failures did not coincide do not count; further seeds run instead.
 */
export function testConcurrentFailures(
  name: string,
  options: ScenarioOptions,
  injectFaults: (w: World, at: (s: number, f: () => void) => void, users: Traffic) => FailureScenario,
): void {
  const {
    beforeS = 20,
    world: createWorld = longWorld,
    users: createTraffic = mixedTraffic,
    share = 1,
    withinS,
    regressionSeeds = [],
  } = options;
  test(name, () => {
    const requiredSeeds = Math.max(1, Math.round(seedCount * share));
    const runSeed = (seed: number): boolean => {
      const w = createWorld(seed);
      const users = createTraffic(w);
      try {
        w.advance(beforeS);
        const scenario = injectFaults(w, (s, f) => w.schedule(s * 1000, f), users);
        w.advance(scenario.lastsS);
        for (const n of w.nodes) if (!n.alive) n.boot();
        assertAllJobsEnd(w, users, withinS);
        scenario.assertAtEnd?.();
        if (process.env['MEETING_TELL'])
          console.log(
            `${name}: seed ${seed}: coincidences ${scenario.coincidences()}`,
            w.startsAfterCancellation.length,
          );
        return scenario.coincidences() > 0;
      } catch (e) {
        throw new Error(`seed ${seed}: ${(e as Error).message}`, { cause: e });
      }
    };
    for (const seed of regressionSeeds)
      assert.ok(runSeed(seed), `seed ${seed}: the failures no longer coincide`);
    let countedSeeds = 0;
    for (let seed = firstSeed; countedSeeds < requiredSeeds; seed++) {
      assert.ok(
        seed < firstSeed + 3 * requiredSeeds,
        `the failures coincided in only ${countedSeeds} of ${seed - firstSeed} seeds`,
      );
      if (runSeed(seed)) countedSeeds++;
    }
  });
}

/** Ends a controller's process and starts it again after a random time between the two bounds, s. */
export function crashAndRestart(w: World, n: Node | undefined, minDownS: number, maxDownS: number): void {
  if (!n?.alive) return;
  crash(w, n);
  w.schedule(1000 * (minDownS + (maxDownS - minDownS) * w.random()), () => n.alive || n.boot());
}
