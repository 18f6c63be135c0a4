/** Helpers for tests in which two failures meet: seeded choices, cut-off groups of machines, long-running worlds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Traffic } from './traffic.js';
import { Waiting } from './waiting.js';
import { type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { type Worker } from './scripted-worker.js';
import { World } from './world.js';

/** How many seeds of each meeting are played; more by hand. */
export const seedCount = Number(process.env['MEETING_SEEDS'] ?? 4);
export const firstSeed = Number(process.env['MEETING_FIRST'] ?? 1);
export const cancelS = 36;
/** The meetings are played without and with the task log (meetingslogged.test.ts). */
const operators = process.env['MEETING_TASK_LOG'] ? { 'task-log': 1 } : {};

interface Setting {
  runS?: number;
  capacity?: number;
  settingsOf?: (text: string) => string;
  /** Done before the controllers start. */
  prepare?: (w: World) => void;
}

/** Three controllers that serve, on a world whose tasks run for long. */
export function longWorld(seed: number, setting: Setting = {}): World {
  const w = new World(3, operators, seed, setting.settingsOf);
  w.capacity = setting.capacity ?? 80;
  w.taskDurationS = setting.runS ?? 600;
  setting.prepare?.(w);
  const isReady = (n: Node): boolean =>
    n.controller.replica.machineTypes.length > 0 &&
    n.controller.replica.shards.size > 0 &&
    n.controller.sureOfAbsence;
  assert.ok(
    w.advanceUntil(() => w.nodes.every(isReady), 60),
    'up',
  );
  return w;
}

export const pick = <T>(w: World, list: readonly T[]): T => list[Math.floor(w.random() * list.length)];

/** Of each kind two jobs, one of which is to be cancelled; the first array has a machine for itself, others share. */
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
  assert.ok(w.advanceUntil(allRunning, 120), 'all run');
  w.advance(3);
  return {
    cancel: jobs.filter((j) => j.id.startsWith('req-1')).map((j) => j.id),
    keep: jobs.filter((j) => j.id.startsWith('req-2')).map((j) => j.id),
  };
}

/** Cancels a job as its user does: through whichever controller answers, until one has confirmed it. */
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
  return assert.fail(`${id} not cancelled`);
}

/** Troubles are over: every job is known, those that were cancelled stay so, the others run (on). */
export function assertRecovered(w: World, jobs: { cancel: string[]; keep: string[] }, withinS = 75): void {
  const isKnown = (id: string): boolean =>
    w.nodes.filter((n) => n.alive).every((n) => n.status(id)?.status === 200);
  for (const id of [...jobs.cancel, ...jobs.keep])
    assert.ok(
      w.advanceUntil(() => isKnown(id), withinS),
      `${id} is forgotten`,
    );
  for (const id of jobs.cancel)
    assert.equal(w.nodes.find((n) => n.alive)!.status(id)?.body['status'], 'aborted');
  const allTasksRun = (id: string): boolean => w.running(id).length === w.specs.get(id)!.tasks;
  assert.ok(
    w.advanceUntil(() => jobs.keep.every(allTasksRun), 150),
    `not run at ${w.now}: ${jobs.keep
      .filter((id) => !allTasksRun(id))
      .map(
        (id) =>
          `${id} ${w.running(id).length} ${w.workers.size} machines, ${w.capacity} left, ${w.finished.length} finished`,
      )
      .join(' ')}`,
  );
  assert.deepEqual(w.violations.slice(0, 3), []);
}

/** Ends a controller's process; its peers notice the broken connections, mostly. */
export function kill(w: World, n: Node): void {
  n.alive = false;
  for (const peer of w.nodes)
    if (peer !== n && w.random() < 0.8)
      w.schedule(20, () => peer.push({ type: 'peer-lost', member: n.member }));
}

const taskDurationsS = [3, 8, 20, 45, 80];

