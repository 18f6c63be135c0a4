/**
 * Team quotas must not be exceeded when jobs are cancelled whose tasks run on unreachable workers, while the leader or the owner
 * of the shard changes.
 */
import {
  crashAndRestart,
  longWorld,
  testConcurrentFailures,
  pick,
  randomWorkers,
} from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolling-upgrade.js';
import { Traffic } from './support/traffic.js';
import type { Node } from './support/controller-node.js';
import type { Worker } from './support/scripted-worker.js';
import type { World } from './support/world.js';

/** A simulated cluster in which both teams have a CPU limit. */
const limitedTeamsWorld = (seed: number): World =>
  longWorld(seed, {
    capacity: 12,
    modifySettings: (text) => text.replace('name = "blue"', 'name = "blue"\ncpus_max = 16.0'),
  });

/** The durations of tasks, s. A job's number selects one. */
const taskDurationsS = [5, 10, 20, 40];

/** Traffic in which both teams ask for more CPUs than their limits. */
function overloadTraffic(w: World): Traffic {
  w.taskDurationOf = (taskKey) =>
    taskDurationsS[Number(taskKey.split('/')[0].slice(4)) % taskDurationsS.length];
  return new Traffic(
    w,
    2000,
    (n) => {
      const team = n % 2 === 0 ? 'blue' : 'red';
      const cpus = 1 + (n % 4);
      if (n % 9 === 0) return { team, shape: 'gang', tasks: 2, cpus, checkpointS: 5, saveS: 3 };
      return { team, tasks: 1 + (n % 3), cpus, urgency: pick(w, ['low', 'normal', 'high'] as const) };
    },
    17,
  );
}

/** The CPUs that the tasks of a team use, as a share of the team's limit. */
function quotaUsage(w: World, team: string): number {
  const cpuLimit = w.nodes[0].settings.teams.find((t) => t.name === team)!.cpus_max;
  let cpus = 0;
  for (const worker of w.workers.values())
    for (const [taskKey, task] of worker.tasks) {
      const spec = w.jobSpecs.get(task.report.job);
      if (spec?.team === team && worker.hasTask(taskKey)) cpus += spec.cpus;
    }
  return cpus / cpuLimit;
}

/** Faults of a worker; `cut`: it cannot reach any controller. */
type WorkerFault = 'hung' | 'silent' | 'losesResponses' | 'cut';

/** Starts or ends a fault of a worker. */
function setFault(w: World, worker: Worker, fault: WorkerFault, active: boolean): void {
  if (fault !== 'cut') worker[fault] = active;
  else if (active) for (const n of w.nodes) worker.unreachableNodes.add(n.member);
  else worker.unreachableNodes.clear();
}

/**
 * Makes the workers of some jobs, and some other workers, unreachable for a while, and cancels the jobs at that time. Returns
 * the number of cancelled jobs.
 */
function cancelOnUnreachableWorkers(w: World, users: Traffic, maxJobs: number): number {
  const ids = users.unfinishedJobs.filter((id) => w.running(id).length > 0).filter(() => w.random() < 0.4);
  const chosen = ids.slice(0, maxJobs);
  const affected = new Set(randomWorkers(w, 0.15));
  for (const id of chosen)
    for (const { host } of w.running(id)) if (w.random() < 0.8) affected.add(w.workers.get(host)!);
  const fault = pick(w, ['hung', 'silent', 'losesResponses', 'cut'] as const);
  const durationMs = 1000 * (3 + 50 * w.random());
  for (const worker of affected) {
    w.schedule(800 * w.random(), () => setFault(w, worker, fault, true));
    w.schedule(900 + durationMs, () => setFault(w, worker, fault, false));
  }
  for (const id of chosen) w.schedule(1500 * w.random(), () => users.cancel(id, pick(w, w.nodes)));
  return chosen.length;
}

