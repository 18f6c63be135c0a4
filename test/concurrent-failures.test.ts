/** Two failures at once: each meeting that the protocol's users have named, on seeded worlds with all rules checked. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import {
  cancel,
  cancelS,
  finish,
  first,
  kill,
  longJobs,
  longWorld,
  mixedTraffic,
  pick,
  seeds,
  settled,
  some,
} from './support/concurrent-failures.js';
import { leaderOf, ownerOf } from './support/rolls.js';
import type { Node } from './support/controller-node.js';
import type { World } from './support/world.js';

type Peers = 'work' | 'refuse' | 'hang' | 'apart-leader' | 'apart-other';

function cutPeers(w: World, how: Peers, leader: Node, other: Node): void {
  if (how === 'refuse')
    for (const a of w.nodes)
      for (const b of w.nodes) if (a !== b) a.push({ type: 'peer-lost', member: b.member });
  if (how === 'refuse' || how === 'hang') w.peersConnected = false;
  if (how === 'apart-leader') leader.isolatedFromPeers = true;
  if (how === 'apart-other') other.isolatedFromPeers = true;
}

const machineTroubles = ['none', 'hang', 'losesResponses'] as const;
const peerTroubles: readonly Peers[] = ['work', 'work', 'refuse', 'hang', 'apart-leader', 'apart-other'];
const confirmers = ['goes on', 'killed', 'frozen', 'restarted'] as const;
const leaders = ['goes on', 'frozen', 'restarted'] as const;

/**
 * The first meeting: the state service refuses the leader alone, another confirms cancellations, then nobody is served for
 * longer than `cancel_s`, while workers go on reporting to the old leader.
 */
function refusedThenOut(seed: number): void {
  const w = longWorld(seed);
  const jobs = longJobs(w);
  const leader = leaderOf(w)!;
  const others = w.nodes.filter((n) => n !== leader);
  const what = {
    peers: pick(w, peerTroubles),
    machines: pick(w, machineTroubles),
    confirmer: pick(w, confirmers),
    leader: pick(w, leaders),
    refusedS: 8 * w.random(),
    outageS: w.random() < 0.5 ? 2 * w.random() : cancelS * w.random(),
  };
  const told = `seed ${seed} ${JSON.stringify(what)}`;
  leader.cutFromState = true;
  if (w.random() < 0.5) cutPeers(w, what.peers, leader, others[0]);
  w.advance(what.refusedS);
  let by = others[0];
  for (const id of jobs.cancel) by = cancel(w, id, others);
  const hit = [...w.workers.values()].filter(() => w.random() < 0.3);
  for (const m of hit) {
    m.hung = what.machines === 'hang';
    m.losesResponses = what.machines === 'losesResponses';
  }
  if (what.confirmer === 'killed' || what.confirmer === 'restarted') by.alive = false;
  if (what.confirmer === 'frozen') by.paused = true;
  w.advance(what.outageS / 2);
  if (what.confirmer === 'restarted') by.boot();
  w.advance(what.outageS / 2);
  cutPeers(w, what.peers, leader, others[0]);
  w.state.unavailable = true;
  if (w.random() < 0.5) leader.cutFromState = false;
  if (what.leader === 'frozen') leader.paused = true;
  if (what.leader === 'restarted') leader.alive = false;
  w.advance(3 + 15 * w.random());
  if (what.leader === 'restarted') leader.boot();
  leader.paused = false;
  for (const m of hit) m.hung = false;
  w.advance(cancelS * 1.5);
  w.state.unavailable = leader.cutFromState = false;
  w.peersConnected = true;
  for (const n of w.nodes) n.paused = n.isolatedFromPeers = false;
  for (const n of w.nodes) if (!n.alive) n.boot();
  for (const m of hit) m.losesResponses = false;
  assert.deepEqual(w.violations.slice(0, 3), [], told);
  try {
    settled(w, jobs);
  } catch (e) {
    throw new Error(`${told}: ${(e as Error).message}`, { cause: e });
  }
}

test('first meeting: refused alone, cancelled through another, then an outage longer than cancel_s', () => {
  for (let seed = first; seed < first + seeds; seed++) refusedThenOut(seed);
});

