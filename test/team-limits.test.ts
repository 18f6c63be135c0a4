/** Limits of teams while cancelled tasks are out of reach and owners change. */
import { bounce, longWorld, meeting, pick, some } from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolls.js';
import { Traffic } from './support/traffic.js';
import type { Node } from './support/controller-node.js';
import type { Worker } from './support/scripted-worker.js';
import type { World } from './support/world.js';

/** Both teams have a limit, and more work than that. */
const limited = (seed: number): World =>
  longWorld(seed, {
    capacity: 12,
    settingsOf: (text) => text.replace('name = "blue"', 'name = "blue"\ncpus_max = 16.0'),
  });

const lengths = [5, 10, 20, 40];

function crowd(w: World): Traffic {
  w.taskDurationOf = (piece) => lengths[Number(piece.split('/')[0].slice(4)) % lengths.length];
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

/** What a team's tasks take, of its limit. */
function fill(w: World, team: string): number {
  const cap = w.nodes[0].settings.teams.find((t) => t.name === team)!.cpus_max;
  let cpus = 0;
  for (const m of w.workers.values())
    for (const [piece, t] of m.tasks) {
      const spec = w.specs.get(t.report.job);
      if (spec?.team === team && m.hasTask(piece)) cpus += spec.cpus;
    }
  return cpus / cap;
}

type How = 'hung' | 'silent' | 'losesResponses' | 'cut';

function trouble(w: World, m: Worker, how: How, on: boolean): void {
  if (how !== 'cut') m[how] = on;
  else if (on) for (const n of w.nodes) m.unreachableNodes.add(n.member);
  else m.unreachableNodes.clear();
}

/** Of the machines of some jobs, and of some others, nothing can be had for a while; the jobs are cancelled just then. */
function cancelOutOfReach(w: World, users: Traffic, most: number): number {
  const ids = users.going.filter((id) => w.running(id).length > 0).filter(() => w.random() < 0.4);
  const chosen = ids.slice(0, most);
  const hit = new Set(some(w, 0.15));
  for (const id of chosen)
    for (const { host } of w.running(id)) if (w.random() < 0.8) hit.add(w.workers.get(host)!);
  const how = pick(w, ['hung', 'silent', 'losesResponses', 'cut'] as const);
  const forMs = 1000 * (3 + 50 * w.random());
  for (const m of hit) {
    w.schedule(800 * w.random(), () => trouble(w, m, how, true));
    w.schedule(900 + forMs, () => trouble(w, m, how, false));
  }
  for (const id of chosen) w.schedule(1500 * w.random(), () => users.cancel(id, pick(w, w.nodes)));
  return chosen.length;
}

for (const who of ['leader', 'owner'] as const)
  meeting(
    `every team is at its limit, jobs are cancelled whose machines are out of reach, the ${who} changes`,
    { world: limited, users: crowd, beforeS: 30, withinS: 700 },
    (w, at, users) => {
      let met = 0;
      // Old reports lack what was started since.
      if (w.random() < 0.6) w.heldHeartbeatShare = 0.5;
      const slow = w.random() < 0.4;
      if (slow) w.commitDelayMs = () => 1500 * w.random();
      for (let s = 1; s < 90; s += 14 + 12 * w.random()) {
        at(s, () => {
          const full = Math.min(fill(w, 'red'), fill(w, 'blue')) > 0.7;
          const chosen = cancelOutOfReach(w, users, 5);
          if (full) met += chosen;
        });
        at(s + 4 * w.random(), () => {
          const n = who === 'leader' ? leaderOf(w) : ownerOf(w);
          const how = w.random();
          if (how < 0.5) bounce(w, n, 0.2, 6);
          else if (n && how < 0.75) {
            n.cutFromState = true;
            n.isolatedFromPeers = w.random() < 0.5;
            w.schedule(25_000 * w.random(), () => (n.cutFromState = n.isolatedFromPeers = false));
          } else if (n) {
            n.paused = true;
            w.schedule(12_000 * w.random(), () => (n.paused = false));
          }
        });
      }
      at(118, () => {
        w.heldHeartbeatShare = 0;
        w.commitDelayMs = () => 0;
      });
      return { lastsS: 150, came: () => met };
    },
  );

meeting(
  'jobs are cancelled before, between and after the commits of a hand-over, through old, new and third',
  { users: (w) => crowd(w), world: limited, beforeS: 25, withinS: 700 },
  (w, at, users) => {
    let met = 0;
    const slowMs = w.random() < 0.5 ? 400 : 1800;
    w.commitDelayMs = () => slowMs * w.random();
    w.responseMs = 5 + Math.floor(60 * w.random());
    const grant = (): number => w.state.entries.get('dp/shard/0')?.stamp ?? 0;
    const cancelSome = (): void => {
      // Those that run, and those whose tasks are just being placed.
      const placed = users.going.filter((id) => w.running(id).length > 0);
      const ids = w.random() < 0.5 ? placed : users.going.slice(-5);
      if (ids.length === 0) return;
      const stamp = grant();
      const id = pick(w, ids);
      users.cancel(id, pick(w, w.nodes));
      w.schedule(1200, () => (met += grant() !== stamp && users.told.get(id) === 'aborted' ? 1 : 0));
    };
    for (let s = 2; s < 75; s += 4 + 5 * w.random()) {
      at(s, () => {
        const owner = w.nodes.find((n) => n.alive && n.controller.shardManager.ownedShards.has(0));
        const to: Node = pick(w, w.nodes);
        const run = owner?.controller.replica.presences.get(to.member)?.instanceId;
        if (owner && run && to !== owner) owner.controller.membership.handOver(0, to.member, run);
        if (w.random() < 0.2) w.schedule(400 * w.random(), () => bounce(w, pick(w, [owner, to]), 0.3, 4));
      });
      for (let i = 0; i < 5; i++) at(s - 0.4 + 1.2 * w.random(), cancelSome);
    }
    at(80, () => (w.commitDelayMs = () => 0));
    return { lastsS: 84, came: () => met };
  },
);