/** Users of a busy fleet: jobs of all shapes, of which many have two or three tasks that end far apart. */
export function mixedTraffic(w: World, everyMs = 2000): Traffic {
  w.taskDurationOf = (taskKey) => {
    const [job, index] = taskKey.split('/');
    // A gang's tasks complete together.
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

/** The troubles are over: every job gets an answer within 75 s, waits for no room that is there, and comes to its end. */
export function assertAllJobsEnd(w: World, users: Traffic, withinS = 300): void {
  users.stop();
  const startedAt = w.now;
  const waiting = new Waiting(w, users);
  const unanswered = (): string[] =>
    [...users.told.keys()].filter((id) => (users.lastAnsweredAt.get(id) ?? -Infinity) < startedAt);
  assert.ok(
    w.advanceUntil(() => unanswered().length === 0, 75),
    `forgotten: ${unanswered().slice(0, 5).join(' ')}`,
  );
  const allEnded = w.advanceUntil(() => users.over, withinS);
  waiting.stop();
  assert.deepEqual(w.violations.slice(0, 3), []);
  const unfinished = [...users.jobs.keys()].filter(
    (id) => !['done', 'aborted'].includes(users.told.get(id) ?? ''),
  );
  const describeJob = (id: string): string => {
    const { shape, team, tasks, cpus, urgency } = w.specs.get(id)!;
    return `${id} ${urgency} ${shape} of ${tasks} x ${cpus}, ${team}, ${w.running(id).length} there`;
  };
  assert.ok(
    allEnded,
    `not over: ${unfinished.map(describeJob).join('; ')}; ${w.workers.size} machines, ${w.capacity} left`,
  );
}

export const some = (w: World, share: number): Worker[] =>
  [...w.workers.values()].filter(() => w.random() < share);

/** What a meeting brings about: how long its troubles last, and whether they met. */
export interface Course {
  lastsS: number;
  /** How often the meeting really came about. */
  came: () => number;
  /** Looked at when all is over. */
  over?: () => void;
}

export interface Scene {
  beforeS?: number;
  world?: (seed: number) => World;
  users?: (w: World) => Traffic;
  /** Seeds that once showed a fault: always played beside the others. */
  shown?: readonly number[];
  /** Within which time all work is over. */
  withinS?: number;
  /** How many of the seeds are played, of those that are asked for. */
  share?: number;
}

/**
 * Troubles that come and go while users bring work; then nothing may have been broken, nobody forgotten, and nothing may wait.
 * A seed in which the troubles did not meet counts for nothing: another is played for it.
 */
export function meeting(
  name: string,
  scene: Scene,
  injectFaults: (w: World, at: (s: number, f: () => void) => void, users: Traffic) => Course,
): void {
  const {
    beforeS = 20,
    world: createWorld = longWorld,
    users: createTraffic = mixedTraffic,
    share = 1,
    withinS,
    shown = [],
  } = scene;
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
        scenario.over?.();
        if (process.env['MEETING_TELL'])
          console.log(`${name}: seed ${seed} came ${scenario.came()}`, w.startsAfterCancellation.length);
        return scenario.came() > 0;
      } catch (e) {
        throw new Error(`seed ${seed}: ${(e as Error).message}`, { cause: e });
      }
    };
    for (const seed of shown) assert.ok(runSeed(seed), `seed ${seed} shows nothing any more`);
    let countedSeeds = 0;
    for (let seed = firstSeed; countedSeeds < requiredSeeds; seed++) {
      assert.ok(
        seed < firstSeed + 3 * requiredSeeds,
        `met in ${countedSeeds} of ${seed - firstSeed} seeds only`,
      );
      if (runSeed(seed)) countedSeeds++;
    }
  });
}

/** Ends a controller's process, and starts it again within this time, s. */
export function bounce(w: World, n: Node | undefined, minDownS: number, maxDownS: number): void {
  if (!n?.alive) return;
  kill(w, n);
  w.schedule(1000 * (minDownS + (maxDownS - minDownS) * w.random()), () => n.alive || n.boot());
}