type Way = { owner: Node; others: Node[]; by: () => void };
/**
 * Each way in which a controller may answer a worker 200. `by` cancels the jobs through another controller; what is returned
 * tells whether it has answered in that way.
 */
const ways: Record<string, (w: World, way: Way) => () => boolean> = {
  'from a fresh view'(_, { owner, by }) {
    by();
    return () => !owner.controller.freshness.isStale;
  },
  'from a view that the others vouch for'(w, { owner, by }) {
    owner.cutFromState = true;
    w.advance(2 * w.random());
    by();
    w.advance(w.random());
    w.state.unavailable = true;
    let vouched = false;
    w.advanceUntil(() => (vouched ||= owner.controller.freshness.isConfirmedByPeers), 20);
    w.schedule(50_000, () => (w.state.unavailable = owner.cutFromState = false));
    return () => vouched;
  },
  'from a view that nobody vouches for'(w, { owner, by }) {
    owner.cutFromState = owner.isolatedFromPeers = true;
    by();
    w.schedule(60_000, () => (owner.cutFromState = owner.isolatedFromPeers = false));
    return () => (w.leaseRenewals.answers.get(owner.member) ?? 0) > 0;
  },
  'just taken up'(w, { owner, others, by }) {
    by();
    kill(w, owner);
    w.schedule(500 + 9000 * w.random(), () => owner.boot());
    return () => others.some((n) => (w.leaseRenewals.answers.get(n.member) ?? 0) > 0);
  },
  'just woken'(w, { owner, by }) {
    owner.paused = true;
    by();
    w.schedule(2000 + 10_000 * w.random(), () => (owner.paused = false));
    return () => owner.logLines.some(([, what]) => what === 'process stalled');
  },
  'in a hand-over, and back'(w, { owner, others, by }) {
    const [to] = others;
    const run = (n: Node): string => to.controller.replica.presences.get(n.member)!.instanceId;
    owner.controller.membership.handOver(0, to.member, run(to));
    w.advance(0.3 * w.random());
    by();
    const backMs = 5000 + 3000 * w.random();
    w.schedule(backMs, () => to.controller.membership.handOver(0, owner.member, run(owner)));
    return () => (w.leaseRenewals.answers.get(to.member) ?? 0) > 0;
  },
  'relayed for the owner'(w, { owner, by }) {
    for (const m of w.workers.values()) m.unreachableNodes.add(owner.member);
    w.advance(10);
    by();
    const relayed = w.leaseRenewals.answers;
    relayed.clear();
    return () => !relayed.has(owner.member) && relayed.size > 0;
  },
  'while lost data is brought back'(w, { by }) {
    by();
    w.advance(0.2 * w.random());
    const all = w.state.items();
    const left = w.random() < 0.5 ? [] : all.filter(() => w.random() < 0.5);
    w.state.loseData(
      left.map((c) => [c.key, c]),
      w.state.epoch,
    );
    return () => w.nodes.some((n) => n.recoveryRestarts > 0);
  },
};

for (const [name, way] of Object.entries(ways))
  test(`the bound on answers that keep tasks alive: ${name}`, () => {
    for (let seed = first; seed < first + seeds; seed++) {
      const w = longWorld(seed);
      const jobs = longJobs(w);
      const owner = ownerOf(w)!;
      const others = w.nodes.filter((n) => n !== owner);
      const by = (): void => {
        for (const id of jobs.cancel) cancel(w, id, others);
      };
      w.leaseRenewals.answers.clear();
      const happened = way(w, { owner, others, by });
      w.advance(80);
      assert.ok(happened(), `seed ${seed}: answered in this way`);
      assert.ok(w.leaseRenewals.mostMs <= w.maxKeepMs, `seed ${seed}: ${w.leaseRenewals.mostMs} ms`);
      settled(w, jobs);
    }
  });

/** Troubles that come and go while users bring work; then nothing may have been broken, and nobody forgotten. */
function meeting(
  name: string,
  beforeS: number,
  troubles: (w: World, at: (s: number, f: () => void) => void) => number,
): void {
  test(name, () => {
    for (let seed = first; seed < first + seeds; seed++) {
      const w = longWorld(seed);
      const users = mixedTraffic(w);
      w.advance(beforeS);
      const lasts = troubles(w, (s, f) => w.schedule(s * 1000, f));
      try {
        w.advance(lasts);
        for (const n of w.nodes) if (!n.alive) n.boot();
        finish(w, users);
      } catch (e) {
        throw new Error(`seed ${seed}: ${(e as Error).message}`, { cause: e });
      }
    }
  });
}