for (const role of ['leader', 'owner'] as const)
  testConcurrentFailures(
    `teams stay within their limits when jobs on unreachable workers are cancelled and the ${role} changes`,
    { world: limitedTeamsWorld, users: overloadTraffic, beforeS: 30, withinS: 700 },
    (w, at, users) => {
      let cancelledAtLimit = 0;
      // Heartbeats that are delivered late do not list the tasks that have started since.
      if (w.random() < 0.6) w.heldHeartbeatShare = 0.5;
      const commitsAreSlow = w.random() < 0.4;
      if (commitsAreSlow) w.commitDelayMs = () => 1500 * w.random();
      for (let s = 1; s < 90; s += 14 + 12 * w.random()) {
        at(s, () => {
          const atLimit = Math.min(quotaUsage(w, 'red'), quotaUsage(w, 'blue')) > 0.7;
          const chosen = cancelOnUnreachableWorkers(w, users, 5);
          if (atLimit) cancelledAtLimit += chosen;
        });
        at(s + 4 * w.random(), () => {
          const node = role === 'leader' ? leaderOf(w) : ownerOf(w);
          const choice = w.random();
          if (choice < 0.5) crashAndRestart(w, node, 0.2, 6);
          else if (node && choice < 0.75) {
            node.cutFromState = true;
            node.isolatedFromPeers = w.random() < 0.5;
            w.schedule(25_000 * w.random(), () => (node.cutFromState = node.isolatedFromPeers = false));
          } else if (node) {
            node.paused = true;
            w.schedule(12_000 * w.random(), () => (node.paused = false));
          }
        });
      }
      at(118, () => {
        w.heldHeartbeatShare = 0;
        w.commitDelayMs = () => 0;
      });
      return { lastsS: 150, coincidences: () => cancelledAtLimit };
    },
  );

testConcurrentFailures(
  'jobs are cancelled before, during and after a shard handover, through the old owner, the new one or a third controller',
  { users: (w) => overloadTraffic(w), world: limitedTeamsWorld, beforeS: 25, withinS: 700 },
  (w, at, users) => {
    let cancelledDuringHandover = 0;
    const maxDelayMs = w.random() < 0.5 ? 400 : 1800;
    w.commitDelayMs = () => maxDelayMs * w.random();
    w.responseMs = 5 + Math.floor(60 * w.random());
    const grantRevision = (): number => w.state.entries.get('dp/shard/0')?.stamp ?? 0;
    const cancelSome = (): void => {
      // Either jobs with running tasks, or the newest jobs, whose tasks are just being placed.
      const running = users.unfinishedJobs.filter((id) => w.running(id).length > 0);
      const ids = w.random() < 0.5 ? running : users.unfinishedJobs.slice(-5);
      if (ids.length === 0) return;
      const revision = grantRevision();
      const id = pick(w, ids);
      users.cancel(id, pick(w, w.nodes));
      w.schedule(
        1200,
        () =>
          (cancelledDuringHandover +=
            grantRevision() !== revision && users.reportedStatus.get(id) === 'aborted' ? 1 : 0),
      );
    };
    for (let s = 2; s < 75; s += 4 + 5 * w.random()) {
      at(s, () => {
        const owner = w.nodes.find((n) => n.alive && n.controller.shardManager.ownedShards.has(0));
        const target: Node = pick(w, w.nodes);
        const targetInstanceId = owner?.controller.replica.presences.get(target.member)?.instanceId;
        if (owner && targetInstanceId && target !== owner)
          owner.controller.membership.handOver(0, target.member, targetInstanceId);
        if (w.random() < 0.2)
          w.schedule(400 * w.random(), () => crashAndRestart(w, pick(w, [owner, target]), 0.3, 4));
      });
      for (let i = 0; i < 5; i++) at(s - 0.4 + 1.2 * w.random(), cancelSome);
    }
    at(80, () => (w.commitDelayMs = () => 0));
    return { lastsS: 84, coincidences: () => cancelledDuringHandover };
  },
);