meeting('a leader ends while machines with long tasks are out of reach or deaf', 40, (w, at) => {
  const hit = some(w, 0.6);
  const how = pick(w, ['losesResponses', 'silent', 'hung'] as const);
  const forS = 4 + 36 * w.random();
  at(3 * w.random(), () => hit.forEach((m) => (m[how] = true)));
  const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
  at(3 + 4 * w.random(), () => kill(w, leader));
  at(8 + 20 * w.random(), () => leader.boot());
  at(3 + forS, () => hit.forEach((m) => (m[how] = false)));
  return forS + 30;
});

meeting('old reports after newer ones, through changes of the owner and of sessions', 30, (w, at) => {
  w.duplicatedHeartbeatShare = 0.4;
  for (let s = 2; s < 60; s += 6 + 8 * w.random()) {
    at(s, () => {
      const n = pick(w, [ownerOf(w), leaderOf(w), pick(w, w.nodes)]);
      if (!n?.alive) return;
      kill(w, n);
      w.schedule(300 + 8000 * w.random(), () => n.alive || n.boot());
    });
    const hit = some(w, 0.2);
    at(s + 1, () => hit.forEach((m) => (m.silent = true)));
    at(s + 1 + 24 * w.random(), () => hit.forEach((m) => (m.silent = false)));
  }
  at(88, () => (w.duplicatedHeartbeatShare = 0));
  return 115;
});

meeting('small jobs whose ends lie far apart across changes of the leader and of the level', 15, (w, at) => {
  for (let s = 2; s < 100; s += 8 + 10 * w.random())
    at(s, () => {
      const n = pick(w, [ownerOf(w), leaderOf(w)]);
      if (!n) return;
      if (w.random() < 0.3) n.operators = { ...n.operators, 'level-most': 2 + Math.floor(3 * w.random()) };
      kill(w, n);
      w.schedule(200 + 4000 * w.random(), () => n.alive || n.boot());
    });
  at(108, () => {
    for (const n of w.nodes) n.operators = { ...n.operators, 'level-most': operatorDefaults['level-most'] };
    for (const n of w.nodes) if (n.alive) kill(w, n);
  });
  return 112;
});

meeting('a slow state service refuses the leader, then everybody for longer than cancel_s', 30, (w, at) => {
  w.responseMs = 50 + 700 * w.random();
  const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
  const alone = 2 + 20 * w.random();
  const apart = w.random() < 0.5;
  at(1, () => (leader.isolatedFromPeers = apart));
  at(1, () => (leader.cutFromState = true));
  at(1 + alone, () => (w.state.unavailable = true));
  at(1 + alone + 3, () => (leader.cutFromState = false));
  at(1 + alone + cancelS * 1.3, () => {
    w.state.unavailable = leader.isolatedFromPeers = false;
    w.responseMs = 5;
  });
  return alone + cancelS * 1.3 + 4;
});

meeting(
  'commands and answers are held up for seconds, machines go on then; rentals and returns come late',
  20,
  (w, at) => {
    w.directCommandDelayMs = () => (w.random() < 0.5 ? 9000 * w.random() : 0);
    w.responseDelayMs = () => (w.random() < 0.3 ? 3800 * w.random() : 0);
    w.delayedCloudCallShare = 0.4;
    for (let s = 2; s < 80; s += 5) {
      const hit = some(w, 0.3);
      at(s, () => hit.forEach((m) => (m.hung = true)));
      at(s + 14 * w.random(), () => hit.forEach((m) => (m.hung = false)));
      if (w.random() < 0.25)
        at(s + 2, () => {
          const n = pick(w, w.nodes);
          if (!n.alive) return;
          kill(w, n);
          w.schedule(4000 * w.random(), () => n.alive || n.boot());
        });
    }
    at(96, () => {
      w.delayedCloudCallShare = 0;
      w.directCommandDelayMs = w.responseDelayMs = () => 0;
    });
    return 110;
  },
);

meeting('controllers hand over and back, all end, one returns within a second', 25, (w, at) => {
  w.duplicatedHeartbeatShare = 0.2;
  w.state.delayedCommitShare = 0.1;
  for (let s = 1; s < 70; s += 6 + 6 * w.random()) {
    const how = w.random();
    at(s, () => {
      const owner = ownerOf(w);
      const to = pick(
        w,
        w.nodes.filter((n) => n.alive && n !== owner),
      );
      const run = to && owner?.controller.replica.presences.get(to.member)?.instanceId;
      if (how < 0.5 && owner && to && run) {
        owner.controller.membership.handOver(0, to.member, run);
        w.schedule(1500 * w.random(), () => {
          const back = to.controller.replica.presences.get(owner.member)?.instanceId;
          if (to.alive && back) to.controller.membership.handOver(0, owner.member, back);
        });
      }
      for (const n of w.nodes) n.peerDelayMs = w.random() < 0.3 ? 2500 * w.random() : 0;
      if (how < 0.5) return;
      for (const n of w.nodes) {
        if (!n.alive || (how < 0.7 && n !== owner)) continue;
        kill(w, n);
        w.schedule(100 + (w.random() < 0.6 ? 800 : 6000) * w.random(), () => n.alive || n.boot());
      }
    });
  }
  at(78, () => {
    w.state.delayedCommitShare = w.duplicatedHeartbeatShare = 0;
    for (const n of w.nodes) n.peerDelayMs = 0;
  });
  return 92;
});

meeting('transactions without an answer are carried out late, after newer ones', 20, (w, at) => {
  w.state.delayedCommitShare = 0.35;
  for (let s = 3; s < 80; s += 8 + 10 * w.random())
    at(s, () => {
      const n = pick(w, [ownerOf(w), leaderOf(w)]);
      if (!n) return;
      if (w.random() < 0.5) {
        kill(w, n);
        w.schedule(300 + 3000 * w.random(), () => n.alive || n.boot());
      } else {
        n.paused = true;
        w.schedule(6000 * w.random(), () => (n.paused = false));
      }
    });
  at(84, () => (w.state.delayedCommitShare = 0));
  return 100;
});

meeting(
  'a leader is cut from state and peers; workers and users reach it, jobs are cancelled through the new one',
  40,
  (w, at) => {
    const leader = pick(w, [leaderOf(w), ownerOf(w)])!;
    const forS = 10 + 50 * w.random();
    at(1, () => (leader.cutFromState = leader.isolatedFromPeers = true));
    at(1 + forS, () => (leader.cutFromState = leader.isolatedFromPeers = false));
    if (w.random() < 0.5) {
      at(1 + forS * w.random(), () => (w.state.unavailable = true));
      at(1 + forS + cancelS * w.random(), () => (w.state.unavailable = false));
    }
    if (w.random() < 0.5) at(forS * w.random(), () => (leader.paused = true));
    at(forS + 2, () => (leader.paused = false));
    return forS + cancelS + 4;
  },
);

// Each reason for a 503 to a poll has an end, also when one controller never returns.
test('nobody is forgotten: all end and one never returns, also when the state service has lost data', () => {
  for (const lost of [false, true])
    for (const away of [0, 1, 2]) {
      const w = longWorld(away + 1);
      const jobs = longJobs(w);
      const gone = w.nodes[away];
      const left = w.nodes.filter((n) => n !== gone);
      if (lost) {
        kill(w, gone);
        w.state.loseData([], w.state.epoch);
      } else for (const n of w.nodes) kill(w, n);
      w.advance(1);
      for (const n of left) if (!n.alive) n.boot();
      const all = [...jobs.cancel, ...jobs.keep];
      const known = (): boolean => left.every((n) => all.every((id) => n.status(id)?.status === 200));
      assert.ok(w.advanceUntil(known, lost ? 10 : 5), `known, without ${gone.member}, lost ${lost}`);
      const since = w.now;
      const told = (): boolean => left.every((n) => n.status('req-9999')?.status === 404);
      assert.ok(w.advanceUntil(told, 75), `404, without ${gone.member}, lost ${lost}`);
      assert.ok(w.now - since < (lost ? 60_000 : 5000), `404 after ${w.now - since} ms`);
      assert.deepEqual(w.violations, []);
    }
});
